//! Model checker for one idempotency key: explores every interleaving of nodes, faults and late
//! writes.

use std::collections::HashSet;

use jackdaw_core::refusal::Reason;
use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_core::units::Millis;
use jackdaw_policy::once::{
    Action, Answer, Attempt, Call, Condition, Event, Initiator, Limits, Record, Request, Result,
    State, StoredRecord, Timestamp, Write,
};

/// Time after which every record expires, far above the dispatch window.
const RECORD_LIFETIME: Millis = Millis(1_000_000);

/// Rules that the simulated nodes follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Rules {
    /// No rule is broken.
    Correct,
    /// A lost answer counts as success.
    GuessWritten,
    /// An intent of another node counts as not run.
    TakeOver,
    /// The record of a call that did not run is written without a condition.
    UnconditionalNotRun,
    /// The dispatch window is not checked.
    NoWindow,
    /// A node reuses the identity of its earlier attempt.
    ReusedAttempt,
}

/// Bounds of the explored state space.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Number of nodes.
    pub(crate) nodes: usize,
    /// Number of times that the caller sends the call to each node.
    pub(crate) calls: u8,
    /// Largest number of faults on one path.
    pub(crate) faults: u8,
    /// Largest number of times that all records expire on one path.
    pub(crate) expiries: u8,
}

/// Activity of a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Activity {
    Idle,
    /// A write is about to be sent.
    Writing(Call, Write),
    /// The call may be dispatched.
    Dispatchable(Call),
    /// A result could not be recorded.
    ResultUnwritten(Call),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    calls: u8,
    // Number of expiries before the current call began; the next expiry ends its lease.
    expiries_at_start: u8,
    activity: Activity,
}

/// Delivery of a write and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    Answered,
    AnswerLost,
    CallLost,
    Late,
    Unsent,
}

/// Transition of the model.
#[derive(Clone, Copy, Debug)]
enum Transition {
    Start(usize),
    Write(usize, Delivery),
    Complete(usize),
    LoseAnswer(usize),
    FailConnect(usize),
    RetryWrite(usize),
    Crash(usize),
    DeliverLate(usize),
    Expire,
}

/// State of the key-value service and the nodes, with the history that the properties need.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Model {
    rules: Rules,
    revision: u64,
    stored: Option<(Record, u64)>,
    late_writes: Vec<Write>,
    expiries: u8,
    nodes: Vec<Node>,
    faults_left: u8,
    expiries_left: u8,
    executed: Vec<Attempt>,
    runs_since_expiry: u8,
    reported_not_run: Vec<Attempt>,
}

/// A violated property and the transitions that led to it.
#[derive(Debug)]
pub(crate) struct Violation {
    /// Description of the violation.
    pub(crate) property: &'static str,
    /// Transitions from the initial state.
    pub(crate) path: Vec<String>,
}

/// Statistics of an exploration.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Coverage {
    /// Number of distinct states.
    pub(crate) states: usize,
    /// Number of executions on all paths.
    pub(crate) executions: usize,
    /// Number of stored answers returned on all paths.
    pub(crate) replays: usize,
}

/// Explores every path within bounds.
///
/// # Errors
///
/// Returns the first violation found.
pub(crate) fn explore(rules: Rules, bounds: Bounds) -> std::result::Result<Coverage, Violation> {
    let node = Node {
        calls: bounds.calls,
        expiries_at_start: 0,
        activity: Activity::Idle,
    };
    let model = Model {
        rules,
        revision: 1,
        stored: None,
        late_writes: Vec::new(),
        expiries: 0,
        nodes: vec![node; bounds.nodes],
        faults_left: bounds.faults,
        expiries_left: bounds.expiries,
        executed: Vec::new(),
        runs_since_expiry: 0,
        reported_not_run: Vec::new(),
    };
    let mut search = Search::default();
    search.visit(model)?;
    Ok(search.coverage)
}

#[derive(Default)]
struct Search {
    visited: HashSet<Model>,
    path: Vec<String>,
    coverage: Coverage,
}

impl Search {
    fn visit(&mut self, model: Model) -> std::result::Result<(), Violation> {
        if !self.visited.insert(model.clone()) {
            return Ok(());
        }
        self.coverage.states += 1;
        for transition in model.transitions() {
            let mut next = model.clone();
            self.path.push(format!("{transition:?}"));
            if let Err(property) = next.apply(transition, &mut self.coverage) {
                let path = self.path.clone();
                return Err(Violation { property, path });
            }
            self.visit(next)?;
            self.path.pop();
        }
        Ok(())
    }
}

