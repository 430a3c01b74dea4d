//! Tests of a stop that follows the start at once.

mod support;

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use futures::executor::block_on;
use support::node::{Node, options};

/// Nodes that start at the same time, so many that their threads wait for the processor.
const NODES: usize = 64;

/// Limit on a wait, so that a hang becomes a failure.
const TIMEOUT: Duration = Duration::from_secs(30);

// Guards against a node that never ends because its server misses a stop right after its start.
#[test]
fn nodes_that_are_stopped_right_after_their_start_end() {
    let (end_sender, ends) = mpsc::channel();
    for _ in 0..NODES {
        let end_sender = end_sender.clone();
        thread::spawn(move || {
            let node = Node::start(options(), &[]);
            block_on(node.server.stop());
            let _ = end_sender.send(());
        });
    }
    let ended = (0..NODES).map_while(|_| ends.recv_timeout(TIMEOUT).ok());
    assert_eq!(ended.count(), NODES, "nodes that ended");
}
