//! Streams and poison requests through real processes, while replicas crash.

mod support;

use std::sync::Arc;
use std::thread;

use jackdaw_core::units::Millis;
use jackdaw_standin::engine::{Engine, POISON};
use jackdaw_standin::tokens;
use rstest::rstest;
use support::Cluster;

/// Tokens of one stream.
const TOKENS: u64 = 60;

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

/// What happens to the engine that serves a stream.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Crash,
    /// Its open connections and its reports fall silent.
    Pause,
}

#[rstest]
#[case::crash(Fault::Crash)]
#[case::pause(Fault::Pause)]
fn a_stream_goes_on_at_another_replica(#[case] fault: Fault) {
    let mut cluster = Cluster::start(Millis(20));
    let node = cluster.add_node("east-a");
    wait_for_groups(&cluster, node);
    let engines = engines(&cluster);
    let caller = cluster.caller(node);
    let stream = thread::spawn(move || caller.stream("marble", TOKENS));
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
    let answer = stream.join().expect("an answer");
    serving.set_paused(false);
    let whole = (tokens::answer("marble", TOKENS), true);
    assert_eq!(answer.stream(), whole, "{answer:?}");
    let served = engines.iter().filter(|engine| engine.served() > 0).count();
    assert_eq!(served, 2);
}

#[test]
fn a_poison_request_costs_two_replicas_and_then_none_at_any_node_of_the_zone() {
    let mut cluster = Cluster::start(Millis(0));
    let first = cluster.add_node("east-a");
    let second = cluster.add_node("east-a");
    wait_for_groups(&cluster, first);
    wait_for_groups(&cluster, second);
    let engines = engines(&cluster);
    let crashed = || engines.iter().filter(|engine| engine.is_crashed()).count();
    let prompt = format!("{POISON} slate");

    let answer = cluster.caller(first).complete(&prompt, 4);
    assert_eq!(answer.status, 422, "{answer:?}");
    assert_eq!(answer.outcome, "unknown");
    assert_eq!(crashed(), 2);

    cluster.nodes[first].wait_for_decision("request:digest-", "refused for");
    cluster.nodes[second].wait_for_decision("request:digest-", "refused for");
    for engine in &engines {
        engine.reset();
    }
    for node in [first, second] {
        let again = cluster.caller(node).complete(&prompt, 4);
        assert_eq!(again.status, 422, "{again:?}");
        assert_eq!(again.outcome, "not-run");
        assert!(again.retry_after);
    }
    assert_eq!(crashed(), 0);
}
