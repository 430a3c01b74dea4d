//! Tests of servers that stop within the head of their answer.

use std::io::{BufReader, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use jackdaw_core::backend::Server;
use jackdaw_gateway::options::Options;
use jackdaw_gateway::server::Ports;
use rstest::rstest;
use slog::{Logger, o};
use socket2::{Domain, SockRef, Socket, Type};

use super::store::MemoryStore;
use super::support::{
    Process, TIMEOUT, answer_probe, exchange, options, parts, read_message, request, server,
};

/// Body of a sound whole answer.
const BODY: &str = "whole";
/// Number of events of a sound stream.
const EVENTS: u64 = 3;
/// Part of a path whose first answer ends within its head.
const CUT: &str = "cut";

/// What a server does after the last bytes that it sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It closes the connection.
    Close,
    /// It resets the connection.
    Reset,
    /// It closes its side, and reads on.
    HalfClose,
    /// It closes the connection once the node has answered another request.
    CloseLater,
}

/// Answers to a request whose first one ends within its head.
#[derive(Clone, Copy, Debug)]
enum Later {
    /// All others are sound.
    Sound,
    /// All others end there as well.
    Cut,
    /// All others are refusals.
    Refused,
}

/// What a server sends in place of a whole head; `ID` stands for the request's identity.
#[derive(Clone, Debug)]
struct Reply {
    bytes: String,
    end: End,
    later: Later,
}

/// A request that has arrived at a server.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Arrival {
    id: String,
    /// Whether its connection had carried another one.
    is_kept: bool,
}

#[derive(Debug, Default)]
struct Events {
    reply: Option<Reply>,
    arrived: Vec<Arrival>,
    /// Numbers of heads that were begun.
    begun: usize,
    /// Whether connections that are closed later end.
    is_released: bool,
}

/// Servers that answer requests with [`CUT`] in their paths with replies of a test.
#[derive(Clone, Debug, Default)]
struct Servers(Arc<(Mutex<Events>, Condvar)>);

