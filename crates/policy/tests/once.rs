//! Non-idempotent calls run at most once, whatever fails.

use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_policy::once::{
    Action, Answer, Attempt, Call, Condition, Event, Initiator, Limits, Record, Request, Result,
    State, StoredRecord, Timestamp, record_key,
};
use rstest::rstest;

/// What is fed to a call.
#[derive(Clone, Copy, Debug)]
enum Feed {
    Open,
    Written(u64),
    Lost,
    Unsent,
    Rejected,
    FoundNothing,
    /// The call's own record, at a revision.
    FoundOwn(u64),
    /// The record of another attempt that was opened some milliseconds ago.
    FoundOther(Held, u64),
    /// The record of another request with the same key.
    FoundMismatch,
    /// Time passes on both clocks, or only on the monotonic or the wall clock.
    Wait(u64),
    WaitMonotonic(u64),
    WaitWall(u64),
    MayDispatch,
    Complete,
    CompleteLarge,
    NotRun,
    Unknown,
    Settle,
}

/// State of another attempt's record.
#[derive(Clone, Copy, Debug)]
enum Held {
    Intended,
    Completed,
    CompletedLarge,
    Unknown,
    NotRun,
}

/// A sequence of feeds and what the call does at each.
struct Case {
    steps: &'static [(Feed, &'static str)],
}

/// Limits with round numbers: a window of 10 s, running for 60 s, two tries, answers of 4 bytes.
fn limits() -> Limits {
    Limits {
        max_answer_bytes: 4,
        ..Limits::default()
    }
}

fn answer(body: &str) -> Answer {
    Answer {
        status: 200,
        content_type: "text/plain".into(),
        body: body.into(),
    }
}

fn record(attempt: u8, state: State, opened_unix_ms: u64) -> Record {
    Record {
        team: "desk".into(),
        key: "box-7".into(),
        digest: Digest([7; 32]),
        node: "node".into(),
        attempt: Attempt([attempt; 16]),
        opened_unix_ms,
        state,
    }
}

/// One call and its clocks.
struct Bench {
    call: Option<Call>,
    at: Timestamp,
}

impl Bench {
    fn feed(&mut self, feed: Feed) -> String {
        let at = self.at;
        let event = match feed {
            Feed::Open => return self.open(),
            Feed::Wait(span) => return self.wait(span, span),
            Feed::WaitMonotonic(span) => return self.wait(span, 0),
            Feed::WaitWall(span) => return self.wait(0, span),
            Feed::MayDispatch => return self.call().may_dispatch(at).to_string(),
            Feed::Complete => return self.close(Result::Completed(answer("done"))),
            Feed::CompleteLarge => return self.close(Result::Completed(answer("too large"))),
            Feed::NotRun => return self.close(Result::NotRun),
            Feed::Unknown => return self.close(Result::Unknown),
            Feed::Settle => {
                let action = self.call().retry_write();
                return action.map_or("nothing".into(), |action| show(&action));
            }
            Feed::Written(revision) => Event::Written(revision),
            Feed::Lost => Event::Lost,
            Feed::Unsent => Event::Unsent,
            Feed::Rejected => Event::Rejected,
            Feed::FoundNothing => Event::Found(None),
            Feed::FoundOwn(revision) => found(record(1, State::Intended, 0), revision),
            Feed::FoundOther(held, age) => {
                let opened = at.unix_ms - age;
                found(record(2, held.state(), opened), 9)
            }
            Feed::FoundMismatch => {
                let mut other = record(2, State::NotRun, 0);
                other.digest = Digest([8; 32]);
                found(other, 9)
            }
        };
        show(&self.call().step(event, at))
    }

    fn open(&mut self) -> String {
        let request = Request {
            team: "desk".into(),
            key: "box-7".into(),
            digest: Digest([7; 32]),
        };
        let origin = Initiator {
            node: "node".into(),
            attempt: Attempt([1; 16]),
            started: self.at,
        };
        let (call, action) = Call::open(request, origin, limits());
        self.call = Some(call);
        show(&action)
    }

    fn close(&mut self, result: Result) -> String {
        show(&self.call().close(result))
    }

    fn wait(&mut self, monotonic: u64, wall: u64) -> String {
        self.at.monotonic = Instant(self.at.monotonic.0 + monotonic);
        self.at.unix_ms += wall;
        "waited".into()
    }

    fn call(&mut self) -> &mut Call {
        self.call.as_mut().unwrap()
    }
}

impl Held {
    fn state(self) -> State {
        match self {
            Held::Intended => State::Intended,
            Held::Completed => State::Completed {
                answer: Some(answer("kept")),
            },
            Held::CompletedLarge => State::Completed { answer: None },
            Held::Unknown => State::Unknown,
            Held::NotRun => State::NotRun,
        }
    }
}

fn found(record: Record, revision: u64) -> Event {
    Event::Found(Some(StoredRecord { record, revision }))
}

