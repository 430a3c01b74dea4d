//! Relays streams of server-sent events.

use std::convert::Infallible;
use std::rc::Rc;

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

use crate::dispatch::{Dispatch, Opened};
use crate::drain::RequestGuard;
use crate::exchange;
use crate::head;
use crate::problem::Problem;
use crate::sequence::Sequence;
use crate::sse::{Event, Parser};
use crate::whole;

/// Events that wait for a caller before the backend server has to wait.
const WAITING_EVENTS: usize = 64;
/// Ends a stream in which every token came.
const END: &[u8] = b": jackdawstair-outcome completed\n\ndata: [DONE]\n\n";

/// Relays a stream after its first event came; until then a failure is a plain answer.
pub(crate) async fn relay(
    mut dispatch: Dispatch,
    pass: RequestGuard,
) -> Result<HttpResponse, Problem> {
    loop {
        let opened = dispatch.open(0).await?;
        let id = dispatch.call.id.clone();
        if !is_stream(&opened) {
            if let Some(answer) = whole::finish(&mut dispatch, opened).await? {
                return Ok(answer.response(&id));
            }
            continue;
        }
        let mut relay = Relay {
            dispatch,
            opened: Some(opened),
            parser: Parser::default(),
            sequence: Sequence::default(),
        };
        let first = relay.event().await?;
        return Ok(response(relay, first, &id, pass));
    }
}

fn is_stream(opened: &Opened) -> bool {
    let kind = opened.answer.headers().get(CONTENT_TYPE);
    opened.answer.status().is_success()
        && kind
            .and_then(|value| value.to_str().ok())
            .is_some_and(|value| value.starts_with("text/event-stream"))
}

fn response(relay: Relay, first: Event, id: &str, pass: RequestGuard) -> HttpResponse {
    let (sender, receiver) = channel(WAITING_EVENTS);
    ntex::rt::spawn(run(relay, first, sender));
    let body = Body {
        receiver,
        _pass: Rc::new(pass),
    };
    let chunks = stream::unfold(body, |mut body| async move {
        let bytes = body.next().await?;
        Some((Ok::<Bytes, Infallible>(bytes), body))
    });
    HttpResponse::Ok()
        .set_header(head::REQUEST_ID, id)
        .set_header(head::OUTCOME, Outcome::Unknown.to_string())
        .set_header("cache-control", "no-store")
        .content_type("text/event-stream")
        .streaming(Box::pin(chunks))
}

/// The caller's side of a stream.
struct Body {
    receiver: Receiver<Bytes>,
    _pass: Rc<RequestGuard>,
}

impl Body {
    /// Returns all events that wait, in one piece.
    async fn next(&mut self) -> Option<Bytes> {
        let first = self.receiver.recv().await?;
        let Ok(second) = self.receiver.try_recv() else {
            return Some(first);
        };
        let mut bytes = BytesMut::from(&first[..]);
        bytes.extend_from_slice(&second);
        while let Ok(more) = self.receiver.try_recv() {
            bytes.extend_from_slice(&more);
        }
        Some(bytes.freeze())
    }
}

/// Relays events until the stream ends, fails, or the caller is gone or reads nothing.
async fn run(mut relay: Relay, first: Event, sender: Sender<Bytes>) {
    let mut event = Ok(first);
    loop {
        let (bytes, last) = relay.encode(event);
        if !relay.deliver(&sender, bytes).await || last {
            return;
        }
        let gone = std::pin::pin!(sender.closed());
        event = match select(gone, std::pin::pin!(relay.event())).await {
            // Dropping the exchange cancels the work on the backend server.
            Either::Left(_) => return,
            Either::Right((event, _)) => event,
        };
    }
}

/// The backend server's side of a stream.
struct Relay {
    dispatch: Dispatch,
    opened: Option<Opened>,
    parser: Parser,
    sequence: Sequence,
}

impl Relay {
    /// Returns the next event, from another replica if the one before failed.
    async fn event(&mut self) -> Result<Event, Problem> {
        loop {
            let mut opened = match self.opened.take() {
                Some(opened) => opened,
                None => self.resume().await?,
            };
            match self.read(&mut opened).await {
                Ok(event) => {
                    self.opened = Some(opened);
                    return Ok(event);
                }
                Err(broken) => self.dispatch.failed(&broken, &opened.attempt)?,
            }
        }
    }

    async fn resume(&mut self) -> Result<Opened, Problem> {
        self.parser = Parser::default();
        self.sequence.resume();
        loop {
            let opened = self.dispatch.open(self.sequence.delivered()).await?;
            if is_stream(&opened) {
                return Ok(opened);
            }
            let detail = format!(
                "status {} came in place of a stream",
                opened.answer.status()
            );
            let broken = ExchangeFailure::invalid(detail);
            self.dispatch.failed(&broken, &opened.attempt)?;
        }
    }

    async fn read(&mut self, opened: &mut Opened) -> Result<Event, ExchangeFailure> {
        loop {
            let next = self
                .parser
                .next()
                .map_err(|_| ExchangeFailure::invalid("an event is too large"))?;
            match next {
                Some(Event::Data(number, data)) => {
                    let data = self.sequence.take(number, data)?;
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

    /// Returns the bytes for the caller, and whether they are the last.
    fn encode(&mut self, event: Result<Event, Problem>) -> (Bytes, bool) {
        match event {
            Ok(Event::Data(_, data)) => (encode(&data), false),
            Ok(Event::Done) => {
                self.finish();
                (Bytes::from_static(END), true)
            }
            Err(problem) => {
                self.dispatch.shared.counters.count_problem(&problem);
                let json = problem.json(&self.dispatch.call.id);
                let text = format!("event: error\ndata: {json}\n\n");
                (Bytes::from(text), true)
            }
        }
    }

    /// Hands bytes to the caller and returns whether it takes them.
    async fn deliver(&mut self, sender: &Sender<Bytes>, bytes: Bytes) -> bool {
        let bytes = match sender.try_send(bytes) {
            Ok(()) => return true,
            Err(error) => error.into_inner(),
        };
        let bound = exchange::span(self.dispatch.shared.options.unread_timeout);
        match time::timeout(bound, sender.send(bytes)).await {
            Ok(sent) => sent.is_ok(),
            Err(()) => {
                let detail = "the caller left the stream unread for too long";
                let problem = Problem::new(Reason::Deadline, Step::Answering, detail);
                self.dispatch.shared.counters.count_problem(&problem);
                false
            }
        }
    }

    /// Records the whole stream and lets the connection come to its end, so that it is reused.
    fn finish(&mut self) {
        let Some(mut opened) = self.opened.take() else {
            return;
        };
        let tokens = self.sequence.taken();
        self.dispatch.streamed(&opened.attempt, tokens);
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

fn encode(data: &[u8]) -> Bytes {
    let mut bytes = BytesMut::with_capacity(data.len() + 8);
    bytes.extend_from_slice(b"data: ");
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\n\n");
    bytes.freeze()
}
