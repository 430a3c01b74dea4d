//! Chooses targets from the snapshot for one worker.

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

/// Time for which a straggler is left out before it is judged anew.
const EJECTION: Millis = Millis::from_secs(30);

/// Time between two judgements of stragglers.
const JUDGEMENT_PERIOD: Millis = Millis::from_secs(1);

/// A chosen target.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The target.
    pub target: Target,
    /// Why it was chosen.
    pub way: Criterion,
}

/// What a request asks of the router.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// Name of the model or service.
    pub name: &'a str,
    /// Whether the name is a model's.
    pub model: bool,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Whether the request must run alone.
    pub alone: bool,
}

impl Wish<'_> {
    /// Gets the targets that may serve the request.
    #[must_use]
    pub fn targets<'a>(&self, snapshot: &'a Snapshot) -> &'a [Target] {
        let targets = if self.model {
            snapshot.models.get(self.name)
        } else {
            snapshot.services.get(self.name)
        };
        targets.map_or(&[], Vec::as_slice)
    }
}

/// Loads of a list of targets.
struct Gauges<'a>(&'a [Target]);

impl Loads for Gauges<'_> {
    fn load(&self, server: Server) -> Load {
        self.0
            .get(server.index())
            .map(|target| target.gauge.load())
            .unwrap_or_default()
    }
}

/// The pool of one model or plain service, with what it was made from.
#[derive(Debug)]
struct Prepared {
    pool: Pool,
    gauges: Vec<Arc<Gauge>>,
    ejected: Vec<bool>,
    judged: Instant,
}

impl Prepared {
    fn new(targets: &[Target], zone: &CompactString, now: Instant) -> Self {
        let ejected: Vec<bool> = ejected(targets, now).collect();
        Prepared {
            pool: Pool::new(&members(targets, zone, &ejected)),
            gauges: targets.iter().map(|it| Arc::clone(&it.gauge)).collect(),
            ejected,
            judged: now,
        }
    }

    /// Returns whether the pool still stands for some targets.
    ///
    /// A gauge belongs to one target and is kept from snapshot to snapshot, so that comparing
    /// gauges is enough. A new ring for each report of a load would cost more than the choice.
    fn is_current(&self, targets: &[Target], now: Instant) -> bool {
        self.gauges.len() == targets.len()
            && self
                .gauges
                .iter()
                .zip(targets)
                .all(|(gauge, target)| Arc::ptr_eq(gauge, &target.gauge))
            && ejected(targets, now).eq(self.ejected.iter().copied())
    }
}

/// The pools of the snapshot that was seen last.
#[derive(Debug, Default)]
struct Pools {
    snapshot: Arc<Snapshot>,
    models: HashMap<CompactString, Prepared>,
    services: HashMap<CompactString, Prepared>,
}

impl Pools {
    /// Drops the pools that no longer stand for the targets of a new snapshot.
    fn follow(&mut self, snapshot: &Arc<Snapshot>, now: Instant) {
        if Arc::ptr_eq(&self.snapshot, snapshot) {
            return;
        }
        self.snapshot = Arc::clone(snapshot);
        let current = |targets: Option<&Vec<Target>>, prepared: &Prepared| {
            targets.is_some_and(|targets| prepared.is_current(targets, now))
        };
        self.models
            .retain(|name, prepared| current(snapshot.models.get(name), prepared));
        self.services
            .retain(|name, prepared| current(snapshot.services.get(name), prepared));
    }
}

/// Chooses targets for one worker; a seed makes its draws repeatable.
#[derive(Debug)]
pub struct Router {
    pools: RefCell<Pools>,
    random: RefCell<fastrand::Rng>,
    options: route::Options,
    explained: RefCell<Vec<Decision>>,
}

impl Router {
    /// Creates a router.
    #[must_use]
    pub fn new(options: route::Options, seed: u64) -> Self {
        Router {
            pools: RefCell::default(),
            random: RefCell::new(fastrand::Rng::with_seed(seed)),
            options,
            explained: RefCell::default(),
        }
    }

