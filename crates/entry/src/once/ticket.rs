//! The right to dispatch one call.

use std::sync::Arc;

use fail::fail_point;
use jackdaw_core::store::Lease;
use jackdaw_policy::once::{Action, Answer, Call, Result};
use tokio::time::timeout;

use super::Ledger;

/// The right to dispatch one call; ends by one of its last three methods.
///
/// A ticket that is dropped counts as not run before [`Ticket::may_dispatch`] has allowed a
/// dispatch, and as unknown after it.
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
    /// It is asked directly before that write, for each backend server that is tried anew.
    pub fn may_dispatch(&mut self) -> bool {
        let at = self.ledger.moment();
        let allowed = self.call.as_ref().is_some_and(|call| call.may_dispatch(at));
        self.dispatched |= allowed;
        allowed
    }

    /// Notes that a dispatch which was allowed wrote nothing, so that another may be tried.
    pub fn mark_not_written(&mut self) {
        self.dispatched = false;
    }

    /// Records the whole answer; returns whether the service took it.
    ///
    /// Waits no longer than [`Options::record_timeout`](super::Options::record_timeout); the ledger records later
    /// what is left by then.
    pub async fn record_completed(self, answer: Answer) -> bool {
        self.close(Result::Completed(answer)).await
    }

    /// Records that nothing was written to a backend server, so that a repeat may run.
    pub async fn record_not_run(self) -> bool {
        self.close(Result::NotRun).await
    }

    /// Records that something was written and no whole answer came.
    pub async fn record_unknown(self) -> bool {
        self.close(Result::Unknown).await
    }

    async fn close(mut self, result: Result) -> bool {
        let Some(mut call) = self.call.take() else {
            return false;
        };
        fail_point!("once-ended");
        let first = call.close(result);
        // Neither a slow service nor a caller that goes away must lose the result.
        let mut guard = Closing {
            ledger: Arc::clone(&self.ledger),
            call: Some(call),
            lease: self.lease,
            unsent: Some(first.clone()),
        };
        let Some(call) = guard.call.as_mut() else {
            return false;
        };
        let bound = self.ledger.options.record_timeout.duration();
        let driven = timeout(bound, self.ledger.drive(call, self.lease, first)).await;
        let Ok(last) = driven else {
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
        self.ledger.keep(call, self.lease, Some(unsent));
    }
}

/// A result on its way; whatever is unsettled at its end goes to the backlog.
struct Closing {
    ledger: Arc<Ledger>,
    call: Option<Box<Call>>,
    lease: Lease,
    unsent: Option<Action>,
}

impl Drop for Closing {
    fn drop(&mut self) {
        if let Some(call) = self.call.take() {
            self.ledger.keep(call, self.lease, self.unsent.take());
        }
    }
}
