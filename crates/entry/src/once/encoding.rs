//! Converts record writes to transactions of the key-value service, and their results to events.

use compact_str::CompactString;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Committed, Compare, Entry, Lease, Transaction};
use jackdaw_policy::once::{Condition, Event, Record, StoredRecord, Write, record_key};

/// Encodes a write as a transaction that binds the record's key to a lease.
///
/// # Errors
///
/// Returns an error if the record cannot be encoded.
pub(super) fn encode_write(write: &Write, lease: Lease) -> Result<Transaction> {
    let key = record_key(&write.record.team, &write.record.key);
    let value = serde_json::to_vec(&write.record)
        .map_err(|error| Error::malformed("encode record", "self", error))?;
    Ok(Transaction {
        when: vec![encode_condition(&key, write.condition)],
        then: vec![jackdaw_core::store::Write::Put {
            key: key.clone(),
            value,
            lease: Some(lease),
        }],
        otherwise: vec![key],
    })
}

/// Converts the result of a transaction to an event.
pub(super) fn decode_answer(answer: Result<Committed>) -> Event {
    match answer {
        Ok(Committed::Yes(revision)) => Event::Written(revision),
        Ok(Committed::No(found)) => decode_record(found),
        Err(Error::Unreachable { .. }) => Event::Unsent,
        Err(Error::Refused { .. }) => Event::Rejected,
        Err(Error::Indeterminate { .. } | Error::Malformed { .. }) => Event::Lost,
    }
}

fn encode_condition(key: &CompactString, condition: Condition) -> Compare {
    match condition {
        Condition::Absent => Compare::Absent(key.clone()),
        Condition::Unchanged(revision) => Compare::ModRevision(key.clone(), revision),
    }
}

/// Decodes the record that prevented a write.
fn decode_record(found: Vec<Entry>) -> Event {
    let Some(entry) = found.into_iter().next() else {
        return Event::Found(None);
    };
    match serde_json::from_slice::<Record>(&entry.value) {
        Ok(record) => Event::Found(Some(StoredRecord {
            record,
            revision: entry.mod_revision,
        })),
        // A record in an unknown format may belong to a call that ran, so this one does not run.
        Err(_) => Event::Rejected,
    }
}
