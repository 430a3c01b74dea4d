//! Simulation of nodes, servers and requests of which some crash each server that begins to answer.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet};

use fastrand::Rng;
use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_core::units::Millis;

use crate::node::{Admission, Datagram, Node};

/// Time after the fifth crash from which requests with a crashing part are counted.
const STABLE_WINDOW: Millis = Millis(3_000);
/// Number of crashes after which the stable window begins.
const RECOGNIZED_CRASHES: usize = 5;
/// Pause between two rounds of datagrams.
const SEND_INTERVAL: Millis = Millis(250);
/// Number of nodes that get the datagram of a round.
const FANOUT: usize = 4;
/// Time for which a caller waits for the begin of its answer.
const PATIENCE: Millis = Millis(4_000);
/// Time that a copy of the bans is behind the nodes.
const SAVE_DELAY: Millis = Millis(100);
/// Part that always comes with the first crashing part until [`Scenario::companion_alone_from`].
const COMPANION: u64 = 900;
/// First of the crashing parts.
const CRASHING: u64 = 1_000;
/// First of the parts in the middle of prompts.
const MIDDLE: u64 = 100;

/// What happens in a simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) nodes: usize,
    pub(crate) servers: usize,
    /// Number of servers that end together when their domain is lost.
    pub(crate) domain: usize,
    /// Requests with a crashing part in a second.
    pub(crate) crashing_rate: f64,
    /// Requests without a crashing part in a second.
    pub(crate) sound_rate: f64,
    /// Number of parts that stand first in prompts.
    pub(crate) first_parts: u64,
    /// Number of parts that stand in the middle of prompts.
    pub(crate) middle_parts: u64,
    /// Number of crashing parts.
    pub(crate) crashing_parts: u64,
    /// Time from which these parts crash servers; they are sound before.
    pub(crate) crashing_from: Millis,
    /// Time from which the part that came only with a crashing one comes with sound requests, and
    /// no longer with the crashing one.
    pub(crate) companion_alone_from: Option<Millis>,
    /// Mean time between two servers that end by chance.
    pub(crate) chance_crashes: Option<Millis>,
    /// Time between two losses of a domain.
    pub(crate) domain_losses: Option<Millis>,
    /// Time at which all nodes start anew.
    pub(crate) restart_at: Option<Millis>,
    pub(crate) length: Millis,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            nodes: 4,
            servers: 24,
            domain: 4,
            crashing_rate: 10.0,
            sound_rate: 40.0,
            first_parts: 1,
            middle_parts: 20,
            crashing_parts: 1,
            crashing_from: Millis(2_000),
            companion_alone_from: None,
            chance_crashes: None,
            domain_losses: None,
            restart_at: None,
            length: Millis(60_000),
        }
    }
}

/// What a simulation has come to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Servers that ended under crashing parts.
    pub(crate) ended: usize,
    /// Requests with a crashing part that reached servers after the stable window, by part; the
    /// largest number.
    pub(crate) late: usize,
    /// Sound requests with a first part of the crashing ones from twice the stable window on.
    pub(crate) sound: usize,
    /// Those of them that began at their first attempt.
    pub(crate) sound_begun: usize,
    /// Sound requests of the whole time, and those that were refused or ran out of time.
    pub(crate) all_sound: usize,
    pub(crate) all_sound_failed: usize,
    /// Longest time between the first and the last failure of sound requests with one part.
    pub(crate) longest_wrong_ban: Millis,
    /// Interruptions of sound requests by the ends of servers.
    pub(crate) interrupted: usize,
    /// Most bytes that one node sent in a second.
    pub(crate) bytes: usize,
    /// Longest time for which a sound request was held before its first attempt.
    pub(crate) longest_hold: Millis,
}

impl Outcome {
    /// Returns the share of sound requests that began at their first attempt.
    pub(crate) fn sound_share(&self) -> f64 {
        if self.sound == 0 {
            return 1.0;
        }
        self.sound_begun as f64 / self.sound as f64
    }
}

