//! The transport between nodes: token, fault switch, values and closed ports.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, mpsc};
use std::time::Duration;

use jackdaw_control::peer::shelf::{Shelf, What};
use jackdaw_control::peer::switch::Switch;
use jackdaw_control::peer::{Options, Transport};
use jackdaw_core::catalog::Catalog;
use jackdaw_core::errors::Error;
use jackdaw_core::units::Revision;
use jackdaw_policy::gossip::message::{Body, Envelope, Exchange};
use rstest::rstest;
use tokio::runtime::{Builder, Runtime};

/// Time after which a wait is given up, so that a hang becomes a failure.
const HANG: Duration = Duration::from_secs(60);

/// One end of a connection.
struct End {
    transport: Transport,
    shelf: Arc<Shelf>,
    switch: Arc<Switch>,
    received: mpsc::Receiver<Envelope>,
}

impl End {
    fn new(runtime: &Runtime, token: &str) -> End {
        let (shelf, switch) = (Arc::new(Shelf::default()), Arc::new(Switch::default()));
        let (sender, received) = mpsc::channel();
        let sender = std::sync::Mutex::new(sender);
        let options = Options {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            token: token.into(),
        };
        let transport = Transport::start(
            runtime.handle(),
            &options,
            Arc::clone(&shelf),
            Arc::clone(&switch),
            Arc::new(move |envelope| {
                let _ = sender.lock().expect("sender").send(envelope);
            }),
        )
        .expect("starts");
        End {
            transport,
            shelf,
            switch,
            received,
        }
    }

    fn envelope(&self, beat: u64) -> Envelope {
        Envelope {
            from: "node".into(),
            address: self.transport.address(),
            zone: "a".into(),
            incarnation: 1,
            heartbeat: beat,
            revision: Revision(3),
            body: Body::Probe(Exchange {
                root: 7,
                heartbeats: vec![1, 2],
                ..Exchange::default()
            }),
        }
    }
}

fn runtime() -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("runtime")
}

/// Waits until no message to an address is under way.
async fn settled(end: &End, to: SocketAddr) {
    while end.transport.under_way(to) > 0 {
        tokio::task::yield_now().await;
    }
}

#[test]
fn message_arrives_as_it_was_sent() {
    let runtime = runtime();
    let (one, two) = (End::new(&runtime, "token"), End::new(&runtime, "token"));
    let envelope = one.envelope(5);
    one.transport.send(two.transport.address(), &envelope);
    assert_eq!(two.received.recv_timeout(HANG), Ok(envelope));
}

#[test]
fn cut_drops_messages_in_both_directions_until_it_is_healed() {
    let runtime = runtime();
    let (one, two) = (End::new(&runtime, "token"), End::new(&runtime, "token"));
    let (here, there) = (one.transport.address(), two.transport.address());
    two.switch.cut(here);
    one.transport.send(there, &one.envelope(1));
    two.transport.send(here, &two.envelope(2));
    let fetched = runtime.block_on(two.transport.fetch(here, What::Catalog(Revision(0))));
    assert!(
        matches!(fetched, Err(Error::Unreachable { .. })),
        "{fetched:?}"
    );
    // The cut is healed only once the first message was judged by it.
    runtime.block_on(settled(&one, there));
    two.switch.heal(here);
    one.transport.send(there, &one.envelope(3));
    let arrived = two.received.recv_timeout(HANG).expect("arrives");
    assert_eq!(arrived.heartbeat, 3);
    assert!(
        one.received.try_recv().is_err(),
        "a cut node sent something"
    );
}

/// A fetch from a node that holds revision 3.
struct Fetch {
    token: &'static str,
    least: u64,
    is_expected: fn(&jackdaw_core::errors::Result<Vec<u8>>) -> bool,
}

#[rstest]
#[case::held(Fetch { token: "token", least: 3, is_expected: |reply| reply.is_ok() })]
#[case::not_held(Fetch {
    token: "token", least: 4, is_expected: |reply| matches!(reply, Err(Error::Refused { .. })) })]
#[case::wrong_token(Fetch {
    token: "other", least: 3, is_expected: |reply| matches!(reply, Err(Error::Refused { .. })) })]
fn value_is_handed_out_to_known_nodes_only(#[case] case: Fetch) {
    let runtime = runtime();
    let (one, two) = (End::new(&runtime, case.token), End::new(&runtime, "token"));
    two.shelf.set_catalog(&Arc::new(Catalog {
        revision: Revision(3),
        ..Catalog::default()
    }));
    let what = What::Catalog(Revision(case.least));
    let reply = runtime.block_on(one.transport.fetch(two.transport.address(), what));
    assert!((case.is_expected)(&reply), "{reply:?}");
}

#[test]
fn message_with_a_wrong_token_reaches_nothing() {
    let runtime = runtime();
    let (stranger, node) = (End::new(&runtime, "other"), End::new(&runtime, "token"));
    let friend = End::new(&runtime, "token");
    let to = node.transport.address();
    stranger.transport.send(to, &stranger.envelope(1));
    runtime.block_on(settled(&stranger, to));
    friend.transport.send(to, &friend.envelope(2));
    assert_eq!(
        node.received.recv_timeout(HANG).expect("arrives").heartbeat,
        2
    );
}
