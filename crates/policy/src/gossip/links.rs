//! The few nodes that a node keeps in contact with.

use compact_str::CompactString;

use super::hash;

/// The number of links to nodes of the own zone.
pub const LINKS_PER_NODE: usize = 5;

/// Returns a node's links within its zone.
///
/// The live nodes stand on a ring in the order of their hashes, and each links to those at
/// distances that grow geometrically. Every node thus has as many incoming as outgoing links, and
/// a push along all of them reaches the whole ring in a few hops.
#[must_use]
pub fn select_links<'a>(
    own: &str,
    live: impl Iterator<Item = &'a CompactString>,
) -> Vec<&'a CompactString> {
    let mut ring: Vec<(u64, &CompactString)> = live
        .map(|name| (hash::hash_strings(&["ring", name]), name))
        .collect();
    ring.sort();
    let Some(position) = ring.iter().position(|(_, name)| *name == own) else {
        return ring
            .into_iter()
            .take(LINKS_PER_NODE)
            .map(|(_, name)| name)
            .collect();
    };
    distances(ring.len())
        .into_iter()
        .map(|distance| ring[(position + distance) % ring.len()].1)
        .collect()
}

/// Returns the distances of the links on a ring of some size.
fn distances(size: usize) -> Vec<usize> {
    if size <= LINKS_PER_NODE + 1 {
        return (1..size).collect();
    }
    let ratio = (size as f64).powf(1.0 / LINKS_PER_NODE as f64);
    let mut distances: Vec<usize> = Vec::with_capacity(LINKS_PER_NODE);
    for power in 0..LINKS_PER_NODE {
        let wanted = ratio.powi(i32::try_from(power).unwrap_or(i32::MAX)) as usize;
        let least = distances.last().map_or(1, |last| last + 1);
        distances.push(wanted.max(least).min(size - 1));
    }
    distances
}
