//! Gossip between 8, 92 and 370 nodes: delay, traffic, partitions, restarts and removals.

mod fleet;

use std::collections::HashMap;

use fleet::{EPOCH_MS, Fleet, IN_FORCE_LIMIT, MAX_BYTES_PER_SECOND, ROUND, catalog, name, report};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::gossip::fact::Key;
use jackdaw_policy::gossip::node::REMOVE_ROUNDS;
use rstest::rstest;

/// Size of a fleet and percentage of messages that are lost.
struct Size {
    nodes: usize,
    zones: usize,
    loss_percent: u32,
}

#[rstest]
#[case::current_fleet(Size { nodes: 8, zones: 3, loss_percent: 0 })]
#[case::current_fleet_with_loss(Size { nodes: 8, zones: 3, loss_percent: 10 })]
#[case::one_zone_of_the_target(Size { nodes: 92, zones: 1, loss_percent: 0 })]
#[case::one_zone_with_loss(Size { nodes: 92, zones: 1, loss_percent: 10 })]
#[case::target_fleet(Size { nodes: 370, zones: 4, loss_percent: 0 })]
#[case::target_fleet_with_loss(Size { nodes: 370, zones: 4, loss_percent: 10 })]
fn change_reaches_every_node_within_the_bound(#[case] case: Size) {
    let mut fleet = Fleet::new(case.nodes, case.zones, case.loss_percent);
    let settled = fleet.settle();
    for revision in 1..=3 {
        let fact = catalog(revision);
        let now = fleet.now;
        let node = fleet.nodes[case.nodes / 2].as_mut().expect("runs");
        node.publish(fact.clone(), now);
        let took = fleet.run_until(Millis::from_secs(60), |fleet| fleet.all_hold(&fact));
        println!(
            "{} nodes, {} % lost: settled in {settled}, change everywhere in {took}",
            case.nodes, case.loss_percent
        );
        assert!(took <= IN_FORCE_LIMIT, "took {took}");
        fleet.run(Millis::from_secs(5));
    }
    assert_eq!(fleet.removals, 0, "a live node was removed");
}

#[rstest]
#[case::current_fleet(Size { nodes: 8, zones: 3, loss_percent: 0 })]
#[case::one_zone_of_the_target(Size { nodes: 92, zones: 1, loss_percent: 0 })]
#[case::target_fleet(Size { nodes: 370, zones: 4, loss_percent: 0 })]
fn node_stays_within_its_traffic_limit_idle_and_under_change(#[case] case: Size) {
    let span = Millis::from_secs(20);
    let mut fleet = Fleet::new(case.nodes, case.zones, case.loss_percent);
    fleet.settle();
    fleet.run(Millis::from_secs(10));
    let before = fleet.traffic;
    fleet.run(span);
    let (messages, bytes, framed) = fleet.bytes_per_second(before, span);
    println!(
        "{} nodes idle: {messages} messages/s, {bytes} B/s, {framed} B/s framed",
        case.nodes
    );
    assert!(framed <= MAX_BYTES_PER_SECOND, "idle {framed} B/s");

    // One release note and one changed report a second are far above 1,700 changes a day.
    let before = fleet.traffic;
    for second in 0..20 {
        let (now, unix_ms) = (fleet.now, EPOCH_MS + fleet.now.0);
        let node = fleet.nodes[second % case.nodes].as_mut().expect("runs");
        if second % 10 == 0 {
            node.publish(catalog(1 + second as u64), now);
        }
        node.publish(report(&format!("vm-{second}"), unix_ms), now);
        fleet.run(Millis::from_secs(1));
    }
    let (messages, bytes, framed) = fleet.bytes_per_second(before, span);
    println!(
        "{} nodes changing: {messages} messages/s, {bytes} B/s, {framed} B/s framed",
        case.nodes
    );
    assert!(framed <= MAX_BYTES_PER_SECOND, "under change {framed} B/s");
}

#[test]
fn lost_pushes_are_repaired_by_exchanges_only() {
    let reaches_all_nodes = |drops_exchanges: bool| {
        let mut fleet = Fleet::new(92, 4, 0);
        fleet.settle();
        fleet.loss_percent = 60;
        fleet.drops_exchanges = drops_exchanges;
        let (fact, now) = (catalog(1), fleet.now);
        let node = fleet.nodes[9].as_mut().expect("runs");
        node.publish(fact.clone(), now);
        fleet.run(Millis::from_secs(1));
        assert!(!fleet.all_hold(&fact), "no push was lost");
        // A repair takes four messages in a row, so it needs a network that mostly delivers.
        fleet.loss_percent = 10;
        fleet.run(Millis::from_secs(20));
        fleet.all_hold(&fact)
    };
    assert!(!reaches_all_nodes(true), "pushes alone reached every node");
    assert!(
        reaches_all_nodes(false),
        "exchanges did not repair lost pushes"
    );
}

/// A network partition that isolates some of the nodes.
struct Partition {
    nodes: usize,
    zones: usize,
    is_isolated: fn(usize) -> bool,
    duration: Millis,
}

#[rstest]
#[case::one_of_three_zones(Partition {
    nodes: 9, zones: 3, is_isolated: |node| node % 3 == 0, duration: Millis::from_secs(90) })]
#[case::two_of_four_zones(Partition {
    nodes: 92, zones: 4, is_isolated: |node| node % 4 < 2, duration: Millis::from_secs(90) })]
#[case::half_of_a_zone(Partition {
    nodes: 24, zones: 2, is_isolated: |node| node % 4 == 0, duration: Millis::from_secs(90) })]
