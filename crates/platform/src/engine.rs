//! Client of the control side of model engines.

use std::net::SocketAddr;

use async_trait::async_trait;
use compact_str::ToCompactString;
use jackdaw_core::engine::Engine;
use jackdaw_core::errors::Result;
use jackdaw_core::member::Report;
use jackdaw_core::order::Order;

use crate::http::{self, Bounds, Exchange, Request};

/// Path of an engine's report.
const REPORT_PATH: &str = "/jackdaw/report";

/// Path to which orders are sent.
const ORDER_PATH: &str = "/jackdaw/order";

/// Step at which a report is read.
const REPORT_STEP: &str = "read report";

/// Step at which an order is sent.
const ORDER_STEP: &str = "send order";

/// Reads reports and sends orders over HTTP.
#[derive(Clone, Debug)]
pub struct Client {
    exchange: Exchange,
}

impl Client {
    /// Creates a client; needs a running ntex system.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP connector cannot be built.
    pub async fn new(bounds: Bounds) -> Result<Self> {
        let exchange = Exchange::new(bounds).await?;
        Ok(Client { exchange })
    }
}

#[async_trait(?Send)]
impl Engine for Client {
    async fn report(&self, address: SocketAddr) -> Result<Report> {
        let body = self
            .exchange
            .send(REPORT_STEP, address, REPORT_PATH, Request::<()>::Get)
            .await?;
        http::decode(REPORT_STEP, &address.to_compact_string(), &body)
    }

    async fn order(&self, address: SocketAddr, order: &Order) -> Result<()> {
        self.exchange
            .send(ORDER_STEP, address, ORDER_PATH, Request::Post(order))
            .await?;
        Ok(())
    }
}
