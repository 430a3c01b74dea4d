//! The running node: the control thread, the callers' and operators' ports, and their shared state.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use arc_swap::ArcSwap;
use jackdaw_control::admin::feed::Feed;
use jackdaw_control::admin::handle::Handle as AdminHandle;
use jackdaw_control::admin::server::{Context, Server as AdminServer};
use jackdaw_control::metrics::Metrics;
use jackdaw_control::network::Network;
use jackdaw_control::options::Options;
use jackdaw_control::peer::partition::Partition;
use jackdaw_control::runtime::{self, Clients, Connect, Control};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::Store;
use jackdaw_core::time::Clock;
use jackdaw_core::units::Millis;
use jackdaw_entry::limits::Limits;
use jackdaw_entry::once;
use jackdaw_entry::server::Server;
use jackdaw_entry::shared;
use jackdaw_platform::http::Bounds;
use jackdaw_platform::{engine, inventory};
use jackdaw_policy::plan;
use slog::{Logger, info, warn};
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::mpsc::unbounded_channel;

use crate::recorder::Recorder;
use crate::settings::{STOP_RESERVE, Settings, Timing, Weights};

/// Longest time for opening a connection to an engine or to the VM list.
const CONNECT_TIMEOUT: Millis = Millis(1_000);

/// Largest VM list in bytes.
const MAX_VM_LIST_BYTES: usize = 4 << 20;

/// Largest report of an engine in bytes.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Number of threads for the connections to other nodes and to the key-value service.
const WIRE_THREADS: usize = 2;

/// Creates the runtime of the connections to other nodes and to the key-value service.
///
/// # Errors
///
/// Returns an error if its threads cannot be started.
pub fn wire_runtime() -> Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(WIRE_THREADS)
        .thread_name("wire")
        .enable_all()
        .build()
        .map_err(|error| Error::unreachable("start runtime", "self", error))
}

/// Services of the environment that a node uses.
#[derive(Clone)]
pub struct Parts {
    /// Key-value service of the platform.
    pub store: Arc<dyn Store>,
    /// Source of the time.
    pub clock: Arc<dyn Clock>,
    /// Runtime of the connections to other nodes and of the recorder.
    pub wire: Handle,
    /// Logger of every part of the node.
    pub logger: Logger,
    /// Switch with which tests cut the node off from other nodes.
    pub switch: Arc<Partition>,
}

impl fmt::Debug for Parts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Parts").finish_non_exhaustive()
    }
}

/// A running node of the fleet.
#[derive(Debug)]
pub struct Node {
    control: Control,
    server: Server,
    admin: AdminServer,
    recorder: Recorder,
    logger: Logger,
}

impl Node {
    /// Starts the threads of a node and binds its ports.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound or a thread cannot be started.
    pub fn start(settings: &Settings, parts: Parts) -> Result<Node> {
        let snapshot = Arc::new(ArcSwap::default());
        let metrics = Metrics::new()?;
        let feed = Feed::default();
        let (entry_events, entry_event_receiver) = unbounded_channel();
        let limits = Arc::new(Limits::new(&settings.node, Arc::clone(&parts.clock)));
        let control = Control::start(
            control_options(settings),
            runtime::Shared {
                snapshot: Arc::clone(&snapshot),
                store: Arc::clone(&parts.store),
                clock: Arc::clone(&parts.clock),
                logger: parts.logger.clone(),
                feed: feed.clone(),
                metrics: metrics.clone(),
                network: Some(peer_network(settings, &parts, Arc::clone(&limits))),
            },
            platform_connector(settings.platform.vms, settings.timing),
            entry_event_receiver,
        )?;
        let shared = shared::Shared::new(
            snapshot,
            entry_events,
            parts.clock,
            parts.store,
            &settings.node,
            shared::Options {
                workers: settings.workers,
                grace_period: requests_grace(settings.timing),
                once: once_options(settings.timing),
                ..shared::Options::default()
            },
            &metrics.meter("jackdaw-entry"),
        )
        .with_limits(limits);
        let recorder = Recorder::start(&parts.wire, &shared.ledger, parts.logger.clone());
        let callers_address = settings.callers.to_string();
        let server = Server::start(Arc::new(shared), settings.callers)
            .map_err(|error| Error::unreachable("bind callers' port", &callers_address, error))?;
        let site = Context {
            handle: AdminHandle::new(control.events().clone(), feed),
            operators: settings.operator_tokens.as_slice().into(),
            metrics,
        };
        let admin = AdminServer::start(settings.operators, site)?;
        info!(parts.logger, "node started";
            "callers" => %server.address(),
            "operators" => %admin.address(),
            "peers" => control.peer_address().map(|peers| peers.to_string()));
        Ok(Node {
            control,
            server,
            admin,
            recorder,
            logger: parts.logger,
        })
    }

