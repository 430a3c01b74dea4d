//! Passes changes of the servers' registrations from node to node, so that few nodes read them from
//! the store.
//!
//! The store's revisions put all changes in one order. A [`Segment`] holds all changes after one
//! revision up to another, so a node knows whether it misses any before it applies it. Leaders read
//! the store all the time and pass on what they find; the other nodes pass on what was new to them,
//! and read the store themselves only if they miss a change or hear of none.

use std::collections::VecDeque;
use std::rc::Rc;

use compact_str::CompactString;
use jackdaw_core::backend::Server;
use jackdaw_core::store::Era;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

/// Number of nodes to which a node passes on a segment that was new to it.
pub const FANOUT: usize = 5;
/// Largest number of changes in a segment; nodes read more than that from the store.
pub const MAX_CHANGES: usize = 96;
/// Age from which what is known of the registrations counts as stale. The store may have been away then,
/// which changes what an entry's end means, so the node reads it itself.
pub const STALE_AFTER: Millis = Millis(1_800);
/// Time for which segments are kept for nodes that missed them.
const REPAIR_TIME: Millis = Millis(3_000);
/// Time for which a node that misses a change waits for another node to send it.
const REPAIR_WAIT: Millis = Millis(600);

/// A change of one server's registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Revision of the store.
    pub revision: u64,
    /// Name of the server.
    pub server: CompactString,
    /// The server's new state; `None` if its registration is gone or cannot be read.
    pub state: Option<Server>,
}

/// All changes after a revision up to another one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Segment {
    /// Revision after which the segment begins.
    pub from: u64,
    /// Last revision of the segment.
    pub to: u64,
    /// Changes in the order of their revisions.
    pub changes: Vec<Change>,
}

impl Segment {
    /// Returns the parts of at most a number of changes, or a few more that have the same revision.
    #[must_use]
    pub fn split(&self, max_changes: usize) -> Vec<Segment> {
        let mut parts: Vec<Segment> = Vec::new();
        for change in &self.changes {
            match parts.last_mut() {
                Some(part) if part.changes.len() < max_changes || part.to == change.revision => {
                    part.to = change.revision;
                    part.changes.push(change.clone());
                }
                last => {
                    let from = last.map_or(self.from, |part| part.to);
                    parts.push(Segment {
                        from,
                        to: change.revision,
                        changes: vec![change.clone()],
                    });
                }
            }
        }
        parts
    }
}

/// How far a node knows the registrations, as it tells the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Revision of the last change.
    pub revision: u64,
    /// Time since the store or another node last confirmed that there is no later one.
    pub age: Millis,
}

/// Effect of a segment from another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The changes are to be applied, and the segment is to be passed on.
    Apply(Vec<Change>),
    /// The changes are known.
    Known,
    /// Changes before the segment are missing.
    Gap,
}

/// Times after which a node reads the store itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Age of the node's knowledge from which it reads the store.
    pub max_age: Millis,
    /// Part of that time by which this node differs from the others, so that few read at once and the
    /// others hear what they have read.
    pub jitter: Millis,
}

/// What a node knows of the registrations and has passed on lately.
#[derive(Clone, Debug, Default)]
pub struct Feed {
    /// Revision up to which all changes are known; `None` before the first read and during one of all
    /// registrations.
    cursor: Option<u64>,
    /// Revision of the last known change, or of a read of all registrations.
    last_change: u64,
    /// Whether that revision is a read's; changes may be older then.
    is_of_snapshot: bool,
    /// Time as of which no change is missing.
    as_of: Instant,
    /// Time since which another node is known to know more.
    behind_since: Option<Instant>,
    kept: VecDeque<(Instant, Rc<Segment>)>,
}

impl Feed {
    /// Records that all registrations are read anew; segments are not applied until then.
    pub fn begin_snapshot(&mut self) {
        self.cursor = None;
        self.kept.clear();
    }

    /// Records that all registrations were read as of a revision, and whether that changed anything.
    pub fn finish_snapshot(&mut self, revision: u64, has_changed: bool, now: Instant) {
        self.cursor = Some(revision);
        if has_changed || Era::of(revision) != Era::of(self.last_change) {
            self.last_change = revision;
            self.is_of_snapshot = true;
        }
        self.confirm(now);
    }

    /// Gets the revision up to which all changes are known.
    #[must_use]
    pub fn cursor(&self) -> Option<u64> {
        self.cursor
    }

    /// Gets the time as of which no change is missing.
    #[must_use]
    pub fn as_of(&self) -> Instant {
        self.as_of
    }

    /// Returns whether nobody has confirmed for long that no change is missing.
    #[must_use]
    pub fn is_stale(&self, now: Instant) -> bool {
        now.since(self.as_of) > STALE_AFTER
    }

