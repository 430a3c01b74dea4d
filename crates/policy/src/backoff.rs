//! Exponential backoff of the calls to the platform.

use jackdaw_core::units::Millis;

/// Bound on the doublings, so that the shift does not overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Pause that doubles with each consecutive failure, up to a bound, with random jitter.
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

    /// Returns the pause after an attempt that ended after some time.
    ///
    /// An attempt that succeeded, or that lasted for longer than the longest pause, resets the count
    /// of failures.
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

    /// Counts a failure and returns the pause after it.
    ///
    /// The upper half of the pause is random, so that nodes that failed together do not retry
    /// together.
    pub fn next_pause(&mut self, random: &mut fastrand::Rng) -> Millis {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let pause = (self.first.0 << doublings).saturating_mul(2);
        let pause = pause.min(self.longest.0.max(self.first.0));
        let half = pause / 2;
        Millis(half + random.u64(0..=pause - half))
    }
}
