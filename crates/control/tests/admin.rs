//! The operators' interface over HTTP.

mod support;

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use jackdaw_control::release::CATALOG_KEY;
use jackdaw_standin::store::Fault;
use rstest::rstest;
use serde_json::{Value, json};
use support::http::{read_head, send, send_head, subscribe};
use support::{Cluster, Node, READ_TOKEN, WRITE_TOKEN, accepted, note};

const NOTES: &str = "/admin/v1/release-notes";

/// Usual time between two reads of the metrics.
const SCRAPE_INTERVAL: Duration = Duration::from_secs(15);

fn node(cluster: &Cluster) -> Node {
    cluster.node("node", "a", &[])
}

fn post(node: &Node, note: &jackdaw_core::note::Note) -> support::http::Response {
    let body = serde_json::to_string(note).expect("JSON");
    send(node.admin.address(), "POST", NOTES, WRITE_TOKEN, &body)
}

/// A request with a token, and the expected status code.
struct Access {
    method: &'static str,
    path: &'static str,
    token: &'static str,
    status: u16,
}

#[rstest]
#[case::health_without_a_token(Access {
    method: "GET", path: "/healthz", token: "", status: 200 })]
#[case::not_ready_without_a_note(Access {
    method: "GET", path: "/readyz", token: "", status: 503 })]
#[case::metrics_without_a_token(Access {
    method: "GET", path: "/metrics", token: "", status: 401 })]
#[case::metrics(Access { method: "GET", path: "/metrics", token: READ_TOKEN, status: 200 })]
#[case::status_without_a_token(Access {
    method: "GET", path: "/admin/v1/status", token: "", status: 401 })]
#[case::status_with_an_unknown_token(Access {
    method: "GET", path: "/admin/v1/status", token: "guess", status: 401 })]
#[case::status(Access {
    method: "GET", path: "/admin/v1/status", token: READ_TOKEN, status: 200 })]
#[case::groups(Access {
    method: "GET", path: "/admin/v1/groups", token: READ_TOKEN, status: 200 })]
#[case::vms(Access { method: "GET", path: "/admin/v1/vms", token: READ_TOKEN, status: 200 })]
#[case::nodes(Access { method: "GET", path: "/admin/v1/nodes", token: READ_TOKEN, status: 200 })]
#[case::teams(Access { method: "GET", path: "/admin/v1/teams", token: READ_TOKEN, status: 200 })]
#[case::history(Access { method: "GET", path: NOTES, token: READ_TOKEN, status: 200 })]
#[case::current_release_before_the_first_note(Access {
    method: "GET", path: "/admin/v1/release-notes/current", token: READ_TOKEN, status: 404 })]
#[case::note_with_a_read_token(Access {
    method: "POST", path: NOTES, token: READ_TOKEN, status: 403 })]
#[case::note_without_a_token(Access { method: "POST", path: NOTES, token: "", status: 401 })]
#[case::malformed_note(Access {
    method: "POST", path: NOTES, token: WRITE_TOKEN, status: 400 })]
#[case::plan_without_a_token(Access {
    method: "POST", path: "/admin/v1/plan", token: "", status: 401 })]
#[case::unknown_path(Access {
    method: "GET", path: "/admin/v1/else", token: WRITE_TOKEN, status: 404 })]
fn request_gets_the_status_that_its_token_permits(#[case] case: Access) {
    let cluster = Cluster::new();
    let node = node(&cluster);
    let body = if case.method == "POST" { "[]" } else { "" };
    let response = send(
        node.admin.address(),
        case.method,
        case.path,
        case.token,
        body,
    );
    assert_eq!(response.status, case.status, "{response:?}");
    if response.status >= 400 {
        assert!(
            response.head.contains("application/problem+json"),
            "{response:?}"
        );
        assert_eq!(response.json()["status"], json!(case.status));
    }
}

