//! Decides whether and where a failed request is retried.
//!
//! A request is sent again only if it is idempotent or nothing of it was written, only before its
//! deadline, and only while its team's [`Budget`] lasts.
//!
//! The number of servers that may run a request is limited. A server that got it counts, whatever
//! became of the connection, unless the server is shown to have ended. A reset says nothing of its
//! server, so once the limit is reached a request goes on at servers whose connections were reset.
//!
//! A server that is silent may go on at any time, so its attempt is kept beside the next one, and a
//! request without another attempt goes on waiting. A caller that has a part of its answer waits for
//! a retry rather than losing the rest.

use std::sync::atomic::{AtomicU32, Ordering};

use compact_str::CompactString;
use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::refusal::Reason;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

/// Largest number of attempts for one request.
const MAX_ATTEMPTS: u32 = 4;
/// Largest number of times that servers are asked again in a row without a new part of the answer.
const MAX_REPEATS: u32 = 3;
/// Pause after the second reset in a row without a new part of the answer, which doubles with each further
/// one; connections that are reset together are often reset again within a moment.
const RESET_PAUSE: Millis = Millis(50);
/// Cost of one retry, in thousandths of a retry.
const RETRY_COST: u32 = 1_000;
/// Retries that each request adds to the budget if nothing else is configured.
const DEFAULT_RATIO: f64 = 0.2;
/// Largest number of retries at once if nothing else is configured.
const DEFAULT_LIMIT: u32 = 20;
/// Percentage of a limit for all nodes that the nodes divide among them for their whole run.
const RUNNING_PERCENT: u32 = 70;
/// Percentage of a limit for all nodes that the nodes divide among them for each of their starts; two
/// starts of all nodes and what they held before stay within the limit.
const STARTING_PERCENT: u32 = 15;
/// Smallest number of nodes by which a limit is divided; a node that knows no others yet is usually
/// not the only one.
const MIN_NODES: usize = 6;

/// One node's share of the retries that all nodes together may make at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Largest number of retries at once.
    pub limit: u32,
    /// Number of retries with which a budget begins.
    pub initial: u32,
}

impl Share {
    /// Returns the share of a node that knows how many nodes there are, or does not know it yet.
    ///
    /// A node does not know what it spent before its start, and nodes that start together would
    /// exceed their common limit if each began with its whole share.
    #[must_use]
    pub fn new(retries: u32, nodes: Option<usize>) -> Self {
        let divisor = nodes.unwrap_or_default().max(MIN_NODES);
        let divisor = u32::try_from(divisor).unwrap_or(u32::MAX);
        let part = |percent: u32| retries.saturating_mul(percent) / 100 / divisor;
        Share {
            limit: part(RUNNING_PERCENT).max(1),
            initial: nodes.map_or(0, |_| part(STARTING_PERCENT)),
        }
    }
}

/// Retry budget of a team or service.
///
/// Each request adds a part of a retry, so that retries stay a bounded share of the load however
/// many requests fail.
#[derive(Debug)]
pub struct Budget {
    balance: AtomicU32,
    max: AtomicU32,
    deposit: u32,
}

impl Default for Budget {
    /// Creates a full budget.
    fn default() -> Self {
        let share = Share {
            limit: DEFAULT_LIMIT,
            initial: DEFAULT_LIMIT,
        };
        Budget::new(share, DEFAULT_RATIO)
    }
}

impl Budget {
    /// Creates a budget to which each request adds `ratio` of a retry.
    #[must_use]
    pub fn new(share: Share, ratio: f64) -> Self {
        Budget {
            balance: AtomicU32::new(share.initial.saturating_mul(RETRY_COST)),
            max: AtomicU32::new(share.limit.saturating_mul(RETRY_COST)),
            deposit: (ratio.max(0.0) * f64::from(RETRY_COST)) as u32,
        }
    }

