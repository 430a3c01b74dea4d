//! Answers that are buffered completely before they are sent to the caller.

use http::{HeaderMap, StatusCode};
use ntex::http::header::HeaderValue;
use ntex::http::{Response, ResponseBuilder};

use crate::attempt::Piece;
use crate::memory::Held;
use crate::race::Race;
use crate::refusal::Refusal;

/// A complete answer of a server.
#[derive(Debug)]
pub(crate) struct BufferedAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Held,
}

impl BufferedAnswer {
    /// Returns whether another server might succeed where this one answered.
    pub(crate) fn is_retryable(&self) -> bool {
        self.status.is_server_error()
    }

    /// Converts the answer to a response for the caller.
    pub(crate) fn into_response(self) -> Response {
        response_builder(self.status, &self.headers).body(self.body.into_body())
    }
}

/// Starts a response with a server's status and headers.
pub(crate) fn response_builder(status: StatusCode, headers: &HeaderMap) -> ResponseBuilder {
    let mut builder = Response::build(status);
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
            builder.header(name.clone(), value);
        }
    }
    builder
}

/// Sends a request until a complete answer has been received.
///
/// # Errors
///
/// Returns a refusal if no server sent a complete answer.
pub(crate) async fn exchange(race: &mut Race) -> Result<BufferedAnswer, Refusal> {
    loop {
        match race.next().await {
            Ok(Piece::Answer(buffered)) => return Ok(buffered),
            // Only routes of streams have events.
            Ok(Piece::Event(_) | Piece::End) => {}
            Err(refusal) => return race.dispatch.fallback.take().ok_or(refusal),
        }
    }
}
