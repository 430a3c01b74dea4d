//! Takes calls of plain services.

use std::rc::Rc;

use compact_str::{CompactString, format_compact};
use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::refusal::Reason;
use ntex::http::header::{ACCEPT, CONTENT_TYPE};
use ntex::http::{HeaderMap, Payload};
use ntex::web::{HttpRequest, HttpResponse, types};

use crate::admit;
use crate::auth;
use crate::call::{Call, Destination, digest};
use crate::dispatch::Dispatch;
use crate::guarded;
use crate::handler::{self, Worker};
use crate::head;
use crate::problem::Problem;
use crate::whole;

/// Answers a call of a plain service.
pub(crate) async fn serve(
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
    let snapshot = shared.snapshot.load_full();
    let team = auth::team(request.headers(), &snapshot)?;
    let slot = admit::enter_team(shared, &team)?;
    let options = &shared.options;
    let deadline = head::deadline(request.headers(), &team, options, shared.clock.now())?;
    let name = request.match_info().get("service").unwrap_or_default();
    auth::permit(&team, name)?;
    let service = snapshot.catalog.service(name).ok_or_else(|| {
        let detail = format!("service {name} is not known");
        Problem::new(Reason::NotFound, Step::Authenticated, detail)
    })?;
    let path = path(request);
    let idempotent = service.is_idempotent(request.method().as_str(), &path);
    let key = key(request.headers(), idempotent)?;
    let body = head::body(payload, options).await?;
    let target = with_query(&path, request.uri().query());
    let call = Call {
        id: id.into(),
        team,
        destination: Destination::Service(name.into()),
        method: request.method().clone(),
        headers: handler::kept(
            request.headers(),
            &[
                CONTENT_TYPE.as_str(),
                ACCEPT.as_str(),
                head::IDEMPOTENCY_KEY,
            ],
        ),
        digest: digest(request.method(), name, &target, &body),
        path: target,
        cost: 1,
        body,
        prefix: None,
        deadline,
        idempotent,
        streamed: false,
    };
    let admission = admit::admit(worker, &call, slot).await?;
    if let Some(key) = key {
        return guarded::run(worker, call, key, admission, pass).await;
    }
    let call = Rc::new(call);
    let mut dispatch = Dispatch::new(worker, Rc::clone(&call), admission);
    let answer = whole::relay(&mut dispatch).await?;
    shared.counters.count_outcome(Outcome::Completed);
    Ok(answer.response(&call.id))
}

/// Returns the path below the service.
fn path(request: &HttpRequest) -> CompactString {
    let rest = request.match_info().get("path").unwrap_or_default();
    format_compact!("/{rest}")
}

fn with_query(path: &CompactString, query: Option<&str>) -> CompactString {
    match query {
        Some(query) => format_compact!("{path}?{query}"),
        None => path.clone(),
    }
}

/// Returns the key of a call that may not be repeated.
fn key(headers: &HeaderMap, idempotent: bool) -> Result<Option<CompactString>, Problem> {
    if idempotent {
        return Ok(None);
    }
    let value = headers.get(head::IDEMPOTENCY_KEY);
    match value.and_then(|value| value.to_str().ok()) {
        Some(key) if !key.trim().is_empty() => Ok(Some(key.trim().into())),
        _ => {
            let detail = "a call that may not be repeated needs an Idempotency-Key";
            Err(Problem::new(
                Reason::KeyMissing,
                Step::Authenticated,
                detail,
            ))
        }
    }
}
