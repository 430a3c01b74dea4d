//! One node's part in membership and spreading, as a state machine.

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

/// Rounds of silence after which a node gets no duties and no links.
pub const SUSPECT_ROUNDS: u64 = 10;

/// Rounds of silence after which a node is removed.
pub const REMOVE_ROUNDS: u64 = 30;

/// Shortest time between two pushes.
const PUSH_INTERVAL: Millis = Millis(100);

/// A repair of more facts is not pushed on; the others find the difference themselves.
const PUSHED_REPAIR_FACTS: usize = 32;

/// Rounds between two attempts to reach nodes out of contact, and between two summaries.
pub(super) const SLOW_ROUNDS: u64 = 5;

/// Removal times are rounded down to this step, so that nodes agree on them.
const REMOVAL_STEP: Millis = Millis::from_secs(60);

/// What a node is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name.
    pub name: CompactString,
    /// Address of the peers' port.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: CompactString,
    /// Addresses of nodes to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Grows with each start of the node; the wall-clock time in milliseconds will do.
    pub incarnation: u64,
    /// Time between two rounds of exchanges.
    pub round_interval: Millis,
    /// Seed of the random choices.
    pub seed: u64,
}

/// What the executor has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        envelope: Envelope,
    },
    /// A fact was learnt.
    Learned(Fact),
    /// A peer holds a newer catalogue or placement, which has to be fetched there.
    Fetch {
        /// Announcement of the newer value.
        fact: Fact,
        /// Address of the peer.
        from: SocketAddr,
    },
    /// A decision was taken.
    Decided(Decision),
}

/// What a node knows of its exchanges with a peer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Contact {
    pub(super) members: Option<u64>,
    pub(super) unanswered: u32,
}

/// One node's membership and facts.
#[derive(Debug)]
pub struct Node {
    pub(super) options: Options,
    pub(super) revision: Revision,
    pub(super) table: Table,
    pub(super) beats: Heartbeats,
    pub(super) zones: BTreeMap<CompactString, Summary>,
    pub(super) contacts: HashMap<SocketAddr, Contact>,
    pub(super) rng: Rng,
    pub(super) round: u64,
    pub(super) fresh: Vec<u64>,
    pub(super) next_round: Instant,
    pub(super) next_push: Instant,
    pub(super) changed: Instant,
    pub(super) repaired: Instant,
}

impl Node {
    /// Creates a node that knows itself and its seeds.
    #[must_use]
    pub fn new(options: Options, now: Instant) -> Self {
        let beats = Heartbeats::new(&options.name, options.incarnation, now);
        let rng = Rng::with_seed(options.seed);
        let mut node = Node {
            options,
            revision: Revision(0),
            table: Table::default(),
            beats,
            zones: BTreeMap::new(),
            contacts: HashMap::new(),
            rng,
            round: 0,
            fresh: Vec::new(),
            next_round: now,
            next_push: now,
            changed: now,
            repaired: now,
        };
        let own = node.own_fact();
        node.fresh.push(own.key.hash());
        node.table.merge(own);
        node
    }

    /// Gets the time at which [`Node::tick`] is due.
    #[must_use]
    pub fn next_at(&self) -> Instant {
        if self.fresh.is_empty() {
            return self.next_round;
        }
        self.next_round.min(self.next_push)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant, unix_ms: u64) -> Vec<Output> {
        let mut outputs = Vec::new();
        if now >= self.next_round {
            self.next_round = now + self.options.round_interval;
            self.round(now, unix_ms, &mut outputs);
        }
        if !self.fresh.is_empty() && now >= self.next_push {
            self.next_push = now + PUSH_INTERVAL;
            self.push(now, &mut outputs);
        }
        outputs
    }

