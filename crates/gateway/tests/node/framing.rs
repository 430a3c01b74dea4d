//! Tests of where answers end: with their connection, within an event, with a reset, or never.

use std::io::{BufReader, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use jackdaw_gateway::options::Options;
use jackdaw_gateway::server::Ports;
use rstest::rstest;
use slog::{Logger, o};
use socket2::SockRef;

use super::store::MemoryStore;
use super::support::{
    Process, TIMEOUT, answer_probe, exchange, options, parts, read_message, request, server,
};

/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(4);
/// Most bytes that a node and the operating system take of an answer without an end.
const MAX_TAKEN: usize = 32 << 20;
/// Bytes without an end that take no memory, however many come until the server is given up.
const DISCARDED: [&str; 3] = [
    "heads before an answer",
    "a chunk's size",
    "a chunk's size in a whole answer",
];
/// Bytes of an answer without an end that are sent at once.
const PIECE: usize = 16 << 10;
/// Body of a sound whole answer.
const BODY: &str = "whole";
/// Number of events of a sound stream.
const EVENTS: u64 = 3;

const SIGNED: &str = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\n";
const STREAM: &str = "content-type: text/event-stream\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n";
const ONE: &str = "id: 1\ndata: a\n\n";
const TWO: &str = "id: 2\ndata: a\n\n";
const THREE: &str = "id: 3\ndata: a\n\n";
const ONE_CHUNK: &str = "f\r\nid: 1\ndata: a\n\n\r\n";
const PART_CHUNK: &str = "8\r\nid: 2\nda\r\n";

/// What a server does after the last bytes that it sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It closes the connection.
    Close,
    /// It resets the connection.
    Reset,
    /// Its process ends, and the operating system closes its sockets.
    Exit,
    /// Its process is killed, and the operating system closes its listener after its connections, so
    /// that a new connection is taken and then reset.
    Kill,
    /// Its process ends, and another server takes its address at once.
    Replace,
    /// It and all others end, but this connection only once [`Events::is_released`].
    ExitLast,
    /// It sends bytes again and again, without an end.
    Repeat(&'static str),
    /// It sends bytes again and again, with a pause of [`DRIP_PAUSE`].
    Drip(&'static str),
}

/// Pause of a server that sends bytes slowly.
const DRIP_PAUSE: Duration = Duration::from_millis(5);

/// Time for which the listener of a server that was killed still takes connections.
const KILL_TIME: Duration = Duration::from_millis(50);

/// What a server sends for a request; `ID` stands for the request's identity.
#[derive(Clone, Copy, Debug)]
struct Reply {
    parts: &'static [&'static str],
    end: End,
}

#[derive(Debug, Default)]
struct Events {
    arrived: usize,
    /// Whether no server takes connections any more.
    has_ended: bool,
    /// Whether connections that outlast their servers end.
    is_released: bool,
    /// Listeners of all servers.
    listeners: Vec<Arc<TcpListener>>,
    /// Number of bytes that the node took of an answer without an end.
    taken: usize,
    /// Whether the node has closed the connection of an answer without an end.
    is_closed: bool,
}

/// Servers of which the first to get a request sends a reply, and all later answers are sound.
#[derive(Clone, Debug)]
struct Servers {
    first: Reply,
    events: Arc<(Mutex<Events>, Condvar)>,
}

impl Servers {
    fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the port is bound");
        let servers = self.clone();
        let listener = Arc::new(listener);
        self.record(|events| events.listeners.push(Arc::clone(&listener)));
        let ended = Arc::new(OnceLock::new());
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                match ended.get() {
                    Some(End::Replace) => {
                        thread::spawn(move || deny(stream));
                        continue;
                    }
                    Some(_) => {
                        thread::spawn(move || reset_soon(stream));
                        continue;
                    }
                    None => {}
                }
                let servers = servers.clone();
                let listener = Arc::clone(&listener);
                let ended = Arc::clone(&ended);
                thread::spawn(move || servers.serve(stream, &listener, &ended));
            }
        });
        address
    }

    fn record<T>(&self, change: impl FnOnce(&mut Events) -> T) -> T {
        let (events, changed) = &*self.events;
        let value = change(&mut events.lock().expect("no test panicked"));
        changed.notify_all();
        value
    }

    fn wait_until(&self, holds: impl Fn(&Events) -> bool) -> bool {
        let (events, changed) = &*self.events;
        let events = events.lock().expect("no test panicked");
        let waited = changed
            .wait_timeout_while(events, TIMEOUT, |events| !holds(events))
            .expect("no test panicked");
        !waited.1.timed_out()
    }

    fn serve(&self, mut stream: TcpStream, listener: &TcpListener, ended: &OnceLock<End>) {
        let mut reader = BufReader::new(stream.try_clone().expect("a descriptor is free"));
        while let Some((head, _)) = read_message(&mut reader) {
            if answer_probe(&mut stream, &head) {
                continue;
            }
            let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
            let id = field("id: ").unwrap_or_default();
            let number = self.record(|events| {
                events.arrived += 1;
                events.arrived
            });
            if number == 1 {
                return self.send_first(stream, id, listener, ended);
            }
            let path = head.split(' ').nth(1).unwrap_or_default();
            let last = field("last: ").and_then(|last| last.parse().ok());
            let answer = sound_answer(id, path, last.unwrap_or_default());
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn send_first(
        &self,
        mut stream: TcpStream,
        id: &str,
        listener: &TcpListener,
        ended: &OnceLock<End>,
    ) {
        let bytes = self.first.parts.concat().replace("ID", id);
        // The node may have given the answer up.
        let _ = stream.write_all(bytes.as_bytes());
        match self.first.end {
            End::Close => {
                let _ = stream.shutdown(Shutdown::Write);
            }
            End::Reset => reset(&stream),
            End::Exit => {
                let closed = SockRef::from(listener).shutdown(Shutdown::Both);
                closed.expect("the listener is open");
                let _ = stream.shutdown(Shutdown::Write);
            }
            End::ExitLast => {
                let listeners = self.record(|events| events.listeners.clone());
                for listener in listeners {
                    let closed = SockRef::from(&*listener).shutdown(Shutdown::Both);
                    closed.expect("the listener is open");
                }
                self.record(|events| events.has_ended = true);
                self.wait_until(|events| events.is_released);
                let _ = stream.shutdown(Shutdown::Write);
            }
            End::Kill | End::Replace => {
                let _ = ended.set(self.first.end);
                let _ = stream.shutdown(Shutdown::Write);
            }
            End::Repeat(piece) => {
                let piece = piece.repeat(PIECE.div_ceil(piece.len()));
                while stream.write_all(piece.as_bytes()).is_ok() {
                    self.record(|events| events.taken += piece.len());
                }
                self.record(|events| events.is_closed = true);
            }
            End::Drip(piece) => {
                let start = Instant::now();
                while start.elapsed() < TIMEOUT {
                    if stream.write_all(piece.as_bytes()).is_err() {
                        return self.record(|events| events.is_closed = true);
                    }
                    thread::sleep(DRIP_PAUSE);
                }
            }
        }
    }
}

/// Makes the system reset a connection when it is closed.
fn reset(stream: &TcpStream) {
    let linger = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    linger.expect("the option is known");
}

/// Resets a connection that the operating system has taken for a process which has ended.
fn reset_soon(mut stream: TcpStream) {
    stream
        .set_read_timeout(Some(KILL_TIME))
        .expect("the time-out is valid");
    // Whatever is sent meanwhile is not answered.
    let _ = stream.read(&mut [0]);
    reset(&stream);
}

/// Answers requests for the server whose address this one has taken.
fn deny(mut stream: TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().expect("a descriptor is free"));
    while read_message(&mut reader).is_some() {
        let answer = "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n";
        // The node may have left.
        let _ = stream.write_all(answer.as_bytes());
    }
}

