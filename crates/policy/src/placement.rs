//! Writes the placement of a zone and sends orders to its model engines.
//!
//! [`Reconciler`] holds the leader's state. It acts only under an [`Authority`]: a write is
//! conditional on the creation revision of the leader's key and on the revision of the placement
//! that it replaces, and an order carries the fencing number.

use std::collections::BTreeSet;

use compact_str::CompactString;
use jackdaw_core::catalog::Catalog;
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::order::{Command, Order};
use jackdaw_core::placement::{Placement, State};
use jackdaw_core::store::{Compare, Transaction, Write};
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Millis};

use crate::lease::Authority;
use crate::member::Table;
use crate::plan;

mod drain;
mod order;

use drain::Drains;
use order::Orders;

/// Keys and limits of a reconciler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Availability zone.
    pub zone: CompactString,
    /// Key of the leader.
    pub leader_key: CompactString,
    /// Key of the placement.
    pub placement_key: CompactString,
    /// Time after which an order is repeated while the VM's report does not match the placement.
    pub order_retry_interval: Millis,
    /// Largest number of orders sent and not yet answered.
    pub max_orders_in_flight: usize,
    /// Time in which every node learns that a group drains and in which load reports catch up.
    pub drain_propagation: Millis,
    /// Options of the planner.
    pub plan: plan::Options,
}

/// A placement with the revision of the key-value service at which it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// Placement.
    pub placement: Placement,
    /// Revision of the last write; zero if the key does not exist.
    pub mod_revision: u64,
}

/// A conditional write of the placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    /// Placement to write.
    pub placement: Placement,
    /// Revision of the placement that is replaced; zero if there is none.
    pub expected_revision: u64,
}

impl Commit {
    /// Returns the transaction that writes the placement, encoded as `value`, if the leader's key
    /// and the placement have not changed since the write was decided.
    #[must_use]
    pub fn transaction(&self, options: &Options, value: Vec<u8>) -> Transaction {
        let leader = options.leader_key.clone();
        let key = options.placement_key.clone();
        let placement = if self.expected_revision == 0 {
            Compare::Absent(key.clone())
        } else {
            Compare::ModRevision(key.clone(), self.expected_revision)
        };
        Transaction {
            when: vec![
                Compare::CreateRevision(leader.clone(), self.placement.fence.0),
                placement,
            ],
            then: vec![Write::Put {
                key: key.clone(),
                value,
                lease: None,
            }],
            otherwise: vec![leader, key],
        }
    }
}

/// Result of a write that the key-value service answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
    /// The placement was written at a revision.
    Done(u64),
    /// A condition failed.
    Refused {
        /// Creation revision of the leader's key, if it exists.
        leader: Option<u64>,
        /// Placement in force, if it exists.
        current: Option<Versioned>,
    },
}

/// An input of the reconciler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This node became the leader under a fencing number.
    Acquired(Fence),
    /// This node is no longer the leader.
    Lost,
    /// A placement arrived from a watch or from a peer.
    Observed(Versioned),
    /// Answer to [`Action::Read`].
    Read(Result<Option<Versioned>>),
    /// Answer to [`Action::Commit`].
    Written(Result<Written>),
    /// Answer of a VM to [`Action::Order`].
    Ordered(CompactString, Result<()>),
}

/// An output of the reconciler, to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the placement.
    Read,
    /// Write a placement while the authority is valid.
    Commit(Commit),
    /// Send an order to a VM while the authority is valid.
    Order(CompactString, Order),
    /// The known placement has changed.
    Changed,
    /// The leader's key no longer belongs to this fencing number.
    Superseded(Fence),
    /// Record a decision.
    Explain(Decision),
}

/// Inputs of one round of reconciliation.
#[derive(Clone, Copy, Debug)]
pub struct Round<'a> {
    /// Authority of this node as the leader.
    pub authority: Authority,
    /// Members' reports.
    pub table: &'a Table,
    /// Catalogue in force.
    pub catalog: &'a Catalog,
    /// Current time.
    pub now: Instant,
}

/// How far the known placement is confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
enum View {
    /// This node is not the leader.
    Follower,
    /// The placement must be read again under a fencing number.
    Unread(Fence),
    /// The placement is being read under a fencing number.
    Reading(Fence),
    /// The placement was read under a fencing number; no other leader can have changed it since.
    Confirmed(Fence),
    /// A write is in flight.
    Writing(Fence, Commit),
}

/// Writes the placement of one availability zone and orders its engines to match it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reconciler {
    options: Options,
    latest: Versioned,
    view: View,
    orders: Orders,
    drains: Drains,
}

