//! The control thread: takes events, steps the state and carries actions out.

use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;

use arc_swap::ArcSwap;
use jackdaw_core::catalog::Catalog;
use jackdaw_core::decision::Decision;
use jackdaw_core::engine::Engine;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::inventory::{Inventory, Vm};
use jackdaw_core::order::Order;
use jackdaw_core::store::{Change, Store};
use jackdaw_core::time::Clock;
use jackdaw_core::units::Millis;
use jackdaw_entry::snapshot::Snapshot;
use ntex::rt::{DefaultRuntime, System};
use slog::{Logger, error, info, warn};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::event::Event;
use crate::options::Options;
use crate::state::{Action, State};

/// Key of the catalogue in the key-value service.
pub const CATALOG_KEY: &str = "/jackdaw/catalog";

/// Time before a lost watch is set up again.
const WATCH_RETRY: Millis = Millis(500);

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
                    driver.run(receiver, entry_events).await;
                });
            })
            .map_err(|error| Error::unreachable("start control thread", "self", error))?;
        Ok(Control {
            events,
            thread: Some(thread),
        })
    }

    /// Gets the channel for events.
    #[must_use]
    pub fn events(&self) -> &UnboundedSender<Event> {
        &self.events
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
    engine: Rc<dyn Engine>,
    inventory: Rc<dyn Inventory>,
    events: UnboundedSender<Event>,
}

impl Driver {
    fn new(
        options: Options,
        shared: Shared,
        clients: Clients,
        events: UnboundedSender<Event>,
    ) -> Self {
        Driver {
            options,
            shared,
            engine: clients.engine,
            inventory: clients.inventory,
            events,
        }
    }

    async fn run(
        self,
        mut receiver: UnboundedReceiver<Event>,
        entry_events: UnboundedReceiver<jackdaw_entry::event::Event>,
    ) {
        let mut state = State::new(self.options.clone());
        self.spawn_catalog_watch();
        self.spawn_list();
        self.spawn_entry(entry_events);
        self.spawn_plan();
        let mut next_probe = self.shared.clock.now();
        while let Some(event) = receiver.recv().await {
            let end = matches!(event, Event::End);
            let now = self.shared.clock.now();
            for action in state.step(event, now, self.shared.clock.unix_millis()) {
                self.carry_out(action, &mut state);
            }
            if now >= next_probe {
                next_probe = now + self.options.probe_interval;
                self.probe(&state);
            }
            if end {
                break;
            }
        }
    }

    fn carry_out(&self, action: Action, state: &mut State) {
        match action {
            Action::Order(vm, order) => self.send_order(vm, order),
            Action::Publish => {
                let snapshot = state.snapshot(self.shared.clock.now());
                self.shared.snapshot.store(Arc::new(snapshot));
            }
            Action::Explain(decision) => self.explain(&decision),
        }
    }

    fn explain(&self, decision: &Decision) {
        let subjects: Vec<String> = decision.subjects.iter().map(ToString::to_string).collect();
        info!(self.shared.logger, "decision";
            "sequence" => decision.sequence,
            "subjects" => subjects.join(" "),
            "cause" => %decision.cause,
            "taken" => %decision.taken);
    }

    fn send_order(&self, vm: Vm, order: Order) {
        let engine = Rc::clone(&self.engine);
        let logger = self.shared.logger.clone();
        ntex::rt::spawn(async move {
            if let Err(error) = engine.order(vm.address, &order).await {
                warn!(logger, "order failed"; "vm" => %vm.name, "error" => %error);
            }
        });
    }

    fn probe(&self, state: &State) {
        for vm in state.engines() {
            let engine = Rc::clone(&self.engine);
            let events = self.events.clone();
            let clock = Arc::clone(&self.shared.clock);
            let (vm, address) = (vm.name.clone(), vm.address);
            ntex::rt::spawn(async move {
                let sent = clock.now();
                let result = engine.report(address).await;
                let _ = events.send(Event::Probed {
                    vm,
                    address,
                    sent,
                    result,
                });
            });
        }
    }

    fn spawn_list(&self) {
        let inventory = Rc::clone(&self.inventory);
        let events = self.events.clone();
        let interval = self.options.list_interval;
        ntex::rt::spawn(async move {
            while events.send(Event::Vms(inventory.vms().await)).is_ok() {
                tokio::time::sleep(interval.duration()).await;
            }
        });
    }

    fn spawn_plan(&self) {
        let events = self.events.clone();
        let interval = self.options.plan_interval;
        ntex::rt::spawn(async move {
            while events.send(Event::Plan).is_ok() {
                tokio::time::sleep(interval.duration()).await;
            }
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

    fn spawn_catalog_watch(&self) {
        let store = Arc::clone(&self.shared.store);
        let events = self.events.clone();
        let logger = self.shared.logger.clone();
        ntex::rt::spawn(async move {
            while !events.is_closed() {
                if let Err(error) = follow_catalog(store.as_ref(), &events).await {
                    warn!(logger, "catalogue watch lost"; "error" => %error);
                }
                tokio::time::sleep(WATCH_RETRY.duration()).await;
            }
        });
    }
}

/// Reads the catalogue and follows its changes until the watch ends.
async fn follow_catalog(store: &dyn Store, events: &UnboundedSender<Event>) -> Result<()> {
    let entry = store.get(CATALOG_KEY).await?;
    let from = entry.as_ref().map_or(0, |entry| entry.mod_revision);
    if let Some(entry) = entry {
        let _ = events.send(Event::Catalog(parse(&entry.value)?));
    }
    let mut watch = store.watch(CATALOG_KEY, from + 1).await?;
    while let Some(changes) = watch.next().await {
        for change in changes {
            if let Change::Put(entry) = change {
                let _ = events.send(Event::Catalog(parse(&entry.value)?));
            }
        }
    }
    Ok(())
}

fn parse(value: &[u8]) -> Result<Catalog> {
    serde_json::from_slice(value)
        .map_err(|error| Error::malformed("read catalogue", "key-value service", error))
}
