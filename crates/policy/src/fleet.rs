//! Tracks the registered backend servers and derives which replica groups serve.
//!
//! The servers' own registrations are the only record of the groups: a group serves while its first
//! member reports it open and every other rank has reported the same name and epoch. A member whose
//! registration expires may be dead or only cut off from the store; the leader of the zone finds
//! out.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use compact_str::{CompactString, format_compact};
use jackdaw_core::backend::{Membership, Server, State};
use jackdaw_core::config::Engine;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

/// Time for which a registration may still arrive that is older than a server's own answer.
const REGISTRATION_LAG: Millis = Millis(1_500);
/// Time by which a server's report may be older than an order that it has carried out.
const REPORT_LAG: Millis = Millis(800);
/// Time in which a leader dissolves a group after the registration of a dead member expired, and in
/// which the nodes learn of it.
const DISSOLUTION_TIME: Millis = Millis(1_500);
/// Separates the parts of a group's name.
const SEPARATOR: char = '.';

/// Returns the name of a group out of its model, its leader's fencing number and the number that the
/// leader gave it, so that no name is used twice.
#[must_use]
pub fn group_name(model: &str, fence: u64, number: u64) -> CompactString {
    format_compact!("{model}{SEPARATOR}{fence}{SEPARATOR}{number}")
}

/// Returns the model in a group's name, if the name has the form of [`group_name`].
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
    /// Names of the members by rank; `None` for ranks that no server reports.
    pub members: Vec<Option<CompactString>>,
    /// Names of the members whose registrations have expired.
    pub absent: Vec<CompactString>,
}

impl Group {
    /// Gets the name of the first member, which takes the group's requests.
    #[must_use]
    pub fn head(&self) -> Option<&CompactString> {
        self.members.first().and_then(Option::as_ref)
    }

    /// Gets the place of a rank, if the group has that rank.
    fn member_mut(&mut self, rank: u32) -> Option<&mut Option<CompactString>> {
        self.members.get_mut(usize::try_from(rank).ok()?)
    }

    /// Returns whether every rank is reported, or was until the member's registration expired.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.members.iter().all(Option::is_some)
    }
}

/// Destination of requests: a replica group or a server of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Server that takes the requests.
    pub server: CompactString,
    /// Address of that server.
    pub address: SocketAddr,
    /// Start of that server, which distinguishes its incarnations.
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
    /// Whether a member may be gone.
    pub suspect: bool,
}

/// All registered servers.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    servers: BTreeMap<CompactString, Server>,
    /// Servers whose registrations expired, perhaps only because the store was unavailable.
    suspects: BTreeSet<CompactString>,
    /// Memberships that the servers themselves reported ahead of their registrations.
    overrides: BTreeMap<CompactString, Override>,
    /// Members of groups whose registrations expired.
    absent: BTreeMap<CompactString, Absent>,
    /// Registered servers that do not answer, which the store does not tell while it is unavailable.
    unreachable: BTreeMap<CompactString, Unreachable>,
}

/// A registered server that does not answer.
#[derive(Clone, Debug)]
struct Unreachable {
    server: Server,
    /// Time at which this was found, or told by another node, last.
    at: Instant,
}

/// A group member without a registration: it is dead, or cut off from the store only.
#[derive(Clone, Debug)]
struct Absent {
    server: Server,
    since: Instant,
    /// Whether its group still exists after the time in which a leader would have dissolved it.
    is_confirmed: bool,
}

/// A membership that is newer than the server's registration.
#[derive(Clone, Debug)]
struct Override {
    /// Membership in the outdated registration.
    registered: Option<Membership>,
    at: Instant,
}

impl Fleet {
    /// Adds or replaces a registration and returns whether it changed anything but counters.
    pub fn register(&mut self, mut server: Server, now: Instant) -> bool {
        if let (Some(newer), Some(known)) =
            (self.overrides.get(&server.id), self.servers.get(&server.id))
        {
            let is_recent = now.since(newer.at) < REGISTRATION_LAG;
            if is_recent
                && known.start_unix_ms == server.start_unix_ms
                && server.membership == newer.registered
            {
                server.membership = known.membership.clone();
            }
        }
        let was_suspect = self.suspects.remove(&server.id);
        let was_absent = self.absent.remove(&server.id).is_some();
        self.unreachable.remove(&server.id);
        let known = self.servers.get(&server.id);
        let changed = known.is_none_or(|known| *known != server);
        self.servers.insert(server.id.clone(), server);
        changed || was_suspect || was_absent
    }

    /// Applies the membership of a server's report, which is somewhat old, and returns whether it
    /// changed anything.
    pub fn apply_report(&mut self, id: &str, membership: Option<Membership>, now: Instant) -> bool {
        let is_outdated = self
            .overrides
            .get(id)
            .is_some_and(|newer| now.since(newer.at) < REPORT_LAG);
        match self.servers.get_mut(id) {
            Some(server) if !is_outdated && server.membership != membership => {
                server.membership = membership;
                true
            }
            Some(_) | None => false,
        }
    }

