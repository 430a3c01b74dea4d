//! JSON documents of the operators' interface.

use compact_str::CompactString;
use jackdaw_core::catalog::Catalog;
use jackdaw_core::decision::Decision;
use jackdaw_core::inventory;
use jackdaw_core::note::Conflict;
use jackdaw_core::placement;
use jackdaw_core::units::{Fence, Generation, Millis, Revision};
use jackdaw_policy::release::Record;
use jackdaw_policy::release::register;
use serde::{Deserialize, Serialize};

/// An accepted release note.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Identity of the note.
    pub note: CompactString,
    /// Revision at which it was accepted.
    pub revision: Revision,
    /// Whether an earlier attempt had accepted it.
    pub repeated: bool,
}

/// The catalogue in force on a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Current {
    /// Revision, source and age.
    pub release: register::Status,
    /// The catalogue.
    pub catalog: Catalog,
}

/// Accepted notes, newest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Records of the notes.
    pub notes: Vec<Record>,
}

/// Preview of the changes of a release note.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Revision in force.
    pub in_force: Revision,
    /// Conflicts between the note and the catalogue in force; empty if the note would be
    /// accepted.
    pub conflicts: Vec<Conflict>,
    /// Changes of the catalogue.
    pub changes: Vec<Change>,
    /// Decisions that the zone's planner would take next.
    pub decisions: Vec<Decision>,
}

/// One change of the catalogue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// `add`, `change` or `withdraw`.
    pub action: CompactString,
    /// `model`, `service` or `team`.
    pub kind: CompactString,
    /// Name of the item.
    pub name: CompactString,
    /// Description of the effect.
    pub effect: CompactString,
}

/// State of a node and its knowledge of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the node.
    pub node: CompactString,
    /// Region.
    pub region: CompactString,
    /// Availability zone.
    pub zone: CompactString,
    /// Whether the node accepts requests.
    pub ready: bool,
    /// Whether the node is stopping.
    pub stopping: bool,
    /// Whether the node receives heartbeats from half of its zone's nodes or fewer.
    pub isolated: bool,
    /// Revision in force on this node, its source and the age of the last contact with the
    /// platform.
    pub release: register::Status,
    /// Last summary received from each availability zone.
    pub zones: Vec<Zone>,
    /// Whether all live nodes of every zone have at least the revision in force on this node.
    pub in_force_everywhere: bool,
    /// Replica groups of this zone that are serving.
    pub groups_serving: u32,
    /// Replica groups of this zone in the placement.
    pub groups_placed: u32,
    /// Model VMs of this zone that belong to no serving group.
    pub vms_stranded: u32,
}

/// Summary that an availability zone published of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zone {
    /// Name.
    pub zone: CompactString,
    /// Live nodes.
    pub live: u32,
    /// Lowest revision in force on a live node.
    pub lowest: Revision,
    /// Highest revision in force on a live node.
    pub highest: Revision,
    /// Age of the summary.
    pub age_ms: Millis,
}

/// Liveness of a node as seen from this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Presence {
    /// Its heartbeats arrive in time.
    Live,
    /// Its heartbeats are overdue.
    Suspect,
    /// It has been removed from the fleet.
    Removed,
    /// It belongs to another zone, which has not removed it.
    Listed,
}

/// A node of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Name.
    pub name: CompactString,
    /// Availability zone.
    pub zone: CompactString,
    /// Address of the peers' port.
    pub address: CompactString,
    /// Liveness.
    pub presence: Presence,
    /// Time since its last heartbeat, for nodes of this zone.
    pub silence_ms: Option<Millis>,
    /// Catalogue revision in force there, for nodes of this zone.
    pub revision: Option<Revision>,
}

/// A replica group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Name.
    pub name: CompactString,
    /// Generation.
    pub generation: Generation,
    /// Model.
    pub model: CompactString,
    /// Version of the model.
    pub version: CompactString,
    /// Fabric domain.
    pub domain: CompactString,
    /// Intended state.
    pub state: placement::State,
    /// Whether every member has reported the group, so that it serves.
    pub whole: bool,
    /// Members in rank order.
    pub members: Vec<Member>,
    /// Spare VMs assigned to the group.
    pub spares: Vec<CompactString>,
}

/// A member of a replica group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// VM.
    pub vm: CompactString,
    /// Whether its last report is recent enough and names this group and generation.
    pub present: bool,
}

/// A VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name.
    pub name: CompactString,
    /// Availability zone.
    pub zone: CompactString,
    /// Fabric domain.
    pub domain: CompactString,
    /// Service of a backend server; `None` for a model engine.
    pub service: Option<CompactString>,
    /// Whether the platform keeps the VM or is about to remove it.
    pub state: inventory::State,
    /// Replica group that it is assigned to by the placement.
    pub group: Option<CompactString>,
    /// Age of its last report, or `None` if there is none.
    pub report_age_ms: Option<Millis>,
    /// Whether it last reported that it can compute.
    pub ready: Option<bool>,
    /// Highest fencing number that it has reported.
    pub fence: Option<Fence>,
}

/// A team of callers, without its tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Name.
    pub name: CompactString,
    /// Share of the capacity relative to other teams.
    pub weight: u32,
    /// Requests a second over the whole fleet.
    pub requests_per_second: u32,
    /// Requests in flight on one node.
    pub concurrency: u32,
    /// Priority passed to the engines.
    pub priority: u32,
    /// Deadline of a request that specifies none.
    pub deadline_ms: Millis,
    /// Models and services that the team may use; empty means all.
    pub allowed: Vec<CompactString>,
}
