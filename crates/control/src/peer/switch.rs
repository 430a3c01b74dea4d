//! A fault switch at the border of the transport, for tests.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{PoisonError, RwLock};

/// Cuts this node off from others, in both directions.
#[derive(Debug, Default)]
pub struct Switch {
    cut: RwLock<HashSet<SocketAddr>>,
}

impl Switch {
    /// Drops all messages to and from a peer.
    pub fn cut(&self, peer: SocketAddr) {
        self.cut
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(peer);
    }

    /// Lets messages to and from a peer pass again.
    pub fn heal(&self, peer: SocketAddr) {
        self.cut
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&peer);
    }

    /// Returns whether a peer is cut off.
    #[must_use]
    pub fn is_cut(&self, peer: SocketAddr) -> bool {
        self.cut
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .contains(&peer)
    }
}
