//! A store that comes back from copies at each step of two servers' lives: every sequence within bounds.

use std::collections::{BTreeMap, HashSet};

use compact_str::CompactString;
use jackdaw_core::backend::Server;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::fleet::Fleet;
use jackdaw_policy::registry::{Registry, Removal, Source};

const SERVICE: &str = "service";
/// Length of the sequences.
const LENGTH: usize = 5;
/// Time in which living servers write again what the store has lost.
const REWRITE_TIME: Millis = Millis(1_500);
/// Time after which the store drops the entries of servers that do not write.
const LAPSE_TIME: Millis = Millis(4_000);
/// Time after which whatever a copy brought back is settled.
const SETTLE_TIME: Millis = Millis(11_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The first server ends, if it runs, and starts as a new incarnation.
    Start,
    /// The first server begins to drain.
    Drain,
    /// The first server ends and its entry is gone.
    End,
    /// The first server's entry lapses although it runs.
    Lapse,
    /// The store comes back from the state of a number of steps before.
    Drill(usize),
    /// All living servers write their entries; an entry that is the same is no change.
    Rewrite,
    /// The node reads all entries again.
    Read,
}

const STEPS: [Step; 8] = [
    Step::Start,
    Step::Drain,
    Step::End,
    Step::Lapse,
    Step::Drill(1),
    Step::Drill(3),
    Step::Rewrite,
    Step::Read,
];

/// Start and whether the server drains, by server.
type Entries = BTreeMap<&'static str, (u64, bool)>;

fn server(id: &str, (start_unix_ms, draining): (u64, bool)) -> Server {
    Server {
        id: id.into(),
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "zone".into(),
        draining,
        slots: 1,
        start_unix_ms,
        domain: CompactString::default(),
        staged: Vec::new(),
        warmup_left: Millis(0),
        membership: None,
    }
}

