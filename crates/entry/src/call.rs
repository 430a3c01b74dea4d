//! A caller's request as the node processes it.

use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::catalog::Team;
use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use ntex::http::{HeaderMap, Method};
use ntex::util::Bytes;

/// The model or plain service that a call is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Destination {
    /// Replica groups of a model.
    Model(CompactString),
    /// Backend servers of a plain service.
    Service(CompactString),
}

impl Destination {
    /// Gets the name of the model or service.
    pub(crate) fn name(&self) -> &str {
        match self {
            Destination::Model(name) | Destination::Service(name) => name,
        }
    }

    /// Returns whether the call is for a model.
    pub(crate) fn is_model(&self) -> bool {
        matches!(self, Destination::Model(_))
    }
}

/// A caller's request after it was read and authenticated.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: CompactString,
    pub(crate) team: Arc<Team>,
    pub(crate) destination: Destination,
    pub(crate) method: Method,
    /// Path and query for the backend server.
    pub(crate) path: CompactString,
    /// Headers that are passed on to the backend server.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Digest over method, destination, path and body.
    pub(crate) digest: Digest,
    /// Upper bound of the call's work, relative to other calls.
    pub(crate) cost: u32,
    /// Hash of the prompt's prefix, which routes it to a target that probably has it cached.
    pub(crate) prefix_hash: Option<u64>,
    pub(crate) deadline: Instant,
    /// Whether the call may be sent to a backend server more than once.
    pub(crate) idempotent: bool,
    /// Whether the answer is a stream of events.
    pub(crate) streamed: bool,
}
