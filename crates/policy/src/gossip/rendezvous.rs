//! Rendezvous hashing: selects the nodes that perform a task without coordination between them.

use compact_str::CompactString;

use super::hash;

/// Number of nodes that probe each VM.
pub const PROBERS_PER_VM: usize = 2;

/// Number of nodes per zone that keep links to other zones.
pub const BRIDGES_PER_ZONE: usize = 2;

/// Number of nodes per zone that watch the key-value service.
pub const WATCHERS_PER_ZONE: usize = 1;

/// Returns the `count` nodes with the highest hashes for a task, in descending order.
#[must_use]
pub fn select_nodes<'a>(
    task: &[&str],
    nodes: impl Iterator<Item = &'a CompactString>,
    count: usize,
) -> Vec<&'a CompactString> {
    let mut ranked: Vec<(u64, &CompactString)> = nodes
        .map(|name| {
            let mut parts = task.to_vec();
            parts.push(name);
            (hash::hash_strings(&parts), name)
        })
        .collect();
    ranked.sort_by(|left, right| right.cmp(left));
    ranked
        .into_iter()
        .take(count)
        .map(|(_, name)| name)
        .collect()
}