/// One request as a caller sent it.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) digest: Digest,
    /// Parts of the prompt without the last.
    pub(crate) parts: Vec<u64>,
    node: usize,
    arrived: Instant,
    attempt: u32,
    server: Option<usize>,
    is_trial: bool,
    is_settled: bool,
    is_done: bool,
    /// Whether an attempt has begun to be answered.
    has_begun: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive { is_crashing: bool },
    Ask { request: usize },
    Begin { request: usize, attempt: u32 },
    Crash { request: usize, attempt: u32 },
    Settle { request: usize, attempt: u32 },
    Finish { request: usize, attempt: u32 },
    Return { server: usize },
    Round { node: usize },
    Deliver { node: usize, datagram: Datagram },
    ChanceCrash,
    DomainLoss,
    Save,
    Restart,
}

#[derive(Debug, Default)]
struct Server {
    is_down: bool,
    incarnation: u64,
    in_flight: Vec<usize>,
}

/// The simulated system.
#[derive(Debug)]
pub(crate) struct Model {
    scenario: Scenario,
    rng: Rng,
    now: Instant,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: HashMap<u64, Event>,
    sequence: u64,
    requests: Vec<Request>,
    servers: Vec<Server>,
    nodes: Vec<Node>,
    waiting: Vec<HashSet<usize>>,
    store: Vec<Datagram>,
    /// Times at which servers ended under each crashing part.
    crashes: BTreeMap<u64, Vec<Instant>>,
    /// Times at which requests with each crashing part reached servers.
    arrivals: BTreeMap<u64, Vec<Instant>>,
    /// First and last refusal of sound requests by part.
    refusals: HashMap<u64, (Instant, Instant)>,
    sent_bytes: HashMap<(usize, u64), usize>,
    /// Arrival, first part and success of sound requests.
    results: Vec<(Instant, u64, bool)>,
    outcome: Outcome,
}

impl Model {
    /// Plays a scenario with the nodes that a function creates.
    pub(crate) fn play(
        scenario: Scenario,
        seed: u64,
        node: &dyn Fn(usize, usize) -> Node,
    ) -> Outcome {
        let mut model = Model {
            scenario,
            rng: Rng::with_seed(seed),
            now: Instant(0),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            requests: Vec::new(),
            servers: (0..scenario.servers).map(|_| Server::default()).collect(),
            nodes: (0..scenario.nodes)
                .map(|idx| node(idx, scenario.nodes))
                .collect(),
            waiting: vec![HashSet::new(); scenario.nodes],
            store: Vec::new(),
            crashes: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            refusals: HashMap::new(),
            sent_bytes: HashMap::new(),
            results: Vec::new(),
            outcome: Outcome::default(),
        };
        model.start();
        let end = Instant(0) + scenario.length;
        while let Some(Reverse((at, key))) = model.queue.pop() {
            if at > end {
                break;
            }
            model.now = at;
            let event = model.events.remove(&key).expect("a scheduled event");
            if matches!(event, Event::Restart) {
                model.restart(node);
            } else {
                model.handle(event);
            }
        }
        model.finish()
    }

