//! Requests of a zone without live engines are served by another zone.

mod support;

use std::time::{Duration, Instant};

use jackdaw_core::units::Millis;
use support::Cluster;

/// Time limit of a wait; a hang becomes a test failure.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn zone_whose_engines_are_dead_is_served_by_another_zone() {
    let mut cluster = Cluster::start(Millis(0));
    for zone in support::ZONES {
        let node = cluster.add_node(zone);
        let group = format!("group:{zone}/1");
        cluster.nodes[node].wait_for_decision(&group, "group is whole");
    }
    let caller = cluster.caller(0);
    assert_eq!(
        caller.complete("slate", 4).status,
        200,
        "served by its own zone"
    );
    let engines: Vec<String> = cluster
        .platform
        .fleet()
        .names()
        .filter(|name| name.starts_with("east-a-engine"))
        .map(ToString::to_string)
        .collect();
    assert!(!engines.is_empty(), "the zone has engines");
    for engine in &engines {
        cluster.platform.fleet().kill(engine);
    }
    // Requests are refused until the node has detected that the engines of its own zone are dead
    // and has learnt of the groups of the other zone.
    let start = Instant::now();
    let mut response = caller.complete("slate", 4);
    while response.status != 200 {
        assert!(start.elapsed() < WAIT_TIMEOUT, "{response:?}");
        response = caller.complete("slate", 4);
    }
    assert_eq!(response.outcome, "completed", "{response:?}");
}
