//! Relays whole answers.

use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::refusal::Reason;
use ntex::http::StatusCode;
use ntex::http::error::PayloadError;
use ntex::http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use ntex::time;
use ntex::util::{Bytes, BytesMut, stream_recv};
use ntex::web::HttpResponse;

use crate::dispatch::{Dispatch, Opened};
use crate::exchange::{Fault, span};
use crate::head;
use crate::problem::Problem;

/// Relays an answer only after the whole of it came.
pub(crate) async fn relay(dispatch: &mut Dispatch) -> Result<HttpResponse, Problem> {
    let mut opened = dispatch.open(0).await?;
    match collect(dispatch, &mut opened).await {
        Ok(body) => {
            dispatch.answered(&opened.target);
            Ok(response(dispatch, &opened, body))
        }
        Err(fault) => Err(dispatch.failed(&fault, &opened.target)),
    }
}

async fn collect(dispatch: &Dispatch, opened: &mut Opened) -> Result<Bytes, Fault> {
    let limit = dispatch.shared.options.answer_body;
    let mut body = BytesMut::new();
    loop {
        let bound = dispatch
            .remaining()
            .min(dispatch.shared.options.idle_timeout);
        let chunk = match time::timeout(span(bound), stream_recv(&mut opened.answer)).await {
            Ok(Some(Ok(chunk))) => chunk,
            Ok(Some(Err(error))) => return Err(body_fault(&error)),
            Ok(None) => return Ok(body.freeze()),
            Err(()) => return Err(Fault::silent(Step::Answering, bound)),
        };
        if (body.len() + chunk.len()) as u64 > limit.0 {
            let detail = format!("the answer is larger than {limit}");
            return Err(Fault::new(Reason::AnswerInvalid, Step::Answering, detail));
        }
        body.extend_from_slice(&chunk);
    }
}

/// Returns the fault behind an answer's body that broke off.
pub(crate) fn body_fault(error: &PayloadError) -> Fault {
    Fault::new(Reason::Broken, Step::Answering, error)
}

fn response(dispatch: &Dispatch, opened: &Opened, body: Bytes) -> HttpResponse {
    let status =
        StatusCode::from_u16(opened.answer.status().as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    for (name, value) in opened.answer.headers() {
        if name == CONTENT_LENGTH || name == TRANSFER_ENCODING || name == CONNECTION {
            continue;
        }
        response.header(name.clone(), value.clone());
    }
    response
        .set_header(head::REQUEST_ID, dispatch.call.id.as_str())
        .set_header(head::OUTCOME, Outcome::Completed.to_string());
    response.body(body)
}
