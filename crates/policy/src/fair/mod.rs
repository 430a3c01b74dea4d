//! Divides capacity among teams and refuses requests early that cannot be answered in time.
//!
//! Each node limits itself to its own share of a team's rate and of the servers' slots, so that the
//! nodes need not agree on any count. An isolated node takes no more than before, because gossip
//! does not lower the number of nodes while most of them are unreachable.

mod queue;
mod rate;

pub use queue::{Admission, Arrival, Queue, Refusal, Ticket, Wakeup};
pub use rate::RateLimiter;

/// Divisor of a node's even share; the node may exceed the share by the quotient.
const OVERCOMMIT_DIVISOR: u64 = 4;
/// Number of requests by which a node may exceed even a very small share.
const OVERCOMMIT_REQUESTS: u64 = 4;

/// Returns the number of requests that one of some nodes may run concurrently on some servers.
///
/// The excess over an even share compensates for the uneven distribution of callers over nodes.
#[must_use]
pub fn share(slots: u32, servers: usize, nodes: u32) -> u32 {
    let total = u64::from(slots) * servers as u64;
    let even = total.div_ceil(u64::from(nodes.max(1)));
    let share = even + even / OVERCOMMIT_DIVISOR + OVERCOMMIT_REQUESTS;
    u32::try_from(share.min(total)).unwrap_or(u32::MAX).max(1)
}
