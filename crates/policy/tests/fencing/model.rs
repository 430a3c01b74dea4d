//! Model of two nodes, one placement, three engines and a key-value service, run step by step.

use std::collections::BTreeMap;
use std::rc::Rc;

use compact_str::CompactString;
use jackdaw_core::errors::Error;
use jackdaw_core::member::Report;
use jackdaw_core::order::Order;
use jackdaw_core::store::Lease;
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Millis};
use jackdaw_policy::lease;
use jackdaw_policy::member::{self, Observation};
use jackdaw_policy::placement::{self, Commit, Round, Versioned, Written};

use crate::engine::Engine;
use crate::fixture::{catalog, vms};
use crate::node::{Node, digest};
use crate::store::Store;

/// Unit of time of the model.
pub(crate) const UNIT: Millis = Millis(10_000);

pub(crate) const VMS: [&str; 3] = ["v0", "v1", "v2"];
/// Number of time units from the start of the exploration within which the first node may freeze.
/// Within them it finds the member missing, writes the placement and sends the orders.
const FREEZE_WITHIN_UNITS: u64 = 1;
pub(crate) const LEADER_KEY: &str = "leader";
pub(crate) const REPORT_BOUND: Millis = UNIT;
pub(crate) const TTL: Millis = Millis(3 * UNIT.0);
pub(crate) const ORDER_TIMEOUT: Millis = Millis(3 * UNIT.0);

/// Safeguard that is left out on purpose to show that the explorer finds the violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Variant {
    /// No safeguard is left out.
    Correct,
    /// The authority is not checked again before an order is sent.
    NoCheckBeforeSending,
    /// A new leader sends orders immediately although engines ignore the fencing number.
    NoOrderDelay,
    /// A write is not conditional on the leader's key.
    UnconditionalWrite,
    /// Nodes evaluate groups by the placement alone, without matching reports.
    TrustPlacement,
}

/// Parameters of an exploration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) variant: Variant,
    pub(crate) engines_check_fence: bool,
    pub(crate) freezes: u32,
    pub(crate) lost_answers: u32,
    /// Number of time units that are explored.
    pub(crate) horizon: u64,
}

/// Transition of the model. Numbers are indices of nodes or of messages in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// A node executes its next task.
    Run(usize),
    /// A node probes, watches, ticks and plans.
    Cycle(usize),
    /// A message arrives.
    Deliver(usize),
    /// A call arrives and its answer is lost.
    Lose(usize),
    /// The first node freezes.
    Freeze,
    /// The first node wakes.
    Wake,
    /// Time passes.
    Advance,
}

#[derive(Clone, Debug)]
pub(crate) enum Call {
    Grant,
    Create(Lease),
    ReadLeader,
    Renew(Lease),
    Revoke(Lease),
    ReadPlacement,
    Commit(Commit),
}

#[derive(Clone, Debug)]
enum Message {
    Call {
        node: usize,
        sent: Instant,
        call: Call,
    },
    Order {
        node: usize,
        vm: usize,
        order: Order,
        deadline: Instant,
    },
}

#[derive(Clone, Debug)]
pub(crate) enum Task {
    Lease(lease::Action),
    Place(placement::Action),
    LeaseAnswer(lease::Event),
    PlaceAnswer(placement::Event),
}

/// State of the model.
#[derive(Clone, Debug)]
pub(crate) struct Model {
    now: Instant,
    end: Instant,
    freeze_until: Instant,
    store: Store,
    nodes: [Node; 2],
    engines: [Engine; 3],
    in_flight: Vec<Message>,
    highest_ordered_fence: Fence,
    lost_answers: u32,
    may_lose_renewals: bool,
    freezes: u32,
    /// Number of commits of each node, to show what an exploration covered.
    pub(crate) commits: [u32; 2],
    pub(crate) has_refused_stale_order: bool,
}

