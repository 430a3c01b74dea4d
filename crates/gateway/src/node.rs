//! State that all tasks of a node share.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::iter;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use jackdaw_core::config::{self, Index};
use jackdaw_core::errors::Result;
use jackdaw_core::protocol::{ChangeFeed, Orders, Protocol};
use jackdaw_core::store::Store;
use jackdaw_core::time::{Clock, Instant};
use jackdaw_core::units::Millis;
use jackdaw_entry::counter::Counters;
use jackdaw_entry::drain::Drain;
use jackdaw_link::pool::{self, Pool};
use jackdaw_policy::fleet::Fleet;
use jackdaw_policy::peers::PeerLoads;
use jackdaw_policy::reach;
use jackdaw_policy::retry::{self, Budget};
use jackdaw_policy::shutdown::{Limits, Shutdown};
use opentelemetry::metrics::{Counter, Meter};
use slog::{Logger, info};
use tokio::sync::Notify;

use crate::body;
use crate::connections::Connections;
use crate::demand::Measurements;
use crate::ending::Endings;
use crate::evacuation::Evacuations;
use crate::follow::Availability;
use crate::freshness::Freshness;
use crate::histograms::Histograms;
use crate::in_flight::InFlight;
use crate::lag::Lag;
use crate::limits::Limits as ServerLimits;
use crate::memory::Memory;
use crate::options::Options;
use crate::pauses::Pauses;
use crate::poison::Poison;
use crate::registrations::Registrations;
use crate::targets::Targets;
use crate::termination;

/// Time for which a change is sent to other nodes; several rounds of datagrams, since any of them
/// may be lost.
const CHANGE_BROADCAST_TIME: Millis = Millis(800);

/// Percentage of the connections accepted by a server that all nodes together keep idle.
const IDLE_CONNECTIONS_PERCENT: usize = 40;
/// Longest time to receive a head if the configuration states no limit.
const DEFAULT_HEADER_TIMEOUT: Millis = Millis(10_000);
/// Time for which an idle connection is kept if the configuration states no limit; longer than
/// callers keep idle connections, so that they close them first.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(75_000);

/// Resolution of the node's clock, which counts whole milliseconds.
const CLOCK_RESOLUTION: Duration = Duration::from_millis(1);

/// Encodes a node's metrics for the operators' collector.
pub trait Exporter: Send + Sync {
    /// Returns all metrics as text.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded.
    fn render(&self) -> Result<String>;
}

/// Dependencies of a node.
#[derive(Clone)]
pub struct Parts {
    /// Encoding of the platform's headers and store entries.
    pub protocol: Arc<dyn Protocol>,
    /// Reads the store's entries and their changes.
    pub change_feed: Arc<dyn ChangeFeed>,
    /// Store for leases and transactions.
    pub store: Arc<dyn Store>,
    /// Sends orders to model engines.
    pub orders: Arc<dyn Orders>,
    /// Clock for all time-outs and deadlines.
    pub clock: Arc<dyn Clock>,
    /// Logger of the node.
    pub logger: Logger,
    /// Meter for the node's counters and histograms.
    pub meter: Meter,
    /// Encodes the metrics.
    pub exporter: Arc<dyn Exporter>,
}

impl fmt::Debug for Parts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Parts").finish_non_exhaustive()
    }
}

/// Counters of links to servers.
pub(crate) struct ReachCounters {
    /// Times at which no server was reached any more.
    pub(crate) cuts: Counter<u64>,
    /// Connections that were opened through other nodes.
    pub(crate) opened: Counter<u64>,
}

impl ReachCounters {
    fn new(meter: &Meter) -> Self {
        ReachCounters {
            cuts: meter
                .u64_counter("jackdawstair_cuts")
                .with_description("Times at which no server was reached any more.")
                .build(),
            opened: meter
                .u64_counter("jackdawstair_tunnels")
                .with_description("Connections to servers that were opened through other nodes.")
                .build(),
        }
    }
}

