//! The operators' interface over HTTP.

mod support;

use jackdaw_control::release::CATALOG_KEY;
use jackdaw_standin::store::Fault;
use rstest::rstest;
use serde_json::{Value, json};
use support::http::{announce, follow, send};
use support::{Node, READ_TOKEN, WRITE_TOKEN, World, accepted, note};

const NOTES: &str = "/admin/v1/release-notes";

fn node(world: &World) -> Node {
    world.node("node", "a", &[])
}

fn post(node: &Node, note: &jackdaw_core::note::Note) -> support::http::Answer {
    let body = serde_json::to_string(note).expect("JSON");
    send(node.admin.address(), "POST", NOTES, WRITE_TOKEN, &body)
}

/// A request by its token, and the status code of its answer.
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
#[case::no_note_yet(Access {
    method: "GET", path: "/admin/v1/release-notes/current", token: READ_TOKEN, status: 404 })]
#[case::note_of_a_reader(Access {
    method: "POST", path: NOTES, token: READ_TOKEN, status: 403 })]
#[case::note_without_a_token(Access { method: "POST", path: NOTES, token: "", status: 401 })]
#[case::malformed_note(Access {
    method: "POST", path: NOTES, token: WRITE_TOKEN, status: 400 })]
#[case::plan_without_a_token(Access {
    method: "POST", path: "/admin/v1/plan", token: "", status: 401 })]
#[case::unknown_path(Access {
    method: "GET", path: "/admin/v1/else", token: WRITE_TOKEN, status: 404 })]
fn request_is_permitted_by_its_token(#[case] case: Access) {
    let world = World::new();
    let node = node(&world);
    let body = if case.method == "POST" { "[]" } else { "" };
    let answer = send(
        node.admin.address(),
        case.method,
        case.path,
        case.token,
        body,
    );
    assert_eq!(answer.status, case.status, "{answer:?}");
    if answer.status >= 400 {
        assert!(
            answer.head.contains("application/problem+json"),
            "{answer:?}"
        );
        assert_eq!(answer.json()["status"], json!(case.status));
    }
}

#[test]
fn accepted_note_is_told_again_and_listed() {
    let world = World::new();
    let node = node(&world);
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
fn note_is_bounded_in_size() {
    let world = World::new();
    let node = node(&world);
    let mut large = note("one", 0);
    large.summary = "x".repeat(600 << 10).into();
    assert_eq!(post(&node, &large).status, 200);
    // The body is announced alone, since a server that closes on unread bytes resets the
    // connection and may take its answer back.
    let head = announce(node.admin.address(), NOTES, WRITE_TOKEN, 2 << 20);
    assert!(head.starts_with("HTTP/1.1 413"), "{head}");
    assert!(head.contains("application/problem+json"), "{head}");
    let head = announce(node.admin.address(), NOTES, "guess", 2 << 20);
    assert!(head.starts_with("HTTP/1.1 401"), "{head}");
}

#[test]
fn note_without_an_identity_gets_one() {
    let world = World::new();
    let node = node(&world);
    let mut unnamed = note("one", 0);
    unnamed.id = "".into();
    let answer = post(&node, &unnamed);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(!answer.json()["note"].as_str().expect("identity").is_empty());
}

/// Why a note is not accepted, and what the operator is told.
struct Refusal {
    note: jackdaw_core::note::Note,
    fault: Option<Fault>,
    status: u16,
    kind: &'static str,
    outcome: &'static str,
}

#[rstest]
#[case::another_came_first(Refusal {
    note: note("two", 0),
    fault: None,
    status: 409,
    kind: "urn:jackdawstair:base-outdated",
    outcome: "not-accepted",
})]
#[case::does_not_fit(Refusal {
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
fn refusal_names_its_kind_and_outcome(#[case] case: Refusal) {
    let world = World::new();
    let node = node(&world);
    assert_eq!(node.apply(note("one", 0)), accepted(1));
    if let Some(fault) = case.fault {
        world.memory.set(fault);
    }
    let answer = post(&node, &case.note);
    let problem = answer.json();
    assert_eq!(answer.status, case.status, "{answer:?}");
    assert_eq!(problem["type"], case.kind);
    assert_eq!(problem["outcome"], case.outcome);
    if case.status == 409 {
        assert_eq!(problem["in_force"], json!(1));
        assert_eq!(problem["since"][0]["note"]["id"], "one");
    }
}

#[test]
fn note_whose_answers_are_all_lost_is_told_as_unknown() {
    let world = World::new();
    let node = node(&world);
    assert_eq!(node.apply(note("one", 0)), accepted(1));
    for _ in 0..3 {
        world.memory.plan(CATALOG_KEY, Fault::Down);
    }
    let answer = post(&node, &note("two", 1));
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(answer.json()["outcome"], "unknown");
    assert!(answer.head.contains("retry-after"), "{answer:?}");
    assert_eq!(post(&node, &note("two", 1)).status, 200);
}

#[test]
fn plan_changes_nothing() {
    let world = World::new();
    let node = node(&world);
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
fn decisions_are_followed_live_and_explained_by_subject() {
    let world = World::new();
    let node = node(&world);
    assert_eq!(node.apply(note("one", 0)), accepted(1));
    let path = "/admin/v1/decisions?subject=release:2";
    let mut events = follow(node.admin.address(), path, READ_TOKEN);
    let mut all = follow(node.admin.address(), "/admin/v1/decisions", READ_TOKEN);
    let is_about = |event: &Value, name: &str| event["subjects"][0]["name"] == name;
    let past = all
        .find(|event| is_about(event, "1"))
        .expect("the past is told");
    assert_eq!(past["taken"], "catalogue in force on this node");
    assert_eq!(node.apply(note("two", 1)), accepted(2));
    let live = events.next().expect("the present is told");
    assert!(is_about(&live, "2"), "{live}");
    for path in ["/admin/v1/explain/release:2", "/admin/v1/explain/2"] {
        let explained = send(node.admin.address(), "GET", path, READ_TOKEN, "").json();
        assert_eq!(explained[0]["sequence"], live["sequence"], "{explained}");
        assert!(!explained[0]["weighed"].as_array().expect("ways").is_empty());
    }
}
