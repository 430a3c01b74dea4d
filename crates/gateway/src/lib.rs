//! Routes callers' requests to replica groups and plain services.
//!
//! A node runs on one thread: it follows the configuration and the servers'
//! registrations in the store, forms replica groups while it leads its availability zone, and
//! relays requests over ntex on the callers' side and over [`jackdaw_link`] on the servers' side.

pub mod node;
pub mod options;
pub mod server;

mod arena;
mod body;
mod dispatch;
mod event;
mod follow;
mod handler;
mod header;
mod leader;
mod peers;
mod refusal;
mod relay;
mod times;
mod whole;
