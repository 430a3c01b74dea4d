//! Events from the request path to the control thread.

use compact_str::CompactString;
use jackdaw_core::decision::Decision;
use jackdaw_core::token::Digest;
use jackdaw_core::units::Generation;

/// An observation of the request path that the control thread evaluates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A target could not be reached.
    ConnectFailed {
        /// Replica group or backend server.
        target: CompactString,
        /// Generation of the group.
        generation: Generation,
    },
    /// A target closed its connection while a request was in flight.
    ConnectionLost {
        /// Replica group or backend server.
        target: CompactString,
        /// Generation of the group.
        generation: Generation,
        /// Digest of the interrupted request.
        digest: Digest,
        /// Whether no other request was known to be in flight at the target.
        alone: bool,
    },
    /// A target completely answered a request that was suspected of crashing another.
    Answered {
        /// Replica group or backend server.
        target: CompactString,
        /// Digest of the request.
        digest: Digest,
    },
    /// The request path made a decision that is explained to operators.
    Explained(Decision),
}
