//! Tests of the router's choice from a snapshot and its gauges.

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

fn four_targets() -> Snapshot {
    let addresses: Vec<_> = (0..4).map(|_| Backend::unreachable_address()).collect();
    snapshot(&addresses)
}

fn chosen_targets(router: &Router, snapshot: &Arc<Snapshot>, now: Instant) -> Vec<String> {
    let mut names: Vec<String> = (0..200)
        .filter_map(|_| router.choose(snapshot, SELECTOR, &[], now))
        .map(|choice| choice.target.name.to_string())
        .collect();
    names.sort();
    names.dedup();
    names
}

#[test]
fn slow_target_is_excluded_for_a_while_and_explained() {
    let snapshot = Arc::new(four_targets());
    for (index, target) in snapshot.models["tiles"].iter().enumerate() {
        for _ in 0..20 {
            target
                .gauge
                .record_latency(if index == 3 { 90_000 } else { 10_000 });
        }
    }
    let router = Router::new(Options::default(), 1);
    let names = chosen_targets(&router, &snapshot, Instant(0));
    assert_eq!(names, ["target-0", "target-1", "target-2"]);
    let decisions = router.take_decisions();
    assert_eq!(decisions.len(), 1);
    assert_eq!(decisions[0].subjects[0].name(), "target-3");

    let next = Arc::new(Snapshot::clone(&snapshot));
    let later = Instant(0) + Millis::from_secs(31);
    assert_eq!(chosen_targets(&router, &next, later).len(), 4);
    assert!(router.take_decisions().is_empty());
}

#[test]
fn request_spills_to_another_zone_if_no_local_target_is_left() {
    let mut snapshot = four_targets();
    let targets = snapshot.models.get_mut("tiles").expect("targets");
    targets[0].zone = "qc-east-b".into();
    let snapshot = Arc::new(snapshot);
    let router = Router::new(Options::default(), 1);
    assert_eq!(chosen_targets(&router, &snapshot, Instant(0)).len(), 3);
    let local = ["target-1".into(), "target-2".into(), "target-3".into()];
    let choice = router.choose(&snapshot, SELECTOR, &local, Instant(0));
    let choice = choice.expect("a target");
    assert_eq!(choice.target.name, "target-0");
    assert_eq!(choice.criterion, Criterion::Spill);
}

#[test]
fn request_that_runs_alone_gets_the_least_loaded_target() {
    let snapshot = Arc::new(four_targets());
    for (index, target) in snapshot.models["tiles"].iter().enumerate() {
        target.gauge.set_reported(if index == 2 { 1 } else { 5 });
    }
    let exclusive = Selector {
        isolated: true,
        ..SELECTOR
    };
    let router = Router::new(Options::default(), 1);
    let choice = router.choose(&snapshot, exclusive, &[], Instant(0));
    assert_eq!(choice.expect("a target").target.name, "target-2");
}
