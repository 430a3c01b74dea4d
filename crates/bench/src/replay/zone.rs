//! One availability zone under replay.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use jackdaw_core::catalog::{Catalog, Model};
use jackdaw_core::placement::{Group, Placement, State};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Revision;
use jackdaw_policy::plan::{self, Candidate, Health};

use super::policy::{Policy, View};
use super::schedule::{DAY, Event, Shape, Slot};

/// Time that one VM takes to load its part of a model.
const LOAD: u64 = 60_000;
/// Time that requests in flight take to finish.
const DRAIN: u64 = 30_000;
/// Time between two looks at a zone that is short of groups.
const LOOK: u64 = 15_000;
/// Proposals in a row after which a policy is taken to be going in circles.
const MAX_PROPOSALS: usize = 50;

/// The two measures and the cost of planning.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Measure {
    /// Milliseconds of each group that was wanted and did not serve.
    pub(crate) group_downtime: u64,
    /// Milliseconds of each present VM that held no serving group.
    pub(crate) stranded: u64,
    /// Calls of the policy.
    pub(crate) calls: u64,
    /// Changed placements.
    pub(crate) changes: u64,
    /// Loads begun.
    pub(crate) loads: u64,
    /// Time spent in the policy.
    pub(crate) spent: Duration,
    /// Longest call of the policy.
    pub(crate) longest: Duration,
}

impl Measure {
    /// Adds what another zone measured.
    pub(crate) fn add(&mut self, other: &Measure) {
        self.group_downtime += other.group_downtime;
        self.stranded += other.stranded;
        self.calls += other.calls;
        self.changes += other.changes;
        self.loads += other.loads;
        self.spent += other.spent;
        self.longest = self.longest.max(other.longest);
    }
}

/// Weights that a VM holds.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Weights {
    model: CompactString,
    version: CompactString,
    rank: usize,
}

/// A VM with its weights.
#[derive(Clone, Debug)]
struct Vm {
    slot: Slot,
    health: Health,
    since: u64,
    weights: Option<Weights>,
}

/// Something that the replay itself expects.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Loaded(CompactString),
    Drained(CompactString),
    Look,
}

/// One availability zone under replay.
pub(crate) struct Zone {
    shape: Shape,
    now: u64,
    vms: BTreeMap<CompactString, Vm>,
    lives: BTreeMap<Slot, u32>,
    dark: BTreeSet<usize>,
    placement: Placement,
    catalog: Catalog,
    replicas: Vec<u32>,
    loading: BTreeMap<CompactString, (u64, Weights)>,
    draining: BTreeSet<CompactString>,
    drained: Vec<CompactString>,
    serving: BTreeSet<CompactString>,
    due: BinaryHeap<Reverse<(u64, Due)>>,
    next_look: u64,
    measure: Measure,
}

impl Zone {
    /// Creates a zone in which all wanted groups serve.
    pub(crate) fn new(shape: &Shape) -> Self {
        let mut zone = Zone {
            shape: shape.clone(),
            now: 0,
            vms: BTreeMap::new(),
            lives: BTreeMap::new(),
            dark: BTreeSet::new(),
            placement: Placement {
                zone: "z".into(),
                ..Placement::default()
            },
            catalog: Catalog {
                revision: Revision(1),
                models: shape.models.iter().map(model).collect(),
                ..Catalog::default()
            },
            replicas: shape.models.iter().map(|model| model.2).collect(),
            loading: BTreeMap::new(),
            draining: BTreeSet::new(),
            drained: Vec::new(),
            serving: BTreeSet::new(),
            due: BinaryHeap::new(),
            next_look: 0,
            measure: Measure::default(),
        };
        for (domain, count) in shape.domains.iter().enumerate() {
            for number in 0..*count {
                zone.arrive(Slot { domain, number });
            }
        }
        zone.start();
        zone
    }

    /// Forms the first placement and loads it at once.
    fn start(&mut self) {
        let candidates = self.candidates();
        let input = plan::Input {
            placement: &self.placement,
            catalog: &self.catalog,
            vms: &candidates,
            drained: &[],
            now: Instant(0),
        };
        if let Some(proposal) = plan::propose(&input) {
            self.placement = proposal.placement;
        }
        for group in self.placement.groups.clone() {
            for (rank, name) in group.members.iter().enumerate() {
                if let Some(vm) = self.vms.get_mut(name) {
                    vm.weights = Some(weights(&group, rank));
                }
            }
        }
        self.serving = self.find_serving();
    }

