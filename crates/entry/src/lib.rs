//! The callers' data path of one node.
//!
//! Requests read an immutable [`snapshot::Snapshot`] and atomic gauges. Observations that have to
//! be evaluated in order go to the control thread as an [`event::Event`]. [`server::Server`]
//! handles callers' requests on several workers.

pub mod connection;
pub mod counter;
pub mod drain;
pub mod event;
pub mod gauge;
pub mod in_flight;
pub mod limits;
pub mod once;
pub mod route;
pub mod server;
pub mod shared;
pub mod snapshot;

mod admit;
mod at_most_once;
mod attempt;
mod auth;
mod buffered;
mod call;
mod completion;
mod control;
mod dispatch;
mod exchange;
mod gate;
mod handler;
mod head;
mod isolation;
mod pool;
mod problem;
mod quota;
mod race;
mod sequence;
mod service;
mod sse;
mod stream;
