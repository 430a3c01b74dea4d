//! The state machine of one attempt at a call.

use compact_str::CompactString;
use jackdaw_core::refusal::Reason;
use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_core::units::Millis;

use super::record::{Answer, Attempt, Record, Result, State};

/// Bounds of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Time after its start in which an attempt may be dispatched.
    pub dispatch_window: Millis,
    /// Time after its start for which an attempt without a result counts as in progress.
    pub in_progress_timeout: Millis,
    /// Times that a write is sent when its answers are lost.
    pub max_tries: u32,
    /// Largest answer that is kept, in bytes.
    pub max_answer_bytes: usize,
    /// Time after which a refused caller may try again.
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

/// One reading of both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Timestamp {
    /// Monotonic time.
    pub monotonic: Instant,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

impl Timestamp {
    /// Returns the time since an earlier reading, by the clock that saw more of it.
    ///
    /// The monotonic clock may stand still while the VM is suspended, and the wall clock may be
    /// set back; neither alone sees every pause.
    #[must_use]
    pub fn since(self, earlier: Timestamp) -> Millis {
        let wall = Millis(self.unix_ms.saturating_sub(earlier.unix_ms));
        self.monotonic.since(earlier.monotonic).max(wall)
    }
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// Team of the caller.
    pub team: CompactString,
    /// Idempotency key.
    pub key: CompactString,
    /// Digest of method, target and body.
    pub digest: Digest,
}

/// Who attempts the call, and since when.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Initiator {
    /// The node.
    pub node: CompactString,
    /// The attempt.
    pub attempt: Attempt,
    /// Reading of the clocks from before the first write.
    pub started: Timestamp,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Condition {
    /// There is no record.
    Absent,
    /// The record was last changed at a revision of the service.
    Unchanged(u64),
}

/// A conditional write of the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    /// Condition.
    pub condition: Condition,
    /// The record.
    pub record: Record,
}

/// A record and the revision at which it was last changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredRecord {
    /// The record.
    pub record: Record,
    /// Revision of the service.
    pub revision: u64,
}

/// How a write ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// It took effect at a revision of the service.
    Written(u64),
    /// Its condition failed; the record that stands there, if any.
    Found(Option<StoredRecord>),
    /// It was sent and its answer was lost.
    Lost,
    /// Nothing was sent.
    Unsent,
    /// The service answered and refused it.
    Rejected,
}

/// What the executor does next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a write and feed back how it ended.
    Write(Write),
    /// Dispatch the call as long as [`Call::may_dispatch`] holds, then [`Call::close`].
    Run,
    /// Give the caller the answer of an earlier attempt.
    Replay(Answer),
    /// Refuse the caller; this attempt does not run.
    Refuse {
        /// Why.
        reason: Reason,
        /// When to try again, if that can help.
        retry_after: Option<Millis>,
    },
    /// The result is recorded, or can no longer be; unless settled, [`Call::retry_write`] tries again.
    Closed {
        /// Whether the record holds the result.
        recorded: bool,
    },
}

/// How the writing of the intent stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Opening {
    when: Condition,
    // Times that the write has been sent under this condition.
    sent: u32,
    // Times that the condition has changed.
    turns: u32,
    // Whether a copy of the write may have taken effect, or still may.
    uncertain: bool,
}

impl Opening {
    /// Creates the first write, for a call without a record.
    fn first() -> Self {
        Opening {
            when: Condition::Absent,
            sent: 1,
            turns: 0,
            uncertain: false,
        }
    }

    /// Gets the same write, sent once more after its answer was lost.
    fn again(self) -> Self {
        Opening {
            sent: self.sent + 1,
            uncertain: true,
            ..self
        }
    }

    /// Gets the write under another condition.
    fn turn(self, when: Condition) -> Self {
        Opening {
            when,
            sent: 1,
            turns: self.turns + 1,
            ..self
        }
    }
}

