//! Control interface of model engines.

use std::net::SocketAddr;

use async_trait::async_trait;

use crate::errors::Result;
use crate::member::Report;
use crate::order::Order;

/// Reads reports from model engines and sends them orders.
#[async_trait(?Send)]
pub trait Engine {
    /// Gets the report of the engine at an address.
    ///
    /// # Errors
    ///
    /// Returns an error if no whole report is received in time.
    async fn report(&self, address: SocketAddr) -> Result<Report>;

    /// Sends an order and returns once the engine has accepted it.
    ///
    /// # Errors
    ///
    /// Returns `Refused` if the engine holds a higher fencing number, and `Indeterminate` if the
    /// order may have been received.
    async fn order(&self, address: SocketAddr, order: &Order) -> Result<()>;
}