impl Reconciler {
    /// Creates a reconciler that knows no placement.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let placement = Placement {
            zone: options.zone.clone(),
            ..Placement::default()
        };
        Reconciler {
            options,
            latest: Versioned {
                placement,
                mod_revision: 0,
            },
            view: View::Follower,
            orders: Orders::default(),
            drains: Drains::default(),
        }
    }

    /// Gets the options.
    #[must_use]
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Gets the latest placement that is known.
    #[must_use]
    pub fn placement(&self) -> &Placement {
        &self.latest.placement
    }

    /// Handles an event and returns the actions that follow from it.
    pub fn step(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Acquired(fence) => self.view = View::Unread(fence),
            Event::Lost => self.view = View::Follower,
            Event::Observed(versioned) => self.adopt(versioned, &mut actions),
            Event::Read(result) => self.handle_read(result, &mut actions),
            Event::Written(result) => self.handle_written(result, &mut actions),
            Event::Ordered(vm, result) => actions.extend(self.orders.handle_answer(&vm, &result)),
        }
        actions
    }

    /// Returns the actions that are due now; none if this node is not the leader.
    pub fn run_round(&mut self, round: &Round<'_>) -> Vec<Action> {
        let authority = round.authority;
        if !authority.may_commit(round.now) {
            return Vec::new();
        }
        match self.view {
            View::Unread(fence) if fence == authority.fence => {
                self.view = View::Reading(fence);
                vec![Action::Read]
            }
            View::Confirmed(fence) if fence == authority.fence => self.reconcile(round),
            View::Unread(_)
            | View::Confirmed(_)
            | View::Reading(_)
            | View::Writing(..)
            | View::Follower => Vec::new(),
        }
    }

    fn reconcile(&mut self, round: &Round<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.drains.update(&self.latest.placement, round.now);
        if let Some(commit) = self.propose(round, &mut actions) {
            self.view = View::Writing(round.authority.fence, commit.clone());
            actions.push(Action::Commit(commit));
            return actions;
        }
        if round.authority.may_order(round.now) {
            actions.extend(
                self.orders
                    .send_due(&self.latest.placement, &self.options, round),
            );
        }
        actions
    }

    /// Returns the next write, if the placement should change.
    fn propose(&mut self, round: &Round<'_>, actions: &mut Vec<Action>) -> Option<Commit> {
        // A node without reports, at its start or cut off from all engines, would take every VM for
        // missing.
        let cannot_judge = !round.table.is_settled(round.now) || round.table.is_cut_off(round.now);
        if cannot_judge {
            return None;
        }
        let vms = round.table.candidates();
        let drained = self.drains.drained(
            &self.latest.placement,
            round,
            self.options.drain_propagation,
        );
        let input = plan::Input {
            placement: &self.latest.placement,
            catalog: round.catalog,
            vms: &vms,
            drained: &drained,
            now: round.now,
        };
        let proposal = propose(&input, self.options.plan, round.table)?;
        let mut placement = proposal.placement;
        placement.fence = round.authority.fence;
        placement.sequence = self.latest.placement.sequence + 1;
        let duplicates = placement.vms_in_two_groups();
        if let Some(vm) = duplicates.first() {
            let subject = Subject::Vm(vm.clone());
            let decision = Decision::new(
                subject,
                "the plan lists the VM in two groups",
                "the plan is not written",
            );
            actions.push(Action::Explain(decision));
            return None;
        }
        actions.extend(proposal.decisions.into_iter().map(Action::Explain));
        Some(Commit {
            placement,
            expected_revision: self.latest.mod_revision,
        })
    }

    /// Replaces the latest placement if the given one is newer.
    fn adopt(&mut self, versioned: Versioned, actions: &mut Vec<Action>) {
        if versioned.mod_revision <= self.latest.mod_revision {
            return;
        }
        self.latest = versioned;
        actions.push(Action::Changed);
    }

    fn handle_read(&mut self, result: Result<Option<Versioned>>, actions: &mut Vec<Action>) {
        let View::Reading(fence) = self.view else {
            return;
        };
        let Ok(found) = result else {
            self.view = View::Unread(fence);
            return;
        };
        self.view = View::Confirmed(fence);
        match found {
            Some(versioned) => self.adopt(versioned, actions),
            None => self.start_empty(fence, actions),
        }
    }

    /// Starts from an empty placement when the key does not exist.
    fn start_empty(&mut self, fence: Fence, actions: &mut Vec<Action>) {
        // The key may have been deleted: group names continue from those known before, so that none
        // is reused, and the fencing number makes the empty placement newer for the members'
        // tables.
        let next_group = self.latest.placement.next_group;
        self.latest = Versioned {
            placement: Placement {
                zone: self.options.zone.clone(),
                fence,
                next_group,
                ..Placement::default()
            },
            mod_revision: 0,
        };
        actions.push(Action::Changed);
    }

    fn handle_written(&mut self, result: Result<Written>, actions: &mut Vec<Action>) {
        let View::Writing(fence, commit) = &self.view else {
            return;
        };
        let (fence, commit) = (*fence, commit.clone());
        match result {
            Ok(Written::Done(revision)) => {
                self.view = View::Confirmed(fence);
                let versioned = Versioned {
                    placement: commit.placement,
                    mod_revision: revision,
                };
                self.adopt(versioned, actions);
            }
            Ok(Written::Refused { leader, current }) => {
                // An earlier write of this leader whose answer was lost may have succeeded, or
                // another leader wrote.
                self.view = View::Unread(fence);
                if leader != Some(fence.0) {
                    actions.push(Action::Superseded(fence));
                }
                if let Some(current) = current {
                    self.adopt(current, actions);
                }
            }
            Err(Error::Unreachable { .. }) => self.view = View::Confirmed(fence),
            // Reading the placement back shows whether the write succeeded.
            Err(_) => self.view = View::Unread(fence),
        }
    }
}

/// Returns a better placement, with the groups that the table reports as whole counted as serving.
///
/// The table reports a flapping VM as missing until it is steady again, so the planner gets no flap
/// history.
#[must_use]
pub fn propose(
    input: &plan::Input<'_>,
    options: plan::Options,
    table: &Table,
) -> Option<plan::Proposal> {
    let serving: BTreeSet<CompactString> = table
        .whole_groups()
        .map(|group| group.name.clone())
        .collect();
    let context = plan::Context {
        options,
        flaps: None,
        serving: Some(&serving),
    };
    plan::propose_with(input, &context)
}

/// Returns whether members may join a group in this state.
fn is_active(state: State) -> bool {
    match state {
        State::Active => true,
        State::Draining => false,
    }
}

/// Returns the text that names a command in decisions.
fn describe(command: &Command) -> CompactString {
    match command {
        Command::Join {
            group, generation, ..
        } => compact_str::format_compact!("join {group} generation {generation}"),
        Command::Leave => "leave".into(),
    }
}
