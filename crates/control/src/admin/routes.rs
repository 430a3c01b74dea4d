//! Routes of the operators' interface.

use compact_str::CompactString;
use futures::StreamExt;
use jackdaw_core::errors::Error;
use jackdaw_core::note::Note;
use jackdaw_policy::release::accept::Verdict;
use ntex::http::StatusCode;
use ntex::http::header::{ACCEPT, CONTENT_LENGTH};
use ntex::web::types::{Path, Payload, Query, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde::{Deserialize, Serialize};

use super::auth::{self, Role};
use super::handle::{Reply, Request};
use super::problem::Problem;
use super::server::Site;
use super::stream;
use super::view;

/// The number of accepted notes that a history holds unless the operator asks for another.
const DEFAULT_HISTORY: u64 = 20;

/// Largest release note in bytes; the key-value service holds values of up to a megabyte.
const NOTE_BYTES: usize = 1 << 20;

/// Media type of a followed list of decisions.
const EVENT_STREAM: &str = "text/event-stream";

/// Adds all routes.
pub(super) fn configure(config: &mut ServiceConfig) {
    config
        .route("/healthz", web::get().to(healthz))
        .route("/readyz", web::get().to(readyz))
        .route("/metrics", web::get().to(metrics))
        .route("/admin/v1/release-notes", web::post().to(apply))
        .route("/admin/v1/release-notes", web::get().to(history))
        .route("/admin/v1/release-notes/current", web::get().to(current))
        .route("/admin/v1/plan", web::post().to(plan))
        .route("/admin/v1/status", web::get().to(status))
        .route("/admin/v1/groups", web::get().to(groups))
        .route("/admin/v1/vms", web::get().to(vms))
        .route("/admin/v1/nodes", web::get().to(nodes))
        .route("/admin/v1/teams", web::get().to(teams))
        .route("/admin/v1/decisions", web::get().to(decisions))
        .route("/admin/v1/explain/{subject}*", web::get().to(explain));
}

#[derive(Debug, Deserialize)]
struct HistoryQuery {
    count: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct DecisionsQuery {
    after: Option<u64>,
    subject: Option<CompactString>,
}

async fn healthz() -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain").body("ok\n")
}

async fn readyz(site: State<Site>) -> HttpResponse {
    let status = match site.handle.ask(Request::Status).await {
        Ok(Reply::Status(status)) => status,
        Ok(_) => return failed(),
        Err(error) => return unreachable(&error),
    };
    if status.ready {
        return HttpResponse::Ok()
            .content_type("text/plain")
            .body("ready\n");
    }
    let reason = if status.stopping {
        "the node is stopping"
    } else {
        "no release note is known"
    };
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, "not-ready", reason).response()
}

async fn metrics(site: State<Site>, request: HttpRequest) -> HttpResponse {
    if let Some(denied) = deny(&site, &request, Role::Read) {
        return denied;
    }
    match site.metrics.render() {
        Ok(text) => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(text),
        Err(error) => unreachable(&error),
    }
}

async fn apply(site: State<Site>, request: HttpRequest, payload: Payload) -> HttpResponse {
    if let Some(denied) = deny(&site, &request, Role::Write) {
        return denied;
    }
    let note = match read_note(&request, payload).await {
        Ok(note) => note,
        Err(problem) => return problem.response(),
    };
    let (note, verdict) = match site.handle.ask(Request::Apply(note)).await {
        Ok(Reply::Verdict(note, verdict)) => (note, verdict),
        Ok(_) => return failed(),
        Err(error) => return unreachable(&error),
    };
    site.metrics.count_verdict(&verdict);
    if let Verdict::Accepted { revision, repeated } = verdict {
        return json(&view::Accepted {
            note,
            revision,
            repeated,
        });
    }
    Problem::of(verdict).map_or_else(failed, |problem| problem.response())
}

async fn plan(site: State<Site>, request: HttpRequest, payload: Payload) -> HttpResponse {
    if let Some(denied) = deny(&site, &request, Role::Read) {
        return denied;
    }
    match read_note(&request, payload).await {
        Ok(note) => answer(&site, &request, Request::Plan(note)).await,
        Err(problem) => problem.response(),
    }
}

async fn history(
    site: State<Site>,
    request: HttpRequest,
    query: Query<HistoryQuery>,
) -> HttpResponse {
    let count = query.count.unwrap_or(DEFAULT_HISTORY);
    answer(&site, &request, Request::History(count)).await
}

async fn current(site: State<Site>, request: HttpRequest) -> HttpResponse {
    answer(&site, &request, Request::Current).await
}

async fn status(site: State<Site>, request: HttpRequest) -> HttpResponse {
    answer(&site, &request, Request::Status).await
}

async fn groups(site: State<Site>, request: HttpRequest) -> HttpResponse {
    answer(&site, &request, Request::Groups).await
}

async fn vms(site: State<Site>, request: HttpRequest) -> HttpResponse {
    answer(&site, &request, Request::Vms).await
}

