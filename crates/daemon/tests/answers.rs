//! Streams and poison requests while replicas crash, with real daemons.

mod support;

use std::sync::Arc;
use std::thread;

use jackdaw_core::units::Millis;
use jackdaw_standin::engine::{Engine, POISON};
use jackdaw_standin::tokens;
use rstest::rstest;
use support::Cluster;

/// Tokens of one stream.
const STREAM_TOKENS: u64 = 60;

/// Returns all engines of the fleet.
fn engines(cluster: &Cluster) -> Vec<Arc<Engine>> {
    let fleet = cluster.platform.fleet();
    let names: Vec<_> = fleet.names().cloned().collect();
    names
        .iter()
        .filter_map(|name| fleet.engine(name).cloned())
        .collect()
}

fn wait_for_groups(cluster: &Cluster, node: usize) {
    for group in ["group:east-a/1", "group:east-a/2"] {
        cluster.nodes[node].wait_for_decision(group, "group is whole");
    }
}

/// Fault of the engine that serves the stream.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Crash,
    /// Open connections and reports go silent.
    Pause,
}

#[rstest]
#[case::crash(Fault::Crash)]
#[case::pause(Fault::Pause)]
fn stream_continues_on_another_replica_after_a_fault(#[case] fault: Fault) {
    let mut cluster = Cluster::start(Millis(20));
    let node = cluster.add_node("east-a");
    wait_for_groups(&cluster, node);
    let engines = engines(&cluster);
    let caller = cluster.caller(node);
    let stream = thread::spawn(move || caller.stream_completion("marble", STREAM_TOKENS));
    let serving = loop {
        if let Some(engine) = engines.iter().find(|engine| engine.served() > 0) {
            break engine;
        }
        thread::yield_now();
    };
    match fault {
        Fault::Crash => serving.crash(),
        Fault::Pause => serving.set_paused(true),
    }
    let response = stream.join().expect("the caller's thread ends");
    serving.set_paused(false);
    let expected = (tokens::answer("marble", STREAM_TOKENS), true);
    assert_eq!(response.streamed_text(), expected, "{response:?}");
    let served = engines.iter().filter(|engine| engine.served() > 0).count();
    assert_eq!(served, 2);
}

#[test]
fn poison_request_crashes_two_replicas_and_is_then_refused_by_all_nodes_of_the_zone() {
    let mut cluster = Cluster::start(Millis(0));
    let first = cluster.add_node("east-a");
    let second = cluster.add_node("east-a");
    wait_for_groups(&cluster, first);
    wait_for_groups(&cluster, second);
    let engines = engines(&cluster);
    let crashed = || engines.iter().filter(|engine| engine.is_crashed()).count();
    let prompt = format!("{POISON} slate");

    let response = cluster.caller(first).complete(&prompt, 4);
    assert_eq!(response.status, 422, "{response:?}");
    assert_eq!(response.outcome, "unknown");
    assert_eq!(crashed(), 2);

    cluster.nodes[first].wait_for_decision("request:digest-", "refused for");
    cluster.nodes[second].wait_for_decision("request:digest-", "refused for");
    for engine in &engines {
        engine.reset();
    }
    for node in [first, second] {
        let repeat = cluster.caller(node).complete(&prompt, 4);
        assert_eq!(repeat.status, 422, "{repeat:?}");
        assert_eq!(repeat.outcome, "not-run");
        assert!(repeat.retry_after);
    }
    assert_eq!(crashed(), 0);
}
