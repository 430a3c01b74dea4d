//! Finds fabric domains in which no VM answers.

use std::collections::BTreeMap;

use compact_str::CompactString;
use jackdaw_core::decision::{Decision, Subject};

use super::row::Row;
use crate::plan::Health;

/// Minimum number of VMs for a fabric domain to be reported as missing.
const MISSING_DOMAIN_MIN_VMS: usize = 2;

/// Returns the fabric domains in which every VM has answered before and is now missing.
pub(super) fn find_missing(rows: &BTreeMap<CompactString, Row>) -> Vec<CompactString> {
    let mut domains: BTreeMap<&CompactString, (usize, usize)> = BTreeMap::new();
    for row in rows.values().filter(|row| row.observation.is_some()) {
        let Some(vm) = row.vm.as_ref().filter(|vm| vm.service.is_none()) else {
            continue;
        };
        let (all, missing) = domains.entry(&vm.domain).or_default();
        *all += 1;
        *missing += usize::from(row.health == Health::Missing);
    }
    domains
        .into_iter()
        .filter(|(_, (all, missing))| all == missing && *all >= MISSING_DOMAIN_MIN_VMS)
        .map(|(domain, _)| domain.clone())
        .collect()
}

/// Returns a decision for each missing domain that was not missing before.
pub(super) fn explain<'a>(
    zone: &'a CompactString,
    before: &'a [CompactString],
    missing: &'a [CompactString],
) -> impl Iterator<Item = Decision> + 'a {
    missing
        .iter()
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
