//! The transport between nodes: token, simulated partitions and fetched resources.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, mpsc};
use std::time::Duration;

use jackdaw_control::peer::partition::Partition;
use jackdaw_control::peer::repository::{Repository, Resource};
use jackdaw_control::peer::{Options, Transport};
use jackdaw_core::catalog::Catalog;
use jackdaw_core::errors::Error;
use jackdaw_core::time::SystemClock;
use jackdaw_core::units::{Millis, Rate, Revision};
use jackdaw_entry::limits::{Limits, Question, Record};
use jackdaw_policy::gossip::message::{Body, Envelope, Exchange};
use jackdaw_policy::throttle::{ServerId, TeamId, Verdict};
use rstest::rstest;
use tokio::runtime::{Builder, Runtime};

/// Limit on a wait, so that a hang becomes a failure.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A running transport with the messages that it received.
struct Peer {
    transport: Transport,
    repository: Arc<Repository>,
    partition: Arc<Partition>,
    received: mpsc::Receiver<Envelope>,
}

impl Peer {
    fn new(runtime: &Runtime, token: &str) -> Peer {
        let (repository, partition) = (
            Arc::new(Repository::default()),
            Arc::new(Partition::default()),
        );
        let (sender, received) = mpsc::channel();
        let sender = std::sync::Mutex::new(sender);
        let options = Options {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            token: token.into(),
        };
        let transport = Transport::start(
            runtime.handle(),
            &options,
            Arc::clone(&repository),
            Arc::clone(&partition),
            Arc::new(move |envelope| {
                let _ = sender.lock().expect("sender").send(envelope);
            }),
            Arc::new(Limits::new("node", Arc::new(SystemClock::default()))),
        )
        .expect("starts");
        Peer {
            transport,
            repository,
            partition,
            received,
        }
    }

    fn envelope(&self, heartbeat: u64) -> Envelope {
        Envelope {
            from: "node".into(),
            address: self.transport.address(),
            zone: "a".into(),
            incarnation: 1,
            heartbeat,
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

/// Waits until no message to an address is in flight.
async fn wait_until_idle(peer: &Peer, to: SocketAddr) {
    while peer.transport.in_flight(to) > 0 {
        tokio::task::yield_now().await;
    }
}

#[test]
fn sent_message_arrives_unchanged() {
    let runtime = runtime();
    let (first, second) = (Peer::new(&runtime, "token"), Peer::new(&runtime, "token"));
    let envelope = first.envelope(5);
    first.transport.send(second.transport.address(), &envelope);
    assert_eq!(second.received.recv_timeout(TIMEOUT), Ok(envelope));
}

#[test]
fn blocked_peer_exchanges_no_messages_until_it_is_unblocked() {
    let runtime = runtime();
    let (first, second) = (Peer::new(&runtime, "token"), Peer::new(&runtime, "token"));
    let (first_address, second_address) = (first.transport.address(), second.transport.address());
    second.partition.block(first_address);
    first.transport.send(second_address, &first.envelope(1));
    second.transport.send(first_address, &second.envelope(2));
    let fetched = runtime.block_on(
        second
            .transport
            .fetch(first_address, Resource::Catalog(Revision(0))),
    );
    assert!(
        matches!(fetched, Err(Error::Unreachable { .. })),
        "{fetched:?}"
    );
    // The peer is unblocked only once the first message has been checked against the partition.
    runtime.block_on(wait_until_idle(&first, second_address));
    second.partition.unblock(first_address);
    first.transport.send(second_address, &first.envelope(3));
    let arrived = second.received.recv_timeout(TIMEOUT).expect("arrives");
    assert_eq!(arrived.heartbeat, 3);
    assert!(
        first.received.try_recv().is_err(),
        "a message to a blocked peer was sent"
    );
}

/// A fetch from a node that holds catalogue revision 3.
struct Fetch {
    token: &'static str,
    min_revision: u64,
    is_expected: fn(&jackdaw_core::errors::Result<Vec<u8>>) -> bool,
}

#[rstest]
#[case::held(Fetch { token: "token", min_revision: 3, is_expected: |reply| reply.is_ok() })]
#[case::not_held(Fetch {
    token: "token", min_revision: 4,
    is_expected: |reply| matches!(reply, Err(Error::Refused { .. })) })]
#[case::wrong_token(Fetch {
    token: "other", min_revision: 3,
    is_expected: |reply| matches!(reply, Err(Error::Refused { .. })) })]
fn resource_is_returned_if_held_and_the_token_matches(#[case] case: Fetch) {
    let runtime = runtime();
    let (first, second) = (
        Peer::new(&runtime, case.token),
        Peer::new(&runtime, "token"),
    );
    second.repository.set_catalog(&Arc::new(Catalog {
        revision: Revision(3),
        ..Catalog::default()
    }));
    let resource = Resource::Catalog(Revision(case.min_revision));
    let reply = runtime.block_on(first.transport.fetch(second.transport.address(), resource));
    assert!((case.is_expected)(&reply), "{reply:?}");
}

#[test]
fn message_with_a_wrong_token_is_not_received() {
    let runtime = runtime();
    let (unauthorized, node) = (Peer::new(&runtime, "other"), Peer::new(&runtime, "token"));
    let authorized = Peer::new(&runtime, "token");
    let to = node.transport.address();
    unauthorized.transport.send(to, &unauthorized.envelope(1));
    runtime.block_on(wait_until_idle(&unauthorized, to));
    authorized.transport.send(to, &authorized.envelope(2));
    assert_eq!(
        node.received
            .recv_timeout(TIMEOUT)
            .expect("arrives")
            .heartbeat,
        2
    );
}

// Guards against a node that grants requests to a limited server although its keeper would not.
#[test]
fn keeper_is_asked_for_requests_to_a_limited_server() {
    let runtime = runtime();
    let (first, second) = (Peer::new(&runtime, "token"), Peer::new(&runtime, "token"));
    let question = Question {
        server: ServerId(1),
        record: Record {
            rate: Rate::new(0.5),
            sent_age: Millis(20),
            answer_age: Millis(10),
        },
        priority: 0,
        team: TeamId(1),
    };
    let questions = first.transport.questions();
    let address = second.transport.address();
    let verdicts: Vec<bool> = (0..8)
        .filter_map(|_| runtime.block_on(questions.ask(address, question)))
        .map(|reply| reply.verdict == Verdict::Granted)
        .collect();
    assert!(verdicts.contains(&true), "{verdicts:?}");
    assert!(verdicts.contains(&false), "{verdicts:?}");
}

#[test]
fn blocked_or_unauthenticated_node_gets_no_verdict() {
    let runtime = runtime();
    let (first, second) = (Peer::new(&runtime, "other"), Peer::new(&runtime, "token"));
    let question = Question {
        server: ServerId(1),
        record: Record {
            rate: Rate::new(5.0),
            sent_age: Millis(20),
            answer_age: Millis(10),
        },
        priority: 0,
        team: TeamId(1),
    };
    let (first_address, second_address) = (first.transport.address(), second.transport.address());
    let ask = |from: &Peer, to| runtime.block_on(from.transport.questions().ask(to, question));
    assert_eq!(ask(&first, second_address), None);
    second.partition.block(first_address);
    assert_eq!(ask(&second, first_address), None);
}
