//! Facts: versioned values of which the highest version wins on every node.

use std::net::SocketAddr;

use compact_str::CompactString;
use jackdaw_core::member::Report;
use jackdaw_core::token::Digest;
use jackdaw_core::units::{Fence, Millis, Revision};

use super::hash;

/// Time for which a removed node, a VM's report and a leaving mark are remembered.
pub const RETENTION: Millis = Millis::from_secs(3_600);

/// What a fact is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// A node of the system.
    Member(CompactString),
    /// The catalogue.
    Catalog,
    /// The placement of an availability zone.
    Placement(CompactString),
    /// The report of a VM.
    Report(CompactString),
    /// A VM that is leaving.
    Leaving(CompactString),
    /// A request digest that is convicted of crashing backend servers.
    Poison(Digest),
}

impl Key {
    /// Computes the key's stable hash.
    #[must_use]
    pub fn hash(&self) -> u64 {
        match self {
            Key::Member(name) => hash::hash_strings(&["member", name]),
            Key::Catalog => hash::hash_strings(&["catalog"]),
            Key::Placement(zone) => hash::hash_strings(&["placement", zone]),
            Key::Report(vm) => hash::hash_strings(&["report", vm]),
            Key::Leaving(vm) => hash::hash_strings(&["leaving", vm]),
            Key::Poison(digest) => hash::hash_strings(&["convicted", &digest.to_string()]),
        }
    }

    /// Returns whether the fact only announces a value that has to be fetched. A node tells an
    /// announcement on only when it holds the value itself.
    #[must_use]
    pub fn is_announcement(&self) -> bool {
        match self {
            Key::Catalog | Key::Placement(_) => true,
            Key::Member(_) | Key::Report(_) | Key::Leaving(_) | Key::Poison(_) => false,
        }
    }
}

/// Orders the values of one key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// Compared first: a revision, a sequence number, an incarnation or a time.
    pub major: u64,
    /// Compared second.
    pub minor: u64,
}

/// A node's address and place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Address of the peers' port.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: CompactString,
    /// Wall-clock time of the removal in milliseconds since the Unix epoch; zero for a live node.
    pub removed_unix_ms: u64,
}

/// What a fact says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// A node's address and place.
    Member(Member),
    /// Identity of the note that led to the catalogue.
    Catalog(CompactString),
    /// Fencing number of the leader that wrote the placement.
    Placement(Fence),
    /// A VM's report.
    Report(Report),
    /// The VM is leaving.
    Leaving,
    /// The digest is refused until its version's time.
    Poison,
}

/// One fact.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact {
    /// What it is about.
    pub key: Key,
    /// Its version.
    pub version: Version,
    /// What it says.
    pub value: Value,
}

impl Fact {
    /// Creates the fact of a live node.
    #[must_use]
    pub fn member(name: &str, incarnation: u64, member: Member) -> Self {
        Fact {
            key: Key::Member(name.into()),
            version: Version {
                major: incarnation,
                minor: member.removed_unix_ms,
            },
            value: Value::Member(member),
        }
    }

    /// Creates the announcement of a catalogue.
    #[must_use]
    pub fn catalog(revision: Revision, note: &str) -> Self {
        Fact {
            key: Key::Catalog,
            version: Version {
                major: revision.0,
                minor: 0,
            },
            value: Value::Catalog(note.into()),
        }
    }

    /// Creates the announcement of a placement.
    #[must_use]
    pub fn placement(zone: &str, sequence: u64, fence: Fence) -> Self {
        Fact {
            key: Key::Placement(zone.into()),
            version: Version {
                major: sequence,
                minor: fence.0,
            },
            value: Value::Placement(fence),
        }
    }

    /// Creates the fact that a digest is refused until a time.
    #[must_use]
    pub fn poison(digest: Digest, until_unix_ms: u64) -> Self {
        Fact {
            key: Key::Poison(digest),
            version: Version {
                major: until_unix_ms,
                minor: 0,
            },
            value: Value::Poison,
        }
    }

    /// Gets the member, if the fact is about a node.
    #[must_use]
    pub fn as_member(&self) -> Option<(&CompactString, &Member)> {
        match (&self.key, &self.value) {
            (Key::Member(name), Value::Member(member)) => Some((name, member)),
            _ => None,
        }
    }

    /// Returns the wall-clock time at which every node forgets the fact. It depends on the fact
    /// alone, so that no node brings back what another has forgotten.
    #[must_use]
    pub fn expires_unix_ms(&self) -> Option<u64> {
        match &self.value {
            Value::Member(member) if member.removed_unix_ms == 0 => None,
            Value::Member(member) => Some(member.removed_unix_ms + RETENTION.0),
            Value::Catalog(_) | Value::Placement(_) => None,
            Value::Report(_) | Value::Leaving => Some(self.version.major + RETENTION.0),
            Value::Poison => Some(self.version.major),
        }
    }
}
