//! Routes callers' requests to replica groups and plain services.
//!
//! A node runs on one thread: it follows the configuration and the servers' registrations in the
//! store, forms replica groups while it leads its availability zone, and relays requests. It uses
//! ntex on the callers' side and [`jackdaw_link`] on the servers' side.

pub mod node;
pub mod options;
pub mod server;
pub mod termination;

mod activity;
mod attempt;
mod bans;
mod body;
mod buffered;
mod call;
mod connections;
mod demand;
mod dispatch;
mod ending;
mod evacuation;
mod event;
mod exposure;
mod follow;
mod freshness;
mod handler;
mod header;
mod histograms;
mod in_flight;
mod lag;
mod leader;
mod limits;
mod liveness;
mod marked;
mod memory;
mod oddities;
mod passage;
mod pauses;
mod peers;
mod poison;
mod race;
mod refusal;
mod registrations;
mod relay;
mod segment;
mod stop;
mod targets;
mod tunnel;
