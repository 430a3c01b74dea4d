//! The HTTP server of the operators' port.

use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;

use jackdaw_core::errors::{Error, Result};
use jackdaw_entry::connection;
use ntex::SharedCfg;
use ntex::http::h1::{Control, ControlAck};
use ntex::http::{HttpService, HttpServiceConfig, ResponseError};
use ntex::io::Filter;
use ntex::rt::{DefaultRuntime, System};
use ntex::service::fn_service;
use ntex::time::Seconds;
use ntex::web::{self, App};
use tokio::sync::oneshot;

use super::auth::Operator;
use super::handle::Handle;
use super::routes;
use crate::metrics::Metrics;

/// Time for open responses to end when the node stops.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(1);

/// Longest time that an operator's client may take to send the head of a request.
const HEAD_TIMEOUT: Seconds = Seconds(5);

/// Time for which an idle connection is kept; longer than the usual interval of a metrics scraper.
const KEEP_ALIVE_TIMEOUT: Seconds = Seconds(75);

/// State that all request handlers share.
#[derive(Clone, Debug)]
pub struct Context {
    /// Sends requests to the control thread.
    pub handle: Handle,
    /// Operators who have access.
    pub operators: Arc<[Operator]>,
    /// Counters of the node.
    pub metrics: Metrics,
}

/// A running server on a thread of its own.
pub struct Server {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
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
    /// Starts the server on an address; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the thread cannot be started.
    pub fn start(address: SocketAddr, context: Context) -> Result<Server> {
        let peer = address.to_string();
        let fail = |error: std::io::Error| Error::unreachable("bind operators' port", &peer, error);
        let listener = TcpListener::bind(address).map_err(fail)?;
        let address = listener.local_addr().map_err(fail)?;
        let (stop, stopped) = oneshot::channel();
        let (start_sender, started) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name("operators".to_owned())
            .spawn(move || run(listener, context, start_sender, stopped))
            .map_err(fail)?;
        started
            .recv()
            .map_err(|error| Error::unreachable("start operators' port", &peer, error))?;
        Ok(Server {
            address,
            stop: Some(stop),
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
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Serves until the sender of `stopped` is dropped.
fn run(
    listener: TcpListener,
    context: Context,
    start_sender: mpsc::Sender<()>,
    stopped: oneshot::Receiver<()>,
) {
    System::new("operators", DefaultRuntime).block_on(async move {
        let bound = ntex::server::build()
            .workers(1)
            .disable_signals()
            .shutdown_timeout(SHUTDOWN_TIMEOUT)
            .listen("operators", listener, async move |_| {
                let app = App::new()
                    .state(context.clone())
                    .configure(routes::configure)
                    .default_service(web::to(routes::not_found));
                HttpService::new(app).h1_control(fn_service(async |control| acknowledge(control)))
            });
        let Ok(bound) = bound else {
            return;
        };
        let server = bound.config("operators", build_config()).run();
        let _ = start_sender.send(());
        let _ = stopped.await;
        // The server's own future never ends if another thread's stop overtakes its first poll.
        server.stop(false).await;
    });
}

fn build_config() -> SharedCfg {
    let http = HttpServiceConfig::new()
        .set_headers_read_rate(HEAD_TIMEOUT, HEAD_TIMEOUT, u32::MAX)
        .set_keepalive_timeout(KEEP_ALIVE_TIMEOUT);
    SharedCfg::new("OPERATORS").add(http).into()
}

fn acknowledge<F: Filter, E: ResponseError>(control: Control<F, E>) -> io::Result<ControlAck<F>> {
    if let Control::Request(request) = &control {
        connection::stop_timer(request.get_ref());
    }
    Ok(control.ack())
}
