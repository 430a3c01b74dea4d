//! Pauses after failures: growth, bound, spread and a new beginning.

use jackdaw_core::units::Millis;
use jackdaw_policy::backoff::Backoff;
use rstest::rstest;

/// Failures in a row and the range of the pause after the last of them.
struct Case {
    failures: usize,
    least: u64,
    most: u64,
}

#[rstest]
#[case::first(Case { failures: 1, least: 500, most: 1_000 })]
#[case::second(Case { failures: 2, least: 1_000, most: 2_000 })]
#[case::fourth(Case { failures: 4, least: 4_000, most: 8_000 })]
#[case::bounded(Case { failures: 6, least: 7_500, most: 15_000 })]
#[case::for_hours(Case { failures: 10_000, least: 7_500, most: 15_000 })]
fn pause_grows_up_to_its_bound(#[case] case: Case) {
    for seed in 0..64 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut backoff = Backoff::new(Millis(500), Millis(15_000));
        let pauses: Vec<u64> = (0..case.failures)
            .map(|_| backoff.next_pause(&mut random).0)
            .collect();
        let last = pauses[case.failures - 1];
        assert!(
            (case.least..=case.most).contains(&last),
            "{last} with seed {seed}"
        );
    }
}

/// How an attempt ended after nine failures, and whether its pause begins a new row.
struct Ending {
    succeeded: bool,
    lasted: u64,
    begins_anew: bool,
}

#[rstest]
#[case::success(Ending { succeeded: true, lasted: 1, begins_anew: true })]
#[case::failed_at_once(Ending { succeeded: false, lasted: 1, begins_anew: false })]
#[case::failed_within_the_longest_pause(Ending { succeeded: false, lasted: 15_000, begins_anew: false })]
#[case::failed_after_hours(Ending { succeeded: false, lasted: 7_200_000, begins_anew: true })]
fn attempt_that_went_well_begins_anew(#[case] ending: Ending) {
    let mut random = fastrand::Rng::with_seed(7);
    let mut backoff = Backoff::new(Millis(500), Millis(15_000));
    for _ in 0..9 {
        backoff.next_pause(&mut random);
    }
    let pause = backoff.pause_after(ending.succeeded, Millis(ending.lasted), &mut random);
    assert_eq!(pause <= Millis(1_000), ending.begins_anew, "{pause}");
}

/// 370 nodes lose the platform at once; it may answer two thousand reads a second.
#[test]
fn nodes_that_failed_together_do_not_return_together() {
    let mut returns = [0_u32; 16];
    for seed in 0..370 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut backoff = Backoff::new(Millis(500), Millis(15_000));
        for _ in 0..9 {
            backoff.next_pause(&mut random);
        }
        let pause = backoff.next_pause(&mut random);
        returns[usize::try_from(pause.0 / 1_000).expect("second")] += 1;
    }
    let busiest = returns.iter().max().copied().unwrap_or_default();
    assert!(busiest < 100, "{returns:?}");
}
