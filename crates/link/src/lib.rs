//! HTTP/1.1 connections to backend servers and to the platform's store.
//!
//! [`connection::Connection`] tells a request that was surely not sent from one that may have
//! arrived, [`pool::Pool`] keeps connections after clean exchanges, and [`client::Client`] exchanges
//! small whole messages.

pub mod client;
pub mod connection;
pub mod pool;
