//! Decides whether a request is let in while demand exceeds what the replica groups can serve.
//!
//! An engine takes what it is sent and queues it, so beyond its capacity every answer becomes late.
//! Rejecting the excess at once keeps the others in time. Each node decides by itself: it rejects
//! with a chance that grows with the expected wait, so that all nodes together let in about what
//! can be served, and none needs to know what the others decide.

use jackdaw_core::units::Millis;

/// Part of the time that a request can wait from which on requests are rejected. The expected wait
/// is the mean over the groups, and some have several times that.
const FIRST_REJECTED: f64 = 0.5;
/// Part of the time that a request can wait from which on no request is let in.
const ALL_REJECTED: f64 = 1.25;
/// Part of the time left within which a caller comes again, as a divisor; callers wait no longer.
const RETURN_SHARE: u64 = 3;

/// Times to the first event of a request, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Latency {
    /// Mean of what is expected over the groups.
    pub expected: f64,
    /// Time at a group that has nothing else to do.
    pub minimum: f64,
    /// Time within which the users want it.
    pub objective: f64,
}

/// Returns the chance with which a request should be rejected.
#[must_use]
pub fn rejection_probability(prospect: &Latency) -> f64 {
    let spare = prospect.objective - prospect.minimum;
    if spare <= 0.0 {
        // It is late in any case, so that it is does not tell of too much demand.
        return 0.0;
    }
    let part = (prospect.expected - prospect.minimum) / spare;
    ((part - FIRST_REJECTED) / (ALL_REJECTED - FIRST_REJECTED)).clamp(0.0, 1.0)
}

/// Returns when the caller of a rejected request should come again: at a random time of the later
/// half of what it waits at most, so that callers rejected together do not come back together.
#[must_use]
pub fn retry_after(left: Millis, random: f64) -> Millis {
    let most = left.0 / RETURN_SHARE;
    let half = most / 2;
    Millis(half + (half as f64 * random) as u64)
}
