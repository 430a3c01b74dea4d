//! Connections to servers through other nodes, for a node that is cut off from all servers.
//!
//! A node connects another one to a server by its name and passes bytes on in both directions. The
//! request itself stays with the node that has taken it: attempts, retries, limits, deadlines and what
//! its caller is told are the same as over a direct connection, and a tunnel cannot lead to another
//! tunnel.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use jackdaw_core::units::Millis;
use jackdaw_link::connection::{self, Connection, Relay};
use jackdaw_policy::fleet::Target;
use slog::{info, warn};
use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

use crate::marked;
use crate::node::Node;

/// Time to connect to another node and to get its answer.
const OPEN_TIMEOUT: Millis = Millis(600);
/// Time in which a node connects another one to a server.
const CONNECT_TIMEOUT: Millis = Millis(400);
/// Time to receive the name of a server.
const NAME_TIMEOUT: Millis = Millis(500);
/// Longest name of a server in bytes.
const MAX_NAME: usize = 255;
/// Largest number of connections that a node relays; each holds two descriptors.
const MAX_TUNNELS: u32 = 400;
/// Number of nodes that are tried for one connection.
const MAX_RELAYS: usize = 2;
/// Time without bytes after an answer from which a stopping node closes a connection.
const IDLE_TIME: Millis = Millis(1_000);
/// Interval at which a stopping node looks for idle connections.
const STOP_POLL: Millis = Millis(100);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Millis = Millis(10);
/// Size of the buffer for bytes that are passed on.
const BUFFER: usize = 16 << 10;

/// Answers to a node that asks for a connection to a server.
const CONNECTED: u8 = b'C';
const UNREACHABLE: u8 = b'U';
const UNAVAILABLE: u8 = b'N';
/// Suffix of a server's name with which a node asks for a mark at the server's end of the connection.
const MARKED_SUFFIX: &str = "\t";

/// Why another node opened no connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denial {
    /// It does not reach the server either.
    Unreachable,
    /// It relays no connection now, or knows no such server.
    Unknown,
    /// It did not answer.
    Unavailable,
}

/// Counts a relayed connection until it is dropped.
struct Guard(Rc<Node>);

impl Guard {
    fn new(node: &Rc<Node>) -> Self {
        node.tunnels.set(node.tunnels.get() + 1);
        Guard(Rc::clone(node))
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.tunnels.set(self.0.tunnels.get() - 1);
    }
}

impl Node {
    /// Opens a connection to a target's server through another node.
    ///
    /// # Errors
    ///
    /// Returns [`connection::Fault::NotSent`] if no other node opens one.
    pub(crate) async fn open_tunnel(
        &self,
        target: &Target,
    ) -> Result<Connection, connection::Fault> {
        let mut detail = "no other node reaches servers".to_owned();
        for node in self.relays() {
            match open(node, &target.server).await {
                Ok((stream, relay)) => {
                    self.counters_of_reach.opened.add(1, &[]);
                    connection::set_up(&stream)
                        .map_err(|error| connection::Fault::NotSent(format!("connect: {error}")))?;
                    return match relay {
                        Relay::Plain => Connection::over(stream, target.address, relay).await,
                        Relay::Marked => {
                            let stream = marked::Stream::new(stream);
                            Connection::over(stream, target.address, relay).await
                        }
                    };
                }
                Err(denial) => detail = format!("{node} opened no connection: {denial:?}"),
            }
        }
        Err(connection::Fault::NotSent(detail))
    }

    /// Returns the nodes through which servers may be reached, the best first.
    pub(crate) fn relays(&self) -> Vec<SocketAddr> {
        let reach = self.reach.borrow();
        let mut random = fastrand::Rng::new();
        let mut relays = reach.relays(&self.options.zone, self.now(), &mut random);
        relays.truncate(MAX_RELAYS);
        relays
    }

    /// Returns whether the incarnation of a target's server is registered.
    pub(crate) fn is_registered(&self, target: &Target) -> bool {
        let fleet = self.fleet.borrow();
        let server = fleet.server(&target.server);
        server.is_some_and(|server| server.start_unix_ms == target.born)
    }

