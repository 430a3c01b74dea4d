//! A zone with the inputs of its planner.

use std::collections::BTreeSet;

use compact_str::{CompactString, format_compact};
use jackdaw_core::catalog::{Catalog, Model};
use jackdaw_core::placement::{Group, Placement, State};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Revision;
use jackdaw_policy::plan::{Candidate, Context, Health, Input, Options, Proposal, propose_with};

/// A time later than every time limit of the planner.
pub(crate) const NOW: Instant = Instant(100_000_000);

pub(crate) fn model(name: &str, size: u32, replicas: u32, priority: u32) -> Model {
    Model {
        name: name.into(),
        version: "1".into(),
        vms_per_replica: size,
        replicas,
        adapters: Vec::new(),
        zones: Vec::new(),
        priority,
    }
}

/// A zone with the inputs of its planner, changed step by step.
pub(crate) struct Zone {
    pub(crate) placement: Placement,
    pub(crate) catalog: Catalog,
    pub(crate) vms: Vec<Candidate>,
    pub(crate) drained: Vec<CompactString>,
    pub(crate) options: Options,
    pub(crate) serving: Option<BTreeSet<CompactString>>,
}

impl Zone {
    /// Creates a zone whose domains `a`, `b` … have the given numbers of VMs, all present.
    pub(crate) fn new(domains: &[u32], models: Vec<Model>) -> Self {
        let names = ["a", "b", "c", "d", "e"];
        let vms = domains.iter().zip(names).flat_map(|(count, domain)| {
            (0..*count).map(move |number| Candidate {
                name: format_compact!("{domain}{number}"),
                domain: domain.into(),
                health: Health::Present,
                since: Instant(0),
            })
        });
        Zone {
            placement: Placement {
                zone: "z".into(),
                ..Placement::default()
            },
            catalog: Catalog {
                revision: Revision(1),
                models,
                ..Catalog::default()
            },
            vms: vms.collect(),
            drained: Vec::new(),
            options: Options::default(),
            serving: None,
        }
    }

    pub(crate) fn propose(&self) -> Option<Proposal> {
        let input = Input {
            placement: &self.placement,
            catalog: &self.catalog,
            vms: &self.vms,
            drained: &self.drained,
            now: NOW,
        };
        let context = Context {
            options: self.options,
            flaps: None,
            serving: self.serving.as_ref(),
        };
        propose_with(&input, &context)
    }

    /// Commits the planner's proposal and returns whether there was one.
    pub(crate) fn step(&mut self) -> bool {
        let Some(proposal) = self.propose() else {
            return false;
        };
        assert!(!proposal.decisions.is_empty(), "a change without a reason");
        let sequence = self.placement.sequence + 1;
        let before = std::mem::replace(&mut self.placement, proposal.placement);
        self.placement.sequence = sequence;
        self.mark_restarted_present(&before);
        true
    }

    /// Marks restarted VMs as present once they have another group or generation than the one they
    /// lost.
    fn mark_restarted_present(&mut self, before: &Placement) {
        let assignment = |placement: &Placement, vm: &CompactString| {
            let mut groups = placement.groups.iter();
            let group = groups.find(|group| group.members.contains(vm));
            group.map(|group| (group.name.clone(), group.generation))
        };
        for vm in &mut self.vms {
            let is_reassigned =
                assignment(before, &vm.name) != assignment(&self.placement, &vm.name);
            if vm.health == Health::Restarted && is_reassigned {
                vm.health = Health::Present;
            }
        }
    }

    /// Reports every draining group as drained.
    pub(crate) fn finish_draining(&mut self) {
        let draining = |group: &&Group| group.state == State::Draining;
        let groups = self.placement.groups.iter().filter(draining);
        self.drained = groups.map(|group| group.name.clone()).collect();
    }

    pub(crate) fn set_health(&mut self, vm: &str, health: Health, since: Instant) {
        let found = self.vms.iter_mut().find(|candidate| candidate.name == vm);
        let found = found.expect("the VM exists");
        found.health = health;
        found.since = since;
    }

    pub(crate) fn model(&mut self, name: &str) -> &mut Model {
        let mut models = self.catalog.models.iter_mut();
        models
            .find(|model| model.name == name)
            .expect("the model exists")
    }

    /// Returns each group as `model:members`, with a leading `~` if it drains.
    pub(crate) fn group_lines(&self) -> Vec<String> {
        let line = |group: &Group| {
            let mark = if group.state == State::Draining {
                "~"
            } else {
                ""
            };
            format!("{mark}{}:{}", group.model, group.members.join(","))
        };
        self.placement.groups.iter().map(line).collect()
    }
}