impl Model {
    fn transitions(&self) -> Vec<Transition> {
        let can_fault = self.faults_left > 0;
        let mut transitions: Vec<Transition> = (0..self.late_writes.len())
            .map(Transition::DeliverLate)
            .collect();
        if self.expiries_left > 0 {
            transitions.push(Transition::Expire);
        }
        for (index, node) in self.nodes.iter().enumerate() {
            match &node.activity {
                Activity::Idle if node.calls > 0 => transitions.push(Transition::Start(index)),
                Activity::Idle => {}
                Activity::Writing(..) => {
                    transitions.push(Transition::Write(index, Delivery::Answered));
                    let deliveries = [
                        Delivery::AnswerLost,
                        Delivery::CallLost,
                        Delivery::Late,
                        Delivery::Unsent,
                    ];
                    let faults = deliveries.into_iter().filter(|_| can_fault);
                    transitions.extend(faults.map(|delivery| Transition::Write(index, delivery)));
                }
                Activity::Dispatchable(_) => {
                    transitions.push(Transition::Complete(index));
                    if can_fault {
                        transitions.extend([
                            Transition::LoseAnswer(index),
                            Transition::FailConnect(index),
                        ]);
                    }
                }
                Activity::ResultUnwritten(_) => transitions.push(Transition::RetryWrite(index)),
            }
            if can_fault && node.activity != Activity::Idle {
                transitions.push(Transition::Crash(index));
            }
        }
        transitions
    }

