//! Tests of servers that send an earlier refusal where the answer to a later request is due.

use std::thread;

use rstest::rstest;

use super::support::{Node, Script, TIMEOUT, exchange, request};

const OK: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\ndoneKEEP";
const STREAM: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\nKEEP";
/// Refusals that name the request, another one, and none.
const OWN: Script = "HTTP/1.1 503 Full\r\nid: ID\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\nKEEP";
const OTHER: Script = "HTTP/1.1 503 Full\r\nid: r9\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\nKEEP";
const NAMELESS: Script = "HTTP/1.1 503 Full\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\nKEEP";
const EMPTY_NAME: Script =
    "HTTP/1.1 503 Full\r\nid: \r\nnot-run: 1\r\ncontent-length: 0\r\n\r\nKEEP";
const MISDIRECTED: Script =
    "HTTP/1.1 421 Elsewhere\r\ninstance: s9\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\nKEEP";
const LIMITED: Script =
    "HTTP/1.1 503 Full\r\nnot-run: 1\r\nlimit: 0.001\r\ncontent-length: 0\r\n\r\nKEEP";
const LIMITED_OTHER: Script =
    "HTTP/1.1 503 Full\r\nid: r9\r\nnot-run: 1\r\nlimit: 0.001\r\ncontent-length: 0\r\n\r\nKEEP";
/// Refusals with the request's own answer behind them.
const NAMELESS_BEFORE_OWN: Script = "HTTP/1.1 503 Full\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\nHTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\ndoneKEEP";
/// Answers with a refusal behind them, once it is released.
const REFUSED_LATER: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\ndoneGATEHTTP/1.1 503 Full\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\nKEEP";
const REFUSED_AT_REST: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\ndoneGATEHTTP/1.1 503 Full\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\nHOLD";
const REFUSED_MIDWAY: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ntransfer-encoding: chunked\r\n\r\n2\r\ndo\r\nHTTP/1.1 503 Full\r\nid: ID\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\nKEEP";
const REFUSED_TWICE: Script = "HTTP/1.1 503 Full\r\nid: ID\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\nHTTP/1.1 503 Full\r\nid: ID\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\nKEEP";

/// Kind of the connection that a request is sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    /// No request was sent on it before.
    New,
    /// It has carried another request.
    Kept,
}

/// What the only server sends for a request, and what the caller gets.
#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    /// Whether the server has a kept connection.
    is_kept: bool,
    script: Script,
    link: Link,
    status: &'static str,
}

/// A request that may be repeated, on a kept connection.
const SAFE: Case = Case {
    name: "",
    method: "GET",
    path: "/safe/x",
    is_kept: true,
    script: OK,
    link: Link::Kept,
    status: "502",
};
const RESUMABLE: Case = Case {
    method: "POST",
    path: "/stream/x",
    ..SAFE
};
/// A request that runs at most once, beside a kept connection.
const ONCE: Case = Case {
    method: "POST",
    path: "/once/x",
    link: Link::New,
    status: "503",
    ..SAFE
};
const FRAGILE: Case = Case {
    path: "/fragile/x",
    ..ONCE
};
/// A request that may be repeated, on the first connection.
const FIRST: Case = Case {
    is_kept: false,
    link: Link::New,
    status: "503",
    ..SAFE
};

