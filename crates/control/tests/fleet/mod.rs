//! All nodes of a fleet in one process.
//!
//! A loop delivers messages between the state machines of all nodes, each after one step of
//! 10 ms, and drops some by a seeded choice. Bytes are those of the encoded messages.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use fastrand::Rng;
use jackdaw_control::peer::codec;
use jackdaw_core::member::Report;
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Millis, Revision};
use jackdaw_policy::gossip::fact::{Fact, Key, Value, Version};
use jackdaw_policy::gossip::message::{Body, Envelope};
use jackdaw_policy::gossip::node::{Node, Options, Output};
use prost::Message as _;

/// Time between two deliveries.
pub(crate) const STEP: Millis = Millis(10);

/// Time between two rounds of exchanges.
pub(crate) const ROUND: Millis = Millis::from_secs(1);

/// Wall-clock time at the start.
pub(crate) const EPOCH_MS: u64 = 1_800_000_000_000;

/// Time in which a change has to be in force everywhere.
pub(crate) const IN_FORCE_WITHIN: Millis = Millis::from_secs(5);

/// Bytes a second that a node may spend on control, sent and received together.
pub(crate) const BYTES_PER_SECOND: u64 = 5_000;

/// Bytes that HTTP/2 and gRPC add to a message and its empty answer.
pub(crate) const FRAMING_BYTES: u64 = 150;

/// Bytes and messages that all nodes sent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
}

/// All nodes with the messages between them.
pub(crate) struct Fleet {
    pub(crate) nodes: Vec<Option<Node>>,
    pub(crate) zones: usize,
    pub(crate) now: Instant,
    pub(crate) queue: BTreeMap<u64, Vec<(usize, Envelope)>>,
    pub(crate) fetches: BTreeMap<u64, Vec<(usize, Fact)>>,
    pub(crate) rng: Rng,
    pub(crate) loss_percent: u32,
    /// Part of the network that each node is in.
    pub(crate) side: Vec<u8>,
    pub(crate) traffic: Traffic,
    pub(crate) removals: usize,
    /// Whether exchanges of digests are dropped, which leaves the pushes alone.
    pub(crate) drops_exchanges: bool,
}

pub(crate) fn address(index: usize) -> SocketAddr {
    let port = 10_000 + u16::try_from(index).expect("few nodes");
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), port)
}

pub(crate) fn index(address: SocketAddr) -> usize {
    usize::from(address.port() - 10_000)
}

pub(crate) fn name(index: usize) -> String {
    format!("entry-{index:03}")
}

impl Fleet {
    pub(crate) fn new(size: usize, zones: usize, loss_percent: u32) -> Self {
        let mut fleet = Fleet {
            nodes: Vec::new(),
            zones,
            now: Instant(0),
            queue: BTreeMap::new(),
            fetches: BTreeMap::new(),
            rng: Rng::with_seed(7),
            loss_percent,
            side: vec![0; size],
            traffic: Traffic::default(),
            removals: 0,
            drops_exchanges: false,
        };
        for index in 0..size {
            let offset = Millis(fleet.rng.u64(..ROUND.0));
            let node = fleet.start(index, Instant(0) + offset);
            fleet.nodes.push(Some(node));
        }
        fleet
    }

    /// Starts a node that knows nothing but the first node of each zone.
    pub(crate) fn start(&mut self, index: usize, at: Instant) -> Node {
        let options = Options {
            name: name(index).into(),
            address: address(index),
            zone: format!("zone-{}", index % self.zones).into(),
            seeds: (0..self.zones).map(address).collect(),
            incarnation: EPOCH_MS + self.now.0,
            round_interval: ROUND,
            seed: self.rng.u64(..),
        };
        Node::new(options, at)
    }

    pub(crate) fn node(&self, index: usize) -> &Node {
        self.nodes[index].as_ref().expect("node runs")
    }

