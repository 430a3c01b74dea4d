//! Measures the demand for each model, tells it to other nodes and gives the leader the shares in force.

use std::cell::RefCell;
use std::collections::HashMap;

use compact_str::{CompactString, format_compact};
use jackdaw_core::config::{Engine, Index, Service};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::demand::{self, Allocation, Figure, Meter, Table};
use jackdaw_policy::relay;
use prost::Message;
use slog::info;

use crate::call::Call;
use crate::node::Node;

/// Time for which a node counts as a leader after it told so; a leader tells a given node of 370 in a
/// few seconds.
const LEADER_VALIDITY: Millis = Millis(15_000);
/// Pause between two computations of the shares; no figures arrive from a node more often.
const UPDATE_INTERVAL: Millis = relay::ROUND;
/// Largest encoded size of a model's figure in a datagram in bytes: tag and length, the identity, and
/// the work.
pub(crate) const MAX_FIGURE_BYTES: usize = 18;

/// Work that a model's requests bring to the sender.
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct Record {
    /// Identity of the service's model on all nodes.
    #[prost(fixed64, tag = "1")]
    model: u64,
    /// Milliseconds of servers per second.
    #[prost(uint32, tag = "2")]
    work: u32,
}

/// Demand that this node and the others have measured.
#[derive(Debug, Default)]
pub(crate) struct Measurements {
    meter: RefCell<Meter>,
    table: RefCell<Table>,
    /// Nodes that have told that they lead their zones, with the times.
    leaders: RefCell<HashMap<CompactString, Instant>>,
}

impl Node {
    /// Adds the work of a request that is about to be routed.
    pub(crate) fn record_demand(&self, index: &Index, call: &Call) {
        let (Some(service), Some(model)) = (index.service(&call.service), &call.head.model) else {
            return;
        };
        let mut meter = self.measurements.meter.borrow_mut();
        meter.record(service, model, &call.route, call.demand(), self.now());
    }

    /// Returns whether the models of any service share its servers.
    fn has_divided_service(&self) -> bool {
        self.index().is_some_and(|index| {
            let mut services = index.configuration().services.iter();
            services.any(|service| demand::divided_engine(service).is_some())
        })
    }

    /// Returns what this node tells the others of its demand.
    pub(crate) fn demand_records(&self) -> Vec<Record> {
        if !self.has_divided_service() {
            return Vec::new();
        }
        let figures = self.measurements.meter.borrow().figures(self.now());
        let records = figures.into_iter().map(|figure| Record {
            model: figure.model,
            work: figure.work,
        });
        records.collect()
    }

    /// Takes what another node tells of its demand.
    pub(crate) fn take_demand(
        &self,
        node: &str,
        incarnation: u64,
        sequence: u64,
        records: &[Record],
    ) {
        if !self.has_divided_service() {
            return;
        }
        let records = records.iter().take(demand::MAX_MODELS);
        let figures = records.map(|record| Figure {
            model: record.model,
            work: record.work,
        });
        let mut table = self.measurements.table.borrow_mut();
        table.record(node, incarnation, sequence, figures.collect(), self.now());
    }

    /// Records that another node leads its zone.
    pub(crate) fn hear_leader(&self, node: &str) {
        if node == self.options.node || !self.has_divided_service() {
            return;
        }
        let now = self.now();
        let mut leaders = self.measurements.leaders.borrow_mut();
        leaders.retain(|_, at| now.since(*at) < LEADER_VALIDITY);
        leaders.insert(node.into(), now);
    }

    /// Returns one of the other nodes that lead their zones, drawn at random.
    ///
    /// Each round of datagrams reaches four nodes, so that of 111 nodes fewer than half reach a leader within
    /// the time for which their figures count.
    pub(crate) fn any_leader(&self) -> Option<CompactString> {
        let now = self.now();
        let leaders = self.measurements.leaders.borrow();
        let recent: Vec<&CompactString> = leaders
            .iter()
            .filter(|(_, at)| now.since(**at) < LEADER_VALIDITY)
            .map(|(name, _)| name)
            .collect();
        fastrand::choice(recent).cloned()
    }

    /// Returns the measured share of each of a service's models, if enough is known.
    fn measured_shares(&self, service: &Service) -> Option<Vec<f64>> {
        let now = self.now();
        let own = self.measurements.meter.borrow().figures(now);
        let nodes = self.peer_loads().borrow().node_count();
        let table = self.measurements.table.borrow();
        table.shares(service, &own, nodes, now)
    }
}

/// Shares of the models that the leader uses, by service.
#[derive(Debug, Default)]
pub(crate) struct Allocations {
    services: HashMap<CompactString, (Instant, Allocation)>,
}

impl Allocations {
    /// Forgets all shares; the configured ones are in force.
    pub(crate) fn clear(&mut self) {
        self.services.clear();
    }

    /// Returns the shares in force of a service's models in place of the configured ones.
    pub(crate) fn update(&mut self, node: &Node, service: &Service) -> Option<&[f64]> {
        let engine = demand::divided_engine(service)?;
        let now = node.now();
        let known = self.services.entry(service.name.clone());
        let (updated_at, allocation) = known.or_default();
        if now.since(*updated_at) >= UPDATE_INTERVAL {
            *updated_at = now;
            node.measurements.table.borrow_mut().forget_old(now);
            let measured = node.measured_shares(service);
            if allocation.update(engine, measured.as_deref(), now) {
                log_change(node, service, engine, allocation, measured.as_deref());
            }
        }
        allocation.shares()
    }
}

fn log_change(
    node: &Node,
    service: &Service,
    engine: &Engine,
    allocation: &Allocation,
    measured: Option<&[f64]>,
) {
    let configured: Vec<f64> = engine.models.iter().map(|model| model.share).collect();
    info!(node.logger(), "model shares have changed";
        "service" => %service.name,
        "shares" => describe(engine, allocation.shares().unwrap_or(&configured)),
        "configured" => describe(engine, &configured),
        "measured" => measured.map(|measured| describe(engine, measured)));
}

/// Returns the models' shares as text.
fn describe(engine: &Engine, shares: &[f64]) -> String {
    let models = engine.models.iter().zip(shares);
    let texts = models.map(|(model, share)| format_compact!("{}={share:.3}", model.name));
    texts.collect::<Vec<_>>().join(" ")
}
