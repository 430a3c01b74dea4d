//! Tests of nodes whose store comes back from a copy.

use std::thread;
use std::time::{Duration, Instant};

use super::cluster::Cluster;
use super::store::Copy;

/// Time within which a configuration must be in force.
const APPLIED: Duration = Duration::from_secs(2);
/// Time within which the nodes write again what the store has lost.
const REWRITTEN: Duration = Duration::from_secs(8);
/// Number of calls after which a server that got none is surely not chosen at random.
const MANY_CALLS: usize = 64;
/// Message of a node that has noticed the copy.
const NOTICED: &str = "store has come back from a copy";

/// Waits until a condition holds, and returns whether it does within a time.
fn holds_within(timeout: Duration, holds: impl Fn() -> bool) -> bool {
    let start = Instant::now();
    while !holds() {
        if start.elapsed() > timeout {
            return false;
        }
        thread::yield_now();
    }
    true
}

fn is_served(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 200")
}

fn has_no_route(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 404")
}

fn wait_noticed(cluster: &Cluster) {
    for node in &cluster.nodes {
        node.wait_logged(NOTICED);
    }
}

/// Waits until a server gets no work of the first node.
fn wait_without_work(cluster: &Cluster, server: &str) {
    let node = &cluster.nodes[0];
    let is_without = holds_within(APPLIED, || {
        cluster.servers.take_answered();
        (0..MANY_CALLS).for_each(|_| drop(node.call("r", "/safe/x")));
        !cluster.servers.take_answered().contains(&server.to_owned())
    });
    assert!(is_without, "the server still gets work");
}

/// Checks that for a while callers are served and a server gets no work.
fn assert_without_work(cluster: &Cluster, server: &str) {
    let start = Instant::now();
    while start.elapsed() < APPLIED {
        assert!(is_served(&cluster.nodes[0].call("r", "/safe/x")));
    }
    let answered = cluster.servers.take_answered();
    assert!(!answered.contains(&server.to_owned()), "it got work again");
}

// Guards against a draining server that gets new work again because its old entry is back.
#[test]
fn draining_server_stays_draining_when_its_entry_says_ready_again() {
    let cluster = Cluster::start(1, 2);
    let copy = cluster.store.copy();
    cluster.store.put("servers/s0", "draining");
    wait_without_work(&cluster, "s0");
    cluster.store.restore(&copy);
    wait_noticed(&cluster);
    assert_without_work(&cluster, "s0");
}

// Guards against callers who are refused because the copy lacks the servers that live.
#[test]
fn servers_that_the_copy_lacks_serve_until_they_register_again() {
    let cluster = Cluster::start(1, 2);
    let node = &cluster.nodes[0];
    let copy = cluster.store.copy();
    for server in ["s0", "s1"] {
        cluster.store.delete(&format!("servers/{server}"));
    }
    let without_servers = cluster.store.copy();
    cluster.store.restore(&copy);
    wait_noticed(&cluster);
    assert!(holds_within(APPLIED, || is_served(
        &node.call("r", "/safe/x")
    )));
    cluster.store.restore(&without_servers);
    let start = Instant::now();
    while start.elapsed() < APPLIED / 2 {
        assert!(is_served(&node.call("r", "/safe/x")));
    }
    for server in ["s0", "s1"] {
        cluster.store.put(&format!("servers/{server}"), "1");
    }
    while start.elapsed() < 2 * APPLIED {
        assert!(is_served(&node.call("r", "/safe/x")));
    }
}

// Guards against requests that go to a server that has ended since the copy.
#[test]
fn server_that_has_ended_since_the_copy_gets_requests_only_if_no_other_can() {
    let cluster = Cluster::start(1, 2);
    let copy = cluster.store.copy();
    cluster.store.delete("servers/s0");
    wait_without_work(&cluster, "s0");
    cluster.store.restore(&copy);
    wait_noticed(&cluster);
    assert_without_work(&cluster, "s0");
}

