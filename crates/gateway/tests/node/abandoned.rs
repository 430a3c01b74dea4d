//! Tests of the log lines that name requests whose answer was not handed over whole.

use std::io::{BufRead, BufReader, Read as _, Write as _};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use jackdaw_core::time::{Clock, Instant, SystemClock};
use jackdaw_core::units::Millis;
use jackdaw_gateway::node::Parts;
use jackdaw_gateway::options::Options;
use jackdaw_gateway::server::Ports;
use rstest::rstest;
use slog::Level;
use socket2::{Domain, SockAddr, SockRef, Socket, Type};

use super::lines::{Line, Lines};
use super::store::MemoryStore;
use super::support::{HOLD, Node, Process, Script, TIMEOUT, exchange, options, parts, request};

const ABANDONED: &str = "answer abandoned";

const HEAD_HOLD: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\nHOLD";
const ONE_HOLD: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\nHOLD";
const ONE: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n";
const ONE_END: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n";
const OK: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\ndone";
const EMPTY: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 0\r\n\r\n";

/// Size of an answer that does not fit into the buffers of the sockets between node and caller.
const LARGE_ANSWER: usize = 12 << 20;
/// Size of the buffers of sockets that take little; the system raises it to its least size.
const SMALL_BUFFER: usize = 1;

/// Grace period of a node that does not wait for its requests when it stops.
const SHORT_GRACE: Millis = Millis(1_000);
/// Grace period that ends before the requests' deadlines and whose margins, a twentieth of it each, are
/// long enough to answer many requests.
const WIDE_GRACE: Millis = Millis(3_000);

/// The stage at which a request is abandoned.
#[derive(Clone, Copy, Debug)]
enum At {
    Body,
    Server,
    FirstEvent,
    Streaming,
    Answer,
}

/// What ends the request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    CallerCloses,
    CallerResets,
    ServerBreaksOff,
    ProcessEnds,
}

#[derive(Debug)]
struct Case {
    at: At,
    end: End,
    stage: &'static str,
    cause: &'static str,
    /// Whether the line names a route and a server.
    is_passed_on: bool,
    events: &'static str,
}

/// Returns a script with a large answer.
fn large_answer() -> Script {
    let body = "x".repeat(LARGE_ANSWER);
    let text = format!(
        "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: {LARGE_ANSWER}\r\n\r\n{body}"
    );
    Box::leak(text.into_boxed_str())
}

fn scripts(at: At, end: End) -> Vec<Script> {
    match (at, end) {
        (At::Body, _) => Vec::new(),
        (At::Server, _) => vec![HOLD],
        (At::FirstEvent, _) => vec![HEAD_HOLD, HOLD],
        (At::Streaming, End::ServerBreaksOff) => vec![ONE],
        (At::Streaming, _) => vec![ONE_HOLD],
        (At::Answer, _) => vec![large_answer()],
    }
}

fn connect(node: &Node) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket can be made");
    socket
        .set_recv_buffer_size(SMALL_BUFFER)
        .expect("the size is valid");
    socket
        .connect(&SockAddr::from(node.address))
        .expect("the node listens");
    let stream = TcpStream::from(socket);
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("the time-out is valid");
    stream
}

/// Reads until a line that begins with a text has arrived; reads no byte beyond it.
fn read_until(stream: &mut TcpStream, start: &str) {
    let mut line = Vec::new();
    let mut byte = [0];
    loop {
        stream.read_exact(&mut byte).expect("the node answers");
        if byte != *b"\n" {
            line.push(byte[0]);
            continue;
        }
        if line.starts_with(start.as_bytes()) {
            return;
        }
        line.clear();
    }
}