#[test]
fn accepted_note_is_confirmed_when_repeated_and_is_listed() {
    let cluster = Cluster::new();
    let node = node(&cluster);
    let first = post(&node, &note("one", 0));
    assert_eq!(
        (first.status, &first.json()["repeated"]),
        (200, &json!(false)),
        "{first:?}"
    );
    let again = post(&node, &note("one", 0));
    assert_eq!(
        (again.status, &again.json()["repeated"]),
        (200, &json!(true)),
        "{again:?}"
    );
    let get = |path: &str| send(node.admin.address(), "GET", path, READ_TOKEN, "").json();
    let current = get("/admin/v1/release-notes/current");
    assert_eq!(current["catalog"]["models"][0]["name"], "one");
    assert_eq!(current["release"]["source"]["kind"], "accepted");
    assert_eq!(get(NOTES)["notes"][0]["note"]["id"], "one");
    assert_eq!(
        send(node.admin.address(), "GET", "/readyz", "", "").status,
        200
    );
    let metrics = send(node.admin.address(), "GET", "/metrics", READ_TOKEN, "").body;
    assert!(
        metrics.contains(r#"jackdawstair_release_verdicts_total{verdict="accepted"} 2"#),
        "{metrics}"
    );
}

#[test]
fn note_above_the_size_limit_is_rejected() {
    let cluster = Cluster::new();
    let node = node(&cluster);
    let mut large = note("one", 0);
    large.summary = "x".repeat(600 << 10).into();
    assert_eq!(post(&node, &large).status, 200);
    // Only the head is sent: a server that closes with unread bytes resets the connection, and the
    // reset may discard its response.
    let head = send_head(node.admin.address(), NOTES, WRITE_TOKEN, 2 << 20);
    assert!(head.starts_with("HTTP/1.1 413"), "{head}");
    assert!(head.contains("application/problem+json"), "{head}");
    let head = send_head(node.admin.address(), NOTES, "guess", 2 << 20);
    assert!(head.starts_with("HTTP/1.1 401"), "{head}");
}

#[test]
fn note_without_an_identity_is_assigned_one() {
    let cluster = Cluster::new();
    let node = node(&cluster);
    let mut unnamed = note("one", 0);
    unnamed.id = "".into();
    let response = post(&node, &unnamed);
    assert_eq!(response.status, 200, "{response:?}");
    assert!(
        !response.json()["note"]
            .as_str()
            .expect("identity")
            .is_empty()
    );
}

/// A note that is not accepted, and the expected response.
struct Refusal {
    note: jackdaw_core::note::Note,
    fault: Option<Fault>,
    status: u16,
    kind: &'static str,
    outcome: &'static str,
}

#[rstest]
#[case::base_is_outdated(Refusal {
    note: note("two", 0),
    fault: None,
    status: 409,
    kind: "urn:jackdawstair:base-outdated",
    outcome: "not-accepted",
})]
#[case::conflicts_with_the_catalogue(Refusal {
    note: jackdaw_core::note::Note { base: jackdaw_core::units::Revision(1), ..note("one", 1) },
    fault: None,
    status: 422,
    kind: "urn:jackdawstair:note-refused",
    outcome: "not-accepted",
})]
#[case::changes_nothing(Refusal {
    note: jackdaw_core::note::Note {
        id: "empty".into(),
        base: jackdaw_core::units::Revision(1),
        ..Default::default()
    },
    fault: None,
    status: 422,
    kind: "urn:jackdawstair:note-refused",
    outcome: "not-accepted",
})]
#[case::platform_down(Refusal {
    note: note("two", 1),
    fault: Some(Fault::Refuse),
    status: 503,
    kind: "urn:jackdawstair:not-accepted",
    outcome: "not-accepted",
})]
fn refused_note_returns_its_kind_and_outcome(#[case] case: Refusal) {
    let cluster = Cluster::new();
    let node = node(&cluster);
    assert_eq!(node.apply(note("one", 0)), accepted(1));
    if let Some(fault) = case.fault {
        cluster.memory.set(fault);
    }
    let response = post(&node, &case.note);
    let problem = response.json();
    assert_eq!(response.status, case.status, "{response:?}");
    assert_eq!(problem["type"], case.kind);
    assert_eq!(problem["outcome"], case.outcome);
    if case.status == 409 {
        assert_eq!(problem["in_force"], json!(1));
        assert_eq!(problem["since"][0]["note"]["id"], "one");
    }
}

#[test]
fn note_without_any_answer_has_an_unknown_outcome() {
    let cluster = Cluster::new();
    let node = node(&cluster);
    assert_eq!(node.apply(note("one", 0)), accepted(1));
    for _ in 0..3 {
        cluster.memory.plan(CATALOG_KEY, Fault::Down);
    }
    let response = post(&node, &note("two", 1));
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(response.json()["outcome"], "unknown");
    assert!(response.head.contains("retry-after"), "{response:?}");
    assert_eq!(post(&node, &note("two", 1)).status, 200);
}

#[test]
fn plan_returns_changes_without_applying_them() {
    let cluster = Cluster::new();
    let node = node(&cluster);
    assert_eq!(node.apply(note("one", 0)), accepted(1));
    let body = serde_json::to_string(&note("two", 1)).expect("JSON");
    let plan = send(
        node.admin.address(),
        "POST",
        "/admin/v1/plan",
        READ_TOKEN,
        &body,
    )
    .json();
    assert_eq!(plan["changes"][0]["name"], "two");
    assert_eq!(plan["conflicts"], json!([]));
    assert_eq!(node.revision(), 1);
}

#[test]
fn decisions_are_streamed_and_explained_by_subject() {
    let cluster = Cluster::new();
    let node = node(&cluster);
    assert_eq!(node.apply(note("one", 0)), accepted(1));
    let path = "/admin/v1/decisions?subject=release:2";
    let mut events = subscribe(node.admin.address(), path, READ_TOKEN);
    let mut all = subscribe(node.admin.address(), "/admin/v1/decisions", READ_TOKEN);
    let is_about = |event: &Value, name: &str| event["subjects"][0]["name"] == name;
    let past = all
        .find(|event| is_about(event, "1"))
        .expect("past decision arrives");
    assert_eq!(past["taken"], "catalogue in force on this node");
    assert_eq!(node.apply(note("two", 1)), accepted(2));
    let live = events.next().expect("new decision arrives");
    assert!(is_about(&live, "2"), "{live}");
    for path in ["/admin/v1/explain/release:2", "/admin/v1/explain/2"] {
        let explained = send(node.admin.address(), "GET", path, READ_TOKEN, "").json();
        assert_eq!(explained[0]["sequence"], live["sequence"], "{explained}");
        assert!(!explained[0]["weighed"].as_array().expect("ways").is_empty());
    }
}

// Guards against a metrics scraper whose next request meets the close of its idle connection.
#[test]
fn operators_connection_is_kept_between_two_scrapes() {
    let cluster = Cluster::new();
    let node = node(&cluster);
    let stream = TcpStream::connect(node.admin.address()).expect("connects");
    for pause in [Duration::ZERO, SCRAPE_INTERVAL] {
        thread::sleep(pause);
        let mut reader = BufReader::new(&stream);
        (&stream)
            .write_all(b"GET /healthz HTTP/1.1\r\nhost: node\r\n\r\n")
            .expect("sends");
        assert!(read_head(&mut reader).starts_with("HTTP/1.1 200"));
        let mut body = [0; 3];
        reader.read_exact(&mut body).expect("body");
    }
}
