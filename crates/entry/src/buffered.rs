//! Relays answers that are buffered until they are complete.

use jackdaw_core::outcome::Outcome;
use ntex::client::ClientResponse;
use ntex::http::HeaderMap;
use ntex::http::header::{CONNECTION, CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING};
use ntex::util::Bytes;
use ntex::web::HttpResponse;

use crate::attempt::Piece;
use crate::head;
use crate::problem::Problem;
use crate::race::Race;

/// A complete answer.
#[derive(Debug, Default)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Answer {
    /// Creates the answer of a backend server whose body has been read.
    pub(crate) fn new(answer: &ClientResponse, body: Bytes) -> Self {
        Answer {
            status: answer.status().as_u16(),
            headers: strip_hop_by_hop_headers(answer.headers()),
            body,
        }
    }

    /// Returns the answer for the caller.
    pub(crate) fn to_response(&self, id: &str) -> HttpResponse {
        let status = self.status.try_into().unwrap_or_default();
        let mut response = HttpResponse::build(status);
        for (name, value) in &self.headers {
            response.header(name.clone(), value.clone());
        }
        response
            .set_header(head::REQUEST_ID, id)
            .set_header(head::OUTCOME, Outcome::Completed.to_string())
            .body(self.body.clone())
    }
}

/// Sends a call until an answer is complete.
///
/// # Errors
///
/// Returns the problem if the call is given up.
pub(crate) async fn relay(race: &mut Race) -> Result<Answer, Problem> {
    loop {
        match race.next().await? {
            Piece::Answer(answer) => {
                race.record_answer();
                return Ok(answer);
            }
            // Only a call for a stream gets events.
            Piece::Event(..) | Piece::End => {}
        }
    }
}

/// Returns the headers without those that concern only the connection to the backend server.
fn strip_hop_by_hop_headers(headers: &HeaderMap) -> HeaderMap {
    let is_hop_by_hop = |name: &HeaderName| {
        *name == CONTENT_LENGTH
            || *name == TRANSFER_ENCODING
            || *name == CONNECTION
            || name.as_str() == "keep-alive"
    };
    headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
