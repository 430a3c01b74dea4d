//! Checks that settings fit together.

use std::net::SocketAddr;

use compact_str::format_compact;

use super::reader::Problem;
use super::tree::Item;
use super::{Settings, Timing};

/// Dispatch windows that fit into the retention of a key, so that no call whose record has expired
/// may still be dispatched.
const RETENTION_WINDOWS: u64 = 60;

/// Adds a problem for every contradiction.
pub(super) fn check(settings: &Settings, root: &Item, problems: &mut Vec<Problem>) {
    let mut add = |key: &str, reason: String| {
        // What follows from a value that could not be read is no problem of its own.
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
            if overlaps(*address, *other) {
                add(key, format!("overlaps with {other_key} at {other}"));
            }
        }
    }
}

fn overlaps(one: SocketAddr, other: SocketAddr) -> bool {
    let any = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() != 0 && one.port() == other.port() && (any || one.ip() == other.ip())
}

fn check_timing(timing: &Timing, add: &mut impl FnMut(&str, String)) {
    if timing.probe_interval >= timing.report_bound {
        let reason = format_compact!(
            "must be longer than probe_interval ({})",
            timing.probe_interval
        );
        add("timing.report_bound", reason.into());
    }
    let spent = timing.clock_margin.0 + timing.order_timeout.0;
    if timing.leader_lease.0 <= spent {
        let reason = "must be longer than clock_margin and order_timeout together";
        add("timing.leader_lease", reason.to_owned());
    }
    if timing.key_retention.0 < timing.dispatch_window.0.saturating_mul(RETENTION_WINDOWS) {
        let reason =
            format!("must be at least {RETENTION_WINDOWS} times as long as dispatch_window");
        add("timing.key_retention", reason);
    }
}

fn line_of(root: &Item, path: &str) -> u64 {
    let mut item = root;
    for key in path.split('.') {
        match item.get(key) {
            Some(found) => item = found,
            None => break,
        }
    }
    item.line
}
