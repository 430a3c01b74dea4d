//! What a leader may do and until when.

use compact_str::CompactString;
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Millis};

/// Times and identity of an election.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Name of this node.
    pub node: CompactString,
    /// Availability zone.
    pub zone: CompactString,
    /// Time to live of the lease.
    pub ttl: Millis,
    /// Bound on how far the clocks of this node and the service drift apart within one lease.
    pub clock_margin: Millis,
    /// Longest time that an order is under way.
    pub order_timeout: Millis,
    /// Time before a failed call is repeated.
    pub retry_delay: Millis,
    /// Time that this node waits before it runs for a free leadership; differs between nodes, so
    /// that they do not all call at once.
    pub candidacy_delay: Millis,
    /// Whether all engines of the zone refuse orders with an old fencing number.
    pub engines_check_fence: bool,
}

/// What this node may do as leader, and until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Authority {
    /// Fencing number.
    pub fence: Fence,
    /// Time from which on orders may be sent.
    pub orders_from: Instant,
    /// Time at which the authority ends.
    pub until: Instant,
}

impl Authority {
    /// Returns whether a placement may be written.
    #[must_use]
    pub fn may_commit(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Returns whether an order may be sent.
    #[must_use]
    pub fn may_order(&self, now: Instant) -> bool {
        self.orders_from <= now && now < self.until
    }
}