impl Servers {
    fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the port is bound");
        let servers = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let servers = servers.clone();
                thread::spawn(move || servers.serve(stream));
            }
        });
        address
    }

    fn events(&self) -> MutexGuard<'_, Events> {
        self.0.0.lock().expect("no test panicked")
    }

    fn record<T>(&self, change: impl FnOnce(&mut Events) -> T) -> T {
        let value = change(&mut self.events());
        self.0.1.notify_all();
        value
    }

    fn wait_until(&self, holds: impl Fn(&Events) -> bool) {
        let waited = self
            .0
            .1
            .wait_timeout_while(self.events(), TIMEOUT, |events| !holds(events))
            .expect("no test panicked");
        assert!(!waited.1.timed_out(), "an event does not occur");
    }

    /// Sets the reply to later requests, and forgets earlier ones.
    fn set_reply(&self, reply: Reply) {
        self.record(|events| {
            *events = Events {
                reply: Some(reply),
                ..Events::default()
            };
        });
    }

    /// Returns how a request has arrived.
    fn arrivals(&self, id: &str) -> Vec<Arrival> {
        let mut arrived = self.events().arrived.clone();
        arrived.retain(|arrival| arrival.id == id);
        arrived
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a descriptor is free"));
        let mut is_kept = false;
        while let Some((head, _)) = read_message(&mut reader) {
            if answer_probe(&mut stream, &head) {
                continue;
            }
            let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
            let id = field("id: ").unwrap_or_default().to_owned();
            let path = head.split(' ').nth(1).unwrap_or_default();
            let reply = self.record(|events| {
                let number = events.arrived.iter().filter(|other| other.id == id).count();
                let id = id.clone();
                events.arrived.push(Arrival { id, is_kept });
                let reply = events.reply.clone().filter(|_| path.contains(CUT))?;
                Some((number, reply))
            });
            is_kept = true;
            let answer = match reply {
                Some((0, reply)) => return self.break_off(stream, &id, &reply),
                Some((_, reply)) => match reply.later {
                    Later::Cut => return self.break_off(stream, &id, &reply),
                    Later::Refused => REFUSAL.replace("ID", &id),
                    Later::Sound => sound_answer(&id, path),
                },
                None => sound_answer(&id, path),
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Sends a part of a head, and ends the connection.
    fn break_off(&self, mut stream: TcpStream, id: &str, reply: &Reply) {
        let bytes = reply.bytes.replace("ID", id);
        stream.write_all(bytes.as_bytes()).expect("the node reads");
        self.record(|events| events.begun += 1);
        match reply.end {
            End::Close => {}
            End::Reset => {
                let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                linger.expect("the option is known");
            }
            End::HalfClose => {
                stream.shutdown(Shutdown::Write).expect("it is open");
                // The node closes its side.
                let _ = stream.read(&mut [0]);
            }
            End::CloseLater => self.wait_until(|events| events.is_released),
        }
    }
}

/// Returns a whole answer, or a complete stream.
fn sound_answer(id: &str, path: &str) -> String {
    let signed = format!("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: 1\r\n");
    if !is_stream(path) {
        return format!("{signed}content-length: {}\r\n\r\n{BODY}", BODY.len());
    }
    let mut answer =
        format!("{signed}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
    for number in 1..=EVENTS {
        let event = event(number);
        answer.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    answer + "0\r\n\r\n"
}

fn is_stream(path: &str) -> bool {
    path.starts_with("/stream/") || path.starts_with("/fragile/")
}

fn event(number: u64) -> String {
    format!("id: {number}\ndata: a\n\n")
}

/// A kind of request, and whether it may be sent again.
#[derive(Clone, Copy, Debug)]
struct Kind {
    method: &'static str,
    prefix: &'static str,
    is_repeatable: bool,
}

const KINDS: [Kind; 4] = [
    Kind {
        method: "GET",
        prefix: "/safe/",
        is_repeatable: true,
    },
    Kind {
        method: "POST",
        prefix: "/once/",
        is_repeatable: false,
    },
    Kind {
        method: "POST",
        prefix: "/stream/",
        is_repeatable: true,
    },
    Kind {
        method: "POST",
        prefix: "/fragile/",
        is_repeatable: false,
    },
];

/// What a caller gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// A whole answer or a complete stream.
    Whole,
    /// A failure that promises nothing.
    Failed,
}

/// Returns what an answer is to its caller, or none if it is neither.
fn outcome(answer: &str, path: &str) -> Option<Outcome> {
    let (head, body) = answer.split_once("\r\n\r\n")?;
    if head.starts_with("HTTP/1.1 502") {
        return Some(Outcome::Failed);
    }
    let is_whole = match is_stream(path) {
        // Each event has a chunk of its own, whose size may be written in capitals.
        true => {
            let sound = sound_answer("", path);
            body.eq_ignore_ascii_case(sound.split_once("\r\n\r\n")?.1)
        }
        false => body == BODY,
    };
    (head.starts_with("HTTP/1.1 200") && is_whole).then_some(Outcome::Whole)
}

/// A node before some servers.
struct Node {
    servers: Servers,
    process: Process,
    sent: usize,
}

impl Node {
    fn start(count: usize) -> Node {
        let servers = Servers::default();
        let registered: Vec<Server> = (0..count)
            .map(|number| server(&format!("s{number}"), servers.listen()))
            .collect();
        let store = Arc::new(MemoryStore::new());
        let process = launch(&store, registered, "node");
        Node {
            servers,
            process,
            sent: 0,
        }
    }

    /// Sends a request of a kind whose first answer ends within its head while all later ones are sound,
    /// and checks that it is repeated if it may be and has failed otherwise.
    fn assert_failure(&mut self, name: &str, kind: Kind, reply: &Reply) {
        let (expected, attempts) = match kind.is_repeatable {
            true => (Outcome::Whole, 2),
            false => (Outcome::Failed, 1),
        };
        let arrivals = self.assert_outcome(kind, reply, expected);
        assert_eq!(arrivals.len(), attempts, "{name}: {reply:?}");
    }

    /// Sends a request of a kind whose first answer ends within its head, and checks what its caller
    /// and the servers see.
    fn assert_outcome(&mut self, kind: Kind, reply: &Reply, expected: Outcome) -> Vec<Arrival> {
        let name = format!("{} {reply:?}", kind.prefix);
        self.servers.set_reply(reply.clone());
        self.sent += 1;
        let id = format!("r{}", self.sent);
        // Requests that resemble each other are suspected if servers end under them.
        let path = format!("{}{CUT}-{id}", kind.prefix);
        let callers = self.process.callers;
        let sent = request(&id, kind.method, &path);
        let answer = if reply.end == End::CloseLater {
            let caller = thread::spawn(move || exchange(callers, &sent));
            self.servers.wait_until(|events| events.begun > 0);
            self.call_soundly();
            self.servers.record(|events| events.is_released = true);
            caller.join().expect("the caller ends")
        } else {
            exchange(callers, &sent)
        };
        assert_eq!(outcome(&answer, &path), Some(expected), "{name}: {answer}");
        let arrivals = self.servers.arrivals(&id);
        assert!(!arrivals.is_empty(), "{name}");
        assert!(kind.is_repeatable || arrivals.len() == 1, "{name}");
        arrivals
    }

    /// Waits until the node gets an answer although its servers refuse connections.
    fn wait_relayed(&self) {
        let start = Instant::now();
        let sent = request("relayed", "GET", "/safe/relayed");
        while !exchange(self.process.callers, &sent).starts_with("HTTP/1.1 200") {
            assert!(start.elapsed() < TIMEOUT, "no other node is asked");
        }
    }

    /// Sends a request that is answered soundly.
    fn call_soundly(&mut self) {
        self.sent += 1;
        let path = format!("/safe/sound-{}", self.sent);
        let answer = exchange(self.process.callers, &request("sound", "GET", &path));
        assert_eq!(outcome(&answer, &path), Some(Outcome::Whole), "{answer}");
    }
}

/// Starts a node before registered servers, and waits until it is ready.
fn launch(store: &Arc<MemoryStore>, registered: Vec<Server>, name: &str) -> Process {
    store.put("configuration", "1");
    for server in &registered {
        store.put(&format!("servers/{}", server.id), "");
    }
    let mut options = Options {
        retry_ratio: 1.0,
        ..options(name)
    };
    let ports = Ports::bind(&options).expect("ports are free");
    // Other nodes send datagrams there.
    options.peers = ports.peers.local_addr().expect("the port is bound");
    let parts = parts(store, registered, Logger::root(slog::Discard, o!()));
    let process = Process::launch(options, ports, parts);
    process.wait_ready();
    process
}

/// A whole head, of which servers send a part.
#[derive(Clone, Copy, Debug)]
struct Head {
    name: &'static str,
    bytes: &'static str,
}

const REFUSAL: &str =
    "HTTP/1.1 503 Full\r\nid: ID\r\nnot-run: 1\r\nretry-after: 1\r\ncontent-length: 0\r\n\r\n";

// Guards against an answer whose server stopped within its head and that looks whole to its caller, or
// promises that the request has not run.
#[rstest]
#[case(Head { name: "a length", bytes: "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 120\r\n\r\n" })]
#[case(Head { name: "no body", bytes: "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 0\r\n\r\n" })]
#[case(Head { name: "a length first", bytes: "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nid: ID\r\nsigned: 1\r\n\r\n" })]
#[case(Head { name: "chunks", bytes: "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ntransfer-encoding: chunked\r\n\r\n" })]
#[case(Head { name: "a stream", bytes: "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n" })]
#[case(Head { name: "a body to the connection's end", bytes: "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\nconnection: close\r\n\r\n" })]
#[case(Head { name: "no content", bytes: "HTTP/1.1 204 No Content\r\nid: ID\r\nsigned: 1\r\n\r\n" })]
#[case(Head { name: "an older version", bytes: "HTTP/1.0 200 OK\r\nid: ID\r\nsigned: 1\r\n\r\n" })]
#[case(Head { name: "lines without a carriage return", bytes: "HTTP/1.1 200 OK\nid: ID\nsigned: 1\ncontent-length: 0\n\n" })]
#[case(Head { name: "a head before the answer", bytes: "HTTP/1.1 100 Continue\r\nid: ID\r\nsigned: 1\r\n\r\nHTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 0\r\n\r\n" })]
#[case(Head { name: "a refusal", bytes: REFUSAL })]
#[case(Head { name: "a refusal that says so first", bytes: "HTTP/1.1 429 Limited\r\nnot-run: 1\r\nid: ID\r\ncontent-length: 0\r\n\r\n" })]
#[case(Head { name: "another server's refusal", bytes: "HTTP/1.1 421 Elsewhere\r\nid: ID\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n" })]
#[case(Head { name: "a time-out", bytes: "HTTP/1.1 408 Late\r\nid: ID\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n" })]
fn answers_that_end_within_their_head_are_failures(
    #[case] head: Head,
    #[values(End::Close, End::Reset)] end: End,
) {
    let mut node = Node::start(2);
    for length in 0..head.bytes.len() {
        for kind in KINDS {
            let reply = Reply {
                bytes: head.bytes[..length].to_owned(),
                end,
                later: Later::Sound,
            };
            node.assert_failure(head.name, kind, &reply);
        }
    }
    node.process.stop();
}

/// A part of a head.
#[derive(Clone, Copy, Debug)]
struct Part {
    name: &'static str,
    bytes: &'static str,
}

const PARTS: [Part; 12] = [
    Part {
        name: "nothing",
        bytes: "",
    },
    Part {
        name: "a part of the status",
        bytes: "HTTP/1.1 20",
    },
    Part {
        name: "the status line",
        bytes: "HTTP/1.1 200 OK\r\n",
    },
    Part {
        name: "a part of a name",
        bytes: "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-le",
    },
    Part {
        name: "a part of a length",
        bytes: "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 1",
    },
    Part {
        name: "a part of an encoding",
        bytes: "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ntransfer-encoding: chun",
    },
    Part {
        name: "lines",
        bytes: "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 0\r\n",
    },
    Part {
        name: "lines and a carriage return",
        bytes: "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 0\r\n\r",
    },
    Part {
        name: "a line without its end",
        bytes: "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 0\r",
    },
    Part {
        name: "lines without a length",
        bytes: "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\n",
    },
    Part {
        name: "a refusal's status line",
        bytes: "HTTP/1.1 503 Full\r\n",
    },
    Part {
        name: "a refusal's lines",
        bytes: "HTTP/1.1 503 Full\r\nid: ID\r\nnot-run: 1\r\ncontent-length: 0\r\n",
    },
];

/// Conditions under which an answer ends within its head.
#[derive(Clone, Copy, Debug)]
struct Condition {
    name: &'static str,
    servers: usize,
    end: End,
    later: Later,
    /// What callers get whose requests may be sent again.
    repeated: Outcome,
}

const LATE: Condition = Condition {
    name: "the connection stays open for a while",
    servers: 2,
    end: End::CloseLater,
    later: Later::Sound,
    repeated: Outcome::Whole,
};

// Guards against a head that looks whole to its caller, or promises that the request has not run,
// because its connection is closed later or was kept, or because other servers fail or refuse as well.
#[rstest]
#[case(LATE)]
#[case(Condition { name: "one side is closed", end: End::HalfClose, ..LATE })]
#[case(Condition { name: "a kept connection is closed", servers: 1, end: End::Close, ..LATE })]
#[case(Condition { name: "a kept connection is reset", servers: 1, end: End::Reset, ..LATE })]
#[case(Condition { name: "a kept connection is closed later", servers: 1, ..LATE })]
#[case(Condition { name: "all servers close", end: End::Close, later: Later::Cut, repeated: Outcome::Failed, ..LATE })]
#[case(Condition { name: "all servers reset", end: End::Reset, later: Later::Cut, repeated: Outcome::Failed, ..LATE })]
#[case(Condition { name: "the only server closes", servers: 1, end: End::Close, later: Later::Cut, repeated: Outcome::Failed })]
#[case(Condition { name: "the other server refuses", end: End::Close, later: Later::Refused, repeated: Outcome::Failed, ..LATE })]
fn parts_of_heads_are_failures(#[case] case: Condition) {
    let mut node = Node::start(case.servers);
    for part in PARTS {
        for kind in KINDS {
            node.call_soundly();
            let reply = Reply {
                bytes: part.bytes.to_owned(),
                end: case.end,
                later: case.later,
            };
            let expected = match kind.is_repeatable {
                true => case.repeated,
                false => Outcome::Failed,
            };
            let arrivals = node.assert_outcome(kind, &reply, expected);
            // The only server has a kept connection, which other requests may not be sent on.
            let is_kept = arrivals[0].is_kept;
            let is_expected = match kind.is_repeatable {
                true => is_kept || case.servers > 1,
                false => !is_kept,
            };
            assert!(is_expected, "{}: {}", case.name, part.name);
        }
    }
    node.process.stop();
}

/// Number of servers that must refuse a node before it asks others for connections.
const REFUSING: usize = 3;

/// Takes a port that refuses connections.
fn bind_refusing() -> (Socket, SocketAddr) {
    let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a descriptor is free");
    socket.bind(&any_port.into()).expect("a port is free");
    let address = socket.local_addr().expect("the port is bound");
    (socket, address.as_socket().expect("it is of the internet"))
}

// Guards against a head that looks whole to the caller of a node which reaches its servers through
// another one, or promises that the request has not run.
#[rstest]
#[case::closed(End::Close)]
#[case::reset(End::Reset)]
#[case::half_closed(End::HalfClose)]
fn parts_of_heads_through_another_node_are_failures(#[case] end: End) {
    let servers = Servers::default();
    let store = Arc::new(MemoryStore::new());
    let name = |number| format!("s{number}");
    let reached = (0..REFUSING).map(|number| server(&name(number), servers.listen()));
    let near = launch(&store, reached.collect(), "near");
    let refusing: Vec<(Socket, SocketAddr)> = (0..REFUSING).map(|_| bind_refusing()).collect();
    let refused = refusing.iter().enumerate();
    let refused = refused.map(|(number, (_, address))| server(&name(number), *address));
    let far = launch(&store, refused.collect(), "far");
    let mut node = Node {
        servers,
        process: far,
        sent: 0,
    };
    node.wait_relayed();
    for part in PARTS {
        for kind in KINDS {
            let reply = Reply {
                bytes: part.bytes.to_owned(),
                end,
                later: Later::Sound,
            };
            node.assert_failure(part.name, kind, &reply);
        }
    }
    node.process.stop();
    near.stop();
}
