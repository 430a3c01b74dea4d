//! Takes part in the leader election of an availability zone and sends the planner's orders while
//! this node leads.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use compact_str::{CompactString, format_compact};
use jackdaw_core::backend::{Command, Order, Reply, Report, Server};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Change, Committed, Compare, Entry, Lease, Transaction, Write};
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Millis};
use jackdaw_policy::assembly::{self, Knowledge, Planner, Task, View};
use jackdaw_policy::demand;
use jackdaw_policy::grace_period::{self, GracePeriod};
use jackdaw_policy::lease::{Action, Election, Event, Options};
use slog::{info, warn};
use tokio::sync::watch;
use tokio::time;

use crate::demand::Allocations;
use crate::follow::{self, Subscriber};
use crate::node::Node;

/// Prefix of the keys in the store that nodes write.
const PREFIX: &str = "jackdawstair/";
/// Longest wait of a call after an outage of the store, so that a free leadership is taken within
/// seconds.
const WAIT_AFTER_OUTAGE: Millis = Millis(2_000);
/// Longest pause between two runs of the planner.
const PLAN_INTERVAL: Millis = Millis(100);
/// Upper bound, in milliseconds, of a node's random delay before it runs for a free leadership.
const MAX_CANDIDACY_DELAY_MS: u64 = 300;
/// Pause between two rounds of reports from the servers while the store is unavailable.
const REPORT_INTERVAL: Millis = Millis(400);
/// Number of consecutive missed reports from which a server is removed.
const MAX_MISSED_REPORTS: u32 = 2;
/// Bound on the drift between the clocks of the node and the store within one lease.
const MAX_CLOCK_DRIFT: Millis = Millis(100);
/// Pause before a failed call of the election is retried.
const RETRY_DELAY: Millis = Millis(300);

/// State of this node's part in the leadership of its zone.
struct Leader {
    node: Rc<Node>,
    key: CompactString,
    election: Election,
    planners: HashMap<CompactString, Planner>,
    allocations: Allocations,
    grace_period: GracePeriod,
    /// Number of consecutive missed reports by server.
    missed_reports: HashMap<CompactString, u32>,
}

type Shared = Rc<RefCell<Leader>>;

/// Passes changes of the leader's key to the election.
struct KeySubscriber {
    node: Rc<Node>,
    leader: Shared,
    key: CompactString,
}

impl Subscriber for KeySubscriber {
    fn prefix(&self) -> CompactString {
        self.key.clone()
    }

    fn wait(&self) -> Millis {
        self.node.freshness.leader_wait()
    }

    fn rereads(&self) -> Option<watch::Receiver<u64>> {
        Some(self.node.freshness.leader_rereads())
    }

    fn wait_after_outage(&self) -> Millis {
        WAIT_AFTER_OUTAGE
    }

    fn replace(&mut self, entries: Vec<Entry>, revision: u64) {
        let entry = entries.into_iter().find(|entry| entry.key == self.key);
        handle_event(&self.leader, Event::Observed { entry, revision });
    }

    fn apply(&mut self, changes: Vec<Change>, _: u64) {
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
            handle_event(&self.leader, event);
        }
    }
}

/// Starts the tasks of the election, the planner and the reports in the node's zone.
pub(crate) fn start(node: &Rc<Node>) -> Handle {
    let zone = &node.options.zone;
    let key = format_compact!("{PREFIX}leader/{zone}");
    let options = Options {
        node: node.options.node.clone(),
        zone: zone.clone(),
        ttl: node.options.lease,
        clock_margin: MAX_CLOCK_DRIFT,
        order_timeout: Millis(0),
        retry_delay: RETRY_DELAY,
        candidacy_delay: Millis(fastrand::u64(0..MAX_CANDIDACY_DELAY_MS)),
        // A server executes an order only if it has accepted no other order since the order was
        // decided, so a new leader need not wait for orders of a former one.
        engines_check_fence: true,
    };
    let leader = Rc::new(RefCell::new(Leader {
        node: Rc::clone(node),
        key: key.clone(),
        election: Election::new(options),
        planners: HashMap::new(),
        allocations: Allocations::default(),
        grace_period: GracePeriod::default(),
        missed_reports: HashMap::new(),
    }));
    let subscriber = KeySubscriber {
        node: Rc::clone(node),
        leader: Rc::clone(&leader),
        key,
    };
    ntex::rt::spawn(follow::follow(Rc::clone(node), subscriber));
    ntex::rt::spawn(run_planner(Rc::clone(&leader)));
    ntex::rt::spawn(poll_reports(Rc::clone(&leader)));
    Handle { leader }
}

/// Gives access to the running election.
pub(crate) struct Handle {
    leader: Shared,
}

impl Handle {
    /// Resigns from the leadership, so that another node can take it at once.
    pub(crate) fn resign(&self) {
        handle_event(&self.leader, Event::Resign);
    }
}

