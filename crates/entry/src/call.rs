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

/// Returns the digest over everything that makes two calls the same.
pub(crate) fn digest(method: &Method, name: &str, path: &str, body: &[u8]) -> Digest {
    let mut text = Vec::with_capacity(body.len() + path.len() + name.len() + 16);
    text.extend_from_slice(method.as_str().as_bytes());
    text.push(b' ');
    text.extend_from_slice(name.as_bytes());
    text.extend_from_slice(path.as_bytes());
    text.push(b'\n');
    text.extend_from_slice(body);
    Digest::of(&text)
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
    /// Digest over everything that makes two calls the same.
    pub(crate) digest: Digest,
    /// Largest work that the call may make, relative to other calls.
    pub(crate) cost: u32,
    /// Hash of the prompt's prefix, which decides where it is probably cached.
    pub(crate) prefix: Option<u64>,
    pub(crate) deadline: Instant,
    /// Whether the call may be sent to a backend server more than once.
    pub(crate) idempotent: bool,
    /// Whether the answer is a stream of events.
    pub(crate) streamed: bool,
}
