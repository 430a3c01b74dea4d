//! A node before servers of one fabric domain that fall silent together and go on.

use std::collections::HashSet;
use std::io::{BufReader, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use http::{HeaderMap, StatusCode};
use jackdaw_core::backend;
use jackdaw_core::config::{Backend, Configuration, Route, RouteKind, Service};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::protocol::{Answer, Forwarding, Head, Protocol};
use jackdaw_core::store::Entry;
use jackdaw_core::units::Millis;
use jackdaw_gateway::node::Parts;
use jackdaw_gateway::options::Options;
use jackdaw_gateway::server::Ports;
use slog::{Logger, o};
use socket2::{Socket, Type};

use super::store::MemoryStore;
use super::support::{Process, TIMEOUT, exchange, options, parts, read_message, server};

/// Longest time that callers wait for an answer.
pub(crate) const DEADLINE: Millis = Millis(8_000);
/// Number of events of a stream.
const EVENTS: u64 = 6;
/// Last event before a server falls silent midway.
const MIDDLE: u64 = 3;
/// Body of a whole answer.
const BODY: &str = "first half, second half";
/// Length of the body's part before a server falls silent midway.
const HALF: usize = 10;
/// Service of the servers.
const SERVICE: &str = "service";
/// Path that no server holds up.
const PROBE: &str = "/safe/probe";
/// Part of the path of a stream that its server does not end.
const ENDLESS: &str = "/endless/";
/// Time between two events of such a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
/// Key that callers state.
pub(crate) const KEY: &str = "key";
/// Requests that earn one retry at the ratio of [`Retries::One`].
const REQUESTS_PER_RETRY: usize = 60;
/// Number of connections that wait to be accepted.
const BACKLOG: i32 = 64;

/// A place in an answer. A request names in its path the one at which a server falls silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Point {
    /// Before the head.
    Head,
    /// After the head of a stream.
    FirstEvent,
    /// After [`MIDDLE`] events of a stream.
    Event,
    /// After a part of the body of a whole answer.
    Body,
}

impl Point {
    /// Gets the part of a path that names the point.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Point::Head => "/head/",
            Point::FirstEvent => "/first-event/",
            Point::Event => "/event/",
            Point::Body => "/body/",
        }
    }
}

/// What a server does with the requests that arrive after [`Domain::turn`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Conduct {
    /// It answers them.
    Sound,
    /// It falls silent under them as before.
    Silent,
    /// It states that it did not run them.
    Refusing,
    /// It closes their connections.
    Closing,
    /// It ends under a caller's request, until [`Domain::listen_again`].
    Ending,
    /// It sends bytes that are no answer.
    Garbled,
    /// It has withdrawn its registration.
    Withdrawn,
    /// It is not registered before [`Domain::register`], and answers.
    Late,
}

/// Retries that the node has when the servers fall silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Retries {
    None,
    One,
    Many,
}

impl Retries {
    fn options(self) -> Options {
        let (retries, retry_ratio) = match self {
            Retries::None | Retries::One => (6, 0.02),
            Retries::Many => (1_000, 1.0),
        };
        Options {
            retries,
            retry_ratio,
            ..options("node")
        }
    }
}

/// Which servers fall silent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    None,
    All,
    /// Each server does with new requests what its [`Conduct`] says.
    ByConduct,
}

/// What the servers have seen.
#[derive(Debug, Default)]
struct Events {
    phase: Phase,
    /// Servers that go on.
    released: HashSet<usize>,
    /// Servers that have ended.
    ended: HashSet<usize>,
    /// Identities and servers of the requests that have arrived.
    arrived: Vec<(String, usize)>,
    /// Number of requests that servers work at.
    working: usize,
    /// Number of requests under which a server has fallen silent.
    held: usize,
    /// Number of connections that servers have accepted.
    accepted: usize,
    /// Connections that the node has closed.
    closed: HashSet<usize>,
}

