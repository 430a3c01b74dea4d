//! Table tests and seeded random sequences of crashes and answers.

use std::collections::HashSet;

use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_core::units::Millis;
use jackdaw_policy::poison::{Crash, Tracker, Verdict};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

const MINUTE: Millis = Millis::from_secs(60);

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A crash with other requests in flight.
    Shared(u8),
    /// A crash while the request ran alone.
    Alone(u8),
    /// A complete answer.
    Answered(u8),
    /// Minutes that pass.
    Minutes(u64),
}

use Event::{Alone, Answered, Minutes, Shared};

fn digest(number: u8) -> Digest {
    Digest::of(&[number])
}

fn crash(number: u8, alone: bool) -> Crash {
    Crash {
        digest: digest(number),
        server: "group".into(),
        alone,
    }
}

fn apply_events(tracker: &mut Tracker, events: &[Event]) -> Instant {
    let mut now = Instant(0);
    for event in events {
        match event {
            Shared(number) => drop(tracker.record_crash(&crash(*number, false), now)),
            Alone(number) => drop(tracker.record_crash(&crash(*number, true), now)),
            Answered(number) => drop(tracker.record_answer(&digest(*number))),
            Minutes(count) => {
                now = now + Millis(MINUTE.0 * count);
                tracker.expire(now);
            }
        }
    }
    now
}

fn banned(minutes: u64) -> Verdict {
    Verdict::Banned(Millis(MINUTE.0 * minutes))
}

#[rstest]
#[case::unknown(&[], Verdict::Clear)]
#[case::suspect(&[Shared(1)], Verdict::Suspect)]
#[case::other_suspect(&[Shared(2)], Verdict::Clear)]
#[case::cleared(&[Shared(1), Answered(1)], Verdict::Clear)]
#[case::banned_after_crash_alone(&[Shared(1), Alone(1)], banned(10))]
#[case::banned_at_first_crash_alone(&[Alone(1)], banned(10))]
#[case::suspect_again(&[Shared(1), Shared(1)], Verdict::Suspect)]
#[case::too_many_crashes(&[Shared(1), Shared(1), Shared(1)], banned(10))]
#[case::crash_count_restarts_when_cleared(&[Shared(1), Shared(1), Answered(1), Shared(1)], Verdict::Suspect)]
#[case::ban_expires(&[Alone(1), Minutes(10)], Verdict::Clear)]
#[case::ban_in_force(&[Alone(1), Minutes(9)], banned(1))]
#[case::answer_does_not_lift_the_ban(&[Alone(1), Answered(1)], banned(10))]
#[case::suspect_expires(&[Shared(1), Minutes(10)], Verdict::Clear)]
fn events_lead_to_the_expected_verdict(#[case] events: &[Event], #[case] verdict: Verdict) {
    let mut tracker = Tracker::default();
    let now = apply_events(&mut tracker, events);
    assert_eq!(tracker.verdicts().of(&digest(1), now), verdict);
}

#[test]
fn ban_from_another_node_is_adopted_and_never_prolonged() {
    let mut first = Tracker::default();
    let mut second = Tracker::default();
    first.record_crash(&crash(1, true), Instant(0));
    second.record_crash(&crash(1, false), Instant(0));
    let later = Instant(0) + MINUTE;
    let published = first.current_ban(&digest(1), later).expect("a ban");
    assert!(second.adopt_ban(published, later).is_some());
    assert_eq!(second.adopt_ban(published, later), None);
    assert_eq!(second.verdicts().of(&digest(1), later), banned(9));
    let returned = second.current_ban(&digest(1), later).expect("a ban");
    assert_eq!(first.adopt_ban(returned, later), None);
    assert_eq!(first.verdicts().of(&digest(1), later), banned(9));
}

#[test]
fn oldest_suspect_is_dropped_above_the_limit() {
    let mut tracker = Tracker::default();
    for number in 0..10_000_u64 {
        let crash = Crash {
            digest: Digest::of(&number.to_be_bytes()),
            server: "group".into(),
            alone: false,
        };
        tracker.record_crash(&crash, Instant(number));
    }
    let verdicts = tracker.verdicts();
    let last = Digest::of(&9_999_u64.to_be_bytes());
    let first = Digest::of(&0_u64.to_be_bytes());
    assert_eq!(verdicts.of(&last, Instant(10_000)), Verdict::Suspect);
    assert_eq!(verdicts.of(&first, Instant(10_000)), Verdict::Clear);
}

/// Simulates batches of requests in which one digest crashes every server that runs it.
#[test]
fn crashing_request_costs_at_most_three_servers_and_no_other_is_refused() {
    const CRASHING: u8 = 0;
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let batches = prop::collection::vec(prop::collection::vec(0..20_u8, 1..6), 1..40);
    runner
        .run(&batches, |batches| {
            let mut tracker = Tracker::default();
            let mut crashes = 0;
            for (step, batch) in batches.iter().enumerate() {
                let now = Instant(step as u64);
                let verdicts = tracker.verdicts();
                let mut concurrent = HashSet::new();
                for number in batch {
                    match verdicts.of(&digest(*number), now) {
                        Verdict::Clear => drop(concurrent.insert(*number)),
                        Verdict::Suspect if *number == CRASHING => {
                            crashes += 1;
                            tracker.record_crash(&crash(CRASHING, true), now);
                        }
                        Verdict::Suspect => drop(tracker.record_answer(&digest(*number))),
                        Verdict::Banned(_) => prop_assert_eq!(*number, CRASHING),
                    }
                }
                let crashed = concurrent.contains(&CRASHING);
                crashes += u32::from(crashed);
                for number in concurrent {
                    if crashed {
                        tracker.record_crash(&crash(number, false), now);
                    } else {
                        tracker.record_answer(&digest(number));
                    }
                }
            }
            prop_assert!(crashes <= 3, "{} crashes", crashes);
            Ok(())
        })
        .expect("at most three crashes and no harmless request refused");
}
