//! Knows the registered backend servers and derives which replica groups serve.
//!
//! The servers' own registrations are the only record of the groups: a group serves while its first
//! member reports it open and every other rank has reported the same name and epoch. A member whose
//! registration lapses may be dead or only cut off from the store; the group's leader finds out.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use compact_str::{CompactString, format_compact};
use jackdaw_core::backend::{Membership, Server, State};
use jackdaw_core::config::Engine;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

/// Time in which a registration from before a server's own word may still arrive.
const OVERTAKEN: Millis = Millis(1_500);
/// Time by which a server's report may be older than an order that it has carried out.
const REPORT_LAG: Millis = Millis(800);
/// Time in which a leader dissolves a group after a member's registration lapsed, and nodes hear of
/// it.
const TRUST: Millis = Millis(1_500);
/// Separates the parts of a group's name.
const SEPARATOR: char = '.';

/// Returns the name of a group. A leader numbers its groups, so that no name is used twice.
#[must_use]
pub fn group_name(model: &str, fence: u64, number: u64) -> CompactString {
    format_compact!("{model}{SEPARATOR}{fence}{SEPARATOR}{number}")
}

/// Returns the model that a group's name states.
#[must_use]
pub fn model_of(group: &str) -> Option<&str> {
    let mut parts = group.rsplitn(3, SEPARATOR);
    let (Some(_), Some(_), model) = (parts.next(), parts.next(), parts.next()) else {
        return None;
    };
    model
}

/// A replica group as its members report it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Name.
    pub name: CompactString,
    /// Epoch.
    pub epoch: u64,
    /// Model.
    pub model: CompactString,
    /// Names of the members by rank; ranks that no server reports are empty.
    pub members: Vec<Option<CompactString>>,
    /// Names of the members whose registrations have lapsed.
    pub absent: Vec<CompactString>,
}

impl Group {
    /// Gets the first member.
    #[must_use]
    pub fn head(&self) -> Option<&CompactString> {
        self.members.first().and_then(Option::as_ref)
    }

    /// Returns whether every rank is reported, or was until the member's registration lapsed.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.members.iter().all(Option::is_some)
    }
}

/// Where requests can be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Server that takes the requests.
    pub server: CompactString,
    /// Address of that server.
    pub address: SocketAddr,
    /// Start of that server; tells incarnations apart.
    pub born: u64,
    /// Service.
    pub service: CompactString,
    /// Availability zone.
    pub zone: CompactString,
    /// Requests that are processed at once.
    pub slots: u32,
    /// Model, for a replica group.
    pub model: Option<CompactString>,
    /// Names of all members; the server alone for a plain service.
    pub members: Vec<CompactString>,
    /// Name of the replica group; empty for a plain service.
    pub group: CompactString,
    /// Whether a member is perhaps gone.
    pub suspect: bool,
}

/// All registered servers.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    servers: BTreeMap<CompactString, Server>,
    /// Servers whose registrations lapsed, perhaps only because the store was away.
    doubted: BTreeSet<CompactString>,
    /// Memberships that were learnt from the servers themselves, ahead of their registrations.
    sights: BTreeMap<CompactString, Sight>,
    /// Members of groups whose registrations lapsed.
    absent: BTreeMap<CompactString, Absent>,
}

/// A member that does not register any more: it is dead, or cut off from the store alone.
#[derive(Clone, Debug)]
struct Absent {
    server: Server,
    since: Instant,
    /// Whether its group has outlived the time in which a leader dissolves it.
    is_trusted: bool,
}

/// What a server's registration said when the server itself said something newer.
#[derive(Clone, Debug)]
struct Sight {
    before: Option<Membership>,
    at: Instant,
}

impl Fleet {
    /// Takes in a registration and returns whether it changed anything but counters.
    pub fn register(&mut self, mut server: Server, now: Instant) -> bool {
        if let (Some(sight), Some(known)) =
            (self.sights.get(&server.id), self.servers.get(&server.id))
        {
            let is_recent = now.since(sight.at) < OVERTAKEN;
            if is_recent
                && known.start_unix_ms == server.start_unix_ms
                && server.membership == sight.before
            {
                server.membership = known.membership.clone();
            }
        }
        let was_doubted = self.doubted.remove(&server.id);
        let was_absent = self.absent.remove(&server.id).is_some();
        let known = self.servers.get(&server.id);
        let changed = known.is_none_or(|known| *known != server);
        self.servers.insert(server.id.clone(), server);
        changed || was_doubted || was_absent
    }

    /// Takes in a server's report, which is somewhat old; returns whether it is news.
    pub fn apply_report(&mut self, id: &str, membership: Option<Membership>, now: Instant) -> bool {
        let is_overtaken = self
            .sights
            .get(id)
            .is_some_and(|sight| now.since(sight.at) < REPORT_LAG);
        match self.servers.get_mut(id) {
            Some(server) if !is_overtaken && server.membership != membership => {
                server.membership = membership;
                true
            }
            Some(_) | None => false,
        }
    }

    /// Takes in a membership that an answered order has brought about; returns whether that is
    /// news.
    pub fn apply_membership(
        &mut self,
        id: &str,
        membership: Option<Membership>,
        now: Instant,
    ) -> bool {
        let Some(server) = self.servers.get_mut(id) else {
            return false;
        };
        if server.membership == membership {
            return false;
        }
        let before = std::mem::replace(&mut server.membership, membership);
        self.sights.insert(id.into(), Sight { before, at: now });
        true
    }

    /// Marks a server as perhaps gone: requests go elsewhere if they can.
    pub fn mark_suspect(&mut self, id: &str) {
        if self.servers.contains_key(id) {
            self.doubted.insert(id.into());
        }
    }

