//! Tables and seeded sequences of crashes and answers.

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
enum Happening {
    /// A crash with others in flight.
    Shared(u8),
    /// A crash while the request ran alone.
    Alone(u8),
    Answered(u8),
    Minutes(u64),
}

use Happening::{Alone, Answered, Minutes, Shared};

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

fn play(ledger: &mut Tracker, happenings: &[Happening]) -> Instant {
    let mut now = Instant(0);
    for happening in happenings {
        match happening {
            Shared(number) => drop(ledger.record_crash(&crash(*number, false), now)),
            Alone(number) => drop(ledger.record_crash(&crash(*number, true), now)),
            Answered(number) => drop(ledger.record_answer(&digest(*number))),
            Minutes(count) => {
                now = now + Millis(MINUTE.0 * count);
                ledger.expire(now);
            }
        }
    }
    now
}

fn convicted(minutes: u64) -> Verdict {
    Verdict::Banned(Millis(MINUTE.0 * minutes))
}

#[rstest]
#[case::unknown(&[], Verdict::Clear)]
#[case::suspect(&[Shared(1)], Verdict::Suspect)]
#[case::other_suspect(&[Shared(2)], Verdict::Clear)]
#[case::cleared(&[Shared(1), Answered(1)], Verdict::Clear)]
#[case::convicted_alone(&[Shared(1), Alone(1)], convicted(10))]
#[case::convicted_at_once(&[Alone(1)], convicted(10))]
#[case::suspect_again(&[Shared(1), Shared(1)], Verdict::Suspect)]
#[case::too_many_crashes(&[Shared(1), Shared(1), Shared(1)], convicted(10))]
#[case::cleared_between(&[Shared(1), Shared(1), Answered(1), Shared(1)], Verdict::Suspect)]
#[case::conviction_runs_out(&[Alone(1), Minutes(10)], Verdict::Clear)]
#[case::conviction_holds(&[Alone(1), Minutes(9)], convicted(1))]
#[case::answer_does_not_acquit(&[Alone(1), Answered(1)], convicted(10))]
#[case::suspicion_runs_out(&[Shared(1), Minutes(10)], Verdict::Clear)]
fn a_digest_is_judged(#[case] happenings: &[Happening], #[case] verdict: Verdict) {
    let mut ledger = Tracker::default();
    let now = play(&mut ledger, happenings);
    assert_eq!(ledger.verdicts().of(&digest(1), now), verdict);
}

#[test]
fn a_conviction_reaches_other_nodes_and_is_never_prolonged_by_them() {
    let mut first = Tracker::default();
    let mut second = Tracker::default();
    first.record_crash(&crash(1, true), Instant(0));
    second.record_crash(&crash(1, false), Instant(0));
    let later = Instant(0) + MINUTE;
    let told = first.current_ban(&digest(1), later).expect("a conviction");
    assert!(second.adopt_ban(told, later).is_some());
    assert_eq!(second.adopt_ban(told, later), None);
    assert_eq!(second.verdicts().of(&digest(1), later), convicted(9));
    let back = second.current_ban(&digest(1), later).expect("a conviction");
    assert_eq!(first.adopt_ban(back, later), None);
    assert_eq!(first.verdicts().of(&digest(1), later), convicted(9));
}

#[test]
fn suspects_are_bounded() {
    let mut ledger = Tracker::default();
    for number in 0..10_000_u64 {
        let crash = Crash {
            digest: Digest::of(&number.to_be_bytes()),
            server: "group".into(),
            alone: false,
        };
        ledger.record_crash(&crash, Instant(number));
    }
    let verdicts = ledger.verdicts();
    let last = Digest::of(&9_999_u64.to_be_bytes());
    let first = Digest::of(&0_u64.to_be_bytes());
    assert_eq!(verdicts.of(&last, Instant(10_000)), Verdict::Suspect);
    assert_eq!(verdicts.of(&first, Instant(10_000)), Verdict::Clear);
}

/// Plays a fleet in which one request crashes whatever runs it, among innocent ones.
#[test]
fn the_guilty_one_costs_few_servers_and_innocents_are_never_refused() {
    const GUILTY: u8 = 0;
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
            let mut ledger = Tracker::default();
            let mut crashes = 0;
            for (step, batch) in batches.iter().enumerate() {
                let now = Instant(step as u64);
                let verdicts = ledger.verdicts();
                let mut together = HashSet::new();
                for number in batch {
                    match verdicts.of(&digest(*number), now) {
                        Verdict::Clear => drop(together.insert(*number)),
                        Verdict::Suspect if *number == GUILTY => {
                            crashes += 1;
                            ledger.record_crash(&crash(GUILTY, true), now);
                        }
                        Verdict::Suspect => drop(ledger.record_answer(&digest(*number))),
                        Verdict::Banned(_) => prop_assert_eq!(*number, GUILTY),
                    }
                }
                let crashed = together.contains(&GUILTY);
                crashes += u32::from(crashed);
                for number in together {
                    if crashed {
                        ledger.record_crash(&crash(number, false), now);
                    } else {
                        ledger.record_answer(&digest(number));
                    }
                }
            }
            prop_assert!(crashes <= 3, "{} crashes", crashes);
            Ok(())
        })
        .expect("no sequence costs more");
}