/// Where the attempt stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// The intent is being written.
    Opening(Opening),
    /// The intent stands at a revision and the call may be dispatched.
    Open { revision: u64 },
    /// The result is being written.
    Closing {
        when: Condition,
        state: State,
        tries: u32,
    },
    /// The result could not be written yet.
    Unsettled { when: Condition, state: State },
    /// Nothing is left to do.
    Ended,
}

/// What an attempt saw of the record of another.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Holder {
    /// Node of the other attempt.
    pub(super) node: CompactString,
    /// Name of the record's state.
    pub(super) state: &'static str,
    /// Time since the other attempt started, by the wall clock.
    pub(super) age: Millis,
}

/// One attempt at a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Call {
    request: Request,
    origin: Initiator,
    limits: Limits,
    phase: Phase,
    holder: Option<Holder>,
}

impl Call {
    /// Starts an attempt; the action is the write of its intent.
    #[must_use]
    pub fn open(request: Request, origin: Initiator, limits: Limits) -> (Self, Action) {
        let mut call = Call {
            request,
            origin,
            limits,
            phase: Phase::Ended,
            holder: None,
        };
        let action = call.intend(Opening::first());
        (call, action)
    }

    /// Takes in how the last write ended.
    pub fn step(&mut self, event: Event, at: Timestamp) -> Action {
        match self.phase.clone() {
            Phase::Opening(opening) => self.step_opening(event, at, opening),
            Phase::Closing { when, state, tries } => self.step_closing(event, when, state, tries),
            // No write is under way in these phases.
            Phase::Open { .. } | Phase::Unsettled { .. } | Phase::Ended => {
                Action::Closed { recorded: false }
            }
        }
    }

    /// Returns whether the first byte may be written to a backend server now.
    ///
    /// It is asked directly before that write, each time that another backend server is tried.
    #[must_use]
    pub fn may_dispatch(&self, at: Timestamp) -> bool {
        matches!(self.phase, Phase::Open { .. }) && self.is_in_window(at)
    }

    /// Ends an attempt that was allowed to run; the action is the write of its result.
    pub fn close(&mut self, result: Result) -> Action {
        let Phase::Open { revision } = self.phase else {
            return Action::Closed { recorded: false };
        };
        let state = State::from_result(result, self.limits.max_answer_bytes);
        self.conclude(Condition::Unchanged(revision), state, 1)
    }

    /// Returns whether nothing is left to write.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Tries again to write what could not be written, or `None` if nothing is left.
    ///
    /// An attempt that is refused while its intent may stand leaves the record that lets a repeat
    /// run; one whose result was not recorded leaves that result.
    pub fn retry_write(&mut self) -> Option<Action> {
        let Phase::Unsettled { when, state } = self.phase.clone() else {
            return None;
        };
        Some(self.conclude(when, state, 1))
    }

    /// Gets what this attempt saw of the record of another.
    pub(super) fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// Gets what the caller asked for.
    #[must_use]
    pub fn request(&self) -> &Request {
        &self.request
    }

    /// Gets who attempts the call.
    #[must_use]
    pub fn origin(&self) -> &Initiator {
        &self.origin
    }

    fn step_opening(&mut self, event: Event, at: Timestamp, opening: Opening) -> Action {
        let may_turn = opening.turns < self.limits.max_tries;
        let may_repeat = opening.sent < self.limits.max_tries && self.is_in_window(at);
        match event {
            Event::Written(revision) => self.opened(revision, at),
            Event::Found(Some(seen)) => self.found(seen, at, opening),
            // The record lapsed after it was seen, so the key is free again.
            Event::Found(None) if may_turn => self.intend(opening.turn(Condition::Absent)),
            Event::Lost if may_repeat => self.intend(opening.again()),
            Event::Lost => self.give_up(opening.when, true),
            Event::Found(None) | Event::Unsent | Event::Rejected => {
                self.give_up(opening.when, opening.uncertain)
            }
        }
    }

    /// Lets the call run, unless its window has passed while the intent was written.
    fn opened(&mut self, revision: u64, at: Timestamp) -> Action {
        if self.is_in_window(at) {
            self.phase = Phase::Open { revision };
            return Action::Run;
        }
        self.give_up(Condition::Unchanged(revision), true)
    }

