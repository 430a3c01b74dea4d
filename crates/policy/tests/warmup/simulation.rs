//! A simulation of many nodes that ask for requests to one cold server.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use compact_str::{CompactString, format_compact};
use fastrand::Rng;
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Millis, Rate};
use jackdaw_policy::throttle::{Ask, Asker, Keeper, Recipient, ServerId, TeamId, Verdict};

/// Number of nodes.
const NODES: usize = 68;
/// Figures of the deployments.
const RATE: f64 = 26.0;
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Length of a run in milliseconds.
pub(crate) const SPAN: u64 = 70_000;
/// Time of the event, and the time from which its effects are over: the lease of a node's registration,
/// the time until all have read the list of nodes, and that after which a keeper is sure of it.
pub(crate) const EVENT_AT: u64 = 10_000;
pub(crate) const SETTLED_AT: u64 = EVENT_AT + 12_000 + 8_000 + 20_000 + 4_000;
/// Time on the nodes' clocks at the start of a run, when all have been registered for long.
const ORIGIN: u64 = 100_000;
/// Time to live of a node's registration, and the pause between two renewals.
const TTL: u64 = 12_000;
const RENEWAL: u64 = 4_000;
/// Longest time until a node has read the list of nodes.
const LIST_DELAY: u64 = 8_000;
/// Time after which a question without an answer is given up.
const TIMEOUT: u64 = 100;
/// Longest times from a node to another, and from the grant to the arrival at the server.
const WAY: u64 = 50;
const ARRIVAL: u64 = 150;
/// The server.
const SERVER: ServerId = ServerId(77);

/// Returns the number of requests that may arrive in any one second.
pub(crate) fn bound() -> f64 {
    RATE * OVERSHOOT + SLACK
}

/// What happens at [`EVENT_AT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// Nothing.
    None,
    /// The keeper ends.
    KeeperEnds,
    /// A node joins that comes before the keeper.
    KeeperJoins,
    /// The keeper and a third of the nodes are divided from the others; all reach the store.
    Partition,
    /// The keeper reaches neither nodes nor the store, but the server.
    Isolation,
    /// The keeper and a third of the nodes are divided from the others and from the store.
    SideCutOff,
}

/// A run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    /// Requests in a second, relative to the sustained rate.
    pub(crate) load: f64,
    /// Share of lost datagrams.
    pub(crate) loss: f64,
    pub(crate) event: Event,
    /// Whether one node has all the demand.
    pub(crate) is_uneven: bool,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    node: usize,
    ask: Ask,
    asks: u32,
}

#[derive(Clone, Debug)]
enum Step {
    Demand,
    /// A question arrives at a node.
    Question(usize, u64),
    /// An answer arrives, to a question whose verdict was given at a time.
    Answer(u64, Verdict, u64),
    Timeout(u64),
    Renewal(usize),
    /// A node reads the list of nodes.
    List(usize),
    Event,
    /// The registrations of nodes that do not renew them lapse.
    Lapse,
}

struct Node {
    asker: Asker,
    keeper: Keeper,
    is_up: bool,
    /// Side of a partition.
    side: usize,
    has_store: bool,
}

/// What arrived at the server.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    arrivals: Vec<u64>,
    pub(crate) by_urgency: [usize; 2],
}

impl Outcome {
    /// Returns the largest number of arrivals in a second.
    pub(crate) fn worst_second(&self) -> usize {
        let mut arrivals = self.arrivals.clone();
        arrivals.sort_unstable();
        let mut first = 0;
        let mut worst = 0;
        for (last, at) in arrivals.iter().enumerate() {
            while arrivals[first] + 1_000 < *at {
                first += 1;
            }
            worst = worst.max(last + 1 - first);
        }
        worst
    }

    /// Returns the share of the sustained rate that arrived between two times.
    pub(crate) fn used(&self, from: u64, to: u64) -> f64 {
        let inside = self.arrivals.iter().filter(|at| (from..to).contains(at));
        inside.count() as f64 / (RATE * (to - from) as f64 / 1_000.0)
    }
}

pub(crate) struct Simulation {
    scenario: Scenario,
    nodes: Vec<Node>,
    /// Indexes of the nodes in the store's list.
    listed: Vec<usize>,
    steps: BinaryHeap<Reverse<(u64, u64)>>,
    queued: HashMap<u64, Step>,
    /// Requests that wait for an answer, with the nodes that are asked.
    waiting: HashMap<u64, (Request, usize)>,
    sequence: u64,
    now: u64,
    random: Rng,
    outcome: Outcome,
}

fn name(node: usize) -> CompactString {
    format_compact!("node-{node}")
}

