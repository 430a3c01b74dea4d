//! Explores every interleaving of nodes, faults and late writes around one idempotency key.

use std::collections::HashSet;

use jackdaw_core::refusal::Reason;
use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_core::units::Millis;
use jackdaw_policy::once::{
    Action, Answer, Attempt, Call, Condition, Event, Initiator, Limits, Record, Request, Result,
    State, StoredRecord, Timestamp, Write,
};

/// Time in which every record lapses, far above the dispatch window.
const LAPSE: Millis = Millis(1_000_000);

/// The rules as they are, or with one of them broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Rules {
    /// As they are.
    Right,
    /// A lost answer counts as success.
    GuessWritten,
    /// A silent attempt of another node counts as not run.
    TakeOver,
    /// The record of a call that did not run is written without a condition.
    BlindNotRun,
    /// The dispatch is not held to its window.
    NoWindow,
    /// A restarted node reuses the identity of its earlier attempt.
    ReusedAttempt,
}

/// How large the explored space is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Space {
    /// Number of nodes.
    pub(crate) nodes: usize,
    /// Number of times that the caller sends the call to each node.
    pub(crate) calls: u8,
    /// Number of faults on one path.
    pub(crate) faults: u8,
    /// Number of times that all records lapse on one path.
    pub(crate) lapses: u8,
}

/// What a node is doing.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Place {
    Idle,
    /// A write is about to be sent.
    Writing(Call, Write),
    /// The call may be dispatched.
    Allowed(Call),
    /// A result could not be recorded.
    Unsettled(Call),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    calls: u8,
    // Number of lapses before the present call began; its lease dies with the next one.
    born: u8,
    place: Place,
}

/// What happens to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Answered,
    AnswerLost,
    CallLost,
    Late,
    Unsent,
}

/// One step of the world.
#[derive(Clone, Copy, Debug)]
enum Move {
    Start(usize),
    Write(usize, Fate),
    Complete(usize),
    BreakOff(usize),
    ConnectFails(usize),
    Settle(usize),
    Crash(usize),
    Land(usize),
    Lapse,
}

/// Service, nodes and all that has happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    rules: Rules,
    revision: u64,
    stored: Option<(Record, u64)>,
    late: Vec<Write>,
    lapses: u8,
    nodes: Vec<Node>,
    faults_left: u8,
    lapses_left: u8,
    ran: Vec<Attempt>,
    ran_since_lapse: u8,
    reported_not_run: Vec<Attempt>,
}

/// A broken promise and the moves that led to it.
#[derive(Debug)]
pub(crate) struct Violation {
    /// What was broken.
    pub(crate) what: &'static str,
    /// The moves.
    pub(crate) path: Vec<String>,
}

/// What an exploration saw.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    /// Number of different states.
    pub(crate) states: usize,
    /// Number of executions on all paths.
    pub(crate) executions: usize,
    /// Number of stored answers given on all paths.
    pub(crate) replays: usize,
}

/// Explores every path of a space.
pub(crate) fn explore(rules: Rules, space: Space) -> std::result::Result<Tally, Violation> {
    let node = Node {
        calls: space.calls,
        born: 0,
        place: Place::Idle,
    };
    let world = World {
        rules,
        revision: 1,
        stored: None,
        late: Vec::new(),
        lapses: 0,
        nodes: vec![node; space.nodes],
        faults_left: space.faults,
        lapses_left: space.lapses,
        ran: Vec::new(),
        ran_since_lapse: 0,
        reported_not_run: Vec::new(),
    };
    let mut search = Search::default();
    search.visit(world)?;
    Ok(search.seen)
}

#[derive(Default)]
struct Search {
    visited: HashSet<World>,
    path: Vec<String>,
    seen: Tally,
}

impl Search {
    fn visit(&mut self, world: World) -> std::result::Result<(), Violation> {
        if !self.visited.insert(world.clone()) {
            return Ok(());
        }
        self.seen.states += 1;
        for step in world.moves() {
            let mut next = world.clone();
            self.path.push(format!("{step:?}"));
            if let Err(what) = next.apply(step, &mut self.seen) {
                let path = self.path.clone();
                return Err(Violation { what, path });
            }
            self.visit(next)?;
            self.path.pop();
        }
        Ok(())
    }
}

