//! Gossip between the nodes: membership, failure detection and dissemination of facts.
//!
//! Every node knows the names of all nodes and keeps a few stable links. Each round it exchanges
//! heartbeats and a digest of its facts with one linked node. Changes are pushed along the links
//! immediately; comparing digests finds what a push missed (anti-entropy).

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
