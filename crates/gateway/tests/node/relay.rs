//! What callers and servers see when servers answer, refuse, break off or spoil answers.

use rstest::rstest;
use std::io::{BufRead, BufReader, Write as _};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use super::support::{GATE, KEEP, Node, Script, exchange, request};

const OK: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\ndone";
const FAILED: Script = "HTTP/1.1 500 Failed\r\nid: ID\r\nsigned: 1\r\ncontent-length: 3\r\n\r\nbad";
const NOT_RUN: Script = "HTTP/1.1 503 Full\r\nid: ID\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const NO_PROMISE: Script = "HTTP/1.1 503 Full\r\nid: ID\r\ncontent-length: 0\r\n\r\n";
const UNSIGNED: Script = "HTTP/1.1 200 OK\r\nid: ID\r\ncontent-length: 4\r\n\r\ndone";
const FOREIGN: Script =
    "HTTP/1.1 200 OK\r\nid: other\r\nsigned: 1\r\ncontent-length: 4\r\n\r\nfake";
const TRUNCATED: Script =
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 40\r\n\r\ndone";
const ENCODED: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-encoding: gzip\r\ncontent-length: 4\r\n\r\ndone";
const NOTHING: Script = "";

#[derive(Debug)]
struct Whole {
    what: &'static str,
    method: &'static str,
    path: &'static str,
    scripts: &'static [Script],
    status: &'static str,
    body: &'static str,
    arrivals: usize,
}

#[rstest]
#[case(Whole { what: "an answer", method: "POST", path: "/once/x", scripts: &[OK], status: "200", body: "done", arrivals: 1 })]
#[case(Whole { what: "a failure is the server's", method: "POST", path: "/once/x", scripts: &[FAILED], status: "500", body: "bad", arrivals: 1 })]
#[case(Whole { what: "no answer to a request that runs once", method: "POST", path: "/once/x", scripts: &[NOTHING], status: "502", body: "", arrivals: 1 })]
#[case(Whole { what: "a promise that it has not run", method: "POST", path: "/once/x", scripts: &[NOT_RUN], status: "503", body: "", arrivals: 1 })]
#[case(Whole { what: "a status that promises without a statement", method: "POST", path: "/once/x", scripts: &[NO_PROMISE], status: "502", body: "", arrivals: 1 })]
#[case(Whole { what: "a success without a signature", method: "POST", path: "/once/x", scripts: &[UNSIGNED], status: "502", body: "", arrivals: 1 })]
#[case(Whole { what: "an answer to another request", method: "POST", path: "/once/x", scripts: &[FOREIGN], status: "502", body: "", arrivals: 1 })]
#[case(Whole { what: "an answer that ends early", method: "POST", path: "/once/x", scripts: &[TRUNCATED], status: "502", body: "", arrivals: 1 })]
#[case(Whole { what: "an answer that is encoded", method: "POST", path: "/once/x", scripts: &[ENCODED], status: "502", body: "", arrivals: 1 })]
#[case(Whole { what: "an idempotent request after a failure", method: "GET", path: "/safe/x", scripts: &[FAILED, OK], status: "200", body: "done", arrivals: 2 })]
#[case(Whole { what: "an idempotent request after no answer", method: "GET", path: "/safe/x", scripts: &[NOTHING, OK], status: "200", body: "done", arrivals: 2 })]
#[case(Whole { what: "an idempotent request after a foreign answer", method: "GET", path: "/safe/x", scripts: &[FOREIGN, OK], status: "200", body: "done", arrivals: 2 })]
#[case(Whole { what: "two failures: the server's own is delivered", method: "GET", path: "/safe/x", scripts: &[FAILED, FAILED], status: "500", body: "bad", arrivals: 2 })]
#[case(Whole { what: "a failure, then nothing: the failure is delivered", method: "GET", path: "/safe/x", scripts: &[FAILED, NOTHING], status: "500", body: "bad", arrivals: 2 })]
#[case(Whole { what: "no route", method: "GET", path: "/none/x", scripts: &[], status: "404", body: "", arrivals: 0 })]
fn callers_get_a_whole_answer_or_the_truth(#[case] case: Whole) {
    let node = Node::start(case.scripts);
    let answer = node.call(case.method, case.path);
    let status = format!("HTTP/1.1 {}", case.status);
    assert!(answer.starts_with(&status), "{}: {answer}", case.what);
    assert!(answer.ends_with(case.body), "{}: {answer}", case.what);
    assert_eq!(node.arrived().len(), case.arrivals, "{}", case.what);
    node.stop();
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const ONE_TWO: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n11\r\nid: 2\ndata: two\n\n\r\n";
const ONE_TWO_END: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n";
const TWO_THREE_END: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 2\ndata: two\n\n\r\n13\r\nid: 3\ndata: three\n\n\r\n0\r\n\r\n";
const FOUR_END: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n12\r\nid: 4\ndata: four\n\n\r\n0\r\n\r\n";
const WITHIN_EVENT: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n6\r\nid: 2\n\r\n0\r\n\r\n";

#[derive(Debug)]
struct Stream {
    what: &'static str,
    path: &'static str,
    scripts: &'static [Script],
    events: &'static [&'static str],
    is_complete: bool,
    last: Option<&'static str>,
}

