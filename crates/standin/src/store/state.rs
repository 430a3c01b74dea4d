//! Keys, leases and the history of changes, as pure functions of calls and time.

use std::collections::{BTreeMap, HashSet};

use compact_str::CompactString;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Change, Committed, Compare, Entry, Lease, Transaction, Write};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

/// Name of the service in errors.
pub(super) const PEER: &str = "key-value service";

/// A lease that has not lapsed.
#[derive(Debug)]
struct Grant {
    ttl: Millis,
    expires: Instant,
}

/// Everything that the service knows.
#[derive(Debug)]
pub(super) struct State {
    revision: u64,
    entries: BTreeMap<CompactString, Entry>,
    leases: BTreeMap<i64, Grant>,
    last_lease: i64,
    history: Vec<(u64, Change)>,
    frozen: Option<BTreeMap<CompactString, Entry>>,
}

impl Default for State {
    fn default() -> Self {
        State {
            // The published service starts at revision one.
            revision: 1,
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            history: Vec::new(),
            frozen: None,
        }
    }
}

impl State {
    /// Gets the revision of the last change.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Gets the number of changes so far.
    pub(super) fn changes(&self) -> usize {
        self.history.len()
    }

    /// Keeps the present values for reads, or lets reads see the true values again.
    pub(super) fn freeze(&mut self, on: bool) {
        self.frozen = on.then(|| self.entries.clone());
    }

    /// Gets the entries whose keys begin with a prefix.
    pub(super) fn list(&self, prefix: &str) -> Vec<Entry> {
        self.readable()
            .range(CompactString::from(prefix)..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, entry)| entry.clone())
            .collect()
    }

    /// Gets one entry.
    pub(super) fn get(&self, key: &str) -> Option<Entry> {
        self.readable().get(key).cloned()
    }

    /// Carries out a transaction.
    pub(super) fn commit(&mut self, transaction: Transaction) -> Result<Committed> {
        if !transaction.when.iter().all(|compare| self.holds(compare)) {
            let found = transaction
                .otherwise
                .iter()
                .filter_map(|key| self.entries.get(key).cloned())
                .collect();
            return Ok(Committed::No(found));
        }
        self.check(&transaction.then)?;
        let next = self.revision + 1;
        for write in transaction.then {
            match write {
                Write::Put { key, value, lease } => self.put(next, key, value, lease),
                Write::Delete(key) => self.delete(next, &key),
            }
        }
        Ok(Committed::Yes(self.revision))
    }

    /// Grants a lease.
    pub(super) fn grant(&mut self, ttl: Millis, now: Instant) -> Lease {
        self.last_lease += 1;
        let expires = now + ttl;
        self.leases.insert(self.last_lease, Grant { ttl, expires });
        Lease(self.last_lease)
    }

    /// Renews a lease; returns zero if it has lapsed.
    pub(super) fn renew(&mut self, lease: Lease, now: Instant) -> Millis {
        let Some(grant) = self.leases.get_mut(&lease.0) else {
            return Millis(0);
        };
        grant.expires = now + grant.ttl;
        grant.ttl
    }

    /// Ends a lease and deletes its keys.
    pub(super) fn revoke(&mut self, lease: Lease) -> Result<()> {
        if self.leases.remove(&lease.0).is_none() {
            return Err(Error::refused("revoke", PEER, "the lease is not known"));
        }
        let bound: Vec<CompactString> = self
            .entries
            .values()
            .filter(|entry| entry.lease == Some(lease))
            .map(|entry| entry.key.clone())
            .collect();
        let next = self.revision + 1;
        for key in bound {
            self.delete(next, &key);
        }
        Ok(())
    }

    /// Ends every lease that has lapsed by `now`.
    pub(super) fn expire(&mut self, now: Instant) {
        let lapsed: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, grant)| grant.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in lapsed {
            // The lease was found just above, so its revocation cannot fail.
            let _ = self.revoke(Lease(id));
        }
    }

    /// Gets the time at which the next lease lapses.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|grant| grant.expires).min()
    }

    /// Gets the place in the history of the first change at or after a revision.
    pub(super) fn place(&self, from: u64) -> usize {
        if from == 0 {
            return self.history.len();
        }
        self.history
            .partition_point(|(revision, _)| *revision < from)
    }

    /// Gets the changes to keys with a prefix, from a place in the history on.
    pub(super) fn since(&self, place: usize, prefix: &str) -> Vec<(u64, Change)> {
        self.history[place..]
            .iter()
            .filter(|(_, change)| key_of(change).starts_with(prefix))
            .cloned()
            .collect()
    }

    fn readable(&self) -> &BTreeMap<CompactString, Entry> {
        self.frozen.as_ref().unwrap_or(&self.entries)
    }

    fn holds(&self, compare: &Compare) -> bool {
        match compare {
            Compare::Absent(key) => !self.entries.contains_key(key),
            Compare::ModRevision(key, revision) => {
                self.entries.get(key).map_or(0, |entry| entry.mod_revision) == *revision
            }
            Compare::CreateRevision(key, revision) => {
                let created = self
                    .entries
                    .get(key)
                    .map_or(0, |entry| entry.create_revision);
                created == *revision
            }
        }
    }

    fn check(&self, writes: &[Write]) -> Result<()> {
        let mut keys = HashSet::new();
        for write in writes {
            let Write::Put { key, lease, .. } = write else {
                continue;
            };
            if !keys.insert(key) {
                return Err(Error::refused("commit", PEER, "a key is put twice"));
            }
            let is_known = lease.is_none_or(|lease| self.leases.contains_key(&lease.0));
            if !is_known {
                return Err(Error::refused("commit", PEER, "the lease is not known"));
            }
        }
        Ok(())
    }

    fn put(&mut self, revision: u64, key: CompactString, value: Vec<u8>, lease: Option<Lease>) {
        let created = self.entries.get(&key).map(|entry| entry.create_revision);
        let entry = Entry {
            key: key.clone(),
            value,
            create_revision: created.unwrap_or(revision),
            mod_revision: revision,
            lease,
        };
        self.entries.insert(key, entry.clone());
        self.revision = revision;
        self.history.push((revision, Change::Put(entry)));
    }

    fn delete(&mut self, revision: u64, key: &str) {
        if self.entries.remove(key).is_none() {
            return;
        }
        self.revision = revision;
        let change = Change::Delete(key.into(), revision);
        self.history.push((revision, change));
    }
}

fn key_of(change: &Change) -> &str {
    match change {
        Change::Put(entry) => &entry.key,
        Change::Delete(key, _) => key,
    }
}
