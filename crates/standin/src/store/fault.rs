//! Faults of the key-value service, and the count of its calls.

use std::collections::VecDeque;

use compact_str::CompactString;
use jackdaw_core::store::{Transaction, Write};

/// How the service treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Calls are carried out and answered.
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
    /// Reads are answered with the values of the moment at which the fault was set.
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

/// The fault that stands and those planned for the next transactions.
#[derive(Debug, Default)]
pub(super) struct Plan {
    /// Fault for every call.
    pub(super) standing: Fault,
    /// Faults for the next transactions that put a key with a prefix, one each.
    pub(super) next: VecDeque<(CompactString, Fault)>,
    /// Number of times that a fault was set; what is held waits for the next one.
    pub(super) releases: u64,
}

impl Plan {
    /// Takes the fault that is planned for a transaction.
    pub(super) fn take(&mut self, transaction: &Transaction) -> Option<Fault> {
        let is_meant = |prefix: &CompactString| {
            let is_any = prefix.is_empty();
            is_any
                || transaction.then.iter().any(|write| match write {
                    Write::Put { key, .. } => key.starts_with(prefix.as_str()),
                    Write::Delete(_) => false,
                })
        };
        let place = self.next.iter().position(|(prefix, _)| is_meant(prefix))?;
        self.next.remove(place).map(|(_, fault)| fault)
    }
}
