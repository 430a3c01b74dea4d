//! State machine of one attempt to run a call.

use compact_str::CompactString;
use jackdaw_core::refusal::Reason;
use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_core::units::Millis;

use super::record::{Answer, Attempt, Record, Result, State};

/// Bounds of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Time after an attempt's start within which it may be dispatched.
    pub dispatch_window: Millis,
    /// Time after an attempt's start for which its missing result counts as in progress.
    pub in_progress_timeout: Millis,
    /// Number of times that one write is sent while its answers are lost.
    pub max_tries: u32,
    /// Largest answer body that is stored for repeats, in bytes.
    pub max_answer_bytes: usize,
    /// Time that a refused caller is asked to wait before it tries again.
    pub retry_after: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            dispatch_window: Millis::from_secs(10),
            in_progress_timeout: Millis::from_secs(60),
            max_tries: 2,
            max_answer_bytes: 64 * 1024,
            retry_after: Millis::from_secs(1),
        }
    }
}

/// A simultaneous reading of the monotonic clock and the wall clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Timestamp {
    /// Monotonic time.
    pub monotonic: Instant,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

impl Timestamp {
    /// Returns the time since an earlier reading, by the clock that advanced further.
    ///
    /// The monotonic clock may stop while the VM is suspended, and the wall clock may be set back;
    /// neither alone covers every pause.
    #[must_use]
    pub fn since(self, earlier: Timestamp) -> Millis {
        let wall = Millis(self.unix_ms.saturating_sub(earlier.unix_ms));
        self.monotonic.since(earlier.monotonic).max(wall)
    }
}

/// Identifies the call that a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// Team of the caller.
    pub team: CompactString,
    /// Idempotency key chosen by the caller.
    pub key: CompactString,
    /// Digest of the method, target and body.
    pub digest: Digest,
}

/// Identifies an attempt, the node that makes it and its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Initiator {
    /// Name of the node.
    pub node: CompactString,
    /// Identity of the attempt.
    pub attempt: Attempt,
    /// Time at which the attempt started, read before its first write.
    pub started: Timestamp,
}

/// Condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Condition {
    /// No record exists.
    Absent,
    /// The record was last modified at this revision of the key-value service.
    Unchanged(u64),
}

/// A conditional write of a record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    /// Condition under which the write takes effect.
    pub condition: Condition,
    /// Record to store.
    pub record: Record,
}

/// A record as read from the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredRecord {
    /// Contents of the record.
    pub record: Record,
    /// Revision of the key-value service at which the record was last modified.
    pub revision: u64,
}

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The write took effect at this revision of the key-value service.
    Written(u64),
    /// The condition failed; holds the existing record, if any.
    Found(Option<StoredRecord>),
    /// The write was sent and its answer was lost.
    Lost,
    /// The write was not sent.
    Unsent,
    /// The key-value service refused the write.
    Rejected,
}

/// Action that the executor carries out next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Sends a write; its outcome goes to [`Call::step`].
    Write(Write),
    /// Dispatches the call while [`Call::may_dispatch`] holds; the result goes to [`Call::close`].
    Run,
    /// Returns the stored answer of an earlier attempt to the caller.
    Replay(Answer),
    /// Refuses the caller; this attempt does not run.
    Refuse {
        /// Reason that the caller is given.
        reason: Reason,
        /// Time to wait before another try, if another try can succeed.
        retry_after: Option<Millis>,
    },
    /// Ends the attempt. Unless [`Call::is_finished`] holds, [`Call::retry_write`] returns the
    /// write that is still due.
    Closed {
        /// Whether the result is stored in the record.
        recorded: bool,
    },
}

/// Progress of the write of the intent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct IntentWrite {
    condition: Condition,
    // Number of times that the write was sent under this condition.
    sends: u32,
    // Number of times that the condition changed.
    condition_changes: u32,
    // Whether a copy of the write may have taken effect or may still do so.
    may_be_stored: bool,
}

impl IntentWrite {
    /// Creates the first write, which expects that no record exists.
    fn first() -> Self {
        IntentWrite {
            condition: Condition::Absent,
            sends: 1,
            condition_changes: 0,
            may_be_stored: false,
        }
    }

    /// Returns the same write, sent once more after its answer was lost.
    fn resend(self) -> Self {
        IntentWrite {
            sends: self.sends + 1,
            may_be_stored: true,
            ..self
        }
    }

    /// Returns the write under another condition.
    fn under(self, condition: Condition) -> Self {
        IntentWrite {
            condition,
            sends: 1,
            condition_changes: self.condition_changes + 1,
            ..self
        }
    }
}

