//! Plans which VMs of which fabric domain form which replica group.
//!
//! One call of [`propose`] takes the placement in force through the steps of a pass until nothing
//! changes any more: groups that ended or broke are set aside, groups that must go are drained,
//! models get the groups they lack in order of need, surplus and old versions are drained group by
//! group, and VMs left over are bound as spares. Proposing again on the result changes nothing.

mod allocation;
mod draft;
mod fill;
mod flap;
mod options;
mod retire;
mod rollout;
mod spare;

pub mod order;
pub mod repair;

use std::collections::BTreeSet;

use compact_str::CompactString;
use jackdaw_core::catalog::Catalog;
use jackdaw_core::decision::Decision;
use jackdaw_core::placement::Placement;
use jackdaw_core::time::Instant;

use draft::Draft;
pub use flap::FlapHistory;
pub use options::{Options, Weights};

/// Passes after which a plan is taken as it is.
const MAX_PASSES: usize = 16;

/// What the planner knows about a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The VM answers and stays.
    Present,
    /// The VM answers and is about to go.
    Leaving,
    /// The VM does not answer.
    Missing,
    /// The VM answers and stays, but started anew and lost the group that the placement names.
    Restarted,
}

impl Health {
    /// Returns whether the VM may join a group.
    #[must_use]
    pub fn is_usable(self) -> bool {
        match self {
            Health::Present | Health::Restarted => true,
            Health::Leaving | Health::Missing => false,
        }
    }

    /// Returns whether the group that the placement names has lost the VM.
    #[must_use]
    pub fn is_lost(self) -> bool {
        match self {
            Health::Missing | Health::Restarted => true,
            Health::Present | Health::Leaving => false,
        }
    }
}

/// A VM that the planner may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name.
    pub name: CompactString,
    /// Fabric domain.
    pub domain: CompactString,
    /// Health.
    pub health: Health,
    /// Since when the VM has had this health.
    pub since: Instant,
}

/// All that a plan depends on.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// Placement in force.
    pub placement: &'a Placement,
    /// Catalogue in force.
    pub catalog: &'a Catalog,
    /// VMs with model engines in the availability zone.
    pub vms: &'a [Candidate],
    /// Groups that are draining and have nothing in flight.
    pub drained: &'a [CompactString],
    /// Time.
    pub now: Instant,
}

/// What a plan depends on besides, each with a default.
#[derive(Clone, Copy, Debug, Default)]
pub struct Context<'a> {
    /// Weights and spans of the deployment.
    pub options: Options,
    /// VMs that flapped; without it no VM is held back.
    pub flaps: Option<&'a FlapHistory>,
    /// Groups that serve; without it every group without a missing member counts as serving.
    pub serving: Option<&'a BTreeSet<CompactString>>,
}

/// A changed placement with its reasons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The placement to commit; its fencing number and sequence are the writer's to fill in.
    pub placement: Placement,
    /// Why it differs.
    pub decisions: Vec<Decision>,
}

/// Returns a better placement, or `None` if the one in force should stay.
#[must_use]
pub fn propose(input: &Input<'_>) -> Option<Proposal> {
    propose_with(input, &Context::default())
}

/// Returns a better placement under a deployment's options, or `None` if the one in force should
/// stay.
#[must_use]
pub fn propose_with(input: &Input<'_>, context: &Context<'_>) -> Option<Proposal> {
    let mut placement = input.placement.clone();
    let mut decisions = Vec::new();
    let mut input = *input;
    for _ in 0..MAX_PASSES {
        let mut draft = Draft::new(&input, context, &placement);
        draft.retire_groups();
        draft.drain_unwanted();
        draft.fill_shortfalls();
        draft.roll_out();
        draft.restore_waiting();
        draft.bind_spares();
        let (next, reasons) = draft.finish();
        if next == placement {
            break;
        }
        placement = next;
        decisions.extend(reasons);
        // What drained before this call says nothing about groups that drain since.
        input.drained = &[];
    }
    if placement == *input.placement {
        return None;
    }
    Some(Proposal {
        placement,
        decisions,
    })
}
