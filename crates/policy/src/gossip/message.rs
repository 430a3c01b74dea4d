//! Messages between nodes.

use std::net::SocketAddr;

use compact_str::CompactString;
use jackdaw_core::units::Revision;

use super::fact::{Fact, Version};

/// The sender's own news, on every message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Name of the sender.
    pub from: CompactString,
    /// Address of the sender's peers' port.
    pub address: SocketAddr,
    /// Availability zone of the sender.
    pub zone: CompactString,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Heartbeat counter of the sender.
    pub heartbeat: u64,
    /// Catalogue revision in force at the sender.
    pub revision: Revision,
    /// The message.
    pub body: Body,
}

/// The message proper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Begins an exchange.
    Probe(Exchange),
    /// Answers a probe.
    Answer(Exchange),
    /// Carries fresh facts.
    Push(Vec<Fact>),
    /// Lists keys and versions of parts that differ.
    Detail(Vec<Bucket>),
    /// Carries facts that the receiver lacks and asks for others.
    Repair {
        /// Facts that the receiver lacks.
        facts: Vec<Fact>,
        /// Hashes of the keys whose facts the sender lacks.
        wants: Vec<u64>,
    },
}

/// Heartbeats and digests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Exchange {
    /// Digest of all facts.
    pub root: u64,
    /// Digest of the zone's nodes and their incarnations.
    pub members_digest: u64,
    /// Heartbeats of the zone's nodes, in order of their names.
    pub heartbeats: Vec<u64>,
    /// Hashes of names and incarnations, unless the receiver knows the same nodes.
    pub ids: Vec<u32>,
    /// Nodes whose catalogue revision differs from the sender's.
    pub lags: Vec<Lag>,
    /// What is known of each availability zone.
    pub zones: Vec<Summary>,
    /// Digests of the parts, if the roots differ.
    pub buckets: Vec<u64>,
}

/// A node whose catalogue revision differs from the sender's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lag {
    /// Position in the list of heartbeats.
    pub position: u32,
    /// The node's catalogue revision.
    pub revision: Revision,
}

/// What an availability zone says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Availability zone.
    pub zone: CompactString,
    /// Wall-clock time of the summary in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Nodes that are live.
    pub live: u32,
    /// Lowest catalogue revision of a live node.
    pub lowest: Revision,
    /// Highest catalogue revision of a live node.
    pub highest: Revision,
}

/// Keys and versions of one part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bucket {
    /// Number of the part.
    pub index: u32,
    /// Keys and versions.
    pub entries: Vec<Entry>,
}

/// Key and version of one fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Hash of the key.
    pub key: u64,
    /// Version.
    pub version: Version,
}
