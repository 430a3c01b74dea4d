//! Finds draining groups that have nothing in flight.

use std::collections::BTreeMap;

use compact_str::CompactString;
use jackdaw_core::placement::{Group, Placement};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use super::{Round, is_active};

/// Times since when groups are known to drain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Drains {
    since: BTreeMap<CompactString, Instant>,
}

impl Drains {
    /// Records groups that begin to drain and forgets those that no longer drain.
    pub(super) fn update(&mut self, placement: &Placement, now: Instant) {
        let draining = |name: &CompactString| {
            placement
                .group(name)
                .is_some_and(|group| !is_active(group.state))
        };
        self.since.retain(|name, _| draining(name));
        for group in placement
            .groups
            .iter()
            .filter(|group| !is_active(group.state))
        {
            self.since.entry(group.name.clone()).or_insert(now);
        }
    }

    /// Returns the draining groups whose members all report that nothing is in flight.
    ///
    /// A report counts only if it was asked for at least `propagation` after the group began to
    /// drain, when every node has learned of it.
    pub(super) fn drained(
        &self,
        placement: &Placement,
        round: &Round<'_>,
        propagation: Millis,
    ) -> Vec<CompactString> {
        let idle = |group: &&Group| {
            let Some(since) = self.since.get(&group.name) else {
                return false;
            };
            group
                .members
                .iter()
                .all(|vm| is_idle(vm, group, round, *since + propagation))
        };
        placement
            .groups
            .iter()
            .filter(idle)
            .map(|group| group.name.clone())
            .collect()
    }
}

/// Returns whether a member's report asked for at or after a time shows nothing in flight for its
/// group.
fn is_idle(vm: &str, group: &Group, round: &Round<'_>, after: Instant) -> bool {
    let Some(observation) = round.table.fresh_observation(vm, round.now) else {
        return false;
    };
    if observation.sent < after {
        return false;
    }
    let report = &observation.report;
    let is_member = report
        .membership
        .as_ref()
        .is_some_and(|membership| membership.group == group.name);
    !is_member || (report.load.running == 0 && report.load.waiting == 0)
}
