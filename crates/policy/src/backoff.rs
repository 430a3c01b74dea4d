//! Decides how long a caller of the platform pauses after failures.

use jackdaw_core::units::Millis;

/// Largest number of times that the pause doubles.
const MAX_DOUBLINGS: u32 = 16;

/// Pause that doubles with each failure in a row, up to a bound, and is spread at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    first: Millis,
    longest: Millis,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose first pause is at least `first` and whose longest is `longest`.
    #[must_use]
    pub fn new(first: Millis, longest: Millis) -> Self {
        Backoff {
            first: Millis(first.0.max(1)),
            longest,
            failures: 0,
        }
    }

    /// Returns the pause after an attempt that lasted for a while and then ended.
    ///
    /// An attempt that succeeded, or that went well for longer than the longest pause, begins a
    /// new row of failures.
    pub fn pause_after(
        &mut self,
        succeeded: bool,
        lasted: Millis,
        random: &mut fastrand::Rng,
    ) -> Millis {
        if succeeded || lasted > self.longest {
            self.failures = 0;
        }
        self.next_pause(random)
    }

    /// Returns the pause after one more failure.
    ///
    /// The upper half of the pause is random, so that nodes that failed together do not come back
    /// together.
    pub fn next_pause(&mut self, random: &mut fastrand::Rng) -> Millis {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let full = (self.first.0 << doublings).saturating_mul(2);
        let full = full.min(self.longest.0.max(self.first.0));
        let half = full / 2;
        Millis(half + random.u64(0..=full - half))
    }
}
