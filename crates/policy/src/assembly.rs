//! Forms replica groups out of the model engines of one availability zone.
//!
//! The planner relies on the servers' registrations and their own answers only, so any leader can continue
//! the work of another. It opens a group once every member reports itself ready under the group's name and
//! epoch, and it never orders a server to join while the first member of its former group may still
//! serve. Every order states how many orders the server has accepted, so an order that arrives late
//! or was sent by a former leader has no effect. Registrations may be older than the server's answers, so an
//! order is given only if both show the same group.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use compact_str::CompactString;
use jackdaw_core::backend::{Command, Membership, Order, Reply, Report, Server, State};
use jackdaw_core::config::Engine;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use crate::fleet::{Fleet, Group, model_of};

mod form;
mod layout;
mod loads;
mod maintain;
mod stalled;

use loads::Limiter;
use stalled::Queries;

/// Settings of a planner.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Availability zone.
    pub zone: CompactString,
    /// Number of availability zones that share the weight store.
    pub zones: usize,
    /// Time without new servers after which the first groups are formed.
    pub settle_time: Millis,
    /// Time after which an order without effect is repeated.
    pub order_timeout: Millis,
    /// Time for which a free server waits for others with the same weights before it loads more.
    pub warm_wait: Millis,
    /// Multiple of the configured load time after which a group that is not ready is abandoned.
    pub load_time_factor: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            zone: CompactString::default(),
            zones: 1,
            // Servers register within a few hundred milliseconds of their start.
            settle_time: Millis(500),
            // An engine reports a change at once; the store and its watch add a few hundred
            // milliseconds.
            order_timeout: Millis(2_000),
            // A server that crashed registers again after some seconds.
            warm_wait: Millis(2_000),
            // Loads beyond the rate of the weight store take proportionally longer.
            load_time_factor: 4,
        }
    }
}

/// Registered state of a server before an order whose effect is not registered yet.
#[derive(Clone, Debug)]
struct Pending {
    start_unix_ms: u64,
    membership: Option<Membership>,
    staged: Vec<CompactString>,
    until: Instant,
}

/// What a server's number of accepted orders relies on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// Nothing: a server without a group and weights has most likely accepted none.
    Assumption,
    /// The reply to an order of this leader.
    Reply,
    /// A report of the server.
    Report,
}

impl Basis {
    /// Gets the name in logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Basis::Assumption => "assumption",
            Basis::Reply => "reply",
            Basis::Report => "report",
        }
    }
}

/// What a planner knew of a server when it decided on an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Knowledge {
    /// What the number of accepted orders relies on.
    pub basis: Basis,
    /// Age of that number.
    pub age: Millis,
    /// Group in the fleet.
    pub group: Option<CompactString>,
}

/// State in which a server was after a number of accepted orders.
///
/// Both come from the server's own answers. Registrations may be older than them, so an order is
/// decided only from a registration that shows the same group.
#[derive(Clone, Debug)]
struct Known {
    accepted_orders: u64,
    group: Option<Assignment>,
    basis: Basis,
    at: Instant,
}

impl Known {
    /// Returns the state after the reply that an order was carried out, if the reply tells it.
    fn after(self, command: &Command, reply: Reply, now: Instant) -> Option<Known> {
        let group = match (command, reply) {
            (Command::Join { group, epoch, .. }, Reply::Begun) => Some(Assignment {
                group: group.clone(),
                epoch: *epoch,
            }),
            (Command::Leave { .. }, Reply::Begun | Reply::Done) => None,
            (
                Command::Open { .. } | Command::Close { .. } | Command::Stage { .. },
                Reply::Begun,
            ) => self.group,
            // A server that was in that state already may not have counted the order.
            (_, Reply::Done | Reply::Conflict | Reply::Outdated | Reply::OtherServer) => {
                return None;
            }
        };
        Some(Known {
            accepted_orders: self.accepted_orders.checked_add(1)?,
            group,
            basis: Basis::Reply,
            at: now,
        })
    }
}

/// Group and epoch of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Assignment {
    group: CompactString,
    epoch: u64,
}

impl Assignment {
    fn of(membership: &Membership) -> Self {
        Assignment {
            group: membership.group.clone(),
            epoch: membership.epoch,
        }
    }

    fn of_server(server: &Server) -> Option<Self> {
        server.membership.as_ref().map(Assignment::of)
    }
}

