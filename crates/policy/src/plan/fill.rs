//! Gives models the groups that they lack, the model most in need first.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use compact_str::{CompactString, format_compact};
use jackdaw_core::catalog::Model;
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::placement::{Group, State};
use jackdaw_core::units::Generation;

use super::Health;
use super::draft::Draft;
use super::repair;
use super::way::{Kind, Way};

/// Ways that an explanation lists besides the one taken.
const WAYS_EXPLAINED: usize = 4;

impl Draft<'_> {
    /// Gives every model the groups that it lacks, as far as VMs allow.
    pub(super) fn fill(&mut self) {
        for model in self.models() {
            for _ in 0..self.short(model) {
                if !self.fill_one(model) {
                    break;
                }
            }
        }
    }

    fn fill_one(&mut self, model: &Model) -> bool {
        let ways = self.ways(model);
        if !ways.is_empty() {
            self.take_way(model, &ways, "the model lacks a group");
            return true;
        }
        self.await_drained(model)
            || self.await_surplus(model)
            || self.move_smaller(model)
            || self.preempt(model)
    }

    /// Carries out the first of the ways.
    pub(super) fn take_way(&mut self, model: &Model, ways: &[Way], cause: &str) {
        let way = &ways[0];
        let decision = self.explain(model, ways, cause);
        let group = match way.kind {
            Kind::Resume => self.resume(way),
            Kind::Complete => self.complete(way),
            Kind::Form => self.form(model, way),
        };
        for vm in &way.members {
            self.unbind(vm);
            self.spend(vm);
        }
        let mut decision = decision;
        decision
            .subjects
            .insert(0, Subject::Group(group.name.clone()));
        self.decisions.push(decision);
        if way.kind != Kind::Resume {
            self.placement.groups.push(group);
        }
    }

    fn resume(&mut self, way: &Way) -> Group {
        let index = way.continues.unwrap_or_default();
        let group = &mut self.placement.groups[index];
        group.state = State::Active;
        group.clone()
    }

    fn complete(&mut self, way: &Way) -> Group {
        let entry = &mut self.retired[way.continues.unwrap_or_default()];
        entry.spent = true;
        let group = entry.group.clone();
        let lost: BTreeSet<CompactString> = group
            .members
            .iter()
            .chain(&group.spares)
            .filter(|vm| self.health(vm) != Health::Present)
            .cloned()
            .collect();
        let bound = repair::replace_missing(self.input.placement, &group, &lost)
            .filter(|next| next.members == way.members && self.binds_spares());
        let mut next = bound.unwrap_or_else(|| Group {
            generation: self.next_generation(group.generation),
            members: way.members.clone(),
            ..group
        });
        next.state = State::Active;
        next
    }

    fn form(&mut self, model: &Model, way: &Way) -> Group {
        self.placement.next_group += 1;
        Group {
            name: format_compact!("{}/{}", self.placement.zone, self.placement.next_group),
            generation: self.next_generation(Generation(0)),
            model: model.name.clone(),
            version: model.version.clone(),
            adapters: model.adapters.clone(),
            domain: way.domain.clone(),
            members: way.members.clone(),
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

    fn explain(&self, model: &Model, ways: &[Way], cause: &str) -> Decision {
        let way = &ways[0];
        let taken = format_compact!("{} for {}", way.phrase(), model.name);
        let mut decision = Decision {
            subjects: Vec::new(),
            ..Decision::new(Subject::Zone(self.placement.zone.clone()), cause, taken)
        };
        decision = decision
            .with_input("replicas wanted", model.replicas)
            .with_input("groups that stand", self.active(&model.name))
            .with_input("priority", model.priority)
            .with_input("VMs that load weights", way.loads)
            .with_input("free VMs left in the domain", way.tie.0)
            .with_input("members", way.members.join(", "));
        for index in way.spoils.iter().chain(&way.continues) {
            if let Some(entry) = self.retired.get(*index)
                && way.kind != Kind::Resume
            {
                decision = decision.with_subject(Subject::Group(entry.group.name.clone()));
            }
        }
        for other in ways.iter().skip(1).take(WAYS_EXPLAINED) {
            let against = format_compact!(
                "{} VMs load weights, {} groups lose their chance to return, cost {} against {}",
                other.loads,
                other.spoils.len(),
                other.cost,
                way.cost
            );
            decision = decision.with_alternative(other.phrase(), against);
        }
        decision
    }

    /// Keeps VMs for a model in a domain where draining groups will free the rest.
    fn await_drained(&mut self, model: &Model) -> bool {
        let size = model.vms_per_replica as usize;
        let mut best: Option<(usize, CompactString, Vec<CompactString>)> = None;
        for domain in self.domains() {
            let mut have = self.free(model, domain);
            let mut groups = Vec::new();
            for group in &self.placement.groups {
                let is_open = group.domain == *domain && group.state == State::Draining;
                if have >= size || !is_open || self.promised.contains(&group.name) {
                    continue;
                }
                have += self.staying(group);
                groups.push(group.name.clone());
            }
            let is_better = best.as_ref().is_none_or(|best| groups.len() < best.0);
            if have >= size && is_better {
                best = Some((groups.len(), domain.clone(), groups));
            }
        }
        let Some((_, domain, groups)) = best else {
            return false;
        };
        self.promised.extend(groups);
        self.reserve(model, &domain);
        true
    }

    /// Keeps VMs for a model in a domain where a surplus group will be drained.
    fn await_surplus(&mut self, model: &Model) -> bool {
        let size = model.vms_per_replica as usize;
        let found = self.placement.groups.iter().find(|group| {
            let is_surplus = self.model(group).is_some_and(|other| {
                other.name != model.name && self.active(&other.name) > other.replicas as usize
            });
            is_surplus
                && group.state == State::Active
                && !self.promised.contains(&group.name)
                && self.free(model, &group.domain) + self.staying(group) >= size
        });
        let Some((name, domain)) = found.map(|group| (group.name.clone(), group.domain.clone()))
        else {
            return false;
        };
        self.promised.insert(name);
        self.reserve(model, &domain);
        true
    }

    /// Forms a copy of a smaller model's group elsewhere, so that its domain can be freed.
    fn move_smaller(&mut self, model: &Model) -> bool {
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
            .filter(|group| self.free(model, &group.domain) + self.staying(group) >= size)
            .map(|group| {
                (
                    group.name.clone(),
                    group.model.clone(),
                    group.domain.clone(),
                )
            })
            .collect();
        // The fewest VMs that load make the cheapest move.
        movable.sort_by_key(|(name, _, _)| {
            let group = self.placement.group(name);
            group.map_or(usize::MAX, |group| group.members.len())
        });
        for (name, other, domain) in movable {
            let Some(other) = self.input.catalog.model(&other) else {
                continue;
            };
            let mut ways = self.ways(other);
            ways.retain(|way| {
                way.kind == Kind::Form && way.domain != domain && way.spoils.is_empty()
            });
            if ways.is_empty() {
                continue;
            }
            let cause = format_compact!("{name} moves to free {domain} for {}", model.name);
            self.take_way(other, &ways, &cause);
            self.promised.insert(name);
            self.reserve(model, &domain);
            return true;
        }
        false
    }

    /// Drains groups of lower priority to free a domain.
    fn preempt(&mut self, model: &Model) -> bool {
        if self.may_return(model) {
            return false;
        }
        let mut best: Option<((u32, usize, usize), Vec<usize>)> = None;
        for domain in self.domains() {
            let Some(victims) = self.victims(model, domain) else {
                continue;
            };
            let priority = victims.iter().map(|v| self.priority(*v)).max().unwrap_or(0);
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
            self.promised.insert(group.name.clone());
            self.start_drain(index, &cause, None);
        }
        self.reserve(model, &domain);
        true
    }

    /// Returns whether enough of a model's groups wait for members that went missing just now.
    fn may_return(&self, model: &Model) -> bool {
        let limit = self.context.options.preempt_after;
        let waiting = self
            .retired
            .iter()
            .filter(|entry| entry.waits && !entry.spent && entry.group.model == model.name)
            .filter(|entry| {
                let mut missing = self.missing(&entry.group);
                missing.all(|vm| self.missing_for(vm) < limit)
            })
            .count();
        waiting >= self.short(model)
    }

    /// Returns the fewest groups of lower priority whose VMs make a domain large enough.
    fn victims(&self, model: &Model, domain: &CompactString) -> Option<Vec<usize>> {
        let size = model.vms_per_replica as usize;
        let mut open: Vec<usize> = (0..self.placement.groups.len())
            .filter(|index| {
                let group = &self.placement.groups[*index];
                group.domain == *domain
                    && group.state == State::Active
                    && !self.promised.contains(&group.name)
                    && self.priority(*index) < model.priority
            })
            .collect();
        open.sort_by_key(|index| {
            let group = &self.placement.groups[*index];
            (
                self.priority(*index),
                Reverse(group.members.len()),
                group.name.clone(),
            )
        });
        let mut have = self.free(model, domain) + self.coming_free(domain);
        let mut victims = Vec::new();
        for index in open {
            if have >= size {
                break;
            }
            have += self.staying(&self.placement.groups[index]);
            victims.push(index);
        }
        // A group taken early may not be needed after a larger one was added.
        victims.retain(|index| {
            let vms = self.staying(&self.placement.groups[*index]);
            let is_needed = have < size + vms;
            have -= if is_needed { 0 } else { vms };
            is_needed
        });
        (have >= size && !victims.is_empty()).then_some(victims)
    }

    /// Returns the number of a domain's VMs that draining groups will free for nobody else.
    fn coming_free(&self, domain: &CompactString) -> usize {
        self.placement
            .groups
            .iter()
            .filter(|group| group.domain == *domain && group.state == State::Draining)
            .filter(|group| !self.promised.contains(&group.name))
            .map(|group| self.staying(group))
            .sum()
    }

    fn priority(&self, index: usize) -> u32 {
        let group = &self.placement.groups[index];
        self.model(group).map_or(0, |model| model.priority)
    }

    /// Returns the number of VMs of a domain that a model may take now.
    fn free(&self, model: &Model, domain: &CompactString) -> usize {
        self.pool(model, domain, None).len()
    }

    /// Returns the number of members that stay once their group has ended.
    fn staying(&self, group: &Group) -> usize {
        group.members.iter().filter(|vm| self.is_usable(vm)).count()
    }

    fn reserve(&mut self, model: &Model, domain: &CompactString) {
        let free = self.free(model, domain).min(model.vms_per_replica as usize);
        *self.reserved.entry(domain.clone()).or_default() += free;
    }
}
