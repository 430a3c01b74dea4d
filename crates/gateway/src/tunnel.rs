//! Connections to servers through other nodes, for a node that is cut off from all servers.
//!
//! A node connects another one to a server by its name and passes bytes on in both directions. The
//! request itself stays with the node that has taken it: attempts, retries, limits, deadlines and what
//! its caller is told are the same as over a direct connection, and a tunnel cannot lead to another
//! tunnel.
//!
//! The server takes the node that passes the bytes on for the sender. So that node reads which pauses the
//! server asks for, and opens no connection for requests to a server that wants none from it.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use compact_str::CompactString;
use http::HeaderMap;
use jackdaw_core::protocol::Pause;
use jackdaw_core::units::Millis;
use jackdaw_link::connection::{self, Connection, Relay, Via};
use jackdaw_policy::fleet::Target;
use jackdaw_policy::pause::Way;
use jackdaw_policy::throttle::ServerId;
use slog::{info, warn};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

use crate::limits::server_id;
use crate::marked;
use crate::node::Node;
use crate::passage::Passage;
use crate::pauses::Origin;

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
/// Pause after a failed accept.
const ACCEPT_PAUSE: Millis = Millis(10);

/// Answers to a node that asks for a connection to a server.
const CONNECTED: u8 = b'C';
const UNREACHABLE: u8 = b'U';
const UNAVAILABLE: u8 = b'N';
/// Followed by the milliseconds that are left of the pause, in four bytes.
const PAUSED: u8 = b'P';

/// What a connection through another node is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Callers' requests, which a server may not want for a time.
    Request,
    /// A question whether the server runs, which is asked in a pause as well.
    Question,
}

/// Terms on which a node asks another one for a connection, from the oldest to the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Terms {
    /// Bytes are passed on as they are.
    Plain,
    /// The server's end of the connection is marked.
    Marked,
    /// It is marked, and no caller's request is sent.
    Question,
}

impl Terms {
    fn new(purpose: Purpose) -> Self {
        match purpose {
            Purpose::Request => Terms::Marked,
            Purpose::Question => Terms::Question,
        }
    }

    /// Splits what another node has sent into a server's name and terms.
    fn parse(line: &str) -> (&str, Terms) {
        for terms in [Terms::Question, Terms::Marked] {
            if let Some(name) = line.strip_suffix(terms.suffix()) {
                return (name, terms);
            }
        }
        (line, Terms::Plain)
    }

    /// Gets what follows the server's name.
    fn suffix(self) -> &'static str {
        match self {
            Terms::Plain => "",
            Terms::Marked => "\t",
            Terms::Question => "\t?",
        }
    }

    /// Gets the terms for a node of an older build, which knows no server by a name with this suffix.
    fn older(self) -> Option<Terms> {
        match self {
            Terms::Plain => None,
            Terms::Marked => Some(Terms::Plain),
            Terms::Question => Some(Terms::Marked),
        }
    }

    fn relay(self) -> Relay {
        match self {
            Terms::Plain => Relay::Plain,
            Terms::Marked | Terms::Question => Relay::Marked,
        }
    }

    fn purpose(self) -> Purpose {
        match self {
            Terms::Plain | Terms::Marked => Purpose::Request,
            Terms::Question => Purpose::Question,
        }
    }
}

/// Why no node has opened a connection to a server.
#[derive(Clone, Debug)]
pub(crate) enum Unopened {
    /// The server wants no requests from the machines of those that were asked.
    Paused,
    /// None could.
    Fault(connection::Fault),
}

impl From<Unopened> for connection::Fault {
    fn from(unopened: Unopened) -> Self {
        match unopened {
            Unopened::Paused => {
                connection::Fault::NotSent("the server asked for a pause".to_owned())
            }
            Unopened::Fault(fault) => fault,
        }
    }
}

