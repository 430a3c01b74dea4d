//! Sends one request to one target and receives the answer.

use jackdaw_core::outcome::Step;
use jackdaw_core::units::Millis;
use jackdaw_policy::answer::{self, Claim, Named};
use jackdaw_policy::retry::{Connection, ExchangeFailure, Fault};
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientRequest, ClientResponse};
use ntex::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use ntex::http::{Method, StatusCode};
use ntex::time;
use ntex::util::stream_recv;

use crate::call::{Call, Destination};
use crate::shared::Shared;
use crate::snapshot::Target;

/// Header that identifies the request; a backend server echoes it in the answer.
const REQUEST_ID: &str = "x-request-id";
/// Header that carries the priority of a request.
const PRIORITY: &str = "x-priority";
/// Header that carries the offset of the first token to stream.
const RESUME_AT: &str = "x-resume-at";
/// Header that names the replica group that a request is meant for.
const GROUP: &str = "x-jackdaw-group";
/// Header that carries the generation of that group.
const GENERATION: &str = "x-jackdaw-generation";

/// Sends a call to a target and returns the answer after its head was checked.
pub(crate) async fn send(
    shared: &Shared,
    client: &Client,
    call: &Call,
    target: &Target,
    connection: Connection,
    resume_at: u64,
) -> Result<ClientResponse, ExchangeFailure> {
    let request = build_request(client, call, target, resume_at);
    let sent_at = shared.clock.now();
    let answer = request
        .send_body(call.body.clone())
        .await
        .map_err(|error| classify_error(&error))?;
    answer::check_status(answer.status().as_u16())?;
    let named = read_named(call, &answer);
    if named == Named::Own {
        shared.limits.record(target, answer.headers(), sent_at);
    }
    check_head(call, &answer, named, connection)?;
    Ok(answer)
}

/// Reads an answer's body to its end, unless nothing arrives for the timeout.
pub(crate) async fn drain(answer: &mut ClientResponse, timeout: time::Millis) {
    while let Ok(Some(Ok(_))) = time::timeout(timeout, stream_recv(answer)).await {}
}

/// Converts a timeout to the type of the timer library.
pub(crate) fn to_timer_millis(timeout: Millis) -> time::Millis {
    // The library takes zero as no timeout.
    time::Millis(u32::try_from(timeout.0.max(1)).unwrap_or(u32::MAX))
}

fn build_request(client: &Client, call: &Call, target: &Target, resume_at: u64) -> ClientRequest {
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

fn classify_error(error: &ClientError) -> ExchangeFailure {
    let (fault, step) = match error {
        // The library reports a connection that closes before the answer as a connect error, so
        // only the other connect errors prove that nothing was sent.
        ClientError::Connect(ConnectError::Disconnected(None)) => (Fault::Closed, Step::Written),
        ClientError::Connect(_) => (Fault::Unreachable, Step::Connecting),
        ClientError::Url(_) | ClientError::Http(_) | ClientError::TunnelNotSupported => {
            (Fault::Unreachable, Step::Routed)
        }
        ClientError::Response(_) => (Fault::Invalid, Step::Answering),
        ClientError::Send(_)
        | ClientError::Request(_)
        | ClientError::H2(_)
        | ClientError::Timeout
        | ClientError::Error(_) => (Fault::Closed, Step::Written),
    };
    ExchangeFailure::new(fault, step, error)
}

/// Returns which request an answer names.
fn read_named(call: &Call, answer: &ClientResponse) -> Named {
    let echoed = answer.headers().get(REQUEST_ID);
    Named::new(echoed.and_then(|value| value.to_str().ok()), &call.id)
}

fn check_head(
    call: &Call,
    response: &ClientResponse,
    named: Named,
    connection: Connection,
) -> Result<(), ExchangeFailure> {
    let is_refused = is_refused(call, response.status());
    let claim = match is_refused {
        true => Claim::NotTaken,
        false => Claim::Answered,
    };
    answer::check(named, claim, connection)?;
    if is_refused {
        let detail = format!(
            "the engine refused with status {}",
            response.status().as_u16()
        );
        return Err(ExchangeFailure::new(Fault::Refused, Step::Written, detail));
    }
    if !has_body(call, response) {
        return Ok(());
    }
    if is_chunked(response) || response.headers().contains_key(CONTENT_LENGTH) {
        return Ok(());
    }
    Err(ExchangeFailure::invalid(
        "the answer has neither a length nor chunks",
    ))
}

/// Checks that a body which has ended has the length that its head states.
///
/// The library takes the end of a connection of HTTP/1.0 for the end of the body, whatever the length.
///
/// # Errors
///
/// Returns the failure if it has not.
pub(crate) fn check_length(
    call: &Call,
    answer: &ClientResponse,
    len: usize,
) -> Result<(), ExchangeFailure> {
    let stated = answer.headers().get(CONTENT_LENGTH);
    let stated = stated.and_then(|value| value.to_str().ok()?.trim().parse::<usize>().ok());
    match stated {
        Some(stated) if stated != len && has_body(call, answer) && !is_chunked(answer) => {
            let detail = format!("the body ended after {len} of {stated} bytes");
            Err(ExchangeFailure::new(Fault::Closed, Step::Answering, detail))
        }
        Some(_) | None => Ok(()),
    }
}

/// Returns whether a model engine refused the request.
fn is_refused(call: &Call, status: StatusCode) -> bool {
    call.destination.is_model()
        && (status == StatusCode::CONFLICT
            || status == StatusCode::SERVICE_UNAVAILABLE
            || status == StatusCode::TOO_MANY_REQUESTS)
}

fn is_chunked(answer: &ClientResponse) -> bool {
    let encoding = answer.headers().get(TRANSFER_ENCODING);
    let encoding = encoding.and_then(|value| value.to_str().ok());
    encoding.is_some_and(|name| name.trim().eq_ignore_ascii_case("chunked"))
}

fn has_body(call: &Call, answer: &ClientResponse) -> bool {
    call.method != Method::HEAD
        && answer.status() != StatusCode::NO_CONTENT
        && answer.status() != StatusCode::NOT_MODIFIED
}

/// Returns the kind of a connection, by whether it is new.
pub(crate) fn connection_kind(is_new: bool) -> Connection {
    if is_new {
        Connection::New
    } else {
        Connection::Used
    }
}
