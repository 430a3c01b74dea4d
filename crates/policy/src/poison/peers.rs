//! The order in which nodes send requests with one suspected feature.

use jackdaw_core::token::Digest;

use super::Feature;
use crate::gossip::hash;

/// This node among all nodes that it knows.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    own: u64,
    others: Vec<u64>,
}

impl Peers {
    /// Creates the view of a node with its name and the names of the other nodes.
    pub fn new<'a>(own: &str, others: impl IntoIterator<Item = &'a str>) -> Self {
        let number = |name: &str| hash::hash_strings(&[name]);
        Peers {
            own: number(own),
            others: others.into_iter().map(number).collect(),
        }
    }

    /// Returns the number of nodes with this one.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.others.len() + 1).unwrap_or(u32::MAX)
    }

    /// Returns the number of nodes whose turn with a feature comes before this node's.
    ///
    /// Nodes with the same view agree on the order, which differs from feature to feature.
    #[must_use]
    pub fn rank(&self, feature: &Feature) -> u32 {
        let seed = match feature {
            Feature::Part(part) => *part,
            Feature::Request(Digest(bytes)) => {
                let (first, _) = bytes.split_first_chunk().expect("32 bytes");
                u64::from_be_bytes(*first)
            }
        };
        let weight = |node: u64| hash::mix(node ^ hash::mix(seed));
        let own = weight(self.own);
        let before = self.others.iter().filter(|node| weight(**node) < own);
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }
}