    /// Sets the largest number of retries that the budget holds.
    pub fn set_limit(&self, retries: u32) {
        let max = retries.saturating_mul(RETRY_COST);
        self.max.store(max, Ordering::Relaxed);
        self.balance.fetch_min(max, Ordering::Relaxed);
    }

    /// Adds the part of a retry that a request earns.
    pub fn deposit(&self) {
        let max = self.max.load(Ordering::Relaxed);
        let _ = self
            .balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |balance| {
                Some(balance.saturating_add(self.deposit).min(max))
            });
    }

    /// Takes one retry and returns whether the budget had one.
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

/// Kind of the connection of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// Opened for this attempt, so the fault is the server's.
    New,
    /// Used before, so it may have been lost in the network.
    Used,
}

/// Kind of failure of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection could be opened.
    Unreachable,
    /// The server, or the system of its VM, closed the connection.
    Closed,
    /// The connection was reset, as a lost link, or a server with too many of them, does.
    Reset,
    /// No data arrived within the time limit.
    Silent,
    /// The answer was truncated, duplicated or meant for another request.
    Invalid,
    /// The server answered that it did not accept the request.
    Refused,
    /// The server had asked for a pause when the request was about to be sent.
    Paused,
    /// The server was gone, leaving or replaced when the request was about to be sent.
    Withdrawn,
    /// The deadline passed.
    Deadline,
}

/// Failure of an exchange that brought no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeFailure {
    /// Kind of failure.
    pub fault: Fault,
    /// Furthest step of the exchange.
    pub step: Step,
    /// Description for the log and the caller.
    pub detail: String,
}

impl ExchangeFailure {
    /// Creates the failure of an exchange that ended at a step.
    #[must_use]
    pub fn new(fault: Fault, step: Step, detail: impl ToString) -> Self {
        ExchangeFailure {
            fault,
            step,
            detail: detail.to_string(),
        }
    }

    /// Creates the failure of an exchange whose answer violates the protocol.
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
    /// Kind of failure.
    pub fault: Fault,
    /// Kind of the connection.
    pub connection: Connection,
    /// What is known of the server's work on the request.
    pub run: Run,
}

/// What is known of a server's work on a request whose attempt has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    /// The server may run the request.
    Possible,
    /// The server states that it does not run what is left of a stream under way.
    Declined,
    /// The server has ended after it had begun to answer.
    Ended,
}

impl Failure {
    /// Returns whether the connection alone may be at fault.
    ///
    /// A reused connection that closes or delivers nothing before any answer may have been lost in
    /// the network, and so may any connection that stops delivering during an answer.
    fn is_connection_suspect(&self) -> bool {
        match self.fault {
            Fault::Silent => self.connection == Connection::Used || self.step >= Step::Answering,
            Fault::Closed | Fault::Reset => {
                self.connection == Connection::Used && self.step < Step::Answering
            }
            Fault::Unreachable
            | Fault::Invalid
            | Fault::Refused
            | Fault::Paused
            | Fault::Withdrawn
            | Fault::Deadline => false,
        }
    }
}

/// Reason to give a request up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The request may have run and is not idempotent.
    MayHaveRun,
    /// The deadline passed.
    Deadline,
    /// The team's retry budget is empty.
    Budget,
    /// The largest number of attempts is reached.
    Attempts,
    /// No other server can take the request.
    NoServer,
}

impl Cause {
    /// Gets the text for explanations.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Cause::MayHaveRun => "the call may have run and may not be repeated",
            Cause::Deadline => "the deadline passed",
            Cause::Budget => "the team has spent its retries",
            Cause::Attempts => "the request was tried often enough",
            Cause::NoServer => "no other server can take the request",
        }
    }
}

/// Action after a failed attempt or while a server is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Try the same server once more on a new connection.
    Reconnect,
    /// Try another server that was not tried yet.
    Elsewhere,
    /// Make no other attempt for a reason, and ask again later with [`Request::retry`] or
    /// [`Request::record_silence`].
    Wait(Cause),
    /// Give the request up for a reason.
    GiveUp(Cause),
}

