//! Planned stops, through real daemons: a leader hands over, a stream in flight ends whole, and a
//! withdrawn model drains.

mod support;

use std::thread;

use jackdaw_core::note::Note;
use jackdaw_core::units::{Millis, Revision};
use jackdaw_standin::tokens;
use jackdawstair::control::release;
use jackdawstair::policy::release::accept::Attempt;
use support::zone::History;
use support::{Cluster, Extra};

const ZONE: &str = "zone:east-a";

/// Tokens of a stream that lasts while the node stops.
const LONG: u64 = 100;

/// Time between two tokens of that stream.
const TOKEN_INTERVAL: Millis = Millis(20);

const CHECKED: Extra = Extra {
    fail_points: "",
    timing: "engines_check_fence: true\n",
};

/// Starts two nodes of a zone that both see both groups whole; the first leads.
fn settled() -> Cluster {
    let mut cluster = Cluster::start(TOKEN_INTERVAL);
    cluster.add_node_with("east-a", CHECKED);
    cluster.nodes[0].wait_for_decision(ZONE, "this node leads");
    cluster.add_node_with("east-a", CHECKED);
    for node in &cluster.nodes {
        node.wait_for_decision("group:east-a/1", "group is whole");
        node.wait_for_decision("group:east-a/2", "group is whole");
    }
    cluster
}

/// Waits until an engine has begun a completion.
fn wait_for_work(cluster: &Cluster) {
    let busy = || {
        let fleet = cluster.platform.fleet();
        let mut engines = fleet.names().filter_map(|vm| fleet.engine(vm));
        engines.any(|engine| engine.report().load.running > 0)
    };
    while !busy() {
        thread::yield_now();
    }
}

#[test]
fn stopping_leader_finishes_its_stream_and_hands_over() {
    let mut cluster = settled();
    let caller = cluster.caller(0);
    let stream = thread::spawn(move || caller.stream("marble", LONG));
    wait_for_work(&cluster);
    cluster.nodes[0].signal("TERM");
    cluster.nodes[0].wait_for_decision(ZONE, "lease handed over");
    cluster.nodes[1].wait_for_decision(ZONE, "this node leads");
    let answer = stream.join().expect("stream");
    assert_eq!(answer.stream(), (tokens::answer("marble", LONG), true));
    assert!(cluster.nodes[0].wait_for_exit().success());
}

#[test]
fn withdrawn_model_drains_and_frees_its_vms() {
    let cluster = settled();
    let mut history = History::follow(cluster.platform.memory(), "east-a");
    let caller = cluster.caller(0);
    let stream = thread::spawn(move || caller.stream("marble", LONG));
    wait_for_work(&cluster);
    let yaml = "id: second\nbase: 0\nsummary: Withdraw\nmodels:\n  withdraw: [large]\n";
    let mut note: Note = serde_saphyr::from_str(yaml).expect("note");
    let memory = cluster.platform.memory();
    let stored = futures::executor::block_on(release::read_catalog(memory));
    let base = stored.expect("catalogue").expect("stored").catalog.revision;
    note.base = base;
    let attempt = Attempt::new(note, Revision(base.0), "test", 2);
    let accepted = futures::executor::block_on(release::accept(memory, attempt));
    assert!(accepted.catalog.is_some(), "{:?}", accepted.verdict);
    cluster.nodes[0].wait_for_decision("group:east-a/", "group drains");
    let answer = stream.join().expect("stream");
    assert_eq!(answer.stream(), (tokens::answer("marble", LONG), true));
    history.wait_for(|placement| placement.groups.is_empty());
    let refused = cluster.caller(0).complete("slate", 1);
    assert_ne!(refused.status, 200, "{refused:?}");
}
