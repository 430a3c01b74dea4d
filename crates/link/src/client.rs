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

use crate::connection::{Connection, Fault};
use crate::pool::{Options, Pool};

/// Largest body of a response; a page of the store holds about a megabyte.
const MAX_RESPONSE_SIZE: Size = Size(8 << 20);

/// Sends requests and buffers the responses.
#[derive(Debug)]
pub struct Client {
    pool: Pool,
    step: &'static str,
    max_response: Size,
}

impl Client {
    /// Creates a client; `step` names the client's operation in errors.
    #[must_use]
    pub fn new(step: &'static str, options: Options) -> Self {
        Client {
            pool: Pool::new(options),
            step,
            max_response: MAX_RESPONSE_SIZE,
        }
    }

    /// Sets the largest body of a response.
    #[must_use]
    pub fn with_max_response(mut self, size: Size) -> Self {
        self.max_response = size;
        self
    }

    /// Sends a request on an idle connection, or a new one, which is kept afterwards.
    async fn send_pooled(
        &self,
        peer: SocketAddr,
        request: Request<Bytes>,
    ) -> std::result::Result<Response<Bytes>, Fault> {
        let mut connection = self.pool.take(peer).await?;
        let response = send(&mut connection, request, self.max_response).await?;
        self.pool.put(connection, response.headers(), usize::MAX);
        Ok(response)
    }

    /// Sends a request on a connection that carries no other.
    async fn send_alone(
        &self,
        peer: SocketAddr,
        request: Request<Bytes>,
    ) -> std::result::Result<Response<Bytes>, Fault> {
        let mut connection = self.pool.open(peer).await?;
        send(&mut connection, request, self.max_response).await
    }

    /// Waits for a response, at most for the given time.
    async fn wait(
        &self,
        peer: SocketAddr,
        response: impl Future<Output = std::result::Result<Response<Bytes>, Fault>>,
        timeout: Millis,
    ) -> Result<Response<Bytes>> {
        let name = peer.to_string();
        match time::timeout(timeout.duration(), response).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(Fault::NotSent(reason))) => Err(Error::unreachable(self.step, &name, reason)),
            Ok(Err(fault @ (Fault::Unanswered(_) | Fault::Reset(_) | Fault::Overlong(_)))) => {
                Err(Error::indeterminate(self.step, &name, fault))
            }
            Err(_) => {
                let reason = format!("no answer within {timeout}");
                Err(Error::indeterminate(self.step, &name, reason))
            }
        }
    }
}

/// Sends a request and reads the whole response.
async fn send(
    connection: &mut Connection,
    request: Request<Bytes>,
    max_body: Size,
) -> std::result::Result<Response<Bytes>, Fault> {
    let (head, body) = connection.send(request).await?.into_parts();
    let body = read_body(body, max_body).await?;
    Ok(Response::from_parts(head, body))
}

/// Reads the body of a response to its end and returns it.
///
/// # Errors
///
/// Returns [`Fault::Unanswered`] if the body ends early or is larger than `limit`.
async fn read_body(body: Incoming, limit: Size) -> std::result::Result<Bytes, Fault> {
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
        let response = self.send_pooled(peer, request);
        self.wait(peer, response, timeout).await
    }

    async fn exchange_on_new_connection(
        &self,
        peer: SocketAddr,
        request: Request<Bytes>,
        timeout: Millis,
    ) -> Result<Response<Bytes>> {
        let response = self.send_alone(peer, request);
        self.wait(peer, response, timeout).await
    }
}
