//! A store in memory that tests write to, take away and bring back from copies.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use async_trait::async_trait;
use compact_str::CompactString;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::protocol::{ChangeFeed, Changes, Page};
use jackdaw_core::store::{
    Change, Committed, Compare, Entry, Era, EraReport, Lease, Store, Transaction, Watch, Write,
};
use jackdaw_core::units::Millis;
use tokio::sync::watch;

/// Largest number of changes in one answer of the store.
pub(crate) const MAX_CHANGES: usize = 500;

/// Store in memory that tests write to.
pub(crate) struct MemoryStore {
    state: Mutex<State>,
    /// Notified of each revision, and when the store becomes unavailable or available.
    changed: watch::Sender<u64>,
}

/// A copy of a store's entries.
#[derive(Clone, Default)]
pub(crate) struct Copy {
    revision: u64,
    entries: BTreeMap<CompactString, Entry>,
}

#[derive(Default)]
struct State {
    era: Era,
    revision: u64,
    /// Number of leases that were granted.
    granted: u64,
    entries: BTreeMap<CompactString, Entry>,
    changes: Vec<Change>,
    unavailable: bool,
    revoked: bool,
}

impl State {
    /// Returns the current revision with its era.
    fn current(&self) -> u64 {
        self.era.with(self.revision)
    }

    /// Sets an entry at the current revision.
    fn insert(&mut self, key: CompactString, value: Vec<u8>, lease: Option<Lease>) {
        let before = self.entries.get(&key);
        let entry = Entry {
            create_revision: before.map_or(self.current(), |entry| entry.create_revision),
            mod_revision: self.current(),
            key: key.clone(),
            value,
            lease,
        };
        self.entries.insert(key, entry.clone());
        self.changes.push(Change::Put(entry));
    }

    /// Deletes the entries whose leases have ended.
    fn end_leases(&mut self, has_ended: impl Fn(Lease) -> bool) {
        let entries = self.entries.values();
        let ended: Vec<CompactString> = entries
            .filter(|entry| entry.lease.is_some_and(&has_ended))
            .map(|entry| entry.key.clone())
            .collect();
        for key in ended {
            self.revision += 1;
            self.remove(&key);
        }
    }

    /// Deletes an entry at the current revision.
    fn remove(&mut self, key: &str) {
        self.entries.remove(key);
        self.changes
            .push(Change::Delete(key.into(), self.current()));
    }

    fn holds(&self, condition: &Compare) -> bool {
        match condition {
            Compare::Absent(key) => !self.entries.contains_key(key),
            Compare::ModRevision(key, revision) => self
                .entries
                .get(key)
                .is_some_and(|entry| entry.mod_revision == *revision),
            Compare::CreateRevision(key, revision) => self
                .entries
                .get(key)
                .is_some_and(|entry| entry.create_revision == *revision),
        }
    }

    fn check(&self, step: &'static str) -> Result<()> {
        if self.unavailable {
            return Err(Error::unreachable(step, "store", "unavailable"));
        }
        Ok(())
    }
}

fn revision(change: &Change) -> u64 {
    match change {
        Change::Put(entry) => entry.mod_revision,
        Change::Delete(_, revision) => *revision,
    }
}

impl MemoryStore {
    pub(crate) fn new() -> Self {
        MemoryStore {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no test panicked")
    }

    /// Writes an entry.
    pub(crate) fn put(&self, key: &str, value: &str) {
        let mut state = self.state();
        state.revision += 1;
        state.insert(key.into(), value.into(), None);
        self.changed.send_replace(state.revision);
    }

    /// Deletes an entry.
    pub(crate) fn delete(&self, key: &str) {
        let mut state = self.state();
        state.revision += 1;
        state.remove(key);
        self.changed.send_replace(state.revision);
    }

    /// Returns a copy of all entries.
    pub(crate) fn copy(&self) -> Copy {
        let state = self.state();
        Copy {
            revision: state.revision,
            entries: state.entries.clone(),
        }
    }

    /// Comes back from a copy in the next era: what was written since is gone, and its revisions are
    /// given out again.
    pub(crate) fn restore(&self, copy: &Copy) {
        let mut state = self.state();
        let era = Era(state.era.0 + 1);
        let rename = |revision: u64| era.with(Era::number(revision));
        state.era = era;
        state.revision = copy.revision;
        state.changes.clear();
        state.entries = copy.entries.clone();
        for entry in state.entries.values_mut() {
            entry.create_revision = rename(entry.create_revision);
            entry.mod_revision = rename(entry.mod_revision);
        }
        self.changed.send_modify(|_| {});
    }

    /// Ends the leases of earlier eras, which nobody renews.
    pub(crate) fn end_earlier_leases(&self) {
        let mut state = self.state();
        let era = state.era;
        state.end_leases(|lease| Era::of(lease.0 as u64) < era);
        self.changed.send_replace(state.revision);
    }

    /// Returns an entry.
    pub(crate) fn entry(&self, key: &str) -> Option<Entry> {
        self.state().entries.get(key).cloned()
    }

    /// Returns whether an entry's key begins with a prefix.
    pub(crate) fn has_prefix(&self, prefix: &str) -> bool {
        let state = self.state();
        state.entries.keys().any(|key| key.starts_with(prefix))
    }

    /// Returns whether a lease was revoked.
    pub(crate) fn has_revoked(&self) -> bool {
        self.state().revoked
    }

    /// Makes the store fail all calls, or answer them again.
    pub(crate) fn set_unavailable(&self, unavailable: bool) {
        let mut state = self.state();
        state.unavailable = unavailable;
        self.changed.send_replace(state.revision);
    }

    /// Returns the changes after a revision, or none if there are no changes yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is unavailable.
    fn changes_since(&self, prefix: &str, after: u64) -> Result<Option<Changes>> {
        let state = self.state();
        state.check("watch")?;
        if Era::of(after) != state.era {
            return Ok(Some(Changes::Compacted));
        }
        let is_relevant = |change: &&Change| {
            let key = match change {
                Change::Put(entry) => &entry.key,
                Change::Delete(key, _) => key,
            };
            revision(change) > after && key.starts_with(prefix)
        };
        let mut changes: Vec<Change> = state.changes.iter().filter(is_relevant).cloned().collect();
        let mut until = state.current();
        if changes.len() > MAX_CHANGES {
            changes.truncate(MAX_CHANGES);
            until = changes.last().map_or(until, revision);
        }
        Ok((!changes.is_empty()).then_some(Changes::Some(changes, until)))
    }
}

#[async_trait]
impl ChangeFeed for MemoryStore {
    fn era(&self) -> EraReport {
        EraReport {
            era: self.state().era,
            unstated: 0,
        }
    }

