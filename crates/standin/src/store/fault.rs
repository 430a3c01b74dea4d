//! Faults of the key-value service and counters of its calls.

use std::collections::VecDeque;

use compact_str::CompactString;
use jackdaw_core::store::{Transaction, Write};

/// How the service treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Calls are executed and answered.
    #[default]
    None,
    /// Calls are refused before anything is sent: `Unreachable`.
    Refuse,
    /// Calls are sent, have no effect and get no answer: `Indeterminate`. Watches end.
    Down,
    /// Calls wait before they take effect, until the fault is lifted.
    HoldCall,
    /// Calls take effect; their answers wait until the fault is lifted.
    HoldAnswer,
    /// Calls take effect; their answers are lost: `Indeterminate`.
    LoseAnswer,
    /// Answers are lost, and the calls take effect only once the fault is lifted: `Indeterminate`.
    Late,
    /// Reads return the values as of the time at which the fault was set.
    Stale,
}

/// Calls that the service has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Gets and lists.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
    /// Grants, renewals and revocations of leases.
    pub leases: u64,
    /// Watches that were set up.
    pub watches: u64,
}

/// The fault for every call and those planned for the next transactions.
#[derive(Debug, Default)]
pub(super) struct Plan {
    /// Fault for every call.
    pub(super) for_all_calls: Fault,
    /// Faults for the next transactions that put a key with a prefix, one each.
    pub(super) planned: VecDeque<(CompactString, Fault)>,
    /// Number of times that a fault was set; held calls and answers wait for it to grow.
    pub(super) times_set: u64,
}

impl Plan {
    /// Removes and returns the first fault planned for a transaction.
    pub(super) fn take_planned(&mut self, transaction: &Transaction) -> Option<Fault> {
        let is_match = |prefix: &CompactString| {
            let matches_any = prefix.is_empty();
            matches_any
                || transaction.then.iter().any(|write| match write {
                    Write::Put { key, .. } => key.starts_with(prefix.as_str()),
                    Write::Delete(_) => false,
                })
        };
        let index = self
            .planned
            .iter()
            .position(|(prefix, _)| is_match(prefix))?;
        self.planned.remove(index).map(|(_, fault)| fault)
    }
}
