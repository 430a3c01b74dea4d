//! Leads an availability zone: wins the lease and gives the planner's orders.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use compact_str::{CompactString, format_compact};
use jackdaw_core::backend::{Command, Order, Reply, Report, Server};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Change, Committed, Compare, Entry, Lease, Transaction, Write};
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Millis};
use jackdaw_policy::assembly::{self, Planner, Task, View};
use jackdaw_policy::grace_period::GracePeriod;
use jackdaw_policy::lease::{Action, Election, Event, Options};
use slog::{info, warn};
use tokio::time;

use crate::follow::{self, Reader};
use crate::node::Node;

/// Prefix of the node's own keys in the store.
const PREFIX: &str = "jackdawstair/";
/// Time that a call waits for a change of the leader's key.
const WAIT: Millis = Millis(20_000);
/// Longest wait after the store was away: a leadership that is free is taken within seconds.
const WAIT_AFTER_ABSENCE: Millis = Millis(2_000);
/// Longest pause between two looks at the servers.
const TICK: Millis = Millis(100);
/// Longest time by which a node waits before it runs for a free leadership.
const MAX_STAGGER: u64 = 300;
/// Pause between two rounds of reports while the store is away.
const LOOK: Millis = Millis(400);
/// Reports in a row that a server may miss before it counts as gone.
const MISSED_REPORTS: u32 = 2;
/// Bound on how far the clocks of the node and the store drift apart within one lease.
const CLOCK_ERROR: Millis = Millis(100);
/// Pause before a failed call of the election is repeated.
const RETRY: Millis = Millis(300);

/// The leadership of one zone, as this node takes part in it.
struct Leader {
    node: Rc<Node>,
    key: CompactString,
    election: Election,
    planners: HashMap<CompactString, Planner>,
    grace_period: GracePeriod,
    /// Consecutive reports that did not come, by server.
    missed: HashMap<CompactString, u32>,
}

type Shared = Rc<RefCell<Leader>>;

/// Follows the leader's key.
struct Follower {
    leader: Shared,
    key: CompactString,
}

impl Reader for Follower {
    fn prefix(&self) -> CompactString {
        self.key.clone()
    }

    fn wait(&self) -> Millis {
        WAIT
    }

    fn wait_after_absence(&self) -> Millis {
        WAIT_AFTER_ABSENCE
    }

    fn replace(&mut self, entries: Vec<Entry>, revision: u64) {
        let entry = entries.into_iter().find(|entry| entry.key == self.key);
        step(&self.leader, Event::Observed { entry, revision });
    }

    fn apply(&mut self, changes: Vec<Change>) {
        for change in changes {
            let event = match change {
                Change::Put(entry) if entry.key == self.key => {
                    let revision = entry.mod_revision;
                    Event::Observed {
                        entry: Some(entry),
                        revision,
                    }
                }
                Change::Delete(key, revision) if key == self.key => Event::Observed {
                    entry: None,
                    revision,
                },
                Change::Put(_) | Change::Delete(..) => continue,
            };
            step(&self.leader, event);
        }
    }
}

/// Starts to take part in the election of the node's zone.
pub(crate) fn start(node: &Rc<Node>) -> Handle {
    let zone = &node.options.zone;
    let key = format_compact!("{PREFIX}leader/{zone}");
    let options = Options {
        node: node.options.node.clone(),
        zone: zone.clone(),
        ttl: node.options.lease,
        clock_margin: CLOCK_ERROR,
        order_timeout: Millis(0),
        retry_delay: RETRY,
        candidacy_delay: Millis(fastrand::u64(0..MAX_STAGGER)),
        // Servers carry an order out only if they have accepted no other order since it was
        // decided, so orders of a former leader need not be waited for.
        engines_check_fence: true,
    };
    let leader = Rc::new(RefCell::new(Leader {
        node: Rc::clone(node),
        key: key.clone(),
        election: Election::new(options),
        planners: HashMap::new(),
        grace_period: GracePeriod::default(),
        missed: HashMap::new(),
    }));
    let follower = Follower {
        leader: Rc::clone(&leader),
        key,
    };
    ntex::rt::spawn(follow::follow(Rc::clone(node), follower));
    ntex::rt::spawn(run(Rc::clone(&leader)));
    ntex::rt::spawn(look(Rc::clone(&leader)));
    Handle { leader }
}

/// Hands the leadership over.
pub(crate) struct Handle {
    leader: Shared,
}

impl Handle {
    /// Gives the leadership up, so that another node leads at once.
    pub(crate) fn resign(&self) {
        step(&self.leader, Event::Resign);
    }
}

async fn run(leader: Shared) {
    let node = Rc::clone(&leader.borrow().node);
    loop {
        let changed = node.state_changed.notified();
        // A tick without news lets time-outs pass.
        let _ = time::timeout(TICK.duration(), changed).await;
        step(&leader, Event::Tick);
        plan(&leader);
    }
}

