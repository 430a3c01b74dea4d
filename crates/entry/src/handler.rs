//! Takes callers' requests.

use std::rc::Rc;
use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::refusal::Reason;
use jackdaw_policy::route;
use ntex::http::HeaderMap;
use ntex::http::header::HeaderName;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig, types};
use serde::Serialize;

use crate::auth;
use crate::complete::complete;
use crate::drain::RequestGuard;
use crate::head;
use crate::link::Links;
use crate::plain::serve;
use crate::problem::Problem;
use crate::route::Router;
use crate::shared::Shared;

/// What one worker keeps.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) shared: Arc<Shared>,
    pub(crate) links: Rc<Links>,
    pub(crate) router: Rc<Router>,
}

impl Worker {
    /// Creates what a worker keeps; each worker has a seed of its own.
    pub(crate) fn new(shared: Arc<Shared>, number: u64) -> Self {
        let options = &shared.options;
        let seed = route::prefix_hash(shared.node.as_bytes()).wrapping_add(number);
        Worker {
            links: Rc::new(Links::new(options)),
            router: Rc::new(Router::new(options.route, seed)),
            shared,
        }
    }
}

/// Adds the callers' routes.
pub(crate) fn routes(config: &mut ServiceConfig) {
    config
        .route("/healthz", web::get().to(health))
        .route("/v1/models", web::get().to(models))
        .route("/v1/completions", web::post().to(complete))
        .route("/v1/chat/completions", web::post().to(complete))
        .service(web::resource("/services/{service}/{path}*").to(serve));
}

/// Answers requests for which there is no route.
pub(crate) async fn unknown(worker: types::State<Worker>) -> HttpResponse {
    let id = head::request_id(&worker.shared);
    let problem = Problem::new(Reason::NotFound, Step::Received, "no such path");
    finish(&worker.shared, &id, Err(problem))
}

async fn health(worker: types::State<Worker>) -> HttpResponse {
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

async fn models(request: HttpRequest, worker: types::State<Worker>) -> HttpResponse {
    let shared = &worker.shared;
    let id = head::request_id(shared);
    let snapshot = shared.snapshot.load();
    let listed = auth::team(request.headers(), &snapshot).map(|team| {
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
    finish(shared, &id, listed)
}

/// Counts a request in flight, unless the node takes none.
pub(crate) fn enter(shared: &Shared) -> Result<RequestGuard, Problem> {
    let refused = |detail: &str| Problem::new(Reason::NotReady, Step::Received, detail);
    let pass = shared
        .drain
        .begin_request()
        .ok_or_else(|| refused("the node is stopping"))?;
    let snapshot = shared.snapshot.load();
    if snapshot.stopping {
        return Err(refused("the node is stopping"));
    }
    if !snapshot.ready {
        return Err(refused("the node knows no catalogue yet"));
    }
    Ok(pass)
}

/// Returns some of a request's headers.
pub(crate) fn kept(headers: &HeaderMap, names: &[&'static str]) -> HeaderMap {
    let mut kept = HeaderMap::new();
    for name in names {
        if let Some(value) = headers.get(*name) {
            kept.insert(HeaderName::from_static(name), value.clone());
        }
    }
    kept
}

/// Returns the answer for the caller and counts a refusal.
pub(crate) fn finish(
    shared: &Shared,
    id: &str,
    answer: Result<HttpResponse, Problem>,
) -> HttpResponse {
    match answer {
        Ok(response) => response,
        Err(problem) => {
            shared.counters.count_problem(&problem);
            problem.response(id)
        }
    }
}
