//! Tests of requests that come late in the grace period of a node that stops.

use std::io::{BufReader, Read as _, Write as _};
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use jackdaw_core::units::Millis;
use jackdaw_gateway::options::Options;
use jackdaw_policy::shutdown::Limits;
use rstest::rstest;
use slog::{Drain, Logger, OwnedKVList, Record, o};

use super::lines::Lines;
use super::support::{HOLD, Node, Script, TIMEOUT, options, read_message};

/// Time from the request to stop until the process is killed.
const GRACE: Millis = Millis(8_000);
/// Routes of each kind.
const PATHS: [&str; 4] = ["/once/x", "/safe/x", "/stream/x", "/fragile/x"];

const FILLED: Script =
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4194304\r\n\r\nFILL";
const REFUSED_LATE: Script = "GATEHTTP/1.1 503 Service Unavailable\r\nid: ID\r\nsigned: 1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const ONE_HOLD: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\nHOLD";
const ONE: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n";
/// Number of bytes of an answer that fits in no buffer on the way.
const LARGE: usize = 4_194_304;

/// A moment in the stop of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Moment {
    /// New requests are refused from now on.
    Refusing,
    /// Half-way between that and the next moment.
    Late,
    /// Shortly before requests in flight are given up.
    BeforeGivingUp,
    /// Between that and the end of the process.
    BeforeExit,
}

impl Moment {
    /// All moments, the earliest first.
    const ALL: [Moment; 4] = [
        Moment::Refusing,
        Moment::Late,
        Moment::BeforeGivingUp,
        Moment::BeforeExit,
    ];

    /// Returns the time of the moment after the request to stop.
    fn after(self, grace: Millis) -> Duration {
        let limits = Limits::new(grace);
        let millis = match self {
            Moment::Refusing => limits.accept.0,
            Moment::Late => (limits.accept.0 + limits.answer.0) / 2,
            Moment::BeforeGivingUp => limits.answer.0 - 100,
            Moment::BeforeExit => (limits.answer.0 + limits.exit.0) / 2,
        };
        Duration::from_millis(millis)
    }
}

/// How a late request comes to the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// On a connection that was used before.
    Kept,
    /// On a connection that was opened before the stop and never used.
    Unused,
    /// On a connection that was opened after the request to stop.
    Opened,
    /// Its head came before the stop, and its last byte comes late.
    SlowBody,
    /// Its head came in part before the stop.
    SlowHead,
    /// Behind a request in flight on the same connection.
    Pipelined,
}

fn wait_until(time: Instant) {
    while let Some(left) = time.checked_duration_since(Instant::now()) {
        thread::park_timeout(left + Duration::from_millis(1));
    }
}

/// Returns a request of a caller that keeps its connection.
fn kept(id: &str, method: &str, path: &str, deadline_ms: u64) -> String {
    let body = if method == "POST" { "hello" } else { "" };
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: host\r\nid: {id}\r\ndeadline: {deadline_ms}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

fn start(scripts: &[Script], grace: Millis) -> (Node, Lines) {
    let lines = Lines::default();
    let options = Options {
        grace,
        ..options("node")
    };
    let node = Node::start_with(2, scripts, options, lines.logger());
    (node, lines)
}

fn connect(node: &Node) -> TcpStream {
    let stream = TcpStream::connect(node.address).expect("the node listens");
    let set = stream.set_read_timeout(Some(TIMEOUT));
    set.expect("the time-out is valid");
    stream
}

fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("the node reads");
}

fn read_rest(stream: &mut TcpStream) -> (String, Option<std::io::ErrorKind>) {
    let mut bytes = Vec::new();
    let error = stream.read_to_end(&mut bytes).err();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    (text, error.map(|error| error.kind()))
}

/// Splits a request where its sender pauses.
fn split(request: &str, way: Way) -> (&str, &str) {
    match way {
        Way::SlowBody => request.split_at(request.len() - 1),
        Way::SlowHead => request.split_at(request.find("id: ").unwrap_or_default()),
        Way::Kept | Way::Unused | Way::Opened | Way::Pipelined => ("", request),
    }
}

