//! Runs non-idempotent calls at most once.
//!
//! Each call leaves one record in the key-value service, keyed by team and idempotency key. Before
//! the call is dispatched its intent is written there, under the condition that no other attempt
//! holds the key; after it, the result is. [`Call`] is the state machine of one attempt: the
//! executor carries out its [`Action`]s and feeds back [`Event`]s. A repeat is a new attempt, at
//! whichever node it arrives, and finds the record of the earlier one.
//!
//! The rules that make it safe:
//!
//! - Only the attempt named in a record in state [`State::Intended`] may dispatch, and only that
//!   attempt takes the record out of this state. Nobody concludes from another node's silence that
//!   its attempt did not run; after a node's death its intent means "may have run" for good.
//! - A lost answer is resolved by sending the same conditional write again. It then either takes
//!   effect or returns the record that stands in its way, and a first copy that is still under way
//!   can no longer take effect. A plain read would miss that copy.
//! - Every change of a record is conditional on the revision at which it was last seen, so a copy
//!   that arrives late changes nothing.
//! - An attempt dispatches only within a window that is far shorter than the life of its record,
//!   counted by its node's clocks from before the write, so that a lapsed record cannot re-open a
//!   call whose first attempt may still be dispatched.

mod call;
mod explain;
mod record;

pub use call::{
    Action, Call, Condition, Event, Initiator, Limits, Request, StoredRecord, Timestamp, Write,
};
pub use record::{Answer, Attempt, PREFIX, Record, Result, State, record_key};
