//! Histograms of the times that callers and operators wait for.

use jackdaw_core::units::Millis;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Histogram, Meter};

/// Bounds of the buckets in seconds: objectives lie between 0.1 and 0.5 s, deadlines under 10 s.
const BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0,
];

/// Histograms of one node.
#[derive(Debug)]
pub(crate) struct Times {
    first_event: Histogram<f64>,
    answer: Histogram<f64>,
    order: Histogram<f64>,
}

fn seconds(span: Millis) -> f64 {
    span.0 as f64 / 1_000.0
}

impl Times {
    pub(crate) fn new(meter: &Meter) -> Self {
        let histogram = |name: &'static str, what: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(what)
                .with_boundaries(BUCKETS.to_vec())
                .build()
        };
        Times {
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
        }
    }

    pub(crate) fn first_event(&self, span: Millis) {
        self.first_event.record(seconds(span), &[]);
    }

    pub(crate) fn answer(&self, span: Millis) {
        self.answer.record(seconds(span), &[]);
    }

    pub(crate) fn order(&self, command: &'static str, span: Millis) {
        let label = KeyValue::new("command", command);
        self.order.record(seconds(span), &[label]);
    }
}
