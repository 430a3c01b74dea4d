//! What operators see, as JSON.

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

/// What a release note would change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Revision in force.
    pub in_force: Revision,
    /// Conflicts between the note and the catalogue in force; none means that it would be
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
    /// What becomes of it.
    pub effect: CompactString,
}

/// State of a node and what it knows of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the node.
    pub node: CompactString,
    /// Region.
    pub region: CompactString,
    /// Availability zone.
    pub zone: CompactString,
    /// Whether the node takes requests.
    pub ready: bool,
    /// Whether the node is stopping.
    pub stopping: bool,
    /// Whether the node hears half of its zone's nodes or fewer.
    pub isolated: bool,
    /// The catalogue in force here, where it came from and the age of the platform contact.
    pub release: register::Status,
    /// What each availability zone said of itself last.
    pub zones: Vec<Zone>,
    /// Whether every zone told that all its live nodes hold the revision in force here.
    pub in_force_everywhere: bool,
    /// Replica groups of this zone that serve.
    pub groups_serving: u32,
    /// Replica groups of this zone in the placement.
    pub groups_placed: u32,
    /// Model VMs of this zone that hold no serving group.
    pub vms_stranded: u32,
}

/// What an availability zone said of itself.
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

/// Whether a node is heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Presence {
    /// Its heartbeats are heard.
    Live,
    /// Its heartbeats are overdue.
    Suspect,
    /// It was removed.
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
    /// Whether it is heard.
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
    /// What the group is meant to do.
    pub state: placement::State,
    /// Whether every member reported the group, so that it serves.
    pub whole: bool,
    /// Members in rank order.
    pub members: Vec<Member>,
    /// Spares bound to the group.
    pub spares: Vec<CompactString>,
}

/// A member of a replica group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// VM.
    pub vm: CompactString,
    /// Whether it reported this group and generation within the bound.
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
    /// Plain service, or none for a model engine.
    pub service: Option<CompactString>,
    /// Whether the platform keeps it.
    pub state: inventory::State,
    /// Replica group that the placement gives it to.
    pub group: Option<CompactString>,
    /// Age of its last report.
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
    /// Priority handed to the engines.
    pub priority: u32,
    /// Deadline of a request that names none.
    pub deadline_ms: Millis,
    /// Models and services that the team may use; empty means all.
    pub allowed: Vec<CompactString>,
}