    /// Replays events under a policy and returns what was measured.
    pub(crate) fn run(
        mut self,
        policy: &mut dyn Policy,
        events: &[(u64, Event)],
        days: u64,
    ) -> Measure {
        let mut events = events.iter().peekable();
        let end = days * DAY;
        loop {
            let next_event = events.peek().map_or(u64::MAX, |(at, _)| *at);
            let next_due = self.due.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
            let next = next_event.min(next_due);
            if next >= end {
                self.advance(end);
                return self.measure;
            }
            self.advance(next);
            if next_event <= next_due {
                if let Some((_, event)) = events.next() {
                    self.apply(event);
                }
            } else if let Some(Reverse((_, due))) = self.due.pop() {
                self.expire(due);
            }
            self.settle(policy);
        }
    }

    fn advance(&mut self, to: u64) {
        let span = to - self.now;
        let mut down = 0;
        for model in &self.catalog.models {
            let serving = self.serving_of(&model.name);
            down += u64::from(model.replicas).saturating_sub(serving as u64);
        }
        let busy: BTreeSet<&CompactString> = self
            .placement
            .groups
            .iter()
            .filter(|group| self.serving.contains(&group.name))
            .flat_map(|group| &group.members)
            .collect();
        let idle = self
            .vms
            .iter()
            .filter(|(name, vm)| vm.health != Health::Missing && !busy.contains(name))
            .count();
        self.measure.group_downtime += span * down;
        self.measure.stranded += span * idle as u64;
        self.now = to;
    }

