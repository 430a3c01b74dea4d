//! Admits callers' requests and answers readiness checks.

use std::cell::OnceCell;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use compact_str::CompactString;
use futures::future::{Either, select};
use http::{HeaderMap, Uri};
use jackdaw_core::config::{Backend, Denial, Index, Route};
use jackdaw_core::outcome::Outcome;
use jackdaw_core::protocol::Head;
use jackdaw_core::refusal::Reason;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_entry::in_flight::{self, Stage};
use ntex::http::header::HOST;
use ntex::http::{ConnectionType, Payload, Request, Response};
use slog::info;
use tokio::time;

use crate::body::{self, Whole};
use crate::buffered;
use crate::call::Call;
use crate::dispatch::Dispatch;
use crate::header;
use crate::in_flight::Guard;
use crate::node::Node;
use crate::race::Race;
use crate::refusal::Refusal;
use crate::relay;

/// Delay after which a caller is asked to retry if the node has no configuration or the route no
/// service.
const NOT_READY_RETRY_AFTER: Millis = Millis(500);
/// Deadline of requests that state none.
const DEFAULT_DEADLINE: Millis = Millis(30_000);

/// Shortest wait between two looks at the time.
const MIN_WAIT: Millis = Millis(10);

/// Path of the metrics on the readiness port.
const METRICS_PATH: &str = "/metrics";

