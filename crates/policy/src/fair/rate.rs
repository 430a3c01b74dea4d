//! Rate limit of one team on one node.

use std::sync::atomic::{AtomicU64, Ordering};

use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

const MICROS_PER_SECOND: u64 = 1_000_000;
const MICROS_PER_MILLI: u64 = 1_000;
/// Time whose requests may arrive in one burst, in microseconds.
const BURST_MICROS: u64 = 2 * MICROS_PER_SECOND;
/// Number of requests that may arrive in one burst however low the rate is.
const BURST_REQUESTS: u64 = 4;

/// Limits a team's requests to the node's share of the team's rate.
///
/// The state is the time at which the next request would be due if requests arrived evenly, as in
/// the generic cell rate algorithm.
#[derive(Debug, Default)]
pub struct RateLimiter {
    due_micros: AtomicU64,
}

impl RateLimiter {
    /// Counts a request against the node's share of a rate in requests per second.
    ///
    /// # Errors
    ///
    /// Returns the time after which the next request conforms to the rate.
    pub fn take(&self, per_second: u32, nodes: u32, now: Instant) -> Result<(), Millis> {
        let interval = MICROS_PER_SECOND * u64::from(nodes.max(1)) / u64::from(per_second.max(1));
        let burst = BURST_MICROS.max(BURST_REQUESTS * interval);
        let now = now.0.saturating_mul(MICROS_PER_MILLI);
        let limit = now + burst;
        // Only a lower rate than this one leaves a time beyond the limit.
        let next = |due: u64| due.clamp(now, limit) + interval;
        let update = |due: u64| {
            let next = next(due);
            Some(if next <= limit { next } else { due.min(limit) })
        };
        let result = self
            .due_micros
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
        let (Ok(due) | Err(due)) = result;
        match next(due).saturating_sub(limit) {
            0 => Ok(()),
            wait => Err(Millis(wait.div_ceil(MICROS_PER_MILLI))),
        }
    }
}
