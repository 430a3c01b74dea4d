//! What the other nodes say of the load that they put on each place.
//!
//! Every node tells a few others now and then how many requests it has in progress where. What was
//! heard lately stands for all: with many nodes, the sum is scaled by the nodes that were not
//! heard.

use std::collections::HashMap;

use compact_str::CompactString;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

/// Time for which a node's word counts; a few rounds of messages.
pub const REPORT_VALIDITY: Millis = Millis(2_000);
/// Time for which a node's warning of a place counts; it is repeated while it holds.
const WARNING: Millis = Millis(600);

/// Names a place on all nodes alike.
pub type PlaceId = u64;

/// What one node has in progress at a place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Requests.
    pub requests: u32,
    /// Prompt tokens of requests that have had no event yet.
    pub unread: u32,
    /// Whether the node has found the place to stand still.
    pub suspect: bool,
}

/// What one node says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Node.
    pub node: CompactString,
    /// Number that is drawn at the node's start.
    pub incarnation: u64,
    /// Number of the message.
    pub sequence: u64,
    /// Availability zone.
    pub zone: CompactString,
    /// Whether the store answers the node.
    pub sees_store: bool,
    /// Its places.
    pub places: Vec<(PlaceId, Share)>,
}

#[derive(Clone, Debug)]
struct Heard {
    incarnation: u64,
    sequence: u64,
    at: Instant,
    zone: CompactString,
    sees_store: bool,
    places: HashMap<PlaceId, Share>,
}

/// Everything that was heard.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    heard: HashMap<CompactString, Heard>,
    /// Number of other nodes.
    peer_count: usize,
}

impl PeerLoads {
    /// Sets the number of other nodes.
    pub fn set_peer_count(&mut self, peer_count: usize) {
        self.peer_count = peer_count;
    }

    /// Gets the number of nodes, this one included.
    #[must_use]
    pub fn node_count(&self) -> usize {
        self.peer_count + 1
    }

    /// Takes in a node's word; a late one is passed over.
    pub fn record(&mut self, word: LoadReport, now: Instant) {
        let known = self.heard.get(&word.node);
        let is_late = known.is_some_and(|known| {
            known.incarnation == word.incarnation && known.sequence >= word.sequence
        });
        if is_late {
            return;
        }
        let heard = Heard {
            incarnation: word.incarnation,
            sequence: word.sequence,
            at: now,
            zone: word.zone,
            sees_store: word.sees_store,
            places: word.places.into_iter().collect(),
        };
        self.heard.insert(word.node, heard);
        self.heard
            .retain(|_, heard| now.since(heard.at) <= REPORT_VALIDITY);
    }

    /// Returns whether the store answers another node of a zone.
    #[must_use]
    pub fn is_store_seen(&self, zone: &str, now: Instant) -> bool {
        self.heard.values().any(|heard| {
            heard.zone == zone && heard.sees_store && now.since(heard.at) <= REPORT_VALIDITY
        })
    }

    /// Returns what the other nodes have in progress at a place.
    #[must_use]
    pub fn peer_load(&self, place: PlaceId, now: Instant) -> Share {
        let mut nodes = 0_u32;
        let mut sum = Share::default();
        for heard in self.heard.values() {
            let age = now.since(heard.at);
            if age > REPORT_VALIDITY {
                continue;
            }
            nodes += 1;
            if let Some(share) = heard.places.get(&place) {
                sum.requests += share.requests;
                sum.unread += share.unread;
                sum.suspect |= share.suspect && age <= WARNING;
            }
        }
        let peers = u32::try_from(self.peer_count).unwrap_or(u32::MAX);
        if nodes == 0 || peers <= nodes {
            return sum;
        }
        Share {
            requests: scale(sum.requests, peers, nodes),
            unread: scale(sum.unread, peers, nodes),
            suspect: sum.suspect,
        }
    }
}

fn scale(sum: u32, peers: u32, nodes: u32) -> u32 {
    let scaled = u64::from(sum) * u64::from(peers) / u64::from(nodes);
    u32::try_from(scaled).unwrap_or(u32::MAX)
}
