//! Turns a placement into writes and into orders for model engines.
//!
//! [`Reconciler`] is the leader's aggregate. Nothing leaves it without an authority: a write is tied
//! to the creation revision of the leader's key and to the revision of the placement that it
//! changes, and an order carries the fencing number.

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

/// Keys and bounds of a reconciler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Availability zone.
    pub zone: CompactString,
    /// Key of the leader.
    pub leader_key: CompactString,
    /// Key of the placement.
    pub placement_key: CompactString,
    /// Time after which an order is repeated while the VM's report does not match.
    pub order_retry_interval: Millis,
    /// Largest number of orders that are under way at once.
    pub max_orders_in_flight: usize,
    /// Time in which every node learns that a group drains and in which load reports catch up.
    pub drain_propagation: Millis,
    /// Weights and spans of the planner.
    pub plan: plan::Options,
}

/// A placement at a revision of the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// Placement.
    pub placement: Placement,
    /// Revision at which it was written; zero if the key does not exist.
    pub mod_revision: u64,
}

/// A write of the placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    /// Placement to write.
    pub placement: Placement,
    /// Revision of the placement that it replaces; zero if there is none.
    pub expected_revision: u64,
}

impl Commit {
    /// Returns the transaction that writes the placement, encoded as `value`, if the leader's key
    /// and the placement are still those that the write was decided on.
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

/// Something that the reconciler learns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This node leads.
    Acquired(Fence),
    /// This node no longer leads.
    Lost,
    /// A watch or a peer shows a placement.
    Observed(Versioned),
    /// Answer to [`Action::Read`].
    Read(Result<Option<Versioned>>),
    /// Answer to [`Action::Commit`].
    Written(Result<Written>),
    /// Answer to [`Action::Order`].
    Ordered(CompactString, Result<()>),
}

/// What the executor has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the placement.
    Read,
    /// Write a placement while the authority lasts.
    Commit(Commit),
    /// Send an order to a VM while the authority lasts.
    Order(CompactString, Order),
    /// The placement in force has changed.
    Changed,
    /// The leader's key is another's.
    Superseded(Fence),
    /// A decision to record.
    Explain(Decision),
}

/// What one round of reconciling depends on.
#[derive(Clone, Copy, Debug)]
pub struct Round<'a> {
    /// Authority of this node.
    pub authority: Authority,
    /// Members' reports.
    pub table: &'a Table,
    /// Catalogue in force.
    pub catalog: &'a Catalog,
    /// Time.
    pub now: Instant,
}

/// What the reconciler knows about its view of the placement.
#[derive(Clone, Debug, PartialEq, Eq)]
enum View {
    /// This node does not lead.
    Follower,
    /// The placement must be read anew under a fencing number.
    Unread(Fence),
    /// The placement is being read under a fencing number.
    Reading(Fence),
    /// The placement was read under a fencing number; no other leader can have changed it since.
    Confirmed(Fence),
    /// A write is under way.
    Writing(Fence, Commit),
}

