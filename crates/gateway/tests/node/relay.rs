//! Tests of what callers and servers receive when servers answer, refuse requests, or send
//! incomplete or invalid answers.

use rstest::rstest;
use std::io::{BufRead, BufReader, Write as _};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use super::support::{GATE, KEEP, Node, Script, exchange, request};

const OK: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\ndone";
const SERVER_ERROR: Script =
    "HTTP/1.1 500 Failed\r\nid: ID\r\nsigned: 1\r\ncontent-length: 3\r\n\r\nbad";
const NOT_RUN: Script = "HTTP/1.1 503 Full\r\nid: ID\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const UNAVAILABLE: Script = "HTTP/1.1 503 Full\r\nid: ID\r\ncontent-length: 0\r\n\r\n";
const UNSIGNED: Script = "HTTP/1.1 200 OK\r\nid: ID\r\ncontent-length: 4\r\n\r\ndone";
const OTHER_REQUEST: Script =
    "HTTP/1.1 200 OK\r\nid: other\r\nsigned: 1\r\ncontent-length: 4\r\n\r\nfake";
const TRUNCATED: Script =
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 40\r\n\r\ndone";
const ENCODED: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-encoding: gzip\r\ncontent-length: 4\r\n\r\ndone";
const NO_ANSWER: Script = "";

#[derive(Debug)]
struct AnswerCase {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    scripts: &'static [Script],
    status: &'static str,
    body: &'static str,
    attempts: usize,
}

#[rstest]
#[case(AnswerCase { name: "a complete answer", method: "POST", path: "/once/x", scripts: &[OK], status: "200", body: "done", attempts: 1 })]
#[case(AnswerCase { name: "a server's error answer is delivered", method: "POST", path: "/once/x", scripts: &[SERVER_ERROR], status: "500", body: "bad", attempts: 1 })]
#[case(AnswerCase { name: "no answer to a request that must not run twice", method: "POST", path: "/once/x", scripts: &[NO_ANSWER], status: "502", body: "", attempts: 1 })]
#[case(AnswerCase { name: "a statement that the request has not run", method: "POST", path: "/once/x", scripts: &[NOT_RUN], status: "503", body: "", attempts: 1 })]
#[case(AnswerCase { name: "status 503 without a statement that the request has not run", method: "POST", path: "/once/x", scripts: &[UNAVAILABLE], status: "502", body: "", attempts: 1 })]
#[case(AnswerCase { name: "a success without a signature", method: "POST", path: "/once/x", scripts: &[UNSIGNED], status: "502", body: "", attempts: 1 })]
#[case(AnswerCase { name: "an answer to another request", method: "POST", path: "/once/x", scripts: &[OTHER_REQUEST], status: "502", body: "", attempts: 1 })]
#[case(AnswerCase { name: "a truncated answer", method: "POST", path: "/once/x", scripts: &[TRUNCATED], status: "502", body: "", attempts: 1 })]
#[case(AnswerCase { name: "an answer with a content encoding", method: "POST", path: "/once/x", scripts: &[ENCODED], status: "502", body: "", attempts: 1 })]
#[case(AnswerCase { name: "an idempotent request is retried after an error answer", method: "GET", path: "/safe/x", scripts: &[SERVER_ERROR, OK], status: "200", body: "done", attempts: 2 })]
#[case(AnswerCase { name: "an idempotent request is retried after no answer", method: "GET", path: "/safe/x", scripts: &[NO_ANSWER, OK], status: "200", body: "done", attempts: 2 })]
#[case(AnswerCase { name: "an idempotent request is retried after an answer to another request", method: "GET", path: "/safe/x", scripts: &[OTHER_REQUEST, OK], status: "200", body: "done", attempts: 2 })]
#[case(AnswerCase { name: "the error answer is delivered after two of them", method: "GET", path: "/safe/x", scripts: &[SERVER_ERROR, SERVER_ERROR], status: "500", body: "bad", attempts: 2 })]
#[case(AnswerCase { name: "the error answer is delivered after a retry without an answer", method: "GET", path: "/safe/x", scripts: &[SERVER_ERROR, NO_ANSWER], status: "500", body: "bad", attempts: 2 })]
#[case(AnswerCase { name: "no matching route", method: "GET", path: "/none/x", scripts: &[], status: "404", body: "", attempts: 0 })]
fn callers_get_a_complete_answer_or_a_status_that_tells_whether_the_request_may_have_run(
    #[case] case: AnswerCase,
) {
    let node = Node::start(case.scripts);
    let answer = node.call(case.method, case.path);
    let status = format!("HTTP/1.1 {}", case.status);
    assert!(answer.starts_with(&status), "{}: {answer}", case.name);
    assert!(answer.ends_with(case.body), "{}: {answer}", case.name);
    assert_eq!(node.arrived().len(), case.attempts, "{}", case.name);
    node.stop();
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const ONE_TWO: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n11\r\nid: 2\ndata: two\n\n\r\n";
const ONE_TWO_END: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n";
const TWO_THREE_END: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 2\ndata: two\n\n\r\n13\r\nid: 3\ndata: three\n\n\r\n0\r\n\r\n";
const FOUR_END: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n12\r\nid: 4\ndata: four\n\n\r\n0\r\n\r\n";
const INCOMPLETE_EVENT: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n6\r\nid: 2\n\r\n0\r\n\r\n";

#[derive(Debug)]
struct StreamCase {
    name: &'static str,
    path: &'static str,
    scripts: &'static [Script],
    events: &'static [&'static str],
    is_complete: bool,
    last_event_id: Option<&'static str>,
}

