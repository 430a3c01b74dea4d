//! One attempt at a call: the call on its way to one target, and its answer as far as it has arrived.
//!
//! An attempt decides nothing. It can be polled beside others, and dropping it closes its connection,
//! which ends the work at the server.

use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use futures::Stream as _;
use futures::future::LocalBoxFuture;
use jackdaw_core::outcome::Step;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::continuation::{Form, Media};
use jackdaw_policy::retry::{Connection, ExchangeFailure, Fault};
use ntex::client::ClientResponse;
use ntex::http::StatusCode;
use ntex::http::header::{CONTENT_TYPE, HeaderValue};
use ntex::util::{Bytes, BytesMut};

use crate::buffered::Answer;
use crate::call::{Call, Destination};
use crate::exchange;
use crate::gauge::Guard;
use crate::isolation::{Isolation, Placement};
use crate::sequence::Source;
use crate::shared::Shared;
use crate::snapshot::Target;
use crate::sse::{self, Parser};

/// A part of an answer.
#[derive(Debug)]
pub(crate) enum Piece {
    /// Data of the next event of a stream, with its number if the server numbers its events.
    Event(Option<u64>, Bytes),
    /// The end marker of a stream.
    End,
    /// A complete answer that is not a stream.
    Answer(Answer),
}

/// Future of an answer whose head was checked.
pub(crate) type Sending = LocalBoxFuture<'static, Result<ClientResponse, ExchangeFailure>>;

/// How far an attempt has come.
enum Phase {
    Sending(Sending),
    Streaming(Box<Stream>),
    Collecting(Box<Body>),
    Ended,
}

/// A stream that is being received.
struct Stream {
    answer: ClientResponse,
    parser: Parser,
}

/// The body of an answer that is being received.
struct Body {
    answer: ClientResponse,
    bytes: BytesMut,
}

/// A call that was sent to one target.
pub(crate) struct Attempt {
    shared: Arc<Shared>,
    call: Rc<Call>,
    pub(crate) target: Target,
    pub(crate) connection: Connection,
    pub(crate) sent_at: Instant,
    /// Position in a stream and the answer's identity.
    pub(crate) source: Source,
    /// Whether nothing arrived from the server for longer than a timeout.
    pub(crate) is_silent: bool,
    /// Time of the last bytes from the server, at first the time of sending.
    last_activity: Instant,
    isolation: Option<Rc<Isolation>>,
    phase: Phase,
    _guard: Guard,
}

impl fmt::Debug for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Attempt")
            .field("target", &self.target)
            .field("step", &self.step())
            .finish_non_exhaustive()
    }
}

impl Attempt {
    /// Begins an attempt at a target.
    pub(crate) fn begin(
        shared: &Arc<Shared>,
        call: &Rc<Call>,
        placement: Placement,
        source: Source,
        sending: Sending,
    ) -> Self {
        let now = shared.clock.now();
        Attempt {
            shared: Arc::clone(shared),
            call: Rc::clone(call),
            connection: placement.connection,
            sent_at: now,
            source,
            is_silent: false,
            last_activity: now,
            isolation: placement.isolation,
            phase: Phase::Sending(sending),
            _guard: Guard::new(&placement.target.gauge),
            target: placement.target,
        }
    }

    /// Returns whether no request but this call is known to be in flight at the target.
    pub(crate) fn is_alone(&self) -> bool {
        let Some(isolation) = &self.isolation else {
            return false;
        };
        // Each of the call's attempts at this target holds the isolation once.
        let own = Rc::strong_count(isolation);
        let load = self.target.gauge.load();
        load.in_flight as usize == own && load.reported <= load.in_flight_at_report
    }

    /// Returns the furthest step.
    pub(crate) fn step(&self) -> Step {
        match self.phase {
            Phase::Sending(_) => Step::Written,
            Phase::Streaming(_) | Phase::Collecting(_) | Phase::Ended => Step::Answering,
        }
    }

    /// Returns the time without bytes after which the server counts as silent.
    pub(crate) fn silence_timeout(&self) -> Millis {
        let options = &self.shared.options;
        match (&self.phase, &self.call.destination) {
            // An engine answers a whole completion only after its last token.
            (Phase::Sending(_), Destination::Model(_)) if !self.call.streamed => {
                options.buffered_answer_timeout
            }
            (Phase::Sending(_), _) => options.first_byte_timeout,
            (Phase::Streaming(_) | Phase::Collecting(_) | Phase::Ended, _) => options.idle_timeout,
        }
    }

    /// Returns the time from which the server counts as silent.
    pub(crate) fn silent_at(&self) -> Instant {
        self.last_activity + self.silence_timeout()
    }

