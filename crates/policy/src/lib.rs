//! Decision logic of jackdawstair, as pure functions of state, event and time.
//!
//! Nothing here opens a socket, starts a thread or reads a clock. Each module is a state machine of
//! its own: it takes an event and the time and returns actions and the reasons for them. Random
//! numbers come from a seed. Tests can therefore run the whole crate without a network or a clock.

pub mod admission;
pub mod answer;
pub mod assembly;
pub mod backoff;
pub mod balance;
pub mod continuation;
pub mod demand;
pub mod ending;
pub mod evacuation;
pub mod fair;
pub mod feed;
pub mod fleet;
pub mod freshness;
pub mod gossip;
pub mod grace_period;
pub mod lease;
pub mod member;
pub mod memory;
pub mod once;
pub mod pause;
pub mod peers;
pub mod placement;
pub mod plan;
pub mod poison;
pub mod reach;
pub mod registry;
pub mod relay;
pub mod release;
pub mod remote;
pub mod retry;
pub mod route;
pub mod shutdown;
pub mod stall;
pub mod throttle;
pub mod warmup;