/// State of a server that its registration does not hold.
#[derive(Clone, Debug, Default)]
struct Record {
    start_unix_ms: u64,
    /// Model of the last group since the server started.
    model: Option<CompactString>,
    /// Last group.
    group: Option<CompactString>,
    /// Time since which the server is in no group.
    free_since: Option<Instant>,
    /// Latest state that is known from the server itself.
    state: Option<Known>,
    /// Whether another incarnation has answered since the server itself did.
    is_replaced: bool,
    /// Whether an order was issued before.
    was_ordered: bool,
    /// Time at which this leader saw the first registration.
    first_seen: Instant,
    /// Time until which other servers are preferred, because this one did not become ready in time.
    avoided_until: Option<Instant>,
    /// Length of that span.
    avoidance: Millis,
    /// Model that is being loaded into the VM's memory, and the time by which that should end.
    staging: Option<(CompactString, Instant)>,
}

/// Query to a member whose registration has expired.
#[derive(Clone, Debug)]
struct MembershipCheck {
    group: CompactString,
    sent_at: Instant,
    /// Whether it answered that it is a member; `None` before its answer.
    is_member: Option<bool>,
}

/// A group that is being formed.
#[derive(Clone, Debug)]
struct Formation {
    since: Instant,
    loads: usize,
    /// Command that makes a server a member; `None` for a group of a former leader and for one that was
    /// complete.
    join: Option<Command>,
    members: Vec<CompactString>,
    is_abandoned: bool,
}

/// Call to a server that the planner requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Task {
    /// Send an order.
    Order {
        /// Order.
        order: Order,
        /// Reason for the order.
        cause: &'static str,
        /// What was known of the server.
        knowledge: Knowledge,
    },
    /// Request a server's report, which states its group and the orders that it has accepted.
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
    records: BTreeMap<CompactString, Record>,
    formations: BTreeMap<CompactString, Formation>,
    /// Queries to members whose registrations have expired.
    checks: BTreeMap<CompactString, MembershipCheck>,
    /// Queries to the members of groups that stand still.
    queries: Queries,
    load_limiter: Limiter,
    known_servers: usize,
    settled_at: Option<Instant>,
    /// Groups whose members were ordered to leave.
    dissolving: BTreeSet<CompactString>,
    /// Groups that are dissolved so that another model gets their servers.
    retiring: BTreeSet<CompactString>,
    last_retired: Option<Instant>,
    /// Time since which the servers of one model carry notably more load than the others.
    imbalanced_since: Option<Instant>,
    /// Time of the last plan.
    planned_at: Instant,
}

