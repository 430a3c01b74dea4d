//! Tests of a node before servers that name a limit.

use rstest::rstest;

use super::support::{Node, Script};

const FREE: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 2\r\n\r\nokKEEP";
const LIMITED: Script =
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\nlimit: 0.5\r\ncontent-length: 2\r\n\r\nokKEEP";
const GENEROUS: Script =
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\nlimit: 1e9\r\ncontent-length: 2\r\n\r\nokKEEP";
const UNREADABLE: Script =
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\nlimit: few\r\ncontent-length: 2\r\n\r\nokKEEP";
const FAILED: Script =
    "HTTP/1.1 404 Gone\r\nid: ID\r\nlimit: 0.5\r\ncontent-length: 2\r\n\r\nnoKEEP";
const REJECTED: Script =
    "HTTP/1.1 503 Full\r\nid: ID\r\nnot-run: 1\r\nlimit: 0.5\r\ncontent-length: 0\r\n\r\nKEEP";

/// What servers answer, and the statuses that callers get one after the other.
#[derive(Debug)]
struct Case {
    name: &'static str,
    servers: usize,
    scripts: &'static [Script],
    statuses: &'static [&'static str],
}

const ONE: Case = Case {
    name: "",
    servers: 1,
    scripts: &[FREE; 5],
    statuses: &["200"; 5],
};

// Guards against a node that goes on sending to a server more than the limit that it names.
#[rstest]
#[case(Case { name: "no limit", ..ONE })]
#[case(Case { name: "a limit", scripts: &[LIMITED; 5], statuses: &["200", "200", "503", "503", "503"], ..ONE })]
#[case(Case { name: "a limit that is lifted", scripts: &[LIMITED, FREE, FREE, FREE, FREE], ..ONE })]
#[case(Case { name: "a limit on a failure", scripts: &[FAILED; 5], statuses: &["404", "404", "503"], ..ONE })]
#[case(Case { name: "a limit on a rejection counts that request", scripts: &[REJECTED; 5], statuses: &["503", "503", "503"], ..ONE })]
#[case(Case { name: "a huge limit", scripts: &[GENEROUS; 5], ..ONE })]
#[case(Case { name: "a limit that cannot be read", scripts: &[UNREADABLE; 5], ..ONE })]
#[case(Case { name: "a server without a limit beside it", servers: 2, scripts: &[LIMITED, FREE, FREE, FREE, FREE], ..ONE })]
fn server_gets_no_more_than_it_names(#[case] case: Case) {
    let node = Node::start_before(case.servers, case.scripts);
    for (number, status) in case.statuses.iter().enumerate() {
        let answer = node.call_as(&format!("r{number}"), "GET", "/safe/x");
        let has_status = answer.starts_with(&format!("HTTP/1.1 {status}"));
        assert!(has_status, "{}, request {number}: {answer}", case.name);
    }
    node.stop();
}

// Guards against a refusal that comes late, or that does not say when to come again.
#[test]
fn refusal_for_a_limit_names_the_reason_and_when_to_return() {
    let node = Node::start_before(1, &[LIMITED; 3]);
    for id in ["r1", "r2"] {
        node.call_as(id, "GET", "/safe/x");
    }
    let answer = node.call_as("r3", "GET", "/safe/x").to_lowercase();
    assert!(answer.contains("server-limit"), "{answer}");
    let retry_after = answer
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "))
        .and_then(|seconds| seconds.trim().parse::<f64>().ok());
    assert!(retry_after.is_some_and(|seconds| seconds > 0.0), "{answer}");
    assert_eq!(node.arrived().len(), 2);
    node.stop();
}