/// Phase of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// The intent is being written.
    WritingIntent(IntentWrite),
    /// The intent is recorded at a revision and the call may be dispatched.
    Dispatchable { revision: u64 },
    /// The result is being written.
    WritingResult {
        condition: Condition,
        state: State,
        sends: u32,
    },
    /// The result has not been written, and a later write may succeed.
    ResultUnwritten { condition: Condition, state: State },
    /// Nothing is left to write.
    Finished,
}

/// Another attempt whose record holds the key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Holder {
    /// Node that made the other attempt.
    pub(super) node: CompactString,
    /// Label of the record's state.
    pub(super) state: &'static str,
    /// Time since the other attempt's start, by the wall clock.
    pub(super) age: Millis,
}

/// One attempt to run a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Call {
    request: Request,
    initiator: Initiator,
    limits: Limits,
    phase: Phase,
    holder: Option<Holder>,
}

impl Call {
    /// Starts an attempt and returns the write of its intent.
    #[must_use]
    pub fn open(request: Request, initiator: Initiator, limits: Limits) -> (Self, Action) {
        let mut call = Call {
            request,
            initiator,
            limits,
            phase: Phase::Finished,
            holder: None,
        };
        let action = call.write_intent(IntentWrite::first());
        (call, action)
    }

    /// Advances the attempt by the outcome of its last write and returns the next action.
    pub fn step(&mut self, event: Event, at: Timestamp) -> Action {
        match self.phase.clone() {
            Phase::WritingIntent(intent) => self.step_intent_write(event, at, intent),
            Phase::WritingResult {
                condition,
                state,
                sends,
            } => self.step_result_write(event, condition, state, sends),
            // No write is in flight in these phases.
            Phase::Dispatchable { .. } | Phase::ResultUnwritten { .. } | Phase::Finished => {
                Action::Closed { recorded: false }
            }
        }
    }

    /// Returns whether the first byte may be written to a backend server now.
    ///
    /// The executor calls this directly before that write, for each backend server that it tries.
    #[must_use]
    pub fn may_dispatch(&self, at: Timestamp) -> bool {
        matches!(self.phase, Phase::Dispatchable { .. }) && self.is_in_dispatch_window(at)
    }

    /// Ends an attempt that was allowed to run and returns the write of its result.
    pub fn close(&mut self, result: Result) -> Action {
        let Phase::Dispatchable { revision } = self.phase else {
            return Action::Closed { recorded: false };
        };
        let state = State::from_result(result, self.limits.max_answer_bytes);
        self.write_result(Condition::Unchanged(revision), state, 1)
    }

