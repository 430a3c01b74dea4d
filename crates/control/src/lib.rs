//! Leader election, membership, release notes and the operators' interface of one node.
//!
//! One control thread receives [`event::Event`]s, steps the policy state machines in order,
//! executes their actions as local tasks and publishes the next snapshot for the request path.

pub mod admin;
pub mod catalog_follower;
pub mod event;
pub mod job;
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
