//! Limits the rate at which loads of weights begin.

use jackdaw_core::time::Instant;

/// Capacity of the bucket, in seconds of the rate.
const BURST_SECONDS: f64 = 3.0;

/// Token bucket that starts full.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Limiter {
    used: f64,
    updated_at: Option<Instant>,
}

impl Limiter {
    /// Acquires a number of loads and returns whether the rate, in loads per second, allows them now.
    ///
    /// A group that needs more loads than the bucket holds may begin when the bucket is full.
    pub(super) fn acquire(&mut self, loads: usize, per_second: f64, now: Instant) -> bool {
        if let Some(at) = self.updated_at {
            let seconds = now.since(at).0 as f64 / 1_000.0;
            self.used = (self.used - seconds * per_second).max(0.0);
        }
        self.updated_at = Some(now);
        let burst = per_second * BURST_SECONDS;
        let loads = loads as f64;
        if self.used > 0.0 && self.used + loads > burst {
            return false;
        }
        self.used += loads;
        true
    }
}