/// Sends a request and waits until it has come to a stage.
fn send(node: &Node, at: At) -> TcpStream {
    let mut stream = connect(node);
    let text = match at {
        At::Body => "POST /once/x HTTP/1.1\r\nhost: host\r\nid: r1\r\nexpect: 100-continue\r\ncontent-length: 5\r\n\r\n".to_owned(),
        At::Server | At::Answer => request("r1", "POST", "/once/x"),
        At::FirstEvent => request("r1", "POST", "/stream/x"),
        At::Streaming => request("r1", "POST", "/fragile/x"),
    };
    stream.write_all(text.as_bytes()).expect("the node reads");
    match at {
        // The node asks for the body once it has admitted the request.
        At::Body => read_until(&mut stream, "HTTP/1.1 100"),
        At::Server => node.servers.wait_arrived(1),
        // The first server's silence has the request sent to the second one.
        At::FirstEvent => node.servers.wait_arrived(2),
        At::Streaming => read_until(&mut stream, "data: one"),
        At::Answer => read_until(&mut stream, "HTTP/1.1 200"),
    }
    stream
}

/// Resets a connection.
fn reset(stream: TcpStream) {
    let socket = Socket::from(stream);
    socket
        .set_linger(Some(Duration::ZERO))
        .expect("the option is valid");
}

fn is_abandoned(line: &Line) -> bool {
    line.message == ABANDONED
}

#[rstest]
#[case(Case { at: At::Body, end: End::CallerCloses, stage: "reading-body", cause: "closed-by-caller", is_passed_on: false, events: "0" })]
#[case(Case { at: At::Body, end: End::CallerResets, stage: "reading-body", cause: "connection-failed", is_passed_on: false, events: "0" })]
#[case(Case { at: At::Server, end: End::CallerCloses, stage: "waiting-for-server", cause: "closed-by-caller", is_passed_on: true, events: "0" })]
#[case(Case { at: At::Server, end: End::CallerResets, stage: "waiting-for-server", cause: "connection-failed", is_passed_on: true, events: "0" })]
#[case(Case { at: At::FirstEvent, end: End::CallerCloses, stage: "waiting-for-first-event", cause: "closed-by-caller", is_passed_on: true, events: "0" })]
#[case(Case { at: At::FirstEvent, end: End::CallerResets, stage: "waiting-for-first-event", cause: "connection-failed", is_passed_on: true, events: "0" })]
#[case(Case { at: At::Streaming, end: End::CallerCloses, stage: "streaming", cause: "closed-by-caller", is_passed_on: true, events: "1" })]
#[case(Case { at: At::Streaming, end: End::CallerResets, stage: "streaming", cause: "connection-failed", is_passed_on: true, events: "1" })]
#[case(Case { at: At::Streaming, end: End::ServerBreaksOff, stage: "streaming", cause: "closed-by-node", is_passed_on: true, events: "1" })]
#[case(Case { at: At::Streaming, end: End::ProcessEnds, stage: "streaming", cause: "closed-by-node", is_passed_on: true, events: "1" })]
#[case(Case { at: At::Answer, end: End::CallerCloses, stage: "buffered-answer", cause: "closed-by-caller", is_passed_on: true, events: "0" })]
#[case(Case { at: At::Answer, end: End::CallerResets, stage: "buffered-answer", cause: "connection-failed", is_passed_on: true, events: "0" })]
#[case(Case { at: At::Answer, end: End::ProcessEnds, stage: "buffered-answer", cause: "process-ending", is_passed_on: true, events: "0" })]
// Guards against answers that are dropped without a line that names the request and the cause.
fn a_request_whose_answer_is_dropped_is_named_with_its_stage_and_the_cause(#[case] case: Case) {
    let lines = Lines::default();
    let options = Options {
        grace: SHORT_GRACE,
        ..options("node")
    };
    let scripts = scripts(case.at, case.end);
    let mut node = Node::start_with(2, &scripts, options, lines.logger());
    let stream = send(&node, case.at);
    let kept = match case.end {
        End::CallerCloses => {
            stream
                .shutdown(Shutdown::Write)
                .expect("the connection is open");
            Some(stream)
        }
        End::CallerResets => {
            reset(stream);
            None
        }
        End::ServerBreaksOff => Some(stream),
        End::ProcessEnds => {
            node.begin_stop();
            Some(stream)
        }
    };
    let line = lines.wait_for(is_abandoned);
    node.stop();
    drop(kept);
    assert_eq!(lines.with_message(ABANDONED).len(), 1, "{case:?}");
    assert_eq!(line.level, Level::Info, "{line:?}");
    assert_eq!(line.field("request"), "r1", "{line:?}");
    assert_eq!(line.field("stage"), case.stage, "{line:?}");
    assert_eq!(line.field("cause"), case.cause, "{line:?}");
    assert_eq!(line.field("events"), case.events, "{line:?}");
    assert_eq!(
        !line.field("route").is_empty(),
        case.is_passed_on,
        "{line:?}"
    );
    assert_eq!(
        !line.field("server").is_empty(),
        case.is_passed_on,
        "{line:?}"
    );
    let is_stopping = case.end == End::ProcessEnds;
    assert_eq!(
        line.number("stopping_ms").is_some(),
        is_stopping,
        "{line:?}"
    );
    assert!(line.number("age_ms").is_some(), "{line:?}");
    assert!(line.number("left_ms").is_some(), "{line:?}");
}