    fn schedule(&mut self, delay: Millis, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn start(&mut self) {
        self.schedule(Millis(0), Event::Arrive { is_crashing: false });
        self.schedule(Millis(0), Event::Arrive { is_crashing: true });
        self.schedule(SAVE_DELAY, Event::Save);
        for node in 0..self.scenario.nodes {
            let phase = Millis(self.rng.u64(0..SEND_INTERVAL.0));
            self.schedule(phase, Event::Round { node });
        }
        if let Some(mean) = self.scenario.chance_crashes {
            self.schedule(mean, Event::ChanceCrash);
        }
        if let Some(pause) = self.scenario.domain_losses {
            self.schedule(pause, Event::DomainLoss);
        }
        if let Some(at) = self.scenario.restart_at {
            self.schedule(at, Event::Restart);
        }
    }

    /// Returns a random time with the given mean.
    fn exponential(&mut self, mean_ms: f64) -> Millis {
        let drawn = -mean_ms * (1.0 - self.rng.f64()).ln();
        Millis(drawn as u64 + 1)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { is_crashing } => self.arrive(is_crashing),
            Event::Ask { request } => self.ask(request),
            Event::Begin { request, attempt } if self.is_current(request, attempt) => {
                if self.is_crashing(request) {
                    let delay = Millis(self.rng.u64(50..100));
                    self.schedule(delay, Event::Crash { request, attempt });
                } else {
                    let delay = Millis(self.rng.u64(36..90));
                    self.schedule(delay, Event::Settle { request, attempt });
                }
            }
            Event::Crash { request, attempt } if self.is_current(request, attempt) => {
                let server = self.requests[request].server.expect("a server");
                let parts = self.crashing_parts(request);
                for part in parts {
                    self.crashes.entry(part).or_default().push(self.now);
                }
                self.outcome.ended += 1;
                self.end_server(server);
            }
            Event::Settle { request, attempt } if self.is_current(request, attempt) => {
                self.settle(request);
                let delay = Millis(self.rng.u64(200..1_500));
                self.schedule(delay, Event::Finish { request, attempt });
            }
            Event::Finish { request, attempt } if self.is_current(request, attempt) => {
                self.release(request);
                self.requests[request].is_done = true;
            }
            Event::Begin { .. } | Event::Crash { .. } | Event::Settle { .. } => {}
            Event::Finish { .. } => {}
            Event::Return { server } => {
                self.servers[server].is_down = false;
                self.servers[server].incarnation += 1;
            }
            Event::Round { node } => self.send_round(node),
            Event::Deliver { node, datagram } => {
                self.nodes[node].adopt(&datagram, self.now);
                self.after_news(node);
            }
            Event::ChanceCrash => {
                let server = self.rng.usize(..self.servers.len());
                self.end_server(server);
                let mean = self.scenario.chance_crashes.expect("chance crashes");
                let pause = self.exponential(mean.0 as f64);
                self.schedule(pause, Event::ChanceCrash);
            }
            Event::DomainLoss => {
                let domains = self.servers.len() / self.scenario.domain;
                let first = self.rng.usize(..domains) * self.scenario.domain;
                for server in first..first + self.scenario.domain {
                    self.end_server(server);
                }
                let pause = self.scenario.domain_losses.expect("domain losses");
                self.schedule(pause, Event::DomainLoss);
            }
            Event::Save => {
                self.store = self.nodes.iter().map(|node| node.saved(self.now)).collect();
                self.schedule(SAVE_DELAY, Event::Save);
            }
            Event::Restart => {}
        }
    }

    fn is_current(&self, request: usize, attempt: u32) -> bool {
        let request = &self.requests[request];
        request.attempt == attempt && request.server.is_some() && !request.is_done
    }

    fn crashing_parts(&self, request: usize) -> Vec<u64> {
        let is_crashing =
            |part: &u64| *part >= CRASHING && self.now >= Instant(0) + self.scenario.crashing_from;
        let parts = self.requests[request].parts.iter().copied();
        parts.filter(is_crashing).collect()
    }

    fn is_crashing(&self, request: usize) -> bool {
        !self.crashing_parts(request).is_empty()
    }

    fn arrive(&mut self, is_crashing: bool) {
        let rate = if is_crashing {
            self.scenario.crashing_rate
        } else {
            self.scenario.sound_rate
        };
        let pause = self.exponential(1_000.0 / rate);
        self.schedule(pause, Event::Arrive { is_crashing });
        let scenario = self.scenario;
        let mut parts = vec![1 + self.rng.u64(..scenario.first_parts)];
        for _ in 0..2 {
            parts.push(MIDDLE + self.rng.u64(..scenario.middle_parts));
        }
        let is_apart = scenario
            .companion_alone_from
            .map(|from| self.now >= Instant(0) + from);
        if is_crashing {
            parts.push(CRASHING + self.rng.u64(..scenario.crashing_parts));
            if is_apart == Some(false) {
                parts.push(COMPANION);
            }
        } else if is_apart == Some(true) && self.rng.u8(..10) == 0 {
            parts.push(COMPANION);
        }
        let request = Request {
            digest: Digest::of(&self.requests.len().to_be_bytes()),
            parts,
            node: self.rng.usize(..scenario.nodes),
            arrived: self.now,
            attempt: 0,
            server: None,
            is_trial: false,
            is_settled: false,
            is_done: false,
            has_begun: false,
        };
        self.requests.push(request);
        self.ask(self.requests.len() - 1);
    }

