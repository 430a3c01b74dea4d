//! Keeps the configuration up to date where the store's answers do not.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use http::Request;
use http::header::HOST;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::protocol::Exchange as _;
use jackdaw_core::store::{Era, EraReport};
use jackdaw_core::units::Millis;
use jackdaw_link::client::Client;
use jackdaw_link::pool;
use jackdaw_policy::freshness::{self, Finding};
use ntex::http::Response;
use opentelemetry::metrics::{Counter, Meter, ObservableGauge};
use slog::{info, warn};
use tokio::sync::{Notify, watch};

use crate::node::Node;

/// Path at which a node gives its peers the configuration that it has in force.
const CONFIGURATION_PATH: &str = "/configuration";
/// Longest time for a peer's answer.
const FETCH_TIMEOUT: Millis = Millis(500);

/// What a node needs to notice that its configuration is out of date, and to get a newer one.
pub(crate) struct Freshness {
    state: RefCell<freshness::Freshness>,
    /// Configuration in force as the store holds it.
    value: RefCell<Option<Bytes>>,
    client: Client,
    /// Changed when all that is followed is to be read anew.
    all_rereads: watch::Sender<u64>,
    /// Changed when the configuration is to be read anew.
    configuration_rereads: watch::Sender<u64>,
    /// Changed when the zone's leader is to be looked up anew.
    leader_rereads: watch::Sender<u64>,
    /// Era of the store that this node goes by.
    era: Cell<Era>,
    /// Whether the warning of answers without an era was given.
    has_warned: Cell<bool>,
    eras: Counter<u64>,
    /// Notified when the store has come back from a copy.
    pub(crate) has_new_era: Notify,
    age_ms: Arc<AtomicU64>,
    _age: ObservableGauge<f64>,
}

impl fmt::Debug for Freshness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Freshness").finish_non_exhaustive()
    }
}

impl Freshness {
    pub(crate) fn new(meter: &Meter) -> Self {
        let age_ms = Arc::new(AtomicU64::new(0));
        let observed = Arc::clone(&age_ms);
        let age = meter
            .f64_observable_gauge("jackdawstair_version_age")
            .with_unit("s")
            .with_description("Time since the store or a peer last confirmed the configuration.")
            .with_callback(move |observer| {
                observer.observe(observed.load(Ordering::Relaxed) as f64 / 1_000.0, &[]);
            })
            .build();
        Freshness {
            state: RefCell::default(),
            value: RefCell::default(),
            client: Client::new("fetch configuration", pool::Options::default()),
            all_rereads: watch::Sender::new(0),
            configuration_rereads: watch::Sender::new(0),
            leader_rereads: watch::Sender::new(0),
            era: Cell::default(),
            has_warned: Cell::new(false),
            eras: meter
                .u64_counter("jackdawstair_store_eras")
                .with_description("Times that the store came back from a copy.")
                .build(),
            has_new_era: Notify::new(),
            age_ms,
            _age: age,
        }
    }

    /// Returns a receiver that changes when all that is followed is to be read anew.
    pub(crate) fn all_rereads(&self) -> watch::Receiver<u64> {
        self.all_rereads.subscribe()
    }

    /// Returns a receiver that changes when the configuration is to be read anew.
    pub(crate) fn configuration_rereads(&self) -> watch::Receiver<u64> {
        self.configuration_rereads.subscribe()
    }

    /// Returns a receiver that changes when the zone's leader is to be looked up anew.
    pub(crate) fn leader_rereads(&self) -> watch::Receiver<u64> {
        self.leader_rereads.subscribe()
    }

    /// Returns the era of the store that this node goes by.
    pub(crate) fn era(&self) -> Era {
        self.era.get()
    }

    /// Returns the longest wait of the next call for a new configuration.
    pub(crate) fn wait(&self) -> Millis {
        self.state.borrow().wait()
    }

    /// Returns the longest wait of the next call for a change of the zone's leader.
    pub(crate) fn leader_wait(&self) -> Millis {
        self.state.borrow().leader_wait()
    }
}

fn trigger(rereads: &watch::Sender<u64>) {
    rereads.send_modify(|count| *count += 1);
}

impl Node {
    /// Records the configuration that has come into force.
    pub(crate) fn record_configuration(&self, version: u64, value: Bytes) {
        self.freshness.state.borrow_mut().apply(version, self.now());
        *self.freshness.value.borrow_mut() = Some(value);
    }

    /// Records an answer of the store that brings no newer configuration.
    pub(crate) fn confirm_configuration(&self) {
        self.freshness.state.borrow_mut().confirm(self.now());
    }

