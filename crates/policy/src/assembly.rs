//! Forms replica groups out of the model engines of one availability zone.
//!
//! The planner looks at the servers' registrations only, so any leader can go on where another one
//! stopped. It opens a group once every member reports itself ready under the group's name and
//! epoch, and it never asks a server to join while the first member of its former group may still
//! serve. Every order states how many orders the server has accepted, so that one that is carried
//! out late, or was sent by a former leader, does nothing.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use compact_str::CompactString;
use jackdaw_core::backend::{Command, Membership, Order, Reply, Report, Server, State};
use jackdaw_core::config::{Engine, Model};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use crate::fleet::{Fleet, Group, group_name, model_of};

mod demand;
mod loads;

pub use demand::targets;
use loads::Loads;

/// Times and limits of a planner.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Availability zone.
    pub zone: CompactString,
    /// Number of availability zones that share the weight store.
    pub zones: usize,
    /// Time without a new server after which the first groups are formed.
    pub settle: Millis,
    /// Time until an order that brought no change is given again.
    pub order_time: Millis,
    /// Time for which servers that fit no warm group wait for others before weights are loaded.
    pub patience: Millis,
    /// Factor on the stated time to load weights after which a group that is not ready is given up.
    pub load_slack: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            zone: CompactString::default(),
            zones: 1,
            // Servers register within a few hundred milliseconds of their start.
            settle: Millis(500),
            // An engine reports a change at once; the store and the watch add a few hundred
            // milliseconds.
            order_time: Millis(2_000),
            // A server that crashed is back after some seconds.
            patience: Millis(4_000),
            // Loads beyond the weight store's limit take proportionally longer.
            load_slack: 4,
        }
    }
}

/// An order whose effect is not yet reported.
#[derive(Clone, Debug)]
struct Pending {
    born: u64,
    membership: Option<Membership>,
    staged: Vec<CompactString>,
    until: Instant,
}

/// What is remembered of a server beyond its registration.
#[derive(Clone, Debug, Default)]
struct Memory {
    born: u64,
    /// Model of the last group since the start.
    model: Option<CompactString>,
    /// Last group.
    group: Option<CompactString>,
    /// Time since which the server is in no group.
    free_since: Option<Instant>,
    /// Number of orders that the server has accepted, if it is known.
    orders: Option<u64>,
    /// Whether an order was given before.
    asked: bool,
}

/// A group on its way to serving.
#[derive(Clone, Debug)]
struct Forming {
    since: Instant,
    loads: usize,
    /// The order that makes a server a member; none for a group of a former leader.
    join: Option<Command>,
    members: Vec<CompactString>,
    given_up: bool,
}

/// What the planner decided on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decided {
    /// Give an order.
    Order {
        /// Order.
        order: Order,
        /// Why it is given.
        cause: &'static str,
    },
    /// Ask a server how many orders it has accepted.
    Ask {
        /// Server.
        server: CompactString,
        /// Address of the server.
        address: SocketAddr,
    },
}

/// Plans the groups of one availability zone.
#[derive(Clone, Debug)]
pub struct Planner {
    options: Options,
    fence: u64,
    next_group: u64,
    min_epoch: u64,
    pending: HashMap<CompactString, Pending>,
    memory: HashMap<CompactString, Memory>,
    forming: HashMap<CompactString, Forming>,
    loads: Loads,
    known: usize,
    settled_at: Option<Instant>,
    formed_any: bool,
}

/// What a planner sees.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// All servers.
    pub fleet: &'a Fleet,
    /// Service whose servers form groups.
    pub service: &'a str,
    /// Figures of the engines.
    pub engine: &'a Engine,
    /// Whether requests have been seen; until then loads are quick and not limited.
    pub in_service: bool,
}

impl Planner {
    /// Creates the planner of a leader with a fencing number.
    #[must_use]
    pub fn new(options: Options, fence: u64) -> Self {
        Planner {
            options,
            fence,
            next_group: 0,
            min_epoch: 0,
            pending: HashMap::new(),
            memory: HashMap::new(),
            forming: HashMap::new(),
            loads: Loads::default(),
            known: 0,
            settled_at: None,
            formed_any: false,
        }
    }

