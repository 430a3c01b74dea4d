//! A node's server that serves from a given snapshot.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use jackdaw_core::catalog::{Catalog, Model, Route, Service, Team};
use jackdaw_core::store::Store;
use jackdaw_core::time::SystemClock;
use jackdaw_core::token::Digest;
use jackdaw_core::units::{Generation, Millis};
use jackdaw_entry::event::Event;
use jackdaw_entry::server::Server;
use jackdaw_entry::shared::{Options, Shared};
use jackdaw_entry::snapshot::{Snapshot, Target};
use jackdaw_policy::poison::Verdicts;
use opentelemetry::metrics::noop::NoopMeterProvider;
use opentelemetry::metrics::{Meter, MeterProvider};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use super::caller::TOKEN;
use super::store::MemoryStore;

/// Returns options with timeouts short enough for tests.
pub fn options() -> Options {
    Options {
        workers: 1,
        first_byte_timeout: Millis(250),
        idle_timeout: Millis(250),
        connect_timeout: Millis(1_000),
        ..Options::default()
    }
}

/// A node under test.
pub struct Node {
    pub server: Server,
    pub shared: Arc<Shared>,
    pub events: UnboundedReceiver<Event>,
    pub store: Arc<MemoryStore>,
}

impl Node {
    /// Starts a node whose model and service have targets at the addresses.
    pub fn start(options: Options, targets: &[SocketAddr]) -> Self {
        Node::start_with_snapshot(options, snapshot(targets))
    }

    pub fn start_with_snapshot(options: Options, snapshot: Snapshot) -> Self {
        Node::start_with_meter(options, snapshot, &NoopMeterProvider::new().meter("test"))
    }

    /// Starts a node that registers its counters with a meter.
    pub fn start_with_meter(options: Options, snapshot: Snapshot, meter: &Meter) -> Self {
        Node::start_as("node", options, snapshot, meter)
    }

    /// Starts a node with a name, which distinguishes it from others.
    pub fn start_named(name: &str, options: Options, snapshot: Snapshot) -> Self {
        let meter = NoopMeterProvider::new().meter("test");
        Node::start_as(name, options, snapshot, &meter)
    }

    fn start_as(name: &str, options: Options, snapshot: Snapshot, meter: &Meter) -> Self {
        let store = Arc::new(MemoryStore::default());
        let (sender, events) = unbounded_channel();
        let shared = Arc::new(Shared::new(
            Arc::new(ArcSwap::from_pointee(snapshot)),
            sender,
            Arc::new(SystemClock::default()),
            Arc::clone(&store) as Arc<dyn Store>,
            name,
            options,
            meter,
        ));
        let address = "127.0.0.1:0".parse().expect("address");
        let server = Server::start(Arc::clone(&shared), address).expect("server");
        Node {
            server,
            shared,
            events,
            store,
        }
    }

    /// Publishes a snapshot whose targets have other addresses.
    pub fn set_targets(&self, targets: &[SocketAddr]) {
        self.shared.snapshot.store(Arc::new(snapshot(targets)));
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Publishes a snapshot without the models' target at an address.
    pub fn remove_target(&self, address: SocketAddr) {
        let current = self.shared.snapshot.load();
        let mut next = Snapshot::clone(&current);
        for targets in next.models.values_mut() {
            targets.retain(|target| target.address != address);
        }
        self.shared.snapshot.store(Arc::new(next));
    }

    /// Publishes a snapshot with other verdicts on poison requests.
    pub fn publish_verdicts(&self, verdicts: Verdicts) {
        let current = self.shared.snapshot.load();
        let mut next = Snapshot::clone(&current);
        next.verdicts = Arc::new(verdicts);
        self.shared.snapshot.store(Arc::new(next));
    }

    /// Waits for the next event.
    pub fn next_event(&mut self) -> Event {
        self.events.blocking_recv().expect("a running node")
    }

    /// Returns the events so far that no earlier call has returned.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::iter::from_fn(|| self.events.try_recv().ok()).collect()
    }
}

/// Returns a snapshot whose model and service have targets at the addresses.
pub fn snapshot(targets: &[SocketAddr]) -> Snapshot {
    let targets: Vec<Target> = targets
        .iter()
        .enumerate()
        .map(|(index, address)| Target {
            name: format!("target-{index}").into(),
            generation: Generation(1),
            version: "1".into(),
            address: *address,
            zone: "qc-east-a".into(),
            gauge: Arc::default(),
        })
        .collect();
    let team = team();
    let digest = team.token_sha256[0];
    Snapshot {
        catalog: Arc::new(catalog(team.clone())),
        teams: [(digest, Arc::new(team))].into(),
        models: [("tiles".into(), targets.clone())].into(),
        services: [("stock".into(), targets)].into(),
        verdicts: Arc::default(),
        nodes: 1,
        zone_nodes: 1,
        peers: Vec::new(),
        zone: "qc-east-a".into(),
        ready: true,
        stopping: false,
    }
}

/// Returns the test team.
pub fn team() -> Team {
    Team {
        name: "showroom".into(),
        token_sha256: vec![Digest::of(TOKEN.as_bytes())],
        weight: 1,
        requests_per_second: 10_000,
        concurrency: 1_000,
        priority: 7,
        deadline_ms: Millis::from_secs(30),
        allowed: vec!["tiles".into(), "stock".into()],
    }
}

fn catalog(team: Team) -> Catalog {
    let model = |name: &str| Model {
        name: name.into(),
        version: "1".into(),
        vms_per_replica: 1,
        replicas: 1,
        adapters: Vec::new(),
        zones: Vec::new(),
        priority: 0,
    };
    Catalog {
        models: vec![model("tiles"), model("secret")],
        services: vec![Service {
            name: "stock".into(),
            routes: vec![Route {
                method: "GET".into(),
                path: "/".into(),
                idempotent: true,
            }],
        }],
        teams: vec![team],
        ..Catalog::default()
    }
}