#[rstest]
#[case(Stream { what: "a whole stream", path: "/stream/x", scripts: &[ONE_TWO_END], events: &["one", "two"], is_complete: true, last: None })]
#[case(Stream { what: "a stream that goes on elsewhere without a repeat", path: "/stream/x", scripts: &[ONE_TWO, TWO_THREE_END], events: &["one", "two", "three"], is_complete: true, last: Some("2") })]
#[case(Stream { what: "a stream that ends within an event goes on", path: "/stream/x", scripts: &[WITHIN_EVENT, TWO_THREE_END], events: &["one", "two", "three"], is_complete: true, last: Some("1") })]
#[case(Stream { what: "a gap is never delivered", path: "/stream/x", scripts: &[ONE_TWO, FOUR_END], events: &["one", "two"], is_complete: false, last: Some("2") })]
#[case(Stream { what: "a stream that may not go on breaks off", path: "/fragile/x", scripts: &[ONE_TWO, TWO_THREE_END], events: &["one", "two"], is_complete: false, last: None })]
fn streams_have_no_gap_and_no_repeat(#[case] case: Stream) {
    assert!(ONE_TWO.starts_with(HEAD), "the scripts share one head");
    let node = Node::start(case.scripts);
    let answer = node.call("POST", case.path);
    let events: Vec<&str> = answer
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    assert_eq!(events, case.events, "{}: {answer}", case.what);
    let is_complete = answer.ends_with("0\r\n\r\n");
    assert_eq!(is_complete, case.is_complete, "{}: {answer}", case.what);
    // Bytes of the node's own within a stream would be no answer in the protocol.
    assert_eq!(
        answer.matches("HTTP/1.1").count(),
        1,
        "{}: {answer}",
        case.what
    );
    let last = node
        .arrived()
        .last()
        .and_then(|head| head.get("last").cloned());
    assert_eq!(last.as_deref(), case.last, "{}", case.what);
    node.stop();
}

const ONE_THEN_SILENT: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\nHOLD";

#[test]
fn a_stream_that_stands_still_goes_on_at_another_server() {
    let node = Node::start(&[ONE_THEN_SILENT, TWO_THREE_END]);
    let answer = node.call("POST", "/stream/x");
    assert!(answer.contains("data: three"), "{answer}");
    let servers: Vec<String> = node
        .arrived()
        .iter()
        .map(|head| head["server"].clone())
        .collect();
    assert_eq!(
        servers.len(),
        2,
        "one attempt each, and none at the silent server again"
    );
    assert_ne!(servers[0], servers[1], "the silent server was asked again");
    node.stop();
}

#[test]
fn a_refusal_tells_when_to_come_back() {
    let node = Node::start(&[NOT_RUN]);
    let answer = node.call("POST", "/once/x").to_lowercase();
    assert!(answer.contains("retry-after: "), "{answer}");
    node.stop();
}

#[test]
fn servers_are_told_the_time_that_is_left() {
    let node = Node::start(&[OK]);
    node.call("POST", "/once/x");
    let left: u64 = node.arrived()[0]["left"].parse().expect("a number");
    assert!((1..=4_000).contains(&left), "{left}");
    node.stop();
}

const GATED: Script = "GATEHTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\ndone";

#[test]
fn a_planned_stop_cuts_off_nothing() {
    assert!(GATED.starts_with(GATE));
    let mut node = Node::start(&[GATED]);
    let address = node.address;
    let caller = thread::spawn(move || exchange(address, &request("r1", "POST", "/once/x")));
    node.servers.wait_arrived(1);
    node.begin_stop();
    // The request is in flight when the node begins to refuse others.
    node.wait_refusing();
    assert!(
        !node.store.has_revoked(),
        "the zone has no leader while its last node stops"
    );
    node.servers.release();
    let answer = caller.join().expect("the caller ends");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("done"), "{answer}");
    let store = node.store.clone();
    node.stop();
    assert!(store.has_revoked(), "the leadership is not handed over");
}

/// Time after which a server may still work for a caller that has left.
const LEFT: Duration = Duration::from_millis(500);

#[test]
fn a_server_is_told_that_the_caller_has_left() {
    let node = Node::start(&[ONE_THEN_SILENT]);
    let mut stream = TcpStream::connect(node.address).expect("the node listens");
    stream
        .write_all(request("r1", "POST", "/fragile/x").as_bytes())
        .expect("the node reads");
    let mut lines = BufReader::new(&stream).lines();
    let first = lines.find(|line| line.as_ref().is_ok_and(|line| line == "data: one"));
    assert!(first.is_some(), "the first event does not come");
    drop(lines);
    drop(stream);
    assert!(
        node.servers.ends_within(LEFT),
        "the server still works for a caller that has left"
    );
    node.stop();
}

const WITH_EXTRA: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\ndoneHTTP/1.1 200 OK\r\nid: r0\r\nsigned: 1\r\ncontent-length: 4\r\n\r\nfakeKEEP";
const KEPT: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\nnextKEEP";

#[test]
fn an_extra_answer_on_a_kept_connection_reaches_nobody() {
    assert!(KEPT.ends_with(KEEP));
    let node = Node::start(&[WITH_EXTRA, WITH_EXTRA, KEPT, KEPT, KEPT, KEPT]);
    for number in 1..=4 {
        let answer = node.call_as(&format!("r{number}"), "GET", "/safe/x");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(!answer.contains("fake"), "{answer}");
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    }
    node.stop();
}
