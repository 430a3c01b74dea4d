//! Reports of the model engines on VMs.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::units::{Fence, Generation};

/// The membership of an engine in a replica group.
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
    /// Rank within the group; rank 0 receives the requests.
    pub rank: u32,
}

/// Reported load of an engine, which lags behind its actual load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests that are generating tokens.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
}

/// A report of the engine on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the VM.
    pub vm: CompactString,
    /// Identifier that changes whenever the engine restarts.
    pub boot: u64,
    /// Membership, if the engine is in a replica group.
    pub membership: Option<Membership>,
    /// Whether weights and adapters are loaded and the engine can compute.
    pub ready: bool,
    /// Highest fencing number that the engine has seen.
    pub fence: Fence,
    /// Load at the time of the report.
    pub load: Load,
    /// Whether the engine is about to stop and must get no new work.
    #[serde(default)]
    pub leaving: bool,
}
