//! Release notes: how one is accepted, and how a node takes the catalogue it leads to.

pub mod accept;
pub mod register;

use compact_str::CompactString;
use jackdaw_core::note::Note;
use jackdaw_core::units::Revision;
use serde::{Deserialize, Serialize};

/// The number of accepted notes that the key-value service keeps.
pub const HISTORY_NOTES: u64 = 2_000;

/// An accepted release note as the key-value service keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Revision at which the note was accepted.
    pub revision: Revision,
    /// Node that accepted it.
    pub node: CompactString,
    /// Wall-clock time of the acceptance in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The note.
    pub note: Note,
}
