//! Runs a node: its listeners, its background tasks and its graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use jackdaw_core::errors::{Error, Result};
use jackdaw_core::units::{Bytes, Millis};
use jackdaw_entry::connection;
use jackdaw_entry::in_flight::Stage;
use ntex::SharedCfg;
use ntex::http::{HttpService, HttpServiceConfig, KeepAlive, Request, Response};
use ntex::io::IoConfig;
use ntex::rt::{DefaultRuntime, System};
use ntex::service::{ServiceFactory, fn_service};
use ntex::time::Seconds;
use slog::{info, warn};
use tokio::net::{TcpListener, UdpSocket};
use tokio::time;

use crate::activity;
use crate::bans;
use crate::connections;
use crate::follow;
use crate::freshness;
use crate::handler;
use crate::in_flight;
use crate::lag;
use crate::leader;
use crate::node::{Node, Parts};
use crate::options::Options;
use crate::stop;
use crate::termination;
use crate::tunnel;

/// Time after which an idle connection to the readiness port or the peers' port is closed.
const INTERNAL_IDLE_TIMEOUT: Seconds = Seconds(75);
/// Longest time to receive a head on these ports, from the start of the connection.
const INTERNAL_HEAD_TIMEOUT: Seconds = Seconds(10);
/// Largest head that a connection takes whatever the limit at its start, so that it can follow a limit
/// that is raised.
const MAX_HEAD: Bytes = Bytes(64 << 10);
/// Time for callers to read the last bytes of completed answers.
const DISCONNECT_TIMEOUT: Seconds = Seconds(30);
/// Time to release the leader's lease in the store, before the supervisor ends the grace period.
const LEASE_RELEASE_TIME: Millis = Millis(200);
/// Interval at which a stopping node looks whether it still relays connections.
const TUNNEL_POLL: Millis = Millis(50);
/// Number of times that a process that is to end waits for requests that have not been answered. They are
/// counted, since an event loop that is late uses up a time-out without a turn for the requests.
const ANSWER_TURNS: u32 = 4;
/// Each of these waits; together they outlast the time to read what has arrived.
const ANSWER_PAUSE: Millis = Millis(10);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Millis = Millis(10);

/// Port on which a connection was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Port {
    Callers,
    Readiness,
    Peers,
}

/// Bound sockets of a node.
#[derive(Debug)]
pub struct Ports {
    /// Listener for callers.
    pub callers: std::net::TcpListener,
    /// Listener for the platform's readiness checks and for metrics.
    pub readiness: std::net::TcpListener,
    /// Socket for datagrams of other nodes.
    pub peers: std::net::UdpSocket,
    /// Listener for requests of other nodes, at the address of their datagrams.
    pub exchange: std::net::TcpListener,
    /// Listener for other nodes that are cut off from all servers, at the next port.
    pub relay: std::net::TcpListener,
}

impl Ports {
    /// Binds the addresses in a node's options.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub fn bind(options: &Options) -> Result<Ports> {
        let bind_failed = |address: SocketAddr| {
            move |error: io::Error| Error::unreachable("bind", &address.to_string(), error)
        };
        let listen = |address| std::net::TcpListener::bind(address).map_err(bind_failed(address));
        Ok(Ports {
            callers: listen(options.callers)?,
            readiness: listen(options.readiness)?,
            peers: std::net::UdpSocket::bind(options.peers).map_err(bind_failed(options.peers))?,
            exchange: listen(options.peers)?,
            relay: listen(relay_address(options.peers))?,
        })
    }
}

/// Returns the address next to that for datagrams, or any port if that is to be any.
fn relay_address(peers: SocketAddr) -> SocketAddr {
    let port = match peers.port() {
        0 => 0,
        port => port.saturating_add(1),
    };
    SocketAddr::new(peers.ip(), port)
}

/// Runs a node until it is requested to stop, then waits for the requests in flight.
///
/// # Errors
///
/// Returns an error if the sockets cannot be registered with the runtime or the handler of SIGHUP
/// cannot be installed.
pub fn run(options: Options, ports: Ports, parts: Parts, stop: termination::Request) -> Result<()> {
    System::new("gateway", DefaultRuntime).block_on(serve(options, ports, parts, stop))
}

async fn serve(
    options: Options,
    ports: Ports,
    parts: Parts,
    stop: termination::Request,
) -> Result<()> {
    let listen_failed = |error: io::Error| Error::unreachable("listen", "self", error);
    let listen = |listener: std::net::TcpListener| {
        listener
            .set_nonblocking(true)
            .and_then(|()| TcpListener::from_std(listener))
            .map_err(listen_failed)
    };
    let callers = listen(ports.callers)?;
    let readiness = listen(ports.readiness)?;
    let exchange = listen(ports.exchange)?;
    let relay = listen(ports.relay)?;
    ports.peers.set_nonblocking(true).map_err(listen_failed)?;
    let peers = UdpSocket::from_std(ports.peers).map_err(listen_failed)?;
    let node = Rc::new(Node::new(options, parts, stop.clone()));
    info!(node.logger(), "node started";
        "zone" => %node.options.zone, "callers" => %node.options.callers);
    if let Ok(address) = relay.local_addr() {
        node.relay_port.set(address.port());
    }
    ntex::rt::spawn(tunnel::accept(Rc::clone(&node), relay));
    ntex::rt::spawn(tunnel::probe(Rc::clone(&node)));
    follow::start(&node);
    crate::peers::start(&node, peers);
    bans::start(&node);
    lag::start(&node);
    let leadership = leader::start(&node);
    ntex::rt::spawn(accept_connections(
        Rc::clone(&node),
        readiness,
        Port::Readiness,
    ));
    ntex::rt::spawn(accept_connections(Rc::clone(&node), callers, Port::Callers));
    ntex::rt::spawn(accept_connections(Rc::clone(&node), exchange, Port::Peers));
    stop.wait().await;
    stop::log_begin(&node);
    drain(&node).await;
    // The node leads until now, so that the zone keeps a leader while its other nodes stop as well.
    leadership.resign();
    let left = node.options.grace.0 - node.stop_limits().exit.0;
    time::sleep(LEASE_RELEASE_TIME.min(Millis(left / 2)).duration()).await;
    wait_answered(&node).await;
    stop::log_end(&node);
    in_flight::abandon_all(&node);
    connections::end_all(&node);
    Ok(())
}

