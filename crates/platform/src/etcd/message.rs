//! Translation between the store's types and the published messages.

use compact_str::CompactString;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Change, Committed, Compare, Entry, Lease, Transaction, Write};
use jackdaw_core::units::Millis;
use jackdaw_wire::etcdserverpb as proto;
use jackdaw_wire::etcdserverpb::compare::{CompareResult, CompareTarget, TargetUnion};
use jackdaw_wire::etcdserverpb::request_op::Request;
use jackdaw_wire::etcdserverpb::response_op::Response;
use jackdaw_wire::etcdserverpb::watch_request::RequestUnion;
use jackdaw_wire::mvccpb;
use jackdaw_wire::mvccpb::event::EventType;

/// Milliseconds of one second.
const MILLIS_PER_SECOND: u64 = 1_000;

/// Creates a request for one key.
pub(super) fn one(key: &str) -> proto::RangeRequest {
    proto::RangeRequest {
        key: key.into(),
        ..proto::RangeRequest::default()
    }
}

/// Creates a request for all keys with a prefix.
pub(super) fn prefix(prefix: &str) -> proto::RangeRequest {
    let (key, range_end) = range(prefix);
    proto::RangeRequest {
        key,
        range_end,
        ..proto::RangeRequest::default()
    }
}

/// Creates the message that sets a watch up.
pub(super) fn watch(prefix: &str, from: u64) -> proto::WatchRequest {
    let (key, range_end) = range(prefix);
    let create = proto::WatchCreateRequest {
        key,
        range_end,
        start_revision: signed(from),
    };
    proto::WatchRequest {
        request_union: Some(RequestUnion::CreateRequest(create)),
    }
}

/// Gets the first key of a prefix and the first key after it.
fn range(prefix: &str) -> (Vec<u8>, Vec<u8>) {
    if prefix.is_empty() {
        // These two stand for the whole key space.
        return (vec![0], vec![0]);
    }
    let mut end = prefix.as_bytes().to_vec();
    // Keys are UTF-8, whose bytes never reach the largest value, so adding one cannot overflow.
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    (prefix.into(), end)
}

/// Creates a transaction.
pub(super) fn transaction(transaction: Transaction) -> proto::TxnRequest {
    let reads = transaction
        .otherwise
        .iter()
        .map(|key| Request::RequestRange(one(key)));
    proto::TxnRequest {
        compare: transaction.when.into_iter().map(compare).collect(),
        success: transaction.then.into_iter().map(write).map(step).collect(),
        failure: reads.map(step).collect(),
    }
}

fn step(request: Request) -> proto::RequestOp {
    proto::RequestOp {
        request: Some(request),
    }
}

fn compare(compare: Compare) -> proto::Compare {
    let (key, target, union) = match compare {
        // A key that does not exist has the creation revision zero.
        Compare::Absent(key) => (key, CompareTarget::Create, TargetUnion::CreateRevision(0)),
        Compare::CreateRevision(key, revision) => (
            key,
            CompareTarget::Create,
            TargetUnion::CreateRevision(signed(revision)),
        ),
        Compare::ModRevision(key, revision) => (
            key,
            CompareTarget::Mod,
            TargetUnion::ModRevision(signed(revision)),
        ),
    };
    proto::Compare {
        result: CompareResult::Equal.into(),
        target: target.into(),
        key: key.as_bytes().to_vec(),
        target_union: Some(union),
    }
}

fn write(write: Write) -> Request {
    match write {
        Write::Put { key, value, lease } => Request::RequestPut(proto::PutRequest {
            key: key.as_bytes().to_vec(),
            value,
            lease: lease.map_or(0, |lease| lease.0),
        }),
        Write::Delete(key) => Request::RequestDeleteRange(proto::DeleteRangeRequest {
            key: key.as_bytes().to_vec(),
            range_end: Vec::new(),
        }),
    }
}

/// Reads the answer to a transaction.
///
/// # Errors
///
/// Returns `Indeterminate` if the answer cannot be understood, since the writes may have happened.
pub(super) fn committed(step: &'static str, answer: proto::TxnResponse) -> Result<Committed> {
    const PEER: &str = "key-value service";
    if answer.succeeded {
        let header = answer
            .header
            .ok_or_else(|| Error::indeterminate(step, PEER, "the answer has no head"))?;
        return Ok(Committed::Yes(unsigned(header.revision)));
    }
    let mut found = Vec::new();
    for operation in answer.responses {
        if let Some(Response::ResponseRange(range)) = operation.response {
            // No write happened, so a value that cannot be read is no lost answer.
            found.extend(entries(step, PEER, range.kvs)?);
        }
    }
    Ok(Committed::No(found))
}

/// Reads keys.
///
/// # Errors
///
/// Returns an error if a key is not UTF-8.
pub(super) fn entries(
    step: &'static str,
    peer: &str,
    pairs: Vec<mvccpb::KeyValue>,
) -> Result<Vec<Entry>> {
    let read = |pair| entry(pair).ok_or_else(|| Error::malformed(step, peer, "key is not UTF-8"));
    pairs.into_iter().map(read).collect()
}

/// Reads changes; `None` if one cannot be understood.
pub(super) fn changes(events: Vec<mvccpb::Event>) -> Option<Vec<Change>> {
    events.into_iter().map(change).collect()
}

fn change(event: mvccpb::Event) -> Option<Change> {
    let kind = event.r#type();
    let entry = entry(event.kv?)?;
    Some(match kind {
        EventType::Put => Change::Put(entry),
        EventType::Delete => Change::Delete(entry.key, entry.mod_revision),
    })
}

fn entry(pair: mvccpb::KeyValue) -> Option<Entry> {
    Some(Entry {
        key: CompactString::from_utf8(pair.key).ok()?,
        value: pair.value,
        create_revision: unsigned(pair.create_revision),
        mod_revision: unsigned(pair.mod_revision),
        lease: (pair.lease != 0).then_some(Lease(pair.lease)),
    })
}

/// Rounds a time to live up to the whole seconds that the service takes.
pub(super) fn seconds(ttl: Millis) -> i64 {
    signed(ttl.0.div_ceil(MILLIS_PER_SECOND))
}

/// Reads a remaining time.
pub(super) fn millis(seconds: i64) -> Millis {
    Millis::from_secs(unsigned(seconds))
}

fn signed(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

fn unsigned(number: i64) -> u64 {
    u64::try_from(number).unwrap_or_default()
}
