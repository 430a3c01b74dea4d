//! Decides whether an answer belongs to the request that was sent last on its connection.
//!
//! A faulty server may send an answer once more, and the copy arrives where a later one is due. The
//! request that an answer names tells whose it is. An answer that names none can be a copy of nothing
//! if it is the first one on its connection.

use jackdaw_core::outcome::Step;
use jackdaw_core::protocol::is_final_status;

use crate::retry::{Connection, ExchangeFailure, Fault};

/// Request that an answer names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Named {
    /// The request that was sent.
    Own,
    /// Another request.
    Other,
    /// No request.
    None,
}

impl Named {
    /// Compares the identity in an answer with that of the request; an empty one names no request.
    #[must_use]
    pub fn new(named: Option<&str>, request: &str) -> Named {
        match named {
            None | Some("") => Named::None,
            Some(name) if name == request => Named::Own,
            Some(_) => Named::Other,
        }
    }
}

/// What an answer says of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The request has not run and never will.
    NotRun,
    /// The server does not take the request, which may have run nevertheless.
    NotTaken,
    /// Anything else.
    Answered,
}

/// Checks that the status of an answer is one of a final answer in HTTP.
///
/// # Errors
///
/// Returns the failure of the exchange if it is not; the request may have run.
pub fn check_status(status: u16) -> Result<(), ExchangeFailure> {
    if is_final_status(status) {
        return Ok(());
    }
    let detail = format!("{status} is no status of an answer");
    Err(ExchangeFailure::invalid(detail))
}

/// Checks that an answer belongs to the request that was sent last on its connection.
///
/// # Errors
///
/// Returns the failure of the exchange if the answer is not known to belong to the request, which may
/// then have run.
pub fn check(named: Named, claim: Claim, connection: Connection) -> Result<(), ExchangeFailure> {
    let detail = match (named, claim, connection) {
        (Named::Own, Claim::NotRun | Claim::NotTaken | Claim::Answered, _) => return Ok(()),
        (Named::None, Claim::NotRun, Connection::New) => return Ok(()),
        // It promises nothing to the caller.
        (Named::None, Claim::NotTaken, Connection::New | Connection::Used) => return Ok(()),
        (Named::Other, Claim::NotRun | Claim::NotTaken | Claim::Answered, _) => {
            "the answer belongs to another request"
        }
        (Named::None, Claim::NotRun, Connection::Used) => {
            "the refusal names no request and may be of an earlier one"
        }
        (Named::None, Claim::Answered, Connection::New | Connection::Used) => {
            "the answer names no request"
        }
    };
    Err(match claim {
        Claim::NotRun | Claim::NotTaken => {
            ExchangeFailure::new(Fault::Invalid, Step::Written, detail)
        }
        Claim::Answered => ExchangeFailure::invalid(detail),
    })
}