impl Leader {
    /// Returns the fencing number under which this node may give orders now, if it may.
    ///
    /// While the store answers nobody of the zone, the last leader goes on: no other one can be
    /// elected, and orders that cross those of a later leader are refused by the servers.
    fn fence(&self, now: Instant) -> Option<Fence> {
        if let Some(authority) = self.election.authority(now) {
            return authority.may_order(now).then_some(authority.fence);
        }
        let fence = self.grace_period.fence(now)?;
        let node = &self.node;
        let is_elected_anew = node
            .peer_loads()
            .borrow()
            .is_store_seen(&node.options.zone, now);
        (node.has_stale_registrations() && !is_elected_anew).then_some(fence)
    }
}

/// Asks the servers of the zone for their reports while the store does not tell of them.
async fn look(shared: Shared) {
    let node = Rc::clone(&shared.borrow().node);
    loop {
        time::sleep(LOOK.duration()).await;
        if !node.in_grace_period.get() {
            shared.borrow_mut().missed.clear();
            node.dead_servers.borrow_mut().clear();
            continue;
        }
        let servers: Vec<Server> = node
            .fleet
            .borrow()
            .servers()
            .filter(|server| server.zone == node.options.zone && !server.domain.is_empty())
            .cloned()
            .collect();
        let reports = servers.iter().map(|server| {
            let orders = &node.parts.orders;
            async move { orders.report(&server.id, server.address).await }
        });
        let reports = futures::future::join_all(reports).await;
        let mut changed = false;
        for (server, report) in servers.iter().zip(reports) {
            changed |= take_report(&shared, &node, server, report);
        }
        if changed {
            node.update_targets();
        }
    }
}

/// Takes in a report, or its absence, and returns whether anything changed.
fn take_report(shared: &Shared, node: &Node, server: &Server, report: Result<Report>) -> bool {
    let now = node.now();
    match report {
        Ok(report) => {
            shared.borrow_mut().missed.remove(&server.id);
            node.fleet
                .borrow_mut()
                .apply_report(&server.id, report.membership, now)
        }
        Err(error) => {
            let mut leader = shared.borrow_mut();
            let missed = leader.missed.entry(server.id.clone()).or_default();
            *missed += 1;
            if *missed < MISSED_REPORTS {
                return false;
            }
            info!(node.logger(), "server does not answer while the store is away";
                "server" => %server.id, "error" => %error);
            node.dead_servers
                .borrow_mut()
                .insert(server.id.clone(), server.start_unix_ms);
            node.fleet.borrow_mut().remove(&server.id).is_some()
        }
    }
}

/// Lets the planner look at the servers while this node leads.
fn plan(shared: &Shared) {
    let mut leader = shared.borrow_mut();
    let node = Rc::clone(&leader.node);
    let now = node.now();
    let Some(index) = node.index() else {
        return;
    };
    let Some(fence) = leader.fence(now) else {
        node.in_grace_period.set(false);
        node.is_leading.set(false);
        return;
    };
    node.in_grace_period.set(node.has_stale_registrations());
    node.is_leading.set(true);
    for service in &index.configuration().services {
        let Some(engine) = &service.engine else {
            continue;
        };
        let planner = leader
            .planners
            .entry(service.name.clone())
            .or_insert_with(|| {
                let options = assembly::Options {
                    zone: node.options.zone.clone(),
                    zones: node.options.zones.len(),
                    ..assembly::Options::default()
                };
                Planner::new(options, fence.0)
            });
        let decided = {
            let fleet = node.fleet.borrow();
            let view = View {
                fleet: &fleet,
                service: &service.name,
                engine,
                has_traffic: node.has_traffic.get(),
            };
            planner.plan(&view, now)
        };
        for one in decided {
            give(shared, &node, service.name.clone(), one);
        }
    }
}

fn give(shared: &Shared, node: &Rc<Node>, service: CompactString, decided: Task) {
    let (shared, node) = (Rc::clone(shared), Rc::clone(node));
    ntex::rt::spawn(async move {
        match decided {
            Task::Order { order, cause } => {
                let sent = node.now();
                let reply = node.parts.orders.order(&order).await;
                let now = node.now();
                log(&node, &order, cause, &reply, now.since(sent));
                node.histograms
                    .record_order(order.command.label(), now.since(sent));
                if let (Command::Leave { .. }, Ok(Reply::Done)) = (&order.command, &reply) {
                    // The order takes effect at once, whenever the registration tells of it.
                    node.fleet
                        .borrow_mut()
                        .apply_membership(&order.server, None, now);
                    node.update_targets();
                }
                if let Some(planner) = shared.borrow_mut().planners.get_mut(&service) {
                    planner.record_reply(&order, &reply, now);
                }
            }
            Task::Query { server, address } => {
                let report = node.parts.orders.report(&server, address).await;
                if let Err(error) = &report {
                    info!(node.logger(), "server does not report";
                        "server" => %server, "error" => %error);
                }
                let now = node.now();
                if let Some(planner) = shared.borrow_mut().planners.get_mut(&service) {
                    planner.record_report(&server, &report, now);
                }
                node.state_changed.notify_waiters();
            }
        }
    });
}