/// State of one node, which runs on a single thread.
pub(crate) struct Node {
    pub(crate) options: Options,
    pub(crate) parts: Parts,
    pub(crate) counters: Counters,
    pub(crate) histograms: Histograms,
    pub(crate) endings: Endings,
    pub(crate) evacuations: Evacuations,
    pub(crate) in_flight: InFlight,
    pub(crate) lag: Lag,
    pub(crate) connections: Connections,
    pub(crate) pool: Pool,
    pub(crate) drain: Drain,
    /// Request to stop the node.
    pub(crate) stop: termination::Request,
    /// Whether a request has arrived since the start.
    pub(crate) has_traffic: Cell<bool>,
    pub(crate) registrations: Registrations,
    pub(crate) store_availability: Availability,
    /// Whether this node leads its zone while the store is unavailable.
    pub(crate) in_grace_period: Cell<bool>,
    /// Whether the registrations of the other nodes have been read.
    pub(crate) knows_peers: Cell<bool>,
    /// Whether this node leads its zone.
    pub(crate) is_leading: Cell<bool>,
    /// Servers whose state has changed, with the times of the changes.
    pub(crate) changed_servers: RefCell<HashMap<CompactString, Instant>>,
    /// Notified when the configuration, the servers or the leadership have changed.
    pub(crate) state_changed: Notify,
    /// Notified when another node has reported a place that stands still.
    pub(crate) stalls_changed: Notify,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) targets: Rc<RefCell<Targets>>,
    /// Demand for each model.
    pub(crate) measurements: Measurements,
    pub(crate) poison: Poison,
    pub(crate) freshness: Freshness,
    /// Limits that servers name.
    pub(crate) limits: ServerLimits,
    /// Memory of requests and answers.
    pub(crate) memory: Rc<Memory>,
    /// Pauses that servers have asked for.
    pub(crate) pauses: Pauses,
    /// Links to servers, this node's and those of others.
    pub(crate) reach: RefCell<reach::Tracker>,
    /// Number of connections that this node relays for others.
    pub(crate) tunnels: Cell<u32>,
    /// Port at which it does.
    pub(crate) relay_port: Cell<u16>,
    pub(crate) counters_of_reach: ReachCounters,
    index: RefCell<Option<Rc<Index>>>,
    /// Former configurations, which live as long as requests that they admitted; the latest is last.
    former: RefCell<Vec<Weak<Index>>>,
    retry_budgets: RefCell<HashMap<CompactString, Rc<Budget>>>,
}

impl Node {
    pub(crate) fn new(options: Options, parts: Parts, stop: termination::Request) -> Self {
        let drain = Drain::default();
        Node {
            counters: Counters::new(&parts.meter),
            histograms: Histograms::new(&parts.meter),
            endings: Endings::new(&parts.meter),
            evacuations: Evacuations::new(&parts.meter),
            in_flight: InFlight::new(&parts.meter),
            lag: Lag::default(),
            connections: Connections::new(&parts.meter, &drain),
            measurements: Measurements::default(),
            poison: Poison::new(&parts.meter),
            freshness: Freshness::new(&parts.meter),
            registrations: Registrations::new(&parts.meter),
            store_availability: Availability::default(),
            reach: RefCell::default(),
            tunnels: Cell::new(0),
            relay_port: Cell::new(0),
            counters_of_reach: ReachCounters::new(&parts.meter),
            limits: ServerLimits::new(&options.node, &parts.meter),
            memory: Rc::new(Memory::new(options.memory, &parts.clock, &parts.meter)),
            pauses: Pauses::new(&parts.meter),
            options,
            parts,
            pool: Pool::new(pool::Options::default()),
            drain,
            stop,
            has_traffic: Cell::new(false),
            in_grace_period: Cell::new(false),
            knows_peers: Cell::new(false),
            is_leading: Cell::new(false),
            changed_servers: RefCell::default(),
            state_changed: Notify::new(),
            stalls_changed: Notify::new(),
            fleet: RefCell::default(),
            targets: Rc::default(),
            index: RefCell::default(),
            former: RefCell::default(),
            retry_budgets: RefCell::default(),
        }
    }

    /// Returns the time since the node was asked to stop, or none if it was not.
    pub(crate) fn stopping_for(&self) -> Option<Millis> {
        let since = self.stop.made_at()?;
        Some(self.now().since(since))
    }

    /// Records that a server's state has changed now.
    pub(crate) fn record_change(&self, server: &str) {
        let now = self.now();
        self.changed_servers.borrow_mut().insert(server.into(), now);
    }

    /// Returns the servers whose state has changed within [`CHANGE_BROADCAST_TIME`].
    pub(crate) fn recently_changed_servers(&self) -> HashSet<CompactString> {
        self.forget_old_changes();
        self.changed_servers.borrow().keys().cloned().collect()
    }

    /// Forgets the changes that are not told any more.
    pub(crate) fn forget_old_changes(&self) {
        let now = self.now();
        let mut changed_servers = self.changed_servers.borrow_mut();
        changed_servers.retain(|_, at| now.since(*at) < CHANGE_BROADCAST_TIME);
    }

    /// Returns the load that the other nodes report.
    pub(crate) fn peer_loads(&self) -> Rc<RefCell<PeerLoads>> {
        Rc::clone(&self.targets.borrow().peer_loads)
    }

    pub(crate) fn now(&self) -> Instant {
        self.parts.clock.now()
    }

    /// Returns the time to sleep until a point in time has come; zero if it has.
    pub(crate) fn until(&self, due: Instant) -> Duration {
        match due.since(self.now()) {
            Millis(0) => Duration::ZERO,
            left => left.duration() + CLOCK_RESOLUTION,
        }
    }

    pub(crate) fn logger(&self) -> &Logger {
        &self.parts.logger
    }

    /// Returns the configuration in force.
    pub(crate) fn index(&self) -> Option<Rc<Index>> {
        self.index.borrow().clone()
    }

