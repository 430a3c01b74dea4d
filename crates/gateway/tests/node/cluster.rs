//! Several nodes before servers that end under certain requests.

use std::collections::HashSet;
use std::io::{BufReader, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Instant;

use jackdaw_gateway::node::Parts;
use jackdaw_gateway::options::Options;
use jackdaw_gateway::server::Ports;
use slog::{Drain, Logger, Never, OwnedKVList, Record, o};
use socket2::{Domain, Socket, Type};

use super::store::{Feed, MemoryStore};
use super::support::{Process, TIMEOUT, exchange, options, parts, read_message, request, server};

/// Part of a path under which a server ends as soon as it begins to run the request.
pub(crate) const ENDS_SERVERS: &str = "bad";
/// Part of a path under which a server ends without closing its connections, as with a lost VM.
pub(crate) const SILENCES_SERVERS: &str = "mute";
/// Number of events that a held stream sends at once.
const EVENTS_BEFORE_HOLD: usize = 3;
/// Part of a path whose stream stops after some events until [`Servers::release`].
const HELD: &str = "held";
/// Number of events of such a stream; more than it can be cut off.
pub(crate) const HELD_EVENTS: usize = 20;
/// Part of a path whose run calls a node with a request that ends servers.
pub(crate) const CALLS: &str = "calls";
/// Bounds on the requests that cold servers get.
pub(crate) const WARMUP_OVERSHOOT: f64 = 1.5;
pub(crate) const WARMUP_SLACK: f64 = 5.0;

/// Largest datagram in bytes.
const MAX_DATAGRAM: usize = 64 << 10;
/// Number of connections that wait to be accepted.
const BACKLOG: i32 = 64;

/// What the servers have seen.
#[derive(Default)]
struct Events {
    /// Times at which servers ended.
    ended: Vec<Instant>,
    /// Times at which requests arrived that end servers.
    arrived: Vec<Instant>,
    /// Servers that answered other requests.
    answered: Vec<String>,
    /// Number of streams that wait for their release.
    held: usize,
    is_released: bool,
    /// Server that has ended and not started again.
    down: Option<Arc<Server>>,
}

/// State that all servers share.
#[derive(Default)]
pub(crate) struct Servers {
    events: Mutex<Events>,
    changed: Condvar,
    /// Node that runs call.
    callee: Mutex<Option<SocketAddr>>,
}

impl Servers {
    fn events(&self) -> MutexGuard<'_, Events> {
        self.events.lock().expect("no test panicked")
    }

    /// Returns the times at which servers ended.
    pub(crate) fn ended(&self) -> Vec<Instant> {
        self.events().ended.clone()
    }

    /// Returns how many requests that end servers arrived after a time.
    pub(crate) fn arrived_after(&self, time: Instant) -> usize {
        let events = self.events();
        events.arrived.iter().filter(|at| **at > time).count()
    }

    /// Returns the servers that have answered requests since the last call.
    pub(crate) fn take_answered(&self) -> Vec<String> {
        std::mem::take(&mut self.events().answered)
    }

    /// Waits until a condition holds, and returns whether it does within [`TIMEOUT`].
    fn wait_until(&self, holds: impl Fn(&Events) -> bool) -> bool {
        let waited = self
            .changed
            .wait_timeout_while(self.events(), TIMEOUT, |events| !holds(events))
            .expect("no test panicked");
        !waited.1.timed_out()
    }

    /// Waits until a number of streams wait for their release.
    ///
    /// # Panics
    ///
    /// Panics if they do not within [`TIMEOUT`].
    pub(crate) fn wait_held(&self, count: usize) {
        let is_held = self.wait_until(|events| events.held >= count);
        assert!(is_held, "{count} streams do not wait");
    }

    /// Lets the held streams go on.
    pub(crate) fn release(&self) {
        self.events().is_released = true;
        self.changed.notify_all();
    }
}

