//! Evacuated zones as nodes learn them from the store and from each other.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use compact_str::CompactString;
use fastrand::Rng;
use jackdaw_core::store::Era;
use jackdaw_policy::evacuation::{Evacuations, MAX_NAME, is_zone_name};
use rstest::rstest;

/// One operation and whether it changes the set.
#[derive(Clone, Copy, Debug)]
enum Step {
    Snapshot(&'static [&'static str], u64, bool),
    Put(&'static str, u64, bool),
    Remove(&'static str, u64, bool),
    Merge(&'static [&'static str], u64, bool),
}

#[derive(Debug)]
struct Case {
    name: &'static str,
    steps: &'static [Step],
    zones: &'static [&'static str],
    revision: u64,
    has_known_any: bool,
}

/// First revision of the next era.
const NEXT_ERA: u64 = 1 << 40;

fn names(zones: &[&str]) -> Vec<CompactString> {
    zones
        .iter()
        .map(|zone| CompactString::from(*zone))
        .collect()
}

// Guards against a set that an older one replaces, or that keeps a newer one out.
#[rstest]
#[case(Case { name: "nothing is known", steps: &[], zones: &[], revision: 0, has_known_any: false })]
#[case(Case { name: "a store without evacuations", steps: &[Step::Snapshot(&[], 7, false)], zones: &[], revision: 7, has_known_any: false })]
#[case(Case { name: "a zone is evacuated before the start", steps: &[Step::Snapshot(&["a"], 7, true)], zones: &["a"], revision: 7, has_known_any: true })]
#[case(Case { name: "evacuated and withdrawn", steps: &[Step::Put("a", 8, true), Step::Remove("a", 9, true)], zones: &[], revision: 9, has_known_any: true })]
#[case(Case { name: "written twice", steps: &[Step::Put("a", 8, true), Step::Put("a", 9, false)], zones: &["a"], revision: 9, has_known_any: true })]
#[case(Case { name: "a change that a peer has told before", steps: &[Step::Merge(&[], 9, false), Step::Put("a", 8, false)], zones: &[], revision: 9, has_known_any: true })]
#[case(Case { name: "a snapshot older than a peer's set", steps: &[Step::Merge(&["a"], 9, true), Step::Snapshot(&[], 8, false)], zones: &["a"], revision: 9, has_known_any: true })]
#[case(Case { name: "a peer that has not heard of the evacuation", steps: &[Step::Put("a", 9, true), Step::Merge(&[], 8, false)], zones: &["a"], revision: 9, has_known_any: true })]
#[case(Case { name: "a peer that has heard of the end", steps: &[Step::Put("a", 9, true), Step::Merge(&[], 10, true)], zones: &[], revision: 10, has_known_any: true })]
#[case(Case { name: "a peer's late set after a snapshot", steps: &[Step::Snapshot(&["a"], 20, true), Step::Merge(&[], 15, false)], zones: &["a"], revision: 20, has_known_any: true })]
#[case(Case { name: "several zones", steps: &[Step::Put("a", 8, true), Step::Put("b", 9, true), Step::Remove("a", 10, true)], zones: &["b"], revision: 10, has_known_any: true })]
#[case(Case { name: "two zones in one transaction", steps: &[Step::Put("a", 8, true), Step::Put("b", 8, true)], zones: &["a", "b"], revision: 8, has_known_any: true })]
#[case(Case { name: "a store that came back from a copy", steps: &[Step::Put("a", 9, true), Step::Snapshot(&[], NEXT_ERA + 3, true), Step::Merge(&["a"], 12, false)], zones: &[], revision: NEXT_ERA + 3, has_known_any: true })]
fn newest_set_is_in_force(#[case] case: Case) {
    assert_eq!(Era::of(NEXT_ERA), Era(1));
    let mut set = Evacuations::default();
    for step in case.steps {
        let (has_changed, expected) = match *step {
            Step::Snapshot(zones, at, expected) => (set.replace(names(zones), at), expected),
            Step::Put(zone, at, expected) => (set.put(zone, at), expected),
            Step::Remove(zone, at, expected) => (set.remove(zone, at), expected),
            Step::Merge(zones, at, expected) => (set.merge(names(zones), at), expected),
        };
        assert_eq!(has_changed, expected, "{}: {step:?}", case.name);
    }
    let zones: Vec<CompactString> = set.zones().cloned().collect();
    assert_eq!(zones, names(case.zones), "{}", case.name);
    assert_eq!(set.revision(), case.revision, "{}", case.name);
    assert_eq!(set.has_known_any(), case.has_known_any, "{}", case.name);
    assert_eq!(set.is_empty(), case.zones.is_empty(), "{}", case.name);
    for zone in ["a", "b"] {
        let is_expected = case.zones.contains(&zone);
        assert_eq!(set.is_evacuated(zone), is_expected, "{}: {zone}", case.name);
    }
}

