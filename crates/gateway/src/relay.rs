//! Relays streams event by event and resumes interrupted streams at another replica group.

use std::io;

use futures::stream;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::time::Instant;
use jackdaw_entry::in_flight::Stage;
use jackdaw_policy::retry::{ExchangeFailure, Fault};
use ntex::http::Response;
use ntex::io::IoRef;
use ntex::util::Bytes;
use slog::info;

use crate::buffered;
use crate::dispatch::{Dispatch, Exchange};
use crate::event::{Event, Splitter};
use crate::header;
use crate::refusal::Refusal;

/// HTTP status that is logged for completed streams.
const STATUS_OK: u16 = 200;

/// A stream from a server to a caller.
struct Relay {
    dispatch: Dispatch,
    exchange: Option<Exchange>,
    splitter: Splitter,
    last_activity: Instant,
}

/// Sends a request and streams the answer to the caller.
///
/// An answer that is not a stream is read to its end first.
///
/// # Errors
///
/// Returns a refusal if no server sent a first event or another answer.
pub(crate) async fn exchange(
    mut dispatch: Dispatch,
    caller: Option<IoRef>,
) -> Result<Response, Refusal> {
    loop {
        let exchange = match dispatch.open().await {
            Ok(exchange) => exchange,
            Err(refusal) => match dispatch.fallback.take() {
                Some(buffered) => return Ok(buffered.into_response()),
                None => return Err(refusal),
            },
        };
        if !is_stream(&exchange) {
            match buffered::finish_exchange(&mut dispatch, exchange).await? {
                Some(buffered) => return Ok(buffered.into_response()),
                None => continue,
            }
        }
        dispatch.track(|tracked| tracked.stage = Stage::FirstEvent);
        let mut headers = exchange.answer.headers().clone();
        header::strip_hop_by_hop(&mut headers);
        let status = exchange.answer.status();
        let mut relay = Relay {
            last_activity: exchange.sent,
            dispatch,
            exchange: Some(exchange),
            splitter: Splitter::default(),
        };
        let first = match relay.next_event().await {
            Ok(first) => first,
            Err(refusal) => match relay.dispatch.fallback.take() {
                Some(buffered) => return Ok(buffered.into_response()),
                None => return Err(refusal),
            },
        };
        relay
            .dispatch
            .track(|tracked| tracked.stage = Stage::Streaming);
        let node = &relay.dispatch.node;
        node.histograms
            .record_first_event(node.now().since(relay.dispatch.call.arrived));
        let mut builder = buffered::response_builder(status, &headers);
        return Ok(builder.streaming(Box::pin(stream_body(relay, first, caller))));
    }
}

fn is_stream(exchange: &Exchange) -> bool {
    exchange.answer.status().is_success()
        && exchange
            .answer
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .is_none_or(|kind| kind.starts_with("text/event-stream"))
}

/// Returns the body for the caller. Dropping it closes the connection to the server, which ends the
/// work there.
fn stream_body(
    relay: Relay,
    first: Option<Event>,
    caller: Option<IoRef>,
) -> impl futures::Stream<Item = Result<Bytes, io::Error>> {
    let state = Some((relay, first, caller));
    stream::unfold(state, |state| async {
        let (mut relay, ready, caller) = state?;
        let next = match ready {
            Some(event) => Ok(Some(event)),
            None => relay.next_event().await,
        };
        match next {
            Ok(Some(event)) => {
                relay.record_delivery();
                let bytes = Bytes::from(event.bytes.to_vec());
                Some((Ok(bytes), Some((relay, None, caller))))
            }
            Ok(None) => {
                relay
                    .dispatch
                    .node
                    .counters
                    .count_outcome(Outcome::Completed);
                relay.dispatch.log_answered(STATUS_OK);
                None
            }
            Err(refusal) => {
                relay.record_abort(&refusal);
                drop(relay);
                Some((Err(abort_connection(caller).await), None))
            }
        }
    })
}

/// Closes the connection to the caller, so that an interrupted answer does not look complete, and
/// returns the error that ends the answer's body.
async fn abort_connection(caller: Option<IoRef>) -> io::Error {
    match caller {
        // Nothing is written to a closed connection, so the server does not send the error.
        Some(caller) => caller.close(),
        None => std::future::pending().await,
    }
    io::Error::other("the stream was broken off")
}