/// Input of a planner.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// All servers.
    pub fleet: &'a Fleet,
    /// Service whose servers form groups.
    pub service: &'a str,
    /// Configured figures of the engines.
    pub engine: &'a Engine,
    /// Whether requests have arrived; until then loads are quick and not limited.
    pub has_traffic: bool,
    /// Groups that make no progress.
    pub stalled: &'a BTreeSet<CompactString>,
    /// Whether the planner's zone is evacuated; no groups are formed or retired and no weights are loaded
    /// then.
    pub is_evacuated: bool,
    /// Measured shares of the models in the engine's order, in place of the configured ones.
    pub shares: Option<&'a [f64]>,
    /// Whether it is the zone's turn to exchange groups for measured shares.
    pub has_turn: bool,
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
            records: BTreeMap::new(),
            formations: BTreeMap::new(),
            checks: BTreeMap::new(),
            queries: Queries::default(),
            load_limiter: Limiter::default(),
            known_servers: 0,
            settled_at: None,
            dissolving: BTreeSet::new(),
            retiring: BTreeSet::new(),
            last_retired: None,
            imbalanced_since: None,
            planned_at: Instant::default(),
        }
    }

    /// Forgets what was decided and learned before another leader may have led.
    fn forget_decisions(&mut self) {
        self.pending.clear();
        self.formations.clear();
        self.checks.clear();
        self.queries = Queries::default();
        self.dissolving.clear();
        self.retiring.clear();
        self.imbalanced_since = None;
        for record in self.records.values_mut() {
            record.state = None;
            record.staging = None;
        }
    }

    /// Sets the fencing number after the same node was elected again.
    ///
    /// Another leader may have given orders meanwhile, so servers are queried before their next order.
    pub fn set_fence(&mut self, fence: u64) {
        self.fence = fence;
        for record in self.records.values_mut() {
            record.state = None;
        }
    }

    /// Returns the orders and queries to send now.
    pub fn plan(&mut self, view: &View<'_>, now: Instant) -> Vec<Task> {
        self.take_turns(view, now);
        let Some(shares) = view.shares else {
            return self.plan_configured(view, now);
        };
        let engine = layout::with_shares(view.engine, shares);
        let view = View {
            engine: &engine,
            ..*view
        };
        self.plan_configured(&view, now)
    }

    /// Puts off exchanges for measured shares so that the zones' leaders, which all see the same shortage,
    /// do not act on it at the same time.
    ///
    /// The turn of another zone and an exchange there count as a retirement of this zone, after which the
    /// registrations need time to show the effect.
    fn take_turns(&mut self, view: &View<'_>, now: Instant) {
        if view.shares.is_some() && (!view.has_turn || self.has_exchange_elsewhere(view)) {
            self.last_retired = self.last_retired.max(Some(now));
        }
    }

    /// Returns whether another zone closes a group none of whose members is about to leave: it gives the
    /// servers to another model.
    fn has_exchange_elsewhere(&self, view: &View<'_>) -> bool {
        let is_closing = |server: &Server| {
            let membership = server.membership.as_ref();
            membership.is_some_and(|membership| membership.state == State::Closing)
        };
        let mut others = view.fleet.servers().filter(|server| {
            server.service == view.service && server.zone != self.options.zone && is_closing(server)
        });
        others.any(|head| {
            let group = Assignment::of_server(head);
            let mut members = view.fleet.servers();
            !members.any(|server| server.draining && Assignment::of_server(server) == group)
        })
    }

    /// Returns the orders and queries to send now by the shares of the view's engine.
    fn plan_configured(&mut self, view: &View<'_>, now: Instant) -> Vec<Task> {
        let mut tasks = Vec::new();
        if now.since(self.planned_at) >= MAX_PAUSE {
            self.forget_decisions();
        }
        self.planned_at = now;
        self.update_records(view, now);
        self.queries.retain(view.stalled);
        let groups: Vec<Group> = view
            .fleet
            .groups(view.service, view.engine)
            .into_iter()
            .filter(|group| self.is_local(view, group))
            .collect();
        for group in &groups {
            self.maintain(view, group, now, &mut tasks);
        }
        self.dissolving
            .retain(|name| groups.iter().any(|group| group.name == *name));
        self.retiring
            .retain(|name| groups.iter().any(|group| group.name == *name));
        for group in groups.iter().filter(|group| group.is_whole()) {
            if let Some(formation) = self.formations.get_mut(&group.name) {
                // Members that leave from now on do so deliberately.
                formation.join = None;
            }
        }
        if view.is_evacuated {
            // An imbalance counts from the end of the evacuation.
            self.imbalanced_since = None;
        } else {
            self.order_joins(view, now, &mut tasks);
        }
        let order_timeout = self.options.order_timeout;
        self.formations.retain(|name, formation| {
            // Members report a group some time after they were ordered to join it.
            now.since(formation.since) < order_timeout
                || groups.iter().any(|group| group.name == *name)
        });
        self.query_contradicted(view, now, &mut tasks);
        if !view.is_evacuated && self.is_settled(view, now) {
            self.form(view, &groups, now, &mut tasks);
            self.stage(view, &groups, now, &mut tasks);
        }
        tasks
    }

    /// Records the reply to an order.
    pub fn record_reply(&mut self, order: &Order, reply: &Result<Reply>, now: Instant) {
        let Some(pending) = self.pending.get_mut(&order.server) else {
            return;
        };
        let Some(record) = self.records.get_mut(&order.server) else {
            return;
        };
        // An answer that arrived meanwhile is about another number of orders.
        let known = record
            .state
            .take()
            .filter(|known| known.accepted_orders == order.accepted_orders);
        // After a refused order, the next one waits for a newer registration.
        let pause = match reply {
            Ok(reply @ (Reply::Begun | Reply::Done)) => {
                record.state = known.and_then(|known| known.after(&order.command, *reply, now));
                if *reply == Reply::Begun {
                    self.options.order_timeout
                } else {
                    REFRESH_TIME
                }
            }
            Ok(Reply::Conflict | Reply::OtherServer) => REFRESH_TIME,
            Ok(Reply::Outdated) => {
                record.state = known;
                if let Command::Join { epoch, .. } = &order.command {
                    self.min_epoch = self.min_epoch.max(epoch + EPOCH_STEP);
                }
                REFRESH_TIME
            }
            Err(Error::Unreachable { .. } | Error::Refused { .. }) => {
                record.state = known;
                REFRESH_TIME
            }
            Err(Error::Indeterminate { .. } | Error::Malformed { .. }) => {
                self.options.order_timeout
            }
        };
        pending.until = now + pause;
    }

    /// Records a server's report, or the failure to get it.
    ///
    /// A server whose report differs from its registration is queried again after a while.
    pub fn record_report(&mut self, server: &str, report: &Result<Report>, now: Instant) {
        let start = self.records.get(server).map(|record| record.start_unix_ms);
        // Another incarnation may have taken the name since the registration.
        let report = report.as_ref().ok();
        let own = report.filter(|report| {
            report
                .start_unix_ms
                .is_none_or(|reported| start.is_none_or(|start| start == reported))
        });
        if let Some(check) = self.checks.get_mut(server) {
            let membership = own.and_then(|report| report.membership.as_ref());
            check.is_member = Some(membership.is_some_and(|known| known.group == check.group));
        }
        self.queries.record(server, report.is_some());
        let group = own.map(|report| report.membership.as_ref().map(Assignment::of));
        if let Some(record) = self.records.get_mut(server) {
            record.is_replaced = report.map_or(record.is_replaced, |_| own.is_none());
            if let Some(report) = own {
                record.state = Some(Known {
                    accepted_orders: report.accepted_orders,
                    group: group.clone().flatten(),
                    basis: Basis::Report,
                    at: now,
                });
            } else if report.is_some() {
                record.state = None;
            }
        }
        if let Some(pending) = self.pending.get_mut(server) {
            let registered = pending.membership.as_ref().map(Assignment::of);
            if group == Some(registered) {
                self.pending.remove(server);
            } else {
                pending.until = now + REFRESH_TIME;
            }
        }
    }

    /// Orders the members of groups being formed to join if they have not done so.
    fn order_joins(&mut self, view: &View<'_>, now: Instant, tasks: &mut Vec<Task>) {
        let mut formations = std::mem::take(&mut self.formations);
        for (name, formation) in &mut formations {
            let Some(join) = formation.join.as_ref().filter(|_| !formation.is_abandoned) else {
                continue;
            };
            let mut missing = Vec::new();
            let mut can_form = true;
            for id in &formation.members {
                match view.fleet.server(id) {
                    None => can_form = false,
                    Some(server) => match &server.membership {
                        None if server.draining => can_form = false,
                        None => missing.push(server),
                        Some(membership) if membership.group == *name => {}
                        Some(_) => can_form = false,
                    },
                }
            }
            if !can_form {
                formation.is_abandoned = true;
                continue;
            }
            for server in missing {
                self.issue(server, join.clone(), now, "the model lacks groups", tasks);
            }
        }
        self.formations = formations;
    }

    /// Returns whether a group has a member in the zone.
    fn is_local(&self, view: &View<'_>, group: &Group) -> bool {
        self.servers(view).any(|server| {
            server.membership.as_ref().is_some_and(|membership| {
                membership.group == group.name && membership.epoch == group.epoch
            })
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

    /// Updates the records from the registrations and drops orders that have taken effect or timed out.
    fn update_records(&mut self, view: &View<'_>, now: Instant) {
        let count = view.fleet.servers().count();
        for server in self.servers(view) {
            let record = self.records.entry(server.id.clone()).or_default();
            if record.start_unix_ms != server.start_unix_ms {
                *record = Record {
                    start_unix_ms: server.start_unix_ms,
                    first_seen: now,
                    ..Record::default()
                };
            }
            match &server.membership {
                Some(membership) => {
                    record.model = model_of(&membership.group).map(CompactString::from);
                    record.group = Some(membership.group.clone());
                    record.free_since = None;
                    if membership.epoch <= MAX_KNOWN_EPOCH {
                        self.min_epoch = self.min_epoch.max(membership.epoch);
                    }
                }
                None if record.free_since.is_none() => record.free_since = Some(now),
                None => {}
            }
        }
        if count > self.known_servers {
            self.settled_at = Some(now + self.options.settle_time);
        }
        self.known_servers = count;
        let fleet = view.fleet;
        self.pending.retain(|id, pending| {
            fleet.server(id).is_some_and(|server| {
                server.start_unix_ms == pending.start_unix_ms
                    && server.membership == pending.membership
                    && server.staged == pending.staged
                    && now < pending.until
            })
        });
        self.records.retain(|id, _| fleet.server(id).is_some());
        self.checks.retain(|id, _| fleet.absent(id).is_some());
    }

    /// Returns whether groups may be formed: requests arrive, or no new server has registered lately.
    fn is_settled(&self, view: &View<'_>, now: Instant) -> bool {
        view.has_traffic || self.settled_at.is_some_and(|settled| settled <= now)
    }

    /// Issues an order unless one is pending; queries the server if its number of orders is not known.
    fn issue(
        &mut self,
        server: &Server,
        command: Command,
        now: Instant,
        cause: &'static str,
        tasks: &mut Vec<Task>,
    ) {
        if self.pending.contains_key(&server.id) {
            return;
        }
        let Some(known) = self.known_state(server, now) else {
            self.query(server, now, tasks);
            return;
        };
        self.await_effect(server, now);
        tasks.push(Task::Order {
            knowledge: Knowledge {
                basis: known.basis,
                age: now.since(known.at),
                group: known.group.map(|assignment| assignment.group),
            },
            order: Order {
                server: server.id.clone(),
                address: server.address,
                accepted_orders: known.accepted_orders,
                command,
            },
            cause,
        });
    }

    /// Queries a server; it gets no orders until it has answered.
    fn query(&mut self, server: &Server, now: Instant, tasks: &mut Vec<Task>) {
        self.await_effect(server, now);
        tasks.push(Task::Query {
            server: server.id.clone(),
            address: server.address,
        });
    }

    /// Gives a server no orders until its state changes or the time for that is over.
    fn await_effect(&mut self, server: &Server, now: Instant) {
        let pending = Pending {
            start_unix_ms: server.start_unix_ms,
            membership: server.membership.clone(),
            staged: server.staged.clone(),
            until: now + self.options.order_timeout,
        };
        self.pending.insert(server.id.clone(), pending);
    }

    /// Returns a server's state with the number of orders that led to it, if its registration shows that
    /// state.
    ///
    /// A server without a group and weights has most likely accepted no orders; otherwise it refuses the
    /// order and is queried.
    fn known_state(&mut self, server: &Server, now: Instant) -> Option<Known> {
        let record = self.records.entry(server.id.clone()).or_default();
        let is_new = record.group.is_none() && server.staged.is_empty() && !record.was_ordered;
        record.was_ordered = true;
        if record.state.is_none() && is_new {
            record.state = Some(Known {
                accepted_orders: 0,
                group: None,
                basis: Basis::Assumption,
                at: now,
            });
        }
        let registered = Assignment::of_server(server);
        record
            .state
            .clone()
            .filter(|known| known.group == registered)
    }

    /// Returns whether a server's own answers show another group or incarnation than its registration.
    fn is_contradicted(&self, server: &Server) -> bool {
        self.records.get(&server.id).is_some_and(|record| {
            let state = record.state.as_ref();
            let group = Assignment::of_server(server);
            record.is_replaced || state.is_some_and(|known| known.group != group)
        })
    }

    /// Queries the servers without a registered group whose own last answer shows a group or another
    /// incarnation, so that they are free again once that is over.
    fn query_contradicted(&mut self, view: &View<'_>, now: Instant, tasks: &mut Vec<Task>) {
        let contradicted: Vec<&Server> = self
            .servers(view)
            .filter(|server| server.membership.is_none() && self.is_contradicted(server))
            .filter(|server| !self.pending.contains_key(&server.id))
            .collect();
        for server in contradicted {
            self.query(server, now, tasks);
        }
    }
}

/// Time without a plan after which another leader may have led.
const MAX_PAUSE: Millis = Millis(2_000);
/// Time within which a newer registration arrives after a refused order.
const REFRESH_TIME: Millis = Millis(500);
/// Distance between the epochs of two groups.
const EPOCH_STEP: u64 = 1;
/// Largest registered epoch from which a leader counts on. Leaders count up from zero, so a larger one
/// is none of theirs, and no epoch may be left above it.
const MAX_KNOWN_EPOCH: u64 = 1 << 53;