/// A caller whose request comes late.
struct Caller {
    moment: Moment,
    id: String,
    stream: TcpStream,
    /// What the caller sends late.
    last: String,
    /// Whether that was sent before the process was to end.
    is_in_time: bool,
}

impl Caller {
    /// Opens a connection before the stop and sends what comes before the late part of a request.
    fn prepare(node: &Node, way: Way, path: &str, moment: Moment) -> Caller {
        let id = format!("{path} {moment:?}");
        // A short request would end in time, if it was taken.
        let deadline_ms = if way == Way::SlowBody { 15_000 } else { 300 };
        let request = kept(&id, "POST", path, deadline_ms);
        let (first, last) = split(&request, way);
        let mut stream = connect(node);
        match way {
            Way::Kept => {
                send(&mut stream, &kept("used", "GET", "/none/x", 15_000));
                let answer = read_message(&mut BufReader::new(&stream));
                assert!(answer.is_some_and(|(head, _)| head.starts_with("HTTP/1.1 404")));
            }
            Way::Pipelined => {
                let arrived = node.arrived().len();
                // This request ends between two moments.
                send(&mut stream, &kept("first", "POST", "/slow/x", 6_000));
                node.servers.wait_arrived(arrived + 1);
            }
            Way::Unused | Way::Opened => {}
            Way::SlowBody | Way::SlowHead => send(&mut stream, first),
        }
        Caller {
            moment,
            stream,
            last: last.to_owned(),
            is_in_time: false,
            id,
        }
    }
}

// Guards against requests that a stopping node takes late in the grace period and passes on, and whose
// callers get no answer when the process ends.
#[rstest]
#[case::kept(Way::Kept)]
#[case::unused(Way::Unused)]
#[case::opened(Way::Opened)]
#[case::slow_body(Way::SlowBody)]
#[case::slow_head(Way::SlowHead)]
#[case::pipelined(Way::Pipelined)]
fn request_that_comes_late_in_the_grace_period_is_refused(#[case] way: Way) {
    let mut scripts = vec![HOLD; PATHS.len() * Moment::ALL.len()];
    scripts.insert(0, FILLED);
    let (mut node, lines) = start(&scripts, GRACE);
    node.servers.fill("x".repeat(LARGE));
    // An answer that its caller does not read keeps the node from ending early.
    let mut reader = connect(&node);
    send(&mut reader, &kept("r1", "POST", "/slow/x", 15_000));
    node.servers.wait_written(1);
    let moments = Moment::ALL.into_iter();
    let moments = moments.filter(|moment| way != Way::Pipelined || *moment <= Moment::Late);
    let mut callers: Vec<Caller> = moments
        .flat_map(|moment| PATHS.map(|path| Caller::prepare(&node, way, path, moment)))
        .collect();
    let asked = node.begin_stop();
    if way == Way::Opened {
        node.wait_unready();
        for caller in &mut callers {
            caller.stream = connect(&node);
        }
    }
    for caller in &mut callers {
        wait_until(asked + caller.moment.after(GRACE));
        // The node may have refused the request already.
        let _ = caller.stream.write_all(caller.last.as_bytes());
        caller.is_in_time = asked.elapsed() < Limits::new(GRACE).exit.duration();
    }
    for caller in &mut callers {
        let (answers, error) = read_rest(&mut caller.stream);
        let last = answers.rfind("HTTP/1.1 ").map_or("", |at| &answers[at..]);
        let is_refused = last.starts_with("HTTP/1.1 503")
            && last.contains("connection: close")
            && last.contains("retry-after: 0")
            && last.contains("the node is stopping");
        assert!(
            is_refused || !caller.is_in_time,
            "{way:?}, {}: ended with {error:?}: {answers}\n{lines:?}",
            caller.id
        );
    }
    let arrived = node.arrived();
    let ids: Vec<&str> = callers.iter().map(|caller| caller.id.as_str()).collect();
    let passed_on = arrived
        .iter()
        .filter(|head| ids.contains(&head["id"].as_str()));
    assert_eq!(passed_on.count(), 0, "{way:?}: {arrived:?}");
    node.process.wait_ended();
}

