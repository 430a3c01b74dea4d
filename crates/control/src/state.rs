//! The state of the control thread and its transitions.

mod departure;
mod inputs;
mod remote;
mod request_path;
pub(crate) mod zone;

use std::collections::BTreeMap;
use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::catalog::Catalog;
use jackdaw_core::decision::{Decision, Log};
use jackdaw_core::inventory::{self, Vm};
use jackdaw_core::order::Order;
use jackdaw_core::placement::{Group, Placement};
use jackdaw_core::time::Instant;
use jackdaw_entry::snapshot::Snapshot;
use jackdaw_policy::lease::{self, Authority};
use jackdaw_policy::placement::Commit;
use jackdaw_policy::poison;

use crate::event::Event;
use crate::job::Job;
use crate::options::Options;
use crate::overlay::Overlay;
use crate::snapshot::{Builder, WholeGroup};
use zone::{Outcome, Zone};

/// A side effect that the driver of the control thread carries out after an event.
#[derive(Debug)]
pub enum Action {
    /// Send an order to a VM while the leader's authority lasts.
    SendOrder(Vm, Order, Authority),
    /// Make a call of the leader election to the key-value service.
    CallElection(lease::Action),
    /// Read the placement of this zone.
    ReadPlacement,
    /// Write the placement of this zone while the leader's authority lasts.
    WritePlacement(Commit, Authority),
    /// Build a new snapshot and publish it to the request path.
    PublishSnapshot,
    /// Log a decision and send it to the operators who follow decisions.
    PublishDecision(Decision),
    /// Start a job: a message to another node or a call to the key-value service.
    StartJob(Job),
}

/// Holds what the control thread knows of this zone, other zones and the catalogue.
#[derive(Debug)]
pub struct State {
    options: Options,
    overlay: Overlay,
    catalog: Arc<Catalog>,
    vms: Vec<Vm>,
    zone: Zone,
    remote_placements: BTreeMap<CompactString, Arc<Placement>>,
    builder: Builder,
    log: Log,
    pending_decisions: Vec<Decision>,
    poison: poison::Tracker,
    stopping: bool,
}

