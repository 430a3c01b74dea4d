//! Learns how fast replica groups work compared with the engine's configured figures.
//!
//! The configured figures leave out constant parts of the latency, and a group runs at the pace of its slowest
//! member. Both show in the answers: the times between events tell the pace of one group, and the times
//! to first events tell what the estimate for a model leaves out.
//!
//! Paces are kept as sums of observed and expected time, so the evidence of several nodes adds up, a
//! long prompt or one slow link weighs little, and few observations move a pace by little.

use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

/// Time constant with which evidence of a group's pace is forgotten. A change shows within about a second, as
/// users expect.
const PACE_WINDOW: Millis = Millis(1_000);
/// Expected time, in milliseconds, that counts as evidence for the configured pace. It outweighs the first
/// two or three gaps between events, which a long prompt of another request may stretch.
const PRIOR_MS: f64 = 150.0;
/// Ratio of observed to expected time from which a group counts as slow. Prefills of other requests
/// stretch the gaps of a sound group by up to a half.
const MIN_SLOWNESS: f64 = 1.6;
/// Largest slowness that is assumed, so that a slow group is tried again from time to time.
const MAX_SLOWNESS: f64 = 20.0;

/// Time constant of the current offset of first events.
const OFFSET_WINDOW: f64 = 16.0;
/// Step by which the lowest offset rises with each observation above it, relative to the distance.
const FLOOR_RISE: f64 = 0.01;
/// Step by which it falls with each observation below it.
const FLOOR_FALL: f64 = 0.2;
/// Largest time, in milliseconds, that an observation may add to an offset; beyond it, the request
/// waited for something else than the engine.
const MAX_OFFSET_MS: f64 = 2_000.0;

/// Sums of observed and expected times between events.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Observed time in milliseconds.
    pub observed_ms: f64,
    /// Time in milliseconds that the configured figures lead to.
    pub expected_ms: f64,
}

impl Evidence {
    /// Returns the sum of this evidence and that of another source.
    #[must_use]
    pub fn plus(self, other: Evidence) -> Evidence {
        Evidence {
            observed_ms: self.observed_ms + other.observed_ms,
            expected_ms: self.expected_ms + other.expected_ms,
        }
    }

    /// Returns the factor by which a group is slower than configured; 1 without evidence for that.
    #[must_use]
    pub fn slowness(self) -> f64 {
        let ratio = (self.observed_ms + PRIOR_MS) / (self.expected_ms + PRIOR_MS);
        if ratio < MIN_SLOWNESS {
            return 1.0;
        }
        ratio.min(MAX_SLOWNESS)
    }
}

/// Pace of one group as this node observes it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    evidence: Evidence,
    updated_at: Instant,
}

impl Pace {
    /// Records the time between two events of a stream and the time that was expected.
    pub fn record(&mut self, observed: Millis, expected_ms: f64, now: Instant) {
        let known = self.evidence(now);
        self.evidence = known.plus(Evidence {
            observed_ms: observed.0 as f64,
            expected_ms,
        });
        self.updated_at = now;
    }

    /// Returns the evidence, of which older observations weigh less.
    ///
    /// Without new observations it fades, so that a slow group is tried again.
    #[must_use]
    pub fn evidence(&self, now: Instant) -> Evidence {
        let age = now.since(self.updated_at).0 as f64 / PACE_WINDOW.0 as f64;
        let weight = (-age).exp();
        Evidence {
            observed_ms: self.evidence.observed_ms * weight,
            expected_ms: self.evidence.expected_ms * weight,
        }
    }
}

/// Difference between the real and the estimated times to first events of one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Offset {
    /// Mean of the last observations, in milliseconds; includes queueing that the estimate misses.
    current_ms: f64,
    /// Lower end of the observations, in milliseconds; what an idle group needs.
    floor_ms: f64,
    count: u32,
}

impl Offset {
    /// Records the time to a first event and its estimate, both in milliseconds.
    pub fn record(&mut self, observed_ms: f64, estimated_ms: f64) {
        let difference = (observed_ms - estimated_ms).clamp(-MAX_OFFSET_MS, MAX_OFFSET_MS);
        self.count = self.count.saturating_add(1);
        if self.count == 1 {
            self.current_ms = difference;
            self.floor_ms = difference;
            return;
        }
        let weight = f64::from(self.count).min(OFFSET_WINDOW);
        self.current_ms += (difference - self.current_ms) / weight;
        let distance = difference - self.floor_ms;
        let step = if distance > 0.0 { FLOOR_RISE } else { FLOOR_FALL };
        self.floor_ms += distance * step;
    }

    /// Returns the time in milliseconds that the estimates for a loaded group miss at present.
    #[must_use]
    pub fn current_ms(&self) -> f64 {
        self.current_ms.max(self.floor_ms()).max(0.0)
    }

    /// Returns the time in milliseconds that the estimate for an idle group misses.
    #[must_use]
    pub fn floor_ms(&self) -> f64 {
        self.floor_ms.max(0.0)
    }
}
