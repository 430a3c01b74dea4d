//! Accessors of the state, and inputs from the key-value service, other nodes and operators.

use std::sync::Arc;

use jackdaw_core::catalog::Catalog;
use jackdaw_core::decision::{Decision, Log};
use jackdaw_core::inventory::Vm;
use jackdaw_core::member::Report;
use jackdaw_core::placement::Placement;
use jackdaw_core::time::Instant;
use jackdaw_policy::gossip::message::Envelope;
use jackdaw_policy::placement;
use jackdaw_policy::plan;
use jackdaw_policy::release::accept::StoredCatalog;
use jackdaw_policy::release::register::Source;

use super::{Action, State};
use crate::admin::answer;
use crate::admin::handle::{Call, Request};
use crate::catalog_follower::Assignment;
use crate::job::Job;
use crate::options::Options;
use crate::overlay::{Effect, Overlay};

impl State {
    /// Replaces the overlay by one that reaches other nodes.
    pub fn join_overlay(&mut self, overlay: Overlay) {
        self.overlay = overlay;
    }

    /// Gets the overlay.
    #[must_use]
    pub fn overlay(&self) -> &Overlay {
        &self.overlay
    }

    /// Gets the options.
    #[must_use]
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Gets the catalogue in force.
    #[must_use]
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Gets the placement of this zone.
    #[must_use]
    pub fn placement(&self) -> &Placement {
        self.zone.table.placement()
    }

    /// Gets the VM list.
    #[must_use]
    pub fn vms(&self) -> &[Vm] {
        &self.vms
    }

    /// Gets the log of decisions.
    #[must_use]
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns whether the node is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Gets the last report of a VM and the time at which its probe was sent.
    #[must_use]
    pub fn last_report(&self, vm: &str) -> Option<(&Report, Instant)> {
        let observation = self.zone.table.observation(vm)?;
        Some((&observation.report, observation.sent))
    }

    /// Returns the decisions that the planner would take next under another catalogue.
    #[must_use]
    pub fn dry_run(&self, catalog: &Catalog, now: Instant) -> Vec<Decision> {
        let vms = self.zone.table.candidates();
        let input = plan::Input {
            placement: self.zone.table.placement(),
            catalog,
            vms: &vms,
            drained: &[],
            now,
        };
        let proposal = placement::propose(&input, self.options.plan, &self.zone.table);
        proposal.map_or_else(Vec::new, |proposal| proposal.decisions)
    }

    /// Returns the current assignment of the catalogue's follower.
    #[must_use]
    pub fn catalog_assignment(&self, now: Instant) -> Assignment {
        Assignment {
            is_watcher: self.overlay.node().is_none_or(|node| node.is_watcher(now)),
            revision: self.overlay.register().revision(),
        }
    }

    pub(super) fn adopt_stored(
        &mut self,
        stored: Option<StoredCatalog>,
        source: Source,
        now: Instant,
        unix_ms: u64,
    ) -> Vec<Action> {
        let effects = self.overlay.handle_stored_catalog(stored, source, now);
        self.apply_effects(effects, now, unix_ms)
    }

    pub(super) fn adopt_accepted(
        &mut self,
        catalog: Catalog,
        now: Instant,
        unix_ms: u64,
    ) -> Vec<Action> {
        let effects = self.overlay.offer(Arc::new(catalog), Source::Accepted, now);
        self.apply_effects(effects, now, unix_ms)
    }

    pub(super) fn handle_message(
        &mut self,
        envelope: Envelope,
        now: Instant,
        unix_ms: u64,
    ) -> Vec<Action> {
        let effects = self.overlay.receive(envelope, now, unix_ms);
        self.apply_effects(effects, now, unix_ms)
    }

    pub(super) fn tick_gossip(&mut self, now: Instant, unix_ms: u64) -> Vec<Action> {
        let effects = self.overlay.tick(now, unix_ms);
        self.apply_effects(effects, now, unix_ms)
    }

    pub(super) fn answer(&mut self, call: Call, now: Instant, unix_ms: u64) -> Option<Action> {
        let Call { request, reply } = call;
        let newest = self.overlay.register().revision();
        let job = match request {
            Request::Apply(note) => Job::Accept {
                note: Box::new(note),
                revision: newest,
                reply,
            },
            Request::History(count) => Job::History {
                newest,
                count,
                reply,
            },
            request => {
                if let Some(answer) = answer::answer(self, &request, now, unix_ms) {
                    // Sending fails if the request was cancelled; nobody needs the reply then.
                    let _ = reply.send(answer);
                }
                return None;
            }
        };
        Some(Action::StartJob(job))
    }

    /// Applies the overlay's effects and returns the actions that follow.
    pub(super) fn apply_effects(
        &mut self,
        effects: Vec<Effect>,
        now: Instant,
        unix_ms: u64,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for effect in effects {
            match effect {
                Effect::Send { to, envelope } => {
                    let envelope = Box::new(envelope);
                    actions.push(Action::StartJob(Job::Send { to, envelope }));
                }
                Effect::Fetch { from, item } => {
                    actions.push(Action::StartJob(Job::Fetch { from, item }));
                }
                Effect::Restore(restore) => actions.push(Action::StartJob(Job::Restore(restore))),
                Effect::CatalogChanged(catalog) => {
                    self.catalog = catalog;
                    actions.push(Action::PublishSnapshot);
                }
                Effect::Decided(decision) => self.record(decision, unix_ms),
                Effect::PlacementReceived(placement) => {
                    actions.extend(self.adopt_placement(placement, now, unix_ms));
                }
                Effect::Learned(fact) => {
                    if self.adopt_poison_fact(&fact, now, unix_ms) {
                        actions.push(Action::PublishSnapshot);
                    }
                    actions.extend(self.adopt_departure(&fact, now, unix_ms));
                }
            }
        }
        actions
    }
}
