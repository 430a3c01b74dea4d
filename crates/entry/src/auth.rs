//! Authenticates teams by bearer token and authorizes their use of models and services.

use std::sync::Arc;

use jackdaw_core::catalog::Team;
use jackdaw_core::outcome::Step;
use jackdaw_core::refusal::Reason;
use jackdaw_core::token::Digest;
use ntex::http::HeaderMap;
use ntex::http::header::AUTHORIZATION;

use crate::problem::Problem;
use crate::snapshot::Snapshot;

const SCHEME: &str = "Bearer ";

/// Returns the team to which a request's bearer token belongs.
///
/// # Errors
///
/// Returns a problem if the token is missing or unknown.
pub(crate) fn authenticate(headers: &HeaderMap, snapshot: &Snapshot) -> Result<Arc<Team>, Problem> {
    let unauthenticated =
        |detail: &str| Problem::new(Reason::Unauthenticated, Step::Received, detail);
    let token = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix(SCHEME))
        .ok_or_else(|| unauthenticated("a bearer token is needed"))?;
    snapshot
        .teams
        .get(&Digest::of(token.trim().as_bytes()))
        .cloned()
        .ok_or_else(|| unauthenticated("the bearer token is not known"))
}

/// Checks that a team may use a model or a service.
///
/// # Errors
///
/// Returns a problem if it may not.
pub(crate) fn authorize(team: &Team, name: &str) -> Result<(), Problem> {
    if team.may_use(name) {
        return Ok(());
    }
    let detail = format!("team {} may not use {name}", team.name);
    Err(Problem::new(Reason::Forbidden, Step::Authenticated, detail))
}
