//! Tests of requests that crash backend servers.

mod support;

use std::sync::Arc;

use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_entry::event::Event;
use jackdaw_entry::gauge::Guard;
use jackdaw_policy::poison::{Crash, Features, Tracker};
use rstest::rstest;
use support::backend::Action::{Close, Hang, Wait, Write};
use support::backend::{Backend, FULL_ANSWER, STREAM_HEAD, Script};
use support::caller::Request;
use support::node::{Node, options};

/// Returns a crash that the node recognises at once, because the answer has begun.
fn crash() -> Script {
    vec![Write(STREAM_HEAD), Close]
}

/// Records the node's events and publishes the verdicts in place of the control thread.
fn process_events(node: &mut Node, tracker: &mut Tracker) {
    for event in node.take_events() {
        match event {
            Event::ConnectionLost {
                target,
                generation,
                digest,
                alone,
            } => {
                let crash = Crash {
                    server: target,
                    incarnation: generation.0,
                    alone,
                };
                tracker.record_crash(&crash, &Features::of_request(digest), Instant(0));
            }
            Event::Answered { digest, .. } => {
                let features = Features::of_request(digest);
                drop(tracker.record_survival(&features, Instant(0)));
            }
            Event::ConnectFailed { .. } | Event::Explained(_) => {}
        }
    }
    node.publish_verdicts(tracker.verdicts());
}

#[test]
fn poison_request_is_refused_after_it_crashes_two_servers() {
    let backend = Backend::start(6, &vec![crash(); 6]);
    let mut node = Node::start(options(), &backend.addresses);
    let first = Request::completion().send(node.address());
    assert_eq!(first.status, 422);
    assert_eq!(first.problem_field("reason"), "poison");
    assert_eq!(first.outcome(), "unknown");
    assert_eq!(backend.take_requests().len(), 2);

    process_events(&mut node, &mut Tracker::default());
    let again = Request::completion().send(node.address());
    assert_eq!(again.status, 422);
    assert_eq!(again.outcome(), "not-run");
    let retry_after = again
        .header("retry-after")
        .and_then(|value| value.parse().ok());
    assert!(retry_after.is_some_and(|retry_after: u64| (1..=600).contains(&retry_after)));
    assert!(backend.take_requests().is_empty());
}

#[test]
fn request_with_another_body_is_not_refused() {
    let backend = Backend::start(6, &vec![crash(); 2]);
    let mut node = Node::start(options(), &backend.addresses);
    Request::completion().send(node.address());
    process_events(&mut node, &mut Tracker::default());
    let other = Request {
        body: r#"{"model":"tiles","prompt":"other"}"#.to_owned(),
        ..Request::completion()
    };
    assert_eq!(other.send(node.address()).outcome(), "completed");
}

#[test]
fn complete_answer_clears_a_suspected_request() {
    let backend = Backend::start(3, &[crash()]);
    let mut node = Node::start(options(), &backend.addresses);
    let reply = Request::completion().send(node.address());
    assert_eq!(reply.outcome(), "completed");
    let mut tracker = Tracker::default();
    process_events(&mut node, &mut tracker);
    assert!(tracker.verdicts().is_empty());
}

#[test]
fn suspected_request_waits_until_it_can_reserve_its_target() {
    let backend = Backend::start(1, &[vec![Wait, Write(FULL_ANSWER)]]);
    let mut node = Node::start(
        jackdaw_entry::shared::Options {
            buffered_answer_timeout: jackdaw_core::units::Millis::from_secs(60),
            ..options()
        },
        &backend.addresses,
    );
    let mut tracker = Tracker::default();
    let request = Request::completion();
    let digest = Digest::of(format!("POST tiles/v1/completions\n{}", request.body).as_bytes());
    let crash = Crash {
        server: "target-0".into(),
        incarnation: 1,
        alone: false,
    };
    tracker.record_crash(&crash, &Features::of_request(digest), Instant(0));
    node.publish_verdicts(tracker.verdicts());

    let gauge = Arc::clone(&node.shared.snapshot.load().models["tiles"][0].gauge);
    let other = Guard::new(&gauge);
    let stream = request.open(node.address());
    while !gauge.load().reserved {
        std::thread::yield_now();
    }
    assert!(backend.take_requests().is_empty());
    drop(other);
    backend.next_request();
    assert!(gauge.load().reserved);
    backend.release();
    let reply = support::caller::Reply::read(&stream);
    assert_eq!(reply.outcome(), "completed");
    assert!(
        matches!(node.next_event(), Event::Answered { digest: cleared, .. } if cleared == digest)
    );
}

#[rstest]
#[case::closed(vec![vec![Close], vec![Close]], true)]
#[case::answering(vec![crash()], true)]
#[case::lost_connection(vec![vec![Close]], false)]
fn only_a_crash_reports_a_broken_target(#[case] scripts: Vec<Script>, #[case] is_reported: bool) {
    let backend = Backend::start(3, &scripts);
    let mut node = Node::start(options(), &backend.addresses);
    assert_eq!(
        Request::completion().send(node.address()).outcome(),
        "completed"
    );
    let reported = node
        .take_events()
        .iter()
        .any(|event| matches!(event, Event::ConnectionLost { .. }));
    assert_eq!(reported, is_reported);
}

/// Both attempts of a suspect are at the server that ends, and no other request is.
#[test]
fn crash_of_a_silent_server_is_attributed_to_the_suspect_that_is_alone_there() {
    let backend = Backend::start(2, &[vec![Wait, Close], vec![Hang]]);
    let mut options = options();
    options.buffered_answer_timeout = options.first_byte_timeout;
    let mut node = Node::start(options, &backend.addresses);
    let mut tracker = Tracker::default();
    let request = Request::completion().with_header("jackdawstair-deadline-ms", "2000");
    let digest = Digest::of(format!("POST tiles/v1/completions\n{}", request.body).as_bytes());
    let crash = Crash {
        server: "target-0".into(),
        incarnation: 1,
        alone: false,
    };
    tracker.record_crash(&crash, &Features::of_request(digest), Instant(0));
    node.publish_verdicts(tracker.verdicts());
    let stream = request.open(node.address());
    let servers = [backend.next_request().server, backend.next_request().server];
    assert_eq!(servers[0], servers[1]);
    backend.release();
    let alone = loop {
        if let Event::ConnectionLost { alone, .. } = node.next_event() {
            break alone;
        }
    };
    assert!(alone);
    // The other attempt is waited for until the deadline, and no other server gets the request.
    let reply = support::caller::Reply::read(&stream);
    assert_eq!(reply.problem_field("reason"), "poison", "{reply:?}");
    assert!(backend.take_requests().is_empty());
}