    /// Returns whether a server that has closed a connection has ended, as far as nodes can tell.
    ///
    /// What only this node sees may be the loss of its own links, so others are asked if it cannot
    /// connect to the server again.
    pub(crate) async fn has_server_ended(&self, target: &Target) -> bool {
        if !self.is_registered(target) {
            return true;
        }
        if self.pool.open(target.address).await.is_ok() {
            return false;
        }
        match self.is_reached_by_others(&target.server).await {
            Some(is_reached) => !is_reached,
            None => !self.reach.borrow().is_suspected(self.now()),
        }
    }

    /// Returns whether a server can be reached by another node; none if no other node tells.
    async fn is_reached_by_others(&self, server: &str) -> Option<bool> {
        for relay in self.relays() {
            match request(relay, server, Relay::Plain).await {
                Ok(_) => return Some(true),
                Err(Denial::Unreachable) => return Some(false),
                Err(Denial::Unknown | Denial::Unavailable) => {}
            }
        }
        None
    }
}

/// Asks a node to connect this one to a server, with a mark at the server's end of the connection
/// unless the node is of an older build.
async fn open(node: SocketAddr, server: &str) -> Result<(TcpStream, Relay), Denial> {
    match request(node, server, Relay::Marked).await {
        Ok(stream) => Ok((stream, Relay::Marked)),
        // An older build knows no server by the name with its suffix.
        Err(Denial::Unknown) => {
            let stream = request(node, server, Relay::Plain).await?;
            Ok((stream, Relay::Plain))
        }
        Err(denial) => Err(denial),
    }
}

/// Asks a node to connect this one to a server.
async fn request(node: SocketAddr, server: &str, relay: Relay) -> Result<TcpStream, Denial> {
    let suffix = match relay {
        Relay::Plain => "",
        Relay::Marked => MARKED_SUFFIX,
    };
    let open = async {
        let mut stream = TcpStream::connect(node).await?;
        stream.set_nodelay(true)?;
        let name = format!("{server}{suffix}\n");
        stream.write_all(name.as_bytes()).await?;
        let answer = stream.read_u8().await?;
        Ok::<_, io::Error>((stream, answer))
    };
    match time::timeout(OPEN_TIMEOUT.duration(), open).await {
        Ok(Ok((stream, CONNECTED))) => Ok(stream),
        Ok(Ok((_, UNREACHABLE))) => Err(Denial::Unreachable),
        Ok(Ok((_, UNAVAILABLE))) => Err(Denial::Unknown),
        Ok(Ok(_) | Err(_)) | Err(_) => Err(Denial::Unavailable),
    }
}

/// Accepts the requests of other nodes for connections to servers.
pub(crate) async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = Rc::clone(&node);
                ntex::rt::spawn(async move { serve(&node, stream).await });
            }
            Err(error) => {
                warn!(node.logger(), "connection of another node could not be accepted";
                    "error" => %error);
                time::sleep(ACCEPT_PAUSE.duration()).await;
            }
        }
    }
}

/// Connects another node to the server that it names.
async fn serve(node: &Rc<Node>, mut stream: TcpStream) {
    let named = time::timeout(NAME_TIMEOUT.duration(), read_name(&mut stream)).await;
    let Ok(Ok(name)) = named else {
        return;
    };
    let (name, relay) = match name.strip_suffix(MARKED_SUFFIX) {
        Some(name) => (name, Relay::Marked),
        None => (name.as_str(), Relay::Plain),
    };
    // Only registered servers outside evacuated zones are connected, and none for a node that is about to
    // end.
    let address = node
        .fleet
        .borrow()
        .server(name)
        .filter(|server| !node.evacuations.is_evacuated(&server.zone))
        .map(|server| server.address);
    let is_taking = !node.is_stopping() && node.tunnels.get() < MAX_TUNNELS;
    let Some(address) = address.filter(|_| is_taking) else {
        // The other node may have left.
        let _ = stream.write_u8(UNAVAILABLE).await;
        return;
    };
    let guard = Guard::new(node);
    let connecting = TcpStream::connect(address);
    let server = match time::timeout(CONNECT_TIMEOUT.duration(), connecting).await {
        Ok(Ok(server)) => server,
        Ok(Err(_)) | Err(_) => {
            let _ = stream.write_u8(UNREACHABLE).await;
            return;
        }
    };
    let is_set_up = connection::set_up(&server).and_then(|()| connection::set_up(&stream));
    if is_set_up.is_err() || stream.write_u8(CONNECTED).await.is_err() {
        return;
    }
    pass_on(node, stream, server, relay).await;
    drop(guard);
}

