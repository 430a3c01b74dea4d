//! HTTP client for the ports of callers and operators.

use std::net::SocketAddr;

use ntex::client::Client;
use ntex::http::Method;
use ntex::rt::{DefaultRuntime, System};
use serde_json::{Value, json};

use super::{OPERATOR_TOKEN, TEAM_TOKEN};

/// Time limit of one exchange; longer than any request of the tests takes.
const EXCHANGE_TIMEOUT: ntex::time::Millis = ntex::time::Millis(60_000);

/// Response to a request.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    /// HTTP status code, or zero if the exchange failed.
    pub(crate) status: u16,
    /// Value of the header `jackdawstair-outcome`, or empty.
    pub(crate) outcome: String,
    /// Whether the header `Retry-After` is present.
    pub(crate) retry_after: bool,
    /// Body, or the error if the exchange failed.
    pub(crate) body: String,
}

impl Response {
    /// Returns the body as JSON, or null if it is not JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the text of a completion that was not streamed.
    pub(crate) fn text(&self) -> String {
        self.json()["choices"][0]["text"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns the concatenated texts of a stream, and whether it ended with `[DONE]`.
    pub(crate) fn streamed_text(&self) -> (String, bool) {
        let mut text = String::new();
        for line in self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
        {
            if line == "[DONE]" {
                return (text, true);
            }
            let event: Value = serde_json::from_str(line).unwrap_or_default();
            text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
        }
        (text, false)
    }
}

/// Sends requests to one port of a node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    address: SocketAddr,
}

impl Caller {
    /// Creates a caller that sends to an address.
    pub(crate) fn new(address: SocketAddr) -> Caller {
        Caller { address }
    }

    /// Requests a completion that is not streamed.
    pub(crate) fn complete(&self, prompt: &str, tokens: u64) -> Response {
        let body = json!({"model": "large", "prompt": prompt, "max_tokens": tokens});
        self.send(Method::POST, "/v1/completions", TEAM_TOKEN, &[], &body)
    }

    /// Requests a streamed completion.
    pub(crate) fn stream_completion(&self, prompt: &str, tokens: u64) -> Response {
        let body =
            json!({"model": "large", "prompt": prompt, "max_tokens": tokens, "stream": true});
        self.send(Method::POST, "/v1/completions", TEAM_TOKEN, &[], &body)
    }

    /// Creates a shipment with an idempotency key; the route is not idempotent.
    pub(crate) fn create_shipment(&self, key: &str, box_number: u64) -> Response {
        let headers = [("idempotency-key", key)];
        let body = json!({"box": box_number});
        let path = "/services/orders/shipments";
        self.send(Method::POST, path, TEAM_TOKEN, &headers, &body)
    }

    /// Reads the stock; the route is idempotent.
    pub(crate) fn read_stock(&self) -> Response {
        self.send(
            Method::GET,
            "/services/orders/stock",
            TEAM_TOKEN,
            &[],
            &Value::Null,
        )
    }

    /// Sends a request with the operator's token.
    pub(crate) fn send_as_operator(&self, method: Method, path: &str, body: &Value) -> Response {
        self.send(method, path, OPERATOR_TOKEN, &[], body)
    }

    fn send(
        &self,
        method: Method,
        path: &str,
        token: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Response {
        let url = format!("http://{}{path}", self.address);
        let headers: Vec<(String, String)> = headers
            .iter()
            .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
            .collect();
        let (token, body) = (token.to_owned(), body.clone());
        System::new("caller", DefaultRuntime)
            .block_on(async move { exchange(method, &url, &token, &headers, &body).await })
    }
}

async fn exchange(
    method: Method,
    url: &str,
    token: &str,
    headers: &[(String, String)],
    body: &Value,
) -> Response {
    let client = Client::new().await;
    let mut request = client
        .request(method, url)
        .bearer_auth(token)
        .timeout(EXCHANGE_TIMEOUT);
    for (name, value) in headers {
        request = request.header(name.as_str(), value.as_str());
    }
    let result = if body.is_null() {
        request.send().await
    } else {
        request.send_json(body).await
    };
    let failed = |error: String| Response {
        status: 0,
        outcome: String::new(),
        retry_after: false,
        body: error,
    };
    let response = match result {
        Ok(response) => response,
        Err(error) => return failed(error.to_string()),
    };
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(ToOwned::to_owned)
    };
    let outcome = header("jackdawstair-outcome").unwrap_or_default();
    let retry_after = header("retry-after").is_some();
    let status = response.status().as_u16();
    match response.body().limit(16 << 20).await {
        Ok(bytes) => Response {
            status,
            outcome,
            retry_after,
            body: String::from_utf8_lossy(&bytes).into_owned(),
        },
        Err(error) => failed(error.to_string()),
    }
}
