//! In-memory store with the operations that the records of calls need.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use async_trait::async_trait;
use compact_str::CompactString;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Committed, Compare, Entry, Lease, Store, Transaction, Watch, Write};
use jackdaw_core::units::Millis;

#[derive(Default)]
pub struct MemoryStore {
    entries: Mutex<HashMap<CompactString, Entry>>,
    /// Whether the store does not answer.
    pub down: AtomicBool,
}

impl MemoryStore {
    fn check_up(&self) -> Result<()> {
        if self.down.load(Ordering::SeqCst) {
            return Err(Error::unreachable("test", "store", "down"));
        }
        Ok(())
    }
}

fn unsupported<T>() -> Result<T> {
    Err(Error::refused("test", "store", "not part of this test"))
}

#[async_trait]
impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        self.check_up()?;
        Ok(self.entries.lock().expect("lock").get(key).cloned())
    }

    async fn list(&self, _: &str) -> Result<Vec<Entry>> {
        unsupported()
    }

    async fn commit(&self, transaction: Transaction) -> Result<Committed> {
        self.check_up()?;
        let mut entries = self.entries.lock().expect("lock");
        let holds = transaction.when.iter().all(|compare| match compare {
            Compare::Absent(key) => !entries.contains_key(key),
            Compare::ModRevision(key, revision) => entries
                .get(key)
                .is_some_and(|entry| entry.mod_revision == *revision),
            Compare::CreateRevision(..) => false,
        });
        if !holds {
            let found = transaction.otherwise.iter();
            return Ok(Committed::No(
                found.filter_map(|key| entries.get(key).cloned()).collect(),
            ));
        }
        let revision = entries.values().map(|entry| entry.mod_revision).max();
        let revision = revision.unwrap_or(0) + 1;
        for write in transaction.then {
            let Write::Put { key, value, lease } = write else {
                continue;
            };
            let entry = Entry {
                key: key.clone(),
                value,
                create_revision: revision,
                mod_revision: revision,
                lease,
            };
            entries.insert(key, entry);
        }
        Ok(Committed::Yes(revision))
    }

    async fn grant(&self, _: Millis) -> Result<Lease> {
        self.check_up()?;
        Ok(Lease(1))
    }

    async fn renew(&self, _: Lease) -> Result<Millis> {
        unsupported()
    }

    async fn revoke(&self, _: Lease) -> Result<()> {
        unsupported()
    }

    async fn watch(&self, _: &str, _: u64) -> Result<Box<dyn Watch>> {
        unsupported()
    }
}
