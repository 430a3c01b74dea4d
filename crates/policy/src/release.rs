//! Acceptance of release notes and adoption of the resulting catalogue by a node.

pub mod accept;
pub mod register;

use compact_str::CompactString;
use jackdaw_core::note::Note;
use jackdaw_core::units::Revision;
use serde::{Deserialize, Serialize};

/// Number of accepted release notes that the key-value service retains.
pub const HISTORY_NOTES: u64 = 2_000;

/// An accepted release note as stored in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Catalogue revision at which the note was accepted.
    pub revision: Revision,
    /// Node that accepted the note.
    pub node: CompactString,
    /// Wall-clock time of the acceptance in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Accepted note.
    pub note: Note,
}