/// A request that a stopping node gives up before its caller has a part of the answer.
#[derive(Debug)]
struct GivenUpCase {
    at: At,
    status: &'static str,
    may_have_run: &'static str,
}

#[rstest]
#[case::body(GivenUpCase { at: At::Body, status: "503", may_have_run: "false" })]
#[case::server(GivenUpCase { at: At::Server, status: "502", may_have_run: "true" })]
#[case::first_event(GivenUpCase { at: At::FirstEvent, status: "502", may_have_run: "true" })]
// Guards against requests that end without an answer and without a line when the process ends.
fn a_request_that_a_stopping_node_gives_up_is_answered_and_named(#[case] case: GivenUpCase) {
    let lines = Lines::default();
    let options = Options {
        grace: SHORT_GRACE,
        ..options("node")
    };
    let scripts = scripts(case.at, End::ProcessEnds);
    let mut node = Node::start_with(2, &scripts, options, lines.logger());
    let mut stream = send(&node, case.at);
    node.begin_stop();
    let mut answer = String::new();
    stream
        .read_to_string(&mut answer)
        .expect("the node closes the connection");
    node.stop();
    // The answer to `expect: 100-continue` ended with an empty line that has not been read.
    let answer = answer.trim_start();
    let start = format!("HTTP/1.1 {}", case.status);
    assert!(answer.starts_with(&start), "{case:?}: {answer}");
    assert!(
        answer.contains("the node is stopping"),
        "{case:?}: {answer}"
    );
    let refused = lines.with_message("request refused");
    assert_eq!(refused.len(), 1, "{case:?}: {refused:?}");
    assert_eq!(refused[0].field("request"), "r1", "{case:?}");
    assert_eq!(
        refused[0].field("may_have_run"),
        case.may_have_run,
        "{case:?}"
    );
    assert!(lines.with_message(ABANDONED).is_empty(), "{case:?}");
}

#[derive(Debug)]
struct WholeCase {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    script: Script,
    status: &'static str,
}

#[rstest]
#[case(WholeCase { name: "a buffered answer", method: "POST", path: "/once/x", script: OK, status: "200" })]
#[case(WholeCase { name: "an answer without a body", method: "POST", path: "/once/x", script: EMPTY, status: "200" })]
#[case(WholeCase { name: "an answer to HEAD", method: "HEAD", path: "/once/x", script: EMPTY, status: "200" })]
#[case(WholeCase { name: "a stream", method: "POST", path: "/stream/x", script: ONE_END, status: "200" })]
#[case(WholeCase { name: "a refusal", method: "POST", path: "/none/x", script: OK, status: "404" })]
#[case(WholeCase { name: "a failure of the server", method: "POST", path: "/once/x", script: "", status: "502" })]
// Guards against lines that call a complete answer abandoned.
fn a_complete_answer_adds_no_line(#[case] case: WholeCase) {
    let lines = Lines::default();
    let node = Node::start_with(2, &[case.script], options("node"), lines.logger());
    let answer = exchange(node.address, &request("r1", case.method, case.path));
    let status = format!("HTTP/1.1 {}", case.status);
    assert!(answer.starts_with(&status), "{}: {answer}", case.name);
    node.stop();
    assert!(
        lines.with_message(ABANDONED).is_empty(),
        "{}: {lines:?}",
        case.name
    );
}

