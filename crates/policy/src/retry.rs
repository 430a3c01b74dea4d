//! Decides whether and where a failed request is tried again.
//!
//! A request is sent again only if it is idempotent or nothing of it was written, only before its
//! deadline, and only while its team's [`Budget`] lasts. It never goes to the same server twice,
//! but for one new connection when an old one may be at fault instead of the server.

use std::sync::atomic::{AtomicU32, Ordering};

use compact_str::CompactString;
use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::refusal::Reason;
use jackdaw_core::time::Instant;

/// Largest number of attempts for one request.
const MAX_ATTEMPTS: u32 = 4;
/// Cost of one retry, in shares of a retry.
const RETRY_COST: u32 = 10;
/// What each request adds to the budget: one retry for every five requests.
const DEPOSIT: u32 = 2;
/// Largest balance: 20 retries at once.
const MAX_BALANCE: u32 = 20 * RETRY_COST;

/// Retries that a team may still spend.
///
/// Each request adds a fifth of a retry, so that retries stay a bounded share of the load however
/// many requests fail.
#[derive(Debug)]
pub struct Budget {
    balance: AtomicU32,
    max: AtomicU32,
}

impl Default for Budget {
    fn default() -> Self {
        Budget::new(MAX_BALANCE / RETRY_COST)
    }
}

impl Budget {
    /// Creates a full budget that holds a number of retries at most.
    #[must_use]
    pub fn new(retries: u32) -> Self {
        let max = retries * RETRY_COST;
        Budget {
            balance: AtomicU32::new(max),
            max: AtomicU32::new(max),
        }
    }

    /// Sets the number of retries that the budget holds at most.
    pub fn set_limit(&self, retries: u32) {
        let max = retries * RETRY_COST;
        self.max.store(max, Ordering::Relaxed);
        self.balance.fetch_min(max, Ordering::Relaxed);
    }

    /// Counts a request.
    pub fn deposit(&self) {
        let max = self.max.load(Ordering::Relaxed);
        let _ = self
            .balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |balance| {
                Some((balance + DEPOSIT).min(max))
            });
    }

    /// Takes one retry and returns whether there was one.
    pub fn withdraw(&self) -> bool {
        self.balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |balance| {
                balance.checked_sub(RETRY_COST)
            })
            .is_ok()
    }

    /// Returns the number of whole retries left.
    #[must_use]
    pub fn remaining(&self) -> u32 {
        self.balance.load(Ordering::Relaxed) / RETRY_COST
    }
}

/// How the connection of a failed attempt behaved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// It was opened for this attempt, so that the fault is the server's.
    New,
    /// It had been used before and may have been lost between the two ends.
    Used,
}

/// What went wrong with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection could be opened.
    Unreachable,
    /// The connection closed.
    Closed,
    /// Nothing came for longer than the bound.
    Silent,
    /// The answer was truncated, duplicated or meant for another request.
    Invalid,
    /// The server answered that it did not take the request.
    Refused,
    /// The deadline passed.
    Deadline,
}

/// Why an exchange brought no answer that can be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeFailure {
    /// What went wrong.
    pub fault: Fault,
    /// Furthest step of the exchange.
    pub step: Step,
    /// What happened, for the log and the caller.
    pub detail: String,
}

impl ExchangeFailure {
    /// Describes an exchange that went wrong.
    #[must_use]
    pub fn new(fault: Fault, step: Step, detail: impl ToString) -> Self {
        ExchangeFailure {
            fault,
            step,
            detail: detail.to_string(),
        }
    }

    /// Describes an answer that breaks the protocol.
    #[must_use]
    pub fn invalid(detail: impl ToString) -> Self {
        ExchangeFailure::new(Fault::Invalid, Step::Answering, detail)
    }
}

/// A failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Replica group or backend server.
    pub server: CompactString,
    /// Furthest step of the attempt.
    pub step: Step,
    /// What went wrong.
    pub fault: Fault,
    /// How the connection behaved.
    pub connection: Connection,
}

impl Failure {
    /// Returns whether the connection alone may be at fault.
    ///
    /// A used connection that closes or falls silent before any answer may have been lost
    /// between the two ends, and so may any connection that falls silent later.
    fn may_be_connection(&self) -> bool {
        match self.fault {
            Fault::Silent => self.connection == Connection::Used || self.step >= Step::Answering,
            Fault::Closed => self.connection == Connection::Used && self.step < Step::Answering,
            Fault::Unreachable | Fault::Invalid | Fault::Refused | Fault::Deadline => false,
        }
    }
}

/// Why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It may have run and is not idempotent.
    MayHaveRun,
    /// Its deadline passed.
    Deadline,
    /// Its team has spent its retries.
    Budget,
    /// It was tried often enough.
    Attempts,
}

impl Cause {
    /// Gets the words for explanations.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Cause::MayHaveRun => "the call may have run and may not be repeated",
            Cause::Deadline => "the deadline passed",
            Cause::Budget => "the team has spent its retries",
            Cause::Attempts => "the request was tried often enough",
        }
    }
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Try the same server once on a new connection.
    Reconnect,
    /// Try a server that was not tried yet.
    Elsewhere,
    /// Give the request up.
    GiveUp(Cause),
}

