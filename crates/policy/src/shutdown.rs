//! Decides what a node that was asked to stop still takes, and until when it answers.
//!
//! All times count from the signal, as the supervisor's do, and not from the moment in which the
//! node notices it.

use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

/// Time after the signal in which new requests are taken. A load balancer that checks readiness each
/// second and acts on two failed checks sends new connections for more than 2 s.
const ACCEPT_TIME: Millis = Millis(3_000);
/// Longest time before the end of the grace period at which the process ends by itself.
const EXIT_MARGIN: Millis = Millis(400);
/// Longest time before the process ends at which requests in flight are given up, so that their
/// callers still get an answer.
const ANSWER_MARGIN: Millis = Millis(300);
/// Divisor of a short grace period for each of the two margins.
const MARGIN_DIVISOR: u64 = 20;
/// Factor by which an answer may take longer than estimated.
const ESTIMATE_MARGIN: f64 = 1.5;

/// Times of a planned stop after the signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time until which new requests are taken.
    pub accept: Millis,
    /// Time at which requests in flight are given up.
    pub answer: Millis,
    /// Time at which the process ends.
    pub exit: Millis,
}

impl Limits {
    /// Returns the times for a grace period, after which the supervisor kills the process.
    #[must_use]
    pub fn new(grace: Millis) -> Self {
        let share = Millis(grace.0 / MARGIN_DIVISOR);
        let exit = Millis(grace.0 - EXIT_MARGIN.min(share).0);
        let answer = Millis(exit.0 - ANSWER_MARGIN.min(share).0);
        Limits {
            // At least half of the time is left to finish what is in flight.
            accept: ACCEPT_TIME.min(Millis(answer.0 / 2)),
            answer,
            exit,
        }
    }
}

/// A planned stop that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    signalled: Instant,
    limits: Limits,
}

impl Shutdown {
    /// Creates the state after a signal.
    #[must_use]
    pub fn new(signalled: Instant, limits: Limits) -> Self {
        Shutdown { signalled, limits }
    }

    /// Returns whether new requests are still taken.
    #[must_use]
    pub fn is_accepting(&self, now: Instant) -> bool {
        now < self.accepts_until()
    }

    /// Returns the time until which new requests are taken.
    #[must_use]
    pub fn accepts_until(&self) -> Instant {
        self.signalled + self.limits.accept
    }

    /// Returns whether a request is taken that is expected to be answered at a time.
    #[must_use]
    pub fn can_take(&self, now: Instant, answered: Instant) -> bool {
        self.is_accepting(now) && answered <= self.answers_until()
    }

    /// Returns whether a request is taken whose answer is due at its deadline, and earlier if the
    /// milliseconds that it takes can be estimated.
    #[must_use]
    pub fn can_finish(&self, now: Instant, deadline: Instant, estimate_ms: Option<f64>) -> bool {
        self.can_take(now, expect_answer(now, deadline, estimate_ms))
    }

    /// Returns whether a request that was taken is answered in time if it is sent to a server now; see
    /// [`Shutdown::can_finish`].
    #[must_use]
    pub fn can_answer(&self, now: Instant, deadline: Instant, estimate_ms: Option<f64>) -> bool {
        expect_answer(now, deadline, estimate_ms) <= self.answers_until()
    }

    /// Returns the time at which requests in flight are given up.
    #[must_use]
    pub fn answers_until(&self) -> Instant {
        self.signalled + self.limits.answer
    }

    /// Returns the time at which the process ends.
    #[must_use]
    pub fn exits_at(&self) -> Instant {
        self.signalled + self.limits.exit
    }
}

/// Returns when a request that is sent now is answered at the latest.
fn expect_answer(now: Instant, deadline: Instant, estimate_ms: Option<f64>) -> Instant {
    match estimate_ms {
        Some(estimate) => {
            let longest = Millis((estimate * ESTIMATE_MARGIN).ceil() as u64);
            deadline.min(now + longest)
        }
        None => deadline,
    }
}
