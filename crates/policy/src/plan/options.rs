//! Weights and time limits of the planner.

use jackdaw_core::units::Millis;
use serde::{Deserialize, Serialize};

/// Weights of the two measures in the cost of an allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weights {
    /// Weight of one group that the release note wants and that does not serve.
    pub downtime: u32,
    /// Weight of one VM that belongs to no serving group.
    pub stranded: u32,
}

impl Weights {
    /// Counts group downtime alone.
    pub const DOWNTIME: Weights = Weights {
        downtime: 4,
        stranded: 0,
    };

    /// Counts group downtime and stranded VMs.
    pub const DOWNTIME_AND_STRANDED: Weights = Weights {
        downtime: 4,
        stranded: 1,
    };
}

/// Options of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Options {
    /// Weights of the two measures.
    pub weights: Weights,
    /// Time for which a member may be missing before it is replaced.
    pub patience: Millis,
    /// Time for which a member must be missing before groups of lower priority are drained for its
    /// model.
    pub preempt_after: Millis,
    /// Time for which a member must be missing before a model of lower priority may take the VMs
    /// that remain of its group.
    pub salvage_after: Millis,
    /// Number of spares bound in advance to each group; a group always has fewer spares than
    /// members.
    pub spares_per_group: u32,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            weights: Weights::DOWNTIME,
            patience: Millis(0),
            preempt_after: Millis::from_secs(300),
            salvage_after: Millis::from_secs(600),
            spares_per_group: 0,
        }
    }
}

impl Options {
    /// Returns options that count group downtime alone.
    #[must_use]
    pub fn for_downtime() -> Self {
        Options::default()
    }

    /// Returns options that count group downtime and stranded VMs; VMs that remain of a broken
    /// group may be taken at once.
    #[must_use]
    pub fn for_downtime_and_stranded() -> Self {
        Options {
            weights: Weights::DOWNTIME_AND_STRANDED,
            salvage_after: Millis(0),
            ..Options::default()
        }
    }
}
