//! The limits that servers have named, as far as a node knows.

use std::cmp::Reverse;
use std::collections::HashMap;

use fastrand::Rng;
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Millis, Rate};

use super::ServerId;

/// Time after the last statement for which a limit is remembered.
const LIMIT_LIFETIME: Millis = Millis::from_secs(600);
/// Time for which a lifted limit is remembered, so that no older statement brings it back; longer
/// than answers take.
const LIFTED_LIFETIME: Millis = Millis::from_secs(60);
/// Time for which a change is told to other nodes with each message; a message reaches few nodes, and
/// those pass it on.
const NEWS_TIME: Millis = Millis(1_500);
/// Largest number of limits that are not new in a message.
const MAX_REPEATED: usize = 2;
/// Largest number of servers that are remembered.
const MAX_SERVERS: usize = 4_096;

/// What an answer tells of its server's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// Requests that the server takes from all nodes; none if it takes what it can.
    pub rate: Option<Rate>,
    /// Time at which the request was sent.
    pub sent_at: Instant,
    /// Time at which the answer arrived.
    pub answered_at: Instant,
}

impl Statement {
    /// Returns whether the statement is newer than a known one.
    ///
    /// Answers may overtake each other. One that contradicts a known answer counts only if its
    /// request was sent after that answer had arrived; a lower limit counts at once.
    fn is_newer_than(&self, known: &Statement) -> bool {
        if self.rate == known.rate {
            return self.answered_at > known.answered_at;
        }
        let is_lower = match (self.rate, known.rate) {
            (Some(rate), Some(known)) => rate < known,
            _ => false,
        };
        self.sent_at >= known.answered_at || (is_lower && self.answered_at > known.answered_at)
    }
}

/// A limit that was named, changed or lifted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Limit before.
    pub before: Option<Rate>,
    /// Limit from now on.
    pub after: Option<Rate>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    statement: Statement,
    changed_at: Instant,
}

impl Entry {
    fn is_outdated(&self, now: Instant) -> bool {
        let lifetime = match self.statement.rate {
            Some(_) => LIMIT_LIFETIME,
            None => LIFTED_LIFETIME,
        };
        now.since(self.statement.answered_at) > lifetime
    }
}

/// The latest statement of each server that has named a limit.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    entries: HashMap<ServerId, Entry>,
}

impl Limits {
    /// Returns whether no server has named a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of servers that name a limit.
    #[must_use]
    pub fn count(&self) -> usize {
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.statement.rate.is_some())
            .count()
    }

    /// Returns the limit of a server, if it names one.
    #[must_use]
    pub fn rate(&self, server: ServerId) -> Option<Rate> {
        self.entries.get(&server)?.statement.rate
    }

    /// Returns the latest statement of a server that has named a limit.
    #[must_use]
    pub fn statement(&self, server: ServerId) -> Option<Statement> {
        self.entries.get(&server).map(|entry| entry.statement)
    }

    /// Records a statement, from an answer or another node; returns the change if the limit changes.
    pub fn record(
        &mut self,
        server: ServerId,
        statement: Statement,
        now: Instant,
    ) -> Option<Change> {
        let Some(entry) = self.entries.get_mut(&server) else {
            return self.insert(server, statement, now);
        };
        let before = entry.statement.rate;
        if !statement.is_newer_than(&entry.statement) {
            return None;
        }
        entry.statement = statement;
        if before == statement.rate {
            return None;
        }
        entry.changed_at = now;
        Some(Change {
            before,
            after: statement.rate,
        })
    }

    /// Records the first statement of a server; one without a limit is not remembered.
    fn insert(&mut self, server: ServerId, statement: Statement, now: Instant) -> Option<Change> {
        statement.rate?;
        self.entries.retain(|_, entry| !entry.is_outdated(now));
        if self.entries.len() >= MAX_SERVERS {
            return None;
        }
        let entry = Entry {
            statement,
            changed_at: now,
        };
        self.entries.insert(server, entry);
        Some(Change {
            before: None,
            after: statement.rate,
        })
    }

    /// Returns what another node is to be told in a message of limited length: the latest changes,
    /// and a few others for nodes that have missed them.
    pub fn news(&self, max: usize, now: Instant, random: &mut Rng) -> Vec<(ServerId, Statement)> {
        let is_new = |entry: &Entry| now.since(entry.changed_at) < NEWS_TIME;
        let mut entries: Vec<(ServerId, Entry)> = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.is_outdated(now))
            .map(|(server, entry)| (*server, *entry))
            .collect();
        random.shuffle(&mut entries);
        entries.sort_by_key(|(_, entry)| Reverse(is_new(entry).then_some(entry.changed_at)));
        let new = entries.iter().filter(|(_, entry)| is_new(entry)).count();
        entries.truncate(max.min(new + MAX_REPEATED));
        let statements = entries.into_iter();
        statements
            .map(|(server, entry)| (server, entry.statement))
            .collect()
    }
}
