//! State machine of one node in the gossip protocol.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use compact_str::CompactString;
use fastrand::Rng;
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Millis, Revision};

use super::fact::{Fact, Key, Member, Value};
use super::heartbeat::Heartbeats;
use super::message::{Body, Envelope, Summary};
use super::rendezvous;
use super::table::Table;

/// Rounds without a heartbeat after which a node is suspected and gets no tasks and no links.
pub const SUSPECT_ROUNDS: u64 = 10;

/// Rounds without a heartbeat after which a node is removed.
pub const REMOVE_ROUNDS: u64 = 30;

/// Minimum time between two pushes.
const PUSH_INTERVAL: Millis = Millis(100);

/// Maximum number of facts in a repair that are pushed on. After a larger repair, other nodes find
/// the difference by their own exchanges.
const PUSHED_REPAIR_FACTS: usize = 32;

/// Rounds between two attempts to reach lost nodes, and between two summaries.
pub(super) const SLOW_ROUNDS: u64 = 5;

/// Granularity to which removal times are rounded down, so that nodes agree on them.
const REMOVAL_STEP: Millis = Millis::from_secs(60);

/// Options of a node.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name.
    pub name: CompactString,
    /// Address that the node listens on for its peers.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: CompactString,
    /// Addresses of the nodes that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// Number that increases with each start of the node, such as its wall-clock time in
    /// milliseconds.
    pub incarnation: u64,
    /// Interval between rounds of exchanges.
    pub round_interval: Millis,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Instruction or notification to the executor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        envelope: Envelope,
    },
    /// A new fact was received.
    Learned(Fact),
    /// Fetch a newer catalogue or placement from a peer.
    Fetch {
        /// Announcement of the newer value.
        fact: Fact,
        /// Address of the peer.
        from: SocketAddr,
    },
    /// Record a decision.
    Decided(Decision),
}

/// State of the exchanges with a peer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Contact {
    pub(super) members: Option<u64>,
    pub(super) unanswered: u32,
}

/// Membership and facts of one node.
#[derive(Debug)]
pub struct Node {
    pub(super) options: Options,
    pub(super) revision: Revision,
    pub(super) table: Table,
    pub(super) heartbeats: Heartbeats,
    pub(super) zones: BTreeMap<CompactString, Summary>,
    pub(super) contacts: HashMap<SocketAddr, Contact>,
    pub(super) rng: Rng,
    pub(super) round_number: u64,
    pub(super) unpushed: Vec<u64>,
    pub(super) next_round: Instant,
    pub(super) next_push: Instant,
    pub(super) last_change: Instant,
    pub(super) last_repair: Instant,
}

impl Node {
    /// Creates a node that knows only itself and its seeds.
    #[must_use]
    pub fn new(options: Options, now: Instant) -> Self {
        let heartbeats = Heartbeats::new(&options.name, options.incarnation, now);
        let rng = Rng::with_seed(options.seed);
        let mut node = Node {
            options,
            revision: Revision(0),
            table: Table::default(),
            heartbeats,
            zones: BTreeMap::new(),
            contacts: HashMap::new(),
            rng,
            round_number: 0,
            unpushed: Vec::new(),
            next_round: now,
            next_push: now,
            last_change: now,
            last_repair: now,
        };
        let own_fact = node.own_fact();
        node.unpushed.push(own_fact.key.hash());
        node.table.merge(own_fact);
        node
    }

    /// Returns the time at which [`Node::tick`] is due.
    #[must_use]
    pub fn next_at(&self) -> Instant {
        if self.unpushed.is_empty() {
            return self.next_round;
        }
        self.next_round.min(self.next_push)
    }

    /// Runs the round and the push that are due.
    pub fn tick(&mut self, now: Instant, unix_ms: u64) -> Vec<Output> {
        let mut outputs = Vec::new();
        if now >= self.next_round {
            self.next_round = now + self.options.round_interval;
            self.run_round(now, unix_ms, &mut outputs);
        }
        if !self.unpushed.is_empty() && now >= self.next_push {
            self.next_push = now + PUSH_INTERVAL;
            self.push_facts(now, &mut outputs);
        }
        outputs
    }

    /// Processes a message.
    pub fn receive(&mut self, envelope: Envelope, now: Instant, unix_ms: u64) -> Vec<Output> {
        let mut outputs = Vec::new();
        let from = envelope.address;
        self.record_sender(&envelope, now, unix_ms, &mut outputs);
        let revision = envelope.revision;
        match envelope.body {
            Body::Probe(exchange) => {
                self.apply_exchange(&exchange, revision, from, now);
                let mut answer = self.build_exchange(from, envelope.zone == self.options.zone);
                if exchange.root != answer.root {
                    answer.buckets = self.table.buckets().to_vec();
                }
                self.send(from, Body::Answer(answer), &mut outputs);
            }
            Body::Answer(exchange) => {
                self.apply_exchange(&exchange, revision, from, now);
                self.contacts.entry(from).or_default().unanswered = 0;
                self.request_differences(&exchange, from, now, &mut outputs);
            }
            Body::Push(facts) => self.merge_all(facts, from, now, unix_ms, &mut outputs),
            Body::Detail(parts) => self.answer_detail(&parts, from, &mut outputs),
            Body::Repair { facts, wants } => {
                let unpushed_count = self.unpushed.len();
                let is_large = facts.len() > PUSHED_REPAIR_FACTS;
                self.merge_all(facts, from, now, unix_ms, &mut outputs);
                if is_large {
                    self.unpushed.truncate(unpushed_count);
                }
                self.answer_wants(&wants, from, &mut outputs);
            }
        }
        outputs
    }

