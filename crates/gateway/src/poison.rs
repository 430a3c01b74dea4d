//! Requests that end servers: what this node saw of them, and what the other nodes and the store tell.
//!
//! Evidence and bans travel with the datagrams between nodes; `bans` keeps bans in the store as well.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use compact_str::CompactString;
use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_core::units::Millis;
use jackdaw_policy::poison::{
    self, Admission, Ban, Change, Crash, CrashId, Evidence, Feature, Features, News, Peers,
    Suspicion, Tracker,
};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use prost::Message;
use slog::{debug, info, warn};
use tokio::sync::Notify;

use crate::node::Node;

/// Time in which a server that fell silent is expected to register as another incarnation if it has
/// ended.
const SILENCE_MEMORY: Millis = Millis::from_secs(15);
/// Largest number of requests whose silent servers are remembered.
const MAX_SILENCES: usize = 256;
/// Number of crashes from which all nodes are told at once.
const URGENT_CRASHES: u32 = 2;

/// Evidence on the wire.
#[derive(Clone, PartialEq, Message)]
struct EvidenceRecord {
    /// The feature.
    #[prost(bytes, tag = "1")]
    feature: Vec<u8>,
    /// Identity of the crash.
    #[prost(fixed64, tag = "2")]
    crash: u64,
    /// Whether the feature is cleared of the crash.
    #[prost(bool, tag = "3")]
    is_cleared: bool,
    /// Time since the crash in milliseconds.
    #[prost(uint64, tag = "4")]
    age_ms: u64,
}

/// A ban on the wire.
#[derive(Clone, PartialEq, Message)]
struct BanRecord {
    /// The feature.
    #[prost(bytes, tag = "1")]
    feature: Vec<u8>,
    /// Time in milliseconds for which the feature is still refused.
    #[prost(uint64, tag = "2")]
    remaining_ms: u64,
    /// Whether the ban has been lifted.
    #[prost(bool, tag = "3")]
    is_lifted: bool,
}

/// What a node tells the others.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Report {
    #[prost(message, repeated, tag = "1")]
    evidence: Vec<EvidenceRecord>,
    #[prost(message, repeated, tag = "2")]
    bans: Vec<BanRecord>,
}

impl From<Evidence> for EvidenceRecord {
    fn from(evidence: Evidence) -> Self {
        EvidenceRecord {
            feature: evidence.feature.to_bytes(),
            crash: evidence.crash.0,
            is_cleared: evidence.is_cleared,
            age_ms: evidence.age.0,
        }
    }
}

impl EvidenceRecord {
    fn decode(&self) -> Option<Evidence> {
        Some(Evidence {
            feature: Feature::from_bytes(&self.feature)?,
            crash: CrashId(self.crash),
            is_cleared: self.is_cleared,
            age: Millis(self.age_ms),
        })
    }
}

impl From<Ban> for BanRecord {
    fn from(ban: Ban) -> Self {
        BanRecord {
            feature: ban.feature.to_bytes(),
            remaining_ms: ban.remaining.0,
            is_lifted: ban.is_lifted,
        }
    }
}

impl BanRecord {
    fn decode(&self) -> Option<Ban> {
        Some(Ban {
            feature: Feature::from_bytes(&self.feature)?,
            remaining: Millis(self.remaining_ms),
            is_lifted: self.is_lifted,
        })
    }
}

impl From<poison::Report> for Report {
    fn from(report: poison::Report) -> Self {
        let evidence = report.evidence.into_iter().map(EvidenceRecord::from);
        let bans = report.bans.into_iter().map(BanRecord::from);
        Report {
            evidence: evidence.collect(),
            bans: bans.collect(),
        }
    }
}

/// Where a node learned that a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Crashes,
    Peer,
    Store,
}

impl Source {
    fn label(self) -> &'static str {
        match self {
            Source::Crashes => "crashes",
            Source::Peer => "peer",
            Source::Store => "store",
        }
    }
}

