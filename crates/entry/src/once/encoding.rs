//! Translation between records and transactions of the key-value service.

use compact_str::CompactString;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Committed, Compare, Entry, Lease, Transaction};
use jackdaw_policy::once::{Condition, Event, Record, StoredRecord, Write, record_key};

/// Creates the transaction of a write, whose key it binds to a lease.
///
/// # Errors
///
/// Returns an error if the record cannot be encoded.
pub(super) fn transaction(write: &Write, lease: Lease) -> Result<Transaction> {
    let key = record_key(&write.record.team, &write.record.key);
    let value = serde_json::to_vec(&write.record)
        .map_err(|error| Error::malformed("encode record", "self", error))?;
    Ok(Transaction {
        when: vec![compare(&key, write.condition)],
        then: vec![jackdaw_core::store::Write::Put {
            key: key.clone(),
            value,
            lease: Some(lease),
        }],
        otherwise: vec![key],
    })
}

/// Reads how a transaction ended.
pub(super) fn event(answer: Result<Committed>) -> Event {
    match answer {
        Ok(Committed::Yes(revision)) => Event::Written(revision),
        Ok(Committed::No(found)) => read(found),
        Err(Error::Unreachable { .. }) => Event::Unsent,
        Err(Error::Refused { .. }) => Event::Rejected,
        Err(Error::Indeterminate { .. } | Error::Malformed { .. }) => Event::Lost,
    }
}

fn compare(key: &CompactString, when: Condition) -> Compare {
    match when {
        Condition::Absent => Compare::Absent(key.clone()),
        Condition::Unchanged(revision) => Compare::ModRevision(key.clone(), revision),
    }
}

/// Reads the record that stands in the way of a write.
fn read(found: Vec<Entry>) -> Event {
    let Some(entry) = found.into_iter().next() else {
        return Event::Found(None);
    };
    match serde_json::from_slice::<Record>(&entry.value) {
        Ok(record) => Event::Found(Some(StoredRecord {
            record,
            revision: entry.mod_revision,
        })),
        // A record of another format may stand for a call that ran, so this one does not run.
        Err(_) => Event::Rejected,
    }
}
