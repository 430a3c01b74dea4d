//! A server lost under running streams: the first node that notices tells all others.
//!
//! Baseline: each node finds out by itself, once its own streams or its next request there stand
//! still.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use fastrand::Rng;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::stall::{FANOUT, Progress, Report, STALL_TIME, Table};
use rstest::rstest;

/// Time within which all nodes know what the first one knows.
const KNOWN: Millis = Millis(300);
/// Pause between two rounds of a node.
const ROUND: u64 = 250;
/// Time between two passes of an engine.
const PASS: u64 = 60;
/// Place that stands still.
const LOST: u64 = 1;
/// Place that makes progress.
const SOUND: u64 = 2;
/// Time of the loss.
const LOST_AT: u64 = 10_000;

/// What a node does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// It receives nothing from servers, but datagrams.
    Cut,
    /// It says of all places that they stand still.
    Lying,
    /// It stands still for some seconds and goes on with what it has received meanwhile.
    Paused,
}

struct World {
    now: u64,
    random: Rng,
    loss: f64,
    tables: Vec<Table>,
    /// Places where each node has streams.
    streams: Vec<Vec<u64>>,
    faulty: Vec<(usize, Fault)>,
    in_flight: BinaryHeap<Reverse<(u64, u64)>>,
    datagrams: BTreeMap<u64, (usize, Vec<Report>)>,
    next: u64,
    sent: usize,
}

impl World {
    fn new(nodes: usize, with_streams: usize, loss: f64, seed: u64) -> Self {
        let mut random = Rng::with_seed(seed);
        let mut streams = vec![Vec::new(); nodes];
        for place in [LOST, SOUND] {
            for node in random.choose_multiple(0..nodes, with_streams) {
                streams[node].push(place);
            }
        }
        World {
            now: LOST_AT - 1_000,
            random,
            loss,
            tables: vec![Table::default(); nodes],
            streams,
            faulty: Vec::new(),
            in_flight: BinaryHeap::new(),
            datagrams: BTreeMap::new(),
            next: 0,
            sent: 0,
        }
    }

    fn fault(&self, node: usize) -> Option<Fault> {
        let mut faulty = self.faulty.iter();
        let found = faulty.find(|(faulty, _)| *faulty == node);
        found.map(|(_, fault)| *fault)
    }

    fn is_paused(&self, node: usize) -> bool {
        let is_within = (LOST_AT - 800..LOST_AT + 3_000).contains(&self.now);
        self.fault(node) == Some(Fault::Paused) && is_within
    }

    /// Returns the last progress that a node has seen at a place.
    fn progress_at(&self, node: usize, place: u64) -> u64 {
        let seen_until = match self.fault(node) {
            Some(Fault::Cut) => LOST_AT - 500,
            Some(Fault::Paused) if self.now >= LOST_AT + 3_000 && place == SOUND => {
                // What has arrived meanwhile is read at once.
                self.now
            }
            Some(Fault::Lying | Fault::Paused) | None => self.now,
        };
        let until = if place == LOST {
            seen_until.min(LOST_AT)
        } else {
            seen_until
        };
        until / PASS * PASS
    }

    fn spread(&mut self, reports: &[Report]) {
        if reports.is_empty() {
            return;
        }
        for peer in self.random.choose_multiple(0..self.tables.len(), FANOUT) {
            self.sent += 1;
            if self.random.f64() < self.loss {
                continue;
            }
            self.next += 1;
            self.in_flight
                .push(Reverse((self.now + 1 + self.random.u64(0..3), self.next)));
            self.datagrams.insert(self.next, (peer, reports.to_vec()));
        }
    }

    fn step(&mut self) {
        self.now += 1;
        let mut held = Vec::new();
        while let Some(Reverse((at, number))) = self.in_flight.peek().copied() {
            if at > self.now {
                break;
            }
            self.in_flight.pop();
            let (node, reports) = self.datagrams.remove(&number).expect("it was sent");
            if self.is_paused(node) {
                held.push((node, reports));
                continue;
            }
            let now = Instant(self.now);
            let mut news = reports;
            news.retain(|report| self.tables[node].take(*report, now));
            self.spread(&news);
        }
        for (node, reports) in held {
            self.next += 1;
            self.in_flight.push(Reverse((LOST_AT + 3_000, self.next)));
            self.datagrams.insert(self.next, (node, reports));
        }
        for node in 0..self.tables.len() {
            if !(self.now + node as u64 * 37).is_multiple_of(ROUND) || self.is_paused(node) {
                continue;
            }
            let places = self.streams[node].clone();
            let mut streams: Vec<Progress> = Vec::new();
            for place in places {
                let at = Instant(self.progress_at(node, place));
                streams.push(Progress { place, at });
            }
            if self.fault(node) == Some(Fault::Lying) {
                streams = [LOST, SOUND]
                    .map(|place| Progress {
                        place,
                        at: Instant(self.now - 400),
                    })
                    .to_vec();
            }
            let reports = self.tables[node].observe(&streams, Instant(self.now));
            self.spread(&reports);
        }
    }

