//! Log lines about a node's stop.

use slog::{info, warn};

use crate::in_flight::Fields;
use crate::node::Node;

/// Largest number of requests that are named in a phase of the stop.
const MAX_NAMED_REQUESTS: usize = 50;

/// Logs that the node was asked to stop, and what is in flight.
pub(crate) fn log_begin(node: &Node) {
    let now = node.now();
    let registry = &node.in_flight.registry;
    let last_deadline = registry.latest_deadline();
    info!(node.logger(), "node stopping";
        "in_flight" => node.drain.in_flight(),
        "stages" => %registry.counts(),
        "connections" => node.drain.connections(),
        "last_deadline_ms" => last_deadline.map(|deadline| deadline.since(now).0),
        "grace_ms" => node.options.grace.0,
        // The signal may have been sent by this much earlier.
        "lag_ms" => node.lag.current(now).0);
    // The next line states the longest lag from here on.
    node.lag.take_longest(now);
}

/// Logs that new requests are refused from now on, and how much later than was planned. Names the
/// requests that the stop may end before their deadlines, since a process that is killed cannot.
pub(crate) fn log_refusing(node: &Node) {
    let now = node.now();
    let limits = node.stop_limits();
    let stopping = node.stopping_for().unwrap_or_default();
    info!(node.logger(), "new requests are refused";
        "in_flight" => node.drain.in_flight(),
        "stages" => %node.in_flight.registry.counts(),
        "connections" => node.drain.connections(),
        "stopping_ms" => stopping.0,
        "late_ms" => stopping.0.saturating_sub(limits.accept.0),
        "longest_lag_ms" => node.lag.take_longest(now).0);
    let given_up_at = now - stopping + limits.answer;
    let mut requests = node.in_flight.registry.requests();
    requests.retain(|request| request.deadline > given_up_at);
    for request in requests.iter().take(MAX_NAMED_REQUESTS) {
        info!(node.logger(), "request may outlast the grace period"; Fields::new(node, request));
    }
    log_unnamed(node, requests.len());
}

/// Logs that the node waits no longer, and names the requests that are still in flight.
pub(crate) fn log_grace_ended(node: &Node) {
    warn!(node.logger(), "grace period ended with requests in flight";
        "in_flight" => node.drain.in_flight(),
        "stages" => %node.in_flight.registry.counts(),
        "connections" => node.drain.connections(),
        "unsent_bytes" => node.connections.unsent_bytes(),
        "stopping_ms" => node.stopping_for().map(|time| time.0),
        "longest_lag_ms" => node.lag.take_longest(node.now()).0);
    let requests = node.in_flight.registry.requests();
    for request in requests.iter().take(MAX_NAMED_REQUESTS) {
        warn!(node.logger(), "request in flight at the end of the grace period";
            Fields::new(node, request));
    }
    log_unnamed(node, requests.len());
}

/// Logs how many requests are not named.
fn log_unnamed(node: &Node, requests: usize) {
    let unnamed = requests.saturating_sub(MAX_NAMED_REQUESTS);
    if unnamed > 0 {
        info!(node.logger(), "more requests than are named"; "unnamed" => unnamed);
    }
}

/// Logs the end of the stop, and what was not sent.
pub(crate) fn log_end(node: &Node) {
    info!(node.logger(), "node stopped";
        "in_flight" => node.drain.in_flight(),
        "stages" => %node.in_flight.registry.counts(),
        "connections" => node.drain.connections(),
        "unsent_bytes" => node.connections.unsent_bytes(),
        "stopping_ms" => node.stopping_for().map(|time| time.0),
        "longest_lag_ms" => node.lag.take_longest(node.now()).0);
}
