//! Nodes that pass on changes of registrations: a leaving server under load has to be known to all
//! nodes in time, while few of them read the store.
//!
//! Baseline: each node reads the store's changes itself every two seconds.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;

use compact_str::{CompactString, format_compact};
use fastrand::Rng;
use jackdaw_core::backend::Server;
use jackdaw_core::store::Era;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::feed::{
    Change, FANOUT, Feed, MAX_CHANGES, Options, Position, Segment, Verdict,
};
use rstest::rstest;

/// Time within which a leaving server gets no new work.
const DRAIN: Millis = Millis(4_000);
/// Pause between two rounds of datagrams, and between two reads of a leader.
const ROUND: Millis = Millis(250);
/// Nodes that get a node's datagram in a round.
const PEERS_PER_ROUND: usize = 4;
/// Time that a datagram takes.
const TRIP: Millis = Millis(1);
/// Pause between two reads of each node without the feed.
const BASELINE_PAUSE: Millis = Millis(2_000);

fn server(id: &str) -> Server {
    Server {
        id: id.into(),
        service: "engines".into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "a".into(),
        draining: true,
        slots: 1,
        start_unix_ms: 1,
        domain: CompactString::default(),
        staged: Vec::new(),
        warmup_left: Millis(0),
        membership: None,
    }
}

fn change(revision: u64) -> Change {
    let id = format_compact!("s{revision}");
    Change {
        revision,
        state: (!revision.is_multiple_of(3)).then(|| server(&id)),
        server: id,
    }
}

#[derive(Clone)]
enum Datagram {
    Segment(Rc<Segment>, Position),
    Position(usize, Position),
}

/// Nodes before a store whose registrations change.
struct World {
    now: Instant,
    random: Rng,
    leaders: usize,
    loss: f64,
    feeds: Vec<Feed>,
    /// What each node has applied.
    applied: Vec<BTreeMap<u64, Instant>>,
    log: Vec<Change>,
    revision: u64,
    reads: usize,
    sent: Vec<usize>,
    in_flight: BinaryHeap<Reverse<(u64, u64)>>,
    datagrams: BTreeMap<u64, (usize, Datagram)>,
    next: u64,
    /// Nodes whose datagrams are lost both ways.
    cut: Vec<usize>,
}

impl World {
    fn new(nodes: usize, leaders: usize, loss: f64, seed: u64) -> Self {
        let mut feeds = vec![Feed::default(); nodes];
        for feed in &mut feeds {
            feed.finish_snapshot(1, true, Instant(1_000));
        }
        World {
            now: Instant(1_000),
            random: Rng::with_seed(seed),
            leaders,
            loss,
            feeds,
            applied: vec![BTreeMap::new(); nodes],
            log: Vec::new(),
            revision: 1,
            reads: 0,
            sent: vec![0; nodes],
            in_flight: BinaryHeap::new(),
            datagrams: BTreeMap::new(),
            next: 0,
            cut: Vec::new(),
        }
    }

    fn write(&mut self, count: u64) {
        for _ in 0..count {
            self.revision += 1;
            self.log.push(change(self.revision));
        }
    }

    fn options(&self, node: usize) -> Options {
        Options {
            max_age: Millis(DRAIN.0 * 3 / 8),
            jitter: Millis(node as u64 * 7_919 % (DRAIN.0 / 16)),
        }
    }

    fn send(&mut self, from: usize, to: usize, datagram: Datagram) {
        self.sent[from] += 1;
        let is_lost = self.random.f64() < self.loss;
        if is_lost || self.cut.contains(&from) || self.cut.contains(&to) {
            return;
        }
        self.next += 1;
        let jitter = self.random.u64(0..2);
        self.in_flight
            .push(Reverse(((self.now + TRIP).0 + jitter, self.next)));
        self.datagrams.insert(self.next, (to, datagram));
    }

    fn peers(&mut self, node: usize, count: usize) -> Vec<usize> {
        let others = (0..self.feeds.len()).filter(|peer| *peer != node);
        self.random.choose_multiple(others, count)
    }