/// A request whose server fell silent, which is a crash only if the server has ended.
#[derive(Clone, Debug)]
struct Silence {
    request: CompactString,
    crash: Crash,
    digest: Digest,
    parts: Vec<u64>,
    address: SocketAddr,
    at: Instant,
}

/// What a node knows of requests that end servers.
pub(crate) struct Poison {
    tracker: RefCell<Tracker>,
    peers: RefCell<Peers>,
    news: RefCell<News>,
    silences: RefCell<Vec<Silence>>,
    /// Bans that are not in the store yet.
    unsaved: RefCell<Vec<Feature>>,
    /// Notified when a ban is to be written to the store.
    pub(crate) has_unsaved: Notify,
    /// Notified when all nodes are to be told at once.
    pub(crate) has_urgent_news: Notify,
    is_restored: Cell<bool>,
    crashes: Counter<u64>,
    bans: Counter<u64>,
    rewritten: Counter<u64>,
}

impl fmt::Debug for Poison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Poison").finish_non_exhaustive()
    }
}

impl Poison {
    pub(crate) fn new(meter: &Meter) -> Self {
        Poison {
            tracker: RefCell::default(),
            peers: RefCell::default(),
            news: RefCell::default(),
            silences: RefCell::default(),
            unsaved: RefCell::default(),
            has_unsaved: Notify::new(),
            has_urgent_news: Notify::new(),
            is_restored: Cell::new(false),
            crashes: meter
                .u64_counter("jackdawstair_crashes")
                .with_description("Requests whose server ended before it began to answer them.")
                .build(),
            bans: meter
                .u64_counter("jackdawstair_bans")
                .with_description("Requests refused from then on, by how the node learned it.")
                .build(),
            rewritten: meter
                .u64_counter("jackdawstair_records_rewritten")
                .with_description("Records written again after the store came back from a copy.")
                .build(),
        }
    }

    /// Returns whether the bans in the store have been read.
    pub(crate) fn is_restored(&self) -> bool {
        self.is_restored.get()
    }

    /// Returns whether no request has a verdict, so that no digest need be computed.
    pub(crate) fn is_empty(&self) -> bool {
        self.tracker.borrow().is_empty()
    }

    /// Sets the nodes that take turns with suspected features.
    pub(crate) fn set_peers(&self, peers: Peers) {
        self.peers.replace(peers);
    }

    /// Returns whether a request may be sent to a server now.
    pub(crate) fn admit(&self, features: &Features<'_>, now: Instant) -> Admission {
        self.tracker
            .borrow()
            .admit(features, &self.peers.borrow(), now)
    }

    /// Returns the suspicion of a request, if it is a suspect.
    pub(crate) fn suspicion(&self, features: &Features<'_>) -> Option<Suspicion> {
        self.tracker.borrow().suspicion(features)
    }

    /// Returns the ban of a feature that has not ended, also one that was lifted.
    pub(crate) fn ban(&self, feature: &Feature, now: Instant) -> Option<Ban> {
        self.tracker.borrow().ban(feature, now)
    }

    /// Returns all bans, also those that were lifted.
    pub(crate) fn bans(&self, now: Instant) -> Vec<Ban> {
        self.tracker.borrow().bans(now).collect()
    }

    /// Returns the next feature whose ban is to be written to the store.
    pub(crate) fn next_unsaved(&self) -> Option<Feature> {
        self.unsaved.borrow().first().copied()
    }

    /// Records that the ban of the feature returned by [`Poison::next_unsaved`] needs no writing.
    pub(crate) fn finish_saving(&self) {
        self.unsaved.borrow_mut().remove(0);
    }

    /// Has a ban written to the store that has lost it.
    pub(crate) fn save_again(&self, feature: Feature) {
        self.rewritten.add(1, &[]);
        self.save(feature);
    }

    fn save(&self, feature: Feature) {
        self.unsaved.borrow_mut().push(feature);
        self.has_unsaved.notify_one();
    }