    pub(crate) fn step(&mut self) {
        self.now = self.now + STEP;
        let unix_ms = EPOCH_MS + self.now.0;
        for (index, fact) in self.fetches.remove(&self.now.0).unwrap_or_default() {
            if let Some(node) = &mut self.nodes[index] {
                node.publish(fact, self.now);
            }
        }
        for (index, envelope) in self.queue.remove(&self.now.0).unwrap_or_default() {
            if let Some(node) = &mut self.nodes[index] {
                let outputs = node.receive(envelope, self.now, unix_ms);
                self.carry_out(index, outputs);
            }
        }
        for index in 0..self.nodes.len() {
            let Some(node) = &mut self.nodes[index] else {
                continue;
            };
            if node.next_at() <= self.now {
                let outputs = node.tick(self.now, unix_ms);
                self.carry_out(index, outputs);
            }
        }
    }

    pub(crate) fn carry_out(&mut self, from: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, envelope } => self.send(from, index(to), envelope),
                Output::Fetch { fact, from: holder } => self.fetch(from, index(holder), fact),
                Output::Decided(_) => self.removals += 1,
                Output::Learned(_) => {}
            }
        }
    }

    pub(crate) fn send(&mut self, from: usize, to: usize, envelope: Envelope) {
        let encoded = codec::encode(&envelope);
        self.traffic.messages += 1;
        self.traffic.bytes += encoded.encoded_len() as u64;
        let is_lost = self.rng.u32(..100) < self.loss_percent;
        let is_exchange = matches!(envelope.body, Body::Probe(_) | Body::Answer(_));
        let is_dropped = is_lost || (is_exchange && self.drops_exchanges);
        if is_dropped || self.side[from] != self.side[to] {
            return;
        }
        let envelope = codec::decode(encoded).expect("own message decodes");
        let at = self.now + STEP;
        self.queue.entry(at.0).or_default().push((to, envelope));
    }

    /// Fetches an announced value, which takes two steps.
    pub(crate) fn fetch(&mut self, by: usize, holder: usize, fact: Fact) {
        if self.side[by] != self.side[holder] {
            return;
        }
        let at = self.now + STEP + STEP;
        self.fetches.entry(at.0).or_default().push((by, fact));
    }

    pub(crate) fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until a condition holds and returns the time it took.
    pub(crate) fn run_until(&mut self, limit: Millis, is_done: impl Fn(&Fleet) -> bool) -> Millis {
        let start = self.now;
        while !is_done(self) {
            self.step();
            assert!(self.now.since(start) <= limit, "not within {limit}");
        }
        self.now.since(start)
    }

    /// Runs until every node knows every other.
    pub(crate) fn settle(&mut self) -> Millis {
        let size = self.nodes.len();
        self.run_until(Millis::from_secs(60), |fleet| {
            fleet
                .running()
                .all(|node| node.facts().len() >= size && node.facts().root() == fleet.root())
        })
    }

    pub(crate) fn root(&self) -> u64 {
        self.running().next().map_or(0, |node| node.facts().root())
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().flatten()
    }

    pub(crate) fn all_hold(&self, fact: &Fact) -> bool {
        self.running().all(|node| {
            node.facts()
                .get(&fact.key)
                .is_some_and(|held| held.version >= fact.version)
        })
    }

    /// Returns the traffic of a node in a second, sent and received together.
    pub(crate) fn bytes_per_second(&self, before: Traffic, span: Millis) -> (u64, u64, u64) {
        let nodes = self.running().count() as u64;
        let messages = self.traffic.messages - before.messages;
        let bytes = self.traffic.bytes - before.bytes;
        let per = |total: u64| 2 * total * 1_000 / (nodes * span.0);
        (
            per(messages),
            per(bytes),
            per(bytes + messages * FRAMING_BYTES),
        )
    }
}

pub(crate) fn catalog(revision: u64) -> Fact {
    Fact::catalog(Revision(revision), &format!("note-{revision}"))
}

pub(crate) fn report(vm: &str, unix_ms: u64) -> Fact {
    Fact {
        key: Key::Report(vm.into()),
        version: Version {
            major: unix_ms,
            minor: 1,
        },
        value: Value::Report(Report {
            vm: vm.into(),
            boot: 1,
            membership: None,
            leaving: false,
            ready: true,
            fence: Fence(3),
            load: Default::default(),
        }),
    }
}
