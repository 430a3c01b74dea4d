//! Pauses after failures: growth, bound, jitter and reset.

use jackdaw_core::units::Millis;
use jackdaw_policy::backoff::Backoff;
use rstest::rstest;

/// Number of consecutive failures and the range of the pause after the last one.
struct Case {
    failures: usize,
    min: u64,
    max: u64,
}

#[rstest]
#[case::first(Case { failures: 1, min: 500, max: 1_000 })]
#[case::second(Case { failures: 2, min: 1_000, max: 2_000 })]
#[case::fourth(Case { failures: 4, min: 4_000, max: 8_000 })]
#[case::bounded(Case { failures: 6, min: 7_500, max: 15_000 })]
#[case::for_hours(Case { failures: 10_000, min: 7_500, max: 15_000 })]
fn pause_doubles_up_to_its_bound(#[case] case: Case) {
    for seed in 0..64 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut backoff = Backoff::new(Millis(500), Millis(15_000));
        let pauses: Vec<u64> = (0..case.failures)
            .map(|_| backoff.next_pause(&mut random).0)
            .collect();
        let last = pauses[case.failures - 1];
        assert!(
            (case.min..=case.max).contains(&last),
            "{last} with seed {seed}"
        );
    }
}

/// End of an attempt after nine failures, and whether it resets the pause.
struct Ending {
    succeeded: bool,
    lasted: u64,
    resets: bool,
}

#[rstest]
#[case::success(Ending { succeeded: true, lasted: 1, resets: true })]
#[case::failed_at_once(Ending { succeeded: false, lasted: 1, resets: false })]
#[case::failed_within_the_longest_pause(Ending { succeeded: false, lasted: 15_000, resets: false })]
#[case::failed_after_hours(Ending { succeeded: false, lasted: 7_200_000, resets: true })]
fn success_or_long_attempt_resets_the_pause(#[case] ending: Ending) {
    let mut random = fastrand::Rng::with_seed(7);
    let mut backoff = Backoff::new(Millis(500), Millis(15_000));
    for _ in 0..9 {
        backoff.next_pause(&mut random);
    }
    let pause = backoff.pause_after(ending.succeeded, Millis(ending.lasted), &mut random);
    assert_eq!(pause <= Millis(1_000), ending.resets, "{pause}");
}

/// 370 nodes lose the platform at once; it answers at most 2,000 reads per second.
#[test]
fn nodes_that_failed_together_do_not_retry_together() {
    let mut retries = [0_u32; 16];
    for seed in 0..370 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut backoff = Backoff::new(Millis(500), Millis(15_000));
        for _ in 0..9 {
            backoff.next_pause(&mut random);
        }
        let pause = backoff.next_pause(&mut random);
        retries[usize::try_from(pause.0 / 1_000).expect("second")] += 1;
    }
    let busiest = retries.iter().max().copied().unwrap_or_default();
    assert!(busiest < 100, "{retries:?}");
}
