//! Answers that are buffered completely before they are sent to the caller.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use jackdaw_core::outcome::Step;
use jackdaw_core::units::Bytes as Size;
use jackdaw_link::client;
use jackdaw_policy::retry::{ExchangeFailure, Fault};
use ntex::http::header::HeaderValue;
use ntex::http::{Response, ResponseBuilder};

use crate::dispatch::{Dispatch, Exchange};
use crate::header;
use crate::refusal::Refusal;

/// Largest body of a buffered answer.
const MAX_ANSWER: Size = Size(16 << 20);

/// A complete answer of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct BufferedAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl BufferedAnswer {
    /// Converts the answer to a response for the caller.
    pub(crate) fn into_response(self) -> Response {
        response_builder(self.status, &self.headers)
            .body(ntex::util::Bytes::from(self.body.to_vec()))
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

/// Reads the body of an answer.
///
/// # Errors
///
/// Returns the failure if the body is incomplete, too large or does not arrive in time.
pub(crate) async fn read_answer(
    dispatch: &Dispatch,
    exchange: Exchange,
) -> Result<BufferedAnswer, ExchangeFailure> {
    let Exchange {
        reservation,
        connection,
        answer,
        sent,
        ..
    } = exchange;
    let (head, body) = answer.into_parts();
    let timeouts = dispatch.next_timeouts();
    let read = dispatch
        .wait_with_timeouts(
            reservation.key,
            sent,
            timeouts,
            client::read_body(body, MAX_ANSWER),
        )
        .await;
    let body = match read {
        Ok(Ok(body)) => body,
        Ok(Err(fault)) => return Err(ExchangeFailure::new(Fault::Closed, Step::Answering, fault)),
        Err(fault) => {
            return Err(ExchangeFailure::new(
                fault,
                Step::Answering,
                "the answer stopped",
            ));
        }
    };
    let now = dispatch.node.now();
    dispatch
        .node
        .targets
        .borrow_mut()
        .advance(reservation.key, now);
    let mut headers = head.headers;
    dispatch.keep_connection(connection, &headers);
    header::strip_hop_by_hop(&mut headers);
    Ok(BufferedAnswer {
        status: head.status,
        headers,
        body,
    })
}

/// Returns whether another server might succeed where one answered with a status.
fn is_retryable(status: StatusCode) -> bool {
    status.is_server_error()
}

/// Sends a request until a complete answer has been received.
///
/// # Errors
///
/// Returns a refusal if no server sent a complete answer.
pub(crate) async fn exchange(dispatch: &mut Dispatch) -> Result<BufferedAnswer, Refusal> {
    loop {
        let exchange = match dispatch.open().await {
            Ok(exchange) => exchange,
            Err(refusal) => return dispatch.fallback.take().ok_or(refusal),
        };
        if let Some(buffered) = finish_exchange(dispatch, exchange).await? {
            return Ok(buffered);
        }
    }
}

/// Reads the answer of an exchange; returns none if the request is to be sent again.
///
/// # Errors
///
/// Returns a refusal if the request is given up.
pub(crate) async fn finish_exchange(
    dispatch: &mut Dispatch,
    exchange: Exchange,
) -> Result<Option<BufferedAnswer>, Refusal> {
    let attempt = exchange.attempt();
    let answered = read_answer(dispatch, exchange).await;
    if answered.is_ok() {
        dispatch.record_survival();
    }
    let error = match answered {
        Ok(buffered) if is_retryable(buffered.status) && dispatch.can_fail_over() => {
            let detail = format!("the server answered with status {}", buffered.status);
            dispatch.fallback = Some(buffered);
            ExchangeFailure::invalid(detail)
        }
        Ok(buffered) => return Ok(Some(buffered)),
        Err(error) => error,
    };
    match dispatch.record_failure(&error, &attempt).await {
        Ok(()) => Ok(None),
        Err(refusal) => match dispatch.fallback.take() {
            Some(buffered) => Ok(Some(buffered)),
            None => Err(refusal),
        },
    }
}
