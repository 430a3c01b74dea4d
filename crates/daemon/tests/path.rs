//! Requests from a caller to the backend servers and back, with real daemons.

mod support;

use jackdaw_core::units::Millis;
use jackdaw_standin::tokens;
use support::Cluster;

/// Tokens of one completion.
const COMPLETION_TOKENS: u64 = 8;

#[test]
fn completion_stream_and_shipment_are_served_end_to_end() {
    let mut cluster = Cluster::start(Millis(0));
    let node = cluster.add_node("east-a");
    cluster.nodes[node].wait_for_decision("group:east-a/1", "group is whole");
    let caller = cluster.caller(node);

    let completion = caller.complete("slate", COMPLETION_TOKENS);
    assert_eq!(
        (completion.status, completion.outcome.as_str()),
        (200, "completed"),
        "{completion:?}"
    );
    assert_eq!(
        completion.text(),
        tokens::answer("slate", COMPLETION_TOKENS)
    );

    let stream = caller.stream_completion("marble", COMPLETION_TOKENS);
    assert_eq!(
        stream.streamed_text(),
        (tokens::answer("marble", COMPLETION_TOKENS), true)
    );

    let shipment = caller.create_shipment("order-1", 7);
    assert_eq!(
        (shipment.status, shipment.outcome.as_str()),
        (200, "completed"),
        "{shipment:?}"
    );
    let executions = cluster
        .platform
        .fleet()
        .executions("orders")
        .map(|all| all.count("order-1"));
    assert_eq!(executions, Some(1));
}