fn log(node: &Node, order: &Order, cause: &'static str, reply: &Result<Reply>, took: Millis) {
    let outcome = match reply {
        Ok(reply) => format!("{reply:?}"),
        Err(error) => error.to_string(),
    };
    info!(node.logger(), "order given";
        "server" => %order.server,
        "after" => order.accepted_orders,
        "command" => order.command.label(),
        "target" => ?order.command,
        "cause" => cause,
        "outcome" => outcome,
        "took_ms" => took.0);
}

/// Takes an event in and carries out what follows.
fn step(shared: &Shared, event: Event) {
    let actions = {
        let mut leader = shared.borrow_mut();
        let now = leader.node.now();
        match &event {
            Event::Renewed(_, result) => leader.grace_period.finish_renewal(result.is_ok()),
            Event::Observed { .. } | Event::Granted(_, Ok(_)) | Event::Resign => {
                leader.grace_period.end();
            }
            Event::Tick
            | Event::Granted(_, Err(_))
            | Event::Created(..)
            | Event::Read(..)
            | Event::Superseded(_)
            | Event::Rejoin => {}
        }
        leader.election.step(event, now)
    };
    for action in actions {
        act(shared, action);
    }
}

fn act(shared: &Shared, action: Action) {
    let node = Rc::clone(&shared.borrow().node);
    let key = shared.borrow().key.clone();
    match action {
        Action::Acquired(authority) => {
            info!(node.logger(), "leadership won";
                "zone" => %node.options.zone, "fence" => authority.fence.0);
            let mut leader = shared.borrow_mut();
            leader.grace_period.end();
            for planner in leader.planners.values_mut() {
                planner.set_fence(authority.fence.0);
            }
            node.state_changed.notify_waiters();
        }
        Action::Lost(fence) => {
            info!(node.logger(), "leadership lost";
                "zone" => %node.options.zone, "fence" => fence.0);
            let mut leader = shared.borrow_mut();
            if !leader.grace_period.record_loss(fence, node.now()) {
                leader.planners.clear();
            }
        }
        Action::Explain(decision) => {
            info!(node.logger(), "decision"; "what" => ?decision);
        }
        Action::Grant(_)
        | Action::Create(_)
        | Action::Read
        | Action::Renew(_)
        | Action::Revoke(_) => {
            if let Action::Renew(_) = &action {
                shared.borrow_mut().grace_period.start_renewal();
            }
            let shared = Rc::clone(shared);
            ntex::rt::spawn(async move {
                if let Some(event) = call(&node, &key, action).await {
                    step(&shared, event);
                }
            });
        }
    }
}

/// Calls the store for the election.
async fn call(node: &Node, key: &CompactString, action: Action) -> Option<Event> {
    let store = &node.parts.store;
    let sent = node.now();
    let event = match action {
        Action::Grant(ttl) => Event::Granted(sent, store.grant(ttl).await),
        Action::Create(lease) => Event::Created(sent, create(node, key, lease).await),
        Action::Read => Event::Read(sent, store.get(key).await),
        Action::Renew(lease) => Event::Renewed(sent, store.renew(lease).await),
        Action::Revoke(lease) => {
            if let Err(error) = store.revoke(lease).await {
                warn!(node.logger(), "lease was not ended and lapses by itself"; "error" => %error);
            }
            return None;
        }
        Action::Acquired(_) | Action::Lost(_) | Action::Explain(_) => return None,
    };
    if let Event::Granted(_, Err(error))
    | Event::Created(_, Err(error))
    | Event::Read(_, Err(error))
    | Event::Renewed(_, Err(error)) = &event
    {
        warn_failed(node, error);
    }
    Some(event)
}

fn warn_failed(node: &Node, error: &Error) {
    warn!(node.logger(), "call of the election failed"; "error" => %error);
}

async fn create(node: &Node, key: &CompactString, lease: Lease) -> Result<Committed> {
    let transaction = Transaction {
        when: vec![Compare::Absent(key.clone())],
        then: vec![Write::Put {
            key: key.clone(),
            value: node.options.node.as_bytes().to_vec(),
            lease: Some(lease),
        }],
        otherwise: vec![key.clone()],
    };
    node.parts.store.commit(transaction).await
}