/// Answers one request of a caller.
pub(crate) async fn handle(node: Rc<Node>, mut request: Request) -> Response {
    node.has_traffic.set(true);
    // The guard is dropped with this future, or with the response's body.
    let mut guard = None;
    let mut payload = request.take_payload();
    let mut response = match process(&node, &request, &mut payload, &mut guard).await {
        Ok(response) => response,
        Err((id, refusal)) => {
            node.counters.count_refusal(refusal.reason);
            node.counters.count_outcome(if refusal.may_have_run {
                Outcome::Unknown
            } else {
                Outcome::NotRun
            });
            info!(node.logger(), "request refused";
                "request" => %id,
                "reason" => refusal.reason.label(),
                "may_have_run" => refusal.may_have_run,
                "retry_after_ms" => refusal.retry_after.map(|delay| delay.0),
                "detail" => &refusal.detail);
            if refusal.reason == Reason::NoMemory {
                body::answer_early(&node, &refusal, payload)
            } else {
                // A body that was too slow is not waited for again.
                if refusal.reason != Reason::Deadline {
                    body::discard(&mut payload).await;
                }
                refusal.to_response()
            }
        }
    };
    if node.is_stopping() || guard.as_ref().is_some_and(Guard::is_last) {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    match guard {
        Some(guard) => guard.attach(response),
        None => response,
    }
}

/// Answers a request on the readiness port: a readiness check of the platform or a scrape of the
/// metrics.
pub(crate) fn handle_readiness(node: &Node, path: &str) -> Response {
    if path == METRICS_PATH {
        return metrics_response(node);
    }
    if path != node.parts.protocol.readiness_path() {
        return Response::NotFound().finish();
    }
    if node.is_ready() {
        return Response::Ok().finish();
    }
    Response::ServiceUnavailable().finish()
}

fn metrics_response(node: &Node) -> Response {
    match node.parts.exporter.render() {
        Ok(text) => Response::Ok().content_type("text/plain").body(text),
        Err(error) => {
            info!(node.logger(), "metrics cannot be encoded"; "error" => %error);
            Response::InternalServerError().finish()
        }
    }
}

/// Identity of a failed request and the refusal for its caller.
type Failure = (CompactString, Refusal);

/// Answers a request; the guard is set once its head has been read.
async fn process(
    node: &Rc<Node>,
    request: &Request,
    payload: &mut Payload,
    guard: &mut Option<Guard>,
) -> Result<Response, Failure> {
    let arrived = node.now();
    let headers = header::convert(request.headers());
    let head = match node.parts.protocol.decode_request(&headers) {
        Ok(head) => head,
        Err(error) => {
            *guard = Some(track(node, request, &Head::default(), arrived));
            let refusal = Refusal::not_run(Reason::Malformed, error);
            return Err((CompactString::default(), refusal));
        }
    };
    let id = head.id.clone();
    let failed = |refusal: Refusal| (id.clone(), refusal);
    let key = guard.insert(track(node, request, &head, arrived)).key();
    check_accepting(node).map_err(failed)?;
    check_head(node, request).map_err(failed)?;
    let Some(index) = node.index() else {
        let refusal = Refusal::not_run(Reason::NotReady, "the node knows no configuration yet");
        return Err(failed(refusal.with_retry_after(NOT_READY_RETRY_AFTER)));
    };
    let caller_deadline = caller_deadline(&head, arrived);
    let charge = body::reserve(node, header::content_length(&headers)).map_err(failed)?;
    let body = body::read(node, payload, charge);
    let body = wait_body(node, body, caller_deadline)
        .await
        .map_err(failed)?;
    // The configuration may have changed while the body was read.
    let index = node.index().unwrap_or(index);
    let mut call = admit(&index, request, head, headers).map_err(failed)?;
    call.body = body.bytes;
    call.charge = Some(body.charge);
    call.arrived = arrived;
    call.caller_deadline = caller_deadline;
    call.deadline = call.caller_deadline.min(arrived + call.route.timeout);
    let is_stream = call.route.kind.is_stream();
    node.in_flight.registry.update(key, |tracked| {
        tracked.route = call.route.name.clone();
        tracked.deadline = call.deadline;
        tracked.stage = Stage::Server;
    });
    // Attempts that the node repeats belong to the same request.
    node.record_demand(&index, &call);
    let dispatch = Dispatch::new(Rc::clone(node), index, call, key);
    if is_stream {
        let caller = request.io().cloned();
        return relay::exchange(dispatch, caller).await.map_err(failed);
    }
    let mut race = Race::new(dispatch);
    let buffered = buffered::exchange(&mut race).await.map_err(failed)?;
    race.dispatch.log_answered(buffered.status.as_u16());
    node.counters.count_outcome(Outcome::Completed);
    node.histograms.record_answer(node.now().since(arrived));
    Ok(buffered.into_response())
}

/// Returns the time by which the caller wants an answer.
fn caller_deadline(head: &Head, arrived: Instant) -> Instant {
    arrived + head.deadline.unwrap_or(DEFAULT_DEADLINE)
}

/// Adds a request to the registry.
fn track(node: &Rc<Node>, request: &Request, head: &Head, arrived: Instant) -> Guard {
    let tracked = in_flight::Request {
        id: head.id.clone(),
        route: CompactString::default(),
        stage: Stage::Body,
        server: CompactString::default(),
        group: CompactString::default(),
        events: 0,
        delivered: None,
        arrived,
        deadline: caller_deadline(head, arrived),
        is_closed_by_node: false,
    };
    Guard::new(node, tracked, request.io().cloned())
}

/// Checks that the node takes new requests.
///
/// # Errors
///
/// Returns a refusal if the node is stopping and takes none.
fn check_accepting(node: &Node) -> Result<(), Refusal> {
    let shutdown = node.shutdown();
    if shutdown.is_none_or(|shutdown| shutdown.is_accepting(node.now())) {
        return Ok(());
    }
    node.in_flight.stop_refusals.add(1, &[]);
    // The caller may retry at once, since its next connection goes to another node.
    Err(Refusal::not_run(Reason::NotReady, "the node is stopping").with_retry_after(Millis(0)))
}

/// Checks a head against the limit in force.
///
/// The HTTP library's limit is fixed when a connection is accepted.
///
/// # Errors
///
/// Returns a refusal if the head is larger.
fn check_head(node: &Node, request: &Request) -> Result<(), Refusal> {
    let limit = node.limits().header;
    if header::head_len(request) <= limit {
        return Ok(());
    }
    let detail = format!("the head is larger than {limit}");
    Err(Refusal::not_run(Reason::HeadTooLarge, detail))
}

/// Waits for a request's body while the node takes new requests, at most until the request is due.
///
/// # Errors
///
/// Returns a refusal if the body is incomplete, too large or late, or the node is stopping.
async fn wait_body(
    node: &Node,
    body: impl Future<Output = Result<Whole, Refusal>>,
    due: Instant,
) -> Result<Whole, Refusal> {
    let mut body = pin!(body);
    loop {
        check_accepting(node)?;
        let now = node.now();
        if now >= due {
            let detail = "the deadline passed before the request had been read";
            return Err(Refusal::not_run(Reason::Deadline, detail));
        }
        // A stop that is requested meanwhile ends the acceptance no earlier than this.
        let accepted = node.shutdown().map_or_else(
            || now + node.stop_limits().accept.max(MIN_WAIT),
            |shutdown| shutdown.accepts_until(),
        );
        let timeout = pin!(time::sleep(node.until(due.min(accepted))));
        match select(body.as_mut(), timeout).await {
            Either::Left((body, _)) => {
                check_accepting(node)?;
                return body;
            }
            Either::Right(_) => {}
        }
    }
}

/// Authenticates a request, finds its route and picks its service.
///
/// # Errors
///
/// Returns a refusal if no route or team matches, or the route has no service.
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
    let service = pick_backend(route).map(|backend| backend.service.clone());
    let Some(service) = service else {
        let detail = format!("route {} has no service", route.name);
        return Err(
            Refusal::not_run(Reason::NoServer, detail).with_retry_after(NOT_READY_RETRY_AFTER)
        );
    };
    header::strip_hop_by_hop(&mut headers);
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
        uri: server_uri(request),
        headers,
        body: Bytes::new(),
        charge: None,
        digest: OnceCell::new(),
        arrived: Instant::default(),
        deadline: Instant::default(),
        caller_deadline: Instant::default(),
    })
}

/// Least urgent priority that servers accept.
const MAX_PRIORITY: u8 = 9;

/// Returns a request's path and query as the URI for the server.
fn server_uri(request: &Request) -> Uri {
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| Uri::from_static("/"))
}

/// Picks one of a route's services at random in proportion to the weights.
fn pick_backend(route: &Route) -> Option<&Backend> {
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
