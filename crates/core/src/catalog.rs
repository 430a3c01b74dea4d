//! The catalogue: what the fleet should serve after the last accepted release note.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::note::{Conflict, Note, Section};
use crate::token::Digest;
use crate::units::{Millis, Revision};

/// A model that the fleet serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name by which callers ask for the model.
    pub name: CompactString,
    /// Version of the weights.
    pub version: CompactString,
    /// Number of VMs that one replica group spans.
    pub vms_per_replica: u32,
    /// Number of replica groups wanted in each availability zone.
    pub replicas: u32,
    /// Adapters loaded beside the weights.
    #[serde(default)]
    pub adapters: Vec<CompactString>,
    /// Availability zones that serve the model; empty means all.
    #[serde(default)]
    pub zones: Vec<CompactString>,
    /// Priority; groups of models with a higher number are restored first.
    #[serde(default)]
    pub priority: u32,
}

impl Model {
    /// Returns whether an availability zone serves the model.
    #[must_use]
    pub fn is_served_in(&self, zone: &str) -> bool {
        self.zones.is_empty() || self.zones.iter().any(|name| name == zone)
    }
}

/// A route of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method; `*` stands for any.
    pub method: CompactString,
    /// Prefix of the path below the service, beginning with `/`.
    pub path: CompactString,
    /// Whether a call may be sent to a backend server more than once.
    pub idempotent: bool,
}

/// A plain service beside the model engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, which is also the service's label in the VM list.
    pub name: CompactString,
    /// Routes; the longest matching prefix applies, and a call without a match is non-idempotent.
    #[serde(default)]
    pub routes: Vec<Route>,
}

impl Service {
    /// Returns whether a call may be sent more than once.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        self.routes
            .iter()
            .filter(|route| route.method == "*" || route.method == method)
            .filter(|route| path.starts_with(route.path.as_str()))
            .max_by_key(|route| route.path.len())
            .is_some_and(|route| route.idempotent)
    }
}

/// A team of callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub name: CompactString,
    /// SHA-256 digests of the team's bearer tokens, in hexadecimal digits.
    pub token_sha256: Vec<Digest>,
    /// Weight of the team's share of the capacity, relative to other teams.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Requests per second that the team may send across the whole fleet.
    #[serde(default = "default_requests_per_second")]
    pub requests_per_second: u32,
    /// Requests that the team may have in flight on one node.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Priority passed to the engines; a higher number goes first.
    #[serde(default)]
    pub priority: u32,
    /// Deadline of requests that state none.
    #[serde(default = "default_deadline")]
    pub deadline_ms: Millis,
    /// Models and services that the team may use; empty means all.
    #[serde(default)]
    pub allowed: Vec<CompactString>,
}

const fn default_weight() -> u32 {
    1
}

const fn default_requests_per_second() -> u32 {
    1_000
}

const fn default_concurrency() -> u32 {
    256
}

const fn default_deadline() -> Millis {
    Millis::from_secs(60)
}

impl Team {
    /// Returns whether the team may use a model or a service.
    #[must_use]
    pub fn may_use(&self, name: &str) -> bool {
        self.allowed.is_empty() || self.allowed.iter().any(|allowed| allowed == name)
    }
}

/// What the fleet should serve, at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// Number of accepted release notes; grows by one with each.
    pub revision: Revision,
    /// Identity of the release note that produced this revision.
    pub note: CompactString,
    /// Models by name.
    pub models: Vec<Model>,
    /// Plain services by name.
    pub services: Vec<Service>,
    /// Teams by name.
    pub teams: Vec<Team>,
}

impl Catalog {
    /// Returns the catalogue after a release note.
    ///
    /// # Errors
    ///
    /// Returns every conflict between the note and this catalogue, so that an operator can fix
    /// all of them at once.
    pub fn apply(&self, note: &Note) -> Result<Catalog, Vec<Conflict>> {
        let mut conflicts = Vec::new();
        if note.base != self.revision {
            conflicts.push(Conflict::Base {
                expected: note.base,
                found: self.revision,
            });
        }
        if note.is_empty() {
            conflicts.push(Conflict::invalid("note", "changes nothing"));
        }
        let mut next = self.clone();
        apply_section(&mut next.models, &note.models, &mut conflicts);
        apply_section(&mut next.services, &note.services, &mut conflicts);
        apply_section(&mut next.teams, &note.teams, &mut conflicts);
        next.validate(&mut conflicts);
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        next.revision = Revision(self.revision.0 + 1);
        next.note = note.id.clone();
        Ok(next)
    }

    /// Gets a model by name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }

    /// Gets a plain service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    fn validate(&self, conflicts: &mut Vec<Conflict>) {
        for model in &self.models {
            if model.vms_per_replica == 0 {
                conflicts.push(Conflict::invalid(
                    &model.name,
                    "vms_per_replica must be at least 1",
                ));
            }
        }
        for team in &self.teams {
            if team.weight == 0 {
                conflicts.push(Conflict::invalid(&team.name, "weight must be at least 1"));
            }
            let shared = self
                .teams
                .iter()
                .filter(|other| other.name != team.name)
                .any(|other| {
                    other
                        .token_sha256
                        .iter()
                        .any(|token| team.token_sha256.contains(token))
                });
            if shared {
                conflicts.push(Conflict::invalid(
                    &team.name,
                    "a token belongs to another team as well",
                ));
            }
        }
    }
}

/// An item of the catalogue, identified by its name.
pub trait Named: Clone {
    /// Gets the name.
    fn name(&self) -> &CompactString;
}

impl Named for Model {
    fn name(&self) -> &CompactString {
        &self.name
    }
}

impl Named for Service {
    fn name(&self) -> &CompactString {
        &self.name
    }
}

impl Named for Team {
    fn name(&self) -> &CompactString {
        &self.name
    }
}

fn apply_section<T: Named>(
    items: &mut Vec<T>,
    section: &Section<T>,
    conflicts: &mut Vec<Conflict>,
) {
    for name in &section.withdraw {
        let before = items.len();
        items.retain(|item| item.name() != name);
        if items.len() == before {
            conflicts.push(Conflict::Missing { name: name.clone() });
        }
    }
    for changed in &section.change {
        match items.iter_mut().find(|item| item.name() == changed.name()) {
            Some(item) => *item = changed.clone(),
            None => conflicts.push(Conflict::Missing {
                name: changed.name().clone(),
            }),
        }
    }
    for added in &section.add {
        if items.iter().any(|item| item.name() == added.name()) {
            conflicts.push(Conflict::Exists {
                name: added.name().clone(),
            });
            continue;
        }
        items.push(added.clone());
    }
}
