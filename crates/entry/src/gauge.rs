//! Atomic gauges of a target, shared between snapshots.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::route::{Latency, Load};
use tokio::sync::Notify;

/// Share of a new sample in the mean pace: one in this many.
const PACE_MEMORY: u64 = 8;

/// Load of one target as this node sees it.
#[derive(Debug, Default)]
pub struct Gauge {
    in_flight: AtomicU32,
    reported: AtomicU32,
    at_report: AtomicU32,
    reserved: AtomicBool,
    left: Notify,
    pace_micros: AtomicU64,
    samples: AtomicU32,
    ejected_until: AtomicU64,
}

impl Gauge {
    /// Returns this node's requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the load that the target last reported, running and waiting together.
    #[must_use]
    pub fn reported(&self) -> u32 {
        self.reported.load(Ordering::Relaxed)
    }

    /// Sets the load that the target reported.
    pub fn set_reported(&self, load: u32) {
        // The same report may be set again with each snapshot, which makes it no newer.
        if self.reported.swap(load, Ordering::Relaxed) != load {
            self.at_report.store(self.in_flight(), Ordering::Relaxed);
        }
    }

    /// Returns what the choice of a target weighs.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            reported: self.reported(),
            in_flight_at_report: self.at_report.load(Ordering::Relaxed),
            in_flight: self.in_flight(),
            reserved: self.reserved.load(Ordering::Relaxed),
        }
    }

    /// Takes in how long one token or one answer took.
    pub fn sample(&self, micros: u64) {
        let samples = self.samples.load(Ordering::Relaxed);
        let before = self.pace_micros.load(Ordering::Relaxed);
        // A sample lost to another worker changes a mean little.
        let mean = match samples {
            0 => micros,
            _ => before - before / PACE_MEMORY + micros / PACE_MEMORY,
        };
        self.pace_micros.store(mean, Ordering::Relaxed);
        self.samples
            .store(samples.saturating_add(1), Ordering::Relaxed);
    }

    /// Returns how fast the target answers.
    #[must_use]
    pub fn pace(&self, now: Instant) -> Latency {
        Latency {
            mean_micros: self.pace_micros.load(Ordering::Relaxed),
            samples: self.samples.load(Ordering::Relaxed),
            ejected: self.is_ejected(now),
        }
    }

    /// Returns whether the target is left out as a straggler.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        now.0 < self.ejected_until.load(Ordering::Relaxed)
    }

    /// Leaves the target out for some time; it is judged anew after that.
    ///
    /// Returns whether it was in until now.
    pub fn eject(&self, now: Instant, span: Millis) -> bool {
        let until = (now + span).0;
        let before = self.ejected_until.swap(until, Ordering::Relaxed);
        self.samples.store(0, Ordering::Relaxed);
        before <= now.0
    }
}

/// Counts one request in flight until it is dropped.
#[derive(Debug)]
pub struct Guard {
    gauge: Arc<Gauge>,
}

impl Guard {
    /// Counts a request in flight.
    #[must_use]
    pub fn new(gauge: &Arc<Gauge>) -> Self {
        gauge.in_flight.fetch_add(1, Ordering::Relaxed);
        Guard {
            gauge: Arc::clone(gauge),
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.gauge.in_flight.fetch_sub(1, Ordering::Relaxed);
        if self.gauge.reserved.load(Ordering::Relaxed) {
            self.gauge.left.notify_waiters();
        }
    }
}

/// Keeps other requests of this node away from a target until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    gauge: Arc<Gauge>,
}

impl Reservation {
    /// Reserves a target, or returns `None` if it is reserved already.
    #[must_use]
    pub fn new(gauge: &Arc<Gauge>) -> Option<Self> {
        let taken = gauge.reserved.swap(true, Ordering::SeqCst);
        (!taken).then(|| Reservation {
            gauge: Arc::clone(gauge),
        })
    }

    /// Waits until no request of this node is in flight at the target.
    pub async fn alone(&self) {
        loop {
            let mut left = std::pin::pin!(self.gauge.left.notified());
            left.as_mut().enable();
            if self.gauge.in_flight() == 0 {
                return;
            }
            left.await;
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.gauge.reserved.store(false, Ordering::SeqCst);
    }
}