    /// Gets the bound address of the callers' port.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.server.address()
    }

    /// Gets the bound address of the operators' port.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Gets the bound address of the peers' port, or `None` if the node has none.
    #[must_use]
    pub fn peers(&self) -> Option<SocketAddr> {
        self.control.peer_address()
    }

    /// Stops the node: refuses new calls, waits for the calls in flight and ends the threads.
    pub fn stop(mut self) {
        info!(self.logger, "node stopping");
        // Readiness fails first, so that the load balancer sends no new calls.
        self.control.begin_stop();
        let unfinished = futures::executor::block_on(self.server.stop());
        if unfinished > 0 {
            warn!(self.logger, "grace period ended with requests in flight";
                "in_flight" => unfinished);
        }
        let unrecorded = self.recorder.stop();
        self.control.end();
        drop(self.admin);
        info!(self.logger, "node stopped"; "unrecorded_results" => unrecorded);
    }
}

fn control_options(settings: &Settings) -> Options {
    let timing = settings.timing;
    Options {
        node: settings.node.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        probe_interval: timing.probe_interval,
        max_report_age: timing.report_bound,
        list_interval: timing.list_interval,
        plan_interval: timing.plan_interval,
        leader_lease: timing.leader_lease,
        clock_margin: timing.clock_margin,
        order_timeout: timing.order_timeout,
        engines_check_fence: settings.engines_check_fence,
        plan: plan_options(settings.weights),
        ..Options::default()
    }
}

/// Returns the planner's options. If stranded accelerators have a weight, the planner frees the
/// surviving members of a broken group at once.
fn plan_options(weights: Weights) -> plan::Options {
    let base = if weights.stranded > 0 {
        plan::Options::for_downtime_and_stranded()
    } else {
        plan::Options::for_downtime()
    };
    let clamp = |weight: u64| u32::try_from(weight).unwrap_or(u32::MAX);
    plan::Options {
        weights: plan::Weights {
            downtime: clamp(weights.downtime),
            stranded: clamp(weights.stranded),
        },
        ..base
    }
}

fn peer_network(settings: &Settings, parts: &Parts, limits: Arc<Limits>) -> Network {
    Network {
        limits,
        runtime: parts.wire.clone(),
        listen: settings.peers,
        token: settings.peer_token.clone(),
        seeds: settings.seeds.clone(),
        round_interval: settings.timing.spread_interval,
        switch: Arc::clone(&parts.switch),
    }
}

/// Returns the time that requests in flight get when the node stops.
fn requests_grace(timing: Timing) -> Millis {
    Millis(timing.grace_period.0.saturating_sub(STOP_RESERVE.0))
}

fn once_options(timing: Timing) -> once::Options {
    let default = once::Options::default();
    once::Options {
        limits: once::Limits {
            dispatch_window: timing.dispatch_window,
            ..default.limits
        },
        retention: timing.key_retention,
        ..default
    }
}

fn platform_connector(vms: SocketAddr, timing: Timing) -> Connect {
    let bounds = move |answer_bytes| Bounds {
        connect: CONNECT_TIMEOUT,
        total: timing.order_timeout,
        answer_bytes,
    };
    Box::new(move || {
        Box::pin(async move {
            let engine = engine::Client::new(bounds(MAX_REPORT_BYTES)).await?;
            let inventory = inventory::Client::new(vms, bounds(MAX_VM_LIST_BYTES)).await?;
            Ok(Clients {
                engine: Rc::new(engine),
                inventory: Rc::new(inventory),
            })
        })
    })
}
