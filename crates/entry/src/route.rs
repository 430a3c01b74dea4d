//! Chooses targets from the snapshot on behalf of one worker.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::key::{Key as _, Server};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::route::{self, Criterion, Load, Loads, Member, Pool, Query, Straggler};

use crate::gauge::Gauge;
use crate::snapshot::{Snapshot, Target};

/// Time for which a straggler stays ejected.
const EJECTION_TIME: Millis = Millis::from_secs(30);

/// Time between two searches for stragglers.
const STRAGGLER_CHECK_INTERVAL: Millis = Millis::from_secs(1);

/// A chosen target.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The target.
    pub target: Target,
    /// Criterion that decided.
    pub criterion: Criterion,
}

/// Properties of a request that determine its target.
#[derive(Clone, Copy, Debug)]
pub struct Selector<'a> {
    /// Name of the model or service.
    pub name: &'a str,
    /// Whether the name is a model's.
    pub is_model: bool,
    /// Hash of the prompt's prefix.
    pub prefix_hash: Option<u64>,
    /// Whether the request has to run alone.
    pub isolated: bool,
}

impl Selector<'_> {
    /// Returns the targets that may serve the request.
    #[must_use]
    pub fn targets<'a>(&self, snapshot: &'a Snapshot) -> &'a [Target] {
        snapshot.targets(self.name, self.is_model)
    }
}

/// Loads of a list of targets.
struct GaugeLoads<'a>(&'a [Target]);

impl Loads for GaugeLoads<'_> {
    fn load(&self, server: Server) -> Load {
        self.0
            .get(server.index())
            .map(|target| target.gauge.load())
            .unwrap_or_default()
    }
}

/// The pool of one model or plain service, with the inputs from which it was built.
#[derive(Debug)]
struct CachedPool {
    pool: Pool,
    gauges: Vec<Arc<Gauge>>,
    ejected: Vec<bool>,
    checked_at: Instant,
}

impl CachedPool {
    fn new(targets: &[Target], zone: &CompactString, now: Instant) -> Self {
        let ejected: Vec<bool> = list_ejected(targets, now).collect();
        CachedPool {
            pool: Pool::new(&list_members(targets, zone, &ejected)),
            gauges: targets
                .iter()
                .map(|target| Arc::clone(&target.gauge))
                .collect(),
            ejected,
            checked_at: now,
        }
    }

    /// Returns whether the pool still matches the given targets.
    ///
    /// A gauge belongs to one target and is kept from snapshot to snapshot, so comparing gauges is
    /// enough. Rebuilding the hash ring for each load report would cost more than the choice.
    fn is_current(&self, targets: &[Target], now: Instant) -> bool {
        self.gauges.len() == targets.len()
            && self
                .gauges
                .iter()
                .zip(targets)
                .all(|(gauge, target)| Arc::ptr_eq(gauge, &target.gauge))
            && list_ejected(targets, now).eq(self.ejected.iter().copied())
    }
}

/// Cached pools of the latest snapshot.
#[derive(Debug, Default)]
struct Pools {
    snapshot: Arc<Snapshot>,
    models: HashMap<CompactString, CachedPool>,
    services: HashMap<CompactString, CachedPool>,
}

impl Pools {
    /// Adopts a new snapshot and drops the pools that no longer match its targets.
    fn adopt_snapshot(&mut self, snapshot: &Arc<Snapshot>, now: Instant) {
        if Arc::ptr_eq(&self.snapshot, snapshot) {
            return;
        }
        self.snapshot = Arc::clone(snapshot);
        let is_current = |targets: Option<&Vec<Target>>, cached: &CachedPool| {
            targets.is_some_and(|targets| cached.is_current(targets, now))
        };
        self.models
            .retain(|name, cached| is_current(snapshot.models.get(name), cached));
        self.services
            .retain(|name, cached| is_current(snapshot.services.get(name), cached));
    }
}

/// Chooses targets for one worker; equal seeds give equal random choices.
#[derive(Debug)]
pub struct Router {
    pools: RefCell<Pools>,
    random: RefCell<fastrand::Rng>,
    options: route::Options,
    decisions: RefCell<Vec<Decision>>,
}

impl Router {
    /// Creates a router.
    #[must_use]
    pub fn new(options: route::Options, seed: u64) -> Self {
        Router {
            pools: RefCell::default(),
            random: RefCell::new(fastrand::Rng::with_seed(seed)),
            options,
            decisions: RefCell::default(),
        }
    }

