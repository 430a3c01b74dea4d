//! Forms replica groups out of the model engines of one availability zone.
//!
//! The planner relies on the servers' registrations only, so any leader can continue the work of
//! another. It opens a group once every member reports itself ready under the group's name and
//! epoch, and it never orders a server to join while the first member of its former group may still
//! serve. Every order states how many orders the server has accepted, so an order that arrives late
//! or was sent by a former leader has no effect.

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
    /// Number of orders that the server has accepted, if known.
    accepted_orders: Option<u64>,
    /// What that number relies on, and the time at which it became known.
    known_by: Option<(Basis, Instant)>,
    /// Group in the report that stated that number, if it came from a report.
    reported_group: Option<Option<CompactString>>,
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
        }
    }

    /// Sets the fencing number after the same node was elected again.
    pub fn set_fence(&mut self, fence: u64) {
        self.fence = fence;
    }

    /// Returns the orders and queries to send now.
    pub fn plan(&mut self, view: &View<'_>, now: Instant) -> Vec<Task> {
        let mut tasks = Vec::new();
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
        self.order_joins(view, now, &mut tasks);
        let order_timeout = self.options.order_timeout;
        self.formations.retain(|name, formation| {
            // Members report a group some time after they were ordered to join it.
            now.since(formation.since) < order_timeout
                || groups.iter().any(|group| group.name == *name)
        });
        if self.is_settled(view, now) {
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
        record.known_by = Some((Basis::Reply, now));
        // After a refused order, the next one waits for a newer registration.
        let pause = match reply {
            Ok(Reply::Begun) => {
                record.accepted_orders = order.accepted_orders.checked_add(1);
                record.reported_group = None;
                self.options.order_timeout
            }
            Ok(Reply::Done) => {
                // An order that takes effect at once counts as accepted; if the server was in that
                // state already, it refuses the next order and is queried.
                record.accepted_orders = order.accepted_orders.checked_add(1);
                record.reported_group = None;
                REFRESH_TIME
            }
            Ok(Reply::Conflict | Reply::OtherServer) => {
                record.accepted_orders = None;
                REFRESH_TIME
            }
            Ok(Reply::Outdated) => {
                if let Command::Join { epoch, .. } = &order.command {
                    self.min_epoch = self.min_epoch.max(epoch + EPOCH_STEP);
                }
                REFRESH_TIME
            }
            Err(Error::Unreachable { .. } | Error::Refused { .. }) => REFRESH_TIME,
            Err(Error::Indeterminate { .. } | Error::Malformed { .. }) => {
                record.accepted_orders = None;
                self.options.order_timeout
            }
        };
        pending.until = now + pause;
    }

    /// Records a server's report, or the failure to get it.
    pub fn record_report(&mut self, server: &str, report: &Result<Report>, now: Instant) {
        if let Some(check) = self.checks.get_mut(server) {
            let membership = report
                .as_ref()
                .ok()
                .and_then(|report| report.membership.as_ref());
            check.is_member = Some(membership.is_some_and(|known| known.group == check.group));
        }
        self.queries.record(server, report.is_ok());
        match report {
            Ok(report) => {
                self.pending.remove(server);
                if let Some(record) = self.records.get_mut(server) {
                    record.accepted_orders = Some(report.accepted_orders);
                    record.known_by = Some((Basis::Report, now));
                    let membership = report.membership.as_ref();
                    record.reported_group = Some(membership.map(|known| known.group.clone()));
                }
            }
            Err(_) => {
                if let Some(pending) = self.pending.get_mut(server) {
                    pending.until = now + REFRESH_TIME;
                }
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
        self.pending.insert(
            server.id.clone(),
            Pending {
                start_unix_ms: server.start_unix_ms,
                membership: server.membership.clone(),
                staged: server.staged.clone(),
                until: now + self.options.order_timeout,
            },
        );
        let Some(accepted_orders) = self.accepted_orders(server) else {
            tasks.push(Task::Query {
                server: server.id.clone(),
                address: server.address,
            });
            return;
        };
        let record = self.records.get(&server.id);
        let known_by = record.and_then(|record| record.known_by);
        let (basis, since) = known_by.unwrap_or((Basis::Assumption, now));
        tasks.push(Task::Order {
            knowledge: Knowledge {
                basis,
                age: now.since(since),
                group: server
                    .membership
                    .as_ref()
                    .map(|membership| membership.group.clone()),
            },
            order: Order {
                server: server.id.clone(),
                address: server.address,
                accepted_orders,
                command,
            },
            cause,
        });
    }

    /// Returns how many orders a server has accepted, if known.
    ///
    /// A server without a group and weights has most likely accepted none; otherwise it refuses the
    /// order and is queried.
    fn accepted_orders(&mut self, server: &Server) -> Option<u64> {
        let record = self.records.entry(server.id.clone()).or_default();
        let is_new = record.group.is_none() && server.staged.is_empty() && !record.was_ordered;
        record.was_ordered = true;
        if record.accepted_orders.is_none() && is_new {
            return Some(0);
        }
        // The number may count an order whose effect is not registered yet; an order that was decided
        // without that effect must not be carried out.
        let group = server
            .membership
            .as_ref()
            .map(|membership| &membership.group);
        let is_ahead = record
            .reported_group
            .as_ref()
            .is_some_and(|reported| reported.as_ref() != group);
        record.accepted_orders.filter(|_| !is_ahead)
    }
}

/// Time within which a newer registration arrives after a refused order.
const REFRESH_TIME: Millis = Millis(500);
/// Distance between the epochs of two groups.
const EPOCH_STEP: u64 = 1;
/// Largest registered epoch from which a leader counts on. Leaders count up from zero, so a larger one
/// is none of theirs, and no epoch may be left above it.
const MAX_KNOWN_EPOCH: u64 = 1 << 53;
