//! Spares that are bound beforehand.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use jackdaw_core::placement::{Group, Placement};
use jackdaw_core::units::Generation;
use jackdaw_policy::plan::{Health, repair};

use crate::zone::{NOW, Zone, model};

/// Returns every subset of a list of VMs.
fn subsets(vms: &[CompactString]) -> impl Iterator<Item = BTreeSet<CompactString>> {
    (0..1_u32 << vms.len()).map(move |mask| {
        let is_in = |place: &usize| mask & (1 << place) != 0;
        (0..vms.len())
            .filter(is_in)
            .map(|place| vms[place].clone())
            .collect()
    })
}

/// Returns all that nodes may believe about a group under one committed placement.
fn views(placement: &Placement, group: &Group) -> Vec<Group> {
    let family: Vec<CompactString> = group.members.iter().chain(&group.spares).cloned().collect();
    let complete = |missing| repair::replace_missing(placement, group, &missing);
    std::iter::once(group.clone())
        .chain(subsets(&family).filter_map(complete))
        .collect()
}

/// Every belief about missing VMs, under placements before and after spares were bound anew.
#[test]
fn no_view_of_bound_spares_puts_a_vm_in_two_groups() {
    let mut zone = Zone::new(&[8, 7], vec![model("m", 3, 4, 1)]);
    zone.options.spares_per_group = 2;
    zone.step();
    let before = zone.placement.clone();
    zone.set("a6", Health::Leaving, NOW);
    zone.set("b0", Health::Missing, NOW);
    assert!(zone.step());
    let after = zone.placement.clone();
    assert_ne!(before.groups, after.groups);
    let mut named: BTreeMap<(CompactString, Generation), Vec<CompactString>> = BTreeMap::new();
    for placement in [&before, &after] {
        let mut owner: BTreeMap<CompactString, CompactString> = BTreeMap::new();
        for group in &placement.groups {
            let all = views(placement, group);
            for view in &all {
                // A generation names one list of members, whoever computes it.
                let key = (view.name.clone(), view.generation);
                let known = named.entry(key).or_insert_with(|| view.members.clone());
                assert_eq!(*known, view.members);
                // Whatever any node believes, a VM is named for one group only.
                for vm in &view.members {
                    let known = owner.entry(vm.clone()).or_insert_with(|| view.name.clone());
                    assert_eq!(*known, view.name);
                }
                // Two member lists of a group share a VM, so at most one of them is whole.
                for other in &all {
                    assert!(view.members.iter().any(|vm| other.members.contains(vm)));
                }
                assert_eq!(view.members.len(), group.members.len());
            }
        }
    }
    assert!(named.len() > 8, "{} generations", named.len());
}

#[test]
fn leader_adopts_what_a_cut_off_zone_completed() {
    let mut zone = Zone::new(&[5], vec![model("m", 4, 1, 1)]);
    zone.options.spares_per_group = 1;
    zone.step();
    let group = zone.placement.groups[0].clone();
    assert_eq!(group.spares, ["a4"]);
    let completed =
        repair::replace_missing(&zone.placement, &group, &BTreeSet::from(["a2".into()]));
    zone.set("a2", Health::Missing, NOW);
    zone.step();
    assert_eq!(Some(zone.placement.groups[0].clone()), completed);
}
