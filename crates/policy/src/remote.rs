//! Determines which replica groups of other availability zones are whole.
//!
//! A node does not probe VMs of other zones. It relies on what their nodes publish: the placement,
//! the members' reports whenever they change, and the zone's summary, whose age bounds the age of
//! the rest. In addition, engines check the group and generation of each request themselves.

use jackdaw_core::member::Report;
use jackdaw_core::placement::{Group, Placement, State};
use jackdaw_core::units::Millis;

use crate::gossip::fact::{Fact, Key, Value};
use crate::gossip::message::Summary;
use crate::gossip::table::Table;

/// Age beyond which a zone's summary no longer counts.
pub const MAX_SUMMARY_AGE: Millis = Millis::from_secs(10);

/// Iterates over the groups of another zone that may receive requests.
pub fn whole_groups<'a>(
    placement: &'a Placement,
    facts: &'a Table,
    summary: Option<&Summary>,
    unix_ms: u64,
) -> impl Iterator<Item = &'a Group> {
    let is_recent = summary
        .is_some_and(|summary| unix_ms.saturating_sub(summary.at_unix_ms) <= MAX_SUMMARY_AGE.0);
    placement
        .groups
        .iter()
        .filter(move |group| is_recent && group.state == State::Active)
        .filter(|group| group.members.iter().all(|vm| is_member(vm, group, facts)))
}

/// Returns whether a prober must publish a VM's report, given the fact that is already published.
///
/// A published report that the VM is not ready or leaving stays until its publisher replaces it or
/// is no longer a prober, so that two probers with different results do not overwrite each other
/// endlessly.
#[must_use]
pub fn must_publish(
    report: &Report,
    held: Option<&Fact>,
    own_id: u64,
    is_prober: impl Fn(u64) -> bool,
) -> bool {
    let Some(held) = held else {
        return true;
    };
    let Value::Report(published) = &held.value else {
        return true;
    };
    let is_by_other_prober = held.version.minor != own_id;
    let is_negative = !published.ready || published.leaving;
    if is_by_other_prober
        && is_negative
        && published.boot == report.boot
        && is_prober(held.version.minor)
    {
        return false;
    }
    let is_same = published.boot == report.boot
        && published.membership == report.membership
        && published.ready == report.ready
        && published.leaving == report.leaving;
    !is_same
}

fn is_member(vm: &str, group: &Group, facts: &Table) -> bool {
    let Some(report) = facts
        .get(&Key::Report(vm.into()))
        .and_then(|fact| match &fact.value {
            Value::Report(report) => Some(report),
            _ => None,
        })
    else {
        return false;
    };
    let is_leaving = facts
        .get(&Key::Leaving(vm.into()))
        .is_some_and(|fact| fact.version.minor == report.boot);
    let is_placed = report
        .membership
        .as_ref()
        .is_some_and(|held| held.group == group.name && held.generation == group.generation);
    is_placed && report.ready && !report.leaving && !is_leaving
}
