//! Relays streams of server-sent events.

use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;

use futures::future::{Either, select};
use futures::stream;
use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::refusal::Reason;
use ntex::time;
use ntex::util::{Bytes, BytesMut};
use ntex::web::HttpResponse;
use tokio::sync::mpsc::{Receiver, Sender, channel};

use crate::attempt::Piece;
use crate::dispatch::Dispatch;
use crate::drain::RequestGuard;
use crate::exchange;
use crate::handler;
use crate::head;
use crate::problem::Problem;
use crate::race::Race;
use crate::shared::Shared;

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
    dispatch: Dispatch,
    guard: RequestGuard,
) -> Result<HttpResponse, Problem> {
    let id = dispatch.call.id.clone();
    let mut race = Race::new(dispatch);
    match race.next().await? {
        Piece::Answer(answer) => {
            race.record_answer();
            Ok(answer.to_response(&id))
        }
        first @ (Piece::Event(..) | Piece::End) => Ok(build_response(race, first, &id, guard)),
    }
}

fn build_response(race: Race, first: Piece, id: &str, guard: RequestGuard) -> HttpResponse {
    let (sender, receiver) = channel(EVENT_BUFFER_LEN);
    ntex::rt::spawn(forward_events(race, first, sender));
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
async fn forward_events(mut race: Race, first: Piece, sender: Sender<Chunk>) {
    let shared = Arc::clone(&race.dispatch.shared);
    let mut piece = Ok(first);
    loop {
        let chunk = encode(&mut race, piece);
        let is_last = chunk.is_last;
        if !deliver(&mut race, &sender, chunk).await || is_last {
            return;
        }
        let closed = pin!(sender.closed());
        let expired = pin!(shared.drain.wait_expired());
        let next = pin!(race.next());
        piece = match select(closed, select(next, expired)).await {
            // Dropping the attempts cancels the work on the backend servers.
            Either::Left(_) => return,
            Either::Right((Either::Left((piece, _)), _)) => piece,
            Either::Right((Either::Right(_), _)) => Err(handler::expired_problem(Step::Answering)),
        };
    }
}

/// Encodes an event or a problem; the end of the stream and a problem are its last chunk.
fn encode(race: &mut Race, piece: Result<Piece, Problem>) -> Chunk {
    let counters = &race.dispatch.shared.counters;
    let (bytes, is_last) = match piece {
        Ok(Piece::Event(_, data)) => (encode_data(&data), false),
        // An attempt that resumes a stream gets no whole answer.
        Ok(Piece::End | Piece::Answer(_)) => {
            counters.count_outcome(Outcome::Completed);
            race.finish_stream();
            (Bytes::from_static(END_OF_STREAM), true)
        }
        Err(problem) => {
            counters.count_problem(&problem);
            let json = problem.to_json(&race.dispatch.call.id);
            let text = format!("event: error\ndata: {json}\n\n");
            (Bytes::from(text), true)
        }
    };
    Chunk { bytes, is_last }
}

/// Sends a chunk to the caller; returns whether it accepts it in time.
///
/// At the deadline the work on the backend servers ends, and the caller gets a problem instead.
async fn deliver(race: &mut Race, sender: &Sender<Chunk>, chunk: Chunk) -> bool {
    let chunk = match sender.try_send(chunk) {
        Ok(()) => return true,
        Err(error) => error.into_inner(),
    };
    let left = race.dispatch.remaining();
    if !race.is_under_way() || race.dispatch.shared.options.unread_timeout <= left {
        return send(&race.dispatch.shared, sender, chunk).await;
    }
    match time::timeout(exchange::to_timer_millis(left), sender.reserve()).await {
        Ok(Ok(permit)) => {
            permit.send(chunk);
            true
        }
        Ok(Err(_)) => false,
        Err(()) => {
            race.abandon();
            let detail = "the caller had not read the stream when its deadline passed";
            let problem = Problem::new(Reason::Deadline, Step::Answering, detail);
            let chunk = encode(race, Err(problem));
            send(&race.dispatch.shared, sender, chunk).await;
            false
        }
    }
}

/// Waits until the caller reads, and sends it a chunk; returns whether it reads in time.
async fn send(shared: &Shared, sender: &Sender<Chunk>, chunk: Chunk) -> bool {
    let bound = exchange::to_timer_millis(shared.options.unread_timeout);
    match time::timeout(bound, sender.send(chunk)).await {
        Ok(sent) => sent.is_ok(),
        Err(()) => {
            let detail = "the caller left the stream unread for too long";
            let problem = Problem::new(Reason::Deadline, Step::Answering, detail);
            shared.counters.count_problem(&problem);
            false
        }
    }
}

fn encode_data(data: &[u8]) -> Bytes {
    let mut bytes = BytesMut::with_capacity(data.len() + 8);
    bytes.extend_from_slice(b"data: ");
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\n\n");
    bytes.freeze()
}
