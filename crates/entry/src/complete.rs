//! Takes completion requests for models.

use std::rc::Rc;

use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::refusal::Reason;
use ntex::http::header::CONTENT_TYPE;
use ntex::http::{Method, Payload};
use ntex::web::{HttpRequest, HttpResponse, types};

use crate::admit::{self, Admission};
use crate::auth;
use crate::call::{Call, Destination, digest};
use crate::dispatch::Dispatch;
use crate::drain::RequestGuard;
use crate::handler::{self, Worker};
use crate::head;
use crate::problem::Problem;
use crate::stream;
use crate::whole;

/// Answers a completion request.
pub(crate) async fn complete(
    request: HttpRequest,
    payload: types::Payload,
    worker: types::State<Worker>,
) -> HttpResponse {
    let id = head::request_id(&worker.shared);
    let answer = attempt(&request, payload.into_inner(), &worker, &id).await;
    handler::finish(&worker.shared, &id, answer)
}

async fn attempt(
    request: &HttpRequest,
    payload: Payload,
    worker: &Worker,
    id: &str,
) -> Result<HttpResponse, Problem> {
    let shared = &worker.shared;
    let pass = handler::enter(shared)?;
    head::check(request.headers(), &shared.options)?;
    let team = auth::team(request.headers(), &shared.snapshot.load())?;
    let slot = admit::enter_team(shared, &team)?;
    let options = &shared.options;
    let deadline = head::deadline(request.headers(), &team, options, shared.clock.now())?;
    let body = head::body(payload, options).await?;
    let completion = head::completion(&body)?;
    auth::permit(&team, &completion.model)?;
    if shared
        .snapshot
        .load()
        .catalog
        .model(&completion.model)
        .is_none()
    {
        let detail = format!("model {} is not served", completion.model);
        return Err(Problem::new(Reason::NotFound, Step::Authenticated, detail));
    }
    let call = Call {
        id: id.into(),
        team,
        prefix: Some(completion.prefix()),
        streamed: completion.stream,
        destination: Destination::Model(completion.model.clone()),
        method: Method::POST,
        path: request.path().into(),
        headers: handler::kept(request.headers(), &[CONTENT_TYPE.as_str()]),
        digest: digest(request.method(), &completion.model, request.path(), &body),
        cost: completion.cost(),
        body,
        deadline,
        idempotent: true,
    };
    let admission = admit::admit(worker, &call, slot).await?;
    forward(worker, call, admission, pass).await
}

async fn forward(
    worker: &Worker,
    call: Call,
    admission: Admission,
    pass: RequestGuard,
) -> Result<HttpResponse, Problem> {
    let call = Rc::new(call);
    let mut dispatch = Dispatch::new(worker, Rc::clone(&call), admission);
    if call.streamed {
        return stream::relay(dispatch, pass).await;
    }
    let answer = whole::relay(&mut dispatch).await?;
    worker.shared.counters.count_outcome(Outcome::Completed);
    Ok(answer.response(&call.id))
}
