//! Translation between etcd v3 messages and the store's types.

use compact_str::CompactString;
use jackdaw_core::errors::Error;
use jackdaw_core::store::{Change, Compare, Entry, Lease, Transaction, Write};
use jackdaw_wire::etcdserverpb as proto;
use jackdaw_wire::etcdserverpb::compare::{CompareResult, CompareTarget, TargetUnion};
use jackdaw_wire::etcdserverpb::request_op::Request as Operation;
use jackdaw_wire::mvccpb;
use jackdaw_wire::mvccpb::event::EventType;
use tonic::Status;

/// Result of one call.
pub(super) type RpcResult<T> = std::result::Result<T, Status>;

pub(super) fn response_header(revision: u64) -> Option<proto::ResponseHeader> {
    Some(proto::ResponseHeader {
        revision: signed(revision),
        ..proto::ResponseHeader::default()
    })
}

pub(super) fn range_response(
    header: Option<proto::ResponseHeader>,
    found: Vec<Entry>,
) -> proto::RangeResponse {
    proto::RangeResponse {
        header,
        more: false,
        count: signed(found.len() as u64),
        kvs: found.into_iter().map(key_value).collect(),
    }
}

fn key_value(entry: Entry) -> mvccpb::KeyValue {
    mvccpb::KeyValue {
        key: entry.key.as_bytes().to_vec(),
        create_revision: signed(entry.create_revision),
        mod_revision: signed(entry.mod_revision),
        version: 0,
        value: entry.value,
        lease: entry.lease.map_or(0, |lease| lease.0),
    }
}

pub(super) fn event(change: Change) -> mvccpb::Event {
    match change {
        Change::Put(entry) => mvccpb::Event {
            r#type: EventType::Put.into(),
            kv: Some(key_value(entry)),
        },
        Change::Delete(key, revision) => mvccpb::Event {
            r#type: EventType::Delete.into(),
            kv: Some(mvccpb::KeyValue {
                key: key.as_bytes().to_vec(),
                mod_revision: signed(revision),
                ..mvccpb::KeyValue::default()
            }),
        },
    }
}

pub(super) fn transaction(request: proto::TxnRequest) -> RpcResult<Transaction> {
    let operations_of = |operations: Vec<proto::RequestOp>| {
        operations
            .into_iter()
            .map(|operation| operation.request.ok_or_else(unsupported))
    };
    let when = request.compare.into_iter().map(compare);
    let then = operations_of(request.success).map(|operation| write(operation?));
    let otherwise = operations_of(request.failure).map(|operation| match operation? {
        Operation::RequestRange(range) => utf8_key(range.key),
        Operation::RequestPut(_) | Operation::RequestDeleteRange(_) => Err(unsupported()),
    });
    Ok(Transaction {
        when: when.collect::<RpcResult<_>>()?,
        then: then.collect::<RpcResult<_>>()?,
        otherwise: otherwise.collect::<RpcResult<_>>()?,
    })
}

fn compare(compare: proto::Compare) -> RpcResult<Compare> {
    if compare.result() != CompareResult::Equal {
        return Err(unsupported());
    }
    let target = compare.target();
    let key = utf8_key(compare.key)?;
    match (target, compare.target_union) {
        (CompareTarget::Create, Some(TargetUnion::CreateRevision(0))) => Ok(Compare::Absent(key)),
        (CompareTarget::Create, Some(TargetUnion::CreateRevision(revision))) => {
            Ok(Compare::CreateRevision(key, unsigned(revision)))
        }
        (CompareTarget::Mod, Some(TargetUnion::ModRevision(revision))) => {
            Ok(Compare::ModRevision(key, unsigned(revision)))
        }
        _ => Err(unsupported()),
    }
}

pub(super) fn write(operation: Operation) -> RpcResult<Write> {
    match operation {
        Operation::RequestPut(put) => Ok(Write::Put {
            key: utf8_key(put.key)?,
            value: put.value,
            lease: (put.lease != 0).then_some(Lease(put.lease)),
        }),
        Operation::RequestDeleteRange(delete) if delete.range_end.is_empty() => {
            Ok(Write::Delete(utf8_key(delete.key)?))
        }
        Operation::RequestDeleteRange(_) | Operation::RequestRange(_) => Err(unsupported()),
    }
}

/// Returns the prefix whose keys a range spans exactly.
///
/// # Errors
///
/// Returns an error if the range spans anything else than the keys with one prefix.
pub(super) fn range_prefix(key: Vec<u8>, end: &[u8]) -> RpcResult<CompactString> {
    if key == [0] && end == [0] {
        return Ok(CompactString::default());
    }
    let mut expected = key.clone();
    if let Some(last) = expected.last_mut() {
        *last = last.wrapping_add(1);
    }
    if expected == end {
        return utf8_key(key);
    }
    Err(unsupported())
}

pub(super) fn utf8_key(key: Vec<u8>) -> RpcResult<CompactString> {
    CompactString::from_utf8(key).map_err(|_| Status::invalid_argument("the key is not UTF-8"))
}

fn unsupported() -> Status {
    Status::unimplemented("the stand-in does not support this request")
}

/// Translates an error to a gRPC status; a fault looks like a lost answer on an open connection.
pub(super) fn status(error: Error) -> Status {
    match error {
        Error::Refused { reason, .. } => Status::failed_precondition(reason),
        Error::Unreachable { .. } | Error::Indeterminate { .. } | Error::Malformed { .. } => {
            Status::unavailable(error.to_string())
        }
    }
}

pub(super) fn signed(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

pub(super) fn unsigned(number: i64) -> u64 {
    u64::try_from(number).unwrap_or_default()
}