    fn serving_of(&self, model: &str) -> usize {
        self.placement
            .groups
            .iter()
            .filter(|group| group.model == model && self.serving.contains(&group.name))
            .count()
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Lose(slot, keeps) => self.lose(*slot, *keeps),
            Event::Return(slot) => self.come_back(*slot),
            Event::Leave(slot) => self.set(*slot, Health::Leaving),
            Event::Gone(slot) => {
                let name = self.holder(*slot);
                self.vms.remove(&name);
                self.loading.remove(&name);
            }
            Event::Arrive(slot) => {
                let name = self.holder(*slot);
                if !self.vms.contains_key(&name) {
                    self.arrive(*slot);
                }
            }
            Event::Dark(domain) => {
                self.dark.insert(*domain);
                self.each_slot(*domain, |zone, slot| zone.lose(slot, false));
            }
            Event::Light(domain) => {
                self.dark.remove(domain);
                self.each_slot(*domain, Zone::come_back);
            }
            Event::Version(index) => {
                let version = &mut self.catalog.models[*index].version;
                *version = format_compact!("{}", self.now);
            }
            Event::Fewer(index) => {
                let wanted = self.replicas[*index];
                self.catalog.models[*index].replicas = (wanted - 1).max(1);
            }
            Event::Restore(index) => {
                self.catalog.models[*index].replicas = self.replicas[*index];
            }
        }
    }

    fn each_slot(&mut self, domain: usize, act: impl Fn(&mut Self, Slot)) {
        for number in 0..self.shape.domains[domain] {
            act(self, Slot { domain, number });
        }
    }

    fn holder(&self, slot: Slot) -> CompactString {
        slot.vm(self.lives.get(&slot).copied().unwrap_or(0))
    }

    fn arrive(&mut self, slot: Slot) {
        *self.lives.entry(slot).or_default() += 1;
        let is_dark = self.dark.contains(&slot.domain);
        let vm = Vm {
            slot,
            health: if is_dark {
                Health::Missing
            } else {
                Health::Present
            },
            since: self.now,
            weights: None,
        };
        self.vms.insert(self.holder(slot), vm);
    }

    fn lose(&mut self, slot: Slot, keeps: bool) {
        let name = self.holder(slot);
        self.loading.remove(&name);
        if let Some(vm) = self.vms.get_mut(&name)
            && !keeps
        {
            vm.weights = None;
        }
        self.set(slot, Health::Missing);
    }

    fn come_back(&mut self, slot: Slot) {
        let name = self.holder(slot);
        let is_missing = self
            .vms
            .get(&name)
            .is_some_and(|vm| vm.health == Health::Missing);
        if is_missing && !self.dark.contains(&slot.domain) {
            self.set(slot, Health::Present);
        }
    }

    fn set(&mut self, slot: Slot, health: Health) {
        let name = self.holder(slot);
        if let Some(vm) = self.vms.get_mut(&name)
            && vm.health != health
        {
            vm.health = health;
            vm.since = self.now;
        }
    }

    fn expire(&mut self, due: Due) {
        match due {
            Due::Loaded(name) => self.finish_load(&name),
            Due::Drained(group) => {
                if self.draining.remove(&group) {
                    self.drained.push(group);
                }
            }
            Due::Look => {}
        }
    }

    fn finish_load(&mut self, name: &CompactString) {
        let is_due = self
            .loading
            .get(name)
            .is_some_and(|(at, _)| *at == self.now);
        if !is_due {
            return;
        }
        if let Some((_, weights)) = self.loading.remove(name)
            && let Some(vm) = self.vms.get_mut(name)
        {
            vm.weights = Some(weights);
        }
    }

    /// Asks the policy until it is content, then starts drains and loads.
    fn settle(&mut self, policy: &mut dyn Policy) {
        let candidates = self.candidates();
        policy.observe(&candidates, Instant(self.now));
        self.serving = self.find_serving();
        for _ in 0..MAX_PROPOSALS {
            let start = std::time::Instant::now();
            let next = policy.propose(&self.view(&candidates));
            let spent = start.elapsed();
            self.measure.calls += 1;
            self.measure.spent += spent;
            self.measure.longest = self.measure.longest.max(spent);
            self.drained.clear();
            let Some(next) = next else {
                break;
            };
            self.measure.changes += 1;
            let sequence = self.placement.sequence + 1;
            self.placement = next;
            self.placement.sequence = sequence;
            assert!(self.placement.vms_in_two_groups().is_empty());
            self.start_drains();
            self.serving = self.find_serving();
        }
        let order = policy.load_order(&self.view(&candidates));
        self.start_loads(&order);
        self.serving = self.find_serving();
        self.plan_look();
    }

    fn view<'a>(&'a self, candidates: &'a [Candidate]) -> View<'a> {
        View {
            placement: &self.placement,
            catalog: &self.catalog,
            vms: candidates,
            drained: &self.drained,
            serving: &self.serving,
            now: Instant(self.now),
        }
    }

    fn candidates(&self) -> Vec<Candidate> {
        let candidate = |(name, vm): (&CompactString, &Vm)| Candidate {
            name: name.clone(),
            domain: format_compact!("d{}", vm.slot.domain),
            health: vm.health,
            since: Instant(vm.since),
        };
        self.vms.iter().map(candidate).collect()
    }

    fn start_drains(&mut self) {
        let draining: BTreeSet<CompactString> = self
            .placement
            .groups
            .iter()
            .filter(|group| group.state == State::Draining)
            .map(|group| group.name.clone())
            .collect();
        for group in draining.difference(&self.draining) {
            let due = Due::Drained(group.clone());
            self.due.push(Reverse((self.now + DRAIN, due)));
        }
        self.draining = draining;
    }

    fn start_loads(&mut self, order: &[CompactString]) {
        let wanted = self.wanted_loads(order);
        self.loading.retain(|name, (_, weights)| {
            wanted
                .iter()
                .any(|(vm, needed)| vm == name && needed == weights)
        });
        for (name, weights) in wanted {
            if self.loading.len() >= self.shape.loads {
                return;
            }
            if self.loading.contains_key(&name) {
                continue;
            }
            let at = self.now + LOAD;
            self.loading.insert(name.clone(), (at, weights));
            self.due.push(Reverse((at, Due::Loaded(name))));
            self.measure.loads += 1;
        }
    }

    /// Returns the loads that groups need, in order.
    fn wanted_loads(&self, order: &[CompactString]) -> Vec<(CompactString, Weights)> {
        let mut wanted = Vec::new();
        for name in order {
            let Some(group) = self.placement.group(name) else {
                continue;
            };
            if group.state != State::Active {
                continue;
            }
            for (rank, member) in group.members.iter().enumerate() {
                let needed = weights(group, rank);
                let is_needed = self.vms.get(member).is_some_and(|vm| {
                    vm.health != Health::Missing && vm.weights.as_ref() != Some(&needed)
                });
                if is_needed {
                    wanted.push((member.clone(), needed));
                }
            }
        }
        wanted
    }

    fn find_serving(&self) -> BTreeSet<CompactString> {
        let serves = |group: &&Group| {
            let mut members = group.members.iter().enumerate();
            group.state == State::Active
                && members.all(|(rank, member)| {
                    self.vms.get(member).is_some_and(|vm| {
                        vm.health != Health::Missing
                            && vm.weights.as_ref() == Some(&weights(group, rank))
                    })
                })
        };
        let groups = self.placement.groups.iter().filter(serves);
        groups.map(|group| group.name.clone()).collect()
    }

    /// Looks again soon while a model is short of groups.
    fn plan_look(&mut self) {
        let is_short = self
            .catalog
            .models
            .iter()
            .any(|model| self.serving_of(&model.name) < model.replicas as usize);
        if is_short && self.next_look <= self.now {
            self.next_look = self.now + LOOK;
            self.due.push(Reverse((self.next_look, Due::Look)));
        }
    }
}

fn weights(group: &Group, rank: usize) -> Weights {
    Weights {
        model: group.model.clone(),
        version: group.version.clone(),
        rank,
    }
}

fn model(shape: &(&'static str, u32, u32, u32)) -> Model {
    let (name, vms_per_replica, replicas, priority) = *shape;
    Model {
        name: name.into(),
        version: "0".into(),
        vms_per_replica,
        replicas,
        adapters: Vec::new(),
        zones: Vec::new(),
        priority,
    }
}