/// A request that its first server does not run, and says so late in the grace period.
#[derive(Debug)]
struct RetryCase {
    name: &'static str,
    deadline_ms: u64,
    /// Script of the second server.
    script: Script,
    status: &'static str,
    attempts: usize,
}

// Guards against requests that a stopping node sends to another server late in the grace period
// although the first one did not run them, and whose answers it cannot wait for.
#[rstest]
#[case::after(RetryCase { name: "after the end of the grace period", deadline_ms: 15_000, script: ONE_HOLD, status: "503", attempts: 1 })]
#[case::within(RetryCase { name: "within the grace period", deadline_ms: 3_500, script: ONE, status: "200", attempts: 2 })]
fn request_that_a_server_refuses_late_is_sent_again_only_if_it_can_end(#[case] case: RetryCase) {
    let (mut node, _) = start(&[REFUSED_LATE, case.script], Millis(4_000));
    let mut caller = connect(&node);
    let request = kept("r1", "POST", "/longest/x", case.deadline_ms);
    send(&mut caller, &request);
    node.servers.wait_arrived(1);
    node.begin_stop();
    node.wait_refusing();
    node.servers.release();
    let (answer, error) = read_rest(&mut caller);
    let status = format!("HTTP/1.1 {}", case.status);
    assert!(
        answer.starts_with(&status),
        "{}: ended with {error:?}: {answer}",
        case.name
    );
    assert_eq!(node.arrived().len(), case.attempts, "{}", case.name);
    node.process.wait_ended();
}

/// Returns a request that holds up the event loop.
fn stalling() -> String {
    kept("stall", "GET", "/none/x", 15_000).replace("id: ", "stall: 1\r\nid: ")
}

/// Records lines and holds up the thread that logs one with a message, until it is released.
#[derive(Clone, Debug)]
struct Barrier {
    lines: Lines,
    message: &'static str,
    is_open: Arc<(Mutex<bool>, Condvar)>,
}

impl Barrier {
    fn release(&self) {
        let (is_open, changed) = &*self.is_open;
        *is_open.lock().expect("no test panicked") = true;
        changed.notify_all();
    }
}

impl Drain for Barrier {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        self.lines.log(record, values)?;
        if record.msg().to_string() == self.message {
            let (is_open, changed) = &*self.is_open;
            let is_open = is_open.lock().expect("no test panicked");
            let waited = changed.wait_timeout_while(is_open, TIMEOUT, |is_open| !*is_open);
            drop(waited.expect("no test panicked"));
        }
        Ok(())
    }
}

// Guards against requests that end without an answer because a node whose event loop is late ends
// before it has answered those that it gives up.
#[rstest]
#[case::once("/slow/x")]
#[case::stream("/longest/x")]
fn request_that_is_given_up_is_answered_though_the_event_loop_is_late(#[case] path: &str) {
    let grace = Millis(1_000);
    let lines = Lines::default();
    let barrier = Barrier {
        lines: lines.clone(),
        message: "leadership lost",
        is_open: Arc::default(),
    };
    let logger = Logger::root(barrier.clone().ignore_res(), o!());
    let options = Options {
        grace,
        ..options("node")
    };
    let mut node = Node::start_with(2, &[HOLD], options, logger);
    let mut caller = connect(&node);
    send(&mut caller, &kept("r1", "POST", path, 15_000));
    node.servers.wait_arrived(1);
    lines.wait_for(|line| line.message == "leadership won");
    let mut stalls = [connect(&node), connect(&node)];
    let asked = node.begin_stop();
    node.wait_unready();
    // The event loop stands still until the process is to end.
    send(&mut stalls[0], &stalling());
    node.stall.wait_stalled();
    wait_until(asked + Limits::new(grace).exit.duration());
    node.stall.resume();
    // It stands still once more after it has noticed that, for longer than it takes to end.
    lines.wait_for(|line| line.message == barrier.message);
    send(&mut stalls[1], &stalling());
    barrier.release();
    node.stall.wait_stalled();
    wait_until(asked + 2 * grace.duration());
    node.stall.resume();
    let (answer, error) = read_rest(&mut caller);
    assert!(
        answer.starts_with("HTTP/1.1 502"),
        "{path}: ended with {error:?}: {answer}\n{lines:?}"
    );
    node.process.wait_ended();
}