// Guards against a configuration that reverts, and a node that starts with the copy's.
#[test]
fn configuration_of_the_copy_is_not_in_force_where_a_newer_one_is_known() {
    let mut cluster = Cluster::start(3, 2);
    let copy = cluster.store.copy();
    cluster.store.put("configuration", "7");
    for node in &cluster.nodes {
        let is_applied = holds_within(APPLIED, || has_no_route(&node.call("r", "/safe/x")));
        assert!(is_applied, "the configuration is not in force");
    }
    cluster.store.restore(&copy);
    wait_noticed(&cluster);
    for node in &cluster.nodes {
        assert!(has_no_route(&node.call("r", "/safe/x")), "it reverted");
    }
    cluster.add_node();
    let node = &cluster.nodes[3];
    let is_applied = holds_within(APPLIED, || has_no_route(&node.call("r", "/safe/x")));
    assert!(is_applied, "the new node goes by the copy");
}

// Guards against a node that watches on from a revision of the earlier era.
#[test]
fn next_configuration_is_in_force_in_time_after_several_copies() {
    let cluster = Cluster::start(3, 2);
    for version in ["7", "9", "12"] {
        let copy = cluster.store.copy();
        (0..20).for_each(|_| cluster.store.put("op/other", ""));
        cluster.store.restore(&copy);
        // The counter passes the revisions that the nodes have seen.
        (0..40).for_each(|_| cluster.store.put("op/other", ""));
        cluster.store.put("configuration", version);
        let written = Instant::now();
        for node in &cluster.nodes {
            node.wait_logged(NOTICED);
            holds_within(2 * APPLIED, || has_no_route(&node.call("r", "/safe/x")));
        }
        assert!(written.elapsed() <= APPLIED, "took {:?}", written.elapsed());
    }
}

// Guards against bans and addresses that are lost with the copy.
#[test]
fn nodes_write_again_what_the_copy_lacks() {
    let mut cluster = Cluster::start(3, 8);
    let copy = cluster.store.copy();
    let mut count = 0;
    while !cluster.store.has_prefix("jackdawstair/bans/") {
        cluster.nodes[count % 3].call(&format!("r{count}"), "/safe/bad");
        count += 1;
    }
    cluster.store.restore(&copy);
    cluster.store.delete("jackdawstair/nodes/n0");
    assert!(!cluster.store.has_prefix("jackdawstair/bans/"));
    let is_rewritten = holds_within(REWRITTEN, || {
        cluster.store.has_prefix("jackdawstair/bans/")
            && cluster.store.has_prefix("jackdawstair/nodes/n0")
    });
    assert!(is_rewritten, "the ban or the address is lost");
    let before = cluster.servers.ended().len();
    cluster.stop_nodes();
    cluster.add_node();
    cluster.assert_refused_by_last("/safe/bad", before);
}

// Guards against a leader whose lease is gone, and a fencing number that comes back smaller.
#[test]
fn zone_has_a_leader_with_a_higher_fencing_number_after_each_copy() {
    const KEY: &str = "jackdawstair/leader/zone";
    let cluster = Cluster::start(3, 2);
    let fence = || cluster.store.entry(KEY).map(|entry| entry.create_revision);
    assert!(holds_within(REWRITTEN, || fence().is_some()), "no leader");
    let mut last = fence().expect("the key exists");
    for has_leader in [true, false] {
        let copy = if has_leader {
            cluster.store.copy()
        } else {
            Copy::default()
        };
        cluster.store.restore(&copy);
        cluster.store.end_earlier_leases();
        cluster.store.put("configuration", "1");
        let is_elected = holds_within(REWRITTEN, || fence().is_some());
        assert!(is_elected, "no leader after the copy");
        let next = fence().expect("the key exists");
        assert!(next > last, "{next} after {last}");
        last = next;
    }
}
