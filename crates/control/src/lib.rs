//! Leader, membership, release notes and the operators' interface of one node.
//!
//! One control thread takes [`event::Event`]s, steps the policy parts in order, carries their
//! actions out by local tasks and publishes the next snapshot for the request path.

pub mod admin;
pub mod courier;
pub mod event;
pub mod follow;
pub mod leader;
pub mod metrics;
pub mod network;
pub mod options;
pub mod order;
pub mod overlay;
pub mod peer;
pub mod probe;
pub mod release;
pub mod runtime;
pub mod snapshot;
pub mod state;