    fn spread(&mut self, node: usize, segment: &Rc<Segment>) {
        let position = self.feeds[node]
            .position(true, self.now)
            .expect("it has read");
        for peer in self.peers(node, FANOUT) {
            self.send(node, peer, Datagram::Segment(Rc::clone(segment), position));
        }
    }

    fn apply(&mut self, node: usize, changes: &[Change]) {
        for change in changes {
            let before = self.applied[node]
                .last_key_value()
                .map_or(0, |last| *last.0);
            assert!(
                change.revision > before,
                "{} after {before}",
                change.revision
            );
            self.applied[node].insert(change.revision, self.now);
        }
    }

    fn read(&mut self, node: usize) {
        self.reads += 1;
        let feed = &self.feeds[node];
        let new = self
            .log
            .iter()
            .filter(|change| feed.is_new(change.revision));
        let new: Vec<Change> = new.cloned().collect();
        self.apply(node, &new);
        let revision = self.revision;
        if let Some(segment) = self.feeds[node].read(new, revision, self.now) {
            self.spread(node, &Rc::new(segment));
        }
    }

    fn receive(&mut self, node: usize, datagram: &Datagram) {
        match datagram {
            Datagram::Segment(segment, position) => {
                if let Verdict::Apply(changes) = self.feeds[node].take(segment, self.now) {
                    self.apply(node, &changes);
                    self.spread(node, segment);
                }
                self.feeds[node].hear(*position, self.now);
            }
            Datagram::Position(from, position) => {
                self.feeds[node].hear(*position, self.now);
                for segment in self.feeds[node].missing(*position, self.now) {
                    let own = self.feeds[node]
                        .position(true, self.now)
                        .expect("it has read");
                    self.send(node, *from, Datagram::Segment(segment, own));
                }
            }
        }
    }

    /// Tells some nodes how far a node knows the registrations.
    fn tell_position(&mut self, node: usize, is_leader: bool) {
        let Some(position) = self.feeds[node].position(is_leader, self.now) else {
            return;
        };
        let extra = if is_leader {
            self.feeds.len().isqrt()
        } else {
            0
        };
        for peer in self.peers(node, PEERS_PER_ROUND + extra) {
            self.send(node, peer, Datagram::Position(node, position));
        }
    }

    /// Advances the time by a millisecond.
    fn step(&mut self) {
        self.now = self.now + Millis(1);
        while let Some(Reverse((at, number))) = self.in_flight.peek().copied() {
            if at > self.now.0 {
                break;
            }
            self.in_flight.pop();
            let (to, datagram) = self.datagrams.remove(&number).expect("it was sent");
            self.receive(to, &datagram);
        }
        for node in 0..self.feeds.len() {
            let is_leader = node < self.leaders;
            let phase = (self.now.0 + node as u64 * 37) % ROUND.0;
            if phase == 0 {
                self.tell_position(node, is_leader);
            }
            let is_due = if is_leader {
                phase == 100
            } else {
                self.feeds[node].rest(self.options(node), self.now) == Millis(0)
            };
            if is_due {
                self.read(node);
            }
        }
    }

    fn run(&mut self, span: Millis) {
        for _ in 0..span.0 {
            self.step();
        }
    }

    /// Returns the longest time from a write until all nodes but those that are cut off know it.
    fn time_to_all(&self, revision: u64, written: Instant) -> Option<Millis> {
        let nodes = (0..self.feeds.len()).filter(|node| !self.cut.contains(node));
        let times: Option<Vec<Instant>> = nodes
            .map(|node| self.applied[node].get(&revision).copied())
            .collect();
        times?.into_iter().max().map(|at| at.since(written))
    }
}

#[derive(Clone, Copy, Debug)]
struct Load {
    name: &'static str,
    nodes: usize,
    leaders: usize,
    loss: f64,
    cut: usize,
}

