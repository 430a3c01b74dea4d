//! Baseline policy: groups keep the slots of their VMs for good.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::{CompactString, format_compact};
use jackdaw_core::catalog::Model;
use jackdaw_core::placement::{Group, Placement, State};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Generation;
use jackdaw_policy::plan::{Candidate, Health};

use super::policy::{Policy, View};

/// Policy in which a group waits for each lost VM or for its replacement.
#[derive(Debug, Default)]
pub(crate) struct FixedAssignment {
    emptied: BTreeSet<CompactString>,
}

/// Returns the part of a VM's name that identifies its slot and that a replacement shares.
fn slot_of(vm: &str) -> &str {
    vm.split('.').next().unwrap_or(vm)
}

impl Policy for FixedAssignment {
    fn observe(&mut self, _vms: &[Candidate], _now: Instant) {}

    fn propose(&mut self, view: &View<'_>) -> Option<Placement> {
        self.emptied.extend(view.drained.iter().cloned());
        let mut next = view.placement.clone();
        let vms: BTreeMap<&str, &Candidate> =
            view.vms.iter().map(|vm| (slot_of(&vm.name), vm)).collect();
        next.groups.retain(|group| !self.is_obsolete(view, group));
        for group in &mut next.groups {
            self.update_members(view, group, &vms);
        }
        for model in &view.catalog.models {
            drain_surplus(&mut next, model);
            drain_outdated(&mut next, model, view);
            form_group(&mut next, model, view);
        }
        (next != *view.placement).then_some(next)
    }

    fn load_order(&self, view: &View<'_>) -> Vec<CompactString> {
        let groups = view.placement.groups.iter();
        groups.map(|group| group.name.clone()).collect()
    }
}

impl FixedAssignment {
    /// Returns whether a group has drained and its model has enough other groups.
    fn is_obsolete(&self, view: &View<'_>, group: &Group) -> bool {
        let wanted = view
            .catalog
            .model(&group.model)
            .map_or(0, |model| model.replicas as usize);
        let others = view
            .placement
            .groups
            .iter()
            .filter(|other| other.model == group.model && other.name != group.name)
            .count();
        self.emptied.contains(&group.name) && others >= wanted
    }

    /// Drains an active group with a leaving member, replaces lost members, and reactivates a
    /// drained group if a VM is present in each of its slots.
    fn update_members(
        &mut self,
        view: &View<'_>,
        group: &mut Group,
        vms: &BTreeMap<&str, &Candidate>,
    ) {
        let find_holder = |vm: &CompactString| vms.get(slot_of(vm)).copied();
        let mut members: Vec<CompactString> = Vec::new();
        let mut is_complete = true;
        let mut has_leaving = false;
        for vm in &group.members {
            let current = find_holder(vm);
            is_complete &= current.is_some_and(|vm| vm.health == Health::Present);
            has_leaving |= current.is_some_and(|vm| vm.health == Health::Leaving);
            members.push(current.map_or(vm.clone(), |vm| vm.name.clone()));
        }
        if group.state == State::Active && has_leaving {
            group.state = State::Draining;
            return;
        }
        let is_replaced = group.state == State::Draining
            && members
                .iter()
                .zip(&group.members)
                .any(|(new, old)| new != old);
        if is_replaced {
            self.emptied.insert(group.name.clone());
        }
        if group.state == State::Draining && !(self.emptied.contains(&group.name) && is_complete) {
            return;
        }
        let Some(model) = view.catalog.model(&group.model) else {
            return;
        };
        if group.state == State::Draining {
            group.state = State::Active;
            group.version = model.version.clone();
            self.emptied.remove(&group.name);
        }
        if members != group.members {
            group.members = members;
            group.generation = Generation(group.generation.0 + 1);
        }
    }
}

fn drain_surplus(next: &mut Placement, model: &Model) {
    let is_active = |group: &&mut Group| group.model == model.name && group.state == State::Active;
    let count = next
        .groups
        .iter()
        .filter(|group| group.model == model.name)
        .count();
    let surplus = count.saturating_sub(model.replicas as usize);
    let draining = next
        .groups
        .iter()
        .filter(|group| group.model == model.name && group.state == State::Draining)
        .count();
    let groups = next.groups.iter_mut().rev().filter(is_active);
    for group in groups.take(surplus.saturating_sub(draining)) {
        group.state = State::Draining;
    }
}

/// Drains one group of an old version if all groups of the model serve.
fn drain_outdated(next: &mut Placement, model: &Model, view: &View<'_>) {
    let not_serving = next
        .groups
        .iter()
        .filter(|group| group.model == model.name && !view.serving.contains(&group.name))
        .count();
    if not_serving > 0 {
        return;
    }
    let old = next.groups.iter_mut().find(|group| {
        group.model == model.name && group.version != model.version && group.state == State::Active
    });
    if let Some(group) = old {
        group.state = State::Draining;
    }
}

/// Forms one group of free VMs if the model has too few groups.
fn form_group(next: &mut Placement, model: &Model, view: &View<'_>) {
    let count = next
        .groups
        .iter()
        .filter(|group| group.model == model.name)
        .count();
    if count >= model.replicas as usize {
        return;
    }
    let taken: BTreeSet<CompactString> = next
        .groups
        .iter()
        .flat_map(|group| &group.members)
        .map(|vm| slot_of(vm).into())
        .collect();
    let mut free: BTreeMap<&CompactString, Vec<&CompactString>> = BTreeMap::new();
    for vm in view.vms {
        if vm.health == Health::Present && !taken.contains(slot_of(&vm.name)) {
            free.entry(&vm.domain).or_default().push(&vm.name);
        }
    }
    let size = model.vms_per_replica as usize;
    let Some((domain, vms)) = free.into_iter().find(|(_, vms)| vms.len() >= size) else {
        return;
    };
    next.next_group += 1;
    next.groups.push(Group {
        name: format_compact!("{}/{}", next.zone, next.next_group),
        generation: Generation(1),
        model: model.name.clone(),
        version: model.version.clone(),
        adapters: Vec::new(),
        domain: domain.clone(),
        members: vms.into_iter().take(size).cloned().collect(),
        state: State::Active,
        spares: Vec::new(),
    });
}
