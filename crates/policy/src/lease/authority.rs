//! Options of an election and the authority of its leader.

use compact_str::CompactString;
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Millis};

/// Identity and timing of one node in an election.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Name of this node.
    pub node: CompactString,
    /// Availability zone.
    pub zone: CompactString,
    /// Time to live of the lease.
    pub ttl: Millis,
    /// Bound on the drift between the clocks of this node and the service within one lease.
    pub clock_margin: Millis,
    /// Longest time that an order is in flight.
    pub order_timeout: Millis,
    /// Delay before a failed call is repeated.
    pub retry_delay: Millis,
    /// Delay before this node becomes a candidate for a vacant leadership. It differs between nodes
    /// so that they do not all call at once.
    pub candidacy_delay: Millis,
    /// Whether all engines of the zone refuse orders with an outdated fencing number.
    pub engines_check_fence: bool,
}

/// Time bounds within which this node may act as leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Authority {
    /// Fencing number.
    pub fence: Fence,
    /// Time from which orders may be sent.
    pub orders_from: Instant,
    /// Time at which the authority ends.
    pub until: Instant,
}

impl Authority {
    /// Returns whether the leader may write a placement.
    #[must_use]
    pub fn may_commit(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Returns whether the leader may send an order.
    #[must_use]
    pub fn may_order(&self, now: Instant) -> bool {
        self.orders_from <= now && now < self.until
    }
}