// Servers are lost every three seconds and others leave, before hundreds of nodes.
#[rstest]
#[case(Load { name: "servers lost every three seconds, 195 nodes", nodes: 195, leaders: 5, loss: 0.0, cut: 0 })]
#[case(Load { name: "the same, one in twenty datagrams lost", nodes: 195, leaders: 5, loss: 0.05, cut: 0 })]
#[case(Load { name: "the same at 370 nodes", nodes: 370, leaders: 8, loss: 0.05, cut: 0 })]
#[case(Load { name: "a third of the nodes hear no datagram", nodes: 195, leaders: 5, loss: 0.0, cut: 65 })]
#[case(Load { name: "six nodes", nodes: 6, leaders: 3, loss: 0.05, cut: 0 })]
#[case(Load { name: "one node alone", nodes: 1, leaders: 1, loss: 0.0, cut: 0 })]
fn leaving_servers_are_known_in_time_with_few_reads(#[case] load: Load) {
    for seed in 1..=3 {
        let mut world = World::new(load.nodes, load.leaders, load.loss, seed);
        world.cut = (load.nodes - load.cut..load.nodes).collect();
        world.run(Millis(2_000));
        world.reads = 0;
        let mut slowest = Millis(0);
        let rounds = 4;
        for _ in 0..rounds {
            let written = world.now;
            world.write(7);
            let revision = world.revision;
            world.run(Millis(3_000));
            let took = world.time_to_all(revision, written);
            slowest = slowest.max(took.unwrap_or(Millis(u64::MAX)));
        }
        assert!(slowest < Millis(1_500), "{}: {slowest}", load.name);
        for (node, applied) in world.applied.iter().enumerate() {
            let is_recent = |change: &&Change| {
                let known = applied.contains_key(&change.revision);
                !known && change.revision + 7 <= world.revision
            };
            let missing = world.log.iter().filter(is_recent).count();
            assert_eq!(missing, 0, "{}: node {node}", load.name);
        }
        // Leaders read four times a second; each node that hears of nothing reads as before.
        let seconds = rounds * 3;
        let leaders = load.leaders * 4 * seconds;
        let baseline = load.nodes * seconds * 1_000 / BASELINE_PAUSE.0 as usize;
        let alone = load.cut * seconds;
        let allowed = leaders + alone + load.nodes / 10;
        assert!(
            world.reads <= allowed,
            "{}: {} of {allowed}",
            load.name,
            world.reads
        );
        if load.nodes >= 195 && load.cut == 0 {
            assert!(world.reads * 2 < baseline, "{}: {}", load.name, world.reads);
        }
    }
}

#[test]
fn a_burst_that_is_not_passed_on_is_read_by_all_nodes() {
    let mut world = World::new(30, 3, 0.0, 1);
    world.run(Millis(2_000));
    let written = world.now;
    world.write(MAX_CHANGES as u64 + 1);
    let revision = world.revision;
    world.run(Millis(3_000));
    let took = world.time_to_all(revision, written).expect("all know it");
    assert!(took <= DRAIN, "{took}");
}

#[test]
fn without_leaders_some_nodes_read_for_the_others() {
    let mut world = World::new(60, 0, 0.0, 1);
    world.run(Millis(3_000));
    let written = world.now;
    world.write(3);
    let revision = world.revision;
    world.run(DRAIN);
    let took = world.time_to_all(revision, written).expect("all know it");
    assert!(took <= DRAIN, "{took}");
}

/// Revisions of the two eras of a store that came back from a copy.
fn of_era(era: u64, number: u64) -> u64 {
    Era(era).with(number)
}

#[derive(Debug)]
struct Case {
    name: &'static str,
    cursor: u64,
    segment: (u64, u64),
    changes: &'static [u64],
    verdict: &'static [u64],
    is_gap: bool,
}

