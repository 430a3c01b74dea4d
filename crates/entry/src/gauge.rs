//! Atomic load and latency gauges of a target, shared between snapshots.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::route::{Latency, Load};
use tokio::sync::Notify;

/// Weight of a new sample in the moving average of latency: one part in this many.
const SMOOTHING_DIVISOR: u64 = 8;

/// Load and latency of one target as this node sees them.
#[derive(Debug, Default)]
pub struct Gauge {
    in_flight: AtomicU32,
    reported: AtomicU32,
    in_flight_at_report: AtomicU32,
    reserved: AtomicBool,
    request_ended: Notify,
    mean_micros: AtomicU64,
    samples: AtomicU32,
    ejected_until: AtomicU64,
}

impl Gauge {
    /// Returns the number of this node's requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the load that the target last reported, running and waiting together.
    #[must_use]
    pub fn reported(&self) -> u32 {
        self.reported.load(Ordering::Relaxed)
    }

    /// Sets the load that the target reported, running and waiting together.
    pub fn set_reported(&self, load: u32) {
        // The same report may be set again with each snapshot, which does not make it newer.
        if self.reported.swap(load, Ordering::Relaxed) != load {
            self.in_flight_at_report
                .store(self.in_flight(), Ordering::Relaxed);
        }
    }

    /// Returns the load that the router weighs.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            reported: self.reported(),
            in_flight_at_report: self.in_flight_at_report.load(Ordering::Relaxed),
            in_flight: self.in_flight(),
            reserved: self.reserved.load(Ordering::Relaxed),
        }
    }

    /// Records the time of one token or one answer, in microseconds.
    pub fn record_latency(&self, micros: u64) {
        let samples = self.samples.load(Ordering::Relaxed);
        let previous = self.mean_micros.load(Ordering::Relaxed);
        // Losing a sample to a concurrent update changes the mean little.
        let updated = match samples {
            0 => micros,
            _ => previous - previous / SMOOTHING_DIVISOR + micros / SMOOTHING_DIVISOR,
        };
        self.mean_micros.store(updated, Ordering::Relaxed);
        self.samples
            .store(samples.saturating_add(1), Ordering::Relaxed);
    }

    /// Returns the target's mean latency and its number of samples.
    #[must_use]
    pub fn latency(&self, now: Instant) -> Latency {
        Latency {
            mean_micros: self.mean_micros.load(Ordering::Relaxed),
            samples: self.samples.load(Ordering::Relaxed),
            ejected: self.is_ejected(now),
        }
    }

    /// Returns whether the target is ejected as a straggler.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        now.0 < self.ejected_until.load(Ordering::Relaxed)
    }

    /// Ejects the target for a time span; its latency is then judged by new samples only.
    ///
    /// Returns whether it was not ejected before.
    pub fn eject(&self, now: Instant, duration: Millis) -> bool {
        let until = (now + duration).0;
        let ejected_until = self.ejected_until.swap(until, Ordering::Relaxed);
        self.samples.store(0, Ordering::Relaxed);
        ejected_until <= now.0
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
            self.gauge.request_ended.notify_waiters();
        }
    }
}

/// Keeps other requests of this node off a target until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    gauge: Arc<Gauge>,
}

impl Reservation {
    /// Reserves a target, or returns `None` if it is reserved already.
    #[must_use]
    pub fn new(gauge: &Arc<Gauge>) -> Option<Self> {
        let was_reserved = gauge.reserved.swap(true, Ordering::SeqCst);
        (!was_reserved).then(|| Reservation {
            gauge: Arc::clone(gauge),
        })
    }

    /// Waits until no request of this node is in flight at the target.
    pub async fn wait_until_empty(&self) {
        loop {
            let mut request_ended = std::pin::pin!(self.gauge.request_ended.notified());
            request_ended.as_mut().enable();
            if self.gauge.in_flight() == 0 {
                return;
            }
            request_ended.await;
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.gauge.reserved.store(false, Ordering::SeqCst);
    }
}
