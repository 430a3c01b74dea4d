//! Requests that crash backend servers.

mod support;

use std::sync::Arc;

use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_entry::event::Event;
use jackdaw_entry::gauge::Guard;
use jackdaw_policy::poison::{Crash, Tracker};
use rstest::rstest;
use support::backend::Act::{Close, Wait, Write};
use support::backend::{Backend, STREAM, Script, WHOLE};
use support::caller::Ask;
use support::node::{Node, options};

/// Returns a crash that the node sees at once, because the answer had begun.
fn crash() -> Script {
    vec![Write(STREAM), Close]
}

/// Plays the control thread: judges events and publishes the verdicts.
fn judge(node: &mut Node, ledger: &mut Tracker) {
    for event in node.events() {
        match event {
            Event::ConnectionLost {
                target,
                digest,
                alone,
                ..
            } => {
                let crash = Crash {
                    digest,
                    server: target,
                    alone,
                };
                ledger.record_crash(&crash, Instant(0));
            }
            Event::Answered { digest, .. } => drop(ledger.record_answer(&digest)),
            Event::ConnectFailed { .. } | Event::Explained(_) => {}
        }
    }
    node.publish(ledger.verdicts());
}

#[test]
fn a_poison_request_costs_two_servers_and_then_no_more() {
    let backend = Backend::start(6, &vec![crash(); 6]);
    let mut node = Node::start(options(), &backend.addresses);
    let first = Ask::whole().send(node.address());
    assert_eq!(first.status, 422);
    assert_eq!(first.problem("reason"), "poison");
    assert_eq!(first.outcome(), "unknown");
    assert_eq!(backend.requests().len(), 2);

    judge(&mut node, &mut Tracker::default());
    let again = Ask::whole().send(node.address());
    assert_eq!(again.status, 422);
    assert_eq!(again.outcome(), "not-run");
    let pause = again.header("retry-after").and_then(|it| it.parse().ok());
    assert!(pause.is_some_and(|pause: u64| (1..=600).contains(&pause)));
    assert!(backend.requests().is_empty());
}

#[test]
fn another_request_is_not_refused() {
    let backend = Backend::start(6, &vec![crash(); 2]);
    let mut node = Node::start(options(), &backend.addresses);
    Ask::whole().send(node.address());
    judge(&mut node, &mut Tracker::default());
    let other = Ask {
        body: r#"{"model":"tiles","prompt":"other"}"#.to_owned(),
        ..Ask::whole()
    };
    assert_eq!(other.send(node.address()).outcome(), "completed");
}

#[test]
fn an_innocent_request_is_cleared_by_its_whole_answer() {
    let backend = Backend::start(3, &[crash()]);
    let mut node = Node::start(options(), &backend.addresses);
    let reply = Ask::whole().send(node.address());
    assert_eq!(reply.outcome(), "completed");
    let mut ledger = Tracker::default();
    judge(&mut node, &mut ledger);
    assert!(ledger.verdicts().is_empty());
}

#[test]
fn a_suspect_waits_until_it_runs_alone_and_keeps_others_away() {
    let backend = Backend::start(1, &[vec![Wait, Write(WHOLE)]]);
    let mut node = Node::start(
        jackdaw_entry::shared::Options {
            buffered_answer_timeout: jackdaw_core::units::Millis::from_secs(60),
            ..options()
        },
        &backend.addresses,
    );
    let mut ledger = Tracker::default();
    let ask = Ask::whole();
    let digest = Digest::of(format!("POST tiles/v1/completions\n{}", ask.body).as_bytes());
    let crash = Crash {
        digest,
        server: "target-0".into(),
        alone: false,
    };
    ledger.record_crash(&crash, Instant(0));
    node.publish(ledger.verdicts());

    let gauge = Arc::clone(&node.shared.snapshot.load().models["tiles"][0].gauge);
    let other = Guard::new(&gauge);
    let stream = ask.open(node.address());
    while !gauge.load().reserved {
        std::thread::yield_now();
    }
    assert!(backend.requests().is_empty());
    drop(other);
    backend.request();
    assert!(gauge.load().reserved);
    backend.release();
    let reply = support::caller::Reply::read(&stream);
    assert_eq!(reply.outcome(), "completed");
    assert!(matches!(node.event(), Event::Answered { digest: cleared, .. } if cleared == digest));
}

#[rstest]
#[case::closed(vec![vec![Close], vec![Close]], true)]
#[case::answering(vec![crash()], true)]
#[case::lost_connection(vec![vec![Close]], false)]
fn only_a_crash_makes_a_suspect(#[case] scripts: Vec<Script>, #[case] suspected: bool) {
    let backend = Backend::start(3, &scripts);
    let mut node = Node::start(options(), &backend.addresses);
    assert_eq!(Ask::whole().send(node.address()).outcome(), "completed");
    let broken = node
        .events()
        .iter()
        .any(|event| matches!(event, Event::ConnectionLost { .. }));
    assert_eq!(broken, suspected);
}
