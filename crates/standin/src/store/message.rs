//! Translation between the published messages and the store's types.

use compact_str::CompactString;
use jackdaw_core::errors::Error;
use jackdaw_core::store::{Change, Compare, Entry, Lease, Transaction, Write};
use jackdaw_wire::etcdserverpb as proto;
use jackdaw_wire::etcdserverpb::compare::{CompareResult, CompareTarget, TargetUnion};
use jackdaw_wire::etcdserverpb::request_op::Request as Step;
use jackdaw_wire::mvccpb;
use jackdaw_wire::mvccpb::event::EventType;
use tonic::Status;

/// Answer of one call.
pub(super) type Reply<T> = std::result::Result<T, Status>;

pub(super) fn head(revision: u64) -> Option<proto::ResponseHeader> {
    Some(proto::ResponseHeader {
        revision: signed(revision),
        ..proto::ResponseHeader::default()
    })
}

pub(super) fn range(
    header: Option<proto::ResponseHeader>,
    found: Vec<Entry>,
) -> proto::RangeResponse {
    proto::RangeResponse {
        header,
        more: false,
        count: signed(found.len() as u64),
        kvs: found.into_iter().map(pair).collect(),
    }
}

fn pair(entry: Entry) -> mvccpb::KeyValue {
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
            kv: Some(pair(entry)),
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

pub(super) fn transaction(request: proto::TxnRequest) -> Reply<Transaction> {
    let steps = |operations: Vec<proto::RequestOp>| {
        operations
            .into_iter()
            .map(|operation| operation.request.ok_or_else(unsupported))
    };
    let when = request.compare.into_iter().map(compare);
    let then = steps(request.success).map(|step| write(step?));
    let otherwise = steps(request.failure).map(|step| match step? {
        Step::RequestRange(range) => text(range.key),
        Step::RequestPut(_) | Step::RequestDeleteRange(_) => Err(unsupported()),
    });
    Ok(Transaction {
        when: when.collect::<Reply<_>>()?,
        then: then.collect::<Reply<_>>()?,
        otherwise: otherwise.collect::<Reply<_>>()?,
    })
}

fn compare(compare: proto::Compare) -> Reply<Compare> {
    if compare.result() != CompareResult::Equal {
        return Err(unsupported());
    }
    let target = compare.target();
    let key = text(compare.key)?;
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

pub(super) fn write(step: Step) -> Reply<Write> {
    match step {
        Step::RequestPut(put) => Ok(Write::Put {
            key: text(put.key)?,
            value: put.value,
            lease: (put.lease != 0).then_some(Lease(put.lease)),
        }),
        Step::RequestDeleteRange(delete) if delete.range_end.is_empty() => {
            Ok(Write::Delete(text(delete.key)?))
        }
        Step::RequestDeleteRange(_) | Step::RequestRange(_) => Err(unsupported()),
    }
}

/// Reads a prefix from a range that spans exactly the keys with it.
pub(super) fn prefix(key: Vec<u8>, end: &[u8]) -> Reply<CompactString> {
    if key == [0] && end == [0] {
        return Ok(CompactString::default());
    }
    let mut expected = key.clone();
    if let Some(last) = expected.last_mut() {
        *last = last.wrapping_add(1);
    }
    if expected == end {
        return text(key);
    }
    Err(unsupported())
}

pub(super) fn text(key: Vec<u8>) -> Reply<CompactString> {
    CompactString::from_utf8(key).map_err(|_| Status::invalid_argument("the key is not UTF-8"))
}

fn unsupported() -> Status {
    Status::unimplemented("the stand-in does not support this request")
}

/// Passes a fault or a refusal on; a fault looks like a lost answer on an open connection.
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
