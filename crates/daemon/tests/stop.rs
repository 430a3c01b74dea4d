//! Planned stops, with real daemons: a leader hands over, a stream in flight completes, and a
//! withdrawn model drains.

mod support;

use std::thread;

use jackdaw_core::note::Note;
use jackdaw_core::units::{Millis, Revision};
use jackdaw_standin::tokens;
use jackdawstair::control::release;
use jackdawstair::policy::release::accept::Attempt;
use support::placement::History;
use support::{Cluster, NodeOverrides};

const ZONE: &str = "zone:east-a";

/// Tokens of a stream that is still in flight while the node stops.
const STREAM_TOKENS: u64 = 100;

/// Time between two tokens of the stream.
const TOKEN_INTERVAL: Millis = Millis(20);

const ENGINES_CHECK_FENCE: NodeOverrides = NodeOverrides {
    fail_points: "",
    timing: "engines_check_fence: true\n",
};

/// Starts two nodes of a zone and waits until both consider both groups whole; the first leads.
fn start_settled_cluster() -> Cluster {
    let mut cluster = Cluster::start(TOKEN_INTERVAL);
    cluster.add_node_with("east-a", ENGINES_CHECK_FENCE);
    cluster.nodes[0].wait_for_decision(ZONE, "this node leads");
    cluster.add_node_with("east-a", ENGINES_CHECK_FENCE);
    for node in &cluster.nodes {
        node.wait_for_decision("group:east-a/1", "group is whole");
        node.wait_for_decision("group:east-a/2", "group is whole");
    }
    cluster
}

/// Waits until an engine is running a completion.
fn wait_for_running_completion(cluster: &Cluster) {
    let is_any_running = || {
        let fleet = cluster.platform.fleet();
        let mut engines = fleet.names().filter_map(|vm| fleet.engine(vm));
        engines.any(|engine| engine.report().load.running > 0)
    };
    while !is_any_running() {
        thread::yield_now();
    }
}

#[test]
fn stopping_leader_finishes_its_stream_and_hands_over() {
    let mut cluster = start_settled_cluster();
    let caller = cluster.caller(0);
    let stream = thread::spawn(move || caller.stream_completion("marble", STREAM_TOKENS));
    wait_for_running_completion(&cluster);
    cluster.nodes[0].signal("TERM");
    cluster.nodes[0].wait_for_decision(ZONE, "lease handed over");
    cluster.nodes[1].wait_for_decision(ZONE, "this node leads");
    let response = stream.join().expect("the caller's thread ends");
    assert_eq!(
        response.streamed_text(),
        (tokens::answer("marble", STREAM_TOKENS), true)
    );
    assert!(cluster.nodes[0].wait_for_exit().success());
}

#[test]
fn withdrawn_model_drains_and_frees_its_vms() {
    let cluster = start_settled_cluster();
    let mut history = History::follow(cluster.platform.memory(), "east-a");
    let caller = cluster.caller(0);
    let stream = thread::spawn(move || caller.stream_completion("marble", STREAM_TOKENS));
    wait_for_running_completion(&cluster);
    let yaml = "id: second\nbase: 0\nsummary: Withdraw\nmodels:\n  withdraw: [large]\n";
    let mut note: Note = serde_saphyr::from_str(yaml).expect("the note parses");
    let memory = cluster.platform.memory();
    let stored = futures::executor::block_on(release::read_catalog(memory));
    let base = stored
        .expect("the catalogue is read")
        .expect("a catalogue is stored")
        .catalog
        .revision;
    note.base = base;
    let attempt = Attempt::new(note, Revision(base.0), "test", 2);
    let accepted = futures::executor::block_on(release::accept(memory, attempt));
    assert!(accepted.catalog.is_some(), "{:?}", accepted.verdict);
    cluster.nodes[0].wait_for_decision("group:east-a/", "group drains");
    let response = stream.join().expect("the caller's thread ends");
    assert_eq!(
        response.streamed_text(),
        (tokens::answer("marble", STREAM_TOKENS), true)
    );
    history.wait_for_placement(|placement| placement.groups.is_empty());
    let refused = cluster.caller(0).complete("slate", 1);
    assert_ne!(refused.status, 200, "{refused:?}");
}

/// A node that may not take longer than six seconds to stop.
const SHORT_GRACE: NodeOverrides = NodeOverrides {
    fail_points: "",
    timing: "  grace_period: 6s\n",
};

/// Tokens of a stream that would last far longer than the grace period.
const ENDLESS_STREAM_TOKENS: u64 = 100_000;

// Guards against a stop that waits for its longest request until the supervisor sends SIGKILL.
#[test]
fn stream_is_told_and_logged_when_the_grace_period_ends() {
    let mut cluster = Cluster::start(TOKEN_INTERVAL);
    cluster.add_node_with("east-a", SHORT_GRACE);
    cluster.nodes[0].wait_for_decision("group:east-a/1", "group is whole");
    let caller = cluster.caller(0);
    let stream = thread::spawn(move || caller.stream_completion("marble", ENDLESS_STREAM_TOKENS));
    wait_for_running_completion(&cluster);
    cluster.nodes[0].signal("TERM");
    let response = stream.join().expect("the caller's thread ends");
    let (_, error) = response
        .body
        .split_once("event: error")
        .expect("an error event");
    assert!(error.contains("\"outcome\":\"unknown\""), "{error}");
    assert!(cluster.nodes[0].wait_for_exit().success());
    let warning = cluster.nodes[0]
        .wait_for_line(|line| line["msg"] == "grace period ended with requests in flight");
    assert_eq!(warning["in_flight"], 1);
    cluster.nodes[0].wait_for_line(|line| line["msg"] == "node stopped");
}

// Guards against a signal that ends the process under its requests: one that means a change of the
// settings elsewhere, and one that comes again during the stop.
#[test]
fn hangups_and_repeated_signals_do_not_cut_a_stream() {
    let mut cluster = Cluster::start(TOKEN_INTERVAL);
    cluster.add_node("east-a");
    cluster.nodes[0].wait_for_decision("group:east-a/1", "group is whole");
    let caller = cluster.caller(0);
    let stream = thread::spawn(move || caller.stream_completion("marble", STREAM_TOKENS));
    wait_for_running_completion(&cluster);
    cluster.nodes[0].signal("HUP");
    cluster.nodes[0].wait_for_line(|line| line["msg"] == "SIGHUP ignored");
    cluster.nodes[0].signal("TERM");
    cluster.nodes[0].wait_for_line(|line| line["msg"] == "node stopping");
    for signal in ["TERM", "HUP", "INT"] {
        cluster.nodes[0].signal(signal);
    }
    let response = stream.join().expect("the caller's thread ends");
    assert_eq!(
        response.streamed_text(),
        (tokens::answer("marble", STREAM_TOKENS), true)
    );
    assert!(cluster.nodes[0].wait_for_exit().success());
}