impl Events {
    /// Returns what a server does with a new request.
    fn conduct(&self, member: &Member) -> Conduct {
        match self.phase {
            Phase::None => Conduct::Sound,
            Phase::All => Conduct::Silent,
            Phase::ByConduct => member.conduct,
        }
    }

    /// Returns whether a server neither answers nor goes on.
    fn is_silent(&self, member: &Member) -> bool {
        let is_silent = self.conduct(member) == Conduct::Silent;
        is_silent && !self.released.contains(&member.number)
    }
}

/// State that all servers share.
#[derive(Debug, Default)]
struct Shared {
    events: Mutex<Events>,
    changed: Condvar,
}

impl Shared {
    fn events(&self) -> MutexGuard<'_, Events> {
        self.events.lock().expect("no test panicked")
    }

    fn record(&self, change: impl FnOnce(&mut Events)) {
        change(&mut self.events());
        self.changed.notify_all();
    }

    /// Waits until a condition holds, and returns whether it does within a time.
    fn wait_until(&self, holds: impl Fn(&Events) -> bool, timeout: Duration) -> bool {
        let waited = self
            .changed
            .wait_timeout_while(self.events(), timeout, |events| !holds(events))
            .expect("no test panicked");
        !waited.1.timed_out()
    }
}

/// A server of the domain.
#[derive(Clone, Debug)]
struct Member {
    number: usize,
    conduct: Conduct,
    socket: Arc<Socket>,
    shared: Arc<Shared>,
}

/// A request at a server.
struct Request<'a> {
    member: &'a Member,
    stream: TcpStream,
    /// Number of the connection among those of all servers.
    connection: usize,
    id: String,
    path: String,
    /// Last event that the caller has.
    last: u64,
}

/// Binds a socket to a free port of which it keeps hold when it is shut down, as one that was bound to
/// any port would not.
fn bind_lasting() -> (Socket, SocketAddr) {
    let bind = |address: SocketAddr| {
        let socket = Socket::new(socket2::Domain::IPV4, Type::STREAM, None);
        let socket = socket.expect("a descriptor is free");
        socket.set_reuse_port(true).expect("the option is known");
        socket.bind(&address.into()).expect("the port is free");
        socket
    };
    let any = bind(SocketAddr::from(([127, 0, 0, 1], 0)));
    let address = any.local_addr().expect("the port is bound");
    let address = address.as_socket().expect("the address is one of IPv4");
    (bind(address), address)
}

impl Member {
    /// Starts a server on a free port.
    fn listen(number: usize, conduct: Conduct, shared: &Arc<Shared>) -> (Member, SocketAddr) {
        let (socket, address) = bind_lasting();
        socket.listen(BACKLOG).expect("the port is bound");
        let member = Member {
            number,
            conduct,
            socket: Arc::new(socket),
            shared: Arc::clone(shared),
        };
        let accepting = member.clone();
        thread::spawn(move || accepting.accept());
        (member, address)
    }

