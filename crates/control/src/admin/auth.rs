//! Operators' tokens and what they permit.

use compact_str::CompactString;
use jackdaw_core::token::Digest;
use ntex::http::HeaderMap;
use ntex::http::header::AUTHORIZATION;

const SCHEME: &str = "Bearer ";

/// What an operator may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// May look at everything.
    Read,
    /// May look at everything and send release notes.
    Write,
}

/// An operator's token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Name of the operator.
    pub name: CompactString,
    /// Digest of the token.
    pub token: Digest,
    /// What the operator may do.
    pub role: Role,
}

/// Why an operator's request is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No known token was shown.
    Unauthenticated,
    /// The token does not permit the request.
    Forbidden,
}

/// Checks that a request's token permits what its role needs.
///
/// # Errors
///
/// Returns why the request is turned away.
pub fn permit(headers: &HeaderMap, operators: &[Operator], needs: Role) -> Result<(), Denial> {
    let digest = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix(SCHEME))
        .map(|token| Digest::of(token.trim().as_bytes()))
        .ok_or(Denial::Unauthenticated)?;
    let operator = operators
        .iter()
        .find(|operator| operator.token == digest)
        .ok_or(Denial::Unauthenticated)?;
    if operator.role < needs {
        return Err(Denial::Forbidden);
    }
    Ok(())
}
