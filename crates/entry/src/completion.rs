//! Handles completion requests for models.

use std::rc::Rc;

use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::refusal::Reason;
use jackdaw_core::token::Digest;
use ntex::http::header::CONTENT_TYPE;
use ntex::http::{Method, Payload};
use ntex::web::{HttpRequest, HttpResponse, types};

use crate::admit::{self, Admission};
use crate::auth;
use crate::buffered;
use crate::call::{Call, Destination};
use crate::dispatch::Dispatch;
use crate::drain::RequestGuard;
use crate::handler::{self, Worker};
use crate::head;
use crate::problem::Problem;
use crate::race::Race;
use crate::stream;

/// Handles a completion request, streamed or not.
pub(crate) async fn handle_completion(
    request: HttpRequest,
    payload: types::Payload,
    worker: types::State<Worker>,
) -> HttpResponse {
    let id = head::generate_request_id(&worker.shared);
    let mut payload = payload.into_inner();
    let process = process(&request, &mut payload, &worker, &id);
    let answer = handler::process_in_grace(&worker.shared, process).await;
    handler::finish(&worker.shared, &id, &mut payload, answer).await
}

async fn process(
    request: &HttpRequest,
    payload: &mut Payload,
    worker: &Worker,
    id: &str,
) -> Result<HttpResponse, Problem> {
    let shared = &worker.shared;
    let guard = handler::begin_request(shared)?;
    head::check_header_count(request.headers(), &shared.options)?;
    let team = auth::authenticate(request.headers(), &shared.snapshot.load())?;
    let slot = admit::acquire_team_slot(shared, &team)?;
    let options = &shared.options;
    let deadline = head::parse_deadline(request.headers(), &team, options, shared.clock.now())?;
    let body = head::read_body(payload, options).await?;
    let completion = head::parse_completion(&body)?;
    auth::authorize(&team, &completion.model)?;
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
        prefix_hash: Some(completion.prefix_hash()),
        streamed: completion.stream,
        destination: Destination::Model(completion.model.clone()),
        method: Method::POST,
        path: request.path().into(),
        headers: handler::select_headers(request.headers(), &[CONTENT_TYPE.as_str()]),
        digest: Digest::of_request(
            request.method().as_str(),
            &completion.model,
            request.path(),
            &body,
        ),
        cost: completion.cost(),
        body,
        deadline,
        idempotent: true,
    };
    let admission = admit::admit(worker, &call, slot).await?;
    dispatch_call(worker, call, admission, guard).await
}

async fn dispatch_call(
    worker: &Worker,
    call: Call,
    admission: Admission,
    guard: RequestGuard,
) -> Result<HttpResponse, Problem> {
    let call = Rc::new(call);
    let dispatch = Dispatch::new(worker, Rc::clone(&call), admission);
    if call.streamed {
        return stream::relay(dispatch, guard).await;
    }
    let answer = buffered::relay(&mut Race::new(dispatch)).await?;
    worker.shared.counters.count_outcome(Outcome::Completed);
    Ok(answer.to_response(&call.id))
}
