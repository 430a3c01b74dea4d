//! Release notes on running nodes: acceptance, distribution, partitions, late starts and empty
//! answers of the key-value service.

mod support;

use jackdaw_control::admin::handle::{Reply, Request};
use jackdaw_control::release;
use jackdaw_core::store::{Store, Transaction, Write};
use jackdaw_core::units::Revision;
use jackdaw_policy::release::accept::{Attempt, Verdict};
use jackdaw_policy::release::register::Source;
use jackdaw_standin::store::{Fault, Memory};
use rstest::rstest;
use support::{Cluster, accepted, note};

/// Faults of the transactions that commit one note, and the expected verdict.
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
fn verdict_matches_the_stored_catalogue(#[case] case: Case) {
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
fn concurrent_notes_get_one_acceptance_and_one_conflict() {
    let cluster = Cluster::new();
    let left = cluster.node("left", "a", &[]);
    let right = cluster.node("right", "b", &[left.peer_address()]);
    assert_eq!(left.apply(note("base", 0)), accepted(1));
    right.wait_for_revision(1);
    let race = futures::future::join(
        left.handle.ask(Request::Apply(note("one", 1))),
        right.handle.ask(Request::Apply(note("two", 1))),
    );
    let (first, second) = futures::executor::block_on(race);
    let verdicts = [first, second].map(|reply| match reply {
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
fn note_repeated_to_another_node_is_accepted_at_the_same_revision() {
    let cluster = Cluster::new();
    let left = cluster.node("left", "a", &[]);
    let right = cluster.node("right", "b", &[left.peer_address()]);
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
fn accepted_note_reaches_nodes_without_the_key_value_service() {
    let cluster = Cluster::new();
    let first = cluster.node("first", "a", &[]);
    let near = cluster.node("near", "a", &[first.peer_address()]);
    let far = cluster.node("far", "b", &[first.peer_address()]);
    assert_eq!(first.apply(note("one", 0)), accepted(1));
    near.wait_for_revision(1);
    far.wait_for_revision(1);
    near.store_proxy.disconnect();
    far.store_proxy.disconnect();
    assert_eq!(first.apply(note("two", 1)), accepted(2));
    near.wait_for_revision(2);
    far.wait_for_revision(2);
    first.wait_for_status(|status| status.in_force_everywhere && status.zones.len() == 2);
}

#[test]
fn node_started_without_the_platform_gets_the_catalogue_from_peers() {
    let cluster = Cluster::new();
    let first = cluster.node("first", "a", &[]);
    assert_eq!(first.apply(note("one", 0)), accepted(1));
    cluster.memory.set(Fault::Refuse);
    let isolated = cluster.node("lonely", "b", &[]);
    let late = cluster.node("late", "b", &[first.peer_address()]);
    late.wait_for_revision(1);
    let status = late.status();
    assert_eq!(status.release.source, Some(Source::Peer("first".into())));
    assert_eq!(status.release.platform_contact_age_ms, None);
    assert!(status.ready);
    assert!(
        !isolated.status().ready,
        "a node without peers is not ready"
    );
}

#[test]
fn partitioned_zone_keeps_its_revision_until_it_is_reconnected() {
    let cluster = Cluster::new();
    let first = cluster.node("here", "a", &[]);
    let second = cluster.node("there", "b", &[first.peer_address()]);
    assert_eq!(first.apply(note("one", 0)), accepted(1));
    second.wait_for_revision(1);
    second.partition.block(first.peer_address());
    second.store_proxy.disconnect();
    assert_eq!(first.apply(note("two", 1)), accepted(2));
    let refused = second.apply(note("three", 1));
    assert!(matches!(refused, Verdict::NotAccepted(_)), "{refused:?}");
    let status = second.status();
    assert_eq!((status.release.revision, status.ready), (Revision(1), true));
    second.partition.unblock(first.peer_address());
    second.wait_for_revision(2);
}

#[test]
fn empty_service_never_reverts_a_node() {
    let cluster = Cluster::new();
    let node = cluster.node("node", "a", &[]);
    assert_eq!(node.apply(note("one", 0)), accepted(1));
    assert_eq!(node.apply(note("two", 1)), accepted(2));
    // A node that holds the revision sees an empty service and stops.
    let stale = cluster.node("misled", "b", &[]);
    stale.wait_for_revision(2);
    stale.store_proxy.answer_as_empty();
    drop(stale);
    let delete = Transaction {
        then: vec![Write::Delete(release::CATALOG_KEY.into())],
        ..Transaction::default()
    };
    futures::executor::block_on(cluster.memory.commit(delete)).expect("deleted");
    // The running node keeps its catalogue and writes it back, so that a new node finds it.
    let is_back = || {
        let stored = futures::executor::block_on(release::read_catalog(&cluster.memory));
        stored
            .expect("reads")
            .is_some_and(|stored| stored.catalog.revision == Revision(2))
    };
    while !is_back() {
        std::thread::yield_now();
    }
    assert_eq!(
        node.revision(),
        2,
        "an empty service does not revert the node"
    );
    let fresh = cluster.node("fresh", "c", &[]);
    fresh.wait_for_revision(2);
    assert_eq!(fresh.status().release.source, Some(Source::Read));
}

#[test]
fn note_is_not_accepted_while_the_service_answers_as_empty() {
    let cluster = Cluster::new();
    let node = cluster.node("node", "a", &[]);
    assert_eq!(node.apply(note("one", 0)), accepted(1));
    node.store_proxy.answer_as_empty();
    let verdict = node.apply(note("two", 1));
    assert!(matches!(verdict, Verdict::NotAccepted(_)), "{verdict:?}");
    node.store_proxy.reconnect();
    assert_eq!(node.apply(note("two", 1)), accepted(2));
}