/// Record of a request's attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    idempotent: bool,
    deadline: Instant,
    attempts: u32,
    max_servers: usize,
    furthest: Step,
    tried: Vec<CompactString>,
    /// Servers that may have run the request and are not known to have ended.
    reached: Vec<CompactString>,
    /// Servers among these whose connections were reset when they were last tried.
    reset_servers: Vec<CompactString>,
    /// Number of repeats at these since the last part of the answer.
    repeats: u32,
    /// Number of resets since the last part of the answer.
    resets_in_row: u32,
    reconnected: Option<CompactString>,
    cut_off: bool,
    has_partial_answer: bool,
}

impl Request {
    /// Creates the record of a request that was not sent yet.
    #[must_use]
    pub fn new(idempotent: bool, deadline: Instant) -> Self {
        Request {
            idempotent,
            deadline,
            attempts: 0,
            max_servers: MAX_ATTEMPTS as usize,
            furthest: Step::Admitted,
            tried: Vec::new(),
            reached: Vec::new(),
            reset_servers: Vec::new(),
            repeats: 0,
            resets_in_row: 0,
            reconnected: None,
            cut_off: false,
            has_partial_answer: false,
        }
    }

    /// Limits the number of servers that may run the request.
    #[must_use]
    pub fn with_limit(mut self, max_servers: u32) -> Self {
        self.max_servers = usize::try_from(max_servers).unwrap_or(usize::MAX);
        self
    }

    /// Returns whether the request could be sent once more if the attempt in progress at `current` fails.
    #[must_use]
    pub fn can_send_again(&self, current: &str) -> bool {
        let is_repeatable = self.repeatable().iter().any(|server| server != current);
        (is_repeatable || self.has_allowance(Some(current)))
            && (self.has_partial_answer || self.attempts + 1 < MAX_ATTEMPTS)
    }

    /// Returns whether one more server may run the request, beside those that were reached and the one of
    /// the attempt in progress.
    fn has_allowance(&self, current: Option<&str>) -> bool {
        let is_new = current.is_some_and(|current| !self.has_reached(current));
        self.reached.len() + usize::from(is_new) < self.max_servers
    }

    /// Returns the servers that may get the request again.
    fn repeatable(&self) -> &[CompactString] {
        match self.repeats < MAX_REPEATS {
            true => &self.reset_servers,
            false => &[],
        }
    }

    /// Returns the pause before the next attempt.
    #[must_use]
    pub fn pause(&self) -> Millis {
        match self.resets_in_row.checked_sub(2) {
            Some(doublings) => Millis(RESET_PAUSE.0 << doublings.min(MAX_REPEATS)),
            None => Millis(0),
        }
    }

    fn has_reached(&self, server: &str) -> bool {
        self.reached.iter().any(|reached| reached == server)
    }

    /// Returns whether the next attempt may be made at a server, while the one in progress, if there is
    /// one, is at `current`.
    #[must_use]
    pub fn allows(&self, server: &str, current: Option<&str>) -> bool {
        if current == Some(server) {
            return false;
        }
        match self.can_try(server) {
            true => self.has_allowance(current),
            false => self.repeatable().iter().any(|reset| reset == server),
        }
    }

    /// Records that the caller has a new part of the answer, which it loses if the request is given up.
    pub fn mark_partially_answered(&mut self) {
        self.has_partial_answer = true;
        self.repeats = 0;
        self.resets_in_row = 0;
    }

    /// Records that no other answer can be known to continue the part that the caller has, so that the
    /// request may not be repeated.
    pub fn mark_final(&mut self) {
        self.idempotent = false;
    }

    /// Returns whether the caller has a part of the answer.
    #[must_use]
    pub fn is_partially_answered(&self) -> bool {
        self.has_partial_answer
    }

    /// Records that the intent of the call is stored.
    pub fn mark_recorded(&mut self) {
        self.furthest = self.furthest.max(Step::Recorded);
    }

