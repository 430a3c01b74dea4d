//! Clients of the platform: the key-value service, the VM list and the model engines.

pub mod engine;
pub mod etcd;
pub mod http;
pub mod inventory;
