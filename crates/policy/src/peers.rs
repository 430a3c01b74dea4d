//! Load that the other nodes put on each place, from their periodic reports.
//!
//! A place is one incarnation of a server within a replica group. Every node periodically
//! reports its requests in progress to a few other nodes. The recent reports are taken as a sample:
//! their sum is scaled up to the number of all other nodes.

use std::collections::HashMap;

use compact_str::CompactString;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

/// Time for which a report counts; a few rounds of messages.
pub const REPORT_VALIDITY: Millis = Millis(2_000);
/// Time for which `suspect` in a report counts; a node repeats it while it applies.
const WARNING: Millis = Millis(600);

/// Identifier of a place that is the same on all nodes.
pub type PlaceId = u64;

/// Load of a place, of one node or summed over several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Number of requests in progress.
    pub requests: u32,
    /// Prompt tokens of requests that have not received an event yet.
    pub unread: u32,
    /// Whether the place makes no progress according to the node.
    pub suspect: bool,
}

/// Report of one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Name of the node.
    pub node: CompactString,
    /// Number that the node draws at its start.
    pub incarnation: u64,
    /// Sequence number of the report within the incarnation.
    pub sequence: u64,
    /// Availability zone.
    pub zone: CompactString,
    /// Whether the store answers the node.
    pub sees_store: bool,
    /// Load of each place.
    pub places: Vec<(PlaceId, Share)>,
}

#[derive(Clone, Debug)]
struct TimedReport {
    incarnation: u64,
    sequence: u64,
    received_at: Instant,
    zone: CompactString,
    sees_store: bool,
    places: HashMap<PlaceId, Share>,
}

/// Latest load report of each other node.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    reports: HashMap<CompactString, TimedReport>,
    /// Number of other nodes.
    peer_count: usize,
}

impl PeerLoads {
    /// Sets the number of other nodes.
    pub fn set_peer_count(&mut self, peer_count: usize) {
        self.peer_count = peer_count;
    }

    /// Returns the number of nodes, including this one.
    #[must_use]
    pub fn node_count(&self) -> usize {
        self.peer_count + 1
    }

    /// Records a node's report unless a newer one of the same incarnation is known.
    pub fn record(&mut self, report: LoadReport, now: Instant) {
        let known = self.reports.get(&report.node);
        let is_outdated = known.is_some_and(|known| {
            known.incarnation == report.incarnation && known.sequence >= report.sequence
        });
        if is_outdated {
            return;
        }
        let timed = TimedReport {
            incarnation: report.incarnation,
            sequence: report.sequence,
            received_at: now,
            zone: report.zone,
            sees_store: report.sees_store,
            places: report.places.into_iter().collect(),
        };
        self.reports.insert(report.node, timed);
        self.reports
            .retain(|_, report| now.since(report.received_at) <= REPORT_VALIDITY);
    }

    /// Returns whether the store answers another node of the zone.
    #[must_use]
    pub fn is_store_seen(&self, zone: &str, now: Instant) -> bool {
        self.reports.values().any(|report| {
            report.zone == zone
                && report.sees_store
                && now.since(report.received_at) <= REPORT_VALIDITY
        })
    }

    /// Returns the estimated load that all other nodes put on a place.
    #[must_use]
    pub fn peer_load(&self, place: PlaceId, now: Instant) -> Share {
        let mut nodes = 0_u32;
        let mut sum = Share::default();
        for report in self.reports.values() {
            let age = now.since(report.received_at);
            if age > REPORT_VALIDITY {
                continue;
            }
            nodes += 1;
            if let Some(share) = report.places.get(&place) {
                sum.requests = sum.requests.saturating_add(share.requests);
                sum.unread = sum.unread.saturating_add(share.unread);
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
