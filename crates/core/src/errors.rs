//! The error type of calls to peers: every error carries the step and the peer that failed.

use compact_str::CompactString;
use thiserror::Error as ThisError;

/// Result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A failure of a step in the communication with a peer.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The peer could not be reached; nothing was sent.
    #[error("{step}: {peer} is unreachable: {reason}")]
    Unreachable {
        /// The step that failed.
        step: &'static str,
        /// The peer.
        peer: CompactString,
        /// The cause.
        reason: CompactString,
    },
    /// Something was sent and no whole answer was received; the call may have taken effect.
    #[error("{step}: the answer of {peer} is unknown: {reason}")]
    Indeterminate {
        /// The step that failed.
        step: &'static str,
        /// The peer.
        peer: CompactString,
        /// The cause.
        reason: CompactString,
    },
    /// The peer answered with a refusal.
    #[error("{step}: {peer} refused: {reason}")]
    Refused {
        /// The step that failed.
        step: &'static str,
        /// The peer.
        peer: CompactString,
        /// The cause.
        reason: CompactString,
    },
    /// An answer or an input could not be decoded.
    #[error("{step}: malformed input from {peer}: {reason}")]
    Malformed {
        /// The step that failed.
        step: &'static str,
        /// The peer.
        peer: CompactString,
        /// The cause.
        reason: CompactString,
    },
}

impl Error {
    /// Creates an error for a peer to which nothing was sent.
    pub fn unreachable(step: &'static str, peer: &str, reason: impl ToString) -> Self {
        Error::Unreachable {
            step,
            peer: peer.into(),
            reason: reason.to_string().into(),
        }
    }

    /// Creates an error for a call whose effect is unknown.
    pub fn indeterminate(step: &'static str, peer: &str, reason: impl ToString) -> Self {
        Error::Indeterminate {
            step,
            peer: peer.into(),
            reason: reason.to_string().into(),
        }
    }

    /// Creates an error for a peer that answered with a refusal.
    pub fn refused(step: &'static str, peer: &str, reason: impl ToString) -> Self {
        Error::Refused {
            step,
            peer: peer.into(),
            reason: reason.to_string().into(),
        }
    }

    /// Creates an error for an answer or an input that could not be decoded.
    pub fn malformed(step: &'static str, peer: &str, reason: impl ToString) -> Self {
        Error::Malformed {
            step,
            peer: peer.into(),
            reason: reason.to_string().into(),
        }
    }

    /// Gets the step that failed.
    #[must_use]
    pub fn step(&self) -> &'static str {
        match self {
            Error::Unreachable { step, .. }
            | Error::Indeterminate { step, .. }
            | Error::Refused { step, .. }
            | Error::Malformed { step, .. } => step,
        }
    }

    /// Returns whether the call may have taken effect.
    #[must_use]
    pub fn is_indeterminate(&self) -> bool {
        matches!(self, Error::Indeterminate { .. })
    }
}
