//! A node before servers of one fabric domain that fall silent together and go on.

use std::collections::HashSet;
use std::io::{BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::Duration;

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
/// Path that no server holds up.
const PROBE: &str = "/safe/probe";
/// Requests that earn one retry at the ratio of [`Retries::One`].
const REQUESTS_PER_RETRY: usize = 60;

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
    /// It sends bytes that are no answer.
    Garbled,
    /// It has withdrawn its registration.
    Withdrawn,
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

/// Whether and where servers fall silent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Running,
    /// All servers fall silent.
    Silent,
    /// Each server does with new requests what its [`Conduct`] says.
    Turned,
    Released,
}

/// What the servers have seen.
#[derive(Debug, Default)]
struct Events {
    phase: Phase,
    /// Identities and servers of the requests that have arrived.
    arrived: Vec<(String, usize)>,
    /// Number of requests under which a server has fallen silent.
    held: usize,
    /// Connections that the node has closed.
    closed: HashSet<SocketAddr>,
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
    shared: Arc<Shared>,
}

/// A request at a server.
struct Request<'a> {
    member: &'a Member,
    stream: TcpStream,
    /// Address of the node's end of the connection.
    peer: SocketAddr,
    id: String,
    path: String,
    /// Last event that the caller has.
    last: u64,
}

impl Member {
    fn listen(self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the port is bound");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let member = self.clone();
                thread::spawn(move || member.serve(stream));
            }
        });
        address
    }

    fn serve(&self, stream: TcpStream) {
        let peer = stream.peer_addr().expect("the connection is open");
        let mut reader = BufReader::new(stream.try_clone().expect("a descriptor is free"));
        while let Some((head, _)) = read_message(&mut reader) {
            let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
            let request = Request {
                member: self,
                stream: stream.try_clone().expect("a descriptor is free"),
                peer,
                id: field("id: ").unwrap_or_default().to_owned(),
                path: head.split(' ').nth(1).unwrap_or_default().to_owned(),
                last: field("last: ")
                    .and_then(|last| last.parse().ok())
                    .unwrap_or_default(),
            };
            let id = request.id.clone();
            self.shared
                .record(|events| events.arrived.push((id, self.number)));
            self.watch(&stream, peer);
            if request.answer().is_none() {
                break;
            }
        }
        // The node may have closed the connection.
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }

    /// Records when the node closes the connection of the request in progress.
    fn watch(&self, stream: &TcpStream, peer: SocketAddr) {
        let stream = stream.try_clone().expect("a descriptor is free");
        let shared = Arc::clone(&self.shared);
        thread::spawn(move || {
            if !matches!(stream.peek(&mut [0; 1]), Ok(1..)) {
                shared.record(|events| {
                    events.closed.insert(peer);
                });
            }
        });
    }
}

impl Request<'_> {
    /// Answers the request; returns none if the connection is to be closed.
    fn answer(mut self) -> Option<()> {
        let phase = self.member.shared.events().phase;
        if matches!(phase, Phase::Turned | Phase::Released) && self.path != PROBE {
            match self.member.conduct {
                Conduct::Sound | Conduct::Silent | Conduct::Withdrawn => {}
                Conduct::Refusing => {
                    let id = &self.id;
                    let refusal = format!(
                        "HTTP/1.1 503 Full\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n"
                    );
                    return self.write(&refusal);
                }
                Conduct::Closing => return None,
                Conduct::Garbled => {
                    self.write("these bytes are no answer\r\n\r\n")?;
                    return None;
                }
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
        for number in self.last + 1..=EVENTS {
            if number == MIDDLE.max(self.last) + 1 {
                self.hold(Point::Event)?;
            }
            let event = event(&self.id, number);
            self.write(&format!("{:x}\r\n{event}\r\n", event.len()))?;
        }
        self.write("0\r\n\r\n")
    }

    fn write(&mut self, bytes: &str) -> Option<()> {
        self.stream.write_all(bytes.as_bytes()).ok()
    }

    /// Waits for [`Domain::release`] if the server falls silent here; returns none if the node closes
    /// the connection meanwhile.
    fn hold(&self, point: Point) -> Option<()> {
        let shared = &self.member.shared;
        let is_silent = match shared.events().phase {
            Phase::Running | Phase::Released => false,
            Phase::Silent => true,
            Phase::Turned => self.member.conduct == Conduct::Silent,
        };
        if !is_silent || !self.path.contains(point.label()) {
            return Some(());
        }
        shared.record(|events| events.held += 1);
        let is_released = |events: &Events| events.phase == Phase::Released;
        let is_closed = |events: &Events| events.closed.contains(&self.peer);
        let ended = shared.wait_until(|events| is_released(events) || is_closed(events), TIMEOUT);
        let has_gone_on = ended && !is_closed(&shared.events());
        has_gone_on.then_some(())
    }
}

fn is_stream(path: &str) -> bool {
    path.starts_with("/stream/") || path.starts_with("/fragile/")
}

/// Returns an event of a request's stream.
fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

/// Returns a route of the service `service`.
fn route(prefix: &str, kind: RouteKind, max_attempts: u32) -> Route {
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
            service: "service".into(),
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
            name: "service".into(),
            max_connections: 100,
            engine: None,
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
        self.protocol.decode_request(headers)
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

    fn servers_prefix(&self) -> &'static str {
        self.protocol.servers_prefix()
    }
}

