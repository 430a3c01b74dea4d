//! One exchange with one target.

use jackdaw_core::outcome::Step;
use jackdaw_core::refusal::Reason;
use jackdaw_core::units::Millis;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientResponse};
use ntex::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use ntex::http::{Method, StatusCode};
use ntex::time;

use crate::call::{Call, Destination};
use crate::snapshot::Target;

/// Header by which a backend server ties its answer to the request.
const REQUEST_ID: &str = "x-request-id";
const PRIORITY: &str = "x-priority";
const RESUME_AT: &str = "x-resume-at";
const GROUP: &str = "x-jackdaw-group";
const GENERATION: &str = "x-jackdaw-generation";

/// Why an exchange brought no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Fault {
    pub(crate) reason: Reason,
    pub(crate) step: Step,
    pub(crate) detail: String,
    /// Whether nothing at all came back in time.
    pub(crate) silent: bool,
}

impl Fault {
    pub(crate) fn new(reason: Reason, step: Step, detail: impl ToString) -> Self {
        Fault {
            reason,
            step,
            detail: detail.to_string(),
            silent: false,
        }
    }

    pub(crate) fn silent(step: Step, bound: Millis) -> Self {
        Fault {
            reason: Reason::Broken,
            step,
            detail: format!("nothing came for {bound}"),
            silent: true,
        }
    }
}

/// Sends a call to a target and returns the checked head of the answer.
pub(crate) async fn send(
    client: &Client,
    call: &Call,
    target: &Target,
    resume_at: u64,
    bound: Millis,
) -> Result<ClientResponse, Fault> {
    let request = request(client, call, target, resume_at);
    let sent = time::timeout(span(bound), request.send_body(call.body.clone())).await;
    let answer = match sent {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return Err(send_fault(&error)),
        Err(()) => return Err(Fault::silent(Step::Written, bound)),
    };
    check_head(call, &answer)?;
    Ok(answer)
}

/// Returns a span in the unit of the HTTP library.
pub(crate) fn span(span: Millis) -> time::Millis {
    // Zero would mean no bound at all.
    time::Millis(u32::try_from(span.0.max(1)).unwrap_or(u32::MAX))
}

fn request(
    client: &Client,
    call: &Call,
    target: &Target,
    resume_at: u64,
) -> ntex::client::ClientRequest {
    let url = format!("http://{}{}", target.address, call.path);
    let mut request = client.request(call.method.clone(), url).no_decompress();
    for (name, value) in &call.headers {
        request = request.header(name.clone(), value.clone());
    }
    request = request.set_header(REQUEST_ID, call.id.as_str());
    if let Destination::Service(_) = call.destination {
        return request;
    }
    request = request
        .set_header(PRIORITY, call.team.priority.to_string())
        .set_header(GROUP, target.name.as_str())
        .set_header(GENERATION, target.generation.0.to_string());
    if resume_at > 0 {
        request = request.set_header(RESUME_AT, resume_at.to_string());
    }
    request
}

fn send_fault(error: &ClientError) -> Fault {
    match error {
        // The library reports a connection that closes before the answer in the same way as
        // one that could not be used, so that only the other kinds prove that nothing was sent.
        ClientError::Connect(ConnectError::Disconnected(None)) => {
            Fault::new(Reason::Broken, Step::Written, "connection closed")
        }
        ClientError::Connect(error) => Fault::new(Reason::ConnectFailed, Step::Connecting, error),
        ClientError::Url(_) | ClientError::Http(_) | ClientError::TunnelNotSupported => {
            Fault::new(Reason::Malformed, Step::Routed, error)
        }
        ClientError::Response(_) => Fault::new(Reason::AnswerInvalid, Step::Written, error),
        ClientError::Send(_)
        | ClientError::Request(_)
        | ClientError::H2(_)
        | ClientError::Timeout
        | ClientError::Error(_) => Fault::new(Reason::Broken, Step::Written, error),
    }
}

fn check_head(call: &Call, answer: &ClientResponse) -> Result<(), Fault> {
    let invalid = |detail: &str| Err(Fault::new(Reason::AnswerInvalid, Step::Answering, detail));
    let echoed = answer.headers().get(REQUEST_ID);
    match echoed.and_then(|value| value.to_str().ok()) {
        Some(id) if id == call.id => {}
        Some(_) => return invalid("the answer belongs to another request"),
        // A target that refuses before it reads the request need not name it.
        None if is_refusal(answer.status()) => {}
        None => return invalid("the answer names no request"),
    }
    let empty = call.method == Method::HEAD
        || answer.status() == StatusCode::NO_CONTENT
        || answer.status() == StatusCode::NOT_MODIFIED;
    let framed = answer.headers().contains_key(CONTENT_LENGTH)
        || answer.headers().contains_key(TRANSFER_ENCODING);
    if !empty && !framed {
        return invalid("the answer has neither a length nor chunks");
    }
    Ok(())
}

/// Returns whether a status means that the target refused to start.
pub(crate) fn is_refusal(status: StatusCode) -> bool {
    status == StatusCode::CONFLICT
        || status == StatusCode::SERVICE_UNAVAILABLE
        || status == StatusCode::TOO_MANY_REQUESTS
}
