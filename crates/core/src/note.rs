//! Release notes: what operators add, change and withdraw.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use thiserror::Error as ThisError;

use crate::catalog::{Model, Service, Team};
use crate::units::Revision;

/// Additions, changes and withdrawals of one kind of item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, bound(deserialize = "T: Deserialize<'de>"))]
pub struct Section<T> {
    /// Items that must not exist yet.
    #[serde(default = "Vec::new")]
    pub add: Vec<T>,
    /// Items that replace an existing item of the same name.
    #[serde(default = "Vec::new")]
    pub change: Vec<T>,
    /// Names of items that are removed.
    #[serde(default)]
    pub withdraw: Vec<CompactString>,
}

impl<T> Default for Section<T> {
    fn default() -> Self {
        Section {
            add: Vec::new(),
            change: Vec::new(),
            withdraw: Vec::new(),
        }
    }
}

/// A release note as an operator writes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// Identity assigned by the operator's tool; if the answer to a note is lost, it tells whether
    /// the note was accepted.
    #[serde(default)]
    pub id: CompactString,
    /// Revision of the catalogue against which the note was written.
    #[serde(default)]
    pub base: Revision,
    /// Purpose of the note, written by the operator.
    #[serde(default)]
    pub summary: CompactString,
    /// Changes of models.
    #[serde(default)]
    pub models: Section<Model>,
    /// Changes of plain services.
    #[serde(default)]
    pub services: Section<Service>,
    /// Changes of teams.
    #[serde(default)]
    pub teams: Section<Team>,
}

impl<T> Section<T> {
    /// Returns whether the section changes nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.add.is_empty() && self.change.is_empty() && self.withdraw.is_empty()
    }
}

impl Note {
    /// Returns whether the note changes nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.models.is_empty() && self.services.is_empty() && self.teams.is_empty()
    }
}

/// Reason why a release note cannot be applied to the catalogue.
#[derive(Clone, Debug, PartialEq, Eq, ThisError, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Conflict {
    /// Another note was accepted first.
    #[error("the note was written against revision {expected}, but {found} is in force")]
    Base {
        /// The note's base.
        expected: Revision,
        /// The revision in force.
        found: Revision,
    },
    /// The note adds something that exists.
    #[error("{name} exists already; list it under change")]
    Exists {
        /// Name of the item.
        name: CompactString,
    },
    /// The note changes or withdraws something that does not exist.
    #[error("{name} does not exist")]
    Missing {
        /// Name of the item.
        name: CompactString,
    },
    /// A value is invalid.
    #[error("{name}: {reason}")]
    Invalid {
        /// Name of the item.
        name: CompactString,
        /// Why the value is invalid.
        reason: CompactString,
    },
}

impl Conflict {
    /// Creates a conflict for an invalid value.
    #[must_use]
    pub fn invalid(name: &str, reason: &str) -> Self {
        Conflict::Invalid {
            name: name.into(),
            reason: reason.into(),
        }
    }
}
