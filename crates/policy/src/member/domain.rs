//! Finds fabric domains of which no VM answers.

use std::collections::BTreeMap;

use compact_str::CompactString;
use jackdaw_core::decision::{Decision, Subject};

use super::row::Row;
use crate::plan::Health;

/// Number of VMs that a fabric domain must have at least to be called dark.
const DARK_DOMAIN_MIN_VMS: usize = 2;

/// Returns the fabric domains of which every VM had answered and is now missing.
pub(super) fn dark(rows: &BTreeMap<CompactString, Row>) -> Vec<CompactString> {
    let mut domains: BTreeMap<&CompactString, (usize, usize)> = BTreeMap::new();
    for row in rows.values().filter(|row| row.seen.is_some()) {
        let Some(vm) = row.vm.as_ref().filter(|vm| vm.service.is_none()) else {
            continue;
        };
        let (all, missing) = domains.entry(&vm.domain).or_default();
        *all += 1;
        *missing += usize::from(row.health == Health::Missing);
    }
    domains
        .into_iter()
        .filter(|(_, (all, missing))| all == missing && *all >= DARK_DOMAIN_MIN_VMS)
        .map(|(domain, _)| domain.clone())
        .collect()
}

/// Explains each domain that was not dark before.
pub(super) fn explain<'a>(
    zone: &'a CompactString,
    before: &'a [CompactString],
    dark: &'a [CompactString],
) -> impl Iterator<Item = Decision> + 'a {
    dark.iter()
        .filter(|domain| !before.contains(domain))
        .map(|domain| {
            Decision::new(
                Subject::Zone(zone.clone()),
                "all VMs of a fabric domain are missing",
                "the domain counts as dark",
            )
            .with_input("fabric domain", domain)
        })
}