    fn apply(
        &mut self,
        transition: Transition,
        coverage: &mut Coverage,
    ) -> std::result::Result<(), &'static str> {
        let is_fault = match transition {
            Transition::Write(_, delivery) => delivery != Delivery::Answered,
            Transition::LoseAnswer(_) | Transition::FailConnect(_) | Transition::Crash(_) => true,
            Transition::Start(_)
            | Transition::Complete(_)
            | Transition::RetryWrite(_)
            | Transition::DeliverLate(_)
            | Transition::Expire => false,
        };
        self.faults_left -= u8::from(is_fault);
        match transition {
            Transition::Start(index) => self.start(index, coverage),
            Transition::Write(index, delivery) => self.write(index, delivery, coverage),
            Transition::Complete(index)
            | Transition::LoseAnswer(index)
            | Transition::FailConnect(index) => self.dispatch(index, transition, coverage),
            Transition::RetryWrite(index) => {
                let Activity::ResultUnwritten(mut call) = self.take_activity(index) else {
                    return Ok(());
                };
                let Some(action) = call.retry_write() else {
                    return Ok(());
                };
                self.handle(index, call, action, coverage)
            }
            Transition::Crash(index) => {
                self.nodes[index].activity = Activity::Idle;
                Ok(())
            }
            Transition::DeliverLate(index) => {
                let write = self.late_writes.remove(index);
                // An expiry also drops late writes, so this one belongs to the current lease.
                let _ = self.commit(&write, self.expiries);
                Ok(())
            }
            Transition::Expire => {
                self.expiries += 1;
                self.expiries_left -= 1;
                self.stored = None;
                self.late_writes.clear();
                self.runs_since_expiry = 0;
                Ok(())
            }
        }
    }

    fn start(
        &mut self,
        index: usize,
        coverage: &mut Coverage,
    ) -> std::result::Result<(), &'static str> {
        let node = &mut self.nodes[index];
        let number = match self.rules {
            Rules::ReusedAttempt => 0,
            _ => node.calls,
        };
        node.calls -= 1;
        node.expiries_at_start = self.expiries;
        let mut attempt = [0; 16];
        attempt[0] = u8::try_from(index).unwrap();
        attempt[1] = number;
        let request = Request {
            team: "desk".into(),
            key: "box-7".into(),
            digest: Digest([7; 32]),
        };
        let initiator = Initiator {
            node: "node".into(),
            attempt: Attempt(attempt),
            started: self.timestamp(),
        };
        let (call, action) = Call::open(request, initiator, Limits::default());
        self.handle(index, call, action, coverage)
    }

    fn write(
        &mut self,
        index: usize,
        delivery: Delivery,
        coverage: &mut Coverage,
    ) -> std::result::Result<(), &'static str> {
        let Activity::Writing(mut call, write) = self.take_activity(index) else {
            return Ok(());
        };
        let expiries_at_start = self.nodes[index].expiries_at_start;
        let event = match delivery {
            Delivery::Answered => self.commit(&write, expiries_at_start),
            Delivery::AnswerLost => {
                let _ = self.commit(&write, expiries_at_start);
                Event::Lost
            }
            Delivery::CallLost => Event::Lost,
            Delivery::Late => {
                if expiries_at_start == self.expiries {
                    self.late_writes.push(write);
                }
                Event::Lost
            }
            Delivery::Unsent => Event::Unsent,
        };
        let event = self.break_rule(event, &call);
        let action = call.step(event, self.timestamp());
        self.handle(index, call, action, coverage)
    }

    /// Alters an event as the broken rule requires.
    fn break_rule(&self, event: Event, call: &Call) -> Event {
        match (self.rules, event) {
            (Rules::GuessWritten, Event::Lost) => Event::Written(self.revision),
            (Rules::TakeOver, Event::Found(Some(mut stored)))
                if stored.record.attempt != call.initiator().attempt
                    && stored.record.state == State::Intended =>
            {
                stored.record.state = State::NotRun;
                Event::Found(Some(stored))
            }
            (_, event) => event,
        }
    }

    fn commit(&mut self, write: &Write, expiries_at_start: u8) -> Event {
        let is_unconditional =
            self.rules == Rules::UnconditionalNotRun && write.record.state == State::NotRun;
        let current = self.stored.as_ref().map(|(_, revision)| *revision);
        let condition_holds = match write.condition {
            Condition::Absent => current.is_none(),
            Condition::Unchanged(revision) => current == Some(revision),
        };
        if !condition_holds && !is_unconditional {
            let found = self.stored.clone();
            return Event::Found(found.map(|(record, revision)| StoredRecord { record, revision }));
        }
        if expiries_at_start != self.expiries {
            return Event::Rejected;
        }
        self.revision += 1;
        self.stored = Some((write.record.clone(), self.revision));
        Event::Written(self.revision)
    }

    fn dispatch(
        &mut self,
        index: usize,
        transition: Transition,
        coverage: &mut Coverage,
    ) -> std::result::Result<(), &'static str> {
        let Activity::Dispatchable(mut call) = self.take_activity(index) else {
            return Ok(());
        };
        let attempt = call.initiator().attempt;
        let at = match self.rules {
            Rules::NoWindow => call.initiator().started,
            _ => self.timestamp(),
        };
        let result = if !call.may_dispatch(at) {
            Result::NotRun
        } else {
            match transition {
                Transition::FailConnect(_) => Result::NotRun,
                Transition::LoseAnswer(_) => {
                    self.execute(index, attempt, coverage)?;
                    Result::Unknown
                }
                _ => {
                    self.execute(index, attempt, coverage)?;
                    Result::Completed(answer(attempt))
                }
            }
        };
        if result == Result::NotRun {
            self.report_not_run(attempt)?;
        }
        let action = call.close(result);
        self.handle(index, call, action, coverage)
    }

    fn execute(
        &mut self,
        index: usize,
        attempt: Attempt,
        coverage: &mut Coverage,
    ) -> std::result::Result<(), &'static str> {
        coverage.executions += 1;
        self.runs_since_expiry += 1;
        self.executed.push(attempt);
        self.executed.sort_unstable();
        if self.reported_not_run.contains(&attempt) {
            return Err("an attempt ran after it was reported as not run");
        }
        if self.nodes[index].expiries_at_start != self.expiries {
            return Err("an attempt ran after its record had expired");
        }
        if self.runs_since_expiry > 1 {
            return Err("the call ran twice");
        }
        Ok(())
    }

    fn report_not_run(&mut self, attempt: Attempt) -> std::result::Result<(), &'static str> {
        if self.executed.contains(&attempt) {
            return Err("an attempt that ran was reported as not run");
        }
        self.reported_not_run.push(attempt);
        self.reported_not_run.sort_unstable();
        Ok(())
    }

    fn handle(
        &mut self,
        index: usize,
        call: Call,
        action: Action,
        coverage: &mut Coverage,
    ) -> std::result::Result<(), &'static str> {
        let attempt = call.initiator().attempt;
        let activity = match action {
            Action::Write(write) => Activity::Writing(call, write),
            Action::Run => Activity::Dispatchable(call),
            Action::Replay(answer) => {
                coverage.replays += 1;
                let is_executed = self
                    .executed
                    .iter()
                    .any(|executed| answer.body == executed.0);
                if !is_executed {
                    return Err("a stored answer matches no execution");
                }
                self.report_not_run(attempt)?;
                Activity::Idle
            }
            Action::Refuse {
                reason,
                retry_after,
            } => {
                let can_succeed = matches!(reason, Reason::PlatformDown | Reason::InProgress);
                if can_succeed != retry_after.is_some() {
                    return Err("a refusal misstates whether a repeat can succeed");
                }
                self.report_not_run(attempt)?;
                activity_after(call)
            }
            Action::Closed { .. } => activity_after(call),
        };
        self.nodes[index].activity = activity;
        Ok(())
    }

    fn take_activity(&mut self, index: usize) -> Activity {
        std::mem::replace(&mut self.nodes[index].activity, Activity::Idle)
    }

    fn timestamp(&self) -> Timestamp {
        let now = RECORD_LIFETIME.0 * u64::from(self.expiries);
        Timestamp {
            monotonic: Instant(now),
            unix_ms: now,
        }
    }
}

fn activity_after(call: Call) -> Activity {
    if call.is_finished() {
        return Activity::Idle;
    }
    Activity::ResultUnwritten(call)
}

fn answer(attempt: Attempt) -> Answer {
    Answer {
        status: 200,
        content_type: "text/plain".into(),
        body: attempt.0.to_vec(),
    }
}
