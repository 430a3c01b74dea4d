//! Whole answers and streams pass through the node.

mod support;

use support::backend::{Act, Backend, DONE, STREAM};
use support::caller::Ask;
use support::node::{Node, options};

#[test]
fn a_whole_answer_passes() {
    let backend = Backend::start(1, &[]);
    let node = Node::start(options(), &backend.addresses);
    let reply = Ask::whole().send(node.address());
    assert_eq!(reply.status, 200);
    assert_eq!(reply.body, r#"{"ok":true}"#);
    assert_eq!(reply.outcome(), "completed");
    let request = backend.request();
    assert_eq!(request.header("x-priority"), Some("7"));
    assert_eq!(request.header("x-jackdaw-group"), Some("target-0"));
    assert_eq!(request.header("authorization"), None);
}

#[test]
fn a_stream_passes() {
    let script = vec![Act::Write(STREAM), Act::Tokens(3), Act::Write(DONE)];
    let backend = Backend::start(1, &[script]);
    let node = Node::start(options(), &backend.addresses);
    let reply = Ask::streamed().send(node.address());
    assert_eq!(reply.status, 200);
    assert_eq!(reply.tokens(), [0, 1, 2]);
    assert!(reply.is_done(), "{reply:?}");
}