async fn read_name(stream: &mut TcpStream) -> io::Result<CompactString> {
    let mut name = Vec::new();
    loop {
        match stream.read_u8().await? {
            b'\n' => break,
            byte if name.len() < MAX_NAME => name.push(byte),
            _ => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
    CompactString::from_utf8(name).map_err(|_| io::ErrorKind::InvalidData.into())
}

/// Passes bytes on until either side ends, or the node stops and no request is under way.
async fn pass_on(node: &Node, mut peer: TcpStream, mut server: TcpStream, relay: Relay) {
    let is_answered = Cell::new(true);
    let active_at = Cell::new(node.now());
    let result = {
        let (mut from_peer, mut to_peer) = peer.split();
        let (mut from_server, mut to_server) = server.split();
        let requests = copy(&mut from_peer, &mut to_server, || {
            is_answered.set(false);
            active_at.set(node.now());
        });
        let record_answer = || {
            is_answered.set(true);
            active_at.set(node.now());
        };
        let answers = async {
            match relay {
                Relay::Plain => copy(&mut from_server, &mut to_peer, record_answer).await,
                Relay::Marked => marked::copy(&mut from_server, &mut to_peer, record_answer).await,
            }
        };
        let idle = async {
            node.stop.wait().await;
            loop {
                time::sleep(STOP_POLL.duration()).await;
                let since = node.now().since(active_at.get());
                if is_answered.get() && since >= IDLE_TIME {
                    return;
                }
            }
        };
        tokio::select! {
            result = requests => result,
            result = answers => result,
            () = idle => Ok(()),
        }
    };
    if result.is_err() {
        // A reset is passed on as one, so that an answer without a length does not look complete.
        for stream in [&peer, &server] {
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Copies bytes to the end of a stream.
async fn copy(
    from: &mut (impl tokio::io::AsyncRead + Unpin),
    to: &mut (impl tokio::io::AsyncWrite + Unpin),
    mut record: impl FnMut(),
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER];
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        record();
        to.write_all(&buffer[..count]).await?;
    }
}

/// Time between two probes of the servers while none is reached.
const PROBE_INTERVAL: Millis = Millis(500);

/// Probes servers directly while this node counts as cut off, one after the other.
pub(crate) async fn probe(node: Rc<Node>) {
    loop {
        time::sleep(PROBE_INTERVAL.duration()).await;
        if !node.reach.borrow().is_cut() {
            continue;
        }
        let servers: Vec<SocketAddr> = {
            let fleet = node.fleet.borrow();
            let servers = fleet.servers();
            servers
                .filter(|server| !node.evacuations.is_evacuated(&server.zone))
                .map(|server| server.address)
                .collect()
        };
        let Some(address) = fastrand::choice(&servers) else {
            continue;
        };
        if is_answered(*address).await {
            node.record_direct_answer(jackdaw_policy::reach::Link::New);
        }
    }
}

/// Returns whether a server answers a request that names none, which no server runs.
async fn is_answered(address: SocketAddr) -> bool {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        let request = format!("GET / HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await?;
        stream.read_u8().await
    };
    let answered = time::timeout(CONNECT_TIMEOUT.duration(), exchange).await;
    matches!(answered, Ok(Ok(_)))
}

impl Node {
    /// Records that a server has answered on a direct connection.
    pub(crate) fn record_direct_answer(&self, link: jackdaw_policy::reach::Link) {
        let now = self.now();
        if self.reach.borrow_mut().record_answer(link, now) {
            info!(self.logger(), "servers are reached again");
        }
    }

    /// Records that a server has failed a request on a direct connection.
    pub(crate) fn record_direct_failure(
        &self,
        server: &str,
        link: jackdaw_policy::reach::Link,
        failure: jackdaw_policy::reach::Failure,
    ) {
        let now = self.now();
        let mut reach = self.reach.borrow_mut();
        if reach.record_failure(server, link, failure, now) {
            let relays = reach.relays(&self.options.zone, now, &mut fastrand::Rng::new());
            warn!(self.logger(), "no server is reached; connections go through other nodes";
                "relays" => relays.len());
            self.counters_of_reach.cuts.add(1, &[]);
        }
    }
}
