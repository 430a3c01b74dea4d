//! Calls to a node's operators' port.

use std::time::Duration;

use jackdawstair::control::admin::problem::Problem;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientRequest, ClientResponse};
use ntex::http::Method;
use ntex::http::header::{ACCEPT, AUTHORIZATION};
use ntex::util::Bytes;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};

/// Longest time for connecting and for one answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Largest answer in bytes.
const ANSWER_BYTES: usize = 16 << 20;

/// Reaches one node.
pub(crate) struct Node {
    client: Client,
    address: String,
    token: String,
}

impl Node {
    pub(crate) async fn new(address: String, token: String) -> Self {
        Node {
            client: Client::new().await,
            address,
            token,
        }
    }

    /// Gets a resource as JSON text.
    pub(crate) async fn get(&self, path: &str) -> Result<String> {
        self.exchange(Method::GET, path, None).await
    }

    /// Posts a document and gets the answer as JSON text.
    pub(crate) async fn post(&self, path: &str, body: String) -> Result<String> {
        self.exchange(Method::POST, path, Some(body)).await
    }

    /// Opens a stream of server-sent events.
    pub(crate) async fn follow(&self, path: &str) -> Result<ClientResponse> {
        let request = self
            .request(Method::GET, path)
            .header(ACCEPT, "text/event-stream");
        let response = request.send().await.map_err(|error| self.lost(error))?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(self.refused(response).await)
    }

    /// Creates the error of a connection that was lost.
    pub(crate) fn lost(&self, reason: impl ToString) -> Error {
        Error::Unreachable {
            address: self.address.clone(),
            reason: reason.to_string(),
        }
    }

    async fn exchange(&self, method: Method, path: &str, body: Option<String>) -> Result<String> {
        match ntex::time::timeout(TIMEOUT, self.send(method, path, body)).await {
            Ok(result) => result,
            Err(()) => Err(self.lost("no whole answer in time")),
        }
    }

    async fn send(&self, method: Method, path: &str, body: Option<String>) -> Result<String> {
        let request = self.request(method, path);
        let sent = match body {
            Some(body) => {
                request
                    .content_type("application/json")
                    .send_body(body)
                    .await
            }
            None => request.send().await,
        };
        let response = sent.map_err(|error| match error {
            // A connection that closes before the answer is reported as `Disconnected(None)`;
            // every other connect error means that nothing was sent.
            ClientError::Connect(ConnectError::Disconnected(None)) => self.lost(&error),
            ClientError::Connect(_) => Error::NotSent {
                address: self.address.clone(),
                reason: error.to_string(),
            },
            error => self.lost(error),
        })?;
        if !response.status().is_success() {
            return Err(self.refused(response).await);
        }
        let body = self.body(response).await?;
        String::from_utf8(body.to_vec()).map_err(|error| self.lost(error))
    }

    fn request(&self, method: Method, path: &str) -> ClientRequest {
        self.client
            .request(method, format!("http://{}{path}", self.address))
            .timeout(TIMEOUT)
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
    }

    async fn body(&self, response: ClientResponse) -> Result<Bytes> {
        let body = response.body().limit(ANSWER_BYTES).await;
        body.map_err(|error| self.lost(error))
    }

    async fn refused(&self, response: ClientResponse) -> Error {
        let status = response.status();
        let body = match self.body(response).await {
            Ok(body) => body,
            Err(error) => return error,
        };
        match serde_json::from_slice::<Problem>(&body) {
            Ok(problem) => Error::Refused(Box::new(problem)),
            Err(_) => self.lost(format!("answered with status {status}")),
        }
    }
}

/// Reads JSON text of a node.
pub(crate) fn parse<T: DeserializeOwned>(text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|error| Error::Unreachable {
        address: "node".to_owned(),
        reason: format!("its answer could not be read: {error}"),
    })
}
