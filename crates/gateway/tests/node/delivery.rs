//! Tests of answers that a stop or the end of a connection may cut off.

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use jackdaw_core::time::{Clock, SystemClock};
use jackdaw_core::units::Millis;
use jackdaw_gateway::node::Parts;
use jackdaw_gateway::options::Options;
use jackdaw_gateway::server::Ports;
use rstest::rstest;
use slog::{Logger, o};

use super::lines::Lines;
use super::relay::DISCONNECT_TIMEOUT;
use super::store::MemoryStore;
use super::support::{Node, Process, Script, Servers, TIMEOUT, options, parts, server};

const ONE_GATE_TWO: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\nGATE11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n";
const ONE_GATE_BREAK: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\nGATE";
const GATE_DONE: Script =
    "GATEHTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\ndone";
const EMPTY: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 0\r\n\r\nKEEP";
const NO_CONTENT: Script = "HTTP/1.1 204 No Content\r\nid: ID\r\nsigned: 1\r\n\r\nKEEP";
const NOTHING: Script = "HOLD";

fn start(scripts: &[Script], grace: Millis) -> (Node, Lines) {
    let log = Lines::default();
    let options = Options {
        grace,
        ..options("node")
    };
    (Node::start_with(2, scripts, options, log.logger()), log)
}