    /// Adds a fact that originates from this node; returns whether it is newer than the known one.
    pub fn publish(&mut self, fact: Fact, now: Instant) -> bool {
        if fact.key == Key::Catalog {
            self.revision = self.revision.max(Revision(fact.version.major));
        }
        self.insert_fact(fact, now)
    }

    /// Gets the name of this node.
    #[must_use]
    pub fn name(&self) -> &CompactString {
        &self.options.name
    }

    /// Returns the facts.
    #[must_use]
    pub fn facts(&self) -> &Table {
        &self.table
    }

    /// Iterates over the latest known summaries of the availability zones.
    pub fn zones(&self) -> impl Iterator<Item = &Summary> {
        self.zones.values()
    }

    /// Iterates over the zone's nodes that are not suspected, including this one.
    pub fn live_nodes(&self, now: Instant) -> impl Iterator<Item = &CompactString> {
        let bound = self.rounds_duration(SUSPECT_ROUNDS);
        self.heartbeats
            .silences(now)
            .filter(move |(_, silence)| *silence <= bound)
            .map(|(name, _)| name)
    }

    /// Returns the heartbeats of the zone's nodes.
    #[must_use]
    pub fn heartbeats(&self) -> &Heartbeats {
        &self.heartbeats
    }

    /// Returns whether at most half of the zone's nodes are live. This node may then be cut off
    /// itself, so it removes no nodes.
    #[must_use]
    pub fn is_isolated(&self, now: Instant) -> bool {
        let known = self.heartbeats.silences(now).count();
        known > 1 && self.live_nodes(now).count() * 2 <= known
    }

    /// Returns the nodes that probe a VM of this zone.
    #[must_use]
    pub fn probers(&self, vm: &str, now: Instant) -> Vec<&CompactString> {
        rendezvous::select_nodes(
            &["probe", vm],
            self.live_nodes(now),
            rendezvous::PROBERS_PER_VM,
        )
    }

    /// Returns whether this node watches the key-value service for its zone.
    #[must_use]
    pub fn is_watcher(&self, now: Instant) -> bool {
        rendezvous::select_nodes(
            &["watch"],
            self.live_nodes(now),
            rendezvous::WATCHERS_PER_ZONE,
        )
        .contains(&&self.options.name)
    }

    /// Returns the duration of a number of rounds.
    pub(super) fn rounds_duration(&self, count: u64) -> Millis {
        Millis(self.options.round_interval.0 * count)
    }

    fn own_fact(&self) -> Fact {
        let member = Member {
            address: self.options.address,
            zone: self.options.zone.clone(),
            removed_unix_ms: 0,
        };
        Fact::member(&self.options.name, self.options.incarnation, member)
    }

    fn run_round(&mut self, now: Instant, unix_ms: u64, outputs: &mut Vec<Output>) {
        self.round_number += 1;
        self.heartbeats.advance(self.revision, now);
        if !self.table.expire(unix_ms).is_empty() {
            self.last_change = now;
        }
        self.remove_silent_nodes(now, unix_ms, outputs);
        if self.round_number % SLOW_ROUNDS == 1 {
            self.update_summary(now, unix_ms);
        }
        for to in self.probe_targets(now) {
            let is_own_zone = self.is_own_zone(to);
            self.contacts.entry(to).or_default().unanswered += 1;
            let exchange = self.build_exchange(to, is_own_zone);
            self.send(to, Body::Probe(exchange), outputs);
        }
    }

    fn remove_silent_nodes(&mut self, now: Instant, unix_ms: u64, outputs: &mut Vec<Output>) {
        if self.is_isolated(now) {
            return;
        }
        let bound = self.rounds_duration(REMOVE_ROUNDS);
        let silent: Vec<(CompactString, Millis)> = self
            .heartbeats
            .silences(now)
            .filter(|(_, silence)| *silence > bound)
            .map(|(name, silence)| (name.clone(), silence))
            .collect();
        for (name, silence) in silent {
            let Some(fact) = self.table.get(&Key::Member(name.clone())) else {
                self.heartbeats.remove(&name);
                continue;
            };
            let mut fact = fact.clone();
            let removed_unix_ms = unix_ms - unix_ms % REMOVAL_STEP.0;
            if let Value::Member(member) = &mut fact.value {
                member.removed_unix_ms = removed_unix_ms;
            }
            fact.version.minor = removed_unix_ms;
            let decision =
                Decision::new(Subject::Node(name.clone()), "no heartbeat", "node removed")
                    .with_input("silence", silence)
                    .with_alternative("keep it as a suspect", "most nodes of the zone are heard");
            outputs.push(Output::Decided(decision));
            self.insert_fact(fact, now);
        }
    }