    /// Takes a message.
    pub fn receive(&mut self, envelope: Envelope, now: Instant, unix_ms: u64) -> Vec<Output> {
        let mut outputs = Vec::new();
        let from = envelope.address;
        self.meet(&envelope, now, unix_ms, &mut outputs);
        let revision = envelope.revision;
        match envelope.body {
            Body::Probe(exchange) => {
                self.take_exchange(&exchange, revision, from, now);
                let mut answer = self.exchange(from, envelope.zone == self.options.zone);
                if exchange.root != answer.root {
                    answer.buckets = self.table.buckets().to_vec();
                }
                self.send(from, Body::Answer(answer), &mut outputs);
            }
            Body::Answer(exchange) => {
                self.take_exchange(&exchange, revision, from, now);
                self.contacts.entry(from).or_default().unanswered = 0;
                self.compare(&exchange, from, now, &mut outputs);
            }
            Body::Push(facts) => self.merge_all(facts, from, now, unix_ms, &mut outputs),
            Body::Detail(parts) => self.answer_detail(&parts, from, &mut outputs),
            Body::Repair { facts, wants } => {
                let pushed = self.fresh.len();
                let is_large = facts.len() > PUSHED_REPAIR_FACTS;
                self.merge_all(facts, from, now, unix_ms, &mut outputs);
                if is_large {
                    self.fresh.truncate(pushed);
                }
                self.answer_wants(&wants, from, &mut outputs);
            }
        }
        outputs
    }

    /// Adds a fact of this node's own; returns whether it is newer than the one held.
    pub fn publish(&mut self, fact: Fact, now: Instant) -> bool {
        if fact.key == Key::Catalog {
            self.revision = self.revision.max(Revision(fact.version.major));
        }
        self.insert(fact, now)
    }

    /// Gets the facts.
    #[must_use]
    pub fn facts(&self) -> &Table {
        &self.table
    }

    /// Gets the summaries of the availability zones.
    pub fn zones(&self) -> impl Iterator<Item = &Summary> {
        self.zones.values()
    }

    /// Iterates over the zone's nodes that are not suspected, this one included.
    pub fn live_nodes(&self, now: Instant) -> impl Iterator<Item = &CompactString> {
        let bound = self.rounds(SUSPECT_ROUNDS);
        self.beats
            .silences(now)
            .filter(move |(_, silence)| *silence <= bound)
            .map(|(name, _)| name)
    }

    /// Gets the heartbeats of the zone's nodes.
    #[must_use]
    pub fn heartbeats(&self) -> &Heartbeats {
        &self.beats
    }

    /// Returns whether this node hears half of its zone's nodes or fewer. It then removes none,
    /// since it may be the one that is cut off.
    #[must_use]
    pub fn is_isolated(&self, now: Instant) -> bool {
        let known = self.beats.silences(now).count();
        known > 1 && self.live_nodes(now).count() * 2 <= known
    }

    /// Returns the nodes whose duty it is to probe a VM of this zone.
    #[must_use]
    pub fn probers(&self, vm: &str, now: Instant) -> Vec<&CompactString> {
        rendezvous::select_nodes(
            &["probe", vm],
            self.live_nodes(now),
            rendezvous::PROBERS_PER_VM,
        )
    }

    /// Returns whether it is this node's duty to wait on the key-value service's watch.
    #[must_use]
    pub fn is_watcher(&self, now: Instant) -> bool {
        rendezvous::select_nodes(
            &["watch"],
            self.live_nodes(now),
            rendezvous::WATCHERS_PER_ZONE,
        )
        .contains(&&self.options.name)
    }

