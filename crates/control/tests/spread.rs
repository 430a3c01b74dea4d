//! Spreading between 8, 92 and 370 nodes: rounds, bytes, cuts, restarts and removals.
//!
//! A loop delivers messages between the state machines of all nodes, each after one step of
//! 10 ms, and drops some by a seeded choice. Bytes are those of the encoded messages.

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};

use fastrand::Rng;
use jackdaw_control::peer::codec;
use jackdaw_core::member::Report;
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Millis, Revision};
use jackdaw_policy::spread::fact::{Fact, Key, Value, Version};
use jackdaw_policy::spread::message::{Body, Envelope};
use jackdaw_policy::spread::node::{Node, Options, Output, REMOVE_ROUNDS};
use prost::Message as _;
use rstest::rstest;

/// Time between two deliveries.
const STEP: Millis = Millis(10);

/// Time between two rounds of exchanges.
const ROUND: Millis = Millis::from_secs(1);

/// Wall-clock time at the start.
const EPOCH_MS: u64 = 1_800_000_000_000;

/// Time in which a change has to be in force everywhere.
const IN_FORCE_WITHIN: Millis = Millis::from_secs(5);

/// Bytes a second that a node may spend on control, sent and received together.
const BYTES_PER_SECOND: u64 = 5_000;

/// Bytes that HTTP/2 and gRPC add to a message and its empty answer.
const FRAMING_BYTES: u64 = 150;

/// Bytes and messages that all nodes sent.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    messages: u64,
    bytes: u64,
}

/// All nodes with the messages between them.
struct Fleet {
    nodes: Vec<Option<Node>>,
    zones: usize,
    now: Instant,
    queue: BTreeMap<u64, Vec<(usize, Envelope)>>,
    fetches: BTreeMap<u64, Vec<(usize, Fact)>>,
    rng: Rng,
    loss_percent: u32,
    /// Part of the network that each node is in.
    side: Vec<u8>,
    traffic: Traffic,
    removals: usize,
    /// Whether exchanges of digests are dropped, which leaves the pushes alone.
    drops_exchanges: bool,
}

fn address(index: usize) -> SocketAddr {
    let port = 10_000 + u16::try_from(index).expect("few nodes");
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), port)
}

fn index(address: SocketAddr) -> usize {
    usize::from(address.port() - 10_000)
}

fn name(index: usize) -> String {
    format!("entry-{index:03}")
}