/// Returns the nodes in the order in which they keep the server, of which the first `count` exist.
fn ranked(count: usize) -> Vec<usize> {
    let mut left: Vec<usize> = (0..count).collect();
    let mut ranked = Vec::new();
    while let Some(first) = left.first().copied() {
        let mut asker = Asker::new(&name(first));
        asker.set_peers(left[1..].iter().map(|node| name(*node)).collect());
        let keeper = asker.keeper(SERVER).unwrap_or_else(|| name(first));
        left.retain(|node| name(*node) != keeper);
        let idx = (0..count).find(|node| name(*node) == keeper);
        ranked.push(idx.expect("the keeper is one of the nodes"));
    }
    ranked
}

impl Simulation {
    pub(crate) fn run(scenario: Scenario, seed: u64) -> Outcome {
        // The node that joins is the first one that comes before the keeper.
        let joins = scenario.event == Event::KeeperJoins;
        let total = if joins {
            let mut counts = NODES + 1..;
            let count = counts.find(|count| ranked_first(*count) == count - 1);
            count.expect("some node comes first")
        } else {
            NODES
        };
        let mut simulation = Simulation {
            scenario,
            nodes: (0..total)
                .map(|node| Node {
                    asker: Asker::new(&name(node)),
                    keeper: Keeper::default(),
                    is_up: node < NODES,
                    side: 0,
                    has_store: true,
                })
                .collect(),
            listed: (0..NODES).collect(),
            steps: BinaryHeap::new(),
            queued: HashMap::new(),
            waiting: HashMap::new(),
            sequence: 0,
            now: 0,
            random: Rng::with_seed(seed),
            outcome: Outcome::default(),
        };
        for node in 0..NODES {
            let names = simulation.names(node);
            let asker = &mut simulation.nodes[node].asker;
            asker.replace_peers(names, Instant(0));
            // All nodes have been registered for long.
            asker.record_registration(Instant(ORIGIN + TTL), Instant(0));
            let pause = simulation.random.u64(..RENEWAL);
            simulation.schedule(pause, Step::Renewal(node));
        }
        simulation.schedule(0, Step::Demand);
        simulation.schedule(EVENT_AT, Step::Event);
        while let Some(Reverse((at, key))) = simulation.steps.pop() {
            if at >= SPAN {
                break;
            }
            simulation.now = at;
            if let Some(step) = simulation.queued.remove(&key) {
                simulation.step(step);
            }
        }
        simulation.outcome
    }

    fn clock(&self) -> Instant {
        Instant(ORIGIN + self.now)
    }

    fn names(&self, own: usize) -> Vec<CompactString> {
        let others = self.listed.iter().filter(|node| **node != own);
        others.map(|node| name(*node)).collect()
    }

