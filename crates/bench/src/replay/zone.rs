//! Replays events in one availability zone.

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
use super::schedule::{DAY_MS, Event, Shape, Slot};

/// Time that a VM takes to load its part of a model, in milliseconds.
const LOAD_MS: u64 = 60_000;
/// Time that requests in flight take to finish, in milliseconds.
const DRAIN_MS: u64 = 30_000;
/// Interval between two calls of the policy while a model lacks serving groups, in milliseconds.
const RECHECK_INTERVAL_MS: u64 = 15_000;
/// Limit of consecutive proposals, which ends the calls of a policy that does not converge.
const MAX_PROPOSALS: usize = 50;

/// Downtime, stranded VMs and cost of planning.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Measurement {
    /// Time in which required groups did not serve, in group-milliseconds.
    pub(crate) group_downtime: u64,
    /// Time in which VMs that answered were in no serving group, in VM-milliseconds.
    pub(crate) stranded: u64,
    /// Proposals requested from the policy.
    pub(crate) calls: u64,
    /// Proposals that changed the placement.
    pub(crate) changes: u64,
    /// Loads started.
    pub(crate) loads: u64,
    /// Total time of these calls.
    pub(crate) policy_time: Duration,
    /// Time of the longest call.
    pub(crate) longest_call: Duration,
}

impl Measurement {
    /// Adds the measurement of another zone.
    pub(crate) fn add(&mut self, other: &Measurement) {
        self.group_downtime += other.group_downtime;
        self.stranded += other.stranded;
        self.calls += other.calls;
        self.changes += other.changes;
        self.loads += other.loads;
        self.policy_time += other.policy_time;
        self.longest_call = self.longest_call.max(other.longest_call);
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

/// Timer that the replay itself sets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Loaded(CompactString),
    Drained(CompactString),
    Recheck,
}

/// State of one availability zone under replay.
pub(crate) struct Zone {
    shape: Shape,
    now: u64,
    vms: BTreeMap<CompactString, Vm>,
    lives: BTreeMap<Slot, u32>,
    failed_domains: BTreeSet<usize>,
    placement: Placement,
    catalog: Catalog,
    initial_replicas: Vec<u32>,
    loading: BTreeMap<CompactString, (u64, Weights)>,
    draining: BTreeSet<CompactString>,
    drained: Vec<CompactString>,
    serving: BTreeSet<CompactString>,
    timers: BinaryHeap<Reverse<(u64, Timer)>>,
    next_recheck: u64,
    measure: Measurement,
}

impl Zone {
    /// Creates a zone in which the first placement is loaded and serves.
    pub(crate) fn new(shape: &Shape) -> Self {
        let mut zone = Zone {
            shape: shape.clone(),
            now: 0,
            vms: BTreeMap::new(),
            lives: BTreeMap::new(),
            failed_domains: BTreeSet::new(),
            placement: Placement {
                zone: "z".into(),
                ..Placement::default()
            },
            catalog: Catalog {
                revision: Revision(1),
                models: shape.models.iter().map(build_model).collect(),
                ..Catalog::default()
            },
            initial_replicas: shape.models.iter().map(|model| model.2).collect(),
            loading: BTreeMap::new(),
            draining: BTreeSet::new(),
            drained: Vec::new(),
            serving: BTreeSet::new(),
            timers: BinaryHeap::new(),
            next_recheck: 0,
            measure: Measurement::default(),
        };
        for (domain, count) in shape.domains.iter().enumerate() {
            for number in 0..*count {
                zone.add_vm(Slot { domain, number });
            }
        }
        zone.place_and_load();
        zone
    }