/// One request with all its attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    idempotent: bool,
    deadline: Instant,
    attempts: u32,
    sent: u32,
    max_sent: u32,
    furthest: Step,
    tried: Vec<CompactString>,
    reconnected: Option<CompactString>,
    cut_off: bool,
}

impl Request {
    /// Creates a request that was not sent yet.
    #[must_use]
    pub fn new(idempotent: bool, deadline: Instant) -> Self {
        Request {
            idempotent,
            deadline,
            attempts: 0,
            sent: 0,
            max_sent: MAX_ATTEMPTS,
            furthest: Step::Admitted,
            tried: Vec::new(),
            reconnected: None,
            cut_off: false,
        }
    }

    /// Limits the number of servers that are sent the request.
    #[must_use]
    pub fn with_limit(mut self, max_sent: u32) -> Self {
        self.max_sent = max_sent;
        self
    }

    /// Returns whether the request could be sent once more after the attempt in progress fails.
    #[must_use]
    pub fn can_send_again(&self) -> bool {
        self.sent + 1 < self.max_sent && self.attempts + 1 < MAX_ATTEMPTS
    }

    /// Notes that the intent of the call is recorded.
    pub fn mark_recorded(&mut self) {
        self.furthest = self.furthest.max(Step::Recorded);
    }

    /// Returns whether a server may still be tried.
    #[must_use]
    pub fn can_try(&self, server: &str) -> bool {
        !self.tried.iter().any(|tried| tried == server)
    }

    /// Gets the servers that were tried.
    #[must_use]
    pub fn tried(&self) -> &[CompactString] {
        &self.tried
    }

    /// Gets the furthest step that any attempt reached.
    #[must_use]
    pub fn furthest(&self) -> Step {
        self.furthest
    }

    /// Returns whether a server cut an attempt off and was tried again on a new connection.
    #[must_use]
    pub fn was_cut_off_by(&self, server: &str) -> bool {
        self.cut_off && self.reconnected.as_ref().is_some_and(|name| name == server)
    }

    /// Returns whether the server, and not only a connection, is at fault.
    #[must_use]
    pub fn is_server_at_fault(&self, failure: &Failure) -> bool {
        let tried_anew = self.reconnected.as_ref() == Some(&failure.server);
        match failure.fault {
            Fault::Refused | Fault::Deadline => false,
            Fault::Unreachable | Fault::Invalid => true,
            Fault::Closed | Fault::Silent => tried_anew || !failure.may_be_connection(),
        }
    }

    /// Takes in a failed attempt and returns what to do.
    pub fn record_failure(&mut self, failure: &Failure, budget: &Budget, now: Instant) -> Verdict {
        self.attempts += 1;
        if failure.fault != Fault::Unreachable {
            self.sent += 1;
        }
        self.furthest = self.furthest.max(failure.step);
        let reconnect =
            failure.may_be_connection() && self.reconnected.as_ref() != Some(&failure.server);
        if self.can_try(&failure.server) {
            self.tried.push(failure.server.clone());
        }
        if let Some(cause) = self.obstacle(failure, now) {
            return Verdict::GiveUp(cause);
        }
        if !budget.withdraw() {
            return Verdict::GiveUp(Cause::Budget);
        }
        if reconnect {
            self.reconnected = Some(failure.server.clone());
            self.cut_off = failure.fault == Fault::Closed;
            return Verdict::Reconnect;
        }
        Verdict::Elsewhere
    }

    fn obstacle(&self, failure: &Failure, now: Instant) -> Option<Cause> {
        if !self.idempotent && self.furthest.outcome() != Outcome::NotRun {
            return Some(Cause::MayHaveRun);
        }
        if failure.fault == Fault::Deadline || now >= self.deadline {
            return Some(Cause::Deadline);
        }
        let is_spent = self.attempts >= MAX_ATTEMPTS || self.sent >= self.max_sent;
        is_spent.then_some(Cause::Attempts)
    }
}

impl Fault {
    /// Gets the reason that the caller is told.
    #[must_use]
    pub fn reason(self) -> Reason {
        match self {
            Fault::Unreachable => Reason::ConnectFailed,
            Fault::Closed | Fault::Silent => Reason::Broken,
            Fault::Invalid => Reason::AnswerInvalid,
            Fault::Refused => Reason::NoServer,
            Fault::Deadline => Reason::Deadline,
        }
    }

    /// Gets the label used in counters.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Fault::Unreachable => "unreachable",
            Fault::Closed => "closed",
            Fault::Silent => "silent",
            Fault::Invalid => "invalid",
            Fault::Refused => "refused",
            Fault::Deadline => "deadline",
        }
    }

    /// Every fault, for registering counters.
    pub const ALL: [Fault; 6] = [
        Fault::Unreachable,
        Fault::Closed,
        Fault::Silent,
        Fault::Invalid,
        Fault::Refused,
        Fault::Deadline,
    ];
}