#[rstest]
#[case(StreamCase { name: "a complete stream", path: "/stream/x", scripts: &[ONE_TWO_END], events: &["one", "two"], is_complete: true, last_event_id: None })]
#[case(StreamCase { name: "an interrupted stream is resumed without repeated events", path: "/stream/x", scripts: &[ONE_TWO, TWO_THREE_END], events: &["one", "two", "three"], is_complete: true, last_event_id: Some("2") })]
#[case(StreamCase { name: "a stream that ends within an event is resumed", path: "/stream/x", scripts: &[INCOMPLETE_EVENT, TWO_THREE_END], events: &["one", "two", "three"], is_complete: true, last_event_id: Some("1") })]
#[case(StreamCase { name: "a stream that is resumed with a gap is aborted", path: "/stream/x", scripts: &[ONE_TWO, FOUR_END], events: &["one", "two"], is_complete: false, last_event_id: Some("2") })]
#[case(StreamCase { name: "an interrupted stream that is not resumable is aborted", path: "/fragile/x", scripts: &[ONE_TWO, TWO_THREE_END], events: &["one", "two"], is_complete: false, last_event_id: None })]
fn streams_reach_callers_without_gaps_and_repeated_events(#[case] case: StreamCase) {
    assert!(
        ONE_TWO.starts_with(HEAD),
        "the scripts start with the same head"
    );
    let node = Node::start(case.scripts);
    let answer = node.call("POST", case.path);
    let events: Vec<&str> = answer
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    assert_eq!(events, case.events, "{}: {answer}", case.name);
    let is_complete = answer.ends_with("0\r\n\r\n");
    assert_eq!(is_complete, case.is_complete, "{}: {answer}", case.name);
    // A second status line within the stream would violate the protocol.
    assert_eq!(
        answer.matches("HTTP/1.1").count(),
        1,
        "{}: {answer}",
        case.name
    );
    let last_event_id = node
        .arrived()
        .last()
        .and_then(|head| head.get("last").cloned());
    assert_eq!(
        last_event_id.as_deref(),
        case.last_event_id,
        "{}",
        case.name
    );
    node.stop();
}

const EMPTY: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
const EMPTY_WITH_LENGTH: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ncontent-length: 0\r\n\r\n";

#[derive(Debug)]
struct EmptyCase {
    name: &'static str,
    path: &'static str,
    script: Script,
}

// Guards against complete streams without events, such as the rest of one whose last event the caller
// has, that are taken for silent and sent once more or broken off.
#[rstest]
#[case(EmptyCase { name: "in chunks", path: "/stream/x", script: EMPTY })]
#[case(EmptyCase { name: "with a length", path: "/stream/x", script: EMPTY_WITH_LENGTH })]
#[case(EmptyCase { name: "that may not be resumed", path: "/fragile/x", script: EMPTY })]
fn complete_streams_without_events_end(#[case] case: EmptyCase) {
    let node = Node::start(&[case.script, TWO_THREE_END]);
    let answer = node.call("POST", case.path);
    assert!(
        answer.starts_with("HTTP/1.1 200"),
        "{}: {answer}",
        case.name
    );
    assert!(
        answer.ends_with("\r\n\r\n0\r\n\r\n"),
        "{}: {answer}",
        case.name
    );
    assert_eq!(node.arrived().len(), 1, "{}", case.name);
    node.stop();
}