    /// Returns what the other nodes are to be told in this round, or `None` if there is nothing.
    fn report(&self, now: Instant) -> Option<Report> {
        let tracker = self.tracker.borrow();
        let mut random = fastrand::Rng::new();
        let report = self.news.borrow_mut().report(&tracker, now, &mut random);
        report.map(Report::from)
    }

    /// Returns what all nodes are to be told at once, or `None` if there is nothing.
    fn urgent_report(&self, now: Instant) -> Option<Report> {
        let tracker = self.tracker.borrow();
        let report = self.news.borrow_mut().urgent_report(&tracker, now);
        report.map(Report::from)
    }

    fn record_urgent(&self, feature: Feature, now: Instant) {
        self.news.borrow_mut().record_urgent(feature, now);
        self.has_urgent_news.notify_one();
    }
}

/// A request with suspected features in flight, until it is dropped.
pub(crate) struct Trial {
    node: Rc<Node>,
    trial: poison::Trial,
}

impl Trial {
    /// Begins the trial of a request.
    pub(crate) fn begin(node: &Rc<Node>, features: &Features<'_>) -> Self {
        let trial = node.poison.tracker.borrow_mut().begin_trial(features);
        Trial {
            node: Rc::clone(node),
            trial,
        }
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.node.poison.tracker.borrow_mut().end_trial(self.trial);
    }
}

impl Node {
    /// Records that a server ended before it began to answer a request.
    pub(crate) fn record_crash(&self, request: &str, crash: &Crash, features: &Features<'_>) {
        let poison = &self.poison;
        poison.crashes.add(1, &[]);
        let now = self.now();
        let changes = {
            let mut tracker = poison.tracker.borrow_mut();
            tracker.record_crash(crash, features, now)
        };
        if changes.is_empty() {
            return;
        }
        let suspicion = poison.suspicion(features);
        let crashes = suspicion.map_or(0, |suspicion| suspicion.crashes);
        info!(self.logger(), "server ended under a request";
            "request" => request,
            "digest" => %features.request.prefix(),
            "parts" => features.parts.len(),
            "server" => %crash.server,
            "incarnation" => crash.incarnation,
            "cause" => %changes[0].decision.cause,
            "crashes" => crashes);
        for change in &changes {
            let suspicion = poison.tracker.borrow().suspicion_of(&change.feature);
            let crashes = suspicion.map_or(0, |suspicion| suspicion.crashes);
            if !change.feature.is_request() || crashes >= URGENT_CRASHES {
                poison.record_urgent(change.feature, now);
            }
        }
        self.handle_changes(&changes);
    }

    /// Records that a server fell silent before it began to answer a request.
    pub(crate) fn record_silence(
        &self,
        request: &str,
        crash: Crash,
        features: &Features<'_>,
        address: SocketAddr,
    ) {
        let now = self.now();
        let mut silences = self.poison.silences.borrow_mut();
        silences.retain(|silence| now.since(silence.at) < SILENCE_MEMORY);
        if silences.len() >= MAX_SILENCES {
            silences.remove(0);
        }
        silences.push(Silence {
            request: request.into(),
            crash,
            digest: features.request,
            parts: features.parts.to_vec(),
            address,
            at: now,
        });
    }

    /// Records a crash for each request whose silent server has been replaced by another incarnation
    /// or another server at its address.
    pub(crate) fn confirm_silences(&self) {
        if self.poison.silences.borrow().is_empty() {
            return;
        }
        let ended: Vec<Silence> = {
            let fleet = self.fleet.borrow();
            let is_replaced = |silence: &mut Silence| {
                let crash = &silence.crash;
                fleet.servers().any(|server| {
                    server.address == silence.address
                        && (server.id != crash.server || server.start_unix_ms != crash.incarnation)
                })
            };
            let mut silences = self.poison.silences.borrow_mut();
            silences.extract_if(.., is_replaced).collect()
        };
        for silence in ended {
            let features = Features {
                request: silence.digest,
                parts: &silence.parts,
            };
            self.record_crash(&silence.request, &silence.crash, &features);
        }
    }