    /// Records the version that a peer has in force, and asks the peer for it if it is newer.
    pub(crate) fn hear_version(
        self: &Rc<Self>,
        peer: &str,
        address: Option<SocketAddr>,
        version: u64,
    ) {
        let mut state = self.freshness.state.borrow_mut();
        let finding = state.hear(peer, version, self.now());
        drop(state);
        let Some(Finding::Behind { own, newer, peer }) = finding else {
            return;
        };
        info!(self.logger(), "configuration is out of date";
            "version" => own, "newer" => newer, "peer" => %peer);
        match address {
            Some(address) => {
                ntex::rt::spawn(fetch(Rc::clone(self), address));
            }
            None => trigger(&self.freshness.configuration_rereads),
        }
    }

    /// Records that a node of this node's zone has news of the zone's leader.
    pub(crate) fn hear_of_leader(&self, age: Millis) {
        let mut state = self.freshness.state.borrow_mut();
        state.hear_of_leader(age, self.now());
    }

    /// Returns the age of this node's news of the zone's leader, for other nodes.
    pub(crate) fn leader_age(&self) -> Option<Millis> {
        self.freshness.state.borrow().leader_age(self.now())
    }

    /// Notices whether the store has come back from a copy; called after each answer that is followed.
    pub(crate) fn check_era(&self) {
        let EraReport { era, unstated } = self.parts.change_feed.era();
        let freshness = &self.freshness;
        if unstated > 0 && !freshness.has_warned.replace(true) {
            warn!(self.logger(), "answer of the store does not state its era"; "era" => era.0);
        }
        let before = freshness.era.get();
        if era <= before {
            return;
        }
        freshness.era.set(era);
        // The first era that a node sees is none that began while it ran.
        if freshness.state.borrow().version().is_none() {
            return;
        }
        freshness.eras.add(1, &[]);
        warn!(self.logger(), "store has come back from a copy";
            "era" => era.0, "before" => before.0, "configuration" => self.version());
        trigger(&freshness.all_rereads);
        freshness.has_new_era.notify_one();
    }

    /// Notices whether the node was suspended, leads, or hears no peer; called several times a second.
    pub(crate) fn tick_freshness(&self) {
        self.check_era();
        let now = self.now();
        let unix_ms = self.parts.clock.unix_millis();
        let mut state = self.freshness.state.borrow_mut();
        let finding = state.tick(self.is_leading.get(), now, unix_ms);
        let age = state.age(now);
        drop(state);
        self.freshness.age_ms.store(age.0, Ordering::Relaxed);
        match finding {
            Some(Finding::Suspended(duration)) => {
                warn!(self.logger(), "node stood still, or a clock jumped; reading all anew";
                    "duration_ms" => duration.0, "configuration_age_ms" => age.0);
                trigger(&self.freshness.all_rereads);
            }
            Some(Finding::Alone) => {
                info!(self.logger(), "no peer is heard"; "configuration_age_ms" => age.0);
                trigger(&self.freshness.configuration_rereads);
            }
            Some(Finding::Leading) => trigger(&self.freshness.configuration_rereads),
            Some(Finding::LeaderSilent) => trigger(&self.freshness.leader_rereads),
            Some(Finding::Behind { .. }) | None => {}
        }
    }
}

/// Gets the configuration of a peer, or reads it from the store if the peer does not give it.
async fn fetch(node: Rc<Node>, peer: SocketAddr) {
    if let Err(error) = fetch_from(&node, peer).await {
        warn!(node.logger(), "peer does not give its configuration";
            "peer" => %peer, "error" => %error);
        trigger(&node.freshness.configuration_rereads);
    }
}

async fn fetch_from(node: &Node, peer: SocketAddr) -> Result<()> {
    let malformed = |reason: String| Error::malformed("fetch configuration", "peer", reason);
    let request = Request::get(CONFIGURATION_PATH)
        .header(HOST, peer.to_string())
        .body(Bytes::new())
        .map_err(|error| malformed(error.to_string()))?;
    let client = &node.freshness.client;
    let answer = client.exchange(peer, request, FETCH_TIMEOUT).await?;
    if !answer.status().is_success() {
        return Err(malformed(format!("status {}", answer.status())));
    }
    node.apply_configuration(answer.into_body())
}

/// Answers a peer's request.
pub(crate) fn handle_peer(node: &Node, path: &str) -> Response {
    let value = node.freshness.value.borrow();
    match value.as_ref().filter(|_| path == CONFIGURATION_PATH) {
        Some(value) => Response::Ok().body(value.to_vec()),
        None => Response::NotFound().finish(),
    }
}
