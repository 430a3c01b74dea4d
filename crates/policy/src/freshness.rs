//! Decides when a node's copy of the configuration may be out of date, and whom it asks.
//!
//! A call that waits for changes may hear of none although there are some: on a connection that has
//! lost its other end, or while the node was suspended. So a node also listens to its peers, which tell
//! the version that they have in force, notices that it was suspended, and asks the store often if it
//! leads its zone or hears no peer.

use compact_str::CompactString;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

/// Longest wait of a call for changes while peers are heard.
pub const LONG_WAIT: Millis = Millis(20_000);
/// Longest wait of a call for changes of a node that the others rely on, or that has nobody to rely on;
/// half of the time within which a configuration must be in force.
pub const SHORT_WAIT: Millis = Millis(1_000);
/// Longest wait of a call for changes of the leader of a zone, for nodes that hear nothing of it.
pub const LEADER_WAIT: Millis = Millis(4_000);
/// Age of the last news of the zone's leader from which it may have ended. News passes from node to
/// node and takes some seconds in a large zone.
const LEADER_SILENCE: Millis = Millis(6_000);
/// Time without a message of any peer after which a node relies on none.
const PEER_SILENCE: Millis = Millis(1_500);
/// Time between two ticks from which a node counts as suspended in between; ticks follow each other by
/// a quarter of a second.
const MIN_SUSPENSION: Millis = Millis(1_000);
/// Time after which a peer is asked again for a version that did not arrive.
const ASK_INTERVAL: Millis = Millis(400);

/// A finding that makes the node act.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// A peer has a newer version in force, which it is to be asked for.
    Behind {
        /// Version in force at this node.
        own: Option<u64>,
        /// Version in force at the peer.
        newer: u64,
        /// Name of the peer.
        peer: CompactString,
    },
    /// The node was suspended for a time; whatever it waits for is to be read anew.
    Suspended(Millis),
    /// No peer is heard any more; the waiting call is to be replaced by one with a shorter wait.
    Alone,
    /// The zone's leader is not heard any more; who leads is to be read anew.
    LeaderSilent,
    /// The node has begun to lead; the waiting call is to be replaced by one with a shorter wait.
    Leading,
}

/// What a node knows of the age of its configuration.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    version: Option<u64>,
    /// Time at which the store or a peer last confirmed the version.
    confirmed_at: Instant,
    heard_at: Option<Instant>,
    /// Time of the last message of the zone's leader.
    leader_heard_at: Option<Instant>,
    asked: Option<(u64, Instant)>,
    last_tick: Option<(Instant, u64)>,
    is_leading: bool,
}

impl Freshness {
    /// Returns the version in force.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Records the version in force.
    pub fn apply(&mut self, version: u64, now: Instant) {
        self.version = Some(version);
        self.confirmed_at = now;
    }

    /// Records an answer of the store that leaves the version as it is.
    pub fn confirm(&mut self, now: Instant) {
        self.confirmed_at = now;
    }

    /// Records the version that a peer has in force.
    pub fn hear(&mut self, peer: &str, version: u64, now: Instant) -> Option<Finding> {
        self.heard_at = Some(now);
        if self.version >= Some(version) {
            if self.version == Some(version) {
                self.confirmed_at = now;
            }
            return None;
        }
        let is_asked = self
            .asked
            .is_some_and(|(asked, at)| asked >= version && now.since(at) < ASK_INTERVAL);
        if is_asked {
            return None;
        }
        self.asked = Some((version, now));
        Some(Finding::Behind {
            own: self.version,
            newer: version,
            peer: peer.into(),
        })
    }

    /// Checks what the passing of time shows; called several times a second.
    pub fn tick(&mut self, is_leading: bool, now: Instant, unix_ms: u64) -> Option<Finding> {
        // A suspended machine stops the monotonic clock, but not the wall clock.
        let suspension = self.last_tick.map_or(Millis(0), |(at, at_unix_ms)| {
            now.since(at)
                .max(Millis(unix_ms.saturating_sub(at_unix_ms)))
        });
        self.last_tick = Some((now, unix_ms));
        let has_begun_to_lead = is_leading && !self.is_leading;
        self.is_leading = is_leading;
        if suspension >= MIN_SUSPENSION {
            return Some(Finding::Suspended(suspension));
        }
        let is_silent = self
            .heard_at
            .is_some_and(|heard_at| now.since(heard_at) >= PEER_SILENCE);
        if is_silent {
            self.heard_at = None;
            return Some(Finding::Alone);
        }
        if has_begun_to_lead {
            return Some(Finding::Leading);
        }
        let is_leader_silent = self
            .leader_heard_at
            .is_some_and(|heard_at| now.since(heard_at) >= LEADER_SILENCE);
        if is_leader_silent {
            self.leader_heard_at = None;
            return Some(Finding::LeaderSilent);
        }
        None
    }

    /// Records that a node of the zone has news of the zone's leader, which is of an age; the leader's
    /// own news is of age zero.
    pub fn hear_of_leader(&mut self, age: Millis, now: Instant) {
        let at = now - age;
        if age < LEADER_SILENCE && self.leader_heard_at.is_none_or(|heard_at| heard_at < at) {
            self.leader_heard_at = Some(at);
        }
    }

    /// Returns the age of this node's news of the zone's leader, for other nodes.
    #[must_use]
    pub fn leader_age(&self, now: Instant) -> Option<Millis> {
        if self.is_leading {
            return Some(Millis(0));
        }
        let age = now.since(self.leader_heard_at?);
        (age < LEADER_SILENCE).then_some(age)
    }

    /// Returns the longest wait of the next call for a change of the zone's leader.
    #[must_use]
    pub fn leader_wait(&self) -> Millis {
        if self.is_leading || self.leader_heard_at.is_some() {
            LONG_WAIT
        } else {
            LEADER_WAIT
        }
    }

    /// Returns the longest wait of the next call for changes.
    #[must_use]
    pub fn wait(&self) -> Millis {
        if self.is_leading || self.heard_at.is_none() {
            SHORT_WAIT
        } else {
            LONG_WAIT
        }
    }

    /// Returns the time since the version in force was last confirmed.
    #[must_use]
    pub fn age(&self, now: Instant) -> Millis {
        now.since(self.confirmed_at)
    }
}