    /// Records that a server began to answer a request.
    pub(crate) fn record_survival(&self, request: &str, features: &Features<'_>) {
        let mut silences = self.poison.silences.borrow_mut();
        silences.retain(|silence| silence.digest != features.request);
        drop(silences);
        let now = self.now();
        let changes = {
            let mut tracker = self.poison.tracker.borrow_mut();
            tracker.record_survival(features, now)
        };
        for change in &changes {
            info!(self.logger(), "request is no longer suspected";
                "request" => request,
                "feature" => %change.feature.name(),
                "cause" => %change.decision.cause);
        }
        self.handle_changes(&changes);
    }

    /// Returns what the other nodes are to be told in this round, or `None` if there is nothing.
    pub(crate) fn poison_report(&self) -> Option<Report> {
        let now = self.now();
        self.poison.tracker.borrow_mut().expire(now);
        self.poison.report(now)
    }

    /// Returns what all nodes are to be told at once, or `None` if there is nothing.
    pub(crate) fn urgent_poison_report(&self) -> Option<Report> {
        self.poison.urgent_report(self.now())
    }

    /// Adopts what another node told.
    pub(crate) fn adopt_poison_report(&self, report: &Report) {
        for ban in report.bans.iter().filter_map(BanRecord::decode) {
            self.adopt_ban(ban, Source::Peer);
        }
        for evidence in report.evidence.iter().filter_map(EvidenceRecord::decode) {
            let now = self.now();
            let changes = {
                let mut tracker = self.poison.tracker.borrow_mut();
                tracker.adopt_evidence(evidence, now)
            };
            for change in &changes {
                debug!(self.logger(), "another node tells of a request and a server's end";
                    "feature" => %change.feature.name(),
                    "cause" => %change.decision.cause,
                    "outcome" => %change.decision.taken);
            }
            self.handle_changes(&changes);
        }
    }

    /// Adopts the bans that were in the store at the node's start.
    pub(crate) fn restore_bans(&self, bans: Vec<Ban>) {
        for ban in bans {
            self.adopt_ban(ban, Source::Store);
        }
        self.poison.is_restored.set(true);
    }

    fn adopt_ban(&self, ban: Ban, source: Source) {
        let now = self.now();
        let decision = self.poison.tracker.borrow_mut().adopt_ban(ban, now);
        if decision.is_some() {
            self.record_ban(&ban, source);
        }
    }

    /// Passes on what changed. A new ban, or that one was lifted, is told to all nodes at once and
    /// saved by the nodes that saw one of the crashes.
    fn handle_changes(&self, changes: &[Change]) {
        let poison = &self.poison;
        let now = self.now();
        for change in changes {
            let feature = &change.feature;
            poison.news.borrow_mut().record(*feature, now);
            let ban = poison.ban(feature, now);
            let Some(ban) = ban.filter(|_| change.has_new_ban) else {
                continue;
            };
            self.record_ban(&ban, Source::Crashes);
            if poison.tracker.borrow().is_seen_here(feature) {
                poison.save(*feature);
            }
            poison.record_urgent(*feature, now);
        }
    }

    fn record_ban(&self, ban: &Ban, source: Source) {
        if ban.is_lifted {
            self.poison
                .news
                .borrow_mut()
                .record(ban.feature, self.now());
            info!(self.logger(), "requests are no longer refused: a server answered one of them";
                "feature" => %ban.feature.name(),
                "source" => source.label());
            return;
        }
        let label = KeyValue::new("source", source.label());
        self.poison.bans.add(1, &[label]);
        self.poison
            .news
            .borrow_mut()
            .record(ban.feature, self.now());
        warn!(self.logger(), "request is refused from now on: servers ended under it";
            "feature" => %ban.feature.name(),
            "source" => source.label(),
            "remaining_ms" => ban.remaining.0);
    }
}
