//! Tests that a non-idempotent call runs at most once under every fault of its writes.

use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_policy::once::{
    Action, Answer, Attempt, Call, Condition, Event, Initiator, Limits, Record, Request, Result,
    State, StoredRecord, Timestamp, record_key,
};
use rstest::rstest;

/// One input of a call.
#[derive(Clone, Copy, Debug)]
enum Input {
    Open,
    Written(u64),
    Lost,
    Unsent,
    Rejected,
    FoundNothing,
    /// The call's own record is found at a revision.
    FoundOwn(u64),
    /// The record of another attempt is found, which started some milliseconds ago.
    FoundOther(OtherState, u64),
    /// The record of another request with the same key is found.
    FoundMismatch,
    /// Both clocks advance by some milliseconds.
    Wait(u64),
    /// Only the monotonic clock advances.
    WaitMonotonic(u64),
    /// Only the wall clock advances.
    WaitWall(u64),
    MayDispatch,
    Complete,
    CompleteLarge,
    NotRun,
    Unknown,
    Settle,
}

/// State of the record of another attempt.
#[derive(Clone, Copy, Debug)]
enum OtherState {
    Intended,
    Completed,
    CompletedLarge,
    Unknown,
    NotRun,
}

/// Inputs and the action that the call returns for each.
struct Case {
    steps: &'static [(Input, &'static str)],
}

/// Returns the default limits (10 s window, 60 s in progress, two tries) with answers of 4 bytes.
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

/// A call and the clocks that it reads.
struct Harness {
    call: Option<Call>,
    at: Timestamp,
}

impl Harness {
    fn apply(&mut self, input: Input) -> String {
        let at = self.at;
        let event = match input {
            Input::Open => return self.open(),
            Input::Wait(span) => return self.wait(span, span),
            Input::WaitMonotonic(span) => return self.wait(span, 0),
            Input::WaitWall(span) => return self.wait(0, span),
            Input::MayDispatch => return self.call().may_dispatch(at).to_string(),
            Input::Complete => return self.close(Result::Completed(answer("done"))),
            Input::CompleteLarge => return self.close(Result::Completed(answer("too large"))),
            Input::NotRun => return self.close(Result::NotRun),
            Input::Unknown => return self.close(Result::Unknown),
            Input::Settle => {
                let action = self.call().retry_write();
                return action.map_or("nothing".into(), |action| describe(&action));
            }
            Input::Written(revision) => Event::Written(revision),
            Input::Lost => Event::Lost,
            Input::Unsent => Event::Unsent,
            Input::Rejected => Event::Rejected,
            Input::FoundNothing => Event::Found(None),
            Input::FoundOwn(revision) => found(record(1, State::Intended, 0), revision),
            Input::FoundOther(other_state, age) => {
                let opened = at.unix_ms - age;
                found(record(2, other_state.state(), opened), 9)
            }
            Input::FoundMismatch => {
                let mut other = record(2, State::NotRun, 0);
                other.digest = Digest([8; 32]);
                found(other, 9)
            }
        };
        describe(&self.call().step(event, at))
    }

    fn open(&mut self) -> String {
        let request = Request {
            team: "desk".into(),
            key: "box-7".into(),
            digest: Digest([7; 32]),
        };
        let initiator = Initiator {
            node: "node".into(),
            attempt: Attempt([1; 16]),
            started: self.at,
        };
        let (call, action) = Call::open(request, initiator, limits());
        self.call = Some(call);
        describe(&action)
    }

