//! Answers of failed requests as `application/problem+json`.

use compact_str::{CompactString, format_compact};
use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::refusal::Reason;
use jackdaw_core::units::Millis;
use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde::Serialize;

use crate::head;

/// Pause proposed to callers when nothing better is known.
const DEFAULT_RETRY_AFTER: Millis = Millis::from_secs(1);

/// Why and where a request failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Problem {
    pub(crate) reason: Reason,
    pub(crate) step: Step,
    pub(crate) outcome: Outcome,
    pub(crate) peer: CompactString,
    pub(crate) detail: CompactString,
    pub(crate) retry_after: Millis,
}

impl Problem {
    pub(crate) fn new(reason: Reason, step: Step, detail: impl ToString) -> Self {
        Problem {
            reason,
            step,
            outcome: step.outcome(),
            peer: CompactString::default(),
            detail: detail.to_string().into(),
            retry_after: DEFAULT_RETRY_AFTER,
        }
    }

    pub(crate) fn at(mut self, peer: &str) -> Self {
        self.peer = peer.into();
        self
    }

    pub(crate) fn retry_after(mut self, pause: Millis) -> Self {
        self.retry_after = pause;
        self
    }

    /// Says more than the step does, for a call that an earlier attempt stands behind.
    pub(crate) fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Returns the answer for the caller.
    pub(crate) fn response(&self, request_id: &str) -> HttpResponse {
        let status =
            StatusCode::from_u16(self.reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = HttpResponse::build(status);
        response
            .set_header(head::REQUEST_ID, request_id)
            .set_header(head::OUTCOME, self.outcome.to_string())
            .content_type("application/problem+json");
        if self.reason.is_retryable() {
            let seconds = self.retry_after.0.div_ceil(1_000).max(1);
            response.set_header("retry-after", seconds.to_string());
        }
        response.body(self.json(request_id))
    }

    /// Returns the JSON text of the problem.
    pub(crate) fn json(&self, request_id: &str) -> String {
        let document = Document {
            kind: format_compact!("urn:jackdawstair:{}", self.reason),
            title: &self.detail,
            status: self.reason.status(),
            outcome: self.outcome,
            step: self.step,
            peer: &self.peer,
            reason: self.reason.label(),
            request_id,
        };
        serde_json::to_string(&document).unwrap_or_default()
    }
}

#[derive(Serialize)]
struct Document<'a> {
    #[serde(rename = "type")]
    kind: CompactString,
    title: &'a str,
    status: u16,
    outcome: Outcome,
    step: Step,
    peer: &'a str,
    reason: &'static str,
    request_id: &'a str,
}
