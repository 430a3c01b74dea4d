//! HTTP client for the control interface of model engines.

use std::net::SocketAddr;

use async_trait::async_trait;
use compact_str::ToCompactString;
use jackdaw_core::engine::Engine;
use jackdaw_core::errors::Result;
use jackdaw_core::member::Report;
use jackdaw_core::order::Order;

use crate::http::{self, Bounds, Request, Transport};

/// Path of an engine's status report.
const REPORT_PATH: &str = "/jackdaw/report";

/// Path that accepts orders.
const ORDER_PATH: &str = "/jackdaw/order";

/// Operation named in errors from reading a report.
const REPORT_STEP: &str = "read report";

/// Operation named in errors from sending an order.
const ORDER_STEP: &str = "send order";

/// Reads reports and sends orders over HTTP.
#[derive(Clone, Debug)]
pub struct Client {
    transport: Transport,
}

impl Client {
    /// Creates a client. Requires a running ntex system.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP connector cannot be built.
    pub async fn new(bounds: Bounds) -> Result<Self> {
        let transport = Transport::new(bounds).await?;
        Ok(Client { transport })
    }
}

#[async_trait(?Send)]
impl Engine for Client {
    async fn report(&self, address: SocketAddr) -> Result<Report> {
        let body = self
            .transport
            .send(REPORT_STEP, address, REPORT_PATH, Request::<()>::Get)
            .await?;
        http::decode(REPORT_STEP, &address.to_compact_string(), &body)
    }

    async fn order(&self, address: SocketAddr, order: &Order) -> Result<()> {
        self.transport
            .send(ORDER_STEP, address, ORDER_PATH, Request::Post(order))
            .await?;
        Ok(())
    }
}
