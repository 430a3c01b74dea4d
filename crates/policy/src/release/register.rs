//! The catalogue in force on a node, its source and the age of the last contact with the platform.

use std::fmt;
use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::catalog::Catalog;
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Millis, Revision};
use serde::{Deserialize, Serialize};

use super::accept::StoredCatalog;

/// Source of a catalogue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "name", rename_all = "kebab-case")]
pub enum Source {
    /// This node read it from the key-value service.
    Read,
    /// This node received it through a watch on the key-value service.
    Watch,
    /// This node accepted the release note.
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

/// Outcome of an offer of a catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The catalogue is now in force on this node.
    Taken(Decision),
    /// The catalogue was already in force on this node.
    Known,
    /// A higher revision is in force on this node, or the offered revision is zero.
    Older,
    /// A different catalogue of the same revision is in force on this node and stays.
    Diverged(Decision),
}

/// Write that restores the catalogue in force in an outdated key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restore {
    /// Revision of the service at which the outdated catalogue was last modified, if it exists.
    pub expected: Option<u64>,
    /// Catalogue in force.
    pub catalog: Arc<Catalog>,
}

/// State of the register, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Revision in force on this node; zero if none is known.
    pub revision: Revision,
    /// Identity of the note that led to this revision.
    pub note: CompactString,
    /// Source of the catalogue.
    pub source: Option<Source>,
    /// Time for which the catalogue has been in force on this node.
    pub held_for_ms: Option<Millis>,
    /// Time since the platform last answered this node.
    pub platform_contact_age_ms: Option<Millis>,
    /// Revision in the last answer of the platform, if it was outdated.
    pub platform_outdated_at: Option<Revision>,
}

#[derive(Clone, Debug)]
struct ActiveCatalog {
    catalog: Arc<Catalog>,
    source: Source,
    since: Instant,
}

/// Holds the catalogue in force on a node; its revision only increases.
#[derive(Clone, Debug, Default)]
pub struct Register {
    active: Option<ActiveCatalog>,
    last_contact: Option<Instant>,
    outdated_at: Option<Revision>,
}

impl Register {
    /// Returns the catalogue in force, if one is known.
    #[must_use]
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.active.as_ref().map(|active| &active.catalog)
    }

    /// Returns the revision in force; zero if none is known.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.catalog()
            .map_or(Revision(0), |catalog| catalog.revision)
    }

    /// Returns whether a catalogue is in force on this node.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.active.is_some()
    }

    /// Puts a catalogue into force if its revision is higher than the one in force.
    pub fn offer(&mut self, catalog: Arc<Catalog>, source: Source, now: Instant) -> Offer {
        let current = self.revision();
        if catalog.revision < current || catalog.revision == Revision(0) {
            return Offer::Older;
        }
        if catalog.revision == current {
            return self.compare_same_revision(&catalog, &source);
        }
        let decision = Decision::new(
            Subject::Release(catalog.revision.to_string().into()),
            &source,
            "catalogue in force on this node",
        )
        .with_input("revision before", current)
        .with_input("note", &catalog.note)
        .with_alternative("keep the old catalogue", "only higher revisions count");
        self.active = Some(ActiveCatalog {
            catalog,
            source,
            since: now,
        });
        Offer::Taken(decision)
    }

    /// Records the catalogue that the key-value service returned, `None` if it is empty.
    ///
    /// Returns the write that restores the catalogue in force if the service is outdated.
    pub fn platform_answered(
        &mut self,
        stored: Option<&StoredCatalog>,
        now: Instant,
    ) -> Option<Restore> {
        self.last_contact = Some(now);
        let revision = stored.map_or(Revision(0), |stored| stored.catalog.revision);
        if revision >= self.revision() {
            self.outdated_at = None;
            return None;
        }
        self.outdated_at = Some(revision);
        // The condition fails if only the answer was stale, so the write repairs only a real loss.
        Some(Restore {
            expected: stored.map(|stored| stored.mod_revision),
            catalog: Arc::clone(self.catalog()?),
        })
    }

    /// Records an answer of the platform that does not contain the catalogue.
    pub fn platform_contacted(&mut self, now: Instant) {
        self.last_contact = Some(now);
    }

    /// Returns the state of the register for operators.
    #[must_use]
    pub fn status(&self, now: Instant) -> Status {
        let active = self.active.as_ref();
        Status {
            revision: self.revision(),
            note: active.map_or_else(CompactString::default, |active| active.catalog.note.clone()),
            source: active.map(|active| active.source.clone()),
            held_for_ms: active.map(|active| now.since(active.since)),
            platform_contact_age_ms: self.last_contact.map(|contact| now.since(contact)),
            platform_outdated_at: self.outdated_at,
        }
    }

    fn compare_same_revision(&self, offered: &Catalog, source: &Source) -> Offer {
        let is_identical = self
            .catalog()
            .is_some_and(|catalog| catalog.as_ref() == offered);
        if is_identical {
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
