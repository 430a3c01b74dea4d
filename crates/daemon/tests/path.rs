//! The whole path through real processes.

mod support;

use jackdaw_core::units::Millis;
use jackdaw_standin::tokens;
use support::Cluster;

/// Tokens of one completion.
const TOKENS: u64 = 8;

#[test]
fn a_request_is_served_from_end_to_end() {
    let mut cluster = Cluster::start(Millis(0));
    let node = cluster.add_node("east-a");
    cluster.nodes[node].wait_for_decision("group:east-a/1", "group is whole");
    let caller = cluster.caller(node);

    let whole = caller.complete("slate", TOKENS);
    assert_eq!(
        (whole.status, whole.outcome.as_str()),
        (200, "completed"),
        "{whole:?}"
    );
    assert_eq!(whole.text(), tokens::answer("slate", TOKENS));

    let stream = caller.stream("marble", TOKENS);
    assert_eq!(stream.stream(), (tokens::answer("marble", TOKENS), true));

    let order = caller.ship("order-1", 7);
    assert_eq!(
        (order.status, order.outcome.as_str()),
        (200, "completed"),
        "{order:?}"
    );
    let executions = cluster
        .platform
        .fleet()
        .executions("orders")
        .map(|all| all.count("order-1"));
    assert_eq!(executions, Some(1));
}