    /// Chooses a target that is not among those tried before.
    pub fn choose(
        &self,
        snapshot: &Arc<Snapshot>,
        wish: Wish<'_>,
        tried: &[CompactString],
        now: Instant,
    ) -> Option<Choice> {
        let targets = wish.targets(snapshot);
        let avoid = positions(targets, tried);
        let ask = Query {
            prefix: wish.prefix,
            avoid: &avoid,
        };
        let options = route::Options {
            nodes: snapshot.zone_nodes.max(1),
            ..self.options
        };
        let mut pools = self.pools.borrow_mut();
        pools.follow(snapshot, now);
        let pool = self.pool(&mut pools, wish, now);
        let gauges = Gauges(targets);
        let choice = if wish.alone {
            pool.choose_least_loaded(ask, &gauges)
        } else {
            pool.choose(ask, &gauges, &options, &mut self.random.borrow_mut())
        }?;
        Some(Choice {
            target: targets.get(choice.server.index())?.clone(),
            way: choice.criterion,
        })
    }

    /// Takes the decisions that operators should hear of.
    pub fn explained(&self) -> Vec<Decision> {
        self.explained.take()
    }

    /// Returns the number of targets that are in use in the own availability zone, and of all.
    pub fn count(&self, snapshot: &Arc<Snapshot>, wish: Wish<'_>, now: Instant) -> (usize, usize) {
        let mut pools = self.pools.borrow_mut();
        pools.follow(snapshot, now);
        let pool = self.pool(&mut pools, wish, now);
        (pool.local_len(), wish.targets(snapshot).len())
    }

    fn pool<'a>(&self, pools: &'a mut Pools, wish: Wish<'_>, now: Instant) -> &'a Pool {
        let snapshot = Arc::clone(&pools.snapshot);
        let targets = wish.targets(&snapshot);
        let known = if wish.model {
            &mut pools.models
        } else {
            &mut pools.services
        };
        if let Some(prepared) = known.get_mut(wish.name)
            && now.since(prepared.judged) >= JUDGEMENT_PERIOD
        {
            prepared.judged = now;
            if self.eject(targets, now) {
                *prepared = Prepared::new(targets, &snapshot.zone, now);
            }
        }
        if !known.contains_key(wish.name) {
            self.eject(targets, now);
            let prepared = Prepared::new(targets, &snapshot.zone, now);
            known.insert(wish.name.into(), prepared);
        }
        &known[wish.name].pool
    }

    /// Leaves stragglers out; returns whether there were any.
    fn eject(&self, targets: &[Target], now: Instant) -> bool {
        let paces: Vec<_> = targets
            .iter()
            .map(|target| target.gauge.pace(now))
            .collect();
        let stragglers = route::find_stragglers(&paces);
        for straggler in &stragglers {
            let target = &targets[straggler.index];
            if target.gauge.eject(now, EJECTION) {
                self.explained
                    .borrow_mut()
                    .push(explain(target, *straggler));
            }
        }
        !stragglers.is_empty()
    }
}

fn ejected(targets: &[Target], now: Instant) -> impl Iterator<Item = bool> {
    targets.iter().map(move |it| it.gauge.is_ejected(now))
}

fn members(targets: &[Target], zone: &CompactString, ejected: &[bool]) -> Vec<Member> {
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

fn positions(targets: &[Target], names: &[CompactString]) -> Vec<Server> {
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

fn explain(target: &Target, straggler: Straggler) -> Decision {
    Decision::new(
        Subject::Group(target.name.clone()),
        "it answers much more slowly than its peers",
        format!("left out for {EJECTION}"),
    )
    .with_input("own pace in microseconds", straggler.mean_micros)
    .with_input("median pace in microseconds", straggler.median_micros)
    .with_alternative(
        "keep it",
        "its requests would wait for several times as long",
    )
}