#[rstest]
#[case(Case { name: "the next changes", cursor: 10, segment: (10, 12), changes: &[11, 12], verdict: &[11, 12], is_gap: false })]
#[case(Case { name: "changes of which some are known", cursor: 11, segment: (10, 12), changes: &[11, 12], verdict: &[12], is_gap: false })]
#[case(Case { name: "known changes", cursor: 12, segment: (10, 12), changes: &[11, 12], verdict: &[], is_gap: false })]
#[case(Case { name: "changes after missing ones", cursor: 10, segment: (11, 13), changes: &[13], verdict: &[], is_gap: true })]
fn segments_are_applied_in_order(#[case] case: Case) {
    let now = Instant(5_000);
    let mut feed = Feed::default();
    feed.finish_snapshot(case.cursor, true, now);
    let segment = Segment {
        from: case.segment.0,
        to: case.segment.1,
        changes: case
            .changes
            .iter()
            .map(|revision| change(*revision))
            .collect(),
    };
    let verdict = feed.take(&segment, now);
    assert_eq!(verdict == Verdict::Gap, case.is_gap, "{}", case.name);
    let applied = match verdict {
        Verdict::Apply(changes) => changes.iter().map(|change| change.revision).collect(),
        Verdict::Known | Verdict::Gap => Vec::new(),
    };
    assert_eq!(applied, case.verdict, "{}", case.name);
}

#[test]
fn segments_of_another_era_are_not_applied() {
    let now = Instant(5_000);
    let segment = |era| Segment {
        from: of_era(era, 10),
        to: of_era(era, 11),
        changes: vec![change(of_era(era, 11))],
    };
    let mut feed = Feed::default();
    feed.finish_snapshot(of_era(1, 10), true, now);
    assert_eq!(feed.take(&segment(2), now), Verdict::Gap);
    assert_eq!(feed.take(&segment(0), now), Verdict::Known);
    // A node of the former era confirms nothing.
    let later = now + Millis(1_000);
    let former = Position {
        revision: of_era(0, 99),
        age: Millis(0),
    };
    feed.hear(former, later);
    assert_eq!(feed.as_of(), now);
}

#[test]
fn a_part_of_the_news_makes_what_is_known_no_younger() {
    let read_at = Instant(5_000);
    let mut feed = Feed::default();
    feed.finish_snapshot(10, true, read_at);
    let whole = Segment {
        from: 10,
        to: 14,
        changes: (11..=14).map(change).collect(),
    };
    let parts = whole.split(2);
    assert_eq!(parts.len(), 2);
    let now = read_at + Millis(1_000);
    feed.take(&parts[0], now);
    let position = Position {
        revision: 14,
        age: Millis(5),
    };
    feed.hear(position, now);
    assert_eq!(feed.as_of(), read_at);
    feed.take(&parts[1], now);
    feed.hear(position, now);
    assert_eq!(feed.as_of(), now - Millis(5));
}

// After an outage of the store, the end of an entry says nothing of its server, and only a node that
// knows of the outage can tell.
#[test]
fn a_node_that_heard_of_nothing_for_long_reads_the_store_itself() {
    let read_at = Instant(5_000);
    let mut feed = Feed::default();
    feed.finish_snapshot(10, true, read_at);
    let now = read_at + Millis(4_000);
    let position = Position {
        revision: 10,
        age: Millis(5),
    };
    feed.hear(position, now);
    assert_eq!(feed.as_of(), read_at);
    let segment = Segment {
        from: 10,
        to: 11,
        changes: vec![change(11)],
    };
    assert_eq!(feed.take(&segment, now), Verdict::Gap);
    let options = Options {
        max_age: Millis(1_500),
        jitter: Millis(250),
    };
    assert_eq!(feed.rest(options, now), Millis(0));
}

#[test]
fn nothing_is_applied_while_all_registrations_are_read() {
    let mut feed = Feed::default();
    feed.finish_snapshot(10, true, Instant(0));
    feed.begin_snapshot();
    let segment = Segment {
        from: 10,
        to: 11,
        changes: vec![change(11)],
    };
    assert_eq!(feed.take(&segment, Instant(1)), Verdict::Gap);
    assert_eq!(feed.position(true, Instant(1)), None);
}
