//! Tests of a node's reaction to changes in the store and to outages of the store.

use std::time::{Duration, Instant};

use super::store::MAX_CHANGES;
use super::support::{KEEP, Node, Script};

const OK: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\ndoneKEEP";
/// Time within which a configuration must be in force and a draining server must get no new work.
const APPLIED: Duration = Duration::from_secs(2);
/// Time in which a server whose entry lapsed during an outage of the store is expected to register
/// again.
const REREGISTRATION_TIME: Duration = Duration::from_secs(2);
/// Outage of the store that is long enough for entries to lapse because of it.
const OUTAGE: Duration = Duration::from_millis(1_500);

/// Starts a node with servers that answer all requests.
fn start_node() -> Node {
    assert!(OK.ends_with(KEEP), "the script keeps the connection open");
    Node::start(&[OK; 4_000])
}

/// Sends requests until a condition holds for eight consecutive answers, and returns whether it did
/// within a time.
fn holds_within(
    node: &Node,
    timeout: Duration,
    holds: impl Fn(&str, Option<&str>) -> bool,
) -> bool {
    let start = Instant::now();
    let mut consecutive = 0;
    while consecutive < 8 {
        if start.elapsed() > timeout {
            return false;
        }
        let answer = node.call("GET", "/safe/x");
        let server = node.last_server();
        consecutive = if holds(&answer, server.as_deref()) {
            consecutive + 1
        } else {
            0
        };
    }
    true
}

fn is_served(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 200")
}

fn serves(answer: &str, _: Option<&str>) -> bool {
    is_served(answer)
}

fn has_no_route(answer: &str, _: Option<&str>) -> bool {
    answer.starts_with("HTTP/1.1 404")
}

fn has_no_server(answer: &str, _: Option<&str>) -> bool {
    answer.starts_with("HTTP/1.1 503")
}

#[test]
fn a_newer_configuration_takes_effect_in_time_and_an_older_one_is_ignored() {
    let node = start_node();
    assert!(is_served(&node.call("GET", "/safe/x")));
    node.store.put("configuration", "7");
    assert!(
        holds_within(&node, APPLIED, has_no_route),
        "the new configuration is not in force"
    );
    node.store.put("configuration", "1");
    assert!(
        !holds_within(&node, APPLIED, serves),
        "an older configuration replaced a newer one"
    );
    node.stop();
}

#[test]
fn a_configuration_written_during_a_store_outage_takes_effect_after_it() {
    let node = start_node();
    node.store.set_unavailable(true);
    node.store.put("configuration", "7");
    assert!(
        holds_within(&node, APPLIED, serves),
        "the node does not serve during the outage of the store"
    );
    node.store.set_unavailable(false);
    assert!(
        holds_within(&node, APPLIED, has_no_route),
        "the new configuration is not in force"
    );
    node.stop();
}

#[test]
fn a_draining_server_gets_no_new_work() {
    let node = start_node();
    node.call("GET", "/safe/x");
    let draining = node.last_server().expect("a server took the request");
    // The test does not know which of the two servers took the request, so each drains in turn.
    for id in ["s0", "s1"] {
        node.store.put(&format!("servers/{id}"), "draining");
        let gets_no_work = holds_within(&node, APPLIED, |answer, server| {
            is_served(answer) && server != Some(draining.as_str())
        });
        if gets_no_work {
            node.stop();
            return;
        }
        node.store.put(&format!("servers/{id}"), "");
    }
    panic!("a draining server gets new work");
}

#[test]
fn servers_whose_entries_lapse_during_a_store_outage_serve_until_the_reregistration_time_ends() {
    let node = start_node();
    let outage_start = Instant::now();
    node.store.set_unavailable(true);
    node.store.delete("servers/s0");
    node.store.delete("servers/s1");
    while outage_start.elapsed() < OUTAGE {
        assert!(
            holds_within(&node, APPLIED, serves),
            "no server serves during the outage of the store"
        );
    }
    node.store.set_unavailable(false);
    let outage_end = Instant::now();
    while outage_end.elapsed() < REREGISTRATION_TIME / 2 {
        assert!(
            holds_within(&node, APPLIED, serves),
            "no server serves after the outage of the store"
        );
    }
    node.store.put("servers/s0", "");
    while outage_end.elapsed() < REREGISTRATION_TIME * 2 {
        assert!(
            holds_within(&node, APPLIED, serves),
            "no server serves after one has registered again"
        );
    }
    // The other server has not registered again in time, so none is left after this one leaves.
    node.store.delete("servers/s0");
    assert!(
        holds_within(&node, APPLIED, has_no_server),
        "a removed server still gets work"
    );
    node.stop();
}

/// Guards against a growing backlog when many servers rewrite their registrations all the time: the
/// deletions follow more changes than one answer of the store holds.
#[test]
fn servers_deleted_behind_a_backlog_of_changes_get_no_work_in_time() {
    let node = start_node();
    assert!(is_served(&node.call("GET", "/safe/x")));
    for _ in 0..MAX_CHANGES * 12 {
        node.store.put("servers/of another writer", "");
    }
    node.store.delete("servers/s0");
    node.store.delete("servers/s1");
    assert!(
        holds_within(&node, APPLIED, has_no_server),
        "the deletion of the servers does not take effect in time"
    );
    node.stop();
}