fn show(action: &Action) -> String {
    match action {
        Action::Write(write) => {
            let when = match write.condition {
                Condition::Absent => "absent".to_owned(),
                Condition::Unchanged(revision) => format!("@{revision}"),
            };
            let kept = match &write.record.state {
                State::Completed { answer } => answer.is_some().to_string(),
                _ => String::new(),
            };
            format!("{when} {}{kept}", write.record.state.label())
        }
        Action::Run => "run".into(),
        Action::Replay(answer) => String::from_utf8(answer.body.clone()).unwrap(),
        Action::Refuse {
            reason,
            retry_after,
        } => match retry_after {
            Some(span) => format!("{reason}, again in {span}"),
            None => reason.to_string(),
        },
        Action::Closed { recorded } => format!("recorded {recorded}"),
    }
}

const DOWN: &str = "platform-down, again in 1000 ms";
const BUSY: &str = "in-progress, again in 1000 ms";

const COMPLETES: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::Written(5), "run"),
        (Feed::MayDispatch, "true"),
        (Feed::Complete, "@5 completedtrue"),
        (Feed::MayDispatch, "false"),
        (Feed::Written(6), "recorded true"),
        (Feed::Settle, "nothing"),
        (Feed::Complete, "recorded false"),
    ],
};

const LARGE_ANSWER: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::Written(5), "run"),
        (Feed::CompleteLarge, "@5 completedfalse"),
        (Feed::Written(6), "recorded true"),
    ],
};

const INTENT_LOST_THEN_OWN: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::Lost, "absent intended"),
        (Feed::FoundOwn(5), "run"),
        (Feed::NotRun, "@5 not-run"),
    ],
};

const INTENT_LOST_THEN_OTHER: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::Lost, "absent intended"),
        (Feed::FoundOther(Held::Intended, 0), BUSY),
        (Feed::MayDispatch, "false"),
        (Feed::Settle, "nothing"),
    ],
};

const INTENT_LOST_FOR_GOOD: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::Lost, "absent intended"),
        (Feed::Lost, DOWN),
        (Feed::MayDispatch, "false"),
        (Feed::Settle, "absent not-run"),
        (Feed::Unsent, "recorded false"),
        (Feed::Settle, "absent not-run"),
        (Feed::FoundOwn(5), "@5 not-run"),
        (Feed::Written(6), "recorded true"),
        (Feed::Settle, "nothing"),
    ],
};

const INTENT_UNSENT: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::Unsent, DOWN),
        (Feed::Settle, "nothing"),
    ],
};

const INTENT_LOST_THEN_UNSENT: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::Lost, "absent intended"),
        (Feed::Unsent, DOWN),
        (Feed::Settle, "absent not-run"),
        (Feed::FoundOther(Held::Completed, 0), "recorded true"),
    ],
};

const INTENT_REJECTED: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::Rejected, DOWN),
        (Feed::Settle, "nothing"),
    ],
};

const INTENT_AFTER_WINDOW: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::Wait(10_000), "waited"),
        (Feed::Written(5), DOWN),
        (Feed::Settle, "@5 not-run"),
        (Feed::Written(6), "recorded true"),
    ],
};

const PAUSED_BEFORE_DISPATCH: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::Written(5), "run"),
        (Feed::WaitMonotonic(9_999), "waited"),
        (Feed::MayDispatch, "true"),
        (Feed::WaitMonotonic(1), "waited"),
        (Feed::MayDispatch, "false"),
        (Feed::NotRun, "@5 not-run"),
        (Feed::FoundNothing, "recorded false"),
        (Feed::Settle, "nothing"),
    ],
};

const SUSPENDED_BEFORE_DISPATCH: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::Written(5), "run"),
        (Feed::WaitWall(10_000), "waited"),
        (Feed::MayDispatch, "false"),
    ],
};

const REPEAT_OF_COMPLETED: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::FoundOther(Held::Completed, 0), "kept"),
        (Feed::Settle, "nothing"),
    ],
};

const REPEAT_OF_LARGE: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::FoundOther(Held::CompletedLarge, 0), "may-have-run"),
    ],
};

const REPEAT_OF_UNKNOWN: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::FoundOther(Held::Unknown, 0), "may-have-run"),
    ],
};

const REPEAT_OF_RUNNING: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::FoundOther(Held::Intended, 0), BUSY),
        (Feed::Wait(100_000), "waited"),
        (Feed::Open, "absent intended"),
        (Feed::FoundOther(Held::Intended, 59_999), BUSY),
        (Feed::Open, "absent intended"),
        (Feed::FoundOther(Held::Intended, 60_000), "may-have-run"),
    ],
};

const REPEAT_OF_NOT_RUN: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::FoundOther(Held::NotRun, 0), "@9 intended"),
        (Feed::Lost, "@9 intended"),
        (Feed::FoundOwn(10), "run"),
        (Feed::MayDispatch, "true"),
    ],
};

const REPEATS_RACE_FOR_NOT_RUN: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::FoundOther(Held::NotRun, 0), "@9 intended"),
        (Feed::FoundOther(Held::Intended, 0), BUSY),
    ],
};

