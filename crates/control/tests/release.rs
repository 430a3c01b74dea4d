//! Release notes on running nodes: acceptance, spreading, cuts, restarts and old answers.

mod support;

use jackdaw_control::admin::handle::{Reply, Request};
use jackdaw_control::release;
use jackdaw_core::store::{Store, Transaction, Write};
use jackdaw_core::units::Revision;
use jackdaw_policy::release::accept::{Attempt, Verdict};
use jackdaw_policy::release::register::Source;
use jackdaw_standin::store::{Fault, Memory};
use rstest::rstest;
use support::{World, accepted, note};

/// What happens to the transactions that commit one note.
struct Case {
    faults: &'static [Fault],
    verdict: fn(&Verdict) -> bool,
    is_accepted: bool,
}

fn is_first(verdict: &Verdict) -> bool {
    *verdict == accepted(1)
}

fn is_repeated(verdict: &Verdict) -> bool {
    let revision = Revision(1);
    *verdict
        == Verdict::Accepted {
            revision,
            repeated: true,
        }
}

#[rstest]
#[case::no_fault(Case { faults: &[], verdict: is_first, is_accepted: true })]
#[case::refused(Case {
    faults: &[Fault::Refuse],
    verdict: |verdict| matches!(verdict, Verdict::NotAccepted(_)),
    is_accepted: false,
})]
#[case::lost_before_the_write(Case {
    faults: &[Fault::Down], verdict: is_first, is_accepted: true })]
#[case::lost_after_the_write(Case {
    faults: &[Fault::LoseAnswer], verdict: is_repeated, is_accepted: true })]
#[case::lost_twice(Case {
    faults: &[Fault::Down, Fault::LoseAnswer], verdict: is_repeated, is_accepted: true })]
#[case::lost_every_time(Case {
    faults: &[Fault::Down, Fault::Down, Fault::Down],
    verdict: |verdict| matches!(verdict, Verdict::Unknown(_)),
    is_accepted: false,
})]
fn verdict_tells_what_the_service_holds(#[case] case: Case) {
    let memory = Memory::new(std::sync::Arc::new(
        jackdaw_core::time::SystemClock::default(),
    ));
    for fault in case.faults {
        memory.plan(release::CATALOG_KEY, *fault);
    }
    let attempt = Attempt::new(note("mine", 0), Revision(0), "node", 1);
    let outcome = futures::executor::block_on(release::accept(&memory, attempt));
    assert!((case.verdict)(&outcome.verdict), "{:?}", outcome.verdict);
    let stored = futures::executor::block_on(release::read_catalog(&memory)).expect("reads");
    assert_eq!(stored.is_some(), case.is_accepted);
}

#[test]
fn racing_operators_get_one_acceptance_and_the_difference() {
    let world = World::new();
    let left = world.node("left", "a", &[]);
    let right = world.node("right", "b", &[left.peers()]);
    assert_eq!(left.apply(note("base", 0)), accepted(1));
    right.wait_for_revision(1);
    let race = futures::future::join(
        left.handle.ask(Request::Apply(note("one", 1))),
        right.handle.ask(Request::Apply(note("two", 1))),
    );
    let (one, two) = futures::executor::block_on(race);
    let verdicts = [one, two].map(|reply| match reply {
        Ok(Reply::Verdict(_, verdict)) => verdict,
        other => panic!("{other:?}"),
    });
    let accepted_once = verdicts.iter().filter(|v| **v == accepted(2)).count();
    assert_eq!(accepted_once, 1, "{verdicts:?}");
    let difference = verdicts.iter().find_map(|verdict| match verdict {
        Verdict::Conflict {
            found: Revision(2),
            since,
            ..
        } => Some(since.len()),
        _ => None,
    });
    assert_eq!(difference, Some(1), "{verdicts:?}");
    left.wait_for_revision(2);
    right.wait_for_revision(2);
}

#[test]
fn same_note_sent_again_to_another_node_gets_the_same_success() {
    let world = World::new();
    let left = world.node("left", "a", &[]);
    let right = world.node("right", "b", &[left.peers()]);
    assert_eq!(left.apply(note("mine", 0)), accepted(1));
    assert_eq!(left.apply(note("next", 1)), accepted(2));
    let again = right.apply(note("mine", 0));
    let revision = Revision(1);
    assert_eq!(
        again,
        Verdict::Accepted {
            revision,
            repeated: true
        }
    );
}

