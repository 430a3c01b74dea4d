//! HTTP/1.1 connections to backend servers and to the platform's store.
//!
//! [`connection::Connection`] distinguishes a request that was not sent from one that the peer may
//! have received, [`pool::Pool`] keeps idle connections for reuse, and [`client::Client`] buffers
//! small responses. [`head::Reader`] reads the heads of responses that are only passed on.

pub mod client;
pub mod connection;
pub mod head;
mod paced;
pub mod pool;