/// Returns a whole answer, or a stream after the last event that the caller has.
fn sound_answer(id: &str, path: &str, last: u64) -> String {
    let signed = SIGNED.replace("ID", id);
    if path.starts_with("/safe/") || path.starts_with("/once/") {
        return format!("{signed}content-length: {}\r\n\r\n{BODY}", BODY.len());
    }
    let mut answer = format!("{signed}{STREAM}{CHUNKED}\r\n");
    for number in last + 1..=EVENTS {
        let event = format!("id: {number}\ndata: a\n\n");
        answer.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    answer + "0\r\n\r\n"
}

/// A node before two servers.
struct Node {
    servers: Servers,
    process: Process,
}

impl Node {
    fn start(first: Reply) -> Node {
        let servers = Servers {
            first,
            events: Arc::default(),
        };
        let registered = vec![
            server("s0", servers.listen()),
            server("s1", servers.listen()),
        ];
        let store = Arc::new(MemoryStore::new());
        store.put("configuration", "1");
        store.put("servers/s0", "");
        store.put("servers/s1", "");
        let options = Options {
            retry_ratio: 1.0,
            ..options("node")
        };
        let ports = Ports::bind(&options).expect("ports are free");
        let parts = parts(&store, registered, Logger::root(slog::Discard, o!()));
        let process = Process::launch(options, ports, parts);
        process.wait_ready();
        Node { servers, process }
    }

    fn call(&self, id: &str, method: &str, path: &str) -> String {
        exchange(self.process.callers, &request(id, method, path))
    }

    fn arrived(&self) -> usize {
        self.servers.record(|events| events.arrived)
    }
}

/// What a caller gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// A whole answer or a complete stream.
    Whole,
    /// A refusal, or an answer that is visibly broken off.
    Failed,
    /// Either of them.
    Any,
}

