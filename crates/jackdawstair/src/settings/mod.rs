//! Settings of a node, read from YAML and checked as a whole.

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

/// Where the platform is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Endpoints of the key-value service.
    pub store: Vec<SocketAddr>,
    /// Address of the VM list.
    pub vms: SocketAddr,
}

/// Weights of the two measures in group planning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Weights {
    /// Weight of group downtime.
    pub downtime: u64,
    /// Weight of stranded accelerators.
    pub stranded: u64,
}

/// Timing of the node's parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time between two probes of one VM.
    pub probe_interval: Millis,
    /// Age at which a member's report no longer counts.
    pub report_bound: Millis,
    /// Time between two reads of the VM list.
    pub list_interval: Millis,
    /// Time between two rounds of planning.
    pub plan_interval: Millis,
    /// Time to live of the zone leader's lease.
    pub leader_lease: Millis,
    /// Margin for the difference between clocks' rates.
    pub clock_margin: Millis,
    /// Longest time that an order may be under way.
    pub order_timeout: Millis,
    /// Time between two rounds of spreading.
    pub spread_interval: Millis,
    /// Time after its start in which a non-idempotent call may be dispatched.
    pub dispatch_window: Millis,
    /// Time for which the key of a non-idempotent call is remembered at least.
    pub key_retention: Millis,
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
    /// Peers' ports of other nodes, from which all peers are found.
    pub seeds: Vec<SocketAddr>,
    /// Token that nodes show each other.
    pub peer_token: CompactString,
    /// Operators' tokens.
    pub operator_tokens: Vec<Operator>,
    /// Platform.
    pub platform: Platform,
    /// Number of worker threads for callers.
    pub workers: usize,
    /// Level of the logs.
    pub log_level: Level,
    /// Whether every engine refuses orders with an old fencing number.
    pub engines_check_fence: bool,
    /// Weights of the measures.
    pub weights: Weights,
    /// Timing.
    pub timing: Timing,
}

impl Settings {
    /// Reads settings from YAML.
    ///
    /// # Errors
    ///
    /// Returns every problem at once, each with the line and the path of its key.
    pub fn parse(yaml: &str) -> Result<Settings, Vec<Problem>> {
        let root = tree::parse(yaml)?;
        let (settings, mut problems) = read::settings(&root);
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
