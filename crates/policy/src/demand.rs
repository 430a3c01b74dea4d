//! Measures how much of the servers' time each model's requests ask for, on all nodes together.
//!
//! The work of a request is the time of a replica group that it takes, times the group's servers. A
//! group is counted at the largest batch at which it still meets the route's objective: at full
//! batches it would serve more, but late. Requests count when they arrive, so those that are refused
//! for lack of groups count as well.

use std::collections::HashMap;

use compact_str::CompactString;
use jackdaw_core::config::{Engine, Model, Route, Service};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use crate::balance::{self, Demand, Load};
use crate::gossip::hash::hash_strings;

/// Time constant of the exponential window. The window averages over a burst of 3 s and most of a wave
/// of 17 s, and still shows a burst of 14 s before it ends.
pub const WINDOW: Millis = Millis(8_000);
/// Age up to which another node's figures count; they are renewed several times within it.
pub const VALIDITY: Millis = Millis(4_000);
/// Largest number of models that a node measures and tells, which bounds the datagrams: one model takes
/// up to 17 bytes.
pub const MAX_MODELS: usize = 8;
/// Largest number of nodes whose figures are kept, above the 370 nodes of the largest fleet.
const MAX_NODES: usize = 1_024;
/// Number of mean requests in the window, on all nodes together, below which chance decides the shares.
const MIN_REQUESTS: f64 = 50.0;
/// Largest work of one node as a multiple of the nodes' median. Balancers spread callers unevenly over
/// nodes and the load differs by zone, but a node with more than this is taken to be wrong.
const MAX_MEDIANS: f64 = 3.0;
/// Largest factor by which a share in force differs from the configured one.
const MAX_DEVIATION: f64 = 2.0;
/// Relative difference between a measured share and the one in force up to which nothing changes.
const TOLERANCE: f64 = 0.1;
/// Time for which a difference has to last: about the time for which a burst of 3 s leaves one. With
/// 5 s, chance made such a burst count at times.
const CONFIRMATION: Millis = Millis(7_000);
/// Time after which a difference counts even while it shrinks. What a burst of 3 s leaves in the window
/// lasts up to 6.6 s, and the figures are up to 4 s old.
const LONG_CONFIRMATION: Millis = Millis(11_000);
/// Part of the largest difference seen that has to be left; less is the rest of a burst that is over.
const REMAINDER: f64 = 0.9;
/// Shortest time between two changes of the shares in force, in which the window has followed the
/// first one.
const STEP_INTERVAL: Millis = WINDOW;

/// Time for which one zone may exchange groups for measured shares, before the next one may. A zone's
/// leader waits 4 s after another's turn until the registrations show what was done in it, so 2 s are
/// left, in which one exchange begins.
pub const TURN: Millis = Millis(6_000);

/// Returns whether it is a zone's turn at a Unix time.
///
/// All leaders see the same shortage, though not at the same time, and each zone has its own. Clocks that
/// differ by less than the 4 s still let no two zones begin an exchange at once.
#[must_use]
pub fn has_turn(zones: &[CompactString], zone: &str, unix_ms: u64) -> bool {
    let turn = zones.iter().filter(|other| other.as_str() < zone).count() as u64;
    let zones = zones.len().max(1) as u64;
    unix_ms / TURN.0 % zones == turn
}

/// Identity of a service's model on all nodes.
pub type Key = u64;

/// Returns the identity of a service's model.
#[must_use]
pub fn key(service: &str, model: &str) -> Key {
    hash_strings(&[service, model])
}

/// Returns the engine of a service whose servers are divided among several models.
#[must_use]
pub fn divided_engine(service: &Service) -> Option<&Engine> {
    let engine = service.engine.as_ref()?;
    (engine.models.len() > 1).then_some(engine)
}