    /// Takes out a server whose registration has lapsed and returns what was known of it. While the
    /// first member of its group still serves, it counts as a member, perhaps a dead one.
    pub fn expire(&mut self, id: &str, now: Instant) -> Option<Server> {
        if !self.servers.contains_key(id) {
            return None;
        }
        let server = self.remove(id)?;
        if server.membership.is_some() && !server.draining {
            let absent = Absent {
                server: server.clone(),
                since: now,
                is_trusted: false,
            };
            self.absent.insert(id.into(), absent);
        }
        Some(server)
    }

    /// Looks again at the members whose registrations lapsed and returns whether anything changed: a
    /// group that its leader has not dissolved is sound, and one that does not serve has no members
    /// beyond those that are registered.
    pub fn refresh_absent(&mut self, now: Instant) -> bool {
        let servers = &self.servers;
        let serves = |membership: &Membership| {
            servers.values().any(|server| {
                server.membership.as_ref().is_some_and(|one| {
                    one.group == membership.group
                        && one.epoch == membership.epoch
                        && one.rank == 0
                        && matches!(one.state, State::Open | State::Closing)
                })
            })
        };
        let count = self.absent.len();
        self.absent
            .retain(|_, absent| absent.server.membership.as_ref().is_some_and(serves));
        let mut changed = count != self.absent.len();
        for absent in self.absent.values_mut() {
            if !absent.is_trusted && now.since(absent.since) >= TRUST {
                absent.is_trusted = true;
                changed = true;
            }
        }
        changed
    }

    /// Gets a member whose registration has lapsed by name.
    #[must_use]
    pub fn absent(&self, id: &str) -> Option<&Server> {
        self.absent.get(id).map(|absent| &absent.server)
    }

    /// Takes out a server that is gone and returns what was known of it.
    pub fn remove(&mut self, id: &str) -> Option<Server> {
        self.absent.remove(id);
        self.doubted.remove(id);
        self.sights.remove(id);
        self.servers.remove(id)
    }

    /// Gets a server by name.
    #[must_use]
    pub fn server(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Gets all servers in the order of their names.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns the groups that the servers of a service report, in the order of their names.
    #[must_use]
    pub fn groups(&self, service: &str, engine: &Engine) -> Vec<Group> {
        let mut groups: BTreeMap<(&str, u64), Group> = BTreeMap::new();
        for server in self.servers.values().filter(|one| one.service == service) {
            let Some(membership) = &server.membership else {
                continue;
            };
            let model = model_of(&membership.group).and_then(|name| engine.model(name));
            let size = model.map_or(0, |model| model.size);
            let group = groups
                .entry((&membership.group, membership.epoch))
                .or_insert_with(|| Group {
                    name: membership.group.clone(),
                    epoch: membership.epoch,
                    model: model.map(|model| model.name.clone()).unwrap_or_default(),
                    members: vec![None; size],
                    absent: Vec::new(),
                });
            if let Some(member) = group.members.get_mut(membership.rank) {
                *member = Some(server.id.clone());
            }
        }
        for Absent { server, .. } in self.absent.values() {
            let Some(membership) = &server.membership else {
                continue;
            };
            let Some(group) = groups.get_mut(&(membership.group.as_str(), membership.epoch)) else {
                continue;
            };
            if let Some(member @ None) = group.members.get_mut(membership.rank) {
                *member = Some(server.id.clone());
                group.absent.push(server.id.clone());
            }
        }
        groups.into_values().collect()
    }

    /// Returns where requests for a service can be sent now.
    #[must_use]
    pub fn targets(&self, service: &str, engine: Option<&Engine>) -> Vec<Target> {
        match engine {
            None => self.plain_targets(service),
            Some(engine) => self
                .groups(service, engine)
                .iter()
                .filter_map(|group| self.group_target(group, engine))
                .collect(),
        }
    }

    fn is_suspect(&self, id: &str) -> bool {
        let is_unsure = self.absent.get(id).is_some_and(|absent| !absent.is_trusted);
        is_unsure || self.doubted.contains(id)
    }

    fn plain_targets(&self, service: &str) -> Vec<Target> {
        self.servers
            .values()
            .filter(|server| server.service == service && !server.draining)
            .map(|server| Target {
                server: server.id.clone(),
                address: server.address,
                born: server.start_unix_ms,
                service: server.service.clone(),
                zone: server.zone.clone(),
                slots: server.slots,
                model: None,
                members: vec![server.id.clone()],
                group: CompactString::default(),
                suspect: self.doubted.contains(&server.id),
            })
            .collect()
    }

    /// Returns the target of a group that serves: whole, open, and with no member about to leave.
    fn group_target(&self, group: &Group, engine: &Engine) -> Option<Target> {
        let members: Option<Vec<CompactString>> = group.members.iter().cloned().collect();
        let members = members?;
        let head = self.servers.get(members.first()?)?;
        let is_open = |server: &Server| {
            server
                .membership
                .as_ref()
                .is_some_and(|membership| membership.state == State::Open)
        };
        let is_staying = |id: &CompactString| {
            let server = self.servers.get(id).or_else(|| self.absent(id));
            server.is_some_and(|server| {
                let state = server
                    .membership
                    .as_ref()
                    .map(|membership| membership.state);
                !server.draining && !matches!(state, None | Some(State::Broken | State::Joining))
            })
        };
        if !is_open(head) || !members.iter().all(is_staying) {
            return None;
        }
        Some(Target {
            server: head.id.clone(),
            address: head.address,
            born: head.start_unix_ms,
            service: head.service.clone(),
            zone: head.zone.clone(),
            slots: engine.slots,
            model: Some(group.model.clone()),
            suspect: members.iter().any(|id| self.is_suspect(id)),
            members,
            group: group.name.clone(),
        })
    }
}
