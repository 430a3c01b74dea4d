//! What all workers of one node share.

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
use crate::once::{self, Ledger};
use crate::share::Shares;
use crate::snapshot::Snapshot;

/// Bounds of the callers' data path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Number of workers.
    pub workers: usize,
    /// Largest body of a request.
    pub request_body: Bytes,
    /// Largest whole answer of a backend server.
    pub answer_body: Bytes,
    /// Largest head of a request.
    pub request_head: Bytes,
    /// Largest number of headers of a request.
    pub request_headers: usize,
    /// Longest time that a caller may take for the head of a request.
    pub head_timeout: Millis,
    /// Longest time that a caller may take for the body of a request.
    pub body_timeout: Millis,
    /// Longest time that a caller may leave a stream unread.
    pub unread_timeout: Millis,
    /// Longest time for opening a connection to a backend server.
    pub connect_timeout: Millis,
    /// Longest time until the whole answer of a completion that is not streamed begins.
    pub whole_answer_timeout: Millis,
    /// Longest time until the first byte of any other answer.
    pub first_byte_timeout: Millis,
    /// Longest time between two parts of an answer.
    pub idle_timeout: Millis,
    /// Longest deadline that a caller may ask for.
    pub max_deadline: Millis,
    /// Requests that a backend server of a plain service runs at once.
    pub service_slots: u32,
    /// Suspect calls that run alone at the same time.
    pub suspect_slots: usize,
    /// What the choice of a target weighs; the number of nodes comes from the snapshot.
    pub route: route::Options,
    /// Bounds of the records of non-idempotent calls.
    pub once: once::Options,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            workers: 4,
            request_body: Bytes(4 << 20),
            answer_body: Bytes(16 << 20),
            request_head: Bytes(32 << 10),
            request_headers: 64,
            head_timeout: Millis::from_secs(5),
            body_timeout: Millis::from_secs(20),
            unread_timeout: Millis::from_secs(30),
            connect_timeout: Millis(1_000),
            whole_answer_timeout: Millis::from_secs(60),
            first_byte_timeout: Millis::from_secs(10),
            idle_timeout: Millis::from_secs(5),
            max_deadline: Millis::from_secs(600),
            service_slots: 64,
            suspect_slots: 2,
            route: route::Options::default(),
            once: once::Options::default(),
        }
    }
}

/// What all workers of one node share.
pub struct Shared {
    /// The view from which requests are decided.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Events to the control thread.
    pub events: UnboundedSender<Event>,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Records of non-idempotent calls.
    pub ledger: Arc<Ledger>,
    /// Name of this node.
    pub node: CompactString,
    /// Bounds.
    pub options: Options,
    /// Counters of refusals, retries and outcomes.
    pub counters: Counters,
    /// Requests in flight, and whether new ones are taken.
    pub drain: Drain,
    pub(crate) shares: Shares,
    pub(crate) gates: Gates,
    /// Turns of suspect calls, so that few targets are taken from the others.
    pub(crate) suspects: Arc<Semaphore>,
}

impl Shared {
    /// Creates the shared part of a node's data path.
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
            snapshot,
            events,
            clock,
            ledger,
            node: node.into(),
            options,
            counters: Counters::new(meter),
            drain: Drain::default(),
            shares: Shares::default(),
            gates: Gates::default(),
            suspects: Arc::new(Semaphore::new(options.suspect_slots)),
        }
    }

    /// Hands an event to the control thread; a control thread that has ended takes none.
    pub(crate) fn send(&self, event: Event) {
        let _ = self.events.send(event);
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
