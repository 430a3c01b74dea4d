//! Keys, leases and the history of changes, as pure functions of calls and time.

use std::collections::{BTreeMap, HashSet};

use compact_str::CompactString;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Change, Committed, Compare, Entry, Lease, Transaction, Write};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

/// Name of the service in errors.
pub(super) const PEER: &str = "key-value service";

/// A lease that has not expired.
#[derive(Debug)]
struct Grant {
    ttl: Millis,
    expires: Instant,
}

/// Entries, leases and change history of the service.
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
            // etcd starts at revision 1.
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
    pub(super) fn change_count(&self) -> usize {
        self.history.len()
    }

    /// Makes reads return the present values until it is called with `false`.
    pub(super) fn freeze(&mut self, is_frozen: bool) {
        self.frozen = is_frozen.then(|| self.entries.clone());
    }

    /// Gets the entries whose keys begin with a prefix.
    pub(super) fn list(&self, prefix: &str) -> Vec<Entry> {
        self.visible_entries()
            .range(CompactString::from(prefix)..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, entry)| entry.clone())
            .collect()
    }

    /// Gets one entry.
    pub(super) fn get(&self, key: &str) -> Option<Entry> {
        self.visible_entries().get(key).cloned()
    }

    /// Commits a transaction, or reads its other keys if a comparison fails.
    ///
    /// # Errors
    ///
    /// Returns an error if a key is put twice or a lease is unknown.
    pub(super) fn commit(&mut self, transaction: Transaction) -> Result<Committed> {
        if !transaction
            .when
            .iter()
            .all(|compare| self.is_satisfied(compare))
        {
            let found = transaction
                .otherwise
                .iter()
                .filter_map(|key| self.entries.get(key).cloned())
                .collect();
            return Ok(Committed::No(found));
        }
        self.validate(&transaction.then)?;
        let next_revision = self.revision + 1;
        for write in transaction.then {
            match write {
                Write::Put { key, value, lease } => self.put(next_revision, key, value, lease),
                Write::Delete(key) => self.delete(next_revision, &key),
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

    /// Renews a lease and returns its time to live, or zero if it has expired.
    pub(super) fn renew(&mut self, lease: Lease, now: Instant) -> Millis {
        let Some(grant) = self.leases.get_mut(&lease.0) else {
            return Millis(0);
        };
        grant.expires = now + grant.ttl;
        grant.ttl
    }

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// Returns an error if the lease is unknown.
    pub(super) fn revoke(&mut self, lease: Lease) -> Result<()> {
        if self.leases.remove(&lease.0).is_none() {
            return Err(Error::refused("revoke", PEER, "the lease is not known"));
        }
        let bound_keys: Vec<CompactString> = self
            .entries
            .values()
            .filter(|entry| entry.lease == Some(lease))
            .map(|entry| entry.key.clone())
            .collect();
        let next_revision = self.revision + 1;
        for key in bound_keys {
            self.delete(next_revision, &key);
        }
        Ok(())
    }

    /// Ends every lease that has expired by `now`.
    pub(super) fn expire(&mut self, now: Instant) {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, grant)| grant.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            // The lease was found just above, so its revocation cannot fail.
            let _ = self.revoke(Lease(id));
        }
    }

    /// Gets the time at which the next lease expires.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|grant| grant.expires).min()
    }

    /// Gets the position in the history of the first change at or after a revision; revision 0
    /// stands for the end of the history.
    pub(super) fn position_from(&self, from: u64) -> usize {
        if from == 0 {
            return self.history.len();
        }
        self.history
            .partition_point(|(revision, _)| *revision < from)
    }

    /// Gets the changes to keys with a prefix, from a position in the history on.
    pub(super) fn changes_since(&self, position: usize, prefix: &str) -> Vec<(u64, Change)> {
        self.history[position..]
            .iter()
            .filter(|(_, change)| changed_key(change).starts_with(prefix))
            .cloned()
            .collect()
    }

    fn visible_entries(&self) -> &BTreeMap<CompactString, Entry> {
        self.frozen.as_ref().unwrap_or(&self.entries)
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
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

    fn validate(&self, writes: &[Write]) -> Result<()> {
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

fn changed_key(change: &Change) -> &str {
    match change {
        Change::Put(entry) => &entry.key,
        Change::Delete(key, _) => key,
    }
}
