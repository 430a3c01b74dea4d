//! Runs one node with in-process stand-ins and a sample release note.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use jackdaw_core::errors::{Error, Result};
use jackdaw_core::note::Note;
use jackdaw_core::time::{Clock, SystemClock};
use jackdaw_core::token::Digest;
use jackdaw_core::units::{Millis, Revision};
use jackdaw_standin::engine;
use jackdaw_standin::fleet::{Batch, Fleet};
use jackdaw_standin::store::Memory;
use jackdawstair::control::release;
use jackdawstair::node::{Node, Parts, wire_runtime};
use jackdawstair::policy::release::accept::Attempt;
use jackdawstair::settings::{Operator, Platform, Role, Settings, Timing, Weights};
use jackdawstair::{log, stop};
use slog::Level;

/// Token of the demo's team.
const TEAM_TOKEN: &str = "demo-team-token";

/// Token of the demo's operator.
const OPERATOR_TOKEN: &str = "demo-operator-token";

/// Time between two tokens of the demo's engines.
const TOKEN_INTERVAL: Millis = Millis(5);

/// Release note of the demo.
const SAMPLE_NOTE: &str = include_str!("../../../examples/demo/note.yaml");

/// Addresses on which the demo's node listens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Options {
    /// Callers' port.
    pub(crate) callers: SocketAddr,
    /// Operators' port.
    pub(crate) operators: SocketAddr,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            callers: SocketAddr::from((Ipv4Addr::LOCALHOST, 7400)),
            operators: SocketAddr::from((Ipv4Addr::LOCALHOST, 7401)),
        }
    }
}

/// Runs the demo until a signal asks it to stop.
pub(crate) fn run(options: &Options) -> Result<()> {
    let signals = stop::Signals::install()?;
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let engine_options = engine::Options {
        token_interval: TOKEN_INTERVAL,
        ..engine::Options::default()
    };
    let fleet = Fleet::start(any_port, &sample_batches(), engine_options)?;
    let clock = Arc::new(SystemClock::default());
    let store = Arc::new(Memory::new(clock.clone()));
    futures::executor::block_on(accept_sample_note(store.as_ref(), clock.unix_millis()))?;
    let runtime = wire_runtime()?;
    let parts = Parts {
        wire: runtime.handle().clone(),
        store,
        clock,
        logger: log::json(Level::Warning, "demo-a-1"),
        switch: Arc::default(),
    };
    let node = Node::start(&node_settings(options, fleet.list_address()), parts)?;
    print_examples(options);
    signals.wait();
    node.stop();
    drop(fleet);
    Ok(())
}

fn sample_batches() -> Vec<Batch> {
    let batch = |domain: &str, service: Option<&str>, count| Batch {
        zone: "demo-a".into(),
        domain: domain.into(),
        service: service.map(Into::into),
        count,
    };
    vec![
        batch("demo-a/f1", None, 5),
        batch("demo-a/f2", None, 4),
        batch("", Some("sample-orders"), 2),
    ]
}

async fn accept_sample_note(store: &Memory, unix_ms: u64) -> Result<()> {
    let malformed = |error: String| Error::malformed("read sample note", "self", error);
    let note: Note =
        serde_saphyr::from_str(SAMPLE_NOTE).map_err(|error| malformed(error.to_string()))?;
    let attempt = Attempt::new(note, Revision(0), "demo", unix_ms);
    let accepted = release::accept(store, attempt).await;
    if accepted.catalog.is_none() {
        return Err(malformed(format!("{:?}", accepted.verdict)));
    }
    Ok(())
}

fn node_settings(options: &Options, vms: SocketAddr) -> Settings {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Settings {
        node: "demo-a-1".into(),
        region: "demo".into(),
        zone: "demo-a".into(),
        zones: vec!["demo-a".into()],
        callers: options.callers,
        operators: options.operators,
        peers: any_port,
        seeds: Vec::new(),
        peer_token: "demo-peer-token".into(),
        operator_tokens: vec![Operator {
            name: "demo".into(),
            token: Digest::of(OPERATOR_TOKEN.as_bytes()),
            role: Role::Write,
        }],
        platform: Platform {
            store: Vec::new(),
            vms,
        },
        workers: 2,
        log_level: Level::Warning,
        engines_check_fence: true,
        weights: Weights {
            downtime: 1,
            stranded: 1,
        },
        timing: Timing::default(),
    }
}

fn print_examples(options: &Options) {
    let callers = options.callers;
    println!(
        "jackdawstair demo: callers on {callers}, operators on {operators}

A whole answer:
  curl -s http://{callers}/v1/chat/completions -H 'authorization: Bearer {TEAM_TOKEN}' \\
    -H 'content-type: application/json' \\
    -d '{{\"model\":\"tile-match\",\"messages\":[{{\"role\":\"user\",\"content\":\"grey slate\"}}]}}'

A stream:
  curl -sN http://{callers}/v1/chat/completions -H 'authorization: Bearer {TEAM_TOKEN}' \\
    -H 'content-type: application/json' \\
    -d '{{\"model\":\"tile-match\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"grey slate\"}}]}}'

A shipment order, which runs at most once however often it is sent:
  curl -s http://{callers}/services/sample-orders/shipments -H 'authorization: Bearer {TEAM_TOKEN}' \\
    -H 'idempotency-key: order-1' -d '{{\"box\":7}}'

What the node decides and why, as it happens:
  curl -sN http://{operators}/admin/v1/decisions -H 'accept: text/event-stream' \\
    -H 'authorization: Bearer {OPERATOR_TOKEN}'

The same for people, and the state of the fleet:
  cargo run --release --bin jackdawctl -- --address {operators} --token {OPERATOR_TOKEN} watch
  cargo run --release --bin jackdawctl -- --address {operators} --token {OPERATOR_TOKEN} status

Stop with Ctrl-C.",
        operators = options.operators,
    );
}
