//! A placement under change within one pass.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use jackdaw_core::catalog::Model;
use jackdaw_core::decision::Decision;
use jackdaw_core::placement::{Group, Placement, State};
use jackdaw_core::units::Millis;

use super::{Candidate, Context, Health, Input};

/// A group set aside in this pass, whose VMs may be used.
#[derive(Clone, Debug)]
pub(super) struct Retired {
    /// The group as it stood.
    pub(super) group: Group,
    /// Whether the group comes back unchanged if its VMs are not used.
    pub(super) waits: bool,
    /// Whether a VM of the group was used elsewhere or the group goes on in a new generation.
    pub(super) spent: bool,
}

/// A placement under change.
pub(super) struct Draft<'a> {
    /// What the plan depends on.
    pub(super) input: &'a Input<'a>,
    /// Options, flapping VMs and serving groups.
    pub(super) context: &'a Context<'a>,
    /// Groups that stand.
    pub(super) placement: Placement,
    /// Groups set aside in this pass.
    pub(super) retired: Vec<Retired>,
    /// VMs by name.
    pub(super) vms: BTreeMap<&'a str, &'a Candidate>,
    /// VMs that are kept for a model that waits, by fabric domain.
    pub(super) reserved: BTreeMap<CompactString, usize>,
    /// Draining groups whose VMs are promised to a model that waits.
    pub(super) promised: BTreeSet<CompactString>,
    /// Reasons for the changes.
    pub(super) decisions: Vec<Decision>,
    places: BTreeMap<CompactString, usize>,
}

impl<'a> Draft<'a> {
    /// Creates a draft that equals a placement.
    pub(super) fn new(
        input: &'a Input<'a>,
        context: &'a Context<'a>,
        placement: &Placement,
    ) -> Self {
        let places = placement
            .groups
            .iter()
            .enumerate()
            .map(|(place, group)| (group.name.clone(), place))
            .collect();
        Draft {
            input,
            context,
            placement: placement.clone(),
            retired: Vec::new(),
            vms: input.vms.iter().map(|vm| (vm.name.as_str(), vm)).collect(),
            reserved: BTreeMap::new(),
            promised: BTreeSet::new(),
            decisions: Vec::new(),
            places,
        }
    }

    /// Returns the placement, groups that stood before in their old order, with the reasons.
    pub(super) fn finish(mut self) -> (Placement, Vec<Decision>) {
        let places = &self.places;
        self.placement
            .groups
            .sort_by_key(|group| places.get(&group.name).copied().unwrap_or(usize::MAX));
        (self.placement, self.decisions)
    }

    /// Returns the health of a VM; one that is not listed is missing.
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

    /// Returns how long a VM has been missing, and the longest span for one that is not listed.
    pub(super) fn missing_for(&self, vm: &str) -> Millis {
        match self.vms.get(vm) {
            Some(vm) if vm.health == Health::Missing => self.input.now.since(vm.since),
            Some(_) => Millis(0),
            None => Millis(u64::MAX),
        }
    }

    /// Iterates over the members of a group that do not answer or have lost the group.
    pub(super) fn missing<'g>(
        &'g self,
        group: &'g Group,
    ) -> impl Iterator<Item = &'g CompactString> {
        // A VM that started anew lost the group that was in force, not one that this plan forms.
        let in_force = self.input.placement.group(&group.name);
        let is_old = in_force.is_some_and(|old| old.generation == group.generation);
        group.members.iter().filter(move |vm| {
            let health = self.health(vm);
            health == Health::Missing || is_old && health.is_lost()
        })
    }

    /// Returns whether a group serves.
    pub(super) fn is_serving(&self, group: &Group) -> bool {
        let is_whole = self.missing(group).next().is_none();
        let reported = self
            .context
            .serving
            .is_none_or(|serving| serving.contains(&group.name));
        group.state == State::Active && is_whole && reported
    }

    /// Returns whether a group is of the version that the catalogue wants.
    pub(super) fn is_current(&self, group: &Group) -> bool {
        self.model(group).is_some_and(|model| is_of(group, model))
    }

    /// Gets a group's model, if the zone serves it.
    pub(super) fn model(&self, group: &Group) -> Option<&'a Model> {
        self.input
            .catalog
            .model(&group.model)
            .filter(|model| model.is_served_in(&self.placement.zone))
    }

    /// Returns the models of the zone, the one most in need first.
    pub(super) fn models(&self) -> Vec<&'a Model> {
        let mut models: Vec<&Model> = self
            .input
            .catalog
            .models
            .iter()
            .filter(|model| model.is_served_in(&self.placement.zone))
            .collect();
        models.sort_by_cached_key(|model| {
            let share = self.active(&model.name) * 1_000 / (model.replicas.max(1) as usize);
            (Reverse(model.priority), share, model.name.clone())
        });
        models
    }

    /// Returns the number of standing groups of a model that are not draining.
    pub(super) fn active(&self, model: &str) -> usize {
        self.placement
            .groups
            .iter()
            .filter(|group| group.model == model && group.state == State::Active)
            .count()
    }

    /// Returns the number of groups that a model lacks.
    pub(super) fn short(&self, model: &Model) -> usize {
        (model.replicas as usize).saturating_sub(self.active(&model.name))
    }

    /// Returns the names of the fabric domains.
    pub(super) fn domains(&self) -> BTreeSet<&'a CompactString> {
        self.input.vms.iter().map(|vm| &vm.domain).collect()
    }

    /// Marks the groups set aside that a VM was a member of, so that none goes on without it.
    pub(super) fn spend(&mut self, vm: &str) {
        for retired in &mut self.retired {
            retired.spent |= retired.group.members.iter().any(|member| member == vm);
        }
    }

    /// Unbinds a VM from every group that it is a spare of.
    pub(super) fn unbind(&mut self, vm: &str) {
        let standing = self.placement.groups.iter_mut();
        let retired = self.retired.iter_mut().map(|retired| &mut retired.group);
        for group in standing.chain(retired) {
            group.spares.retain(|spare| spare != vm);
        }
    }
}

/// Returns whether a group is what the catalogue wants of a model.
pub(super) fn is_of(group: &Group, model: &Model) -> bool {
    group.model == model.name
        && group.version == model.version
        && group.adapters == model.adapters
        && group.members.len() == model.vms_per_replica as usize
}
