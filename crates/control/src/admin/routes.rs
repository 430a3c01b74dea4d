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
use super::server::Context;
use super::stream;
use super::view;

/// Number of accepted notes in a history unless the operator asks for another number.
const DEFAULT_HISTORY_COUNT: u64 = 20;

/// Largest release note in bytes; the key-value service holds values of up to a megabyte.
const MAX_NOTE_BYTES: usize = 1 << 20;

/// Media type of a stream of decisions.
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

async fn readyz(context: State<Context>) -> HttpResponse {
    let status = match context.handle.ask(Request::Status).await {
        Ok(Reply::Status(status)) => status,
        Ok(_) => return internal_error(),
        Err(error) => return unavailable(&error),
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
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, "not-ready", reason).to_response()
}

async fn metrics(context: State<Context>, request: HttpRequest) -> HttpResponse {
    if let Some(denied) = check_role(&context, &request, Role::Read) {
        return denied;
    }
    match context.metrics.render() {
        Ok(text) => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(text),
        Err(error) => unavailable(&error),
    }
}

async fn apply(context: State<Context>, request: HttpRequest, payload: Payload) -> HttpResponse {
    if let Some(denied) = check_role(&context, &request, Role::Write) {
        return denied;
    }
    let note = match read_note(&request, payload).await {
        Ok(note) => note,
        Err(problem) => return problem.to_response(),
    };
    let (note, verdict) = match context.handle.ask(Request::Apply(note)).await {
        Ok(Reply::Verdict(note, verdict)) => (note, verdict),
        Ok(_) => return internal_error(),
        Err(error) => return unavailable(&error),
    };
    context.metrics.count_verdict(&verdict);
    if let Verdict::Accepted { revision, repeated } = verdict {
        return json_response(&view::Accepted {
            note,
            revision,
            repeated,
        });
    }
    Problem::from_verdict(verdict).map_or_else(internal_error, |problem| problem.to_response())
}

async fn plan(context: State<Context>, request: HttpRequest, payload: Payload) -> HttpResponse {
    if let Some(denied) = check_role(&context, &request, Role::Read) {
        return denied;
    }
    match read_note(&request, payload).await {
        Ok(note) => query_control(&context, &request, Request::Plan(note)).await,
        Err(problem) => problem.to_response(),
    }
}

async fn history(
    context: State<Context>,
    request: HttpRequest,
    query: Query<HistoryQuery>,
) -> HttpResponse {
    let count = query.count.unwrap_or(DEFAULT_HISTORY_COUNT);
    query_control(&context, &request, Request::History(count)).await
}

async fn current(context: State<Context>, request: HttpRequest) -> HttpResponse {
    query_control(&context, &request, Request::Current).await
}

async fn status(context: State<Context>, request: HttpRequest) -> HttpResponse {
    query_control(&context, &request, Request::Status).await
}

async fn groups(context: State<Context>, request: HttpRequest) -> HttpResponse {
    query_control(&context, &request, Request::Groups).await
}

async fn vms(context: State<Context>, request: HttpRequest) -> HttpResponse {
    query_control(&context, &request, Request::Vms).await
}

async fn nodes(context: State<Context>, request: HttpRequest) -> HttpResponse {
    query_control(&context, &request, Request::Nodes).await
}

async fn teams(context: State<Context>, request: HttpRequest) -> HttpResponse {
    query_control(&context, &request, Request::Teams).await
}

async fn decisions(
    context: State<Context>,
    request: HttpRequest,
    query: Query<DecisionsQuery>,
) -> HttpResponse {
    let after = query.after.unwrap_or(0);
    let subject = query.subject.clone();
    let is_streamed = request
        .headers()
        .get(ACCEPT)
        .and_then(|accept| accept.to_str().ok())
        .is_some_and(|accept| accept.contains(EVENT_STREAM));
    if !is_streamed {
        return query_control(&context, &request, Request::Decisions { after, subject }).await;
    }
    if let Some(denied) = check_role(&context, &request, Role::Read) {
        return denied;
    }
    HttpResponse::Ok()
        .content_type(EVENT_STREAM)
        .set_header("cache-control", "no-cache")
        .streaming(Box::pin(stream::decisions(
            context.handle.clone(),
            after,
            subject,
        )))
}

