//! Accepts one release note: read, check, commit, and read back when an answer is lost.
//!
//! A note written against revision `n` can only ever be accepted at revision `n + 1`. The record
//! at that revision therefore tells for certain whether this note, another one or none was
//! accepted.

use compact_str::{CompactString, format_compact};
use jackdaw_core::catalog::Catalog;
use jackdaw_core::errors::Error;
use jackdaw_core::note::{Conflict, Note};
use jackdaw_core::units::Revision;

use super::{HISTORY_NOTES, Record};

/// The number of commits that one attempt sends at most.
const MAX_COMMITS: u32 = 3;

/// The catalogue as the key-value service holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredCatalog {
    /// The catalogue.
    pub catalog: Catalog,
    /// Revision of the service at which the value was last changed.
    pub mod_revision: u64,
}

/// A transaction that accepts a note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    /// Revision of the service at which the catalogue must have been changed last; `None` means
    /// that no catalogue may exist.
    pub expected: Option<u64>,
    /// The catalogue after the note.
    pub catalog: Catalog,
    /// The record of the note.
    pub record: Record,
    /// Revision whose record is deleted because it is too old.
    pub pruned: Option<Revision>,
}

/// What the executor should do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Reads the catalogue.
    ReadCatalog,
    /// Reads the record at a revision.
    ReadRecord(Revision),
    /// Reads the records from a revision on, up to a bound or to the first absent one.
    ReadSince(Revision),
    /// Carries out a transaction.
    Commit(Box<Commit>),
    /// Answers the operator.
    Finish(Verdict),
}

/// What the executor saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The catalogue was read; `None` means that none exists.
    Catalog(Option<StoredCatalog>),
    /// A record was read; `None` means that none exists.
    Record(Option<Record>),
    /// Records were read.
    Records(Vec<Record>),
    /// The transaction took effect.
    Committed,
    /// The transaction's condition failed; the answer holds catalogue and record as they are.
    Outdated {
        /// The catalogue.
        catalog: Option<StoredCatalog>,
        /// The record at the revision after the note's base.
        record: Option<Record>,
    },
    /// A call failed.
    Failed(Error),
}

/// The answer to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The note is accepted.
    Accepted {
        /// Revision at which it was accepted.
        revision: Revision,
        /// Whether an earlier attempt had accepted it.
        repeated: bool,
    },
    /// Another note came first.
    Conflict {
        /// The note's base.
        base: Revision,
        /// Revision found in force.
        found: Revision,
        /// Notes accepted since the base, oldest first.
        since: Vec<Record>,
    },
    /// The note does not fit the catalogue.
    Refused(Vec<Conflict>),
    /// The note's identity belongs to another accepted note.
    Reused(Revision),
    /// The note was not accepted by this attempt; nothing was written.
    NotAccepted(CompactString),
    /// The note may have been accepted; the same note with the same identity may be sent again.
    Unknown(CompactString),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Reading,
    Checking,
    Committing,
    Resolving,
    Comparing,
    Done,
}

/// The attempt to accept one note.
#[derive(Clone, Debug)]
pub struct Attempt {
    note: Note,
    node: CompactString,
    at_unix_ms: u64,
    known: Revision,
    state: State,
    commits: u32,
    is_unsure: bool,
    found: Revision,
    pending: Option<Box<Commit>>,
}

impl Attempt {
    /// Creates an attempt by a node that knows a revision to be in force.
    #[must_use]
    pub fn new(note: Note, known: Revision, node: &str, at_unix_ms: u64) -> Self {
        Attempt {
            note,
            node: node.into(),
            at_unix_ms,
            known,
            state: State::Reading,
            commits: 0,
            is_unsure: false,
            found: Revision(0),
            pending: None,
        }
    }

    /// Returns the first action.
    #[must_use]
    pub fn start(&mut self) -> Action {
        self.state = State::Reading;
        Action::ReadCatalog
    }

    /// Returns the action that follows an event. An event that does not fit the last action ends
    /// the attempt without a claim.
    #[must_use]
    pub fn step(&mut self, event: Event) -> Action {
        match (self.state, event) {
            (State::Reading, Event::Catalog(stored)) => self.judge(stored),
            (State::Checking, Event::Record(record)) => self.check(record),
            (State::Committing, Event::Committed) => self.accepted(false),
            (State::Committing, Event::Outdated { catalog, record }) => {
                self.outdated(catalog, record)
            }
            (State::Committing, Event::Failed(error)) => self.commit_failed(&error),
            (State::Resolving, Event::Record(record)) => self.resolve(record),
            (State::Comparing, Event::Records(since)) => self.conflict(since),
            (State::Comparing, Event::Failed(_)) => self.conflict(Vec::new()),
            (_, Event::Failed(error)) => self.give_up(&error.to_string()),
            (_, _) => self.give_up("an answer did not fit its question"),
        }
    }

