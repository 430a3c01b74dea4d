//! Relays streams of server-sent events.

use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;

use futures::future::{Either, select};
use futures::stream;
use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::refusal::Reason;
use jackdaw_policy::retry::ExchangeFailure;
use ntex::http::header::CONTENT_TYPE;
use ntex::time;
use ntex::util::{Bytes, BytesMut};
use ntex::web::HttpResponse;
use tokio::sync::mpsc::{Receiver, Sender, channel};

use crate::buffered;
use crate::dispatch::{Dispatch, OpenAnswer};
use crate::drain::RequestGuard;
use crate::exchange;
use crate::handler;
use crate::head;
use crate::problem::Problem;
use crate::sequence::Sequence;
use crate::sse::{Event, Parser};

/// Events buffered for a caller; beyond them the backend server is read no further.
const EVENT_BUFFER_LEN: usize = 64;
/// Last bytes of a complete stream.
const END_OF_STREAM: &[u8] = b": jackdawstair-outcome completed\n\ndata: [DONE]\n\n";

/// Relays a stream of events.
///
/// The answer to the caller begins with the first event, so that a failure before it can still be
/// answered with a problem document.
///
/// # Errors
///
/// Returns the problem if the call is given up before the first event.
pub(crate) async fn relay(
    mut dispatch: Dispatch,
    guard: RequestGuard,
) -> Result<HttpResponse, Problem> {
    loop {
        let opened = dispatch.open(0).await?;
        let id = dispatch.call.id.clone();
        if !is_stream(&opened) {
            if let Some(answer) = buffered::read_answer(&mut dispatch, opened).await? {
                return Ok(answer.to_response(&id));
            }
            continue;
        }
        let mut relay = Relay {
            dispatch,
            opened: Some(opened),
            parser: Parser::default(),
            sequence: Sequence::default(),
        };
        let first = relay.next_event().await?;
        return Ok(build_response(relay, first, &id, guard));
    }
}

fn is_stream(opened: &OpenAnswer) -> bool {
    let content_type = opened.answer.headers().get(CONTENT_TYPE);
    opened.answer.status().is_success()
        && content_type
            .and_then(|value| value.to_str().ok())
            .is_some_and(|value| value.starts_with("text/event-stream"))
}

fn build_response(relay: Relay, first: Event, id: &str, guard: RequestGuard) -> HttpResponse {
    let (sender, receiver) = channel(EVENT_BUFFER_LEN);
    ntex::rt::spawn(forward_events(relay, first, sender));
    let body = Body {
        receiver,
        is_complete: false,
        _guard: Rc::new(guard),
    };
    let chunks = stream::unfold(body, |mut body| async move {
        let chunk = body.next_chunk().await?;
        Some((chunk, body))
    });
    HttpResponse::Ok()
        .set_header(head::REQUEST_ID, id)
        .set_header(head::OUTCOME, Outcome::Unknown.to_string())
        .set_header("cache-control", "no-store")
        .content_type("text/event-stream")
        .streaming(Box::pin(chunks))
}

/// The stream's chunks on their way to the caller.
struct Body {
    receiver: Receiver<Chunk>,
    is_complete: bool,
    _guard: Rc<RequestGuard>,
}

/// Encoded events.
struct Chunk {
    bytes: Bytes,
    is_last: bool,
}

impl Body {
    /// Returns all buffered events in one piece, or `None` after the stream's last.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream was cancelled, so that its body does not end like a complete
    /// one.
    async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        let Some(first) = self.receiver.recv().await else {
            let cancelled = io::Error::other("the stream was cancelled");
            return (!self.is_complete).then_some(Err(cancelled));
        };
        self.is_complete = first.is_last;
        let Ok(second) = self.receiver.try_recv() else {
            return Some(Ok(first.bytes));
        };
        let mut bytes = BytesMut::from(&first.bytes[..]);
        let mut next = Ok(second);
        while let Ok(chunk) = next {
            bytes.extend_from_slice(&chunk.bytes);
            self.is_complete = chunk.is_last;
            next = self.receiver.try_recv();
        }
        Some(Ok(bytes.freeze()))
    }
}

/// Forwards events until the stream ends or fails, or the caller disconnects or stops reading.
async fn forward_events(mut relay: Relay, first: Event, sender: Sender<Chunk>) {
    let shared = Arc::clone(&relay.dispatch.shared);
    let mut event = Ok(first);
    loop {
        let chunk = relay.encode(event);
        let is_last = chunk.is_last;
        if !relay.deliver(&sender, chunk).await || is_last {
            return;
        }
        let closed = pin!(sender.closed());
        let expired = pin!(shared.drain.wait_expired());
        let next = pin!(relay.next_event());
        event = match select(closed, select(next, expired)).await {
            // Dropping the answer cancels the work on the backend server.
            Either::Left(_) => return,
            Either::Right((Either::Left((event, _)), _)) => event,
            Either::Right((Either::Right(_), _)) => Err(handler::expired_problem(Step::Answering)),
        };
    }
}

/// Reads a stream's events from backend servers.
struct Relay {
    dispatch: Dispatch,
    opened: Option<OpenAnswer>,
    parser: Parser,
    sequence: Sequence,
}

