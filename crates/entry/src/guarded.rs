//! Runs calls that may not be repeated, each at most once.

use std::rc::Rc;

use compact_str::CompactString;
use jackdaw_core::decision::Subject;
use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::refusal::Reason;
use ntex::channel::oneshot;
use ntex::http::header::CONTENT_TYPE;
use ntex::web::HttpResponse;

use crate::admit::Admission;
use crate::call::Call;
use crate::dispatch::Dispatch;
use crate::drain::RequestGuard;
use crate::event::Event;
use crate::handler::Worker;
use crate::head;
use crate::once::{self, Claim, Refusal, Ticket};
use crate::problem::Problem;
use crate::whole::{self, Answer};

/// Header of an answer that an earlier attempt got.
const REPLAYED: &str = "idempotent-replayed";

/// Runs a call under its idempotency key.
///
/// The call goes on after its caller left, so that its outcome is recorded.
pub(crate) async fn run(
    worker: &Worker,
    call: Call,
    key: CompactString,
    admission: Admission,
    pass: RequestGuard,
) -> Result<HttpResponse, Problem> {
    let (sender, receiver) = oneshot::channel();
    let worker = worker.clone();
    ntex::rt::spawn(async move {
        let _ = sender.send(attempt(&worker, call, &key, admission).await);
        drop(pass);
    });
    receiver.await.unwrap_or_else(|_| {
        let detail = "the worker ended before the call did";
        Err(Problem::new(Reason::Broken, Step::Written, detail))
    })
}

async fn attempt(
    worker: &Worker,
    call: Call,
    key: &str,
    admission: Admission,
) -> Result<HttpResponse, Problem> {
    let shared = &worker.shared;
    let ticket = match shared.ledger.claim(&call.team.name, key, call.digest).await {
        Claim::Run(ticket) => ticket,
        Claim::Stored(answer) => {
            shared.counters.count_outcome(Outcome::Completed);
            return Ok(replay(&answer, &call.id));
        }
        Claim::Refused(mut refusal) => {
            if let Some(explanation) = refusal.explanation.take() {
                let request = Subject::Request(call.id.clone());
                shared.send(Event::Explained(explanation.with_subject(request)));
            }
            return Err(refused(refusal));
        }
    };
    let call = Rc::new(call);
    let mut dispatch = Dispatch::new(worker, Rc::clone(&call), admission).with_ticket(ticket);
    let result = whole::relay(&mut dispatch).await;
    if let Some(ticket) = dispatch.take_ticket() {
        close(ticket, &result).await;
    }
    let answer = result?;
    shared.counters.count_outcome(Outcome::Completed);
    Ok(answer.response(&call.id))
}

async fn close(ticket: Ticket, result: &Result<Answer, Problem>) {
    // What the service does not take now, the ledger records later.
    let _recorded = match result {
        Ok(answer) => ticket.record_completed(stored(answer)).await,
        Err(problem) if problem.outcome == Outcome::NotRun => ticket.record_not_run().await,
        Err(_) => ticket.record_unknown().await,
    };
}

fn stored(answer: &Answer) -> once::Answer {
    let content_type = answer.headers.get(CONTENT_TYPE);
    once::Answer {
        status: answer.status,
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .into(),
        body: answer.body.to_vec(),
    }
}

fn replay(answer: &once::Answer, id: &str) -> HttpResponse {
    let mut response = HttpResponse::build(answer.status.try_into().unwrap_or_default());
    if !answer.content_type.is_empty() {
        response.content_type(answer.content_type.as_str());
    }
    response
        .set_header(head::REQUEST_ID, id)
        .set_header(head::OUTCOME, Outcome::Completed.to_string())
        .set_header(REPLAYED, "true")
        .body(answer.body.clone())
}

fn refused(refusal: Refusal) -> Problem {
    let (outcome, detail) = match refusal.reason {
        // A caller that took these for not-run would send the call under another key.
        Reason::MayHaveRun => (
            Outcome::Unknown,
            "an earlier call with this key may have run; it is not run again",
        ),
        Reason::InProgress => (Outcome::Unknown, "an earlier call with this key is running"),
        Reason::KeyMismatch => (Outcome::NotRun, "this key came with another request before"),
        _ => (Outcome::NotRun, "the call could not be recorded"),
    };
    let problem = Problem::new(refusal.reason, Step::Admitted, detail).with_outcome(outcome);
    match refusal.retry_after {
        Some(pause) => problem.retry_after(pause),
        None => problem,
    }
}
