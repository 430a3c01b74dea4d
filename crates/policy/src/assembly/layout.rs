//! Which groups a zone should have, judged by the load that each model's servers carry.
//!
//! The pressure of a model is its share of the work against the servers in its groups. The layout
//! that makes the highest pressure lowest is the best one.

use std::collections::BTreeMap;

use compact_str::CompactString;
use jackdaw_core::config::Engine;

use super::View;

/// Servers that a model without any group counts as having; keeps its pressure finite.
const NO_SERVERS: f64 = 0.25;
/// Weight of the zone's own pressure beside that of all zones; a zone that is cut off serves with
/// what it has.
const ZONE_WEIGHT: f64 = 0.1;

/// Servers in groups by model, in all zones and in one.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Capacity {
    pub(super) fleet: Vec<usize>,
    pub(super) zone: Vec<usize>,
}

impl Capacity {
    /// Creates the capacity of no groups.
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

    /// Returns the capacity with one more local group.
    pub(super) fn with(&self, engine: &Engine, model: usize) -> Capacity {
        let mut more = self.clone();
        more.add(engine, model, true);
        more
    }

    /// Returns the capacity with one local group less.
    pub(super) fn without(&self, engine: &Engine, model: usize) -> Capacity {
        let size = engine.models[model].size;
        let mut less = self.clone();
        less.fleet[model] = less.fleet[model].saturating_sub(size);
        less.zone[model] = less.zone[model].saturating_sub(size);
        less
    }

    /// Returns the pressure of the layout.
    pub(super) fn pressure(&self, engine: &Engine) -> f64 {
        highest(engine, &self.fleet) + ZONE_WEIGHT * highest(engine, &self.zone)
    }

    /// Returns the pressure if the servers in groups could be divided exactly by the models' shares.
    pub(super) fn ideal(&self, engine: &Engine) -> f64 {
        let share: f64 = engine.models.iter().map(|model| model.share).sum();
        let even = |servers: &[usize]| {
            let total: usize = servers.iter().sum();
            share / (total as f64).max(NO_SERVERS)
        };
        even(&self.fleet) + ZONE_WEIGHT * even(&self.zone)
    }

    /// Returns the model under the highest pressure.
    pub(super) fn neediest(&self, engine: &Engine) -> Option<usize> {
        (0..engine.models.len()).max_by(|left, right| {
            let left = pressure(engine, &self.fleet, *left);
            let right = pressure(engine, &self.fleet, *right);
            left.total_cmp(&right)
        })
    }
}

fn pressure(engine: &Engine, servers: &[usize], model: usize) -> f64 {
    engine.models[model].share / (servers[model] as f64).max(NO_SERVERS)
}

fn highest(engine: &Engine, servers: &[usize]) -> f64 {
    (0..engine.models.len())
        .map(|model| pressure(engine, servers, model))
        .fold(0.0, f64::max)
}

/// Returns how many groups of each model a zone should begin with, so that over all zones the
/// servers are divided by the models' shares of the work. Every leader gets the same answer from
/// the same registrations, though none sees the others' groups yet.
pub(super) fn first_groups(view: &View<'_>, zone: &str) -> BTreeMap<CompactString, usize> {
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
    while let Some((number, place)) = next_place(engine, total, &free, &used, &placed) {
        let size = engine.models[number].size;
        used[number] += size;
        *placed.entry((place, number)).or_default() += 1;
        if let Some(free) = free.get_mut(place) {
            *free -= size;
        }
    }
    engine
        .models
        .iter()
        .enumerate()
        .map(|(number, model)| {
            let groups = placed.get(&(zone, number)).copied().unwrap_or(0);
            (model.name.clone(), groups)
        })
        .collect()
}

/// Returns the model that lacks most servers, and the zone for its next group: the one with the
/// fewest groups of the model and the most free servers.
fn next_place<'a>(
    engine: &Engine,
    total: usize,
    free: &BTreeMap<&'a str, usize>,
    used: &[usize],
    placed: &BTreeMap<(&'a str, usize), usize>,
) -> Option<(usize, &'a str)> {
    let mut best: Option<(f64, usize, &str)> = None;
    for (number, model) in engine.models.iter().enumerate() {
        let place = free
            .iter()
            .filter(|(_, free)| **free >= model.size)
            .min_by_key(|(zone, free)| {
                let groups = placed.get(&(**zone, number)).copied().unwrap_or(0);
                (groups, std::cmp::Reverse(**free))
            });
        let Some((place, _)) = place else {
            continue;
        };
        let deficit = model.share * total as f64 - used[number] as f64;
        if best.is_none_or(|(most, ..)| deficit > most) {
            best = Some((deficit, number, place));
        }
    }
    best.map(|(_, number, place)| (number, place))
}
