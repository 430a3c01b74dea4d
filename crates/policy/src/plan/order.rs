//! The order in which groups load their weights from the rate-limited weight store.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use jackdaw_core::catalog::Catalog;
use jackdaw_core::placement::{Group, Placement, State};

/// Returns the groups that do not serve yet, the one to load first at the front.
///
/// Models of higher priority go first. Among equals goes the model with the smaller share of its
/// groups serving or ahead in the order, and then the group that has fewest VMs left to load.
/// `left` holds the VMs that still load by group; a group that it does not list loads on all.
#[must_use]
pub fn load_order(
    placement: &Placement,
    catalog: &Catalog,
    serving: &BTreeSet<CompactString>,
    left: &BTreeMap<CompactString, usize>,
) -> Vec<CompactString> {
    let active = || {
        placement
            .groups
            .iter()
            .filter(|group| group.state == State::Active)
    };
    let mut ahead: BTreeMap<&str, usize> = BTreeMap::new();
    for group in active().filter(|group| serving.contains(&group.name)) {
        *ahead.entry(&group.model).or_default() += 1;
    }
    let mut waiting: Vec<&Group> = active()
        .filter(|group| !serving.contains(&group.name))
        .collect();
    let mut order = Vec::with_capacity(waiting.len());
    while !waiting.is_empty() {
        let (place, _) = waiting
            .iter()
            .enumerate()
            .min_by_key(|(place, group)| {
                let model = catalog.model(&group.model);
                let priority = model.map_or(0, |model| model.priority);
                let replicas = model.map_or(1, |model| model.replicas.max(1)) as usize;
                let share = ahead.get(group.model.as_str()).copied().unwrap_or(0) * 1_000;
                let loads = left
                    .get(&group.name)
                    .copied()
                    .unwrap_or(group.members.len());
                (Reverse(priority), share / replicas, loads, *place)
            })
            .unwrap_or((0, &waiting[0]));
        let group = waiting.remove(place);
        *ahead.entry(&group.model).or_default() += 1;
        order.push(group.name.clone());
    }
    order
}