async fn run_planner(leader: Shared) {
    let node = Rc::clone(&leader.borrow().node);
    loop {
        let notified = node.state_changed.notified();
        // A tick without changes handles time-outs.
        let _ = time::timeout(PLAN_INTERVAL.duration(), notified).await;
        handle_event(&leader, Event::Tick);
        plan_orders(&leader);
    }
}

impl Leader {
    /// Returns the fencing number under which this node may send orders now, if it may.
    ///
    /// While the store answers no node of the zone, the last leader continues: no other leader can
    /// be elected, and servers reject orders that conflict with those of a later leader.
    fn fence(&self, now: Instant) -> Option<Fence> {
        if let Some(authority) = self.election.authority(now) {
            return authority.may_order(now).then_some(authority.fence);
        }
        let fence = self.grace_period.fence(now)?;
        let node = &self.node;
        let is_store_reachable = node
            .peer_loads()
            .borrow()
            .is_store_seen(&node.options.zone, now);
        (node.has_stale_registrations() && !is_store_reachable).then_some(fence)
    }
}

/// Polls the reports of the zone's servers while this node leads in the grace period, since the
/// store sends no registrations then.
///
/// A leader also polls the servers that were set aside because they did not answer, until they answer or
/// the store tells that they are gone: their registrations do not change when they are reached again.
async fn poll_reports(shared: Shared) {
    let node = Rc::clone(&shared.borrow().node);
    loop {
        time::sleep(REPORT_INTERVAL.duration()).await;
        if !node.is_leading.get() {
            shared.borrow_mut().missed_reports.clear();
            continue;
        }
        let unreachable = unreachable_servers(&node);
        let mut changed = false;
        for (server, report) in poll(&node, &unreachable).await {
            changed |= take_back(&node, server, report);
        }
        if node.in_grace_period.get() {
            changed |= poll_registered(&shared, &node).await;
        } else {
            shared.borrow_mut().missed_reports.clear();
        }
        if changed {
            node.update_targets();
        }
    }
}

/// Polls servers at the same time and returns them with their reports.
async fn poll<'a>(node: &Node, servers: &'a [Server]) -> Vec<(&'a Server, Result<Report>)> {
    let orders = &node.parts.orders;
    let reports = servers
        .iter()
        .map(|server| async { orders.poll_report(&server.id, server.address).await });
    let reports = futures::future::join_all(reports).await;
    servers.iter().zip(reports).collect()
}

/// Returns the servers of the zone that were set aside because they did not answer.
fn unreachable_servers(node: &Node) -> Vec<Server> {
    let fleet = node.fleet.borrow();
    let servers = fleet.unreachable_servers().map(|(server, _)| server);
    let local = servers.filter(|server| server.zone == node.options.zone);
    local.cloned().collect()
}

/// Takes a server back that answers again, and returns whether it did.
fn take_back(node: &Node, server: &Server, report: Result<Report>) -> bool {
    let Ok(report) = report else {
        return false;
    };
    // Another incarnation at the address says nothing of the one that is registered.
    let start = report.start_unix_ms;
    if start.is_some_and(|start| start != server.start_unix_ms) {
        return false;
    }
    let mut fleet = node.fleet.borrow_mut();
    let known = fleet.unreachable(&server.id);
    if known.is_none_or(|known| known.start_unix_ms != server.start_unix_ms) {
        return false;
    }
    fleet.take_back(&server.id);
    fleet.apply_report(&server.id, report.membership, node.now());
    node.record_change(&server.id);
    info!(node.logger(), "server that had missed reports answers again"; "server" => %server.id);
    true
}

/// Polls the registered servers of the zone, and returns whether anything changed.
async fn poll_registered(shared: &Shared, node: &Node) -> bool {
    let servers: Vec<Server> = node
        .fleet
        .borrow()
        .servers()
        .filter(|server| server.zone == node.options.zone && !server.domain.is_empty())
        .cloned()
        .collect();
    let reports = poll(node, &servers).await;
    let answered = reports.iter().filter(|(_, report)| report.is_ok()).count();
    if !grace_period::is_conclusive(servers.len(), answered) {
        warn!(node.logger(), "reports say nothing of the servers, since hardly any arrived";
            "servers" => servers.len(), "answered" => answered);
        return false;
    }
    let mut changed = false;
    for (server, report) in reports {
        changed |= record_report(shared, node, server, report);
    }
    changed
}

/// Applies a report to the fleet or counts a missed one, and returns whether anything changed.
///
/// What became known of the server since the report was asked for is newer.
fn record_report(shared: &Shared, node: &Node, server: &Server, report: Result<Report>) -> bool {
    let now = node.now();
    let known = node.fleet.borrow().server(&server.id).cloned();
    let is_same = |known: &Server| {
        known.start_unix_ms == server.start_unix_ms && known.address == server.address
    };
    if !known.as_ref().is_some_and(is_same) {
        shared.borrow_mut().missed_reports.remove(&server.id);
        return false;
    }
    match report {
        Ok(report) => {
            shared.borrow_mut().missed_reports.remove(&server.id);
            if known.is_some_and(|known| known.membership != server.membership) {
                return false;
            }
            let mut fleet = node.fleet.borrow_mut();
            let changed = fleet.apply_report(&server.id, report.membership, now);
            if changed {
                node.record_change(&server.id);
            }
            changed
        }
        Err(error) => {
            let mut leader = shared.borrow_mut();
            let missed = leader.missed_reports.entry(server.id.clone()).or_default();
            *missed += 1;
            if *missed < MAX_MISSED_REPORTS {
                return false;
            }
            info!(node.logger(),
                "server removed after missed reports while the store is unavailable";
                "server" => %server.id, "error" => %error);
            node.fleet.borrow_mut().set_unreachable(&server.id, now)
        }
    }
}