    /// Accepts connections; once the server has ended, the port refuses them.
    fn accept(&self) {
        while let Ok((stream, _)) = self.socket.accept() {
            let member = self.clone();
            // An answer is written in parts, of which each would wait for the peer's acknowledgement.
            stream.set_tcp_nodelay(true).expect("the option is known");
            thread::spawn(move || member.serve(stream.into()));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let connection = {
            let mut events = self.shared.events();
            events.accepted += 1;
            events.accepted
        };
        let mut reader = BufReader::new(stream.try_clone().expect("a descriptor is free"));
        while let Some((head, _)) = read_message(&mut reader) {
            let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
            let request = Request {
                member: self,
                stream: stream.try_clone().expect("a descriptor is free"),
                connection,
                id: field("id: ").unwrap_or_default().to_owned(),
                path: head.split(' ').nth(1).unwrap_or_default().to_owned(),
                last: field("last: ")
                    .and_then(|last| last.parse().ok())
                    .unwrap_or_default(),
            };
            let id = request.id.clone();
            self.shared.record(|events| {
                events.arrived.push((id, self.number));
                events.working += 1;
            });
            self.watch(&stream, connection);
            let is_answered = request.answer().is_some();
            self.shared.record(|events| events.working -= 1);
            if !is_answered {
                break;
            }
        }
        // The node may have closed the connection.
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Records when the node closes the connection of the request in progress.
    fn watch(&self, stream: &TcpStream, connection: usize) {
        let stream = stream.try_clone().expect("a descriptor is free");
        let shared = Arc::clone(&self.shared);
        thread::spawn(move || {
            if !matches!(stream.peek(&mut [0; 1]), Ok(1..)) {
                shared.record(|events| {
                    events.closed.insert(connection);
                });
            }
        });
    }
}

impl Request<'_> {
    /// Answers the request; returns none if the connection is to be closed.
    fn answer(mut self) -> Option<()> {
        let conduct = self.member.shared.events().conduct(self.member);
        match conduct {
            Conduct::Sound | Conduct::Silent | Conduct::Withdrawn | Conduct::Late => {}
            Conduct::Refusing => {
                let id = &self.id;
                let refusal = format!(
                    "HTTP/1.1 503 Full\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n"
                );
                return self.write(&refusal);
            }
            Conduct::Closing => return None,
            // A node that counts as cut off probes servers with requests of no caller, which no server runs.
            Conduct::Ending if self.id.is_empty() => {
                return self.write("HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n");
            }
            Conduct::Ending => {
                // Another request may have ended the server already.
                let _ = self.member.socket.shutdown(Shutdown::Both);
                return None;
            }
            Conduct::Garbled => {
                self.write("these bytes are no answer\r\n\r\n")?;
                return None;
            }
        }
        self.hold(Point::Head)?;
        if is_stream(&self.path) {
            return self.stream();
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nid: {}\r\nsigned: 1\r\ncontent-length: {}\r\n\r\n",
            self.id,
            BODY.len()
        );
        self.write(&head)?;
        self.write(&BODY[..HALF])?;
        self.hold(Point::Body)?;
        self.write(&BODY[HALF..])
    }

    fn stream(&mut self) -> Option<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nid: {}\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.id
        );
        self.write(&head)?;
        self.hold(Point::FirstEvent)?;
        if self.path.contains(ENDLESS) {
            return self.stream_on();
        }
        for number in self.last + 1..=EVENTS {
            if number == MIDDLE.max(self.last) + 1 {
                self.hold(Point::Event)?;
            }
            let event = event(&self.id, number);
            self.write(&format!("{:x}\r\n{event}\r\n", event.len()))?;
        }
        self.write("0\r\n\r\n")
    }

    /// Sends events until the node closes the connection, or [`TIMEOUT`] passes.
    fn stream_on(&mut self) -> Option<()> {
        let shared = Arc::clone(&self.member.shared);
        let start = Instant::now();
        for number in 1.. {
            let event = event(&self.id, number);
            self.write(&format!("{:x}\r\n{event}\r\n", event.len()))?;
            let is_closed = |events: &Events| events.closed.contains(&self.connection);
            if shared.wait_until(is_closed, EVENT_INTERVAL) || start.elapsed() > TIMEOUT {
                break;
            }
        }
        None
    }

    fn write(&mut self, bytes: &str) -> Option<()> {
        self.stream.write_all(bytes.as_bytes()).ok()
    }

    /// Waits until the server goes on if it falls silent here; returns none if the node closes the
    /// connection meanwhile or the server ends.
    fn hold(&self, point: Point) -> Option<()> {
        let member = self.member;
        let shared = &member.shared;
        if !self.path.contains(point.label()) || !shared.events().is_silent(member) {
            return Some(());
        }
        shared.record(|events| events.held += 1);
        let is_cut = |events: &Events| {
            events.closed.contains(&self.connection) || events.ended.contains(&member.number)
        };
        let ends = |events: &Events| is_cut(events) || events.released.contains(&member.number);
        let has_ended = shared.wait_until(ends, TIMEOUT);
        (has_ended && !is_cut(&shared.events())).then_some(())
    }
}

fn is_stream(path: &str) -> bool {
    path.starts_with("/stream/") || path.starts_with("/fragile/")
}

