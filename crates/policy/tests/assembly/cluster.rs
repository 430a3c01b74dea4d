//! Simulated model engines of one availability zone, with their registrations and leaders.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use compact_str::{CompactString, format_compact};
use jackdaw_core::backend::{Command, Membership, Order, Reply, Report, Server, State};
use jackdaw_core::config::{Engine, Model};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Millis, Tokens};
use jackdaw_policy::assembly::{Options, Planner, Task, View};
use jackdaw_policy::fleet::{Fleet, Target};

pub(crate) const SERVICE: &str = "engines";
pub(crate) const ZONE: &str = "zone-a";
/// Larger model with four servers per group, and smaller one with two.
pub(crate) const LARGE: &str = "large";
pub(crate) const SMALL: &str = "small";
/// Step of the simulated time.
pub(crate) const STEP: Millis = Millis(50);
/// Time until a change of a server appears in its registration.
const REGISTRATION_LAG: Millis = Millis(300);
/// Time until the registration of a dead server expires.
const REGISTRATION_TTL: Millis = Millis(3_000);
/// Time for which states of servers are kept for their reports.
const REPORT_MEMORY: Millis = Millis(1_000);

/// Faults on the way of orders and replies.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// One in this many orders is executed late and gets no reply.
    pub(crate) delay_every: Option<u64>,
    /// One in this many orders is executed and gets no reply.
    pub(crate) lose_reply_every: Option<u64>,
    /// Varies which orders are affected and how late they are.
    pub(crate) seed: u64,
}

/// State of a server at a time, as its reports state it later.
#[derive(Clone, Debug)]
struct Past {
    at: Instant,
    accepted_orders: u64,
    membership: Option<Membership>,
}

#[derive(Clone, Debug)]
struct Host {
    domain: CompactString,
    address: SocketAddr,
    start_unix_ms: u64,
    accepted_orders: u64,
    /// Highest epoch of a join.
    epoch: u64,
    membership: Option<Membership>,
    model: Option<CompactString>,
    last_model: Option<CompactString>,
    staged: Option<CompactString>,
    ready_at: Instant,
    staging: Option<(CompactString, Instant)>,
    dead_since: Option<Instant>,
    is_draining: bool,
    /// Whether the server never becomes ready.
    is_stuck: bool,
    /// Time since which the server is cut off from the store and from orders.
    isolated_since: Option<Instant>,
    /// Time at which closing began; it ends after a second.
    closed_at: Option<Instant>,
    /// Time since which the group of this first member has lacked a member.
    incomplete_since: Option<Instant>,
    /// States since the start, oldest first.
    past: VecDeque<Past>,
}

/// Outcome of a planner's call to a server.
#[derive(Debug)]
pub(crate) enum Answer {
    Order(Order, Result<Reply>),
    Report(CompactString, Result<Report>),
}

impl Answer {
    /// Passes the outcome to the planner that made the call.
    pub(crate) fn record(&self, planner: &mut Planner, now: Instant) {
        match self {
            Answer::Order(order, reply) => planner.record_reply(order, reply, now),
            Answer::Report(server, report) => planner.record_report(server, report, now),
        }
    }
}

/// Violation of a safety rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// A group was opened although a member had never been ready.
    OpenedUnready(CompactString),
    /// A server joined another group while the first member of its own group served, or stood still
    /// and was not broken yet.
    JoinedWhileServing(CompactString),
}

