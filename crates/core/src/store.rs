//! The platform's key-value service behind a trait.

use async_trait::async_trait;
use compact_str::CompactString;

use crate::errors::Result;
use crate::units::Millis;

/// Bits of a revision below those of its era.
const NUMBER_BITS: u32 = 40;

/// History of a store since it was created or came back from a copy.
///
/// A store that comes back from a copy gives out numbers of revisions a second time. So all revisions
/// above a store's client hold the era in their upper bits: no two are the same, and those of a later
/// era are higher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(pub u64);

impl Era {
    /// Returns the era in which a revision was given out.
    #[must_use]
    pub fn of(revision: u64) -> Era {
        Era(revision >> NUMBER_BITS)
    }

    /// Returns the revision that the store calls by a number in this era.
    #[must_use]
    pub fn with(self, number: u64) -> u64 {
        (self.0 << NUMBER_BITS) | (number & ((1 << NUMBER_BITS) - 1))
    }

    /// Returns the number by which the store calls a revision.
    #[must_use]
    pub fn number(revision: u64) -> u64 {
        revision & ((1 << NUMBER_BITS) - 1)
    }
}

/// What a store's client knows of the store's era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EraReport {
    /// Latest era that an answer stated.
    pub era: Era,
    /// Number of answers that did not state their era, although others did.
    pub unstated: u64,
}

/// Identifies a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease(pub i64);

/// A stored value with the revisions at which it was created and last changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: CompactString,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the service at which the key was created.
    pub create_revision: u64,
    /// Revision of the service at which the key was last changed.
    pub mod_revision: u64,
    /// Lease that the key is bound to.
    pub lease: Option<Lease>,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent(CompactString),
    /// The key was last changed at a revision.
    ModRevision(CompactString, u64),
    /// The key was created at a revision.
    CreateRevision(CompactString, u64),
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Sets a key.
    Put {
        /// Key.
        key: CompactString,
        /// Value.
        value: Vec<u8>,
        /// Lease that the key is bound to.
        lease: Option<Lease>,
    },
    /// Deletes a key.
    Delete(CompactString),
}

/// Writes that are applied atomically if every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Conditions.
    pub when: Vec<Compare>,
    /// Writes if all conditions hold.
    pub then: Vec<Write>,
    /// Keys read if a condition fails.
    pub otherwise: Vec<CompactString>,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Committed {
    /// All conditions held; the writes were applied at this revision of the service.
    Yes(u64),
    /// A condition failed; holds the entries that were read, without absent keys.
    No(Vec<Entry>),
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was set.
    Put(Entry),
    /// A key was deleted at a revision.
    Delete(CompactString, u64),
}

/// A watch on keys. It ends when the connection is lost; the keys then have to be read again and a
/// new watch set up.
#[async_trait]
pub trait Watch: Send {
    /// Waits for the next changes; `None` means that the watch has ended.
    async fn next(&mut self) -> Option<Vec<Change>>;
}

/// The key-value service.
#[async_trait]
pub trait Store: Send + Sync {
    /// Gets one entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer.
    async fn get(&self, key: &str) -> Result<Option<Entry>>;

    /// Gets all entries whose keys begin with a prefix.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer.
    async fn list(&self, prefix: &str) -> Result<Vec<Entry>>;

    /// Carries out a transaction.
    ///
    /// # Errors
    ///
    /// Returns `Indeterminate` if the writes may have been applied, and `Unreachable` if nothing
    /// was sent.
    async fn commit(&self, transaction: Transaction) -> Result<Committed>;

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer.
    async fn grant(&self, ttl: Millis) -> Result<Lease>;

    /// Renews a lease and returns its remaining time, or zero if it has expired.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer.
    async fn renew(&self, lease: Lease) -> Result<Millis>;

    /// Revokes a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer.
    async fn revoke(&self, lease: Lease) -> Result<()>;

    /// Watches all keys with a prefix, from a revision of the service on; zero means from now.
    ///
    /// # Errors
    ///
    /// Returns an error if the watch cannot be set up.
    async fn watch(&self, prefix: &str, from: u64) -> Result<Box<dyn Watch>>;
}
