//! Metrics of the node and their Prometheus text format.

use std::fmt;

use jackdaw_core::errors::{Error, Result};
use jackdaw_core::units::Revision;
use jackdaw_policy::release::accept::Verdict;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::admin::auth::Denial;

/// Labels of the verdicts on release notes.
const VERDICTS: [&str; 6] = [
    "accepted",
    "conflict",
    "refused",
    "reused",
    "not-accepted",
    "unknown",
];

/// Labels of the reasons for which operators' requests are denied.
const DENIALS: [&str; 2] = ["unauthenticated", "forbidden"];

/// Holds the instruments of one node and their exporter.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    verdicts: Counter<u64>,
    denials: Counter<u64>,
    revision: Gauge<u64>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Creates and registers the instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be registered.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .map_err(|error| Error::unreachable("start metrics", "self", error))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("jackdaw-control");
        let metrics = Metrics {
            verdicts: meter
                .u64_counter("jackdawstair_release_verdicts")
                .with_description("Verdicts on release notes.")
                .build(),
            denials: meter
                .u64_counter("jackdawstair_operator_denials")
                .with_description("Operators' requests turned away, by reason.")
                .build(),
            revision: meter
                .u64_gauge("jackdawstair_catalog_revision")
                .with_description("Revision of the catalogue in force.")
                .build(),
            registry,
            provider,
        };
        metrics.register();
        Ok(metrics)
    }

    /// Creates a meter for another component, whose instruments are exported with these.
    #[must_use]
    pub fn meter(&self, part: &'static str) -> Meter {
        self.provider.meter(part)
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded.
    pub fn render(&self) -> Result<String> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|error| Error::malformed("render metrics", "self", error))
    }

    /// Counts a verdict on a release note.
    pub fn count_verdict(&self, verdict: &Verdict) {
        let label = match verdict {
            Verdict::Accepted { .. } => "accepted",
            Verdict::Conflict { .. } => "conflict",
            Verdict::Refused(_) => "refused",
            Verdict::Reused(_) => "reused",
            Verdict::NotAccepted(_) => "not-accepted",
            Verdict::Unknown(_) => "unknown",
        };
        self.verdicts.add(1, &[KeyValue::new("verdict", label)]);
    }

    /// Counts a denied request of an operator.
    pub fn count_denial(&self, denial: Denial) {
        let label = match denial {
            Denial::Unauthenticated => "unauthenticated",
            Denial::Forbidden => "forbidden",
        };
        self.denials.add(1, &[KeyValue::new("reason", label)]);
    }

    /// Sets the revision of the catalogue in force.
    pub fn set_revision(&self, revision: Revision) {
        self.revision.record(revision.0, &[]);
    }

    /// Exports a zero for each label, so that rates can be computed from the first increment.
    fn register(&self) {
        for label in VERDICTS {
            self.verdicts.add(0, &[KeyValue::new("verdict", label)]);
        }
        for label in DENIALS {
            self.denials.add(0, &[KeyValue::new("reason", label)]);
        }
        self.set_revision(Revision(0));
    }
}