/// A caller that waits for its answer.
pub(crate) struct Caller {
    id: String,
    path: String,
    answer: JoinHandle<String>,
}

impl Caller {
    /// Waits for the answer and checks that it is the caller's own and whole.
    ///
    /// # Panics
    ///
    /// Panics if it is not.
    pub(crate) fn assert_whole(self, name: &str) {
        let answer = self.answer.join().expect("the caller ends");
        let whole = if is_stream(&self.path) {
            whole_stream(&self.id)
        } else {
            BODY.to_owned()
        };
        let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_default();
        let path = &self.path;
        assert!(
            head.starts_with("HTTP/1.1 200"),
            "{name}: {path} got {answer:?}"
        );
        let body = match head.to_lowercase().contains("transfer-encoding: chunked") {
            true => unchunk(body),
            false => Some(body.to_owned()),
        };
        assert_eq!(
            body.as_deref(),
            Some(whole.as_str()),
            "{name}: {path} got {answer:?}"
        );
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

/// A running node before the servers of a domain.
pub(crate) struct Domain {
    shared: Arc<Shared>,
    conducts: Vec<Conduct>,
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
        for (number, conduct) in conducts.iter().enumerate() {
            let member = Member {
                number,
                conduct: *conduct,
                shared: Arc::clone(&shared),
            };
            let id = format!("s{number}");
            store.put(&format!("servers/{id}"), "");
            registered.push(server(&id, member.listen()));
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
            conducts: conducts.to_vec(),
            store,
            process,
        };
        let warm_up = match retries {
            Retries::None => 0,
            Retries::One | Retries::Many => REQUESTS_PER_RETRY,
        };
        for _ in 0..warm_up {
            domain.call("probe", "GET", PROBE).assert_whole("a probe");
        }
        domain
    }

    /// Sends a request on a new connection.
    pub(crate) fn call(&self, id: &str, method: &str, path: &str) -> Caller {
        let address = self.process.callers;
        let body = if method == "POST" { id } else { "" };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: host\r\nid: {id}\r\ndeadline: {}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            DEADLINE.0,
            body.len()
        );
        Caller {
            id: id.to_owned(),
            path: path.to_owned(),
            answer: thread::spawn(move || exchange(address, &request)),
        }
    }

    /// Lets all servers fall silent, each request at its point.
    pub(crate) fn silence(&self) {
        self.shared.record(|events| events.phase = Phase::Silent);
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

    /// Puts the servers' conduct in force.
    pub(crate) fn turn(&self) {
        self.shared.record(|events| events.phase = Phase::Turned);
        for (number, conduct) in self.conducts.iter().enumerate() {
            if *conduct == Conduct::Withdrawn {
                self.store.delete(&format!("servers/s{number}"));
            }
        }
    }

    /// Lets the silent servers stay silent for a time, and go on.
    pub(crate) fn release_after(&self, silence: Duration) {
        self.shared.wait_until(|_| false, silence);
        self.shared.record(|events| events.phase = Phase::Released);
    }

    /// Stops the node.
    pub(crate) fn stop(self) {
        self.process.stop();
    }
}