/// The store, the servers, and one node's view of them.
struct World {
    now: Instant,
    starts: u64,
    alive: Entries,
    stored: Entries,
    /// States of the store after each step.
    copies: Vec<Entries>,
    fleet: Fleet,
    registry: Registry,
    /// Incarnations that the node has seen drain.
    drained: HashSet<(&'static str, u64)>,
    /// Incarnations whose end the node has seen.
    ended: HashSet<(&'static str, u64)>,
    /// Living servers that served before the store came back, with their starts, and the time until
    /// which they keep serving.
    kept: Vec<(&'static str, u64)>,
    kept_until: Instant,
}

impl World {
    fn new() -> World {
        let mut world = World {
            now: Instant(1_000_000),
            starts: 2,
            alive: Entries::from([("a", (1, false)), ("b", (2, false))]),
            stored: Entries::new(),
            copies: Vec::new(),
            fleet: Fleet::default(),
            registry: Registry::default(),
            drained: HashSet::new(),
            ended: HashSet::new(),
            kept: Vec::new(),
            kept_until: Instant(0),
        };
        world.rewrite();
        world.copies.push(world.stored.clone());
        world
    }

    fn write(&mut self, id: &'static str) {
        let Some(state) = self.alive.get(id).copied() else {
            return;
        };
        self.stored.insert(id, state);
        if state.1 {
            self.drained.insert((id, state.0));
        }
        self.ended.remove(&(id, state.0));
        let server = server(id, state);
        let source = Source::Change {
            revision: self.now.0,
        };
        self.registry
            .register(&mut self.fleet, server, source, self.now);
    }

    fn rewrite(&mut self) {
        for id in ["a", "b"] {
            if self.alive.get(id) != self.stored.get(id) {
                self.write(id);
            }
        }
    }

    fn remove(&mut self, id: &'static str) {
        if let Removal::Removed(server) = self.registry.remove(&mut self.fleet, id, self.now) {
            self.ended.insert((id, server.start_unix_ms));
        }
    }

    fn read(&mut self) {
        let listed = self
            .stored
            .keys()
            .map(|id| CompactString::from(*id))
            .collect();
        for id in self.registry.missing(&self.fleet, &listed) {
            let id = if id == "a" { "a" } else { "b" };
            self.remove(id);
        }
        for (id, state) in self.stored.clone() {
            let server = server(id, state);
            let source = Source::Snapshot {
                revision: self.now.0,
            };
            self.registry
                .register(&mut self.fleet, server, source, self.now);
        }
    }

    fn pass(&mut self, span: Millis) {
        self.now = self.now + span;
        for id in self.registry.overdue(self.now) {
            let id = if id == "a" { "a" } else { "b" };
            self.remove(id);
        }
        self.registry.trust_living(&mut self.fleet, self.now);
    }

    fn apply(&mut self, step: Step) {
        // Two steps lie further apart than the window in which lapses count as those of an outage.
        self.pass(Millis(400));
        let is_of_first = matches!(step, Step::Start | Step::Drain | Step::End | Step::Lapse);
        self.kept.retain(|(id, _)| *id != "a" || !is_of_first);
        match step {
            Step::Start => {
                self.starts += 1;
                self.alive.insert("a", (self.starts, false));
                self.write("a");
            }
            Step::Drain => {
                if let Some(state) = self.alive.get_mut("a") {
                    state.1 = true;
                }
                self.write("a");
            }
            Step::End => {
                self.alive.remove("a");
                if self.stored.remove("a").is_some() {
                    self.remove("a");
                }
            }
            Step::Lapse => {
                if self.stored.remove("a").is_some() {
                    self.remove("a");
                }
            }
            Step::Drill(age) => {
                self.kept_until = self.now + REWRITE_TIME;
                let known = self.fleet.servers();
                let serving = known.filter(|server| !server.draining);
                let is_alive = |id: &str, start| self.alive.get(id).is_some_and(|s| s.0 == start);
                self.kept = serving
                    .map(|server| {
                        let id = if server.id == "a" { "a" } else { "b" };
                        (id, server.start_unix_ms)
                    })
                    .filter(|(id, start)| is_alive(id, *start))
                    .collect();
                let copy = self.copies.len().saturating_sub(age);
                self.stored = self.copies[copy.min(self.copies.len() - 1)].clone();
                self.registry.begin_era(self.now);
                self.read();
            }
            Step::Rewrite => self.rewrite(),
            Step::Read => self.read(),
        }
        self.copies.push(self.stored.clone());
    }

    /// Checks what holds at any time.
    fn check(&self, steps: &[Step]) {
        let targets = self.fleet.targets(SERVICE, None);
        for target in &targets {
            let id = if target.server == "a" { "a" } else { "b" };
            let incarnation = (id, target.born);
            let is_drained = self.drained.contains(&incarnation);
            assert!(
                !is_drained,
                "{steps:?}: {incarnation:?} gets work though it drains"
            );
            let is_sound = target.suspect || !self.ended.contains(&incarnation);
            assert!(
                is_sound,
                "{steps:?}: {incarnation:?} is preferred though it ended"
            );
        }
        let kept = self.kept.iter().filter(|_| self.now <= self.kept_until);
        for (id, start) in kept {
            let serves = targets.iter().any(|target| target.server == *id);
            let is_replaced = self
                .fleet
                .server(id)
                .is_some_and(|s| s.start_unix_ms != *start);
            assert!(
                serves || is_replaced,
                "{steps:?}: {id} lives and gets no work"
            );
        }
    }

    /// Lets living servers write and entries of others lapse, and checks that the view is the truth.
    fn settle(&mut self, steps: &[Step]) {
        self.pass(Millis(REWRITE_TIME.0 / 2));
        self.check(steps);
        self.pass(Millis(REWRITE_TIME.0 / 2));
        self.rewrite();
        self.pass(LAPSE_TIME);
        for id in ["a", "b"] {
            if !self.alive.contains_key(id) && self.stored.remove(id).is_some() {
                self.remove(id);
            }
        }
        self.pass(SETTLE_TIME);
        let view: BTreeMap<&str, (u64, bool)> = self
            .fleet
            .servers()
            .map(|server| (server.id.as_str(), (server.start_unix_ms, server.draining)))
            .collect();
        assert_eq!(view, self.alive, "{steps:?}");
        let mut targets = self.fleet.targets(SERVICE, None).into_iter();
        assert!(
            targets.all(|target| !target.suspect),
            "{steps:?}: a server stays suspect"
        );
    }
}

// Guards against entries of a copy that are taken for news: a draining server that serves again, a server
// that has ended and is preferred, a living server that is left out.
#[test]
fn no_sequence_with_copies_brings_back_the_past() {
    let mut count = 0;
    let mut digits = [0; LENGTH];
    loop {
        let steps: Vec<Step> = digits.iter().map(|digit| STEPS[*digit]).collect();
        let mut world = World::new();
        for step in &steps {
            world.apply(*step);
            world.check(&steps);
        }
        world.settle(&steps);
        count += 1;
        let Some(position) = digits.iter().position(|digit| *digit + 1 < STEPS.len()) else {
            break;
        };
        digits[..position].fill(0);
        digits[position] += 1;
    }
    assert_eq!(count, STEPS.len().pow(LENGTH as u32));
}