    /// Returns the orders to give now.
    pub fn plan(&mut self, view: &View<'_>, now: Instant) -> Vec<Decided> {
        let mut decided = Vec::new();
        self.observe(view, now);
        let groups: Vec<Group> = view
            .fleet
            .groups(view.service, view.engine)
            .into_iter()
            .filter(|group| self.is_local(view, group))
            .collect();
        for group in &groups {
            self.tend(view, group, now, &mut decided);
        }
        self.enlist(view, now, &mut decided);
        let order_time = self.options.order_time;
        self.forming.retain(|name, forming| {
            // Members report a group a while after they were told to join it.
            now.since(forming.since) < order_time || groups.iter().any(|one| one.name == *name)
        });
        if self.is_settled(view, now) {
            self.form(view, &groups, now, &mut decided);
        }
        decided
    }

    /// Takes in the answer to an order.
    pub fn answered(&mut self, order: &Order, reply: &Result<Reply>, now: Instant) {
        let Some(pending) = self.pending.get_mut(&order.server) else {
            return;
        };
        let Some(memory) = self.memory.get_mut(&order.server) else {
            return;
        };
        // A refused order waits for a newer registration before another one is given.
        let pause = match reply {
            Ok(Reply::Begun) => {
                memory.orders = Some(order.after + 1);
                self.options.order_time
            }
            Ok(Reply::Done) => REFRESH,
            Ok(Reply::Conflict | Reply::OtherServer) => {
                memory.orders = None;
                REFRESH
            }
            Ok(Reply::Outdated) => {
                if let Command::Join { epoch, .. } = &order.command {
                    self.min_epoch = self.min_epoch.max(epoch + EPOCH_STEP);
                }
                REFRESH
            }
            Err(Error::Unreachable { .. } | Error::Refused { .. }) => REFRESH,
            Err(Error::Indeterminate { .. } | Error::Malformed { .. }) => {
                memory.orders = None;
                self.options.order_time
            }
        };
        pending.until = now + pause;
    }

    /// Takes in a server's report.
    pub fn reported(&mut self, server: &str, report: &Result<Report>, now: Instant) {
        match report {
            Ok(report) => {
                self.pending.remove(server);
                if let Some(memory) = self.memory.get_mut(server) {
                    memory.orders = Some(report.orders);
                }
            }
            Err(_) => {
                if let Some(pending) = self.pending.get_mut(server) {
                    pending.until = now + REFRESH;
                }
            }
        }
    }

    /// Tells the members of forming groups to join that have not done so.
    fn enlist(&mut self, view: &View<'_>, now: Instant, out: &mut Vec<Decided>) {
        let mut forming = std::mem::take(&mut self.forming);
        for (name, group) in &mut forming {
            let Some(join) = group.join.as_ref().filter(|_| !group.given_up) else {
                continue;
            };
            let mut outside = Vec::new();
            let mut is_possible = true;
            for id in &group.members {
                match view.fleet.server(id) {
                    None => is_possible = false,
                    Some(server) => match &server.membership {
                        None if server.draining => is_possible = false,
                        None => outside.push(server),
                        Some(one) if one.group == *name => {}
                        Some(_) => is_possible = false,
                    },
                }
            }
            if !is_possible {
                group.given_up = true;
                continue;
            }
            for server in outside {
                self.give(server, join.clone(), now, "the model lacks groups", out);
            }
        }
        self.forming = forming;
    }

    fn is_local(&self, view: &View<'_>, group: &Group) -> bool {
        self.servers(view).any(|server| {
            server
                .membership
                .as_ref()
                .is_some_and(|one| one.group == group.name && one.epoch == group.epoch)
        })
    }