    /// Judges the record that stands in the way of the intent.
    fn found(&mut self, seen: StoredRecord, at: Timestamp, opening: Opening) -> Action {
        let record = seen.record;
        if record.attempt == self.origin.attempt {
            // An earlier copy of the same write took effect and its answer was lost.
            return self.opened(seen.revision, at);
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
                self.phase = Phase::Ended;
                Action::Replay(answer)
            }
            State::Completed { answer: None } | State::Unknown => {
                self.refuse(Reason::MayHaveRun, None)
            }
            State::Intended => self.refuse_intended(age),
            State::NotRun if opening.turns < self.limits.max_tries => {
                self.intend(opening.turn(Condition::Unchanged(seen.revision)))
            }
            // Other attempts keep taking the key and giving it up.
            State::NotRun => self.refuse(Reason::InProgress, Some(self.limits.retry_after)),
        }
    }

    fn refuse_intended(&mut self, age: Millis) -> Action {
        if age < self.limits.in_progress_timeout {
            return self.refuse(Reason::InProgress, Some(self.limits.retry_after));
        }
        self.refuse(Reason::MayHaveRun, None)
    }

    fn step_closing(&mut self, event: Event, when: Condition, state: State, tries: u32) -> Action {
        let may_repeat = tries < self.limits.max_tries;
        match event {
            Event::Written(_) => self.end(true),
            Event::Found(Some(seen)) if seen.record.attempt != self.origin.attempt => {
                // A record passes to another attempt only if its call did not run or its time has
                // run out. Nothing is left to record of a call that did not run either way.
                self.end(state == State::NotRun)
            }
            Event::Found(Some(seen)) if seen.record.state == State::Intended => {
                let when = Condition::Unchanged(seen.revision);
                if may_repeat {
                    return self.conclude(when, state, tries + 1);
                }
                self.postpone(when, state)
            }
            Event::Found(Some(_)) => self.end(true),
            // The record has lapsed, or its lease has.
            Event::Found(None) | Event::Rejected => self.end(false),
            Event::Lost if may_repeat => self.conclude(when, state, tries + 1),
            Event::Lost | Event::Unsent => self.postpone(when, state),
        }
    }

    fn intend(&mut self, opening: Opening) -> Action {
        self.phase = Phase::Opening(opening);
        self.write(opening.when, State::Intended)
    }

    fn conclude(&mut self, when: Condition, state: State, tries: u32) -> Action {
        self.phase = Phase::Closing {
            when,
            state: state.clone(),
            tries,
        };
        self.write(when, state)
    }

    fn write(&self, when: Condition, state: State) -> Action {
        Action::Write(Write {
            condition: when,
            record: Record {
                team: self.request.team.clone(),
                key: self.request.key.clone(),
                digest: self.request.digest,
                node: self.origin.node.clone(),
                attempt: self.origin.attempt,
                opened_unix_ms: self.origin.started.unix_ms,
                state,
            },
        })
    }

    /// Refuses the call because the service did not confirm its intent in time.
    fn give_up(&mut self, when: Condition, uncertain: bool) -> Action {
        let action = self.refuse(Reason::PlatformDown, Some(self.limits.retry_after));
        if uncertain {
            let state = State::NotRun;
            self.phase = Phase::Unsettled { when, state };
        }
        action
    }

    fn refuse(&mut self, reason: Reason, retry_after: Option<Millis>) -> Action {
        self.phase = Phase::Ended;
        Action::Refuse {
            reason,
            retry_after,
        }
    }

    fn end(&mut self, recorded: bool) -> Action {
        self.phase = Phase::Ended;
        Action::Closed { recorded }
    }

    fn postpone(&mut self, when: Condition, state: State) -> Action {
        self.phase = Phase::Unsettled { when, state };
        Action::Closed { recorded: false }
    }

    fn is_in_window(&self, at: Timestamp) -> bool {
        at.since(self.origin.started) < self.limits.dispatch_window
    }
}
