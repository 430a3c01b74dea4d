//! Gives models the groups that they lack, in order of need.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use compact_str::{CompactString, format_compact};
use jackdaw_core::catalog::Model;
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::placement::{Group, State};
use jackdaw_core::units::Generation;

use super::Health;
use super::allocation::{Allocation, Kind};
use super::draft::Draft;
use super::repair;

/// Largest number of alternatives that a decision lists beside the allocation taken.
const MAX_ALTERNATIVES: usize = 4;

impl Draft<'_> {
    /// Gives every model the groups that it lacks, as far as there are VMs for them.
    pub(super) fn fill_shortfalls(&mut self) {
        for model in self.models_by_need() {
            for _ in 0..self.shortfall(model) {
                if !self.add_group(model) {
                    break;
                }
            }
        }
    }

    /// Gives a model one more group or prepares for it; returns whether something was found.
    fn add_group(&mut self, model: &Model) -> bool {
        let allocations = self.allocations(model);
        if !allocations.is_empty() {
            self.apply_best(model, &allocations, "the model lacks a group");
            return true;
        }
        self.reserve_draining(model)
            || self.reserve_surplus(model)
            || self.move_smaller_group(model)
            || self.preempt(model)
    }

    /// Applies the first of the allocations and records why it was chosen.
    pub(super) fn apply_best(&mut self, model: &Model, allocations: &[Allocation], cause: &str) {
        let allocation = &allocations[0];
        let decision = self.explain(model, allocations, cause);
        let group = match allocation.kind {
            Kind::Resume => self.resume_group(allocation),
            Kind::Repair => self.repair_group(allocation),
            Kind::Form => self.form_group(model, allocation),
        };
        for vm in &allocation.members {
            self.unbind(vm);
            self.mark_used(vm);
        }
        let mut decision = decision;
        decision
            .subjects
            .insert(0, Subject::Group(group.name.clone()));
        self.decisions.push(decision);
        if allocation.kind != Kind::Resume {
            self.placement.groups.push(group);
        }
    }

    fn resume_group(&mut self, allocation: &Allocation) -> Group {
        let index = allocation.continues.unwrap_or_default();
        let group = &mut self.placement.groups[index];
        group.state = State::Active;
        group.clone()
    }

    fn repair_group(&mut self, allocation: &Allocation) -> Group {
        let entry = &mut self.retired[allocation.continues.unwrap_or_default()];
        entry.is_used = true;
        let group = entry.group.clone();
        let lost: BTreeSet<CompactString> = group
            .members
            .iter()
            .chain(&group.spares)
            .filter(|vm| self.health(vm) != Health::Present)
            .cloned()
            .collect();
        let repaired = repair::replace_missing(self.input.placement, &group, &lost)
            .filter(|next| next.members == allocation.members && self.binds_spares());
        let mut next = repaired.unwrap_or_else(|| Group {
            generation: self.next_generation(group.generation),
            members: allocation.members.clone(),
            ..group
        });
        next.state = State::Active;
        next
    }

    fn form_group(&mut self, model: &Model, allocation: &Allocation) -> Group {
        self.placement.next_group += 1;
        Group {
            name: format_compact!("{}/{}", self.placement.zone, self.placement.next_group),
            generation: self.next_generation(Generation(0)),
            model: model.name.clone(),
            version: model.version.clone(),
            adapters: model.adapters.clone(),
            domain: allocation.domain.clone(),
            members: allocation.members.clone(),
            state: State::Active,
            spares: Vec::new(),
        }
    }

    fn next_generation(&self, current: Generation) -> Generation {
        repair::generation_after(self.input.placement, current, self.binds_spares())
    }

    fn binds_spares(&self) -> bool {
        self.context.options.spares_per_group > 0
    }

    fn explain(&self, model: &Model, allocations: &[Allocation], cause: &str) -> Decision {
        let allocation = &allocations[0];
        let taken = format_compact!("{} for {}", allocation.describe(), model.name);
        let mut decision = Decision {
            subjects: Vec::new(),
            ..Decision::new(Subject::Zone(self.placement.zone.clone()), cause, taken)
        };
        decision = decision
            .with_input("replicas wanted", model.replicas)
            .with_input("groups that stand", self.active_count(&model.name))
            .with_input("priority", model.priority)
            .with_input("VMs that load weights", allocation.loads)
            .with_input("free VMs left in the domain", allocation.tie_breaker.0)
            .with_input("members", allocation.members.join(", "));
        for index in allocation.disrupted.iter().chain(&allocation.continues) {
            if let Some(entry) = self.retired.get(*index)
                && allocation.kind != Kind::Resume
            {
                decision = decision.with_subject(Subject::Group(entry.group.name.clone()));
            }
        }
        for other in allocations.iter().skip(1).take(MAX_ALTERNATIVES) {
            let against = format_compact!(
                "{} VMs load weights, {} groups lose their chance to return, cost {} against {}",
                other.loads,
                other.disrupted.len(),
                other.cost,
                allocation.cost
            );
            decision = decision.with_alternative(other.describe(), against);
        }
        decision
    }

    /// Reserves VMs for a model in a domain where draining groups will free the rest.
    fn reserve_draining(&mut self, model: &Model) -> bool {
        let size = model.vms_per_replica as usize;
        let mut best: Option<(usize, CompactString, Vec<CompactString>)> = None;
        for domain in self.domains() {
            let mut vm_count = self.free_vms(model, domain);
            let mut groups = Vec::new();
            for group in &self.placement.groups {
                let is_draining = group.domain == *domain && group.state == State::Draining;
                if vm_count >= size || !is_draining || self.claimed.contains(&group.name) {
                    continue;
                }
                vm_count += self.usable_vms(group);
                groups.push(group.name.clone());
            }
            let is_better = best.as_ref().is_none_or(|best| groups.len() < best.0);
            if vm_count >= size && is_better {
                best = Some((groups.len(), domain.clone(), groups));
            }
        }
        let Some((_, domain, groups)) = best else {
            return false;
        };
        self.claimed.extend(groups);
        self.reserve(model, &domain);
        true
    }

    /// Reserves VMs for a model in a domain where a surplus group will be drained.
    fn reserve_surplus(&mut self, model: &Model) -> bool {
        let size = model.vms_per_replica as usize;
        let found = self.placement.groups.iter().find(|group| {
            let is_surplus = self.model(group).is_some_and(|other| {
                other.name != model.name && self.active_count(&other.name) > other.replicas as usize
            });
            is_surplus
                && group.state == State::Active
                && !self.claimed.contains(&group.name)
                && self.free_vms(model, &group.domain) + self.usable_vms(group) >= size
        });
        let Some((name, domain)) = found.map(|group| (group.name.clone(), group.domain.clone()))
        else {
            return false;
        };
        self.claimed.insert(name);
        self.reserve(model, &domain);
        true
    }

    /// Forms a copy of a smaller group in another domain, so that the group can be drained.
    fn move_smaller_group(&mut self, model: &Model) -> bool {
        let size = model.vms_per_replica as usize;
        let mut movable: Vec<(CompactString, CompactString, CompactString)> = self
            .placement
            .groups
            .iter()
            .filter(|group| group.members.len() < size && self.is_serving(group))
            .filter(|group| self.is_current(group) && group.model != model.name)
            .filter(|group| {
                self.model(group)
                    .is_some_and(|m| m.priority <= model.priority)
            })
            .filter(|group| self.free_vms(model, &group.domain) + self.usable_vms(group) >= size)
            .map(|group| {
                (
                    group.name.clone(),
                    group.model.clone(),
                    group.domain.clone(),
                )
            })
            .collect();
        // The copy with the fewest VMs loads the least.
        movable.sort_by_key(|(name, _, _)| {
            let group = self.placement.group(name);
            group.map_or(usize::MAX, |group| group.members.len())
        });
        for (name, moved, domain) in movable {
            let Some(moved) = self.input.catalog.model(&moved) else {
                continue;
            };
            let mut allocations = self.allocations(moved);
            allocations.retain(|allocation| {
                allocation.kind == Kind::Form
                    && allocation.domain != domain
                    && allocation.disrupted.is_empty()
            });
            if allocations.is_empty() {
                continue;
            }
            let cause = format_compact!("{name} moves to free {domain} for {}", model.name);
            self.apply_best(moved, &allocations, &cause);
            self.claimed.insert(name);
            self.reserve(model, &domain);
            return true;
        }
        false
    }

    /// Drains groups of lower priority in the domain where this costs least.
    fn preempt(&mut self, model: &Model) -> bool {
        if self.can_await_members(model) {
            return false;
        }
        let mut best: Option<((u32, usize, usize), Vec<usize>)> = None;
        for domain in self.domains() {
            let Some(victims) = self.victims(model, domain) else {
                continue;
            };
            let priority = victims
                .iter()
                .map(|v| self.group_priority(*v))
                .max()
                .unwrap_or(0);
            let members = |v: &usize| self.placement.groups[*v].members.len();
            let vms = victims.iter().map(members).sum();
            let key = (priority, victims.len(), vms);
            if best.as_ref().is_none_or(|best| key < best.0) {
                best = Some((key, victims));
            }
        }
        let Some((_, victims)) = best else {
            return false;
        };
        let cause = format_compact!("{} of higher priority lacks a group", model.name);
        let mut domain = CompactString::default();
        for index in victims {
            let group = &self.placement.groups[index];
            domain = group.domain.clone();
            self.claimed.insert(group.name.clone());
            self.start_drain(index, &cause, None);
        }
        self.reserve(model, &domain);
        true
    }

    /// Returns whether all groups that a model lacks wait for members that are missing for less
    /// than `preempt_after`.
    fn can_await_members(&self, model: &Model) -> bool {
        let limit = self.context.options.preempt_after;
        let waiting = self
            .retired
            .iter()
            .filter(|entry| entry.is_waiting && !entry.is_used && entry.group.model == model.name)
            .filter(|entry| {
                let mut missing = self.missing(&entry.group);
                missing.all(|vm| self.missing_for(vm) < limit)
            })
            .count();
        waiting >= self.shortfall(model)
    }

    /// Returns the groups of lower priority to drain so that a domain has enough VMs for a model.
    fn victims(&self, model: &Model, domain: &CompactString) -> Option<Vec<usize>> {
        let size = model.vms_per_replica as usize;
        let mut candidates: Vec<usize> = (0..self.placement.groups.len())
            .filter(|index| {
                let group = &self.placement.groups[*index];
                group.domain == *domain
                    && group.state == State::Active
                    && !self.claimed.contains(&group.name)
                    && self.group_priority(*index) < model.priority
            })
            .collect();
        candidates.sort_by_key(|index| {
            let group = &self.placement.groups[*index];
            (
                self.group_priority(*index),
                Reverse(group.members.len()),
                group.name.clone(),
            )
        });
        let mut vm_count = self.free_vms(model, domain) + self.draining_vms(domain);
        let mut victims = Vec::new();
        for index in candidates {
            if vm_count >= size {
                break;
            }
            vm_count += self.usable_vms(&self.placement.groups[index]);
            victims.push(index);
        }
        // A group picked early is superfluous if a larger one picked later suffices without it.
        victims.retain(|index| {
            let vms = self.usable_vms(&self.placement.groups[*index]);
            let is_needed = vm_count < size + vms;
            vm_count -= if is_needed { 0 } else { vms };
            is_needed
        });
        (vm_count >= size && !victims.is_empty()).then_some(victims)
    }

    /// Returns the number of a domain's VMs that unclaimed draining groups will free.
    fn draining_vms(&self, domain: &CompactString) -> usize {
        self.placement
            .groups
            .iter()
            .filter(|group| group.domain == *domain && group.state == State::Draining)
            .filter(|group| !self.claimed.contains(&group.name))
            .map(|group| self.usable_vms(group))
            .sum()
    }

    fn group_priority(&self, index: usize) -> u32 {
        let group = &self.placement.groups[index];
        self.model(group).map_or(0, |model| model.priority)
    }

    /// Returns the number of VMs of a domain that a model may take now.
    fn free_vms(&self, model: &Model, domain: &CompactString) -> usize {
        self.pool(model, domain, None).len()
    }

    /// Returns the number of members that can join another group once theirs has ended.
    fn usable_vms(&self, group: &Group) -> usize {
        group.members.iter().filter(|vm| self.is_usable(vm)).count()
    }

    /// Reserves the available VMs of a domain for a model, at most as many as one group needs.
    fn reserve(&mut self, model: &Model, domain: &CompactString) {
        let free = self
            .free_vms(model, domain)
            .min(model.vms_per_replica as usize);
        *self.reserved.entry(domain.clone()).or_default() += free;
    }
}