    fn close(&mut self, result: Result) -> String {
        describe(&self.call().close(result))
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

impl OtherState {
    fn state(self) -> State {
        match self {
            OtherState::Intended => State::Intended,
            OtherState::Completed => State::Completed {
                answer: Some(answer("kept")),
            },
            OtherState::CompletedLarge => State::Completed { answer: None },
            OtherState::Unknown => State::Unknown,
            OtherState::NotRun => State::NotRun,
        }
    }
}

fn found(record: Record, revision: u64) -> Event {
    Event::Found(Some(StoredRecord { record, revision }))
}

fn describe(action: &Action) -> String {
    match action {
        Action::Write(write) => {
            let when = match write.condition {
                Condition::Absent => "absent".to_owned(),
                Condition::Unchanged(revision) => format!("@{revision}"),
            };
            let has_answer = match &write.record.state {
                State::Completed { answer } => answer.is_some().to_string(),
                _ => String::new(),
            };
            format!("{when} {}{has_answer}", write.record.state.label())
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

const PLATFORM_DOWN: &str = "platform-down, again in 1000 ms";
const IN_PROGRESS: &str = "in-progress, again in 1000 ms";

const COMPLETES: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (Input::Written(5), "run"),
        (Input::MayDispatch, "true"),
        (Input::Complete, "@5 completedtrue"),
        (Input::MayDispatch, "false"),
        (Input::Written(6), "recorded true"),
        (Input::Settle, "nothing"),
        (Input::Complete, "recorded false"),
    ],
};

const LARGE_ANSWER: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (Input::Written(5), "run"),
        (Input::CompleteLarge, "@5 completedfalse"),
        (Input::Written(6), "recorded true"),
    ],
};

const INTENT_LOST_THEN_OWN: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (Input::Lost, "absent intended"),
        (Input::FoundOwn(5), "run"),
        (Input::NotRun, "@5 not-run"),
    ],
};

const INTENT_LOST_THEN_OTHER: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (Input::Lost, "absent intended"),
        (Input::FoundOther(OtherState::Intended, 0), IN_PROGRESS),
        (Input::MayDispatch, "false"),
        (Input::Settle, "nothing"),
    ],
};

const INTENT_LOST_REPEATEDLY: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (Input::Lost, "absent intended"),
        (Input::Lost, PLATFORM_DOWN),
        (Input::MayDispatch, "false"),
        (Input::Settle, "absent not-run"),
        (Input::Unsent, "recorded false"),
        (Input::Settle, "absent not-run"),
        (Input::FoundOwn(5), "@5 not-run"),
        (Input::Written(6), "recorded true"),
        (Input::Settle, "nothing"),
    ],
};

const INTENT_UNSENT: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (Input::Unsent, PLATFORM_DOWN),
        (Input::Settle, "nothing"),
    ],
};

const INTENT_LOST_THEN_UNSENT: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (Input::Lost, "absent intended"),
        (Input::Unsent, PLATFORM_DOWN),
        (Input::Settle, "absent not-run"),
        (Input::FoundOther(OtherState::Completed, 0), "recorded true"),
    ],
};

const INTENT_REJECTED: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (Input::Rejected, PLATFORM_DOWN),
        (Input::Settle, "nothing"),
    ],
};

const INTENT_AFTER_WINDOW: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (Input::Wait(10_000), "waited"),
        (Input::Written(5), PLATFORM_DOWN),
        (Input::Settle, "@5 not-run"),
        (Input::Written(6), "recorded true"),
    ],
};

const PAUSED_BEFORE_DISPATCH: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (Input::Written(5), "run"),
        (Input::WaitMonotonic(9_999), "waited"),
        (Input::MayDispatch, "true"),
        (Input::WaitMonotonic(1), "waited"),
        (Input::MayDispatch, "false"),
        (Input::NotRun, "@5 not-run"),
        (Input::FoundNothing, "recorded false"),
        (Input::Settle, "nothing"),
    ],
};

const SUSPENDED_BEFORE_DISPATCH: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (Input::Written(5), "run"),
        (Input::WaitWall(10_000), "waited"),
        (Input::MayDispatch, "false"),
    ],
};

const REPEAT_OF_COMPLETED: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (Input::FoundOther(OtherState::Completed, 0), "kept"),
        (Input::Settle, "nothing"),
    ],
};

const REPEAT_OF_LARGE: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (
            Input::FoundOther(OtherState::CompletedLarge, 0),
            "may-have-run",
        ),
    ],
};

const REPEAT_OF_UNKNOWN: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (Input::FoundOther(OtherState::Unknown, 0), "may-have-run"),
    ],
};

const REPEAT_OF_RUNNING: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (Input::FoundOther(OtherState::Intended, 0), IN_PROGRESS),
        (Input::Wait(100_000), "waited"),
        (Input::Open, "absent intended"),
        (Input::FoundOther(OtherState::Intended, 59_999), IN_PROGRESS),
        (Input::Open, "absent intended"),
        (
            Input::FoundOther(OtherState::Intended, 60_000),
            "may-have-run",
        ),
    ],
};

