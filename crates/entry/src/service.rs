//! Handles calls to plain services.

use std::rc::Rc;

use compact_str::{CompactString, format_compact};
use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::refusal::Reason;
use jackdaw_core::token::Digest;
use ntex::http::header::{ACCEPT, CONTENT_TYPE};
use ntex::http::{HeaderMap, Payload};
use ntex::web::{HttpRequest, HttpResponse, types};

use crate::admit;
use crate::at_most_once;
use crate::auth;
use crate::buffered;
use crate::call::{Call, Destination};
use crate::dispatch::Dispatch;
use crate::handler::{self, Worker};
use crate::head;
use crate::problem::Problem;
use crate::race::Race;

/// Handles a call to a plain service.
pub(crate) async fn handle_call(
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
    let snapshot = shared.snapshot.load_full();
    let team = auth::authenticate(request.headers(), &snapshot)?;
    let slot = admit::acquire_team_slot(shared, &team)?;
    let options = &shared.options;
    let deadline = head::parse_deadline(request.headers(), &team, options, shared.clock.now())?;
    let name = request.match_info().get("service").unwrap_or_default();
    auth::authorize(&team, name)?;
    let service = snapshot.catalog.service(name).ok_or_else(|| {
        let detail = format!("service {name} is not known");
        Problem::new(Reason::NotFound, Step::Authenticated, detail)
    })?;
    let path = extract_path(request);
    let idempotent = service.is_idempotent(request.method().as_str(), &path);
    let key = require_key(request.headers(), idempotent)?;
    let body = head::read_body(payload, options).await?;
    let path_and_query = append_query(&path, request.uri().query());
    let call = Call {
        id: id.into(),
        team,
        destination: Destination::Service(name.into()),
        method: request.method().clone(),
        headers: handler::select_headers(
            request.headers(),
            &[
                CONTENT_TYPE.as_str(),
                ACCEPT.as_str(),
                head::IDEMPOTENCY_KEY,
            ],
        ),
        digest: Digest::of_request(request.method().as_str(), name, &path_and_query, &body),
        path: path_and_query,
        cost: 1,
        body,
        prefix_hash: None,
        deadline,
        idempotent,
        streamed: false,
    };
    let admission = admit::admit(worker, &call, slot).await?;
    if let Some(key) = key {
        return at_most_once::run(worker, call, key, admission, guard).await;
    }
    let call = Rc::new(call);
    let dispatch = Dispatch::new(worker, Rc::clone(&call), admission);
    let answer = buffered::relay(&mut Race::new(dispatch)).await?;
    shared.counters.count_outcome(Outcome::Completed);
    Ok(answer.to_response(&call.id))
}

/// Returns the path as the backend server sees it, without the prefix of the service.
fn extract_path(request: &HttpRequest) -> CompactString {
    let rest = request.match_info().get("path").unwrap_or_default();
    format_compact!("/{rest}")
}

fn append_query(path: &CompactString, query: Option<&str>) -> CompactString {
    match query {
        Some(query) => format_compact!("{path}?{query}"),
        None => path.clone(),
    }
}

/// Returns the idempotency key of a non-idempotent call.
///
/// # Errors
///
/// Returns a problem if such a call has no key.
fn require_key(headers: &HeaderMap, idempotent: bool) -> Result<Option<CompactString>, Problem> {
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
