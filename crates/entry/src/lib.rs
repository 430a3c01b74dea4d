//! The callers' data path of one node.
//!
//! Requests read an immutable [`snapshot::Snapshot`] and atomic gauges; whatever has to be decided
//! in order goes as an [`event::Event`] to the control thread.

pub mod event;
pub mod gauge;
pub mod snapshot;
