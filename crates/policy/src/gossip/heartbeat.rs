//! Heartbeats of the nodes of one availability zone.

use std::collections::BTreeMap;

use compact_str::{CompactString, ToCompactString};
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Millis, Revision};

use super::hash;
use super::message::{Exchange, Lag};

/// Latest heartbeat of one node.
#[derive(Clone, Copy, Debug)]
struct Heartbeat {
    incarnation: u64,
    count: u64,
    last_heard: Instant,
    revision: Revision,
}

/// Latest heartbeats of all nodes of the zone, including this one.
#[derive(Clone, Debug)]
pub struct Heartbeats {
    own_name: CompactString,
    heartbeats: BTreeMap<CompactString, Heartbeat>,
}

impl Heartbeats {
    /// Creates a collection that contains only this node.
    #[must_use]
    pub fn new(own_name: &str, incarnation: u64, now: Instant) -> Self {
        let mut heartbeats = Heartbeats {
            own_name: own_name.into(),
            heartbeats: BTreeMap::new(),
        };
        heartbeats.add(own_name, incarnation, now);
        heartbeats
    }

    /// Adds a node or its next incarnation with `now` as the time of its last heartbeat.
    pub fn add(&mut self, name: &str, incarnation: u64, now: Instant) {
        let is_known = self
            .heartbeats
            .get(name)
            .is_some_and(|heartbeat| heartbeat.incarnation >= incarnation);
        if is_known {
            return;
        }
        let heartbeat = Heartbeat {
            incarnation,
            count: 0,
            last_heard: now,
            revision: Revision(0),
        };
        self.heartbeats.insert(name.into(), heartbeat);
    }

    /// Removes a node other than this one.
    pub fn remove(&mut self, name: &str) {
        if self.own_name != name {
            self.heartbeats.remove(name);
        }
    }

    /// Increments this node's own heartbeat counter.
    pub fn advance(&mut self, revision: Revision, now: Instant) {
        if let Some(heartbeat) = self.heartbeats.get_mut(&self.own_name) {
            heartbeat.count += 1;
            heartbeat.last_heard = now;
            heartbeat.revision = revision;
        }
    }

    /// Returns this node's own heartbeat counter.
    #[must_use]
    pub fn own_count(&self) -> u64 {
        self.heartbeats
            .get(&self.own_name)
            .map_or(0, |heartbeat| heartbeat.count)
    }

    /// Records a heartbeat of another node if it is newer than the known one.
    pub fn record(
        &mut self,
        name: &str,
        incarnation: u64,
        count: u64,
        revision: Revision,
        now: Instant,
    ) {
        if self.own_name == name {
            return;
        }
        let Some(heartbeat) = self.heartbeats.get_mut(name) else {
            return;
        };
        if heartbeat.incarnation != incarnation || heartbeat.count >= count {
            return;
        }
        heartbeat.count = count;
        heartbeat.last_heard = now;
        heartbeat.revision = revision;
    }

    /// Iterates over the nodes and the time since the last heartbeat of each.
    pub fn silences(&self, now: Instant) -> impl Iterator<Item = (&CompactString, Millis)> {
        self.heartbeats.iter().map(move |(name, heartbeat)| {
            let silence = if *name == self.own_name {
                Millis(0)
            } else {
                now.since(heartbeat.last_heard)
            };
            (name, silence)
        })
    }

    /// Returns the time since the last heartbeat of a node.
    #[must_use]
    pub fn silence(&self, name: &str, now: Instant) -> Option<Millis> {
        self.heartbeats
            .get(name)
            .map(|heartbeat| now.since(heartbeat.last_heard))
    }

    /// Returns the catalogue revision in a node's last heartbeat.
    #[must_use]
    pub fn revision(&self, name: &str) -> Option<Revision> {
        self.heartbeats
            .get(name)
            .map(|heartbeat| heartbeat.revision)
    }

    /// Computes the digest of the nodes and their incarnations.
    #[must_use]
    pub fn members_digest(&self) -> u64 {
        self.heartbeats.iter().fold(0, |digest, (name, heartbeat)| {
            digest ^ hash::mix(u64::from(short_id(name, heartbeat.incarnation)))
        })
    }

    /// Fills in the heartbeats of an exchange. `peer_members` is the last known digest of the
    /// receiver's members; if it equals this node's digest, the ids are omitted.
    pub fn fill_exchange(
        &self,
        exchange: &mut Exchange,
        revision: Revision,
        peer_members: Option<u64>,
    ) {
        exchange.members_digest = self.members_digest();
        exchange.heartbeats = self
            .heartbeats
            .values()
            .map(|heartbeat| heartbeat.count)
            .collect();
        if peer_members != Some(exchange.members_digest) {
            exchange.ids = self
                .heartbeats
                .iter()
                .map(|(name, heartbeat)| short_id(name, heartbeat.incarnation))
                .collect();
        }
        exchange.lags = (0..)
            .zip(self.heartbeats.values())
            .filter(|(_, heartbeat)| heartbeat.revision != revision)
            .map(|(position, heartbeat)| Lag {
                position,
                revision: heartbeat.revision,
            })
            .collect();
    }

    /// Records the heartbeats of an exchange; `revision` is the sender's catalogue revision.
    pub fn apply_exchange(&mut self, exchange: &Exchange, revision: Revision, now: Instant) {
        let nodes = self.resolve_positions(exchange);
        let lags: BTreeMap<u32, Revision> = exchange
            .lags
            .iter()
            .map(|lag| (lag.position, lag.revision))
            .collect();
        for ((position, node), count) in (0_u32..).zip(nodes).zip(&exchange.heartbeats) {
            if let Some((name, incarnation)) = node {
                let revision = lags.get(&position).copied().unwrap_or(revision);
                self.record(&name, incarnation, *count, revision, now);
            }
        }
    }

    /// Returns the name and incarnation at each position of an exchange, or `None` if unknown.
    fn resolve_positions(&self, exchange: &Exchange) -> Vec<Option<(CompactString, u64)>> {
        let known = self
            .heartbeats
            .iter()
            .map(|(name, heartbeat)| (name.to_compact_string(), heartbeat.incarnation));
        if exchange.ids.is_empty() {
            if exchange.members_digest != self.members_digest() {
                return Vec::new();
            }
            return known.map(Some).collect();
        }
        let by_id: BTreeMap<u32, (CompactString, u64)> = known
            .map(|(name, incarnation)| (short_id(&name, incarnation), (name, incarnation)))
            .collect();
        exchange
            .ids
            .iter()
            .map(|id| by_id.get(id).cloned())
            .collect()
    }
}

/// Computes the 32-bit id of an incarnation of a node.
fn short_id(name: &str, incarnation: u64) -> u32 {
    let bits = hash::hash_strings(&[name]) ^ hash::mix(incarnation);
    u32::try_from(hash::mix(bits) >> 32).unwrap_or(u32::MAX)
}