/// Returns what an answer is to its caller, or none if it is neither.
fn outcome(answer: &str, path: &str) -> Option<Outcome> {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    if ["HTTP/1.1 502", "HTTP/1.1 503", "HTTP/1.1 504"]
        .iter()
        .any(|status| head.starts_with(status))
    {
        return Some(Outcome::Failed);
    }
    if !head.starts_with("HTTP/1.1 200") {
        return None;
    }
    if !head.to_lowercase().contains(CHUNKED.trim_end()) {
        return (body == BODY).then_some(Outcome::Whole);
    }
    if !body.ends_with("0\r\n\r\n") {
        return Some(Outcome::Failed);
    }
    let ids: Vec<&str> = body
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .collect();
    let is_whole = !path.starts_with("/safe/") && ids == ["1", "2", "3"];
    is_whole.then_some(Outcome::Whole)
}

/// A first reply and what becomes of it.
#[derive(Clone, Copy, Debug)]
struct Framing {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    reply: Reply,
    outcome: Outcome,
    /// Number of servers that get the request.
    attempts: usize,
}

const SAFE: Framing = Framing {
    name: "",
    method: "GET",
    path: "/safe/x",
    reply: Reply {
        parts: &[],
        end: End::Close,
    },
    outcome: Outcome::Whole,
    attempts: 1,
};
const ONCE: Framing = Framing {
    method: "POST",
    path: "/once/x",
    ..SAFE
};
const RESUMABLE: Framing = Framing {
    method: "POST",
    path: "/stream/x",
    ..SAFE
};
const FRAGILE: Framing = Framing {
    path: "/fragile/x",
    ..RESUMABLE
};

const fn closed(parts: &'static [&'static str]) -> Reply {
    Reply {
        parts,
        end: End::Close,
    }
}

const fn broken(parts: &'static [&'static str]) -> Reply {
    Reply {
        parts,
        end: End::Reset,
    }
}

const fn exited(parts: &'static [&'static str]) -> Reply {
    Reply {
        parts,
        end: End::Exit,
    }
}

const WHOLE_STREAM: &[&str] = &[SIGNED, STREAM, "\r\n", ONE, TWO, THREE];

