//! Finds draining groups that have nothing in flight.

use std::collections::BTreeMap;

use compact_str::CompactString;
use jackdaw_core::placement::{Group, Placement};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use super::{Round, is_active};

/// Since when each draining group is known to drain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Drains {
    since: BTreeMap<CompactString, Instant>,
}

impl Drains {
    /// Takes note of groups that begin to drain and forgets those that are gone.
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

    /// Returns the draining groups of which every member reports that nothing is in flight, asked
    /// after all nodes had time to learn that the group drains.
    pub(super) fn drained(
        &self,
        placement: &Placement,
        round: &Round<'_>,
        settle: Millis,
    ) -> Vec<CompactString> {
        let idle = |group: &&Group| {
            let Some(since) = self.since.get(&group.name) else {
                return false;
            };
            group
                .members
                .iter()
                .all(|vm| is_idle(vm, group, round, *since + settle))
        };
        placement
            .groups
            .iter()
            .filter(idle)
            .map(|group| group.name.clone())
            .collect()
    }
}

/// Returns whether a member reported after a time that it has nothing in flight for its group.
fn is_idle(vm: &str, group: &Group, round: &Round<'_>, after: Instant) -> bool {
    let Some(seen) = round.table.fresh_observation(vm, round.now) else {
        return false;
    };
    if seen.sent < after {
        return false;
    }
    let report = &seen.report;
    let holds = report
        .membership
        .as_ref()
        .is_some_and(|membership| membership.group == group.name);
    !holds || (report.load.running == 0 && report.load.waiting == 0)
}