    /// Has a request admitted and sent, held or refused.
    fn ask(&mut self, key: usize) {
        let request = &self.requests[key];
        let node = request.node;
        if request.is_done || request.server.is_some() {
            return;
        }
        self.waiting[node].remove(&key);
        let patience_end = request.arrived + PATIENCE;
        if !request.has_begun && self.now >= patience_end {
            return self.give_up(key);
        }
        match self.nodes[node].admit(request, self.now) {
            Admission::Run => self.send(key, false),
            Admission::Try => self.send(key, true),
            Admission::Wait(pause) => {
                self.waiting[node].insert(key);
                let pause = pause.max(Millis(1)).min(PATIENCE);
                self.schedule(pause, Event::Ask { request: key });
            }
            Admission::Refuse => self.give_up(key),
        }
    }

    fn send(&mut self, key: usize, is_trial: bool) {
        let up: Vec<usize> = (0..self.servers.len())
            .filter(|server| !self.servers[*server].is_down)
            .collect();
        if up.is_empty() {
            self.schedule(Millis(100), Event::Ask { request: key });
            return;
        }
        let mut choose = || up[self.rng.usize(..up.len())];
        let (first, second) = (choose(), choose());
        let load = |server: usize| self.servers[server].in_flight.len();
        let server = if load(first) <= load(second) {
            first
        } else {
            second
        };
        self.servers[server].in_flight.push(key);
        for part in self.crashing_parts(key) {
            self.arrivals.entry(part).or_default().push(self.now);
        }
        let now = self.now;
        let request = &mut self.requests[key];
        if !request.has_begun && request.parts.iter().all(|part| *part < CRASHING) {
            let hold = now.since(request.arrived);
            if request.attempt == 0 && hold > self.outcome.longest_hold {
                self.outcome.longest_hold = hold;
            }
        }
        request.attempt += 1;
        request.server = Some(server);
        request.is_trial = is_trial;
        request.is_settled = false;
        let attempt = request.attempt;
        if is_trial {
            self.nodes[request.node].begin_trial(&self.requests[key]);
        }
        let delay = Millis(self.rng.u64(100..300));
        self.schedule(
            delay,
            Event::Begin {
                request: key,
                attempt,
            },
        );
    }

    fn end_trial(&mut self, key: usize) {
        if std::mem::take(&mut self.requests[key].is_trial) {
            let node = self.requests[key].node;
            self.nodes[node].end_trial(&self.requests[key]);
        }
    }

    /// Takes a request from its server.
    fn release(&mut self, key: usize) {
        self.end_trial(key);
        if let Some(server) = self.requests[key].server.take() {
            self.servers[server]
                .in_flight
                .retain(|request| *request != key);
        }
    }

    fn settle(&mut self, key: usize) {
        let node = self.requests[key].node;
        self.requests[key].is_settled = true;
        self.nodes[node].record_survival(&self.requests[key], self.now);
        self.end_trial(key);
        if !std::mem::replace(&mut self.requests[key].has_begun, true) {
            self.record_result(key, true);
        }
        self.after_news(node);
    }

    fn record_result(&mut self, key: usize, is_begun: bool) {
        let request = &self.requests[key];
        if request.parts.iter().any(|part| *part >= CRASHING) {
            return;
        }
        self.results
            .push((request.arrived, request.parts[0], is_begun));
    }

    fn give_up(&mut self, key: usize) {
        self.requests[key].is_done = true;
        let request = &self.requests[key];
        if request.has_begun || request.parts.iter().any(|part| *part >= CRASHING) {
            return;
        }
        for part in &request.parts {
            let refusals = self.refusals.entry(*part).or_insert((self.now, self.now));
            refusals.1 = self.now;
        }
        self.record_result(key, false);
    }

    /// Ends a server and interrupts its requests.
    fn end_server(&mut self, server: usize) {
        if self.servers[server].is_down {
            return;
        }
        self.servers[server].is_down = true;
        let incarnation = self.servers[server].incarnation;
        let interrupted = std::mem::take(&mut self.servers[server].in_flight);
        let mut nodes = BTreeSet::new();
        for key in interrupted {
            self.end_trial(key);
            self.requests[key].server = None;
            let node = self.requests[key].node;
            if !self.requests[key].is_settled {
                let request = &self.requests[key];
                self.nodes[node].record_crash(request, server, incarnation, self.now);
            }
            let is_sound = self.requests[key].parts.iter().all(|part| *part < CRASHING);
            self.outcome.interrupted += usize::from(is_sound);
            nodes.insert(node);
            self.schedule(Millis(1), Event::Ask { request: key });
        }
        for node in nodes {
            self.after_news(node);
        }
        let delay = Millis(self.rng.u64(3_000..5_000));
        self.schedule(delay, Event::Return { server });
    }

