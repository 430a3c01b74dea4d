//! Relays streams event by event, and lets a stream go on at another replica group.

use std::convert::Infallible;

use futures::stream;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::time::Instant;
use jackdaw_entry::drain::RequestGuard as InFlight;
use jackdaw_policy::retry::{ExchangeFailure, Fault};
use ntex::http::Response;
use ntex::io::IoRef;
use ntex::util::Bytes;
use slog::info;

use crate::dispatch::{Dispatch, Opened};
use crate::event::{Event, Splitter};
use crate::header;
use crate::refusal::Refusal;
use crate::whole;

/// Status of every stream that is relayed event by event.
const SUCCESS: u16 = 200;

/// An answer that streams.
struct Relay {
    dispatch: Dispatch,
    opened: Option<Opened>,
    splitter: Splitter,
    last_sign: Instant,
    in_flight: Option<InFlight>,
}

/// Exchanges a request for a stream.
///
/// # Errors
///
/// Returns a refusal if no group brought a first event.
pub(crate) async fn exchange(
    mut dispatch: Dispatch,
    in_flight: InFlight,
    caller: Option<IoRef>,
) -> Result<Response, Refusal> {
    loop {
        let opened = match dispatch.open().await {
            Ok(opened) => opened,
            Err(refusal) => match dispatch.fallback.take() {
                Some(whole) => return Ok(whole.response()),
                None => return Err(refusal),
            },
        };
        if !is_stream(&opened) {
            match whole::finish(&mut dispatch, opened).await? {
                Some(whole) => return Ok(whole.response()),
                None => continue,
            }
        }
        let mut headers = opened.answer.headers().clone();
        header::strip(&mut headers);
        let status = opened.answer.status();
        let mut relay = Relay {
            last_sign: opened.sent,
            dispatch,
            opened: Some(opened),
            splitter: Splitter::default(),
            in_flight: None,
        };
        let first = match relay.next().await {
            Ok(first) => first,
            Err(refusal) => match relay.dispatch.fallback.take() {
                Some(whole) => return Ok(whole.response()),
                None => return Err(refusal),
            },
        };
        relay.in_flight = Some(in_flight);
        let node = &relay.dispatch.node;
        node.times
            .first_event(node.now().since(relay.dispatch.call.arrived));
        let mut builder = whole::builder(status, &headers);
        return Ok(builder.streaming(Box::pin(body(relay, first, caller))));
    }
}

fn is_stream(opened: &Opened) -> bool {
    opened.answer.status().is_success()
        && opened
            .answer
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .is_none_or(|kind| kind.starts_with("text/event-stream"))
}

/// Returns the body for the caller. Dropping it ends the work on the server.
fn body(
    relay: Relay,
    first: Option<Event>,
    caller: Option<IoRef>,
) -> impl futures::Stream<Item = Result<Bytes, Infallible>> {
    stream::unfold((relay, first, caller), |(mut relay, ready, caller)| async {
        let next = match ready {
            Some(event) => Ok(Some(event)),
            None => relay.next().await,
        };
        match next {
            Ok(Some(event)) => {
                let bytes = Bytes::from(event.bytes.to_vec());
                Some((Ok(bytes), (relay, None, caller)))
            }
            Ok(None) => {
                relay
                    .dispatch
                    .node
                    .counters
                    .count_outcome(Outcome::Completed);
                relay.dispatch.answered(SUCCESS);
                None
            }
            Err(refusal) => {
                relay.report(&refusal);
                drop(relay);
                break_off(caller).await
            }
        }
    })
}

/// Closes the connection to the caller, so that an answer that ends early does not look complete.
async fn break_off<T>(caller: Option<IoRef>) -> T {
    if let Some(caller) = caller {
        caller.close();
    }
    // The library drops the answer together with the connection.
    std::future::pending().await
}