/// Binds a socket to a port that it keeps while it doesn't listen. A port that the system assigned
/// would be given up then, so a free one is looked up and bound by its number.
pub(crate) fn bind_fixed_port() -> (Socket, SocketAddr) {
    loop {
        let free = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = free.local_addr().expect("the port is bound");
        drop(free);
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a descriptor is free");
        // Connections that have ended do not keep the port from listening again.
        let reuse = socket.set_reuse_address(true);
        reuse.expect("the option is known");
        if socket.bind(&address.into()).is_ok() {
            return (socket, address);
        }
    }
}

/// A server that ends and starts again at the same address when the next one ends.
struct Server {
    id: String,
    store: Arc<MemoryStore>,
    shared: Arc<Servers>,
    socket: Socket,
    connections: Mutex<Vec<TcpStream>>,
    starts: AtomicUsize,
}

impl Server {
    fn listen(id: &str, store: &Arc<MemoryStore>, shared: &Arc<Servers>) -> SocketAddr {
        let (socket, address) = bind_fixed_port();
        socket.listen(BACKLOG).expect("the port is bound");
        let server = Arc::new(Server {
            id: id.to_owned(),
            store: Arc::clone(store),
            shared: Arc::clone(shared),
            socket,
            connections: Mutex::default(),
            starts: AtomicUsize::new(1),
        });
        thread::spawn(move || server.accept());
        address
    }

    /// Accepts connections; while the server is down, the port refuses them.
    fn accept(self: Arc<Self>) {
        loop {
            let Ok((stream, _)) = self.socket.accept() else {
                self.shared.wait_until(|events| {
                    let down = events.down.as_ref();
                    down.is_none_or(|down| !Arc::ptr_eq(down, &self))
                });
                continue;
            };
            let stream = TcpStream::from(stream);
            let clone = stream.try_clone().expect("a descriptor is free");
            self.connections().push(clone);
            let server = Arc::clone(&self);
            thread::spawn(move || server.serve(stream));
        }
    }

    fn connections(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.connections.lock().expect("no test panicked")
    }

    /// Ends the server and starts the one that ended before it.
    fn end(self: &Arc<Self>) {
        let mut events = self.shared.events();
        if events
            .down
            .as_ref()
            .is_some_and(|down| Arc::ptr_eq(down, self))
        {
            return;
        }
        events.ended.push(Instant::now());
        let before = events.down.replace(Arc::clone(self));
        self.starts.fetch_add(1, Ordering::SeqCst);
        // Other sides may have closed their connections already.
        let _ = self.socket.shutdown(Shutdown::Both);
        for connection in self.connections().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        if let Some(before) = before {
            before.socket.listen(BACKLOG).expect("the port is bound");
            let start = before.starts.load(Ordering::SeqCst);
            let key = format!("servers/{}", before.id);
            self.store.put(&key, &start.to_string());
        }
        drop(events);
        self.shared.changed.notify_all();
    }

