//! Checks that the values of the settings are consistent with each other.

use std::net::SocketAddr;

use compact_str::format_compact;

use super::reader::Problem;
use super::tree::Item;
use super::{STOP_RESERVE, Settings, Timing};

/// Smallest ratio of the key retention to the dispatch window. It ensures that a call is no longer
/// dispatched when its record has expired.
const MIN_RETENTION_RATIO: u64 = 60;

/// Adds a problem for every value that is invalid or contradicts another one.
pub(super) fn check(settings: &Settings, root: &Item, problems: &mut Vec<Problem>) {
    let mut add = |key: &str, reason: String| {
        // A contradiction that follows from a value that could not be read is not reported.
        if problems.iter().any(|problem| problem.path.starts_with(key)) {
            return;
        }
        problems.push(Problem::new(line_of(root, key), key, reason));
    };
    if !settings.zones.contains(&settings.zone) {
        add(
            "zones",
            format!("does not list this node's zone {}", settings.zone),
        );
    }
    if settings.operator_tokens.is_empty() {
        add(
            "operator_tokens",
            "is empty, so that no operator could sign in".to_owned(),
        );
    }
    if settings.platform.store.is_empty() {
        add("platform.store", "names no endpoint".to_owned());
    }
    if settings.workers == 0 {
        add("workers", "must be at least 1".to_owned());
    }
    check_ports(settings, &mut add);
    check_timing(&settings.timing, &mut add);
}

fn check_ports(settings: &Settings, add: &mut impl FnMut(&str, String)) {
    let ports = [
        ("callers", settings.callers),
        ("operators", settings.operators),
        ("peers", settings.peers),
    ];
    for (index, (key, address)) in ports.iter().enumerate() {
        for (other_key, other) in &ports[..index] {
            if is_overlapping(*address, *other) {
                add(key, format!("overlaps with {other_key} at {other}"));
            }
        }
    }
}

fn is_overlapping(first: SocketAddr, second: SocketAddr) -> bool {
    let is_wildcard = first.ip().is_unspecified() || second.ip().is_unspecified();
    first.port() != 0 && first.port() == second.port() && (is_wildcard || first.ip() == second.ip())
}

fn check_timing(timing: &Timing, add: &mut impl FnMut(&str, String)) {
    if timing.probe_interval >= timing.report_bound {
        let reason = format_compact!(
            "must be longer than probe_interval ({})",
            timing.probe_interval
        );
        add("timing.report_bound", reason.into());
    }
    let reserved = timing.clock_margin.0 + timing.order_timeout.0;
    if timing.leader_lease.0 <= reserved {
        let reason = "must be longer than clock_margin and order_timeout together";
        add("timing.leader_lease", reason.to_owned());
    }
    if timing.key_retention.0 < timing.dispatch_window.0.saturating_mul(MIN_RETENTION_RATIO) {
        let reason =
            format!("must be at least {MIN_RETENTION_RATIO} times as long as dispatch_window");
        add("timing.key_retention", reason);
    }
    if timing.grace_period <= STOP_RESERVE {
        let reason = format!("must be longer than {STOP_RESERVE}, which the node keeps for itself");
        add("timing.grace_period", reason);
    }
}

/// Returns the line of the item at `path`, or of its innermost section that is present.
fn line_of(root: &Item, path: &str) -> u64 {
    let mut item = root;
    for key in path.split('.') {
        match item.get(key) {
            Some(child) => item = child,
            None => break,
        }
    }
    item.line
}
