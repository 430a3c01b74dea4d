//! Facade of jackdawstair: settings, logs and the running node.
//!
//! The daemon, the demo and the tests start a node with [`node::Node::start`].

pub mod log;
pub mod node;
mod recorder;
pub mod settings;
pub mod stop;

pub use jackdaw_control as control;
pub use jackdaw_core as core;
pub use jackdaw_entry as entry;
pub use jackdaw_platform as platform;
pub use jackdaw_policy as policy;
pub use jackdaw_wire as wire;
