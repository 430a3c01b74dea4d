//! Exchange of digests and repair of differing facts.

use std::collections::HashMap;
use std::net::SocketAddr;

use jackdaw_core::time::Instant;
use jackdaw_core::units::Revision;

use super::fact::Fact;
use super::message::{Body, Bucket, Exchange};
use super::node::{Node, Output};
use super::table::BUCKETS;

/// Divisor of the round interval: differences are compared once the facts have not changed for this
/// fraction of a round.
const SETTLE_DIVISOR: u64 = 2;

/// Rounds after the last repair from which differences are compared even while facts change.
const REPAIR_OVERDUE_ROUNDS: u64 = 5;

/// Maximum number of buckets that one repair compares.
const MAX_REPAIR_BUCKETS: usize = 4;

/// Number of facts below which a node compares all buckets at once.
const JOINER_MAX_FACTS: usize = 16;

impl Node {
    pub(super) fn build_exchange(&self, to: SocketAddr, is_own_zone: bool) -> Exchange {
        let mut exchange = Exchange {
            root: self.table.root(),
            zones: self.zones.values().cloned().collect(),
            ..Exchange::default()
        };
        if is_own_zone {
            let contact = self.contacts.get(&to).copied().unwrap_or_default();
            self.heartbeats
                .fill_exchange(&mut exchange, self.revision, contact.members);
        }
        exchange
    }

    pub(super) fn apply_exchange(
        &mut self,
        exchange: &Exchange,
        revision: Revision,
        from: SocketAddr,
        now: Instant,
    ) {
        self.contacts.entry(from).or_default().members = Some(exchange.members_digest);
        self.heartbeats.apply_exchange(exchange, revision, now);
        for summary in &exchange.zones {
            let held = self.zones.get(&summary.zone);
            if held.is_none_or(|held| held.at_unix_ms < summary.at_unix_ms) {
                self.zones.insert(summary.zone.clone(), summary.clone());
            }
        }
    }

    /// Sends the entries of the buckets whose digests in an answer differ from this node's.
    pub(super) fn request_differences(
        &mut self,
        exchange: &Exchange,
        from: SocketAddr,
        now: Instant,
        outputs: &mut Vec<Output>,
    ) {
        let is_settled =
            now.since(self.last_change).0 >= self.options.round_interval.0 / SETTLE_DIVISOR;
        let is_overdue = now.since(self.last_repair) >= self.rounds_duration(REPAIR_OVERDUE_ROUNDS);
        let is_joiner = self.table.len() < JOINER_MAX_FACTS;
        if exchange.buckets.len() != BUCKETS || !(is_settled || is_overdue || is_joiner) {
            return;
        }
        let limit = if is_joiner {
            BUCKETS
        } else {
            MAX_REPAIR_BUCKETS
        };
        let start = self.rng.usize(..BUCKETS);
        let buckets: Vec<Bucket> = (0..BUCKETS)
            .map(|offset| (start + offset) % BUCKETS)
            .filter(|index| exchange.buckets[*index] != self.table.buckets()[*index])
            .take(limit)
            .map(|index| Bucket {
                index: u32::try_from(index).unwrap_or(u32::MAX),
                entries: self.table.entries(index),
            })
            .collect();
        if buckets.is_empty() {
            return;
        }
        self.last_repair = now;
        self.send(from, Body::Detail(buckets), outputs);
    }

    pub(super) fn answer_detail(
        &mut self,
        buckets: &[Bucket],
        from: SocketAddr,
        outputs: &mut Vec<Output>,
    ) {
        let mut facts = Vec::new();
        let mut wants = Vec::new();
        for bucket in buckets {
            let theirs: HashMap<u64, _> = bucket
                .entries
                .iter()
                .map(|entry| (entry.key, entry.version))
                .collect();
            let index = usize::try_from(bucket.index).unwrap_or(usize::MAX);
            let ours = self.table.entries(index);
            facts.extend(
                ours.iter()
                    .filter(|entry| theirs.get(&entry.key).is_none_or(|v| *v < entry.version))
                    .filter_map(|entry| self.table.get_by_hash(entry.key).cloned()),
            );
            wants.extend(
                bucket
                    .entries
                    .iter()
                    .filter(|entry| {
                        let held = self.table.get_by_hash(entry.key);
                        held.is_none_or(|held| held.version < entry.version)
                    })
                    .map(|entry| entry.key),
            );
        }
        if !facts.is_empty() || !wants.is_empty() {
            self.send(from, Body::Repair { facts, wants }, outputs);
        }
    }

    pub(super) fn answer_wants(
        &mut self,
        wants: &[u64],
        from: SocketAddr,
        outputs: &mut Vec<Output>,
    ) {
        let facts: Vec<Fact> = wants
            .iter()
            .filter_map(|key| self.table.get_by_hash(*key).cloned())
            .collect();
        if facts.is_empty() {
            return;
        }
        let wants = Vec::new();
        self.send(from, Body::Repair { facts, wants }, outputs);
    }
}
