//! Every decision of jackdawstair as pure functions of state, event and time.
//!
//! Nothing here opens a socket, starts a thread or reads a clock. Each module holds one aggregate
//! with its own rules: an event and the time go in, actions and explanations come out, and
//! whatever is random comes from a seed. The crate can therefore be driven from a test bench alone.

pub mod admission;
pub mod assembly;
pub mod backoff;
pub mod balance;
pub mod fair;
pub mod fleet;
pub mod gossip;
pub mod grace_period;
pub mod lease;
pub mod member;
pub mod once;
pub mod peers;
pub mod placement;
pub mod plan;
pub mod poison;
pub mod release;
pub mod remote;
pub mod retry;
pub mod route;
