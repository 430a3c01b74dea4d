//! Limits of teams and the fair queue before a model.

mod support;

use std::net::TcpStream;
use std::sync::Arc;

use jackdaw_core::units::Millis;
use jackdaw_entry::shared::Options;
use jackdaw_entry::snapshot::Snapshot;
use jackdaw_policy::route;
use rstest::rstest;
use support::backend::Act::{Tokens, Wait, Write};
use support::backend::{Backend, DONE, STREAM, Script, WHOLE};
use support::caller::{Ask, Reply};
use support::node::{Node, options, snapshot};

/// Bounds under which one request runs at a time.
fn one_slot() -> Options {
    Options {
        buffered_answer_timeout: Millis::from_secs(60),
        idle_timeout: Millis::from_secs(60),
        route: route::Options {
            slots: 1,
            ..route::Options::default()
        },
        ..options()
    }
}

fn waiting_answer() -> Script {
    vec![Wait, Write(WHOLE)]
}

/// Changes the only team of a snapshot.
fn limited(mut snapshot: Snapshot, per_second: u32, concurrency: u32, nodes: u32) -> Snapshot {
    snapshot.nodes = nodes;
    for team in snapshot.teams.values_mut() {
        let team = Arc::make_mut(team);
        team.requests_per_second = per_second;
        team.concurrency = concurrency;
    }
    snapshot
}

#[rstest]
#[case::shared_by_many_nodes(1, 1_000, 4)]
#[case::shared_by_more_nodes(10, 20_000, 4)]
fn a_team_over_its_rate_is_refused(
    #[case] per_second: u32,
    #[case] nodes: u32,
    #[case] burst: usize,
) {
    let backend = Backend::start(1, &[]);
    let snapshot = limited(snapshot(&backend.addresses), per_second, 100, nodes);
    let node = Node::with(options(), snapshot);
    let replies: Vec<Reply> = (0..burst + 3)
        .map(|_| Ask::whole().send(node.address()))
        .collect();
    let refused: Vec<&Reply> = replies.iter().filter(|reply| reply.status == 429).collect();
    assert!(!refused.is_empty());
    for reply in refused {
        assert_eq!(reply.problem("reason"), "over-limit");
        assert_eq!(reply.outcome(), "not-run");
        assert!(reply.header("retry-after").is_some());
    }
    assert!(replies[..burst].iter().all(|reply| reply.status == 200));
}

#[test]
fn a_team_over_its_concurrency_is_refused_until_a_stream_ends() {
    let stream = vec![Write(STREAM), Tokens(1), Wait, Write(DONE)];
    let backend = Backend::start(1, &[stream]);
    let snapshot = limited(snapshot(&backend.addresses), 10_000, 1, 1);
    let bounds = Options {
        idle_timeout: Millis::from_secs(60),
        ..options()
    };
    let node = Node::with(bounds, snapshot);
    let first = Ask::streamed().open(node.address());
    backend.request();
    let refused = Ask::whole().send(node.address());
    assert_eq!(refused.status, 429);
    assert_eq!(refused.problem("reason"), "over-limit");
    backend.release();
    assert!(Reply::read(&first).is_done());
    // The count goes down right after the last byte.
    while Ask::whole().send(node.address()).status == 429 {}
}

#[test]
fn requests_beyond_the_slots_wait_and_then_run() {
    let backend = Backend::start(1, &[waiting_answer()]);
    let node = Node::start(one_slot(), &backend.addresses);
    let first = Ask::whole().open(node.address());
    backend.request();
    let second = Ask::whole().open(node.address());
    let third = Ask::whole().open(node.address());
    // Whoever leaves the queue does not hold up the others.
    drop(second);
    backend.release();
    assert_eq!(Reply::read(&first).outcome(), "completed");
    assert_eq!(Reply::read(&third).outcome(), "completed");
}

#[test]
fn a_request_that_cannot_be_answered_in_time_is_refused_early() {
    let backend = Backend::start(1, &[waiting_answer(), waiting_answer()]);
    let node = Node::start(one_slot(), &backend.addresses);
    // The first answer takes long enough to tell the node how long answers take.
    let first = Ask::whole().open(node.address());
    backend.request();
    let refused = timed_out(&node);
    assert_eq!(refused.problem("reason"), "deadline");
    backend.release();
    assert_eq!(Reply::read(&first).outcome(), "completed");

    let second = Ask::whole().open(node.address());
    backend.request();
    let refused = Ask::whole()
        .with("jackdawstair-deadline-ms", "40")
        .send(node.address());
    assert_eq!(refused.status, 503);
    assert_eq!(refused.problem("reason"), "overloaded");
    assert_eq!(refused.outcome(), "not-run");
    assert!(refused.header("retry-after").is_some());
    backend.release();
    assert_eq!(Reply::read(&second).outcome(), "completed");
}

/// Waits in the queue until a deadline passes.
fn timed_out(node: &Node) -> Reply {
    let stream: TcpStream = Ask::whole()
        .with("jackdawstair-deadline-ms", "100")
        .open(node.address());
    let reply = Reply::read(&stream);
    assert_eq!(reply.outcome(), "not-run");
    reply
}
