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
use crate::leader::{Keys, no_authority};
use crate::options::Options;

/// Number of orders that are under way at once.
const ORDERS_IN_FLIGHT: usize = 64;

/// Time in which every node learns that a group drains and in which load reports catch up.
const DRAIN_SETTLE: Millis = Millis::from_secs(3);

/// Time before a failed call to the key-value service is repeated.
const CALL_RETRY: Millis = Millis(500);

/// Bound on the time by which nodes stagger their runs for a free leadership.
const STAGGER_MILLIS: u64 = 300;

/// A VM is missing after this many report bounds without an answer.
const MISSING_BOUNDS: u64 = 2;

/// An order is repeated after this many probe intervals.
const ORDER_RETRY_PROBES: u64 = 2;

/// What a step of the zone brought about.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) actions: Vec<Action>,
    pub(crate) decisions: Vec<Decision>,
    /// The placement in force has changed.
    pub(crate) placed: bool,
}

impl Outcome {
    /// Returns whether the step brought nothing about.
    pub(crate) fn is_empty(&self) -> bool {
        self.actions.is_empty() && self.decisions.is_empty() && !self.placed
    }
}

/// The availability zone as this node sees and, if it leads, changes it.
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
                max_report_age: options.report_bound,
                missing_after: Millis(options.report_bound.0 * MISSING_BOUNDS),
                ..Bounds::default()
            }),
            election: Election::new(lease_options(options)),
            reconciler: Reconciler::new(placement_options(options)),
        }
    }

    /// Takes the VM list; engines of other zones are left out.
    pub(crate) fn list(&mut self, zone: &str, vms: &[Vm], now: Instant) -> Outcome {
        let own = vms
            .iter()
            .filter(|vm| vm.service.is_some() || vm.zone == zone);
        self.learn(member::Event::Listed(own.cloned().collect()), now)
    }

    /// Takes the result of a probe.
    pub(crate) fn probed(
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
            // Another VM answers at the address that the list still gives to this one.
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
        self.learn(event, now)
    }

    /// Takes an event about members.
    pub(crate) fn learn(&mut self, event: member::Event, now: Instant) -> Outcome {
        Outcome {
            decisions: self.table.step(event, now),
            ..Outcome::default()
        }
    }

    /// Takes a placement that another node passed on.
    pub(crate) fn told(&mut self, placement: Placement, now: Instant) -> Outcome {
        self.learn(member::Event::Placed(placement), now)
    }

    /// Takes an event of the election.
    pub(crate) fn elect(&mut self, event: lease::Event, now: Instant) -> Outcome {
        let mut outcome = Outcome::default();
        self.run_election(event, now, &mut outcome);
        outcome
    }

    /// Takes an event of the placement.
    pub(crate) fn place(&mut self, event: placement::Event, now: Instant) -> Outcome {
        let mut outcome = Outcome::default();
        self.run_reconciler(event, now, &mut outcome);
        outcome
    }

    /// Lets time pass and, if this node leads, plans and sends orders.
    pub(crate) fn plan(&mut self, catalog: &Catalog, now: Instant) -> Outcome {
        let mut outcome = self.learn(member::Event::Tick, now);
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
        self.dispose(actions, now, &mut outcome);
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
                | lease::Action::Revoke(_) => outcome.actions.push(Action::Elect(action)),
            }
        }
    }

    fn run_reconciler(&mut self, event: placement::Event, now: Instant, outcome: &mut Outcome) {
        let actions = self.reconciler.step(event);
        self.dispose(actions, now, outcome);
    }

    fn dispose(&mut self, actions: Vec<placement::Action>, now: Instant, outcome: &mut Outcome) {
        let authority = self.election.authority(now);
        for action in actions {
            match action {
                placement::Action::Read => outcome.actions.push(Action::ReadPlacement),
                placement::Action::Commit(commit) => match authority {
                    Some(authority) => outcome.actions.push(Action::Commit(commit, authority)),
                    None => {
                        let unsent = Err(no_authority("write placement", "key-value service"));
                        self.run_reconciler(placement::Event::Written(unsent), now, outcome);
                    }
                },
                placement::Action::Order(vm, order) => {
                    match self.table.vm(&vm).cloned().zip(authority) {
                        Some((vm, authority)) => {
                            outcome.actions.push(Action::Order(vm, order, authority));
                        }
                        None => {
                            let unsent = Err(no_authority("send order", &vm));
                            let event = placement::Event::Ordered(vm, unsent);
                            self.run_reconciler(event, now, outcome);
                        }
                    }
                }
                placement::Action::Changed => {
                    let placement = self.reconciler.placement().clone();
                    let decisions = self.table.step(member::Event::Placed(placement), now);
                    outcome.decisions.extend(decisions);
                    outcome.placed = true;
                }
                placement::Action::Superseded(fence) => {
                    self.run_election(lease::Event::Superseded(fence), now, outcome);
                }
                placement::Action::Explain(decision) => outcome.decisions.push(decision),
            }
        }
    }

    /// Gets the address of a VM as the VM list last gave it.
    pub(crate) fn address(&self, vm: &str) -> Option<SocketAddr> {
        self.table.vm(vm).map(|vm| vm.address)
    }
}

/// Returns the options of the zone's placement.
pub(crate) fn placement_options(options: &Options) -> placement::Options {
    let keys = Keys::of(&options.zone);
    placement::Options {
        zone: options.zone.clone(),
        leader_key: keys.leader,
        placement_key: keys.placement,
        order_retry_interval: Millis(options.probe_interval.0 * ORDER_RETRY_PROBES),
        max_orders_in_flight: ORDERS_IN_FLIGHT,
        drain_propagation: DRAIN_SETTLE,
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
        retry_delay: CALL_RETRY,
        candidacy_delay: Millis(hasher.finish() % STAGGER_MILLIS),
        engines_check_fence: options.engines_check_fence,
    }
}