#[test]
fn accepted_note_reaches_nodes_that_the_platform_does_not() {
    let world = World::new();
    let first = world.node("first", "a", &[]);
    let near = world.node("near", "a", &[first.peers()]);
    let far = world.node("far", "b", &[first.peers()]);
    assert_eq!(first.apply(note("one", 0)), accepted(1));
    near.wait_for_revision(1);
    far.wait_for_revision(1);
    near.gate.close();
    far.gate.close();
    assert_eq!(first.apply(note("two", 1)), accepted(2));
    near.wait_for_revision(2);
    far.wait_for_revision(2);
    first.wait_for_status(|status| status.in_force_everywhere && status.zones.len() == 2);
}

#[test]
fn node_that_starts_while_the_platform_is_down_learns_from_its_peers() {
    let world = World::new();
    let first = world.node("first", "a", &[]);
    assert_eq!(first.apply(note("one", 0)), accepted(1));
    world.memory.set(Fault::Refuse);
    let lonely = world.node("lonely", "b", &[]);
    let late = world.node("late", "b", &[first.peers()]);
    late.wait_for_revision(1);
    let status = late.status();
    assert_eq!(status.release.source, Some(Source::Peer("first".into())));
    assert_eq!(status.release.platform_contact_age_ms, None);
    assert!(status.ready);
    assert!(
        !lonely.status().ready,
        "a node without peers says that it is not ready"
    );
}

#[test]
fn cut_off_zone_keeps_its_revision_and_takes_the_new_one_after_the_cut() {
    let world = World::new();
    let here = world.node("here", "a", &[]);
    let there = world.node("there", "b", &[here.peers()]);
    assert_eq!(here.apply(note("one", 0)), accepted(1));
    there.wait_for_revision(1);
    there.partition.block(here.peers());
    there.gate.close();
    assert_eq!(here.apply(note("two", 1)), accepted(2));
    let refused = there.apply(note("three", 1));
    assert!(matches!(refused, Verdict::NotAccepted(_)), "{refused:?}");
    let status = there.status();
    assert_eq!((status.release.revision, status.ready), (Revision(1), true));
    there.partition.unblock(here.peers());
    there.wait_for_revision(2);
}

#[test]
fn old_and_empty_answers_never_revert_a_node() {
    let world = World::new();
    let node = world.node("node", "a", &[]);
    assert_eq!(node.apply(note("one", 0)), accepted(1));
    assert_eq!(node.apply(note("two", 1)), accepted(2));
    // A node whose way to the service answers as if it were empty learns from its peer.
    let misled = world.node("misled", "b", &[]);
    misled.wait_for_revision(2);
    misled.gate.pretend_empty();
    drop(misled);
    let delete = Transaction {
        then: vec![Write::Delete(release::CATALOG_KEY.into())],
        ..Transaction::default()
    };
    futures::executor::block_on(world.memory.commit(delete)).expect("deleted");
    // The node keeps its catalogue and writes it back, so that a new node finds it.
    let is_back = || {
        let stored = futures::executor::block_on(release::read_catalog(&world.memory));
        stored
            .expect("reads")
            .is_some_and(|stored| stored.catalog.revision == Revision(2))
    };
    while !is_back() {
        std::thread::yield_now();
    }
    assert_eq!(node.revision(), 2, "an empty service reverts nothing");
    let fresh = world.node("fresh", "c", &[]);
    fresh.wait_for_revision(2);
    assert_eq!(fresh.status().release.source, Some(Source::Read));
}

#[test]
fn note_is_refused_while_the_service_answers_with_old_values() {
    let world = World::new();
    let node = world.node("node", "a", &[]);
    assert_eq!(node.apply(note("one", 0)), accepted(1));
    node.gate.pretend_empty();
    let verdict = node.apply(note("two", 1));
    assert!(matches!(verdict, Verdict::NotAccepted(_)), "{verdict:?}");
    node.gate.open();
    assert_eq!(node.apply(note("two", 1)), accepted(2));
}
