//! Start and end of a stand-in's server.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use jackdaw_standin::host::Host;
use rstest::rstest;

/// Servers that start at the same time, so many that their threads wait for the processor.
const SERVERS: usize = 64;

/// Limit on a wait, so that a hang becomes a failure.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A way to stop a server.
struct Case {
    stop: fn(Host),
}

// Guards against a test that never ends because its stand-in misses a stop right after its start.
#[rstest]
#[case::dropped(Case { stop: drop })]
#[case::stopped_and_dropped(Case { stop: |host| host.begin_stop() })]
fn servers_that_are_stopped_right_after_their_start_end(#[case] case: Case) {
    let (end_sender, ends) = mpsc::channel();
    for _ in 0..SERVERS {
        let end_sender = end_sender.clone();
        thread::spawn(move || {
            let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            (case.stop)(Host::start(any, Arc::new(|_| {})).expect("starts"));
            let _ = end_sender.send(());
        });
    }
    let ended = (0..SERVERS).map_while(|_| ends.recv_timeout(TIMEOUT).ok());
    assert_eq!(ended.count(), SERVERS, "servers that ended");
}
