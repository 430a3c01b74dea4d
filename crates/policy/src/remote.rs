//! Judges which replica groups of other availability zones are whole.
//!
//! A node does not probe VMs of other zones. It goes by what their own nodes tell: the placement,
//! the members' reports whenever they change, and the zone's summary, whose age bounds the age of
//! all the rest. The engine's own check of group and generation stands behind this judgement.

use jackdaw_core::member::Report;
use jackdaw_core::placement::{Group, Placement, State};
use jackdaw_core::units::Millis;

use crate::gossip::fact::{Fact, Key, Value};
use crate::gossip::message::Summary;
use crate::gossip::table::Table;

/// Age at which a zone's word no longer counts.
pub const MAX_SUMMARY_AGE: Millis = Millis::from_secs(10);

/// Iterates over the groups of another zone that may get requests.
pub fn whole_groups<'a>(
    placement: &'a Placement,
    facts: &'a Table,
    summary: Option<&Summary>,
    unix_ms: u64,
) -> impl Iterator<Item = &'a Group> {
    let is_heard = summary
        .is_some_and(|summary| unix_ms.saturating_sub(summary.at_unix_ms) <= MAX_SUMMARY_AGE.0);
    placement
        .groups
        .iter()
        .filter(move |group| is_heard && group.state == State::Active)
        .filter(|group| group.members.iter().all(|vm| is_member(vm, group, facts)))
}

/// Returns what a node that probes a VM has to tell, given what is told already.
///
/// A word against the VM stands until its teller lifts it or is no prober any more, so that two
/// probers who see differently do not contradict each other for ever.
#[must_use]
pub fn must_publish(
    seen: &Report,
    held: Option<&Fact>,
    own: u64,
    is_prober: impl Fn(u64) -> bool,
) -> bool {
    let Some(held) = held else {
        return true;
    };
    let Value::Report(told) = &held.value else {
        return true;
    };
    let is_other = held.version.minor != own;
    let is_warning = !told.ready || told.leaving;
    if is_other && is_warning && told.boot == seen.boot && is_prober(held.version.minor) {
        return false;
    }
    let is_same = told.boot == seen.boot
        && told.membership == seen.membership
        && told.ready == seen.ready
        && told.leaving == seen.leaving;
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
