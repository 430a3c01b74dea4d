//! Plans which VMs form which replica group; the VMs of a group are in one fabric domain.
//!
//! [`propose`] applies passes to the placement in force until a pass changes nothing. A pass takes
//! out groups that ended or lost members, starts to drain groups that must end, gives models the
//! groups they lack in order of need, drains surplus and outdated groups, restores groups that wait
//! for a member and binds free VMs as spares. Proposing again on the result changes nothing.

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

/// Largest number of passes; a plan that still changes is returned as it is.
const MAX_PASSES: usize = 16;

/// Health of a VM as the planner sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The VM answers and stays.
    Present,
    /// The VM answers and is going to leave.
    Leaving,
    /// The VM does not answer.
    Missing,
    /// The VM answers and stays, but has restarted and lost the group that the placement gives it.
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

    /// Returns whether the group that the placement gives the VM has lost it.
    #[must_use]
    pub fn is_lost(self) -> bool {
        match self {
            Health::Missing | Health::Restarted => true,
            Health::Present | Health::Leaving => false,
        }
    }
}

/// A listed VM with its health.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the VM.
    pub name: CompactString,
    /// Fabric domain.
    pub domain: CompactString,
    /// Current health.
    pub health: Health,
    /// Time since which the VM has had this health.
    pub since: Instant,
}

/// Current state that a plan is made from.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// Placement in force.
    pub placement: &'a Placement,
    /// Catalogue in force.
    pub catalog: &'a Catalog,
    /// VMs with model engines in the availability zone.
    pub vms: &'a [Candidate],
    /// Names of draining groups that have nothing in flight.
    pub drained: &'a [CompactString],
    /// Current time.
    pub now: Instant,
}

/// Optional parameters of a plan.
#[derive(Clone, Copy, Debug, Default)]
pub struct Context<'a> {
    /// Weights and time limits of the deployment.
    pub options: Options,
    /// History of flapping VMs; without it no VM is held back.
    pub flaps: Option<&'a FlapHistory>,
    /// Names of the groups that serve; without it every active group without a missing member
    /// counts as serving.
    pub serving: Option<&'a BTreeSet<CompactString>>,
}

/// A changed placement with the reasons for the changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Placement to commit; the writer sets its fencing number and sequence.
    pub placement: Placement,
    /// Reasons for the changes.
    pub decisions: Vec<Decision>,
}

/// Returns a better placement under the default options, or `None` if the one in force should stay.
#[must_use]
pub fn propose(input: &Input<'_>) -> Option<Proposal> {
    propose_with(input, &Context::default())
}

/// Returns a better placement in the given context, or `None` if the one in force should stay.
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
        // The list of drained groups predates the groups that this call has started to drain.
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
