//! Counts record writes by result.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use jackdaw_policy::once::Event;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;

/// Numbers of record writes by result.
#[derive(Debug, Default)]
pub(super) struct Counters {
    written: AtomicU64,
    found: AtomicU64,
    lost: AtomicU64,
    unsent: AtomicU64,
    rejected: AtomicU64,
}

impl Counters {
    /// Counts a write by its result.
    pub(super) fn count(&self, event: &Event) {
        let counter = match event {
            Event::Written(_) => &self.written,
            Event::Found(_) => &self.found,
            Event::Lost => &self.lost,
            Event::Unsent => &self.unsent,
            Event::Rejected => &self.rejected,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Registers the counters in a meter.
    pub(super) fn register(self: &Arc<Self>, meter: &Meter) {
        let counters = Arc::clone(self);
        meter
            .u64_observable_counter("jackdawstair_once_writes")
            .with_description("Writes of records of non-idempotent calls, by how they ended.")
            .with_callback(move |observer| {
                for (label, count) in counters.read_counts() {
                    observer.observe(count, &[KeyValue::new("end", label)]);
                }
            })
            .build();
    }

    fn read_counts(&self) -> [(&'static str, u64); 5] {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        [
            ("written", read(&self.written)),
            ("found", read(&self.found)),
            ("lost", read(&self.lost)),
            ("unsent", read(&self.unsent)),
            ("rejected", read(&self.rejected)),
        ]
    }
}
