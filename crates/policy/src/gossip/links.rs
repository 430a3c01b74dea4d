//! Selection of the few nodes that a node exchanges messages with.

use compact_str::CompactString;

use super::hash;

/// Number of links from a node to other nodes of its zone.
pub const LINKS_PER_NODE: usize = 5;

/// Returns the nodes of its zone that a node links to.
///
/// The live nodes form a ring in the order of their hashes, and each links to the nodes at
/// geometrically growing distances. Every node thus has as many incoming as outgoing links, and a
/// push along all of them reaches the whole ring in a few hops.
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
    link_distances(ring.len())
        .into_iter()
        .map(|distance| ring[(position + distance) % ring.len()].1)
        .collect()
}

/// Returns the distances of a node's links on a ring of the given size.
fn link_distances(size: usize) -> Vec<usize> {
    if size <= LINKS_PER_NODE + 1 {
        return (1..size).collect();
    }
    let ratio = (size as f64).powf(1.0 / LINKS_PER_NODE as f64);
    let mut distances: Vec<usize> = Vec::with_capacity(LINKS_PER_NODE);
    for power in 0..LINKS_PER_NODE {
        let geometric = ratio.powi(i32::try_from(power).unwrap_or(i32::MAX)) as usize;
        let minimum = distances.last().map_or(1, |last| last + 1);
        distances.push(geometric.max(minimum).min(size - 1));
    }
    distances
}