impl Fleet {
    fn new(size: usize, zones: usize, loss_percent: u32) -> Self {
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
    fn start(&mut self, index: usize, at: Instant) -> Node {
        let options = Options {
            name: name(index).into(),
            address: address(index),
            zone: format!("zone-{}", index % self.zones).into(),
            seeds: (0..self.zones).map(address).collect(),
            incarnation: EPOCH_MS + self.now.0,
            round: ROUND,
            seed: self.rng.u64(..),
        };
        Node::new(options, at)
    }

    fn node(&self, index: usize) -> &Node {
        self.nodes[index].as_ref().expect("node runs")
    }

    fn step(&mut self) {
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

    fn carry_out(&mut self, from: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, envelope } => self.send(from, index(to), envelope),
                Output::Behind { fact, from: holder } => self.fetch(from, index(holder), fact),
                Output::Decided(_) => self.removals += 1,
                Output::Learned(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, envelope: Envelope) {
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
    fn fetch(&mut self, by: usize, holder: usize, fact: Fact) {
        if self.side[by] != self.side[holder] {
            return;
        }
        let at = self.now + STEP + STEP;
        self.fetches.entry(at.0).or_default().push((by, fact));
    }

    fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until a condition holds and returns the time it took.
    fn run_until(&mut self, limit: Millis, is_done: impl Fn(&Fleet) -> bool) -> Millis {
        let start = self.now;
        while !is_done(self) {
            self.step();
            assert!(self.now.since(start) <= limit, "not within {limit}");
        }
        self.now.since(start)
    }

    /// Runs until every node knows every other.
    fn settle(&mut self) -> Millis {
        let size = self.nodes.len();
        self.run_until(Millis::from_secs(60), |fleet| {
            fleet
                .running()
                .all(|node| node.facts().len() >= size && node.facts().root() == fleet.root())
        })
    }

    fn root(&self) -> u64 {
        self.running().next().map_or(0, |node| node.facts().root())
    }

    fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().flatten()
    }

    fn all_hold(&self, fact: &Fact) -> bool {
        self.running().all(|node| {
            node.facts()
                .get(&fact.key)
                .is_some_and(|held| held.version >= fact.version)
        })
    }

    /// Returns the traffic of a node in a second, sent and received together.
    fn bytes_per_second(&self, before: Traffic, span: Millis) -> (u64, u64, u64) {
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

fn catalog(revision: u64) -> Fact {
    Fact::catalog(Revision(revision), &format!("note-{revision}"))
}

fn report(vm: &str, unix_ms: u64) -> Fact {
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

/// Size of a fleet and share of messages that get lost.
struct Size {
    nodes: usize,
    zones: usize,
    loss_percent: u32,
}

#[rstest]
#[case::today(Size { nodes: 8, zones: 3, loss_percent: 0 })]
#[case::today_with_loss(Size { nodes: 8, zones: 3, loss_percent: 10 })]
#[case::one_zone_of_the_target(Size { nodes: 92, zones: 1, loss_percent: 0 })]
#[case::one_zone_with_loss(Size { nodes: 92, zones: 1, loss_percent: 10 })]
#[case::target(Size { nodes: 370, zones: 4, loss_percent: 0 })]
#[case::target_with_loss(Size { nodes: 370, zones: 4, loss_percent: 10 })]
fn change_reaches_every_node_within_the_bound(#[case] case: Size) {
    let mut fleet = Fleet::new(case.nodes, case.zones, case.loss_percent);
    let settled = fleet.settle();
    for revision in 1..=3 {
        let fact = catalog(revision);
        let now = fleet.now;
        let node = fleet.nodes[case.nodes / 2].as_mut().expect("runs");
        node.publish(fact.clone(), now);
        let took = fleet.run_until(Millis::from_secs(60), |fleet| fleet.all_hold(&fact));
        println!(
            "{} nodes, {} % lost: settled in {settled}, change everywhere in {took}",
            case.nodes, case.loss_percent
        );
        assert!(took <= IN_FORCE_WITHIN, "took {took}");
        fleet.run(Millis::from_secs(5));
    }
    assert_eq!(fleet.removals, 0, "a live node was removed");
}

#[rstest]
#[case::today(Size { nodes: 8, zones: 3, loss_percent: 0 })]
#[case::one_zone_of_the_target(Size { nodes: 92, zones: 1, loss_percent: 0 })]
#[case::target(Size { nodes: 370, zones: 4, loss_percent: 0 })]
fn node_stays_within_its_bytes_idle_and_under_change(#[case] case: Size) {
    let span = Millis::from_secs(20);
    let mut fleet = Fleet::new(case.nodes, case.zones, case.loss_percent);
    fleet.settle();
    fleet.run(Millis::from_secs(10));
    let before = fleet.traffic;
    fleet.run(span);
    let (messages, bytes, framed) = fleet.bytes_per_second(before, span);
    println!(
        "{} nodes idle: {messages} messages/s, {bytes} B/s, {framed} B/s framed",
        case.nodes
    );
    assert!(framed <= BYTES_PER_SECOND, "idle {framed} B/s");

    // One release note and one changed report a second are far above 1,700 changes a day.
    let before = fleet.traffic;
    for second in 0..20 {
        let (now, unix_ms) = (fleet.now, EPOCH_MS + fleet.now.0);
        let node = fleet.nodes[second % case.nodes].as_mut().expect("runs");
        if second % 10 == 0 {
            node.publish(catalog(1 + second as u64), now);
        }
        node.publish(report(&format!("vm-{second}"), unix_ms), now);
        fleet.run(Millis::from_secs(1));
    }
    let (messages, bytes, framed) = fleet.bytes_per_second(before, span);
    println!(
        "{} nodes changing: {messages} messages/s, {bytes} B/s, {framed} B/s framed",
        case.nodes
    );
    assert!(framed <= BYTES_PER_SECOND, "under change {framed} B/s");
}

#[test]
fn push_without_exchanges_misses_nodes_when_messages_get_lost() {
    let reached = |drops_exchanges: bool| {
        let mut fleet = Fleet::new(92, 4, 0);
        fleet.settle();
        fleet.loss_percent = 60;
        fleet.drops_exchanges = drops_exchanges;
        let (fact, now) = (catalog(1), fleet.now);
        let node = fleet.nodes[9].as_mut().expect("runs");
        node.publish(fact.clone(), now);
        fleet.run(Millis::from_secs(1));
        assert!(!fleet.all_hold(&fact), "the loss hit no push");
        // A repair takes four messages in a row, so it needs a network that mostly delivers.
        fleet.loss_percent = 10;
        fleet.run(Millis::from_secs(20));
        fleet.all_hold(&fact)
    };
    assert!(!reached(true), "pushes alone reached every node");
    assert!(reached(false), "exchanges repair what pushes missed");
}

/// A network partition, by the side that each zone or node falls on.
struct Cut {
    nodes: usize,
    zones: usize,
    is_cut_off: fn(usize) -> bool,
    lasts: Millis,
}

#[rstest]
#[case::one_of_three_zones(Cut {
    nodes: 9, zones: 3, is_cut_off: |node| node % 3 == 0, lasts: Millis::from_secs(90) })]
#[case::region_for_some_time(Cut {
    nodes: 92, zones: 4, is_cut_off: |node| node % 4 < 2, lasts: Millis::from_secs(90) })]
#[case::half_of_a_zone(Cut {
    nodes: 24, zones: 2, is_cut_off: |node| node % 4 == 0, lasts: Millis::from_secs(90) })]
#[case::a_single_node(Cut {
    nodes: 24, zones: 2, is_cut_off: |node| node == 5, lasts: Millis::from_secs(90) })]
