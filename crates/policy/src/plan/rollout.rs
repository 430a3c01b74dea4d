//! Drains surplus groups and rolls out new versions group by group.

use compact_str::CompactString;
use jackdaw_core::catalog::Model;
use jackdaw_core::placement::State;

use super::allocation::Kind;
use super::draft::Draft;

/// One group in this many may be out of service during a rollout, but always at least one.
const GROUPS_PER_ROLLOUT: usize = 8;

impl Draft<'_> {
    /// Drains surplus groups and takes the next step of each model's rollout.
    pub(super) fn roll_out(&mut self) {
        for model in self.models_by_need() {
            self.drain_surplus(model);
            self.roll_out_model(model);
        }
    }

    fn drain_surplus(&mut self, model: &Model) {
        let replicas = model.replicas as usize;
        while self.active_count(&model.name) > replicas && self.serving_count(model) > replicas {
            let Some(index) = self.surplus_group(model) else {
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

    /// Returns the index of the serving group to drain first: an outdated one, then one whose VMs
    /// another model waits for, then the newest.
    fn surplus_group(&self, model: &Model) -> Option<usize> {
        let groups = self.placement.groups.iter().enumerate();
        groups
            .filter(|(_, group)| group.model == model.name && self.is_serving(group))
            .min_by_key(|(index, group)| {
                let is_unclaimed = !self.claimed.contains(&group.name);
                (
                    self.is_current(group),
                    is_unclaimed,
                    std::cmp::Reverse(*index),
                )
            })
            .map(|(index, _)| index)
    }

    fn serving_count(&self, model: &Model) -> usize {
        self.placement
            .groups
            .iter()
            .filter(|group| group.model == model.name && self.is_serving(group))
            .count()
    }

    /// Takes the next step of a model's rollout: forms a new group if VMs are free for it, else
    /// drains an outdated one.
    fn roll_out_model(&mut self, model: &Model) {
        let Some(index) = self.outdated_group(model) else {
            return;
        };
        let limit = (model.replicas as usize / GROUPS_PER_ROLLOUT).max(1);
        let extra = self
            .active_count(&model.name)
            .saturating_sub(model.replicas as usize);
        if extra.max(self.changing_count(model)) >= limit {
            return;
        }
        let mut allocations = self.allocations(model);
        allocations
            .retain(|allocation| allocation.kind == Kind::Form && allocation.disrupted.is_empty());
        if !allocations.is_empty() {
            let cause = "the release note wants another version; the new group comes first";
            self.apply_best(model, &allocations, cause);
            return;
        }
        let cause = "the release note wants another version and no VMs are free for it";
        self.start_drain(index, cause, None);
    }

    /// Returns the index of the outdated group to replace next.
    fn outdated_group(&self, model: &Model) -> Option<usize> {
        self.placement.groups.iter().position(|group| {
            group.model == model.name && group.state == State::Active && !self.is_current(group)
        })
    }

    /// Returns the number of a model's groups that drain or load weights.
    fn changing_count(&self, model: &Model) -> usize {
        let groups = self.placement.groups.iter();
        groups
            .filter(|group| group.model == model.name && !self.is_serving(group))
            .filter(|group| group.state == State::Draining || self.missing(group).next().is_none())
            .count()
    }

    /// Returns the names of all VMs that are members of groups in the placement.
    pub(super) fn all_members(&self) -> std::collections::BTreeSet<CompactString> {
        let groups = self.placement.groups.iter();
        groups.flat_map(|group| group.members.clone()).collect()
    }
}
