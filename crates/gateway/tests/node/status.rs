//! Tests of answers whose status HTTP does not have.

use std::io::Write as _;
use std::thread;

use rstest::rstest;

use super::remote::Remote;
use super::support::{Node, Script, exchange, read_message, request};

const OK: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\ndone";
const STREAM: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n";
const BEGUN: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n";
const REST: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n";
const UNFRAMED: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\n\r\ndone";

/// Rest of an answer with such a status.
const WHOLE: &str = "id: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\nfake";
const UNENDED: &str = "id: ID\r\nsigned: 1\r\n\r\nfake";
const EVENTS: &str = "id: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n12\r\nid: 1\ndata: fake\n\n\r\n0\r\n\r\n";
const NEXT: &str = "id: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n12\r\nid: 2\ndata: fake\n\n\r\n0\r\n\r\n";
const NOT_RUN: &str = "id: ID\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const UNNAMED_NOT_RUN: &str = "not-run: 1\r\ncontent-length: 0\r\n\r\n";

/// Returns an answer with a status.
fn answer(status: &str, rest: &str) -> Script {
    format!("HTTP/1.1 {status} Odd\r\n{rest}").leak()
}

/// What servers answer one after the other, and what the caller gets.
#[derive(Debug)]
struct Case {
    name: &'static str,
    path: &'static str,
    /// Answer before the one with the status.
    first: &'static [Script],
    /// Rest of the answer with the status.
    rest: &'static str,
    /// Answer after it; a further one with the status if there is none.
    last: Option<Script>,
    status: &'static str,
    /// Last bytes that the caller gets; none if the answer must not look complete.
    end: Option<&'static str>,
    attempts: usize,
}

const ONCE: Case = Case {
    name: "once",
    path: "/once/x",
    first: &[],
    rest: WHOLE,
    last: Some(OK),
    status: "502",
    end: Some(""),
    attempts: 1,
};
const SAFE: Case = Case {
    name: "safe",
    path: "/safe/x",
    status: "200",
    end: Some("done"),
    attempts: 2,
    ..ONCE
};
const STREAMED: Case = Case {
    name: "a stream",
    path: "/stream/x",
    rest: EVENTS,
    last: Some(STREAM),
    end: Some("data: one\n\n\r\n0\r\n\r\n"),
    ..SAFE
};

// Guards against an answer with a status that HTTP does not have, which a server in trouble sends, that
// reaches the caller or is believed.
#[rstest]
#[case(ONCE)]
#[case(Case { name: "once, without a length", rest: UNENDED, ..ONCE })]
#[case(Case { name: "once, as not run", rest: NOT_RUN, ..ONCE })]
#[case(Case { name: "once, as not run, without a name", rest: UNNAMED_NOT_RUN, ..ONCE })]
#[case(SAFE)]
#[case(Case { name: "safe, without a length", rest: UNENDED, ..SAFE })]
#[case(Case { name: "safe, at all servers", last: None, status: "502", end: Some(""), ..SAFE })]
#[case(STREAMED)]
#[case(Case { name: "a stream that is none", rest: WHOLE, ..STREAMED })]
#[case(Case { name: "a stream, at all servers", last: None, status: "502", end: Some(""), ..STREAMED })]
#[case(Case { name: "a stream that is not resumed", path: "/fragile/x", status: "502", end: Some(""), attempts: 1, ..STREAMED })]
#[case(Case { name: "a resumed stream", first: &[BEGUN], rest: NEXT, last: Some(REST), end: None, ..STREAMED })]
#[case(Case { name: "a resumed stream that is none", first: &[BEGUN], rest: WHOLE, last: Some(REST), end: None, ..STREAMED })]
fn answer_with_an_odd_status_is_none(
    #[case] case: Case,
    #[values("000", "099", "600", "999", "1000", "abc")] status: &str,
) {
    let odd = answer(status, case.rest);
    let mut scripts = case.first.to_vec();
    scripts.extend([odd, case.last.unwrap_or(odd)]);
    let node = Node::start(&scripts);
    let received = node.call("POST", case.path);
    let (name, expected) = (case.name, format!("HTTP/1.1 {} ", case.status));
    assert!(received.starts_with(&expected), "{name}: {received}");
    assert!(!received.contains("fake"), "{name}: {received}");
    match case.end {
        Some(end) => assert!(received.ends_with(end), "{name}: {received}"),
        None => assert!(!received.ends_with("0\r\n\r\n"), "{name}: {received}"),
    }
    assert_eq!(node.arrived().len(), case.attempts, "{name}");
    node.stop();
}

// Guards against such an answer that comes through another node.
#[rstest]
fn relayed_answer_with_an_odd_status_is_none(
    #[values("000", "600", "999", "1000", "abc")] status: &str,
) {
    let remote = Remote::start();
    let address = remote.process.callers;
    let caller = thread::spawn(move || exchange(address, &request("r1", "POST", "/once/x")));
    // A node of an older build knows no server by the name with the suffix, and passes bytes on as they are.
    let (mut refused, _) = remote.accept(&caller);
    refused.get_mut().write_all(b"N").expect("the node reads");
    let (mut connection, _) = remote.accept(&caller);
    connection
        .get_mut()
        .write_all(b"C")
        .expect("the node reads");
    read_message(&mut connection).expect("the node sends the request");
    let odd = answer(status, WHOLE).replace("ID", "r1");
    let sent = connection.get_mut().write_all(odd.as_bytes());
    sent.expect("the node reads");
    let received = caller.join().expect("the node answers");
    assert!(received.starts_with("HTTP/1.1 502 "), "{received}");
    assert!(!received.contains("fake"), "{received}");
    remote.process.stop();
}

// Guards against the end of an answer without a length that is believed because its server, when it is asked
// whether it runs, gives an answer with such a status.
#[rstest]
#[case("400 Bad Request", "200")]
#[case("000 Odd", "502")]
#[case("600 Odd", "502")]
#[case("999 Odd", "502")]
#[case("1000 Odd", "502")]
fn odd_status_does_not_show_that_a_server_runs(#[case] probe: &str, #[case] status: &str) {
    let node = Node::start(&[UNFRAMED]);
    node.servers.answer_probes_with(probe);
    let received = node.call("POST", "/once/x");
    assert!(
        received.starts_with(&format!("HTTP/1.1 {status} ")),
        "{probe}: {received}"
    );
    node.stop();
}