    async fn page(&self, prefix: &str, _: Option<&str>) -> Result<Page> {
        let state = self.state();
        state.check("list")?;
        let entries = state.entries.values();
        let entries: Vec<Entry> = entries
            .filter(|entry| entry.key.starts_with(prefix))
            .cloned()
            .collect();
        Ok(Page {
            last: entries.last().map(|entry| entry.key.clone()),
            entries,
            more: false,
            revision: state.current(),
        })
    }

    async fn changes(&self, prefix: &str, after: u64, wait: Millis) -> Result<Changes> {
        let mut changed = self.changed.subscribe();
        let update = async {
            loop {
                if let Some(changes) = self.changes_since(prefix, after)? {
                    return Ok(changes);
                }
                changed
                    .changed()
                    .await
                    .map_err(|error| Error::unreachable("watch", "store", error))?;
            }
        };
        let no_changes = || Ok(Changes::Some(Vec::new(), after));
        let waited = tokio::time::timeout(wait.duration(), update).await;
        waited.unwrap_or_else(|_| no_changes())
    }
}

#[async_trait]
impl Store for MemoryStore {
    async fn get(&self, _: &str) -> Result<Option<Entry>> {
        Ok(None)
    }
    async fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        Ok(self.page(prefix, None).await?.entries)
    }
    async fn commit(&self, transaction: Transaction) -> Result<Committed> {
        let mut state = self.state();
        state.check("commit")?;
        if !transaction
            .when
            .iter()
            .all(|condition| state.holds(condition))
        {
            let keys = transaction.otherwise.iter();
            let entries = keys.filter_map(|key| state.entries.get(key)).cloned();
            return Ok(Committed::No(entries.collect()));
        }
        state.revision += 1;
        for write in transaction.then {
            match write {
                Write::Put { key, value, lease } => state.insert(key, value, lease),
                Write::Delete(key) => state.remove(&key),
            }
        }
        self.changed.send_replace(state.revision);
        Ok(Committed::Yes(state.current()))
    }
    async fn grant(&self, _: Millis) -> Result<Lease> {
        let mut state = self.state();
        state.granted += 1;
        Ok(Lease(state.era.with(state.granted) as i64))
    }
    async fn renew(&self, lease: Lease) -> Result<Millis> {
        let is_known = Era::of(lease.0 as u64) == self.state().era;
        Ok(Millis(if is_known { 10_000 } else { 0 }))
    }
    async fn revoke(&self, lease: Lease) -> Result<()> {
        let mut state = self.state();
        state.revoked = true;
        state.end_leases(|ended| ended == lease);
        self.changed.send_replace(state.revision);
        Ok(())
    }
    async fn watch(&self, prefix: &str, _: u64) -> Result<Box<dyn Watch>> {
        Err(Error::refused("watch", prefix, "not used"))
    }
}

/// One node's connection to the store.
pub(crate) struct Feed {
    store: Arc<MemoryStore>,
    /// Whether calls that wait for changes hear of none until their wait ends, although their
    /// connection lives; the store has compacted its history then.
    pub(crate) is_deaf: AtomicBool,
    /// Whether calls fail.
    pub(crate) is_cut: AtomicBool,
}

impl Feed {
    pub(crate) fn new(store: &Arc<MemoryStore>) -> Arc<Feed> {
        Arc::new(Feed {
            store: Arc::clone(store),
            is_deaf: AtomicBool::new(false),
            is_cut: AtomicBool::new(false),
        })
    }

    fn check(&self, step: &'static str) -> Result<()> {
        if self.is_cut.load(Ordering::SeqCst) {
            return Err(Error::unreachable(step, "store", "cut off"));
        }
        Ok(())
    }
}

#[async_trait]
impl ChangeFeed for Feed {
    fn era(&self) -> EraReport {
        self.store.era()
    }

    async fn page(&self, prefix: &str, after: Option<&str>) -> Result<Page> {
        self.check("list")?;
        self.store.page(prefix, after).await
    }

    async fn changes(&self, prefix: &str, after: u64, wait: Millis) -> Result<Changes> {
        self.check("watch")?;
        let started = tokio::time::Instant::now();
        let changes = self.store.changes(prefix, after, wait).await?;
        if !self.is_deaf.load(Ordering::SeqCst) {
            return Ok(changes);
        }
        tokio::time::sleep(wait.duration().saturating_sub(started.elapsed())).await;
        Ok(match changes {
            Changes::Some(changes, _) if changes.is_empty() => Changes::Some(changes, after),
            Changes::Some(..) | Changes::Compacted => Changes::Compacted,
        })
    }
}
