//! A zone without engines is served by another zone.

mod support;

use std::time::{Duration, Instant};

use jackdaw_core::units::Millis;
use support::Cluster;

/// Time after which a wait is given up, so that a hang becomes a failure.
const HANG: Duration = Duration::from_secs(60);

#[test]
fn zone_whose_engines_are_dark_is_served_by_another() {
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
    // Requests are refused until this zone knows its engines dark and the other one's groups.
    let start = Instant::now();
    let mut answer = caller.complete("slate", 4);
    while answer.status != 200 {
        assert!(start.elapsed() < HANG, "{answer:?}");
        answer = caller.complete("slate", 4);
    }
    assert_eq!(answer.outcome, "completed", "{answer:?}");
}
