//! Runs one node with its stand-ins in this process, as the target of a load.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use jackdaw_core::catalog::{Model, Team};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::note::{Note, Section};
use jackdaw_core::time::SystemClock;
use jackdaw_core::token::Digest;
use jackdaw_core::units::{Millis, Revision};
use jackdaw_standin::engine;
use jackdaw_standin::fleet::{Batch, Fleet};
use jackdaw_standin::store::Memory;
use jackdawstair::control::release;
use jackdawstair::log;
use jackdawstair::node::{Node, Parts, wire_runtime};
use jackdawstair::policy::release::accept::Attempt;
use jackdawstair::settings::{Platform, Settings, Timing, Weights};
use slog::Level;
use tokio::runtime::Runtime;

use crate::client::Target;

/// Token of the team that sends the load.
pub(crate) const TOKEN: &str = "bench-team-token";
/// Model that the load asks for.
pub(crate) const MODEL: &str = "bench-model";
/// Availability zone.
const ZONE: &str = "bench-a";
/// Number of replica groups, of one VM each.
const GROUP_COUNT: u32 = 4;
/// Number of threads that serve callers.
const WORKER_THREADS: usize = 4;
/// Limit of the team's requests in flight and of its requests per second.
const TEAM_LIMIT: u32 = 1_000_000;
/// Interval between checks for formed groups.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Checks after which start-up fails.
const MAX_POLLS: usize = 400;

/// A node and the stand-ins of its backend servers.
pub(crate) struct LocalNode {
    node: Option<Node>,
    fleet: Fleet,
    _wire: Runtime,
}

impl LocalNode {
    /// Starts a node and waits until its groups report membership.
    ///
    /// # Errors
    ///
    /// Returns an error if a component cannot start or the groups don't form in time.
    pub(crate) fn start() -> Result<Self> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let batch = Batch {
            zone: ZONE.into(),
            domain: "bench-a/f1".into(),
            service: None,
            count: GROUP_COUNT,
        };
        let fleet = Fleet::start(any_port, &[batch], engine::Options::default())?;
        let clock = Arc::new(SystemClock::default());
        let store = Arc::new(Memory::new(clock.clone()));
        futures::executor::block_on(accept_note(store.as_ref()))?;
        let wire = wire_runtime()?;
        let parts = Parts {
            wire: wire.handle().clone(),
            store,
            clock,
            logger: log::json(Level::Error, "bench-a-1"),
            switch: Arc::default(),
        };
        let node = Node::start(&build_settings(fleet.list_address()), parts)?;
        let local = LocalNode {
            node: Some(node),
            fleet,
            _wire: wire,
        };
        for _ in 0..MAX_POLLS {
            if local.engines().len() == GROUP_COUNT as usize {
                return Ok(local);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(Error::unreachable(
            "form groups",
            "stand-ins",
            "groups did not form in time",
        ))
    }

    /// Returns the node as a target.
    pub(crate) fn node(&self) -> Vec<Target> {
        let node = self.node.as_ref().into_iter();
        node.map(|node| Target {
            address: node.callers(),
            group: CompactString::default(),
            generation: 0,
        })
        .collect()
    }

    /// Returns the engines that are ready members of a group as targets.
    pub(crate) fn engines(&self) -> Vec<Target> {
        let vms = self.fleet.list().vms();
        let engines = vms.iter().filter_map(|vm| {
            let report = self.fleet.engine(&vm.name)?.report();
            let membership = report.membership.filter(|_| report.ready)?;
            Some(Target {
                address: vm.address,
                group: membership.group,
                generation: membership.generation.0,
            })
        });
        engines.collect()
    }

    /// Stops the node and the stand-ins.
    pub(crate) fn stop(mut self) {
        if let Some(node) = self.node.take() {
            node.stop();
        }
    }
}

async fn accept_note(store: &Memory) -> Result<()> {
    let attempt = Attempt::new(build_note(), Revision(0), "bench", 0);
    let accepted = release::accept(store, attempt).await;
    match accepted.catalog {
        Some(_) => Ok(()),
        None => Err(Error::malformed(
            "accept note",
            "self",
            format!("{:?}", accepted.verdict),
        )),
    }
}

fn build_note() -> Note {
    let model = Model {
        name: MODEL.into(),
        version: "1".into(),
        vms_per_replica: 1,
        replicas: GROUP_COUNT,
        adapters: Vec::new(),
        zones: Vec::new(),
        priority: 1,
    };
    let team = Team {
        name: "bench".into(),
        token_sha256: vec![Digest::of(TOKEN.as_bytes())],
        weight: 1,
        requests_per_second: TEAM_LIMIT,
        concurrency: TEAM_LIMIT,
        priority: 0,
        deadline_ms: Millis::from_secs(60),
        allowed: Vec::new(),
    };
    Note {
        id: "bench-1".into(),
        models: Section {
            add: vec![model],
            ..Section::default()
        },
        teams: Section {
            add: vec![team],
            ..Section::default()
        },
        ..Note::default()
    }
}

fn build_settings(list_address: SocketAddr) -> Settings {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Settings {
        node: "bench-a-1".into(),
        region: "bench".into(),
        zone: ZONE.into(),
        zones: vec![ZONE.into()],
        callers: any_port,
        operators: any_port,
        peers: any_port,
        seeds: Vec::new(),
        peer_token: "bench-peer-token".into(),
        operator_tokens: Vec::new(),
        platform: Platform {
            store: Vec::new(),
            vms: list_address,
        },
        workers: WORKER_THREADS,
        log_level: Level::Error,
        engines_check_fence: true,
        weights: Weights {
            downtime: 1,
            stranded: 1,
        },
        timing: Timing::default(),
    }
}