    /// Applies the membership that results from an answered order and returns whether it changed
    /// anything.
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
        let registered = std::mem::replace(&mut server.membership, membership);
        self.overrides.insert(
            id.into(),
            Override {
                registered,
                at: now,
            },
        );
        true
    }

    /// Marks a server as possibly gone, so that other servers are preferred.
    pub fn mark_suspect(&mut self, id: &str) {
        if self.servers.contains_key(id) {
            self.suspects.insert(id.into());
        }
    }

    /// Removes a server whose registration has expired and returns its last state.
    ///
    /// It counts as an absent member of its group while the group's first member still serves.
    pub fn expire(&mut self, id: &str, now: Instant) -> Option<Server> {
        if !self.servers.contains_key(id) {
            let unreachable = self.unreachable.remove(id);
            return unreachable.map(|unreachable| unreachable.server);
        }
        let server = self.remove(id)?;
        if server.membership.is_some() && !server.draining {
            let absent = Absent {
                server: server.clone(),
                since: now,
                is_confirmed: false,
            };
            self.absent.insert(id.into(), absent);
        }
        Some(server)
    }

    /// Updates the members whose registrations have expired and returns whether anything changed.
    ///
    /// A member is confirmed if the leader has not dissolved its group in time, and forgotten if its
    /// group does not serve.
    pub fn refresh_absent(&mut self, now: Instant) -> bool {
        let servers = &self.servers;
        let is_serving = |membership: &Membership| {
            servers.values().any(|server| {
                server.membership.as_ref().is_some_and(|other| {
                    other.group == membership.group
                        && other.epoch == membership.epoch
                        && other.rank == 0
                        && matches!(other.state, State::Open | State::Closing)
                })
            })
        };
        let count = self.absent.len();
        self.absent
            .retain(|_, absent| absent.server.membership.as_ref().is_some_and(is_serving));
        let mut changed = count != self.absent.len();
        for absent in self.absent.values_mut() {
            if !absent.is_confirmed && now.since(absent.since) >= DISSOLUTION_TIME {
                absent.is_confirmed = true;
                changed = true;
            }
        }
        changed
    }

    /// Gets a member whose registration has expired by name.
    #[must_use]
    pub fn absent(&self, id: &str) -> Option<&Server> {
        self.absent.get(id).map(|absent| &absent.server)
    }

    /// Removes a server that is gone and returns its last state.
    pub fn remove(&mut self, id: &str) -> Option<Server> {
        self.absent.remove(id);
        self.suspects.remove(id);
        self.overrides.remove(id);
        let unreachable = self.unreachable.remove(id);
        let server = self.servers.remove(id);
        server.or(unreachable.map(|unreachable| unreachable.server))
    }

    /// Sets a registered server aside that does not answer, and returns whether it served until now.
    ///
    /// Its registration is kept: it does not change when the server is reached again, so nothing else
    /// would bring the server back.
    pub fn set_unreachable(&mut self, id: &str, now: Instant) -> bool {
        if let Some(unreachable) = self.unreachable.get_mut(id) {
            unreachable.at = now;
            return false;
        }
        let Some(server) = self.remove(id) else {
            return false;
        };
        let unreachable = Unreachable { server, at: now };
        self.unreachable.insert(id.into(), unreachable);
        true
    }

    /// Takes back a server that was set aside, with its last membership, and returns whether there is one.
    pub fn take_back(&mut self, id: &str) -> bool {
        let Some(Unreachable { server, .. }) = self.unreachable.remove(id) else {
            return false;
        };
        self.servers.insert(id.into(), server);
        true
    }

    /// Gets a server that was set aside.
    #[must_use]
    pub fn unreachable(&self, id: &str) -> Option<&Server> {
        let unreachable = self.unreachable.get(id)?;
        Some(&unreachable.server)
    }

    /// Gets the servers that were set aside, with the times at which they were last found unreachable.
    pub fn unreachable_servers(&self) -> impl Iterator<Item = (&Server, Instant)> {
        let unreachable = self.unreachable.values();
        unreachable.map(|unreachable| (&unreachable.server, unreachable.at))
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

    /// Returns whether a later life of a target's server is registered, which cannot have got a request that
    /// was sent to the target.
    #[must_use]
    pub fn has_successor(&self, target: &Target) -> bool {
        let is_later = |server: &Server| server.start_unix_ms > target.born;
        // A request names its server, and one with another name rejects it.
        let is_replaced = self.servers().any(|server| {
            server.address == target.address && server.id != target.server && is_later(server)
        });
        // A server that has started again is in no replica group and rejects requests for the old one. Another
        // one may have got the request although it was registered later.
        let has_restarted =
            || target.model.is_some() && self.server(&target.server).is_some_and(is_later);
        is_replaced || has_restarted()
    }

    /// Returns whether a target's server is registered and not about to leave.
    #[must_use]
    pub fn is_staying(&self, target: &Target) -> bool {
        let server = self.server(&target.server);
        let is_staying =
            server.is_some_and(|server| server.start_unix_ms == target.born && !server.draining);
        is_staying && !self.suspects.contains(&target.server)
    }

    /// Returns the groups that the servers of a service report, in the order of their names.
    #[must_use]
    pub fn groups(&self, service: &str, engine: &Engine) -> Vec<Group> {
        let mut groups: BTreeMap<(&str, u64), Group> = BTreeMap::new();
        for server in self
            .servers
            .values()
            .filter(|server| server.service == service)
        {
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
            if let Some(member) = group.member_mut(membership.rank) {
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
            if let Some(member @ None) = group.member_mut(membership.rank) {
                *member = Some(server.id.clone());
                group.absent.push(server.id.clone());
            }
        }
        groups.into_values().collect()
    }

    /// Returns the current targets of a service; `engine` is given for services with replica groups.
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
        let is_unconfirmed = self
            .absent
            .get(id)
            .is_some_and(|absent| !absent.is_confirmed);
        is_unconfirmed || self.suspects.contains(id)
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
                suspect: self.suspects.contains(&server.id),
            })
            .collect()
    }

    /// Returns the target of a group if it is complete and open and no member is draining.
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
        let is_available = |id: &CompactString| {
            let server = self.servers.get(id).or_else(|| self.absent(id));
            server.is_some_and(|server| {
                let state = server
                    .membership
                    .as_ref()
                    .map(|membership| membership.state);
                !server.draining && !matches!(state, None | Some(State::Broken | State::Joining))
            })
        };
        if !is_open(head) || !members.iter().all(is_available) {
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
