//! Shares capacity among teams and refuses early what cannot be answered in time.
//!
//! Each node keeps to its own share of a team's rate and of the servers' slots, so that no count
//! has to be agreed on between nodes, and a node that is cut off takes no more than before: the spreading
//! between nodes does not lower the number of nodes while most of them are out of reach.

mod queue;
mod rate;

pub use queue::{Admission, Arrival, Queue, Refusal, Ticket, Wakeup};
pub use rate::RateLimiter;

/// Part of its share by which a node may exceed it: one in this many.
const OVERCOMMIT: u64 = 4;
/// Requests by which a node may exceed its share however small it is.
const OVERCOMMIT_REQUESTS: u64 = 4;

/// Returns how many requests one node may run at once at some servers.
///
/// The excess over an even share makes up for the uneven spread of callers over nodes.
#[must_use]
pub fn share(slots: u32, servers: usize, nodes: u32) -> u32 {
    let all = u64::from(slots) * servers as u64;
    let even = all.div_ceil(u64::from(nodes.max(1)));
    let share = even + even / OVERCOMMIT + OVERCOMMIT_REQUESTS;
    u32::try_from(share.min(all)).unwrap_or(u32::MAX).max(1)
}
