//! Limits how many loads of weights begin.

use jackdaw_core::time::Instant;

/// Seconds of the rate that may be spent at once.
const BURST_SECONDS: f64 = 3.0;

/// A token bucket that starts full.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Loads {
    spent: f64,
    at: Option<Instant>,
}

impl Loads {
    /// Takes a number of loads and returns whether the rate allows them now. A group that needs
    /// more than a burst may begin when the bucket is full.
    pub(super) fn take(&mut self, loads: usize, per_second: f64, now: Instant) -> bool {
        if let Some(at) = self.at {
            let seconds = now.since(at).0 as f64 / 1_000.0;
            self.spent = (self.spent - seconds * per_second).max(0.0);
        }
        self.at = Some(now);
        let burst = per_second * BURST_SECONDS;
        let loads = loads as f64;
        if self.spent > 0.0 && self.spent + loads > burst {
            return false;
        }
        self.spent += loads;
        true
    }
}
