//! Runs the spreading part of many nodes in one process and counts encoded bytes.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant as Wall};

use compact_str::format_compact;
use jackdaw_control::peer::codec;
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Millis, Revision};
use jackdaw_policy::gossip::fact::{Fact, Key};
use jackdaw_policy::gossip::message::Envelope;
use jackdaw_policy::gossip::node::{Node, Options, Output};
use prost::Message as _;

/// Time between two rounds, as in the default settings.
const ROUND: Millis = Millis(500);
/// Step of the run's clock.
const STEP: u64 = 100;
/// Availability zones: two regions of four.
const ZONES: usize = 8;
/// Wall-clock time at the start of the run in milliseconds since the Unix epoch.
const EPOCH: u64 = 1_796_000_000_000;

/// What one node spent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Spent {
    /// Encoded bytes sent.
    pub(crate) sent: u64,
    /// Encoded bytes received.
    pub(crate) received: u64,
    /// Messages sent.
    pub(crate) messages: u64,
    /// Time in the state machine.
    pub(crate) time: Duration,
}

/// Nodes that exchange messages in memory.
pub(crate) struct Overlay {
    nodes: BTreeMap<SocketAddr, Node>,
    spent: BTreeMap<SocketAddr, Spent>,
    now: Instant,
    reset_at: Instant,
    sequence: u64,
}

impl Overlay {
    /// Creates nodes in eight zones that know one seed of each zone.
    pub(crate) fn new(count: usize) -> Self {
        let seeds: Vec<SocketAddr> = (0..ZONES.min(count)).map(address).collect();
        let node = |number: usize| {
            let options = Options {
                name: format_compact!("qc-zone-{}-entry-{number:03}", number % ZONES),
                address: address(number),
                zone: format_compact!("qc-zone-{}", number % ZONES),
                seeds: seeds.clone(),
                incarnation: EPOCH,
                round_interval: ROUND,
                seed: number as u64,
            };
            (address(number), Node::new(options, Instant(0)))
        };
        Overlay {
            nodes: (0..count).map(node).collect(),
            spent: BTreeMap::new(),
            now: Instant(0),
            reset_at: Instant(0),
            sequence: 0,
        }
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Millis(STEP);
            let mut queue = VecDeque::new();
            let unix = EPOCH + self.now.0;
            for (address, node) in &mut self.nodes {
                if node.next_at() > self.now {
                    continue;
                }
                let start = Wall::now();
                let outputs = node.tick(self.now, unix);
                self.spent.entry(*address).or_default().time += start.elapsed();
                queue.extend(outputs.into_iter().map(|output| (*address, output)));
            }
            self.deliver(queue, unix);
        }
    }

    fn deliver(&mut self, mut queue: VecDeque<(SocketAddr, Output)>, unix: u64) {
        while let Some((from, output)) = queue.pop_front() {
            match output {
                Output::Send { to, envelope } => {
                    let outputs = self.send(from, to, envelope, unix);
                    queue.extend(outputs.into_iter().map(|output| (to, output)));
                }
                // Fetching the value itself is counted apart; here it arrives at once.
                Output::Fetch { fact, .. } => {
                    if let Some(node) = self.nodes.get_mut(&from) {
                        node.publish(fact, self.now);
                    }
                }
                Output::Learned(_) | Output::Decided(_) => {}
            }
        }
    }

    fn send(
        &mut self,
        from: SocketAddr,
        to: SocketAddr,
        envelope: Envelope,
        unix: u64,
    ) -> Vec<Output> {
        let bytes = codec::encode(&envelope).encoded_len() as u64;
        let sender = self.spent.entry(from).or_default();
        sender.sent += bytes;
        sender.messages += 1;
        let Some(node) = self.nodes.get_mut(&to) else {
            return Vec::new();
        };
        let start = Wall::now();
        let outputs = node.receive(envelope, self.now, unix);
        let receiver = self.spent.entry(to).or_default();
        receiver.received += bytes;
        receiver.time += start.elapsed();
        outputs
    }

    /// Publishes a change of the catalogue at one node and returns the time until all know it.
    pub(crate) fn change(&mut self) -> Millis {
        self.sequence += 1;
        let revision = Revision(self.sequence);
        let start = self.now;
        if let Some(node) = self.nodes.values_mut().next() {
            node.publish(Fact::catalog(revision, "note-2026-12-03"), self.now);
        }
        self.spread(start, Millis::from_secs(20), |node| {
            node.facts()
                .get(&Key::Catalog)
                .is_some_and(|fact| fact.version.major >= revision.0)
        })
    }

    /// Publishes a placement at one node and returns the time until all know it.
    pub(crate) fn place(&mut self) -> Millis {
        self.sequence += 1;
        let sequence = self.sequence;
        let start = self.now;
        if let Some(node) = self.nodes.values_mut().next() {
            node.publish(Fact::placement("qc-zone-0", sequence, Fence(1)), self.now);
        }
        self.spread(start, Millis::from_secs(20), |node| {
            node.facts()
                .get(&Key::Placement("qc-zone-0".into()))
                .is_some_and(|fact| fact.version.major >= sequence)
        })
    }

    fn spread(&mut self, start: Instant, bound: Millis, knows: impl Fn(&Node) -> bool) -> Millis {
        while !self.nodes.values().all(&knows) && self.now.since(start) < bound {
            self.run(Millis(STEP));
        }
        self.now.since(start)
    }

    /// Returns whether every node knows every other.
    pub(crate) fn is_joined(&self) -> bool {
        let count = self.nodes.len();
        self.nodes
            .values()
            .all(|node| node.facts().iter().filter_map(Fact::as_member).count() >= count)
    }

    /// Forgets what was spent.
    pub(crate) fn reset(&mut self) {
        self.spent.clear();
        self.reset_at = self.now;
    }

    /// Returns the time since spending was last forgotten.
    pub(crate) fn since_reset(&self) -> Millis {
        self.now.since(self.reset_at)
    }

    /// Returns the mean and the largest spending of a node by bytes sent and received.
    pub(crate) fn spent(&self) -> (Spent, Spent) {
        let count = self.nodes.len().max(1) as u64;
        let mut total = Spent::default();
        let mut largest = Spent::default();
        for spent in self.spent.values() {
            total.sent += spent.sent;
            total.received += spent.received;
            total.messages += spent.messages;
            total.time += spent.time;
            if spent.sent + spent.received > largest.sent + largest.received {
                largest = *spent;
            }
        }
        let mean = Spent {
            sent: total.sent / count,
            received: total.received / count,
            messages: total.messages / count,
            time: total.time / count as u32,
        };
        (mean, largest)
    }
}

fn address(number: usize) -> SocketAddr {
    let octets = Ipv4Addr::new(10, 0, (number / 250) as u8, (number % 250 + 1) as u8);
    SocketAddr::from((octets, 7_402))
}
