//! One HTTP exchange with a peer, with bounds and with errors that say what was sent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::units::Millis;
use ntex::SharedCfg;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientResponse, Connector};
use ntex::http::StatusCode;
use ntex::io::IoConfig;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Idle connections are kept this many seconds, longer than any period between two exchanges.
const KEEP_ALIVE_SECONDS: u16 = 15;

/// Bounds of every exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Time in which a connection must be established.
    pub connect: Millis,
    /// Time in which the whole answer must have come, connecting included.
    pub total: Millis,
    /// Largest answer in bytes.
    pub answer_bytes: usize,
}

/// Exchanges JSON with peers over kept connections.
#[derive(Clone, Debug)]
pub(crate) struct Exchange {
    client: Client,
    bounds: Bounds,
}

/// Body of a request and its method.
pub(crate) enum Request<'a, T> {
    /// `GET` without a body.
    Get,
    /// `POST` with a JSON body.
    Post(&'a T),
}

impl Exchange {
    /// Creates the client; needs a running ntex system.
    ///
    /// # Errors
    ///
    /// Returns an error if the connector cannot be built.
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
        Ok(Exchange { client, bounds })
    }

    /// Sends a request and returns the body of its answer.
    ///
    /// # Errors
    ///
    /// Returns `Unreachable` if nothing was sent, `Refused` for a status outside 200 to 299, and
    /// `Indeterminate` if no whole answer came in time.
    pub(crate) async fn send<T: Serialize>(
        &self,
        step: &'static str,
        address: SocketAddr,
        path: &str,
        request: Request<'_, T>,
    ) -> Result<Bytes> {
        let peer = address.to_compact_string();
        let exchange = self.exchange(step, &peer, path, request);
        // Dropping the exchange closes its connection, so that a connection which has gone silent
        // is not used again.
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
        let sent = match request {
            Request::Get => self.client.get(url).send().await,
            Request::Post(body) => self.client.post(url).send_json(body).await,
        };
        let response = sent.map_err(|error| classify(step, peer, &error))?;
        read(step, peer, &response).await
    }
}

/// Decodes a JSON answer.
///
/// # Errors
///
/// Returns `Malformed` if the answer is not the expected JSON.
pub(crate) fn decode<T: DeserializeOwned>(
    step: &'static str,
    peer: &str,
    body: &[u8],
) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Error::malformed(step, peer, error))
}

/// Reads the whole body of an answer.
async fn read(step: &'static str, peer: &str, response: &ClientResponse) -> Result<Bytes> {
    let status = response.status();
    let body = response
        .body()
        .timeout(ntex::time::Millis::from(Duration::ZERO))
        .await;
    if !status.is_success() {
        return Err(refusal(step, peer, status));
    }
    let body = body.map_err(|error| Error::indeterminate(step, peer, error))?;
    Ok(Bytes::copy_from_slice(&body))
}

/// Returns the error for a status that is no success.
fn refusal(step: &'static str, peer: &str, status: StatusCode) -> Error {
    if status.is_server_error() {
        return Error::indeterminate(step, peer, status);
    }
    Error::refused(step, peer, status)
}

/// Tells apart errors before and after the first byte was sent.
fn classify(step: &'static str, peer: &str, error: &ClientError) -> Error {
    match error {
        // The library reports a connection that closes before the answer as `Disconnected(None)`,
        // thus after the request was sent.
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
