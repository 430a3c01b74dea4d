//! Release notes, with real daemons: platform outages, lost responses, frozen and killed nodes.

mod support;

use jackdaw_core::units::Millis;
use jackdaw_standin::store::Fault;
use jackdawstair::control::release::CATALOG_KEY;
use ntex::http::Method;
use rstest::rstest;
use serde_json::{Value, json};
use support::caller::Response;
use support::{Caller, Cluster};

const NOTES_PATH: &str = "/admin/v1/release-notes";
const IN_FORCE: &str = "catalogue in force on this node";

/// Starts nodes in both zones and waits until the initial note is in force on each.
fn start_cluster(nodes: usize) -> Cluster {
    let mut cluster = Cluster::start(Millis(0));
    for node in 0..nodes {
        let zone = support::ZONES[node % support::ZONES.len()];
        let node = cluster.add_node(zone);
        cluster.nodes[node].wait_for_decision("release:1", IN_FORCE);
    }
    cluster
}

/// Returns a note that adds one service.
fn note(id: &str, base: u64) -> Value {
    json!({
        "id": id,
        "base": base,
        "services": {"add": [{"name": format!("service-{id}")}]},
    })
}

fn apply(cluster: &Cluster, node: usize, note: &Value) -> Response {
    Caller::new(cluster.nodes[node].operators).send_as_operator(Method::POST, NOTES_PATH, note)
}

fn status(cluster: &Cluster, node: usize) -> Value {
    let caller = Caller::new(cluster.nodes[node].operators);
    caller
        .send_as_operator(Method::GET, "/admin/v1/status", &Value::Null)
        .json()
}

#[test]
fn accepted_note_is_in_force_on_every_node() {
    let cluster = start_cluster(4);
    let response = apply(&cluster, 3, &note("two", 1));
    assert_eq!(response.status, 200, "{response:?}");
    for node in &cluster.nodes {
        node.wait_for_decision("release:2", IN_FORCE);
    }
}

/// Fault of the transaction that commits a note, and the response to the operator.
struct Case {
    fault: Fault,
    status: u16,
    is_repeated: bool,
}

#[rstest]
#[case::response_lost(Case { fault: Fault::LoseAnswer, status: 200, is_repeated: true })]
#[case::call_lost(Case { fault: Fault::Down, status: 200, is_repeated: false })]
fn note_is_accepted_when_the_store_loses_the_commit_or_its_response(#[case] case: Case) {
    let cluster = start_cluster(2);
    cluster.platform.memory().plan(CATALOG_KEY, case.fault);
    let response = apply(&cluster, 0, &note("two", 1));
    assert_eq!(response.status, case.status, "{response:?}");
    assert_eq!(
        response.json()["repeated"],
        json!(case.is_repeated),
        "{response:?}"
    );
    cluster.nodes[1].wait_for_decision("release:2", IN_FORCE);
}

#[test]
fn note_is_not_accepted_while_the_platform_is_down() {
    let cluster = start_cluster(2);
    cluster.platform.memory().set(Fault::Refuse);
    let refused = apply(&cluster, 0, &note("two", 1));
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(refused.json()["outcome"], "not-accepted", "{refused:?}");
    assert_eq!(status(&cluster, 0)["release"]["revision"], json!(1));
    cluster.platform.memory().set(Fault::None);
    let accepted = apply(&cluster, 1, &note("two", 1));
    assert_eq!(accepted.status, 200, "{accepted:?}");
    cluster.nodes[0].wait_for_decision("release:2", IN_FORCE);
}

#[test]
fn node_killed_after_the_commit_leaves_an_accepted_note() {
    let mut cluster = start_cluster(2);
    cluster
        .platform
        .memory()
        .plan(CATALOG_KEY, Fault::HoldAnswer);
    let operators = cluster.nodes[0].operators;
    let body = note("two", 1);
    let first = std::thread::spawn(move || {
        Caller::new(operators).send_as_operator(Method::POST, NOTES_PATH, &body)
    });
    cluster.nodes[1].wait_for_decision("release:2", IN_FORCE);
    cluster.nodes[0].kill();
    let lost = first.join().expect("the operator's thread ends");
    assert_eq!(lost.status, 0, "the operator got no response: {lost:?}");
    cluster.platform.memory().set(Fault::None);
    let repeat = apply(&cluster, 1, &note("two", 1));
    assert_eq!(
        (repeat.status, &repeat.json()["repeated"]),
        (200, &json!(true)),
        "{repeat:?}"
    );
    assert_eq!(repeat.json()["revision"], json!(2));
}

#[test]
fn node_started_during_an_outage_gets_the_catalogue_from_its_peers() {
    let mut cluster = start_cluster(2);
    assert_eq!(apply(&cluster, 0, &note("two", 1)).status, 200);
    cluster.nodes[1].wait_for_decision("release:2", IN_FORCE);
    cluster.platform.memory().set(Fault::Refuse);
    let late_node = cluster.add_node("east-b");
    cluster.nodes[late_node].wait_for_decision("release:2", IN_FORCE);
    let status = status(&cluster, late_node);
    assert_eq!(status["release"]["source"]["kind"], "peer", "{status}");
    assert_eq!(
        status["release"]["platform_contact_age_ms"],
        Value::Null,
        "{status}"
    );
    assert_eq!(status["ready"], json!(true), "{status}");
}

#[test]
fn frozen_node_applies_the_latest_note_after_it_resumes() {
    let cluster = start_cluster(3);
    cluster.nodes[1].freeze();
    assert_eq!(apply(&cluster, 0, &note("two", 1)).status, 200);
    assert_eq!(apply(&cluster, 2, &note("three", 2)).status, 200);
    cluster.nodes[1].resume();
    cluster.nodes[1].wait_for_decision("release:3", IN_FORCE);
    assert_eq!(status(&cluster, 1)["release"]["revision"], json!(3));
}

#[test]
fn concurrent_notes_at_two_nodes_get_one_acceptance_and_one_conflict() {
    let cluster = start_cluster(2);
    let requests = [(0, "left"), (1, "right")].map(|(node, id)| {
        let operators = cluster.nodes[node].operators;
        let body = note(id, 1);
        std::thread::spawn(move || {
            Caller::new(operators).send_as_operator(Method::POST, NOTES_PATH, &body)
        })
    });
    let responses = requests.map(|request| request.join().expect("the operator's thread ends"));
    let mut statuses = responses.clone().map(|response| response.status);
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{responses:?}");
    let conflict = responses.iter().find(|response| response.status == 409);
    let problem = conflict.expect("one conflict").json();
    assert_eq!(
        problem["since"].as_array().map(Vec::len),
        Some(1),
        "{problem}"
    );
}

#[test]
fn stale_reads_of_the_platform_revert_no_node() {
    let mut cluster = start_cluster(2);
    cluster.platform.memory().set(Fault::Stale);
    // From here on, reads return the state as of this moment, while writes still take effect.
    let accepted = apply(&cluster, 0, &note("two", 1));
    assert_eq!(accepted.status, 200, "{accepted:?}");
    cluster.nodes[1].wait_for_decision("release:2", IN_FORCE);
    let late_node = cluster.add_node("east-a");
    cluster.nodes[late_node].wait_for_decision("release:2", IN_FORCE);
    for node in 0..cluster.nodes.len() {
        assert_eq!(
            status(&cluster, node)["release"]["revision"],
            json!(2),
            "node {node}"
        );
    }
}
