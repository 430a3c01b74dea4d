//! Simulation of all nodes of a fleet in one process.
//!
//! A loop delivers each message between the state machines of the nodes after one step of 10 ms
//! and drops some of them by a seeded choice. Traffic counts the bytes of the encoded messages.

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

/// Simulated time of one step.
pub(crate) const STEP: Millis = Millis(10);

/// Interval between two rounds of exchanges.
pub(crate) const ROUND: Millis = Millis::from_secs(1);

/// Wall-clock time at the start, in milliseconds since the Unix epoch.
pub(crate) const EPOCH_MS: u64 = 1_800_000_000_000;

/// Limit on the time until a change is in force on every node.
pub(crate) const IN_FORCE_LIMIT: Millis = Millis::from_secs(5);

/// Limit on the control traffic of a node in bytes a second, sent and received together.
pub(crate) const MAX_BYTES_PER_SECOND: u64 = 5_000;

/// Bytes that HTTP/2 and gRPC add to a message and its empty response.
pub(crate) const FRAMING_BYTES: u64 = 150;

/// Messages and bytes sent by all nodes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
}

/// All nodes and the messages in flight between them.
pub(crate) struct Fleet {
    pub(crate) nodes: Vec<Option<Node>>,
    pub(crate) zones: usize,
    pub(crate) now: Instant,
    pub(crate) queue: BTreeMap<u64, Vec<(usize, Envelope)>>,
    pub(crate) fetches: BTreeMap<u64, Vec<(usize, Fact)>>,
    pub(crate) rng: Rng,
    pub(crate) loss_percent: u32,
    /// Network partition of each node; messages between partitions are dropped.
    pub(crate) partitions: Vec<u8>,
    pub(crate) traffic: Traffic,
    pub(crate) removals: usize,
    /// Whether exchanges of digests are dropped, so that only pushes are delivered.
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
            partitions: vec![0; size],
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

    /// Starts a node whose seeds are the first node of each zone.
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
                self.execute(index, outputs);
            }
        }
        for index in 0..self.nodes.len() {
            let Some(node) = &mut self.nodes[index] else {
                continue;
            };
            if node.next_at() <= self.now {
                let outputs = node.tick(self.now, unix_ms);
                self.execute(index, outputs);
            }
        }
    }

    pub(crate) fn execute(&mut self, from: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, envelope } => self.send(from, index(to), envelope),
                Output::Fetch { fact, from: source } => self.fetch(from, index(source), fact),
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
        if is_dropped || self.partitions[from] != self.partitions[to] {
            return;
        }
        let envelope = codec::decode(encoded).expect("own message decodes");
        let at = self.now + STEP;
        self.queue.entry(at.0).or_default().push((to, envelope));
    }

    /// Fetches an announced value, which takes two steps.
    pub(crate) fn fetch(&mut self, by: usize, source: usize, fact: Fact) {
        if self.partitions[by] != self.partitions[source] {
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
            assert!(
                self.now.since(start) <= limit,
                "condition not met within {limit}"
            );
        }
        self.now.since(start)
    }

    /// Runs until all nodes hold the same facts, including every member.
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

    /// Returns the average messages, bytes and bytes with framing a second of a node, sent and
    /// received together.
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
