//! The immutable view of catalogue and targets by which requests are handled.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::catalog::{Catalog, Team};
use jackdaw_core::token::Digest;
use jackdaw_core::units::Generation;
use jackdaw_policy::poison::Verdicts;

use crate::call::Destination;
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
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: CompactString,
    /// Load and latency as this node sees them.
    pub gauge: Arc<Gauge>,
}

/// What this node serves at one point in time.
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
    /// Verdicts on digests of requests that may crash backend servers.
    pub verdicts: Arc<Verdicts>,
    /// Number of nodes in the whole fleet, including this one; zero if unknown.
    pub nodes: u32,
    /// Number of nodes in this availability zone, including this one; zero if unknown.
    pub zone_nodes: u32,
    /// Names and addresses of the other nodes.
    pub peers: Vec<(CompactString, SocketAddr)>,
    /// Availability zone of this node.
    pub zone: CompactString,
    /// Whether the node has a catalogue and may accept requests.
    pub ready: bool,
    /// Whether the node is stopping and accepts no new requests.
    pub stopping: bool,
}

impl Target {
    /// Returns whether another target is the same one; one that has started again is not.
    ///
    /// A gauge belongs to one target and is kept from snapshot to snapshot.
    pub(crate) fn is_same(&self, other: &Target) -> bool {
        Arc::ptr_eq(&self.gauge, &other.gauge)
    }
}

impl Snapshot {
    /// Returns the targets that serve a model or a plain service.
    pub(crate) fn targets(&self, name: &str, is_model: bool) -> &[Target] {
        let targets = match is_model {
            true => self.models.get(name),
            false => self.services.get(name),
        };
        targets.map_or(&[], Vec::as_slice)
    }

    /// Returns whether a target still serves a destination.
    pub(crate) fn has_target(&self, destination: &Destination, target: &Target) -> bool {
        let targets = self.targets(destination.name(), destination.is_model());
        targets.iter().any(|listed| listed.is_same(target))
    }
}
