//! Nodes without a callers' port in the test's own process, each with its own proxy to the
//! key-value service.

#![allow(dead_code, reason = "each test file uses its own part of the harness")]

pub(crate) mod http;
pub(crate) mod store;

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use jackdaw_control::admin::auth::{Operator, Role};
use jackdaw_control::admin::feed::Feed;
use jackdaw_control::admin::handle::{Handle, Reply, Request};
use jackdaw_control::admin::server::{Context, Server};
use jackdaw_control::admin::view::Status;
use jackdaw_control::metrics::Metrics;
use jackdaw_control::network::Network;
use jackdaw_control::options::Options;
use jackdaw_control::peer::partition::Partition;
use jackdaw_control::runtime::{Clients, Connect, Control, Shared};
use jackdaw_core::catalog::Model;
use jackdaw_core::decision::Decision;
use jackdaw_core::engine::Engine;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::inventory::{Inventory, Vm};
use jackdaw_core::member::Report;
use jackdaw_core::note::{Note, Section};
use jackdaw_core::order::Order;
use jackdaw_core::time::{Clock, SystemClock};
use jackdaw_core::token::Digest;
use jackdaw_core::units::{Millis, Revision};
use jackdaw_entry::limits::Limits;
use jackdaw_policy::release::accept::Verdict;
use jackdaw_standin::store::Memory;
use slog::{Discard, Logger, o};
use store::StoreProxy;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::broadcast::Receiver;

/// Token of an operator who may read and write.
pub(crate) const WRITE_TOKEN: &str = "write-token";

/// Token of an operator who may only read.
pub(crate) const READ_TOKEN: &str = "read-token";

/// Limit on a wait, so that a hang becomes a failure.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Engine and VM list of a platform without VMs.
struct NoVms;

#[async_trait(?Send)]
impl Engine for NoVms {
    async fn report(&self, _: SocketAddr) -> Result<Report> {
        Err(Error::unreachable("report", "engine", "no engine runs"))
    }

    async fn order(&self, _: SocketAddr, _: &Order) -> Result<()> {
        Err(Error::unreachable("order", "engine", "no engine runs"))
    }
}

#[async_trait(?Send)]
impl Inventory for NoVms {
    async fn vms(&self) -> Result<Vec<Vm>> {
        Ok(Vec::new())
    }
}

/// The key-value service and the runtime that all nodes of a test share.
pub(crate) struct Cluster {
    pub(crate) memory: Memory,
    pub(crate) runtime: Runtime,
}

impl Cluster {
    pub(crate) fn new() -> Cluster {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("runtime");
        Cluster {
            memory: Memory::new(Arc::new(SystemClock::default())),
            runtime,
        }
    }

    /// Starts a node with the given seeds.
    pub(crate) fn node(&self, name: &str, zone: &str, seeds: &[SocketAddr]) -> Node {
        Node::start(self, name, zone, seeds)
    }
}

/// A running node.
pub(crate) struct Node {
    pub(crate) control: Control,
    pub(crate) admin: Server,
    pub(crate) handle: Handle,
    pub(crate) partition: Arc<Partition>,
    pub(crate) store_proxy: Arc<StoreProxy>,
    decisions: Mutex<Receiver<Arc<Decision>>>,
    runtime: tokio::runtime::Handle,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.control.end();
    }
}

