//! HTTP client for the platform's VM list.

use std::net::SocketAddr;

use async_trait::async_trait;
use compact_str::ToCompactString;
use jackdaw_core::errors::Result;
use jackdaw_core::inventory::{Inventory, Vm};

use crate::http::{self, Bounds, Request, Transport};

/// Path of the VM list.
const PATH: &str = "/vms";

/// Operation named in errors from reading the list.
const STEP: &str = "read VM list";

/// Reads the VM list over HTTP.
#[derive(Clone, Debug)]
pub struct Client {
    transport: Transport,
    address: SocketAddr,
}

impl Client {
    /// Creates a client for the list served at `address`. Requires a running ntex system.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP connector cannot be built.
    pub async fn new(address: SocketAddr, bounds: Bounds) -> Result<Self> {
        let transport = Transport::new(bounds).await?;
        Ok(Client { transport, address })
    }
}

#[async_trait(?Send)]
impl Inventory for Client {
    async fn vms(&self) -> Result<Vec<Vm>> {
        let body = self
            .transport
            .send(STEP, self.address, PATH, Request::<()>::Get)
            .await?;
        http::decode(STEP, &self.address.to_compact_string(), &body)
    }
}
