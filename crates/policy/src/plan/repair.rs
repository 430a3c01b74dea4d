//! The next generation of a group whose spares were bound beforehand.
//!
//! A committed placement fixes for each group a family: its members and the spares bound to it.
//! Families are disjoint. A node that cannot reach the platform may complete a group from its
//! family alone, and the generation number names the placement and the VMs that were left out, so
//! that the pair of group and generation always stands for one list of members, whoever computes
//! it and whatever that node believes to be missing.

use std::collections::BTreeSet;

use compact_str::CompactString;
use jackdaw_core::placement::{Group, Placement};
use jackdaw_core::units::Generation;

/// Bits of a generation number that name the VMs left out.
const MASK_BITS: u32 = 16;

/// Returns the generation of a group that is changed by the write after `placement`.
#[must_use]
pub fn generation_after(
    placement: &Placement,
    current: Generation,
    binds_spares: bool,
) -> Generation {
    let is_counter = current.0 < 1 << MASK_BITS;
    if is_counter && !binds_spares {
        return Generation(current.0 + 1);
    }
    Generation((placement.sequence + 1) << MASK_BITS)
}

/// Returns the next generation of a group in which bound spares take the ranks of missing members.
///
/// The result depends on the committed placement and on the missing VMs alone. Returns `None` if no
/// member is missing, if too few spares are left or if the family is too large to be named.
#[must_use]
pub fn replace_missing(
    placement: &Placement,
    group: &Group,
    missing: &BTreeSet<CompactString>,
) -> Option<Group> {
    let family = group.members.len() + group.spares.len();
    if family > MASK_BITS as usize || group.spares.len() >= group.members.len() {
        return None;
    }
    if !group.members.iter().any(|vm| missing.contains(vm)) {
        return None;
    }
    let mut spares = group.spares.iter().filter(|vm| !missing.contains(*vm));
    let mut next = group.clone();
    for member in &mut next.members {
        if missing.contains(member) {
            *member = spares.next()?.clone();
        }
    }
    next.spares = spares.cloned().collect();
    next.generation = Generation(placement.sequence << MASK_BITS | mask(group, missing));
    Some(next)
}

/// Returns one bit for each VM of the family that is left out.
fn mask(group: &Group, missing: &BTreeSet<CompactString>) -> u64 {
    group
        .members
        .iter()
        .chain(&group.spares)
        .enumerate()
        .filter(|(_, vm)| missing.contains(*vm))
        .fold(0, |mask, (index, _)| mask | 1 << index)
}
