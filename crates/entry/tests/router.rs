//! The router reads the snapshot and its gauges.

mod support;

use std::sync::Arc;

use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_entry::route::{Router, Selector};
use jackdaw_entry::snapshot::Snapshot;
use jackdaw_policy::route::{Criterion, Options};
use support::backend::Backend;
use support::node::snapshot;

const SELECTOR: Selector<'static> = Selector {
    name: "tiles",
    is_model: true,
    prefix_hash: None,
    isolated: false,
};

fn four() -> Snapshot {
    let addresses: Vec<_> = (0..4).map(|_| Backend::nowhere()).collect();
    snapshot(&addresses)
}

fn chosen(router: &Router, snapshot: &Arc<Snapshot>, now: Instant) -> Vec<String> {
    let mut names: Vec<String> = (0..200)
        .filter_map(|_| router.choose(snapshot, SELECTOR, &[], now))
        .map(|choice| choice.target.name.to_string())
        .collect();
    names.sort();
    names.dedup();
    names
}

#[test]
fn a_straggler_is_left_out_for_some_time_and_explained() {
    let snapshot = Arc::new(four());
    for (index, target) in snapshot.models["tiles"].iter().enumerate() {
        for _ in 0..20 {
            target
                .gauge
                .record_latency(if index == 3 { 90_000 } else { 10_000 });
        }
    }
    let router = Router::new(Options::default(), 1);
    let names = chosen(&router, &snapshot, Instant(0));
    assert_eq!(names, ["target-0", "target-1", "target-2"]);
    let decisions = router.take_decisions();
    assert_eq!(decisions.len(), 1);
    assert_eq!(decisions[0].subjects[0].name(), "target-3");

    let next = Arc::new(Snapshot::clone(&snapshot));
    let later = Instant(0) + Millis::from_secs(31);
    assert_eq!(chosen(&router, &next, later).len(), 4);
    assert!(router.take_decisions().is_empty());
}

#[test]
fn another_zone_is_used_when_no_own_target_is_left() {
    let mut snapshot = four();
    let targets = snapshot.models.get_mut("tiles").expect("targets");
    targets[0].zone = "qc-east-b".into();
    let snapshot = Arc::new(snapshot);
    let router = Router::new(Options::default(), 1);
    assert_eq!(chosen(&router, &snapshot, Instant(0)).len(), 3);
    let own = ["target-1".into(), "target-2".into(), "target-3".into()];
    let choice = router.choose(&snapshot, SELECTOR, &own, Instant(0));
    let choice = choice.expect("a target");
    assert_eq!(choice.target.name, "target-0");
    assert_eq!(choice.criterion, Criterion::Spill);
}

#[test]
fn a_request_that_runs_alone_gets_the_quietest_target() {
    let snapshot = Arc::new(four());
    for (index, target) in snapshot.models["tiles"].iter().enumerate() {
        target.gauge.set_reported(if index == 2 { 1 } else { 5 });
    }
    let alone = Selector {
        isolated: true,
        ..SELECTOR
    };
    let router = Router::new(Options::default(), 1);
    let choice = router.choose(&snapshot, alone, &[], Instant(0));
    assert_eq!(choice.expect("a target").target.name, "target-2");
}
