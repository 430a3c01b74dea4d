//! Heartbeats of the nodes of one availability zone.

use std::collections::BTreeMap;

use compact_str::{CompactString, ToCompactString};
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Millis, Revision};

use super::hash;
use super::message::{Exchange, Lag};

/// What is known of one node of the zone.
#[derive(Clone, Copy, Debug)]
struct Heartbeat {
    incarnation: u64,
    count: u64,
    heard: Instant,
    revision: Revision,
}

/// Heartbeats by node, this node included.
#[derive(Clone, Debug)]
pub struct Heartbeats {
    own: CompactString,
    beats: BTreeMap<CompactString, Heartbeat>,
}

impl Heartbeats {
    /// Creates heartbeats that know this node alone.
    #[must_use]
    pub fn new(own: &str, incarnation: u64, now: Instant) -> Self {
        let mut beats = Heartbeats {
            own: own.into(),
            beats: BTreeMap::new(),
        };
        beats.add(own, incarnation, now);
        beats
    }

    /// Adds a node or its next incarnation, as if it had been heard now.
    pub fn add(&mut self, name: &str, incarnation: u64, now: Instant) {
        let is_known = self
            .beats
            .get(name)
            .is_some_and(|beat| beat.incarnation >= incarnation);
        if is_known {
            return;
        }
        let beat = Heartbeat {
            incarnation,
            count: 0,
            heard: now,
            revision: Revision(0),
        };
        self.beats.insert(name.into(), beat);
    }

    /// Removes a node.
    pub fn remove(&mut self, name: &str) {
        if self.own != name {
            self.beats.remove(name);
        }
    }

    /// Counts this node's own heartbeat.
    pub fn advance(&mut self, revision: Revision, now: Instant) {
        if let Some(beat) = self.beats.get_mut(&self.own) {
            beat.count += 1;
            beat.heard = now;
            beat.revision = revision;
        }
    }

    /// Gets this node's own heartbeat counter.
    #[must_use]
    pub fn own_count(&self) -> u64 {
        self.beats.get(&self.own).map_or(0, |beat| beat.count)
    }

    /// Takes a heartbeat if it is newer than the one held.
    pub fn record(
        &mut self,
        name: &str,
        incarnation: u64,
        count: u64,
        revision: Revision,
        now: Instant,
    ) {
        if self.own == name {
            return;
        }
        let Some(beat) = self.beats.get_mut(name) else {
            return;
        };
        if beat.incarnation != incarnation || beat.count >= count {
            return;
        }
        beat.count = count;
        beat.heard = now;
        beat.revision = revision;
    }

    /// Iterates over nodes with the time since each was heard.
    pub fn silences(&self, now: Instant) -> impl Iterator<Item = (&CompactString, Millis)> {
        self.beats.iter().map(move |(name, beat)| {
            let silence = if *name == self.own {
                Millis(0)
            } else {
                now.since(beat.heard)
            };
            (name, silence)
        })
    }

    /// Returns the time since a node was heard.
    #[must_use]
    pub fn silence(&self, name: &str, now: Instant) -> Option<Millis> {
        self.beats.get(name).map(|beat| now.since(beat.heard))
    }

    /// Gets the catalogue revision that a node last told of.
    #[must_use]
    pub fn revision(&self, name: &str) -> Option<Revision> {
        self.beats.get(name).map(|beat| beat.revision)
    }

    /// Computes the digest of the nodes and their incarnations.
    #[must_use]
    pub fn members_digest(&self) -> u64 {
        self.beats.iter().fold(0, |digest, (name, beat)| {
            digest ^ hash::mix(u64::from(id(name, beat.incarnation)))
        })
    }

    /// Fills in the heartbeats of an exchange; `peer_members` is the digest last seen from the
    /// receiver, which saves the names if it is the same as this node's.
    pub fn fill_exchange(
        &self,
        exchange: &mut Exchange,
        revision: Revision,
        peer_members: Option<u64>,
    ) {
        exchange.members_digest = self.members_digest();
        exchange.heartbeats = self.beats.values().map(|beat| beat.count).collect();
        if peer_members != Some(exchange.members_digest) {
            exchange.ids = self
                .beats
                .iter()
                .map(|(name, beat)| id(name, beat.incarnation))
                .collect();
        }
        exchange.lags = (0..)
            .zip(self.beats.values())
            .filter(|(_, beat)| beat.revision != revision)
            .map(|(position, beat)| Lag {
                position,
                revision: beat.revision,
            })
            .collect();
    }

    /// Takes the heartbeats of an exchange from a sender at a catalogue revision.
    pub fn apply_exchange(&mut self, exchange: &Exchange, revision: Revision, now: Instant) {
        let names = self.positions(exchange);
        let lags: BTreeMap<u32, Revision> = exchange
            .lags
            .iter()
            .map(|lag| (lag.position, lag.revision))
            .collect();
        for ((position, name), count) in (0_u32..).zip(names).zip(&exchange.heartbeats) {
            if let Some((name, incarnation)) = name {
                let revision = lags.get(&position).copied().unwrap_or(revision);
                self.record(&name, incarnation, *count, revision, now);
            }
        }
    }

    /// Returns the node that each position of an exchange stands for.
    fn positions(&self, exchange: &Exchange) -> Vec<Option<(CompactString, u64)>> {
        let known = self
            .beats
            .iter()
            .map(|(name, beat)| (name.to_compact_string(), beat.incarnation));
        if exchange.ids.is_empty() {
            if exchange.members_digest != self.members_digest() {
                return Vec::new();
            }
            return known.map(Some).collect();
        }
        let by_id: BTreeMap<u32, (CompactString, u64)> = known
            .map(|(name, incarnation)| (id(&name, incarnation), (name, incarnation)))
            .collect();
        exchange
            .ids
            .iter()
            .map(|id| by_id.get(id).cloned())
            .collect()
    }
}

/// Computes the short identity of an incarnation of a node.
fn id(name: &str, incarnation: u64) -> u32 {
    let bits = hash::hash_strings(&[name]) ^ hash::mix(incarnation);
    u32::try_from(hash::mix(bits) >> 32).unwrap_or(u32::MAX)
}
