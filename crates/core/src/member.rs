//! What a model engine on one VM reports about itself.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::units::{Fence, Generation};

/// The membership that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Replica group.
    pub group: CompactString,
    /// Generation of the group.
    pub generation: Generation,
    /// Model that is loaded.
    pub model: CompactString,
    /// Version that is loaded.
    pub version: CompactString,
    /// Rank within the group; rank 0 takes requests.
    pub rank: u32,
}

/// Load of an engine, reported with a lag.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that generate tokens.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// One report of one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// VM that reports.
    pub vm: CompactString,
    /// Changes whenever the engine starts anew.
    pub boot: u64,
    /// Membership, if the engine holds one.
    pub membership: Option<Membership>,
    /// Whether weights and adapters are loaded and the engine can compute.
    pub ready: bool,
    /// Highest fencing number that the engine has seen.
    pub fence: Fence,
    /// Load.
    pub load: Load,
    /// Whether the engine is about to stop and must get no new work.
    #[serde(default)]
    pub leaving: bool,
}
