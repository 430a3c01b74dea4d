//! Answers that the node gives without a server.

use jackdaw_core::refusal::Reason;
use jackdaw_core::units::Millis;
use ntex::http::header::{CONTENT_TYPE, RETRY_AFTER};
use ntex::http::{Response, ResponseBuilder, StatusCode};

/// The reason why a request is refused or given up, and what the caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// Reason, as it is counted, logged and sent to the caller.
    pub(crate) reason: Reason,
    /// Whether the request may have run.
    pub(crate) may_have_run: bool,
    /// Delay after which the caller should retry a request that has not run.
    pub(crate) retry_after: Option<Millis>,
    /// Description for the log and the caller.
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

    /// Sets the delay after which the caller should retry.
    pub(crate) fn with_retry_after(mut self, delay: Millis) -> Self {
        self.retry_after = Some(delay);
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

    /// Returns the HTTP status, which is 502 or 504 if and only if the request may have run.
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
            Reason::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Reason::Unauthenticated => StatusCode::UNAUTHORIZED,
            Reason::NotFound => StatusCode::NOT_FOUND,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Creates the response for the caller.
    pub(crate) fn to_response(&self) -> Response {
        self.builder().body(self.text())
    }

    /// Returns the text for the caller.
    pub(crate) fn text(&self) -> String {
        format!("{}: {}\n", self.reason.label(), self.detail)
    }

    /// Begins the response for the caller.
    pub(crate) fn builder(&self) -> ResponseBuilder {
        let mut builder = Response::build(self.status());
        builder.header(CONTENT_TYPE, "text/plain");
        if let Some(delay) = self.retry_after {
            let seconds = format!("{}.{:03}", delay.0 / 1_000, delay.0 % 1_000);
            builder.header(RETRY_AFTER, seconds);
        }
        builder
    }
}
