//! A node of the simulation: a tracker and the exchange of its evidence.

use std::collections::HashMap;

use fastrand::Rng;
use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_core::units::Millis;
use jackdaw_policy::poison::{
    self, Ban, Change, Crash, Features, News, Peers, Report, Tracker, Trial, Verdict,
};

use crate::model::Request;

/// Number of crashes from which all nodes are told at once.
const URGENT_CRASHES: u32 = 2;
/// Size of evidence or a ban beside its feature in bytes.
const RECORD_BYTES: usize = 18;
/// Size of a datagram's other fields in bytes.
const HEADER_BYTES: usize = 60;

/// What nodes do with the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Design {
    /// Only whole requests are recognized, and suspects run at once.
    Digests,
    /// Parts are recognized too, and suspects with one of them run one after another.
    Parts,
    /// Besides, banned requests that no server has begun to answer are taken back.
    Recall,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Admission {
    Run,
    Try,
    Wait(Millis),
    Refuse,
}

/// What a node tells others.
#[derive(Clone, Debug)]
pub(crate) struct Datagram(Report);

impl Datagram {
    /// Returns the size on the wire.
    pub(crate) fn bytes(&self) -> usize {
        let evidence = self.0.evidence.iter().map(|evidence| evidence.feature);
        let bans = self.0.bans.iter().map(|ban| ban.feature);
        let records = evidence.chain(bans);
        let bytes: usize = records
            .map(|feature| feature.encoded_len() + RECORD_BYTES)
            .sum();
        HEADER_BYTES + bytes
    }
}

/// A node.
#[derive(Debug)]
pub(crate) struct Node {
    design: Design,
    tracker: Tracker,
    peers: Peers,
    news: News,
    trials: HashMap<Digest, Trial>,
    has_changed: bool,
    rng: Rng,
}

impl Node {
    pub(crate) fn new(design: Design, idx: usize, nodes: usize) -> Self {
        let names: Vec<String> = (0..nodes).map(|node| format!("node-{node}")).collect();
        let others = names
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != idx)
            .map(|(_, name)| name.as_str());
        Node {
            design,
            tracker: Tracker::default(),
            peers: Peers::new(&names[idx], others),
            news: News::default(),
            trials: HashMap::new(),
            has_changed: false,
            rng: Rng::with_seed(idx as u64),
        }
    }

    fn features<'a>(&self, request: &'a Request) -> Features<'a> {
        match self.design {
            Design::Digests => Features::of_request(request.digest),
            Design::Parts | Design::Recall => Features {
                request: request.digest,
                parts: &request.parts,
            },
        }
    }

    pub(crate) fn admit(&self, request: &Request, now: Instant) -> Admission {
        let features = self.features(request);
        if self.design == Design::Digests {
            return match self.tracker.verdict(&features, now) {
                Verdict::Clear => Admission::Run,
                Verdict::Suspect => Admission::Try,
                Verdict::Banned(_) => Admission::Refuse,
            };
        }
        match self.tracker.admit(&features, &self.peers, now) {
            poison::Admission::Run => Admission::Run,
            poison::Admission::Try => Admission::Try,
            poison::Admission::Wait(pause) => Admission::Wait(pause),
            poison::Admission::Refuse(_) => Admission::Refuse,
        }
    }

    pub(crate) fn begin_trial(&mut self, request: &Request) {
        let features = self.features(request);
        let trial = self.tracker.begin_trial(&features);
        self.trials.insert(request.digest, trial);
    }

    pub(crate) fn end_trial(&mut self, request: &Request) {
        if let Some(trial) = self.trials.remove(&request.digest) {
            self.tracker.end_trial(trial);
            self.has_changed = true;
        }
    }

    pub(crate) fn is_recalled(&self, request: &Request, now: Instant) -> bool {
        let is_on_trial = self.trials.contains_key(&request.digest);
        let is_convicted = self.tracker.is_convicted(&self.features(request), now);
        self.design == Design::Recall && !is_on_trial && is_convicted
    }

    pub(crate) fn record_crash(
        &mut self,
        request: &Request,
        server: usize,
        incarnation: u64,
        now: Instant,
    ) {
        let crash = Crash {
            server: server.to_string().into(),
            incarnation,
            alone: false,
        };
        let features = self.features(request);
        let changes = self.tracker.record_crash(&crash, &features, now);
        for change in &changes {
            let suspicion = self.tracker.suspicion_of(&change.feature);
            let crashes = suspicion.map_or(0, |suspicion| suspicion.crashes);
            if !change.feature.is_request() || crashes >= URGENT_CRASHES {
                self.news.record_urgent(change.feature, now);
            }
        }
        self.publish(&changes, now);
    }

    pub(crate) fn record_survival(&mut self, request: &Request, now: Instant) {
        let features = self.features(request);
        let changes = self.tracker.record_survival(&features, now);
        self.publish(&changes, now);
    }

    fn publish(&mut self, changes: &[Change], now: Instant) {
        for change in changes {
            self.news.record(change.feature, now);
            self.has_changed = true;
        }
    }

    pub(crate) fn adopt(&mut self, datagram: &Datagram, now: Instant) {
        for ban in &datagram.0.bans {
            if self.tracker.adopt_ban(*ban, now).is_some() {
                self.news.record(ban.feature, now);
                self.has_changed = true;
            }
        }
        for evidence in &datagram.0.evidence {
            let changes = self.tracker.adopt_evidence(*evidence, now);
            self.publish(&changes, now);
        }
    }

    /// Returns the bans that the store holds.
    pub(crate) fn saved(&self, now: Instant) -> Datagram {
        let bans: Vec<Ban> = self.tracker.bans(now).collect();
        Datagram(Report {
            evidence: Vec::new(),
            bans,
        })
    }

    /// Returns what all nodes are to be told at once.
    pub(crate) fn urgent_report(&mut self, now: Instant) -> Option<Datagram> {
        if !self.news.is_urgent() {
            return None;
        }
        self.news.urgent_report(&self.tracker, now).map(Datagram)
    }

    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    pub(crate) fn report(&mut self, now: Instant) -> Option<Datagram> {
        self.tracker.expire(now);
        let report = self.news.report(&self.tracker, now, &mut self.rng)?;
        Some(Datagram(report))
    }
}
