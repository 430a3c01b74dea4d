//! Atomic gauges of a target, shared between snapshots.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Load of one target as this node sees it.
#[derive(Debug, Default)]
pub struct Gauge {
    in_flight: AtomicU32,
    reported: AtomicU32,
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
        self.reported.store(load, Ordering::Relaxed);
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
    }
}
