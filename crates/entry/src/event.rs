//! Events from the request path to the control thread.

use compact_str::CompactString;
use jackdaw_core::decision::Decision;
use jackdaw_core::token::Digest;
use jackdaw_core::units::Generation;

/// Something that the request path saw and the control thread must judge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A target could not be reached.
    ConnectFailed {
        /// Replica group or backend server.
        target: CompactString,
        /// Generation of the group.
        generation: Generation,
    },
    /// A target broke off while requests were in flight.
    ConnectionLost {
        /// Replica group or backend server.
        target: CompactString,
        /// Generation of the group.
        generation: Generation,
        /// Digest of the request that was cut off.
        digest: Digest,
        /// Whether no other request was in flight there, as far as this node knows.
        alone: bool,
    },
    /// A target answered a suspect request completely.
    Answered {
        /// Replica group or backend server.
        target: CompactString,
        /// Digest of the request.
        digest: Digest,
    },
    /// The request path took a decision worth explaining.
    Explained(Decision),
}
