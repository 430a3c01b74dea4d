//! What a node does when the store tells of changes, or tells nothing.

use std::time::{Duration, Instant};

use super::support::{KEEP, MAX_CHANGES, Node, Script};

const OK: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\ndoneKEEP";
/// Time in which the users want a configuration in force, and a leaving server without new work.
const APPLIED: Duration = Duration::from_secs(2);
/// Time after the store's return in which servers that lapsed meanwhile register again.
const RETURN: Duration = Duration::from_secs(2);
/// Time without the store after which entries may have lapsed on its account.
const AWAY: Duration = Duration::from_millis(1_500);

/// Starts a node before servers that answer all requests.
fn node() -> Node {
    assert!(OK.ends_with(KEEP), "servers take many requests");
    Node::start(&[OK; 4_000])
}

/// Sends requests until the answers to some in a row satisfy a condition; returns whether they did
/// in time.
fn comes_true(node: &Node, most: Duration, holds: impl Fn(&str, Option<&str>) -> bool) -> bool {
    let start = Instant::now();
    let mut in_a_row = 0;
    while in_a_row < 8 {
        if start.elapsed() > most {
            return false;
        }
        let answer = node.call("GET", "/safe/x");
        let server = node.last_server();
        in_a_row = if holds(&answer, server.as_deref()) {
            in_a_row + 1
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
fn a_configuration_is_in_force_in_time_and_never_reverts() {
    let node = node();
    assert!(is_served(&node.call("GET", "/safe/x")));
    node.store.put("configuration", "7");
    assert!(
        comes_true(&node, APPLIED, has_no_route),
        "the new configuration is not in force"
    );
    node.store.put("configuration", "1");
    assert!(
        !comes_true(&node, APPLIED, serves),
        "an older configuration came back"
    );
    node.stop();
}

#[test]
fn a_configuration_of_the_time_without_the_store_is_in_force_after_its_return() {
    let node = node();
    node.store.set_away(true);
    node.store.put("configuration", "7");
    assert!(
        comes_true(&node, APPLIED, serves),
        "a node without the store does not serve on"
    );
    node.store.set_away(false);
    assert!(
        comes_true(&node, APPLIED, has_no_route),
        "the new configuration is not in force"
    );
    node.stop();
}

#[test]
fn a_leaving_server_gets_no_new_work() {
    let node = node();
    node.call("GET", "/safe/x");
    let leaving = node.last_server().expect("a server took the request");
    // Either one of the two may be the one that leaves.
    for id in ["s0", "s1"] {
        node.store.put(&format!("servers/{id}"), "draining");
        let has_left = comes_true(&node, APPLIED, |answer, server| {
            is_served(answer) && server != Some(leaving.as_str())
        });
        if has_left {
            node.stop();
            return;
        }
        node.store.put(&format!("servers/{id}"), "");
    }
    panic!("a leaving server gets new work");
}

#[test]
fn servers_that_lapse_while_the_store_is_away_get_time_to_register_again() {
    let node = node();
    let away = Instant::now();
    node.store.set_away(true);
    node.store.delete("servers/s0");
    node.store.delete("servers/s1");
    while away.elapsed() < AWAY {
        assert!(comes_true(&node, APPLIED, serves), "without the store");
    }
    node.store.set_away(false);
    let back = Instant::now();
    while back.elapsed() < RETURN / 2 {
        assert!(comes_true(&node, APPLIED, serves), "after its return");
    }
    node.store.put("servers/s0", "");
    while back.elapsed() < RETURN * 2 {
        assert!(comes_true(&node, APPLIED, serves), "once one is back");
    }
    // The other one has not registered again in time.
    node.store.delete("servers/s0");
    assert!(
        comes_true(&node, APPLIED, has_no_server),
        "a server that is gone still gets work"
    );
    node.stop();
}

/// Load pattern: many servers write their registrations anew all the time.
#[test]
fn a_node_keeps_up_with_more_changes_than_one_answer_holds() {
    let node = node();
    assert!(is_served(&node.call("GET", "/safe/x")));
    for _ in 0..MAX_CHANGES * 12 {
        node.store.put("servers/of another writer", "");
    }
    node.store.delete("servers/s0");
    node.store.delete("servers/s1");
    assert!(
        comes_true(&node, APPLIED, has_no_server),
        "the servers' leaving is not known in time"
    );
    node.stop();
}