impl Model {
    /// Creates a model in which the first node leads and the second member of a whole group has
    /// just crashed.
    pub(crate) fn new(setup: &Setup) -> Self {
        let engine = Engine {
            is_alive: true,
            fence: Fence(0),
            membership: None,
            held_until: BTreeMap::new(),
        };
        let mut model = Model {
            now: Instant(0),
            end: Instant(u64::MAX),
            freeze_until: Instant(u64::MAX),
            store: Store {
                revision: 100,
                ..Store::default()
            },
            nodes: [Node::new(0, setup), Node::new(1, setup)],
            engines: [engine.clone(), engine.clone(), engine],
            in_flight: Vec::new(),
            highest_ordered_fence: Fence(0),
            lost_answers: 0,
            may_lose_renewals: setup.freezes == 0,
            freezes: 0,
            commits: [0, 0],
            has_refused_stale_order: false,
        };
        while model.nodes[1].table.whole_groups().next().is_none() {
            model.run_unit(setup);
        }
        model.engines[1].crash(model.now);
        // The crash has no effect until the member's reports are too old.
        model.run_unit(setup);
        model.lost_answers = setup.lost_answers;
        model.freezes = setup.freezes;
        model.end = model.now + Millis(setup.horizon * UNIT.0);
        model.freeze_until = model.now + Millis(FREEZE_WITHIN_UNITS * UNIT.0);
        model.commits = [0, 0];
        model
    }

    /// Applies all steps of one time unit in a fixed order.
    fn run_unit(&mut self, setup: &Setup) {
        loop {
            let steps = self.possible_steps();
            let next = steps
                .iter()
                .find(|step| !matches!(step, Step::Advance | Step::Freeze | Step::Lose(_)));
            let step = *next.unwrap_or(&Step::Advance);
            self.apply(step, setup).expect("no violation at the start");
            if step == Step::Advance {
                return;
            }
        }
    }

    /// Returns the steps that are possible now.
    ///
    /// Two reductions keep the number of states small. The call of a running node arrives before
    /// anything else happens, because sending it later has the same effect; the call of a frozen
    /// node arrives at any time. An order arrives only while no running node has a task left, but
    /// at any such moment until its deadline.
    pub(crate) fn possible_steps(&self) -> Vec<Step> {
        if let Some(step) = self.observation_step() {
            return vec![step];
        }
        let mut steps = Vec::new();
        if self.freezes > 0 && !self.nodes[0].is_frozen && self.now <= self.freeze_until {
            steps.push(Step::Freeze);
        }
        if let Some(index) = self.call_of_running_node() {
            self.push_call_steps(index, &mut steps);
            return steps;
        }
        self.push_node_steps(&mut steps);
        let is_idle = self.running_nodes().all(|node| node.tasks.is_empty());
        let have_all_cycled = self
            .running_nodes()
            .all(|node| node.last_cycle == Some(self.now));
        let mut is_order_due = false;
        for (index, message) in self.in_flight.iter().enumerate() {
            match message {
                Message::Call { .. } => self.push_call_steps(index, &mut steps),
                Message::Order { deadline, .. } => {
                    is_order_due |= *deadline <= self.now;
                    if is_idle {
                        steps.push(Step::Deliver(index));
                    }
                }
            }
        }
        if is_idle && have_all_cycled && !is_order_due && self.now < self.end {
            steps.push(Step::Advance);
        }
        steps
    }

