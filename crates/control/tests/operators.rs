//! Start and end of the operators' port.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use jackdaw_control::admin::feed::Feed;
use jackdaw_control::admin::handle::Handle;
use jackdaw_control::admin::server::{Context, Server};
use jackdaw_control::metrics::Metrics;
use tokio::sync::mpsc::unbounded_channel;

/// Servers that start at the same time, so many that their threads wait for the processor.
const SERVERS: usize = 64;

/// Limit on a wait, so that a hang becomes a failure.
const TIMEOUT: Duration = Duration::from_secs(30);

fn start() -> Server {
    let (events, _) = unbounded_channel();
    let context = Context {
        handle: Handle::new(events, Feed::default()),
        operators: Arc::default(),
        metrics: Metrics::new().expect("metrics"),
    };
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Server::start(any, context).expect("operators' port")
}

// Guards against a node that never ends because its server misses a stop right after its start.
#[test]
fn servers_that_are_stopped_right_after_their_start_end() {
    let (end_sender, ends) = mpsc::channel();
    for _ in 0..SERVERS {
        let end_sender = end_sender.clone();
        thread::spawn(move || {
            drop(start());
            let _ = end_sender.send(());
        });
    }
    let ended = (0..SERVERS).map_while(|_| ends.recv_timeout(TIMEOUT).ok());
    assert_eq!(ended.count(), SERVERS, "servers that ended");
}