/// Runs the planners of all services with engines while this node leads.
fn plan_orders(shared: &Shared) {
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
        let Leader {
            planners,
            allocations,
            ..
        } = &mut *leader;
        let planner = planners.entry(service.name.clone()).or_insert_with(|| {
            let options = assembly::Options {
                zone: node.options.zone.clone(),
                zones: node.options.zones.len(),
                ..assembly::Options::default()
            };
            Planner::new(options, fence.0)
        });
        let tasks = {
            let fleet = node.fleet.borrow();
            let shares = allocations.update(&node, service);
            let unix_ms = node.parts.clock.unix_millis();
            let stalled = node.targets.borrow().stalled_groups(now);
            let view = View {
                fleet: &fleet,
                service: &service.name,
                engine,
                has_traffic: node.has_traffic.get(),
                stalled: &stalled,
                is_evacuated: node.evacuations.is_evacuated(&node.options.zone),
                shares,
                has_turn: demand::has_turn(&node.options.zones, &node.options.zone, unix_ms),
            };
            planner.plan(&view, now)
        };
        for task in tasks {
            execute(shared, &node, service.name.clone(), task);
        }
    }
}

fn execute(shared: &Shared, node: &Rc<Node>, service: CompactString, task: Task) {
    let (shared, node) = (Rc::clone(shared), Rc::clone(node));
    ntex::rt::spawn(async move {
        match task {
            Task::Order {
                order,
                cause,
                knowledge,
            } => {
                let sent = node.now();
                let reply = node.parts.orders.order(&order).await;
                let now = node.now();
                log_order(&node, &order, cause, &knowledge, &reply, now.since(sent));
                node.histograms
                    .record_order(order.command.label(), now.since(sent));
                if let (Command::Leave { .. }, Ok(Reply::Done)) = (&order.command, &reply) {
                    // The order has taken effect, although the registration may show it later.
                    node.fleet
                        .borrow_mut()
                        .apply_membership(&order.server, None, now);
                    node.record_change(&order.server);
                    node.update_targets();
                }
                if let Some(planner) = shared.borrow_mut().planners.get_mut(&service) {
                    planner.record_reply(&order, &reply, now);
                }
            }
            Task::Query { server, address } => {
                let report = node.parts.orders.report(&server, address).await;
                if let Err(error) = &report {
                    info!(node.logger(), "report could not be read";
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

fn log_order(
    node: &Node,
    order: &Order,
    cause: &'static str,
    knowledge: &Knowledge,
    reply: &Result<Reply>,
    took: Millis,
) {
    let outcome = match reply {
        Ok(reply) => format!("{reply:?}"),
        Err(error) => error.to_string(),
    };
    info!(node.logger(), "order given";
        "server" => %order.server,
        "after" => order.accepted_orders,
        "known_by" => knowledge.basis.label(),
        "known_ms" => knowledge.age.0,
        "group" => knowledge.group.as_deref(),
        "command" => order.command.label(),
        "target" => ?order.command,
        "cause" => cause,
        "outcome" => outcome,
        "took_ms" => took.0);
}

/// Passes an event to the election and performs the resulting actions.
fn handle_event(shared: &Shared, event: Event) {
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
        perform(shared, action);
    }
}

fn perform(shared: &Shared, action: Action) {
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
                leader.allocations.clear();
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
                if let Some(event) = call_store(&node, &key, action).await {
                    handle_event(&shared, event);
                }
            });
        }
    }
}

/// Performs a call of the store for the election and returns its event, if there is one.
async fn call_store(node: &Node, key: &CompactString, action: Action) -> Option<Event> {
    let store = &node.parts.store;
    let sent = node.now();
    let event = match action {
        Action::Grant(ttl) => Event::Granted(sent, store.grant(ttl).await),
        Action::Create(lease) => Event::Created(sent, create_key(node, key, lease).await),
        Action::Read => Event::Read(sent, store.get(key).await),
        Action::Renew(lease) => Event::Renewed(sent, store.renew(lease).await),
        Action::Revoke(lease) => {
            if let Err(error) = store.revoke(lease).await {
                warn!(node.logger(), "lease could not be revoked and will expire";
                    "error" => %error);
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
        log_failed_call(node, error);
    }
    Some(event)
}

fn log_failed_call(node: &Node, error: &Error) {
    warn!(node.logger(), "call of the election failed"; "error" => %error);
}

async fn create_key(node: &Node, key: &CompactString, lease: Lease) -> Result<Committed> {
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
