//! Simulated network partitions in the transport, for tests.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{PoisonError, RwLock};

/// Peers that this node is partitioned from, in both directions.
#[derive(Debug, Default)]
pub struct Partition {
    blocked: RwLock<HashSet<SocketAddr>>,
}

impl Partition {
    /// Drops all messages to and from a peer.
    pub fn block(&self, peer: SocketAddr) {
        self.blocked
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(peer);
    }

    /// Delivers messages to and from a peer again.
    pub fn unblock(&self, peer: SocketAddr) {
        self.blocked
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&peer);
    }

    /// Returns whether messages to and from a peer are dropped.
    #[must_use]
    pub fn is_blocked(&self, peer: SocketAddr) -> bool {
        self.blocked
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .contains(&peer)
    }
}
