//! Client for exchanges whose responses are small enough to be buffered.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::protocol::Exchange;
use jackdaw_core::units::{Bytes as Size, Millis};
use tokio::time;

use crate::connection::Fault;
use crate::pool::{Options, Pool};

/// Largest body of a response; a page of the store holds about a megabyte.
const MAX_RESPONSE_SIZE: Size = Size(8 << 20);

/// Sends requests over pooled connections and buffers the responses.
#[derive(Debug)]
pub struct Client {
    pool: Pool,
    step: &'static str,
}

impl Client {
    /// Creates a client; `step` names the client's operation in errors.
    #[must_use]
    pub fn new(step: &'static str, options: Options) -> Self {
        Client {
            pool: Pool::new(options),
            step,
        }
    }

    async fn send(
        &self,
        peer: SocketAddr,
        request: Request<Bytes>,
    ) -> std::result::Result<Response<Bytes>, Fault> {
        let mut connection = self.pool.take(peer).await?;
        let response = connection.send(request).await?;
        let (head, body) = response.into_parts();
        let body = read_body(body, MAX_RESPONSE_SIZE).await?;
        self.pool.put(connection, &head.headers, usize::MAX);
        Ok(Response::from_parts(head, body))
    }
}

/// Reads the body of a response to its end and returns it.
///
/// # Errors
///
/// Returns [`Fault::Unanswered`] if the body ends early or is larger than `limit`.
pub async fn read_body(body: Incoming, limit: Size) -> std::result::Result<Bytes, Fault> {
    let limit = usize::try_from(limit.0).unwrap_or(usize::MAX);
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(Fault::Unanswered(error.to_string())),
    }
}

#[async_trait]
impl Exchange for Client {
    async fn exchange(
        &self,
        peer: SocketAddr,
        request: Request<Bytes>,
        timeout: Millis,
    ) -> Result<Response<Bytes>> {
        let name = peer.to_string();
        match time::timeout(timeout.duration(), self.send(peer, request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(Fault::NotSent(reason))) => Err(Error::unreachable(self.step, &name, reason)),
            Ok(Err(fault @ Fault::Unanswered(_))) => {
                Err(Error::indeterminate(self.step, &name, fault))
            }
            Err(_) => {
                let reason = format!("no answer within {timeout}");
                Err(Error::indeterminate(self.step, &name, reason))
            }
        }
    }
}
