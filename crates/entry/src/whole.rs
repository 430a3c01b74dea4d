//! Relays whole answers.

use jackdaw_core::outcome::Outcome;
use jackdaw_policy::retry::ExchangeFailure;
use ntex::http::HeaderMap;
use ntex::http::header::{CONNECTION, CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING};
use ntex::util::{Bytes, BytesMut};
use ntex::web::HttpResponse;

use crate::dispatch::{Dispatch, Opened};
use crate::exchange;
use crate::head;
use crate::problem::Problem;

/// An answer of which every byte came.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Answer {
    /// Returns the answer for the caller.
    pub(crate) fn response(&self, id: &str) -> HttpResponse {
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

/// Relays an answer only after the whole of it came.
pub(crate) async fn relay(dispatch: &mut Dispatch) -> Result<Answer, Problem> {
    loop {
        let opened = dispatch.open(0).await?;
        if let Some(answer) = finish(dispatch, opened).await? {
            return Ok(answer);
        }
    }
}

/// Reads the rest of an answer; `None` means that the call has to be sent again.
pub(crate) async fn finish(
    dispatch: &mut Dispatch,
    mut opened: Opened,
) -> Result<Option<Answer>, Problem> {
    match collect(dispatch, &mut opened).await {
        Ok(body) => {
            dispatch.answered(&opened.attempt);
            Ok(Some(Answer {
                status: opened.answer.status().as_u16(),
                headers: end_to_end(opened.answer.headers()),
                body,
            }))
        }
        Err(broken) => {
            dispatch.failed(&broken, &opened.attempt)?;
            Ok(None)
        }
    }
}

async fn collect(dispatch: &Dispatch, opened: &mut Opened) -> Result<Bytes, ExchangeFailure> {
    let limit = dispatch.shared.options.answer_body;
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

/// Returns the headers that are not about the connection to the backend server.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let hop = |name: &HeaderName| {
        *name == CONTENT_LENGTH
            || *name == TRANSFER_ENCODING
            || *name == CONNECTION
            || name.as_str() == "keep-alive"
    };
    headers
        .iter()
        .filter(|(name, _)| !hop(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