    fn schedule(&mut self, delay: u64, step: Step) {
        self.sequence += 1;
        self.queued.insert(self.sequence, step);
        self.steps.push(Reverse((self.now + delay, self.sequence)));
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.nodes[to].is_up && self.nodes[from].side == self.nodes[to].side
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Demand => self.demand(),
            Step::Question(node, key) => self.question(node, key),
            Step::Answer(key, verdict, decided_at) => {
                if let Some((request, peer)) = self.waiting.remove(&key) {
                    let clock = self.clock();
                    let asker = &mut self.nodes[request.node].asker;
                    asker.record_answer(&name(peer), clock);
                    self.conclude(request, verdict, decided_at);
                }
            }
            Step::Timeout(key) => {
                if let Some((request, peer)) = self.waiting.remove(&key) {
                    let clock = self.clock();
                    let asker = &mut self.nodes[request.node].asker;
                    asker.record_silence(&name(peer), clock);
                    self.place(Request {
                        asks: request.asks + 1,
                        ..request
                    });
                }
            }
            Step::Renewal(node) => {
                let clock = self.clock();
                let state = &mut self.nodes[node];
                if state.is_up && state.has_store {
                    state.asker.record_registration(clock + Millis(TTL), clock);
                    self.schedule(RENEWAL, Step::Renewal(node));
                }
            }
            Step::List(node) => {
                let clock = self.clock();
                let names = self.names(node);
                let state = &mut self.nodes[node];
                if state.has_store {
                    state.asker.replace_peers(names, clock);
                }
            }
            Step::Event => self.event(),
            Step::Lapse => {
                let nodes = &self.nodes;
                self.listed
                    .retain(|node| nodes[*node].is_up && nodes[*node].has_store);
                self.spread_list();
            }
        }
    }

    /// Lets all nodes read the list of nodes one after the other.
    fn spread_list(&mut self) {
        for node in 0..self.nodes.len() {
            let delay = self.random.u64(..LIST_DELAY);
            self.schedule(delay, Step::List(node));
        }
    }

    fn event(&mut self) {
        let order = ranked(NODES);
        let (keeper, standby) = (order[0], order[1]);
        match self.scenario.event {
            Event::None => {}
            Event::KeeperEnds => {
                self.nodes[keeper].is_up = false;
                self.schedule(TTL, Step::Lapse);
            }
            Event::KeeperJoins => {
                let new = self.nodes.len() - 1;
                self.nodes[new].is_up = true;
                self.listed.push(new);
                self.schedule(0, Step::Renewal(new));
                self.schedule(0, Step::List(new));
                self.spread_list();
            }
            Event::Partition | Event::Isolation | Event::SideCutOff => {
                let is_alone = self.scenario.event == Event::Isolation;
                for node in 0..NODES {
                    let is_third = !is_alone && node % 3 == 0;
                    if node == keeper || (is_third && node != standby) {
                        self.nodes[node].side = 1;
                        self.nodes[node].has_store = self.scenario.event == Event::Partition;
                    }
                }
                if self.scenario.event != Event::Partition {
                    self.schedule(TTL, Step::Lapse);
                }
            }
        }
    }

    fn demand(&mut self) {
        let pause = -(1.0 - self.random.f64()).ln() * 1_000.0 / (RATE * self.scenario.load);
        self.schedule((pause.round() as u64).max(1), Step::Demand);
        let node = match self.scenario.is_uneven {
            true => 3,
            false => self.random.usize(..self.nodes.len()),
        };
        let ask = Ask {
            server: SERVER,
            rate: Rate::new(RATE).expect("the rate is valid"),
            priority: u8::from(self.random.bool()) * 2,
            team: TeamId(self.random.u64(..3)),
        };
        if self.nodes[node].is_up {
            let asks = 0;
            self.place(Request { node, ask, asks });
        }
    }

    /// Asks for a request, as a node does: two nodes at most.
    fn place(&mut self, request: Request) {
        let clock = self.clock();
        let Request { node, ask, asks } = request;
        let asker = &mut self.nodes[node].asker;
        let (team, priority) = (ask.team, ask.priority);
        if asker.blocked_for(SERVER, team, priority, clock).is_some() {
            return;
        }
        let recipient = match asks {
            0 | 1 => asker.recipient(SERVER, clock),
            _ => None,
        };
        match recipient {
            Some(Recipient::Own(_)) => {
                let verdict = self.decide(node, &ask);
                self.conclude(request, verdict, self.now);
            }
            Some(Recipient::Peer(peer)) => {
                let peer = (0..self.nodes.len()).find(|node| name(*node) == peer);
                let peer = peer.expect("the node exists");
                self.sequence += 1;
                let key = self.sequence;
                self.waiting.insert(key, (request, peer));
                self.schedule(TIMEOUT, Step::Timeout(key));
                let is_lost = self.random.f64() < self.scenario.loss;
                if self.reaches(node, peer) && !is_lost {
                    let way = self.random.u64(..WAY);
                    self.schedule(way, Step::Question(peer, key));
                }
            }
            None => asker.record_unanswered(SERVER, team, priority, clock),
        }
    }

    fn question(&mut self, node: usize, key: u64) {
        let Some((request, _)) = self.waiting.get(&key).copied() else {
            return;
        };
        let verdict = self.decide(node, &request.ask);
        let is_lost = self.random.f64() < self.scenario.loss;
        if self.reaches(node, request.node) && !is_lost {
            let way = self.random.u64(..WAY);
            self.schedule(way, Step::Answer(key, verdict, self.now));
        }
    }

    fn decide(&mut self, node: usize, ask: &Ask) -> Verdict {
        let clock = self.clock();
        let state = &mut self.nodes[node];
        match state.asker.part(SERVER, clock) {
            Some(part) => state.keeper.decide_cold(ask, bound(), part, clock),
            None => Verdict::Denied(Millis(50)),
        }
    }

    fn conclude(&mut self, request: Request, verdict: Verdict, decided_at: u64) {
        let ask = request.ask;
        match verdict {
            Verdict::Granted => {
                // At most 150 ms after the grant.
                let latest = decided_at + ARRIVAL;
                let at = self.random.u64(self.now..=latest);
                self.outcome.arrivals.push(at);
                self.outcome.by_urgency[usize::from(ask.priority > 0)] += 1;
            }
            Verdict::Denied(retry_after) => {
                let clock = self.clock();
                let asker = &mut self.nodes[request.node].asker;
                asker.record_denial(SERVER, ask.team, ask.priority, retry_after, clock);
            }
        }
    }
}

/// Returns the last of a number of nodes if it comes before the usual ones, or else the first node.
fn ranked_first(count: usize) -> usize {
    let mut asker = Asker::new(&name(count - 1));
    asker.set_peers((0..NODES).map(name).collect());
    match asker.keeper(SERVER) {
        None => count - 1,
        Some(_) => 0,
    }
}