// Guards against answers without a length that are taken for broken off, or are delivered in part.
#[rstest]
#[case(Framing { name: "a whole answer", reply: closed(&[SIGNED, "\r\n", BODY]), ..SAFE })]
#[case(Framing { name: "a whole answer of an older version", reply: closed(&["HTTP/1.0 200 OK\r\nid: ID\r\nsigned: 1\r\n\r\n", BODY]), ..SAFE })]
#[case(Framing { name: "a whole answer that announces the end", reply: closed(&[SIGNED, "connection: close\r\n\r\n", BODY]), ..SAFE })]
#[case(Framing { name: "a whole answer to a request that runs at most once", reply: closed(&[SIGNED, "\r\n", BODY]), ..ONCE })]
#[case(Framing { name: "a stream", reply: closed(WHOLE_STREAM), ..RESUMABLE })]
#[case(Framing { name: "a stream that may not be resumed", reply: closed(WHOLE_STREAM), ..FRAGILE })]
fn answers_that_end_with_their_connection_are_whole(#[case] case: Framing) {
    assert_outcome(case);
}

// Guards against answers that are delivered as complete although their connection was reset.
#[rstest]
#[case(Framing { name: "a whole answer", reply: broken(&[SIGNED, "\r\n", BODY]), attempts: 2, ..SAFE })]
#[case(Framing { name: "a part of a whole answer", reply: broken(&[SIGNED, "\r\nwho"]), attempts: 2, ..SAFE })]
#[case(Framing { name: "an answer to a request that runs at most once", reply: broken(&[SIGNED, "\r\n", BODY]), outcome: Outcome::Failed, ..ONCE })]
#[case(Framing { name: "a stream", reply: broken(WHOLE_STREAM), attempts: 2, ..RESUMABLE })]
#[case(Framing { name: "a part of a stream", reply: broken(&[SIGNED, STREAM, "\r\n", ONE]), attempts: 2, ..RESUMABLE })]
#[case(Framing { name: "a part of a stream in chunks", reply: broken(&[SIGNED, STREAM, CHUNKED, "\r\n", ONE_CHUNK]), attempts: 2, ..RESUMABLE })]
#[case(Framing { name: "a stream that may not be resumed", reply: broken(WHOLE_STREAM), outcome: Outcome::Failed, ..FRAGILE })]
fn answers_whose_connection_is_reset_are_not_complete(#[case] case: Framing) {
    assert_outcome(case);
}

// Guards against streams that look complete to their callers although their last event is not.
#[rstest]
#[case(Framing { name: "with its connection", reply: closed(&[SIGNED, STREAM, "\r\n", ONE, "id: 2\nda"]), attempts: 2, ..RESUMABLE })]
#[case(Framing { name: "after a line, with its connection", reply: closed(&[SIGNED, STREAM, "\r\n", ONE, "id: 2\ndata: a\n"]), attempts: 2, ..RESUMABLE })]
#[case(Framing { name: "in the first event, with its connection", reply: closed(&[SIGNED, STREAM, "\r\nid: 1\n"]), attempts: 2, ..RESUMABLE })]
#[case(Framing { name: "with its last chunk", reply: closed(&[SIGNED, STREAM, CHUNKED, "\r\n", ONE_CHUNK, PART_CHUNK, "0\r\n\r\n"]), attempts: 2, ..RESUMABLE })]
#[case(Framing { name: "with its connection after a chunk", reply: closed(&[SIGNED, STREAM, CHUNKED, "\r\n", ONE_CHUNK, PART_CHUNK]), attempts: 2, ..RESUMABLE })]
#[case(Framing { name: "with its connection within a chunk", reply: closed(&[SIGNED, STREAM, CHUNKED, "\r\n", ONE_CHUNK, "e\r\nid: 2\nda"]), attempts: 2, ..RESUMABLE })]
#[case(Framing { name: "with its length", reply: closed(&[SIGNED, STREAM, "content-length: 22\r\n\r\n", ONE, "id: 2\nda"]), attempts: 2, ..RESUMABLE })]
#[case(Framing { name: "before its length", reply: closed(&[SIGNED, STREAM, "content-length: 42\r\n\r\n", ONE, "id: 2\nda"]), attempts: 2, ..RESUMABLE })]
#[case(Framing { name: "a stream that may not be resumed", reply: closed(&[SIGNED, STREAM, "\r\n", ONE, "id: 2\nda"]), outcome: Outcome::Failed, ..FRAGILE })]
fn streams_that_end_within_an_event_are_broken_off(#[case] case: Framing) {
    assert_outcome(case);
}

