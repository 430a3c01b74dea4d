//! JSON over HTTP with time and size limits, and errors that tell whether a request was sent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::protocol::is_final_status;
use jackdaw_core::units::Millis;
use ntex::SharedCfg;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientResponse, Connector};
use ntex::http::StatusCode;
use ntex::io::IoConfig;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Seconds for which idle connections are kept; longer than any interval between requests.
const KEEP_ALIVE_SECONDS: u16 = 15;

/// Limits that apply to every request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Time limit for establishing a connection.
    pub connect: Millis,
    /// Time limit for receiving the complete response, including the time to connect.
    pub total: Millis,
    /// Maximum size of a response body, in bytes.
    pub answer_bytes: usize,
}

/// HTTP client that exchanges JSON over persistent connections.
#[derive(Clone, Debug)]
pub(crate) struct Transport {
    client: Client,
    bounds: Bounds,
}

/// Method and body of a request.
pub(crate) enum Request<'a, T> {
    /// `GET` without a body.
    Get,
    /// `POST` with a JSON body.
    Post(&'a T),
}

impl Transport {
    /// Creates a client. Requires a running ntex system.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be built.
    pub(crate) async fn new(bounds: Bounds) -> Result<Self> {
        let connect = ntex::time::Millis::from(bounds.connect.duration());
        let config: SharedCfg = SharedCfg::new("jackdaw-platform")
            .add(IoConfig::new().set_connect_timeout(connect))
            .into();
        let connector = Connector::default()
            .limit(0)
            .keep_alive(ntex::time::Seconds(KEEP_ALIVE_SECONDS));
        let client = Client::builder()
            .connector::<&str>(connector)
            .disable_redirects()
            .disable_timeout()
            .response_payload_limit(bounds.answer_bytes)
            .build(config)
            .await
            .map_err(|error| Error::unreachable("build client", "itself", error))?;
        Ok(Transport { client, bounds })
    }

    /// Sends a request and returns the response body.
    ///
    /// # Errors
    ///
    /// Returns `Unreachable` if the request was not sent, `Indeterminate` for a status of 500 or
    /// more or if no complete response arrives in time, and `Refused` for any other status outside
    /// 200 to 299.
    pub(crate) async fn send<T: Serialize>(
        &self,
        step: &'static str,
        address: SocketAddr,
        path: &str,
        request: Request<'_, T>,
    ) -> Result<Bytes> {
        let peer = address.to_compact_string();
        let exchange = self.exchange(step, &peer, path, request);
        // Dropping the future closes its connection, so an unresponsive connection is not reused.
        match tokio::time::timeout(self.bounds.total.duration(), exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::indeterminate(step, &peer, "no whole answer in time")),
        }
    }

    async fn exchange<T: Serialize>(
        &self,
        step: &'static str,
        peer: &CompactString,
        path: &str,
        request: Request<'_, T>,
    ) -> Result<Bytes> {
        let url = format!("http://{peer}{path}");
        let result = match request {
            Request::Get => self.client.get(url).send().await,
            Request::Post(body) => self.client.post(url).send_json(body).await,
        };
        let response = result.map_err(|error| classify(step, peer, &error))?;
        read_body(step, peer, &response).await
    }
}

/// Decodes a JSON response body.
///
/// # Errors
///
/// Returns `Malformed` if the body is not valid JSON for `T`.
pub(crate) fn decode<T: DeserializeOwned>(
    step: &'static str,
    peer: &str,
    body: &[u8],
) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Error::malformed(step, peer, error))
}

/// Reads the complete response body, or returns an error for a status outside 200 to 299.
async fn read_body(step: &'static str, peer: &str, response: &ClientResponse) -> Result<Bytes> {
    let status = response.status();
    let body = response
        .body()
        .timeout(ntex::time::Millis::from(Duration::ZERO))
        .await;
    if !status.is_success() {
        return Err(status_error(step, peer, status));
    }
    let body = body.map_err(|error| Error::indeterminate(step, peer, error))?;
    Ok(Bytes::copy_from_slice(&body))
}

/// Returns the error for an unsuccessful status. A server error may follow a partial effect, and a
/// status that HTTP does not have says nothing of one.
fn status_error(step: &'static str, peer: &str, status: StatusCode) -> Error {
    if status.is_server_error() || !is_final_status(status.as_u16()) {
        return Error::indeterminate(step, peer, status);
    }
    Error::refused(step, peer, status)
}

/// Distinguishes errors before the first byte was sent from later ones.
fn classify(step: &'static str, peer: &str, error: &ClientError) -> Error {
    match error {
        // ntex reports a connection that closes before the response as `Disconnected(None)`, which
        // happens after the request was sent.
        ClientError::Connect(ConnectError::Disconnected(None)) => {
            Error::indeterminate(step, peer, error)
        }
        ClientError::Connect(_) | ClientError::Url(_) | ClientError::Request(_) => {
            Error::unreachable(step, peer, error)
        }
        ClientError::Send(_)
        | ClientError::Response(_)
        | ClientError::Http(_)
        | ClientError::H2(_)
        | ClientError::Timeout
        | ClientError::TunnelNotSupported
        | ClientError::Error(_) => Error::indeterminate(step, peer, error),
    }
}
