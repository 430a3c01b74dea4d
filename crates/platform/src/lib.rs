//! Clients of the platform: key-value service, VM list, weight store and model engines.

pub mod engine;
pub mod etcd;
pub mod http;
pub mod inventory;