/// Accepts requests until the platform sends no new connections, then waits for the requests in
/// flight until the process has to end.
async fn drain(node: &Node) {
    let Some(shutdown) = node.shutdown() else {
        return;
    };
    time::sleep(node.until(shutdown.accepts_until())).await;
    node.drain.stop();
    stop::log_refusing(node);
    let finished = async {
        node.drain.wait_idle().await;
        node.drain.wait_closed().await;
        while node.tunnels.get() > 0 {
            time::sleep(TUNNEL_POLL.duration()).await;
        }
    };
    let remaining = node.until(shutdown.exits_at());
    if time::timeout(remaining, finished).await.is_err() {
        stop::log_grace_ended(node);
    }
}

/// Waits for a bounded number of turns until the requests that are given up have been answered and the
/// streams broken off.
async fn wait_answered(node: &Node) {
    for _ in 0..ANSWER_TURNS {
        let counts = node.in_flight.registry.counts();
        if counts.total() == counts.get(Stage::Answer) {
            return;
        }
        time::sleep(ANSWER_PAUSE.duration()).await;
    }
}

/// Returns the HTTP library's settings for a port and the largest head of a request in force.
fn http_config(port: Port, max_head: Bytes) -> SharedCfg {
    // The library refuses heads that reach the size.
    let refused_head = max_head.max(MAX_HEAD).0.saturating_add(1);
    let http = HttpServiceConfig::new()
        .set_max_buf_size(usize::try_from(refused_head).unwrap_or(usize::MAX));
    let http = if port == Port::Callers {
        // The limits of the configuration replace the library's.
        let head = activity::LIBRARY_HEAD_TIMEOUT;
        http.set_headers_read_rate(head, head, u32::MAX)
            .set_keepalive(KeepAlive::Os)
    } else {
        let head = INTERNAL_HEAD_TIMEOUT;
        http.set_headers_read_rate(head, head, u32::MAX)
            .set_keepalive_timeout(INTERNAL_IDLE_TIMEOUT)
    };
    // A completed answer is not cut off while its caller still reads it.
    let io = IoConfig::new().set_disconnect_timeout(DISCONNECT_TIMEOUT);
    SharedCfg::new("CALLERS").add(http).add(io).into()
}

async fn accept_connections(node: Rc<Node>, listener: TcpListener, port: Port) {
    let mut max_head = node.limits().header;
    let mut config = http_config(port, max_head);
    let handler_node = Rc::clone(&node);
    let requests = fn_service(move |request: Request| {
        let node = Rc::clone(&handler_node);
        connection::stop_timer(&request);
        async move {
            let response = match port {
                Port::Callers => handler::handle(node, request).await,
                Port::Readiness => handler::handle_readiness(&node, request.path()),
                Port::Peers => freshness::handle_peer(&node, request.path()),
            };
            Ok::<Response, io::Error>(response)
        }
    });
    let service = HttpService::h1(requests);
    let pipeline = match service.pipeline(config.clone()).await {
        Ok(pipeline) => pipeline,
        Err(()) => {
            warn!(node.logger(), "HTTP service could not be started");
            return;
        }
    };
    loop {
        // A node that takes no more requests closes its listener, so that callers are refused by
        // the operating system and its processor is left to the requests in flight.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = node.drain.wait_stopping(), if port == Port::Callers => return,
        };
        let stream = match accepted.and_then(|(stream, _)| stream.into_std()) {
            Ok(stream) => stream,
            Err(error) => {
                warn!(node.logger(), "connection could not be accepted"; "error" => %error);
                time::sleep(ACCEPT_PAUSE.duration()).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            warn!(node.logger(), "TCP_NODELAY could not be set on a connection"; "error" => %error);
        }
        if node.limits().header != max_head {
            max_head = node.limits().header;
            config = http_config(port, max_head);
        }
        let io = match ntex::rt::from_tcp_stream(stream, config.clone()) {
            Ok(io) => io,
            Err(error) => {
                warn!(node.logger(), "connection could not be registered with the runtime";
                    "error" => %error);
                continue;
            }
        };
        let guard = (port == Port::Callers).then(|| {
            node.drain.track_connection(io.get_ref());
            connections::Guard::new(&node, io.get_ref())
        });
        let pipeline = pipeline.clone();
        let node = Rc::clone(&node);
        ntex::rt::spawn(async move {
            // A connection that failed has been answered or closed already, so its error is dropped.
            let Some(guard) = guard else {
                drop(pipeline.call(io).await);
                return;
            };
            let activity = guard.activity();
            if activity::wait_first_bytes(&node, &io, activity).await {
                let connection = io.get_ref();
                let serve = pipeline.call(io);
                activity::serve_with_limits(&node, &connection, activity, serve).await;
            }
        });
    }
}
