//! Accepts release notes and reads catalogue and records in the key-value service.

use std::sync::Arc;

use compact_str::{CompactString, format_compact};
use jackdaw_core::catalog::Catalog;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Committed, Compare, Entry, Store, Transaction, Write};
use jackdaw_core::units::Revision;
use jackdaw_policy::release::Record;
use jackdaw_policy::release::accept::{Action, Attempt, Commit, Event, StoredCatalog, Verdict};
use jackdaw_policy::release::register::Restore;

/// Key of the catalogue in the key-value service.
pub const CATALOG_KEY: &str = "/jackdaw/catalog";

/// Prefix of the keys of accepted notes.
pub const NOTES_PREFIX: &str = "/jackdaw/notes/";

/// Maximum number of records that one call reads.
pub const MAX_RECORDS_READ: u64 = 50;

/// A verdict with the catalogue that this attempt committed.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// The verdict.
    pub verdict: Verdict,
    /// The catalogue with the note's changes, if this attempt committed it.
    pub catalog: Option<Catalog>,
}

/// Tries to accept a note and returns the verdict.
pub async fn accept(store: &dyn Store, mut attempt: Attempt) -> Accepted {
    let mut action = attempt.start();
    let mut catalog = None;
    loop {
        let event = match action {
            Action::Finish(verdict) => {
                let is_own_commit = matches!(
                    verdict,
                    Verdict::Accepted {
                        repeated: false,
                        ..
                    }
                );
                let catalog = catalog.filter(|_| is_own_commit);
                return Accepted { verdict, catalog };
            }
            Action::Commit(commit) => {
                catalog = Some(commit.catalog.clone());
                commit_note(store, &commit).await
            }
            Action::ReadCatalog => read_catalog(store).await.map(Event::Catalog),
            Action::ReadRecord(revision) => read_record(store, revision).await.map(Event::Record),
            Action::ReadSince(from) => read_since(store, from).await.map(Event::Records),
        };
        action = attempt.step(event.unwrap_or_else(Event::Failed));
    }
}

/// Reads the catalogue.
///
/// # Errors
///
/// Returns an error if the service does not answer or holds something else.
pub async fn read_catalog(store: &dyn Store) -> Result<Option<StoredCatalog>> {
    let entry = store.get(CATALOG_KEY).await?;
    entry.as_ref().map(parse_catalog).transpose()
}

/// Reads the record of the note accepted at a revision.
///
/// # Errors
///
/// Returns an error if the service does not answer or holds something else.
pub async fn read_record(store: &dyn Store, revision: Revision) -> Result<Option<Record>> {
    let entry = store.get(&note_key(revision)).await?;
    entry.as_ref().map(parse_record).transpose()
}

/// Reads records from a revision on, at most [`MAX_RECORDS_READ`], up to the first absent one.
///
/// # Errors
///
/// Returns an error if the service does not answer or holds something else.
pub async fn read_since(store: &dyn Store, from: Revision) -> Result<Vec<Record>> {
    let mut records = Vec::new();
    for revision in from.0..from.0 + MAX_RECORDS_READ {
        let Some(record) = read_record(store, Revision(revision)).await? else {
            break;
        };
        records.push(record);
    }
    Ok(records)
}

/// Writes the catalogue in force back to a service that has fallen behind.
///
/// # Errors
///
/// Returns an error if the service does not answer. A failed condition is not an error, because
/// the service was then not behind.
pub async fn restore(store: &dyn Store, restore: &Restore) -> Result<Committed> {
    let transaction = Transaction {
        when: vec![expect_catalog(restore.expected)],
        then: vec![put_json(CATALOG_KEY.into(), restore.catalog.as_ref())?],
        otherwise: Vec::new(),
    };
    store.commit(transaction).await
}

/// Parses the value of the catalogue's key.
///
/// # Errors
///
/// Returns `Malformed` if the value is not a catalogue.
pub fn parse_catalog(entry: &Entry) -> Result<StoredCatalog> {
    Ok(StoredCatalog {
        catalog: parse_json(entry)?,
        mod_revision: entry.mod_revision,
    })
}

fn parse_record(entry: &Entry) -> Result<Record> {
    parse_json(entry)
}

fn parse_json<T: serde::de::DeserializeOwned>(entry: &Entry) -> Result<T> {
    serde_json::from_slice(&entry.value)
        .map_err(|error| Error::malformed("read release", "key-value service", error))
}

/// Returns the key of the note accepted at a revision.
#[must_use]
pub fn note_key(revision: Revision) -> CompactString {
    format_compact!("{NOTES_PREFIX}{:010}", revision.0)
}

fn expect_catalog(mod_revision: Option<u64>) -> Compare {
    match mod_revision {
        Some(revision) => Compare::ModRevision(CATALOG_KEY.into(), revision),
        None => Compare::Absent(CATALOG_KEY.into()),
    }
}

fn put_json<T: serde::Serialize>(key: CompactString, value: &T) -> Result<Write> {
    let value = serde_json::to_vec(value)
        .map_err(|error| Error::malformed("write release", "self", error))?;
    Ok(Write::Put {
        key,
        value,
        lease: None,
    })
}

async fn commit_note(store: &dyn Store, commit: &Commit) -> Result<Event> {
    let record_key = note_key(commit.record.revision);
    let mut then = vec![
        put_json(CATALOG_KEY.into(), &commit.catalog)?,
        put_json(record_key.clone(), &commit.record)?,
    ];
    then.extend(
        commit
            .pruned
            .map(|revision| Write::Delete(note_key(revision))),
    );
    let transaction = Transaction {
        when: vec![expect_catalog(commit.expected)],
        then,
        otherwise: vec![CATALOG_KEY.into(), record_key],
    };
    match store.commit(transaction).await? {
        Committed::Yes(_) => Ok(Event::Committed),
        Committed::No(entries) => parse_outdated(&entries),
    }
}

fn parse_outdated(entries: &[Entry]) -> Result<Event> {
    let catalog = entries.iter().find(|entry| entry.key == CATALOG_KEY);
    let record = entries
        .iter()
        .find(|entry| entry.key.starts_with(NOTES_PREFIX));
    Ok(Event::Outdated {
        catalog: catalog.map(parse_catalog).transpose()?,
        record: record.map(parse_record).transpose()?,
    })
}

/// Reads up to `count` of the last records, at most [`MAX_RECORDS_READ`], newest first.
///
/// # Errors
///
/// Returns an error if the service does not answer or holds something else.
pub async fn history(store: Arc<dyn Store>, newest: Revision, count: u64) -> Result<Vec<Record>> {
    let mut records = Vec::new();
    let oldest = newest.0.saturating_sub(count.min(MAX_RECORDS_READ)) + 1;
    for revision in (oldest..=newest.0).rev() {
        let Some(record) = read_record(store.as_ref(), Revision(revision)).await? else {
            break;
        };
        records.push(record);
    }
    Ok(records)
}
