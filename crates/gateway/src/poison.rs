//! Requests that end servers: what this node saw of them, and what the other nodes and the store tell.
//!
//! Evidence and bans travel with the datagrams between nodes; `bans` keeps bans in the store as well.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;

use compact_str::CompactString;
use jackdaw_core::decision::Decision;
use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_core::units::Millis;
use jackdaw_policy::poison::{Ban, Crash, CrashId, Evidence, Suspicion, Tracker, Verdict};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use prost::Message;
use slog::{debug, info, warn};
use tokio::sync::Notify;

use crate::node::Node;

/// Time for which a change is passed on with each round of datagrams; a round reaches few nodes, and
/// those pass it on.
const NEWS_TIME: Millis = Millis(1_500);
/// Pause between two rounds that repeat what is not new, for nodes that have missed it.
const REPEAT_INTERVAL: Millis = Millis(1_000);
/// Largest number of suspects' crashes in a datagram with news.
const MAX_NEWS: usize = 18;
/// Largest number of suspects' crashes in a datagram without news.
const MAX_REPEATED: usize = 6;
/// Largest number of bans in a datagram.
const MAX_BANS: usize = 8;
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
    /// Digest of the request.
    #[prost(bytes, tag = "1")]
    digest: Vec<u8>,
    /// Identity of the crash.
    #[prost(fixed64, tag = "2")]
    crash: u64,
    /// Whether the request is cleared of the crash.
    #[prost(bool, tag = "3")]
    is_cleared: bool,
    /// Time since the crash in milliseconds.
    #[prost(uint64, tag = "4")]
    age_ms: u64,
}

/// A ban on the wire.
#[derive(Clone, PartialEq, Message)]
struct BanRecord {
    /// Digest of the request.
    #[prost(bytes, tag = "1")]
    digest: Vec<u8>,
    /// Time in milliseconds for which the request is still refused.
    #[prost(uint64, tag = "2")]
    remaining_ms: u64,
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
            digest: evidence.digest.0.to_vec(),
            crash: evidence.crash.0,
            is_cleared: evidence.is_cleared,
            age_ms: evidence.age.0,
        }
    }
}

impl EvidenceRecord {
    fn decode(&self) -> Option<Evidence> {
        Some(Evidence {
            digest: Digest::try_from(self.digest.as_slice()).ok()?,
            crash: CrashId(self.crash),
            is_cleared: self.is_cleared,
            age: Millis(self.age_ms),
        })
    }
}

impl From<Ban> for BanRecord {
    fn from(ban: Ban) -> Self {
        BanRecord {
            digest: ban.digest.0.to_vec(),
            remaining_ms: ban.remaining.0,
        }
    }
}

impl BanRecord {
    fn decode(&self) -> Option<Ban> {
        Some(Ban {
            digest: Digest::try_from(self.digest.as_slice()).ok()?,
            remaining: Millis(self.remaining_ms),
        })
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
    address: SocketAddr,
    at: Instant,
}

/// What a node knows of requests that end servers.
pub(crate) struct Poison {
    tracker: RefCell<Tracker>,
    /// Digests of which something changed lately, with the times.
    news: RefCell<HashMap<Digest, Instant>>,
    repeated_at: Cell<Instant>,
    silences: RefCell<Vec<Silence>>,
    /// Bans that are not in the store yet.
    unsaved: RefCell<Vec<Digest>>,
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
            news: RefCell::default(),
            repeated_at: Cell::default(),
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

    /// Returns the verdict on a request.
    pub(crate) fn verdict(&self, digest: &Digest, now: Instant) -> Verdict {
        self.tracker.borrow().verdict(digest, now)
    }

    /// Returns the suspicion of a request, if it is a suspect.
    pub(crate) fn suspicion(&self, digest: &Digest) -> Option<Suspicion> {
        self.tracker.borrow().suspicion(digest)
    }

    /// Returns the ban of a request, if it is banned.
    pub(crate) fn ban(&self, digest: &Digest, now: Instant) -> Option<Ban> {
        self.tracker.borrow().current_ban(digest, now)
    }

    /// Returns all bans.
    pub(crate) fn bans(&self, now: Instant) -> Vec<Ban> {
        self.tracker.borrow().bans(now).collect()
    }

    /// Returns the next request whose ban is to be written to the store.
    pub(crate) fn next_unsaved(&self) -> Option<Digest> {
        self.unsaved.borrow().first().copied()
    }

    /// Records that the ban of the request returned by [`Poison::next_unsaved`] needs no writing.
    pub(crate) fn finish_saving(&self) {
        self.unsaved.borrow_mut().remove(0);
    }

    /// Has a ban written to the store that has lost it.
    pub(crate) fn save_again(&self, digest: Digest) {
        self.rewritten.add(1, &[]);
        self.save(digest);
    }

    fn save(&self, digest: Digest) {
        self.unsaved.borrow_mut().push(digest);
        self.has_unsaved.notify_one();
    }

