//! Chooses targets from the snapshot for one worker.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::key::{Key as _, Server};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::route::{self, Ask, Load, Loads, Member, Pool, Straggler, Way};

use crate::snapshot::{Snapshot, Target};

/// Time for which a straggler is left out before it is judged anew.
const EJECTION: Millis = Millis::from_secs(30);

/// A chosen target.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The target.
    pub target: Target,
    /// Why it was chosen.
    pub way: Way,
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

/// Pools of one snapshot.
#[derive(Debug, Default)]
struct Pools {
    snapshot: Arc<Snapshot>,
    models: HashMap<CompactString, Pool>,
    services: HashMap<CompactString, Pool>,
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
        let ask = Ask {
            prefix: wish.prefix,
            avoid: &avoid,
        };
        let options = route::Options {
            nodes: snapshot.zone_nodes.max(1),
            ..self.options
        };
        self.refresh(snapshot);
        let mut pools = self.pools.borrow_mut();
        let pool = self.pool(&mut pools, wish, now);
        let gauges = Gauges(targets);
        let choice = if wish.alone {
            pool.quietest(ask, &gauges)
        } else {
            pool.choose(ask, &gauges, &options, &mut self.random.borrow_mut())
        }?;
        Some(Choice {
            target: targets.get(choice.server.index())?.clone(),
            way: choice.way,
        })
    }

    /// Takes the decisions that operators should hear of.
    pub fn explained(&self) -> Vec<Decision> {
        self.explained.take()
    }

    /// Forgets the pools of an older snapshot.
    fn refresh(&self, snapshot: &Arc<Snapshot>) {
        let mut pools = self.pools.borrow_mut();
        if !Arc::ptr_eq(&pools.snapshot, snapshot) {
            *pools = Pools {
                snapshot: Arc::clone(snapshot),
                ..Pools::default()
            };
        }
    }

    fn pool<'a>(&self, pools: &'a mut Pools, wish: Wish<'_>, now: Instant) -> &'a Pool {
        let known = if wish.model {
            &mut pools.models
        } else {
            &mut pools.services
        };
        if !known.contains_key(wish.name) {
            let targets = wish.targets(&pools.snapshot);
            self.eject(targets, now);
            let pool = Pool::new(&members(targets, &pools.snapshot.zone, now));
            known.insert(wish.name.into(), pool);
        }
        &known[wish.name]
    }

    fn eject(&self, targets: &[Target], now: Instant) {
        let paces: Vec<_> = targets
            .iter()
            .map(|target| target.gauge.pace(now))
            .collect();
        for straggler in route::stragglers(&paces) {
            let target = &targets[straggler.index];
            if target.gauge.eject(now, EJECTION) {
                self.explained.borrow_mut().push(explain(target, straggler));
            }
        }
    }
}

fn members(targets: &[Target], zone: &CompactString, now: Instant) -> Vec<Member> {
    targets
        .iter()
        .map(|target| Member {
            name: target.name.clone(),
            local: target.zone == *zone,
            ejected: target.gauge.is_ejected(now),
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
    .saw("own pace in microseconds", straggler.micros)
    .saw("median pace in microseconds", straggler.median)
    .weighed(
        "keep it",
        "its requests would wait for several times as long",
    )
}
