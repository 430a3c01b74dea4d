//! Nodes count the crashes of a request together.

mod pair;

use jackdaw_control::event::Event;
use jackdaw_core::token::Digest;
use jackdaw_core::units::{Generation, Millis};
use jackdaw_entry::event::Event as EntryEvent;
use jackdaw_policy::poison::{Features, Verdict};
use pair::{Pair, ZONES};
use rstest::rstest;

/// Time for the nodes to exchange what they know.
const EXCHANGE_TIME: Millis = Millis(3_000);

/// Node that sees an event, and the target of the event.
type Seen = (usize, &'static str);

struct Case {
    crashes: &'static [Seen],
    answers: &'static [Seen],
    is_banned: bool,
}

fn digest() -> Digest {
    Digest::of(b"request")
}

fn crash(target: &str) -> Event {
    Event::Entry(EntryEvent::ConnectionLost {
        target: target.into(),
        generation: Generation(1),
        digest: digest(),
        alone: false,
    })
}

fn answer(target: &str) -> Event {
    Event::Entry(EntryEvent::Answered {
        target: target.into(),
        digest: digest(),
    })
}

// Guards against a caller who repeats a request at one node after the other and costs each of them
// three servers, and against a ban of a request that was only in flight.
#[rstest]
#[case::three_targets_seen_by_one_node(Case {
    crashes: &[(0, "a/1"), (0, "a/2"), (0, "a/3")], answers: &[], is_banned: true })]
#[case::three_targets_seen_by_two_nodes(Case {
    crashes: &[(0, "a/1"), (1, "a/2"), (0, "a/3")], answers: &[], is_banned: true })]
#[case::two_targets_seen_by_two_nodes(Case {
    crashes: &[(0, "a/1"), (1, "a/2")], answers: &[], is_banned: false })]
#[case::copies_in_flight_at_one_crash(Case {
    crashes: &[(0, "a/1"), (0, "a/1"), (0, "a/1")], answers: &[], is_banned: false })]
#[case::copies_on_two_nodes_in_flight_at_one_crash(Case {
    crashes: &[(0, "a/1"), (1, "a/1"), (0, "a/1")], answers: &[], is_banned: false })]
#[case::answered_elsewhere_before_the_third_crash(Case {
    crashes: &[(0, "a/1"), (0, "a/2"), (0, "a/3")], answers: &[(1, "a/4")], is_banned: false })]
fn crashes_are_counted_over_all_nodes(#[case] case: Case) {
    let mut pair = Pair::new([ZONES[0]; 2]);
    pair.run(Millis(2_000));
    let last = case.crashes.len() - 1;
    for (number, (node, target)) in case.crashes.iter().enumerate() {
        if number == last {
            for (node, target) in case.answers {
                pair.step(*node, answer(target));
            }
            pair.run(EXCHANGE_TIME);
        }
        pair.step(*node, crash(target));
        pair.run(EXCHANGE_TIME);
    }
    let unix_ms = pair.now.0;
    for node in 0..2 {
        let snapshot = pair.states[node].snapshot(pair.now, unix_ms);
        let verdict = snapshot
            .verdicts
            .of(&Features::of_request(digest()), pair.now);
        let is_banned = matches!(verdict, Verdict::Banned(_));
        assert_eq!(is_banned, case.is_banned, "node {node}: {verdict:?}");
    }
}