    /// Returns what the other nodes are to be told in this round, or `None` if there is nothing.
    fn report(&self, now: Instant) -> Option<Report> {
        let tracker = self.tracker.borrow();
        let mut news = self.news.borrow_mut();
        news.retain(|_, changed_at| now.since(*changed_at) < NEWS_TIME);
        let is_repeating = now.since(self.repeated_at.get()) >= REPEAT_INTERVAL;
        if news.is_empty() && !is_repeating {
            return None;
        }
        self.repeated_at.set(now);
        let (mut digests, limit): (Vec<Digest>, usize) = if news.is_empty() {
            (tracker.open_suspects().copied().collect(), MAX_REPEATED)
        } else {
            (news.keys().copied().collect(), MAX_NEWS)
        };
        fastrand::shuffle(&mut digests);
        let crashes = |digest: &Digest| {
            let suspicion = tracker.suspicion(digest);
            suspicion.map_or(0, |suspicion| suspicion.crashes)
        };
        digests.sort_by_key(|digest| std::cmp::Reverse(crashes(digest)));
        let evidence = digests
            .iter()
            .flat_map(|digest| tracker.evidence_on(digest, now));
        let mut bans: Vec<Ban> = tracker.bans(now).collect();
        fastrand::shuffle(&mut bans);
        bans.sort_by_key(|ban| !news.contains_key(&ban.digest));
        let report = Report {
            evidence: evidence.take(limit).map(EvidenceRecord::from).collect(),
            bans: bans
                .into_iter()
                .take(MAX_BANS)
                .map(BanRecord::from)
                .collect(),
        };
        (report != Report::default()).then_some(report)
    }
}

impl Node {
    /// Records that a server ended before it began to answer a request.
    pub(crate) fn record_crash(&self, request: &str, crash: &Crash) {
        let poison = &self.poison;
        poison.crashes.add(1, &[]);
        let now = self.now();
        let decision = poison.tracker.borrow_mut().record_crash(crash, now);
        let Some(decision) = decision else {
            return;
        };
        let crashes = poison
            .suspicion(&crash.digest)
            .map_or(0, |suspicion| suspicion.crashes);
        info!(self.logger(), "server ended under a request";
            "request" => request,
            "digest" => %crash.digest.prefix(),
            "server" => %crash.server,
            "incarnation" => crash.incarnation,
            "cause" => %decision.cause,
            "crashes" => crashes);
        poison.news.borrow_mut().insert(crash.digest, now);
        if crashes >= URGENT_CRASHES {
            poison.has_urgent_news.notify_one();
        }
        self.handle_ban(&crash.digest);
    }

    /// Records that a server fell silent before it began to answer a request.
    pub(crate) fn record_silence(&self, request: &str, crash: Crash, address: SocketAddr) {
        let now = self.now();
        let mut silences = self.poison.silences.borrow_mut();
        silences.retain(|silence| now.since(silence.at) < SILENCE_MEMORY);
        if silences.len() >= MAX_SILENCES {
            silences.remove(0);
        }
        silences.push(Silence {
            request: request.into(),
            crash,
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
            self.record_crash(&silence.request, &silence.crash);
        }
    }

    /// Records that a server answered a request.
    pub(crate) fn record_survival(&self, request: &str, digest: &Digest) {
        let mut silences = self.poison.silences.borrow_mut();
        silences.retain(|silence| silence.crash.digest != *digest);
        drop(silences);
        let decision = self.poison.tracker.borrow_mut().record_answer(digest);
        if let Some(decision) = decision {
            info!(self.logger(), "request is no longer suspected";
                "request" => request,
                "digest" => %digest.prefix(),
                "cause" => %decision.cause);
            self.poison.news.borrow_mut().insert(*digest, self.now());
        }
    }

    /// Returns what the other nodes are to be told in this round, or `None` if there is nothing.
    pub(crate) fn poison_report(&self) -> Option<Report> {
        let now = self.now();
        self.poison.tracker.borrow_mut().expire(now);
        self.poison.report(now)
    }

    /// Adopts what another node told.
    pub(crate) fn adopt_poison_report(&self, report: &Report) {
        for ban in report.bans.iter().filter_map(BanRecord::decode) {
            self.adopt_ban(ban, Source::Peer);
        }
        for evidence in report.evidence.iter().filter_map(EvidenceRecord::decode) {
            let now = self.now();
            let decision = {
                let mut tracker = self.poison.tracker.borrow_mut();
                tracker.adopt_evidence(evidence, now)
            };
            if let Some(decision) = decision {
                self.record_learned(&evidence.digest, &decision);
                self.handle_ban(&evidence.digest);
            }
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

    fn record_learned(&self, digest: &Digest, decision: &Decision) {
        debug!(self.logger(), "another node tells of a request and a server's end";
            "digest" => %digest.prefix(),
            "cause" => %decision.cause,
            "outcome" => %decision.taken);
        self.poison.news.borrow_mut().insert(*digest, self.now());
    }

    /// Records a ban that follows from crashes, and has it saved by the nodes that saw one of them.
    fn handle_ban(&self, digest: &Digest) {
        let poison = &self.poison;
        let Some(ban) = poison.ban(digest, self.now()) else {
            return;
        };
        self.record_ban(&ban, Source::Crashes);
        if poison.tracker.borrow().is_seen_here(digest) {
            poison.save(*digest);
        }
        poison.has_urgent_news.notify_one();
    }

    fn record_ban(&self, ban: &Ban, source: Source) {
        let label = KeyValue::new("source", source.label());
        self.poison.bans.add(1, &[label]);
        self.poison.news.borrow_mut().insert(ban.digest, self.now());
        warn!(self.logger(), "request is refused from now on: servers ended under it";
            "digest" => %ban.digest.prefix(),
            "source" => source.label(),
            "remaining_ms" => ban.remaining.0);
    }
}
