//! Runs a node: its listeners, its followers and its planned stop.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use jackdaw_core::errors::{Error, Result};
use jackdaw_core::units::Millis;
use ntex::SharedCfg;
use ntex::http::{HttpService, HttpServiceConfig, Request, Response};
use ntex::io::IoConfig;
use ntex::rt::{DefaultRuntime, System};
use ntex::service::{ServiceFactory, fn_service};
use ntex::time::Seconds;
use slog::{info, warn};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time;

use crate::follow;
use crate::handler;
use crate::leader;
use crate::node::{Node, Parts};
use crate::options::Options;

/// Time after which an idle connection of a caller is closed; longer than callers keep theirs.
const KEEP_ALIVE: Seconds = Seconds(75);
/// Time for callers to read the last bytes of answers that were already finished.
const READ_TIMEOUT: Seconds = Seconds(30);
/// Time after the request to stop in which the platform still sends new connections; it asks for
/// readiness each second and goes by two misses.
const LAST_CONNECTIONS: Millis = Millis(3_000);
/// Time before the process is killed at which the node ends by itself.
const LAST_MOMENT: Millis = Millis(400);
/// Time for the store to take in that the leadership is given up; part of the last moment.
const HANDOVER: Millis = Millis(200);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Millis = Millis(10);

/// Which port a connection came in on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Port {
    Callers,
    Readiness,
}

/// The bound ports of a node.
#[derive(Debug)]
pub struct Ports {
    /// For callers.
    pub callers: std::net::TcpListener,
    /// For the platform's readiness checks.
    pub readiness: std::net::TcpListener,
    /// For datagrams of other nodes.
    pub peers: std::net::UdpSocket,
}

impl Ports {
    /// Binds the ports that a node's options name.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound.
    pub fn bind(options: &Options) -> Result<Ports> {
        let failed = |address: SocketAddr| {
            move |error: io::Error| Error::unreachable("bind", &address.to_string(), error)
        };
        let listen = |address| std::net::TcpListener::bind(address).map_err(failed(address));
        Ok(Ports {
            callers: listen(options.callers)?,
            readiness: listen(options.readiness)?,
            peers: std::net::UdpSocket::bind(options.peers).map_err(failed(options.peers))?,
        })
    }
}

/// Runs a node until `stop` resolves, then finishes what is in flight.
///
/// # Errors
///
/// Returns an error if the ports cannot be used or the signals cannot be received.
pub fn run(
    options: Options,
    ports: Ports,
    parts: Parts,
    stop: impl Future<Output = ()> + 'static,
) -> Result<()> {
    System::new("gateway", DefaultRuntime).block_on(serve(options, ports, parts, stop))
}

/// Waits for SIGTERM or SIGINT.
///
/// # Panics
///
/// Panics if the signals cannot be received.
pub async fn terminated() {
    let mut terminate = signal(SignalKind::terminate()).expect("SIGTERM can be received");
    let mut interrupt = signal(SignalKind::interrupt()).expect("SIGINT can be received");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

async fn serve(
    options: Options,
    ports: Ports,
    parts: Parts,
    stop: impl Future<Output = ()>,
) -> Result<()> {
    let taken = |error: io::Error| Error::unreachable("listen", "self", error);
    let listen = |listener: std::net::TcpListener| {
        listener
            .set_nonblocking(true)
            .and_then(|()| TcpListener::from_std(listener))
            .map_err(taken)
    };
    let callers = listen(ports.callers)?;
    let readiness = listen(ports.readiness)?;
    ports.peers.set_nonblocking(true).map_err(taken)?;
    let peers = UdpSocket::from_std(ports.peers).map_err(taken)?;
    let mut hangup = signal(SignalKind::hangup())
        .map_err(|error| Error::unreachable("install signals", "self", error))?;
    let node = Rc::new(Node::new(options, parts));
    info!(node.logger(), "node started";
        "zone" => %node.options.zone, "callers" => %node.options.callers);
    follow::start(&node);
    crate::peers::start(&node, peers);
    let leadership = leader::start(&node);
    ntex::rt::spawn(accept(Rc::clone(&node), readiness, Port::Readiness));
    ntex::rt::spawn(accept(Rc::clone(&node), callers, Port::Callers));
    let mut stop = pin!(stop);
    loop {
        tokio::select! {
            () = &mut stop => break,
            // Addresses cannot change while the process runs; all else comes from the store.
            _ = hangup.recv() => info!(node.logger(), "reload: nothing to do"),
        }
    }
    info!(node.logger(), "node stopping"; "in_flight" => node.drain.in_flight());
    finish(&node).await;
    // Leading on until now leaves no gap while the other nodes of the zone stop as well.
    leadership.resign();
    time::sleep(HANDOVER.duration()).await;
    info!(node.logger(), "node stopped"; "in_flight" => node.drain.in_flight());
    Ok(())
}

/// Finishes what is in flight and takes nothing new once the platform sends nothing more.
async fn finish(node: &Node) {
    node.is_stopping.set(true);
    let grace = node.options.grace.0.saturating_sub(LAST_MOMENT.0);
    let calm = LAST_CONNECTIONS.0.min(grace);
    time::sleep(Millis(calm).duration()).await;
    node.drain.stop();
    let finished = async {
        node.drain.idle().await;
        node.drain.closed().await;
    };
    let rest = Millis(grace.saturating_sub(calm));
    if time::timeout(rest.duration(), finished).await.is_err() {
        warn!(node.logger(), "grace is over with requests in flight";
            "in_flight" => node.drain.in_flight());
    }
}

fn config(options: &Options) -> SharedCfg {
    let head = usize::try_from(options.max_head.0).unwrap_or(usize::MAX);
    let http = HttpServiceConfig::new()
        .set_max_buf_size(head)
        .set_keepalive_timeout(KEEP_ALIVE);
    // An answer that was finished is not cut off while its caller still reads.
    let io = IoConfig::new().set_disconnect_timeout(READ_TIMEOUT);
    SharedCfg::new("CALLERS").add(http).add(io).into()
}

async fn accept(node: Rc<Node>, listener: TcpListener, port: Port) {
    let config = config(&node.options);
    let handler_node = Rc::clone(&node);
    let requests = fn_service(move |request: Request| {
        let node = Rc::clone(&handler_node);
        async move {
            let response = match port {
                Port::Callers => handler::handle(node, request).await,
                Port::Readiness => handler::readiness(&node, request.path()),
            };
            Ok::<Response, io::Error>(response)
        }
    });
    let service = HttpService::h1(requests);
    let pipeline = match service.pipeline(config.clone()).await {
        Ok(pipeline) => pipeline,
        Err(()) => {
            warn!(node.logger(), "the HTTP service could not be started");
            return;
        }
    };
    loop {
        let stream = match listener.accept().await.and_then(|(one, _)| one.into_std()) {
            Ok(stream) => stream,
            Err(error) => {
                warn!(node.logger(), "connection was not accepted"; "error" => %error);
                time::sleep(ACCEPT_PAUSE.duration()).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            warn!(node.logger(), "connection delays small writes"; "error" => %error);
        }
        let io = match ntex::rt::from_tcp_stream(stream, config.clone()) {
            Ok(io) => io,
            Err(error) => {
                warn!(node.logger(), "connection was not taken over"; "error" => %error);
                continue;
            }
        };
        if port == Port::Callers {
            node.drain.follow(io.get_ref());
        }
        let pipeline = pipeline.clone();
        // A connection that fails has been answered or cut off already.
        ntex::rt::spawn(async move { drop(pipeline.call(io).await) });
    }
}
