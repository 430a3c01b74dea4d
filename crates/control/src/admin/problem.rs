//! Responses to failed requests as `application/problem+json`.

use compact_str::CompactString;
use jackdaw_core::note::Conflict;
use jackdaw_core::units::Revision;
use jackdaw_policy::release::Record;
use jackdaw_policy::release::accept::Verdict;
use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde::{Deserialize, Serialize};

use super::auth::Denial;

/// Value of `Retry-After` in responses to temporary failures, in seconds.
const RETRY_AFTER_SECONDS: u16 = 1;

/// Outcome of sending a release note.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The note was not accepted by this request.
    NotAccepted,
    /// The note may have been accepted; the same note with the same identity may be sent again.
    Unknown,
}

/// A problem document that describes why a request failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Kind of the problem, as a URN.
    #[serde(rename = "type")]
    pub kind: CompactString,
    /// Description of the failure.
    pub title: CompactString,
    /// HTTP status code.
    pub status: u16,
    /// Outcome for the release note, if the request carried one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// Revision in force, if it differs from the note's base.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_force: Option<Revision>,
    /// Notes accepted since the note's base.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub since: Vec<Record>,
    /// Conflicts with the catalogue in force.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicts: Vec<Conflict>,
}

impl Problem {
    /// Creates a problem document without details; `kind` is the last part of its URN.
    #[must_use]
    pub fn new(status: StatusCode, kind: &str, title: &str) -> Self {
        Problem {
            kind: format!("urn:jackdawstair:{kind}").into(),
            title: title.into(),
            status: status.as_u16(),
            outcome: None,
            in_force: None,
            since: Vec::new(),
            conflicts: Vec::new(),
        }
    }

    /// Creates the problem document of a denied request.
    #[must_use]
    pub fn from_denial(denial: Denial) -> Self {
        match denial {
            Denial::Unauthenticated => Problem::new(
                StatusCode::UNAUTHORIZED,
                "unauthenticated",
                "an operator's bearer token is needed",
            ),
            Denial::Forbidden => Problem::new(
                StatusCode::FORBIDDEN,
                "forbidden",
                "the token permits reading only",
            ),
        }
    }

    /// Creates the problem document of a note that was not accepted; `None` for an accepted note.
    #[must_use]
    pub fn from_verdict(verdict: Verdict) -> Option<Self> {
        let mut problem = match verdict {
            Verdict::Accepted { .. } => return None,
            Verdict::Conflict { base, found, since } => Problem {
                in_force: Some(found),
                since,
                ..Problem::new(
                    StatusCode::CONFLICT,
                    "base-outdated",
                    &format!(
                        "the note was written against revision {base}, but {found} is in force"
                    ),
                )
            },
            Verdict::Refused(conflicts) => Problem {
                conflicts,
                ..Problem::new(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "note-refused",
                    "the note does not fit the catalogue in force",
                )
            },
            Verdict::Reused(revision) => Problem::new(
                StatusCode::CONFLICT,
                "identity-reused",
                &format!("another note with this identity was accepted at revision {revision}"),
            ),
            Verdict::NotAccepted(reason) => {
                Problem::new(StatusCode::SERVICE_UNAVAILABLE, "not-accepted", &reason)
            }
            Verdict::Unknown(reason) => Problem {
                outcome: Some(Outcome::Unknown),
                ..Problem::new(StatusCode::SERVICE_UNAVAILABLE, "unknown", &reason)
            },
        };
        problem.outcome = problem.outcome.or(Some(Outcome::NotAccepted));
        Some(problem)
    }

    /// Builds the HTTP response.
    #[must_use]
    pub fn to_response(&self) -> HttpResponse {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = HttpResponse::build(status);
        response.content_type("application/problem+json");
        if status == StatusCode::SERVICE_UNAVAILABLE {
            response.set_header("retry-after", RETRY_AFTER_SECONDS.to_string());
        }
        if status == StatusCode::UNAUTHORIZED {
            response.set_header("www-authenticate", "Bearer");
        }
        response.body(serde_json::to_string(self).unwrap_or_default())
    }
}
