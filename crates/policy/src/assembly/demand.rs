//! How many groups of which model each availability zone should have.

use std::collections::{BTreeMap, HashMap, HashSet};

use compact_str::CompactString;
use jackdaw_core::config::Engine;

use super::View;
use crate::fleet::{Group, model_of};

/// Groups by model.
pub(super) type Counts = HashMap<CompactString, usize>;

/// Counts the groups that are whole or being formed.
pub(super) fn count<'a>(
    groups: &'a [Group],
    forming: impl Iterator<Item = &'a str>,
    engine: &Engine,
) -> Counts {
    let whole = groups.iter().filter(|group| group.is_whole());
    let names: HashSet<&str> = whole
        .map(|group| group.name.as_str())
        .chain(forming)
        .collect();
    let mut counts = Counts::new();
    for model in names.iter().filter_map(|name| model_of(name)) {
        if engine.model(model).is_some() {
            *counts.entry(model.into()).or_default() += 1;
        }
    }
    counts
}

/// Returns how many groups of each model a zone should have, so that over all zones the servers are
/// divided by the models' shares of the work. Every leader gets the same answer from the same
/// registrations.
#[must_use]
pub fn targets(view: &View<'_>, zone: &str) -> HashMap<CompactString, usize> {
    let engine = view.engine;
    let mut free: BTreeMap<&str, usize> = BTreeMap::new();
    for server in view.fleet.servers() {
        if server.service == view.service && !server.draining {
            *free.entry(&server.zone).or_default() += 1;
        }
    }
    let total: usize = free.values().sum();
    let mut used = vec![0_usize; engine.models.len()];
    let mut placed: HashMap<(&str, usize), usize> = HashMap::new();
    loop {
        let mut best: Option<(f64, usize, &str)> = None;
        for (number, model) in engine.models.iter().enumerate() {
            // The zone with the fewest groups of the model and the most free servers takes the next.
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
        let Some((_, number, place)) = best else {
            break;
        };
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
            let groups = placed
                .iter()
                .filter(|((place, one), _)| *place == zone && *one == number)
                .map(|(_, groups)| *groups)
                .sum();
            (model.name.clone(), groups)
        })
        .collect()
}

/// Returns the numbers of the models, the one that lacks most servers first.
pub(super) fn by_deficit(engine: &Engine, counts: &Counts, wanted: &Counts) -> Vec<usize> {
    let deficit = |number: &usize| {
        let model = &engine.models[*number];
        let has = counts.get(&model.name).copied().unwrap_or(0);
        let wants = wanted.get(&model.name).copied().unwrap_or(0);
        // A model without any group goes first, whatever the others lack.
        let lacks = wants as i64 - has as i64;
        (has == 0 && wants > 0, lacks * model.size as i64)
    };
    let mut order: Vec<usize> = (0..engine.models.len()).collect();
    order.sort_by_key(|number| std::cmp::Reverse(deficit(number)));
    order
}