const REPEAT_OF_NOT_RUN: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (Input::FoundOther(OtherState::NotRun, 0), "@9 intended"),
        (Input::Lost, "@9 intended"),
        (Input::FoundOwn(10), "run"),
        (Input::MayDispatch, "true"),
    ],
};

const REPEATS_RACE_FOR_NOT_RUN: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (Input::FoundOther(OtherState::NotRun, 0), "@9 intended"),
        (Input::FoundOther(OtherState::Intended, 0), IN_PROGRESS),
    ],
};

const RECORD_EXPIRES_BEFORE_TAKEOVER: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (Input::FoundNothing, "absent intended"),
        (Input::FoundNothing, "absent intended"),
        (Input::FoundNothing, PLATFORM_DOWN),
    ],
};

const KEY_REUSED_FOR_ANOTHER_REQUEST: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (Input::FoundMismatch, "idempotency-key-mismatch"),
        (Input::Settle, "nothing"),
    ],
};

const RESULT_LOST: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (Input::Written(5), "run"),
        (Input::Complete, "@5 completedtrue"),
        (Input::Lost, "@5 completedtrue"),
        (Input::Lost, "recorded false"),
        (Input::Settle, "@5 completedtrue"),
        (Input::Written(6), "recorded true"),
    ],
};

const NOT_RUN_LOST_AND_TAKEN_OVER: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (Input::Written(5), "run"),
        (Input::NotRun, "@5 not-run"),
        (Input::Lost, "@5 not-run"),
        (Input::FoundOther(OtherState::Intended, 0), "recorded true"),
        (Input::Settle, "nothing"),
    ],
};

const UNKNOWN_RESULT_WHILE_PLATFORM_DOWN: Case = Case {
    steps: &[
        (Input::Open, "absent intended"),
        (Input::Written(5), "run"),
        (Input::Unknown, "@5 unknown"),
        (Input::Unsent, "recorded false"),
        (Input::Settle, "@5 unknown"),
        (Input::Rejected, "recorded false"),
        (Input::Settle, "nothing"),
    ],
};

#[rstest]
#[case::completes(COMPLETES)]
#[case::large_answer(LARGE_ANSWER)]
#[case::intent_lost_then_own(INTENT_LOST_THEN_OWN)]
#[case::intent_lost_then_other(INTENT_LOST_THEN_OTHER)]
#[case::intent_lost_repeatedly(INTENT_LOST_REPEATEDLY)]
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
#[case::record_expires_before_takeover(RECORD_EXPIRES_BEFORE_TAKEOVER)]
#[case::key_reused_for_another_request(KEY_REUSED_FOR_ANOTHER_REQUEST)]
#[case::result_lost(RESULT_LOST)]
#[case::not_run_lost_and_taken_over(NOT_RUN_LOST_AND_TAKEN_OVER)]
#[case::unknown_result_while_platform_down(UNKNOWN_RESULT_WHILE_PLATFORM_DOWN)]
fn call_returns_the_expected_action_for_each_input(#[case] case: Case) {
    let mut harness = Harness {
        call: None,
        at: Timestamp::default(),
    };
    for (input, expected) in case.steps {
        assert_eq!(&harness.apply(*input), expected, "{input:?}");
    }
}

#[rstest]
#[case::intended(OtherState::Intended)]
#[case::completed(OtherState::Completed)]
#[case::completed_large(OtherState::CompletedLarge)]
#[case::unknown(OtherState::Unknown)]
#[case::not_run(OtherState::NotRun)]
fn record_is_equal_after_a_json_round_trip(#[case] other_state: OtherState) {
    let record = record(2, other_state.state(), 7);
    let text = serde_json::to_string(&record).unwrap();
    assert_eq!(serde_json::from_str::<Record>(&text).unwrap(), record);
}

#[test]
fn different_teams_or_keys_have_different_record_keys() {
    assert_ne!(record_key("a/b", "c"), record_key("a", "b/c"));
    assert_ne!(record_key("a", "b"), record_key("a", "c"));
}

#[test]
fn refusal_explains_the_conflicting_record() {
    let mut harness = Harness {
        call: None,
        at: Timestamp::default(),
    };
    harness.apply(Input::Open);
    harness.apply(Input::Wait(5));
    let action = harness.call().step(
        found(record(2, State::Intended, 2), 9),
        Timestamp {
            monotonic: Instant(5),
            unix_ms: 5,
        },
    );
    let decision = harness.call().explain(&action).unwrap();
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