    /// Returns whether nothing is left to write.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Finished
    }

    /// Returns the write that is still due, or `None` if nothing is left to write.
    ///
    /// After a refusal while the intent may be stored, that write marks the call as not run, so
    /// that a repeat may run. Otherwise it stores the result.
    pub fn retry_write(&mut self) -> Option<Action> {
        let Phase::ResultUnwritten { condition, state } = self.phase.clone() else {
            return None;
        };
        Some(self.write_result(condition, state, 1))
    }

    /// Returns the other attempt that holds the key, if its record was found.
    pub(super) fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// Returns the request of the caller.
    #[must_use]
    pub fn request(&self) -> &Request {
        &self.request
    }

    /// Returns the identity and the start of the attempt.
    #[must_use]
    pub fn initiator(&self) -> &Initiator {
        &self.initiator
    }

    fn step_intent_write(&mut self, event: Event, at: Timestamp, intent: IntentWrite) -> Action {
        let can_change = intent.condition_changes < self.limits.max_tries;
        let can_resend = intent.sends < self.limits.max_tries && self.is_in_dispatch_window(at);
        match event {
            Event::Written(revision) => self.allow_dispatch(revision, at),
            Event::Found(Some(stored)) => self.resolve_existing(stored, at, intent),
            // The record expired after it was read, so the key is free again.
            Event::Found(None) if can_change => self.write_intent(intent.under(Condition::Absent)),
            Event::Lost if can_resend => self.write_intent(intent.resend()),
            Event::Lost => self.refuse_unconfirmed(intent.condition, true),
            Event::Found(None) | Event::Unsent | Event::Rejected => {
                self.refuse_unconfirmed(intent.condition, intent.may_be_stored)
            }
        }
    }

    /// Allows the call to run, unless its dispatch window passed while the intent was written.
    fn allow_dispatch(&mut self, revision: u64, at: Timestamp) -> Action {
        if self.is_in_dispatch_window(at) {
            self.phase = Phase::Dispatchable { revision };
            return Action::Run;
        }
        self.refuse_unconfirmed(Condition::Unchanged(revision), true)
    }

    /// Decides how the attempt continues after its intent met an existing record.
    fn resolve_existing(
        &mut self,
        stored: StoredRecord,
        at: Timestamp,
        intent: IntentWrite,
    ) -> Action {
        let record = stored.record;
        if record.attempt == self.initiator.attempt {
            // An earlier copy of the same write took effect and its answer was lost.
            return self.allow_dispatch(stored.revision, at);
        }
        let age = Millis(at.unix_ms.saturating_sub(record.opened_unix_ms));
        self.holder = Some(Holder {
            node: record.node.clone(),
            state: record.state.label(),
            age,
        });
        let is_same = record.team == self.request.team
            && record.key == self.request.key
            && record.digest == self.request.digest;
        if !is_same {
            return self.refuse(Reason::KeyMismatch, None);
        }
        match record.state {
            State::Completed {
                answer: Some(answer),
            } => {
                self.phase = Phase::Finished;
                Action::Replay(answer)
            }
            State::Completed { answer: None } | State::Unknown => {
                self.refuse(Reason::MayHaveRun, None)
            }
            State::Intended => self.refuse_intended(age),
            State::NotRun if intent.condition_changes < self.limits.max_tries => {
                self.write_intent(intent.under(Condition::Unchanged(stored.revision)))
            }
            // Other attempts keep acquiring and releasing the key.
            State::NotRun => self.refuse(Reason::InProgress, Some(self.limits.retry_after)),
        }
    }

    fn refuse_intended(&mut self, age: Millis) -> Action {
        if age < self.limits.in_progress_timeout {
            return self.refuse(Reason::InProgress, Some(self.limits.retry_after));
        }
        self.refuse(Reason::MayHaveRun, None)
    }

    fn step_result_write(
        &mut self,
        event: Event,
        condition: Condition,
        state: State,
        sends: u32,
    ) -> Action {
        let can_resend = sends < self.limits.max_tries;
        match event {
            Event::Written(_) => self.finish(true),
            Event::Found(Some(stored)) if stored.record.attempt != self.initiator.attempt => {
                // A record passes to another attempt only if its call did not run or the record
                // expired. Nothing is left to record for a call that did not run.
                self.finish(state == State::NotRun)
            }
            Event::Found(Some(stored)) if stored.record.state == State::Intended => {
                let condition = Condition::Unchanged(stored.revision);
                if can_resend {
                    return self.write_result(condition, state, sends + 1);
                }
                self.defer_result(condition, state)
            }
            Event::Found(Some(_)) => self.finish(true),
            // The record or its lease has expired.
            Event::Found(None) | Event::Rejected => self.finish(false),
            Event::Lost if can_resend => self.write_result(condition, state, sends + 1),
            Event::Lost | Event::Unsent => self.defer_result(condition, state),
        }
    }

    fn write_intent(&mut self, intent: IntentWrite) -> Action {
        self.phase = Phase::WritingIntent(intent);
        self.conditional_write(intent.condition, State::Intended)
    }

    fn write_result(&mut self, condition: Condition, state: State, sends: u32) -> Action {
        self.phase = Phase::WritingResult {
            condition,
            state: state.clone(),
            sends,
        };
        self.conditional_write(condition, state)
    }

    fn conditional_write(&self, condition: Condition, state: State) -> Action {
        Action::Write(Write {
            condition,
            record: Record {
                team: self.request.team.clone(),
                key: self.request.key.clone(),
                digest: self.request.digest,
                node: self.initiator.node.clone(),
                attempt: self.initiator.attempt,
                opened_unix_ms: self.initiator.started.unix_ms,
                state,
            },
        })
    }

    /// Refuses the call because its intent was not confirmed in time.
    fn refuse_unconfirmed(&mut self, condition: Condition, may_be_stored: bool) -> Action {
        let action = self.refuse(Reason::PlatformDown, Some(self.limits.retry_after));
        if may_be_stored {
            let state = State::NotRun;
            self.phase = Phase::ResultUnwritten { condition, state };
        }
        action
    }

    fn refuse(&mut self, reason: Reason, retry_after: Option<Millis>) -> Action {
        self.phase = Phase::Finished;
        Action::Refuse {
            reason,
            retry_after,
        }
    }

    fn finish(&mut self, recorded: bool) -> Action {
        self.phase = Phase::Finished;
        Action::Closed { recorded }
    }

    fn defer_result(&mut self, condition: Condition, state: State) -> Action {
        self.phase = Phase::ResultUnwritten { condition, state };
        Action::Closed { recorded: false }
    }

    fn is_in_dispatch_window(&self, at: Timestamp) -> bool {
        at.since(self.initiator.started) < self.limits.dispatch_window
    }
}