    fn running_nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| !node.is_frozen)
    }

    fn call_of_running_node(&self) -> Option<usize> {
        self.in_flight.iter().position(|message| match message {
            Message::Call { node, .. } => !self.nodes[*node].is_frozen,
            Message::Order { .. } => false,
        })
    }

    fn push_call_steps(&self, index: usize, steps: &mut Vec<Step>) {
        steps.push(Step::Deliver(index));
        let Message::Call { call, .. } = &self.in_flight[index] else {
            return;
        };
        // Renewals are numerous, so their answers are lost only in explorations without a freeze.
        let is_lossy = match call {
            Call::Create(_) | Call::Commit(_) => true,
            Call::Renew(_) => self.may_lose_renewals,
            Call::Grant | Call::ReadLeader | Call::Revoke(_) | Call::ReadPlacement => false,
        };
        if self.lost_answers > 0 && is_lossy {
            steps.push(Step::Lose(index));
        }
    }

    fn push_node_steps(&self, steps: &mut Vec<Step>) {
        for (index, node) in self.nodes.iter().enumerate() {
            if node.is_frozen {
                steps.push(Step::Wake);
            } else if !node.tasks.is_empty() {
                steps.push(Step::Run(index));
            } else if node.last_cycle != Some(self.now) {
                steps.push(Step::Cycle(index));
            }
        }
    }

    /// Returns the cycle of a node that can only observe. Its time within the unit does not affect
    /// the other nodes, so only one order is explored.
    fn observation_step(&self) -> Option<Step> {
        let leader = self.store.leader.as_ref()?;
        let can_only_observe = |index: &usize| {
            let node = &self.nodes[*index];
            let is_leader = node.election.authority(self.now).is_some()
                || leader.value == ["n0", "n1"][*index].as_bytes();
            let is_busy =
                node.is_frozen || !node.tasks.is_empty() || node.last_cycle == Some(self.now);
            !is_leader && !is_busy
        };
        [1, 0].into_iter().find(can_only_observe).map(Step::Cycle)
    }

    /// Applies a step.
    ///
    /// # Errors
    ///
    /// Returns a description of the invariant that the step violates.
    pub(crate) fn apply(&mut self, step: Step, setup: &Setup) -> Result<(), String> {
        match step {
            Step::Run(node) => {
                while self.nodes[node].is_next_task_local() {
                    self.run(node, setup);
                }
                self.run(node, setup);
            }
            Step::Cycle(node) => return self.cycle(node, setup),
            Step::Deliver(index) => return self.deliver(index, false, setup),
            Step::Lose(index) => {
                self.lost_answers -= 1;
                return self.deliver(index, true, setup);
            }
            Step::Freeze => {
                self.freezes -= 1;
                self.nodes[0].is_frozen = true;
            }
            Step::Wake => self.nodes[0].is_frozen = false,
            Step::Advance => self.advance(),
        }
        Ok(())
    }

    fn advance(&mut self) {
        self.now = self.now + UNIT;
        let now = self.now;
        self.store.leases.retain(|_, expiry| *expiry > now);
        self.store.remove_expired_leader();
    }

    /// Probes, watches and plans in a single step; steps of other nodes come before or after it.
    fn cycle(&mut self, index: usize, setup: &Setup) -> Result<(), String> {
        let now = self.now;
        let reports: Vec<Report> = (0..VMS.len())
            .filter(|vm| self.engines[*vm].is_alive)
            .map(|vm| self.engines[vm].report(vm))
            .collect();
        let leader = self.store.leader.clone();
        let placed = self.store.placement.clone();
        let revision = self.store.revision;
        let node = &mut self.nodes[index];
        node.last_cycle = Some(now);
        let table = Rc::make_mut(&mut node.table);
        table.step(member::Event::Listed(vms()), now);
        for report in reports {
            let seen = Observation::probed(report, now);
            table.step(member::Event::Reported(seen), now);
        }
        if let Some(known) = placed {
            node.step_reconciler(placement::Event::Observed(Versioned::clone(&known)));
        }
        let placed = node.reconciler.placement().clone();
        let table = Rc::make_mut(&mut node.table);
        table.step(member::Event::Placed(placed), now);
        table.step(member::Event::Tick, now);
        let entry = leader;
        node.step_election(lease::Event::Observed { entry, revision }, now);
        node.step_election(lease::Event::Tick, now);
        if let Some(authority) = node.election.authority(now) {
            let round = Round {
                authority,
                table: &node.table,
                catalog: &catalog(),
                now,
            };
            let actions = Rc::make_mut(&mut node.reconciler).run_round(&round);
            node.queue_actions(actions);
        }
        node.digest = digest(&(&node.reconciler, &node.table));
        self.check_whole_groups(index, setup)
    }

    /// Checks that each member of a group that a node considers whole held it within the bound.
    fn check_whole_groups(&self, index: usize, setup: &Setup) -> Result<(), String> {
        let table = &self.nodes[index].table;
        let whole: Vec<_> = if setup.variant == Variant::TrustPlacement && self.end.0 < u64::MAX {
            table.placement().groups.iter().collect()
        } else {
            table.whole_groups().collect()
        };
        for group in whole {
            for (vm, engine) in VMS.iter().zip(&self.engines) {
                if !group.members.iter().any(|member| member == vm) {
                    continue;
                }
                let last = engine.last_held(&group.name, group.generation, self.now);
                if last.is_none_or(|last| self.now.since(last) > REPORT_BOUND) {
                    return Err(format!(
                        "n{index} considers {} whole without {vm}",
                        group.name
                    ));
                }
            }
        }
        Ok(())
    }

    /// Executes a task as the executors do: the clock is read before a call is sent, and the
    /// authority is checked before a write or an order is sent.
    fn run(&mut self, index: usize, setup: &Setup) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let Some(task) = node.tasks.pop_front() else {
            return;
        };
        let call = match task {
            Task::LeaseAnswer(event) => return node.step_election(event, now),
            Task::PlaceAnswer(event) => return node.step_reconciler(event),
            Task::Lease(action) => match action {
                lease::Action::Grant(_) => Call::Grant,
                lease::Action::Create(lease) => Call::Create(lease),
                lease::Action::Read => Call::ReadLeader,
                lease::Action::Renew(lease) => Call::Renew(lease),
                lease::Action::Revoke(lease) => Call::Revoke(lease),
                lease::Action::Acquired(authority) => {
                    return node.step_reconciler(placement::Event::Acquired(authority.fence));
                }
                lease::Action::Lost(_) => return node.step_reconciler(placement::Event::Lost),
                lease::Action::Explain(_) => return,
            },
            Task::Place(action) => match action {
                placement::Action::Read => Call::ReadPlacement,
                placement::Action::Commit(commit) => {
                    let is_allowed = node
                        .election
                        .authority(now)
                        .is_some_and(|authority| authority.fence == commit.placement.fence);
                    if !is_allowed {
                        let not_sent = Error::unreachable("commit", "store", "no authority");
                        return node.step_reconciler(placement::Event::Written(Err(not_sent)));
                    }
                    Call::Commit(commit)
                }
                placement::Action::Order(vm, order) => return self.send(index, &vm, order, setup),
                placement::Action::Superseded(fence) => {
                    return node.step_election(lease::Event::Superseded(fence), now);
                }
                placement::Action::Changed | placement::Action::Explain(_) => return,
            },
        };
        self.in_flight.push(Message::Call {
            node: index,
            sent: now,
            call,
        });
    }

    fn send(&mut self, index: usize, vm: &CompactString, order: Order, setup: &Setup) {
        let node = &mut self.nodes[index];
        let is_allowed = node.election.authority(self.now).is_some_and(|authority| {
            authority.fence == order.fence && authority.may_order(self.now)
        });
        if !is_allowed && setup.variant != Variant::NoCheckBeforeSending {
            let not_sent = Error::unreachable("order", vm, "no authority");
            return node.step_reconciler(placement::Event::Ordered(vm.clone(), Err(not_sent)));
        }
        self.highest_ordered_fence = self.highest_ordered_fence.max(order.fence);
        self.in_flight.push(Message::Order {
            node: index,
            vm: VMS.iter().position(|name| name == vm).expect("VM"),
            order,
            deadline: self.now + ORDER_TIMEOUT,
        });
    }

    fn deliver(&mut self, index: usize, is_answer_lost: bool, setup: &Setup) -> Result<(), String> {
        match self.in_flight.remove(index) {
            Message::Call { node, sent, call } => {
                let mut answer = self.store.execute(node, &call, sent, self.now, setup)?;
                if matches!(
                    answer,
                    Task::PlaceAnswer(placement::Event::Written(Ok(Written::Done(_))))
                ) {
                    self.commits[node] += 1;
                }
                if is_answer_lost {
                    answer = lost_answer(&call, sent);
                }
                self.nodes[node].tasks.push_back(answer);
            }
            Message::Order {
                node, vm, order, ..
            } => {
                let is_stale = order.fence < self.highest_ordered_fence;
                let result =
                    self.engines[vm].execute(&order, setup.engines_check_fence, self.now)?;
                self.has_refused_stale_order |= is_stale && result.is_err();
                // An engine that checks may obey an old leader until it receives an order of the
                // new one; an engine that ignores the number must never receive a stale order.
                if is_stale && result.is_ok() && !setup.engines_check_fence {
                    return Err(format!("{} executed a stale order: {order:?}", VMS[vm]));
                }
                let answer = placement::Event::Ordered(VMS[vm].into(), result);
                self.nodes[node].tasks.push_back(Task::PlaceAnswer(answer));
            }
        }
        Ok(())
    }
}

fn lost_answer(call: &Call, sent: Instant) -> Task {
    let error = Error::indeterminate("call", "store", "answer lost");
    match call {
        Call::Grant => Task::LeaseAnswer(lease::Event::Granted(sent, Err(error))),
        Call::Create(_) => Task::LeaseAnswer(lease::Event::Created(sent, Err(error))),
        Call::Renew(_) => Task::LeaseAnswer(lease::Event::Renewed(sent, Err(error))),
        Call::ReadLeader | Call::Revoke(_) => {
            Task::LeaseAnswer(lease::Event::Read(sent, Err(error)))
        }
        Call::ReadPlacement => Task::PlaceAnswer(placement::Event::Read(Err(error))),
        Call::Commit(_) => Task::PlaceAnswer(placement::Event::Written(Err(error))),
    }
}
