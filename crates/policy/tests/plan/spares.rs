//! Tests of repairs with spares that were bound in advance.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use jackdaw_core::placement::{Group, Placement};
use jackdaw_core::units::Generation;
use jackdaw_policy::plan::{Health, repair};

use crate::zone::{NOW, Zone, model};

/// Returns every subset of a list of VMs.
fn subsets(vms: &[CompactString]) -> impl Iterator<Item = BTreeSet<CompactString>> {
    (0..1_u32 << vms.len()).map(move |mask| {
        let is_chosen = |index: &usize| mask & (1 << index) != 0;
        (0..vms.len())
            .filter(is_chosen)
            .map(|index| vms[index].clone())
            .collect()
    })
}

/// Returns the group as committed and after each repair that a node may compute for it.
fn possible_groups(placement: &Placement, group: &Group) -> Vec<Group> {
    let vms: Vec<CompactString> = group.members.iter().chain(&group.spares).cloned().collect();
    let replace = |missing| repair::replace_missing(placement, group, &missing);
    std::iter::once(group.clone())
        .chain(subsets(&vms).filter_map(replace))
        .collect()
}

/// Nodes may differ in which VMs they take to be missing, and one may still use the placement
/// before the last. Their repairs must agree on each generation's members and never share a VM
/// between groups.
#[test]
fn repair_puts_no_vm_in_two_groups() {
    let mut zone = Zone::new(&[8, 7], vec![model("m", 3, 4, 1)]);
    zone.options.spares_per_group = 2;
    zone.step();
    let before = zone.placement.clone();
    zone.set_health("a6", Health::Leaving, NOW);
    zone.set_health("b0", Health::Missing, NOW);
    assert!(zone.step());
    let after = zone.placement.clone();
    assert_ne!(before.groups, after.groups);
    let mut lists: BTreeMap<(CompactString, Generation), Vec<CompactString>> = BTreeMap::new();
    for placement in [&before, &after] {
        let mut owner: BTreeMap<CompactString, CompactString> = BTreeMap::new();
        for group in &placement.groups {
            let all = possible_groups(placement, group);
            for view in &all {
                // A generation has the same members whichever node computes it.
                let key = (view.name.clone(), view.generation);
                let listed = lists.entry(key).or_insert_with(|| view.members.clone());
                assert_eq!(*listed, view.members);
                // Under one placement a VM is a member of one group only, whichever VMs are
                // missing.
                for vm in &view.members {
                    let listed = owner.entry(vm.clone()).or_insert_with(|| view.name.clone());
                    assert_eq!(*listed, view.name);
                }
                // Two member lists of a group share a VM, so at most one of them can be whole.
                for other in &all {
                    assert!(view.members.iter().any(|vm| other.members.contains(vm)));
                }
                assert_eq!(view.members.len(), group.members.len());
            }
        }
    }
    assert!(lists.len() > 8, "{} generations", lists.len());
}

#[test]
fn leader_repairs_a_group_as_a_cut_off_zone_does() {
    let mut zone = Zone::new(&[5], vec![model("m", 4, 1, 1)]);
    zone.options.spares_per_group = 1;
    zone.step();
    let group = zone.placement.groups[0].clone();
    assert_eq!(group.spares, ["a4"]);
    let repaired = repair::replace_missing(&zone.placement, &group, &BTreeSet::from(["a2".into()]));
    zone.set_health("a2", Health::Missing, NOW);
    zone.step();
    assert_eq!(Some(zone.placement.groups[0].clone()), repaired);
}