    /// Returns the time that some rounds take.
    pub(super) fn rounds(&self, count: u64) -> Millis {
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

    fn round(&mut self, now: Instant, unix_ms: u64, outputs: &mut Vec<Output>) {
        self.round += 1;
        self.beats.advance(self.revision, now);
        if !self.table.expire(unix_ms).is_empty() {
            self.changed = now;
        }
        self.remove_silent(now, unix_ms, outputs);
        if self.round % SLOW_ROUNDS == 1 {
            self.summarize(now, unix_ms);
        }
        for to in self.targets(now) {
            let is_own_zone = self.is_own_zone(to);
            self.contacts.entry(to).or_default().unanswered += 1;
            let exchange = self.exchange(to, is_own_zone);
            self.send(to, Body::Probe(exchange), outputs);
        }
    }

    fn remove_silent(&mut self, now: Instant, unix_ms: u64, outputs: &mut Vec<Output>) {
        if self.is_isolated(now) {
            return;
        }
        let bound = self.rounds(REMOVE_ROUNDS);
        let silent: Vec<(CompactString, Millis)> = self
            .beats
            .silences(now)
            .filter(|(_, silence)| *silence > bound)
            .map(|(name, silence)| (name.clone(), silence))
            .collect();
        for (name, silence) in silent {
            let Some(fact) = self.table.get(&Key::Member(name.clone())) else {
                self.beats.remove(&name);
                continue;
            };
            let mut fact = fact.clone();
            let removed = unix_ms - unix_ms % REMOVAL_STEP.0;
            if let Value::Member(member) = &mut fact.value {
                member.removed_unix_ms = removed;
            }
            fact.version.minor = removed;
            let decision =
                Decision::new(Subject::Node(name.clone()), "no heartbeat", "node removed")
                    .with_input("silence", silence)
                    .with_alternative("keep it as a suspect", "most nodes of the zone are heard");
            outputs.push(Output::Decided(decision));
            self.insert(fact, now);
        }
    }

    fn summarize(&mut self, now: Instant, unix_ms: u64) {
        let speaker = rendezvous::select_nodes(&["bridge"], self.live_nodes(now), 1);
        if speaker != [&self.options.name] {
            return;
        }
        let revisions: Vec<Revision> = self
            .live_nodes(now)
            .filter_map(|name| self.beats.revision(name))
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

    /// Learns from a message's envelope that its sender is alive.
    fn meet(&mut self, envelope: &Envelope, now: Instant, unix_ms: u64, outputs: &mut Vec<Output>) {
        let member = Member {
            address: envelope.address,
            zone: envelope.zone.clone(),
            removed_unix_ms: 0,
        };
        let fact = Fact::member(&envelope.from, envelope.incarnation, member);
        let held = self.table.get(&fact.key).cloned();
        match held {
            // The sender was removed by mistake and must begin its next incarnation.
            Some(held) if held.version > fact.version => {
                self.send(envelope.address, Body::Push(vec![held]), outputs);
            }
            Some(held) if held.version == fact.version => {}
            Some(_) | None => self.merge(fact, envelope.address, now, unix_ms, outputs),
        }
        self.beats.record(
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
        if self.insert(fact.clone(), now) {
            outputs.push(Output::Learned(fact));
        }
    }

    /// Begins the next incarnation, because others hold this node for removed.
    fn refute(&mut self, fact: &Fact, now: Instant, unix_ms: u64, outputs: &mut Vec<Output>) {
        self.options.incarnation = unix_ms.max(fact.version.major + 1);
        self.beats = {
            let name = self.options.name.clone();
            let mut beats = self.beats.clone();
            beats.add(&name, self.options.incarnation, now);
            beats
        };
        let decision = Decision::new(
            Subject::Node(self.options.name.clone()),
            "other nodes hold this node for removed",
            "next incarnation begun",
        )
        .with_input("incarnation", self.options.incarnation);
        outputs.push(Output::Decided(decision));
        let own = self.own_fact();
        self.insert(own, now);
    }

    fn insert(&mut self, fact: Fact, now: Instant) -> bool {
        let key = fact.key.hash();
        if let Some((name, member)) = fact.as_member()
            && member.zone == self.options.zone
        {
            if member.removed_unix_ms == 0 {
                self.beats.add(name, fact.version.major, now);
            } else {
                self.beats.remove(name);
            }
        }
        if !self.table.merge(fact) {
            return false;
        }
        self.changed = now;
        if !self.fresh.contains(&key) {
            self.fresh.push(key);
        }
        true
    }

    fn push(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let facts: Vec<Fact> = std::mem::take(&mut self.fresh)
            .into_iter()
            .filter_map(|key| self.table.get_by_hash(key).cloned())
            .collect();
        let mut targets = self.link_addresses(now);
        targets.extend(self.bridged(now));
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
            heartbeat: self.beats.own_count(),
            revision: self.revision,
            body,
        };
        outputs.push(Output::Send { to, envelope });
    }
}
