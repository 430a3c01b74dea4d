//! Runs a small HTTP server on its own thread.

use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::mpsc;
use std::thread::JoinHandle;

use jackdaw_core::errors::{Error, Result};
use ntex::rt::{DefaultRuntime, System};
use ntex::web::{App, HttpServer, ServiceConfig};
use tokio::sync::Notify;

/// Function that adds the routes of a stand-in.
pub type Routes = Arc<dyn Fn(&mut ServiceConfig) + Send + Sync>;

/// A running HTTP server.
pub struct Host {
    address: SocketAddr,
    stop: Arc<Notify>,
    thread: Option<JoinHandle<()>>,
}

impl fmt::Debug for Host {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Host")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Host {
    /// Starts a server on an address; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(address: SocketAddr, routes: Routes) -> Result<Host> {
        let peer = address.to_string();
        let listener = TcpListener::bind(address)
            .map_err(|error| Error::unreachable("bind stand-in", &peer, error))?;
        let address = listener
            .local_addr()
            .map_err(|error| Error::unreachable("bind stand-in", &peer, error))?;
        let stop = Arc::new(Notify::new());
        let stopped = Arc::clone(&stop);
        let (start_sender, started) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name("standin".to_owned())
            .spawn(move || run(listener, routes, start_sender, stopped))
            .map_err(|error| Error::unreachable("start stand-in", &peer, error))?;
        started
            .recv()
            .map_err(|error| Error::unreachable("start stand-in", &peer, error))?;
        Ok(Host {
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// Starts to stop the server without waiting for its end.
    pub fn begin_stop(&self) {
        self.stop.notify_one();
    }

    /// Gets the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.begin_stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Serves until it is notified of a stop.
fn run(
    listener: TcpListener,
    routes: Routes,
    start_sender: mpsc::Sender<()>,
    stopped: Arc<Notify>,
) {
    System::new("standin", DefaultRuntime).block_on(async move {
        let factory = move || {
            let routes = Arc::clone(&routes);
            async move { App::new().configure(|config: &mut ServiceConfig| routes(config)) }
        };
        let Ok(http_server) = HttpServer::new(factory)
            .workers(1)
            .disable_signals()
            .listen(listener)
        else {
            return;
        };
        let server = http_server.run();
        let _ = start_sender.send(());
        stopped.notified().await;
        // The server's own future never ends if another thread's stop overtakes its first poll.
        server.stop(false).await;
    });
}
