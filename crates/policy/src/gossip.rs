//! Membership of the nodes and spreading of changes between them.
//!
//! Every node knows the names of all nodes, keeps a few stable links and exchanges heartbeats and
//! a digest of its facts with one of them each round. A change is pushed along the links at once;
//! whatever a push missed, the digests find.

pub mod fact;
pub mod hash;
pub mod heartbeat;
pub mod links;
pub mod message;
pub mod node;
pub mod rendezvous;
mod repair;
pub mod table;
mod target;
