//! The control thread: receives events, steps the state and executes its actions.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;

use arc_swap::ArcSwap;
use jackdaw_core::decision::Decision;
use jackdaw_core::engine::Engine;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::inventory::Inventory;
use jackdaw_core::store::Store;
use jackdaw_core::time::Clock;
use jackdaw_core::timer;
use jackdaw_core::units::Millis;
use jackdaw_entry::snapshot::Snapshot;
use ntex::rt::{DefaultRuntime, System};
use slog::{Logger, error, info};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;

use crate::admin::feed::Feed;
use crate::catalog_follower::{self, Assignment, Timing};
use crate::event::Event;
use crate::job::Runner;
use crate::leader::{self, Keys};
use crate::metrics::Metrics;
use crate::network::{Joined, Network};
use crate::options::Options;
use crate::order;
use crate::probe::Prober;
use crate::state::{Action, State, zone};

/// Time between two checks for gossip work that is due.
const GOSSIP_CHECK_INTERVAL: Millis = Millis(50);

/// Wait for events while no timer is scheduled.
const MAX_IDLE_WAIT: Millis = Millis(1_000);

/// Clients that are used on the control thread only.
pub struct Clients {
    /// Reads reports and sends orders.
    pub engine: Rc<dyn Engine>,
    /// Reads the VM list.
    pub inventory: Rc<dyn Inventory>,
}

impl fmt::Debug for Clients {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clients").finish_non_exhaustive()
    }
}

/// Creates the clients on the control thread.
pub type Connect =
    Box<dyn FnOnce() -> futures::future::LocalBoxFuture<'static, Result<Clients>> + Send>;

/// What the control thread shares with the rest of the node.
#[derive(Clone)]
pub struct Shared {
    /// Snapshot that the request path reads.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Key-value service.
    pub store: Arc<dyn Store>,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Logger.
    pub logger: Logger,
    /// Passes decisions to the operators who follow them.
    pub feed: Feed,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// Connection settings for other nodes, unless this node runs alone.
    pub network: Option<Network>,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared").finish_non_exhaustive()
    }
}

/// A running control thread.
#[derive(Debug)]
pub struct Control {
    events: UnboundedSender<Event>,
    peer_address: Option<SocketAddr>,
    thread: Option<JoinHandle<()>>,
}

