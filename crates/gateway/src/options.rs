//! Options of a node.

use std::net::SocketAddr;

use compact_str::CompactString;
use jackdaw_core::units::{Bytes, Millis};

/// Options of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Name of the node.
    pub node: CompactString,
    /// Availability zone.
    pub zone: CompactString,
    /// All availability zones.
    pub zones: Vec<CompactString>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the platform's readiness checks.
    pub readiness: SocketAddr,
    /// Address for datagrams of other nodes.
    pub peers: SocketAddr,
    /// Time from the request to stop until the process is killed.
    pub grace: Millis,
    /// Retries that all nodes together may spend at once for one service.
    pub retries: u32,
    /// Time to live of the leader's lease.
    pub lease: Millis,
    /// Time from a server's announcement that it leaves until no new work may reach it.
    pub drain: Millis,
    /// Largest head of a request.
    pub max_head: Bytes,
}
