//! Answers that are read to their end before the caller gets them.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use jackdaw_core::outcome::Step;
use jackdaw_core::units::Bytes as Size;
use jackdaw_link::client;
use jackdaw_policy::retry::{ExchangeFailure, Fault};
use ntex::http::header::HeaderValue;
use ntex::http::{Response, ResponseBuilder};

use crate::dispatch::{Dispatch, Opened};
use crate::header;
use crate::refusal::Refusal;

/// Largest answer that is held in memory.
const MAX_ANSWER: Size = Size(16 << 20);

/// A whole answer of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Whole {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Whole {
    /// Returns the answer for the caller.
    pub(crate) fn response(self) -> Response {
        builder(self.status, &self.headers).body(ntex::util::Bytes::from(self.body.to_vec()))
    }
}

/// Begins an answer with a server's status and headers.
pub(crate) fn builder(status: StatusCode, headers: &HeaderMap) -> ResponseBuilder {
    let mut builder = Response::build(status);
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
            builder.header(name.clone(), value);
        }
    }
    builder
}

/// Reads an answer to its end.
///
/// # Errors
///
/// Returns the fault if the answer breaks off.
pub(crate) async fn read(dispatch: &Dispatch, opened: Opened) -> Result<Whole, ExchangeFailure> {
    let Opened {
        pass,
        connection,
        answer,
        sent,
        ..
    } = opened;
    let (head, body) = answer.into_parts();
    let patience = dispatch.next_patience();
    let read = dispatch
        .guard(pass.key, sent, patience, client::read(body, MAX_ANSWER))
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
    dispatch.node.arena.borrow_mut().advance(pass.key, now);
    let mut headers = head.headers;
    dispatch.keep(connection, &headers);
    header::strip(&mut headers);
    Ok(Whole {
        status: head.status,
        headers,
        body,
    })
}

/// Returns whether another server might do better than an answer.
fn is_failure(status: StatusCode) -> bool {
    status.is_server_error()
}

/// Exchanges a request for a whole answer.
///
/// # Errors
///
/// Returns a refusal if no server brought a whole answer.
pub(crate) async fn exchange(dispatch: &mut Dispatch) -> Result<Whole, Refusal> {
    loop {
        let opened = match dispatch.open().await {
            Ok(opened) => opened,
            Err(refusal) => return dispatch.fallback.take().ok_or(refusal),
        };
        if let Some(whole) = finish(dispatch, opened).await? {
            return Ok(whole);
        }
    }
}

/// Reads an answer; returns none if the request is to be sent again.
///
/// # Errors
///
/// Returns a refusal if the request is given up.
pub(crate) async fn finish(
    dispatch: &mut Dispatch,
    opened: Opened,
) -> Result<Option<Whole>, Refusal> {
    let attempt = opened.attempt();
    let broken = match read(dispatch, opened).await {
        Ok(whole) if is_failure(whole.status) && dispatch.may_move() => {
            let detail = format!("the server answered with status {}", whole.status);
            dispatch.fallback = Some(whole);
            ExchangeFailure::invalid(detail)
        }
        Ok(whole) => return Ok(Some(whole)),
        Err(broken) => broken,
    };
    match dispatch.failed(&broken, &attempt) {
        Ok(()) => Ok(None),
        Err(refusal) => match dispatch.fallback.take() {
            Some(whole) => Ok(Some(whole)),
            None => Err(refusal),
        },
    }
}