// Guards against guards of a kept connection that are confused with one another.
#[test]
fn complete_answers_on_a_kept_connection_add_no_line_beside_an_abandoned_one() {
    let lines = Lines::default();
    let scripts = [OK, OK, HOLD];
    let node = Node::start_with(1, &scripts, options("node"), lines.logger());
    let mut stream = connect(&node);
    for (id, is_answered) in [("r1", true), ("r2", true), ("r3", false)] {
        let text = request(id, "POST", "/once/x").replace("connection: close\r\n", "");
        stream.write_all(text.as_bytes()).expect("the node reads");
        if is_answered {
            let mut body = [0; 4];
            let mut reader = BufReader::with_capacity(1, &stream);
            let mut head = String::new();
            while head != "\r\n" {
                head.clear();
                reader.read_line(&mut head).expect("the node answers");
            }
            reader.read_exact(&mut body).expect("the node answers");
        }
    }
    node.servers.wait_arrived(3);
    stream
        .shutdown(Shutdown::Write)
        .expect("the connection is open");
    let line = lines.wait_for(is_abandoned);
    node.stop();
    assert_eq!(line.field("request"), "r3", "{line:?}");
    assert_eq!(lines.with_message(ABANDONED).len(), 1, "{lines:?}");
}

/// Sends requests that no server answers, and waits until they have arrived.
fn send_unanswered(node: &Node, count: usize) -> Vec<TcpStream> {
    let streams = (0..count).map(|number| {
        let mut stream = connect(node);
        let text = request(&format!("r{number}"), "POST", "/once/x");
        stream.write_all(text.as_bytes()).expect("the node reads");
        stream
    });
    let streams = streams.collect();
    node.servers.wait_arrived(count);
    streams
}

const STOPPING: &str = "node stopping";
const REFUSING: &str = "new requests are refused";
const GRACE_ENDED: &str = "grace period ended with requests in flight";
const LATE: &str = "request in flight at the end of the grace period";
const OUTLASTING: &str = "request may outlast the grace period";
const UNNAMED: &str = "more requests than are named";
const STOPPED: &str = "node stopped";

#[derive(Debug)]
struct StopCase {
    name: &'static str,
    requests: usize,
    stages: &'static str,
    /// Requests that are named when new ones are refused.
    named: usize,
    /// Numbers of the requests that are only counted then.
    unnamed: &'static [u64],
}

