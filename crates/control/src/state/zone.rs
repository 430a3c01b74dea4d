//! Members, leadership and placement of this node's availability zone.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use compact_str::CompactString;
use jackdaw_core::catalog::Catalog;
use jackdaw_core::decision::Decision;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::inventory::Vm;
use jackdaw_core::member::Report;
use jackdaw_core::placement::Placement;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::lease::{self, Election};
use jackdaw_policy::member::{self, Bounds, Observation, Table};
use jackdaw_policy::placement::{self, Reconciler, Round};

use super::Action;
use crate::leader::{Keys, authority_ended};
use crate::options::Options;

/// Maximum number of orders in flight.
const MAX_ORDERS_IN_FLIGHT: usize = 64;

/// Time for every node to learn that a group drains and for load reports to reflect it.
const DRAIN_PROPAGATION: Millis = Millis::from_secs(3);

/// Delay before a failed call of the election is repeated.
const CALL_RETRY_DELAY: Millis = Millis(500);

/// Exclusive upper bound on a node's candidacy delay, in milliseconds.
///
/// The delays differ by node so that not all nodes apply for a free leadership at once.
const MAX_CANDIDACY_DELAY_MS: u64 = 300;

/// Number of maximum report ages without an answer after which a VM is missing.
const MISSING_REPORT_AGES: u64 = 2;

/// Number of probe intervals after which an order is repeated.
const ORDER_RETRY_PROBE_INTERVALS: u64 = 2;

/// Result of one step of the zone.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) actions: Vec<Action>,
    pub(crate) decisions: Vec<Decision>,
    /// Whether the placement in force has changed.
    pub(crate) placement_changed: bool,
}

impl Outcome {
    /// Returns whether the step has no effect.
    pub(crate) fn is_empty(&self) -> bool {
        self.actions.is_empty() && self.decisions.is_empty() && !self.placement_changed
    }
}

/// Tracks this node's availability zone and, while the node is its leader, controls it.
#[derive(Debug)]
pub(crate) struct Zone {
    pub(crate) table: Table,
    election: Election,
    reconciler: Reconciler,
}

impl Zone {
    pub(crate) fn new(options: &Options) -> Self {
        Zone {
            table: Table::new(Bounds {
                max_report_age: options.max_report_age,
                missing_after: Millis(options.max_report_age.0 * MISSING_REPORT_AGES),
                ..Bounds::default()
            }),
            election: Election::new(lease_options(options)),
            reconciler: Reconciler::new(placement_options(options)),
        }
    }

    /// Replaces the VM list, leaving out model engines of other zones.
    pub(crate) fn update_vms(&mut self, zone: &str, vms: &[Vm], now: Instant) -> Outcome {
        let relevant = vms
            .iter()
            .filter(|vm| vm.service.is_some() || vm.zone == zone);
        self.step_members(member::Event::Listed(relevant.cloned().collect()), now)
    }

    /// Records the result of a probe.
    pub(crate) fn handle_probe(
        &mut self,
        vm: CompactString,
        sent: Instant,
        result: Result<Report>,
        now: Instant,
    ) -> Outcome {
        let event = match result {
            Ok(report) if report.vm == vm => {
                member::Event::Reported(Observation::probed(report, sent))
            }
            // Another VM answers at an address that the VM list still assigns to this VM.
            Ok(_) => member::Event::ProbeFailed {
                vm,
                sent,
                unreachable: true,
            },
            Err(error) => member::Event::ProbeFailed {
                vm,
                sent,
                unreachable: matches!(error, Error::Unreachable { .. }),
            },
        };
        self.step_members(event, now)
    }

    /// Advances the member table by an event.
    pub(crate) fn step_members(&mut self, event: member::Event, now: Instant) -> Outcome {
        Outcome {
            decisions: self.table.step(event, now),
            ..Outcome::default()
        }
    }

    /// Adopts a placement fetched from another node.
    pub(crate) fn adopt_placement(&mut self, placement: Placement, now: Instant) -> Outcome {
        self.step_members(member::Event::Placed(placement), now)
    }

    /// Advances the leader election by an event.
    pub(crate) fn step_election(&mut self, event: lease::Event, now: Instant) -> Outcome {
        let mut outcome = Outcome::default();
        self.run_election(event, now, &mut outcome);
        outcome
    }

    /// Advances the reconciler of the placement by an event.
    pub(crate) fn step_placement(&mut self, event: placement::Event, now: Instant) -> Outcome {
        let mut outcome = Outcome::default();
        self.run_reconciler(event, now, &mut outcome);
        outcome
    }

