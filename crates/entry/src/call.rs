//! A caller's request on its way through the node.

use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::catalog::Team;
use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use ntex::http::{HeaderMap, Method};
use ntex::util::Bytes;

/// Which targets may take a call.
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
    /// Headers that are handed on.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) digest: Digest,
    /// Hash of the prompt's prefix, which decides where it is probably cached.
    pub(crate) prefix: Option<u64>,
    pub(crate) deadline: Instant,
    /// Whether the call may be sent to a backend server more than once.
    pub(crate) idempotent: bool,
    /// Whether the answer is a stream of events.
    pub(crate) streamed: bool,
}
