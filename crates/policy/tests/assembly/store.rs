//! Simulated store of registrations that may be away, forget its history or come back from a copy.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;
use jackdaw_core::backend::Server;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

/// Time without a heartbeat after which an entry is removed.
const TTL: Millis = Millis(3_600);
/// Age up to which copies are kept.
const COPY_MEMORY: Millis = Millis(20_000);
/// Time between two copies.
const COPY_INTERVAL: Millis = Millis(200);

/// Servers with the revisions at which they were written.
type Entries = BTreeMap<CompactString, (u64, Server)>;

/// A change of an entry; the state is `None` once the entry is removed.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) revision: u64,
    pub(crate) server: CompactString,
    pub(crate) state: Option<Server>,
}

/// Answer to a call for changes.
#[derive(Debug)]
pub(crate) enum Update {
    Snapshot(Vec<(u64, Server)>, u64),
    Changes(Vec<Change>, u64),
}

#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) era: u64,
    pub(crate) away_since: Option<Instant>,
    entries: Entries,
    heartbeats: BTreeMap<CompactString, Instant>,
    changes: Vec<Change>,
    /// Revision before the first change that the store still has.
    compacted: u64,
    copies: VecDeque<(Instant, Entries)>,
}

impl Store {
    fn revision(&self) -> u64 {
        self.compacted + self.changes.len() as u64
    }

    fn change(&mut self, server: CompactString, state: Option<Server>) {
        let revision = self.revision() + 1;
        match &state {
            Some(state) => {
                let entry = (revision, state.clone());
                self.entries.insert(server.clone(), entry);
            }
            None => {
                self.entries.remove(&server);
            }
        }
        self.changes.push(Change {
            revision,
            server,
            state,
        });
    }

    /// Writes a server's entry, at a heartbeat or a change.
    pub(crate) fn write(&mut self, server: Server, now: Instant) {
        self.heartbeats.insert(server.id.clone(), now);
        self.change(server.id.clone(), Some(server));
    }

    /// Removes entries without heartbeats and keeps a copy from time to time.
    pub(crate) fn advance(&mut self, now: Instant) {
        if self.away_since.is_some() {
            return;
        }
        let is_due = |at: &Instant| now.since(*at) >= TTL;
        let lapsed: Vec<CompactString> = self
            .entries
            .keys()
            .filter(|id| self.heartbeats.get(*id).is_none_or(is_due))
            .cloned()
            .collect();
        for id in lapsed {
            self.change(id, None);
        }
        let last = self.copies.back().map(|(at, _)| *at);
        if last.is_none_or(|last| now.since(last) >= COPY_INTERVAL) {
            self.copies.push_back((now, self.entries.clone()));
            self.copies.retain(|(at, _)| now.since(*at) < COPY_MEMORY);
        }
    }

    /// Ends an outage in which the leases of a number of servers ran out, the last ones by name.
    pub(crate) fn return_without(&mut self, lapsed: usize, now: Instant) {
        let since = self.away_since.take().unwrap_or(now);
        for at in self.heartbeats.values_mut() {
            *at = *at + now.since(since);
        }
        let ids: Vec<CompactString> = self.entries.keys().rev().take(lapsed).cloned().collect();
        for id in ids {
            self.change(id, None);
        }
    }

    /// Forgets all changes.
    pub(crate) fn compact(&mut self) {
        self.compacted = self.revision() + 1;
        self.changes.clear();
    }

    /// Replaces all entries by those of a copy of some age.
    pub(crate) fn restore(&mut self, age: Millis, now: Instant) {
        self.away_since = None;
        self.entries = self.copy(age, now);
        self.heartbeats = self.entries.keys().map(|id| (id.clone(), now)).collect();
        self.era += 1;
        self.compact();
        let restored_at = now;
        self.copies.retain(|(at, _)| *at + age <= restored_at);
    }

    /// Returns the entries as they were some time ago.
    fn copy(&self, age: Millis, now: Instant) -> Entries {
        let mut copies = self.copies.iter().rev();
        let copy = copies.find(|(at, _)| now.since(*at) >= age);
        copy.or(self.copies.front())
            .map(|(_, entries)| entries.clone())
            .unwrap_or_default()
    }

    /// Returns all entries as they were some time ago.
    pub(crate) fn read_old(&self, age: Millis, now: Instant) -> Vec<(u64, Server)> {
        self.copy(age, now).into_values().collect()
    }

    /// Returns the changes after a revision, or all entries if the store no longer has the changes.
    pub(crate) fn read(&self, after: Option<u64>) -> Update {
        let revision = self.revision();
        match after {
            Some(after) if (self.compacted..=revision).contains(&after) => {
                let seen = (after - self.compacted) as usize;
                Update::Changes(self.changes[seen..].to_vec(), revision)
            }
            Some(_) | None => Update::Snapshot(self.entries.values().cloned().collect(), revision),
        }
    }
}