    /// Returns the servers of the zone.
    fn servers<'a>(&self, view: &View<'a>) -> impl Iterator<Item = &'a Server> + use<'a> {
        let zone = self.options.zone.clone();
        let service = view.service;
        view.fleet
            .servers()
            .filter(move |server| server.zone == zone && server.service == service)
    }

    fn observe(&mut self, view: &View<'_>, now: Instant) {
        let mut count = 0;
        for server in self.servers(view) {
            count += 1;
            let memory = self.memory.entry(server.id.clone()).or_default();
            if memory.born != server.born {
                *memory = Memory {
                    born: server.born,
                    ..Memory::default()
                };
            }
            match &server.membership {
                Some(membership) => {
                    memory.model = model_of(&membership.group).map(CompactString::from);
                    memory.group = Some(membership.group.clone());
                    memory.free_since = None;
                    self.min_epoch = self.min_epoch.max(membership.epoch);
                }
                None if memory.free_since.is_none() => memory.free_since = Some(now),
                None => {}
            }
        }
        if count > self.known {
            self.settled_at = Some(now + self.options.settle);
        }
        self.known = count;
        let fleet = view.fleet;
        self.pending.retain(|id, pending| {
            fleet.server(id).is_some_and(|server| {
                server.born == pending.born
                    && server.membership == pending.membership
                    && server.staged == pending.staged
                    && now < pending.until
            })
        });
        self.memory.retain(|id, _| fleet.server(id).is_some());
    }

    fn is_settled(&self, view: &View<'_>, now: Instant) -> bool {
        view.in_service || self.formed_any || self.settled_at.is_some_and(|settled| settled <= now)
    }

    /// Opens, finishes or dissolves a group.
    fn tend(&mut self, view: &View<'_>, group: &Group, now: Instant, out: &mut Vec<Decided>) {
        let members: Vec<&Server> = group
            .members
            .iter()
            .flatten()
            .filter_map(|id| view.fleet.server(id))
            .collect();
        if group.members.is_empty() {
            self.abandon(view, group, now, out);
            return;
        }
        let state = |server: &Server| server.membership.as_ref().map(|one| one.state);
        let head = group.head().and_then(|id| view.fleet.server(id));
        let head_state = head.and_then(state);
        let is_lost =
            !group.is_whole() || members.iter().any(|one| state(one) == Some(State::Broken));
        if is_lost {
            if self.is_still_joining(view, group, now) {
                return;
            }
            for server in members {
                let cause = "the group has lost a member";
                self.leave(server, group, now, cause, out);
            }
            return;
        }
        let Some(head) = head else {
            return;
        };
        if members.iter().any(|server| server.draining) {
            self.finish(head, &members, group, now, out);
            return;
        }
        let is_ready = members.iter().all(|one| state(one) == Some(State::Ready));
        if is_ready {
            let command = Command::Open {
                group: group.name.clone(),
                epoch: group.epoch,
            };
            self.give(head, command, now, "every member is ready", out);
            return;
        }
        if head_state == Some(State::Joining)
            || members.iter().any(|one| state(one) == Some(State::Joining))
        {
            if self.is_still_joining(view, group, now) {
                return;
            }
            for server in members {
                let cause = "the group did not become ready in time";
                self.leave(server, group, now, cause, out);
            }
        }
    }

    /// Dissolves a group of a model that is not configured.
    fn abandon(&mut self, view: &View<'_>, group: &Group, now: Instant, out: &mut Vec<Decided>) {
        let members: Vec<&Server> = self
            .servers(view)
            .filter(|server| {
                server
                    .membership
                    .as_ref()
                    .is_some_and(|one| one.group == group.name && one.epoch == group.epoch)
            })
            .collect();
        for server in members {
            self.leave(server, group, now, "the model is not configured", out);
        }
    }

    /// Finishes the work of a group with a member that leaves, then dissolves it.
    fn finish(
        &mut self,
        head: &Server,
        members: &[&Server],
        group: &Group,
        now: Instant,
        out: &mut Vec<Decided>,
    ) {
        match head.membership.as_ref().map(|one| one.state) {
            Some(State::Open) => {
                let command = Command::Close {
                    group: group.name.clone(),
                    epoch: group.epoch,
                };
                self.give(head, command, now, "a member is about to leave", out);
            }
            Some(State::Closing) => {}
            Some(State::Ready | State::Joining | State::Broken) | None => {
                for server in members {
                    self.leave(server, group, now, "a member is about to leave", out);
                }
            }
        }
    }

    /// Returns whether a group that is not whole or not ready may still become so.
    fn is_still_joining(&mut self, view: &View<'_>, group: &Group, now: Instant) -> bool {
        let head_has_opened = group
            .head()
            .and_then(|id| view.fleet.server(id))
            .and_then(|server| server.membership.as_ref())
            .is_some_and(|one| matches!(one.state, State::Open | State::Closing | State::Broken));
        if head_has_opened {
            return false;
        }
        let slack = self.options.load_slack;
        let order_time = self.options.order_time;
        let forming = self
            .forming
            .entry(group.name.clone())
            .or_insert_with(|| Forming {
                since: now,
                loads: 0,
                join: None,
                members: Vec::new(),
                given_up: false,
            });
        let load = view.engine.model(&group.model).map_or(Millis(0), |model| {
            if forming.loads > 0 {
                model.load
            } else {
                model.warm
            }
        });
        // A member that has not reported the group by then has not taken the order.
        let bound = if group.is_whole() {
            Millis(load.0 * slack + order_time.0)
        } else {
            Millis(order_time.0 * 2)
        };
        forming.given_up |= now.since(forming.since) >= bound;
        !forming.given_up
    }

    fn leave(
        &mut self,
        server: &Server,
        group: &Group,
        now: Instant,
        cause: &'static str,
        out: &mut Vec<Decided>,
    ) {
        let command = Command::Leave {
            group: group.name.clone(),
            epoch: group.epoch,
        };
        self.give(server, command, now, cause, out);
    }

    fn give(
        &mut self,
        server: &Server,
        command: Command,
        now: Instant,
        cause: &'static str,
        out: &mut Vec<Decided>,
    ) {
        if self.pending.contains_key(&server.id) {
            return;
        }
        self.pending.insert(
            server.id.clone(),
            Pending {
                born: server.born,
                membership: server.membership.clone(),
                staged: server.staged.clone(),
                until: now + self.options.order_time,
            },
        );
        let Some(after) = self.accepted(server) else {
            out.push(Decided::Ask {
                server: server.id.clone(),
                address: server.address,
            });
            return;
        };
        out.push(Decided::Order {
            order: Order {
                server: server.id.clone(),
                address: server.address,
                after,
                command,
            },
            cause,
        });
    }

    /// Returns how many orders a server has accepted, if that can be told. One that holds nothing
    /// has most likely accepted none; if it has, it refuses the order and is asked.
    fn accepted(&mut self, server: &Server) -> Option<u64> {
        let memory = self.memory.entry(server.id.clone()).or_default();
        let is_fresh = memory.group.is_none() && server.staged.is_empty() && !memory.asked;
        memory.asked = true;
        if memory.orders.is_none() && is_fresh {
            return Some(0);
        }
        memory.orders
    }

    /// Returns the servers that may join a group, by domain.
    fn free<'a>(
        &self,
        view: &View<'a>,
        groups: &[Group],
    ) -> BTreeMap<CompactString, Vec<&'a Server>> {
        // The first member of a former group may still serve.
        let enlisted: HashSet<&CompactString> = self
            .forming
            .values()
            .filter(|forming| !forming.given_up)
            .flat_map(|forming| &forming.members)
            .collect();
        let serving: HashSet<&str> = groups
            .iter()
            .filter(|group| group.head().is_some())
            .map(|group| group.name.as_str())
            .collect();
        let mut free: BTreeMap<CompactString, Vec<&Server>> = BTreeMap::new();
        for server in self.servers(view) {
            let former = self
                .memory
                .get(&server.id)
                .and_then(|one| one.group.as_deref());
            if server.draining
                || server.membership.is_some()
                || self.pending.contains_key(&server.id)
                || enlisted.contains(&server.id)
                || former.is_some_and(|group| serving.contains(group))
            {
                continue;
            }
            free.entry(server.domain.clone()).or_default().push(server);
        }
        free
    }

    /// Forms groups out of free servers.
    fn form(&mut self, view: &View<'_>, groups: &[Group], now: Instant, out: &mut Vec<Decided>) {
        let mut free = self.free(view, groups);
        let forming = self
            .forming
            .iter()
            .filter(|(_, forming)| !forming.given_up)
            .map(|(name, _)| name.as_str());
        let mut counts = demand::count(groups, forming, view.engine);
        let wanted = demand::targets(view, &self.options.zone);
        let mut joining = groups
            .iter()
            .flat_map(|group| group.members.iter().flatten())
            .filter_map(|id| view.fleet.server(id))
            .filter(|server| {
                server
                    .membership
                    .as_ref()
                    .is_some_and(|one| one.state == State::Joining)
            })
            .count();
        joining += self.pending.len();
        loop {
            let order = demand::by_deficit(view.engine, &counts, &wanted);
            let Some((domain, model)) = self.next_group(view, &free, &order, now) else {
                return;
            };
            let servers = free.entry(domain).or_default();
            let loads = self.select(servers, model);
            if !self.may_load(view, loads, joining, now) {
                return;
            }
            let members: Vec<&Server> = servers.drain(..model.size).collect();
            joining += members.len();
            *counts.entry(model.name.clone()).or_default() += 1;
            self.join(&members, model, loads, now, out);
        }
    }

    /// Returns the domain and the model of the next group: warm servers go first, and servers that
    /// would have to load weights wait for a while.
    fn next_group<'a>(
        &self,
        view: &View<'a>,
        free: &BTreeMap<CompactString, Vec<&Server>>,
        order: &[usize],
        now: Instant,
    ) -> Option<(CompactString, &'a Model)> {
        let models: Vec<&Model> = order
            .iter()
            .filter_map(|number| view.engine.models.get(*number))
            .collect();
        for model in &models {
            for (domain, servers) in free {
                let warm = servers
                    .iter()
                    .filter(|one| self.is_warm(one, model))
                    .count();
                if warm >= model.size {
                    return Some((domain.clone(), model));
                }
            }
        }
        for model in &models {
            // A domain with servers that are warm for the model has fewer weights to load.
            let best = free
                .iter()
                .filter(|(_, servers)| servers.len() >= model.size)
                .filter(|(_, servers)| {
                    let is_patient = servers.iter().any(|one| self.is_waiting(one, now));
                    !(view.in_service && is_patient)
                })
                .max_by_key(|(_, servers)| {
                    let warm = servers
                        .iter()
                        .filter(|one| self.is_warm(one, model))
                        .count();
                    (warm, servers.len())
                });
            if let Some((domain, _)) = best {
                return Some((domain.clone(), model));
            }
        }
        None
    }

    fn is_waiting(&self, server: &Server, now: Instant) -> bool {
        self.memory
            .get(&server.id)
            .and_then(|memory| memory.free_since)
            .is_none_or(|since| now.since(since) < self.options.patience)
    }

    fn is_warm(&self, server: &Server, model: &Model) -> bool {
        let last = self
            .memory
            .get(&server.id)
            .and_then(|one| one.model.as_ref());
        last == Some(&model.name) || server.staged.contains(&model.name)
    }

    /// Moves the servers that fit a model best to the front and returns how many have to load it.
    fn select(&self, servers: &mut [&Server], model: &Model) -> usize {
        servers.sort_by_key(|server| {
            let last = self
                .memory
                .get(&server.id)
                .and_then(|one| one.model.as_ref());
            let rank = if last == Some(&model.name) {
                0
            } else if server.staged.contains(&model.name) {
                1
            } else if server.staged.is_empty() {
                2
            } else {
                3
            };
            (rank, server.id.clone())
        });
        servers
            .iter()
            .take(model.size)
            .filter(|server| !self.is_warm(server, model))
            .count()
    }

    /// Returns whether weights may be loaded now, and counts them if so.
    fn may_load(&mut self, view: &View<'_>, loads: usize, joining: usize, now: Instant) -> bool {
        if loads == 0 {
            return true;
        }
        let zones = self.options.zones.max(1);
        if !view.in_service {
            // Until requests come, loads are not limited in rate, but they share the weight store;
            // a few at a time let the first groups serve early.
            let concurrent = (view.engine.concurrent_loads as usize).div_ceil(zones);
            return joining < concurrent * 2;
        }
        self.loads
            .take(loads, view.engine.loads_per_second / zones as f64, now)
    }

    fn join(
        &mut self,
        members: &[&Server],
        model: &Model,
        loads: usize,
        now: Instant,
        out: &mut Vec<Decided>,
    ) {
        self.next_group += 1;
        self.min_epoch += EPOCH_STEP;
        self.formed_any = true;
        let group = group_name(&model.name, self.fence, self.next_group);
        let ids: Vec<CompactString> = members.iter().map(|one| one.id.clone()).collect();
        let join = Command::Join {
            group: group.clone(),
            epoch: self.min_epoch,
            model: model.name.clone(),
            members: ids.clone(),
        };
        for server in members {
            self.give(server, join.clone(), now, "the model lacks groups", out);
        }
        let forming = Forming {
            since: now,
            loads,
            join: Some(join),
            members: ids,
            given_up: false,
        };
        self.forming.insert(group, forming);
    }
}

/// Time in which a newer registration arrives after a refused order.
const REFRESH: Millis = Millis(500);
/// Distance between the epochs of two groups.
const EPOCH_STEP: u64 = 1;
