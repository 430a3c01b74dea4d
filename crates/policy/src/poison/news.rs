//! Chooses what a node tells the others.

use std::cmp::Reverse;
use std::collections::HashMap;

use fastrand::Rng;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use super::{Ban, Evidence, Feature, Tracker};

/// Time for which a change is passed on with each round of datagrams; a round reaches few nodes, and
/// those pass it on.
const NEWS_TIME: Millis = Millis(1_500);
/// Pause between two rounds that repeat what is not new, for nodes that have missed it.
const REPEAT_INTERVAL: Millis = Millis(1_000);
/// Largest size of the evidence in a report with news in bytes.
const MAX_NEWS_BYTES: usize = 900;
/// Largest size of the evidence in a report without news in bytes.
const MAX_REPEATED_BYTES: usize = 300;
/// Largest number of bans in a report.
const MAX_BANS: usize = 8;
/// Largest size of a piece of evidence beside its feature in bytes.
const EVIDENCE_BYTES: usize = 20;

/// What a node tells the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Features and crashes.
    pub evidence: Vec<Evidence>,
    /// Bans, also those that were lifted.
    pub bans: Vec<Ban>,
}

impl Report {
    /// Returns whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty() && self.bans.is_empty()
    }
}

/// The features of which something changed lately.
#[derive(Clone, Debug, Default)]
pub struct News {
    changed_at: HashMap<Feature, Instant>,
    urgent: Vec<Feature>,
    repeated_at: Instant,
}

impl News {
    /// Records that something has changed.
    pub fn record(&mut self, feature: Feature, now: Instant) {
        self.changed_at.insert(feature, now);
    }

    /// Records that something has changed of which all nodes are to be told at once.
    pub fn record_urgent(&mut self, feature: Feature, now: Instant) {
        self.record(feature, now);
        self.urgent.push(feature);
    }

    /// Returns whether all nodes are to be told something at once.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        !self.urgent.is_empty()
    }

    /// Returns what all nodes are to be told at once, or `None` if there is nothing.
    pub fn urgent_report(&mut self, tracker: &Tracker, now: Instant) -> Option<Report> {
        let mut features = std::mem::take(&mut self.urgent);
        features.sort_unstable();
        features.dedup();
        let mut bans: Vec<Ban> = tracker
            .bans(now)
            .filter(|ban| features.contains(&ban.feature))
            .collect();
        bans.sort_by_key(|ban| ban.feature);
        bans.truncate(MAX_BANS);
        let report = Report {
            evidence: select_evidence(tracker, &mut features, MAX_NEWS_BYTES, now),
            bans,
        };
        (!report.is_empty()).then_some(report)
    }

    /// Returns what the other nodes are to be told in this round, or `None` if there is nothing.
    ///
    /// If not all fits, features with more crashes go first, and parts before requests.
    pub fn report(&mut self, tracker: &Tracker, now: Instant, random: &mut Rng) -> Option<Report> {
        self.changed_at
            .retain(|_, changed_at| now.since(*changed_at) < NEWS_TIME);
        let has_news = !self.changed_at.is_empty();
        if !has_news && now.since(self.repeated_at) < REPEAT_INTERVAL {
            return None;
        }
        self.repeated_at = now;
        let (mut features, limit): (Vec<Feature>, usize) = if has_news {
            (self.changed_at.keys().copied().collect(), MAX_NEWS_BYTES)
        } else {
            (tracker.open_suspects().collect(), MAX_REPEATED_BYTES)
        };
        features.sort_unstable();
        random.shuffle(&mut features);
        let evidence = select_evidence(tracker, &mut features, limit, now);
        let mut bans: Vec<Ban> = tracker.bans(now).collect();
        bans.sort_by_key(|ban| ban.feature);
        random.shuffle(&mut bans);
        bans.sort_by_key(|ban| !self.changed_at.contains_key(&ban.feature));
        bans.truncate(MAX_BANS);
        let report = Report { evidence, bans };
        (!report.is_empty()).then_some(report)
    }
}

/// Returns the evidence on the most suspected features that fits, parts before requests.
fn select_evidence(
    tracker: &Tracker,
    features: &mut [Feature],
    limit: usize,
    now: Instant,
) -> Vec<Evidence> {
    features.sort_by_key(|feature| {
        let suspicion = tracker.suspicion_of(feature);
        let crashes = suspicion.map_or(0, |suspicion| suspicion.crashes);
        (Reverse(crashes), feature.is_request())
    });
    let mut bytes = 0;
    let evidence = features
        .iter()
        .flat_map(|feature| tracker.evidence_on(feature, now))
        .take_while(|evidence| {
            bytes += evidence.feature.encoded_len() + EVIDENCE_BYTES;
            bytes <= limit
        });
    evidence.collect()
}
