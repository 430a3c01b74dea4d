//! Small stand-ins for the platform and the backend servers.
//!
//! Tests and the demo use them in-process; the binary runs them as a separate process. They
//! implement only what the tests use.

pub mod engine;
pub mod fleet;
pub mod host;
pub mod inventory;
pub mod platform;
pub mod service;
pub mod store;
pub mod tokens;
