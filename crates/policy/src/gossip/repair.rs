//! Exchanges of digests, and the repair of what differs.

use std::collections::HashMap;
use std::net::SocketAddr;

use jackdaw_core::time::Instant;
use jackdaw_core::units::Revision;

use super::fact::Fact;
use super::message::{Body, Bucket, Exchange};
use super::node::{Node, Output};
use super::table::BUCKETS;

/// Part of a round for which the facts must have been at rest before differences are looked into.
const SETTLE_DIVISOR: u64 = 2;

/// Rounds after which differences are looked into though the facts are not at rest.
const REPAIR_OVERDUE_ROUNDS: u64 = 5;

/// The number of parts that one repair looks into.
const REPAIR_PARTS: usize = 4;

/// A node that knows fewer facts looks into all parts at once.
const JOINER_FACTS: usize = 16;

impl Node {
    pub(super) fn exchange(&self, to: SocketAddr, is_own_zone: bool) -> Exchange {
        let mut exchange = Exchange {
            root: self.table.root(),
            zones: self.zones.values().cloned().collect(),
            ..Exchange::default()
        };
        if is_own_zone {
            let contact = self.contacts.get(&to).copied().unwrap_or_default();
            self.beats
                .fill_exchange(&mut exchange, self.revision, contact.members);
        }
        exchange
    }

    pub(super) fn take_exchange(
        &mut self,
        exchange: &Exchange,
        revision: Revision,
        from: SocketAddr,
        now: Instant,
    ) {
        self.contacts.entry(from).or_default().members = Some(exchange.members_digest);
        self.beats.apply_exchange(exchange, revision, now);
        for summary in &exchange.zones {
            let held = self.zones.get(&summary.zone);
            if held.is_none_or(|held| held.at_unix_ms < summary.at_unix_ms) {
                self.zones.insert(summary.zone.clone(), summary.clone());
            }
        }
    }

    /// Asks for the parts in which an answer differs from the facts held here.
    pub(super) fn compare(
        &mut self,
        exchange: &Exchange,
        from: SocketAddr,
        now: Instant,
        outputs: &mut Vec<Output>,
    ) {
        let is_settled =
            now.since(self.changed).0 >= self.options.round_interval.0 / SETTLE_DIVISOR;
        let is_overdue = now.since(self.repaired) >= self.rounds(REPAIR_OVERDUE_ROUNDS);
        let is_joiner = self.table.len() < JOINER_FACTS;
        if exchange.buckets.len() != BUCKETS || !(is_settled || is_overdue || is_joiner) {
            return;
        }
        let limit = if is_joiner { BUCKETS } else { REPAIR_PARTS };
        let start = self.rng.usize(..BUCKETS);
        let parts: Vec<Bucket> = (0..BUCKETS)
            .map(|offset| (start + offset) % BUCKETS)
            .filter(|bucket| exchange.buckets[*bucket] != self.table.buckets()[*bucket])
            .take(limit)
            .map(|bucket| Bucket {
                index: u32::try_from(bucket).unwrap_or(u32::MAX),
                entries: self.table.entries(bucket),
            })
            .collect();
        if parts.is_empty() {
            return;
        }
        self.repaired = now;
        self.send(from, Body::Detail(parts), outputs);
    }

    pub(super) fn answer_detail(
        &mut self,
        parts: &[Bucket],
        from: SocketAddr,
        outputs: &mut Vec<Output>,
    ) {
        let mut facts = Vec::new();
        let mut wants = Vec::new();
        for part in parts {
            let theirs: HashMap<u64, _> = part
                .entries
                .iter()
                .map(|entry| (entry.key, entry.version))
                .collect();
            let bucket = usize::try_from(part.index).unwrap_or(usize::MAX);
            let ours = self.table.entries(bucket);
            facts.extend(
                ours.iter()
                    .filter(|entry| theirs.get(&entry.key).is_none_or(|v| *v < entry.version))
                    .filter_map(|entry| self.table.get_by_hash(entry.key).cloned()),
            );
            wants.extend(
                part.entries
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