    /// Registers the next incarnation in place of this one, which falls silent.
    fn replace(&self) {
        let start = self.starts.fetch_add(1, Ordering::SeqCst) + 1;
        self.shared.events().ended.push(Instant::now());
        self.store
            .put(&format!("servers/{}", self.id), &start.to_string());
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Some((head, _)) = read_message(&mut reader) {
            let path = head.split(' ').nth(1).unwrap_or_default();
            let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
            let id = field("id: ").unwrap_or_default();
            if path.contains(ENDS_SERVERS) {
                self.shared.events().arrived.push(Instant::now());
                self.end();
                return;
            }
            if path.contains(SILENCES_SERVERS) {
                self.shared.events().arrived.push(Instant::now());
                self.replace();
                // Keeps the connection open until the node closes it.
                let _ = reader.get_mut().read(&mut [0; 1]);
                return;
            }
            let answer = if path.contains(CALLS) {
                self.call(id)
            } else if path.contains(HELD) {
                let last = field("last: ").and_then(|last| last.parse().ok());
                let last = last.unwrap_or_default();
                if self.stream_held(reader.get_mut(), id, last).is_err() {
                    return;
                }
                continue;
            } else {
                self.shared.events().answered.push(self.id.clone());
                answer("200 OK", id)
            };
            if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Runs a request that calls a node, and fails as the call does.
    fn call(&self, id: &str) -> String {
        let callee = *self.shared.callee.lock().expect("no test panicked");
        let callee = callee.expect("the node that runs call is set");
        let call = request(&format!("{id}-call"), "GET", "/safe/bad");
        let answered = exchange(callee, &call);
        let is_success = answered.starts_with("HTTP/1.1 200");
        answer(if is_success { "200 OK" } else { "500 Failed" }, id)
    }

    /// Sends the events after the last one that the caller has, and the rest after the release.
    fn stream_held(&self, stream: &mut TcpStream, id: &str, last: usize) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in last + 1..=last + EVENTS_BEFORE_HOLD {
            stream.write_all(event(number).as_bytes())?;
        }
        let starts = self.starts.load(Ordering::SeqCst);
        self.shared.events().held += 1;
        self.shared.changed.notify_all();
        self.shared.wait_until(|events| {
            events.is_released || self.starts.load(Ordering::SeqCst) != starts
        });
        for number in last + EVENTS_BEFORE_HOLD + 1..=HELD_EVENTS {
            stream.write_all(event(number).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

/// Returns an event of a stream as a chunk.
fn event(number: usize) -> String {
    let text = format!("id: {number}\ndata: a\n\n");
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn answer(status: &str, id: &str) -> String {
    format!("HTTP/1.1 {status}\r\nid: {id}\r\nsigned: 1\r\ncontent-length: 4\r\n\r\ndone")
}

/// Keeps the messages that a node logs.
#[derive(Clone, Debug, Default)]
struct Messages(Arc<(Mutex<Vec<String>>, Condvar)>);

impl Drain for Messages {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let (messages, changed) = &*self.0;
        let mut messages = messages.lock().expect("no test panicked");
        messages.push(record.msg().to_string());
        changed.notify_all();
        Ok(())
    }
}

/// Addresses of the sockets whose datagrams are lost in both directions.
type Cut = Arc<Mutex<HashSet<SocketAddr>>>;

/// Forwards datagrams to a node, unless the node or the sender is cut off.
fn forward_datagrams(node: SocketAddr, cut: Cut) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let address = socket.local_addr().expect("the port is bound");
    thread::spawn(move || {
        let mut buf = vec![0; MAX_DATAGRAM];
        while let Ok((len, sender)) = socket.recv_from(&mut buf) {
            let cut = cut.lock().expect("no test panicked");
            if !cut.contains(&sender) && !cut.contains(&node) {
                // The node may have stopped.
                let _ = socket.send_to(&buf[..len], node);
            }
        }
    });
    address
}

/// One node of a [`Cluster`].
pub(crate) struct Member {
    process: Process,
    peers: SocketAddr,
    messages: Messages,
    pub(crate) feed: Arc<Feed>,
}

impl Member {
    /// Sends a request on a new connection and returns all bytes of the answer.
    pub(crate) fn call(&self, id: &str, path: &str) -> String {
        exchange(self.process.callers, &request(id, "GET", path))
    }

    /// Gets the address for callers.
    pub(crate) fn address(&self) -> SocketAddr {
        self.process.callers
    }

    /// Gets the address for datagrams.
    pub(crate) fn datagrams(&self) -> SocketAddr {
        self.peers
    }

    /// Waits until the node has logged a message.
    ///
    /// # Panics
    ///
    /// Panics if it does not within [`TIMEOUT`].
    pub(crate) fn wait_logged(&self, message: &str) {
        let (messages, changed) = &*self.messages.0;
        let messages = messages.lock().expect("no test panicked");
        let waited = changed
            .wait_timeout_while(messages, TIMEOUT, |messages| {
                !messages.iter().any(|logged| logged == message)
            })
            .expect("no test panicked");
        assert!(!waited.1.timed_out(), "{message:?} is not logged");
    }

    /// Returns whether the node has logged a message.
    pub(crate) fn has_logged(&self, message: &str) -> bool {
        let (messages, _) = &*self.messages.0;
        let messages = messages.lock().expect("no test panicked");
        messages.iter().any(|logged| logged == message)
    }

    /// Stops the node.
    pub(crate) fn stop(self) {
        self.process.stop();
    }
}

/// Nodes with a common store and common servers.
pub(crate) struct Cluster {
    pub(crate) nodes: Vec<Member>,
    pub(crate) servers: Arc<Servers>,
    pub(crate) store: Arc<MemoryStore>,
    registered: Vec<jackdaw_core::backend::Server>,
    cut: Cut,
    started: usize,
    /// Whether datagrams go to the nodes themselves. Otherwise none that answers another one's sender
    /// arrives, as that is the forwarder.
    is_direct: bool,
}

impl Cluster {
    /// Starts nodes and servers, and waits until all nodes are ready.
    pub(crate) fn start(nodes: usize, servers: usize) -> Cluster {
        Cluster::start_with(nodes, servers, false)
    }

    /// Starts nodes and servers like [`Cluster::start`]; the nodes answer each other's questions and
    /// cannot be cut off.
    pub(crate) fn start_direct(nodes: usize, servers: usize) -> Cluster {
        Cluster::start_with(nodes, servers, true)
    }

    fn start_with(nodes: usize, servers: usize, is_direct: bool) -> Cluster {
        let store = Arc::new(MemoryStore::new());
        let shared = Arc::new(Servers::default());
        store.put("configuration", "1");
        let registered = (0..servers)
            .map(|number| {
                let id = format!("s{number}");
                store.put(&format!("servers/{id}"), "1");
                server(&id, Server::listen(&id, &store, &shared))
            })
            .collect();
        let mut cluster = Cluster {
            nodes: Vec::new(),
            servers: shared,
            store,
            registered,
            cut: Cut::default(),
            started: 0,
            is_direct,
        };
        for _ in 0..nodes {
            cluster.add_node();
        }
        let first = cluster.nodes[0].address();
        *cluster.servers.callee.lock().expect("no test panicked") = Some(first);
        cluster
    }

    /// Starts another node and waits until it is ready.
    pub(crate) fn add_node(&mut self) {
        let mut options = Options {
            warmup_overshoot: WARMUP_OVERSHOOT,
            warmup_slack: WARMUP_SLACK,
            ..options(&format!("n{}", self.started))
        };
        self.started += 1;
        let mut ports = Ports::bind(&options).expect("ports are free");
        let peers = ports.peers.local_addr().expect("the port is bound");
        options.peers = peers;
        loop {
            if self.is_direct {
                break;
            }
            options.peers = forward_datagrams(peers, Arc::clone(&self.cut));
            // The port of the datagrams may be taken for connections.
            if let Ok(listener) = TcpListener::bind(options.peers) {
                ports.exchange = listener;
                break;
            }
        }
        let messages = Messages::default();
        let logger = Logger::root(messages.clone(), o!());
        let feed = Feed::new(&self.store);
        let parts = Parts {
            change_feed: feed.clone(),
            ..parts(&self.store, self.registered.clone(), logger)
        };
        let process = Process::launch(options, ports, parts);
        process.wait_ready();
        self.nodes.push(Member {
            process,
            peers,
            messages,
            feed,
        });
    }

    /// Checks that the node started last refuses a request, and that no server has ended beyond those
    /// that had before.
    ///
    /// # Panics
    ///
    /// Panics otherwise.
    pub(crate) fn assert_refused_by_last(&self, path: &str, before: usize) {
        let answer = self.nodes[self.nodes.len() - 1].call("late", path);
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert_eq!(self.servers.ended().len(), before);
    }

    /// Stops all nodes.
    pub(crate) fn stop_nodes(&mut self) {
        // All nodes stop at the same time.
        let stops: Vec<_> = self
            .nodes
            .drain(..)
            .map(|node| thread::spawn(move || node.stop()))
            .collect();
        for stop in stops {
            stop.join().expect("the node stops");
        }
    }

    /// Cuts a node off from the datagrams of the others.
    pub(crate) fn cut_off(&self, node: usize) {
        let mut cut = self.cut.lock().expect("no test panicked");
        cut.insert(self.nodes[node].peers);
    }

    /// Ends all cuts.
    pub(crate) fn heal(&self) {
        self.cut.lock().expect("no test panicked").clear();
    }
}