// Guards against callers that are told that their request has not run because a server sent another
// one's refusal once more, and against refusals that no longer count.
#[rstest]
#[case::kept_own(Case { name: "its own refusal", script: OWN, status: "503", ..SAFE })]
#[case::kept_other(Case { name: "another one's refusal", script: OTHER, ..SAFE })]
#[case::kept_nameless(Case { name: "a refusal without a name", script: NAMELESS, ..SAFE })]
#[case::kept_empty(Case { name: "a refusal with an empty name", script: EMPTY_NAME, ..SAFE })]
#[case::kept_misdirected(Case { name: "a refusal of another instance", script: MISDIRECTED, ..SAFE })]
#[case::kept_before_own(Case { name: "a refusal before its own answer", script: NAMELESS_BEFORE_OWN, ..SAFE })]
#[case::kept_twice(Case { name: "its own refusal twice", script: REFUSED_TWICE, status: "503", ..SAFE })]
#[case::kept_midway(Case { name: "its own refusal after a part of the answer", script: REFUSED_MIDWAY, ..SAFE })]
#[case::stream_own(Case { name: "a stream's own refusal", script: OWN, status: "503", ..RESUMABLE })]
#[case::stream_other(Case { name: "another one's refusal for a stream", script: OTHER, ..RESUMABLE })]
#[case::stream_nameless(Case { name: "a refusal without a name for a stream", script: NAMELESS, ..RESUMABLE })]
#[case::first_own(Case { name: "its own refusal on a new connection", script: OWN, ..FIRST })]
#[case::first_nameless(Case { name: "a refusal without a name on a new connection", script: NAMELESS, ..FIRST })]
#[case::first_misdirected(Case { name: "a refusal of another instance on a new connection", script: MISDIRECTED, ..FIRST })]
#[case::first_other(Case { name: "another one's refusal on a new connection", script: OTHER, status: "502", ..FIRST })]
#[case::once_ok(Case { name: "an answer to a request that runs at most once", status: "200", ..ONCE })]
#[case::once_own(Case { name: "its own refusal of a request that runs at most once", script: OWN, ..ONCE })]
#[case::once_nameless(Case { name: "a refusal without a name of a request that runs at most once", script: NAMELESS, ..ONCE })]
#[case::once_other(Case { name: "another one's refusal for a request that runs at most once", script: OTHER, status: "502", ..ONCE })]
#[case::once_midway(Case { name: "its own refusal after a part of the answer to a request that runs at most once", script: REFUSED_MIDWAY, status: "502", ..ONCE })]
#[case::fragile_ok(Case { name: "a stream that may not be resumed", script: STREAM, status: "200", ..FRAGILE })]
#[case::fragile_nameless(Case { name: "a refusal without a name of a stream that may not be resumed", script: NAMELESS, ..FRAGILE })]
#[case::fragile_other(Case { name: "another one's refusal for a stream that may not be resumed", script: OTHER, status: "502", ..FRAGILE })]
fn not_run_is_said_only_after_a_refusal_of_the_same_request(#[case] case: Case) {
    let node = Node::start_before(1, &[]);
    if case.is_kept {
        node.servers.set_scripts(&[OK]);
        assert_status(&node.call_as("r0", "GET", "/safe/x"), "200", case.name);
    }
    node.servers.set_scripts(&[case.script]);
    let answer = node.call_as("r1", case.method, case.path);
    assert_status(&answer, case.status, case.name);
    let arrived = node.arrived();
    let own = arrived.iter().filter(|head| head["id"] == "r1").count();
    assert_eq!(own, 1, "{}", case.name);
    let is_kept = arrived.len() > 1 && arrived[0]["socket"] == arrived[1]["socket"];
    let link = if is_kept { Link::Kept } else { Link::New };
    assert_eq!(link, case.link, "{}", case.name);
    node.stop();
}

fn assert_status(answer: &str, status: &str, name: &str) {
    let has_status = answer.starts_with(&format!("HTTP/1.1 {status}"));
    assert!(has_status, "{name}: {answer}");
}

/// Requests until each of two servers has one, at most.
const MAX_WARMING: usize = 200;

/// Starts a node that has a kept connection to each of two servers.
fn start_warm() -> Node {
    let node = Node::start_before(2, &[OK; MAX_WARMING]);
    for number in 0..MAX_WARMING {
        node.call_as(&format!("w{number}"), "GET", "/safe/x");
        let arrived = node.arrived();
        if arrived
            .iter()
            .any(|head| head["server"] != arrived[0]["server"])
        {
            return node;
        }
    }
    panic!("a server gets no request");
}

/// Refusal that is not the request's own, and what follows it for a request that may be repeated.
#[derive(Clone, Copy, Debug)]
struct RetryCase {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    scripts: &'static [Script],
}