    /// Sends urgent news, recalls banned requests and asks for those that are held.
    fn after_news(&mut self, node: usize) {
        if let Some(datagram) = self.nodes[node].urgent_report(self.now) {
            let recipients: Vec<usize> = (0..self.nodes.len()).filter(|to| *to != node).collect();
            self.send_datagram(node, &datagram, &recipients);
        }
        if !self.nodes[node].take_changed() {
            return;
        }
        let recalled: Vec<usize> = self
            .servers
            .iter()
            .flat_map(|server| server.in_flight.iter().copied())
            .filter(|key| {
                let request = &self.requests[*key];
                request.node == node
                    && !request.is_settled
                    && self.nodes[node].is_recalled(request, self.now)
            })
            .collect();
        for key in recalled {
            self.release(key);
            self.give_up(key);
        }
        let mut waiting: Vec<usize> = self.waiting[node].iter().copied().collect();
        waiting.sort_unstable();
        for key in waiting {
            self.schedule(Millis(0), Event::Ask { request: key });
        }
    }

    fn send_round(&mut self, node: usize) {
        let mut recipients: Vec<usize> = (0..self.nodes.len()).filter(|to| *to != node).collect();
        self.rng.shuffle(&mut recipients);
        recipients.truncate(FANOUT);
        self.send_report(node, &recipients);
        self.schedule(SEND_INTERVAL, Event::Round { node });
    }

    fn send_report(&mut self, node: usize, recipients: &[usize]) {
        if let Some(datagram) = self.nodes[node].report(self.now) {
            self.send_datagram(node, &datagram, recipients);
        }
    }

    fn send_datagram(&mut self, node: usize, datagram: &Datagram, recipients: &[usize]) {
        let second = self.now.0 / 1_000;
        let sent = self.sent_bytes.entry((node, second)).or_default();
        *sent += datagram.bytes() * recipients.len();
        for recipient in recipients {
            if self.rng.u8(..100) == 0 {
                continue;
            }
            let delay = Millis(self.rng.u64(1..6));
            let datagram = datagram.clone();
            let node = *recipient;
            self.schedule(delay, Event::Deliver { node, datagram });
        }
    }

    fn restart(&mut self, node: &dyn Fn(usize, usize) -> Node) {
        for key in 0..self.requests.len() {
            if self.requests[key].is_done {
                continue;
            }
            self.release(key);
            self.requests[key].is_done = true;
        }
        for idx in 0..self.nodes.len() {
            self.waiting[idx].clear();
            self.nodes[idx] = node(idx, self.scenario.nodes);
            for datagram in &self.store {
                self.nodes[idx].adopt(datagram, self.now);
            }
        }
    }

    fn finish(mut self) -> Outcome {
        let mut share_from = Instant(0);
        for (part, crashes) in &self.crashes {
            let fifth = crashes.get(RECOGNIZED_CRASHES - 1);
            let last = crashes.last().copied().unwrap_or_default();
            share_from = share_from.max(*fifth.unwrap_or(&last) + STABLE_WINDOW + STABLE_WINDOW);
            let Some(fifth) = fifth else {
                continue;
            };
            let arrivals = self.arrivals.get(part).into_iter().flatten();
            let late = arrivals.filter(|at| **at > *fifth + STABLE_WINDOW);
            self.outcome.late = self.outcome.late.max(late.count());
        }
        for (arrived, _, is_begun) in &self.results {
            self.outcome.all_sound += 1;
            self.outcome.all_sound_failed += usize::from(!is_begun);
            if *arrived >= share_from {
                self.outcome.sound += 1;
                self.outcome.sound_begun += usize::from(*is_begun);
            }
        }
        let refusals = self.refusals.values();
        let longest = refusals.map(|(first, last)| last.since(*first)).max();
        self.outcome.longest_wrong_ban = longest.unwrap_or_default();
        self.outcome.bytes = self.sent_bytes.values().copied().max().unwrap_or_default();
        self.outcome
    }
}
