//! Decides whether a request is admitted while demand exceeds the capacity of the replica groups.
//!
//! An engine queues whatever it receives, so beyond its capacity every answer becomes late.
//! Rejecting the excess at once keeps the others in time. Each node decides by itself: it rejects
//! with a probability that grows with the expected wait, so that all nodes together admit about
//! what can be served, and none needs to know what the others decide.

use jackdaw_core::units::Millis;

/// Part of the slack, the objective less the minimum latency, at which rejections begin. The
/// expected latency is a mean over the groups, and some groups need several times that.
const REJECTION_START: f64 = 0.5;
/// Part of the slack from which on every request is rejected.
const REJECTION_END: f64 = 1.25;
/// Longest delay of a retry as a divisor of the remaining time; callers wait no longer.
const RETRY_DELAY_DIVISOR: u64 = 3;

/// Times from the arrival of a request to its first event, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Latency {
    /// Mean of the estimates for the groups.
    pub expected: f64,
    /// Time at an idle group.
    pub minimum: f64,
    /// Time within which users expect the first event.
    pub objective: f64,
}

/// Returns the probability with which a request should be rejected, between 0 and 1.
#[must_use]
pub fn rejection_probability(latency: &Latency) -> f64 {
    let slack = latency.objective - latency.minimum;
    if slack <= 0.0 {
        // The request is late even at an idle group, so its lateness is no sign of excess demand.
        return 0.0;
    }
    let used = (latency.expected - latency.minimum) / slack;
    ((used - REJECTION_START) / (REJECTION_END - REJECTION_START)).clamp(0.0, 1.0)
}

/// Returns the delay after which the caller of a rejected request should retry, given its remaining
/// time and a random number between 0 and 1.
///
/// The delay is drawn from the upper half of the longest delay, so that callers that are rejected
/// together do not retry together.
#[must_use]
pub fn retry_after(remaining: Millis, random: f64) -> Millis {
    let longest = remaining.0 / RETRY_DELAY_DIVISOR;
    let half = longest / 2;
    Millis(half + (half as f64 * random) as u64)
}
