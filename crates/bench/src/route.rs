//! Measures the cost of one routing decision.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant as StdInstant;

use hdrhistogram::Histogram;
use jackdaw_core::time::Instant;
use jackdaw_entry::route::{Router, Selector};
use jackdaw_policy::route::{Options, prefix_hash};

use crate::sample;

/// Decisions per sample, so that the cost of reading the clock is negligible.
const BATCH: u64 = 64;
/// Upper bound of the histogram, in nanoseconds.
const MAX_NANOS: u64 = 1_000_000_000;
/// Samples per number of targets.
const SAMPLES: u64 = 4_000;

/// Prints the cost of one routing decision for three numbers of targets.
pub(crate) fn run() {
    println!(
        "{:<10} {:>12} {:>12} {:>12}   (one decision, {SAMPLES} batches of {BATCH})",
        "targets", "mean ns", "p50 ns", "p99 ns"
    );
    for targets in [20, 150, 600] {
        let histogram = measure(targets);
        println!(
            "{targets:<10} {:>12.0} {:>12} {:>12}",
            histogram.mean(),
            histogram.value_at_quantile(0.5),
            histogram.value_at_quantile(0.99)
        );
    }
}

fn measure(targets: usize) -> Histogram<u64> {
    let snapshot = Arc::new(sample::snapshot(targets, 40));
    for (number, target) in snapshot.models["drafting-model-000"].iter().enumerate() {
        target.gauge.set_reported(number as u32 * 7 % 13);
    }
    let router = Router::new(Options::default(), 1);
    let mut histogram =
        Histogram::new_with_bounds(1, MAX_NANOS, 3).expect("the bounds fit three digits");
    let mut prompt = 0_u64;
    for sample in 0..SAMPLES {
        let start = StdInstant::now();
        for _ in 0..BATCH {
            prompt += 1;
            let selector = Selector {
                name: "drafting-model-000",
                is_model: true,
                prefix_hash: Some(prefix_hash(&(prompt % 500).to_le_bytes())),
                isolated: false,
            };
            black_box(router.choose(&snapshot, selector, &[], Instant(sample)));
        }
        let nanos = start.elapsed().as_nanos() as u64 / BATCH;
        histogram.saturating_record(nanos);
    }
    histogram
}