#[case::single_node(Partition {
    nodes: 24, zones: 2, is_isolated: |node| node == 5, duration: Millis::from_secs(90) })]
fn healed_partition_converges_to_the_higher_revision(#[case] case: Partition) {
    let mut fleet = Fleet::new(case.nodes, case.zones, 0);
    fleet.settle();
    for node in 0..case.nodes {
        fleet.partitions[node] = u8::from((case.is_isolated)(node));
    }
    let (lower, higher) = (catalog(4), catalog(9));
    let now = fleet.now;
    let find_node =
        |isolated: bool| (0..case.nodes).find(|node| (case.is_isolated)(*node) == isolated);
    let (left, right) = (
        find_node(true).expect("some"),
        find_node(false).expect("some"),
    );
    fleet.nodes[left]
        .as_mut()
        .expect("runs")
        .publish(lower.clone(), now);
    fleet.nodes[right]
        .as_mut()
        .expect("runs")
        .publish(higher.clone(), now);
    fleet.run(case.duration);
    for node in 0..case.nodes {
        let held = fleet
            .node(node)
            .facts()
            .get(&Key::Catalog)
            .expect("published in each partition");
        let expected = if (case.is_isolated)(node) {
            &lower
        } else {
            &higher
        };
        assert_eq!(held, expected, "node {node} during the partition");
    }
    fleet.partitions.fill(0);
    let took = fleet.run_until(Millis::from_secs(120), |fleet| {
        fleet.all_hold(&higher)
            && fleet
                .running()
                .all(|node| node.facts().root() == fleet.root())
    });
    let until_full_view = fleet.run_until(Millis::from_secs(120), |fleet| {
        let now = fleet.now;
        fleet.running().all(|node| !node.is_isolated(now))
            && fleet
                .running()
                .map(|node| node.live_nodes(now).count())
                .sum::<usize>()
                == expected_live_nodes(case.nodes, case.zones)
    });
    println!(
        "{} nodes: same facts {took} after healing, all nodes live {until_full_view} later",
        case.nodes
    );
}

/// Returns the sum over all nodes of the nodes that each should see live in its zone.
fn expected_live_nodes(nodes: usize, zones: usize) -> usize {
    (0..zones)
        .map(|zone| (zone..nodes).step_by(zones).count())
        .map(|size| size * size)
        .sum()
}

#[test]
fn restarted_node_gets_all_facts_from_its_peers() {
    let mut fleet = Fleet::new(92, 4, 0);
    fleet.settle();
    let now = fleet.now;
    fleet.nodes[3]
        .as_mut()
        .expect("runs")
        .publish(catalog(5), now);
    for vm in 0..150 {
        let fact = report(&format!("vm-{vm}"), EPOCH_MS + now.0);
        fleet.nodes[vm % 92]
            .as_mut()
            .expect("runs")
            .publish(fact, now);
    }
    fleet.run(Millis::from_secs(20));
    fleet.nodes[50] = None;
    fleet.run(Millis::from_secs(2));
    let at = fleet.now;
    let node = fleet.start(50, at);
    fleet.nodes[50] = Some(node);
    let took = fleet.run_until(Millis::from_secs(30), |fleet| {
        fleet.node(50).facts().root() == fleet.root()
            && fleet
                .running()
                .all(|node| node.facts().root() == fleet.root())
    });
    assert_eq!(fleet.node(50).facts().len(), 92 + 150 + 1);
    assert!(took <= IN_FORCE_LIMIT, "took {took}");
}

fn vms(count: usize) -> Vec<String> {
    (0..count).map(|vm| format!("vm-{vm}")).collect()
}

#[test]
fn silent_node_loses_its_probes_and_is_then_removed() {
    let mut fleet = Fleet::new(24, 2, 0);
    fleet.settle();
    let silent: compact_str::CompactString = name(4).into();
    let (vms, now) = (vms(60), fleet.now);
    let count_probed = |fleet: &Fleet, now: Instant| {
        vms.iter()
            .filter(|vm| fleet.node(2).probers(vm, now).contains(&&silent))
            .count()
    };
    assert!(
        count_probed(&fleet, now) > 0,
        "the node has no VMs to probe"
    );
    fleet.nodes[4] = None;
    fleet.run(Millis::from_secs(15));
    assert_eq!(
        count_probed(&fleet, fleet.now),
        0,
        "a suspect node has VMs to probe"
    );
    let key = Key::Member(silent.clone());
    fleet.run_until(Millis(ROUND.0 * REMOVE_ROUNDS), |fleet| {
        fleet.running().all(|node| {
            let fact = node.facts().get(&key).expect("remembered");
            fact.as_member()
                .is_some_and(|(_, member)| member.removed_unix_ms > 0)
        })
    });
}

#[test]
fn each_vm_has_two_probers_and_no_node_has_too_many() {
    let mut fleet = Fleet::new(24, 1, 0);
    fleet.settle();
    let (vms, now) = (vms(150), fleet.now);
    let mut counts: HashMap<String, usize> = HashMap::new();
    for vm in &vms {
        let probers = fleet.node(0).probers(vm, now);
        assert_eq!(probers.len(), 2);
        assert_eq!(
            probers,
            fleet.node(17).probers(vm, now),
            "the nodes disagree on the probers"
        );
        for prober in probers {
            *counts.entry(prober.to_string()).or_default() += 1;
        }
    }
    let max_count = counts.values().max().copied().unwrap_or_default();
    assert!(
        max_count <= 4 * 2 * vms.len() / 24,
        "one node probes {max_count} VMs"
    );
}