impl Control {
    /// Starts the control thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the peers' port cannot be bound or the thread cannot be started.
    pub fn start(
        options: Options,
        shared: Shared,
        connect: Connect,
        entry_events: UnboundedReceiver<jackdaw_entry::event::Event>,
    ) -> Result<Control> {
        let (events, receiver) = unbounded_channel();
        let sender = events.clone();
        let joined = match &shared.network {
            Some(network) => Some(network.join(&options, shared.clock.as_ref(), &events)?),
            None => None,
        };
        let peer_address = joined.as_ref().map(Joined::address);
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                System::new("control", DefaultRuntime).block_on(async move {
                    let clients = match connect().await {
                        Ok(clients) => clients,
                        Err(error) => {
                            error!(shared.logger, "connecting the clients failed"; "error" => %error);
                            return;
                        }
                    };
                    let driver = Driver::new(options, shared, clients, sender);
                    driver.run(receiver, entry_events, joined).await;
                });
            })
            .map_err(|error| Error::unreachable("start control thread", "self", error))?;
        Ok(Control {
            events,
            peer_address,
            thread: Some(thread),
        })
    }

    /// Gets the sender of the control thread's events.
    #[must_use]
    pub fn events(&self) -> &UnboundedSender<Event> {
        &self.events
    }

    /// Gets the bound address of the peers' port, unless the node runs alone.
    #[must_use]
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peer_address
    }

    /// Makes the node unready; the control thread continues to run.
    pub fn begin_stop(&self) {
        let _ = self.events.send(Event::Stop);
    }

    /// Ends the control thread and waits for it.
    pub fn end(&mut self) {
        let _ = self.events.send(Event::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Runs the event loop on the control thread.
struct Driver {
    options: Options,
    shared: Shared,
    prober: Prober,
    orders: order::Sender,
    leader: leader::Client,
    inventory: Rc<dyn Inventory>,
    events: UnboundedSender<Event>,
    timers: timer::Queue<Task>,
}

/// Periodic tasks of the control thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Task {
    /// Reads the VM list.
    ListVms,
    /// Probes the engines.
    Probe,
    /// Plans and sends orders.
    Plan,
    /// Exchanges gossip with other nodes.
    Gossip,
}

impl Driver {
    fn new(
        options: Options,
        shared: Shared,
        clients: Clients,
        events: UnboundedSender<Event>,
    ) -> Self {
        let prober = Prober::new(
            Rc::clone(&clients.engine),
            Arc::clone(&shared.clock),
            events.clone(),
        );
        let orders = order::Sender {
            engine: clients.engine,
            clock: Arc::clone(&shared.clock),
            events: events.clone(),
            logger: shared.logger.clone(),
        };
        let leader = leader::Client::new(
            &options.node,
            zone::placement_options(&options),
            Arc::clone(&shared.store),
            Arc::clone(&shared.clock),
            events.clone(),
        );
        Driver {
            options,
            shared,
            prober,
            orders,
            leader,
            inventory: clients.inventory,
            events,
            timers: timer::Queue::default(),
        }
    }

    async fn run(
        mut self,
        mut receiver: UnboundedReceiver<Event>,
        entry_events: UnboundedReceiver<jackdaw_entry::event::Event>,
        joined: Option<Joined>,
    ) {
        let mut state = State::new(self.options.clone());
        let runner = self.join_network(joined, &mut state);
        let (assignment, assignments) =
            watch::channel(state.catalog_assignment(self.shared.clock.now()));
        self.spawn_catalog_follower(assignments);
        self.spawn_key_follower();
        self.spawn_entry_forwarder(entry_events);
        self.subscribe();
        while let Some(event) = self.next_event(&mut receiver, &state).await {
            let is_last = matches!(event, Event::End);
            if let Event::Probed { vm, .. } = &event {
                self.prober.mark_ended(vm);
            }
            let now = self.shared.clock.now();
            for action in state.step(event, now, self.shared.clock.unix_millis()) {
                self.execute(action, &mut state, &runner);
            }
            assignment.send_if_modified(|assignment| {
                let before = std::mem::replace(assignment, state.catalog_assignment(now));
                before != *assignment
            });
            if is_last {
                break;
            }
        }
        self.leader.wait_for_revocations().await;
    }

    /// Schedules every periodic task.
    fn subscribe(&mut self) {
        let now = self.shared.clock.now();
        let timers = &mut self.timers;
        timers.schedule_every(Task::ListVms, now, self.options.list_interval);
        timers.schedule_every(Task::Probe, now, self.options.probe_interval);
        timers.schedule_every(Task::Plan, now, self.options.plan_interval);
        timers.schedule_every(Task::Gossip, now, GOSSIP_CHECK_INTERVAL);
        // The first VM list is read at once.
        timers.schedule_once(Task::ListVms, now);
    }

    /// Waits for the next event and starts the tasks that become due in the meantime.
    async fn next_event(
        &mut self,
        receiver: &mut UnboundedReceiver<Event>,
        state: &State,
    ) -> Option<Event> {
        loop {
            let now = self.shared.clock.now();
            for due in self.timers.advance(now) {
                self.start_task(due.subscriber, state);
            }
            let wait = self
                .timers
                .next_at()
                .map_or(MAX_IDLE_WAIT, |at| at.since(self.shared.clock.now()));
            tokio::select! {
                event = receiver.recv() => return event,
                () = tokio::time::sleep(wait.duration()) => {}
            }
        }
    }

    fn start_task(&mut self, task: Task, state: &State) {
        match task {
            Task::ListVms => self.read_vm_list(),
            Task::Probe => self.prober.probe(state.engines()),
            Task::Plan => {
                let _ = self.events.send(Event::PlanTick);
            }
            Task::Gossip => {
                let _ = self.events.send(Event::GossipTick);
            }
        }
    }

    /// Gives the state the overlay of a node that has joined others and creates the job runner.
    fn join_network(&self, joined: Option<Joined>, state: &mut State) -> Runner {
        let transport = joined.map(|joined| {
            state.join_overlay(joined.overlay);
            Arc::new(joined.transport)
        });
        Runner {
            node: self.options.node.to_string(),
            transport,
            store: Arc::clone(&self.shared.store),
            clock: Arc::clone(&self.shared.clock),
            events: self.events.clone(),
            logger: self.shared.logger.clone(),
        }
    }

    fn execute(&self, action: Action, state: &mut State, runner: &Runner) {
        match action {
            Action::SendOrder(vm, order, authority) => self.orders.send(vm, order, authority),
            Action::CallElection(action) => self.leader.start_election_call(action),
            Action::ReadPlacement => self.leader.read_placement(),
            Action::WritePlacement(commit, authority) => self.leader.commit(commit, authority),
            Action::PublishSnapshot => {
                let clock = &self.shared.clock;
                let snapshot = state.snapshot(clock.now(), clock.unix_millis());
                self.shared.metrics.set_revision(state.catalog().revision);
                self.shared.snapshot.store(Arc::new(snapshot));
            }
            Action::PublishDecision(decision) => self.publish_decision(decision),
            Action::StartJob(job) => runner.start(job),
        }
    }

    fn publish_decision(&self, decision: Decision) {
        let subjects: Vec<String> = decision.subjects.iter().map(ToString::to_string).collect();
        info!(self.shared.logger, "decision";
            "sequence" => decision.sequence,
            "subjects" => subjects.join(" "),
            "cause" => %decision.cause,
            "taken" => %decision.taken);
        self.shared.feed.publish(decision);
    }

    fn read_vm_list(&self) {
        let inventory = Rc::clone(&self.inventory);
        let events = self.events.clone();
        ntex::rt::spawn(async move {
            let _ = events.send(Event::VmList(inventory.vms().await));
        });
    }

    fn spawn_entry_forwarder(
        &self,
        mut entry_events: UnboundedReceiver<jackdaw_entry::event::Event>,
    ) {
        let events = self.events.clone();
        ntex::rt::spawn(async move {
            while let Some(event) = entry_events.recv().await {
                let _ = events.send(Event::Entry(event));
            }
        });
    }

    fn spawn_key_follower(&self) {
        let follower = leader::follow_keys(
            Arc::clone(&self.shared.store),
            Keys::of_zone(&self.options.zone),
            self.events.clone(),
            self.shared.logger.clone(),
        );
        ntex::rt::spawn(follower);
    }

    fn spawn_catalog_follower(&self, assignments: watch::Receiver<Assignment>) {
        let store = Arc::clone(&self.shared.store);
        let follower = catalog_follower::run(
            store,
            self.events.clone(),
            assignments,
            Timing::default(),
            self.shared.logger.clone(),
        );
        ntex::rt::spawn(follower);
    }
}