    /// Returns the position to tell the other nodes, if there is one.
    ///
    /// The revision of a read of all registrations makes the others read the store, so only a leader
    /// tells it.
    #[must_use]
    pub fn position(&self, is_leading: bool, now: Instant) -> Option<Position> {
        self.cursor?;
        if self.is_of_snapshot && !is_leading {
            return None;
        }
        Some(Position {
            revision: self.last_change,
            age: now.since(self.as_of),
        })
    }

    /// Records the changes that the store has answered with, up to a revision, and returns the segment
    /// to pass on, if there is one.
    ///
    /// `effective` holds those that change anything. A store that sends heartbeats as changes sends
    /// many that do not.
    pub fn read(&mut self, effective: Vec<Change>, revision: u64, now: Instant) -> Option<Segment> {
        let from = self.last_change;
        self.cursor = self.cursor.max(Some(revision));
        self.confirm(now);
        self.last_change = effective.last()?.revision.max(from);
        self.is_of_snapshot = false;
        if effective.len() > MAX_CHANGES {
            self.kept.clear();
            return None;
        }
        let segment = Segment {
            from,
            to: self.last_change,
            changes: effective,
        };
        self.keep(&segment, now);
        Some(segment)
    }

    /// Returns whether a change has not been applied yet.
    #[must_use]
    pub fn is_new(&self, revision: u64) -> bool {
        self.cursor.is_none_or(|cursor| revision > cursor)
    }

    /// Takes a segment from another node. Only [`Feed::hear`] makes what is known younger, since the
    /// segment may be one of several.
    pub fn take(&mut self, segment: &Segment, now: Instant) -> Verdict {
        let Some(cursor) = self.cursor.filter(|_| !self.is_stale(now)) else {
            return Verdict::Gap;
        };
        if Era::of(cursor) != Era::of(segment.to) {
            // The revisions of a store that came back from a copy are read from the store first.
            return if cursor > segment.to {
                Verdict::Known
            } else {
                Verdict::Gap
            };
        }
        if self.last_change >= segment.to {
            return Verdict::Known;
        }
        if cursor < segment.from {
            self.behind_since.get_or_insert(now);
            return Verdict::Gap;
        }
        let mut changes = segment.changes.clone();
        changes.retain(|change| change.revision > cursor);
        self.cursor = Some(cursor.max(segment.to));
        self.last_change = segment.to;
        self.is_of_snapshot = false;
        self.behind_since = None;
        self.keep(segment, now);
        Verdict::Apply(changes)
    }

    /// Records the position of another node.
    pub fn hear(&mut self, position: Position, now: Instant) {
        let Some(cursor) = self.cursor.filter(|_| !self.is_stale(now)) else {
            return;
        };
        if position.revision > cursor {
            self.behind_since.get_or_insert(now);
            return;
        }
        if Era::of(cursor) == Era::of(position.revision) {
            self.as_of = self.as_of.max(now - position.age);
        }
    }

    /// Returns the segments that a node at a position has missed, if this node still has all of them.
    #[must_use]
    pub fn missing(&self, position: Position, now: Instant) -> Vec<Rc<Segment>> {
        let known = position.revision;
        if self.cursor.is_none() || known >= self.last_change {
            return Vec::new();
        }
        let later = self
            .kept
            .iter()
            .filter(|(at, segment)| segment.to > known && now.since(*at) < REPAIR_TIME);
        let later: Vec<Rc<Segment>> = later.map(|(_, segment)| Rc::clone(segment)).collect();
        match later.first() {
            Some(first) if first.from <= known => later,
            Some(_) | None => Vec::new(),
        }
    }

    /// Returns how long the node may still wait before it reads the store, or zero.
    #[must_use]
    pub fn rest(&self, options: Options, now: Instant) -> Millis {
        if self.cursor.is_none() {
            return Millis(0);
        }
        let aged = self.as_of + options.max_age + options.jitter;
        let missed = self
            .behind_since
            .map(|since| since + REPAIR_WAIT + Millis(options.jitter.0 / 2));
        let due = missed.map_or(aged, |missed| missed.min(aged));
        due.since(now)
    }

    /// Records that the store has confirmed what is known.
    fn confirm(&mut self, now: Instant) {
        self.as_of = now;
        self.behind_since = None;
    }

    /// Keeps a segment for nodes that have missed it.
    fn keep(&mut self, segment: &Segment, now: Instant) {
        self.kept.retain(|(at, _)| now.since(*at) < REPAIR_TIME);
        self.kept.push_back((now, Rc::new(segment.clone())));
    }
}
