//! Facts: versioned values that are replicated to every node. The highest version of a key wins.

use std::net::SocketAddr;

use compact_str::CompactString;
use jackdaw_core::member::Report;
use jackdaw_core::units::{Fence, Millis, Revision};

use super::hash;
use crate::poison::{CrashId, EVIDENCE_LIFETIME, Feature};

/// Time for which a removed node, a VM's report and a leaving mark are kept.
pub const RETENTION: Millis = Millis::from_secs(3_600);

/// Subject of a fact.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// A node.
    Member(CompactString),
    /// The catalogue.
    Catalog,
    /// The placement of an availability zone.
    Placement(CompactString),
    /// The report of a VM.
    Report(CompactString),
    /// A VM that is leaving.
    Leaving(CompactString),
    /// Digest of a request that crashes backend servers.
    Poison(Feature),
    /// A request that was in flight at a crash.
    Crash(Feature, CrashId),
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
            Key::Poison(feature) => hash::hash_strings(&["convicted", &feature.to_string()]),
            Key::Crash(feature, CrashId(crash)) => {
                hash::mix(hash::hash_strings(&["crash", &feature.to_string()]) ^ crash)
            }
        }
    }

    /// Returns whether the fact only announces a value that must be fetched. A node passes an
    /// announcement on only once it holds the value itself.
    #[must_use]
    pub fn is_announcement(&self) -> bool {
        match self {
            Key::Catalog | Key::Placement(_) => true,
            Key::Member(_) | Key::Report(_) | Key::Leaving(_) | Key::Poison(_) | Key::Crash(..) => {
                false
            }
        }
    }
}

/// Version of a fact, which orders the values of one key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// Compared first: a revision, a sequence number, an incarnation or a time.
    pub major: u64,
    /// Compared second.
    pub minor: u64,
}

/// Address and zone of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Address that the node listens on for its peers.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: CompactString,
    /// Wall-clock time of the removal in milliseconds since the Unix epoch; zero for a live node.
    pub removed_unix_ms: u64,
}

/// Value of a fact.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// Address and zone of a node.
    Member(Member),
    /// Id of the release note that produced the catalogue.
    Catalog(CompactString),
    /// Fencing number of the leader that wrote the placement.
    Placement(Fence),
    /// A VM's report.
    Report(Report),
    /// The VM is leaving.
    Leaving,
    /// Requests with the digest are refused until the time in the version's major number.
    Poison,
    /// The request was in flight at the crash, or is cleared of it if the version's minor number is
    /// not zero. The major number is zero, so that a clearance always wins.
    Crash {
        /// Wall-clock time of the crash in milliseconds since the Unix epoch.
        at_unix_ms: u64,
    },
}

/// Key, version and value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact {
    /// Key.
    pub key: Key,
    /// Version.
    pub version: Version,
    /// Value.
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

    /// Creates the fact that requests with a feature are refused until a wall-clock time, or that
    /// they would be if the ban had not been lifted.
    #[must_use]
    pub fn poison(feature: Feature, until_unix_ms: u64, is_lifted: bool) -> Self {
        Fact {
            key: Key::Poison(feature),
            version: Version {
                major: until_unix_ms,
                minor: u64::from(is_lifted),
            },
            value: Value::Poison,
        }
    }

    /// Creates the fact that a feature was in flight at a crash at a wall-clock time.
    #[must_use]
    pub fn crash(feature: Feature, crash: CrashId, is_cleared: bool, at_unix_ms: u64) -> Self {
        Fact {
            key: Key::Crash(feature, crash),
            version: Version {
                major: 0,
                minor: u64::from(is_cleared),
            },
            value: Value::Crash { at_unix_ms },
        }
    }

    /// Returns the name and the member if the fact is about a node.
    #[must_use]
    pub fn as_member(&self) -> Option<(&CompactString, &Member)> {
        match (&self.key, &self.value) {
            (Key::Member(name), Value::Member(member)) => Some((name, member)),
            _ => None,
        }
    }

    /// Returns the wall-clock time at which every node drops the fact. It depends only on the fact
    /// itself, so that no node reintroduces a fact that another node has dropped.
    #[must_use]
    pub fn expires_unix_ms(&self) -> Option<u64> {
        match &self.value {
            Value::Member(member) if member.removed_unix_ms == 0 => None,
            Value::Member(member) => Some(member.removed_unix_ms + RETENTION.0),
            Value::Catalog(_) | Value::Placement(_) => None,
            Value::Report(_) | Value::Leaving => Some(self.version.major + RETENTION.0),
            Value::Poison => Some(self.version.major),
            Value::Crash { at_unix_ms } => Some(at_unix_ms + EVIDENCE_LIFETIME.0),
        }
    }
}
