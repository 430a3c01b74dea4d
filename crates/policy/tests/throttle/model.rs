//! A model of many nodes that send to servers with limits, over datagrams that may be lost.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

use compact_str::{CompactString, format_compact};
use fastrand::Rng;
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Millis, Rate};
use jackdaw_policy::throttle::{
    Ask, Asker, Keeper, Limits, Recipient, ServerId, Statement, TeamId, Verdict,
};

/// Length of the window in which arrivals are counted.
pub(crate) const WINDOW: u64 = 4_000;
/// Time from the naming of a limit until it must be kept.
pub(crate) const STABLE: u64 = 3_000;
/// Time after a node has passed on an answer with a limit until its requests count.
const KNOWN_AFTER: u64 = 500;
/// Time between two rounds of datagrams, and the number of nodes that a round reaches.
const ROUND: u64 = 250;
const FANOUT: usize = 4;
/// Number of limits in a datagram.
const MAX_NEWS: usize = 8;
/// Time for an answer to a question, number of tries, and questions for one request.
const ASK_TIMEOUT: u64 = 50;
const TRIES: u32 = 2;
const MAX_ASKS: u32 = 4;
/// Time for which a server works until it begins to answer.
const ANSWER_TIME: u64 = 200;

/// How nodes keep limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Method {
    /// They do not.
    None,
    /// Each node takes an equal part of each limit.
    EqualSplit,
    /// Each server's keeper grants requests.
    Keeper,
}

/// Where the demand is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Demand {
    /// All nodes have the same.
    Even,
    /// One node has all of it.
    OneNode,
}

/// What happens to nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// Nothing.
    None,
    /// Nodes are restarted one after the other and know nothing then.
    Restarts,
    /// A node ends for good.
    Loss,
    /// Nodes join and are known to the others at different times.
    Joins,
}

/// A model run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) nodes: usize,
    pub(crate) servers: usize,
    /// Servers that name no limit.
    pub(crate) unlimited: usize,
    /// Requests in a second that a server takes.
    pub(crate) limit: f64,
    /// Requests in a second to all servers, relative to the sum of the limits.
    pub(crate) load: f64,
    pub(crate) demand: Demand,
    /// Share of lost datagrams.
    pub(crate) loss: f64,
    pub(crate) event: Event,
    /// Whether the limits double and halve again every three seconds.
    pub(crate) alternates: bool,
}

/// A request.
#[derive(Clone, Copy, Debug)]
struct Request {
    node: usize,
    team: TeamId,
    priority: u8,
    asks: u32,
}

#[derive(Clone, Debug)]
enum Step {
    Arrival,
    Round(usize),
    /// A question arrives at a node.
    Ask(usize, Ask, Statement, u64),
    /// An answer to a question arrives.
    Verdict(u64, Verdict),
    /// A question has not been answered.
    Timeout(u64, u32),
    /// An answer of a server arrives at a node.
    Answer(usize, usize, Option<Rate>, u64),
    News(usize, Vec<(ServerId, Statement, u64)>),
    Change,
}

struct Node {
    limits: Limits,
    asker: Asker,
    keeper: Keeper,
    even: HashMap<ServerId, (f64, u64)>,
    is_up: bool,
    up_since: u64,
    passed_on: HashMap<usize, u64>,
}

/// What a server got.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// Time and node of each arrival by server.
    pub(crate) arrivals: Vec<Vec<(u64, bool)>>,
    /// Number of arrivals by team and priority.
    pub(crate) by_team: BTreeMap<(TeamId, u8), u32>,
    /// Requests that were refused, and the longest time that one was held before it was.
    pub(crate) refused: u32,
    pub(crate) longest_hold: u64,
    /// Number of datagrams with questions and verdicts.
    pub(crate) datagrams: u32,
}

impl Outcome {
    /// Returns the largest number of counted arrivals in a window, over what the rule allows.
    pub(crate) fn worst_excess(&self, scenario: &Scenario) -> f64 {
        let limited = &self.arrivals[scenario.unlimited..];
        let worst = limited.iter().map(|arrivals| {
            let counted: Vec<u64> = arrivals
                .iter()
                .filter(|(at, is_counted)| *is_counted && *at >= STABLE)
                .map(|(at, _)| *at)
                .collect();
            let mut first = 0;
            let mut most = 0;
            for (last, at) in counted.iter().enumerate() {
                while counted[first] + WINDOW < *at {
                    first += 1;
                }
                most = most.max(last + 1 - first);
            }
            let peak = if scenario.alternates { 2.0 } else { 1.0 };
            most as f64 - (1.5 * scenario.limit * peak * WINDOW as f64 / 1_000.0 + 5.0)
        });
        worst.fold(f64::NEG_INFINITY, f64::max)
    }

