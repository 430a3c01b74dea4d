//! Histograms of the latency of answers and orders.

use jackdaw_core::units::Millis;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Histogram, Meter};

/// Upper bounds of the buckets in seconds: latency objectives lie between 0.1 and 0.5 s, deadlines
/// under 10 s.
const BUCKET_BOUNDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0,
];

/// Histograms of one node.
#[derive(Debug)]
pub(crate) struct Histograms {
    first_event: Histogram<f64>,
    answer: Histogram<f64>,
    order: Histogram<f64>,
    lag: Histogram<f64>,
}

fn seconds(duration: Millis) -> f64 {
    duration.0 as f64 / 1_000.0
}

impl Histograms {
    pub(crate) fn new(meter: &Meter) -> Self {
        let histogram = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(description)
                .with_boundaries(BUCKET_BOUNDS.to_vec())
                .build()
        };
        Histograms {
            first_event: histogram(
                "jackdawstair_first_event",
                "Time from a stream's request to its first event.",
            ),
            answer: histogram(
                "jackdawstair_answer",
                "Time from a request to its whole answer.",
            ),
            order: histogram(
                "jackdawstair_order",
                "Time of an order's round trip, by command.",
            ),
            lag: histogram(
                "jackdawstair_loop_lag",
                "Lateness of a timer of the event loop.",
            ),
        }
    }

    pub(crate) fn record_first_event(&self, duration: Millis) {
        self.first_event.record(seconds(duration), &[]);
    }

    pub(crate) fn record_answer(&self, duration: Millis) {
        self.answer.record(seconds(duration), &[]);
    }

    pub(crate) fn record_lag(&self, duration: Millis) {
        self.lag.record(seconds(duration), &[]);
    }

    pub(crate) fn record_order(&self, command: &'static str, duration: Millis) {
        let label = KeyValue::new("command", command);
        self.order.record(seconds(duration), &[label]);
    }
}
