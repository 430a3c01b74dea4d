//! Takes callers' requests.

use std::rc::Rc;

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, Uri};
use jackdaw_core::config::{Backend, Denial, Index, Route};
use jackdaw_core::outcome::Outcome;
use jackdaw_core::protocol::Head;
use jackdaw_core::refusal::Reason;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_entry::drain::Pass;
use ntex::http::header::HOST;
use ntex::http::{ConnectionType, Request, Response};
use slog::info;

use crate::body;
use crate::buffered;
use crate::dispatch::{Call, Dispatch};
use crate::header;
use crate::node::Node;
use crate::refusal::Refusal;
use crate::relay;

/// Time after which a caller is asked to come again while the node knows no configuration.
const NOT_READY_RETRY: Millis = Millis(500);
/// Time that a caller is taken to wait if it states none.
const DEFAULT_DEADLINE: Millis = Millis(30_000);

/// Path of the metrics, on the port of the readiness checks.
const METRICS: &str = "/metrics";

/// Answers one request.
pub(crate) async fn handle(node: Rc<Node>, request: Request) -> Response {
    node.has_traffic.set(true);
    let mut response = match answer(&node, request).await {
        Ok(response) => response,
        Err((id, refusal)) => {
            node.counters.refusal(refusal.reason);
            node.counters.outcome(if refusal.may_have_run {
                Outcome::Unknown
            } else {
                Outcome::NotRun
            });
            info!(node.logger(), "request refused";
                "request" => %id,
                "reason" => refusal.reason.label(),
                "may_have_run" => refusal.may_have_run,
                "retry_after_ms" => refusal.retry_after.map(|span| span.0),
                "detail" => &refusal.detail);
            refusal.response()
        }
    };
    if node.is_stopping.get() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

/// Answers the platform's question whether new connections are welcome.
pub(crate) fn readiness(node: &Node, path: &str) -> Response {
    if path == METRICS {
        return metrics(node);
    }
    if path != node.parts.protocol.readiness_path() {
        return Response::NotFound().finish();
    }
    if node.is_ready() {
        return Response::Ok().finish();
    }
    Response::ServiceUnavailable().finish()
}

fn metrics(node: &Node) -> Response {
    match node.parts.exporter.render() {
        Ok(text) => Response::Ok().content_type("text/plain").body(text),
        Err(error) => {
            info!(node.logger(), "metrics cannot be written"; "error" => %error);
            Response::InternalServerError().finish()
        }
    }
}

/// Identity of a request that failed, and how.
type Failed = (CompactString, Refusal);

async fn answer(node: &Rc<Node>, mut request: Request) -> Result<Response, Failed> {
    let arrived = node.now();
    let headers = header::received(request.headers());
    let head = match node.parts.protocol.decode_request(&headers) {
        Ok(head) => head,
        Err(error) => {
            let refusal = Refusal::not_run(Reason::Malformed, error);
            return Err((CompactString::default(), refusal));
        }
    };
    let id = head.id.clone();
    let failed = |refusal: Refusal| (id.clone(), refusal);
    let in_flight = enter(node).map_err(failed)?;
    let Some(index) = node.index() else {
        let refusal = Refusal::not_run(Reason::NotReady, "the node knows no configuration yet");
        return Err(failed(refusal.with_retry_after(NOT_READY_RETRY)));
    };
    let payload = request.take_payload();
    let limit = index
        .configuration()
        .limits
        .map_or(body::DEFAULT_LIMIT, |limits| limits.body);
    let body = body::read(payload, limit).await.map_err(failed)?;
    // The body may have come slowly, so that the configuration may have changed.
    let index = node.index().unwrap_or(index);
    let mut call = admit(&index, &request, head, headers).map_err(failed)?;
    call.body = body;
    call.arrived = arrived;
    call.caller_deadline = arrived + call.head.deadline.unwrap_or(DEFAULT_DEADLINE);
    call.deadline = call.caller_deadline.min(arrived + call.route.timeout);
    let is_stream = call.route.kind.is_stream();
    let mut dispatch = Dispatch::new(Rc::clone(node), index, call);
    if is_stream {
        let caller = request.io().cloned();
        return relay::exchange(dispatch, in_flight, caller)
            .await
            .map_err(failed);
    }
    let buffered = buffered::exchange(&mut dispatch).await.map_err(failed)?;
    dispatch.log_answered(buffered.status.as_u16());
    node.counters.outcome(Outcome::Completed);
    node.histograms.record_answer(node.now().since(arrived));
    drop(in_flight);
    Ok(buffered.into_response())
}

/// Counts a request in flight, unless the node takes none any more.
fn enter(node: &Node) -> Result<Pass, Refusal> {
    node.drain.enter().ok_or_else(|| {
        // Another node takes the caller's next connection at once.
        Refusal::not_run(Reason::NotReady, "the node is stopping").with_retry_after(Millis(0))
    })
}

/// Checks a request against the configuration.
fn admit(
    index: &Index,
    request: &Request,
    head: Head,
    mut headers: HeaderMap,
) -> Result<Call, Refusal> {
    let host = headers
        .get(HOST)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let admitted = index.admit(host, request.path(), head.key.as_deref());
    let (route, team) = admitted.map_err(|denial| match denial {
        Denial::NoRoute => Refusal::not_run(Reason::NotFound, "no route matches"),
        Denial::NoTeam => Refusal::not_run(Reason::Unauthenticated, "no team holds the key"),
    })?;
    let service = pick(route).map(|backend| backend.service.clone());
    let Some(service) = service else {
        let detail = format!("route {} has no service", route.name);
        return Err(Refusal::not_run(Reason::NoServer, detail).with_retry_after(NOT_READY_RETRY));
    };
    header::strip(&mut headers);
    let priority = team
        .and_then(|team| team.priority)
        .unwrap_or(route.priority);
    Ok(Call {
        head,
        route: route.clone(),
        service,
        team: team.map(|team| team.name.clone()),
        priority: Some(priority.min(MAX_PRIORITY)),
        method: request.method().clone(),
        uri: target(request),
        headers,
        body: Bytes::new(),
        arrived: Instant::default(),
        deadline: Instant::default(),
        caller_deadline: Instant::default(),
    })
}

/// Least urgent priority that servers know.
const MAX_PRIORITY: u8 = 9;

/// Returns the path and the query of a request.
fn target(request: &Request) -> Uri {
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |target| target.as_str());
    path.parse().unwrap_or_else(|_| Uri::from_static("/"))
}

/// Picks one of a route's services by weight.
fn pick(route: &Route) -> Option<&Backend> {
    let total: u32 = route.backends.iter().map(|backend| backend.weight).sum();
    if total == 0 {
        return route.backends.first();
    }
    let mut ticket = fastrand::u32(0..total);
    route.backends.iter().find(|backend| {
        if ticket < backend.weight {
            return true;
        }
        ticket -= backend.weight;
        false
    })
}
