//! HTTP client for a node's operators' port.

use std::time::Duration;

use jackdawstair::control::admin::problem::Problem;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientRequest, ClientResponse};
use ntex::http::Method;
use ntex::http::header::{ACCEPT, AUTHORIZATION};
use ntex::util::Bytes;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};

/// Time limit for connecting and for one whole answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest accepted answer body, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Client of one node.
pub(crate) struct Node {
    client: Client,
    address: String,
    token: String,
}

impl Node {
    /// Creates a client that authenticates with a token.
    pub(crate) async fn new(address: String, token: String) -> Self {
        Node {
            client: Client::new().await,
            address,
            token,
        }
    }

    /// Gets a resource as JSON text.
    ///
    /// # Errors
    ///
    /// Fails if the node refuses the request or gives no whole answer in time.
    pub(crate) async fn get(&self, path: &str) -> Result<String> {
        self.send_with_timeout(Method::GET, path, None).await
    }

    /// Posts a JSON document and returns the answer as JSON text.
    ///
    /// # Errors
    ///
    /// Fails like [`Node::get`]; [`Error::NotSent`] means that the document was not sent.
    pub(crate) async fn post(&self, path: &str, body: String) -> Result<String> {
        self.send_with_timeout(Method::POST, path, Some(body)).await
    }

    /// Opens a stream of server-sent events.
    ///
    /// # Errors
    ///
    /// Fails if the node cannot be reached or refuses the request.
    pub(crate) async fn open_event_stream(&self, path: &str) -> Result<ClientResponse> {
        let request = self
            .build_request(Method::GET, path)
            .header(ACCEPT, "text/event-stream");
        let response = request
            .send()
            .await
            .map_err(|error| self.unreachable(error))?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(self.read_refusal(response).await)
    }

    /// Creates an [`Error::Unreachable`] for this node.
    pub(crate) fn unreachable(&self, reason: impl ToString) -> Error {
        Error::Unreachable {
            address: self.address.clone(),
            reason: reason.to_string(),
        }
    }

    async fn send_with_timeout(
        &self,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Result<String> {
        match ntex::time::timeout(REQUEST_TIMEOUT, self.send(method, path, body)).await {
            Ok(result) => result,
            Err(()) => Err(self.unreachable("no whole answer in time")),
        }
    }

    async fn send(&self, method: Method, path: &str, body: Option<String>) -> Result<String> {
        let request = self.build_request(method, path);
        let result = match body {
            Some(body) => {
                request
                    .content_type("application/json")
                    .send_body(body)
                    .await
            }
            None => request.send().await,
        };
        let response = result.map_err(|error| match error {
            // A connection that closes before the answer is reported as `Disconnected(None)`;
            // after any other connect error nothing was sent.
            ClientError::Connect(ConnectError::Disconnected(None)) => self.unreachable(&error),
            ClientError::Connect(_) => Error::NotSent {
                address: self.address.clone(),
                reason: error.to_string(),
            },
            error => self.unreachable(error),
        })?;
        if !response.status().is_success() {
            return Err(self.read_refusal(response).await);
        }
        let body = self.read_body(response).await?;
        String::from_utf8(body.to_vec()).map_err(|error| self.unreachable(error))
    }

    fn build_request(&self, method: Method, path: &str) -> ClientRequest {
        self.client
            .request(method, format!("http://{}{path}", self.address))
            .timeout(REQUEST_TIMEOUT)
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
    }

    async fn read_body(&self, response: ClientResponse) -> Result<Bytes> {
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        body.map_err(|error| self.unreachable(error))
    }

    /// Turns an unsuccessful response into an error.
    async fn read_refusal(&self, response: ClientResponse) -> Error {
        let status = response.status();
        let body = match self.read_body(response).await {
            Ok(body) => body,
            Err(error) => return error,
        };
        match serde_json::from_slice::<Problem>(&body) {
            Ok(problem) => Error::Refused(Box::new(problem)),
            Err(_) => self.unreachable(format!("answered with status {status}")),
        }
    }
}

/// Parses JSON text that a node sent.
///
/// # Errors
///
/// Fails if the text does not match the type.
pub(crate) fn parse<T: DeserializeOwned>(text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|error| Error::Unreachable {
        address: "node".to_owned(),
        reason: format!("its answer could not be read: {error}"),
    })
}
