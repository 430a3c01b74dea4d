//! Tests of nodes whose calls for changes of the store hear of none.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rstest::rstest;

use super::cluster::{Cluster, Member};

/// Time within which a configuration must be in force.
pub(crate) const APPLIED: Duration = Duration::from_secs(2);
/// Nodes of a cluster; the last one is the one that is looked at.
const NODES: usize = 3;

/// What keeps the last node from hearing of a new configuration.
#[derive(Clone, Copy, Debug)]
struct Silence {
    name: &'static str,
    /// Whether the calls of all nodes hear of no change, and not only those of the last one.
    is_common: bool,
    /// Whether the store fails the last node's other calls.
    is_cut_from_store: bool,
    /// Whether no datagram reaches the last node.
    is_cut_from_peers: bool,
}

/// Waits until a node has a configuration without the route in force, and returns the time it took.
fn time_until_applied(node: &Member, since: Instant) -> Duration {
    loop {
        let answer = node.call("r", "/safe/x");
        if answer.starts_with("HTTP/1.1 404") || since.elapsed() > 2 * APPLIED {
            return since.elapsed();
        }
        std::thread::yield_now();
    }
}

// Guards against a node that serves an old configuration because its call for changes, on a connection
// that lives, hears of none.
#[rstest]
#[case(Silence { name: "one node", is_common: false, is_cut_from_store: false, is_cut_from_peers: false })]
#[case(Silence { name: "one node that the store turns away", is_common: false, is_cut_from_store: true, is_cut_from_peers: false })]
#[case(Silence { name: "one node that hears no peer", is_common: false, is_cut_from_store: false, is_cut_from_peers: true })]
#[case(Silence { name: "all nodes", is_common: true, is_cut_from_store: false, is_cut_from_peers: false })]
fn configuration_is_in_force_in_time_although_the_store_says_nothing(#[case] case: Silence) {
    let cluster = Cluster::start(NODES, 2);
    let node = &cluster.nodes[NODES - 1];
    for other in &cluster.nodes {
        other.feed.is_deaf.store(case.is_common, Ordering::SeqCst);
    }
    node.feed.is_deaf.store(true, Ordering::SeqCst);
    node.feed
        .is_cut
        .store(case.is_cut_from_store, Ordering::SeqCst);
    if case.is_cut_from_peers {
        cluster.cut_off(NODES - 1);
    }
    cluster.store.put("configuration", "7");
    let took = time_until_applied(node, Instant::now());
    assert!(took <= APPLIED, "{}: took {took:?}", case.name);
}

/// Waits until a node's requests reach only one of two servers, and returns the time it took.
fn time_until_left_out(
    cluster: &Cluster,
    node: &Member,
    leaving: &str,
    since: Instant,
) -> Duration {
    let mut consecutive = 0;
    while consecutive < 8 && since.elapsed() <= 2 * APPLIED {
        cluster.servers.take_answered();
        node.call("r", "/safe/x");
        let answered = cluster.servers.take_answered();
        consecutive = if answered.iter().any(|server| server == leaving) {
            0
        } else {
            consecutive + 1
        };
    }
    since.elapsed()
}

/// Checks that a node leaves out each server in time while it is leaving, and sends to it after that.
fn assert_changes_are_known(cluster: &Cluster, node: &Member) {
    for leaving in ["s0", "s1"] {
        cluster.store.put(&format!("servers/{leaving}"), "draining");
        let took = time_until_left_out(cluster, node, leaving, Instant::now());
        assert!(took <= APPLIED, "{leaving}: took {took:?}");
        cluster.store.put(&format!("servers/{leaving}"), "2");
        let took = time_until_answered_by(cluster, node, leaving, Instant::now());
        assert!(took <= APPLIED, "{leaving} is back: took {took:?}");
    }
}

// Guards against a node that sends requests to a leaving server because the store turns the node away;
// the nodes that read the store pass on what changes.
#[test]
fn leaving_server_gets_no_work_from_a_node_that_the_store_turns_away() {
    let cluster = Cluster::start(NODES, 2);
    let node = &cluster.nodes[NODES - 1];
    node.feed.is_cut.store(true, Ordering::SeqCst);
    node.call("r", "/safe/x");
    assert_changes_are_known(&cluster, node);
}

/// Waits until a node's request reaches a server, and returns the time it took.
fn time_until_answered_by(
    cluster: &Cluster,
    node: &Member,
    server: &str,
    since: Instant,
) -> Duration {
    loop {
        node.call("r", "/safe/x");
        let answered = cluster.servers.take_answered();
        if answered.iter().any(|answered| answered == server) || since.elapsed() > 2 * APPLIED {
            return since.elapsed();
        }
    }
}

/// Number of malformed datagrams.
const DATAGRAMS: usize = 3_000;

/// Returns bytes that begin like a field of a datagram: its number, its kind and its length.
fn malformed_datagram(random: &mut fastrand::Rng) -> Vec<u8> {
    let field = random.u32(1..=24);
    let kind = random.choice([0, 1, 2, 5]).expect("there are kinds");
    let tag = field << 3 | kind;
    let mut datagram = Vec::new();
    if tag > 0x7f {
        datagram.extend([tag as u8 | 0x80, (tag >> 7) as u8]);
    } else {
        datagram.push(tag as u8);
    }
    let len = random.usize(0..64);
    if kind == 2 {
        // Sometimes more than follows.
        datagram.push((len + random.usize(0..3)) as u8);
    }
    datagram.extend((0..len).map(|_| random.u8(..)));
    datagram
}

// Guards against a message that takes a whole process down.
#[test]
fn malformed_datagrams_end_no_node() {
    let cluster = Cluster::start(2, 2);
    let node = &cluster.nodes[1];
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let mut random = fastrand::Rng::with_seed(7);
    for _ in 0..DATAGRAMS {
        let datagram = malformed_datagram(&mut random);
        let sent = socket.send_to(&datagram, node.datagrams());
        sent.expect("the datagram is sent");
    }
    assert_changes_are_known(&cluster, node);
}
