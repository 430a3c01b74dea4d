//! The immutable view from which requests are decided.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::catalog::{Catalog, Team};
use jackdaw_core::token::Digest;
use jackdaw_core::units::Generation;
use jackdaw_policy::poison::Verdicts;

use crate::gauge::Gauge;

/// A whole replica group or a live backend server of a plain service.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name of the replica group or of the VM.
    pub name: CompactString,
    /// Generation of the group; zero for a plain service.
    pub generation: Generation,
    /// Version of the model; empty for a plain service.
    pub version: CompactString,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: CompactString,
    /// Load.
    pub gauge: Arc<Gauge>,
}

/// What this node serves, at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Catalogue in force.
    pub catalog: Arc<Catalog>,
    /// Teams by digest of their tokens.
    pub teams: HashMap<Digest, Arc<Team>>,
    /// Whole replica groups by model.
    pub models: HashMap<CompactString, Vec<Target>>,
    /// Live backend servers by plain service.
    pub services: HashMap<CompactString, Vec<Target>>,
    /// What is held against digests of requests.
    pub verdicts: Arc<Verdicts>,
    /// Nodes of the whole fleet, this one among them; zero means that they are not known.
    pub nodes: u32,
    /// Nodes of this availability zone, this one among them; zero means that they are not known.
    pub zone_nodes: u32,
    /// Availability zone of this node.
    pub zone: CompactString,
    /// Whether the node knows a catalogue and may take requests.
    pub ready: bool,
    /// Whether the node is stopping and takes no new requests.
    pub stopping: bool,
}