async fn explain(
    context: State<Context>,
    request: HttpRequest,
    subject: Path<CompactString>,
) -> HttpResponse {
    let subject = Some(subject.into_inner());
    query_control(&context, &request, Request::Decisions { after: 0, subject }).await
}

/// Responds to requests for any other path.
pub(super) async fn not_found() -> HttpResponse {
    Problem::new(StatusCode::NOT_FOUND, "not-found", "no such resource").to_response()
}

/// Passes a read request to the control thread and responds with its reply.
async fn query_control(context: &Context, request: &HttpRequest, query: Request) -> HttpResponse {
    if let Some(denied) = check_role(context, request, Role::Read) {
        return denied;
    }
    match context.handle.ask(query).await {
        Ok(reply) => encode_reply(reply),
        Err(error) => unavailable(&error),
    }
}

fn encode_reply(reply: Reply) -> HttpResponse {
    match reply {
        Reply::Verdict(_, verdict) => Problem::from_verdict(verdict)
            .map_or_else(internal_error, |problem| problem.to_response()),
        Reply::Plan(plan) => json_response(&plan),
        Reply::Current(Some(current)) => json_response(&current),
        Reply::Current(None) => Problem::new(
            StatusCode::NOT_FOUND,
            "no-release",
            "no release note is known",
        )
        .to_response(),
        Reply::History(Ok(history)) => json_response(&history),
        Reply::History(Err(error)) => unavailable(&error),
        Reply::Status(status) => json_response(&status),
        Reply::Groups(groups) => json_response(&groups),
        Reply::Vms(vms) => json_response(&vms),
        Reply::Nodes(nodes) => json_response(&nodes),
        Reply::Teams(teams) => json_response(&teams),
        Reply::Decisions(decisions) => json_response(&decisions),
    }
}

/// Returns the response to a request whose token lacks the required role.
fn check_role(context: &Context, request: &HttpRequest, required: Role) -> Option<HttpResponse> {
    let denial = auth::authorize(request.headers(), &context.operators, required).err()?;
    context.metrics.count_denial(denial);
    Some(Problem::from_denial(denial).to_response())
}

/// Reads a release note of at most [`MAX_NOTE_BYTES`].
async fn read_note(request: &HttpRequest, payload: Payload) -> Result<Note, Problem> {
    let malformed = |title: &str| Problem::new(StatusCode::BAD_REQUEST, "malformed-note", title);
    let body = read_body(request, payload).await?;
    // serde would read a JSON array as a note and fill missing fields with their defaults.
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
    let declared_length = request
        .headers()
        .get(CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok())
        .and_then(|length| length.parse::<usize>().ok());
    if declared_length.is_some_and(|length| length > MAX_NOTE_BYTES) {
        return Err(too_large());
    }
    let mut body = Vec::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| {
            let title = error.to_string();
            Problem::new(StatusCode::BAD_REQUEST, "malformed-note", &title)
        })?;
        body.extend_from_slice(&chunk);
        if body.len() > MAX_NOTE_BYTES {
            return Err(too_large());
        }
    }
    Ok(body)
}

fn json_response<T: Serialize>(value: &T) -> HttpResponse {
    match serde_json::to_string(value) {
        Ok(text) => HttpResponse::Ok()
            .content_type("application/json")
            .body(text),
        Err(_) => internal_error(),
    }
}

fn internal_error() -> HttpResponse {
    Problem::new(
        StatusCode::INTERNAL_SERVER_ERROR,
        "internal",
        "the reply did not fit the request",
    )
    .to_response()
}

fn unavailable(error: &Error) -> HttpResponse {
    let title = error.to_string();
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, "unavailable", &title).to_response()
}