impl Relay {
    /// Counts and logs a stream that is aborted.
    fn record_abort(&self, refusal: &Refusal) {
        self.dispatch
            .track(|tracked| tracked.is_closed_by_node = true);
        let node = &self.dispatch.node;
        let now = node.now();
        node.counters.count_refusal(refusal.reason);
        node.counters.count_outcome(Outcome::Unknown);
        info!(node.logger(), "stream broken off";
            "request" => %self.dispatch.call.head.id,
            "route" => %self.dispatch.call.route.name,
            "reason" => refusal.reason.label(),
            "detail" => &refusal.detail,
            "age_ms" => now.since(self.dispatch.call.arrived).0,
            "left_ms" => self.dispatch.due().since(now).0,
            "delivered" => self.dispatch.last_delivered);
    }

    /// Records that an event is handed to the caller's connection.
    fn record_delivery(&self) {
        self.dispatch.track(|tracked| {
            tracked.events += 1;
            tracked.delivered = self.dispatch.last_delivered;
        });
    }

    /// Returns the next event, or none at the end of the stream. Resumes the stream at another
    /// group if it is interrupted.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the stream is interrupted and cannot be resumed.
    async fn next_event(&mut self) -> Result<Option<Event>, Refusal> {
        loop {
            let mut exchange = match self.exchange.take() {
                Some(exchange) => exchange,
                None => self.resume().await?,
            };
            let attempt = exchange.attempt();
            match self.read_event(&mut exchange).await {
                Ok(Some(event)) => {
                    self.exchange = Some(exchange);
                    return Ok(Some(event));
                }
                Ok(None) => {
                    self.dispatch.record_survival();
                    let headers = exchange.answer.headers().clone();
                    self.dispatch.keep_connection(exchange.connection, &headers);
                    return Ok(None);
                }
                Err(error) => {
                    drop(exchange);
                    self.splitter = Splitter::default();
                    self.dispatch.record_failure(&error, &attempt).await?;
                }
            }
        }
    }

    /// Opens the stream again after the last delivered event.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no server can resume the stream.
    async fn resume(&mut self) -> Result<Exchange, Refusal> {
        loop {
            let exchange = self.dispatch.open().await?;
            if is_stream(&exchange) {
                self.last_activity = exchange.sent;
                return Ok(exchange);
            }
            let attempt = exchange.attempt();
            let detail = format!("status {} in place of a stream", exchange.answer.status());
            let error = ExchangeFailure::invalid(detail);
            drop(exchange);
            self.dispatch.record_failure(&error, &attempt).await?;
        }
    }

    async fn read_event(
        &mut self,
        exchange: &mut Exchange,
    ) -> Result<Option<Event>, ExchangeFailure> {
        loop {
            let next = self
                .splitter
                .next()
                .map_err(|_| ExchangeFailure::invalid("an event is too large"))?;
            if let Some(event) = next {
                self.dispatch.record_event();
                if self.accept_event(&event)? {
                    return Ok(Some(event));
                }
                continue;
            }
            let timeouts = self.dispatch.next_timeouts();
            let body = exchange.answer.body_mut();
            let frame = self
                .dispatch
                .wait_with_timeouts(
                    exchange.reservation.key,
                    self.last_activity,
                    timeouts,
                    body.frame(),
                )
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
                self.record_progress(exchange);
            }
        }
    }

    /// Records that bytes have arrived from the target.
    fn record_progress(&mut self, exchange: &mut Exchange) {
        let now = self.dispatch.node.now();
        self.last_activity = now;
        exchange.reservation.advance(now);
    }

    /// Records an event as delivered and returns whether it is new to the caller.
    ///
    /// # Errors
    ///
    /// Returns a failure if the event's number leaves a gap.
    fn accept_event(&mut self, event: &Event) -> Result<bool, ExchangeFailure> {
        let Some(id) = event.id else {
            return Ok(true);
        };
        if let Some(delivered) = self.dispatch.last_delivered {
            if id <= delivered {
                return Ok(false);
            }
            if id > delivered + 1 {
                let detail = format!("event {id} came after event {delivered}");
                return Err(ExchangeFailure::invalid(detail));
            }
        }
        self.dispatch.last_delivered = Some(id);
        Ok(true)
    }
}
