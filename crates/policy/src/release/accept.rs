//! Acceptance of one release note: read, check, commit, and read back when an answer is lost.
//!
//! A note based on revision `n` can only be accepted at revision `n + 1`. The record at that
//! revision therefore shows whether this note, another note or none was accepted.

use compact_str::{CompactString, format_compact};
use jackdaw_core::catalog::Catalog;
use jackdaw_core::errors::Error;
use jackdaw_core::note::{Conflict, Note};
use jackdaw_core::units::Revision;

use super::{HISTORY_NOTES, Record};

/// Largest number of commits that one attempt sends.
const MAX_COMMITS: u32 = 3;

/// The catalogue as read from the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredCatalog {
    /// Contents of the catalogue.
    pub catalog: Catalog,
    /// Revision of the key-value service at which the catalogue was last modified.
    pub mod_revision: u64,
}

/// Transaction that accepts a note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    /// Expected revision of the key-value service at which the catalogue was last modified, or
    /// `None` if no catalogue may exist.
    pub expected: Option<u64>,
    /// Catalogue with the note applied.
    pub catalog: Catalog,
    /// Record of the note.
    pub record: Record,
    /// Catalogue revision whose record is deleted because it has left the history.
    pub pruned: Option<Revision>,
}

/// Action that the executor carries out next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Reads the catalogue.
    ReadCatalog,
    /// Reads the record at a revision.
    ReadRecord(Revision),
    /// Reads the records from a revision on, up to a limit or the first absent record.
    ReadSince(Revision),
    /// Sends a transaction.
    Commit(Box<Commit>),
    /// Ends the attempt and answers the operator.
    Finish(Verdict),
}

/// Result of the last action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The catalogue was read; `None` means that it does not exist.
    Catalog(Option<StoredCatalog>),
    /// A record was read; `None` means that it does not exist.
    Record(Option<Record>),
    /// Records were read.
    Records(Vec<Record>),
    /// The transaction took effect.
    Committed,
    /// The condition of the transaction failed; the answer holds the current values.
    Outdated {
        /// Current catalogue.
        catalog: Option<StoredCatalog>,
        /// Current record at the revision after the note's base.
        record: Option<Record>,
    },
    /// The call to the key-value service failed.
    Failed(Error),
}

/// Verdict on a note, for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The note is accepted.
    Accepted {
        /// Catalogue revision at which the note was accepted.
        revision: Revision,
        /// Whether an earlier attempt accepted the note.
        repeated: bool,
    },
    /// Another note was accepted after the base of this note.
    Conflict {
        /// Revision that the note is based on.
        base: Revision,
        /// Revision in force.
        found: Revision,
        /// Records of the notes accepted since the base, oldest first.
        since: Vec<Record>,
    },
    /// The note cannot be applied to the catalogue.
    Refused(Vec<Conflict>),
    /// Another accepted note, at this revision, has the same identity.
    Reused(Revision),
    /// This attempt did not accept the note and wrote nothing; holds the reason.
    NotAccepted(CompactString),
    /// The note may have been accepted and can safely be sent again unchanged; holds the reason.
    Unknown(CompactString),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    ReadingCatalog,
    ReadingRecord,
    Committing,
    ReadingBack,
    ReadingConflicts,
    Done,
}

/// State machine of one attempt to accept a note.
#[derive(Clone, Debug)]
pub struct Attempt {
    note: Note,
    node: CompactString,
    at_unix_ms: u64,
    revision_in_force: Revision,
    state: State,
    commits_sent: u32,
    may_be_accepted: bool,
    newest_found: Revision,
    pending: Option<Box<Commit>>,
}

impl Attempt {
    /// Creates an attempt by a node on which a revision is known to be in force.
    #[must_use]
    pub fn new(note: Note, revision_in_force: Revision, node: &str, at_unix_ms: u64) -> Self {
        Attempt {
            note,
            node: node.into(),
            at_unix_ms,
            revision_in_force,
            state: State::ReadingCatalog,
            commits_sent: 0,
            may_be_accepted: false,
            newest_found: Revision(0),
            pending: None,
        }
    }

    /// Returns the first action.
    #[must_use]
    pub fn start(&mut self) -> Action {
        self.state = State::ReadingCatalog;
        Action::ReadCatalog
    }

