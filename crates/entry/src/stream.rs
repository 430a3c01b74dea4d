//! Relays streams of server-sent events.

use futures::stream;
use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::refusal::Reason;
use ntex::time;
use ntex::util::{Bytes, BytesMut, stream_recv};
use ntex::web::HttpResponse;

use crate::dispatch::{Dispatch, Opened};
use crate::drain::Pass;
use crate::exchange::{Fault, span};
use crate::head;
use crate::problem::Problem;
use crate::sse::{Event, Parser};
use crate::whole::body_fault;

/// Relays a stream after its first event came.
pub(crate) async fn relay(mut dispatch: Dispatch, pass: Pass) -> Result<HttpResponse, Problem> {
    let opened = dispatch.open(0).await?;
    if !opened.answer.status().is_success() {
        return Err(Problem::new(
            Reason::AnswerInvalid,
            Step::Answering,
            format!("the engine answered {}", opened.answer.status()),
        )
        .at(&opened.target.name));
    }
    let id = dispatch.call.id.clone();
    let mut relay = Relay {
        dispatch,
        opened,
        parser: Parser::default(),
        delivered: 0,
        ended: false,
        _pass: pass,
    };
    let first = relay.event().await.map_err(|fault| relay.give_up(&fault))?;
    let first = relay.encode(first);
    let rest = stream::unfold(relay, |mut relay| async move {
        let bytes = relay.next().await?;
        Some((Ok::<Bytes, std::convert::Infallible>(bytes), relay))
    });
    let whole = stream::StreamExt::chain(stream::iter([Ok(first)]), rest);
    Ok(HttpResponse::Ok()
        .set_header(head::REQUEST_ID, id.as_str())
        .set_header(head::OUTCOME, Outcome::Unknown.to_string())
        .set_header("cache-control", "no-store")
        .content_type("text/event-stream")
        .streaming(Box::pin(whole)))
}

struct Relay {
    dispatch: Dispatch,
    opened: Opened,
    parser: Parser,
    delivered: u64,
    ended: bool,
    _pass: Pass,
}

impl Relay {
    async fn next(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        match self.event().await {
            Ok(event) => Some(self.encode(event)),
            Err(fault) => {
                let problem = self.give_up(&fault);
                self.ended = true;
                Some(error_event(&problem, &self.dispatch.call.id))
            }
        }
    }

    async fn event(&mut self) -> Result<Event, Fault> {
        loop {
            let next = self.parser.next().map_err(|_| {
                Fault::new(Reason::AnswerInvalid, Step::Answering, "event too large")
            })?;
            if let Some(event) = next {
                return Ok(event);
            }
            let bound = self
                .dispatch
                .remaining()
                .min(self.dispatch.shared.options.idle_timeout);
            match time::timeout(span(bound), stream_recv(&mut self.opened.answer)).await {
                Ok(Some(Ok(chunk))) => self.parser.push(&chunk),
                Ok(Some(Err(error))) => return Err(body_fault(&error)),
                Ok(None) => {
                    let detail = "the stream ended without its end marker";
                    return Err(Fault::new(Reason::AnswerInvalid, Step::Answering, detail));
                }
                Err(()) => return Err(Fault::silent(Step::Answering, bound)),
            }
        }
    }

    fn encode(&mut self, event: Event) -> Bytes {
        match event {
            Event::Data(data) => {
                self.delivered += 1;
                encode(b"", &data)
            }
            Event::Done => {
                self.ended = true;
                self.dispatch.answered(&self.opened.target);
                encode(b": jackdawstair-outcome completed\n\n", b"[DONE]")
            }
        }
    }

    fn give_up(&mut self, fault: &Fault) -> Problem {
        let target = self.opened.target.clone();
        self.dispatch.failed(fault, &target)
    }
}

fn encode(before: &[u8], data: &[u8]) -> Bytes {
    let mut bytes = BytesMut::with_capacity(before.len() + data.len() + 8);
    bytes.extend_from_slice(before);
    bytes.extend_from_slice(b"data: ");
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\n\n");
    bytes.freeze()
}

fn error_event(problem: &Problem, request_id: &str) -> Bytes {
    Bytes::from(format!(
        "event: error\ndata: {}\n\n",
        problem.json(request_id)
    ))
}
