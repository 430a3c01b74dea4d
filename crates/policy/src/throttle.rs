//! Keeps the limits that servers in need name, over all nodes together.
//!
//! A limit is one for all nodes, and each node knows only its own requests. One node therefore grants
//! the requests of all nodes to a server: the server's keeper, chosen by rendezvous hashing, so that
//! no node has to announce or store it. A node asks the keeper for each request that it would send to
//! the server, and sends it only if it is granted. The limit is used wherever the demand is, however
//! unevenly it is spread, and a node without demand holds nothing back.

mod ask;
mod keeper;
mod limits;

pub use ask::{Asker, Recipient};
pub use keeper::{Ask, Keeper, Role, Verdict};
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

/// Identifies a team on all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamId(pub u64);

impl TeamId {
    /// Creates the identity of a team.
    #[must_use]
    pub fn new(team: &str) -> Self {
        TeamId(hash::hash_strings(&["team", team]))
    }
}
