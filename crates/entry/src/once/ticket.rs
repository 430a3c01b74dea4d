//! Permission to dispatch one non-idempotent call.

use std::sync::Arc;

use fail::fail_point;
use jackdaw_core::store::Lease;
use jackdaw_policy::once::{Action, Answer, Call, Result};
use tokio::time::timeout;

use super::Ledger;

/// Permission to dispatch one call, which ends when one of the `record_` methods is called.
///
/// A dropped ticket counts as unknown if [`Ticket::may_dispatch`] has allowed a dispatch, and as
/// not run otherwise.
#[derive(Debug)]
pub struct Ticket {
    ledger: Arc<Ledger>,
    call: Option<Box<Call>>,
    lease: Lease,
    dispatched: bool,
}

impl Ticket {
    /// Creates a ticket for a call whose intent is recorded.
    pub(super) fn new(ledger: &Arc<Ledger>, call: Call, lease: Lease) -> Self {
        Ticket {
            ledger: Arc::clone(ledger),
            call: Some(Box::new(call)),
            lease,
            dispatched: false,
        }
    }

    /// Returns whether the first byte may be written to a backend server now.
    ///
    /// Must be called directly before that write, for each attempt.
    pub fn may_dispatch(&mut self) -> bool {
        let now = self.ledger.timestamp();
        let allowed = self
            .call
            .as_ref()
            .is_some_and(|call| call.may_dispatch(now));
        self.dispatched |= allowed;
        allowed
    }

    /// Notes that an allowed dispatch wrote nothing, so that another may be tried.
    pub fn mark_not_written(&mut self) {
        self.dispatched = false;
    }

    /// Records the complete answer; returns whether it was recorded in time.
    ///
    /// Waits no longer than [`Options::record_timeout`](super::Options::record_timeout). The ledger
    /// retries later what is not recorded by then.
    pub async fn record_completed(self, answer: Answer) -> bool {
        self.close(Result::Completed(answer)).await
    }

    /// Records that nothing was written to a backend server, so that a repeated call may run.
    pub async fn record_not_run(self) -> bool {
        self.close(Result::NotRun).await
    }

    /// Records that something was written and no complete answer arrived.
    pub async fn record_unknown(self) -> bool {
        self.close(Result::Unknown).await
    }

    async fn close(mut self, result: Result) -> bool {
        let Some(mut call) = self.call.take() else {
            return false;
        };
        fail_point!("once-ended");
        let first = call.close(result);
        // The guard keeps the result if the service is slow or the future is dropped.
        let mut guard = PendingClose {
            ledger: Arc::clone(&self.ledger),
            call: Some(call),
            lease: self.lease,
            unsent: Some(first.clone()),
        };
        let Some(call) = guard.call.as_mut() else {
            return false;
        };
        let record_timeout = self.ledger.options.record_timeout.duration();
        let finished = timeout(
            record_timeout,
            self.ledger.run_writes(call, self.lease, first),
        )
        .await;
        let Ok(last) = finished else {
            return false;
        };
        guard.unsent = None;
        fail_point!("once-closed");
        last == Action::Closed { recorded: true }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let Some(mut call) = self.call.take() else {
            return;
        };
        let result = if self.dispatched {
            Result::Unknown
        } else {
            Result::NotRun
        };
        let unsent = call.close(result);
        self.ledger.enqueue_pending(call, self.lease, Some(unsent));
    }
}

/// A result that is being recorded; dropping it adds an unfinished call to the backlog.
struct PendingClose {
    ledger: Arc<Ledger>,
    call: Option<Box<Call>>,
    lease: Lease,
    unsent: Option<Action>,
}

impl Drop for PendingClose {
    fn drop(&mut self) {
        if let Some(call) = self.call.take() {
            self.ledger
                .enqueue_pending(call, self.lease, self.unsent.take());
        }
    }
}
