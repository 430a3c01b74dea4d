//! Stand-in for the platform's key-value service.

pub mod fault;
pub mod memory;
mod message;
pub mod server;
mod state;

pub use fault::Fault;
pub use memory::Memory;
pub use server::Server;
