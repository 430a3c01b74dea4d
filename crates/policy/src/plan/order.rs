//! The order in which groups load weights from the rate-limited weight store.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use jackdaw_core::catalog::Catalog;
use jackdaw_core::placement::{Group, Placement, State};

/// Returns the names of the active groups that do not serve yet, the one to load first at the
/// front.
///
/// Groups are ordered by the priority of their model, then by the share of the model's groups that
/// serve or are ordered already, lowest first, then by the number of VMs that still have to load.
/// `vms_left` gives this number by group; a group that it does not list loads on all its members.
#[must_use]
pub fn load_order(
    placement: &Placement,
    catalog: &Catalog,
    serving: &BTreeSet<CompactString>,
    vms_left: &BTreeMap<CompactString, usize>,
) -> Vec<CompactString> {
    let active = || {
        placement
            .groups
            .iter()
            .filter(|group| group.state == State::Active)
    };
    let mut group_counts: BTreeMap<&str, usize> = BTreeMap::new();
    for group in active().filter(|group| serving.contains(&group.name)) {
        *group_counts.entry(&group.model).or_default() += 1;
    }
    let mut pending: Vec<&Group> = active()
        .filter(|group| !serving.contains(&group.name))
        .collect();
    let mut order = Vec::with_capacity(pending.len());
    while !pending.is_empty() {
        let (index, _) = pending
            .iter()
            .enumerate()
            .min_by_key(|(index, group)| {
                let model = catalog.model(&group.model);
                let priority = model.map_or(0, |model| model.priority);
                let replicas = model.map_or(1, |model| model.replicas.max(1)) as usize;
                let share = group_counts.get(group.model.as_str()).copied().unwrap_or(0) * 1_000;
                let loads = vms_left
                    .get(&group.name)
                    .copied()
                    .unwrap_or(group.members.len());
                (Reverse(priority), share / replicas, loads, *index)
            })
            .unwrap_or((0, &pending[0]));
        let group = pending.remove(index);
        *group_counts.entry(&group.model).or_default() += 1;
        order.push(group.name.clone());
    }
    order
}
