//! Runs non-idempotent calls at most once.
//!
//! Each call has one record in the key-value service, keyed by team and idempotency key. The intent
//! to run the call is written there before the dispatch, under the condition that no other attempt
//! holds the key, and the result is written after it. [`Call`] is the state machine of one attempt:
//! the executor carries out its [`Action`]s and feeds back [`Event`]s. A repeated call is a new
//! attempt, at whichever node it arrives, and finds the record of the earlier attempt.
//!
//! At most one execution follows from these rules:
//!
//! - Only the attempt named in a record in state [`State::Intended`] may dispatch, and only that
//!   attempt moves the record out of this state. No node concludes from another node's silence that
//!   its attempt did not run; after a node fails, its intent means "may have run" permanently.
//! - A lost answer is resolved by sending the same conditional write again. The second write either
//!   takes effect or returns the conflicting record, and a first copy that is still in flight can
//!   no longer take effect. A plain read would miss that copy.
//! - Every change of a record is conditional on the revision at which it was last read, so a copy
//!   that arrives late changes nothing.
//! - An attempt dispatches only within a window far shorter than the lifetime of its record. The
//!   window starts before the write, by the clocks of the node, so that the expiry of a record
//!   cannot allow a second attempt while the first one may still be dispatched.

mod call;
mod explain;
mod record;

pub use call::{
    Action, Call, Condition, Event, Initiator, Limits, Request, StoredRecord, Timestamp, Write,
};
pub use record::{Answer, Attempt, PREFIX, Record, Result, State, record_key};
