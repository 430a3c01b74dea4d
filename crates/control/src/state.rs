//! The state of the control thread.

mod callers;
mod departure;
mod news;
mod remote;
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

use crate::courier::Job;
use crate::event::Event;
use crate::options::Options;
use crate::overlay::Overlay;
use crate::view::{Builder, Whole};
use zone::{Outcome, Zone};

/// What the control thread has to do after an event.
#[derive(Debug)]
pub enum Action {
    /// Send an order to a VM while the authority lasts.
    Order(Vm, Order, Authority),
    /// Make a call of the election.
    Elect(lease::Action),
    /// Read the placement of this zone.
    ReadPlacement,
    /// Write the placement of this zone while the authority lasts.
    Commit(Commit, Authority),
    /// Publish the snapshot anew.
    Publish,
    /// Tell operators about a decision.
    Explain(Decision),
    /// Carry a message to another node or a call to the key-value service.
    Carry(Job),
}

/// Everything the control thread knows.
#[derive(Debug)]
pub struct State {
    options: Options,
    overlay: Overlay,
    catalog: Arc<Catalog>,
    vms: Vec<Vm>,
    zone: Zone,
    remote: BTreeMap<CompactString, Arc<Placement>>,
    builder: Builder,
    log: Log,
    explained: Vec<Decision>,
    poison: poison::Tracker,
    stopping: bool,
}

impl State {
    /// Creates the state of a node that knows nothing yet.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let log = Log::new(&options.node, options.decisions_kept);
        State {
            zone: Zone::new(&options),
            options,
            overlay: Overlay::default(),
            catalog: Arc::default(),
            vms: Vec::new(),
            remote: BTreeMap::new(),
            builder: Builder::default(),
            log,
            explained: Vec::new(),
            poison: poison::Tracker::default(),
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
        actions.extend(self.explained.drain(..).map(Action::Explain));
        actions
    }

    /// Records a decision and hands it to operators with the next actions.
    fn record(&mut self, decision: Decision, unix_millis: u64) {
        let decision = self.log.record(decision, unix_millis);
        self.explained.push(decision);
    }

    fn judge(&mut self, event: Event, now: Instant, unix_millis: u64) -> Vec<Action> {
        match event {
            Event::Vms(Ok(vms)) => self.list(vms, now, unix_millis),
            Event::Vms(Err(_)) => Vec::new(),
            Event::Probed {
                vm, sent, result, ..
            } => {
                let outcome = self.zone.probed(vm, sent, result, now);
                // A report that changes nothing but loads waits for the next round of planning.
                if outcome.is_empty() {
                    return Vec::new();
                }
                self.tell_departures(now, unix_millis);
                self.follow(outcome, now, unix_millis)
            }
            Event::Lease(event) => {
                let outcome = self.zone.elect(event, now);
                self.follow(outcome, now, unix_millis)
            }
            Event::Placement(event) => {
                let outcome = self.zone.place(event, now);
                self.follow(outcome, now, unix_millis)
            }
            Event::Catalog { stored, source } => self.take_stored(stored, source, now, unix_millis),
            Event::Accepted(catalog) => self.take_accepted(catalog, now, unix_millis),
            Event::Contact => {
                self.overlay.contacted(now);
                Vec::new()
            }
            Event::Message(envelope) => self.take_message(envelope, now, unix_millis),
            Event::Fetched { what, from, result } => {
                let effects = self.overlay.fetched(&what, from, result, now);
                self.apply(effects, now, unix_millis)
            }
            Event::Spread => self.tick_overlay(now, unix_millis),
            Event::Ask(question) => {
                let action = self.answer(question, now, unix_millis);
                action.into_iter().collect()
            }
            Event::Entry(event) => self.hear(event, now, unix_millis),
            Event::Plan => {
                self.tell_reports(now, unix_millis);
                let outcome = self.zone.plan(&self.catalog, now);
                self.follow(outcome, now, unix_millis)
            }
            Event::Stop | Event::End => {
                self.stopping = true;
                let outcome = self.zone.elect(lease::Event::Resign, now);
                self.follow(outcome, now, unix_millis)
            }
        }
    }

    /// Builds the snapshot that the request path reads.
    pub fn snapshot(&mut self, now: Instant, unix_millis: u64) -> Snapshot {
        let mut builder = std::mem::take(&mut self.builder);
        let mut whole = self.whole_groups();
        whole.extend(self.remote_groups(unix_millis));
        let mut snapshot = builder.build(&self.catalog, &self.options.zone, &whole, &self.vms);
        snapshot.stopping = self.stopping;
        self.share(&mut snapshot, now);
        self.builder = builder;
        snapshot
    }

    /// Takes the VM list.
    fn list(&mut self, mut vms: Vec<Vm>, now: Instant, unix_millis: u64) -> Vec<Action> {
        let outcome = self.zone.list(&self.options.zone, &vms, now);
        // The list lags: a VM that is known to leave stays so whatever the list says.
        for vm in &mut vms {
            if self.zone.table.is_leaving(&vm.name) {
                vm.state = inventory::State::Leaving;
            }
        }
        self.vms = vms;
        self.tell_departures(now, unix_millis);
        self.follow(outcome, now, unix_millis)
    }

    /// Records what the zone decided and returns what it has to do.
    fn follow(&mut self, outcome: Outcome, now: Instant, unix_millis: u64) -> Vec<Action> {
        for decision in outcome.decisions {
            self.record(decision, unix_millis);
        }
        if outcome.placed {
            let placement = Arc::new(self.zone.table.placement().clone());
            self.overlay.announce(&placement, now);
        }
        let mut actions = outcome.actions;
        actions.push(Action::Publish);
        actions
    }

    fn whole_groups(&self) -> Vec<Whole<'_>> {
        let table = &self.zone.table;
        table
            .whole_groups()
            .filter_map(|group| {
                let head = group.members.first()?;
                Some(Whole {
                    group,
                    zone: &self.options.zone,
                    address: self.zone.address(head)?,
                    load: table.observation(head)?.report.load,
                })
            })
            .collect()
    }

    /// Returns whether a VM reported a group and its generation within the bound.
    pub(crate) fn is_member(&self, vm: &CompactString, group: &Group, now: Instant) -> bool {
        self.zone.table.member_fault(group, vm, now).is_none()
    }
}
