//! Counters of the callers' data path.

use jackdaw_core::outcome::Outcome;
use jackdaw_core::refusal::Reason;
use jackdaw_policy::retry::{Cause, Fault};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

use crate::problem::Problem;

/// Reasons to wait.
const WAIT_CAUSES: [Cause; 4] = [
    Cause::MayHaveRun,
    Cause::Budget,
    Cause::Attempts,
    Cause::NoServer,
];

/// Counters of refusals, retries, waits and outcomes.
#[derive(Debug)]
pub struct Counters {
    outcomes: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    waits: Counter<u64>,
}

impl Counters {
    /// Creates the counters and exports a zero for each reason.
    #[must_use]
    pub fn new(meter: &Meter) -> Self {
        let counters = Counters {
            outcomes: meter
                .u64_counter("jackdawstair_requests")
                .with_description("Requests by outcome.")
                .build(),
            refusals: meter
                .u64_counter("jackdawstair_refusals")
                .with_description("Requests refused or given up, by reason.")
                .build(),
            retries: meter
                .u64_counter("jackdawstair_retries")
                .with_description("Attempts sent again, by the reason of the failure before.")
                .build(),
            waits: meter
                .u64_counter("jackdawstair_waits")
                .with_description("Waits for silent servers or for another attempt, by reason.")
                .build(),
        };
        for reason in Reason::ALL {
            let label = KeyValue::new("reason", reason.label());
            counters.refusals.add(0, &[label]);
        }
        for fault in Fault::ALL {
            counters.retries.add(0, &retry_labels(fault, "elsewhere"));
        }
        for cause in WAIT_CAUSES {
            counters.waits.add(0, &[wait_label(cause)]);
        }
        counters
    }

    /// Counts a finished request.
    pub fn count_outcome(&self, outcome: Outcome) {
        let label = match outcome {
            Outcome::Completed => "completed",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        };
        self.outcomes.add(1, &[KeyValue::new("outcome", label)]);
    }

    /// Counts a request that was refused or given up.
    pub fn count_refusal(&self, reason: Reason) {
        self.refusals
            .add(1, &[KeyValue::new("reason", reason.label())]);
    }

    /// Counts a request that was refused or given up, by reason and by outcome.
    pub(crate) fn count_problem(&self, problem: &Problem) {
        self.count_refusal(problem.reason);
        self.count_outcome(problem.outcome);
    }

    /// Counts a retry, on a new connection to the same server (`reconnect`) or `elsewhere`.
    pub fn count_retry(&self, fault: Fault, target: &'static str) {
        self.retries.add(1, &retry_labels(fault, target));
    }

    /// Counts a wait that began because no other attempt is possible for a reason.
    pub fn count_wait(&self, cause: Cause) {
        self.waits.add(1, &[wait_label(cause)]);
    }
}

fn wait_label(cause: Cause) -> KeyValue {
    let label = match cause {
        Cause::MayHaveRun => "may-have-run",
        Cause::Deadline => "deadline",
        Cause::Budget => "budget",
        Cause::Attempts => "attempts",
        Cause::NoServer => "no-server",
    };
    KeyValue::new("reason", label)
}

fn retry_labels(fault: Fault, target: &'static str) -> [KeyValue; 2] {
    [
        KeyValue::new("reason", fault.label()),
        KeyValue::new("way", target),
    ]
}
