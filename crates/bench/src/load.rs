//! Compares requests through one node with requests sent directly to the stand-in engines.

use std::time::Duration;

use jackdaw_core::errors::Result;

use crate::client::{self, Load, Outcome, Target};
use crate::options::Options;
use crate::target::LocalNode;

/// Duration of the load before each measurement, which opens the connections.
const WARM_UP_DURATION: Duration = Duration::from_secs(2);

/// Prints latency and throughput of direct requests and of requests through a node.
///
/// # Errors
///
/// Returns an error if the node or its stand-ins do not start.
pub(crate) fn run(options: &Options) -> Result<()> {
    let local = LocalNode::start()?;
    let load = Load {
        rate: options.rate,
        duration: Duration::from_secs(options.seconds),
        tokens: options.tokens,
        stream: !options.whole,
    };
    println!(
        "{} requests/s for {} s, {} tokens each, {}",
        load.rate,
        options.seconds,
        load.tokens,
        if load.stream {
            "streams"
        } else {
            "whole answers"
        }
    );
    println!(
        "{:<10} {:>9} {:>7} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10}",
        "way",
        "answered",
        "failed",
        "req/s",
        "tokens/s",
        "first p50",
        "first p99",
        "whole p50",
        "whole p99"
    );
    let straight = measure("straight", load, &local.engines());
    let node = measure("node", load, &local.node());
    let added_micros = |quantile: f64| {
        let first = node.first_byte.value_at_quantile(quantile) as i64
            - straight.first_byte.value_at_quantile(quantile) as i64;
        let whole = node.whole_answer.value_at_quantile(quantile) as i64
            - straight.whole_answer.value_at_quantile(quantile) as i64;
        (first, whole)
    };
    let (first50, whole50) = added_micros(0.5);
    let (first99, whole99) = added_micros(0.99);
    println!(
        "added by the node, µs: first byte p50 {first50}, p99 {first99}; \
         whole answer p50 {whole50}, p99 {whole99}"
    );
    local.stop();
    Ok(())
}

fn measure(name: &str, load: Load, targets: &[Target]) -> Outcome {
    let warm_up_load = Load {
        duration: WARM_UP_DURATION,
        ..load
    };
    client::run(warm_up_load, targets);
    let outcome = client::run(load, targets);
    let seconds = outcome.elapsed.as_secs_f64();
    println!(
        "{name:<10} {:>9} {:>7} {:>10.0} {:>10.0} {:>10} {:>10} {:>10} {:>10}",
        outcome.answered,
        outcome.failed,
        outcome.answered as f64 / seconds,
        outcome.tokens as f64 / seconds,
        outcome.first_byte.value_at_quantile(0.5),
        outcome.first_byte.value_at_quantile(0.99),
        outcome.whole_answer.value_at_quantile(0.5),
        outcome.whole_answer.value_at_quantile(0.99)
    );
    outcome
}