    /// Returns the share of the limits that was used between two times.
    pub(crate) fn utilization(&self, scenario: &Scenario, from: u64, to: u64) -> f64 {
        let limited = &self.arrivals[scenario.unlimited..];
        let inside = |at: u64| (from..to).contains(&at);
        let used = limited.iter().flatten().filter(|(at, _)| inside(*at));
        let seconds = (to - from) as f64 / 1_000.0;
        used.count() as f64 / (limited.len() as f64 * scenario.limit * seconds)
    }
}

pub(crate) struct Model {
    scenario: Scenario,
    method: Method,
    random: Rng,
    now: u64,
    sequence: u64,
    steps: BinaryHeap<Reverse<(u64, u64)>>,
    pending: HashMap<u64, Step>,
    nodes: Vec<Node>,
    /// Questions under way: the request, the server, the node asked and the time.
    asks: HashMap<u64, (Request, usize, CompactString, u64)>,
    outcome: Outcome,
}

fn name(node: usize) -> CompactString {
    format_compact!("node-{node}")
}

fn server_id(server: usize) -> ServerId {
    ServerId::new(&format!("server-{server}"), 1)
}

impl Node {
    fn new(own: usize, peers: &[CompactString], now: u64) -> Self {
        let mut node = Node {
            limits: Limits::default(),
            asker: Asker::new(&name(own)),
            keeper: Keeper::default(),
            even: HashMap::new(),
            is_up: true,
            up_since: now,
            passed_on: HashMap::new(),
        };
        node.set_peers(own, peers, now);
        node
    }

    fn set_peers(&mut self, own: usize, peers: &[CompactString], now: u64) {
        let own = name(own);
        let others = peers.iter().filter(|peer| **peer != own).cloned().collect();
        if self.asker.set_peers(others) {
            self.keeper.record_node_change(Instant(now));
        }
    }
}

impl Model {
    pub(crate) fn run(scenario: Scenario, method: Method, seed: u64, span: u64) -> Outcome {
        let names: Vec<CompactString> = (0..scenario.nodes).map(name).collect();
        let nodes = (0..scenario.nodes)
            .map(|node| Node::new(node, &names, 0))
            .collect();
        let mut model = Model {
            scenario,
            method,
            random: Rng::with_seed(seed),
            now: 0,
            sequence: 0,
            steps: BinaryHeap::new(),
            pending: HashMap::new(),
            nodes,
            asks: HashMap::new(),
            outcome: Outcome {
                arrivals: vec![Vec::new(); scenario.servers],
                ..Outcome::default()
            },
        };
        model.schedule(0, Step::Arrival);
        for node in 0..scenario.nodes {
            let offset = model.random.u64(..ROUND);
            model.schedule(offset, Step::Round(node));
        }
        model.schedule(6_000, Step::Change);
        while let Some(Reverse((at, key))) = model.steps.pop() {
            if at > span {
                break;
            }
            model.now = at;
            if let Some(step) = model.pending.remove(&key) {
                model.step(step);
            }
        }
        model.outcome
    }

    fn schedule(&mut self, delay: u64, step: Step) {
        self.sequence += 1;
        self.steps.push(Reverse((self.now + delay, self.sequence)));
        self.pending.insert(self.sequence, step);
    }

    /// Sends a datagram, which may be lost.
    fn send(&mut self, step: Step) {
        if self.random.f64() >= self.scenario.loss {
            let delay = self.random.u64(1..5);
            self.schedule(delay, step);
        }
    }

    fn limit(&self, server: usize) -> Option<Rate> {
        if server < self.scenario.unlimited {
            return None;
        }
        let is_high = self.scenario.alternates && self.now / 3_000 % 2 == 1;
        Rate::new(self.scenario.limit * if is_high { 2.0 } else { 1.0 })
    }