// Guards against answers without a length that look complete to their callers although their server's
// process has ended in the middle of them.
#[rstest]
#[case(Framing { name: "a part of a stream", reply: exited(&[SIGNED, STREAM, "\r\n", ONE]), attempts: 2, ..RESUMABLE })]
#[case(Framing { name: "a stream before its first event", reply: exited(&[SIGNED, STREAM, "\r\n"]), attempts: 2, ..RESUMABLE })]
#[case(Framing { name: "a stream after its last event", reply: exited(WHOLE_STREAM), attempts: 2, ..RESUMABLE })]
#[case(Framing { name: "a part of a stream that may not be resumed", reply: exited(&[SIGNED, STREAM, "\r\n", ONE]), outcome: Outcome::Failed, ..FRAGILE })]
#[case(Framing { name: "a part of a whole answer", reply: exited(&[SIGNED, "\r\nwho"]), attempts: 2, ..SAFE })]
#[case(Framing { name: "a part of a whole answer whose last encoding is no text", reply: exited(&[SIGNED, CHUNKED, "transfer-encoding: \u{e9}\r\n\r\nwho"]), attempts: 2, ..SAFE })]
#[case(Framing { name: "a part of a whole answer with another last encoding", reply: exited(&[SIGNED, CHUNKED, "transfer-encoding: gzip\r\n\r\nwho"]), attempts: 2, ..SAFE })]
#[case(Framing { name: "a part of a whole answer with an encoding and a length", reply: exited(&[SIGNED, "transfer-encoding: identity\r\ncontent-length: 3\r\n\r\nwho"]), attempts: 2, ..SAFE })]
#[case(Framing { name: "a part of a whole answer of an older version", reply: exited(&["HTTP/1.0 200 OK\r\nid: ID\r\nsigned: 1\r\n\r\nwho"]), attempts: 2, ..SAFE })]
#[case(Framing { name: "a part of a whole answer of an older version with a length", reply: closed(&["HTTP/1.0 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 5\r\n\r\nwho"]), attempts: 2, ..SAFE })]
#[case(Framing { name: "a part of an answer to a request that runs at most once", reply: exited(&[SIGNED, "\r\nwho"]), outcome: Outcome::Failed, ..ONCE })]
fn answers_whose_server_has_ended_are_not_complete(#[case] case: Framing) {
    assert_outcome(case);
}

const fn killed(parts: &'static [&'static str]) -> Reply {
    Reply {
        parts,
        end: End::Kill,
    }
}

const fn replaced(parts: &'static [&'static str]) -> Reply {
    Reply {
        parts,
        end: End::Replace,
    }
}

// Guards against answers without a length that look complete to their callers because another server
// takes connections at the address of the one that has ended.
#[rstest]
#[case(Framing { name: "a part of a stream", reply: replaced(&[SIGNED, STREAM, "\r\n", ONE]), attempts: 2, ..RESUMABLE })]
#[case(Framing { name: "a part of an answer to a request that runs at most once", reply: replaced(&[SIGNED, "\r\nwho"]), outcome: Outcome::Failed, ..ONCE })]
fn answers_whose_server_is_replaced_are_not_complete(#[case] case: Framing) {
    assert_outcome(case);
}

