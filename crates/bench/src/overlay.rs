//! Runs the gossip state machines of many nodes in one process and counts encoded bytes.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant as StdInstant};

use compact_str::format_compact;
use jackdaw_control::peer::codec;
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Millis, Revision};
use jackdaw_policy::gossip::fact::{Fact, Key};
use jackdaw_policy::gossip::message::Envelope;
use jackdaw_policy::gossip::node::{Node, Options, Output};
use prost::Message as _;

/// Interval between gossip rounds, as in the default settings.
const ROUND_INTERVAL: Millis = Millis(500);
/// Step of the simulated clock in milliseconds.
const STEP_MS: u64 = 100;
/// Number of availability zones: two regions of four.
const ZONE_COUNT: usize = 8;
/// Wall-clock time at the start of the simulation, in milliseconds since the Unix epoch.
const START_UNIX_MS: u64 = 1_796_000_000_000;

/// Traffic and processor time of one node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Encoded bytes sent.
    pub(crate) sent: u64,
    /// Encoded bytes received.
    pub(crate) received: u64,
    /// Messages sent.
    pub(crate) messages: u64,
    /// Time spent in the state machine.
    pub(crate) cpu_time: Duration,
}

/// Nodes that exchange gossip messages in memory.
pub(crate) struct Overlay {
    nodes: BTreeMap<SocketAddr, Node>,
    usage: BTreeMap<SocketAddr, Usage>,
    now: Instant,
    reset_at: Instant,
    sequence: u64,
}

impl Overlay {
    /// Creates nodes in eight zones, each of which knows one seed per zone.
    pub(crate) fn new(count: usize) -> Self {
        let seeds: Vec<SocketAddr> = (0..ZONE_COUNT.min(count)).map(address).collect();
        let node = |number: usize| {
            let options = Options {
                name: format_compact!("qc-zone-{}-entry-{number:03}", number % ZONE_COUNT),
                address: address(number),
                zone: format_compact!("qc-zone-{}", number % ZONE_COUNT),
                seeds: seeds.clone(),
                incarnation: START_UNIX_MS,
                round_interval: ROUND_INTERVAL,
                seed: number as u64,
            };
            (address(number), Node::new(options, Instant(0)))
        };
        Overlay {
            nodes: (0..count).map(node).collect(),
            usage: BTreeMap::new(),
            now: Instant(0),
            reset_at: Instant(0),
            sequence: 0,
        }
    }

    /// Advances the simulated clock by `span` and delivers all messages that are due.
    pub(crate) fn advance(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Millis(STEP_MS);
            let mut queue = VecDeque::new();
            let unix_ms = START_UNIX_MS + self.now.0;
            for (address, node) in &mut self.nodes {
                if node.next_at() > self.now {
                    continue;
                }
                let start = StdInstant::now();
                let outputs = node.tick(self.now, unix_ms);
                self.usage.entry(*address).or_default().cpu_time += start.elapsed();
                queue.extend(outputs.into_iter().map(|output| (*address, output)));
            }
            self.deliver(queue, unix_ms);
        }
    }

    fn deliver(&mut self, mut queue: VecDeque<(SocketAddr, Output)>, unix_ms: u64) {
        while let Some((from, output)) = queue.pop_front() {
            match output {
                Output::Send { to, envelope } => {
                    let outputs = self.send(from, to, envelope, unix_ms);
                    queue.extend(outputs.into_iter().map(|output| (to, output)));
                }
                // The bytes of a fetched value are not counted here; the value arrives at once.
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
        unix_ms: u64,
    ) -> Vec<Output> {
        let bytes = codec::encode(&envelope).encoded_len() as u64;
        let sender = self.usage.entry(from).or_default();
        sender.sent += bytes;
        sender.messages += 1;
        let Some(node) = self.nodes.get_mut(&to) else {
            return Vec::new();
        };
        let start = StdInstant::now();
        let outputs = node.receive(envelope, self.now, unix_ms);
        let receiver = self.usage.entry(to).or_default();
        receiver.received += bytes;
        receiver.cpu_time += start.elapsed();
        outputs
    }

    /// Publishes a catalogue revision at one node and returns the time until all nodes know it.
    ///
    /// Returns 20 s or more if some node still lacks it by then.
    pub(crate) fn publish_catalog(&mut self) -> Millis {
        self.sequence += 1;
        let revision = Revision(self.sequence);
        let start = self.now;
        if let Some(node) = self.nodes.values_mut().next() {
            node.publish(Fact::catalog(revision, "note-2026-12-03"), self.now);
        }
        self.advance_until_known(start, Millis::from_secs(20), |node| {
            node.facts()
                .get(&Key::Catalog)
                .is_some_and(|fact| fact.version.major >= revision.0)
        })
    }

    /// Publishes a placement at one node and returns the time until all nodes know it.
    ///
    /// Returns 20 s or more if some node still lacks it by then.
    pub(crate) fn publish_placement(&mut self) -> Millis {
        self.sequence += 1;
        let sequence = self.sequence;
        let start = self.now;
        if let Some(node) = self.nodes.values_mut().next() {
            node.publish(Fact::placement("qc-zone-0", sequence, Fence(1)), self.now);
        }
        self.advance_until_known(start, Millis::from_secs(20), |node| {
            node.facts()
                .get(&Key::Placement("qc-zone-0".into()))
                .is_some_and(|fact| fact.version.major >= sequence)
        })
    }

    fn advance_until_known(
        &mut self,
        start: Instant,
        timeout: Millis,
        is_known_by: impl Fn(&Node) -> bool,
    ) -> Millis {
        while !self.nodes.values().all(&is_known_by) && self.now.since(start) < timeout {
            self.advance(Millis(STEP_MS));
        }
        self.now.since(start)
    }

    /// Returns whether every node knows all others.
    pub(crate) fn is_fully_joined(&self) -> bool {
        let count = self.nodes.len();
        self.nodes
            .values()
            .all(|node| node.facts().iter().filter_map(Fact::as_member).count() >= count)
    }

    /// Resets the usage of all nodes.
    pub(crate) fn reset_usage(&mut self) {
        self.usage.clear();
        self.reset_at = self.now;
    }

    /// Returns the simulated time since the last reset.
    pub(crate) fn since_reset(&self) -> Millis {
        self.now.since(self.reset_at)
    }

    /// Returns the mean usage and that of the node with the most bytes sent and received.
    pub(crate) fn usage(&self) -> (Usage, Usage) {
        let count = self.nodes.len().max(1) as u64;
        let mut total = Usage::default();
        let mut largest = Usage::default();
        for usage in self.usage.values() {
            total.sent += usage.sent;
            total.received += usage.received;
            total.messages += usage.messages;
            total.cpu_time += usage.cpu_time;
            if usage.sent + usage.received > largest.sent + largest.received {
                largest = *usage;
            }
        }
        let mean = Usage {
            sent: total.sent / count,
            received: total.received / count,
            messages: total.messages / count,
            cpu_time: total.cpu_time / count as u32,
        };
        (mean, largest)
    }
}

fn address(number: usize) -> SocketAddr {
    let octets = Ipv4Addr::new(10, 0, (number / 250) as u8, (number % 250 + 1) as u8);
    SocketAddr::from((octets, 7_402))
}
