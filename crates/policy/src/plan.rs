//! Plans which VMs of which fabric domain form which replica group.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::{CompactString, format_compact};
use jackdaw_core::catalog::{Catalog, Model};
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::placement::{Group, Placement, State};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Generation;

/// What the planner knows about a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The VM answers and stays.
    Present,
    /// The VM answers and is about to go.
    Leaving,
    /// The VM does not answer.
    Missing,
}

/// A VM that the planner may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name.
    pub name: CompactString,
    /// Fabric domain.
    pub domain: CompactString,
    /// Health.
    pub health: Health,
    /// Since when the VM has had this health.
    pub since: Instant,
}

/// All that a plan depends on.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// Placement in force.
    pub placement: &'a Placement,
    /// Catalogue in force.
    pub catalog: &'a Catalog,
    /// VMs with model engines in the availability zone.
    pub vms: &'a [Candidate],
    /// Groups that are draining and have nothing in flight.
    pub drained: &'a [CompactString],
    /// Time.
    pub now: Instant,
}

/// A changed placement with its reasons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The placement to commit; its fencing number and sequence are the writer's to fill in.
    pub placement: Placement,
    /// Why it differs.
    pub decisions: Vec<Decision>,
}

/// Returns a better placement, or `None` if the one in force should stay.
#[must_use]
pub fn propose(input: &Input<'_>) -> Option<Proposal> {
    let mut draft = Draft::new(input);
    draft.remove_drained();
    draft.break_up_incomplete();
    draft.drain_unwanted();
    draft.form_wanted();
    draft.finish()
}

/// A placement under change.
struct Draft<'a> {
    input: &'a Input<'a>,
    placement: Placement,
    decisions: Vec<Decision>,
}

impl<'a> Draft<'a> {
    fn new(input: &'a Input<'a>) -> Self {
        Draft {
            input,
            placement: input.placement.clone(),
            decisions: Vec::new(),
        }
    }

    fn remove_drained(&mut self) {
        let drained = self.input.drained;
        let decisions = &mut self.decisions;
        self.placement.groups.retain(|group| {
            let done = group.state == State::Draining && drained.contains(&group.name);
            if done {
                let subject = Subject::Group(group.name.clone());
                decisions.push(Decision::new(subject, "nothing is in flight", "VMs freed"));
            }
            !done
        });
    }

    fn break_up_incomplete(&mut self) {
        let missing: BTreeSet<&CompactString> = self
            .input
            .vms
            .iter()
            .filter(|vm| vm.health == Health::Missing)
            .map(|vm| &vm.name)
            .collect();
        let listed: BTreeSet<&CompactString> = self.input.vms.iter().map(|vm| &vm.name).collect();
        let decisions = &mut self.decisions;
        self.placement.groups.retain(|group| {
            let lost = group
                .members
                .iter()
                .find(|vm| missing.contains(vm) || !listed.contains(vm));
            let Some(vm) = lost else {
                return true;
            };
            let subject = Subject::Group(group.name.clone());
            decisions.push(
                Decision::new(subject, "a member is missing", "group broken up")
                    .about(Subject::Vm(vm.clone())),
            );
            false
        });
    }

    fn drain_unwanted(&mut self) {
        let catalog = self.input.catalog;
        let zone = self.placement.zone.clone();
        for group in &mut self.placement.groups {
            let wanted = catalog.model(&group.model).is_some_and(|model| {
                model.is_served_in(&zone)
                    && model.version == group.version
                    && model.adapters == group.adapters
            });
            let leaving = self
                .input
                .vms
                .iter()
                .any(|vm| vm.health == Health::Leaving && group.members.contains(&vm.name));
            if (wanted && !leaving) || group.state == State::Draining {
                continue;
            }
            group.state = State::Draining;
            let cause = if leaving {
                "a member is leaving"
            } else {
                "the release note no longer lists this version"
            };
            let subject = Subject::Group(group.name.clone());
            self.decisions
                .push(Decision::new(subject, cause, "group drains"));
        }
    }

    fn form_wanted(&mut self) {
        let mut models: Vec<&Model> = self
            .input
            .catalog
            .models
            .iter()
            .filter(|model| model.is_served_in(&self.placement.zone))
            .collect();
        models.sort_by_key(|model| std::cmp::Reverse(model.priority));
        for model in models {
            while self.count(model) < model.replicas as usize {
                if !self.form(model) {
                    break;
                }
            }
        }
    }

    fn count(&self, model: &Model) -> usize {
        self.placement
            .groups
            .iter()
            .filter(|group| group.model == model.name && group.state == State::Active)
            .count()
    }

    fn form(&mut self, model: &Model) -> bool {
        let size = model.vms_per_replica as usize;
        let mut free: BTreeMap<&CompactString, Vec<&CompactString>> = BTreeMap::new();
        for vm in self.input.vms {
            if vm.health == Health::Present && self.placement.group_of(&vm.name).is_none() {
                free.entry(&vm.domain).or_default().push(&vm.name);
            }
        }
        // The fullest fit leaves large fabric domains whole.
        let Some((domain, vms)) = free
            .into_iter()
            .filter(|(_, vms)| vms.len() >= size)
            .min_by_key(|(_, vms)| vms.len())
        else {
            return false;
        };
        let members = vms.into_iter().take(size).cloned().collect();
        self.placement.next_group += 1;
        let name = format_compact!("{}/{}", self.placement.zone, self.placement.next_group);
        self.decisions.push(
            Decision::new(
                Subject::Group(name.clone()),
                "the release note wants another replica group",
                format_compact!("{} formed in {domain}", model.name),
            )
            .saw("replicas wanted", model.replicas),
        );
        self.placement.groups.push(Group {
            name,
            generation: Generation(1),
            model: model.name.clone(),
            version: model.version.clone(),
            adapters: model.adapters.clone(),
            domain: domain.clone(),
            members,
            state: State::Active,
            spares: Vec::new(),
        });
        true
    }

    fn finish(self) -> Option<Proposal> {
        if self.placement == *self.input.placement {
            return None;
        }
        Some(Proposal {
            placement: self.placement,
            decisions: self.decisions,
        })
    }
}
