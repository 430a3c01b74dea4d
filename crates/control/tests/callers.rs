//! Crashes that the data path reports change the verdicts in its next snapshot.

use jackdaw_control::event::Event;
use jackdaw_control::options::Options;
use jackdaw_control::state::{Action, State};
use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_core::units::{Generation, Millis};
use jackdaw_entry::event::Event as EntryEvent;
use jackdaw_policy::poison::{Features, Verdict};
use rstest::rstest;

fn digest() -> Digest {
    Digest::of(b"request")
}

fn broken(alone: bool) -> EntryEvent {
    EntryEvent::ConnectionLost {
        target: "qc-east-a/1".into(),
        generation: Generation(1),
        digest: digest(),
        alone,
    }
}

fn answered() -> EntryEvent {
    EntryEvent::Answered {
        target: "qc-east-a/2".into(),
        digest: digest(),
    }
}

#[rstest]
#[case::no_event(vec![], Verdict::Clear, 0)]
#[case::suspected(vec![broken(false)], Verdict::Suspect, 1)]
#[case::cleared(vec![broken(false), answered()], Verdict::Clear, 2)]
#[case::banned(vec![broken(false), broken(true)], Verdict::Banned(Millis::from_secs(600)), 2)]
fn crash_events_yield_verdicts_and_decisions(
    #[case] events: Vec<EntryEvent>,
    #[case] verdict: Verdict,
    #[case] decisions: usize,
) {
    let mut state = State::new(Options::default());
    let mut explained = 0;
    let mut published = 0;
    let count = events.len();
    for event in events {
        for action in state.step(Event::Entry(event), Instant(0), 0) {
            match action {
                Action::PublishDecision(_) => explained += 1,
                Action::PublishSnapshot => published += 1,
                other => panic!("unexpected {other:?}"),
            }
        }
    }
    let snapshot = state.snapshot(Instant(0), 0);
    let features = Features::of_request(digest());
    assert_eq!(snapshot.verdicts.of(&features, Instant(0)), verdict);
    assert_eq!(explained, decisions);
    assert_eq!(published, count);
    assert_eq!((snapshot.nodes, snapshot.zone_nodes), (1, 1));
}