#[derive(Debug)]
struct Name {
    name: String,
    is_valid: bool,
}

// Guards against keys or datagrams that make datagrams of the nodes grow.
#[rstest]
#[case(Name { name: "a".into(), is_valid: true })]
#[case(Name { name: "z".repeat(MAX_NAME), is_valid: true })]
#[case(Name { name: "z".repeat(MAX_NAME + 1), is_valid: false })]
#[case(Name { name: String::new(), is_valid: false })]
#[case(Name { name: "a/b".into(), is_valid: false })]
fn names_of_zones_are_bounded(#[case] case: Name) {
    assert_eq!(is_zone_name(&case.name), case.is_valid, "{case:?}");
}

const ZONES: [&str; 3] = ["a", "b", "c"];
const NODES: usize = 12;
/// Number of nodes that get a node's set in a round.
const FANOUT: usize = 2;
/// Rounds in which the store changes.
const ROUNDS: usize = 60;
/// Rounds after the last change within which all nodes have to know it.
const SETTLING_ROUNDS: usize = 16;
const SEEDS: u64 = 200;

#[derive(Clone, Copy, Debug)]
enum Change {
    Put(&'static str, u64),
    Remove(&'static str, u64),
}

/// A store with its history, which may come back from a copy.
#[derive(Default)]
struct Store {
    era: u64,
    number: u64,
    zones: BTreeSet<&'static str>,
    changes: Vec<Change>,
    copy: (u64, BTreeSet<&'static str>),
    /// Sets of all eras by their revisions.
    history: BTreeMap<u64, BTreeSet<&'static str>>,
}

impl Store {
    fn revision(&self) -> u64 {
        Era(self.era).with(self.number)
    }

    fn step(&mut self, random: &mut Rng) {
        let zone = ZONES[random.usize(..ZONES.len())];
        match random.u32(..20) {
            0 => self.copy = (self.number, self.zones.clone()),
            1 => {
                self.era += 1;
                (self.number, self.zones) = self.copy.clone();
                self.changes.clear();
            }
            2..=5 => {
                self.number += 1;
                self.zones.insert(zone);
                self.changes.push(Change::Put(zone, self.revision()));
            }
            6..=9 => {
                self.number += 1;
                self.zones.remove(zone);
                self.changes.push(Change::Remove(zone, self.revision()));
            }
            // Another key changes.
            10 => self.number += 1,
            _ => {}
        }
        self.history.insert(self.revision(), self.zones.clone());
    }

    /// Returns the set at a revision, or at the last one before it.
    fn at(&self, revision: u64) -> BTreeSet<&'static str> {
        let mut earlier = self.history.range(..=revision);
        earlier
            .next_back()
            .map_or_else(BTreeSet::new, |(_, zones)| zones.clone())
    }
}

#[derive(Default)]
struct Node {
    set: Evacuations,
    /// Revision up to which the node has read the store.
    read: Option<u64>,
    /// Whether the node's calls for changes hear of none.
    is_deaf: bool,
}

impl Node {
    fn read_store(&mut self, store: &Store) {
        let is_current = |read: &u64| Era::of(*read) == Era(store.era);
        let Some(read) = self.read.filter(is_current) else {
            let zones = store.zones.iter().map(|zone| CompactString::from(*zone));
            self.set.replace(zones, store.revision());
            self.read = Some(store.revision());
            return;
        };
        for change in &store.changes {
            match *change {
                Change::Put(zone, at) if at > read => self.set.put(zone, at),
                Change::Remove(zone, at) if at > read => self.set.remove(zone, at),
                Change::Put(..) | Change::Remove(..) => continue,
            };
        }
        self.read = Some(store.revision());
    }

    fn assert_true(&self, store: &Store, seed: u64) {
        let known: BTreeSet<&str> = self.set.zones().map(CompactString::as_str).collect();
        assert_eq!(known, store.at(self.set.revision()), "seed {seed}");
    }
}

/// A set on its way to a node.
type Datagram = (usize, Vec<CompactString>, u64);

/// Sends the sets of the nodes that have any to tell to some others.
fn send(nodes: &[Node], in_flight: &mut VecDeque<Datagram>, random: &mut Rng) {
    for node in nodes.iter().filter(|node| node.set.has_known_any()) {
        for _ in 0..FANOUT {
            let zones = node.set.zones().cloned().collect();
            in_flight.push_back((random.usize(..nodes.len()), zones, node.set.revision()));
        }
    }
}

// Guards against nodes that go by a set which the store never held at the revision that they state, and
// against nodes that do not learn of an evacuation or its end although datagrams arrive late, twice, in
// another order or not at all, nodes restart, most hear nothing from the store, and the store comes back
// from a copy.
#[test]
fn nodes_that_hear_nothing_from_the_store_learn_its_set() {
    for seed in 0..SEEDS {
        let mut random = Rng::with_seed(seed);
        let mut store = Store::default();
        store.history.insert(0, BTreeSet::new());
        let mut nodes: Vec<Node> = (0..NODES).map(|_| Node::default()).collect();
        for (number, node) in nodes.iter_mut().enumerate() {
            node.read_store(&store);
            // Those that read the store lead zones.
            node.is_deaf = number >= 2;
        }
        let mut in_flight: VecDeque<Datagram> = VecDeque::new();
        for round in 0..ROUNDS + SETTLING_ROUNDS {
            let is_settling = round >= ROUNDS;
            if !is_settling {
                store.step(&mut random);
                let restarted = random.usize(..NODES * 8);
                if let Some(node) = nodes.get_mut(restarted) {
                    let is_deaf = node.is_deaf;
                    *node = Node {
                        is_deaf,
                        ..Node::default()
                    };
                    node.read_store(&store);
                }
            }
            for node in nodes.iter_mut().filter(|node| !node.is_deaf) {
                if is_settling || random.bool() {
                    node.read_store(&store);
                }
            }
            send(&nodes, &mut in_flight, &mut random);
            for _ in 0..in_flight.len() {
                let Some((recipient, zones, revision)) = in_flight.pop_front() else {
                    break;
                };
                match random.u32(..10) {
                    // Lost, late, or twice.
                    0 => continue,
                    1 => in_flight.push_back((recipient, zones, revision)),
                    2 => {
                        nodes[recipient].set.merge(zones.clone(), revision);
                        in_flight.push_back((recipient, zones, revision));
                    }
                    _ => {
                        nodes[recipient].set.merge(zones, revision);
                    }
                }
            }
            for node in &nodes {
                node.assert_true(&store, seed);
            }
        }
        // Nodes that have never known of an evacuation need not know the revision.
        for (number, node) in nodes.iter().enumerate() {
            let known: BTreeSet<&str> = node.set.zones().map(CompactString::as_str).collect();
            assert_eq!(known, store.zones, "seed {seed}, node {number}");
        }
    }
}