impl Relay {
    /// Counts and logs a stream that is broken off.
    fn report(&self, refusal: &Refusal) {
        let node = &self.dispatch.node;
        node.counters.count_refusal(refusal.reason);
        node.counters.count_outcome(Outcome::Unknown);
        info!(node.logger(), "stream broken off";
            "request" => %self.dispatch.call.head.id,
            "route" => %self.dispatch.call.route.name,
            "reason" => refusal.reason.label(),
            "detail" => &refusal.detail,
            "delivered" => self.dispatch.delivered);
    }

    /// Returns the next event, or none at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the stream breaks off and cannot go on elsewhere.
    async fn next(&mut self) -> Result<Option<Event>, Refusal> {
        loop {
            let mut opened = match self.opened.take() {
                Some(opened) => opened,
                None => self.reopen().await?,
            };
            let attempt = opened.attempt();
            match self.read(&mut opened).await {
                Ok(Some(event)) => {
                    self.opened = Some(opened);
                    return Ok(Some(event));
                }
                Ok(None) => {
                    let headers = opened.answer.headers().clone();
                    self.dispatch.keep(opened.connection, &headers);
                    return Ok(None);
                }
                Err(broken) => {
                    drop(opened);
                    self.splitter = Splitter::default();
                    self.dispatch.failed(&broken, &attempt)?;
                }
            }
        }
    }

    /// Lets the stream go on at another group.
    async fn reopen(&mut self) -> Result<Opened, Refusal> {
        loop {
            let opened = self.dispatch.open().await?;
            if is_stream(&opened) {
                self.last_sign = opened.sent;
                return Ok(opened);
            }
            let attempt = opened.attempt();
            let detail = format!("status {} in place of a stream", opened.answer.status());
            let broken = ExchangeFailure::invalid(detail);
            drop(opened);
            self.dispatch.failed(&broken, &attempt)?;
        }
    }

    async fn read(&mut self, opened: &mut Opened) -> Result<Option<Event>, ExchangeFailure> {
        loop {
            let next = self
                .splitter
                .next()
                .map_err(|_| ExchangeFailure::invalid("an event is too large"))?;
            if let Some(event) = next {
                if self.is_next(&event)? {
                    return Ok(Some(event));
                }
                continue;
            }
            let patience = self.dispatch.next_patience();
            let body = opened.answer.body_mut();
            let frame = self
                .dispatch
                .guard(opened.pass.key, self.last_sign, patience, body.frame())
                .await;
            let frame = match frame {
                Ok(frame) => frame,
                Err(fault) => {
                    return Err(ExchangeFailure::new(
                        fault,
                        Step::Answering,
                        "the stream stopped",
                    ));
                }
            };
            let Some(frame) = frame else {
                if self.splitter.is_empty() {
                    return Ok(None);
                }
                let detail = "the stream ended within an event";
                return Err(ExchangeFailure::new(Fault::Closed, Step::Answering, detail));
            };
            let frame = frame
                .map_err(|error| ExchangeFailure::new(Fault::Closed, Step::Answering, error))?;
            if let Ok(data) = frame.into_data() {
                self.splitter.push(&data);
                self.progress(opened);
            }
        }
    }

    /// Notes that the group has brought something.
    fn progress(&mut self, opened: &mut Opened) {
        let now = self.dispatch.node.now();
        self.last_sign = now;
        opened.pass.advance(now);
    }

    /// Returns whether an event is the next one for the caller; one that the caller has is passed
    /// over.
    fn is_next(&mut self, event: &Event) -> Result<bool, ExchangeFailure> {
        let Some(id) = event.id else {
            return Ok(true);
        };
        if let Some(delivered) = self.dispatch.delivered {
            if id <= delivered {
                return Ok(false);
            }
            if id > delivered + 1 {
                let detail = format!("event {id} came after event {delivered}");
                return Err(ExchangeFailure::invalid(detail));
            }
        }
        self.dispatch.delivered = Some(id);
        Ok(true)
    }
}
