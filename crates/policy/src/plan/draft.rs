//! The working copy of a placement within one pass of the planner.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use jackdaw_core::catalog::Model;
use jackdaw_core::decision::Decision;
use jackdaw_core::placement::{Group, Placement, State};
use jackdaw_core::units::Millis;

use super::{Candidate, Context, Health, Input};

/// A group taken out of the placement in this pass; its VMs may join other groups.
#[derive(Clone, Debug)]
pub(super) struct Retired {
    /// Group before it was taken out.
    pub(super) group: Group,
    /// Whether the group is restored unchanged at the end of the pass if none of its VMs is used.
    pub(super) is_waiting: bool,
    /// Whether a VM of the group was used elsewhere or the group continues in a new generation.
    pub(super) is_used: bool,
}

/// A placement that is being changed.
pub(super) struct Draft<'a> {
    /// What the plan depends on.
    pub(super) input: &'a Input<'a>,
    /// Options, flapping VMs and serving groups.
    pub(super) context: &'a Context<'a>,
    /// Placement without the retired groups.
    pub(super) placement: Placement,
    /// Groups taken out in this pass.
    pub(super) retired: Vec<Retired>,
    /// VMs by name.
    pub(super) vms: BTreeMap<&'a str, &'a Candidate>,
    /// Number of VMs reserved for models that wait for more VMs, by fabric domain.
    pub(super) reserved: BTreeMap<CompactString, usize>,
    /// Groups that drain or will be drained and whose VMs are meant for a model that waits for
    /// them.
    pub(super) claimed: BTreeSet<CompactString>,
    /// Reasons for the changes.
    pub(super) decisions: Vec<Decision>,
    positions: BTreeMap<CompactString, usize>,
}

impl<'a> Draft<'a> {
    /// Creates a draft that equals a placement.
    pub(super) fn new(
        input: &'a Input<'a>,
        context: &'a Context<'a>,
        placement: &Placement,
    ) -> Self {
        let positions = placement
            .groups
            .iter()
            .enumerate()
            .map(|(position, group)| (group.name.clone(), position))
            .collect();
        Draft {
            input,
            context,
            placement: placement.clone(),
            retired: Vec::new(),
            vms: input.vms.iter().map(|vm| (vm.name.as_str(), vm)).collect(),
            reserved: BTreeMap::new(),
            claimed: BTreeSet::new(),
            decisions: Vec::new(),
            positions,
        }
    }

    /// Returns the placement with the reasons for its changes; groups that are not new keep their
    /// order.
    pub(super) fn finish(mut self) -> (Placement, Vec<Decision>) {
        let positions = &self.positions;
        self.placement
            .groups
            .sort_by_key(|group| positions.get(&group.name).copied().unwrap_or(usize::MAX));
        (self.placement, self.decisions)
    }

    /// Returns the health of a VM; a VM that is not listed counts as missing.
    pub(super) fn health(&self, vm: &str) -> Health {
        self.vms.get(vm).map_or(Health::Missing, |vm| vm.health)
    }

    /// Returns whether a VM may join a group now.
    pub(super) fn is_usable(&self, vm: &str) -> bool {
        let Some(vm) = self.vms.get(vm) else {
            return false;
        };
        match self.context.flaps {
            Some(flaps) => flaps.is_settled(vm, self.input.now),
            None => vm.health.is_usable(),
        }
    }

    /// Returns how long a VM has been missing; `u64::MAX` for a VM that is not listed.
    pub(super) fn missing_for(&self, vm: &str) -> Millis {
        match self.vms.get(vm) {
            Some(vm) if vm.health == Health::Missing => self.input.now.since(vm.since),
            Some(_) => Millis(0),
            None => Millis(u64::MAX),
        }
    }

    /// Iterates over the members of a group that do not answer or restarted and so lost the group.
    pub(super) fn missing<'g>(
        &'g self,
        group: &'g Group,
    ) -> impl Iterator<Item = &'g CompactString> {
        // A restarted VM lost the group as it is in force, not a generation formed in this plan.
        let in_force = self.input.placement.group(&group.name);
        let is_in_force = in_force.is_some_and(|old| old.generation == group.generation);
        group.members.iter().filter(move |vm| {
            let health = self.health(vm);
            health == Health::Missing || is_in_force && health.is_lost()
        })
    }

    /// Returns whether a group serves.
    pub(super) fn is_serving(&self, group: &Group) -> bool {
        let is_whole = self.missing(group).next().is_none();
        let is_reported = self
            .context
            .serving
            .is_none_or(|serving| serving.contains(&group.name));
        group.state == State::Active && is_whole && is_reported
    }

    /// Returns whether a group matches its model in the catalogue in force.
    pub(super) fn is_current(&self, group: &Group) -> bool {
        self.model(group)
            .is_some_and(|model| is_instance_of(group, model))
    }

    /// Gets a group's model, if the zone is to serve it.
    pub(super) fn model(&self, group: &Group) -> Option<&'a Model> {
        self.input
            .catalog
            .model(&group.model)
            .filter(|model| model.is_served_in(&self.placement.zone))
    }

    /// Returns the models of the zone: those of higher priority first, then those with the smaller
    /// share of their groups.
    pub(super) fn models_by_need(&self) -> Vec<&'a Model> {
        let mut models: Vec<&Model> = self
            .input
            .catalog
            .models
            .iter()
            .filter(|model| model.is_served_in(&self.placement.zone))
            .collect();
        models.sort_by_cached_key(|model| {
            let share = self.active_count(&model.name) * 1_000 / (model.replicas.max(1) as usize);
            (Reverse(model.priority), share, model.name.clone())
        });
        models
    }

    /// Returns the number of a model's groups in the placement that are not draining.
    pub(super) fn active_count(&self, model: &str) -> usize {
        self.placement
            .groups
            .iter()
            .filter(|group| group.model == model && group.state == State::Active)
            .count()
    }

    /// Returns the number of groups that a model lacks.
    pub(super) fn shortfall(&self, model: &Model) -> usize {
        (model.replicas as usize).saturating_sub(self.active_count(&model.name))
    }

    /// Returns the names of all fabric domains.
    pub(super) fn domains(&self) -> BTreeSet<&'a CompactString> {
        self.input.vms.iter().map(|vm| &vm.domain).collect()
    }

    /// Marks the retired groups that a VM was a member of, so that none is restored without it.
    pub(super) fn mark_used(&mut self, vm: &str) {
        for retired in &mut self.retired {
            retired.is_used |= retired.group.members.iter().any(|member| member == vm);
        }
    }

    /// Removes a VM from the spares of every group.
    pub(super) fn unbind(&mut self, vm: &str) {
        let placed = self.placement.groups.iter_mut();
        let retired = self.retired.iter_mut().map(|retired| &mut retired.group);
        for group in placed.chain(retired) {
            group.spares.retain(|spare| spare != vm);
        }
    }
}

/// Returns whether a group has the version, the adapters and the size of a model.
pub(super) fn is_instance_of(group: &Group, model: &Model) -> bool {
    group.model == model.name
        && group.version == model.version
        && group.adapters == model.adapters
        && group.members.len() == model.vms_per_replica as usize
}