    fn count_known(&self, place: u64) -> usize {
        let now = Instant(self.now);
        let known = |table: &&Table| table.stalled_since(place, now).is_some();
        self.tables.iter().filter(known).count()
    }

    /// Returns the times from the loss to the first and to the last node that knows of it.
    fn times(&mut self) -> (u64, u64) {
        let mut first = None;
        while self.now < LOST_AT + 3_000 {
            self.step();
            let known = self.count_known(LOST);
            if known > 0 && first.is_none() {
                first = Some(self.now - LOST_AT);
            }
            if known == self.tables.len() {
                return (first.expect("one knows it"), self.now - LOST_AT);
            }
        }
        panic!(
            "{} of {} know of the loss",
            self.count_known(LOST),
            self.tables.len()
        );
    }
}

#[derive(Clone, Copy, Debug)]
struct Load {
    name: &'static str,
    nodes: usize,
    with_streams: usize,
    loss: f64,
}

#[rstest]
#[case(Load { name: "195 nodes, a tenth with streams", nodes: 195, with_streams: 20, loss: 0.0 })]
#[case(Load { name: "195 nodes, one in twenty datagrams lost", nodes: 195, with_streams: 20, loss: 0.05 })]
#[case(Load { name: "370 nodes, one in twenty datagrams lost", nodes: 370, with_streams: 20, loss: 0.05 })]
#[case(Load { name: "six nodes", nodes: 6, with_streams: 2, loss: 0.0 })]
fn all_nodes_know_of_a_lost_server_soon_after_the_first(#[case] load: Load) {
    for seed in 1..=5 {
        let mut world = World::new(load.nodes, load.with_streams, load.loss, seed);
        let (first, last) = world.times();
        assert!(first <= STALL_TIME.0 + 2 * ROUND, "{}: {first}", load.name);
        assert!(last - first <= KNOWN.0, "{}: {first} to {last}", load.name);
        assert_eq!(world.count_known(SOUND), 0, "{}", load.name);
    }
}

#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    fault: Fault,
    count: usize,
}

// What one node sees may be its own link: others that receive something contradict it.
#[rstest]
#[case(Case { name: "one node is cut off from the servers", fault: Fault::Cut, count: 1 })]
#[case(Case { name: "a third of the nodes are", fault: Fault::Cut, count: 65 })]
#[case(Case { name: "one node lies", fault: Fault::Lying, count: 1 })]
#[case(Case { name: "one node is paused", fault: Fault::Paused, count: 1 })]
fn nodes_at_fault_keep_nobody_from_a_sound_place_for_long(#[case] case: Case) {
    for seed in 1..=5 {
        let mut world = World::new(195, 20, 0.02, seed);
        let candidates: Vec<usize> = (0..195)
            .filter(|node| case.fault == Fault::Lying || !world.streams[*node].is_empty())
            .collect();
        let candidates = match case.count {
            1 => candidates,
            _ => (0..195).collect(),
        };
        world.faulty = candidates[..case.count.min(candidates.len())]
            .iter()
            .map(|node| (*node, case.fault))
            .collect();
        let mut avoided = 0;
        for _ in 0..6_000 {
            world.step();
            avoided += world.count_known(SOUND);
        }
        let share = avoided as f64 / (195.0 * 6_000.0);
        assert!(
            share < 0.15,
            "{}: avoided {share:.3} of the time",
            case.name
        );
    }
}

#[test]
fn a_stall_is_forgotten_once_nobody_repeats_it() {
    let mut table = Table::default();
    let report = Report {
        place: LOST,
        progress_at: Instant(1_000),
        is_stalled: true,
    };
    assert!(table.take(report, Instant(1_400)));
    assert!(table.stalled_since(LOST, Instant(2_000)).is_some());
    assert!(table.stalled_since(LOST, Instant(9_000)).is_none());
}

#[test]
fn progress_takes_a_stall_back_and_a_later_stall_counts_again() {
    let mut table = Table::default();
    let stall = |progress_at| Report {
        place: LOST,
        progress_at: Instant(progress_at),
        is_stalled: true,
    };
    let progress = |progress_at| Report {
        is_stalled: false,
        ..stall(progress_at)
    };
    assert!(table.take(stall(1_000), Instant(1_400)));
    assert!(table.take(progress(1_300), Instant(1_450)));
    assert!(table.stalled_since(LOST, Instant(1_460)).is_none());
    // An older report of the same stall that arrives late.
    assert!(!table.take(stall(1_010), Instant(1_500)));
    assert!(table.stalled_since(LOST, Instant(1_500)).is_none());
    assert!(table.take(stall(1_320), Instant(1_700)));
    assert!(table.stalled_since(LOST, Instant(1_700)).is_some());
}