/// Returns an event of a request's stream.
fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

/// Returns a route to [`SERVICE`].
pub(crate) fn route(prefix: &str, kind: RouteKind, max_attempts: u32) -> Route {
    Route {
        name: prefix.trim_matches('/').into(),
        host: "host".into(),
        prefix: prefix.into(),
        kind,
        timeout: DEADLINE,
        objective: Millis(100),
        max_gap: None,
        priority: 1,
        max_attempts,
        anonymous: true,
        backends: vec![Backend {
            service: SERVICE.into(),
            weight: 1,
        }],
    }
}

/// Returns a configuration whose routes send a request to a number of servers at most.
pub(crate) fn configuration(max_attempts: u32) -> Configuration {
    let resumable = RouteKind::Stream { resumable: true };
    let fragile = RouteKind::Stream { resumable: false };
    Configuration {
        version: 1,
        routes: vec![
            route("/once/", RouteKind::NonIdempotent, max_attempts),
            route("/safe/", RouteKind::Idempotent, max_attempts),
            route("/stream/", resumable, max_attempts),
            route("/fragile/", fragile, max_attempts),
        ],
        services: vec![Service {
            name: SERVICE.into(),
            max_connections: 100,
            engine: None,
            warmup: None,
        }],
        ..Configuration::default()
    }
}

/// Protocol whose configurations are values of a test; the store holds their versions.
struct Versions {
    protocol: Arc<dyn Protocol>,
    configurations: Vec<Configuration>,
}

impl Protocol for Versions {
    fn decode_request(&self, headers: &HeaderMap) -> Result<Head> {
        let key = headers.get("key").and_then(|key| key.to_str().ok());
        let head = self.protocol.decode_request(headers)?;
        Ok(Head {
            key: key.map(Into::into),
            ..head
        })
    }

    fn write_headers(&self, headers: &mut HeaderMap, forwarding: &Forwarding<'_>) {
        self.protocol.write_headers(headers, forwarding);
    }

    fn decode_answer(&self, status: StatusCode, headers: &HeaderMap) -> Answer {
        self.protocol.decode_answer(status, headers)
    }

    fn readiness_path(&self) -> &'static str {
        self.protocol.readiness_path()
    }

    fn decode_configuration(&self, value: &[u8]) -> Result<Configuration> {
        let version = std::str::from_utf8(value).ok();
        let version = version.and_then(|version| version.parse().ok());
        let mut configurations = self.configurations.iter();
        configurations
            .find(|configuration| Some(configuration.version) == version)
            .cloned()
            .ok_or_else(|| Error::malformed("read entry", "configuration", "unknown version"))
    }

    fn decode_server(&self, entry: &Entry) -> Result<backend::Server> {
        self.protocol.decode_server(entry)
    }

    fn configuration_key(&self) -> &'static str {
        self.protocol.configuration_key()
    }

    fn operators_prefix(&self) -> &'static str {
        self.protocol.operators_prefix()
    }

    fn decode_evacuation(&self, key: &str) -> Option<CompactString> {
        self.protocol.decode_evacuation(key)
    }

    fn servers_prefix(&self) -> &'static str {
        self.protocol.servers_prefix()
    }
}

/// A caller that waits for its answer.
pub(crate) struct Caller {
    id: String,
    path: String,
    answer: JoinHandle<Ending>,
}

/// An answer as far as it came.
struct Ending {
    answer: String,
    /// Time from the call to the end of the answer.
    after: Duration,
}

