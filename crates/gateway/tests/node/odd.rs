//! Nodes that follow a store in which another writer leaves odd entries among sound ones.

use std::sync::atomic::Ordering;
use std::time::Instant;

use rstest::rstest;
use slog::Level;

use super::cluster::{Cluster, Member};
use super::freshness::APPLIED;
use super::lines::Lines;
use super::support::{KEEP, Node, Script, options};

const OK: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\ndoneKEEP";
/// Number of requests in a row that show that a server is left out; chance would leave out one of two
/// servers that often once in 4 billion tries.
const IN_A_ROW: usize = 32;
/// Number of times that an odd entry is written.
const WRITES: usize = 3;
/// Nodes of a cluster; the store turns the last one away.
const NODES: usize = 3;

/// Sends requests until they all reach other servers than those at an address, or a time is over.
fn is_left_out_in_time(node: &Node, address: &str) -> bool {
    let start = Instant::now();
    let mut consecutive = 0;
    while consecutive < IN_A_ROW && start.elapsed() < APPLIED {
        let answer = node.call("GET", "/safe/x");
        let is_served = answer.starts_with("HTTP/1.1 200");
        let is_elsewhere = node.last_server().as_deref() != Some(address);
        consecutive = if is_served && is_elsewhere {
            consecutive + 1
        } else {
            0
        };
    }
    consecutive == IN_A_ROW
}

/// Waits until a node's requests reach other servers only.
fn assert_left_out(cluster: &Cluster, node: &Member, server: &str) {
    let start = Instant::now();
    let mut consecutive = 0;
    while consecutive < IN_A_ROW {
        assert!(start.elapsed() < APPLIED, "{server} gets requests");
        cluster.servers.take_answered();
        let answer = node.call("r", "/safe/x");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let answered = cluster.servers.take_answered();
        let is_elsewhere = !answered.iter().any(|other| other == server);
        consecutive = if is_elsewhere { consecutive + 1 } else { 0 };
    }
}

/// Checks that a node leaves out each of two servers while it is leaving, and sends to it after that.
fn assert_changes_are_known(cluster: &Cluster, node: &Member) {
    for leaving in ["s0", "s1"] {
        let key = format!("servers/{leaving}");
        cluster.store.put(&key, "draining");
        assert_left_out(cluster, node, leaving);
        cluster.store.put(&key, "2");
        let start = Instant::now();
        let is_back = || {
            node.call("r", "/safe/x");
            let answered = cluster.servers.take_answered();
            answered.iter().any(|id| id == leaving)
        };
        while !is_back() {
            assert!(start.elapsed() < APPLIED, "{leaving} gets no requests");
        }
    }
}

/// An entry that a node reads and cannot decode.
#[derive(Clone, Copy, Debug)]
struct OddEntry {
    key: &'static str,
    value: &'static str,
    /// Message of the line that names it.
    message: &'static str,
}

const ODD_ENTRIES: [OddEntry; 6] = [
    OddEntry {
        key: "servers/another",
        value: "odd",
        message: "registration cannot be decoded",
    },
    OddEntry {
        key: "servers/",
        value: "",
        message: "registration cannot be decoded",
    },
    OddEntry {
        key: "servers/deep/er",
        value: "odd [[[[",
        message: "registration cannot be decoded",
    },
    OddEntry {
        key: "configuration",
        value: "odd",
        message: "configuration cannot be decoded",
    },
    OddEntry {
        key: "jackdawstair/nodes/a",
        value: "nowhere",
        message: "address in a node's registration cannot be used",
    },
    OddEntry {
        key: "jackdawstair/nodes/b",
        value: "0.0.0.0:0",
        message: "address in a node's registration cannot be used",
    },
];

