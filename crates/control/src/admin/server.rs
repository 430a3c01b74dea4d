//! The operators' port.

use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;

use jackdaw_core::errors::{Error, Result};
use ntex::rt::{DefaultRuntime, System};
use ntex::time::Seconds;
use ntex::web::{self, App, HttpServer};

use super::auth::Operator;
use super::handle::Handle;
use super::routes;
use crate::metrics::Metrics;

/// Time for open answers to end when the node stops.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(1);

/// What every handler needs.
#[derive(Clone, Debug)]
pub struct Site {
    /// Reaches the control thread.
    pub handle: Handle,
    /// Operators' tokens.
    pub operators: Arc<[Operator]>,
    /// Counters of the node.
    pub metrics: Metrics,
}

/// A running server on a thread of its own.
pub struct Server {
    address: SocketAddr,
    server: ntex::server::Server,
    thread: Option<JoinHandle<()>>,
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Server {
    /// Starts a server on an address; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the thread cannot be started.
    pub fn start(address: SocketAddr, site: Site) -> Result<Server> {
        let peer = address.to_string();
        let fail = |error: std::io::Error| Error::unreachable("bind operators' port", &peer, error);
        let listener = TcpListener::bind(address).map_err(fail)?;
        let address = listener.local_addr().map_err(fail)?;
        let (started, start) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name("operators".to_owned())
            .spawn(move || run(listener, site, started))
            .map_err(fail)?;
        let server = start
            .recv()
            .map_err(|error| Error::unreachable("start operators' port", &peer, error))?;
        Ok(Server {
            address,
            server,
            thread: Some(thread),
        })
    }

    /// Gets the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        // The stop is sent at once; the thread ends after it.
        drop(self.server.stop(false));
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run(listener: TcpListener, site: Site, started: mpsc::Sender<ntex::server::Server>) {
    System::new("operators", DefaultRuntime).block_on(async move {
        let listening = HttpServer::new(move || {
            let site = site.clone();
            async move {
                App::new()
                    .state(site)
                    .configure(routes::configure)
                    .default_service(web::to(routes::unknown))
            }
        })
        .workers(1)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN_TIMEOUT)
        .listen(listener);
        let Ok(listening) = listening else {
            return;
        };
        let server = listening.run();
        if started.send(server.clone()).is_ok() {
            let _ = server.await;
        }
    });
}
