//! Routes callers' requests and holds the state of a worker.

use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;

use compact_str::CompactString;
use futures::future::{Either, select};
use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::refusal::Reason;
use jackdaw_policy::route;
use ntex::http::header::HeaderName;
use ntex::http::{ConnectionType, HeaderMap, Payload};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig, types};
use serde::Serialize;

use crate::auth;
use crate::completion::handle_completion;
use crate::drain::RequestGuard;
use crate::head;
use crate::pool::Clients;
use crate::problem::Problem;
use crate::route::Router;
use crate::service::handle_call;
use crate::shared::Shared;

/// State of one worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) shared: Arc<Shared>,
    pub(crate) clients: Rc<Clients>,
    pub(crate) router: Rc<Router>,
}

impl Worker {
    /// Creates the state of a worker; the worker's number makes the seed of its random choices
    /// unique.
    pub(crate) fn new(shared: Arc<Shared>, number: u64) -> Self {
        let options = &shared.options;
        let seed = route::prefix_hash(shared.node.as_bytes()).wrapping_add(number);
        Worker {
            clients: Rc::new(Clients::new(options)),
            router: Rc::new(Router::new(options.route, seed)),
            shared,
        }
    }
}

/// Adds the callers' routes.
pub(crate) fn configure_routes(config: &mut ServiceConfig) {
    config
        .route("/healthz", web::get().to(report_health))
        .route("/v1/models", web::get().to(list_models))
        .route("/v1/completions", web::post().to(handle_completion))
        .route("/v1/chat/completions", web::post().to(handle_completion))
        .service(web::resource("/services/{service}/{path}*").to(handle_call));
}

/// Answers requests that match no route.
pub(crate) async fn handle_unknown_path(worker: types::State<Worker>) -> HttpResponse {
    let id = head::generate_request_id(&worker.shared);
    let problem = Problem::new(Reason::NotFound, Step::Received, "no such path");
    into_response(&worker.shared, &id, Err(problem))
}

async fn report_health(worker: types::State<Worker>) -> HttpResponse {
    if worker.shared.drain.is_stopping() {
        return HttpResponse::ServiceUnavailable().body("stopping\n");
    }
    HttpResponse::Ok().body("ok\n")
}

#[derive(Serialize)]
struct Listed {
    id: CompactString,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

#[derive(Serialize)]
struct List {
    object: &'static str,
    data: Vec<Listed>,
}

async fn list_models(request: HttpRequest, worker: types::State<Worker>) -> HttpResponse {
    let shared = &worker.shared;
    let id = head::generate_request_id(shared);
    let snapshot = shared.snapshot.load();
    let response = auth::authenticate(request.headers(), &snapshot).map(|team| {
        let data = snapshot
            .catalog
            .models
            .iter()
            .filter(|model| team.may_use(&model.name))
            .map(|model| Listed {
                id: model.name.clone(),
                object: "model",
                created: 0,
                owned_by: "jackdawstair",
            })
            .collect();
        HttpResponse::Ok()
            .set_header(head::REQUEST_ID, id.as_str())
            .set_header(head::OUTCOME, Outcome::Completed.to_string())
            .json(&List {
                object: "list",
                data,
            })
    });
    into_response(shared, &id, response)
}

/// Processes a request until it ends or the node's grace period does.
///
/// # Errors
///
/// Returns the problem of the request, or one with an unknown outcome if the grace period has
/// ended.
pub(crate) async fn process_in_grace(
    shared: &Shared,
    process: impl Future<Output = Result<HttpResponse, Problem>>,
) -> Result<HttpResponse, Problem> {
    let expired = pin!(shared.drain.wait_expired());
    match select(pin!(process), expired).await {
        Either::Left((answer, _)) => answer,
        Either::Right(_) => Err(expired_problem(Step::Written)),
    }
}

/// Returns the problem of a request that the end of the grace period has ended.
pub(crate) fn expired_problem(step: Step) -> Problem {
    let detail = "the node stopped before the answer was complete";
    Problem::new(Reason::NotReady, step, detail).with_outcome(Outcome::Unknown)
}

/// Counts a request in flight until the guard is dropped.
///
/// # Errors
///
/// Returns a problem if the node is stopping or has no catalogue yet.
pub(crate) fn begin_request(shared: &Shared) -> Result<RequestGuard, Problem> {
    let not_ready = |detail: &str| Problem::new(Reason::NotReady, Step::Received, detail);
    let guard = shared
        .drain
        .begin_request()
        .ok_or_else(|| not_ready("the node is stopping"))?;
    let snapshot = shared.snapshot.load();
    if snapshot.stopping {
        return Err(not_ready("the node is stopping"));
    }
    if !snapshot.ready {
        return Err(not_ready("the node knows no catalogue yet"));
    }
    Ok(guard)
}

/// Returns the named headers of a request.
pub(crate) fn select_headers(headers: &HeaderMap, names: &[&'static str]) -> HeaderMap {
    let mut selected = HeaderMap::new();
    for name in names {
        if let Some(value) = headers.get(*name) {
            selected.insert(HeaderName::from_static(name), value.clone());
        }
    }
    selected
}

/// Turns the result of a request into the response for the caller, after a refusal once the rest of
/// the request's body has been read.
pub(crate) async fn finish(
    shared: &Shared,
    id: &str,
    payload: &mut Payload,
    answer: Result<HttpResponse, Problem>,
) -> HttpResponse {
    // At the end of the grace period there is no time left for it.
    let may_read = !shared.drain.is_expired();
    if may_read && answer.as_ref().is_err_and(may_have_unread_body) {
        let _guard = shared.drain.track_request();
        head::discard_body(payload, &shared.options).await;
    }
    into_response(shared, id, answer)
}

/// Returns whether a body may still arrive in time behind a problem.
fn may_have_unread_body(problem: &Problem) -> bool {
    problem.reason != Reason::Deadline
}

/// Turns a result into the response for the caller and counts a problem; the response of a stopping
/// node announces that the connection ends.
pub(crate) fn into_response(
    shared: &Shared,
    id: &str,
    answer: Result<HttpResponse, Problem>,
) -> HttpResponse {
    let mut response = answer.unwrap_or_else(|problem| {
        shared.counters.count_problem(&problem);
        problem.to_response(id)
    });
    if shared.drain.is_stopping() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}