    /// Chooses a target, avoiding those that were tried before.
    pub fn choose(
        &self,
        snapshot: &Arc<Snapshot>,
        selector: Selector<'_>,
        tried: &[CompactString],
        now: Instant,
    ) -> Option<Choice> {
        let targets = selector.targets(snapshot);
        let avoid = find_servers(targets, tried);
        let query = Query {
            prefix: selector.prefix_hash,
            avoid: &avoid,
        };
        let options = route::Options {
            nodes: snapshot.zone_nodes.max(1),
            ..self.options
        };
        let mut pools = self.pools.borrow_mut();
        pools.adopt_snapshot(snapshot, now);
        let pool = self.refresh_pool(&mut pools, selector, now);
        let loads = GaugeLoads(targets);
        let choice = if selector.isolated {
            pool.choose_least_loaded(query, &loads)
        } else {
            pool.choose(query, &loads, &options, &mut self.random.borrow_mut())
        }?;
        Some(Choice {
            target: targets.get(choice.server.index())?.clone(),
            criterion: choice.criterion,
        })
    }

    /// Removes and returns the decisions to publish to operators.
    pub fn take_decisions(&self) -> Vec<Decision> {
        self.decisions.take()
    }

    /// Returns the number of targets in use in the node's availability zone, and of all targets.
    pub fn count_targets(
        &self,
        snapshot: &Arc<Snapshot>,
        selector: Selector<'_>,
        now: Instant,
    ) -> (usize, usize) {
        let mut pools = self.pools.borrow_mut();
        pools.adopt_snapshot(snapshot, now);
        let pool = self.refresh_pool(&mut pools, selector, now);
        (pool.local_len(), selector.targets(snapshot).len())
    }

    fn refresh_pool<'a>(
        &self,
        pools: &'a mut Pools,
        selector: Selector<'_>,
        now: Instant,
    ) -> &'a Pool {
        let snapshot = Arc::clone(&pools.snapshot);
        let targets = selector.targets(&snapshot);
        let pools_by_name = if selector.is_model {
            &mut pools.models
        } else {
            &mut pools.services
        };
        if let Some(cached) = pools_by_name.get_mut(selector.name)
            && now.since(cached.checked_at) >= STRAGGLER_CHECK_INTERVAL
        {
            cached.checked_at = now;
            if self.eject_stragglers(targets, now) {
                *cached = CachedPool::new(targets, &snapshot.zone, now);
            }
        }
        if !pools_by_name.contains_key(selector.name) {
            self.eject_stragglers(targets, now);
            let cached = CachedPool::new(targets, &snapshot.zone, now);
            pools_by_name.insert(selector.name.into(), cached);
        }
        &pools_by_name[selector.name].pool
    }

    /// Ejects stragglers; returns whether there were any.
    fn eject_stragglers(&self, targets: &[Target], now: Instant) -> bool {
        let latencies: Vec<_> = targets
            .iter()
            .map(|target| target.gauge.latency(now))
            .collect();
        let stragglers = route::find_stragglers(&latencies);
        for straggler in &stragglers {
            let target = &targets[straggler.index];
            if target.gauge.eject(now, EJECTION_TIME) {
                self.decisions
                    .borrow_mut()
                    .push(explain_ejection(target, *straggler));
            }
        }
        !stragglers.is_empty()
    }
}

fn list_ejected(targets: &[Target], now: Instant) -> impl Iterator<Item = bool> {
    targets
        .iter()
        .map(move |target| target.gauge.is_ejected(now))
}

fn list_members(targets: &[Target], zone: &CompactString, ejected: &[bool]) -> Vec<Member> {
    targets
        .iter()
        .zip(ejected)
        .map(|(target, ejected)| Member {
            name: target.name.clone(),
            local: target.zone == *zone,
            ejected: *ejected,
        })
        .collect()
}

fn find_servers(targets: &[Target], names: &[CompactString]) -> Vec<Server> {
    if names.is_empty() {
        return Vec::new();
    }
    targets
        .iter()
        .enumerate()
        .filter(|(_, target)| names.contains(&target.name))
        .map(|(index, _)| Server::from_index(index))
        .collect()
}

fn explain_ejection(target: &Target, straggler: Straggler) -> Decision {
    Decision::new(
        Subject::Group(target.name.clone()),
        "it answers much more slowly than its peers",
        format!("left out for {EJECTION_TIME}"),
    )
    .with_input("own pace in microseconds", straggler.mean_micros)
    .with_input("median pace in microseconds", straggler.median_micros)
    .with_alternative(
        "keep it",
        "its requests would wait for several times as long",
    )
}