pub(crate) struct Cluster {
    pub(crate) engine: Engine,
    pub(crate) now: Instant,
    pub(crate) fleet: Fleet,
    pub(crate) has_traffic: bool,
    /// Whether the zone is evacuated.
    pub(crate) is_evacuated: bool,
    /// Groups that nodes report to stand still.
    pub(crate) stalled: BTreeSet<CompactString>,
    /// Zones of the domains that are not in [`ZONE`].
    pub(crate) zones: BTreeMap<CompactString, CompactString>,
    /// Measured shares of the models by the leader that uses them.
    pub(crate) shares: Vec<Option<Vec<f64>>>,
    /// Leaders whose zones may exchange groups for measured shares; all may if none is listed.
    pub(crate) turns: Vec<bool>,
    /// Those of the leader that plans.
    planned_shares: Option<Vec<f64>>,
    has_turn: bool,
    /// Whether no server's report reaches the leaders.
    pub(crate) is_cut: bool,
    /// Servers whose reports do not reach the leaders.
    pub(crate) muted: BTreeSet<CompactString>,
    pub(crate) leaders: Vec<Planner>,
    pub(crate) violations: Vec<Violation>,
    pub(crate) loads: usize,
    /// Time after which a group that lacks a member is broken; `None` if its first member goes on.
    pub(crate) stall_time: Option<Millis>,
    /// Age of the state in a server's report.
    pub(crate) report_age: Millis,
    /// Whether the servers' registrations go to a store instead of the cluster's fleet.
    pub(crate) has_store: bool,
    pub(crate) faults: Faults,
    hosts: BTreeMap<CompactString, Host>,
    were_ready: BTreeSet<(CompactString, CompactString)>,
    members: BTreeMap<CompactString, Vec<CompactString>>,
    pending_registrations: Vec<(Instant, CompactString, Option<Server>)>,
    /// Orders that are executed late, with the start of the process that has received them.
    delayed_orders: Vec<(Instant, Order, Option<u64>)>,
    sent_orders: u64,
    next_fence: u64,
}

fn model(name: &str, size: usize, share: f64, load: u64, warm: u64) -> Model {
    Model {
        name: name.into(),
        size,
        share,
        time_factor: 1.0,
        load_time: Millis(load),
        warm_load_time: Millis(warm),
    }
}

pub(crate) fn engine() -> Engine {
    Engine {
        slots: 26,
        kv_capacity: Tokens(1_400_000),
        steps_per_pass: 5,
        step_ms: 6.0,
        step_ms_per_request: 0.25,
        step_ms_per_context: 0.005,
        prefill_per_ms: 46.0,
        prefill_ms_per_million_pairs: 0.7,
        mean_prompt_tokens: 1_000,
        mean_output_tokens: 100,
        loads_per_second: 4.0,
        concurrent_loads: 6,
        open_time: Millis(300),
        models: vec![
            model(LARGE, 4, 0.67, 16_000, 1_600),
            model(SMALL, 2, 0.33, 12_000, 1_100),
        ],
    }
}

impl Cluster {
    /// Creates a cluster with a number of servers in each domain, and one leader.
    pub(crate) fn new(domains: &[usize], faults: Faults) -> Self {
        let mut cluster = Cluster {
            engine: engine(),
            now: Instant(1_000),
            fleet: Fleet::default(),
            has_traffic: false,
            is_evacuated: false,
            stalled: BTreeSet::new(),
            zones: BTreeMap::new(),
            shares: Vec::new(),
            planned_shares: None,
            turns: Vec::new(),
            has_turn: true,
            is_cut: false,
            muted: BTreeSet::new(),
            leaders: Vec::new(),
            violations: Vec::new(),
            loads: 0,
            stall_time: None,
            report_age: Millis(0),
            has_store: false,
            faults,
            hosts: BTreeMap::new(),
            were_ready: BTreeSet::new(),
            members: BTreeMap::new(),
            pending_registrations: Vec::new(),
            delayed_orders: Vec::new(),
            sent_orders: 0,
            next_fence: 1,
        };
        for (domain, count) in domains.iter().enumerate() {
            for number in 0..*count {
                cluster.add_server(&format!("s{domain}-{number}"), &format!("d{domain}"));
            }
        }
        cluster.add_leader();
        cluster
    }