impl State {
    /// Creates the state of a node without catalogue, VM list or connection to other nodes.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let log = Log::new(&options.node, options.decisions_kept);
        State {
            zone: Zone::new(&options),
            options,
            overlay: Overlay::default(),
            catalog: Arc::default(),
            vms: Vec::new(),
            remote_placements: BTreeMap::new(),
            builder: Builder::default(),
            log,
            pending_decisions: Vec::new(),
            poison: poison::Tracker::default(),
            stopping: false,
        }
    }

    /// Iterates over the VMs with model engines in this availability zone.
    pub fn engines(&self) -> impl Iterator<Item = &Vm> {
        let zone = &self.options.zone;
        self.vms
            .iter()
            .filter(move |vm| vm.service.is_none() && vm.zone == *zone)
    }

    /// Handles an event and returns the actions that follow, in order.
    pub fn step(&mut self, event: Event, now: Instant, unix_ms: u64) -> Vec<Action> {
        let mut actions = self.handle_event(event, now, unix_ms);
        actions.extend(
            self.pending_decisions
                .drain(..)
                .map(Action::PublishDecision),
        );
        actions
    }

    /// Logs a decision; [`State::step`] returns it among its actions.
    fn record(&mut self, decision: Decision, unix_ms: u64) {
        let decision = self.log.record(decision, unix_ms);
        self.pending_decisions.push(decision);
    }

    fn handle_event(&mut self, event: Event, now: Instant, unix_ms: u64) -> Vec<Action> {
        match event {
            Event::VmList(Ok(vms)) => self.update_vms(vms, now, unix_ms),
            Event::VmList(Err(_)) => Vec::new(),
            Event::Probed {
                vm, sent, result, ..
            } => {
                let outcome = self.zone.handle_probe(vm, sent, result, now);
                // A report that changes only loads takes effect with the next planning round.
                if outcome.is_empty() {
                    return Vec::new();
                }
                self.publish_departures(now, unix_ms);
                self.apply_outcome(outcome, now, unix_ms)
            }
            Event::Lease(event) => {
                let outcome = self.zone.step_election(event, now);
                self.apply_outcome(outcome, now, unix_ms)
            }
            Event::Placement(event) => {
                let outcome = self.zone.step_placement(event, now);
                self.apply_outcome(outcome, now, unix_ms)
            }
            Event::Catalog { stored, source } => self.adopt_stored(stored, source, now, unix_ms),
            Event::Accepted(catalog) => self.adopt_accepted(catalog, now, unix_ms),
            Event::PlatformContact => {
                self.overlay.note_platform_contact(now);
                Vec::new()
            }
            Event::Message(envelope) => self.handle_message(envelope, now, unix_ms),
            Event::Fetched { item, from, result } => {
                let effects = self.overlay.handle_fetched(&item, from, result, now);
                self.apply_effects(effects, now, unix_ms)
            }
            Event::GossipTick => self.tick_gossip(now, unix_ms),
            Event::Ask(question) => {
                let action = self.answer(question, now, unix_ms);
                action.into_iter().collect()
            }
            Event::Entry(event) => self.handle_entry_event(event, now, unix_ms),
            Event::PlanTick => {
                self.publish_reports(now, unix_ms);
                let outcome = self.zone.run_round(&self.catalog, now);
                self.apply_outcome(outcome, now, unix_ms)
            }
            Event::Stop | Event::End => {
                self.stopping = true;
                let outcome = self.zone.step_election(lease::Event::Resign, now);
                self.apply_outcome(outcome, now, unix_ms)
            }
        }
    }

    /// Builds the snapshot that the request path reads.
    pub fn snapshot(&mut self, now: Instant, unix_ms: u64) -> Snapshot {
        let mut builder = std::mem::take(&mut self.builder);
        let mut groups = self.whole_groups();
        groups.extend(self.remote_groups(unix_ms));
        let mut snapshot = builder.build(&self.catalog, &self.options.zone, &groups, &self.vms);
        snapshot.stopping = self.stopping;
        self.set_shared_state(&mut snapshot, now);
        self.builder = builder;
        snapshot
    }

    /// Replaces the VM list.
    fn update_vms(&mut self, mut vms: Vec<Vm>, now: Instant, unix_ms: u64) -> Vec<Action> {
        let outcome = self.zone.update_vms(&self.options.zone, &vms, now);
        // The list lags behind: a VM known to be leaving stays so even if the list says otherwise.
        for vm in &mut vms {
            if self.zone.table.is_leaving(&vm.name) {
                vm.state = inventory::State::Leaving;
            }
        }
        self.vms = vms;
        self.publish_departures(now, unix_ms);
        self.apply_outcome(outcome, now, unix_ms)
    }

    /// Records the zone's decisions, announces a changed placement and returns the actions.
    fn apply_outcome(&mut self, outcome: Outcome, now: Instant, unix_ms: u64) -> Vec<Action> {
        for decision in outcome.decisions {
            self.record(decision, unix_ms);
        }
        if outcome.placement_changed {
            let placement = Arc::new(self.zone.table.placement().clone());
            self.overlay.announce(&placement, now);
        }
        let mut actions = outcome.actions;
        actions.push(Action::PublishSnapshot);
        actions
    }

    fn whole_groups(&self) -> Vec<WholeGroup<'_>> {
        let table = &self.zone.table;
        table
            .whole_groups()
            .filter_map(|group| {
                let first_member = group.members.first()?;
                Some(WholeGroup {
                    group,
                    zone: &self.options.zone,
                    address: self.zone.address(first_member)?,
                    load: table.observation(first_member)?.report.load,
                })
            })
            .collect()
    }

    /// Returns whether a VM's report names this group and generation and is recent enough.
    pub(crate) fn is_member(&self, vm: &CompactString, group: &Group, now: Instant) -> bool {
        self.zone.table.member_fault(group, vm, now).is_none()
    }
}