impl Caller {
    /// Returns whether the answer has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.answer.is_finished()
    }

    /// Waits for the answer and checks that it is the caller's own and whole.
    ///
    /// # Panics
    ///
    /// Panics if it is not.
    pub(crate) fn assert_whole(self, name: &str) {
        let path = self.path.clone();
        let whole = if is_stream(&self.path) {
            whole_stream(&self.id)
        } else {
            BODY.to_owned()
        };
        let Ending { answer, .. } = self.wait();
        let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_default();
        assert!(
            head.starts_with("HTTP/1.1 200"),
            "{name}: {path} got {answer:?}"
        );
        let body = if head.to_lowercase().contains("transfer-encoding: chunked") {
            unchunk(body)
        } else {
            Some(body.to_owned())
        };
        assert_eq!(
            body.as_deref(),
            Some(whole.as_str()),
            "{name}: {path} got {answer:?}"
        );
    }

    /// Waits for the answer and checks that it is whole and came long before the deadline.
    ///
    /// # Panics
    ///
    /// Panics if it is not, or did not.
    pub(crate) fn assert_whole_early(self, name: &str) {
        let start = Instant::now();
        self.assert_whole(name);
        let after = start.elapsed();
        assert!(after < DEADLINE.duration() / 2, "{name}: after {after:?}");
    }

    /// Waits for the answer and checks that it ended long before the deadline, refused or broken off.
    ///
    /// # Panics
    ///
    /// Panics if it did not.
    pub(crate) fn assert_given_up(self, name: &str) {
        let path = self.path.clone();
        let Ending { answer, after } = self.wait();
        let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_default();
        let is_refused = ["HTTP/1.1 502", "HTTP/1.1 503"]
            .iter()
            .any(|status| head.starts_with(status));
        let is_broken_off = head.starts_with("HTTP/1.1 200") && unchunk(body).is_none();
        assert!(is_refused || is_broken_off, "{name}: {path} got {answer:?}");
        assert!(
            after < DEADLINE.duration() / 2,
            "{name}: {path} got {answer:?} after {after:?}"
        );
    }

    fn wait(self) -> Ending {
        self.answer.join().expect("the caller ends")
    }
}

fn whole_stream(id: &str) -> String {
    (1..=EVENTS).map(|number| event(id, number)).collect()
}

/// Returns the content of a chunked body, or none if the body has no end.
fn unchunk(mut body: &str) -> Option<String> {
    let mut content = String::new();
    loop {
        let (length, rest) = body.split_once("\r\n")?;
        let length = usize::from_str_radix(length, 16).ok()?;
        if length == 0 {
            return (rest == "\r\n").then_some(content);
        }
        content.push_str(rest.get(..length)?);
        body = rest.get(length..)?.strip_prefix("\r\n")?;
    }
}

/// Requests that wait for a silent server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wait {
    pub(crate) method: &'static str,
    pub(crate) route: &'static str,
    pub(crate) point: Point,
}

impl Wait {
    /// Sends a request of this kind.
    pub(crate) fn call(&self, domain: &Domain, number: usize) -> Caller {
        let path = format!("{}{}{number}", self.route, self.point.label());
        domain.call(&format!("r{number}"), self.method, &path)
    }

    /// Sends a request of this kind with an identity; all these are repetitions of each other.
    pub(crate) fn call_as(&self, domain: &Domain, id: &str) -> Caller {
        let path = format!("{}{}same", self.route, self.point.label());
        domain.call(id, self.method, &path)
    }
}

pub(crate) const STREAM_HEAD: Wait = Wait {
    method: "POST",
    route: "/stream",
    point: Point::Head,
};
pub(crate) const STREAM_START: Wait = Wait {
    point: Point::FirstEvent,
    ..STREAM_HEAD
};
pub(crate) const STREAM: Wait = Wait {
    point: Point::Event,
    ..STREAM_HEAD
};
pub(crate) const WHOLE_HEAD: Wait = Wait {
    method: "GET",
    route: "/safe",
    point: Point::Head,
};
pub(crate) const WHOLE: Wait = Wait {
    point: Point::Body,
    ..WHOLE_HEAD
};
pub(crate) const FRAGILE_HEAD: Wait = Wait {
    route: "/fragile",
    ..STREAM_HEAD
};
pub(crate) const FRAGILE: Wait = Wait {
    route: "/fragile",
    ..STREAM
};
pub(crate) const ONCE_HEAD: Wait = Wait {
    method: "POST",
    route: "/once",
    ..WHOLE_HEAD
};
pub(crate) const ONCE: Wait = Wait {
    method: "POST",
    route: "/once",
    ..WHOLE
};

