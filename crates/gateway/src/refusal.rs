//! Answers of the node itself.

use jackdaw_core::refusal::Reason;
use jackdaw_core::units::Millis;
use ntex::http::header::{CONTENT_TYPE, RETRY_AFTER};
use ntex::http::{Response, StatusCode};

/// A request that is refused or given up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// Why.
    pub(crate) reason: Reason,
    /// Whether the request may have run.
    pub(crate) may_have_run: bool,
    /// Time after which the caller should come again, for a request that has not run.
    pub(crate) retry_after: Option<Millis>,
    /// What happened, for the log and the caller.
    pub(crate) detail: String,
}

impl Refusal {
    /// Creates the refusal of a request that has not run.
    pub(crate) fn not_run(reason: Reason, detail: impl ToString) -> Self {
        Refusal {
            reason,
            may_have_run: false,
            retry_after: None,
            detail: detail.to_string(),
        }
    }

    /// Tells the caller when to come again.
    pub(crate) fn with_retry_after(mut self, span: Millis) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Creates the failure of a request that may have run.
    pub(crate) fn unknown(reason: Reason, detail: impl ToString) -> Self {
        Refusal {
            reason,
            may_have_run: true,
            retry_after: None,
            detail: detail.to_string(),
        }
    }

    /// Returns the status: one that states that the request has not run only if that is true.
    pub(crate) fn status(&self) -> StatusCode {
        if self.may_have_run {
            return match self.reason {
                Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
                _ => StatusCode::BAD_GATEWAY,
            };
        }
        match self.reason {
            Reason::Malformed => StatusCode::BAD_REQUEST,
            Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::Unauthenticated => StatusCode::UNAUTHORIZED,
            Reason::NotFound => StatusCode::NOT_FOUND,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the answer for the caller.
    pub(crate) fn response(&self) -> Response {
        let mut builder = Response::build(self.status());
        builder.header(CONTENT_TYPE, "text/plain");
        if let Some(span) = self.retry_after {
            let seconds = format!("{}.{:03}", span.0 / 1_000, span.0 % 1_000);
            builder.header(RETRY_AFTER, seconds);
        }
        builder.body(format!("{}: {}\n", self.reason.label(), self.detail))
    }
}
