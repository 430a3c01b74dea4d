//! Tests of answers that only the end of their connection ends.

use rstest::rstest;

use super::lines::Lines;
use super::support::{Node, Script, exchange, options, request};

const LINE: &str = "answer ended with its connection";

/// An answer and what is logged of its end.
#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    path: &'static str,
    script: Script,
    /// Number of events in the line; none if there is no line.
    events: Option<u64>,
}

// Guards against answers that end early and leave no trace of what marked their end.
#[rstest]
#[case(Case { name: "a stream", path: "/stream/x", events: Some(2), script: "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: a\n\n" })]
#[case(Case { name: "a whole answer", path: "/safe/x", events: Some(0), script: "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\n\r\nwhole" })]
#[case(Case { name: "a stream in chunks", path: "/stream/x", events: None, script: "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\nTransfer-Encoding: Chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n" })]
#[case(Case { name: "a whole answer with a length", path: "/safe/x", events: None, script: "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 5\r\n\r\nwhole" })]
#[case(Case { name: "an empty answer", path: "/safe/x", events: None, script: "HTTP/1.1 204 No Content\r\nid: ID\r\nsigned: 1\r\n\r\n" })]
fn ends_of_connections_that_end_answers_are_logged(#[case] case: Case) {
    let lines = Lines::default();
    let node = Node::start_with(2, &[case.script], options("node"), lines.logger());
    let answer = exchange(node.address, &request("r1", "POST", case.path));
    assert!(answer.starts_with("HTTP/1.1 20"), "{}: {answer}", case.name);
    node.stop();
    let logged = lines.with_message(LINE);
    let events: Vec<_> = logged.iter().map(|line| line.number("events")).collect();
    let expected: Vec<_> = case.events.map(Some).into_iter().collect();
    assert_eq!(events, expected, "{}", case.name);
    for line in &logged {
        assert_eq!(line.field("request"), "r1", "{}", case.name);
        assert_eq!(line.field("link"), "direct", "{}", case.name);
    }
}
