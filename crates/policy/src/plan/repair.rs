//! The next generation of a group in which bound spares replace missing members.
//!
//! A committed placement lists the members of each group and the spares bound to it; no VM is
//! listed for two groups. A node that cannot reach the platform may repair a group with its own
//! spares alone. The new generation number encodes the placement and the VMs that are left out.
//! Group and generation therefore identify one list of members, whichever node computes it and
//! whichever VMs that node takes to be missing.

use std::collections::BTreeSet;

use compact_str::CompactString;
use jackdaw_core::placement::{Group, Placement};
use jackdaw_core::units::Generation;

/// Number of low bits of a generation number that mark the VMs left out.
const MASK_BITS: u32 = 16;

/// Returns the generation of a group that is changed by the write following `placement`.
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

/// Returns the next generation of a group, in which bound spares take the ranks of missing members.
///
/// The result depends on the committed placement and on the missing VMs alone. Returns `None` if no
/// member is missing, if too few spares are left, if the group has at least as many spares as
/// members or if its VMs exceed the bits of the generation number.
#[must_use]
pub fn replace_missing(
    placement: &Placement,
    group: &Group,
    missing: &BTreeSet<CompactString>,
) -> Option<Group> {
    let vm_count = group.members.len() + group.spares.len();
    if vm_count > MASK_BITS as usize || group.spares.len() >= group.members.len() {
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

/// Returns a bit mask of the missing VMs: bit 0 is the first member, spares follow the members.
fn mask(group: &Group, missing: &BTreeSet<CompactString>) -> u64 {
    group
        .members
        .iter()
        .chain(&group.spares)
        .enumerate()
        .filter(|(_, vm)| missing.contains(*vm))
        .fold(0, |mask, (index, _)| mask | 1 << index)
}
