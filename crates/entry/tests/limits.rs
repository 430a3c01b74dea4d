//! Tests of requests that the node refuses before it contacts a backend server.

mod support;

use std::io::Write as _;
use std::net::TcpStream;

use jackdaw_core::units::{Bytes, Millis};
use jackdaw_entry::shared::Options;
use rstest::rstest;
use support::backend::{Backend, EVENT_TIMEOUT};
use support::caller::{Reply, Request};
use support::node::{Node, options, snapshot};

/// A request and the refusal that it must get.
struct Case {
    request: Request,
    status: u16,
    reason: &'static str,
    step: &'static str,
    has_retry_after: bool,
}

fn refused_case(request: Request, status: u16, reason: &'static str, step: &'static str) -> Case {
    Case {
        request,
        status,
        reason,
        step,
        has_retry_after: false,
    }
}

fn with_body(body: &str) -> Request {
    Request {
        body: body.to_owned(),
        ..Request::completion()
    }
}

fn without_token() -> Request {
    Request {
        headers: Vec::new(),
        ..Request::completion()
    }
}

fn many_headers() -> Request {
    (0..70).fold(Request::completion(), |request, _| {
        request.with_header("x-more", "1")
    })
}

fn limited_body_options() -> Options {
    Options {
        max_request_body: Bytes(1_000),
        ..options()
    }
}

#[rstest]
#[case::no_token(refused_case(without_token(), 401, "unauthenticated", "received"))]
#[case::unknown_token(refused_case(without_token().with_header("authorization", "Bearer other"), 401, "unauthenticated", "received"))]
#[case::other_scheme(refused_case(without_token().with_header("authorization", "Basic secret"), 401, "unauthenticated", "received"))]
#[case::forbidden(refused_case(
    with_body(r#"{"model":"secret"}"#),
    403,
    "forbidden",
    "authenticated"
))]
#[case::forbidden_service(refused_case(
    Request::service("GET", "/services/bank/x"),
    403,
    "forbidden",
    "authenticated"
))]
#[case::no_path(refused_case(Request::service("GET", "/other"), 404, "not-found", "received"))]
#[case::no_json(refused_case(with_body("tiles"), 400, "malformed", "authenticated"))]
#[case::no_model(refused_case(with_body("{}"), 400, "malformed", "authenticated"))]
#[case::deadline(refused_case(Request::completion().with_header("jackdawstair-deadline-ms", "soon"), 400, "malformed", "authenticated"))]
#[case::no_key(refused_case(
    Request::service("POST", "/services/stock/orders"),
    400,
    "idempotency-key-missing",
    "authenticated"
))]
#[case::body_too_large(refused_case(with_body(&"x".repeat(2_000)), 413, "too-large", "received"))]
#[case::head_too_large(refused_case(Request::completion().with_header("x-long", &"x".repeat(40_000)), 413, "too-large", "received"))]
#[case::many_headers(refused_case(many_headers(), 413, "too-large", "received"))]
#[case::no_http(refused_case(Request { method: "P(ST", ..Request::completion() }, 400, "malformed", "received"))]
#[case::deadline_passed(Case {
    has_retry_after: true,
    ..refused_case(Request::completion().with_header("jackdawstair-deadline-ms", "0"), 504, "deadline", "authenticated")
})]
fn invalid_request_is_refused_as_not_run(#[case] case: Case) {
    let backend = Backend::start(1, &[]);
    let node = Node::start(limited_body_options(), &backend.addresses);
    let reply = case.request.send(node.address());
    assert_eq!(reply.status, case.status, "{reply:?}");
    assert_eq!(reply.problem_field("reason"), case.reason);
    assert_eq!(reply.problem_field("step"), case.step);
    assert_eq!(reply.outcome(), "not-run");
    assert_eq!(
        reply.header("content-type"),
        Some("application/problem+json")
    );
    assert_eq!(
        reply.header("jackdawstair-request-id").map(str::to_owned),
        Some(reply.problem_field("request_id"))
    );
    assert_eq!(reply.header("retry-after").is_some(), case.has_retry_after);
    assert!(backend.take_requests().is_empty());
}

#[rstest]
#[case::stopping(true, true)]
#[case::not_ready(false, false)]
fn node_that_is_not_ready_refuses_requests(#[case] stopping: bool, #[case] ready: bool) {
    let backend = Backend::start(1, &[]);
    let mut snapshot = snapshot(&backend.addresses);
    snapshot.stopping = stopping;
    snapshot.ready = ready;
    let node = Node::start_with_snapshot(options(), snapshot);
    let reply = Request::completion().send(node.address());
    assert_eq!(reply.status, 503);
    assert_eq!(reply.problem_field("reason"), "not-ready");
    assert_eq!(reply.outcome(), "not-run");
    assert!(reply.header("retry-after").is_some());
}

#[rstest]
#[case::in_the_head("POST /v1/completions HTTP/1.1\r\nhost: n")]
#[case::in_the_body(
    "POST /v1/completions HTTP/1.1\r\nhost: n\r\nauthorization: Bearer secret\r\ncontent-length: 9\r\n\r\n{"
)]
fn incomplete_request_is_refused_after_its_timeout(#[case] text: &str) {
    let options = Options {
        head_timeout: Millis(1_000),
        body_timeout: Millis(100),
        ..options()
    };
    let node = Node::start(options, &[]);
    let mut stream = TcpStream::connect(node.address()).expect("connect");
    stream
        .set_read_timeout(Some(EVENT_TIMEOUT))
        .expect("timeout");
    stream.write_all(text.as_bytes()).expect("write");
    let reply = Reply::read(&stream);
    assert_eq!(reply.problem_field("reason"), "deadline", "{reply:?}");
    assert_eq!(reply.outcome(), "not-run");
}

#[test]
fn only_models_that_the_team_may_use_are_listed() {
    let node = Node::start(options(), &[]);
    let request = Request {
        method: "GET",
        path: "/v1/models",
        body: String::new(),
        ..Request::completion()
    };
    let reply = request.send(node.address());
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
