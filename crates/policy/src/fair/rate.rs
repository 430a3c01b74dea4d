//! The rate of one team on one node.

use std::sync::atomic::{AtomicU64, Ordering};

use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

const MICROS_PER_SECOND: u64 = 1_000_000;
const MICROS_PER_MILLI: u64 = 1_000;
/// Time whose requests may come at once, in microseconds.
const BURST: u64 = 2 * MICROS_PER_SECOND;
/// Requests that may come at once however low the rate is.
const BURST_REQUESTS: u64 = 4;

/// Spaces a team's requests out to its node's share of its rate.
///
/// Keeps the one moment at which the next request would be due if all came evenly.
#[derive(Debug, Default)]
pub struct RateLimiter {
    due: AtomicU64,
}

impl RateLimiter {
    /// Counts a request of a team whose rate is shared by some nodes.
    ///
    /// # Errors
    ///
    /// Returns the time after which the next request fits.
    pub fn take(&self, per_second: u32, nodes: u32, now: Instant) -> Result<(), Millis> {
        let interval = MICROS_PER_SECOND * u64::from(nodes.max(1)) / u64::from(per_second.max(1));
        let burst = BURST.max(BURST_REQUESTS * interval);
        let now = now.0.saturating_mul(MICROS_PER_MILLI);
        let result = self
            .due
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |due| {
                let next = due.max(now) + interval;
                (next <= now + burst).then_some(next)
            });
        match result {
            Ok(_) => Ok(()),
            Err(due) => {
                let wait = (due + interval).saturating_sub(now + burst);
                Err(Millis(wait.div_ceil(MICROS_PER_MILLI)))
            }
        }
    }
}
