//! The state of the control thread.

mod callers;
mod news;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::catalog::Catalog;
use jackdaw_core::decision::{Decision, Log, Subject};
use jackdaw_core::inventory::{self, Vm};
use jackdaw_core::member::Report;
use jackdaw_core::order::{Command, Order};
use jackdaw_core::placement::{Group, Placement};
use jackdaw_core::time::Instant;
use jackdaw_entry::snapshot::Snapshot;
use jackdaw_policy::plan::{self, Candidate, Health};
use jackdaw_policy::poison;

use crate::courier::Job;
use crate::event::Event;
use crate::options::Options;
use crate::overlay::Overlay;
use crate::view::{Builder, Whole};

/// What the control thread has to do after an event.
#[derive(Debug)]
pub enum Action {
    /// Send an order to a VM.
    Order(Vm, Order),
    /// Publish the snapshot anew.
    Publish,
    /// Tell operators about a decision.
    Explain(Decision),
    /// Carry a message to another node or a call to the key-value service.
    Carry(Job),
}

/// The last report of a VM.
#[derive(Clone, Debug)]
struct Seen {
    report: Report,
    sent: Instant,
}

/// Everything the control thread knows.
#[derive(Debug)]
pub struct State {
    options: Options,
    overlay: Overlay,
    catalog: Arc<Catalog>,
    vms: Vec<Vm>,
    placement: Placement,
    seen: HashMap<CompactString, Seen>,
    builder: Builder,
    whole: HashSet<CompactString>,
    log: Log,
    explained: Vec<Decision>,
    poison: poison::Ledger,
    stopping: bool,
}

