//! The HTTP server for callers.

use std::future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::RecvTimeoutError;
use std::sync::{Arc, mpsc};
use std::thread;

use jackdaw_core::units::Millis;
use ntex::SharedCfg;
use ntex::http::{HttpService, HttpServiceConfig};
use ntex::io::IoConfig;
use ntex::rt::{DefaultRuntime, System};
use ntex::time::Seconds;
use ntex::web::{self, App};
use tokio::sync::oneshot;

use crate::control::Controller;
use crate::drain::Drain;
use crate::handler::{self, Worker};
use crate::shared::{Options, Shared};

/// Time for callers to read the last bytes of finished answers.
const DISCONNECT_TIMEOUT: Seconds = Seconds(30);
/// Time for the HTTP library's workers to end after all connections are closed.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(1);

/// Time for the answers to requests that the end of the grace period has ended.
const LAST_ANSWERS_TIME: Millis = Millis(1_000);

/// A running server with its own threads; one that is dropped without a stop serves on.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: oneshot::Sender<()>,
    ended: oneshot::Receiver<()>,
}

impl Server {
    /// Starts a server on an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or a thread cannot be started.
    pub fn start(shared: Arc<Shared>, address: SocketAddr) -> io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let (start_sender, start) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let (end_sender, ended) = oneshot::channel();
        let server_shared = Arc::clone(&shared);
        thread::Builder::new()
            .name("entry".to_owned())
            .spawn(move || {
                System::new("entry", DefaultRuntime).block_on(async move {
                    match listen(server_shared, listener) {
                        Ok(server) => {
                            let _ = start_sender.send(Ok(()));
                            if stopped.await.is_err() {
                                future::pending::<()>().await;
                            }
                            // The server's own future never ends if another thread's stop
                            // overtakes its first poll.
                            server.stop(true).await;
                        }
                        Err(error) => {
                            let _ = start_sender.send(Err(error));
                        }
                    }
                });
                let _ = end_sender.send(());
            })?;
        start
            .recv()
            .map_err(|_| io::Error::other("the server's thread ended"))??;
        Ok(Server {
            address,
            shared,
            stop,
            ended,
        })
    }

    /// Gets the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server: refuses new requests and waits until all requests in flight are finished.
    ///
    /// Requests that are in flight at the end of the grace period are answered that their outcome
    /// is unknown. Returns their number.
    pub async fn stop(self) -> usize {
        let drain = &self.shared.drain;
        drain.stop();
        let grace = Grace::start(drain, self.shared.options.grace_period);
        drain.wait_drained().await;
        let unfinished = grace.end();
        let _ = self.stop.send(());
        let _ = self.ended.await;
        unfinished
    }
}

/// Ends a drain that takes too long, from a thread that no request can delay.
struct Grace {
    drained: mpsc::Sender<()>,
    unfinished: Arc<AtomicUsize>,
}

impl Grace {
    fn start(drain: &Drain, period: Millis) -> Self {
        let (drained, receiver) = mpsc::channel();
        let unfinished = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&unfinished);
        let drain = drain.clone();
        let watch = move || {
            if receiver.recv_timeout(period.duration()) != Err(RecvTimeoutError::Timeout) {
                return;
            }
            count.store(drain.in_flight(), Ordering::SeqCst);
            drain.expire();
            if receiver.recv_timeout(LAST_ANSWERS_TIME.duration()) == Err(RecvTimeoutError::Timeout)
            {
                drain.abandon();
            }
        };
        // Without the thread, the drain lasts as long as its requests.
        let _ = thread::Builder::new().name("grace".to_owned()).spawn(watch);
        Grace {
            drained,
            unfinished,
        }
    }

    /// Ends the grace period and returns how many requests it has cut short.
    fn end(self) -> usize {
        let _ = self.drained.send(());
        self.unfinished.load(Ordering::SeqCst)
    }
}

fn listen(shared: Arc<Shared>, listener: TcpListener) -> io::Result<ntex::server::Server> {
    let options = shared.options;
    let next_worker = Arc::new(AtomicU64::new(0));
    let server = ntex::server::build()
        .workers(options.workers)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN_TIMEOUT)
        .listen("entry", listener, async move |_| {
            let controller = Controller::new(Arc::clone(&shared));
            let number = next_worker.fetch_add(1, Ordering::Relaxed);
            let worker = Worker::new(Arc::clone(&shared), number);
            let app = App::new()
                .state(worker)
                .configure(handler::configure_routes)
                .default_service(web::to(handler::handle_unknown_path));
            HttpService::new(app).h1_control(controller)
        })?
        .config("entry", build_config(&options))
        .run();
    Ok(server)
}

fn build_config(options: &Options) -> SharedCfg {
    let to_seconds =
        |millis: u64| Seconds(u16::try_from(millis.div_ceil(1_000)).unwrap_or(u16::MAX));
    let head_timeout = to_seconds(options.head_timeout.0);
    let http = HttpServiceConfig::new()
        .set_max_headers(options.max_request_headers)
        .set_max_buf_size(usize::try_from(options.max_request_head.0).unwrap_or(usize::MAX))
        .set_headers_read_rate(head_timeout, head_timeout, u32::MAX)
        .set_keepalive_timeout(to_seconds(options.keep_alive_timeout.0));
    // A finished answer is not cut off while its caller is still reading.
    let io = IoConfig::new().set_disconnect_timeout(DISCONNECT_TIMEOUT);
    SharedCfg::new("ENTRY").add(http).add(io).into()
}
