//! Requests that are refused before any backend server sees them.

mod support;

use std::io::Write as _;
use std::net::TcpStream;

use jackdaw_core::units::{Bytes, Millis};
use jackdaw_entry::shared::Options;
use rstest::rstest;
use support::backend::{Backend, PATIENCE};
use support::caller::{Ask, Reply};
use support::node::{Node, options, snapshot};

/// A request that the node must refuse as not run.
struct Case {
    ask: Ask,
    status: u16,
    reason: &'static str,
    step: &'static str,
    retry: bool,
}

fn case(ask: Ask, status: u16, reason: &'static str, step: &'static str) -> Case {
    Case {
        ask,
        status,
        reason,
        step,
        retry: false,
    }
}

fn with_body(body: &str) -> Ask {
    Ask {
        body: body.to_owned(),
        ..Ask::whole()
    }
}

fn bare() -> Ask {
    Ask {
        headers: Vec::new(),
        ..Ask::whole()
    }
}

fn many_headers() -> Ask {
    (0..70).fold(Ask::whole(), |ask, _| ask.with("x-more", "1"))
}

fn small() -> Options {
    Options {
        max_request_body: Bytes(1_000),
        ..options()
    }
}

#[rstest]
#[case::no_token(case(bare(), 401, "unauthenticated", "received"))]
#[case::unknown_token(case(bare().with("authorization", "Bearer other"), 401, "unauthenticated", "received"))]
#[case::other_scheme(case(bare().with("authorization", "Basic secret"), 401, "unauthenticated", "received"))]
#[case::forbidden(case(with_body(r#"{"model":"secret"}"#), 403, "forbidden", "authenticated"))]
#[case::forbidden_service(case(
    Ask::service("GET", "/services/bank/x"),
    403,
    "forbidden",
    "authenticated"
))]
#[case::no_path(case(Ask::service("GET", "/other"), 404, "not-found", "received"))]
#[case::no_json(case(with_body("tiles"), 400, "malformed", "authenticated"))]
#[case::no_model(case(with_body("{}"), 400, "malformed", "authenticated"))]
#[case::deadline(case(Ask::whole().with("jackdawstair-deadline-ms", "soon"), 400, "malformed", "authenticated"))]
#[case::no_key(case(
    Ask::service("POST", "/services/stock/orders"),
    400,
    "idempotency-key-missing",
    "authenticated"
))]
#[case::body_too_large(case(with_body(&"x".repeat(2_000)), 413, "too-large", "received"))]
#[case::head_too_large(case(Ask::whole().with("x-long", &"x".repeat(40_000)), 413, "too-large", "received"))]
#[case::many_headers(case(many_headers(), 413, "too-large", "received"))]
#[case::no_http(case(Ask { method: "P(ST", ..Ask::whole() }, 400, "malformed", "received"))]
#[case::deadline_passed(Case {
    retry: true,
    ..case(Ask::whole().with("jackdawstair-deadline-ms", "0"), 504, "deadline", "authenticated")
})]
fn a_refused_request_did_not_run(#[case] case: Case) {
    let backend = Backend::start(1, &[]);
    let node = Node::start(small(), &backend.addresses);
    let reply = case.ask.send(node.address());
    assert_eq!(reply.status, case.status, "{reply:?}");
    assert_eq!(reply.problem("reason"), case.reason);
    assert_eq!(reply.problem("step"), case.step);
    assert_eq!(reply.outcome(), "not-run");
    assert_eq!(
        reply.header("content-type"),
        Some("application/problem+json")
    );
    assert_eq!(
        reply.header("jackdawstair-request-id").map(str::to_owned),
        Some(reply.problem("request_id"))
    );
    assert_eq!(reply.header("retry-after").is_some(), case.retry);
    assert!(backend.requests().is_empty());
}

#[rstest]
#[case::stopping(true, true)]
#[case::not_ready(false, false)]
fn a_node_that_is_not_ready_refuses(#[case] stopping: bool, #[case] ready: bool) {
    let backend = Backend::start(1, &[]);
    let mut snapshot = snapshot(&backend.addresses);
    snapshot.stopping = stopping;
    snapshot.ready = ready;
    let node = Node::with(options(), snapshot);
    let reply = Ask::whole().send(node.address());
    assert_eq!(reply.status, 503);
    assert_eq!(reply.problem("reason"), "not-ready");
    assert_eq!(reply.outcome(), "not-run");
    assert!(reply.header("retry-after").is_some());
}

#[rstest]
#[case::in_the_head("POST /v1/completions HTTP/1.1\r\nhost: n")]
#[case::in_the_body(
    "POST /v1/completions HTTP/1.1\r\nhost: n\r\nauthorization: Bearer secret\r\ncontent-length: 9\r\n\r\n{"
)]
fn a_caller_that_stops_halfway_is_told_so(#[case] text: &str) {
    let options = Options {
        head_timeout: Millis(1_000),
        body_timeout: Millis(100),
        ..options()
    };
    let node = Node::start(options, &[]);
    let mut stream = TcpStream::connect(node.address()).expect("connect");
    stream.set_read_timeout(Some(PATIENCE)).expect("timeout");
    stream.write_all(text.as_bytes()).expect("write");
    let reply = Reply::read(&stream);
    assert_eq!(reply.problem("reason"), "deadline", "{reply:?}");
    assert_eq!(reply.outcome(), "not-run");
}

#[test]
fn models_are_listed_as_far_as_the_team_may_use_them() {
    let node = Node::start(options(), &[]);
    let ask = Ask {
        method: "GET",
        path: "/v1/models",
        body: String::new(),
        ..Ask::whole()
    };
    let reply = ask.send(node.address());
    assert_eq!(reply.outcome(), "completed");
    let data = reply.json()["data"].clone();
    let names: Vec<&str> = data
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|model| model["id"].as_str())
        .collect();
    assert_eq!(names, ["tiles"]);
}