impl Relay {
    /// Returns the next event, resuming the stream on another replica after a failure.
    async fn next_event(&mut self) -> Result<Event, Problem> {
        loop {
            let mut opened = match self.opened.take() {
                Some(opened) => opened,
                None => self.resume().await?,
            };
            match self.read_event(&mut opened).await {
                Ok(event) => {
                    self.opened = Some(opened);
                    return Ok(event);
                }
                Err(failure) => self.dispatch.handle_failure(&failure, &opened.attempt)?,
            }
        }
    }

    async fn resume(&mut self) -> Result<OpenAnswer, Problem> {
        self.parser = Parser::default();
        self.sequence.start_answer();
        loop {
            let opened = self.dispatch.open(self.sequence.delivered()).await?;
            if is_stream(&opened) {
                return Ok(opened);
            }
            let detail = format!(
                "status {} came in place of a stream",
                opened.answer.status()
            );
            let failure = ExchangeFailure::invalid(detail);
            self.dispatch.handle_failure(&failure, &opened.attempt)?;
        }
    }

    async fn read_event(&mut self, opened: &mut OpenAnswer) -> Result<Event, ExchangeFailure> {
        loop {
            let next = self
                .parser
                .next()
                .map_err(|_| ExchangeFailure::invalid("an event is too large"))?;
            match next {
                Some(Event::Data(number, data)) => {
                    let data = self.sequence.accept(number, data)?;
                    return Ok(Event::Data(number, data));
                }
                Some(Event::Done) => return Ok(Event::Done),
                None => {}
            }
            let bound = self.dispatch.idle_bound();
            match exchange::receive(&mut opened.answer, bound).await? {
                Some(chunk) => self.parser.push(&chunk),
                None => {
                    return Err(ExchangeFailure::invalid(
                        "the stream ended without its end marker",
                    ));
                }
            }
        }
    }

    /// Encodes an event or a problem; the end of the stream and a problem are its last chunk.
    fn encode(&mut self, event: Result<Event, Problem>) -> Chunk {
        let (bytes, is_last) = match event {
            Ok(Event::Data(_, data)) => (encode_data(&data), false),
            Ok(Event::Done) => {
                self.finish();
                (Bytes::from_static(END_OF_STREAM), true)
            }
            Err(problem) => {
                self.dispatch.shared.counters.count_problem(&problem);
                let json = problem.to_json(&self.dispatch.call.id);
                let text = format!("event: error\ndata: {json}\n\n");
                (Bytes::from(text), true)
            }
        };
        Chunk { bytes, is_last }
    }

    /// Sends a chunk to the caller; returns whether it accepts it in time.
    ///
    /// At the deadline the work on the backend server ends, and the caller gets a problem instead.
    async fn deliver(&mut self, sender: &Sender<Chunk>, chunk: Chunk) -> bool {
        let chunk = match sender.try_send(chunk) {
            Ok(()) => return true,
            Err(error) => error.into_inner(),
        };
        let unread_timeout = self.dispatch.shared.options.unread_timeout;
        let left = self.dispatch.call.deadline;
        let left = left.since(self.dispatch.shared.clock.now());
        if self.opened.is_none() || unread_timeout <= left {
            return self.send(sender, chunk).await;
        }
        match time::timeout(exchange::to_timer_millis(left), sender.reserve()).await {
            Ok(Ok(permit)) => {
                permit.send(chunk);
                true
            }
            Ok(Err(_)) => false,
            Err(()) => {
                self.opened = None;
                let detail = "the caller had not read the stream when its deadline passed";
                let problem = Problem::new(Reason::Deadline, Step::Answering, detail);
                let chunk = self.encode(Err(problem));
                self.send(sender, chunk).await;
                false
            }
        }
    }

    /// Waits until the caller reads, and sends it a chunk; returns whether it reads in time.
    async fn send(&self, sender: &Sender<Chunk>, chunk: Chunk) -> bool {
        let bound = exchange::to_timer_millis(self.dispatch.shared.options.unread_timeout);
        match time::timeout(bound, sender.send(chunk)).await {
            Ok(sent) => sent.is_ok(),
            Err(()) => {
                let detail = "the caller left the stream unread for too long";
                let problem = Problem::new(Reason::Deadline, Step::Answering, detail);
                self.dispatch.shared.counters.count_problem(&problem);
                false
            }
        }
    }

    /// Records the complete stream and reads the answer to its end, so that the connection can be
    /// reused.
    fn finish(&mut self) {
        let Some(mut opened) = self.opened.take() else {
            return;
        };
        let tokens = self.sequence.current_len();
        self.dispatch.record_stream(&opened.attempt, tokens);
        self.dispatch
            .shared
            .counters
            .count_outcome(Outcome::Completed);
        let bound = self.dispatch.idle_bound();
        ntex::rt::spawn(async move {
            while let Ok(Some(_)) = exchange::receive(&mut opened.answer, bound).await {}
        });
    }
}

fn encode_data(data: &[u8]) -> Bytes {
    let mut bytes = BytesMut::with_capacity(data.len() + 8);
    bytes.extend_from_slice(b"data: ");
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\n\n");
    bytes.freeze()
}