    /// Creates a cluster whose models have groups of eight and four servers and equal shares; three
    /// servers of a domain of nineteen stay free.
    pub(crate) fn with_large_groups(domains: &[usize]) -> Self {
        let mut cluster = Cluster::new(domains, Faults::default());
        for (model, size) in cluster.engine.models.iter_mut().zip([8, 4]) {
            model.size = size;
            model.share = 0.5;
        }
        cluster
    }

    /// Adds a server without weights.
    pub(crate) fn add_server(&mut self, id: &str, domain: &str) {
        let host = Host {
            domain: domain.into(),
            address: ([127, 0, 0, 1], 1).into(),
            start_unix_ms: 1,
            accepted_orders: 0,
            epoch: 0,
            membership: None,
            model: None,
            last_model: None,
            staged: None,
            ready_at: self.now,
            staging: None,
            dead_since: None,
            is_draining: false,
            is_stuck: false,
            isolated_since: None,
            closed_at: None,
            incomplete_since: None,
            past: VecDeque::new(),
        };
        self.hosts.insert(id.into(), host);
        self.register(&id.into());
    }

    /// Puts a model's weights into the memory of a server's host.
    pub(crate) fn set_staged(&mut self, id: &str, model: &str) {
        let host = self.hosts.get_mut(id).expect("the host is there");
        host.staged = Some(model.into());
        self.register(&id.into());
    }

    /// Sets the number of orders that a server says it has accepted.
    pub(crate) fn set_accepted_orders(&mut self, id: &str, count: u64) {
        let host = self.hosts.get_mut(id).expect("the host is there");
        host.accepted_orders = count;
    }

