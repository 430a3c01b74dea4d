//! Conversion between the store's types and etcd messages.

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

/// Milliseconds in a second.
const MILLIS_PER_SECOND: u64 = 1_000;

/// Encodes a request to read one key.
pub(super) fn encode_get(key: &str) -> proto::RangeRequest {
    proto::RangeRequest {
        key: key.into(),
        ..proto::RangeRequest::default()
    }
}

/// Encodes a request to read all keys that have a prefix.
pub(super) fn encode_list(prefix: &str) -> proto::RangeRequest {
    let (key, range_end) = prefix_range(prefix);
    proto::RangeRequest {
        key,
        range_end,
        ..proto::RangeRequest::default()
    }
}

/// Encodes a request to watch a prefix, starting at revision `from`.
pub(super) fn encode_watch(prefix: &str, from: u64) -> proto::WatchRequest {
    let (key, range_end) = prefix_range(prefix);
    let create = proto::WatchCreateRequest {
        key,
        range_end,
        start_revision: saturate_i64(from),
    };
    proto::WatchRequest {
        request_union: Some(RequestUnion::CreateRequest(create)),
    }
}

/// Returns the half-open key range that covers a prefix: its start and its exclusive end.
fn prefix_range(prefix: &str) -> (Vec<u8>, Vec<u8>) {
    if prefix.is_empty() {
        // In etcd, this pair denotes the whole key space.
        return (vec![0], vec![0]);
    }
    let mut end = prefix.as_bytes().to_vec();
    // Keys are UTF-8, which never contains the byte 0xff, so the increment cannot overflow.
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    (prefix.into(), end)
}

/// Encodes a transaction.
pub(super) fn encode_transaction(transaction: Transaction) -> proto::TxnRequest {
    let reads = transaction
        .otherwise
        .iter()
        .map(|key| Request::RequestRange(encode_get(key)));
    proto::TxnRequest {
        compare: transaction.when.into_iter().map(encode_compare).collect(),
        success: transaction
            .then
            .into_iter()
            .map(encode_write)
            .map(encode_operation)
            .collect(),
        failure: reads.map(encode_operation).collect(),
    }
}

fn encode_operation(request: Request) -> proto::RequestOp {
    proto::RequestOp {
        request: Some(request),
    }
}

fn encode_compare(compare: Compare) -> proto::Compare {
    let (key, target, union) = match compare {
        // The creation revision of an absent key is zero.
        Compare::Absent(key) => (key, CompareTarget::Create, TargetUnion::CreateRevision(0)),
        Compare::CreateRevision(key, revision) => (
            key,
            CompareTarget::Create,
            TargetUnion::CreateRevision(saturate_i64(revision)),
        ),
        Compare::ModRevision(key, revision) => (
            key,
            CompareTarget::Mod,
            TargetUnion::ModRevision(saturate_i64(revision)),
        ),
    };
    proto::Compare {
        result: CompareResult::Equal.into(),
        target: target.into(),
        key: key.as_bytes().to_vec(),
        target_union: Some(union),
    }
}

fn encode_write(write: Write) -> Request {
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

/// Decodes the response to a transaction.
///
/// # Errors
///
/// Returns `Indeterminate` if the response to a successful transaction has no header, since the
/// writes have taken effect, and `Malformed` if a key that was read is not UTF-8.
pub(super) fn decode_committed(
    step: &'static str,
    response: proto::TxnResponse,
) -> Result<Committed> {
    const PEER: &str = "key-value service";
    if response.succeeded {
        let header = response
            .header
            .ok_or_else(|| Error::indeterminate(step, PEER, "the answer has no head"))?;
        return Ok(Committed::Yes(clamp_u64(header.revision)));
    }
    let mut found = Vec::new();
    for operation in response.responses {
        if let Some(Response::ResponseRange(range)) = operation.response {
            // Nothing was written, so a key that cannot be decoded is not indeterminate.
            found.extend(decode_entries(step, PEER, range.kvs)?);
        }
    }
    Ok(Committed::No(found))
}

/// Decodes key-value pairs.
///
/// # Errors
///
/// Returns `Malformed` if a key is not UTF-8.
pub(super) fn decode_entries(
    step: &'static str,
    peer: &str,
    pairs: Vec<mvccpb::KeyValue>,
) -> Result<Vec<Entry>> {
    let decode =
        |pair| decode_entry(pair).ok_or_else(|| Error::malformed(step, peer, "key is not UTF-8"));
    pairs.into_iter().map(decode).collect()
}

/// Decodes watch events; returns `None` if any of them cannot be decoded.
pub(super) fn decode_changes(events: Vec<mvccpb::Event>) -> Option<Vec<Change>> {
    events.into_iter().map(decode_change).collect()
}

fn decode_change(event: mvccpb::Event) -> Option<Change> {
    let kind = event.r#type();
    let entry = decode_entry(event.kv?)?;
    Some(match kind {
        EventType::Put => Change::Put(entry),
        EventType::Delete => Change::Delete(entry.key, entry.mod_revision),
    })
}

fn decode_entry(pair: mvccpb::KeyValue) -> Option<Entry> {
    Some(Entry {
        key: CompactString::from_utf8(pair.key).ok()?,
        value: pair.value,
        create_revision: clamp_u64(pair.create_revision),
        mod_revision: clamp_u64(pair.mod_revision),
        lease: (pair.lease != 0).then_some(Lease(pair.lease)),
    })
}

/// Encodes a time to live in seconds, rounded up because etcd accepts only whole seconds.
pub(super) fn encode_ttl(ttl: Millis) -> i64 {
    saturate_i64(ttl.0.div_ceil(MILLIS_PER_SECOND))
}

/// Decodes a time to live in seconds.
pub(super) fn decode_ttl(seconds: i64) -> Millis {
    Millis::from_secs(clamp_u64(seconds))
}

/// Converts to `i64`; larger numbers become `i64::MAX`.
fn saturate_i64(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

/// Converts to `u64`; negative numbers become zero.
fn clamp_u64(number: i64) -> u64 {
    u64::try_from(number).unwrap_or_default()
}