// Guards against a stream under way that is given up although the last server did not run it.
#[test]
fn a_stream_under_way_goes_on_after_a_server_that_did_not_run_it() {
    let node = Node::start_before(3, &[ONE_TWO, NOT_RUN, TWO_THREE_END]);
    let answer = node.call("POST", "/stream/x");
    assert!(answer.contains("data: three"), "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(node.arrived().len(), 3);
    node.stop();
}

// Guards against requests that ask more servers than their route allows under overload.
#[test]
fn a_request_that_no_server_has_begun_is_sent_to_as_many_servers_as_its_route_allows() {
    let node = Node::start_before(3, &[NOT_RUN, NOT_RUN, ONE_TWO_END]);
    let answer = node.call("POST", "/stream/x");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(node.arrived().len(), 2);
    node.stop();
}

const ONE_THEN_STALL: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\nHOLD";

#[test]
fn a_stalled_stream_is_resumed_at_another_server() {
    let node = Node::start(&[ONE_THEN_STALL, TWO_THREE_END]);
    let answer = node.call("POST", "/stream/x");
    assert!(answer.contains("data: three"), "{answer}");
    let servers: Vec<String> = node
        .arrived()
        .iter()
        .map(|head| head["server"].clone())
        .collect();
    assert_eq!(servers.len(), 2, "each server gets exactly one attempt");
    assert_ne!(
        servers[0], servers[1],
        "the stalled server got the second attempt"
    );
    node.stop();
}

#[test]
fn a_refusal_of_a_request_that_has_not_run_has_a_retry_after_header() {
    let node = Node::start(&[NOT_RUN]);
    let answer = node.call("POST", "/once/x").to_lowercase();
    assert!(answer.contains("retry-after: "), "{answer}");
    node.stop();
}

#[test]
fn servers_get_the_time_left_until_the_deadline() {
    let node = Node::start(&[OK]);
    node.call("POST", "/once/x");
    let left: u64 = node.arrived()[0]["left"].parse().expect("a number");
    assert!((1..=4_000).contains(&left), "{left}");
    node.stop();
}

const GATED: Script = "GATEHTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\ndone";

#[test]
fn a_graceful_stop_completes_requests_in_flight_before_it_releases_the_leadership() {
    assert!(GATED.starts_with(GATE));
    let mut node = Node::start(&[GATED]);
    let address = node.address;
    let caller = thread::spawn(move || exchange(address, &request("r1", "POST", "/once/x")));
    node.servers.wait_arrived(1);
    node.begin_stop();
    // The node refuses new requests while this one is in flight.
    node.wait_refusing();
    assert!(
        !node.store.has_revoked(),
        "the leadership is released before the requests in flight have ended"
    );
    node.servers.release();
    let answer = caller.join().expect("the caller ends");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("done"), "{answer}");
    let store = node.store.clone();
    node.stop();
    assert!(store.has_revoked(), "the leadership is not released");
}

/// Time within which a server's connection must end after its caller has disconnected.
pub(crate) const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(500);

#[test]
fn the_connection_to_the_server_ends_when_the_caller_disconnects() {
    let node = Node::start(&[ONE_THEN_STALL]);
    let mut stream = TcpStream::connect(node.address).expect("the node listens");
    stream
        .write_all(request("r1", "POST", "/fragile/x").as_bytes())
        .expect("the node reads");
    let mut lines = BufReader::new(&stream).lines();
    let first = lines.find(|line| line.as_ref().is_ok_and(|line| line == "data: one"));
    assert!(first.is_some(), "the first event does not arrive");
    drop(lines);
    drop(stream);
    assert!(
        node.servers.ends_within(DISCONNECT_TIMEOUT),
        "the connection to the server stays open after the caller has disconnected"
    );
    node.stop();
}

const WITH_EXTRA: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\ndoneHTTP/1.1 200 OK\r\nid: r0\r\nsigned: 1\r\ncontent-length: 4\r\n\r\nfakeKEEP";
const NEXT_OK: Script =
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\nnextKEEP";

#[test]
fn an_unsolicited_answer_on_an_idle_connection_reaches_no_caller() {
    assert!(NEXT_OK.ends_with(KEEP));
    let node = Node::start(&[WITH_EXTRA, WITH_EXTRA, NEXT_OK, NEXT_OK, NEXT_OK, NEXT_OK]);
    for number in 1..=4 {
        let answer = node.call_as(&format!("r{number}"), "GET", "/safe/x");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(!answer.contains("fake"), "{answer}");
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    }
    node.stop();
}