    /// Forms the first placement and sets its weights as loaded.
    fn place_and_load(&mut self) {
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
                    vm.weights = Some(required_weights(&group, rank));
                }
            }
        }
        self.serving = self.find_serving();
    }

    /// Replays events under a policy and returns the measurement.
    pub(crate) fn replay(
        mut self,
        policy: &mut dyn Policy,
        events: &[(u64, Event)],
        days: u64,
    ) -> Measurement {
        let mut events = events.iter().peekable();
        let end = days * DAY_MS;
        loop {
            let next_event = events.peek().map_or(u64::MAX, |(at, _)| *at);
            let next_timer = self.timers.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
            let next = next_event.min(next_timer);
            if next >= end {
                self.advance(end);
                return self.measure;
            }
            self.advance(next);
            if next_event <= next_timer {
                if let Some((_, event)) = events.next() {
                    self.apply(event);
                }
            } else if let Some(Reverse((_, timer))) = self.timers.pop() {
                self.fire(timer);
            }
            self.apply_policy(policy);
        }
    }

    fn advance(&mut self, to: u64) {
        let span = to - self.now;
        let mut missing_groups = 0;
        for model in &self.catalog.models {
            let serving = self.count_serving(&model.name);
            missing_groups += u64::from(model.replicas).saturating_sub(serving as u64);
        }
        let in_service: BTreeSet<&CompactString> = self
            .placement
            .groups
            .iter()
            .filter(|group| self.serving.contains(&group.name))
            .flat_map(|group| &group.members)
            .collect();
        let stranded = self
            .vms
            .iter()
            .filter(|(name, vm)| vm.health != Health::Missing && !in_service.contains(name))
            .count();
        self.measure.group_downtime += span * missing_groups;
        self.measure.stranded += span * stranded as u64;
        self.now = to;
    }

    fn count_serving(&self, model: &str) -> usize {
        self.placement
            .groups
            .iter()
            .filter(|group| group.model == model && self.serving.contains(&group.name))
            .count()
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Fail(slot, keeps_weights) => self.fail_vm(*slot, *keeps_weights),
            Event::Recover(slot) => self.recover_vm(*slot),
            Event::AnnounceRemoval(slot) => self.set_health(*slot, Health::Leaving),
            Event::Remove(slot) => {
                let name = self.current_vm(*slot);
                self.vms.remove(&name);
                self.loading.remove(&name);
            }
            Event::Replace(slot) => {
                let name = self.current_vm(*slot);
                if !self.vms.contains_key(&name) {
                    self.add_vm(*slot);
                }
            }
            Event::DomainFails(domain) => {
                self.failed_domains.insert(*domain);
                self.for_each_slot(*domain, |zone, slot| zone.fail_vm(slot, false));
            }
            Event::DomainRecovers(domain) => {
                self.failed_domains.remove(domain);
                self.for_each_slot(*domain, Zone::recover_vm);
            }
            Event::NewVersion(index) => {
                let version = &mut self.catalog.models[*index].version;
                *version = format_compact!("{}", self.now);
            }
            Event::ReduceReplicas(index) => {
                let wanted = self.initial_replicas[*index];
                self.catalog.models[*index].replicas = (wanted - 1).max(1);
            }
            Event::RestoreReplicas(index) => {
                self.catalog.models[*index].replicas = self.initial_replicas[*index];
            }
        }
    }

    fn for_each_slot(&mut self, domain: usize, action: impl Fn(&mut Self, Slot)) {
        for number in 0..self.shape.domains[domain] {
            action(self, Slot { domain, number });
        }
    }

    fn current_vm(&self, slot: Slot) -> CompactString {
        slot.vm_name(self.lives.get(&slot).copied().unwrap_or(0))
    }

    fn add_vm(&mut self, slot: Slot) {
        *self.lives.entry(slot).or_default() += 1;
        let is_domain_failed = self.failed_domains.contains(&slot.domain);
        let vm = Vm {
            slot,
            health: if is_domain_failed {
                Health::Missing
            } else {
                Health::Present
            },
            since: self.now,
            weights: None,
        };
        self.vms.insert(self.current_vm(slot), vm);
    }

    fn fail_vm(&mut self, slot: Slot, keeps_weights: bool) {
        let name = self.current_vm(slot);
        self.loading.remove(&name);
        if let Some(vm) = self.vms.get_mut(&name)
            && !keeps_weights
        {
            vm.weights = None;
        }
        self.set_health(slot, Health::Missing);
    }

    fn recover_vm(&mut self, slot: Slot) {
        let name = self.current_vm(slot);
        let is_missing = self
            .vms
            .get(&name)
            .is_some_and(|vm| vm.health == Health::Missing);
        if is_missing && !self.failed_domains.contains(&slot.domain) {
            self.set_health(slot, Health::Present);
        }
    }

    fn set_health(&mut self, slot: Slot, health: Health) {
        let name = self.current_vm(slot);
        if let Some(vm) = self.vms.get_mut(&name)
            && vm.health != health
        {
            vm.health = health;
            vm.since = self.now;
        }
    }

    fn fire(&mut self, timer: Timer) {
        match timer {
            Timer::Loaded(name) => self.finish_load(&name),
            Timer::Drained(group) => {
                if self.draining.remove(&group) {
                    self.drained.push(group);
                }
            }
            Timer::Recheck => {}
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

    /// Applies proposals of the policy and starts their drains until it has none, then starts
    /// loads.
    fn apply_policy(&mut self, policy: &mut dyn Policy) {
        let candidates = self.candidates();
        policy.observe(&candidates, Instant(self.now));
        self.serving = self.find_serving();
        for _ in 0..MAX_PROPOSALS {
            let start = std::time::Instant::now();
            let next = policy.propose(&self.view(&candidates));
            let elapsed = start.elapsed();
            self.measure.calls += 1;
            self.measure.policy_time += elapsed;
            self.measure.longest_call = self.measure.longest_call.max(elapsed);
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
        self.schedule_recheck();
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
            let timer = Timer::Drained(group.clone());
            self.timers.push(Reverse((self.now + DRAIN_MS, timer)));
        }
        self.draining = draining;
    }

    fn start_loads(&mut self, order: &[CompactString]) {
        let wanted = self.list_needed_loads(order);
        self.loading.retain(|name, (_, weights)| {
            wanted
                .iter()
                .any(|(vm, needed)| vm == name && needed == weights)
        });
        for (name, weights) in wanted {
            if self.loading.len() >= self.shape.parallel_loads {
                return;
            }
            if self.loading.contains_key(&name) {
                continue;
            }
            let at = self.now + LOAD_MS;
            self.loading.insert(name.clone(), (at, weights));
            self.timers.push(Reverse((at, Timer::Loaded(name))));
            self.measure.loads += 1;
        }
    }

    /// Returns the loads that active groups need, in loading order.
    fn list_needed_loads(&self, order: &[CompactString]) -> Vec<(CompactString, Weights)> {
        let mut wanted = Vec::new();
        for name in order {
            let Some(group) = self.placement.group(name) else {
                continue;
            };
            if group.state != State::Active {
                continue;
            }
            for (rank, member) in group.members.iter().enumerate() {
                let needed = required_weights(group, rank);
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
                            && vm.weights.as_ref() == Some(&required_weights(group, rank))
                    })
                })
        };
        let groups = self.placement.groups.iter().filter(serves);
        groups.map(|group| group.name.clone()).collect()
    }

    /// Schedules another call of the policy while a model lacks serving groups.
    fn schedule_recheck(&mut self) {
        let is_short = self
            .catalog
            .models
            .iter()
            .any(|model| self.count_serving(&model.name) < model.replicas as usize);
        if is_short && self.next_recheck <= self.now {
            self.next_recheck = self.now + RECHECK_INTERVAL_MS;
            self.timers
                .push(Reverse((self.next_recheck, Timer::Recheck)));
        }
    }
}

fn required_weights(group: &Group, rank: usize) -> Weights {
    Weights {
        model: group.model.clone(),
        version: group.version.clone(),
        rank,
    }
}

fn build_model(shape: &(&'static str, u32, u32, u32)) -> Model {
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
