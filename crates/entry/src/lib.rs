//! The callers' data path of one node.
//!
//! Requests read an immutable [`snapshot::Snapshot`] and atomic gauges; whatever has to be decided
//! in order goes as an [`event::Event`] to the control thread. [`server::Server`] takes the
//! callers' requests on several workers.

pub mod counter;
pub mod drain;
pub mod event;
pub mod gauge;
pub mod once;
pub mod route;
pub mod server;
pub mod shared;
pub mod snapshot;

mod admit;
mod alone;
mod auth;
mod call;
mod complete;
mod control;
mod dispatch;
mod exchange;
mod gate;
mod guarded;
mod handler;
mod head;
mod link;
mod plain;
mod problem;
mod sequence;
mod share;
mod sse;
mod stream;
mod whole;
