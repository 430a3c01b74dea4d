//! Relays answers that are buffered until they are complete.

use jackdaw_core::outcome::Outcome;
use jackdaw_policy::retry::ExchangeFailure;
use ntex::http::HeaderMap;
use ntex::http::header::{CONNECTION, CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING};
use ntex::util::{Bytes, BytesMut};
use ntex::web::HttpResponse;

use crate::dispatch::{Dispatch, OpenAnswer};
use crate::exchange;
use crate::head;
use crate::problem::Problem;

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Answer {
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
pub(crate) async fn relay(dispatch: &mut Dispatch) -> Result<Answer, Problem> {
    loop {
        let opened = dispatch.open(0).await?;
        if let Some(answer) = read_answer(dispatch, opened).await? {
            return Ok(answer);
        }
    }
}

/// Reads the rest of an answer; `None` means that it failed and the call may be sent again.
///
/// # Errors
///
/// Returns the problem if the call is given up.
pub(crate) async fn read_answer(
    dispatch: &mut Dispatch,
    mut opened: OpenAnswer,
) -> Result<Option<Answer>, Problem> {
    match read_body(dispatch, &mut opened).await {
        Ok(body) => {
            dispatch.record_answer(&opened.attempt);
            Ok(Some(Answer {
                status: opened.answer.status().as_u16(),
                headers: strip_hop_by_hop_headers(opened.answer.headers()),
                body,
            }))
        }
        Err(failure) => {
            dispatch.handle_failure(&failure, &opened.attempt)?;
            Ok(None)
        }
    }
}

async fn read_body(dispatch: &Dispatch, opened: &mut OpenAnswer) -> Result<Bytes, ExchangeFailure> {
    let limit = dispatch.shared.options.max_answer_body;
    let mut body = BytesMut::new();
    while let Some(chunk) = exchange::receive(&mut opened.answer, dispatch.idle_bound()).await? {
        if (body.len() + chunk.len()) as u64 > limit.0 {
            return Err(ExchangeFailure::invalid(format!(
                "the answer is larger than {limit}"
            )));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
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