/// Why another node opened no connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denial {
    /// It does not reach the server either.
    Unreachable,
    /// The server wants no requests from it for a time.
    Paused(Millis),
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
    /// Returns the reason if no other node opens one.
    pub(crate) async fn open_tunnel(
        &self,
        target: &Target,
        purpose: Purpose,
    ) -> Result<Connection, Unopened> {
        let mut relays = self.all_relays();
        let mut unopened = match relays.is_empty() {
            true => Unopened::Fault(not_sent("no other node reaches servers")),
            false => Unopened::Paused,
        };
        if purpose == Purpose::Request {
            let server = server_id(target);
            relays.retain(|relay| {
                let way = Way::Through(relay.ip());
                self.pause_left_by(server, way).is_none()
            });
        }
        relays.truncate(MAX_RELAYS);
        for node in relays {
            let way = Way::Through(node.ip());
            match open(node, &target.server, purpose).await {
                Ok((stream, relay)) => {
                    self.counters_of_reach.opened.add(1, &[]);
                    let via = Via {
                        machine: node.ip(),
                        relay,
                    };
                    return connect_over(stream, target.address, via)
                        .await
                        .map_err(Unopened::Fault);
                }
                Err(Denial::Paused(left)) => {
                    self.record_pause(Origin::from(target), way, Pause::For(left), None);
                    unopened = Unopened::Paused;
                }
                Err(denial) => {
                    if denial == Denial::Unavailable {
                        self.record_relay_failure(node.ip());
                    }
                    let detail = format!("{node} opened no connection: {denial:?}");
                    unopened = Unopened::Fault(not_sent(detail));
                }
            }
        }
        Err(unopened)
    }

    /// Asks other nodes first for a time, as one gave no usable connection.
    pub(crate) fn record_relay_failure(&self, machine: IpAddr) {
        let now = self.now();
        self.reach.borrow_mut().record_relay_failure(machine, now);
    }

    fn all_relays(&self) -> Vec<SocketAddr> {
        let reach = self.reach.borrow();
        reach.relays(&self.options.zone, self.now(), &mut fastrand::Rng::new())
    }

    /// Returns the nodes through which servers may be reached, the best first.
    pub(crate) fn relays(&self) -> Vec<SocketAddr> {
        let mut relays = self.all_relays();
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
            match open(relay, server, Purpose::Question).await {
                Ok(_) => return Some(true),
                Err(Denial::Unreachable) => return Some(false),
                Err(Denial::Paused(_) | Denial::Unknown | Denial::Unavailable) => {}
            }
        }
        None
    }
}

fn not_sent(detail: impl Into<String>) -> connection::Fault {
    connection::Fault::NotSent(detail.into())
}

/// Opens a connection to a server.
///
/// # Errors
///
/// Returns an error if the server does not accept it in time.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    time::timeout(CONNECT_TIMEOUT.duration(), TcpStream::connect(address)).await?
}

/// Takes a stream on which another node begins to pass bytes on.
async fn connect_over(
    stream: TcpStream,
    server: SocketAddr,
    via: Via,
) -> Result<Connection, connection::Fault> {
    connection::set_up(&stream).map_err(|error| not_sent(format!("connect: {error}")))?;
    match via.relay {
        Relay::Plain => Connection::over(stream, server, via).await,
        Relay::Marked => Connection::over(marked::Stream::new(stream), server, via).await,
    }
}

/// Asks a node to connect this one to a server, with a mark at the server's end of the connection
/// unless the node is of an older build.
async fn open(
    node: SocketAddr,
    server: &str,
    purpose: Purpose,
) -> Result<(TcpStream, Relay), Denial> {
    let mut terms = Terms::new(purpose);
    loop {
        let denial = match request(node, server, terms).await {
            Ok(stream) => return Ok((stream, terms.relay())),
            Err(denial) => denial,
        };
        terms = match terms.older() {
            Some(older) if denial == Denial::Unknown => older,
            Some(_) | None => return Err(denial),
        };
    }
}