/// Returns the number of mean requests that a group runs at once while it meets a route's objectives,
/// at least one.
#[must_use]
pub fn batch(engine: &Engine, model: &Model, route: &Route) -> u32 {
    let is_met = |running: u32| {
        let load = load(engine, running);
        let estimate = balance::estimate(engine, model, &load, mean_demand(engine));
        let objective = route.objective.0 as f64;
        let is_in_time = if route.kind.is_stream() {
            estimate.first_event <= objective
        } else {
            estimate.last_event(engine, engine.mean_output_tokens) <= objective
        };
        let is_even = route
            .max_gap
            .is_none_or(|max_gap| estimate.event_gap <= max_gap.0 as f64);
        is_in_time && is_even
    };
    // The estimate grows with the load, so the largest batch is found by halving.
    let (mut met, mut unmet) = (1, engine.slots.max(1).saturating_add(1));
    while unmet - met > 1 {
        let middle = met + (unmet - met) / 2;
        if is_met(middle) {
            met = middle;
        } else {
            unmet = middle;
        }
    }
    met
}

fn mean_demand(engine: &Engine) -> Demand {
    Demand {
        prompt: engine.mean_prompt_tokens,
        output: engine.mean_output_tokens,
    }
}

/// Returns what a request finds at a group that runs a number of mean requests with it: they are half
/// through their outputs, and one prompt is read before its own.
fn load(engine: &Engine, running: u32) -> Load {
    let others = running.saturating_sub(1);
    let context = u64::from(engine.mean_prompt_tokens) + u64::from(engine.mean_output_tokens / 2);
    Load {
        own: others,
        pending_prefill: if others > 0 {
            engine.mean_prompt_tokens.into()
        } else {
            0
        },
        cached: u64::from(others).saturating_mul(context),
        ..Load::default()
    }
}

/// Returns the milliseconds of servers that a request takes at groups that run a number of requests.
#[must_use]
pub fn work(engine: &Engine, model: &Model, demand: Demand, batch: u32) -> f64 {
    let batch = batch.max(1);
    let load = load(engine, batch);
    let gap = balance::estimate(engine, model, &load, mean_demand(engine)).event_gap;
    // The estimate contains the model's time factor.
    let step = gap / f64::from(engine.steps_per_pass.max(1));
    let prefill = balance::prefill_ms(engine, f64::from(demand.prompt)) * model.time_factor;
    let decoding = f64::from(demand.output) * step / f64::from(batch);
    (prefill + decoding) * model.size as f64
}

/// Work of a model that arrives per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Figure {
    /// Service and model.
    pub model: Key,
    /// Milliseconds of servers per second.
    pub work: u32,
}

/// Work that has arrived at this node, by model.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// Milliseconds of servers within the window at the time of the last request.
    sums: Vec<(Key, f64)>,
    updated_at: Instant,
}

impl Meter {
    /// Adds an arriving request, unless its service has no engine with several models.
    pub fn record(
        &mut self,
        service: &Service,
        model: &str,
        route: &Route,
        demand: Demand,
        now: Instant,
    ) {
        let Some(engine) = divided_engine(service) else {
            return;
        };
        let Some(model) = engine.model(model) else {
            return;
        };
        let work = work(engine, model, demand, batch(engine, model, route));
        if !work.is_finite() || work <= 0.0 {
            return;
        }
        let decay = self.decay(now);
        self.updated_at = self.updated_at.max(now);
        for (_, sum) in &mut self.sums {
            *sum *= decay;
        }
        let key = key(&service.name, &model.name);
        if let Some((_, sum)) = self.sums.iter_mut().find(|(known, _)| *known == key) {
            *sum += work;
            return;
        }
        if self.sums.len() < MAX_MODELS {
            self.sums.push((key, work));
            return;
        }
        let least = self
            .sums
            .iter_mut()
            .min_by(|(_, left), (_, right)| left.total_cmp(right));
        if let Some(least) = least.filter(|(_, sum)| *sum < work) {
            *least = (key, work);
        }
    }

    fn decay(&self, now: Instant) -> f64 {
        (-(now.since(self.updated_at).0 as f64) / WINDOW.0 as f64).exp()
    }

    /// Returns the figures to tell other nodes; models without work are left out.
    #[must_use]
    pub fn figures(&self, now: Instant) -> Vec<Figure> {
        let decay = self.decay(now) * 1_000.0 / WINDOW.0 as f64;
        let figures = self.sums.iter().map(|(model, sum)| Figure {
            model: *model,
            // The conversion saturates.
            work: (sum * decay).round() as u32,
        });
        figures.filter(|figure| figure.work > 0).collect()
    }
}

