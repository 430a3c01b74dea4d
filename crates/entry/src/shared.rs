//! State and options that all workers of one node share.

use std::fmt;
use std::sync::Arc;

use arc_swap::ArcSwap;
use compact_str::CompactString;
use jackdaw_core::store::Store;
use jackdaw_core::time::Clock;
use jackdaw_core::units::{Bytes, Millis};
use jackdaw_policy::route;
use opentelemetry::metrics::Meter;
use tokio::sync::Semaphore;
use tokio::sync::mpsc::UnboundedSender;

use crate::counter::Counters;
use crate::drain::Drain;
use crate::event::Event;
use crate::gate::Gates;
use crate::limits::Limits;
use crate::once::{self, Ledger};
use crate::quota::Quotas;
use crate::snapshot::Snapshot;

/// Limits and timeouts of the callers' data path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Number of workers.
    pub workers: usize,
    /// Maximum size of a request's body.
    pub max_request_body: Bytes,
    /// Maximum size of a buffered answer of a backend server.
    pub max_answer_body: Bytes,
    /// Maximum size of a request's head.
    pub max_request_head: Bytes,
    /// Maximum number of headers of a request.
    pub max_request_headers: usize,
    /// Longest time that a caller may take to send the head of a request.
    pub head_timeout: Millis,
    /// Longest time that a caller may take to send the body of a request.
    pub body_timeout: Millis,
    /// Longest time that a caller's connection is kept while no request is under way.
    pub keep_alive_timeout: Millis,
    /// Longest time that a caller may leave a stream unread.
    pub unread_timeout: Millis,
    /// Longest time for opening a connection to a backend server.
    pub connect_timeout: Millis,
    /// Longest time until the first byte of a completion that is not streamed.
    pub buffered_answer_timeout: Millis,
    /// Longest time until the first byte of any other answer.
    pub first_byte_timeout: Millis,
    /// Longest time between two parts of an answer.
    pub idle_timeout: Millis,
    /// Longest deadline that a caller may ask for.
    pub max_deadline: Millis,
    /// Time that requests in flight get to end after the node was told to stop.
    pub grace_period: Millis,
    /// Number of requests that a backend server of a plain service runs at once.
    pub service_slots: u32,
    /// Maximum number of suspect calls that run alone at the same time.
    pub suspect_slots: usize,
    /// Options of the choice of targets; the number of nodes comes from the snapshot.
    pub route: route::Options,
    /// Options of the ledger of non-idempotent calls.
    pub once: once::Options,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            workers: 4,
            max_request_body: Bytes(4 << 20),
            max_answer_body: Bytes(16 << 20),
            max_request_head: Bytes(32 << 10),
            max_request_headers: 64,
            head_timeout: Millis::from_secs(5),
            body_timeout: Millis::from_secs(20),
            keep_alive_timeout: Millis::from_secs(75),
            unread_timeout: Millis::from_secs(30),
            connect_timeout: Millis(1_000),
            buffered_answer_timeout: Millis::from_secs(60),
            first_byte_timeout: Millis::from_secs(10),
            idle_timeout: Millis::from_secs(5),
            max_deadline: Millis::from_secs(600),
            grace_period: Millis::from_secs(25),
            service_slots: 64,
            suspect_slots: 2,
            route: route::Options::default(),
            once: once::Options::default(),
        }
    }
}

/// State that all workers of one node share.
pub struct Shared {
    /// Current snapshot, by which requests are handled.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Channel of events to the control thread.
    pub events: UnboundedSender<Event>,
    /// Clock of the node.
    pub clock: Arc<dyn Clock>,
    /// Ledger of non-idempotent calls.
    pub ledger: Arc<Ledger>,
    /// Name of this node.
    pub node: CompactString,
    /// Limits and timeouts.
    pub options: Options,
    /// Counters of refusals, retries and outcomes.
    pub counters: Counters,
    /// Requests in flight, and whether new ones are taken.
    pub drain: Drain,
    /// Limits that backend servers name.
    pub limits: Arc<Limits>,
    pub(crate) quotas: Quotas,
    pub(crate) gates: Gates,
    /// Permits for suspect calls to run alone; they bound the targets withheld from other calls.
    pub(crate) suspect_slots: Arc<Semaphore>,
}

impl Shared {
    /// Creates the shared state and registers its metrics in a meter.
    #[must_use]
    pub fn new(
        snapshot: Arc<ArcSwap<Snapshot>>,
        events: UnboundedSender<Event>,
        clock: Arc<dyn Clock>,
        store: Arc<dyn Store>,
        node: &str,
        options: Options,
        meter: &Meter,
    ) -> Self {
        let ledger = Ledger::new(store, Arc::clone(&clock), node, options.once);
        ledger.register_metrics(meter);
        Shared {
            limits: Arc::new(Limits::new(node, Arc::clone(&clock))),
            snapshot,
            events,
            clock,
            ledger,
            node: node.into(),
            options,
            counters: Counters::new(meter),
            drain: Drain::default(),
            quotas: Quotas::default(),
            gates: Gates::default(),
            suspect_slots: Arc::new(Semaphore::new(options.suspect_slots)),
        }
    }

    /// Sends an event to the control thread; does nothing if the control thread has ended.
    pub(crate) fn send(&self, event: Event) {
        let _ = self.events.send(event);
    }
}

impl Shared {
    /// Replaces the limits by those that the node shares with its port for other nodes.
    #[must_use]
    pub fn with_limits(self, limits: Arc<Limits>) -> Self {
        Shared { limits, ..self }
    }
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared")
            .field("node", &self.node)
            .field("options", &self.options)
            .finish_non_exhaustive()
    }
}