    fn update_summary(&mut self, now: Instant, unix_ms: u64) {
        let summarizer = rendezvous::select_nodes(&["bridge"], self.live_nodes(now), 1);
        if summarizer != [&self.options.name] {
            return;
        }
        let revisions: Vec<Revision> = self
            .live_nodes(now)
            .filter_map(|name| self.heartbeats.revision(name))
            .collect();
        let summary = Summary {
            zone: self.options.zone.clone(),
            at_unix_ms: unix_ms,
            live: u32::try_from(revisions.len()).unwrap_or(u32::MAX),
            lowest: revisions.iter().min().copied().unwrap_or_default(),
            highest: revisions.iter().max().copied().unwrap_or_default(),
        };
        self.zones.insert(self.options.zone.clone(), summary);
    }

    /// Records the sender of a message as a live member with its heartbeat.
    fn record_sender(
        &mut self,
        envelope: &Envelope,
        now: Instant,
        unix_ms: u64,
        outputs: &mut Vec<Output>,
    ) {
        let member = Member {
            address: envelope.address,
            zone: envelope.zone.clone(),
            removed_unix_ms: 0,
        };
        let fact = Fact::member(&envelope.from, envelope.incarnation, member);
        let held = self.table.get(&fact.key).cloned();
        match held {
            // The sender was removed by mistake and must start its next incarnation.
            Some(held) if held.version > fact.version => {
                self.send(envelope.address, Body::Push(vec![held]), outputs);
            }
            Some(held) if held.version == fact.version => {}
            Some(_) | None => self.merge(fact, envelope.address, now, unix_ms, outputs),
        }
        self.heartbeats.record(
            &envelope.from,
            envelope.incarnation,
            envelope.heartbeat,
            envelope.revision,
            now,
        );
    }

    fn merge_all(
        &mut self,
        facts: Vec<Fact>,
        from: SocketAddr,
        now: Instant,
        unix_ms: u64,
        outputs: &mut Vec<Output>,
    ) {
        for fact in facts {
            self.merge(fact, from, now, unix_ms, outputs);
        }
    }

    fn merge(
        &mut self,
        fact: Fact,
        from: SocketAddr,
        now: Instant,
        unix_ms: u64,
        outputs: &mut Vec<Output>,
    ) {
        let held = self.table.get(&fact.key).map(|held| held.version);
        let is_expired = fact.expires_unix_ms().is_some_and(|at| at <= unix_ms);
        if is_expired || held.is_some_and(|held| held >= fact.version) {
            return;
        }
        if fact.key.is_announcement() {
            outputs.push(Output::Fetch { fact, from });
            return;
        }
        if fact.key == Key::Member(self.options.name.clone()) {
            self.refute(&fact, now, unix_ms, outputs);
            return;
        }
        if self.insert_fact(fact.clone(), now) {
            outputs.push(Output::Learned(fact));
        }
    }

    /// Starts the next incarnation because other nodes consider this one removed.
    fn refute(&mut self, fact: &Fact, now: Instant, unix_ms: u64, outputs: &mut Vec<Output>) {
        self.options.incarnation = unix_ms.max(fact.version.major + 1);
        self.heartbeats = {
            let name = self.options.name.clone();
            let mut heartbeats = self.heartbeats.clone();
            heartbeats.add(&name, self.options.incarnation, now);
            heartbeats
        };
        let decision = Decision::new(
            Subject::Node(self.options.name.clone()),
            "other nodes hold this node for removed",
            "next incarnation begun",
        )
        .with_input("incarnation", self.options.incarnation);
        outputs.push(Output::Decided(decision));
        let own_fact = self.own_fact();
        self.insert_fact(own_fact, now);
    }

    fn insert_fact(&mut self, fact: Fact, now: Instant) -> bool {
        let key = fact.key.hash();
        if let Some((name, member)) = fact.as_member()
            && member.zone == self.options.zone
        {
            if member.removed_unix_ms == 0 {
                self.heartbeats.add(name, fact.version.major, now);
            } else {
                self.heartbeats.remove(name);
            }
        }
        if !self.table.merge(fact) {
            return false;
        }
        self.last_change = now;
        if !self.unpushed.contains(&key) {
            self.unpushed.push(key);
        }
        true
    }

    fn push_facts(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let facts: Vec<Fact> = std::mem::take(&mut self.unpushed)
            .into_iter()
            .filter_map(|key| self.table.get_by_hash(key).cloned())
            .collect();
        let mut targets = self.link_addresses(now);
        targets.extend(self.bridge_targets(now));
        for to in targets {
            self.send(to, Body::Push(facts.clone()), outputs);
        }
    }

    pub(super) fn send(&self, to: SocketAddr, body: Body, outputs: &mut Vec<Output>) {
        let envelope = Envelope {
            from: self.options.name.clone(),
            address: self.options.address,
            zone: self.options.zone.clone(),
            incarnation: self.options.incarnation,
            heartbeat: self.heartbeats.own_count(),
            revision: self.revision,
            body,
        };
        outputs.push(Output::Send { to, envelope });
    }
}
