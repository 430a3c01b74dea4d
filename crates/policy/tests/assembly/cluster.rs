//! Simulated model engines of one availability zone, with their registrations and leaders.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::{CompactString, format_compact};
use jackdaw_core::backend::{Command, Membership, Order, Reply, Report, Server, State};
use jackdaw_core::config::{Engine, Model};
use jackdaw_core::errors::Error;
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
const STEP: Millis = Millis(50);
/// Time until a change of a server appears in its registration.
const REGISTRATION_LAG: Millis = Millis(300);
/// Time until the registration of a dead server expires.
const REGISTRATION_TTL: Millis = Millis(3_000);

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

#[derive(Clone, Debug)]
struct Host {
    domain: CompactString,
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
}

/// Violation of a safety rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// A group was opened although a member had never been ready.
    OpenedUnready(CompactString),
    /// A server joined another group while the first member of its own group served.
    JoinedWhileServing(CompactString),
}

pub(crate) struct Cluster {
    pub(crate) engine: Engine,
    pub(crate) now: Instant,
    pub(crate) fleet: Fleet,
    pub(crate) has_traffic: bool,
    /// Groups that nodes report to stand still.
    pub(crate) stalled: BTreeSet<CompactString>,
    /// Whether no server's report reaches the leaders.
    pub(crate) is_cut: bool,
    pub(crate) leaders: Vec<Planner>,
    pub(crate) violations: Vec<Violation>,
    pub(crate) loads: usize,
    hosts: BTreeMap<CompactString, Host>,
    were_ready: BTreeSet<(CompactString, CompactString)>,
    members: BTreeMap<CompactString, Vec<CompactString>>,
    pending_registrations: Vec<(Instant, CompactString, Option<Server>)>,
    delayed_orders: Vec<(Instant, Order)>,
    faults: Faults,
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
            stalled: BTreeSet::new(),
            is_cut: false,
            leaders: Vec::new(),
            violations: Vec::new(),
            loads: 0,
            hosts: BTreeMap::new(),
            were_ready: BTreeSet::new(),
            members: BTreeMap::new(),
            pending_registrations: Vec::new(),
            delayed_orders: Vec::new(),
            faults,
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
        };
        self.hosts.insert(id.into(), host);
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
        let options = Options {
            zone: ZONE.into(),
            ..Options::default()
        };
        self.leaders.push(Planner::new(options, self.next_fence));
        self.next_fence += 1;
    }

    /// Kills a server for good.
    pub(crate) fn kill(&mut self, id: &str) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.dead_since = Some(self.now);
        }
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
        let view = View {
            fleet: &self.fleet,
            service: SERVICE,
            engine: &self.engine,
            has_traffic: self.has_traffic,
            stalled: &self.stalled,
        };
        let tasks = self.leaders[leader].plan(&view, self.now);
        for task in tasks {
            match task {
                Task::Order { order, .. } => self.send_order(leader, &order),
                Task::Query { server, .. } => {
                    let report = match self.hosts.get(&server) {
                        Some(host) if host.dead_since.is_none() && !self.is_cut => Ok(Report {
                            start_unix_ms: None,
                            accepted_orders: host.accepted_orders,
                            membership: host.membership.clone(),
                        }),
                        _ => Err(Error::unreachable("read report", &server, "dead")),
                    };
                    self.leaders[leader].record_report(&server, &report, self.now);
                }
            }
        }
    }

    fn send_order(&mut self, leader: usize, order: &Order) {
        self.sent_orders += 1;
        let is_due = |every: Option<u64>| {
            every.is_some_and(|every| (self.sent_orders + self.faults.seed).is_multiple_of(every))
        };
        if is_due(self.faults.delay_every) {
            let delay = 2_000 + (self.sent_orders * 1_337 + self.faults.seed * 7_919) % 10_000;
            self.delayed_orders
                .push((self.now + Millis(delay), order.clone()));
            let failure = Err(Error::indeterminate(
                "send order",
                &order.server,
                "no answer",
            ));
            self.leaders[leader].record_reply(order, &failure, self.now);
            return;
        }
        let is_unanswered = is_due(self.faults.lose_reply_every);
        let reply = self.execute(order);
        let reply = match reply {
            Some(reply) if !is_unanswered => Ok(reply),
            Some(_) => Err(Error::indeterminate(
                "send order",
                &order.server,
                "no answer",
            )),
            None => Err(Error::unreachable("send order", &order.server, "dead")),
        };
        self.leaders[leader].record_reply(order, &reply, self.now);
    }

    fn execute_delayed(&mut self) {
        let now = self.now;
        let (due, rest) = self
            .delayed_orders
            .drain(..)
            .partition(|(at, _)| *at <= now);
        self.delayed_orders = rest;
        let due: Vec<(Instant, Order)> = due;
        for (_, order) in due {
            self.execute(&order);
        }
    }

    fn execute(&mut self, order: &Order) -> Option<Reply> {
        let host = self.hosts.get(&order.server)?;
        if host.dead_since.is_some() || host.isolated_since.is_some() {
            return None;
        }
        if host.accepted_orders != order.accepted_orders {
            return Some(Reply::Conflict);
        }
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
        if !matches!(reply, Reply::Conflict | Reply::Outdated) {
            let host = self.hosts.get_mut(&order.server)?;
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

    fn advance_hosts(&mut self) {
        let now = self.now;
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

    /// Registers a server's state, which becomes visible after a lag.
    fn register(&mut self, id: &CompactString) {
        let Some(host) = self
            .hosts
            .get(id)
            .filter(|host| host.isolated_since.is_none())
        else {
            return;
        };
        let server = Server {
            id: id.clone(),
            service: SERVICE.into(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: ZONE.into(),
            draining: host.is_draining,
            slots: 26,
            start_unix_ms: 1,
            domain: host.domain.clone(),
            staged: host.staged.iter().cloned().collect(),
            membership: host.membership.clone(),
        };
        self.pending_registrations
            .push((self.now + REGISTRATION_LAG, id.clone(), Some(server)));
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
