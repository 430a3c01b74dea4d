//! Tests of a node before servers that refuse requests and ask for a pause.

use std::time::{Duration, Instant};

use rstest::rstest;

use super::support::{Node, Script};

const FREE: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 2\r\n\r\nokKEEP";
const PAUSED: Script =
    "HTTP/1.1 503 Full\r\nid: ID\r\nnot-run: 1\r\npause-ms: 60000\r\ncontent-length: 0\r\n\r\nKEEP";
const BRIEFLY: Script =
    "HTTP/1.1 503 Full\r\nid: ID\r\nnot-run: 1\r\npause-ms: 1200\r\ncontent-length: 0\r\n\r\nKEEP";
const ABSURD: Script = "HTTP/1.1 503 Full\r\nid: ID\r\nnot-run: 1\r\npause-ms: 18446744073709551615\r\ncontent-length: 0\r\n\r\nKEEP";
const UNREADABLE: Script =
    "HTTP/1.1 503 Full\r\nid: ID\r\nnot-run: 1\r\npause-ms: soon\r\ncontent-length: 0\r\n\r\nKEEP";
const ENDED: Script =
    "HTTP/1.1 503 Full\r\nid: ID\r\nnot-run: 1\r\npause-ms: 0\r\ncontent-length: 0\r\n\r\nKEEP";
const UNNAMED: Script =
    "HTTP/1.1 503 Full\r\nnot-run: 1\r\npause-ms: 60000\r\ncontent-length: 0\r\n\r\nKEEP";
const FOREIGN: Script = "HTTP/1.1 503 Full\r\nid: other\r\nnot-run: 1\r\npause-ms: 60000\r\ncontent-length: 0\r\n\r\nKEEP";
const UNCLEAR: Script =
    "HTTP/1.1 503 Full\r\nid: ID\r\npause-ms: 60000\r\ncontent-length: 0\r\n\r\nKEEP";
const SILENT: Script = "HOLD";
const PART: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n10\r\nid: 1\ndata: a1\n\n\r\n";
const REST: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n10\r\nid: 2\ndata: a2\n\n\r\n0\r\n\r\nKEEP";

/// What servers answer one after the other, and what becomes of requests that are sent one after the
/// other.
#[derive(Debug)]
struct Case {
    name: &'static str,
    servers: usize,
    scripts: &'static [Script],
    path: &'static str,
    /// Statuses that callers get.
    statuses: &'static [&'static str],
    /// Number of requests that reach servers.
    arrivals: usize,
}

const ONE: Case = Case {
    name: "",
    servers: 1,
    scripts: &[],
    path: "/safe/x",
    statuses: &["503", "503", "503"],
    arrivals: 1,
};

// Guards against requests that are sent to a server in the time for which it has asked for none.
#[rstest]
#[case(Case { name: "first tries", scripts: &[PAUSED, FREE, FREE], ..ONE })]
#[case(Case { name: "first tries that run at most once", scripts: &[PAUSED, FREE, FREE], path: "/once/x", ..ONE })]
#[case(Case { name: "first tries of streams", scripts: &[PAUSED, FREE, FREE], path: "/stream/x", ..ONE })]
#[case(Case { name: "retries", servers: 2, scripts: &[PAUSED, PAUSED, FREE, FREE], arrivals: 2, ..ONE })]
#[case(Case { name: "a server beside it", servers: 2, scripts: &[PAUSED, FREE, FREE, FREE], statuses: &["200", "200", "200"], arrivals: 4, ..ONE })]
#[case(Case { name: "attempts beside a silent server", servers: 2, scripts: &[PAUSED, FREE, SILENT, FREE], path: "/brisk/x", statuses: &["200", "504"], arrivals: 3 })]
#[case(Case { name: "hours", scripts: &[ABSURD, FREE, FREE], ..ONE })]
#[case(Case { name: "a time that cannot be read", scripts: &[UNREADABLE, FREE, FREE], statuses: &["503", "200", "200"], arrivals: 3, ..ONE })]
#[case(Case { name: "no time at all", scripts: &[ENDED, FREE, FREE], statuses: &["503", "200", "200"], arrivals: 3, ..ONE })]
#[case(Case { name: "a refusal that names no request, on a new connection", scripts: &[UNNAMED, FREE, FREE], ..ONE })]
#[case(Case { name: "a refusal of another request", scripts: &[FOREIGN, FREE, FREE], statuses: &["502", "200", "200"], arrivals: 3, ..ONE })]
#[case(Case { name: "a refusal that does not say whether the request has run", scripts: &[UNCLEAR, FREE, FREE], statuses: &["502", "503"], ..ONE })]
fn server_that_asks_for_a_pause_gets_nothing(#[case] case: Case) {
    let node = Node::start_before(case.servers, case.scripts);
    for (number, status) in case.statuses.iter().enumerate() {
        let answer = node.call_as(&format!("r{number}"), "GET", case.path);
        let has_status = answer.starts_with(&format!("HTTP/1.1 {status}"));
        assert!(has_status, "{}, request {number}: {answer}", case.name);
    }
    assert_eq!(node.arrived().len(), case.arrivals, "{}", case.name);
    node.stop();
}

// Guards against a stream under way that goes on at a server in its pause, and against one that ends
// although a pause is over in time.
#[test]
fn stream_is_resumed_at_a_server_after_its_pause() {
    let node = Node::start_before(2, &[BRIEFLY, FREE, PART, REST]);
    let start = Instant::now();
    let answer = node.call_as("r1", "GET", "/safe/x");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let answer = node.call_as("r2", "POST", "/stream/x");
    assert!(answer.contains("a1") && answer.contains("a2"), "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
    assert!(start.elapsed() >= Duration::from_millis(1_200));
    assert_eq!(node.arrived().len(), 4);
    node.stop();
}

// Guards against a pause that outlives the server that has asked for it.
#[test]
fn server_that_has_started_again_has_no_pause() {
    let node = Node::start_before(1, &[PAUSED, FREE]);
    node.call_as("r1", "GET", "/safe/x");
    node.store.put("servers/s0", "start:2");
    let start = Instant::now();
    while !node
        .call_as("r2", "GET", "/safe/x")
        .starts_with("HTTP/1.1 200")
    {
        assert!(start.elapsed() < super::support::TIMEOUT);
    }
    node.stop();
}

// Guards against a refusal that comes late, costs retries, or asks the caller to return within the pause.
#[test]
fn refusal_in_a_pause_names_the_reason_and_when_to_return() {
    let node = Node::start_before(2, &[PAUSED, PAUSED]);
    for id in ["r1", "r2"] {
        let answer = node.call_as(id, "GET", "/safe/x").to_lowercase();
        assert!(answer.contains("server-pause"), "{answer}");
        let retry_after = answer
            .lines()
            .find_map(|line| line.strip_prefix("retry-after: "))
            .and_then(|seconds| seconds.trim().parse::<f64>().ok());
        assert!(
            retry_after.is_some_and(|seconds| seconds > 50.0),
            "{answer}"
        );
    }
    assert_eq!(node.arrived().len(), 2);
    node.stop();
}
