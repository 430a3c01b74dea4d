//! Limits that servers in need name.

mod limits;

pub use limits::{Change, Limits, Statement};

use crate::gossip::hash;

/// Identifies one incarnation of a server on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

impl ServerId {
    /// Creates the identity of a server that has started with an incarnation number.
    #[must_use]
    pub fn new(server: &str, incarnation: u64) -> Self {
        ServerId(hash::mix(
            hash::hash_strings(&["server", server]) ^ incarnation,
        ))
    }
}
