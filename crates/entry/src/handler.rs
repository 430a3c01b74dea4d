//! Takes callers' requests.

use std::rc::Rc;
use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::refusal::Reason;
use jackdaw_core::token::Digest;
use ntex::http::header::CONTENT_TYPE;
use ntex::http::{HeaderMap, Method, Payload};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig, types};
use serde::Serialize;

use crate::auth;
use crate::call::{Call, Destination};
use crate::dispatch::Dispatch;
use crate::drain::Pass;
use crate::head;
use crate::link::Links;
use crate::problem::Problem;
use crate::shared::Shared;
use crate::stream;
use crate::whole;

/// What one worker keeps.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) shared: Arc<Shared>,
    pub(crate) links: Rc<Links>,
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

async fn complete(
    request: HttpRequest,
    payload: types::Payload,
    worker: types::State<Worker>,
) -> HttpResponse {
    let id = head::request_id(&worker.shared);
    let answer = try_complete(&request, payload.into_inner(), &worker, &id).await;
    finish(&worker.shared, &id, answer)
}

async fn try_complete(
    request: &HttpRequest,
    payload: Payload,
    worker: &Worker,
    id: &str,
) -> Result<HttpResponse, Problem> {
    let shared = &worker.shared;
    let pass = enter(shared)?;
    let team = auth::team(request.headers(), &shared.snapshot.load())?;
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
        destination: Destination::Model(completion.model),
        method: Method::POST,
        path: request.path().into(),
        headers: kept(request.headers(), &[CONTENT_TYPE.as_str()]),
        digest: Digest::of(&body),
        body,
        deadline,
        idempotent: true,
        streamed: completion.stream,
    };
    forward(worker, call, pass).await
}

async fn serve(
    request: HttpRequest,
    payload: types::Payload,
    worker: types::State<Worker>,
) -> HttpResponse {
    let id = head::request_id(&worker.shared);
    let answer = try_serve(&request, payload.into_inner(), &worker, &id).await;
    finish(&worker.shared, &id, answer)
}

async fn try_serve(
    request: &HttpRequest,
    payload: Payload,
    worker: &Worker,
    id: &str,
) -> Result<HttpResponse, Problem> {
    let shared = &worker.shared;
    let pass = enter(shared)?;
    let snapshot = shared.snapshot.load_full();
    let team = auth::team(request.headers(), &snapshot)?;
    let options = &shared.options;
    let deadline = head::deadline(request.headers(), &team, options, shared.clock.now())?;
    let name = request.match_info().get("service").unwrap_or_default();
    auth::permit(&team, name)?;
    let service = snapshot.catalog.service(name).ok_or_else(|| {
        let detail = format!("service {name} is not known");
        Problem::new(Reason::NotFound, Step::Authenticated, detail)
    })?;
    let path = format!("/{}", request.match_info().get("path").unwrap_or_default());
    let idempotent = service.is_idempotent(request.method().as_str(), &path);
    if !idempotent && !request.headers().contains_key(head::IDEMPOTENCY_KEY) {
        let detail = "a call that may not be repeated needs an Idempotency-Key";
        return Err(Problem::new(
            Reason::KeyMissing,
            Step::Authenticated,
            detail,
        ));
    }
    let body = head::body(payload, options).await?;
    let query = request.uri().query();
    let call = Call {
        id: id.into(),
        team,
        destination: Destination::Service(name.into()),
        method: request.method().clone(),
        path: match query {
            Some(query) => format!("{path}?{query}").into(),
            None => path.into(),
        },
        headers: kept(
            request.headers(),
            &[CONTENT_TYPE.as_str(), "accept", head::IDEMPOTENCY_KEY],
        ),
        digest: Digest::of(&body),
        body,
        deadline,
        idempotent,
        streamed: false,
    };
    forward(worker, call, pass).await
}

async fn forward(worker: &Worker, call: Call, pass: Pass) -> Result<HttpResponse, Problem> {
    let streamed = call.streamed;
    let shared = Arc::clone(&worker.shared);
    let mut dispatch = Dispatch::new(shared, Rc::clone(&worker.links), Rc::new(call));
    if streamed {
        return stream::relay(dispatch, pass).await;
    }
    whole::relay(&mut dispatch).await
}

fn enter(shared: &Shared) -> Result<Pass, Problem> {
    let refused = |detail: &str| Problem::new(Reason::NotReady, Step::Received, detail);
    let pass = shared
        .drain
        .enter()
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

fn kept(headers: &HeaderMap, names: &[&'static str]) -> HeaderMap {
    let mut kept = HeaderMap::new();
    for name in names {
        if let Some(value) = headers.get(*name) {
            kept.insert(
                ntex::http::header::HeaderName::from_static(name),
                value.clone(),
            );
        }
    }
    kept
}

fn finish(shared: &Shared, id: &str, answer: Result<HttpResponse, Problem>) -> HttpResponse {
    match answer {
        Ok(response) => response,
        Err(problem) => {
            shared.counters.refusal(problem.reason);
            shared.counters.outcome(problem.outcome());
            problem.response(id)
        }
    }
}
