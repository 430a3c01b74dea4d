//! Evaluates whether a replica group is whole.

use std::collections::BTreeMap;
use std::fmt;

use compact_str::CompactString;
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::placement::Group;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use super::row::Row;

/// Why a member keeps its group from being whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The placement does not list the group, or the group has no members.
    NotPlaced,
    /// The member has never reported.
    NeverReported,
    /// The member's last report is too old.
    Stale,
    /// Nothing listens at the member's address.
    Unreachable,
    /// The member is leaving.
    Leaving,
    /// The member has restarted since it joined.
    Restarted,
    /// The member reports no group.
    NoGroup,
    /// The member reports another group.
    OtherGroup,
    /// The member reports another generation of the group.
    OtherGeneration,
    /// The member reports another model or version.
    OtherModel,
    /// The member reports another rank.
    OtherRank,
    /// The member reports that it is not ready.
    NotReady,
    /// Requests to the group failed after the member's last report.
    RequestsFailed,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Cause::NotPlaced => "the placement does not list the group",
            Cause::NeverReported => "a member has not reported",
            Cause::Stale => "a member's last report is too old",
            Cause::Unreachable => "nothing listens at a member's address",
            Cause::Leaving => "a member is leaving",
            Cause::Restarted => "a member has started anew",
            Cause::NoGroup => "a member reports no group",
            Cause::OtherGroup => "a member reports another group",
            Cause::OtherGeneration => "a member reports another generation",
            Cause::OtherModel => "a member reports another model or version",
            Cause::OtherRank => "a member reports another rank",
            Cause::NotReady => "a member is not ready",
            Cause::RequestsFailed => "requests to the group failed after a member's last report",
        })
    }
}

/// First reason why a group is not whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Name of the member, or empty if no single member is the cause.
    pub vm: CompactString,
    /// Cause.
    pub cause: Cause,
}

impl Fault {
    pub(super) fn new(vm: &str, cause: Cause) -> Self {
        Fault {
            vm: vm.into(),
            cause,
        }
    }
}

/// Data that the evaluation of a group depends on besides the group itself.
pub(super) struct Evaluator<'a> {
    pub(super) rows: &'a BTreeMap<CompactString, Row>,
    pub(super) boots: &'a BTreeMap<CompactString, u64>,
    pub(super) failed_at: Option<Instant>,
    pub(super) max_report_age: Millis,
    pub(super) now: Instant,
}

/// Returns the first fault of a group, or `None` if the group is whole.
pub(super) fn evaluate_group(group: &Group, evaluator: &Evaluator<'_>) -> Option<Fault> {
    if group.members.is_empty() {
        return Some(Fault::new("", Cause::NotPlaced));
    }
    group.members.iter().enumerate().find_map(|(rank, vm)| {
        let cause = evaluator.cause(group, rank, vm)?;
        Some(Fault::new(vm, cause))
    })
}

impl Evaluator<'_> {
    pub(super) fn cause(&self, group: &Group, rank: usize, vm: &str) -> Option<Cause> {
        let Some(row) = self.rows.get(vm) else {
            return Some(Cause::NeverReported);
        };
        let Some(observation) = &row.observation else {
            return Some(Cause::NeverReported);
        };
        if row.is_leaving() {
            return Some(Cause::Leaving);
        }
        if row.unreachable_at.is_some_and(|at| at > observation.sent) {
            return Some(Cause::Unreachable);
        }
        if self.now.since(observation.sent) > self.max_report_age {
            return Some(Cause::Stale);
        }
        if self.failed_at.is_some_and(|at| at >= observation.sent) {
            return Some(Cause::RequestsFailed);
        }
        let boot_at_join = self.boots.get(vm);
        if boot_at_join.is_some_and(|boot| *boot != observation.report.boot) {
            return Some(Cause::Restarted);
        }
        let Some(membership) = &observation.report.membership else {
            return Some(Cause::NoGroup);
        };
        if membership.group != group.name {
            return Some(Cause::OtherGroup);
        }
        if membership.generation != group.generation {
            return Some(Cause::OtherGeneration);
        }
        if membership.model != group.model || membership.version != group.version {
            return Some(Cause::OtherModel);
        }
        if membership.rank as usize != rank {
            return Some(Cause::OtherRank);
        }
        (!observation.report.ready).then_some(Cause::NotReady)
    }
}

/// Returns the decision for a group that became whole or no longer is; a change of the cause alone
/// yields none.
pub(super) fn explain(group: &Group, was_whole: bool, fault: Option<&Fault>) -> Option<Decision> {
    let subject = Subject::Group(group.name.clone());
    let Some(fault) = fault else {
        let decision = Decision::new(
            subject,
            "every member reports the group, its generation and that it is ready",
            "group is whole",
        );
        return Some(
            decision
                .with_input("generation", group.generation)
                .with_input("members", group.members.join(", ")),
        );
    };
    if !was_whole {
        return None;
    }
    let decision = Decision::new(subject, fault.cause, "group is not whole and gets no work")
        .with_input("generation", group.generation)
        .with_alternative(
            "keep the group until the member is back",
            "no replica group serves while a member is missing",
        );
    if fault.vm.is_empty() {
        return Some(decision);
    }
    Some(decision.with_subject(Subject::Vm(fault.vm.clone())))
}