impl State {
    /// Creates the state of a node that knows nothing yet.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let placement = Placement {
            zone: options.zone.clone(),
            ..Placement::default()
        };
        let log = Log::new(&options.node, options.decisions_kept);
        State {
            options,
            overlay: Overlay::default(),
            catalog: Arc::default(),
            vms: Vec::new(),
            placement,
            seen: HashMap::new(),
            builder: Builder::default(),
            whole: HashSet::new(),
            log,
            explained: Vec::new(),
            poison: poison::Ledger::default(),
            stopping: false,
        }
    }

    /// Gets the VMs with model engines in this availability zone.
    pub fn engines(&self) -> impl Iterator<Item = &Vm> {
        let zone = &self.options.zone;
        self.vms
            .iter()
            .filter(move |vm| vm.service.is_none() && vm.zone == *zone)
    }

    /// Takes an event and returns what has to be done.
    pub fn step(&mut self, event: Event, now: Instant, unix_millis: u64) -> Vec<Action> {
        let mut actions = self.judge(event, now, unix_millis);
        self.explain_whole(now, unix_millis);
        actions.extend(self.explained.drain(..).map(Action::Explain));
        actions
    }

    fn explain_whole(&mut self, now: Instant, unix_millis: u64) {
        let whole: HashSet<CompactString> = self
            .whole_groups(now)
            .iter()
            .map(|whole| whole.group.name.clone())
            .collect();
        for name in whole.difference(&self.whole.clone()) {
            let cause = "every member reports the group, its generation and that it is ready";
            let subject = Subject::Group(name.clone());
            self.record(Decision::new(subject, cause, "group is whole"), unix_millis);
        }
        self.whole = whole;
    }

    /// Records a decision and hands it to operators with the next actions.
    fn record(&mut self, decision: Decision, unix_millis: u64) {
        let decision = self.log.record(decision, unix_millis);
        self.explained.push(decision);
    }

    fn judge(&mut self, event: Event, now: Instant, unix_millis: u64) -> Vec<Action> {
        match event {
            Event::Vms(Ok(vms)) => self.vms = vms,
            Event::Vms(Err(_)) => return Vec::new(),
            Event::Probed {
                vm, sent, result, ..
            } => self.see(vm, sent, result.ok()),
            Event::Catalog { stored, source } => {
                return self.take_stored(stored, source, now, unix_millis);
            }
            Event::Accepted(catalog) => return self.take_accepted(catalog, now, unix_millis),
            Event::Contact => {
                self.overlay.contacted(now);
                return Vec::new();
            }
            Event::Message(envelope) => return self.take_message(envelope, now, unix_millis),
            Event::Fetched { what, from, result } => {
                let effects = self.overlay.fetched(&what, from, result, now);
                return self.apply(effects, now, unix_millis);
            }
            Event::Spread => return self.tick_overlay(now, unix_millis),
            Event::Ask(question) => {
                return self
                    .answer(question, now, unix_millis)
                    .into_iter()
                    .collect();
            }
            Event::Entry(event) => self.hear(event, now, unix_millis),
            Event::Plan => return self.plan(now, unix_millis),
            Event::Stop => self.stopping = true,
            Event::End => return Vec::new(),
        }
        vec![Action::Publish]
    }

    /// Builds the snapshot that the request path reads.
    pub fn snapshot(&mut self, now: Instant) -> Snapshot {
        let mut builder = std::mem::take(&mut self.builder);
        let whole = self.whole_groups(now);
        let mut snapshot = builder.build(&self.catalog, &self.options.zone, &whole, &self.vms);
        snapshot.stopping = self.stopping;
        self.share(&mut snapshot, now);
        self.builder = builder;
        snapshot
    }

    fn see(&mut self, vm: CompactString, sent: Instant, report: Option<Report>) {
        let Some(report) = report else {
            return;
        };
        self.seen.insert(vm, Seen { report, sent });
    }

    fn is_fresh(&self, seen: &Seen, now: Instant) -> bool {
        now.since(seen.sent) <= self.options.report_bound
    }

    fn whole_groups(&self, now: Instant) -> Vec<Whole<'_>> {
        self.placement
            .groups
            .iter()
            .filter(|group| {
                group
                    .members
                    .iter()
                    .all(|vm| self.is_member(vm, group, now))
            })
            .filter_map(|group| {
                let head = group.members.first()?;
                let vm = self.vms.iter().find(|vm| vm.name == *head)?;
                Some(Whole {
                    group,
                    zone: &self.options.zone,
                    address: vm.address,
                    load: self.seen.get(head)?.report.load,
                })
            })
            .collect()
    }

    /// Returns whether a VM reported a group and its generation within the bound.
    pub(crate) fn is_member(&self, vm: &CompactString, group: &Group, now: Instant) -> bool {
        let Some(seen) = self.seen.get(vm) else {
            return false;
        };
        let Some(membership) = &seen.report.membership else {
            return false;
        };
        self.is_fresh(seen, now)
            && seen.report.ready
            && membership.group == group.name
            && membership.generation == group.generation
    }

    fn candidates(&self, now: Instant) -> Vec<Candidate> {
        self.engines()
            .map(|vm| Candidate {
                name: vm.name.clone(),
                domain: vm.domain.clone(),
                health: self.health(vm, now),
                since: now,
            })
            .collect()
    }

    fn health(&self, vm: &Vm, now: Instant) -> Health {
        let fresh = self
            .seen
            .get(&vm.name)
            .is_some_and(|seen| self.is_fresh(seen, now));
        match (fresh, vm.state) {
            (false, _) => Health::Missing,
            (true, inventory::State::Leaving) => Health::Leaving,
            (true, inventory::State::Live) => Health::Present,
        }
    }

    fn plan(&mut self, now: Instant, unix_millis: u64) -> Vec<Action> {
        let vms = self.candidates(now);
        let proposal = plan::propose(&plan::Input {
            placement: &self.placement,
            catalog: &self.catalog,
            vms: &vms,
            drained: &[],
            now,
        });
        if let Some(proposal) = proposal {
            self.placement = proposal.placement;
            for decision in proposal.decisions {
                self.record(decision, unix_millis);
            }
        }
        let mut actions = self.orders(now);
        actions.push(Action::Publish);
        actions
    }

    fn orders(&self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let placed: HashSet<&CompactString> = self
            .placement
            .groups
            .iter()
            .flat_map(|group| &group.members)
            .collect();
        for group in &self.placement.groups {
            for (rank, name) in group.members.iter().enumerate() {
                if self.is_member(name, group, now) {
                    continue;
                }
                actions.extend(self.join(group, rank, name));
            }
        }
        for vm in self.engines() {
            let joined = self
                .seen
                .get(&vm.name)
                .is_some_and(|seen| seen.report.membership.is_some());
            if joined && !placed.contains(&vm.name) {
                actions.push(self.order(vm, Command::Leave));
            }
        }
        actions
    }

    fn join(&self, group: &Group, rank: usize, name: &CompactString) -> Option<Action> {
        let vm = self.vms.iter().find(|vm| vm.name == *name)?;
        let command = Command::Join {
            group: group.name.clone(),
            generation: group.generation,
            model: group.model.clone(),
            version: group.version.clone(),
            adapters: group.adapters.clone(),
            members: group.members.clone(),
            rank: u32::try_from(rank).unwrap_or(u32::MAX),
        };
        Some(self.order(vm, command))
    }

    fn order(&self, vm: &Vm, command: Command) -> Action {
        let order = Order {
            fence: self.placement.fence,
            command,
        };
        Action::Order(vm.clone(), order)
    }
}