/// Asks a node to connect this one to a server.
async fn request(node: SocketAddr, server: &str, terms: Terms) -> Result<TcpStream, Denial> {
    let open = async {
        let mut stream = TcpStream::connect(node).await?;
        stream.set_nodelay(true)?;
        let name = format!("{server}{}\n", terms.suffix());
        stream.write_all(name.as_bytes()).await?;
        Ok::<_, io::Error>(match stream.read_u8().await? {
            CONNECTED => Ok(stream),
            UNREACHABLE => Err(Denial::Unreachable),
            UNAVAILABLE => Err(Denial::Unknown),
            PAUSED => Err(Denial::Paused(Millis(stream.read_u32().await?.into()))),
            _ => Err(Denial::Unavailable),
        })
    };
    match time::timeout(OPEN_TIMEOUT.duration(), open).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) | Err(_) => Err(Denial::Unavailable),
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
    let Ok(Ok(line)) = named else {
        return;
    };
    let (name, terms) = Terms::parse(&line);
    // Only registered servers outside evacuated zones are connected, and none for a node that is about to
    // end.
    let found = node
        .fleet
        .borrow()
        .server(name)
        .filter(|server| !node.evacuations.is_evacuated(&server.zone))
        .map(|server| (server.address, ServerId::new(name, server.start_unix_ms)));
    let is_taking = !node.is_stopping() && node.tunnels.get() < MAX_TUNNELS;
    let Some((address, id)) = found.filter(|_| is_taking) else {
        // The other node may have left.
        let _ = stream.write_u8(UNAVAILABLE).await;
        return;
    };
    if is_denied_in_pause(node, id, terms.purpose(), &mut stream).await {
        return;
    }
    let guard = Guard::new(node);
    let Ok(server) = connect(address).await else {
        let _ = stream.write_u8(UNREACHABLE).await;
        return;
    };
    // The pause may have begun meanwhile.
    if is_denied_in_pause(node, id, terms.purpose(), &mut stream).await {
        return;
    }
    let is_set_up = connection::set_up(&server).and_then(|()| connection::set_up(&stream));
    if is_set_up.is_err() || stream.write_u8(CONNECTED).await.is_err() {
        return;
    }
    let origin = Origin { id, server: name };
    let passage = Passage::new(node, origin, terms.purpose());
    passage.pass_on(stream, server, terms.relay()).await;
    drop(guard);
}

/// Tells another node that a server wants no requests from this one's machine; returns false if it does,
/// or gets none.
async fn is_denied_in_pause(
    node: &Node,
    server: ServerId,
    purpose: Purpose,
    stream: &mut TcpStream,
) -> bool {
    let left = match purpose {
        Purpose::Request => node.pause_left_by(server, Way::Direct),
        Purpose::Question => None,
    };
    let Some(left) = left else {
        return false;
    };
    let millis = u32::try_from(left.0).unwrap_or(u32::MAX).to_be_bytes();
    let answer = [PAUSED, millis[0], millis[1], millis[2], millis[3]];
    // The other node may have left.
    let _ = stream.write_all(&answer).await;
    true
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

/// Time between two probes of the servers while none is reached.
const PROBE_INTERVAL: Millis = Millis(500);

/// Probes servers directly while this node counts as cut off, one after the other.
pub(crate) async fn probe(node: Rc<Node>) {
    loop {
        time::sleep(PROBE_INTERVAL.duration()).await;
        if !node.reach.borrow().is_cut() {
            continue;
        }
        let Some(server) = fastrand::choice(probed(&node)) else {
            continue;
        };
        let probing = probe_server(&node, &server);
        let answered = time::timeout(CONNECT_TIMEOUT.duration(), probing).await;
        if matches!(answered, Ok(Ok(()))) {
            node.record_direct_answer(jackdaw_policy::reach::Link::New);
        }
    }
}

/// A server that may be probed.
struct Probed {
    name: CompactString,
    id: ServerId,
    address: SocketAddr,
}

/// Returns the servers that may be probed, outside evacuated zones and pauses.
fn probed(node: &Node) -> Vec<Probed> {
    let fleet = node.fleet.borrow();
    let servers = fleet
        .servers()
        .filter(|server| !node.evacuations.is_evacuated(&server.zone))
        .map(|server| Probed {
            name: server.id.clone(),
            id: ServerId::new(&server.id, server.start_unix_ms),
            address: server.address,
        });
    servers
        .filter(|server| node.pause_left_by(server.id, Way::Direct).is_none())
        .collect()
}

/// Sends a request of no caller's, which no server runs, and records the pause that its answer asks for.
///
/// # Errors
///
/// Returns the fault if there is no answer.
async fn probe_server(node: &Node, server: &Probed) -> Result<(), connection::Fault> {
    let mut connection = node.pool.open(server.address).await?;
    let origin = Origin {
        id: server.id,
        server: &server.name,
    };
    let question = node.question(&mut connection, origin, HeaderMap::new());
    question.await.map(drop)
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
