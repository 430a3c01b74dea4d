//! A node of the simulation: a tracker and the exchange of its evidence.

use std::collections::HashMap;

use fastrand::Rng;
use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_core::units::Millis;
use jackdaw_policy::poison::{Ban, Crash, Evidence, Tracker, Verdict};

use crate::model::Request;

const NEWS_TIME: Millis = Millis(1_500);
const REPEAT_INTERVAL: Millis = Millis(1_000);
const MAX_NEWS: usize = 18;
const MAX_REPEATED: usize = 6;
const MAX_BANS: usize = 8;
const URGENT_CRASHES: u32 = 2;
/// Size of evidence or a ban beside the digest in bytes.
const RECORD_BYTES: usize = 18;
/// Size of a datagram's other fields in bytes.
const HEADER_BYTES: usize = 60;

/// Whether a request may run.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Admission {
    Run,
    Try,
    #[expect(dead_code, reason = "the tracker holds no request yet")]
    Wait(Millis),
    Refuse,
}

/// What a node tells others.
#[derive(Clone, Debug)]
pub(crate) struct Datagram {
    evidence: Vec<Evidence>,
    bans: Vec<Ban>,
}

impl Datagram {
    /// Returns the size on the wire.
    pub(crate) fn bytes(&self) -> usize {
        HEADER_BYTES + (self.evidence.len() + self.bans.len()) * (32 + RECORD_BYTES)
    }
}

/// A node.
#[derive(Debug)]
pub(crate) struct Node {
    tracker: Tracker,
    news: HashMap<Digest, Instant>,
    repeated_at: Instant,
    is_urgent: bool,
    has_changed: bool,
    rng: Rng,
}

impl Node {
    pub(crate) fn new(idx: usize) -> Self {
        Node {
            tracker: Tracker::default(),
            news: HashMap::new(),
            repeated_at: Instant(0),
            is_urgent: false,
            has_changed: false,
            rng: Rng::with_seed(idx as u64),
        }
    }

    pub(crate) fn admit(&self, request: &Request, now: Instant) -> Admission {
        match self.tracker.verdict(&request.digest, now) {
            Verdict::Clear => Admission::Run,
            Verdict::Suspect => Admission::Try,
            Verdict::Banned(_) => Admission::Refuse,
        }
    }

    pub(crate) fn begin_trial(&mut self, _: &Request) {}

    pub(crate) fn end_trial(&mut self, _: &Request) {}

    pub(crate) fn is_recalled(&self, _: &Request, _: Instant) -> bool {
        false
    }

    pub(crate) fn record_crash(
        &mut self,
        request: &Request,
        server: usize,
        incarnation: u64,
        now: Instant,
    ) {
        let crash = Crash {
            digest: request.digest,
            server: server.to_string().into(),
            incarnation,
            alone: false,
        };
        if self.tracker.record_crash(&crash, now).is_none() {
            return;
        }
        self.news.insert(request.digest, now);
        let suspicion = self.tracker.suspicion(&request.digest);
        self.is_urgent |= suspicion.is_some_and(|suspicion| suspicion.crashes >= URGENT_CRASHES);
        self.has_changed = true;
    }

    pub(crate) fn record_survival(&mut self, request: &Request, now: Instant) {
        if self.tracker.record_answer(&request.digest).is_some() {
            self.news.insert(request.digest, now);
            self.has_changed = true;
        }
    }

    pub(crate) fn adopt(&mut self, datagram: &Datagram, now: Instant) {
        for ban in &datagram.bans {
            if self.tracker.adopt_ban(*ban, now).is_some() {
                self.news.insert(ban.digest, now);
                self.has_changed = true;
            }
        }
        for evidence in &datagram.evidence {
            if self.tracker.adopt_evidence(*evidence, now).is_some() {
                self.news.insert(evidence.digest, now);
                self.has_changed = true;
            }
        }
    }

    pub(crate) fn saved(&self, now: Instant) -> Datagram {
        Datagram {
            evidence: Vec::new(),
            bans: self.tracker.bans(now).collect(),
        }
    }

    pub(crate) fn restore(&mut self, datagram: &Datagram, now: Instant) {
        self.adopt(datagram, now);
    }

    pub(crate) fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.is_urgent)
    }

    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    pub(crate) fn report(&mut self, now: Instant) -> Option<Datagram> {
        self.news
            .retain(|_, changed_at| now.since(*changed_at) < NEWS_TIME);
        let is_repeating = now.since(self.repeated_at) >= REPEAT_INTERVAL;
        if self.news.is_empty() && !is_repeating {
            return None;
        }
        self.repeated_at = now;
        let (mut digests, limit): (Vec<Digest>, usize) = if self.news.is_empty() {
            (
                self.tracker.open_suspects().copied().collect(),
                MAX_REPEATED,
            )
        } else {
            (self.news.keys().copied().collect(), MAX_NEWS)
        };
        digests.sort_unstable();
        self.rng.shuffle(&mut digests);
        let evidence = digests
            .iter()
            .flat_map(|digest| self.tracker.evidence_on(digest, now))
            .take(limit)
            .collect();
        let mut bans: Vec<Ban> = self.tracker.bans(now).collect();
        bans.sort_by_key(|ban| ban.digest);
        self.rng.shuffle(&mut bans);
        bans.truncate(MAX_BANS);
        let datagram = Datagram { evidence, bans };
        (!datagram.evidence.is_empty() || !datagram.bans.is_empty()).then_some(datagram)
    }
}