/// What another node has measured.
#[derive(Clone, Debug)]
struct Measurement {
    incarnation: u64,
    sequence: u64,
    received_at: Instant,
    figures: Vec<Figure>,
}

/// Latest figures of the other nodes.
#[derive(Clone, Debug, Default)]
pub struct Table {
    measurements: HashMap<CompactString, Measurement>,
}

impl Table {
    /// Records a node's figures unless newer ones of the same incarnation are known.
    ///
    /// A node without requests states no figures but counts as heard from.
    pub fn record(
        &mut self,
        node: &str,
        incarnation: u64,
        sequence: u64,
        mut figures: Vec<Figure>,
        now: Instant,
    ) {
        let known = self.measurements.get(node);
        let is_outdated = known
            .is_some_and(|known| known.incarnation == incarnation && known.sequence >= sequence);
        if is_outdated {
            return;
        }
        if known.is_none() && self.measurements.len() >= MAX_NODES {
            self.forget_old(now);
            if self.measurements.len() >= MAX_NODES {
                return;
            }
        }
        figures.truncate(MAX_MODELS);
        let measurement = Measurement {
            incarnation,
            sequence,
            received_at: now,
            figures,
        };
        self.measurements.insert(node.into(), measurement);
    }

    /// Forgets the figures that do not count any more.
    pub fn forget_old(&mut self, now: Instant) {
        self.measurements
            .retain(|_, known| now.since(known.received_at) <= VALIDITY);
    }

    /// Returns the measured share of each of a service's models in the configuration's order, which sum
    /// up to one.
    ///
    /// `own` is what this node has measured, and `nodes` the number of nodes with this one. Returns
    /// `None` if fewer than half of the nodes were heard from lately, or too little work has arrived.
    #[must_use]
    pub fn shares(
        &self,
        service: &Service,
        own: &[Figure],
        nodes: usize,
        now: Instant,
    ) -> Option<Vec<f64>> {
        let engine = divided_engine(service)?;
        let recent = self
            .measurements
            .values()
            .filter(|known| now.since(known.received_at) <= VALIDITY)
            .map(|known| known.figures.as_slice());
        let all: Vec<&[Figure]> = recent.chain([own]).collect();
        if all.len() * 2 < nodes {
            return None;
        }
        let keys: Vec<Key> = engine
            .models
            .iter()
            .map(|model| key(&service.name, &model.name))
            .collect();
        let total = |figures: &[Figure]| -> f64 {
            let known = figures.iter().filter(|figure| keys.contains(&figure.model));
            known.map(|figure| f64::from(figure.work)).sum()
        };
        let limit = MAX_MEDIANS * median(all.iter().map(|figures| total(figures)))?;
        let mut sums = vec![0.0; keys.len()];
        for figures in all {
            let total = total(figures);
            let scale = if total > limit { limit / total } else { 1.0 };
            for figure in figures {
                if let Some(index) = keys.iter().position(|key| *key == figure.model) {
                    sums[index] += f64::from(figure.work) * scale;
                }
            }
        }
        let total: f64 = sums.iter().sum();
        // The datagrams state work; at full batches a mean request is the least work, so this counts
        // somewhat too many requests.
        let requests: f64 = engine
            .models
            .iter()
            .zip(&sums)
            .map(|(model, sum)| {
                let mean = work(engine, model, mean_demand(engine), engine.slots);
                sum * WINDOW.0 as f64 / 1_000.0 / mean.max(1.0)
            })
            .sum();
        if total <= 0.0 || requests < MIN_REQUESTS {
            return None;
        }
        Some(sums.into_iter().map(|sum| sum / total).collect())
    }
}

/// Returns the median of the nodes with work, if there are any.
fn median(totals: impl Iterator<Item = f64>) -> Option<f64> {
    let mut totals: Vec<f64> = totals.filter(|total| *total > 0.0).collect();
    totals.sort_by(f64::total_cmp);
    // Of an even number the lower one counts, so that one absurd node of two does not set the limit.
    let middle = totals.len().checked_sub(1)? / 2;
    totals.get(middle).copied()
}

