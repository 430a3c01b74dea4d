//! Reasons for which a request is refused; each has a status code and a counter of its own.

use std::fmt;

/// Reason why a request was refused or given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The request could not be decoded.
    Malformed,
    /// The request was too large.
    TooLarge,
    /// The request's head was too large.
    HeadTooLarge,
    /// The caller gave no known token.
    Unauthenticated,
    /// The team may not use the model or service.
    Forbidden,
    /// The model, service or route is unknown.
    NotFound,
    /// A non-idempotent call has no `Idempotency-Key`.
    KeyMissing,
    /// The same `Idempotency-Key` was used before with another body.
    KeyMismatch,
    /// An earlier call with the same key may have run and is not run again.
    MayHaveRun,
    /// An earlier call with the same key is still running.
    InProgress,
    /// The team is over its limit.
    OverLimit,
    /// The request could not be served before its deadline.
    Overloaded,
    /// The servers take no more requests now, by the limits that they name.
    ServerLimit,
    /// The node has no memory for the request.
    NoMemory,
    /// The servers want no requests for some time.
    ServerPause,
    /// Requests with the same digest have crashed backend servers.
    Poison,
    /// No whole replica group or live backend server is known.
    NoServer,
    /// The key-value service is unavailable for a call that needs it.
    PlatformDown,
    /// The node is stopping or not ready.
    NotReady,
    /// The backend server could not be reached.
    ConnectFailed,
    /// The backend server broke off the connection or stopped sending.
    Broken,
    /// The answer was truncated, duplicated or meant for another request.
    AnswerInvalid,
    /// The deadline passed.
    Deadline,
}

impl Reason {
    /// Every reason, for registering counters.
    pub const ALL: [Reason; 23] = [
        Reason::Malformed,
        Reason::TooLarge,
        Reason::HeadTooLarge,
        Reason::Unauthenticated,
        Reason::Forbidden,
        Reason::NotFound,
        Reason::KeyMissing,
        Reason::KeyMismatch,
        Reason::MayHaveRun,
        Reason::InProgress,
        Reason::OverLimit,
        Reason::Overloaded,
        Reason::ServerLimit,
        Reason::ServerPause,
        Reason::NoMemory,
        Reason::Poison,
        Reason::NoServer,
        Reason::PlatformDown,
        Reason::NotReady,
        Reason::ConnectFailed,
        Reason::Broken,
        Reason::AnswerInvalid,
        Reason::Deadline,
    ];

    /// Gets the label used in counters and answers.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Reason::Malformed => "malformed",
            Reason::TooLarge => "too-large",
            Reason::HeadTooLarge => "head-too-large",
            Reason::Unauthenticated => "unauthenticated",
            Reason::Forbidden => "forbidden",
            Reason::NotFound => "not-found",
            Reason::KeyMissing => "idempotency-key-missing",
            Reason::KeyMismatch => "idempotency-key-mismatch",
            Reason::MayHaveRun => "may-have-run",
            Reason::InProgress => "in-progress",
            Reason::OverLimit => "over-limit",
            Reason::Overloaded => "overloaded",
            Reason::ServerLimit => "server-limit",
            Reason::ServerPause => "server-pause",
            Reason::NoMemory => "no-memory",
            Reason::Poison => "poison",
            Reason::NoServer => "no-server",
            Reason::PlatformDown => "platform-down",
            Reason::NotReady => "not-ready",
            Reason::ConnectFailed => "connect-failed",
            Reason::Broken => "broken",
            Reason::AnswerInvalid => "answer-invalid",
            Reason::Deadline => "deadline",
        }
    }

    /// Gets the HTTP status code.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Reason::Malformed | Reason::KeyMissing => 400,
            Reason::Unauthenticated => 401,
            Reason::Forbidden => 403,
            Reason::NotFound => 404,
            Reason::MayHaveRun | Reason::InProgress => 409,
            Reason::TooLarge => 413,
            Reason::KeyMismatch | Reason::Poison => 422,
            Reason::OverLimit => 429,
            Reason::HeadTooLarge => 431,
            Reason::ConnectFailed | Reason::Broken | Reason::AnswerInvalid => 502,
            Reason::Overloaded
            | Reason::ServerLimit
            | Reason::ServerPause
            | Reason::NoMemory
            | Reason::NoServer
            | Reason::PlatformDown
            | Reason::NotReady => 503,
            Reason::Deadline => 504,
        }
    }

    /// Returns whether a later repetition of the request may succeed.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        match self {
            Reason::Malformed
            | Reason::TooLarge
            | Reason::HeadTooLarge
            | Reason::Unauthenticated
            | Reason::Forbidden
            | Reason::NotFound
            | Reason::KeyMissing
            | Reason::KeyMismatch
            | Reason::MayHaveRun => false,
            Reason::InProgress
            | Reason::OverLimit
            | Reason::Overloaded
            | Reason::ServerLimit
            | Reason::ServerPause
            | Reason::NoMemory
            | Reason::Poison
            | Reason::NoServer
            | Reason::PlatformDown
            | Reason::NotReady
            | Reason::ConnectFailed
            | Reason::Broken
            | Reason::AnswerInvalid
            | Reason::Deadline => true,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}