/// A running node before the servers of a domain.
pub(crate) struct Domain {
    shared: Arc<Shared>,
    members: Vec<Member>,
    pub(crate) store: Arc<MemoryStore>,
    process: Process,
}

impl Domain {
    /// Starts a node before servers with a configuration, waits until it is ready, and lets requests
    /// earn its retries.
    pub(crate) fn start(
        conducts: &[Conduct],
        retries: Retries,
        configurations: Vec<Configuration>,
    ) -> Domain {
        let shared = Arc::new(Shared::default());
        let store = Arc::new(MemoryStore::new());
        store.put("configuration", "1");
        let mut registered = Vec::new();
        let mut members = Vec::new();
        for (number, conduct) in conducts.iter().enumerate() {
            let (member, address) = Member::listen(number, *conduct, &shared);
            members.push(member);
            registered.push(server(&format!("s{number}"), address));
            if *conduct != Conduct::Late {
                store.put(&registration(number), "");
            }
        }
        let options = retries.options();
        let ports = Ports::bind(&options).expect("ports are free");
        let parts = parts(&store, registered, Logger::root(slog::Discard, o!()));
        let versions = Versions {
            protocol: Arc::clone(&parts.protocol),
            configurations,
        };
        let parts = Parts {
            protocol: Arc::new(versions),
            ..parts
        };
        let process = Process::launch(options, ports, parts);
        process.wait_ready();
        let domain = Domain {
            shared,
            members,
            store,
            process,
        };
        let warm_up = match retries {
            Retries::None => 0,
            Retries::One | Retries::Many => REQUESTS_PER_RETRY,
        };
        (0..warm_up).for_each(|_| domain.probe());
        domain
    }

    /// Gets the node's address for callers.
    pub(crate) fn address(&self) -> SocketAddr {
        self.process.callers
    }

    /// Sends a request on a new connection.
    pub(crate) fn call(&self, id: &str, method: &str, path: &str) -> Caller {
        self.call_within(DEADLINE, id, method, path)
    }

