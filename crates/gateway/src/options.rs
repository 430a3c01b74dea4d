//! Options of a node.

use std::net::SocketAddr;

use compact_str::CompactString;
use jackdaw_core::units::{Bytes, Millis};

/// Options of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Name of the node.
    pub node: CompactString,
    /// Availability zone of the node.
    pub zone: CompactString,
    /// All availability zones.
    pub zones: Vec<CompactString>,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for the platform's readiness checks and for metrics.
    pub readiness: SocketAddr,
    /// UDP address for datagrams of other nodes.
    pub peers: SocketAddr,
    /// Time from the request to stop until the process is killed.
    pub grace: Millis,
    /// Limit of the retries that all nodes together may make at once for one service.
    pub retries: u32,
    /// Retries that each request allows beyond that limit.
    pub retry_ratio: f64,
    /// Multiple of its sustained rate that a cold server may get in any one second from all nodes.
    pub warmup_overshoot: f64,
    /// Requests beside that multiple that a cold server may get in any one second from all nodes.
    pub warmup_slack: f64,
    /// Time to live of the leader's lease.
    pub lease: Millis,
    /// Time after a server's announcement that it drains by which it must get no new work.
    pub drain: Millis,
    /// Largest head of a request, unless the configuration states a limit.
    pub max_head: Bytes,
    /// Memory that the process may hold.
    pub memory: Bytes,
}
