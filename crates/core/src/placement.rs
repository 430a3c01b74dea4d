//! The placement of one availability zone: which VMs form which replica group.

use std::collections::HashMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::units::{Fence, Generation};

/// The intended state of a replica group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Serves as soon as every member reports the group and its generation.
    Active,
    /// Gets no new requests; its VMs are freed once no request is in flight.
    Draining,
}

/// One replica group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Name, unique across all availability zones and never reused.
    pub name: CompactString,
    /// Generation; grows whenever the members change.
    pub generation: Generation,
    /// Model that the group serves.
    pub model: CompactString,
    /// Version of the model.
    pub version: CompactString,
    /// Adapters loaded beside the weights.
    #[serde(default)]
    pub adapters: Vec<CompactString>,
    /// Fabric domain of all members.
    pub domain: CompactString,
    /// VMs in rank order; the first one receives the callers' requests.
    pub members: Vec<CompactString>,
    /// Intended state of the group.
    pub state: State,
    /// VMs of the same fabric domain that are reserved as spares for this group only.
    #[serde(default)]
    pub spares: Vec<CompactString>,
}

/// All replica groups of one availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Availability zone.
    pub zone: CompactString,
    /// Fencing number of the leader that wrote the placement.
    pub fence: Fence,
    /// Grows by one with each write.
    pub sequence: u64,
    /// Number for the next group's name.
    pub next_group: u64,
    /// The replica groups.
    pub groups: Vec<Group>,
}

impl Placement {
    /// Gets a group by name.
    #[must_use]
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.groups.iter().find(|group| group.name == name)
    }

    /// Gets the group that a VM is a member or a spare of.
    #[must_use]
    pub fn group_of(&self, vm: &str) -> Option<&Group> {
        self.groups.iter().find(|group| {
            group
                .members
                .iter()
                .chain(&group.spares)
                .any(|name| name == vm)
        })
    }

    /// Returns the VMs that belong to more than one group; a valid placement has none.
    #[must_use]
    pub fn vms_in_two_groups(&self) -> Vec<CompactString> {
        let mut counts: HashMap<&CompactString, u32> = HashMap::new();
        for group in &self.groups {
            for vm in group.members.iter().chain(&group.spares) {
                *counts.entry(vm).or_default() += 1;
            }
        }
        let mut duplicates: Vec<CompactString> = counts
            .into_iter()
            .filter(|(_, count)| *count > 1)
            .map(|(vm, _)| vm.clone())
            .collect();
        duplicates.sort();
        duplicates
    }
}