impl World {
    fn moves(&self) -> Vec<Move> {
        let is_faulty = self.faults_left > 0;
        let mut moves: Vec<Move> = (0..self.late.len()).map(Move::Land).collect();
        if self.lapses_left > 0 {
            moves.push(Move::Lapse);
        }
        for (index, node) in self.nodes.iter().enumerate() {
            match &node.place {
                Place::Idle if node.calls > 0 => moves.push(Move::Start(index)),
                Place::Idle => {}
                Place::Writing(..) => {
                    moves.push(Move::Write(index, Fate::Answered));
                    let fates = [Fate::AnswerLost, Fate::CallLost, Fate::Late, Fate::Unsent];
                    let faulty = fates.into_iter().filter(|_| is_faulty);
                    moves.extend(faulty.map(|fate| Move::Write(index, fate)));
                }
                Place::Allowed(_) => {
                    moves.push(Move::Complete(index));
                    if is_faulty {
                        moves.extend([Move::BreakOff(index), Move::ConnectFails(index)]);
                    }
                }
                Place::Unsettled(_) => moves.push(Move::Settle(index)),
            }
            if is_faulty && node.place != Place::Idle {
                moves.push(Move::Crash(index));
            }
        }
        moves
    }

    fn apply(&mut self, step: Move, seen: &mut Tally) -> std::result::Result<(), &'static str> {
        let is_fault = match step {
            Move::Write(_, fate) => fate != Fate::Answered,
            Move::BreakOff(_) | Move::ConnectFails(_) | Move::Crash(_) => true,
            Move::Start(_) | Move::Complete(_) | Move::Settle(_) | Move::Land(_) | Move::Lapse => {
                false
            }
        };
        self.faults_left -= u8::from(is_fault);
        match step {
            Move::Start(index) => self.start(index, seen),
            Move::Write(index, fate) => self.write(index, fate, seen),
            Move::Complete(index) | Move::BreakOff(index) | Move::ConnectFails(index) => {
                self.dispatch(index, step, seen)
            }
            Move::Settle(index) => {
                let Place::Unsettled(mut call) = self.take(index) else {
                    return Ok(());
                };
                let Some(action) = call.retry_write() else {
                    return Ok(());
                };
                self.act(index, call, action, seen)
            }
            Move::Crash(index) => {
                self.nodes[index].place = Place::Idle;
                Ok(())
            }
            Move::Land(late) => {
                let write = self.late.remove(late);
                // Leases lapse together with the writes that are still under way.
                let _ = self.commit(&write, self.lapses);
                Ok(())
            }
            Move::Lapse => {
                self.lapses += 1;
                self.lapses_left -= 1;
                self.stored = None;
                self.late.clear();
                self.ran_since_lapse = 0;
                Ok(())
            }
        }
    }

    fn start(&mut self, index: usize, seen: &mut Tally) -> std::result::Result<(), &'static str> {
        let node = &mut self.nodes[index];
        let number = match self.rules {
            Rules::ReusedAttempt => 0,
            _ => node.calls,
        };
        node.calls -= 1;
        node.born = self.lapses;
        let mut attempt = [0; 16];
        attempt[0] = u8::try_from(index).unwrap();
        attempt[1] = number;
        let request = Request {
            team: "desk".into(),
            key: "box-7".into(),
            digest: Digest([7; 32]),
        };
        let origin = Initiator {
            node: "node".into(),
            attempt: Attempt(attempt),
            started: self.moment(),
        };
        let (call, action) = Call::open(request, origin, Limits::default());
        self.act(index, call, action, seen)
    }

    fn write(
        &mut self,
        index: usize,
        fate: Fate,
        seen: &mut Tally,
    ) -> std::result::Result<(), &'static str> {
        let Place::Writing(mut call, write) = self.take(index) else {
            return Ok(());
        };
        let born = self.nodes[index].born;
        let event = match fate {
            Fate::Answered => self.commit(&write, born),
            Fate::AnswerLost => {
                let _ = self.commit(&write, born);
                Event::Lost
            }
            Fate::CallLost => Event::Lost,
            Fate::Late => {
                if born == self.lapses {
                    self.late.push(write);
                }
                Event::Lost
            }
            Fate::Unsent => Event::Unsent,
        };
        let event = self.distort(event, &call);
        let action = call.step(event, self.moment());
        self.act(index, call, action, seen)
    }

    /// Breaks the rule that the search is meant to find broken.
    fn distort(&self, event: Event, call: &Call) -> Event {
        match (self.rules, event) {
            (Rules::GuessWritten, Event::Lost) => Event::Written(self.revision),
            (Rules::TakeOver, Event::Found(Some(mut seen)))
                if seen.record.attempt != call.origin().attempt
                    && seen.record.state == State::Intended =>
            {
                seen.record.state = State::NotRun;
                Event::Found(Some(seen))
            }
            (_, event) => event,
        }
    }

    fn commit(&mut self, write: &Write, born: u8) -> Event {
        let is_blind = self.rules == Rules::BlindNotRun && write.record.state == State::NotRun;
        let current = self.stored.as_ref().map(|(_, revision)| *revision);
        let holds = match write.condition {
            Condition::Absent => current.is_none(),
            Condition::Unchanged(revision) => current == Some(revision),
        };
        if !holds && !is_blind {
            let found = self.stored.clone();
            return Event::Found(found.map(|(record, revision)| StoredRecord { record, revision }));
        }
        if born != self.lapses {
            return Event::Rejected;
        }
        self.revision += 1;
        self.stored = Some((write.record.clone(), self.revision));
        Event::Written(self.revision)
    }

    fn dispatch(
        &mut self,
        index: usize,
        step: Move,
        seen: &mut Tally,
    ) -> std::result::Result<(), &'static str> {
        let Place::Allowed(mut call) = self.take(index) else {
            return Ok(());
        };
        let attempt = call.origin().attempt;
        let at = match self.rules {
            Rules::NoWindow => call.origin().started,
            _ => self.moment(),
        };
        let result = if !call.may_dispatch(at) {
            Result::NotRun
        } else {
            match step {
                Move::ConnectFails(_) => Result::NotRun,
                Move::BreakOff(_) => {
                    self.execute(index, attempt, seen)?;
                    Result::Unknown
                }
                _ => {
                    self.execute(index, attempt, seen)?;
                    Result::Completed(answer(attempt))
                }
            }
        };
        if result == Result::NotRun {
            self.report_not_run(attempt)?;
        }
        let action = call.close(result);
        self.act(index, call, action, seen)
    }

    fn execute(
        &mut self,
        index: usize,
        attempt: Attempt,
        seen: &mut Tally,
    ) -> std::result::Result<(), &'static str> {
        seen.executions += 1;
        self.ran_since_lapse += 1;
        self.ran.push(attempt);
        self.ran.sort_unstable();
        if self.reported_not_run.contains(&attempt) {
            return Err("an attempt ran after it was reported as not run");
        }
        if self.nodes[index].born != self.lapses {
            return Err("an attempt ran after its record had lapsed");
        }
        if self.ran_since_lapse > 1 {
            return Err("the call ran twice");
        }
        Ok(())
    }

    fn report_not_run(&mut self, attempt: Attempt) -> std::result::Result<(), &'static str> {
        if self.ran.contains(&attempt) {
            return Err("an attempt that ran was reported as not run");
        }
        self.reported_not_run.push(attempt);
        self.reported_not_run.sort_unstable();
        Ok(())
    }

    fn act(
        &mut self,
        index: usize,
        call: Call,
        action: Action,
        seen: &mut Tally,
    ) -> std::result::Result<(), &'static str> {
        let attempt = call.origin().attempt;
        let place = match action {
            Action::Write(write) => Place::Writing(call, write),
            Action::Run => Place::Allowed(call),
            Action::Replay(answer) => {
                seen.replays += 1;
                let is_own = self.ran.iter().any(|ran| answer.body == ran.0);
                if !is_own {
                    return Err("a stored answer belongs to no execution");
                }
                self.report_not_run(attempt)?;
                Place::Idle
            }
            Action::Refuse {
                reason,
                retry_after,
            } => {
                let may_help = matches!(reason, Reason::PlatformDown | Reason::InProgress);
                if may_help != retry_after.is_some() {
                    return Err("a refusal says wrongly whether a repeat can help");
                }
                self.report_not_run(attempt)?;
                rest(call)
            }
            Action::Closed { .. } => rest(call),
        };
        self.nodes[index].place = place;
        Ok(())
    }

    fn take(&mut self, index: usize) -> Place {
        std::mem::replace(&mut self.nodes[index].place, Place::Idle)
    }

    fn moment(&self) -> Timestamp {
        let now = LAPSE.0 * u64::from(self.lapses);
        Timestamp {
            monotonic: Instant(now),
            unix_ms: now,
        }
    }
}

fn rest(call: Call) -> Place {
    if call.is_finished() {
        return Place::Idle;
    }
    Place::Unsettled(call)
}

fn answer(attempt: Attempt) -> Answer {
    Answer {
        status: 200,
        content_type: "text/plain".into(),
        body: attempt.0.to_vec(),
    }
}
