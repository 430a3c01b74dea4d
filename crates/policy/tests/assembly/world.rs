//! Model engines of one availability zone, their registrations and one or two leaders.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::{CompactString, format_compact};
use jackdaw_core::backend::{Command, Membership, Order, Reply, Report, Server, State};
use jackdaw_core::config::{Engine, Model};
use jackdaw_core::errors::Error;
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Millis, Tokens};
use jackdaw_policy::assembly::{Options, Planner, Task, View};
use jackdaw_policy::fleet::Fleet;

pub(crate) const SERVICE: &str = "engines";
pub(crate) const ZONE: &str = "zone-a";
/// Larger model with four servers a group, and smaller one with two.
pub(crate) const LARGE: &str = "large";
pub(crate) const SMALL: &str = "small";
/// Step of the simulated time.
const STEP: Millis = Millis(50);
/// Time until a change of a server shows in the registrations.
const LAG: Millis = Millis(300);
/// Time until the registration of a dead server lapses.
const LAPSE: Millis = Millis(3_000);

/// How orders travel.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Trouble {
    /// Every so many orders, one is carried out late and not answered.
    pub(crate) late_every: Option<u64>,
    /// Every so many orders, one is carried out and not answered.
    pub(crate) unanswered_every: Option<u64>,
    /// Varies how late orders are.
    pub(crate) seed: u64,
}

#[derive(Clone, Debug)]
struct Host {
    domain: CompactString,
    orders: u64,
    membership: Option<Membership>,
    model: Option<CompactString>,
    last_model: Option<CompactString>,
    staged: Option<CompactString>,
    ready_at: Instant,
    staging: Option<(CompactString, Instant)>,
    dead_since: Option<Instant>,
    leaving: bool,
    /// Whether it never becomes ready.
    stuck: bool,
    /// Time since which neither the store nor orders are reached.
    cut_since: Option<Instant>,
    /// Open or closing since; closing ends after a second.
    closed_at: Option<Instant>,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// A group was opened of which a member had never been ready.
    Partial(CompactString),
    /// A server joined another group while the first member of its own one served.
    Two(CompactString),
}

pub(crate) struct World {
    pub(crate) engine: Engine,
    pub(crate) now: Instant,
    pub(crate) fleet: Fleet,
    pub(crate) has_traffic: bool,
    pub(crate) leaders: Vec<Planner>,
    pub(crate) violations: Vec<Violation>,
    pub(crate) loads: usize,
    hosts: BTreeMap<CompactString, Host>,
    ever_ready: BTreeSet<(CompactString, CompactString)>,
    members: BTreeMap<CompactString, Vec<CompactString>>,
    shown: Vec<(Instant, CompactString, Option<Server>)>,
    late: Vec<(Instant, Order)>,
    trouble: Trouble,
    sent: u64,
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

impl World {
    /// Creates a world with a number of servers in each domain, and one leader.
    pub(crate) fn new(domains: &[usize], trouble: Trouble) -> Self {
        let mut world = World {
            engine: engine(),
            now: Instant(1_000),
            fleet: Fleet::default(),
            has_traffic: false,
            leaders: Vec::new(),
            violations: Vec::new(),
            loads: 0,
            hosts: BTreeMap::new(),
            ever_ready: BTreeSet::new(),
            members: BTreeMap::new(),
            shown: Vec::new(),
            late: Vec::new(),
            trouble,
            sent: 0,
            next_fence: 1,
        };
        for (domain, count) in domains.iter().enumerate() {
            for number in 0..*count {
                world.add(&format!("s{domain}-{number}"), &format!("d{domain}"));
            }
        }
        world.elect();
        world
    }

    /// Creates a world whose models have groups of eight and four servers and equal shares; three
    /// servers of a domain of nineteen find no group.
    pub(crate) fn with_large_groups(domains: &[usize]) -> Self {
        let mut world = World::new(domains, Trouble::default());
        for (model, size) in world.engine.models.iter_mut().zip([8, 4]) {
            model.size = size;
            model.share = 0.5;
        }
        world
    }