    fn step(&mut self, step: Step) {
        let now = Instant(self.now);
        match step {
            Step::Arrival => self.arrive(),
            Step::Round(node) => {
                self.schedule(ROUND, Step::Round(node));
                if self.nodes[node].is_up {
                    self.tell(node);
                }
            }
            Step::News(node, news) => {
                for (server, statement, sent) in news {
                    // Times arrive as ages, so they look younger by the delay.
                    let shift = self.now - sent;
                    let statement = Statement {
                        sent_at: statement.sent_at + Millis(shift),
                        answered_at: statement.answered_at + Millis(shift),
                        ..statement
                    };
                    self.nodes[node].limits.record(server, statement, now);
                }
            }
            Step::Ask(node, ask, statement, key) => {
                if !self.nodes[node].is_up {
                    return;
                }
                let state = &mut self.nodes[node];
                state.limits.record(ask.server, statement, now);
                let role = state.asker.role(ask.server, now);
                let verdict = state.keeper.decide(&ask, role, now);
                if let Some(keeper) = state.asker.keeper(ask.server) {
                    let is_up = (0..self.nodes.len())
                        .any(|other| name(other) == keeper && self.nodes[other].is_up);
                    if is_up {
                        self.nodes[node].asker.record_heard(&keeper, now);
                    }
                }
                self.outcome.datagrams += 1;
                self.send(Step::Verdict(key, verdict));
            }
            Step::Verdict(key, verdict) => self.take_verdict(key, verdict),
            Step::Timeout(key, tries) => self.time_out(key, tries),
            Step::Answer(node, server, rate, sent) => {
                let state = &mut self.nodes[node];
                if !state.is_up || sent < state.up_since {
                    return;
                }
                if rate.is_some() {
                    state.passed_on.entry(server).or_insert(self.now);
                }
                let statement = Statement {
                    rate,
                    sent_at: Instant(sent),
                    answered_at: now,
                };
                state.limits.record(server_id(server), statement, now);
            }
            Step::Change => self.change(),
        }
    }

    fn change(&mut self) {
        match self.scenario.event {
            Event::None => {}
            Event::Restarts => {
                let node = usize::try_from(self.now / 2_000).unwrap_or(0) % self.scenario.nodes;
                let names: Vec<CompactString> = (0..self.scenario.nodes).map(name).collect();
                self.nodes[node] = Node::new(node, &names, self.now + 500);
                self.schedule(2_000, Step::Change);
            }
            Event::Loss => {
                self.nodes[0].is_up = false;
            }
            Event::Joins => {
                if self.nodes.len() > self.scenario.nodes {
                    // The others learn of the new node one after the other.
                    let names: Vec<CompactString> = (0..self.nodes.len()).map(name).collect();
                    let node = usize::try_from(self.now / 100).unwrap_or(0) % self.scenario.nodes;
                    self.nodes[node].set_peers(node, &names, self.now);
                } else {
                    let new = self.nodes.len();
                    let names: Vec<CompactString> = (0..=new).map(name).collect();
                    self.nodes.push(Node::new(new, &names, self.now));
                    self.schedule(0, Step::Round(new));
                }
                self.schedule(100, Step::Change);
            }
        }
    }

    fn tell(&mut self, node: usize) {
        let now = Instant(self.now);
        let news = self.nodes[node]
            .limits
            .news(MAX_NEWS, now, &mut self.random);
        if news.is_empty() || self.method != Method::Keeper {
            return;
        }
        let sent = self.now;
        let news: Vec<_> = news
            .into_iter()
            .map(|(server, statement)| (server, statement, sent))
            .collect();
        for _ in 0..FANOUT {
            let peer = self.random.usize(..self.nodes.len());
            self.send(Step::News(peer, news.clone()));
        }
    }

    fn arrive(&mut self) {
        let limited = self.scenario.servers - self.scenario.unlimited;
        let rate = self.scenario.load * self.scenario.limit * limited as f64 / 1_000.0;
        let pause = -(1.0 - self.random.f64()).ln() / rate;
        self.schedule((pause.round() as u64).max(1), Step::Arrival);
        let node = match self.scenario.demand {
            Demand::Even => self.random.usize(..self.nodes.len()),
            Demand::OneNode => 1,
        };
        if !self.nodes[node].is_up || self.now < self.nodes[node].up_since {
            return;
        }
        // One team sends four fifths of the requests.
        let team = TeamId(u64::from(self.random.u32(..5) == 0));
        let request = Request {
            node,
            team,
            priority: u8::from(self.random.bool()) * 2,
            asks: 0,
        };
        self.place(request);
    }

    /// Sends a request to a server that may get it, or asks whether it may.
    fn place(&mut self, request: Request) {
        let now = Instant(self.now);
        let mut servers: Vec<usize> = (0..self.scenario.servers).collect();
        self.random.shuffle(&mut servers);
        for server in servers {
            let id = server_id(server);
            let node = &mut self.nodes[request.node];
            let Some(rate) = node.limits.rate(id) else {
                self.arrive_at(server, request);
                return;
            };
            match self.method {
                Method::None => {
                    self.arrive_at(server, request);
                    return;
                }
                Method::EqualSplit => {
                    let part = rate.per_second() / self.scenario.nodes as f64;
                    let (level, at) = node.even.get(&id).copied().unwrap_or((1.0, self.now));
                    let level = (level + part * (self.now - at) as f64 / 1_000.0).min(1.0);
                    let is_granted = level >= 1.0;
                    let left = if is_granted { level - 1.0 } else { level };
                    node.even.insert(id, (left, self.now));
                    if is_granted {
                        self.arrive_at(server, request);
                        return;
                    }
                }
                Method::Keeper => {
                    let blocked = node
                        .asker
                        .blocked_for(id, request.team, request.priority, now);
                    if blocked.is_none() && request.asks < MAX_ASKS {
                        self.ask(request, server, rate);
                        return;
                    }
                }
            }
        }
        self.outcome.refused += 1;
    }

