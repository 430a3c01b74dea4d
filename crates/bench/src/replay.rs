//! Replays failures and release notes through a placement policy, event by event.
//!
//! It does not simulate a whole cluster: it tracks which VMs answer and which weights they hold,
//! limits the parallel loads from the weight store, and asks a policy for a placement after each
//! event.

pub(crate) mod fixed;
pub(crate) mod policy;
pub(crate) mod schedule;
pub(crate) mod zone;