impl Node {
    fn start(cluster: &Cluster, name: &str, zone: &str, seeds: &[SocketAddr]) -> Node {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let store_proxy = Arc::new(StoreProxy::new(cluster.memory.clone()));
        let partition = Arc::new(Partition::default());
        let feed = Feed::default();
        let decisions = Mutex::new(feed.subscribe());
        let metrics = Metrics::new().expect("metrics");
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        let limits = Arc::new(Limits::new(name, Arc::clone(&clock)));
        let shared = Shared {
            snapshot: Arc::default(),
            store: store_proxy.clone(),
            clock,
            logger: Logger::root(Discard, o!()),
            feed: feed.clone(),
            metrics: metrics.clone(),
            network: Some(Network {
                runtime: cluster.runtime.handle().clone(),
                listen: any,
                token: "peer-token".into(),
                seeds: seeds.to_vec(),
                round_interval: Millis(50),
                limits,
                switch: Arc::clone(&partition),
            }),
        };
        let options = Options {
            node: name.into(),
            zone: zone.into(),
            ..Options::default()
        };
        let connect: Connect = Box::new(|| {
            Box::pin(async {
                Ok(Clients {
                    engine: Rc::new(NoVms),
                    inventory: Rc::new(NoVms),
                })
            })
        });
        let (_, entry_events) = tokio::sync::mpsc::unbounded_channel();
        let control = Control::start(options, shared, connect, entry_events).expect("starts");
        let handle = Handle::new(control.events().clone(), feed);
        let operators = [(WRITE_TOKEN, Role::Write), (READ_TOKEN, Role::Read)];
        let site = Context {
            handle: handle.clone(),
            operators: operators
                .map(|(token, role)| Operator {
                    name: token.into(),
                    token: Digest::of(token.as_bytes()),
                    role,
                })
                .into(),
            metrics,
        };
        let admin = Server::start(any, site).expect("operators' port");
        Node {
            control,
            admin,
            handle,
            partition,
            store_proxy,
            decisions,
            runtime: cluster.runtime.handle().clone(),
        }
    }

    /// Gets the address of the peers' port.
    pub(crate) fn peer_address(&self) -> SocketAddr {
        self.control.peer_address().expect("peers' port")
    }

    /// Sends a request to the control thread and returns its reply.
    pub(crate) fn ask(&self, request: Request) -> Reply {
        futures::executor::block_on(self.handle.ask(request)).expect("control thread runs")
    }

    /// Sends a note and returns the verdict.
    pub(crate) fn apply(&self, note: Note) -> Verdict {
        match self.ask(Request::Apply(note)) {
            Reply::Verdict(_, verdict) => verdict,
            reply => panic!("{reply:?}"),
        }
    }

    /// Gets the status.
    pub(crate) fn status(&self) -> Status {
        match self.ask(Request::Status) {
            Reply::Status(status) => *status,
            reply => panic!("{reply:?}"),
        }
    }

    /// Gets the revision in force.
    pub(crate) fn revision(&self) -> u64 {
        self.status().release.revision.0
    }

    /// Waits until a revision is in force, checking after each decision.
    pub(crate) fn wait_for_revision(&self, revision: u64) {
        let name = revision.to_string();
        let mut decisions = self.decisions.lock().expect("decisions");
        while self.revision() < revision {
            let next = async {
                tokio::time::timeout(TIMEOUT, decisions.recv())
                    .await
                    .expect("a decision arrives in time")
            };
            let _ = self.runtime.block_on(next);
        }
        assert_eq!(self.revision().to_string(), name);
    }

    /// Waits until the status fulfils a condition; each check is a request to the control thread.
    pub(crate) fn wait_for_status(&self, is_met: impl Fn(&Status) -> bool) -> Status {
        let start = std::time::Instant::now();
        loop {
            let status = self.status();
            if is_met(&status) {
                return status;
            }
            assert!(start.elapsed() < TIMEOUT, "{status:?}");
            std::thread::yield_now();
        }
    }
}

/// Returns a note that adds one model, named like the note.
pub(crate) fn note(id: &str, base: u64) -> Note {
    let model = Model {
        name: id.into(),
        version: "1".into(),
        vms_per_replica: 4,
        replicas: 1,
        adapters: Vec::new(),
        zones: Vec::new(),
        priority: 0,
    };
    Note {
        id: id.into(),
        base: Revision(base),
        models: Section {
            add: vec![model],
            ..Section::default()
        },
        ..Note::default()
    }
}

/// Returns the verdict on a note that is accepted for the first time.
pub(crate) fn accepted(revision: u64) -> Verdict {
    Verdict::Accepted {
        revision: Revision(revision),
        repeated: false,
    }
}
