//! Tests of the planner with random sequences of changes from fixed seeds.

use std::collections::BTreeSet;

use compact_str::{CompactString, format_compact};
use jackdaw_core::placement::{Group, Placement, State};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::plan::{Candidate, Health, Options, Proposal};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

use crate::zone::{NOW, Zone, model};

/// One random change of a zone.
#[derive(Clone, Debug)]
enum Change {
    Health(usize, u8),
    Replicas(usize, u32),
    NewVersion(usize),
    AllDrained,
    Nothing,
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        8 => (0..30_usize, 0..6_u8).prop_map(|(vm, health)| Change::Health(vm, health)),
        1 => (0..3_usize, 0..4_u32).prop_map(|(model, count)| Change::Replicas(model, count)),
        1 => (0..3_usize).prop_map(Change::NewVersion),
        4 => Just(Change::AllDrained),
        1 => Just(Change::Nothing),
    ]
}

fn is_member(zone: &Zone, index: usize) -> bool {
    let vm = &zone.vms[index].name;
    let mut groups = zone.placement.groups.iter();
    groups.any(|group| group.members.contains(vm))
}

fn apply(zone: &mut Zone, change: &Change) {
    match change {
        Change::Health(vm, health) => {
            let index = vm % zone.vms.len();
            zone.vms[index].health = match health {
                0 | 1 => Health::Missing,
                2 => Health::Leaving,
                // Only a member can have lost its group.
                5 if is_member(zone, index) => Health::Restarted,
                _ => Health::Present,
            };
            zone.vms[index].since = if health % 2 == 0 { NOW } else { Instant(0) };
        }
        Change::Replicas(model, count) => zone.catalog.models[*model].replicas = *count,
        Change::NewVersion(model) => {
            let version = &mut zone.catalog.models[*model].version;
            *version = format_compact!("{version}1");
        }
        Change::AllDrained => zone.finish_draining(),
        Change::Nothing => {}
    }
}

/// Checks the invariants that hold after every step.
fn check_invariants(zone: &Zone, before: &Placement, vms_before: &[Candidate]) {
    assert_eq!(
        zone.placement.vms_in_two_groups(),
        Vec::<CompactString>::new()
    );
    for group in &zone.placement.groups {
        let vms = group.members.iter().chain(&group.spares);
        for vm in vms.filter_map(|name| zone.vms.iter().find(|vm| vm.name == *name)) {
            assert_eq!(vm.domain, group.domain);
        }
        let distinct: BTreeSet<&CompactString> = group.members.iter().collect();
        assert_eq!(distinct.len(), group.members.len());
        let previous = before.group(&group.name);
        let size = zone
            .catalog
            .model(&group.model)
            .map(|model| model.vms_per_replica as usize);
        assert!(previous.is_some() || size == Some(group.members.len()));
        assert!(group.spares.len() < group.members.len());
    }
    for group in &before.groups {
        let is_whole = group.members.iter().all(|name| {
            let mut vms = vms_before.iter();
            vms.any(|vm| vm.name == *name && vm.health == Health::Present)
        });
        let now = zone.placement.group(&group.name);
        let is_finished = group.state == State::Draining && zone.drained.contains(&group.name);
        if is_whole && !is_finished {
            let now = now.expect("a whole group ended with requests in flight");
            assert_eq!(now.members, group.members, "a whole group lost members");
            assert_eq!(now.generation, group.generation);
        }
        if let Some(now) = now.filter(|now| now.members != group.members) {
            assert!(now.generation > group.generation);
        }
    }
}

/// Checks that a drained group has an explained reason, and that groups do not change while all VMs
/// are healthy and the placement matches the catalogue.
fn check_reasons(zone: &Zone, before: &Placement, proposal: &Proposal) {
    for group in &proposal.placement.groups {
        let previous = before.group(&group.name);
        let was_active = previous.is_some_and(|previous| previous.state == State::Active);
        if was_active && group.state == State::Draining {
            let is_explained = proposal.decisions.iter().any(|decision| {
                let mut subjects = decision.subjects.iter();
                subjects.any(|subject| subject.name() == group.name) && !decision.cause.is_empty()
            });
            assert!(is_explained, "{} drains without a reason", group.name);
        }
    }
    let is_healthy = zone.vms.iter().all(|vm| vm.health == Health::Present);
    let is_as_wanted = zone.catalog.models.iter().all(|model| {
        let count = before
            .groups
            .iter()
            .filter(|group| group.model == model.name && group.state == State::Active)
            .filter(|group| group.version == model.version)
            .count();
        count == model.replicas as usize
    });
    if is_healthy && is_as_wanted {
        let is_wanted = |group: &&Group| {
            let model = zone.catalog.model(&group.model);
            group.state == State::Active && model.is_some_and(|m| m.version == group.version)
        };
        for group in before.groups.iter().filter(is_wanted) {
            let now = proposal.placement.group(&group.name);
            let now = now.expect("the group stands");
            assert_eq!((&now.members, now.state), (&group.members, group.state));
        }
    }
}

#[rstest]
#[case::downtime_alone(Options::for_downtime(), 1)]
#[case::both_measures(Options::for_downtime_and_stranded(), 2)]
#[case::bound_spares(Options { spares_per_group: 2, ..Options::for_downtime() }, 3)]
#[case::with_patience(Options { patience: Millis(1), ..Options::for_downtime_and_stranded() }, 4)]
fn random_sequences_keep_the_invariants(#[case] options: Options, #[case] seed: u8) {
    let config = Config {
        cases: 256,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let sequences = proptest::collection::vec(change(), 1..40);
    let outcome = runner.run(&sequences, |changes| {
        let models = vec![
            model("x", 4, 2, 9),
            model("y", 2, 3, 5),
            model("z", 1, 3, 5),
        ];
        let mut zone = Zone::new(&[9, 8, 3], models);
        zone.options = options;
        for change in &changes {
            apply(&mut zone, change);
            let before = zone.placement.clone();
            let Some(proposal) = zone.propose() else {
                continue;
            };
            check_reasons(&zone, &before, &proposal);
            prop_assert_eq!(
                zone.propose(),
                Some(proposal),
                "planning is not deterministic"
            );
            let vms_before = zone.vms.clone();
            zone.step();
            check_invariants(&zone, &before, &vms_before);
            let again = zone.propose();
            prop_assert_eq!(again, None, "planning again changed the plan");
            zone.drained.clear();
        }
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}