fn healed_cut_converges_to_the_higher_revision(#[case] case: Cut) {
    let mut fleet = Fleet::new(case.nodes, case.zones, 0);
    fleet.settle();
    for node in 0..case.nodes {
        fleet.side[node] = u8::from((case.is_cut_off)(node));
    }
    let (cut_off, other) = (catalog(4), catalog(9));
    let now = fleet.now;
    let first = |side: bool| (0..case.nodes).find(|node| (case.is_cut_off)(*node) == side);
    let (left, right) = (first(true).expect("some"), first(false).expect("some"));
    fleet.nodes[left]
        .as_mut()
        .expect("runs")
        .publish(cut_off.clone(), now);
    fleet.nodes[right]
        .as_mut()
        .expect("runs")
        .publish(other.clone(), now);
    fleet.run(case.lasts);
    for node in 0..case.nodes {
        let held = fleet
            .node(node)
            .facts()
            .get(&Key::Catalog)
            .expect("spread on each side");
        let expected = if (case.is_cut_off)(node) {
            &cut_off
        } else {
            &other
        };
        assert_eq!(held, expected, "node {node} during the cut");
    }
    fleet.side.fill(0);
    let took = fleet.run_until(Millis::from_secs(120), |fleet| {
        fleet.all_hold(&other)
            && fleet
                .running()
                .all(|node| node.facts().root() == fleet.root())
    });
    let whole = fleet.run_until(Millis::from_secs(120), |fleet| {
        let now = fleet.now;
        fleet.running().all(|node| !node.is_isolated(now))
            && fleet
                .running()
                .map(|node| node.live(now).count())
                .sum::<usize>()
                == expected_views(case.nodes, case.zones)
    });
    println!(
        "{} nodes: same facts {took} after the cut, whole {whole} later",
        case.nodes
    );
}

/// Returns the sum over all nodes of the nodes that each should see live in its zone.
fn expected_views(nodes: usize, zones: usize) -> usize {
    (0..zones)
        .map(|zone| (zone..nodes).step_by(zones).count())
        .map(|size| size * size)
        .sum()
}

#[test]
fn restarted_node_learns_all_from_its_peers() {
    let mut fleet = Fleet::new(92, 4, 0);
    fleet.settle();
    let now = fleet.now;
    fleet.nodes[3]
        .as_mut()
        .expect("runs")
        .publish(catalog(5), now);
    for vm in 0..150 {
        let fact = report(&format!("vm-{vm}"), EPOCH_MS + now.0);
        fleet.nodes[vm % 92]
            .as_mut()
            .expect("runs")
            .publish(fact, now);
    }
    fleet.run(Millis::from_secs(20));
    fleet.nodes[50] = None;
    fleet.run(Millis::from_secs(2));
    let at = fleet.now;
    let node = fleet.start(50, at);
    fleet.nodes[50] = Some(node);
    let took = fleet.run_until(Millis::from_secs(30), |fleet| {
        fleet.node(50).facts().root() == fleet.root()
            && fleet
                .running()
                .all(|node| node.facts().root() == fleet.root())
    });
    println!("restarted node knows all after {took}");
    assert_eq!(fleet.node(50).facts().len(), 92 + 150 + 1);
    assert!(took <= IN_FORCE_WITHIN, "took {took}");
}

#[test]
fn silent_node_loses_its_duties_and_is_then_removed() {
    let mut fleet = Fleet::new(24, 2, 0);
    fleet.settle();
    let victim: compact_str::CompactString = name(4).into();
    let vms: Vec<String> = (0..60).map(|vm| format!("vm-{vm}")).collect();
    let now = fleet.now;
    let probed = |fleet: &Fleet, now: Instant| {
        vms.iter()
            .filter(|vm| fleet.node(2).probers(vm, now).contains(&&victim))
            .count()
    };
    assert!(probed(&fleet, now) > 0, "the node has duties");
    fleet.nodes[4] = None;
    fleet.run(Millis::from_secs(15));
    assert_eq!(probed(&fleet, fleet.now), 0, "a suspect has no duties");
    let key = Key::Member(victim.clone());
    fleet.run_until(Millis(ROUND.0 * REMOVE_ROUNDS), |fleet| {
        fleet.running().all(|node| {
            let fact = node.facts().get(&key).expect("remembered");
            fact.as_member()
                .is_some_and(|(_, member)| member.removed_unix_ms > 0)
        })
    });
}

#[test]
fn probe_duties_are_shared_by_two_nodes_and_move_little() {
    let mut fleet = Fleet::new(24, 1, 0);
    fleet.settle();
    let now = fleet.now;
    let vms: Vec<String> = (0..150).map(|vm| format!("vm-{vm}")).collect();
    let mut counts: HashMap<String, usize> = HashMap::new();
    for vm in &vms {
        let probers = fleet.node(0).probers(vm, now);
        assert_eq!(probers.len(), 2);
        assert_eq!(probers, fleet.node(17).probers(vm, now), "the nodes agree");
        for prober in probers {
            *counts.entry(prober.to_string()).or_default() += 1;
        }
    }
    let most = counts.values().max().copied().unwrap_or_default();
    assert!(most <= 4 * 2 * vms.len() / 24, "one node probes {most} VMs");
}
