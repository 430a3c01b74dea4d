//! Settings of a node, which are read from YAML and checked for consistency.

mod check;
mod read;
mod reader;
mod tree;

use std::net::SocketAddr;

use compact_str::CompactString;
use jackdaw_core::units::Millis;
use slog::Level;

pub use jackdaw_control::admin::auth::{Operator, Role};
pub use reader::Problem;

/// Part of the grace period in which no request may be in flight any more: the time for the last
/// answers, for results that are not recorded yet and for the end of the threads.
pub const STOP_RESERVE: Millis = Millis(4_000);

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Endpoints of the key-value service.
    pub store: Vec<SocketAddr>,
    /// Address of the VM list.
    pub vms: SocketAddr,
}

/// Weights of the two measures in the planner's cost of an allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Weights {
    /// Weight of the groups' downtime.
    pub downtime: u64,
    /// Weight of stranded accelerators.
    pub stranded: u64,
}

/// Intervals, timeouts and other durations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time between two probes of the same VM.
    pub probe_interval: Millis,
    /// Age at which a member's report no longer counts.
    pub report_bound: Millis,
    /// Time between two reads of the VM list.
    pub list_interval: Millis,
    /// Time between two runs of the planner.
    pub plan_interval: Millis,
    /// Time to live of the zone leader's lease.
    pub leader_lease: Millis,
    /// Allowance for clocks that run at different rates.
    pub clock_margin: Millis,
    /// Longest time that an order to an engine may take.
    pub order_timeout: Millis,
    /// Time between two rounds of exchanges with other nodes.
    pub spread_interval: Millis,
    /// Time after the start of a non-idempotent call within which it may be dispatched.
    pub dispatch_window: Millis,
    /// Shortest time for which the key of a non-idempotent call is remembered.
    pub key_retention: Millis,
    /// Longest time from a signal to the end of the process.
    pub grace_period: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            probe_interval: Millis(500),
            report_bound: Millis(2_000),
            list_interval: Millis(1_000),
            plan_interval: Millis(250),
            leader_lease: Millis(6_000),
            clock_margin: Millis(500),
            order_timeout: Millis(2_000),
            spread_interval: Millis(500),
            dispatch_window: Millis::from_secs(10),
            key_retention: Millis::from_secs(24 * 60 * 60),
            grace_period: Millis::from_secs(25),
        }
    }
}

/// Settings of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the node.
    pub node: CompactString,
    /// Region of the node.
    pub region: CompactString,
    /// Availability zone of the node.
    pub zone: CompactString,
    /// All availability zones of the fleet.
    pub zones: Vec<CompactString>,
    /// Address of the callers' port.
    pub callers: SocketAddr,
    /// Address of the operators' port.
    pub operators: SocketAddr,
    /// Address of the peers' port.
    pub peers: SocketAddr,
    /// Addresses of the peers' ports through which the node finds all other nodes.
    pub seeds: Vec<SocketAddr>,
    /// Token with which nodes authenticate to each other.
    pub peer_token: CompactString,
    /// Operators with the digests of their tokens and their roles.
    pub operator_tokens: Vec<Operator>,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Number of worker threads for callers.
    pub workers: usize,
    /// Lowest level that is logged.
    pub log_level: Level,
    /// Whether every engine refuses an order whose fencing number is outdated.
    pub engines_check_fence: bool,
    /// Weights of the planner's measures.
    pub weights: Weights,
    /// Intervals, timeouts and other durations.
    pub timing: Timing,
}

impl Settings {
    /// Parses settings from YAML and checks them.
    ///
    /// # Errors
    ///
    /// Returns all problems in the order of their lines.
    pub fn parse(yaml: &str) -> Result<Settings, Vec<Problem>> {
        let root = tree::parse(yaml)?;
        let (settings, mut problems) = read::read_settings(&root);
        if let Some(settings) = &settings {
            check::check(settings, &root, &mut problems);
        }
        problems.sort_by_key(|problem| problem.line);
        match settings {
            Some(settings) if problems.is_empty() => Ok(settings),
            Some(_) | None => Err(problems),
        }
    }
}