/// A difference between the shares in force and those that should be.
#[derive(Clone, Copy, Debug)]
struct Difference {
    since: Instant,
    /// Largest relative difference since then.
    peak: f64,
}

/// Shares of a service's models that a leader uses.
#[derive(Clone, Debug, Default)]
pub struct Allocation {
    /// Shares in place of the configured ones.
    measured: Option<Vec<f64>>,
    /// Configured shares to which these belong.
    configured: Vec<f64>,
    difference: Option<Difference>,
    changed_at: Option<Instant>,
}

impl Allocation {
    /// Returns the shares in force, or `None` if the configured ones are.
    #[must_use]
    pub fn shares(&self) -> Option<&[f64]> {
        self.measured.as_deref()
    }

    /// Takes what is measured now, if anything is, and returns whether the shares in force have changed.
    ///
    /// A change of the configuration puts the configured shares in force.
    pub fn update(&mut self, engine: &Engine, measured: Option<&[f64]>, now: Instant) -> bool {
        let configured: Vec<f64> = engine.models.iter().map(|model| model.share).collect();
        if configured != self.configured {
            let was_measured = self.measured.is_some();
            *self = Allocation {
                configured,
                ..Allocation::default()
            };
            return was_measured;
        }
        let bounded = measured.and_then(|measured| bound(&configured, measured));
        let wanted = bounded.as_ref().unwrap_or(&configured);
        let current = self.measured.as_ref().unwrap_or(&configured);
        let size = difference(current, wanted);
        if size <= TOLERANCE {
            self.difference = None;
            return false;
        }
        let known = self.difference.get_or_insert(Difference {
            since: now,
            peak: size,
        });
        known.peak = known.peak.max(size);
        let age = now.since(known.since);
        let is_lasting = age >= CONFIRMATION && size >= REMAINDER * known.peak;
        let is_paused = self
            .changed_at
            .is_some_and(|at| now.since(at) < STEP_INTERVAL);
        if is_paused || !(is_lasting || age >= LONG_CONFIRMATION) {
            return false;
        }
        self.difference = None;
        self.changed_at = Some(now);
        self.measured = bounded.filter(|shares| difference(&configured, shares) > TOLERANCE);
        true
    }
}

/// Returns the largest relative difference of shares from others.
fn difference(from: &[f64], to: &[f64]) -> f64 {
    let pairs = from.iter().zip(to).filter(|(from, _)| **from > 0.0);
    pairs
        .map(|(from, to)| (to - from).abs() / from)
        .fold(0.0, f64::max)
}

/// Returns the measured shares within [`MAX_DEVIATION`] of the configured ones and with the same sum, or
/// `None` if either are no shares.
fn bound(configured: &[f64], measured: &[f64]) -> Option<Vec<f64>> {
    let is_valid = |shares: &[f64]| {
        shares
            .iter()
            .all(|share| share.is_finite() && *share >= 0.0)
            && shares.iter().sum::<f64>() > 0.0
    };
    if configured.len() != measured.len() || !is_valid(configured) || !is_valid(measured) {
        return None;
    }
    let sum: f64 = configured.iter().sum();
    let scaled = |factor: f64| -> Vec<f64> {
        let pairs = configured.iter().zip(measured);
        pairs
            .map(|(configured, measured)| {
                (factor * measured).clamp(configured / MAX_DEVIATION, configured * MAX_DEVIATION)
            })
            .collect()
    };
    // The sum grows with the factor. A factor that is found by halving keeps the proportions of all
    // shares that are not at a bound.
    let (mut low, mut high) = (0.0, 1.0);
    while scaled(high).iter().sum::<f64>() < sum && high < MAX_FACTOR {
        high *= 2.0;
    }
    for _ in 0..HALVINGS {
        let middle = (low + high) / 2.0;
        if scaled(middle).iter().sum::<f64>() < sum {
            low = middle;
        } else {
            high = middle;
        }
    }
    Some(scaled(high))
}

/// Largest factor that is tried for bounded shares; only measured shares of zero need more.
const MAX_FACTOR: f64 = 1e9;
/// Number of halvings, enough for six digits.
const HALVINGS: usize = 40;
