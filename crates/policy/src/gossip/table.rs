//! Facts of one node with digests that reveal differences to another node.

use std::collections::BTreeMap;

use super::fact::{Fact, Key, Version};
use super::hash;
use super::message::Entry;

/// Number of buckets whose digests are compared before entries are sent.
pub const BUCKETS: usize = 16;

/// Highest known version of each fact.
#[derive(Clone, Debug, Default)]
pub struct Table {
    facts: BTreeMap<u64, Fact>,
    buckets: [u64; BUCKETS],
}

impl Table {
    /// Stores a fact if its version is higher than the known one; returns whether it was stored.
    pub fn merge(&mut self, fact: Fact) -> bool {
        let key = fact.key.hash();
        let held = self.facts.get(&key).map(|held| held.version);
        if held.is_some_and(|held| held >= fact.version) {
            return false;
        }
        if let Some(held) = held {
            self.toggle_digest(key, held);
        }
        self.toggle_digest(key, fact.version);
        self.facts.insert(key, fact);
        true
    }

    /// Returns the fact of a key.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<&Fact> {
        self.facts.get(&key.hash())
    }

    /// Returns a fact by the hash of its key.
    #[must_use]
    pub fn get_by_hash(&self, key: u64) -> Option<&Fact> {
        self.facts.get(&key)
    }

    /// Iterates over all facts.
    pub fn iter(&self) -> impl Iterator<Item = &Fact> {
        self.facts.values()
    }

    /// Returns the number of facts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Returns whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// Removes and returns the facts that have expired.
    pub fn expire(&mut self, unix_ms: u64) -> Vec<Fact> {
        let expired: Vec<u64> = self
            .facts
            .iter()
            .filter(|(_, fact)| fact.expires_unix_ms().is_some_and(|at| at <= unix_ms))
            .map(|(key, _)| *key)
            .collect();
        expired
            .into_iter()
            .filter_map(|key| self.remove(key))
            .collect()
    }

    /// Returns the digest of all facts.
    #[must_use]
    pub fn root(&self) -> u64 {
        self.buckets
            .iter()
            .enumerate()
            .fold(0, |root, (index, digest)| {
                root ^ hash::mix(digest ^ index as u64)
            })
    }

    /// Returns the digests of the buckets.
    #[must_use]
    pub fn buckets(&self) -> &[u64; BUCKETS] {
        &self.buckets
    }

    /// Returns the keys and versions of the facts in a bucket.
    #[must_use]
    pub fn entries(&self, bucket: usize) -> Vec<Entry> {
        self.facts
            .iter()
            .filter(|(key, _)| bucket_of(**key) == bucket)
            .map(|(key, fact)| Entry {
                key: *key,
                version: fact.version,
            })
            .collect()
    }

    fn remove(&mut self, key: u64) -> Option<Fact> {
        let fact = self.facts.remove(&key)?;
        self.toggle_digest(key, fact.version);
        Some(fact)
    }

    /// Adds an entry to its bucket's digest or removes it; both are the same XOR.
    fn toggle_digest(&mut self, key: u64, version: Version) {
        let digest = hash::mix(key ^ hash::mix(version.major ^ hash::mix(version.minor)));
        self.buckets[bucket_of(key)] ^= digest;
    }
}

/// Returns the index of the bucket that the hash of a key belongs to.
#[must_use]
pub fn bucket_of(key: u64) -> usize {
    (key % BUCKETS as u64) as usize
}
