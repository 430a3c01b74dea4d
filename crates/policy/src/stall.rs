//! Which places stand still, by what all nodes have seen there.
//!
//! An engine makes progress for all of its requests at once. So a node that has streams at a place
//! tells the others when nothing arrives there, and since when; a node that has received something
//! later contradicts it, since then the first node's link is at fault and not the place. What nobody
//! contradicts holds for some seconds, in which the group is dissolved or goes on.

use std::collections::HashMap;

use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use crate::peers::PlaceId;

/// Number of nodes to which a node passes on a report that was new to it.
pub const FANOUT: usize = 5;
/// Time without progress from which a place stands still; a pass that reads several prompts takes
/// up to about 250 ms.
pub const STALL_TIME: Millis = Millis(300);
/// Time for which a report holds that nobody repeats or contradicts.
const VALIDITY: Millis = Millis(2_500);
/// Time after which a first report is repeated, since it does not reach every node.
const SECOND_REPORT_AFTER: Millis = Millis(150);
/// Time after which a node repeats what still applies.
const REPEAT_INTERVAL: Millis = Millis(800);
/// Time by which nodes may see the same pass of an engine at different times.
const PASS_SPREAD: Millis = Millis(150);
/// Largest number of places in a datagram, and of new reports that a node makes in a round.
pub const MAX_REPORTS: usize = 16;

/// What a node has seen of a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Place.
    pub place: PlaceId,
    /// Time of the last progress that the node saw there.
    pub progress_at: Instant,
    /// Whether the place stands still since; otherwise the report contradicts another one.
    pub is_stalled: bool,
}

/// Progress of one place at this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Place.
    pub place: PlaceId,
    /// Time of the last progress.
    pub at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Stall {
    progress_at: Instant,
    heard_at: Instant,
    /// Whether it was reported once only.
    is_first_report: bool,
}

impl Stall {
    /// Returns whether another report of the same stall is passed on.
    fn is_repeat_due(&self, now: Instant) -> bool {
        let interval = if self.is_first_report {
            SECOND_REPORT_AFTER
        } else {
            REPEAT_INTERVAL
        };
        now.since(self.heard_at) >= interval
    }
}

/// The places that stand still as far as a node knows.
#[derive(Clone, Debug, Default)]
pub struct Table {
    stalls: HashMap<PlaceId, Stall>,
    /// Latest progress that contradicted a report.
    contradicted: HashMap<PlaceId, Instant>,
}

impl Table {
    /// Compares this node's streams with what is known and returns what all nodes are to be told now.
    ///
    /// `streams` holds the progress of each place where this node has streams.
    pub fn observe(&mut self, streams: &[Progress], now: Instant) -> Vec<Report> {
        self.stalls
            .retain(|_, stall| now.since(stall.heard_at) < VALIDITY);
        self.contradicted
            .retain(|_, progress_at| now.since(*progress_at) < VALIDITY);
        let mut reports = Vec::new();
        for progress in streams {
            let known = self.stalls.get(&progress.place);
            let is_stalled = now.since(progress.at) > STALL_TIME;
            let is_news = match known {
                Some(stall) if is_stalled => stall.is_repeat_due(now),
                Some(stall) => progress.at > stall.progress_at + PASS_SPREAD,
                None => is_stalled,
            };
            let report = Report {
                place: progress.place,
                progress_at: progress.at,
                is_stalled,
            };
            if is_news && reports.len() < MAX_REPORTS && self.take(report, now) {
                reports.push(report);
            }
        }
        reports
    }

    /// Takes a report and returns whether it is news, which is to be passed on.
    pub fn take(&mut self, report: Report, now: Instant) -> bool {
        let Report {
            place, progress_at, ..
        } = report;
        let contradicted_at = self.contradicted.get(&place).copied();
        if !report.is_stalled {
            let is_news = contradicted_at.is_none_or(|at| progress_at > at + PASS_SPREAD);
            let known = self.stalls.get(&place);
            if known.is_some_and(|stall| progress_at > stall.progress_at + PASS_SPREAD) {
                self.stalls.remove(&place);
            }
            let latest = self.contradicted.entry(place).or_insert(progress_at);
            *latest = progress_at.max(*latest);
            return is_news;
        }
        if contradicted_at.is_some_and(|at| at > progress_at + PASS_SPREAD) {
            return false;
        }
        let known = self.stalls.get(&place);
        let is_news = known.is_none_or(|stall| stall.is_repeat_due(now));
        let stall = match known {
            Some(stall) if !is_news => Stall {
                progress_at: stall.progress_at.max(progress_at),
                ..*stall
            },
            Some(stall) => Stall {
                progress_at: stall.progress_at.max(progress_at),
                heard_at: now,
                is_first_report: false,
            },
            None => Stall {
                progress_at,
                heard_at: now,
                is_first_report: true,
            },
        };
        self.stalls.insert(place, stall);
        is_news
    }

    /// Returns the time of the last progress at a place that stands still, or `None` if it does not.
    #[must_use]
    pub fn stalled_since(&self, place: PlaceId, now: Instant) -> Option<Instant> {
        let stall = self.stalls.get(&place)?;
        (now.since(stall.heard_at) < VALIDITY).then_some(stall.progress_at)
    }

    /// Returns whether any place stands still.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.stalls.is_empty()
    }
}
