//! Drains surplus groups and replaces old versions group by group.

use compact_str::CompactString;
use jackdaw_core::catalog::Model;
use jackdaw_core::placement::State;

use super::draft::Draft;
use super::way::Kind;

/// One group in so many may be out of service for a change of version.
const GROUPS_PER_ROLL: usize = 8;

impl Draft<'_> {
    /// Drains surplus groups and takes the next step of each change of version.
    pub(super) fn roll(&mut self) {
        for model in self.models() {
            self.drain_surplus(model);
            self.roll_model(model);
        }
    }

    fn drain_surplus(&mut self, model: &Model) {
        let replicas = model.replicas as usize;
        while self.active(&model.name) > replicas && self.serving(model) > replicas {
            let Some(index) = self.surplus(model) else {
                return;
            };
            let is_current = self.is_current(&self.placement.groups[index]);
            let cause = if is_current {
                "the model has more groups than the release note wants"
            } else {
                "the release note wants another version, which serves already"
            };
            self.start_drain(index, cause, None);
        }
    }

    /// Returns the group that is missed least: an old version, then one whose domain is wanted, then
    /// the newest.
    fn surplus(&self, model: &Model) -> Option<usize> {
        let groups = self.placement.groups.iter().enumerate();
        groups
            .filter(|(_, group)| group.model == model.name && self.is_serving(group))
            .min_by_key(|(index, group)| {
                let is_kept = !self.promised.contains(&group.name);
                (self.is_current(group), is_kept, std::cmp::Reverse(*index))
            })
            .map(|(index, _)| index)
    }

    fn serving(&self, model: &Model) -> usize {
        self.placement
            .groups
            .iter()
            .filter(|group| group.model == model.name && self.is_serving(group))
            .count()
    }

    fn roll_model(&mut self, model: &Model) {
        let Some(index) = self.old_group(model) else {
            return;
        };
        let limit = (model.replicas as usize / GROUPS_PER_ROLL).max(1);
        let extra = self
            .active(&model.name)
            .saturating_sub(model.replicas as usize);
        if extra.max(self.in_change(model)) >= limit {
            return;
        }
        let mut ways = self.ways(model);
        ways.retain(|way| way.kind == Kind::Form && way.spoils.is_empty());
        if !ways.is_empty() {
            let cause = "the release note wants another version; the new group comes first";
            self.take_way(model, &ways, cause);
            return;
        }
        let cause = "the release note wants another version and no VMs are free for it";
        self.start_drain(index, cause, None);
    }

    /// Returns the old-version group to replace next.
    fn old_group(&self, model: &Model) -> Option<usize> {
        self.placement.groups.iter().position(|group| {
            group.model == model.name && group.state == State::Active && !self.is_current(group)
        })
    }

    /// Returns the number of a model's groups that drain or load.
    fn in_change(&self, model: &Model) -> usize {
        let groups = self.placement.groups.iter();
        groups
            .filter(|group| group.model == model.name && !self.is_serving(group))
            .filter(|group| group.state == State::Draining || self.missing(group).next().is_none())
            .count()
    }

    /// Returns the names of all VMs that are members of standing groups.
    pub(super) fn members(&self) -> std::collections::BTreeSet<CompactString> {
        let groups = self.placement.groups.iter();
        groups.flat_map(|group| group.members.clone()).collect()
    }
}