async fn nodes(site: State<Site>, request: HttpRequest) -> HttpResponse {
    answer(&site, &request, Request::Nodes).await
}

async fn teams(site: State<Site>, request: HttpRequest) -> HttpResponse {
    answer(&site, &request, Request::Teams).await
}

async fn decisions(
    site: State<Site>,
    request: HttpRequest,
    query: Query<DecisionsQuery>,
) -> HttpResponse {
    let after = query.after.unwrap_or(0);
    let subject = query.subject.clone();
    let is_followed = request
        .headers()
        .get(ACCEPT)
        .and_then(|accept| accept.to_str().ok())
        .is_some_and(|accept| accept.contains(EVENT_STREAM));
    if !is_followed {
        return answer(&site, &request, Request::Decisions { after, subject }).await;
    }
    if let Some(denied) = deny(&site, &request, Role::Read) {
        return denied;
    }
    HttpResponse::Ok()
        .content_type(EVENT_STREAM)
        .set_header("cache-control", "no-cache")
        .streaming(Box::pin(stream::decisions(
            site.handle.clone(),
            after,
            subject,
        )))
}

async fn explain(
    site: State<Site>,
    request: HttpRequest,
    subject: Path<CompactString>,
) -> HttpResponse {
    let subject = Some(subject.into_inner());
    answer(&site, &request, Request::Decisions { after: 0, subject }).await
}

/// Answers requests for anything else.
pub(super) async fn unknown() -> HttpResponse {
    Problem::new(StatusCode::NOT_FOUND, "not-found", "no such resource").response()
}

/// Asks the control thread for a reader and answers in JSON.
async fn answer(site: &Site, request: &HttpRequest, question: Request) -> HttpResponse {
    if let Some(denied) = deny(site, request, Role::Read) {
        return denied;
    }
    match site.handle.ask(question).await {
        Ok(reply) => respond(reply),
        Err(error) => unreachable(&error),
    }
}

fn respond(reply: Reply) -> HttpResponse {
    match reply {
        Reply::Verdict(_, verdict) => {
            Problem::of(verdict).map_or_else(failed, |problem| problem.response())
        }
        Reply::Plan(plan) => json(&plan),
        Reply::Current(Some(current)) => json(&current),
        Reply::Current(None) => Problem::new(
            StatusCode::NOT_FOUND,
            "no-release",
            "no release note is known",
        )
        .response(),
        Reply::History(Ok(history)) => json(&history),
        Reply::History(Err(error)) => unreachable(&error),
        Reply::Status(status) => json(&status),
        Reply::Groups(groups) => json(&groups),
        Reply::Vms(vms) => json(&vms),
        Reply::Nodes(nodes) => json(&nodes),
        Reply::Teams(teams) => json(&teams),
        Reply::Decisions(decisions) => json(&decisions),
    }
}

fn deny(site: &Site, request: &HttpRequest, needs: Role) -> Option<HttpResponse> {
    let denial = auth::permit(request.headers(), &site.operators, needs).err()?;
    site.metrics.count_denial(denial);
    Some(Problem::denied(denial).response())
}

/// Reads a release note; its size is bounded by the stored value's.
async fn read_note(request: &HttpRequest, payload: Payload) -> Result<Note, Problem> {
    let malformed = |title: &str| Problem::new(StatusCode::BAD_REQUEST, "malformed-note", title);
    let body = read_body(request, payload).await?;
    // A list would pass as a note whose fields are left at their defaults.
    if body.iter().find(|byte| !byte.is_ascii_whitespace()) != Some(&b'{') {
        return Err(malformed("a release note is a JSON object"));
    }
    serde_json::from_slice(&body).map_err(|error| malformed(&error.to_string()))
}

async fn read_body(request: &HttpRequest, mut payload: Payload) -> Result<Vec<u8>, Problem> {
    let too_large = || {
        Problem::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "too-large",
            "a release note has at most 1 MiB",
        )
    };
    let announced = request
        .headers()
        .get(CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok())
        .and_then(|length| length.parse::<usize>().ok());
    if announced.is_some_and(|length| length > NOTE_BYTES) {
        return Err(too_large());
    }
    let mut body = Vec::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| {
            let title = error.to_string();
            Problem::new(StatusCode::BAD_REQUEST, "malformed-note", &title)
        })?;
        body.extend_from_slice(&chunk);
        if body.len() > NOTE_BYTES {
            return Err(too_large());
        }
    }
    Ok(body)
}

fn json<T: Serialize>(value: &T) -> HttpResponse {
    match serde_json::to_string(value) {
        Ok(text) => HttpResponse::Ok()
            .content_type("application/json")
            .body(text),
        Err(_) => failed(),
    }
}

fn failed() -> HttpResponse {
    Problem::new(
        StatusCode::INTERNAL_SERVER_ERROR,
        "internal",
        "the reply did not fit the request",
    )
    .response()
}

fn unreachable(error: &Error) -> HttpResponse {
    let title = error.to_string();
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, "unavailable", &title).response()
}