/// Writes the placement of one availability zone and brings its engines into line with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reconciler {
    options: Options,
    known: Versioned,
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
            known: Versioned {
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

    /// Gets the placement that is known to be in force.
    #[must_use]
    pub fn placement(&self) -> &Placement {
        &self.known.placement
    }

    /// Takes an event and returns what is to be done.
    pub fn step(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Acquired(fence) => self.view = View::Unread(fence),
            Event::Lost => self.view = View::Follower,
            Event::Observed(known) => self.take(known, &mut actions),
            Event::Read(result) => self.read(result, &mut actions),
            Event::Written(result) => self.written(result, &mut actions),
            Event::Ordered(vm, result) => actions.extend(self.orders.answered(&vm, &result)),
        }
        actions
    }

    /// Returns what a leader has to do now.
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
        self.drains.update(&self.known.placement, round.now);
        if let Some(commit) = self.propose(round, &mut actions) {
            self.view = View::Writing(round.authority.fence, commit.clone());
            actions.push(Action::Commit(commit));
            return actions;
        }
        if round.authority.may_order(round.now) {
            actions.extend(self.orders.due(&self.known.placement, &self.options, round));
        }
        actions
    }

    /// Returns the next write, if the placement should change.
    fn propose(&mut self, round: &Round<'_>, actions: &mut Vec<Action>) -> Option<Commit> {
        // A node that sees no engine, or has not had time to see them, judges nothing.
        let blind = !round.table.is_settled(round.now) || round.table.is_cut_off(round.now);
        if blind {
            return None;
        }
        let vms = round.table.candidates();
        let drained =
            self.drains
                .drained(&self.known.placement, round, self.options.drain_propagation);
        let input = plan::Input {
            placement: &self.known.placement,
            catalog: round.catalog,
            vms: &vms,
            drained: &drained,
            now: round.now,
        };
        let proposal = propose(&input, self.options.plan, round.table)?;
        let mut placement = proposal.placement;
        placement.fence = round.authority.fence;
        placement.sequence = self.known.placement.sequence + 1;
        let doubled = placement.vms_in_two_groups();
        if let Some(vm) = doubled.first() {
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
            expected_revision: self.known.mod_revision,
        })
    }

    /// Takes a placement unless a newer one is known.
    fn take(&mut self, known: Versioned, actions: &mut Vec<Action>) {
        if known.mod_revision <= self.known.mod_revision {
            return;
        }
        self.known = known;
        actions.push(Action::Changed);
    }

    fn read(&mut self, result: Result<Option<Versioned>>, actions: &mut Vec<Action>) {
        let View::Reading(fence) = self.view else {
            return;
        };
        let Ok(found) = result else {
            self.view = View::Unread(fence);
            return;
        };
        self.view = View::Confirmed(fence);
        match found {
            Some(known) => self.take(known, actions),
            None => self.start_empty(fence, actions),
        }
    }

    /// Starts from an empty placement when the key does not exist.
    fn start_empty(&mut self, fence: Fence, actions: &mut Vec<Action>) {
        // Names of groups go on from those that were known, should the key have been deleted, and
        // the fencing number lets members' tables take the empty placement for a newer one.
        let next_group = self.known.placement.next_group;
        self.known = Versioned {
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

    fn written(&mut self, result: Result<Written>, actions: &mut Vec<Action>) {
        let View::Writing(fence, commit) = &self.view else {
            return;
        };
        let (fence, commit) = (*fence, commit.clone());
        match result {
            Ok(Written::Done(revision)) => {
                self.view = View::Confirmed(fence);
                let known = Versioned {
                    placement: commit.placement,
                    mod_revision: revision,
                };
                self.take(known, actions);
            }
            Ok(Written::Refused { leader, current }) => {
                // A lost write of this leader may have landed, or another leader wrote.
                self.view = View::Unread(fence);
                if leader != Some(fence.0) {
                    actions.push(Action::Superseded(fence));
                }
                if let Some(current) = current {
                    self.take(current, actions);
                }
            }
            Err(Error::Unreachable { .. }) => self.view = View::Confirmed(fence),
            // Whether the write happened is found by reading it back.
            Err(_) => self.view = View::Unread(fence),
        }
    }
}

/// Returns a better placement in view of the groups that are whole.
///
/// A VM that comes and goes is missing in the table until it has been steady, so the planner needs
/// no record of its own.
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

/// Returns whether a group may get members.
fn is_active(state: State) -> bool {
    match state {
        State::Active => true,
        State::Draining => false,
    }
}

/// Names a command in decisions.
fn name(command: &Command) -> CompactString {
    match command {
        Command::Join {
            group, generation, ..
        } => compact_str::format_compact!("join {group} generation {generation}"),
        Command::Leave => "leave".into(),
    }
}
