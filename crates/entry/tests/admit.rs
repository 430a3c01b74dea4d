//! Tests of the limits of teams and of the fair queue of a model.

mod support;

use std::net::TcpStream;
use std::sync::Arc;

use jackdaw_core::units::Millis;
use jackdaw_entry::shared::Options;
use jackdaw_entry::snapshot::Snapshot;
use jackdaw_policy::route;
use rstest::rstest;
use support::backend::Action::{Tokens, Wait, Write};
use support::backend::{Backend, FULL_ANSWER, STREAM_DONE, STREAM_HEAD, Script};
use support::caller::{Reply, Request};
use support::node::{Node, options, snapshot};

/// Returns options under which one request runs at a time.
fn one_slot_options() -> Options {
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

fn delayed_answer() -> Script {
    vec![Wait, Write(FULL_ANSWER)]
}

/// Limits the only team of a snapshot.
fn limit_team(mut snapshot: Snapshot, per_second: u32, concurrency: u32, nodes: u32) -> Snapshot {
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
fn team_over_its_rate_is_refused(
    #[case] per_second: u32,
    #[case] nodes: u32,
    #[case] burst: usize,
) {
    let backend = Backend::start(1, &[]);
    let snapshot = limit_team(snapshot(&backend.addresses), per_second, 100, nodes);
    let node = Node::start_with_snapshot(options(), snapshot);
    let replies: Vec<Reply> = (0..burst + 3)
        .map(|_| Request::completion().send(node.address()))
        .collect();
    let refused: Vec<&Reply> = replies.iter().filter(|reply| reply.status == 429).collect();
    assert!(!refused.is_empty());
    for reply in refused {
        assert_eq!(reply.problem_field("reason"), "over-limit");
        assert_eq!(reply.outcome(), "not-run");
        assert!(reply.header("retry-after").is_some());
    }
    assert!(replies[..burst].iter().all(|reply| reply.status == 200));
}

#[test]
fn team_over_its_concurrency_is_refused_until_a_stream_ends() {
    let stream = vec![Write(STREAM_HEAD), Tokens(1), Wait, Write(STREAM_DONE)];
    let backend = Backend::start(1, &[stream]);
    let snapshot = limit_team(snapshot(&backend.addresses), 10_000, 1, 1);
    let limits = Options {
        idle_timeout: Millis::from_secs(60),
        ..options()
    };
    let node = Node::start_with_snapshot(limits, snapshot);
    let first = Request::streamed().open(node.address());
    backend.next_request();
    let refused = Request::completion().send(node.address());
    assert_eq!(refused.status, 429);
    assert_eq!(refused.problem_field("reason"), "over-limit");
    backend.release();
    assert!(Reply::read(&first).is_complete_stream());
    // The node decrements the count shortly after it sends the last byte.
    while Request::completion().send(node.address()).status == 429 {}
}

#[test]
fn requests_beyond_the_slots_wait_and_then_run() {
    let backend = Backend::start(1, &[delayed_answer()]);
    let node = Node::start(one_slot_options(), &backend.addresses);
    let first = Request::completion().open(node.address());
    backend.next_request();
    let second = Request::completion().open(node.address());
    let third = Request::completion().open(node.address());
    // A request that leaves the queue does not delay the others.
    drop(second);
    backend.release();
    assert_eq!(Reply::read(&first).outcome(), "completed");
    assert_eq!(Reply::read(&third).outcome(), "completed");
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_early() {
    let backend = Backend::start(1, &[delayed_answer(), delayed_answer()]);
    let node = Node::start(one_slot_options(), &backend.addresses);
    // The node estimates the time of later answers from the first one, which therefore takes long.
    let first = Request::completion().open(node.address());
    backend.next_request();
    let refused = send_until_deadline(&node);
    assert_eq!(refused.problem_field("reason"), "deadline");
    backend.release();
    assert_eq!(Reply::read(&first).outcome(), "completed");

    let second = Request::completion().open(node.address());
    backend.next_request();
    let refused = Request::completion()
        .with_header("jackdawstair-deadline-ms", "40")
        .send(node.address());
    assert_eq!(refused.status, 503);
    assert_eq!(refused.problem_field("reason"), "overloaded");
    assert_eq!(refused.outcome(), "not-run");
    assert!(refused.header("retry-after").is_some());
    backend.release();
    assert_eq!(Reply::read(&second).outcome(), "completed");
}

/// Sends a request whose deadline passes in the queue, and returns its refusal.
fn send_until_deadline(node: &Node) -> Reply {
    let stream: TcpStream = Request::completion()
        .with_header("jackdawstair-deadline-ms", "100")
        .open(node.address());
    let reply = Reply::read(&stream);
    assert_eq!(reply.outcome(), "not-run");
    reply
}
