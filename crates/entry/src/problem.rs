//! Problem documents (`application/problem+json`) for failed requests.

use compact_str::{CompactString, format_compact};
use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::refusal::Reason;
use jackdaw_core::units::Millis;
use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde::Serialize;

use crate::head;

/// Retry delay proposed to callers when no better estimate is known.
const DEFAULT_RETRY_AFTER: Millis = Millis::from_secs(1);

/// Why and at which step a request failed.
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

    pub(crate) fn with_peer(mut self, peer: &str) -> Self {
        self.peer = peer.into();
        self
    }

    pub(crate) fn with_retry_after(mut self, retry_after: Millis) -> Self {
        self.retry_after = retry_after;
        self
    }

    /// Overrides the outcome implied by the step, for a call that an earlier attempt may have run.
    pub(crate) fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Makes the deadline the reason.
    pub(crate) fn into_deadline(self) -> Self {
        Problem {
            reason: Reason::Deadline,
            ..self
        }
    }

    /// Returns the response for the caller.
    pub(crate) fn to_response(&self, request_id: &str) -> HttpResponse {
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
        response.body(self.to_json(request_id))
    }

    /// Returns the problem document as JSON text.
    pub(crate) fn to_json(&self, request_id: &str) -> String {
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