const RECORD_LAPSES_BEFORE_TAKING_OVER: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::FoundNothing, "absent intended"),
        (Feed::FoundNothing, "absent intended"),
        (Feed::FoundNothing, DOWN),
    ],
};

const ANOTHER_BODY: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::FoundMismatch, "idempotency-key-mismatch"),
        (Feed::Settle, "nothing"),
    ],
};

const RESULT_LOST: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::Written(5), "run"),
        (Feed::Complete, "@5 completedtrue"),
        (Feed::Lost, "@5 completedtrue"),
        (Feed::Lost, "recorded false"),
        (Feed::Settle, "@5 completedtrue"),
        (Feed::Written(6), "recorded true"),
    ],
};

const NOT_RUN_LOST_AND_TAKEN_OVER: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::Written(5), "run"),
        (Feed::NotRun, "@5 not-run"),
        (Feed::Lost, "@5 not-run"),
        (Feed::FoundOther(Held::Intended, 0), "recorded true"),
        (Feed::Settle, "nothing"),
    ],
};

const UNKNOWN_WHILE_DOWN: Case = Case {
    steps: &[
        (Feed::Open, "absent intended"),
        (Feed::Written(5), "run"),
        (Feed::Unknown, "@5 unknown"),
        (Feed::Unsent, "recorded false"),
        (Feed::Settle, "@5 unknown"),
        (Feed::Rejected, "recorded false"),
        (Feed::Settle, "nothing"),
    ],
};

#[rstest]
#[case::completes(COMPLETES)]
#[case::large_answer(LARGE_ANSWER)]
#[case::intent_lost_then_own(INTENT_LOST_THEN_OWN)]
#[case::intent_lost_then_other(INTENT_LOST_THEN_OTHER)]
#[case::intent_lost_for_good(INTENT_LOST_FOR_GOOD)]
#[case::intent_unsent(INTENT_UNSENT)]
#[case::intent_lost_then_unsent(INTENT_LOST_THEN_UNSENT)]
#[case::intent_rejected(INTENT_REJECTED)]
#[case::intent_after_window(INTENT_AFTER_WINDOW)]
#[case::paused_before_dispatch(PAUSED_BEFORE_DISPATCH)]
#[case::suspended_before_dispatch(SUSPENDED_BEFORE_DISPATCH)]
#[case::repeat_of_completed(REPEAT_OF_COMPLETED)]
#[case::repeat_of_large(REPEAT_OF_LARGE)]
#[case::repeat_of_unknown(REPEAT_OF_UNKNOWN)]
#[case::repeat_of_running(REPEAT_OF_RUNNING)]
#[case::repeat_of_not_run(REPEAT_OF_NOT_RUN)]
#[case::repeats_race_for_not_run(REPEATS_RACE_FOR_NOT_RUN)]
#[case::record_lapses_before_taking_over(RECORD_LAPSES_BEFORE_TAKING_OVER)]
#[case::another_body(ANOTHER_BODY)]
#[case::result_lost(RESULT_LOST)]
#[case::not_run_lost_and_taken_over(NOT_RUN_LOST_AND_TAKEN_OVER)]
#[case::unknown_while_down(UNKNOWN_WHILE_DOWN)]
fn call(#[case] case: Case) {
    let mut bench = Bench {
        call: None,
        at: Timestamp::default(),
    };
    for (feed, expected) in case.steps {
        assert_eq!(&bench.feed(*feed), expected, "{feed:?}");
    }
}

#[rstest]
#[case::intended(Held::Intended)]
#[case::completed(Held::Completed)]
#[case::completed_large(Held::CompletedLarge)]
#[case::unknown(Held::Unknown)]
#[case::not_run(Held::NotRun)]
fn record_survives_its_encoding(#[case] held: Held) {
    let record = record(2, held.state(), 7);
    let text = serde_json::to_string(&record).unwrap();
    assert_eq!(serde_json::from_str::<Record>(&text).unwrap(), record);
}

#[test]
fn teams_and_keys_never_share_a_path() {
    assert_ne!(record_key("a/b", "c"), record_key("a", "b/c"));
    assert_ne!(record_key("a", "b"), record_key("a", "c"));
}

#[test]
fn refusal_names_the_record_in_its_way() {
    let mut bench = Bench {
        call: None,
        at: Timestamp::default(),
    };
    bench.feed(Feed::Open);
    bench.feed(Feed::Wait(5));
    let action = bench.call().step(
        found(record(2, State::Intended, 2), 9),
        Timestamp {
            monotonic: Instant(5),
            unix_ms: 5,
        },
    );
    let decision = bench.call().explain(&action).unwrap();
    assert_eq!(decision.taken, "do not run it");
    assert_eq!(
        decision.weighed[0].against,
        "another attempt may be running"
    );
    let inputs: Vec<(&str, &str)> = decision
        .inputs
        .iter()
        .map(|input| (input.name.as_str(), input.value.as_str()))
        .collect();
    for expected in [
        ("record of node", "node"),
        ("record state", "intended"),
        ("record age", "3 ms"),
    ] {
        assert!(inputs.contains(&expected), "{expected:?} in {inputs:?}");
    }
}
