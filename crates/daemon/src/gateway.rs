//! Starts a node on the users' platform.

use std::process::ExitCode;
use std::sync::Arc;
use std::{env, fs};

use jackdaw_adapter::settings::{PATH_VARIABLE, Settings};
use jackdaw_adapter::{Platform, order, store};
use jackdaw_gateway::node::{Exporter, Parts};
use jackdaw_gateway::options::Options;
use jackdaw_gateway::server;
use jackdaw_link::client::Client;
use jackdaw_link::pool;
use jackdawstair::control::metrics::Metrics;
use jackdawstair::core::errors::{Error, Result};
use jackdawstair::core::time::SystemClock;
use jackdawstair::core::units::{Bytes, Millis};
use jackdawstair::log;
use slog::Level;

use crate::{EXIT_USAGE, fail};

/// Time to live of a leader's lease; a frozen leader is replaced after it.
const LEASE: Millis = Millis(1_500);
/// Longest time for an order's answer; engines answer at once.
const ORDER_TIMEOUT: Millis = Millis(600);
/// Largest head of a request until the configuration is known.
const MAX_HEAD: Bytes = Bytes(16 << 10);
/// Runs a node with the settings file that the environment names.
pub(crate) fn run() -> ExitCode {
    let settings = match read() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("jackdawd: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match start(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn read() -> Result<Settings> {
    let path = env::var(PATH_VARIABLE)
        .map_err(|error| Error::malformed("read settings", PATH_VARIABLE, error))?;
    let text = fs::read_to_string(&path)
        .map_err(|error| Error::unreachable("read settings", &path, error))?;
    Settings::parse(&text)
}

fn start(settings: &Settings) -> Result<()> {
    let logger = log::json_stdout(Level::Info, &settings.node);
    let metrics = Metrics::new()?;
    let store_exchange = Arc::new(Client::new("call store", pool::Options::default()));
    let order_exchange = Arc::new(Client::new("send order", pool::Options::default()));
    let store = store::Client::new(store_exchange, settings.store);
    let parts = Parts {
        protocol: Arc::new(Platform),
        change_feed: Arc::new(store.clone()),
        store: Arc::new(store),
        orders: Arc::new(order::Client::new(order_exchange, ORDER_TIMEOUT)),
        clock: Arc::new(SystemClock::default()),
        logger,
        meter: metrics.meter("jackdaw-gateway"),
        exporter: Arc::new(Text(metrics)),
    };
    let options = options(settings);
    let ports = server::Ports::bind(&options)?;
    server::run(options, ports, parts, server::wait_for_termination())
}

/// Metrics as text for Prometheus.
struct Text(Metrics);

impl Exporter for Text {
    fn render(&self) -> Result<String> {
        self.0.render()
    }
}

fn options(settings: &Settings) -> Options {
    Options {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        zones: settings.zones.clone(),
        callers: settings.callers,
        readiness: settings.readiness,
        peers: settings.peers,
        grace: settings.bounds.grace,
        retries: settings.bounds.retry_slack,
        lease: LEASE.max(settings.min_lease),
        drain: settings.bounds.drain,
        max_head: MAX_HEAD,
    }
}
