//! Options of the control thread.

use compact_str::CompactString;
use jackdaw_core::units::Millis;
use jackdaw_policy::plan;

/// Identity, timing and limits of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Name of the node.
    pub node: CompactString,
    /// Region of the node.
    pub region: CompactString,
    /// Availability zone of the node.
    pub zone: CompactString,
    /// Time between two probes of one VM.
    pub probe_interval: Millis,
    /// Age at which a member's report no longer counts.
    pub max_report_age: Millis,
    /// Time between two reads of the VM list.
    pub list_interval: Millis,
    /// Time between two rounds of planning and orders.
    pub plan_interval: Millis,
    /// Time to live of the zone leader's lease.
    pub leader_lease: Millis,
    /// Margin for the difference between clocks' rates.
    pub clock_margin: Millis,
    /// Timeout of an order.
    pub order_timeout: Millis,
    /// Whether every engine refuses orders with an old fencing number.
    pub engines_check_fence: bool,
    /// Options of the planner.
    pub plan: plan::Options,
    /// Number of decisions kept for operators.
    pub decisions_kept: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            node: CompactString::default(),
            region: CompactString::default(),
            zone: CompactString::default(),
            probe_interval: Millis(500),
            max_report_age: Millis(2_000),
            list_interval: Millis(1_000),
            plan_interval: Millis(250),
            leader_lease: Millis(6_000),
            clock_margin: Millis(500),
            order_timeout: Millis(2_000),
            engines_check_fence: false,
            plan: plan::Options::default(),
            decisions_kept: 10_000,
        }
    }
}
