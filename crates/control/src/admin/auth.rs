//! Authorization of operators by bearer tokens.

use compact_str::CompactString;
use jackdaw_core::token::Digest;
use ntex::http::HeaderMap;
use ntex::http::header::AUTHORIZATION;

const BEARER_PREFIX: &str = "Bearer ";

/// Permissions of an operator, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Read access to everything.
    Read,
    /// Read access to everything, and permission to send release notes.
    Write,
}

/// An operator who is identified by a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Name of the operator.
    pub name: CompactString,
    /// Digest of the token.
    pub token: Digest,
    /// Permissions of the operator.
    pub role: Role,
}

/// Reason why an operator's request is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The request carries no known token.
    Unauthenticated,
    /// The role of the token does not permit the request.
    Forbidden,
}

/// Checks that a request's token belongs to an operator whose role includes the required one.
///
/// # Errors
///
/// Returns the reason why the request is denied.
pub fn authorize(
    headers: &HeaderMap,
    operators: &[Operator],
    required: Role,
) -> Result<(), Denial> {
    let digest = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix(BEARER_PREFIX))
        .map(|token| Digest::of(token.trim().as_bytes()))
        .ok_or(Denial::Unauthenticated)?;
    let operator = operators
        .iter()
        .find(|operator| operator.token == digest)
        .ok_or(Denial::Unauthenticated)?;
    if operator.role < required {
        return Err(Denial::Forbidden);
    }
    Ok(())
}