    /// Advances the timers and, if this node is the leader, runs a planning round.
    pub(crate) fn run_round(&mut self, catalog: &Catalog, now: Instant) -> Outcome {
        let mut outcome = self.step_members(member::Event::Tick, now);
        self.run_election(lease::Event::Tick, now, &mut outcome);
        let Some(authority) = self.election.authority(now) else {
            return outcome;
        };
        let actions = self.reconciler.run_round(&Round {
            authority,
            table: &self.table,
            catalog,
            now,
        });
        self.apply_reconciler_actions(actions, now, &mut outcome);
        outcome
    }

    fn run_election(&mut self, event: lease::Event, now: Instant, outcome: &mut Outcome) {
        for action in self.election.step(event, now) {
            match action {
                lease::Action::Acquired(authority) => {
                    let event = placement::Event::Acquired(authority.fence);
                    self.run_reconciler(event, now, outcome);
                }
                lease::Action::Lost(_) => {
                    self.run_reconciler(placement::Event::Lost, now, outcome);
                }
                lease::Action::Explain(decision) => outcome.decisions.push(decision),
                lease::Action::Grant(_)
                | lease::Action::Create(_)
                | lease::Action::Read
                | lease::Action::Renew(_)
                | lease::Action::Revoke(_) => outcome.actions.push(Action::CallElection(action)),
            }
        }
    }

    fn run_reconciler(&mut self, event: placement::Event, now: Instant, outcome: &mut Outcome) {
        let actions = self.reconciler.step(event);
        self.apply_reconciler_actions(actions, now, outcome);
    }

    fn apply_reconciler_actions(
        &mut self,
        actions: Vec<placement::Action>,
        now: Instant,
        outcome: &mut Outcome,
    ) {
        let authority = self.election.authority(now);
        for action in actions {
            match action {
                placement::Action::Read => outcome.actions.push(Action::ReadPlacement),
                placement::Action::Commit(commit) => match authority {
                    Some(authority) => outcome
                        .actions
                        .push(Action::WritePlacement(commit, authority)),
                    None => {
                        let unsent = Err(authority_ended("write placement", "key-value service"));
                        self.run_reconciler(placement::Event::Written(unsent), now, outcome);
                    }
                },
                placement::Action::Order(vm, order) => {
                    match self.table.vm(&vm).cloned().zip(authority) {
                        Some((vm, authority)) => {
                            outcome
                                .actions
                                .push(Action::SendOrder(vm, order, authority));
                        }
                        None => {
                            let unsent = Err(authority_ended("send order", &vm));
                            let event = placement::Event::Ordered(vm, unsent);
                            self.run_reconciler(event, now, outcome);
                        }
                    }
                }
                placement::Action::Changed => {
                    let placement = self.reconciler.placement().clone();
                    let decisions = self.table.step(member::Event::Placed(placement), now);
                    outcome.decisions.extend(decisions);
                    outcome.placement_changed = true;
                }
                placement::Action::Superseded(fence) => {
                    self.run_election(lease::Event::Superseded(fence), now, outcome);
                }
                placement::Action::Explain(decision) => outcome.decisions.push(decision),
            }
        }
    }

    /// Gets the address of a VM in the latest VM list.
    pub(crate) fn address(&self, vm: &str) -> Option<SocketAddr> {
        self.table.vm(vm).map(|vm| vm.address)
    }
}

/// Returns the options of the zone's reconciler.
pub(crate) fn placement_options(options: &Options) -> placement::Options {
    let keys = Keys::of_zone(&options.zone);
    placement::Options {
        zone: options.zone.clone(),
        leader_key: keys.leader,
        placement_key: keys.placement,
        order_retry_interval: Millis(options.probe_interval.0 * ORDER_RETRY_PROBE_INTERVALS),
        max_orders_in_flight: MAX_ORDERS_IN_FLIGHT,
        drain_propagation: DRAIN_PROPAGATION,
        plan: options.plan,
    }
}

fn lease_options(options: &Options) -> lease::Options {
    let mut hasher = DefaultHasher::new();
    options.node.hash(&mut hasher);
    lease::Options {
        node: options.node.clone(),
        zone: options.zone.clone(),
        ttl: options.leader_lease,
        clock_margin: options.clock_margin,
        order_timeout: options.order_timeout,
        retry_delay: CALL_RETRY_DELAY,
        candidacy_delay: Millis(hasher.finish() % MAX_CANDIDACY_DELAY_MS),
        engines_check_fence: options.engines_check_fence,
    }
}
