//! The catalogue that a node holds in force, where it came from and how old the contact is.

use std::fmt;
use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::catalog::Catalog;
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Millis, Revision};
use serde::{Deserialize, Serialize};

use super::accept::StoredCatalog;

/// Where a catalogue came from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "name", rename_all = "kebab-case")]
pub enum Source {
    /// This node read it from the key-value service.
    Read,
    /// This node's watch on the key-value service saw it.
    Watch,
    /// This node accepted the note.
    Accepted,
    /// Another node sent it.
    Peer(CompactString),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Read => f.write_str("read from the platform"),
            Source::Watch => f.write_str("watch on the platform"),
            Source::Accepted => f.write_str("accepted by this node"),
            Source::Peer(name) => write!(f, "peer {name}"),
        }
    }
}

/// What became of an offered catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is now in force here.
    Taken(Decision),
    /// It was in force here already.
    Known,
    /// A higher revision is in force here.
    Older,
    /// Another catalogue of the same revision is in force here and stays.
    Diverged(Decision),
}

/// A write that brings an outdated key-value service back to the catalogue in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restore {
    /// Revision of the service at which the outdated value was changed last, if there is one.
    pub expected: Option<u64>,
    /// The catalogue in force.
    pub catalog: Arc<Catalog>,
}

/// What operators see of the register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Revision in force here; zero if none is known.
    pub revision: Revision,
    /// Identity of the note that led here.
    pub note: CompactString,
    /// Where the catalogue came from.
    pub source: Option<Source>,
    /// Time for which it has been in force here.
    pub held_for_ms: Option<Millis>,
    /// Time since the platform last answered this node.
    pub platform_contact_age_ms: Option<Millis>,
    /// Revision with which the platform last answered, if it was an old one.
    pub platform_outdated_at: Option<Revision>,
}

#[derive(Clone, Debug)]
struct Held {
    catalog: Arc<Catalog>,
    source: Source,
    since: Instant,
}

/// Holds the catalogue in force; only ever goes to higher revisions.
#[derive(Clone, Debug, Default)]
pub struct Register {
    held: Option<Held>,
    contact: Option<Instant>,
    outdated_at: Option<Revision>,
}

impl Register {
    /// Gets the catalogue in force, if one is known.
    #[must_use]
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.held.as_ref().map(|held| &held.catalog)
    }

    /// Gets the revision in force; zero if none is known.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.catalog()
            .map_or(Revision(0), |catalog| catalog.revision)
    }

    /// Returns whether the node knows what to serve.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.held.is_some()
    }

    /// Takes a catalogue into force if its revision is higher than the one held.
    pub fn offer(&mut self, catalog: Arc<Catalog>, source: Source, now: Instant) -> Offer {
        let held = self.revision();
        if catalog.revision < held || catalog.revision == Revision(0) {
            return Offer::Older;
        }
        if catalog.revision == held {
            return self.compare(&catalog, &source);
        }
        let decision = Decision::new(
            Subject::Release(catalog.revision.to_string().into()),
            &source,
            "catalogue in force on this node",
        )
        .with_input("revision before", held)
        .with_input("note", &catalog.note)
        .with_alternative("keep the old catalogue", "only higher revisions count");
        self.held = Some(Held {
            catalog,
            source,
            since: now,
        });
        Offer::Taken(decision)
    }

    /// Notes what the key-value service answered, `None` standing for an empty service, and
    /// returns the write that mends a service which has fallen behind.
    pub fn platform_answered(
        &mut self,
        stored: Option<&StoredCatalog>,
        now: Instant,
    ) -> Option<Restore> {
        self.contact = Some(now);
        let revision = stored.map_or(Revision(0), |stored| stored.catalog.revision);
        if revision >= self.revision() {
            self.outdated_at = None;
            return None;
        }
        self.outdated_at = Some(revision);
        // The condition fails if the answer was merely old, so the write only mends a real loss.
        Some(Restore {
            expected: stored.map(|stored| stored.mod_revision),
            catalog: Arc::clone(self.catalog()?),
        })
    }

    /// Notes an answer of the platform that says nothing about the catalogue.
    pub fn platform_contacted(&mut self, now: Instant) {
        self.contact = Some(now);
    }

    /// Returns what operators see.
    #[must_use]
    pub fn status(&self, now: Instant) -> Status {
        let held = self.held.as_ref();
        Status {
            revision: self.revision(),
            note: held.map_or_else(CompactString::default, |held| held.catalog.note.clone()),
            source: held.map(|held| held.source.clone()),
            held_for_ms: held.map(|held| now.since(held.since)),
            platform_contact_age_ms: self.contact.map(|contact| now.since(contact)),
            platform_outdated_at: self.outdated_at,
        }
    }

    fn compare(&self, offered: &Catalog, source: &Source) -> Offer {
        let is_same = self
            .catalog()
            .is_some_and(|catalog| catalog.as_ref() == offered);
        if is_same {
            return Offer::Known;
        }
        let decision = Decision::new(
            Subject::Release(offered.revision.to_string().into()),
            source,
            "kept the catalogue that came first",
        )
        .with_input("note offered", &offered.note)
        .with_alternative(
            "take the other catalogue",
            "a revision in force never changes its meaning",
        );
        Offer::Diverged(decision)
    }
}