    /// Returns whether a server was not tried yet.
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

    /// Returns whether a server closed the connection of an attempt and was then tried again on a new
    /// connection.
    #[must_use]
    pub fn was_cut_off_by(&self, server: &str) -> bool {
        self.cut_off && self.reconnected.as_ref().is_some_and(|name| name == server)
    }

    /// Returns whether the server, and not only its connection, is at fault for a failure.
    #[must_use]
    pub fn is_server_at_fault(&self, failure: &Failure) -> bool {
        let was_reconnected = self.reconnected.as_ref() == Some(&failure.server);
        match failure.fault {
            Fault::Refused | Fault::Paused | Fault::Withdrawn | Fault::Deadline => false,
            Fault::Unreachable | Fault::Invalid => true,
            Fault::Closed | Fault::Reset | Fault::Silent => {
                was_reconnected || !failure.is_connection_suspect()
            }
        }
    }

    /// Records a failed attempt and returns what to do next.
    ///
    /// A retry is taken from the budget, unless the attempt reached no server: the next one is then
    /// no repetition.
    pub fn record_failure(&mut self, failure: &Failure, budget: &Budget, now: Instant) -> Verdict {
        let can_reconnect = self.count_attempt(failure);
        if let Some(cause) = self.give_up_cause(failure.fault, now) {
            return Verdict::GiveUp(cause);
        }
        if failure.fault.has_reached_server() && !budget.withdraw() {
            return match self.has_partial_answer {
                true => Verdict::Wait(Cause::Budget),
                false => Verdict::GiveUp(Cause::Budget),
            };
        }
        self.choose_retry(failure, can_reconnect)
    }

    /// Records a failed attempt after which no other server can take the request; no retry is taken for it.
    pub fn record_last_failure(&mut self, failure: &Failure, now: Instant) -> Verdict {
        self.count_attempt(failure);
        let cause = self.give_up_cause(failure.fault, now);
        Verdict::GiveUp(cause.unwrap_or(Cause::NoServer))
    }

    /// Takes a retry for a request that waits for one after a failed attempt.
    pub fn retry(&mut self, budget: &Budget, now: Instant) -> Verdict {
        if now >= self.deadline {
            return Verdict::GiveUp(Cause::Deadline);
        }
        match budget.withdraw() {
            true => Verdict::Elsewhere,
            false => Verdict::Wait(Cause::Budget),
        }
    }

    /// Records that nothing arrives from the server of an attempt and returns whether another one is
    /// to be made beside it.
    ///
    /// Silence alone is no reason to give a request up: without another attempt the verdict is
    /// [`Verdict::Wait`], and nothing is recorded.
    pub fn record_silence(&mut self, failure: &Failure, budget: &Budget, now: Instant) -> Verdict {
        if !self.idempotent && self.furthest.max(failure.step).outcome() != Outcome::NotRun {
            return Verdict::Wait(Cause::MayHaveRun);
        }
        if now >= self.deadline {
            return Verdict::Wait(Cause::Deadline);
        }
        if !self.can_send_again(&failure.server) {
            return Verdict::Wait(Cause::Attempts);
        }
        if !budget.withdraw() {
            return Verdict::Wait(Cause::Budget);
        }
        let can_reconnect = self.count_attempt(failure);
        self.choose_retry(failure, can_reconnect)
    }

    /// Records that the attempt at a silent server is the one in progress again, since the attempt
    /// beside it has failed or could not be made.
    ///
    /// The attempt in progress is not counted until it fails; its server stays among those reached.
    pub fn resume_silent(&mut self) {
        self.attempts = self.attempts.saturating_sub(1);
    }

    /// Records that a silent server goes on, and that the attempt at `abandoned` beside it is dropped,
    /// which counts in place of the one that is in progress again.
    pub fn abandon(&mut self, abandoned: &str) {
        self.mark_tried(abandoned);
        self.mark_reached(abandoned);
    }