    fn slot(&self) -> Revision {
        Revision(self.note.base.0 + 1)
    }

    fn judge(&mut self, stored: Option<StoredCatalog>) -> Action {
        let revision = stored.as_ref().map_or(Revision(0), |s| s.catalog.revision);
        self.found = revision.max(self.known);
        if self.note.base < self.found {
            self.state = State::Checking;
            return Action::ReadRecord(self.slot());
        }
        // A commit on top of an old value would give a revision a second meaning.
        if revision < self.known {
            return self.give_up(&format_compact!(
                "the platform answers with revision {revision}, but {} is in force",
                self.known
            ));
        }
        if self.note.base > revision {
            return self.conflict(Vec::new());
        }
        self.commit(stored)
    }

    fn commit(&mut self, stored: Option<StoredCatalog>) -> Action {
        let expected = stored.as_ref().map(|s| s.mod_revision);
        let catalog = stored.map(|s| s.catalog).unwrap_or_default();
        let next = match catalog.apply(&self.note) {
            Ok(next) => next,
            Err(conflicts) => return self.finish(Verdict::Refused(conflicts)),
        };
        let revision = next.revision;
        let record = Record {
            revision,
            node: self.node.clone(),
            at_unix_ms: self.at_unix_ms,
            note: self.note.clone(),
        };
        self.pending = Some(Box::new(Commit {
            expected,
            catalog: next,
            record,
            pruned: revision.0.checked_sub(HISTORY_NOTES).map(Revision),
        }));
        self.send()
    }

    /// Sends the pending transaction. Sending it twice is harmless, because its condition holds
    /// for one of the two at most.
    fn send(&mut self) -> Action {
        if self.commits >= MAX_COMMITS {
            return self.give_up("the note could not be committed");
        }
        let Some(commit) = self.pending.clone() else {
            return self.give_up("there is nothing to commit");
        };
        self.commits += 1;
        self.state = State::Committing;
        Action::Commit(commit)
    }

    fn outdated(&mut self, catalog: Option<StoredCatalog>, record: Option<Record>) -> Action {
        let revision = catalog.as_ref().map_or(Revision(0), |s| s.catalog.revision);
        if self.note.base < revision {
            self.found = revision;
            return self.check(record);
        }
        // The condition failed on a value of the same revision, as after a repair of the service.
        self.judge(catalog)
    }

    fn commit_failed(&mut self, error: &Error) -> Action {
        match error {
            Error::Unreachable { .. } | Error::Refused { .. } => self.give_up(&error.to_string()),
            Error::Indeterminate { .. } | Error::Malformed { .. } => {
                self.is_unsure = true;
                self.state = State::Resolving;
                Action::ReadRecord(self.slot())
            }
        }
    }

    fn resolve(&mut self, record: Option<Record>) -> Action {
        match record {
            // The read may be old or the transaction late, so the transaction itself decides.
            None => self.send(),
            Some(record) => self.check(Some(record)),
        }
    }

    fn check(&mut self, record: Option<Record>) -> Action {
        let Some(record) = record else {
            let is_forgotten = self.found.0 >= self.slot().0 + HISTORY_NOTES;
            if is_forgotten && !self.is_unsure {
                return self.conflict(Vec::new());
            }
            self.is_unsure = true;
            return self.give_up("the record of the next revision could not be found");
        };
        if record.note == self.note {
            return self.accepted(true);
        }
        if record.note.id == self.note.id {
            return self.finish(Verdict::Reused(record.revision));
        }
        self.found = self.found.max(record.revision);
        self.state = State::Comparing;
        Action::ReadSince(self.slot())
    }

    fn accepted(&mut self, repeated: bool) -> Action {
        let revision = self.slot();
        self.finish(Verdict::Accepted { revision, repeated })
    }

    fn conflict(&mut self, since: Vec<Record>) -> Action {
        let newest = since.last().map_or(Revision(0), |record| record.revision);
        self.finish(Verdict::Conflict {
            base: self.note.base,
            found: self.found.max(newest),
            since,
        })
    }

    fn give_up(&mut self, reason: &str) -> Action {
        let reason = CompactString::new(reason);
        let verdict = if self.is_unsure {
            Verdict::Unknown(reason)
        } else {
            Verdict::NotAccepted(reason)
        };
        self.finish(verdict)
    }

    fn finish(&mut self, verdict: Verdict) -> Action {
        self.state = State::Done;
        Action::Finish(verdict)
    }
}