// Guards against a request that may be repeated and is not, and against a server that gets no further
// requests for a while because it seems to be full.
#[rstest]
#[case(RetryCase { name: "without a name", method: "GET", path: "/safe/x", scripts: &[NAMELESS, OK] })]
#[case(RetryCase { name: "of another one", method: "GET", path: "/safe/x", scripts: &[OTHER, OK] })]
#[case(RetryCase { name: "of another instance", method: "GET", path: "/safe/x", scripts: &[MISDIRECTED, OK] })]
#[case(RetryCase { name: "without a name for a stream", method: "POST", path: "/stream/x", scripts: &[NAMELESS, STREAM] })]
#[case(RetryCase { name: "of another one for a stream", method: "POST", path: "/stream/x", scripts: &[OTHER, STREAM] })]
fn repeatable_request_is_retried_and_the_server_is_not_avoided(#[case] case: RetryCase) {
    let node = start_warm();
    let before = node.arrived().len();
    node.servers.set_scripts(case.scripts);
    let answer = node.call_as("r1", case.method, case.path);
    assert_status(&answer, "200", case.name);
    let arrived = node.arrived();
    let servers: Vec<&String> = arrived[before..]
        .iter()
        .map(|head| &head["server"])
        .collect();
    assert_eq!(servers.len(), 2, "{}", case.name);
    assert_ne!(servers[0], servers[1], "{}", case.name);
    node.servers.set_scripts(&[OK; MAX_WARMING]);
    // Each server is as likely as the other to get one, unless one is avoided.
    for number in 0..MAX_WARMING / 4 {
        node.call_as(&format!("n{number}"), "GET", "/safe/x");
    }
    let is_used = node.arrived()[before + 2..]
        .iter()
        .any(|head| head["server"] == *servers[0]);
    assert!(is_used, "{}: the server is avoided", case.name);
    node.stop();
}

// Guards against a request that runs at a second server after another one's refusal, although it may run
// at most once.
#[rstest]
#[case("a stream that may not be resumed", "/fragile/x")]
#[case("a request that runs at most once", "/once/x")]
fn request_that_runs_at_most_once_reaches_no_second_server(#[case] name: &str, #[case] path: &str) {
    let node = start_warm();
    let before = node.arrived().len();
    node.servers.set_scripts(&[OTHER, STREAM]);
    assert_status(&node.call_as("r1", "POST", path), "502", name);
    assert_eq!(node.arrived().len(), before + 1, "{name}");
    node.stop();
}

// Guards against limits that a server named to another request, or before.
#[rstest]
#[case("without a name", LIMITED)]
#[case("of another one", LIMITED_OTHER)]
fn limit_in_a_refusal_that_is_not_its_own_does_not_count(
    #[case] name: &str,
    #[case] script: Script,
) {
    let node = Node::start_before(1, &[OK, script, OK, OK, OK]);
    assert_status(&node.call_as("r0", "GET", "/safe/x"), "200", name);
    assert_status(&node.call_as("r1", "GET", "/safe/x"), "502", name);
    for id in ["r2", "r3", "r4"] {
        assert_status(&node.call_as(id, "GET", "/safe/x"), "200", name);
    }
    node.stop();
}

// Guards against a refusal on an idle connection, read while the node's event loop stands still, that
// counts for a request which is sent after it.
#[test]
fn refusal_that_came_before_a_request_does_not_count_for_it() {
    let node = Node::start_before(1, &[REFUSED_LATER, OK]);
    assert_status(&node.call_as("r0", "GET", "/safe/x"), "200", "first");
    let sent = request("r1", "GET", "/safe/x").replace("id: r1", "id: r1\r\nstall: 1");
    let address = node.address;
    let caller = thread::spawn(move || exchange(address, &sent));
    node.stall.wait_stalled();
    node.servers.release();
    node.servers.wait_written(1);
    node.stall.resume();
    let answer = caller.join().expect("the caller ends");
    let has_run = node.arrived().iter().any(|head| head["id"] == "r1");
    let is_refused = answer.starts_with("HTTP/1.1 503");
    assert!(!has_run || !is_refused, "{answer}");
    assert!(!answer.is_empty(), "the caller gets no answer");
    node.stop();
}

// Guards against a late refusal on an idle connection that reaches a later request: the connection is
// given up.
#[test]
fn connection_with_a_late_refusal_is_not_used_again() {
    let node = Node::start_before(1, &[REFUSED_AT_REST, OK]);
    assert_status(&node.call_as("r0", "GET", "/safe/x"), "200", "first");
    node.servers.release();
    let is_closed = node.servers.ends_within(TIMEOUT);
    assert!(is_closed, "the connection stays open");
    assert_status(&node.call_as("r1", "GET", "/safe/x"), "200", "second");
    let arrived = node.arrived();
    assert_ne!(arrived[0]["socket"], arrived[1]["socket"]);
    node.stop();
}