    /// Returns the action that follows an event.
    ///
    /// An event that does not match the last action ends the attempt as not accepted or unknown.
    #[must_use]
    pub fn step(&mut self, event: Event) -> Action {
        match (self.state, event) {
            (State::ReadingCatalog, Event::Catalog(stored)) => self.check_catalog(stored),
            (State::ReadingRecord, Event::Record(record)) => self.check_record(record),
            (State::Committing, Event::Committed) => self.finish_accepted(false),
            (State::Committing, Event::Outdated { catalog, record }) => {
                self.handle_outdated(catalog, record)
            }
            (State::Committing, Event::Failed(error)) => self.handle_commit_failure(&error),
            (State::ReadingBack, Event::Record(record)) => self.resolve_lost_commit(record),
            (State::ReadingConflicts, Event::Records(since)) => self.finish_conflict(since),
            (State::ReadingConflicts, Event::Failed(_)) => self.finish_conflict(Vec::new()),
            (_, Event::Failed(error)) => self.give_up(&error.to_string()),
            (_, _) => self.give_up("an answer did not fit its question"),
        }
    }

    fn target_revision(&self) -> Revision {
        Revision(self.note.base.0 + 1)
    }

    fn check_catalog(&mut self, stored: Option<StoredCatalog>) -> Action {
        let revision = stored.as_ref().map_or(Revision(0), |s| s.catalog.revision);
        self.newest_found = revision.max(self.revision_in_force);
        if self.note.base < self.newest_found {
            self.state = State::ReadingRecord;
            return Action::ReadRecord(self.target_revision());
        }
        // A commit on top of an outdated catalogue would assign a revision number twice.
        if revision < self.revision_in_force {
            return self.give_up(&format_compact!(
                "the platform answers with revision {revision}, but {} is in force",
                self.revision_in_force
            ));
        }
        if self.note.base > revision {
            return self.finish_conflict(Vec::new());
        }
        self.prepare_commit(stored)
    }

    fn prepare_commit(&mut self, stored: Option<StoredCatalog>) -> Action {
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
        self.send_commit()
    }

    /// Sends the pending transaction.
    ///
    /// A second send is harmless, because the condition holds for at most one of the two.
    fn send_commit(&mut self) -> Action {
        if self.commits_sent >= MAX_COMMITS {
            return self.give_up("the note could not be committed");
        }
        let Some(commit) = self.pending.clone() else {
            return self.give_up("there is nothing to commit");
        };
        self.commits_sent += 1;
        self.state = State::Committing;
        Action::Commit(commit)
    }

    fn handle_outdated(
        &mut self,
        catalog: Option<StoredCatalog>,
        record: Option<Record>,
    ) -> Action {
        let revision = catalog.as_ref().map_or(Revision(0), |s| s.catalog.revision);
        if self.note.base < revision {
            self.newest_found = revision;
            return self.check_record(record);
        }
        // The catalogue was rewritten at the same revision, as after a repair of the service.
        self.check_catalog(catalog)
    }

    fn handle_commit_failure(&mut self, error: &Error) -> Action {
        match error {
            Error::Unreachable { .. } | Error::Refused { .. } => self.give_up(&error.to_string()),
            Error::Indeterminate { .. } | Error::Malformed { .. } => {
                self.may_be_accepted = true;
                self.state = State::ReadingBack;
                Action::ReadRecord(self.target_revision())
            }
        }
    }

    fn resolve_lost_commit(&mut self, record: Option<Record>) -> Action {
        match record {
            // The read may be stale or the transaction delayed, so only a second send decides.
            None => self.send_commit(),
            Some(record) => self.check_record(Some(record)),
        }
    }

    fn check_record(&mut self, record: Option<Record>) -> Action {
        let Some(record) = record else {
            let is_pruned = self.newest_found.0 >= self.target_revision().0 + HISTORY_NOTES;
            if is_pruned && !self.may_be_accepted {
                return self.finish_conflict(Vec::new());
            }
            self.may_be_accepted = true;
            return self.give_up("the record of the next revision could not be found");
        };
        if record.note == self.note {
            return self.finish_accepted(true);
        }
        if record.note.id == self.note.id {
            return self.finish(Verdict::Reused(record.revision));
        }
        self.newest_found = self.newest_found.max(record.revision);
        self.state = State::ReadingConflicts;
        Action::ReadSince(self.target_revision())
    }

    fn finish_accepted(&mut self, repeated: bool) -> Action {
        let revision = self.target_revision();
        self.finish(Verdict::Accepted { revision, repeated })
    }

    fn finish_conflict(&mut self, since: Vec<Record>) -> Action {
        let newest = since.last().map_or(Revision(0), |record| record.revision);
        self.finish(Verdict::Conflict {
            base: self.note.base,
            found: self.newest_found.max(newest),
            since,
        })
    }

    fn give_up(&mut self, reason: &str) -> Action {
        let reason = CompactString::new(reason);
        let verdict = if self.may_be_accepted {
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