    /// Adds an empty server.
    pub(crate) fn add(&mut self, id: &str, domain: &str) {
        let host = Host {
            domain: domain.into(),
            orders: 0,
            membership: None,
            model: None,
            last_model: None,
            staged: None,
            ready_at: self.now,
            staging: None,
            dead_since: None,
            leaving: false,
            stuck: false,
            cut_since: None,
            closed_at: None,
        };
        self.hosts.insert(id.into(), host);
        self.show(&id.into());
    }

    /// Adds a leader beside those that there are.
    pub(crate) fn elect(&mut self) {
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

    /// Keeps the free server that stands in first for a model from ever becoming ready.
    pub(crate) fn stick_first_spare(&mut self, model: &str) {
        let spare = self
            .hosts
            .values_mut()
            .find(|host| host.membership.is_none() && host.staged.as_deref() == Some(model));
        spare.expect("a free server holds the model").stuck = true;
    }

    /// Cuts a server off from the store and from orders; it goes on serving and answers questions.
    pub(crate) fn cut(&mut self, id: &str) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.cut_since = Some(self.now);
        }
    }

    /// Ends a cut.
    pub(crate) fn heal(&mut self, id: &str) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.cut_since = None;
        }
        self.show(&id.into());
    }

    /// Announces that a server leaves.
    pub(crate) fn drain(&mut self, id: &str) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.leaving = true;
        }
        self.show(&id.into());
    }

    /// Starts all servers of a domain anew; what lies in their memory stays.
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
                orders: 0,
                membership: None,
                model: None,
                last_model: None,
                staging: None,
                ..host
            };
            self.hosts.insert(id.clone(), host);
            self.show(&id);
        }
    }

    /// Names a member of a serving group of a model, the first one or another.
    pub(crate) fn member(&self, model: &str, rank: usize) -> CompactString {
        let targets = self.fleet.targets(SERVICE, Some(&self.engine));
        let target = targets
            .iter()
            .find(|target| target.model.as_deref() == Some(model))
            .expect("a group of the model serves");
        target.members[rank].clone()
    }

    /// Counts the serving groups of a model as nodes see them.
    pub(crate) fn serving(&self, model: &str) -> usize {
        let targets = self.fleet.targets(SERVICE, Some(&self.engine));
        targets
            .iter()
            .filter(|target| target.model.as_deref() == Some(model))
            .count()
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.advance_hosts();
            self.carry_out_late();
            self.update_fleet();
            for leader in 0..self.leaders.len() {
                self.plan(leader);
            }
        }
    }

    /// Lets time pass until a condition holds; returns the time that it took, if it came.
    pub(crate) fn until(&mut self, most: Millis, holds: impl Fn(&World) -> bool) -> Option<Millis> {
        let start = self.now;
        while self.now.since(start) < most {
            if holds(self) {
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
        };
        let decided = self.leaders[leader].plan(&view, self.now);
        for one in decided {
            match one {
                Task::Order { order, .. } => self.send(leader, &order),
                Task::Query { server, .. } => {
                    let report = match self.hosts.get(&server) {
                        Some(host) if host.dead_since.is_none() => Ok(Report {
                            accepted_orders: host.orders,
                            membership: host.membership.clone(),
                        }),
                        _ => Err(Error::unreachable("read report", &server, "dead")),
                    };
                    self.leaders[leader].record_report(&server, &report, self.now);
                }
            }
        }
    }

    fn send(&mut self, leader: usize, order: &Order) {
        self.sent += 1;
        let is_due = |every: Option<u64>| {
            every.is_some_and(|every| (self.sent + self.trouble.seed).is_multiple_of(every))
        };
        if is_due(self.trouble.late_every) {
            let delay = 2_000 + (self.sent * 1_337 + self.trouble.seed * 7_919) % 10_000;
            self.late.push((self.now + Millis(delay), order.clone()));
            let lost = Err(Error::indeterminate(
                "send order",
                &order.server,
                "no answer",
            ));
            self.leaders[leader].record_reply(order, &lost, self.now);
            return;
        }
        let is_unanswered = is_due(self.trouble.unanswered_every);
        let reply = self.carry_out(order);
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

    fn carry_out_late(&mut self) {
        let now = self.now;
        let (due, rest) = self.late.drain(..).partition(|(at, _)| *at <= now);
        self.late = rest;
        let due: Vec<(Instant, Order)> = due;
        for (_, order) in due {
            self.carry_out(&order);
        }
    }

    fn carry_out(&mut self, order: &Order) -> Option<Reply> {
        let host = self.hosts.get(&order.server)?;
        if host.dead_since.is_some() || host.cut_since.is_some() {
            return None;
        }
        if host.orders != order.accepted_orders {
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
        if reply != Reply::Conflict {
            let host = self.hosts.get_mut(&order.server)?;
            host.orders += 1;
            self.show(&order.server);
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
        if let Some(former) = host.membership.as_ref().map(|one| one.group.clone())
            && former != *group
            && matches!(self.head_state(&former), Some(State::Open | State::Closing))
        {
            self.violations.push(Violation::Two(id.clone()));
        }
        let described = self
            .engine
            .model(model)
            .expect("the model is known")
            .clone();
        let host = self.hosts.get_mut(id).expect("the host is there");
        let span = if host.last_model.as_ref() == Some(model) {
            Millis(200)
        } else if host.staged.as_ref() == Some(model) {
            // The host finishes the load that is under way first.
            let staging = host.staging.as_ref();
            let rest = staging.map_or(Millis(0), |(_, done)| done.since(self.now));
            Millis(rest.0 + described.warm_load_time.0)
        } else if self.has_traffic {
            self.loads += 1;
            host.staged = Some(model.clone());
            described.load_time
        } else {
            host.staged = Some(model.clone());
            Millis(described.load_time.0 / 10)
        };
        host.membership = Some(Membership {
            group: group.clone(),
            epoch,
            rank: members.iter().position(|one| one == id).unwrap_or_default(),
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
        let is_partial = members
            .iter()
            .any(|one| !self.ever_ready.contains(&(group.clone(), one.clone())));
        let host = self.hosts.get_mut(id).expect("the host is there");
        match &mut host.membership {
            Some(one) if one.group == *group && one.state == State::Ready => {
                one.state = State::Open;
            }
            Some(_) | None => return Reply::Conflict,
        }
        if is_partial {
            self.violations.push(Violation::Partial(group.clone()));
        }
        Reply::Begun
    }

    fn close(&mut self, id: &CompactString, group: &CompactString) -> Reply {
        let now = self.now;
        let host = self.hosts.get_mut(id).expect("the host is there");
        match &mut host.membership {
            Some(one) if one.group == *group && one.state == State::Open => {
                one.state = State::Closing;
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
            .is_some_and(|one| one.group == *group)
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
            if let Some((model, done)) = &host.staging
                && *done <= now
            {
                host.staged = Some(model.clone());
                host.staging = None;
                changed.push(id.clone());
            }
            let Some(membership) = &mut host.membership else {
                continue;
            };
            if membership.state == State::Joining && host.ready_at <= now && !host.stuck {
                membership.state = State::Ready;
                self.ever_ready
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
            self.show(&id);
        }
        let lapsed: Vec<CompactString> = self
            .hosts
            .iter()
            .filter(|(_, host)| {
                let silent_since = host.dead_since.or(host.cut_since);
                silent_since.is_some_and(|since| now.since(since) >= LAPSE)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            self.fleet.expire(&id, now);
        }
        self.fleet.refresh_absent(now);
    }

    /// Registers a server's state, which shows after a lag.
    fn show(&mut self, id: &CompactString) {
        let Some(host) = self.hosts.get(id).filter(|host| host.cut_since.is_none()) else {
            return;
        };
        let server = Server {
            id: id.clone(),
            service: SERVICE.into(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: ZONE.into(),
            draining: host.leaving,
            slots: 26,
            start_unix_ms: 1,
            domain: host.domain.clone(),
            staged: host.staged.iter().cloned().collect(),
            membership: host.membership.clone(),
        };
        self.shown.push((self.now + LAG, id.clone(), Some(server)));
    }

    fn update_fleet(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = self.shown.drain(..).partition(|(at, ..)| *at <= now);
        self.shown = rest;
        for (_, id, server) in due {
            let is_known = self.hosts.contains_key(&id);
            if let Some(server) = server.filter(|_| is_known) {
                self.fleet.register(server, now);
            }
        }
    }
}
