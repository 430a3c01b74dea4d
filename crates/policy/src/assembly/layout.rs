//! Rates layouts, the numbers of groups of each model, by the load on each model's servers.
//!
//! The pressure of a model is its share of the work divided by the number of servers in its groups.
//! The best layout is the one with the lowest maximum of the pressures.

use std::collections::BTreeMap;

use compact_str::CompactString;
use jackdaw_core::config::Engine;

use super::View;

/// Number of servers assumed for a model without a group, which keeps its pressure finite.
const MIN_SERVERS: f64 = 0.25;
/// Weight of the zone's own pressure beside that of all zones, since a zone that is cut off serves
/// with its own groups only.
const ZONE_WEIGHT: f64 = 0.1;

/// Returns an engine with other shares of its models, which rate the layouts in place of the configured
/// ones; shares that do not fit the models change nothing.
pub(super) fn with_shares(engine: &Engine, shares: &[f64]) -> Engine {
    let mut engine = engine.clone();
    if shares.len() == engine.models.len() {
        for (model, share) in engine.models.iter_mut().zip(shares) {
            model.share = *share;
        }
    }
    engine
}

/// Number of servers in groups by index of the model, in all zones and in the planner's zone.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Capacity {
    pub(super) fleet: Vec<usize>,
    pub(super) zone: Vec<usize>,
}

impl Capacity {
    /// Creates a capacity without groups.
    pub(super) fn new(engine: &Engine) -> Self {
        Capacity {
            fleet: vec![0; engine.models.len()],
            zone: vec![0; engine.models.len()],
        }
    }

    /// Adds a group of a model.
    pub(super) fn add(&mut self, engine: &Engine, model: usize, is_local: bool) {
        let size = engine.models[model].size;
        self.fleet[model] += size;
        if is_local {
            self.zone[model] += size;
        }
    }

    /// Returns the capacity with one more local group of a model.
    pub(super) fn with(&self, engine: &Engine, model: usize) -> Capacity {
        let mut increased = self.clone();
        increased.add(engine, model, true);
        increased
    }

    /// Returns the capacity with one local group of a model less.
    pub(super) fn without(&self, engine: &Engine, model: usize) -> Capacity {
        let size = engine.models[model].size;
        let mut decreased = self.clone();
        decreased.fleet[model] = decreased.fleet[model].saturating_sub(size);
        decreased.zone[model] = decreased.zone[model].saturating_sub(size);
        decreased
    }

    /// Returns the weighted sum of the highest pressures in all zones and in the own zone.
    pub(super) fn pressure(&self, engine: &Engine) -> f64 {
        highest_pressure(engine, &self.fleet) + ZONE_WEIGHT * highest_pressure(engine, &self.zone)
    }

    /// Returns the pressure if the servers in groups were divided exactly by the models' shares.
    pub(super) fn ideal(&self, engine: &Engine) -> f64 {
        let share: f64 = engine.models.iter().map(|model| model.share).sum();
        let balanced = |servers: &[usize]| {
            let total: usize = servers.iter().sum();
            share / (total as f64).max(MIN_SERVERS)
        };
        balanced(&self.fleet) + ZONE_WEIGHT * balanced(&self.zone)
    }

    /// Returns the index of the model with the highest pressure in all zones.
    pub(super) fn most_pressed(&self, engine: &Engine) -> Option<usize> {
        (0..engine.models.len()).max_by(|left, right| {
            let left = pressure(engine, &self.fleet, *left);
            let right = pressure(engine, &self.fleet, *right);
            left.total_cmp(&right)
        })
    }
}

fn pressure(engine: &Engine, servers: &[usize], model: usize) -> f64 {
    engine.models[model].share / (servers[model] as f64).max(MIN_SERVERS)
}

fn highest_pressure(engine: &Engine, servers: &[usize]) -> f64 {
    (0..engine.models.len())
        .map(|model| pressure(engine, servers, model))
        .fold(0.0, f64::max)
}

/// Returns how many groups of each model a zone should start with, so that the servers of all zones
/// are divided by the models' shares of the work.
///
/// All leaders compute the same result from the same registrations, although none sees the groups of
/// the others yet.
pub(super) fn initial_groups(view: &View<'_>, zone: &str) -> BTreeMap<CompactString, usize> {
    let engine = view.engine;
    let mut free: BTreeMap<&str, usize> = BTreeMap::new();
    for server in view.fleet.servers() {
        if server.service == view.service && !server.draining {
            *free.entry(&server.zone).or_default() += 1;
        }
    }
    let total: usize = free.values().sum();
    let mut used = vec![0_usize; engine.models.len()];
    let mut placed: BTreeMap<(&str, usize), usize> = BTreeMap::new();
    while let Some((index, group_zone)) = next_group(engine, total, &free, &used, &placed) {
        let size = engine.models[index].size;
        used[index] += size;
        *placed.entry((group_zone, index)).or_default() += 1;
        if let Some(free) = free.get_mut(group_zone) {
            *free -= size;
        }
    }
    engine
        .models
        .iter()
        .enumerate()
        .map(|(index, model)| {
            let groups = placed.get(&(zone, index)).copied().unwrap_or(0);
            (model.name.clone(), groups)
        })
        .collect()
}

/// Returns the index of the model that lacks most servers, and the zone of its next group: the one
/// with the fewest groups of the model and, among those, the most free servers.
fn next_group<'a>(
    engine: &Engine,
    total: usize,
    free: &BTreeMap<&'a str, usize>,
    used: &[usize],
    placed: &BTreeMap<(&'a str, usize), usize>,
) -> Option<(usize, &'a str)> {
    let mut best: Option<(f64, usize, &str)> = None;
    for (index, model) in engine.models.iter().enumerate() {
        let group_zone = free
            .iter()
            .filter(|(_, free)| **free >= model.size)
            .min_by_key(|(zone, free)| {
                let groups = placed.get(&(**zone, index)).copied().unwrap_or(0);
                (groups, std::cmp::Reverse(**free))
            });
        let Some((group_zone, _)) = group_zone else {
            continue;
        };
        let shortage = model.share * total as f64 - used[index] as f64;
        if best.is_none_or(|(largest, ..)| shortage > largest) {
            best = Some((shortage, index, group_zone));
        }
    }
    best.map(|(_, index, group_zone)| (index, group_zone))
}
