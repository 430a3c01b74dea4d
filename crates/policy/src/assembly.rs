//! Forms replica groups out of the model engines of one availability zone.
//!
//! The planner looks at the servers' registrations only, so any leader can go on where another one
//! stopped. It opens a group once every member reports itself ready under the group's name and
//! epoch, and it never asks a server to join while the first member of its former group may still
//! serve. Every order states how many orders the server has accepted, so that one that is carried
//! out late, or was sent by a former leader, does nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use compact_str::CompactString;
use jackdaw_core::backend::{Command, Membership, Order, Reply, Report, Server};
use jackdaw_core::config::Engine;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use crate::fleet::{Fleet, Group, model_of};

mod form;
mod layout;
mod loads;
mod tend;

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
            patience: Millis(2_000),
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
    /// Group of which the server spoke when it told that number, if it was asked.
    told_in: Option<Option<CompactString>>,
    /// Whether an order was given before.
    asked: bool,
    /// Time of the first registration that this leader saw.
    seen: Instant,
    /// Time until which others go before the server, which did not become ready, and that span.
    distrusted_until: Option<Instant>,
    distrust: Millis,
    /// Model that is being loaded into the VM's memory, and when that should be done.
    staging: Option<(CompactString, Instant)>,
}

/// What a member says whose registration has lapsed.
#[derive(Clone, Debug)]
struct Vouch {
    group: CompactString,
    asked: Instant,
    /// Whether it has said that it is a member, if it has answered yet.
    is_member: Option<bool>,
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
pub enum Task {
    /// Give an order.
    Order {
        /// Order.
        order: Order,
        /// Why it is given.
        cause: &'static str,
    },
    /// Ask a server how many orders it has accepted.
    Query {
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
    pending: BTreeMap<CompactString, Pending>,
    memory: BTreeMap<CompactString, Memory>,
    forming: BTreeMap<CompactString, Forming>,
    /// Members whose registrations have lapsed.
    vouches: BTreeMap<CompactString, Vouch>,
    loads: Loads,
    known: usize,
    settled_at: Option<Instant>,
    /// Groups whose members have been told to leave.
    dissolving: BTreeSet<CompactString>,
    /// Groups that give their servers to another model.
    retiring: BTreeSet<CompactString>,
    last_retired: Option<Instant>,
    /// Time since which one model's servers carry notably more than others'.
    needy_since: Option<Instant>,
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
    pub has_traffic: bool,
}

impl<'a> View<'a> {
    /// Returns the servers that report a group, by rank.
    fn members(&self, group: &Group) -> Vec<&'a Server> {
        group
            .members
            .iter()
            .flatten()
            .filter_map(|id| self.fleet.server(id))
            .collect()
    }
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
            pending: BTreeMap::new(),
            memory: BTreeMap::new(),
            forming: BTreeMap::new(),
            vouches: BTreeMap::new(),
            loads: Loads::default(),
            known: 0,
            settled_at: None,
            dissolving: BTreeSet::new(),
            retiring: BTreeSet::new(),
            last_retired: None,
            needy_since: None,
        }
    }

    /// Goes on under a new leadership of the same node.
    pub fn set_fence(&mut self, fence: u64) {
        self.fence = fence;
    }

    /// Returns the orders to give now.
    pub fn plan(&mut self, view: &View<'_>, now: Instant) -> Vec<Task> {
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
        self.dissolving
            .retain(|name| groups.iter().any(|group| group.name == *name));
        self.retiring
            .retain(|name| groups.iter().any(|group| group.name == *name));
        for group in groups.iter().filter(|group| group.is_whole()) {
            if let Some(forming) = self.forming.get_mut(&group.name) {
                // Members that leave from now on do so on purpose.
                forming.join = None;
            }
        }
        self.enlist(view, now, &mut decided);
        let order_time = self.options.order_time;
        self.forming.retain(|name, forming| {
            // Members report a group a while after they were told to join it.
            now.since(forming.since) < order_time || groups.iter().any(|one| one.name == *name)
        });
        if self.is_settled(view, now) {
            self.form(view, &groups, now, &mut decided);
            self.stage(view, &groups, now, &mut decided);
        }
        decided
    }

    /// Takes in the answer to an order.
    pub fn record_reply(&mut self, order: &Order, reply: &Result<Reply>, now: Instant) {
        let Some(pending) = self.pending.get_mut(&order.server) else {
            return;
        };
        let Some(memory) = self.memory.get_mut(&order.server) else {
            return;
        };
        // A refused order waits for a newer registration before another one is given.
        let pause = match reply {
            Ok(Reply::Begun) => {
                memory.orders = Some(order.accepted_orders + 1);
                memory.told_in = None;
                self.options.order_time
            }
            Ok(Reply::Done) => {
                // What is done at once counts as begun; if the state held already, the next order
                // is refused and the server asked.
                memory.orders = Some(order.accepted_orders + 1);
                memory.told_in = None;
                REFRESH
            }
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
    pub fn record_report(&mut self, server: &str, report: &Result<Report>, now: Instant) {
        if let Some(vouch) = self.vouches.get_mut(server) {
            let membership = report.as_ref().ok().and_then(|one| one.membership.as_ref());
            vouch.is_member = Some(membership.is_some_and(|one| one.group == vouch.group));
        }
        match report {
            Ok(report) => {
                self.pending.remove(server);
                if let Some(memory) = self.memory.get_mut(server) {
                    memory.orders = Some(report.accepted_orders);
                    let membership = report.membership.as_ref();
                    memory.told_in = Some(membership.map(|one| one.group.clone()));
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
    fn enlist(&mut self, view: &View<'_>, now: Instant, out: &mut Vec<Task>) {
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
        let count = view.fleet.servers().count();
        for server in self.servers(view) {
            let memory = self.memory.entry(server.id.clone()).or_default();
            if memory.born != server.start_unix_ms {
                *memory = Memory {
                    born: server.start_unix_ms,
                    seen: now,
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
                server.start_unix_ms == pending.born
                    && server.membership == pending.membership
                    && server.staged == pending.staged
                    && now < pending.until
            })
        });
        self.memory.retain(|id, _| fleet.server(id).is_some());
        self.vouches.retain(|id, _| fleet.absent(id).is_some());
    }

    fn is_settled(&self, view: &View<'_>, now: Instant) -> bool {
        view.has_traffic || self.settled_at.is_some_and(|settled| settled <= now)
    }

    fn give(
        &mut self,
        server: &Server,
        command: Command,
        now: Instant,
        cause: &'static str,
        out: &mut Vec<Task>,
    ) {
        if self.pending.contains_key(&server.id) {
            return;
        }
        self.pending.insert(
            server.id.clone(),
            Pending {
                born: server.start_unix_ms,
                membership: server.membership.clone(),
                staged: server.staged.clone(),
                until: now + self.options.order_time,
            },
        );
        let Some(after) = self.accepted(server) else {
            out.push(Task::Query {
                server: server.id.clone(),
                address: server.address,
            });
            return;
        };
        out.push(Task::Order {
            order: Order {
                server: server.id.clone(),
                address: server.address,
                accepted_orders: after,
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
        // The number may count an order whose effect the registration does not show yet; an order
        // that was decided without it must not be carried out.
        let group = server.membership.as_ref().map(|one| &one.group);
        let is_behind = memory
            .told_in
            .as_ref()
            .is_some_and(|told| told.as_ref() != group);
        memory.orders.filter(|_| !is_behind)
    }
}

/// Time in which a newer registration arrives after a refused order.
const REFRESH: Millis = Millis(500);
/// Distance between the epochs of two groups.
const EPOCH_STEP: u64 = 1;