    /// Counts an attempt and returns whether the same server may be tried once more.
    fn count_attempt(&mut self, failure: &Failure) -> bool {
        self.attempts += 1;
        self.record_run(failure);
        self.furthest = self.furthest.max(failure.step);
        let can_reconnect =
            failure.is_connection_suspect() && self.reconnected.as_ref() != Some(&failure.server);
        self.mark_tried(&failure.server);
        can_reconnect
    }

    /// Records whether the server of a failed attempt may have run the request, and may be tried again.
    fn record_run(&mut self, failure: &Failure) {
        let server = &failure.server;
        self.reset_servers.retain(|reset| reset != server);
        match failure.run {
            Run::Possible if failure.fault.has_reached_server() => {
                self.repeats += u32::from(self.has_reached(server));
                self.mark_reached(server);
                if failure.fault == Fault::Reset {
                    self.resets_in_row += 1;
                    self.reset_servers.push(server.clone());
                }
            }
            Run::Possible | Run::Declined => {}
            Run::Ended => self.reached.retain(|reached| reached != server),
        }
    }

    fn mark_reached(&mut self, server: &str) {
        if !self.has_reached(server) {
            self.reached.push(server.into());
        }
    }

    fn mark_tried(&mut self, server: &str) {
        if self.can_try(server) {
            self.tried.push(server.into());
        }
    }

    fn choose_retry(&mut self, failure: &Failure, can_reconnect: bool) -> Verdict {
        let is_reset = self.repeatable().contains(&failure.server);
        if !can_reconnect && (!is_reset || self.has_allowance(None)) {
            return Verdict::Elsewhere;
        }
        self.reconnected = Some(failure.server.clone());
        self.cut_off = matches!(failure.fault, Fault::Closed | Fault::Reset);
        Verdict::Reconnect
    }

    /// Returns the reason that rules out another attempt, if there is one beside the budget.
    fn give_up_cause(&self, fault: Fault, now: Instant) -> Option<Cause> {
        if !self.idempotent && self.furthest.outcome() != Outcome::NotRun {
            return Some(Cause::MayHaveRun);
        }
        if fault == Fault::Deadline || now >= self.deadline {
            return Some(Cause::Deadline);
        }
        // Attempts that reached no server, or whose server ended, cost a caller no part of its answer.
        let is_often_tried = self.attempts >= MAX_ATTEMPTS && !self.has_partial_answer;
        let is_limited = !self.has_allowance(None) && self.repeatable().is_empty();
        (is_often_tried || is_limited).then_some(Cause::Attempts)
    }
}

impl Fault {
    /// Returns whether the server may have got the request.
    fn has_reached_server(self) -> bool {
        !matches!(self, Fault::Unreachable | Fault::Paused | Fault::Withdrawn)
    }

    /// Gets the reason that the caller receives.
    #[must_use]
    pub fn reason(self) -> Reason {
        match self {
            Fault::Unreachable => Reason::ConnectFailed,
            Fault::Closed | Fault::Reset | Fault::Silent => Reason::Broken,
            Fault::Invalid => Reason::AnswerInvalid,
            Fault::Refused | Fault::Withdrawn => Reason::NoServer,
            Fault::Paused => Reason::ServerPause,
            Fault::Deadline => Reason::Deadline,
        }
    }

    /// Gets the label used in counters.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Fault::Unreachable => "unreachable",
            Fault::Closed => "closed",
            Fault::Reset => "reset",
            Fault::Silent => "silent",
            Fault::Invalid => "invalid",
            Fault::Refused => "refused",
            Fault::Paused => "paused",
            Fault::Withdrawn => "withdrawn",
            Fault::Deadline => "deadline",
        }
    }

    /// All faults, for registering counters.
    pub const ALL: [Fault; 9] = [
        Fault::Unreachable,
        Fault::Closed,
        Fault::Reset,
        Fault::Silent,
        Fault::Invalid,
        Fault::Refused,
        Fault::Paused,
        Fault::Withdrawn,
        Fault::Deadline,
    ];
}
