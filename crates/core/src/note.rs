//! Release notes: what operators add, change and withdraw.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use thiserror::Error as ThisError;

use crate::catalog::{Model, Service, Team};
use crate::units::Revision;

/// Additions, changes and withdrawals of one kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, bound(deserialize = "T: Deserialize<'de>"))]
pub struct Section<T> {
    /// Items that must not exist yet.
    #[serde(default = "Vec::new")]
    pub add: Vec<T>,
    /// Items that replace one of the same name.
    #[serde(default = "Vec::new")]
    pub change: Vec<T>,
    /// Names of items that are no longer served.
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
    /// Identity, made by the operator's tool, by which a lost answer is resolved.
    #[serde(default)]
    pub id: CompactString,
    /// Revision of the catalogue against which the note was written.
    #[serde(default)]
    pub base: Revision,
    /// What the note is for, in the operator's words.
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

/// Why a release note does not fit the catalogue.
#[derive(Clone, Debug, PartialEq, Eq, ThisError, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Conflict {
    /// Another note came first.
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
    /// A value makes no sense.
    #[error("{name}: {reason}")]
    Invalid {
        /// Name of the item.
        name: CompactString,
        /// What is wrong.
        reason: CompactString,
    },
}

impl Conflict {
    /// Creates a conflict about a value.
    #[must_use]
    pub fn invalid(name: &str, reason: &str) -> Self {
        Conflict::Invalid {
            name: name.into(),
            reason: reason.into(),
        }
    }
}