    /// Adds an entry that no server writes.
    pub(crate) fn add_entry(
        &mut self,
        group: &str,
        epoch: u64,
        rank: u32,
        slots: u32,
        start_unix_ms: u64,
    ) {
        let server = Server {
            id: "other".into(),
            service: SERVICE.into(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: ZONE.into(),
            draining: false,
            slots,
            start_unix_ms,
            domain: "d0".into(),
            staged: Vec::new(),
            warmup_left: Millis(0),
            membership: Some(Membership {
                group: group.into(),
                epoch,
                rank,
                state: State::Open,
            }),
        };
        self.fleet.register(server, self.now);
    }

    /// Adds a leader beside the existing ones.
    pub(crate) fn add_leader(&mut self) {
        let planner = self.create_planner();
        self.leaders.push(planner);
    }

    /// Moves a domain to another zone and adds a leader there.
    pub(crate) fn move_domain(&mut self, domain: &str, zone: &str) {
        self.zones.insert(domain.into(), zone.into());
        for id in self.servers(true) {
            self.register(&id);
        }
        let planner = self.create_planner_in(zone);
        self.leaders.push(planner);
    }

    /// Creates the planner of a leader that is elected now.
    pub(crate) fn create_planner(&mut self) -> Planner {
        self.create_planner_in(ZONE)
    }

    fn create_planner_in(&mut self, zone: &str) -> Planner {
        let options = Options {
            zone: zone.into(),
            ..Options::default()
        };
        Planner::new(options, self.draw_fence())
    }

    /// Returns the fencing number of a leader that is elected now.
    pub(crate) fn draw_fence(&mut self) -> u64 {
        self.next_fence += 1;
        self.next_fence - 1
    }

    /// Kills a server for good.
    pub(crate) fn kill(&mut self, id: &str) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.dead_since = Some(self.now);
        }
    }

    /// Ends a server's process; its group is lost with it.
    pub(crate) fn crash(&mut self, id: &str) {
        let now = self.now;
        if let Some(host) = self.hosts.get_mut(id) {
            host.dead_since = Some(now);
            host.membership = None;
        }
    }

    /// Starts a crashed server again, under its own name or a new one; the weights in its memory stay.
    pub(crate) fn start(&mut self, id: &str, new_id: Option<&str>) {
        let Some(host) = self.hosts.remove(id) else {
            return;
        };
        let host = Host {
            start_unix_ms: self.now.0,
            accepted_orders: 0,
            epoch: 0,
            membership: None,
            model: None,
            last_model: None,
            staging: None,
            dead_since: None,
            closed_at: None,
            incomplete_since: None,
            past: VecDeque::new(),
            ..host
        };
        self.hosts.insert(new_id.unwrap_or(id).into(), host);
    }

    /// Gives each server an address of its own.
    pub(crate) fn assign_addresses(&mut self) {
        for (host, port) in self.hosts.values_mut().zip(1..) {
            host.address = ([127, 0, 0, 1], port).into();
        }
    }

    /// Returns the names of the servers that run, or of those that have crashed.
    pub(crate) fn servers(&self, is_running: bool) -> Vec<CompactString> {
        let hosts = self.hosts.iter();
        hosts
            .filter(|(_, host)| host.dead_since.is_none() == is_running)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns the members of the groups that serve, by the servers' own states.
    pub(crate) fn serving(&self) -> Vec<(CompactString, Vec<CompactString>)> {
        let groups = self.members.iter();
        groups
            .filter(|(group, members)| {
                self.head_state(group) == Some(State::Open) && self.is_complete(group, members)
            })
            .map(|(group, members)| (group.clone(), members.clone()))
            .collect()
    }

    /// Returns whether a server joins a group of a model without a load, as far as the leader knows: the
    /// model of its last group is in no registration once it has left.
    pub(crate) fn is_warm(&self, id: &str, model: &str, is_last_known: bool) -> bool {
        self.hosts.get(id).is_some_and(|host| {
            let last = host.last_model.iter().filter(|_| is_last_known);
            last.chain(&host.staged).any(|known| known == model)
        })
    }

    /// Returns whether each member of a group runs and has not left it.
    fn is_complete(&self, group: &str, members: &[CompactString]) -> bool {
        members.iter().all(|id| {
            self.hosts.get(id).is_some_and(|host| {
                let membership = host.membership.as_ref();
                host.dead_since.is_none() && membership.is_some_and(|known| known.group == group)
            })
        })
    }

    /// Keeps the free server that would be the first replacement in a model's group from ever becoming
    /// ready.
    pub(crate) fn block_first_spare(&mut self, model: &str) {
        let spare = self
            .hosts
            .values_mut()
            .find(|host| host.membership.is_none() && host.staged.as_deref() == Some(model));
        spare.expect("a free server holds the model").is_stuck = true;
    }

    /// Cuts a server off from the store and from orders; it still serves and answers queries.
    pub(crate) fn isolate(&mut self, id: &str) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.isolated_since = Some(self.now);
        }
    }

    /// Connects an isolated server again.
    pub(crate) fn reconnect(&mut self, id: &str) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.isolated_since = None;
        }
        self.register(&id.into());
    }

    /// Marks a server as draining.
    pub(crate) fn drain(&mut self, id: &str) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.is_draining = true;
        }
        self.register(&id.into());
    }

    /// Restarts all servers of a domain; the weights in their memory stay.
    pub(crate) fn restart_domain(&mut self, domain: &str) {
        let ids: Vec<CompactString> = self
            .hosts
            .iter()
            .filter(|(_, host)| host.domain == domain)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            let host = self.hosts.remove(&id).expect("the host is there");
            self.fleet.remove(&id);
            let id = format_compact!("{id}+");
            let host = Host {
                accepted_orders: 0,
                epoch: 0,
                membership: None,
                model: None,
                last_model: None,
                staging: None,
                ..host
            };
            self.hosts.insert(id.clone(), host);
            self.register(&id);
        }
    }

    /// Returns the name of the member with a rank in a serving group of a model.
    pub(crate) fn member(&self, model: &str, rank: usize) -> CompactString {
        let targets = self.fleet.targets(SERVICE, Some(&self.engine));
        let target = targets
            .iter()
            .find(|target| target.model.as_deref() == Some(model))
            .expect("a group of the model serves");
        target.members[rank].clone()
    }

    /// Returns the groups that serve according to the registrations.
    pub(crate) fn targets(&self) -> Vec<Target> {
        self.fleet.targets(SERVICE, Some(&self.engine))
    }

    /// Returns the groups that close, by their first members' own states, with their zones.
    pub(crate) fn closing(&self) -> Vec<(CompactString, CompactString)> {
        let heads = self.hosts.values().filter_map(|host| {
            let membership = host.membership.as_ref()?;
            let is_closing = membership.state == State::Closing && host.dead_since.is_none();
            is_closing.then(|| (membership.group.clone(), self.zone(host)))
        });
        heads.collect()
    }

    fn zone(&self, host: &Host) -> CompactString {
        let zone = self.zones.get(&host.domain);
        zone.cloned().unwrap_or_else(|| ZONE.into())
    }

    /// Returns the name of the serving group of a member.
    pub(crate) fn group_of(&self, member: &str) -> CompactString {
        let targets = self.targets();
        let target = targets
            .iter()
            .find(|target| target.members.iter().any(|id| id == member));
        target.expect("the member's group serves").group.clone()
    }

    /// Returns the number of serving groups of a model according to the registrations.
    pub(crate) fn count_serving(&self, model: &str) -> usize {
        let targets = self.fleet.targets(SERVICE, Some(&self.engine));
        targets
            .iter()
            .filter(|target| target.model.as_deref() == Some(model))
            .count()
    }

    /// Advances the simulated time by a span.
    pub(crate) fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.advance_hosts();
            self.execute_delayed();
            self.apply_registrations();
            for leader in 0..self.leaders.len() {
                self.plan(leader);
            }
        }
    }

    /// Advances the simulated time until a condition holds and returns the time that it took, unless
    /// it takes longer than the timeout.
    pub(crate) fn run_until(
        &mut self,
        timeout: Millis,
        condition: impl Fn(&Cluster) -> bool,
    ) -> Option<Millis> {
        let start = self.now;
        while self.now.since(start) < timeout {
            if condition(self) {
                return Some(self.now.since(start));
            }
            self.run(STEP);
        }
        None
    }

    fn plan(&mut self, leader: usize) {
        let mut planner = self.leaders.remove(leader);
        self.planned_shares = self.shares.get(leader).cloned().flatten();
        self.has_turn = self.turns.get(leader).copied().unwrap_or(true);
        let fleet = std::mem::take(&mut self.fleet);
        for answer in self.run_planner(&mut planner, &fleet) {
            answer.record(&mut planner, self.now);
        }
        self.fleet = fleet;
        self.leaders.insert(leader, planner);
    }

    /// Makes the calls that a planner requests by a fleet, and returns their outcomes.
    pub(crate) fn run_planner(&mut self, planner: &mut Planner, fleet: &Fleet) -> Vec<Answer> {
        let view = View {
            fleet,
            service: SERVICE,
            engine: &self.engine,
            has_traffic: self.has_traffic,
            stalled: &self.stalled,
            is_evacuated: self.is_evacuated,
            shares: self.planned_shares.as_deref(),
            has_turn: self.has_turn,
        };
        let tasks = planner.plan(&view, self.now);
        let calls = tasks.into_iter().map(|task| match task {
            Task::Order { order, .. } => {
                let reply = self.send_order(&order);
                Answer::Order(order, reply)
            }
            Task::Query { server, address } => {
                let report = self.report(&server, address);
                Answer::Report(server, report)
            }
        });
        calls.collect()
    }

    /// Reads a server's report, which is somewhat old.
    ///
    /// # Errors
    ///
    /// Returns an error if the server does not run at the address, or if no report arrives.
    pub(crate) fn report(&self, id: &str, address: SocketAddr) -> Result<Report> {
        let host = self.hosts.get(id).filter(|host| {
            host.dead_since.is_none()
                && host.address == address
                && !self.is_cut
                && !self.muted.contains(id)
        });
        let host = host.ok_or_else(|| Error::unreachable("read report", id, "dead"))?;
        let mut past = host.past.iter().rev();
        let past = past.find(|past| self.now.since(past.at) >= self.report_age);
        let past = past.filter(|_| self.report_age > Millis(0));
        Ok(Report {
            start_unix_ms: Some(host.start_unix_ms),
            accepted_orders: past.map_or(host.accepted_orders, |past| past.accepted_orders),
            membership: match past {
                Some(past) => past.membership.clone(),
                None => host.membership.clone(),
            },
        })
    }

    /// Sends an order and returns the reply as it arrives.
    fn send_order(&mut self, order: &Order) -> Result<Reply> {
        self.sent_orders += 1;
        let is_due = |every: Option<u64>| {
            every.is_some_and(|every| (self.sent_orders + self.faults.seed).is_multiple_of(every))
        };
        let unanswered = || Error::indeterminate("send order", &order.server, "no answer");
        if is_due(self.faults.delay_every) {
            let delay = 2_000 + (self.sent_orders * 1_337 + self.faults.seed * 7_919) % 10_000;
            let start = self.start_unix_ms(&order.server);
            self.delayed_orders
                .push((self.now + Millis(delay), order.clone(), start));
            return Err(unanswered());
        }
        let is_unanswered = is_due(self.faults.lose_reply_every);
        let reply = self.execute(order);
        match reply {
            Some(reply) if !is_unanswered => Ok(reply),
            Some(_) => Err(unanswered()),
            None => Err(Error::unreachable("send order", &order.server, "dead")),
        }
    }

    pub(crate) fn execute_delayed(&mut self) {
        let now = self.now;
        let (due, rest) = self
            .delayed_orders
            .drain(..)
            .partition(|(at, ..)| *at <= now);
        self.delayed_orders = rest;
        let due: Vec<_> = due;
        for (_, order, start) in due {
            if self.start_unix_ms(&order.server) == start {
                self.execute(&order);
            }
        }
    }

    fn start_unix_ms(&self, id: &str) -> Option<u64> {
        self.hosts.get(id).map(|host| host.start_unix_ms)
    }

    fn execute(&mut self, order: &Order) -> Option<Reply> {
        let Some(host) = self.hosts.get(&order.server) else {
            let mut hosts = self.hosts.values();
            let is_used = self.has_store && hosts.any(|host| host.address == order.address);
            return is_used.then_some(Reply::OtherServer);
        };
        if host.dead_since.is_some() || host.isolated_since.is_some() {
            return None;
        }
        if host.accepted_orders != order.accepted_orders {
            return Some(Reply::Conflict);
        }
        let before = host.membership.clone();
        let reply = match &order.command {
            Command::Join {
                group,
                epoch,
                model,
                members,
            } => self.join(&order.server, group, *epoch, model, members),
            Command::Open { group, .. } => self.open(&order.server, group),
            Command::Close { group, .. } => self.close(&order.server, group),
            Command::Leave { group, .. } => self.leave(&order.server, group),
            Command::Stage { model } => self.stage(&order.server, model),
        };
        let host = self.hosts.get_mut(&order.server)?;
        // An order whose state already holds begins nothing.
        let is_held = reply == Reply::Done && host.membership == before;
        if !is_held && !matches!(reply, Reply::Conflict | Reply::Outdated) {
            host.accepted_orders = host.accepted_orders.wrapping_add(1);
            self.register(&order.server);
        }
        Some(reply)
    }

    fn head_state(&self, group: &str) -> Option<State> {
        let head = self.members.get(group)?.first()?;
        let membership = self.hosts.get(head)?.membership.as_ref()?;
        (membership.group == group).then_some(membership.state)
    }

    fn join(
        &mut self,
        id: &CompactString,
        group: &CompactString,
        epoch: u64,
        model: &CompactString,
        members: &[CompactString],
    ) -> Reply {
        let host = &self.hosts[id];
        if epoch < host.epoch {
            return Reply::Outdated;
        }
        let membership = host.membership.as_ref();
        let is_member =
            membership.is_some_and(|known| known.group == *group && known.epoch == epoch);
        if is_member {
            let is_same = self
                .members
                .get(group)
                .is_some_and(|known| known == members);
            return if is_same {
                Reply::Done
            } else {
                Reply::Outdated
            };
        }
        if let Some(former) = host
            .membership
            .as_ref()
            .map(|membership| membership.group.clone())
            && former != *group
            && matches!(self.head_state(&former), Some(State::Open | State::Closing))
        {
            self.violations
                .push(Violation::JoinedWhileServing(id.clone()));
        }
        let config = self
            .engine
            .model(model)
            .expect("the model is known")
            .clone();
        let host = self.hosts.get_mut(id).expect("the host is there");
        let span = if host.last_model.as_ref() == Some(model) {
            Millis(200)
        } else if host.staged.as_ref() == Some(model) {
            // The host first finishes the load in progress.
            let staging = host.staging.as_ref();
            let rest = staging.map_or(Millis(0), |(_, staged_at)| staged_at.since(self.now));
            Millis(rest.0 + config.warm_load_time.0)
        } else if self.has_traffic {
            self.loads += 1;
            host.staged = Some(model.clone());
            config.load_time
        } else {
            host.staged = Some(model.clone());
            Millis(config.load_time.0 / 10)
        };
        host.epoch = epoch;
        host.membership = Some(Membership {
            group: group.clone(),
            epoch,
            rank: members
                .iter()
                .position(|member| member == id)
                .unwrap_or_default() as u32,
            state: State::Joining,
        });
        host.model = Some(model.clone());
        host.last_model = Some(model.clone());
        host.ready_at = self.now + span;
        self.members.insert(group.clone(), members.to_vec());
        Reply::Begun
    }

    fn open(&mut self, id: &CompactString, group: &CompactString) -> Reply {
        let members = self.members.get(group).cloned().unwrap_or_default();
        let is_unready = members
            .iter()
            .any(|member| !self.were_ready.contains(&(group.clone(), member.clone())));
        let host = self.hosts.get_mut(id).expect("the host is there");
        match &mut host.membership {
            Some(membership) if membership.group == *group && membership.state == State::Ready => {
                membership.state = State::Open;
            }
            Some(membership) if membership.group == *group && membership.state == State::Open => {
                return Reply::Done;
            }
            Some(_) | None => return Reply::Conflict,
        }
        if is_unready {
            self.violations
                .push(Violation::OpenedUnready(group.clone()));
        }
        Reply::Begun
    }

    fn close(&mut self, id: &CompactString, group: &CompactString) -> Reply {
        let now = self.now;
        let host = self.hosts.get_mut(id).expect("the host is there");
        match &mut host.membership {
            Some(membership) if membership.group == *group && membership.state == State::Open => {
                membership.state = State::Closing;
                host.closed_at = Some(now);
                Reply::Begun
            }
            Some(membership) if membership.group == *group && membership.state == State::Ready => {
                Reply::Done
            }
            Some(_) | None => Reply::Conflict,
        }
    }

    fn leave(&mut self, id: &CompactString, group: &CompactString) -> Reply {
        let host = self.hosts.get_mut(id).expect("the host is there");
        if host
            .membership
            .as_ref()
            .is_some_and(|membership| membership.group == *group)
        {
            host.membership = None;
        }
        Reply::Done
    }

    fn stage(&mut self, id: &CompactString, model: &CompactString) -> Reply {
        let load = self
            .engine
            .model(model)
            .expect("the model is known")
            .load_time;
        let span = if self.has_traffic {
            self.loads += 1;
            load
        } else {
            Millis(load.0 / 10)
        };
        let host = self.hosts.get_mut(id).expect("the host is there");
        host.staging = Some((model.clone(), self.now + span));
        Reply::Begun
    }

    pub(crate) fn advance_hosts(&mut self) {
        let now = self.now;
        self.break_groups();
        let mut changed = Vec::new();
        for (id, host) in &mut self.hosts {
            if host.dead_since.is_some() {
                continue;
            }
            if let Some((model, staged_at)) = &host.staging
                && *staged_at <= now
            {
                host.staged = Some(model.clone());
                host.staging = None;
                changed.push(id.clone());
            }
            let Some(membership) = &mut host.membership else {
                continue;
            };
            if membership.state == State::Joining && host.ready_at <= now && !host.is_stuck {
                membership.state = State::Ready;
                self.were_ready
                    .insert((membership.group.clone(), id.clone()));
                changed.push(id.clone());
            }
            let is_closed = host
                .closed_at
                .is_some_and(|at| now.since(at) >= Millis(1_000));
            if membership.state == State::Closing && is_closed {
                membership.state = State::Ready;
                changed.push(id.clone());
            }
        }
        for id in changed {
            self.register(&id);
        }
        let hosts = self.hosts.values_mut();
        for host in hosts.filter(|_| self.report_age > Millis(0)) {
            host.past.retain(|past| now.since(past.at) < REPORT_MEMORY);
            host.past.push_back(Past {
                at: now,
                accepted_orders: host.accepted_orders,
                membership: host.membership.clone(),
            });
        }
        let expired: Vec<CompactString> = self
            .hosts
            .iter()
            .filter(|(_, host)| {
                let unregistered_since = host.dead_since.or(host.isolated_since);
                unregistered_since.is_some_and(|since| now.since(since) >= REGISTRATION_TTL)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.fleet.expire(&id, now);
        }
        self.fleet.refresh_absent(now);
    }

    /// Breaks the groups that have lacked a member for some time.
    fn break_groups(&mut self) {
        let Some(stall_time) = self.stall_time else {
            return;
        };
        let now = self.now;
        for (group, members) in &self.members {
            let is_complete = self.is_complete(group, members);
            let Some(head) = members.first().and_then(|head| self.hosts.get_mut(head)) else {
                continue;
            };
            let Some(membership) = head.membership.as_mut().filter(|known| {
                known.group == *group && matches!(known.state, State::Open | State::Closing)
            }) else {
                continue;
            };
            if is_complete {
                head.incomplete_since = None;
                continue;
            }
            let since = *head.incomplete_since.get_or_insert(now);
            if now.since(since) >= stall_time {
                membership.state = State::Broken;
                head.incomplete_since = None;
            }
        }
    }

    /// Returns the state that a server would register now, if it runs.
    pub(crate) fn state(&self, id: &str) -> Option<Server> {
        let host = self.hosts.get(id)?;
        host.dead_since.is_none().then(|| Server {
            id: id.into(),
            service: SERVICE.into(),
            address: host.address,
            zone: self.zone(host),
            draining: host.is_draining,
            slots: 26,
            start_unix_ms: host.start_unix_ms,
            domain: host.domain.clone(),
            staged: host.staged.iter().cloned().collect(),
            warmup_left: Millis(0),
            membership: host.membership.clone(),
        })
    }

    /// Registers a server's state, which becomes visible after a lag.
    fn register(&mut self, id: &CompactString) {
        let host = self.hosts.get(id);
        if self.has_store || host.is_none_or(|host| host.isolated_since.is_some()) {
            return;
        }
        if let Some(server) = self.state(id) {
            self.pending_registrations.push((
                self.now + REGISTRATION_LAG,
                id.clone(),
                Some(server),
            ));
        }
    }

    fn apply_registrations(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = self
            .pending_registrations
            .drain(..)
            .partition(|(at, ..)| *at <= now);
        self.pending_registrations = rest;
        for (_, id, server) in due {
            let is_known = self.hosts.contains_key(&id);
            if let Some(server) = server.filter(|_| is_known) {
                self.fleet.register(server, now);
            }
        }
    }
}
