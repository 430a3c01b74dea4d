//! What all parts of a node share.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::config::{Configuration, Index};
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
use jackdaw_policy::retry::Budget;
use opentelemetry::metrics::Meter;
use slog::{Logger, info};
use tokio::sync::Notify;

use crate::arena::Arena;
use crate::options::Options;
use crate::times::Times;

/// Time without registrations after which others' word on the servers is taken; a call waits a
/// second at most.
const BLIND: Millis = Millis(1_800);

/// Percent of the users' bound on retries that the nodes divide; the rest covers nodes that do not
/// know of each other yet.
const RETRY_PART: u32 = 80;
/// Nodes among which retries are divided at least; a node that knows no others yet is not alone.
const MIN_NODES: usize = 6;

/// Time for which other nodes are told of a change; some rounds of datagrams, since any may be lost.
const RECENT: Millis = Millis(800);

/// Writes a node's metrics for the operators' collector.
pub trait Exporter: Send + Sync {
    /// Returns all metrics as text.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded.
    fn render(&self) -> Result<String>;
}

/// What a node is given from outside.
#[derive(Clone)]
pub struct Parts {
    /// The platform's manner of speaking.
    pub dialect: Arc<dyn Protocol>,
    /// Follows the store's keys.
    pub log: Arc<dyn ChangeFeed>,
    /// The store.
    pub store: Arc<dyn Store>,
    /// Sends orders to model engines.
    pub orders: Arc<dyn Orders>,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Logger.
    pub logger: Logger,
    /// Meter of the node's counters.
    pub meter: Meter,
    /// Writes the metrics.
    pub exporter: Arc<dyn Exporter>,
}

impl fmt::Debug for Parts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Parts").finish_non_exhaustive()
    }
}

/// State of one node; everything runs on one thread.
pub(crate) struct Node {
    pub(crate) options: Options,
    pub(crate) parts: Parts,
    pub(crate) counters: Counters,
    pub(crate) times: Times,
    pub(crate) pool: Pool,
    pub(crate) drain: Drain,
    /// Whether the node was asked to stop.
    pub(crate) stopping: Cell<bool>,
    /// Whether a request has come.
    pub(crate) in_service: Cell<bool>,
    /// Time of the last answer with registrations.
    pub(crate) heard_at: Cell<Instant>,
    /// Whether this node leads its zone on while the store is away.
    pub(crate) caretaking: Cell<bool>,
    /// Whether this node leads its zone.
    pub(crate) leading: Cell<bool>,
    /// Servers whose state has changed, with the times.
    pub(crate) changes: RefCell<HashMap<CompactString, Instant>>,
    /// Servers that were found dead while the store is away, with their starts.
    pub(crate) lost: RefCell<HashMap<CompactString, u64>>,
    /// Told when the configuration or the servers have changed.
    pub(crate) changed: Notify,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) arena: Rc<RefCell<Arena>>,
    index: RefCell<Option<Rc<Index>>>,
    budgets: RefCell<HashMap<CompactString, Rc<Budget>>>,
}

impl Node {
    pub(crate) fn new(options: Options, parts: Parts) -> Self {
        Node {
            counters: Counters::new(&parts.meter),
            times: Times::new(&parts.meter),
            options,
            parts,
            pool: Pool::new(pool::Options::default()),
            drain: Drain::default(),
            stopping: Cell::new(false),
            in_service: Cell::new(false),
            heard_at: Cell::default(),
            caretaking: Cell::new(false),
            leading: Cell::new(false),
            changes: RefCell::default(),
            lost: RefCell::default(),
            changed: Notify::new(),
            fleet: RefCell::default(),
            arena: Rc::default(),
            index: RefCell::default(),
            budgets: RefCell::default(),
        }
    }

    /// Notes that a server's state has changed.
    pub(crate) fn note_change(&self, server: &str) {
        let now = self.now();
        self.changes.borrow_mut().insert(server.into(), now);
    }

    /// Returns the servers whose state has changed lately.
    pub(crate) fn recent_changes(&self) -> HashSet<CompactString> {
        let now = self.now();
        let mut changes = self.changes.borrow_mut();
        changes.retain(|_, at| now.since(*at) < RECENT);
        changes.keys().cloned().collect()
    }

    /// Returns whether registrations have not come for a while.
    pub(crate) fn is_blind(&self) -> bool {
        self.now().since(self.heard_at.get()) > BLIND
    }

    /// Gets what the other nodes have said.
    pub(crate) fn board(&self) -> Rc<RefCell<PeerLoads>> {
        Rc::clone(&self.arena.borrow().board)
    }

    pub(crate) fn now(&self) -> Instant {
        self.parts.clock.now()
    }

    pub(crate) fn logger(&self) -> &Logger {
        &self.parts.logger
    }

    /// Gets the configuration in force.
    pub(crate) fn index(&self) -> Option<Rc<Index>> {
        self.index.borrow().clone()
    }

    /// Puts a configuration in force unless a newer one is.
    pub(crate) fn configure(&self, configuration: Configuration) {
        let current = self.index().map(|index| index.configuration().version);
        if current.is_some_and(|version| version >= configuration.version) {
            return;
        }
        info!(self.logger(), "configuration in force";
            "version" => configuration.version,
            "before" => current,
            "routes" => configuration.routes.len(),
            "teams" => configuration.teams.len());
        *self.index.borrow_mut() = Some(Rc::new(Index::new(configuration)));
        self.refresh();
    }

    /// Derives the places that requests can be sent to from what is known of the servers.
    pub(crate) fn refresh(&self) {
        if let Some(index) = self.index() {
            let fleet = self.fleet.borrow();
            let targets = index
                .configuration()
                .services
                .iter()
                .flat_map(|service| fleet.targets(&service.name, service.engine.as_ref()))
                .collect();
            let mut arena = self.arena.borrow_mut();
            let before = arena.counts();
            arena.update(targets, self.now());
            let after = arena.counts();
            if after != before {
                info!(self.logger(), "places that serve have changed"; "counts" => ?after);
            }
        }
        self.changed.notify_waiters();
    }

    /// Returns this node's part of the retries that all nodes together may spend at once.
    fn retries(&self) -> u32 {
        let nodes = self.board().borrow().node_count().max(MIN_NODES);
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        (self.options.retries * RETRY_PART / 100 / nodes).max(1)
    }

    /// Divides the retries anew after the number of nodes has changed.
    pub(crate) fn divide_retries(&self) {
        let retries = self.retries();
        for budget in self.budgets.borrow().values() {
            budget.set_limit(retries);
        }
    }

    /// Returns the retry budget of a service.
    pub(crate) fn budget(&self, service: &str) -> Rc<Budget> {
        if let Some(budget) = self.budgets.borrow().get(service) {
            return Rc::clone(budget);
        }
        let budget = Rc::new(Budget::new(self.retries()));
        self.budgets
            .borrow_mut()
            .insert(service.into(), Rc::clone(&budget));
        budget
    }

    /// Returns whether new connections are welcome.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping.get() && self.index.borrow().is_some() && !self.fleet_is_empty()
    }

    fn fleet_is_empty(&self) -> bool {
        self.fleet.borrow().servers().next().is_none()
    }
}