fn request(id: &str, method: &str, path: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: host\r\nid: {id}\r\ndeadline: 8000\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn connect(node: &Node) -> TcpStream {
    let stream = TcpStream::connect(node.address).expect("the node listens");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("the time-out is valid");
    stream
}

fn send(stream: &mut TcpStream, bytes: &str) {
    stream.write_all(bytes.as_bytes()).expect("the node reads");
}

fn read_rest(stream: &mut TcpStream) -> (String, Option<std::io::ErrorKind>) {
    let mut bytes = Vec::new();
    let error = stream.read_to_end(&mut bytes).err();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    (text, error.map(|error| error.kind()))
}

/// An answer that its server completes while the node's event loop stands still.
#[derive(Debug)]
struct LateCase {
    name: &'static str,
    path: &'static str,
    script: Script,
    end: &'static str,
}

// Guards against answers that the node has received whole and cuts off nevertheless, because it runs
// late and looks at the time before it reads what has arrived.
#[rstest]
#[case::stream(LateCase { name: "a stream", path: "/long/x", script: ONE_GATE_TWO, end: "data: two\n\n\r\n0\r\n\r\n" })]
#[case::buffered(LateCase { name: "a buffered answer", path: "/once/x", script: GATE_DONE, end: "done" })]
fn answer_that_arrived_in_time_is_delivered_by_a_node_that_runs_late(#[case] case: LateCase) {
    let (mut node, _) = start(&[case.script], Millis(3_000));
    let mut caller = connect(&node);
    send(&mut caller, &request("r1", "POST", case.path, "", "hello"));
    node.servers.wait_arrived(1);
    let mut stalling = connect(&node);
    let asked = node.process.begin_stop();
    send(
        &mut stalling,
        &request("stall", "GET", "/none/x", "stall: 1\r\n", ""),
    );
    node.stall.wait_stalled();
    node.servers.release();
    node.servers.wait_written(1);
    let written = asked.elapsed();
    // Requests in flight are given up after 2.3 s, and the process ends after 2.8 s.
    thread::sleep(Duration::from_millis(2_350).saturating_sub(asked.elapsed()));
    node.stall.resume();
    let (answer, error) = read_rest(&mut caller);
    assert!(
        answer.ends_with(case.end),
        "{}: the server finished after {written:?}, the caller's connection ended after {:?} with {error:?}: {answer}",
        case.name,
        asked.elapsed()
    );
    node.process.wait_ended();
}

// Guards against a stream that was broken off and looks complete to a caller that does not know
// chunks.
#[test]
fn stream_that_is_broken_off_does_not_look_complete_to_a_caller_with_an_old_version() {
    let (node, _) = start(&[ONE_GATE_BREAK], Millis(8_000));
    let mut caller = connect(&node);
    let request = request("r1", "POST", "/long/x", "", "hello").replace("HTTP/1.1", "HTTP/1.0");
    send(&mut caller, &request);
    node.servers.wait_arrived(1);
    node.servers.release();
    let (answer, error) = read_rest(&mut caller);
    let is_chunked = answer.to_lowercase().contains("transfer-encoding: chunked");
    assert!(is_chunked || error.is_some(), "{answer}");
    node.process.stop();
}

// Guards against lines about abandoned answers where the answer has no body.
#[rstest]
#[case::empty("POST", EMPTY)]
#[case::no_content("POST", NO_CONTENT)]
#[case::head("HEAD", EMPTY)]
fn answer_without_a_body_is_not_logged_as_abandoned(#[case] method: &str, #[case] script: Script) {
    let (node, log) = start(&[script], Millis(8_000));
    let mut caller = connect(&node);
    let headers = "connection: close\r\n";
    send(&mut caller, &request("r1", method, "/once/x", headers, ""));
    let (answer, error) = read_rest(&mut caller);
    assert!(answer.starts_with("HTTP/1.1 20"), "{error:?}: {answer}");
    node.process.stop();
    let lines = log.with_message("answer abandoned");
    assert!(lines.is_empty(), "{lines:?}");
}

/// A clock that counts how often it is read.
#[derive(Debug, Default)]
struct CountingClock {
    system: SystemClock,
    reads: AtomicU64,
}

impl Clock for CountingClock {
    fn now(&self) -> jackdaw_core::time::Instant {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.system.now()
    }

    fn unix_millis(&self) -> u64 {
        self.system.unix_millis()
    }
}

/// Time for which a request waits.
const WAIT: Duration = Duration::from_secs(1);
/// Reads of the clock in that time by all tasks of a node, at most; each wake-up of a waiting
/// request reads it several times.
const MAX_READS: u64 = 2_000;

// Guards against a node with a very short grace period that wakes up without end for each request
// that waits.
#[rstest]
#[case::body("hell")]
#[case::answer("hello")]
fn waiting_request_does_not_wake_its_node_without_end(#[case] body: &str) {
    let servers = Servers::with_scripts(&[NOTHING]);
    let clock = Arc::new(CountingClock::default());
    let store = Arc::new(MemoryStore::new());
    store.put("configuration", "1");
    store.put("servers/s0", "");
    let registered = vec![server("s0", servers.listen())];
    let parts = Parts {
        clock: clock.clone(),
        ..parts(&store, registered, Logger::root(slog::Discard, o!()))
    };
    let options = Options {
        grace: Millis(10),
        ..options("node")
    };
    let ports = Ports::bind(&options).expect("ports are free");
    let process = Process::launch(options, ports, parts);
    process.wait_ready();
    let mut caller = TcpStream::connect(process.callers).expect("the node listens");
    let request = request("r1", "POST", "/once/x", "", "hello").replace("hello", body);
    send(&mut caller, &request);
    // Nothing arrives within this time.
    caller
        .set_read_timeout(Some(WAIT))
        .expect("the time-out is valid");
    let before = clock.reads.load(Ordering::Relaxed);
    let ended = caller.read(&mut [0; 1]);
    let reads = clock.reads.load(Ordering::Relaxed) - before;
    assert!(ended.is_err(), "{ended:?}");
    assert!(reads < MAX_READS, "{reads} reads of the clock");
    drop(caller);
    process.stop();
}

// Guards against a connection that stays open because its caller goes on sending the body of a
// request that was refused.
#[test]
fn connection_of_a_refused_request_ends_though_its_body_goes_on() {
    let (mut node, log) = start(&[], Millis(8_000));
    let mut caller = connect(&node);
    let asked = node.process.begin_stop();
    send(
        &mut caller,
        "POST /once/x HTTP/1.1\r\nhost: host\r\nid: r1\r\ndeadline: 60000\r\ncontent-length: 1000000\r\n\r\n",
    );
    let writer = caller.try_clone().expect("a descriptor is free");
    let end = thread::spawn(move || {
        let mut writer = writer;
        let mut length = 0;
        while writer.write_all(b"x").is_ok() && asked.elapsed() < Duration::from_secs(10) {
            length += 1;
            thread::sleep(Duration::from_millis(50));
        }
        (length, asked.elapsed())
    });
    let (answer, error) = read_rest(&mut caller);
    let answered = asked.elapsed();
    let end = end.join().expect("the caller ends");
    node.process.wait_ended();
    let ended = asked.elapsed();
    assert!(
        answer.starts_with("HTTP/1.1 503")
            && end.1 < Duration::from_secs(6)
            && log
                .with_message("grace period ended with requests in flight")
                .is_empty(),
        "answered {answered:?} with {error:?}, writes end {end:?}, node ended {ended:?}: {answer}"
    );
}

/// A caller that disconnects before its answer has begun.
#[derive(Debug)]
struct GoneCase {
    name: &'static str,
    path: &'static str,
    is_stopping: bool,
    is_pipelined: bool,
    after: Duration,
}

// Guards against a server that goes on with a request whose caller has disconnected before the first
// byte of the answer.
#[rstest]
#[case::buffered(GoneCase { name: "buffered", path: "/once/x", is_stopping: false, is_pipelined: false, after: Duration::from_millis(100) })]
#[case::buffered_late(GoneCase { name: "buffered, late", path: "/once/x", is_stopping: false, is_pipelined: false, after: Duration::from_millis(2_500) })]
#[case::stream(GoneCase { name: "stream", path: "/long/x", is_stopping: false, is_pipelined: false, after: Duration::from_millis(100) })]
#[case::stream_late(GoneCase { name: "stream, late", path: "/long/x", is_stopping: false, is_pipelined: false, after: Duration::from_millis(2_500) })]
#[case::stopping(GoneCase { name: "stopping", path: "/long/x", is_stopping: true, is_pipelined: false, after: Duration::from_millis(4_000) })]
#[case::pipelined(GoneCase { name: "pipelined", path: "/long/x", is_stopping: false, is_pipelined: true, after: Duration::from_millis(1_500) })]
fn server_stops_when_the_caller_disconnects_before_the_answer(#[case] case: GoneCase) {
    let (mut node, _) = start(&[NOTHING], Millis(20_000));
    let mut caller = connect(&node);
    send(&mut caller, &request("r1", "POST", case.path, "", "hello"));
    node.servers.wait_arrived(1);
    if case.is_pipelined {
        send(&mut caller, &request("r2", "POST", case.path, "", "hello"));
    }
    if case.is_stopping {
        node.process.begin_stop();
    }
    thread::sleep(case.after);
    let closed = Instant::now();
    drop(caller);
    let has_ended = node.servers.ends_within(DISCONNECT_TIMEOUT);
    assert!(has_ended, "{}: {:?}", case.name, closed.elapsed());
    if !case.is_stopping {
        node.process.begin_stop();
    }
    node.process.wait_ended();
}

// Guards against requests that a node with a short grace period gives up earlier than in the last
// sixth of it.
#[rstest]
#[case(1_000)]
#[case(2_000)]
#[case(3_000)]
#[case(4_000)]
#[case(5_000)]
#[case(8_000)]
#[case(30_000)]
fn requests_are_given_up_no_earlier_than_in_the_last_sixth_of_the_grace_period(#[case] grace: u64) {
    let limits = jackdaw_policy::shutdown::Limits::new(Millis(grace));
    assert!(limits.answer.0 * 6 >= grace * 5, "{limits:?}");
}

const FILLED_STREAM: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\nFILL0\r\n\r\n";

// Guards against the loss of the end of a stream whose server finished long before, and whose caller
// reads on before the node ends.
#[test]
fn stream_of_a_caller_that_paused_is_delivered_while_the_node_still_runs() {
    let (mut node, _) = start(&[FILLED_STREAM], Millis(3_000));
    let text = "x".repeat(4_096);
    let chunks = (1..=1_024).map(|number| {
        let event = format!("id: {number}\ndata: {text}\n\n");
        format!("{:x}\r\n{event}\r\n", event.len())
    });
    node.servers.fill(chunks.collect());
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("a descriptor is free");
    socket
        .set_recv_buffer_size(65_536)
        .expect("the option is known");
    socket
        .connect(&node.address.into())
        .expect("the node listens");
    let mut caller: TcpStream = socket.into();
    send(&mut caller, &request("r1", "POST", "/long/x", "", "hello"));
    node.servers.wait_written(1);
    let asked = node.process.begin_stop();
    thread::sleep(Duration::from_millis(2_350).saturating_sub(asked.elapsed()));
    let (answer, error) = read_rest(&mut caller);
    assert!(
        answer.ends_with("\r\n0\r\n\r\n"),
        "{} events until {:?}, {error:?}",
        answer.matches("data: ").count(),
        asked.elapsed()
    );
    node.process.wait_ended();
}

// Guards against a stream whose caller never reads, and which therefore keeps its connections and its
// server long after its deadline.
#[test]
fn stream_that_its_caller_does_not_read_ends_after_its_deadline() {
    let (node, _) = start(&[FILLED_STREAM], Millis(8_000));
    let text = "x".repeat(4_096);
    let chunks = (1..=8_192).map(|number| {
        let event = format!("id: {number}\ndata: {text}\n\n");
        format!("{:x}\r\n{event}\r\n", event.len())
    });
    node.servers.fill(chunks.collect());
    let mut caller = connect(&node);
    let request = request("r1", "POST", "/long/x", "", "hello");
    send(
        &mut caller,
        &request.replace("deadline: 8000", "deadline: 1000"),
    );
    node.servers.wait_arrived(1);
    assert!(
        node.servers.ends_within(Duration::from_secs(6)),
        "the server is still connected 5 s after the deadline"
    );
    node.process.stop();
}

/// Returns the chunks of a stream with a number of events.
fn events(count: usize) -> String {
    let text = "x".repeat(4_096);
    let chunks = (1..=count).map(|number| {
        let event = format!("id: {number}\ndata: {text}\n\n");
        format!("{:x}\r\n{event}\r\n", event.len())
    });
    chunks.collect()
}

// Guards against a stream that looks complete, or is taken for one that its caller has left, after it
// was ended because its caller did not read it.
#[test]
fn stream_that_its_caller_reads_after_its_deadline_is_broken_off() {
    let (node, log) = start(&[FILLED_STREAM], Millis(8_000));
    node.servers.fill(events(8_192));
    let mut caller = connect(&node);
    let request = request("r1", "POST", "/long/x", "", "hello");
    let sent = Instant::now();
    send(
        &mut caller,
        &request.replace("deadline: 8000", "deadline: 1000"),
    );
    let line = log.wait_for(|line| line.message == "answer abandoned");
    let ended = sent.elapsed();
    assert!(ended >= Duration::from_secs(1), "ended after {ended:?}");
    assert_eq!(line.field("cause"), "closed-by-node", "{line:?}");
    let broken_off = log.with_message("stream broken off");
    assert_eq!(broken_off.len(), 1, "{broken_off:?}");
    assert_eq!(broken_off[0].field("reason"), "deadline", "{broken_off:?}");
    let (answer, error) = read_rest(&mut caller);
    assert!(
        !answer.ends_with("\r\n0\r\n\r\n"),
        "{} bytes, {error:?}",
        answer.len()
    );
    node.process.stop();
}

// Guards against a stream that is broken off before its deadline because its caller reads slowly.
#[test]
fn stream_that_its_caller_reads_slowly_is_delivered_whole() {
    const EVENTS: usize = 6_144;
    const SLOW_PARTS: usize = 20;
    let (node, _) = start(&[FILLED_STREAM], Millis(8_000));
    node.servers.fill(events(EVENTS));
    let mut caller = connect(&node);
    send(&mut caller, &request("r1", "POST", "/long/x", "", "hello"));
    let mut answer = Vec::new();
    let mut part = vec![0; 256 << 10];
    for _ in 0..SLOW_PARTS {
        caller.read_exact(&mut part).expect("the stream goes on");
        answer.extend_from_slice(&part);
        thread::sleep(Duration::from_millis(100));
    }
    while !answer.ends_with(b"\r\n0\r\n\r\n") {
        let length = caller.read(&mut part).expect("the stream goes on");
        assert!(length > 0, "closed after {} bytes", answer.len());
        answer.extend_from_slice(&part[..length]);
    }
    let count = String::from_utf8_lossy(&answer).matches("data: ").count();
    assert_eq!(count, EVENTS);
    node.process.stop();
}

// Guards against lines about answers that were not sent whole although a slow caller has read them.
#[test]
fn answer_that_a_slow_caller_reads_whole_is_not_logged_as_unsent() {
    const LARGE: Script =
        "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4194304\r\n\r\nFILL";
    let (node, log) = start(&[LARGE], Millis(8_000));
    node.servers.fill("x".repeat(4_194_304));
    let mut caller = connect(&node);
    let headers = "connection: close\r\n";
    send(
        &mut caller,
        &request("r1", "POST", "/once/x", headers, "hello"),
    );
    node.servers.wait_written(1);
    thread::sleep(Duration::from_millis(1_500));
    let (answer, error) = read_rest(&mut caller);
    assert!(
        answer.len() > 4_194_304,
        "{} bytes, {error:?}",
        answer.len()
    );
    node.process.stop();
    for message in ["answer not sent whole", "answer abandoned"] {
        let lines = log.with_message(message);
        assert!(lines.is_empty(), "{lines:?}");
    }
}
