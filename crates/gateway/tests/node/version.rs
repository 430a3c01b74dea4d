//! Tests of requests that are under way, or are being sent, when a version of the configuration
//! changes what they were admitted with.

use std::io::{BufReader, Write as _};
use std::net::TcpStream;
use std::time::Duration;

use jackdaw_core::config::{Configuration, Limits, RouteKind, Service, Team};
use jackdaw_core::units::{Bytes, Millis};
use rstest::rstest;

use super::domain::{
    Caller, Conduct, DEADLINE, Domain, KEY, Retries, STREAM, STREAM_HEAD, STREAM_START, WHOLE,
    WHOLE_HEAD, Wait, configuration, route,
};
use super::support::{TIMEOUT, read_message};

/// Time for which servers are silent; longer than the node waits at most for an answer or the next
/// bytes.
const SILENCE: Duration = Duration::from_millis(2_200);
/// Number of requests that wait at once.
const CALLERS: usize = 8;
/// Length of a header that makes a request's head larger than the limit of a later version.
const PADDING: usize = 1_000;
/// Limits under which the requests are accepted; connections are closed soon after the answer.
const WIDE: Limits = Limits {
    header: Bytes(16 << 10),
    body: Bytes(1 << 20),
    header_timeout: Millis(5_000),
    idle_timeout: Millis(300),
};
/// Path of a route that the second version adds.
const MARKER: &str = "/marker/";

/// What a version of the configuration changes for the requests under way.
#[derive(Clone, Copy, Debug)]
struct Change {
    name: &'static str,
    limits: Limits,
    apply: fn(&mut Configuration),
}

fn shorten_timeouts(configuration: &mut Configuration) {
    for route in &mut configuration.routes {
        route.timeout = Millis(100);
    }
}

fn drop_routes(configuration: &mut Configuration) {
    configuration.routes.clear();
}

fn move_routes(configuration: &mut Configuration) {
    let other = Service {
        name: "other".into(),
        ..configuration.services[0].clone()
    };
    configuration.services.push(other);
    for route in &mut configuration.routes {
        route.backends[0].service = "other".into();
    }
}

fn drop_service(configuration: &mut Configuration) {
    move_routes(configuration);
    configuration.services.remove(0);
}

fn drop_key(configuration: &mut Configuration) {
    configuration.teams[0].keys.clear();
}

fn allow_one_attempt(configuration: &mut Configuration) {
    for route in &mut configuration.routes {
        route.max_attempts = 1;
    }
}

fn forbid_resumption(configuration: &mut Configuration) {
    for route in &mut configuration.routes {
        route.kind = match route.kind {
            RouteKind::Stream { .. } => RouteKind::Stream { resumable: false },
            RouteKind::Idempotent | RouteKind::NonIdempotent => RouteKind::NonIdempotent,
        };
    }
}

fn lower_limits(configuration: &mut Configuration) {
    configuration.limits = Some(Limits {
        header: Bytes(PADDING as u64 / 2),
        body: Bytes(1),
        header_timeout: Millis(100),
        idle_timeout: Millis(100),
    });
}

fn lower_idle_limit(configuration: &mut Configuration) {
    configuration.limits = Some(WIDE);
}

const PLAIN: Change = Change {
    name: "",
    limits: WIDE,
    apply: drop_routes,
};

/// How long the servers are silent when the version arrives, and what the node can try.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    /// Streams and answers are under way, and go on as soon as the version is in force.
    UnderWay,
    /// Requests wait at silent servers, and there is no retry.
    Silent,
    /// Requests wait at silent servers, and there are retries and a sound server.
    SilentWithRetries,
}

// Guards against answers that end or are cut off because a version of the configuration changes what
// the requests were admitted with.
#[rstest]
#[case(Change { name: "shorter time-outs", apply: shorten_timeouts, ..PLAIN })]
#[case(Change { name: "no routes", apply: drop_routes, ..PLAIN })]
#[case(Change { name: "routes to another service", apply: move_routes, ..PLAIN })]
#[case(Change { name: "no service", apply: drop_service, ..PLAIN })]
#[case(Change { name: "no key", apply: drop_key, ..PLAIN })]
#[case(Change { name: "one attempt", apply: allow_one_attempt, ..PLAIN })]
#[case(Change { name: "nothing may be repeated", apply: forbid_resumption, ..PLAIN })]
#[case(Change { name: "lower limits", apply: lower_limits, ..PLAIN })]
#[case(Change { name: "a lower idle limit", apply: lower_idle_limit, limits: Limits { idle_timeout: Millis(10_000), ..WIDE } })]
fn requests_under_way_are_served_as_they_were_admitted(
    #[case] change: Change,
    #[values(Arrival::UnderWay, Arrival::Silent, Arrival::SilentWithRetries)] arrival: Arrival,
) {
    let first = admitting_configuration(&change);
    let mut second = first.clone();
    (change.apply)(&mut second);
    second.version = 2;
    second.routes.push(route(MARKER, RouteKind::Idempotent, 1));
    let (conducts, retries): (&[_], _) = match arrival {
        Arrival::UnderWay | Arrival::Silent => (&[Conduct::Silent; 2], Retries::None),
        Arrival::SilentWithRetries => (&[Conduct::Silent, Conduct::Sound], Retries::Many),
    };
    let domain = Domain::start(conducts, retries, vec![first, second]);
    domain.silence();
    let waits = [STREAM_HEAD, STREAM_START, STREAM, WHOLE_HEAD, WHOLE];
    let callers: Vec<_> = waits
        .iter()
        .cycle()
        .take(CALLERS)
        .enumerate()
        .map(|(number, wait)| send_padded(&domain, wait, number))
        .collect();
    domain.wait_held(CALLERS);
    domain.turn();
    domain.store.put("configuration", "2");
    domain.wait_routed(MARKER);
    match arrival {
        Arrival::UnderWay => domain.release(),
        Arrival::Silent | Arrival::SilentWithRetries => domain.release_after(SILENCE),
    }
    for caller in callers {
        caller.assert_whole(change.name);
    }
    domain.stop();
}

