//! Client of the platform's VM list.

use std::net::SocketAddr;

use async_trait::async_trait;
use compact_str::ToCompactString;
use jackdaw_core::errors::Result;
use jackdaw_core::inventory::{Inventory, Vm};

use crate::http::{self, Bounds, Exchange, Request};

/// Path of the list.
const PATH: &str = "/vms";

/// Step at which the list is read.
const STEP: &str = "read VM list";

/// Reads the VM list over HTTP.
#[derive(Clone, Debug)]
pub struct Client {
    exchange: Exchange,
    address: SocketAddr,
}

impl Client {
    /// Creates a client of the list at an address; needs a running ntex system.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP connector cannot be built.
    pub async fn new(address: SocketAddr, bounds: Bounds) -> Result<Self> {
        let exchange = Exchange::new(bounds).await?;
        Ok(Client { exchange, address })
    }
}

#[async_trait(?Send)]
impl Inventory for Client {
    async fn vms(&self) -> Result<Vec<Vm>> {
        let body = self
            .exchange
            .send(STEP, self.address, PATH, Request::<()>::Get)
            .await?;
        http::decode(STEP, &self.address.to_compact_string(), &body)
    }
}