#[rstest]
#[case(StopCase { name: "nothing in flight", requests: 0, stages: "", named: 0, unnamed: &[] })]
#[case(StopCase { name: "two requests", requests: 2, stages: "waiting-for-server 2", named: 2, unnamed: &[] })]
#[case(StopCase { name: "more requests than are named", requests: 53, stages: "waiting-for-server 53", named: 50, unnamed: &[3] })]
// Guards against a stop that loses requests without a line that names them.
fn a_stop_logs_its_phases_and_the_requests_that_outlast_the_grace_period(#[case] case: StopCase) {
    let lines = Lines::default();
    let options = Options {
        grace: WIDE_GRACE,
        ..options("node")
    };
    let scripts = vec![HOLD; case.requests];
    let mut node = Node::start_with(2, &scripts, options, lines.logger());
    let streams = send_unanswered(&node, case.requests);
    node.begin_stop();
    node.stop();
    drop(streams);
    let count = case.requests.to_string();
    for (message, count, stages) in [
        (STOPPING, count.as_str(), case.stages),
        (REFUSING, count.as_str(), case.stages),
        (STOPPED, "0", ""),
    ] {
        let logged = lines.with_message(message);
        assert_eq!(logged.len(), 1, "{}: {message}", case.name);
        let line = &logged[0];
        assert_eq!(line.level, Level::Info, "{}: {line:?}", case.name);
        assert_eq!(line.field("in_flight"), count, "{}: {line:?}", case.name);
        assert_eq!(line.field("stages"), stages, "{}: {line:?}", case.name);
        assert_eq!(line.field("connections"), count, "{}: {line:?}", case.name);
    }
    let stopping = &lines.with_message(STOPPING)[0];
    let has_deadline = stopping.number("last_deadline_ms").is_some();
    assert_eq!(has_deadline, case.requests > 0, "{stopping:?}");
    assert!(stopping.number("lag_ms").is_some(), "{stopping:?}");
    let refusing = &lines.with_message(REFUSING)[0];
    assert!(refusing.number("late_ms").is_some(), "{refusing:?}");
    let named = lines.with_message(OUTLASTING);
    assert_eq!(named.len(), case.named, "{}", case.name);
    for line in &named {
        assert_eq!(line.level, Level::Info, "{line:?}");
        assert!(line.field("request").starts_with('r'), "{line:?}");
        assert!(!line.field("server").is_empty(), "{line:?}");
        assert_eq!(line.field("stage"), "waiting-for-server", "{line:?}");
        assert!(line.number("left_ms").is_some(), "{line:?}");
    }
    let unnamed = lines.with_message(UNNAMED);
    let unnamed: Vec<u64> = unnamed
        .iter()
        .filter_map(|line| line.number("unnamed"))
        .collect();
    assert_eq!(unnamed, case.unnamed, "{}", case.name);
    // Each request is answered and named once more before the process ends.
    assert_eq!(lines.with_message("request refused").len(), case.requests);
    assert!(lines.with_message(GRACE_ENDED).is_empty(), "{}", case.name);
    assert!(lines.with_message(ABANDONED).is_empty(), "{}", case.name);
}

// Guards against answers that the end of the grace period cuts off without a line that names them.
#[test]
fn an_answer_that_its_caller_does_not_read_is_named_at_the_end_of_the_grace_period() {
    let lines = Lines::default();
    let options = Options {
        grace: SHORT_GRACE,
        ..options("node")
    };
    let scripts = scripts(At::Answer, End::ProcessEnds);
    let mut node = Node::start_with(2, &scripts, options, lines.logger());
    let stream = send(&node, At::Answer);
    node.begin_stop();
    node.stop();
    drop(stream);
    let ended = lines.with_message(GRACE_ENDED);
    assert_eq!(ended.len(), 1, "{lines:?}");
    assert_eq!(ended[0].field("in_flight"), "1", "{ended:?}");
    let named = lines.with_message(LATE);
    assert_eq!(named.len(), 1, "{lines:?}");
    assert_eq!(named[0].level, Level::Warning, "{named:?}");
    assert_eq!(named[0].field("request"), "r1", "{named:?}");
    assert_eq!(named[0].field("stage"), "buffered-answer", "{named:?}");
}

/// Number of events of a stream that fits into a connection's buffer within the node, but not into
/// the small buffers of its sockets.
const UNSENT_EVENTS: usize = 15;
/// Size of the data of each of these events.
const UNSENT_EVENT_SIZE: usize = 1 << 10;

/// Returns a script with a complete stream.
fn unsent_stream() -> Script {
    let mut text = HEAD_HOLD.trim_end_matches(HOLD).to_owned();
    for number in 1..=UNSENT_EVENTS {
        let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(UNSENT_EVENT_SIZE));
        text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    text.push_str("0\r\n\r\n");
    Box::leak(text.into_boxed_str())
}