/// Returns a configuration that admits the requests, and requests without a key to no other route.
fn admitting_configuration(change: &Change) -> Configuration {
    let mut configuration = configuration(2);
    configuration.limits = Some(change.limits);
    configuration.teams.push(Team {
        name: "team".into(),
        priority: None,
        keys: vec![KEY.into()],
    });
    for route in &mut configuration.routes {
        route.anonymous = false;
    }
    configuration
}

/// Sends a request with a large head and a body on a connection that stays open after the answer.
fn send_padded(domain: &Domain, wait: &Wait, number: usize) -> Caller {
    let Wait { method, .. } = wait;
    let path = format!("{}{}{number}", wait.route, wait.point.label());
    let id = format!("r{number}");
    let padding = "x".repeat(PADDING);
    let body = "a body";
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: host\r\nid: {id}\r\nkey: {KEY}\r\npadding: {padding}\r\ndeadline: {}\r\ncontent-length: {}\r\n\r\n{body}",
        DEADLINE.0,
        body.len()
    );
    domain.send(&id, &path, request)
}

/// How far a request has been sent when a version arrives.
#[derive(Clone, Copy, Debug)]
enum Sent {
    Head,
    Body,
}

/// Time after which the caller sends the rest; longer than the lowered time limits.
const SENDING_PAUSE: Duration = Duration::from_millis(400);

// Guards against requests that get neither an answer nor a refusal because a version of the
// configuration arrives while they are being sent.
#[rstest]
#[case(Change { name: "shorter time-outs", apply: shorten_timeouts, ..PLAIN })]
#[case(Change { name: "no routes", apply: drop_routes, ..PLAIN })]
#[case(Change { name: "no service", apply: drop_service, ..PLAIN })]
#[case(Change { name: "no key", apply: drop_key, ..PLAIN })]
#[case(Change { name: "lower limits", apply: lower_limits, ..PLAIN })]
#[case(Change { name: "a lower idle limit", apply: lower_idle_limit, limits: Limits { idle_timeout: Millis(10_000), ..WIDE } })]
fn requests_that_are_being_sent_when_a_version_arrives_are_answered(
    #[case] change: Change,
    #[values(Sent::Head, Sent::Body)] sent: Sent,
    #[values(false, true)] is_kept: bool,
) {
    let first = admitting_configuration(&change);
    let mut second = first.clone();
    (change.apply)(&mut second);
    second.version = 2;
    second.routes.push(route(MARKER, RouteKind::Idempotent, 1));
    let domain = Domain::start(&[Conduct::Sound], Retries::None, vec![first, second]);
    let mut stream = TcpStream::connect(domain.address()).expect("the node listens");
    let timeout = stream.set_read_timeout(Some(TIMEOUT));
    timeout.expect("the time-out is valid");
    if is_kept {
        let get = format!("GET /safe/x HTTP/1.1\r\nhost: host\r\nid: r0\r\nkey: {KEY}\r\n\r\n");
        stream.write_all(get.as_bytes()).expect("the node reads");
        let earlier = read_message(&mut BufReader::new(&stream));
        assert!(earlier.is_some_and(|(head, _)| head.starts_with("HTTP/1.1 200")));
    }
    let head = format!(
        "POST /safe/x HTTP/1.1\r\nhost: host\r\nid: r1\r\nkey: {KEY}\r\ncontent-length: 10\r\n"
    );
    let request = format!("{head}\r\n0123456789");
    let length = match sent {
        Sent::Head => head.len() / 2,
        Sent::Body => request.len() - 5,
    };
    let (begin, rest) = request.split_at(length);
    stream.write_all(begin.as_bytes()).expect("the node reads");
    domain.store.put("configuration", "2");
    domain.wait_routed(MARKER);
    domain.pause(SENDING_PAUSE);
    // The node may have refused the request already.
    let _ = stream.write_all(rest.as_bytes());
    let answered = read_message(&mut BufReader::new(&stream));
    let is_answer = answered
        .as_ref()
        .is_some_and(|(head, _)| head.starts_with("HTTP/1.1 "));
    assert!(is_answer, "{}: {answered:?}", change.name);
    domain.stop();
}
