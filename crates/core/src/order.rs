//! Orders to model engines.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::units::{Fence, Generation};

/// A command to the engine on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Command {
    /// Join a replica group and load its model.
    Join {
        /// Replica group.
        group: CompactString,
        /// Generation of the group.
        generation: Generation,
        /// Model to load.
        model: CompactString,
        /// Version to load.
        version: CompactString,
        /// Adapters to load.
        adapters: Vec<CompactString>,
        /// Addresses of all members in rank order.
        members: Vec<CompactString>,
        /// Rank of this VM.
        rank: u32,
    },
    /// Leave the VM's current group, whichever it is.
    Leave,
}

/// An order with the fencing number of the leader that sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the leader.
    pub fence: Fence,
    /// Command to carry out.
    pub command: Command,
}
