//! Weights and spans that a deployment sets for its planner.

use jackdaw_core::units::Millis;
use serde::{Deserialize, Serialize};

/// How much the two measures weigh against each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weights {
    /// Weight of one group that does not serve although the release note wants it.
    pub downtime: u32,
    /// Weight of one VM that holds no serving group.
    pub stranded: u32,
}

impl Weights {
    /// Weights of a deployment that counts group downtime alone.
    pub const DOWNTIME: Weights = Weights {
        downtime: 4,
        stranded: 0,
    };

    /// Weights of a deployment that counts group downtime and stranded accelerators.
    pub const DOWNTIME_AND_STRANDED: Weights = Weights {
        downtime: 4,
        stranded: 1,
    };
}

/// What a deployment sets for its planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Options {
    /// Weights of the two measures.
    pub weights: Weights,
    /// Time for which a member may be missing before its place is taken.
    pub patience: Millis,
    /// Time for which a member must be missing before another model's group is drained for it.
    pub preempt_after: Millis,
    /// Time for which a member must be missing before a model of lower priority takes survivors.
    pub salvage_after: Millis,
    /// Spares bound beforehand to each group; always fewer than the group has members.
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
    /// Returns the options of a deployment that counts group downtime alone.
    #[must_use]
    pub fn for_downtime() -> Self {
        Options::default()
    }

    /// Returns the options of a deployment that counts both measures.
    #[must_use]
    pub fn for_downtime_and_stranded() -> Self {
        Options {
            weights: Weights::DOWNTIME_AND_STRANDED,
            salvage_after: Millis(0),
            ..Options::default()
        }
    }
}