// Guards against answers without a length that look complete to their callers because a server that
// was just killed still takes a connection, which the operating system resets.
#[rstest]
#[case(Framing { name: "a part of a stream", reply: killed(&[SIGNED, STREAM, "\r\n", ONE]), attempts: 2, ..RESUMABLE })]
#[case(Framing { name: "a part of a stream that may not be resumed", reply: killed(&[SIGNED, STREAM, "\r\n", ONE]), outcome: Outcome::Failed, ..FRAGILE })]
#[case(Framing { name: "a part of a whole answer", reply: killed(&[SIGNED, "\r\nwho"]), attempts: 2, ..SAFE })]
#[case(Framing { name: "a part of an answer to a request that runs at most once", reply: killed(&[SIGNED, "\r\nwho"]), outcome: Outcome::Failed, ..ONCE })]
fn answers_whose_server_is_killed_are_not_complete(#[case] case: Framing) {
    assert_outcome(case);
}

// Guards against a stream that looks complete to a caller of HTTP/1.0, whose answers end with their
// connection, although it was broken off.
#[test]
fn stream_to_an_old_caller_that_is_broken_off_does_not_look_complete() {
    let node = Node::start(broken(&[SIGNED, STREAM, CHUNKED, "\r\n", ONE_CHUNK]));
    let sent = request("r1", "POST", "/fragile/x").replace(" HTTP/1.1", " HTTP/1.0");
    let mut caller = TcpStream::connect(node.process.callers).expect("the node listens");
    let timeout = caller.set_read_timeout(Some(TIMEOUT));
    timeout.expect("the time-out is valid");
    caller.write_all(sent.as_bytes()).expect("the node reads");
    let mut answer = Vec::new();
    let end = caller.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer);
    let is_chunked = answer.to_lowercase().contains(CHUNKED.trim_end());
    assert!(answer.contains("id: 1\n"), "{answer:?}");
    assert!(is_chunked || end.is_err(), "{answer:?}: {end:?}");
    node.process.stop();
}

/// Time without an answer of any server after which a node suspects its own links.
const SUSPICION_TIME: Duration = Duration::from_millis(600);

// Guards against a stream that looks complete because the node cannot tell whether its server has
// ended, as it reaches no server and no other node.
#[test]
fn stream_of_a_server_of_which_nothing_is_known_does_not_look_complete() {
    let node = Node::start(Reply {
        parts: &[SIGNED, STREAM, "\r\n", ONE],
        end: End::ExitLast,
    });
    let callers = node.process.callers;
    let sent = request("r1", "POST", "/fragile/x");
    let caller = thread::spawn(move || exchange(callers, &sent));
    assert!(node.servers.wait_until(|events| events.has_ended));
    let start = Instant::now();
    while start.elapsed() < SUSPICION_TIME {
        let answer = node.call("r2", "GET", "/safe/x");
        assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
        thread::sleep(DRIP_PAUSE);
    }
    node.servers.record(|events| events.is_released = true);
    let answer = caller.join().expect("the caller ends");
    assert_eq!(
        outcome(&answer, "/fragile/x"),
        Some(Outcome::Failed),
        "{answer:?}"
    );
    node.process.stop();
}

/// A request whose body ends early.
#[derive(Clone, Copy, Debug)]
struct Partial {
    name: &'static str,
    /// Header of the body's length.
    length: &'static str,
    body: &'static str,
    /// Whether the caller closes its side, instead of both.
    is_half_closed: bool,
}