// Guards against a node that ends, stops following the store, or fills its log because of entries
// that it cannot decode.
#[test]
fn node_follows_the_sound_entries_beside_odd_ones() {
    assert!(OK.ends_with(KEEP), "the script keeps the connection open");
    let log = Lines::default();
    let node = Node::start_with(2, &[OK; 20_000], options("node"), log.logger());
    node.call("GET", "/safe/x");
    let address = node.last_server().expect("a server took the request");
    for _ in 0..WRITES {
        for odd in ODD_ENTRIES {
            node.store.put(odd.key, odd.value);
        }
        // The zone's leader, this node, is named under this key.
        node.store.put("jackdawstair/leader/zone", "\0odd");
    }
    for odd in ODD_ENTRIES {
        let line = log.wait_for(|line| line.message == odd.message && line.field("key") == odd.key);
        assert_eq!(line.level, Level::Warning, "{odd:?}");
    }
    // One of the two drains, and it is not known which took the request.
    let leaving = ["s0", "s1"].into_iter().find(|id| {
        node.store.put(&format!("servers/{id}"), "draining");
        let is_left_out = is_left_out_in_time(&node, &address);
        if !is_left_out {
            node.store.put(&format!("servers/{id}"), "");
        }
        is_left_out
    });
    assert!(
        leaving.is_some(),
        "a change of a sound entry is not followed"
    );
    // All entries are read anew once the store has come back.
    let copy = node.store.copy();
    node.store.restore(&copy);
    log.wait_for(|line| line.message == "store has come back from a copy");
    node.store.put("servers/late", "odd");
    log.wait_for(|line| line.field("key") == "servers/late");
    node.store.put("configuration", "7");
    log.wait_for(|line| {
        line.message == "configuration in force" && line.number("version") == Some(7)
    });
    for odd in ODD_ENTRIES {
        let mut lines = log.with_message(odd.message);
        lines.retain(|line| line.field("key") == odd.key);
        assert_eq!(lines.len(), 1, "{odd:?}: {lines:?}");
    }
    assert!(!node.process.has_ended(), "the node has ended");
    node.stop();
}

/// How a node learns of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// As a change.
    Change,
    /// Among all entries, which it reads as the store has compacted its history.
    Snapshot,
    /// From another node.
    Peer,
}

// Guards against a server whose entry was sound and gets requests although its entry can no longer be
// decoded, for as long as that stands.
#[rstest]
fn server_whose_entry_becomes_odd_gets_no_work_until_it_is_sound(
    #[values(Way::Change, Way::Snapshot, Way::Peer)] way: Way,
) {
    let cluster = Cluster::start(NODES, 2);
    let node = &cluster.nodes[NODES - 1];
    node.call("r", "/safe/x");
    match way {
        Way::Change => {}
        Way::Snapshot => {
            for node in &cluster.nodes {
                node.feed.is_deaf.store(true, Ordering::SeqCst);
            }
        }
        Way::Peer => node.feed.is_cut.store(true, Ordering::SeqCst),
    }
    cluster.store.put("servers/s0", "odd");
    assert_left_out(&cluster, node, "s0");
    assert_changes_are_known(&cluster, node);
}

// Guards against an entry that makes the datagrams which pass it on unreadable, or whose numbers end
// the nodes that hear of it: a node that the store turns away would learn of no later change.
#[rstest]
#[case::largest_numbers("start:18446744073709551615 slots:4294967295 group:x.1.1 epoch:18446744073709551615 rank:4294967295".to_owned())]
#[case::smallest_numbers("start:0 slots:0 group: epoch:0 rank:0".to_owned())]
#[case::long_name(format!("group:{}", "x".repeat(20_000)))]
fn odd_entry_that_nodes_pass_on_costs_no_other(#[case] value: String) {
    let cluster = Cluster::start(NODES, 3);
    let node = &cluster.nodes[NODES - 1];
    node.feed.is_cut.store(true, Ordering::SeqCst);
    node.call("r", "/safe/x");
    cluster.store.put("servers/s2", &value);
    assert_changes_are_known(&cluster, node);
}

// Guards against a node that does not become ready, ends or follows nothing because of what it finds
// in the store at its start.
#[test]
fn node_starts_among_odd_entries() {
    let mut cluster = Cluster::start(1, 2);
    for odd in ODD_ENTRIES {
        if odd.key != "configuration" {
            cluster.store.put(odd.key, odd.value);
        }
    }
    for (key, value) in [
        ("configuration/other", "odd"),
        ("jackdawstair/bans/odd", "1"),
        ("jackdawstair/bans/00000000000000ff", "odd"),
        ("jackdawstair/bans/00000000000000fe", "18446744073709551615"),
        ("jackdawstair/bans/00000000000000fd", "18446744073709551616"),
        ("jackdawstair/bans/00000000000000fc", "-1 lifted"),
        ("jackdawstair/leader/zone/other", "\0odd"),
    ] {
        cluster.store.put(key, value);
    }
    cluster.add_node();
    assert_changes_are_known(&cluster, &cluster.nodes[1]);
    assert_changes_are_known(&cluster, &cluster.nodes[0]);
    cluster.stop_nodes();
}
