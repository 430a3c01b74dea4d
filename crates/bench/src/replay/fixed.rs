//! The baseline: groups keep the places of their VMs for good.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::{CompactString, format_compact};
use jackdaw_core::catalog::Model;
use jackdaw_core::placement::{Group, Placement, State};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Generation;
use jackdaw_policy::plan::{Candidate, Health};

use super::policy::{Policy, View};

/// Waits for each lost VM or for the VM that takes its place.
#[derive(Debug, Default)]
pub(crate) struct Fixed {
    idle: BTreeSet<CompactString>,
}

/// Returns the part of a VM's name that its replacement takes over.
fn slot(vm: &str) -> &str {
    vm.split('.').next().unwrap_or(vm)
}

impl Policy for Fixed {
    fn observe(&mut self, _vms: &[Candidate], _now: Instant) {}

    fn propose(&mut self, view: &View<'_>) -> Option<Placement> {
        self.idle.extend(view.drained.iter().cloned());
        let mut next = view.placement.clone();
        let vms: BTreeMap<&str, &Candidate> =
            view.vms.iter().map(|vm| (slot(&vm.name), vm)).collect();
        next.groups.retain(|group| !self.is_over(view, group));
        for group in &mut next.groups {
            self.restart(view, group, &vms);
        }
        for model in &view.catalog.models {
            drain_surplus(&mut next, model);
            roll(&mut next, model, view);
            form(&mut next, model, view);
        }
        (next != *view.placement).then_some(next)
    }

    fn load_order(&self, view: &View<'_>) -> Vec<CompactString> {
        let groups = view.placement.groups.iter();
        groups.map(|group| group.name.clone()).collect()
    }
}

impl Fixed {
    /// Returns whether a group has drained and is wanted no longer.
    fn is_over(&self, view: &View<'_>, group: &Group) -> bool {
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
        self.idle.contains(&group.name) && others >= wanted
    }

    /// Puts replacements into a group and lets it serve again if all of its places are held.
    fn restart(&mut self, view: &View<'_>, group: &mut Group, vms: &BTreeMap<&str, &Candidate>) {
        let holder = |vm: &CompactString| vms.get(slot(vm)).copied();
        let mut members: Vec<CompactString> = Vec::new();
        let mut is_held = true;
        let mut is_leaving = false;
        for vm in &group.members {
            let found = holder(vm);
            is_held &= found.is_some_and(|vm| vm.health == Health::Present);
            is_leaving |= found.is_some_and(|vm| vm.health == Health::Leaving);
            members.push(found.map_or(vm.clone(), |vm| vm.name.clone()));
        }
        if group.state == State::Active && is_leaving {
            group.state = State::Draining;
            return;
        }
        let is_lost = group.state == State::Draining
            && members
                .iter()
                .zip(&group.members)
                .any(|(now, then)| now != then);
        if is_lost {
            self.idle.insert(group.name.clone());
        }
        if group.state == State::Draining && !(self.idle.contains(&group.name) && is_held) {
            return;
        }
        let Some(model) = view.catalog.model(&group.model) else {
            return;
        };
        if group.state == State::Draining {
            group.state = State::Active;
            group.version = model.version.clone();
            self.idle.remove(&group.name);
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

/// Drains one old-version group if all others of its model serve.
fn roll(next: &mut Placement, model: &Model, view: &View<'_>) {
    let in_change = next
        .groups
        .iter()
        .filter(|group| group.model == model.name && !view.serving.contains(&group.name))
        .count();
    if in_change > 0 {
        return;
    }
    let old = next.groups.iter_mut().find(|group| {
        group.model == model.name && group.version != model.version && group.state == State::Active
    });
    if let Some(group) = old {
        group.state = State::Draining;
    }
}

/// Forms a group of VMs that no group has, for a model that wants more.
fn form(next: &mut Placement, model: &Model, view: &View<'_>) {
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
        .map(|vm| slot(vm).into())
        .collect();
    let mut free: BTreeMap<&CompactString, Vec<&CompactString>> = BTreeMap::new();
    for vm in view.vms {
        if vm.health == Health::Present && !taken.contains(slot(&vm.name)) {
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