// Guards against a request whose body ends early that reaches a server.
#[rstest]
#[case(Partial { name: "before its length", length: "content-length: 10", body: "hello", is_half_closed: true })]
#[case(Partial { name: "before its length, closed", length: "content-length: 10", body: "hello", is_half_closed: false })]
#[case(Partial { name: "without its last chunk", length: "transfer-encoding: chunked", body: "5\r\nhello\r\n", is_half_closed: true })]
#[case(Partial { name: "within a chunk", length: "transfer-encoding: chunked", body: "8\r\nhello", is_half_closed: true })]
#[case(Partial { name: "within its last chunk", length: "transfer-encoding: chunked", body: "5\r\nhello\r\n0\r\n", is_half_closed: true })]
fn requests_whose_body_ends_early_reach_no_server(#[case] case: Partial) {
    let node = Node::start(closed(&[SIGNED, "content-length: 0\r\n\r\n"]));
    let head = request("r1", "POST", "/once/x");
    let head = head
        .split_once("content-length")
        .expect("it has a length")
        .0;
    let mut caller = TcpStream::connect(node.process.callers).expect("the node listens");
    let sent = format!("{head}{}\r\n\r\n{}", case.length, case.body);
    caller.write_all(sent.as_bytes()).expect("the node reads");
    if case.is_half_closed {
        let timeout = caller.set_read_timeout(Some(TIMEOUT));
        timeout.expect("the time-out is valid");
        caller.shutdown(Shutdown::Write).expect("it is open");
        let mut answer = Vec::new();
        let _ = caller.read_to_end(&mut answer);
        assert!(!answer.starts_with(b"HTTP/1.1 2"), "{}", case.name);
    }
    drop(caller);
    // A later request has been answered, so the earlier one would have arrived.
    let later = node.call("r2", "GET", "/safe/x");
    assert!(later.starts_with("HTTP/1.1 200"), "{}: {later}", case.name);
    assert_eq!(node.arrived(), 1, "{}", case.name);
    node.process.stop();
}

fn assert_outcome(case: Framing) {
    let node = Node::start(case.reply);
    let answer = node.call("r1", case.method, case.path);
    let found = outcome(&answer, case.path);
    assert_eq!(found, Some(case.outcome), "{}: {answer:?}", case.name);
    assert_eq!(node.arrived(), case.attempts, "{}", case.name);
    node.process.stop();
}

const fn repeated(parts: &'static [&'static str], piece: &'static str) -> Reply {
    Reply {
        parts,
        end: End::Repeat(piece),
    }
}

const fn dripping(parts: &'static [&'static str], piece: &'static str) -> Reply {
    Reply {
        parts,
        end: End::Drip(piece),
    }
}

const ENDLESS: Framing = Framing {
    attempts: 2,
    ..SAFE
};
const ENDLESS_STREAM: Framing = Framing {
    attempts: 2,
    ..RESUMABLE
};
const ENDLESS_ONCE: Framing = Framing {
    outcome: Outcome::Failed,
    ..ONCE
};
const IN_EVENT: &[&str] = &[SIGNED, STREAM, "\r\n", ONE, "id: 2\ndata: "];