    fn ask(&mut self, request: Request, server: usize, rate: Rate) {
        let now = Instant(self.now);
        let id = server_id(server);
        let ask = Ask {
            server: id,
            rate,
            priority: request.priority,
            team: request.team,
        };
        let node = &mut self.nodes[request.node];
        match node.asker.recipient(id, now) {
            Some(Recipient::Own(role)) => {
                let verdict = node.keeper.decide(&ask, role, now);
                self.conclude(request, server, verdict);
            }
            Some(Recipient::Peer(peer)) => {
                self.sequence += 1;
                let key = self.sequence;
                self.asks.insert(key, (request, server, peer, self.now));
                self.send_ask(key, ask);
                self.schedule(ASK_TIMEOUT, Step::Timeout(key, 1));
            }
            None => {
                let asker = &mut node.asker;
                asker.record_unanswered(id, request.team, request.priority, now);
                self.place(request);
            }
        }
    }

    fn send_ask(&mut self, key: u64, ask: Ask) {
        let (request, _, peer, _) = &self.asks[&key];
        let from = request.node;
        let Some(statement) = self.nodes[from].limits.statement(ask.server) else {
            return;
        };
        let peer = (0..self.nodes.len()).find(|node| name(*node) == *peer);
        let Some(peer) = peer else {
            return;
        };
        self.outcome.datagrams += 1;
        self.send(Step::Ask(peer, ask, statement, key));
    }

    fn time_out(&mut self, key: u64, tries: u32) {
        let Some((request, server, peer, _)) = self.asks.get(&key).cloned() else {
            return;
        };
        let now = Instant(self.now);
        let id = server_id(server);
        let rate = self.nodes[request.node].limits.rate(id);
        if let Some(rate) = rate.filter(|_| tries < TRIES) {
            let ask = Ask {
                server: id,
                rate,
                priority: request.priority,
                team: request.team,
            };
            self.send_ask(key, ask);
            self.schedule(ASK_TIMEOUT, Step::Timeout(key, tries + 1));
            return;
        }
        self.asks.remove(&key);
        self.nodes[request.node].asker.record_silence(&peer, now);
        self.place(Request {
            asks: request.asks + 1,
            ..request
        });
    }

    fn take_verdict(&mut self, key: u64, verdict: Verdict) {
        let Some((request, server, peer, asked)) = self.asks.remove(&key) else {
            return;
        };
        let now = Instant(self.now);
        self.nodes[request.node].asker.record_answer(&peer, now);
        self.outcome.longest_hold = self.outcome.longest_hold.max(self.now - asked);
        self.conclude(request, server, verdict);
    }

    fn conclude(&mut self, request: Request, server: usize, verdict: Verdict) {
        let now = Instant(self.now);
        match verdict {
            Verdict::Granted => self.arrive_at(server, request),
            Verdict::Denied(retry_after) => {
                let asker = &mut self.nodes[request.node].asker;
                let id = server_id(server);
                asker.record_denial(id, request.team, request.priority, retry_after, now);
                self.place(Request {
                    asks: request.asks + 1,
                    ..request
                });
            }
        }
    }

    fn arrive_at(&mut self, server: usize, request: Request) {
        let node = &self.nodes[request.node];
        let known = node.passed_on.get(&server);
        let is_known = known.is_some_and(|at| at + KNOWN_AFTER <= self.now);
        let is_calm = node.up_since == 0 || node.up_since + STABLE <= self.now;
        self.outcome.arrivals[server].push((self.now, is_known && is_calm));
        *self
            .outcome
            .by_team
            .entry((request.team, request.priority))
            .or_default() += 1;
        let rate = self.limit(server);
        let answered = ANSWER_TIME + self.random.u64(..100);
        let sent = self.now;
        self.schedule(answered, Step::Answer(request.node, server, rate, sent));
    }

    /// Returns the servers that the nodes' keepers differ for; for a check of the hash alone.
    pub(crate) fn keepers(nodes: usize, servers: usize) -> HashSet<CompactString> {
        let names: Vec<CompactString> = (0..nodes).map(name).collect();
        let node = Node::new(0, &names, 0);
        (0..servers)
            .filter_map(|server| node.asker.keeper(server_id(server)))
            .collect()
    }
}
