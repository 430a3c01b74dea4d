//! The outcome of a request, determined by the furthest step that it reached.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What a caller may conclude about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The whole answer was received from the backend server.
    Completed,
    /// Nothing was written to any backend server.
    NotRun,
    /// Something was written and no whole answer was received.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Outcome::Completed => "completed",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        })
    }
}

/// The steps of a request, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// The request head was read.
    Received,
    /// The caller's team is known.
    Authenticated,
    /// The request has passed limits and queues.
    Admitted,
    /// The intent of a non-idempotent call is recorded.
    Recorded,
    /// A replica group or a backend server was chosen.
    Routed,
    /// A connection is being opened; nothing is written yet.
    Connecting,
    /// The first byte may have been written.
    Written,
    /// The first byte of the answer was received.
    Answering,
    /// The whole answer was received.
    Answered,
}

impl Step {
    /// Returns the outcome of a request that ended after reaching this step.
    #[must_use]
    pub fn outcome(self) -> Outcome {
        match self {
            Step::Received
            | Step::Authenticated
            | Step::Admitted
            | Step::Recorded
            | Step::Routed
            | Step::Connecting => Outcome::NotRun,
            Step::Written | Step::Answering => Outcome::Unknown,
            Step::Answered => Outcome::Completed,
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Step::Received => "received",
            Step::Authenticated => "authenticated",
            Step::Admitted => "admitted",
            Step::Recorded => "recorded",
            Step::Routed => "routed",
            Step::Connecting => "connecting",
            Step::Written => "written",
            Step::Answering => "answering",
            Step::Answered => "answered",
        })
    }
}
