//! Tests that complete answers and streams are forwarded.

mod support;

use support::backend::{Action, Backend, STREAM_DONE, STREAM_HEAD};
use support::caller::Request;
use support::node::{Node, options};

#[test]
fn complete_answer_is_forwarded() {
    let backend = Backend::start(1, &[]);
    let node = Node::start(options(), &backend.addresses);
    let reply = Request::completion().send(node.address());
    assert_eq!(reply.status, 200);
    assert_eq!(reply.body, r#"{"ok":true}"#);
    assert_eq!(reply.outcome(), "completed");
    let request = backend.next_request();
    assert_eq!(request.header("x-priority"), Some("7"));
    assert_eq!(request.header("x-jackdaw-group"), Some("target-0"));
    assert_eq!(request.header("authorization"), None);
}

#[test]
fn stream_is_forwarded() {
    let script = vec![
        Action::Write(STREAM_HEAD),
        Action::Tokens(3),
        Action::Write(STREAM_DONE),
    ];
    let backend = Backend::start(1, &[script]);
    let node = Node::start(options(), &backend.addresses);
    let reply = Request::streamed().send(node.address());
    assert_eq!(reply.status, 200);
    assert_eq!(reply.tokens(), [0, 1, 2]);
    assert!(reply.is_complete_stream(), "{reply:?}");
}
