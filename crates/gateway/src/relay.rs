//! Relays streams event by event and resumes interrupted streams at another replica group.

use std::cell::Cell;
use std::io;
use std::rc::{Rc, Weak};

use futures::channel::oneshot;
use futures::future::select;
use futures::stream;
use http::{HeaderMap, StatusCode};
use jackdaw_core::outcome::Outcome;
use jackdaw_core::refusal::Reason;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_entry::in_flight::Stage;
use ntex::http::Response;
use ntex::io::IoRef;
use ntex::util::Bytes;
use slog::info;
use tokio::time;

use crate::attempt::{AnswerHead, Piece};
use crate::buffered;
use crate::dispatch::Dispatch;
use crate::event::Event;
use crate::header;
use crate::node::Node;
use crate::race::Race;
use crate::refusal::Refusal;

/// HTTP status that is logged for completed streams.
const STATUS_OK: u16 = 200;

/// Time after a stream's deadline for a caller that is late to take what has arrived.
const UNREAD_TIME: Millis = Millis(200);

/// A stream from a server to a caller.
struct Relay {
    race: Race,
}

/// How a stream begins.
enum First {
    Event(Event),
    /// The stream has no events.
    End,
}

/// The place of a relay that waits for its caller; it is empty while the next event is read.
type Slot = Rc<Cell<Option<Relay>>>;

/// Sends a request and streams the answer to the caller.
///
/// An answer that is not a stream is read to its end first.
///
/// # Errors
///
/// Returns a refusal if no server sent a first event or another answer.
pub(crate) async fn exchange(
    dispatch: Dispatch,
    caller: Option<IoRef>,
) -> Result<Response, Refusal> {
    let mut race = Race::new(dispatch);
    let first = match race.next().await {
        Ok(Piece::Event(event)) => First::Event(event),
        Ok(Piece::End) => First::End,
        Ok(Piece::Answer(buffered)) => return Ok(buffered.into_response()),
        Err(refusal) => match race.dispatch.fallback.take() {
            Some(buffered) => return Ok(buffered.into_response()),
            None => return Err(refusal),
        },
    };
    let dispatch = &race.dispatch;
    dispatch.track(|tracked| tracked.stage = Stage::Streaming);
    let node = &dispatch.node;
    node.histograms
        .record_first_event(node.now().since(dispatch.call.arrived));
    let head = race.current().and_then(|attempt| attempt.head());
    let (status, mut headers) = head.map_or_else(
        || (StatusCode::OK, HeaderMap::new()),
        |AnswerHead { status, headers }| (*status, headers.clone()),
    );
    header::strip_hop_by_hop(&mut headers);
    let mut builder = buffered::response_builder(status, &headers);
    let due = race.dispatch.call.deadline + UNREAD_TIME;
    let node = Rc::clone(node);
    let slot: Slot = Rc::new(Cell::new(Some(Relay { race })));
    let (guard, ended) = oneshot::channel();
    let watch = end_unread(node, Rc::downgrade(&slot), caller.clone(), due);
    ntex::rt::spawn(select(ended, Box::pin(watch)));
    let body = stream_body(slot, first, caller, guard);
    Ok(builder.streaming(Box::pin(body)))
}

/// Ends a stream whose caller has not read it by a time.
///
/// The body is not polled while the connection to the caller is full, so it cannot end itself.
async fn end_unread(
    node: Rc<Node>,
    slot: Weak<Cell<Option<Relay>>>,
    caller: Option<IoRef>,
    due: Instant,
) {
    time::sleep(node.until(due)).await;
    let relay = loop {
        let Some(slot) = slot.upgrade() else {
            return;
        };
        if let Some(relay) = slot.take() {
            break relay;
        }
        drop(slot);
        // What is read past the deadline ends within this time.
        time::sleep(UNREAD_TIME.duration()).await;
    };
    let detail = "the caller had not read the stream when its deadline passed";
    relay.record_abort(&Refusal::unknown(Reason::Deadline, detail));
    drop(relay);
    if let Some(caller) = caller {
        caller.terminate();
    }
}

/// Returns the body for the caller. Dropping it closes the connection to the server, which ends the
/// work there, and drops the guard.
fn stream_body(
    slot: Slot,
    first: First,
    caller: Option<IoRef>,
    guard: oneshot::Sender<()>,
) -> impl futures::Stream<Item = Result<Bytes, io::Error>> {
    let state = Some((slot, Some(first), caller, guard));
    stream::unfold(state, |state| async {
        let (slot, ready, caller, guard) = state?;
        let Some(mut relay) = slot.take() else {
            return Some((Err(abort_connection(caller).await), None));
        };
        let next = match ready {
            Some(First::Event(event)) => Ok(Some(event)),
            Some(First::End) => Ok(None),
            None => relay.next_event().await,
        };
        match next {
            Ok(Some(event)) => {
                relay.record_delivery();
                let bytes = Bytes::from(event.bytes.to_vec());
                slot.set(Some(relay));
                Some((Ok(bytes), Some((slot, None, caller, guard))))
            }
            Ok(None) => {
                relay
                    .race
                    .dispatch
                    .node
                    .counters
                    .count_outcome(Outcome::Completed);
                relay.race.dispatch.log_answered(STATUS_OK);
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
        self.race
            .dispatch
            .track(|tracked| tracked.is_closed_by_node = true);
        let node = &self.race.dispatch.node;
        let now = node.now();
        node.counters.count_refusal(refusal.reason);
        node.counters.count_outcome(Outcome::Unknown);
        info!(node.logger(), "stream broken off";
            "request" => %self.race.dispatch.call.head.id,
            "route" => %self.race.dispatch.call.route.name,
            "reason" => refusal.reason.label(),
            "detail" => &refusal.detail,
            "age_ms" => now.since(self.race.dispatch.call.arrived).0,
            "left_ms" => self.race.dispatch.due().since(now).0,
            "delivered" => self.race.dispatch.last_delivered());
    }

    /// Records that an event is handed to the caller's connection.
    fn record_delivery(&self) {
        self.race.dispatch.track(|tracked| {
            tracked.events += 1;
            tracked.delivered = self.race.dispatch.last_delivered();
        });
    }

    /// Returns the next event, or none at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the stream is interrupted and cannot be resumed.
    async fn next_event(&mut self) -> Result<Option<Event>, Refusal> {
        loop {
            match self.race.next().await? {
                Piece::Event(event) => return Ok(Some(event)),
                Piece::End => return Ok(None),
                // An answer in place of a stream under way is a failed attempt.
                Piece::Answer(_) => {}
            }
        }
    }
}
