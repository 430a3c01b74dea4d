//! The control thread: takes events, steps the state and carries actions out.

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
use crate::courier::Courier;
use crate::event::Event;
use crate::follow::{self, Duty, Pace};
use crate::leader::{self, Keys};
use crate::metrics::Metrics;
use crate::network::{Joined, Network};
use crate::options::Options;
use crate::order;
use crate::probe::Prober;
use crate::state::{Action, State, zone};

/// Time between two looks at what the overlay has due.
const SPREAD_CHECK: Millis = Millis(50);

/// Longest wait while no part has subscribed.
const IDLE: Millis = Millis(1_000);

/// Clients that live on the control thread.
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

/// Makes the clients on the control thread.
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
    /// Takes decisions for operators who follow them.
    pub feed: Feed,
    /// Counters.
    pub metrics: Metrics,
    /// Where other nodes are reached, unless this node runs alone.
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
    peers: Option<SocketAddr>,
    thread: Option<JoinHandle<()>>,
}

impl Control {
    /// Starts the control thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
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
        let peers = joined.as_ref().map(Joined::address);
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                System::new("control", DefaultRuntime).block_on(async move {
                    let clients = match connect().await {
                        Ok(clients) => clients,
                        Err(error) => {
                            error!(shared.logger, "control thread has no clients"; "error" => %error);
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
            peers,
            thread: Some(thread),
        })
    }

    /// Gets the channel for events.
    #[must_use]
    pub fn events(&self) -> &UnboundedSender<Event> {
        &self.events
    }

    /// Gets the bound address of the peers' port, unless the node runs alone.
    #[must_use]
    pub fn peers(&self) -> Option<SocketAddr> {
        self.peers
    }

    /// Makes the node unready; the control thread goes on.
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

/// Runs on the control thread.
struct Driver {
    options: Options,
    shared: Shared,
    prober: Prober,
    orders: order::Sender,
    leader: leader::Caller,
    inventory: Rc<dyn Inventory>,
    events: UnboundedSender<Event>,
    timers: timer::Queue<Part>,
}

/// Parts of the control thread that subscribe to the timer service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Part {
    /// Reads the VM list.
    List,
    /// Probes the engines.
    Probe,
    /// Plans and sends orders.
    Plan,
    /// Spreads changes between nodes.
    Spread,
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
        let leader = leader::Caller::new(
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
        let courier = self.courier(joined, &mut state);
        let (duty, duties) = watch::channel(state.catalog_assignment(self.shared.clock.now()));
        self.spawn_follower(duties);
        self.spawn_zone_follower();
        self.spawn_entry(entry_events);
        self.subscribe();
        while let Some(event) = self.next_event(&mut receiver, &state).await {
            let end = matches!(event, Event::End);
            if let Event::Probed { vm, .. } = &event {
                self.prober.ended(vm);
            }
            let now = self.shared.clock.now();
            for action in state.step(event, now, self.shared.clock.unix_millis()) {
                self.carry_out(action, &mut state, &courier);
            }
            duty.send_if_modified(|duty| {
                let before = std::mem::replace(duty, state.catalog_assignment(now));
                before != *duty
            });
            if end {
                break;
            }
        }
        self.leader.finish().await;
    }

    /// Subscribes every part to its period.
    fn subscribe(&mut self) {
        let now = self.shared.clock.now();
        let timers = &mut self.timers;
        timers.schedule_every(Part::List, now, self.options.list_interval);
        timers.schedule_every(Part::Probe, now, self.options.probe_interval);
        timers.schedule_every(Part::Plan, now, self.options.plan_interval);
        timers.schedule_every(Part::Spread, now, SPREAD_CHECK);
        // The first list is read at once.
        timers.schedule_once(Part::List, now);
    }

    /// Waits for the next event and serves the timers that are due in between.
    async fn next_event(
        &mut self,
        receiver: &mut UnboundedReceiver<Event>,
        state: &State,
    ) -> Option<Event> {
        loop {
            let now = self.shared.clock.now();
            for due in self.timers.advance(now) {
                self.serve(due.subscriber, state);
            }
            let pause = self
                .timers
                .next_at()
                .map_or(IDLE, |at| at.since(self.shared.clock.now()));
            tokio::select! {
                event = receiver.recv() => return event,
                () = tokio::time::sleep(pause.duration()) => {}
            }
        }
    }

    fn serve(&mut self, part: Part, state: &State) {
        match part {
            Part::List => self.read_list(),
            Part::Probe => self.prober.probe(state.engines()),
            Part::Plan => {
                let _ = self.events.send(Event::PlanTick);
            }
            Part::Spread => {
                let _ = self.events.send(Event::GossipTick);
            }
        }
    }

    /// Creates the courier and lets the state reach other nodes.
    fn courier(&self, joined: Option<Joined>, state: &mut State) -> Courier {
        let transport = joined.map(|joined| {
            state.join_overlay(joined.overlay);
            Arc::new(joined.transport)
        });
        Courier {
            node: self.options.node.to_string(),
            transport,
            store: Arc::clone(&self.shared.store),
            clock: Arc::clone(&self.shared.clock),
            events: self.events.clone(),
            logger: self.shared.logger.clone(),
        }
    }

    fn carry_out(&self, action: Action, state: &mut State, courier: &Courier) {
        match action {
            Action::SendOrder(vm, order, authority) => self.orders.send(vm, order, authority),
            Action::CallElection(action) => self.leader.elect(action),
            Action::ReadPlacement => self.leader.read_placement(),
            Action::WritePlacement(commit, authority) => self.leader.commit(commit, authority),
            Action::PublishSnapshot => {
                let clock = &self.shared.clock;
                let snapshot = state.snapshot(clock.now(), clock.unix_millis());
                self.shared.metrics.set_revision(state.catalog().revision);
                self.shared.snapshot.store(Arc::new(snapshot));
            }
            Action::PublishDecision(decision) => self.explain(decision),
            Action::StartJob(job) => courier.start(job),
        }
    }

    fn explain(&self, decision: Decision) {
        let subjects: Vec<String> = decision.subjects.iter().map(ToString::to_string).collect();
        info!(self.shared.logger, "decision";
            "sequence" => decision.sequence,
            "subjects" => subjects.join(" "),
            "cause" => %decision.cause,
            "taken" => %decision.taken);
        self.shared.feed.tell(decision);
    }

    fn read_list(&self) {
        let inventory = Rc::clone(&self.inventory);
        let events = self.events.clone();
        ntex::rt::spawn(async move {
            let _ = events.send(Event::VmList(inventory.vms().await));
        });
    }

    fn spawn_entry(&self, mut entry_events: UnboundedReceiver<jackdaw_entry::event::Event>) {
        let events = self.events.clone();
        ntex::rt::spawn(async move {
            while let Some(event) = entry_events.recv().await {
                let _ = events.send(Event::Entry(event));
            }
        });
    }

    fn spawn_zone_follower(&self) {
        let follower = leader::follow(
            Arc::clone(&self.shared.store),
            Keys::of(&self.options.zone),
            self.events.clone(),
            self.shared.logger.clone(),
        );
        ntex::rt::spawn(follower);
    }

    fn spawn_follower(&self, duties: watch::Receiver<Duty>) {
        let store = Arc::clone(&self.shared.store);
        let follower = follow::run(
            store,
            self.events.clone(),
            duties,
            Pace::default(),
            self.shared.logger.clone(),
        );
        ntex::rt::spawn(follower);
    }
}