    /// Returns the limits on callers in force.
    pub(crate) fn limits(&self) -> config::Limits {
        let index = self.index.borrow();
        let limits = index
            .as_ref()
            .and_then(|index| index.configuration().limits);
        limits.unwrap_or(config::Limits {
            header: self.options.max_head,
            body: body::DEFAULT_MAX_BODY,
            header_timeout: DEFAULT_HEADER_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        })
    }

    /// Returns the version of the configuration in force.
    pub(crate) fn version(&self) -> Option<u64> {
        let index = self.index.borrow();
        index.as_ref().map(|index| index.configuration().version)
    }

    /// Decodes a configuration and puts it in force unless the current one is at least as new.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a valid configuration.
    pub(crate) fn apply_configuration(&self, value: Bytes) -> Result<()> {
        let configuration = self.parts.protocol.decode_configuration(&value)?;
        let current = self.version();
        if current.is_some_and(|version| version >= configuration.version) {
            return Ok(());
        }
        info!(self.logger(), "configuration in force";
            "version" => configuration.version,
            "before" => current,
            "routes" => configuration.routes.len(),
            "teams" => configuration.teams.len());
        self.record_configuration(configuration.version, value);
        self.limits.set_warmup_rates(&configuration);
        let limits = self.limits();
        let former = self.index.replace(Some(Rc::new(Index::new(configuration))));
        self.former
            .borrow_mut()
            .extend(former.as_ref().map(Rc::downgrade));
        drop(former);
        if self.limits() != limits {
            self.connections.limits_changed.notify_waiters();
        }
        self.update_targets();
        Ok(())
    }

    /// Returns the former configurations by which requests in flight were admitted, the latest first.
    fn former(&self) -> Vec<Rc<Index>> {
        let mut former = self.former.borrow_mut();
        former.retain(|index| index.strong_count() > 0);
        former.iter().rev().filter_map(Weak::upgrade).collect()
    }

    /// Recomputes the targets of requests from the fleet, the configuration, and the services that
    /// the configuration no longer has but requests in flight use.
    pub(crate) fn update_targets(&self) {
        if let Some(index) = self.index() {
            let fleet = self.fleet.borrow();
            let former = self.former();
            let indexes = iter::once(&index).chain(&former);
            let mut names = HashSet::new();
            let serving_targets = indexes
                .flat_map(|index| &index.configuration().services)
                .filter(|service| names.insert(&service.name))
                .flat_map(|service| fleet.targets(&service.name, service.engine.as_ref()))
                .collect();
            let mut targets = self.targets.borrow_mut();
            let before = targets.count_serving();
            targets.update(serving_targets, self.now());
            let after = targets.count_serving();
            if after != before {
                info!(self.logger(), "places that serve have changed"; "counts" => ?after);
            }
        }
        self.confirm_silences();
        self.state_changed.notify_waiters();
    }

    /// Returns this node's share of the retries that all nodes together may make.
    fn retry_share(&self) -> retry::Share {
        let nodes = self.peer_loads().borrow().node_count();
        retry::Share::new(
            self.options.retries,
            self.knows_peers.get().then_some(nodes),
        )
    }

    /// Adjusts all retry budgets to a changed number of nodes.
    pub(crate) fn update_retry_limits(&self) {
        let share = self.retry_share();
        for budget in self.retry_budgets.borrow().values() {
            budget.set_limit(share.limit);
        }
    }

    /// Returns how many idle connections to a server of a service this node keeps.
    ///
    /// A server resets connections beyond the number that it accepts, so the idle connections of
    /// all nodes together stay below half of that number.
    pub(crate) fn max_idle_connections(&self, service: &str) -> usize {
        let index = self.index.borrow();
        let service = index.as_ref().and_then(|index| index.service(service));
        let accepted = service.map_or(0, |service| service.max_connections as usize);
        let nodes = self.peer_loads().borrow().node_count();
        accepted * IDLE_CONNECTIONS_PERCENT / 100 / nodes
    }

    /// Returns the retry budget of a service.
    pub(crate) fn retry_budget(&self, service: &str) -> Rc<Budget> {
        if let Some(budget) = self.retry_budgets.borrow().get(service) {
            return Rc::clone(budget);
        }
        let budget = Rc::new(Budget::new(self.retry_share(), self.options.retry_ratio));
        self.retry_budgets
            .borrow_mut()
            .insert(service.into(), Rc::clone(&budget));
        budget
    }

    /// Returns whether the node was asked to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.made_at().is_some()
    }

    /// Returns the planned stop, once it has been requested.
    pub(crate) fn shutdown(&self) -> Option<Shutdown> {
        let requested_at = self.stop.made_at()?;
        Some(Shutdown::new(requested_at, self.stop_limits()))
    }

    /// Returns the times of a planned stop.
    pub(crate) fn stop_limits(&self) -> Limits {
        Limits::new(self.options.grace)
    }

    /// Returns whether the node accepts new connections.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.index.borrow().is_some()
            && !self.is_fleet_empty()
            && self.poison.is_restored()
    }

    fn is_fleet_empty(&self) -> bool {
        self.fleet.borrow().servers().next().is_none()
    }
}
