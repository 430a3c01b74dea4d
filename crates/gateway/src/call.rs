//! An admitted request.

use std::cell::OnceCell;

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, Method, Uri};
use jackdaw_core::config::Route;
use jackdaw_core::protocol::Head;
use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_policy::balance::Demand;
use jackdaw_policy::poison::Features;

use crate::memory::Charge;
use crate::node::Node;

/// An admitted request.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) head: Head,
    pub(crate) route: Route,
    pub(crate) service: CompactString,
    pub(crate) team: Option<CompactString>,
    pub(crate) priority: Option<u8>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// What the body takes.
    pub(crate) charge: Option<Charge>,
    pub(crate) digest: OnceCell<Digest>,
    /// Time at which the request arrived.
    pub(crate) arrived: Instant,
    /// Time by which the caller must have an answer.
    pub(crate) deadline: Instant,
    /// Deadline from which the remaining time sent to servers is computed.
    pub(crate) caller_deadline: Instant,
}

impl Call {
    /// Returns the digest by which repetitions of the request are recognized. It is computed only
    /// when it is needed first, since few requests need it.
    pub(crate) fn digest(&self) -> Digest {
        *self.digest.get_or_init(|| {
            let caller = self.team.as_deref().unwrap_or_default();
            let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
            Digest::of_request(self.method.as_str(), caller, path, &self.body)
        })
    }

    /// Returns the features by which requests that end servers are recognized.
    pub(crate) fn features(&self) -> Features<'_> {
        Features {
            request: self.digest(),
            parts: &self.head.parts,
        }
    }

    /// Returns the tokens that an engine reads and is expected to write.
    pub(crate) fn demand(&self) -> Demand {
        let head = &self.head;
        let output = match head.expected_output {
            Some(expected) => expected.min(head.max_output),
            None => head.max_output,
        };
        Demand {
            prompt: head.prompt_tokens,
            output,
        }
    }

    /// Returns the time at which the request is given up: its deadline, or the end of a stopping
    /// node if that is earlier.
    pub(crate) fn due(&self, node: &Node) -> Instant {
        let shutdown = node.shutdown();
        shutdown.map_or(self.deadline, |shutdown| {
            self.deadline.min(shutdown.answers_until())
        })
    }
}
