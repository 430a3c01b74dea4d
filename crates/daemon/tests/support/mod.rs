//! Runs real daemons as child processes, and the stand-ins in the test's own process.

#![allow(dead_code, reason = "no test file uses the whole harness")]

pub(crate) mod caller;
pub(crate) mod node;
pub(crate) mod placement;

use std::net::{Ipv4Addr, SocketAddr};

use jackdaw_core::note::Note;
use jackdaw_core::token::Digest;
use jackdaw_core::units::{Millis, Revision};
use jackdaw_standin::engine;
use jackdaw_standin::fleet::Batch;
use jackdaw_standin::platform::{Addresses, Plan, Platform};
use jackdawstair::control::release;
use jackdawstair::policy::release::accept::Attempt;

pub(crate) use caller::Caller;
pub(crate) use node::Node;

/// Bearer token of the team in all tests.
pub(crate) const TEAM_TOKEN: &str = "team-token";

/// Bearer token of the operator in all tests.
pub(crate) const OPERATOR_TOKEN: &str = "operator-token";

/// Availability zones of the tests.
pub(crate) const ZONES: [&str; 2] = ["east-a", "east-b"];

const INITIAL_NOTE: &str = "\
id: first
base: 0
summary: What the tests serve
models:
  add:
    - {name: large, version: \"1\", vms_per_replica: 2, replicas: 2, priority: 10}
services:
  add:
    - name: orders
      routes:
        - {method: GET, path: /stock, idempotent: true}
        - {method: POST, path: /shipments, idempotent: false}
";

/// Configuration in which one node differs from the others.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NodeOverrides {
    /// Fail points in the syntax of the `fail` crate.
    pub(crate) fail_points: &'static str,
    /// Lines appended to the settings, which end with the section `timing`.
    pub(crate) timing: &'static str,
}

/// The platform, the backend servers and the nodes of one test.
pub(crate) struct Cluster {
    /// Stand-ins for the platform and the backend servers.
    pub(crate) platform: Platform,
    /// Nodes, in start order.
    pub(crate) nodes: Vec<Node>,
}

impl Cluster {
    /// Starts the stand-ins and commits an initial release note; starts no node.
    pub(crate) fn start(token_interval: Millis) -> Cluster {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let addresses = Addresses {
            store: any_port,
            vms: any_port,
            faults: any_port,
        };
        let options = engine::Options {
            token_interval,
            ..engine::Options::default()
        };
        let platform = Platform::start(addresses, &fleet_plan(), options).expect("stand-ins start");
        let cluster = Cluster {
            platform,
            nodes: Vec::new(),
        };
        cluster.accept_initial_note();
        cluster
    }

    /// Starts a node in a zone, waits for its ports and returns its index.
    pub(crate) fn add_node(&mut self, zone: &str) -> usize {
        self.add_node_with(zone, NodeOverrides::default())
    }

    /// Starts a node with overrides, waits for its ports and returns its index.
    pub(crate) fn add_node_with(&mut self, zone: &str, overrides: NodeOverrides) -> usize {
        let seeds: Vec<SocketAddr> = self.nodes.iter().map(|node| node.peers).collect();
        let name = format!("{zone}-{}", self.nodes.len() + 1);
        let settings = self.settings(&name, zone, &seeds) + overrides.timing;
        self.nodes
            .push(Node::start(&name, &settings, overrides.fail_points));
        self.nodes.len() - 1
    }

    /// Returns a caller that sends to the callers' port of a node.
    pub(crate) fn caller(&self, node: usize) -> Caller {
        Caller::new(self.nodes[node].callers)
    }

    fn settings(&self, name: &str, zone: &str, seeds: &[SocketAddr]) -> String {
        let addresses = self.platform.addresses();
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        format!(
            "node: {name}
region: east
zone: {zone}
zones: [{zones}]
callers: 127.0.0.1:0
operators: 127.0.0.1:0
peers: 127.0.0.1:0
seeds: [{seeds}]
peer_token: peer-token
operator_tokens:
  - {{name: test, sha256: {digest}, role: write}}
platform:
  store: [{store}]
  vms: {vms}
log_level: debug
timing:
  probe_interval: 100ms
  report_bound: 1s
  list_interval: 100ms
  plan_interval: 50ms
  leader_lease: 3s
  clock_margin: 200ms
  order_timeout: 500ms
  spread_interval: 100ms
",
            zones = ZONES.join(", "),
            seeds = seeds.join(", "),
            digest = Digest::of(OPERATOR_TOKEN.as_bytes()),
            store = addresses.store,
            vms = addresses.vms,
        )
    }

    fn accept_initial_note(&self) {
        let yaml = format!(
            "{INITIAL_NOTE}teams:\n  add:\n    - {{name: team, token_sha256: [{}]}}\n",
            Digest::of(TEAM_TOKEN.as_bytes())
        );
        let note: Note = serde_saphyr::from_str(&yaml).expect("the initial note parses");
        let attempt = Attempt::new(note, Revision(0), "test", 1);
        let accepted = release::accept(self.platform.memory(), attempt);
        let accepted = futures::executor::block_on(accepted);
        assert!(accepted.catalog.is_some(), "{:?}", accepted.verdict);
    }
}

/// Returns the VMs of each zone: five engines and two servers of the service `orders`.
fn fleet_plan() -> Plan {
    let mut vms = Vec::new();
    for zone in ZONES {
        vms.push(Batch {
            zone: zone.into(),
            domain: format!("{zone}/f1").into(),
            service: None,
            count: 5,
        });
        vms.push(Batch {
            zone: zone.into(),
            domain: "".into(),
            service: Some("orders".into()),
            count: 2,
        });
    }
    Plan { vms }
}
