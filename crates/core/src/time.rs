//! Monotonic and wall-clock time behind a trait, so that deciding code never reads a system clock.

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use crate::units::Millis;

/// A monotonic point in time, in milliseconds since the clock's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the time since an earlier point, or zero if that point is later.
    #[must_use]
    pub fn since(self, earlier: Instant) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Millis> for Instant {
    type Output = Instant;

    fn add(self, span: Millis) -> Instant {
        Instant(self.0.saturating_add(span.0))
    }
}

impl Sub<Millis> for Instant {
    type Output = Instant;

    fn sub(self, span: Millis) -> Instant {
        Instant(self.0.saturating_sub(span.0))
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// Reads the time.
pub trait Clock: Send + Sync {
    /// Gets the monotonic time.
    fn now(&self) -> Instant;

    /// Gets the wall-clock time in milliseconds since the Unix epoch.
    fn unix_millis(&self) -> u64;
}

/// The operating system's clocks.
#[derive(Debug)]
pub struct SystemClock {
    start: std::time::Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        SystemClock {
            start: std::time::Instant::now(),
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    fn unix_millis(&self) -> u64 {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}

/// A clock that moves only by calls of [`ManualClock::advance`].
#[derive(Debug, Default)]
pub struct ManualClock {
    millis: AtomicU64,
}

impl ManualClock {
    /// Moves the clock forward.
    pub fn advance(&self, span: Millis) {
        self.millis.fetch_add(span.0, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        Instant(self.millis.load(Ordering::SeqCst))
    }

    fn unix_millis(&self) -> u64 {
        self.millis.load(Ordering::SeqCst)
    }
}
