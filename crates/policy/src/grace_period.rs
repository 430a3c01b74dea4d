//! Decides whether a leader keeps leading after its lease has expired because the store is
//! unavailable.
//!
//! While the store answers no node, no other leader can be elected, and groups that lose members
//! would not be replaced. The last leader goes on; servers refuse orders that conflict with those of
//! a later leader.

use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Millis};

/// Longest time for which a node keeps leading without the store.
const MAX_GRACE_PERIOD: Millis = Millis(60_000);

/// Divisor of the number of servers asked; fewer answers than the quotient say nothing of the servers.
const MIN_ANSWERS_DIVISOR: usize = 4;

/// Returns whether a round of reports tells which servers are lost, given how many servers were asked
/// and how many answered. If hardly any answered, the leader's own link may be at fault.
#[must_use]
pub fn is_conclusive(asked: usize, answered: usize) -> bool {
    answered > 0 && answered >= asked / MIN_ANSWERS_DIVISOR
}

/// State of the last renewal and of the lease that expired without an answer to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct GracePeriod {
    /// Whether the last renewal has no answer yet or has failed.
    is_unanswered: bool,
    /// Fencing number of the expired lease, and the time of its loss.
    expired: Option<(Fence, Instant)>,
}

impl GracePeriod {
    /// Records that a renewal is sent.
    ///
    /// It counts as unanswered until its answer arrives: if the store stops answering, the lease
    /// expires before the call fails.
    pub fn start_renewal(&mut self) {
        self.is_unanswered = true;
    }

    /// Records the end of a renewal and whether the store answered it.
    pub fn finish_renewal(&mut self, is_answered: bool) {
        self.is_unanswered = !is_answered;
    }

    /// Records the loss of the lease with a fencing number and returns whether this node keeps leading.
    pub fn record_loss(&mut self, fence: Fence, now: Instant) -> bool {
        if self.is_unanswered {
            self.expired = Some((fence, now));
        }
        self.is_unanswered
    }

    /// Ends the grace period, since the leadership was resigned or the store answers again.
    pub fn end(&mut self) {
        *self = GracePeriod::default();
    }

    /// Returns the fencing number under which this node keeps leading, if it does.
    #[must_use]
    pub fn fence(&self, now: Instant) -> Option<Fence> {
        let (fence, since) = self.expired?;
        (now.since(since) < MAX_GRACE_PERIOD).then_some(fence)
    }
}
