//! Rendezvous hashing: who does what, without a word between the nodes.

use compact_str::CompactString;

use super::hash;

/// The number of nodes that probe one VM.
pub const PROBERS_PER_VM: usize = 2;

/// The number of nodes of a zone that keep links to other zones.
pub const BRIDGES_PER_ZONE: usize = 2;

/// The number of nodes of a zone that wait on the key-value service's watch.
pub const WATCHERS_PER_ZONE: usize = 1;

/// Returns the nodes with the highest hashes for a task, the highest first.
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
