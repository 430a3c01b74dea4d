//! Gossip messages between nodes.

use std::net::SocketAddr;

use compact_str::CompactString;
use jackdaw_core::units::Revision;

use super::fact::{Fact, Version};

/// Message with the sender's identity and heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Name of the sender.
    pub from: CompactString,
    /// Address that the sender listens on for its peers.
    pub address: SocketAddr,
    /// Availability zone of the sender.
    pub zone: CompactString,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Heartbeat counter of the sender.
    pub heartbeat: u64,
    /// Catalogue revision in force at the sender.
    pub revision: Revision,
    /// Content of the message.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Starts an exchange.
    Probe(Exchange),
    /// Answers a probe.
    Answer(Exchange),
    /// Carries new facts.
    Push(Vec<Fact>),
    /// Lists keys and versions of the buckets that differ.
    Detail(Vec<Bucket>),
    /// Carries facts that the receiver lacks and asks for others.
    Repair {
        /// Facts that the receiver lacks.
        facts: Vec<Fact>,
        /// Hashes of the keys whose facts the sender requests.
        wants: Vec<u64>,
    },
}

/// Heartbeats and digests for the comparison of facts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Exchange {
    /// Digest of all facts.
    pub root: u64,
    /// Digest of the zone's nodes and their incarnations.
    pub members_digest: u64,
    /// Heartbeat counters of the zone's nodes, sorted by node name.
    pub heartbeats: Vec<u64>,
    /// Hashes of names and incarnations; empty if the receiver knows the same nodes.
    pub ids: Vec<u32>,
    /// Nodes whose catalogue revision differs from the sender's.
    pub lags: Vec<Lag>,
    /// Latest known summary of each availability zone.
    pub zones: Vec<Summary>,
    /// Digests of the buckets; empty unless the roots differ.
    pub buckets: Vec<u64>,
}

/// Catalogue revision of a node that differs from the sender's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lag {
    /// Index of the node in the list of heartbeats.
    pub position: u32,
    /// The node's catalogue revision.
    pub revision: Revision,
}

/// Summary of an availability zone, published by one of its nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Availability zone.
    pub zone: CompactString,
    /// Wall-clock time of the summary in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Number of live nodes.
    pub live: u32,
    /// Lowest catalogue revision of a live node.
    pub lowest: Revision,
    /// Highest catalogue revision of a live node.
    pub highest: Revision,
}

/// Keys and versions of the facts in one bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bucket {
    /// Index of the bucket.
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
