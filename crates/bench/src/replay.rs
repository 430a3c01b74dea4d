//! Replays failures and notes through a planner, event by event.
//!
//! This is no simulator of a cluster: it keeps which VM answers and which weights it holds, gives
//! the weight store a number of loads at a time, and asks a policy for a placement after each event.

pub(crate) mod fixed;
pub(crate) mod policy;
pub(crate) mod schedule;
pub(crate) mod zone;
