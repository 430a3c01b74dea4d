//! Runs a gateway node on the users' platform.

use std::process::ExitCode;
use std::sync::Arc;
use std::{env, fs};

use jackdaw_adapter::settings::{PATH_VARIABLE, Settings};
use jackdaw_adapter::{Platform, order, store};
use jackdaw_gateway::node::{Exporter, Parts};
use jackdaw_gateway::options::Options;
use jackdaw_gateway::server;
use jackdaw_gateway::termination::Signals;
use jackdaw_link::client::Client;
use jackdaw_link::pool;
use jackdawstair::control::metrics::Metrics;
use jackdawstair::core::errors::{Error, Result};
use jackdawstair::core::time::SystemClock;
use jackdawstair::core::units::{Bytes, Millis};
use jackdawstair::log;
use slog::Level;

use crate::{EXIT_USAGE, report_failure};

/// Time to live of the leader's lease; an unresponsive leader is replaced after it.
const LEADER_LEASE: Millis = Millis(1_500);
/// Time limit for the response to an order; engines respond immediately.
const ORDER_TIMEOUT: Millis = Millis(600);
/// Largest answer of a server to an order, and largest report.
const MAX_ORDER_RESPONSE: Bytes = Bytes(64 << 10);
/// Size limit of a request's head until the configuration has been read.
const MAX_REQUEST_HEAD: Bytes = Bytes(16 << 10);

/// Runs a gateway node with the settings file that the environment variable names.
pub(crate) fn run() -> ExitCode {
    // Signals may come from the first moment on.
    let signals = match Signals::install() {
        Ok(signals) => signals,
        Err(error) => return report_failure(&error),
    };
    let settings = match read_settings() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("jackdawd: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match serve(&settings, signals) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_failure(&error),
    }
}

/// Reads the settings file that [`PATH_VARIABLE`] names.
///
/// # Errors
///
/// Returns an error if the variable is unset or the file is unreadable or malformed.
fn read_settings() -> Result<Settings> {
    let path = env::var(PATH_VARIABLE)
        .map_err(|error| Error::malformed("read settings", PATH_VARIABLE, error))?;
    let text = fs::read_to_string(&path)
        .map_err(|error| Error::unreachable("read settings", &path, error))?;
    Settings::parse(&text)
}

/// Serves requests until the process is told to terminate.
fn serve(settings: &Settings, signals: Signals) -> Result<()> {
    let logger = log::json_stdout(Level::Info, &settings.node);
    let metrics = Metrics::new()?;
    let store_exchange = Arc::new(Client::new("call store", pool::Options::default()));
    let order_exchange = Client::new("send order", pool::Options::default());
    let order_exchange = Arc::new(order_exchange.with_max_response(MAX_ORDER_RESPONSE));
    let store = store::Client::new(store_exchange, settings.store);
    let parts = Parts {
        protocol: Arc::new(Platform),
        change_feed: Arc::new(store.clone()),
        store: Arc::new(store),
        orders: Arc::new(order::Client::new(order_exchange, ORDER_TIMEOUT)),
        clock: Arc::new(SystemClock::default()),
        logger,
        meter: metrics.meter("jackdaw-gateway"),
        exporter: Arc::new(PrometheusExporter(metrics)),
    };
    let options = node_options(settings);
    let ports = server::Ports::bind(&options)?;
    let stop = signals.watch(Arc::clone(&parts.clock), parts.logger.clone())?;
    server::run(options, ports, parts, stop)
}

/// Renders the metrics in the text format of Prometheus.
struct PrometheusExporter(Metrics);

impl Exporter for PrometheusExporter {
    fn render(&self) -> Result<String> {
        self.0.render()
    }
}

/// Returns the node's options from its settings and the defaults of this program.
fn node_options(settings: &Settings) -> Options {
    Options {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        zones: settings.zones.clone(),
        callers: settings.callers,
        readiness: settings.readiness,
        peers: settings.peers,
        grace: settings.bounds.grace,
        retries: settings.bounds.retry_slack,
        retry_ratio: settings.bounds.retry_ratio,
        warmup_overshoot: settings.bounds.warmup_overshoot,
        warmup_slack: settings.bounds.warmup_slack,
        lease: LEADER_LEASE.max(settings.min_lease),
        drain: settings.bounds.drain,
        max_head: MAX_REQUEST_HEAD,
        memory: settings.memory,
    }
}