    /// Begins to wait for the next part after the caller took one.
    pub(crate) fn begin_wait(&mut self) {
        self.last_activity = self.shared.clock.now();
    }

    /// Polls for the next part of the answer.
    ///
    /// # Errors
    ///
    /// Returns the failure that ends the attempt.
    pub(crate) fn poll_piece(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Piece, ExchangeFailure>> {
        loop {
            match &mut self.phase {
                Phase::Sending(sending) => {
                    let answer = ready!(sending.as_mut().poll(cx))?;
                    self.phase = self.receive(answer)?;
                    self.record_activity();
                }
                Phase::Streaming(stream) => {
                    let next = stream.parser.next();
                    let next = next.map_err(|_| ExchangeFailure::invalid("an event is too large"));
                    match next? {
                        Some(sse::Event::Data(number, data)) => {
                            return Poll::Ready(Ok(Piece::Event(number, data)));
                        }
                        Some(sse::Event::Other) => {
                            let detail = "an event is no part of a completion";
                            return Poll::Ready(Err(ExchangeFailure::invalid(detail)));
                        }
                        Some(sse::Event::Done) => return Poll::Ready(Ok(Piece::End)),
                        None => {}
                    }
                    let Some(chunk) = ready!(poll_chunk(&mut stream.answer, cx))? else {
                        let detail = "the stream ended without its end marker";
                        return Poll::Ready(Err(ExchangeFailure::invalid(detail)));
                    };
                    stream.parser.push(&chunk);
                    self.record_activity();
                }
                Phase::Collecting(body) => {
                    let Some(chunk) = ready!(poll_chunk(&mut body.answer, cx))? else {
                        exchange::check_length(&self.call, &body.answer, body.bytes.len())?;
                        return Poll::Ready(Ok(Piece::Answer(self.finish_answer())));
                    };
                    let limit = self.shared.options.max_answer_body;
                    if (body.bytes.len() + chunk.len()) as u64 > limit.0 {
                        let detail = format!("the answer is larger than {limit}");
                        return Poll::Ready(Err(ExchangeFailure::invalid(detail)));
                    }
                    body.bytes.extend_from_slice(&chunk);
                    self.record_activity();
                }
                Phase::Ended => return Poll::Pending,
            }
        }
    }

    /// Reads a complete stream to the end of its body, so that the connection can be reused.
    pub(crate) async fn drain(mut self) {
        let timeout = exchange::to_timer_millis(self.shared.options.idle_timeout);
        if let Phase::Streaming(stream) = &mut self.phase {
            exchange::drain(&mut stream.answer, timeout).await;
        }
    }

    /// Begins to read the body of an answer.
    fn receive(&self, answer: ClientResponse) -> Result<Phase, ExchangeFailure> {
        let is_stream = self.call.streamed && is_stream(&answer);
        let is_resumed = self.source.start() > 0;
        // Callers get streams with status 200.
        if is_resumed && !(is_stream && answer.status() == StatusCode::OK) {
            let detail = format!("status {} came in place of a stream", answer.status());
            return Err(ExchangeFailure::invalid(detail));
        }
        if is_stream {
            return Ok(Phase::Streaming(Box::new(Stream {
                answer,
                parser: Parser::default(),
            })));
        }
        Ok(Phase::Collecting(Box::new(Body {
            answer,
            bytes: BytesMut::new(),
        })))
    }

    fn record_activity(&mut self) {
        self.last_activity = self.shared.clock.now();
        self.is_silent = false;
    }

    fn finish_answer(&mut self) -> Answer {
        match std::mem::replace(&mut self.phase, Phase::Ended) {
            Phase::Collecting(body) => Answer::new(&body.answer, body.bytes.freeze()),
            Phase::Sending(_) | Phase::Streaming(_) | Phase::Ended => Answer::default(),
        }
    }
}

fn poll_chunk(
    answer: &mut ClientResponse,
    cx: &mut Context<'_>,
) -> Poll<Result<Option<Bytes>, ExchangeFailure>> {
    let chunk = ready!(Pin::new(answer).poll_next(cx)).transpose();
    Poll::Ready(chunk.map_err(|error| ExchangeFailure::new(Fault::Closed, Step::Answering, error)))
}

fn is_stream(answer: &ClientResponse) -> bool {
    let content_type = answer.headers().get(CONTENT_TYPE);
    let content_type = content_type.map(HeaderValue::as_bytes);
    let form = Form::new(answer.status().as_u16(), content_type);
    form.is_stream() && form.media == Media::Events
}
