//! Runs non-idempotent calls at most once each.

use std::rc::Rc;

use compact_str::CompactString;
use jackdaw_core::decision::Subject;
use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::refusal::Reason;
use ntex::channel::oneshot;
use ntex::http::header::CONTENT_TYPE;
use ntex::web::HttpResponse;

use crate::admit::Admission;
use crate::buffered::{self, Answer};
use crate::call::Call;
use crate::dispatch::Dispatch;
use crate::drain::RequestGuard;
use crate::event::Event;
use crate::handler::Worker;
use crate::head;
use crate::once::{self, Claim, Refusal, Ticket};
use crate::problem::Problem;
use crate::race::Race;

/// Header that marks the stored answer of an earlier attempt.
const REPLAYED_HEADER: &str = "idempotent-replayed";

/// Runs a call under its idempotency key.
///
/// The call continues after its caller disconnects, so that its outcome is recorded.
pub(crate) async fn run(
    worker: &Worker,
    call: Call,
    key: CompactString,
    admission: Admission,
    guard: RequestGuard,
) -> Result<HttpResponse, Problem> {
    let (sender, receiver) = oneshot::channel();
    let worker = worker.clone();
    ntex::rt::spawn(async move {
        let answer = run_recorded(&worker, call, &key, admission).await;
        // The guard lasts until the handler has the answer, or ends here if the caller has left.
        let _ = sender.send((answer, guard));
    });
    let Ok((answer, _guard)) = receiver.await else {
        let detail = "the worker ended before the call did";
        return Err(Problem::new(Reason::Broken, Step::Written, detail));
    };
    answer
}

async fn run_recorded(
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
            return Ok(build_replay(&answer, &call.id));
        }
        Claim::Refused(mut refusal) => {
            if let Some(explanation) = refusal.explanation.take() {
                let request = Subject::Request(call.id.clone());
                shared.send(Event::Explained(explanation.with_subject(request)));
            }
            return Err(convert_refusal(refusal));
        }
    };
    let call = Rc::new(call);
    let dispatch = Dispatch::new(worker, Rc::clone(&call), admission).with_ticket(ticket);
    let mut race = Race::new(dispatch);
    let result = buffered::relay(&mut race).await;
    if let Some(ticket) = race.dispatch.take_ticket() {
        record_result(ticket, &result).await;
    }
    let answer = result?;
    shared.counters.count_outcome(Outcome::Completed);
    Ok(answer.to_response(&call.id))
}

async fn record_result(ticket: Ticket, result: &Result<Answer, Problem>) {
    // The ledger retries a result that the key-value service does not take now.
    let _recorded = match result {
        Ok(answer) => ticket.record_completed(to_stored_answer(answer)).await,
        Err(problem) if problem.outcome == Outcome::NotRun => ticket.record_not_run().await,
        Err(_) => ticket.record_unknown().await,
    };
}

fn to_stored_answer(answer: &Answer) -> once::Answer {
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

fn build_replay(answer: &once::Answer, id: &str) -> HttpResponse {
    let mut response = HttpResponse::build(answer.status.try_into().unwrap_or_default());
    if !answer.content_type.is_empty() {
        response.content_type(answer.content_type.as_str());
    }
    response
        .set_header(head::REQUEST_ID, id)
        .set_header(head::OUTCOME, Outcome::Completed.to_string())
        .set_header(REPLAYED_HEADER, "true")
        .body(answer.body.clone())
}

fn convert_refusal(refusal: Refusal) -> Problem {
    let (outcome, detail) = match refusal.reason {
        // A caller that was told not-run would send the call again under another key.
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
        Some(retry_after) => problem.with_retry_after(retry_after),
        None => problem,
    }
}
