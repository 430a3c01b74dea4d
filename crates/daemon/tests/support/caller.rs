//! Callers' and operators' requests to a node.

use std::net::SocketAddr;

use ntex::client::Client;
use ntex::http::Method;
use ntex::rt::{DefaultRuntime, System};
use serde_json::{Value, json};

use super::{OPERATOR_TOKEN, TEAM_TOKEN};

/// Bound of one exchange; longer than any request of the tests.
const EXCHANGE: ntex::time::Millis = ntex::time::Millis(60_000);

/// Answer to a request.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    /// HTTP status code, or zero if the connection broke.
    pub(crate) status: u16,
    /// Value of `jackdawstair-outcome`.
    pub(crate) outcome: String,
    /// Whether a `Retry-After` came.
    pub(crate) retry_after: bool,
    /// Body.
    pub(crate) body: String,
}

impl Answer {
    /// Gets the body as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Gets the text of a whole completion.
    pub(crate) fn text(&self) -> String {
        self.json()["choices"][0]["text"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Gets the joined texts of a stream, and whether it ended with its marker.
    pub(crate) fn stream(&self) -> (String, bool) {
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

/// Sends requests to one port.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    address: SocketAddr,
}

impl Caller {
    /// Creates a caller of a port.
    pub(crate) fn new(address: SocketAddr) -> Caller {
        Caller { address }
    }

    /// Asks for a whole completion.
    pub(crate) fn complete(&self, prompt: &str, tokens: u64) -> Answer {
        let body = json!({"model": "large", "prompt": prompt, "max_tokens": tokens});
        self.send(Method::POST, "/v1/completions", TEAM_TOKEN, &[], &body)
    }

    /// Asks for a streamed completion.
    pub(crate) fn stream(&self, prompt: &str, tokens: u64) -> Answer {
        let body =
            json!({"model": "large", "prompt": prompt, "max_tokens": tokens, "stream": true});
        self.send(Method::POST, "/v1/completions", TEAM_TOKEN, &[], &body)
    }

    /// Sends a shipment order.
    pub(crate) fn ship(&self, key: &str, box_number: u64) -> Answer {
        let headers = [("idempotency-key", key)];
        let body = json!({"box": box_number});
        let path = "/services/orders/shipments";
        self.send(Method::POST, path, TEAM_TOKEN, &headers, &body)
    }

    /// Reads the stock.
    pub(crate) fn stock(&self) -> Answer {
        self.send(
            Method::GET,
            "/services/orders/stock",
            TEAM_TOKEN,
            &[],
            &Value::Null,
        )
    }

    /// Sends an operator's request.
    pub(crate) fn operate(&self, method: Method, path: &str, body: &Value) -> Answer {
        self.send(method, path, OPERATOR_TOKEN, &[], body)
    }

    fn send(
        &self,
        method: Method,
        path: &str,
        token: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Answer {
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
) -> Answer {
    let client = Client::new().await;
    let mut request = client
        .request(method, url)
        .bearer_auth(token)
        .timeout(EXCHANGE);
    for (name, value) in headers {
        request = request.header(name.as_str(), value.as_str());
    }
    let sent = if body.is_null() {
        request.send().await
    } else {
        request.send_json(body).await
    };
    let broken = |error: String| Answer {
        status: 0,
        outcome: String::new(),
        retry_after: false,
        body: error,
    };
    let response = match sent {
        Ok(response) => response,
        Err(error) => return broken(error.to_string()),
    };
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(ToOwned::to_owned)
    };
    let outcome = header("jackdawstair-outcome").unwrap_or_default();
    let retry_after = header("retry-after").is_some();
    let status = response.status().as_u16();
    match response.body().limit(16 << 20).await {
        Ok(bytes) => Answer {
            status,
            outcome,
            retry_after,
            body: String::from_utf8_lossy(&bytes).into_owned(),
        },
        Err(error) => broken(error.to_string()),
    }
}