    /// Sends a request with a deadline on a new connection.
    pub(crate) fn call_within(
        &self,
        deadline: Millis,
        id: &str,
        method: &str,
        path: &str,
    ) -> Caller {
        let body = if method == "POST" { id } else { "" };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: host\r\nid: {id}\r\nkey: {KEY}\r\ndeadline: {}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            deadline.0,
            body.len()
        );
        self.send(id, path, request)
    }

    /// Sends the bytes of a request on a new connection.
    pub(crate) fn send(&self, id: &str, path: &str, request: String) -> Caller {
        let address = self.address();
        Caller {
            id: id.to_owned(),
            path: path.to_owned(),
            answer: thread::spawn(move || {
                let start = Instant::now();
                let answer = exchange(address, &request);
                let after = start.elapsed();
                Ending { answer, after }
            }),
        }
    }

    /// Sends a request that no server holds up; it earns a part of a retry.
    ///
    /// # Panics
    ///
    /// Panics if its answer is not whole.
    pub(crate) fn probe(&self) {
        self.call("probe", "GET", PROBE).assert_whole("a probe");
    }

    /// Lets all servers fall silent, each request at its point.
    pub(crate) fn silence(&self) {
        self.shared.record(|events| events.phase = Phase::All);
    }

    /// Waits until servers have fallen silent under a number of requests.
    ///
    /// # Panics
    ///
    /// Panics if they have not within [`TIMEOUT`].
    pub(crate) fn wait_held(&self, count: usize) {
        let is_held = |events: &Events| events.held >= count;
        let is_held = self.shared.wait_until(is_held, TIMEOUT);
        assert!(is_held, "{count} requests are not held");
    }

    /// Returns the numbers of the servers at which a request has arrived, in order.
    pub(crate) fn servers_of(&self, id: &str) -> Vec<usize> {
        let events = self.shared.events();
        let arrived = events.arrived.iter().filter(|(arrived, _)| arrived == id);
        arrived.map(|(_, server)| *server).collect()
    }

    /// Puts the servers' conduct in force.
    pub(crate) fn turn(&self) {
        self.shared.record(|events| events.phase = Phase::ByConduct);
        for member in &self.members {
            if member.conduct == Conduct::Withdrawn {
                self.withdraw(member.number);
            }
        }
    }

    /// Waits until no server works at a request, and returns whether that is so within a time.
    pub(crate) fn rests_within(&self, timeout: Duration) -> bool {
        self.shared
            .wait_until(|events| events.working == 0, timeout)
    }

    /// Lets one silent server go on.
    pub(crate) fn release_one(&self, number: usize) {
        self.shared.record(|events| {
            events.released.insert(number);
        });
    }

    /// Lets the silent servers go on.
    pub(crate) fn release(&self) {
        let numbers = self.members.iter().map(|member| member.number);
        self.shared.record(|events| events.released.extend(numbers));
    }

    /// Lets the silent servers stay silent for a time, and go on.
    pub(crate) fn release_after(&self, silence: Duration) {
        self.pause(silence);
        self.release();
    }

    /// Lets a time pass.
    pub(crate) fn pause(&self, time: Duration) {
        self.shared.wait_until(|_| false, time);
    }

    /// Ends a server, so that its connections close and its port refuses others, and lets the other
    /// servers go on.
    pub(crate) fn end(&self, number: usize) {
        // Connections may have been closed by the node.
        let _ = self.members[number].socket.shutdown(Shutdown::Both);
        let others = (0..self.members.len()).filter(|other| *other != number);
        self.shared.record(|events| {
            events.ended.insert(number);
            events.released.extend(others);
        });
    }

    /// Starts a server that ended as a new incarnation at its address, and lets the requests go on that
    /// it holds.
    pub(crate) fn restart(&self, number: usize) {
        self.shared.record(|events| {
            events.ended.remove(&number);
            events.released.insert(number);
        });
        self.listen_again(number);
    }

    /// Starts a server that ended as a new incarnation at its address.
    pub(crate) fn listen_again(&self, number: usize) {
        let member = self.members[number].clone();
        member.socket.listen(BACKLOG).expect("the port is bound");
        thread::spawn(move || member.accept());
        self.store.put(&registration(number), "2");
    }

    /// Registers a server.
    pub(crate) fn register(&self, number: usize) {
        self.store.put(&registration(number), "");
    }

    /// Waits until the node knows a server.
    ///
    /// # Panics
    ///
    /// Panics if it does not within [`TIMEOUT`].
    pub(crate) fn wait_registered(&self, number: usize) {
        let start = Instant::now();
        while !self.servers_of("probe").contains(&number) {
            assert!(start.elapsed() < TIMEOUT, "server {number} is not known");
            // Until then there may be no server that answers.
            self.call("probe", "GET", PROBE).wait();
        }
    }

    /// Waits until the node has a route for a path.
    ///
    /// # Panics
    ///
    /// Panics if it has none within [`TIMEOUT`].
    pub(crate) fn wait_routed(&self, path: &str) {
        let start = Instant::now();
        let answer = || self.call("probe", "GET", path).wait().answer;
        while answer().starts_with("HTTP/1.1 404") {
            assert!(start.elapsed() < TIMEOUT, "{path} has no route");
        }
    }

    /// Registers a new incarnation of a server.
    pub(crate) fn replace(&self, number: usize) {
        self.store.put(&registration(number), "2");
    }

    /// Lets requests earn a retry at the ratio of [`Retries::One`].
    pub(crate) fn earn_retry(&self) {
        (0..REQUESTS_PER_RETRY).for_each(|_| self.probe());
    }

    /// Removes a server's registration.
    pub(crate) fn withdraw(&self, number: usize) {
        self.store.delete(&registration(number));
    }

    /// Stops the node.
    pub(crate) fn stop(self) {
        self.process.stop();
    }
}

/// Returns the key of a server's registration.
fn registration(number: usize) -> String {
    format!("servers/s{number}")
}
