//! Decides whether a leader goes on after its lease has lapsed because the store is away.
//!
//! While the store answers nobody, no other leader can be elected, and groups that lose members would
//! stay lost. The last leader goes on; servers refuse orders that cross those of a later one.

use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Millis};

/// Longest time for which a node leads on without the store.
const LONGEST: Millis = Millis(60_000);

/// What is known of the last leadership's end.
#[derive(Clone, Copy, Debug, Default)]
pub struct GracePeriod {
    /// Whether the last renewal has had no answer.
    unanswered: bool,
    /// Fencing number of the leadership that lapsed, and when.
    lapsed: Option<(Fence, Instant)>,
}

impl GracePeriod {
    /// Notes that a renewal is sent. It has no answer as long as none has come: a store that falls
    /// silent lets the lease lapse before the call fails.
    pub fn start_renewal(&mut self) {
        self.unanswered = true;
    }

    /// Notes the end of a renewal.
    pub fn finish_renewal(&mut self, is_answered: bool) {
        self.unanswered = !is_answered;
    }

    /// Notes that the leadership has ended and returns whether this node goes on.
    pub fn record_loss(&mut self, fence: Fence, now: Instant) -> bool {
        if self.unanswered {
            self.lapsed = Some((fence, now));
        }
        self.unanswered
    }

    /// Notes that the leadership was given up, or that the store answers again.
    pub fn end(&mut self) {
        *self = GracePeriod::default();
    }

    /// Returns the fencing number under which this node goes on, if it does.
    #[must_use]
    pub fn fence(&self, now: Instant) -> Option<Fence> {
        let (fence, since) = self.lapsed?;
        (now.since(since) < LONGEST).then_some(fence)
    }
}