// Guards against servers that hold a node's memory or a request with bytes that are no answer.
#[rstest]
#[case(Framing { name: "a status line", reply: repeated(&["HTTP/1.1 200 "], "a"), ..ENDLESS })]
#[case(Framing { name: "a status line to a request that runs at most once", reply: repeated(&["HTTP/1.1 200 "], "a"), ..ENDLESS_ONCE })]
#[case(Framing { name: "a status line of a stream", reply: repeated(&["HTTP/1.1 200 "], "a"), ..ENDLESS_STREAM })]
#[case(Framing { name: "empty lines before a head", reply: repeated(&[], "\r\n"), ..ENDLESS })]
#[case(Framing { name: "a line of a head", reply: repeated(&["HTTP/1.1 200 OK\r\na: "], "a"), ..ENDLESS })]
#[case(Framing { name: "lines of a head", reply: repeated(&["HTTP/1.1 200 OK\r\n"], "a: a\r\n"), ..ENDLESS })]
#[case(Framing { name: "lines of a head to a request that runs at most once", reply: repeated(&["HTTP/1.1 200 OK\r\n"], "a: a\r\n"), ..ENDLESS_ONCE })]
#[case(Framing { name: "heads before an answer", reply: repeated(&[], "HTTP/1.1 100 Continue\r\n\r\n"), outcome: Outcome::Any, ..ENDLESS })]
#[case(Framing { name: "an event", reply: repeated(IN_EVENT, "a"), ..ENDLESS_STREAM })]
#[case(Framing { name: "an event in chunks", reply: repeated(&[SIGNED, STREAM, CHUNKED, "\r\n", ONE_CHUNK], "8\r\ndata: aa\r\n"), ..ENDLESS_STREAM })]
#[case(Framing { name: "a first event", reply: repeated(&[SIGNED, STREAM, "\r\n"], "a"), ..ENDLESS_STREAM })]
#[case(Framing { name: "a chunk's size", reply: repeated(&[SIGNED, STREAM, CHUNKED, "\r\n", ONE_CHUNK], "0"), ..ENDLESS_STREAM })]
#[case(Framing { name: "a chunk's size in a whole answer", reply: repeated(&[SIGNED, CHUNKED, "\r\n"], "0"), ..ENDLESS })]
#[case(Framing { name: "a chunk's extension", reply: repeated(&[SIGNED, STREAM, CHUNKED, "\r\n", ONE_CHUNK, "e;"], "a"), ..ENDLESS_STREAM })]
#[case(Framing { name: "a trailer", reply: repeated(&[SIGNED, STREAM, CHUNKED, "\r\n", ONE_CHUNK, "0\r\na: "], "a"), ..ENDLESS_STREAM })]
#[case(Framing { name: "a whole answer", reply: repeated(&[SIGNED, "\r\n"], "a"), ..ENDLESS })]
#[case(Framing { name: "a whole answer in chunks", reply: repeated(&[SIGNED, CHUNKED, "\r\n"], "8\r\naaaaaaaa\r\n"), ..ENDLESS })]
#[case(Framing { name: "a whole answer to a request that runs at most once", reply: repeated(&[SIGNED, "\r\n"], "a"), ..ENDLESS_ONCE })]
#[case(Framing { name: "a status line, slowly", reply: dripping(&["HTTP/1.1 200 "], "a"), ..ENDLESS })]
#[case(Framing { name: "a status line of a stream, slowly", reply: dripping(&["HTTP/1.1 200 "], "a"), ..ENDLESS_STREAM })]
#[case(Framing { name: "a status line to a request that runs at most once, slowly", reply: dripping(&["HTTP/1.1 200 "], "a"), ..ENDLESS_ONCE })]
#[case(Framing { name: "a whole answer to a request that runs at most once, slowly", reply: dripping(&[SIGNED, "\r\n"], "a"), ..ENDLESS_ONCE })]
#[case(Framing { name: "an event of a stream that may not be resumed, slowly", reply: dripping(IN_EVENT, "a"), outcome: Outcome::Failed, ..FRAGILE })]
#[case(Framing { name: "events of a stream that may not be resumed, slowly", reply: dripping(&[SIGNED, STREAM, "\r\n", ONE], "data: a\n\n"), outcome: Outcome::Failed, ..FRAGILE })]
fn servers_that_send_bytes_without_an_end_are_given_up(#[case] case: Framing) {
    let node = Node::start(case.reply);
    let callers = node.process.callers;
    let start = Instant::now();
    let sent = request("r1", case.method, case.path);
    let caller = thread::spawn(move || (exchange(callers, &sent), start.elapsed()));
    let has_arrived = node.servers.wait_until(|events| events.arrived > 0);
    assert!(has_arrived, "{}: the request does not arrive", case.name);
    let other = node.call("r2", "GET", "/safe/other");
    assert!(other.ends_with(BODY), "{}: {other:?}", case.name);
    let (answer, after) = caller.join().expect("the caller ends");
    let found = outcome(&answer, case.path);
    let is_expected = found == Some(case.outcome) || case.outcome == Outcome::Any;
    assert!(found.is_some() && is_expected, "{}: {answer:?}", case.name);
    assert!(after < DEADLINE * 2, "{}: after {after:?}", case.name);
    let is_closed = node.servers.wait_until(|events| events.is_closed);
    assert!(is_closed, "{}: the connection stays open", case.name);
    let taken = node.servers.record(|events| events.taken);
    let is_kept = !DISCARDED.contains(&case.name);
    assert!(
        !is_kept || taken < MAX_TAKEN,
        "{}: {taken} bytes",
        case.name
    );
    // The other request is a server's as well.
    assert!(node.arrived() <= case.attempts + 1, "{}", case.name);
    node.process.stop();
}