// Guards against a complete answer that is lost with the process without a line that names it.
#[test]
fn an_answer_that_is_not_sent_whole_when_the_process_ends_is_named() {
    let lines = Lines::default();
    let options = Options {
        grace: SHORT_GRACE,
        ..options("node")
    };
    let ports = Ports::bind(&options).expect("ports are free");
    // Accepted connections inherit the size.
    SockRef::from(&ports.callers)
        .set_send_buffer_size(SMALL_BUFFER)
        .expect("the size is valid");
    // The node logs the end of a stream that had a failed attempt.
    let scripts = ["", unsent_stream()];
    let mut node = Node::start_on(ports, 2, &scripts, lines.logger(), options);
    let mut stream = connect(&node);
    let text = request("r1", "POST", "/stream/x");
    stream.write_all(text.as_bytes()).expect("the node reads");
    lines.wait_for(|line| line.message == "request answered");
    node.begin_stop();
    node.stop();
    drop(stream);
    assert!(lines.with_message(ABANDONED).is_empty(), "{lines:?}");
    let unsent = lines.with_message("answer not sent whole");
    assert_eq!(unsent.len(), 1, "{lines:?}");
    assert_eq!(unsent[0].field("request"), "r1", "{unsent:?}");
    let stopped = &lines.with_message(STOPPED)[0];
    assert_eq!(stopped.field("in_flight"), "0", "{stopped:?}");
    assert_eq!(stopped.field("connections"), "1", "{stopped:?}");
    let left = stopped.number("unsent_bytes").unwrap_or_default();
    assert!(left > 0, "{stopped:?}");
    assert_eq!(unsent[0].number("unsent_bytes"), Some(left), "{unsent:?}");
}

// Guards against lines that warn of requests whose deadline passes before the node exits.
#[test]
fn a_request_that_ends_within_the_grace_period_is_not_named_at_the_stop() {
    let lines = Lines::default();
    let mut node = Node::start_with(2, &[ONE_HOLD], options("node"), lines.logger());
    let mut stream = connect(&node);
    let text = request("r1", "POST", "/fragile/x").replace("4000", "1000");
    stream.write_all(text.as_bytes()).expect("the node reads");
    read_until(&mut stream, "data: one");
    node.begin_stop();
    node.stop();
    assert!(lines.with_message(OUTLASTING).is_empty(), "{lines:?}");
    assert!(lines.with_message(LATE).is_empty(), "{lines:?}");
}

/// A clock that can be set forward.
#[derive(Debug, Default)]
struct JumpingClock {
    system: SystemClock,
    offset_ms: AtomicU64,
}

impl Clock for JumpingClock {
    fn now(&self) -> Instant {
        self.system.now() + Millis(self.offset_ms.load(Ordering::Relaxed))
    }

    fn unix_millis(&self) -> u64 {
        self.system.unix_millis()
    }
}

/// Time by which the event loop stands still; longer than a stopping node takes new requests.
const STANDSTILL_MS: u64 = 4_000;
/// Time after the signal in which a node takes new requests.
const ACCEPT_MS: u64 = 3_000;
/// Time between two measurements of the event loop's lag.
const LAG_INTERVAL_MS: u64 = 100;

// Guards against a stop whose log does not show that the node's event loop was late.
#[test]
fn a_stop_logs_how_late_the_event_loop_was() {
    let lines = Lines::default();
    let clock = Arc::new(JumpingClock::default());
    let store = Arc::new(MemoryStore::new());
    store.put("configuration", "1");
    let parts = Parts {
        clock: clock.clone(),
        ..parts(&store, Vec::new(), lines.logger())
    };
    let options = options("node");
    let ports = Ports::bind(&options).expect("ports are free");
    let mut process = Process::launch(options, ports, parts);
    // All tasks of the node run by then.
    lines.wait_for(|line| line.message == "leadership won");
    process.begin_stop();
    lines.wait_for(|line| line.message == STOPPING);
    clock.offset_ms.store(STANDSTILL_MS, Ordering::Relaxed);
    process.stop();
    let refusing = &lines.with_message(REFUSING)[0];
    let lag_ms = refusing.number("longest_lag_ms").unwrap_or_default();
    assert!(lag_ms >= STANDSTILL_MS - LAG_INTERVAL_MS, "{refusing:?}");
    let late_ms = refusing.number("late_ms").unwrap_or_default();
    assert!(late_ms >= STANDSTILL_MS - ACCEPT_MS, "{refusing:?}");
}
