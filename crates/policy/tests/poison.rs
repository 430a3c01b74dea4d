//! Table tests and seeded random sequences of crashes and answers.

use std::collections::HashSet;

use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_core::units::Millis;
use jackdaw_policy::poison::{Crash, Evidence, Feature, Features, Tracker, Verdict};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

const MINUTE: Millis = Millis::from_secs(60);

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A crash with other requests in flight.
    Shared(u8),
    /// A crash of always the same incarnation, with other requests in flight.
    Repeated(u8),
    /// A crash while the request ran alone.
    Alone(u8),
    /// A complete answer.
    Answered(u8),
    /// Minutes that pass.
    Minutes(u64),
}

use Event::{Alone, Answered, Minutes, Repeated, Shared};

fn digest(number: u8) -> Digest {
    Digest::of(&[number])
}

fn features(number: u8) -> Features<'static> {
    Features::of_request(digest(number))
}

fn feature(number: u8) -> Feature {
    Feature::Request(digest(number))
}

/// Returns the crash of an incarnation of a server.
fn crash(incarnation: u64, alone: bool) -> Crash {
    Crash {
        server: "group".into(),
        incarnation,
        alone,
    }
}

fn apply_events(tracker: &mut Tracker, events: &[Event]) -> Instant {
    let mut now = Instant(0);
    for (step, event) in events.iter().enumerate() {
        let incarnation = step as u64;
        match event {
            Shared(number) => {
                drop(tracker.record_crash(&crash(incarnation, false), &features(*number), now));
            }
            Repeated(number) => {
                drop(tracker.record_crash(&crash(u64::MAX, false), &features(*number), now));
            }
            Alone(number) => {
                drop(tracker.record_crash(&crash(incarnation, true), &features(*number), now))
            }
            Answered(number) => drop(tracker.record_survival(&features(*number), now)),
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
#[case::copies_in_flight_at_one_crash(&[Repeated(1), Repeated(1), Repeated(1)], Verdict::Suspect)]
#[case::copy_after_the_request_is_cleared(&[Repeated(1), Answered(1), Repeated(1)], Verdict::Clear)]
#[case::crash_count_restarts_when_cleared(&[Shared(1), Shared(1), Answered(1), Shared(1)], Verdict::Suspect)]
#[case::ban_expires(&[Alone(1), Minutes(10)], Verdict::Clear)]
#[case::ban_in_force(&[Alone(1), Minutes(9)], banned(1))]
#[case::answer_does_not_lift_the_ban(&[Alone(1), Answered(1)], banned(10))]
#[case::suspect_expires(&[Shared(1), Minutes(10)], Verdict::Clear)]
fn events_lead_to_the_expected_verdict(#[case] events: &[Event], #[case] verdict: Verdict) {
    let mut tracker = Tracker::default();
    let now = apply_events(&mut tracker, events);
    assert_eq!(tracker.verdicts().of(&features(1), now), verdict);
}

#[test]
fn ban_from_another_node_is_adopted_and_never_prolonged() {
    let mut first = Tracker::default();
    let mut second = Tracker::default();
    first.record_crash(&crash(1, true), &features(1), Instant(0));
    second.record_crash(&crash(1, false), &features(1), Instant(0));
    let later = Instant(0) + MINUTE;
    let published = first.current_ban(&feature(1), later).expect("a ban");
    assert!(second.adopt_ban(published, later).is_some());
    assert_eq!(second.adopt_ban(published, later), None);
    assert_eq!(second.verdicts().of(&features(1), later), banned(9));
    let returned = second.current_ban(&feature(1), later).expect("a ban");
    assert_eq!(first.adopt_ban(returned, later), None);
    assert_eq!(first.verdicts().of(&features(1), later), banned(9));
}

#[test]
fn oldest_suspect_is_dropped_above_the_limit() {
    let mut tracker = Tracker::default();
    for number in 0..10_000_u64 {
        let crash = Crash {
            server: "group".into(),
            incarnation: 1,
            alone: false,
        };
        let digest = Digest::of(&number.to_be_bytes());
        tracker.record_crash(&crash, &Features::of_request(digest), Instant(number));
    }
    let verdicts = tracker.verdicts();
    let last = Features::of_request(Digest::of(&9_999_u64.to_be_bytes()));
    let first = Features::of_request(Digest::of(&0_u64.to_be_bytes()));
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
                    match verdicts.of(&features(*number), now) {
                        Verdict::Clear => drop(concurrent.insert(*number)),
                        Verdict::Suspect if *number == CRASHING => {
                            crashes += 1;
                            let crash = crash(step as u64, true);
                            tracker.record_crash(&crash, &features(CRASHING), now);
                        }
                        Verdict::Suspect => drop(tracker.record_survival(&features(*number), now)),
                        Verdict::Banned(_) => prop_assert_eq!(*number, CRASHING),
                    }
                }
                let crashed = concurrent.contains(&CRASHING);
                crashes += u32::from(crashed);
                for number in concurrent {
                    if crashed {
                        let crash = crash(step as u64, false);
                        tracker.record_crash(&crash, &features(number), now);
                    } else {
                        tracker.record_survival(&features(number), now);
                    }
                }
            }
            prop_assert!(crashes <= 3, "{} crashes", crashes);
            Ok(())
        })
        .expect("at most three crashes and no harmless request refused");
}

/// Evidence that reaches another node in some order.
#[derive(Clone, Copy, Debug)]
struct Exchange {
    /// Incarnations that crash on the first and on the second node.
    crashes: [&'static [u64]; 2],
    /// Number of the crashes after which the first node sees a complete answer.
    answered_after: Option<usize>,
    is_banned: bool,
}

// Guards against nodes that count the crashes of one request each on its own.
#[rstest]
#[case::three_crashes_on_two_nodes(Exchange { crashes: [&[1, 2], &[3]], answered_after: None, is_banned: true })]
#[case::one_crash_seen_by_both(Exchange { crashes: [&[1, 2], &[2]], answered_after: None, is_banned: false })]
#[case::cleared_before_the_third(Exchange { crashes: [&[1, 2], &[3]], answered_after: Some(2), is_banned: false })]
#[case::cleared_before_the_second(Exchange { crashes: [&[1, 2], &[3, 4]], answered_after: Some(1), is_banned: true })]
fn nodes_agree_in_whatever_order_evidence_arrives(#[case] case: Exchange) {
    let now = Instant(1_000);
    let mut trackers = [Tracker::default(), Tracker::default()];
    for (node, tracker) in trackers.iter_mut().enumerate() {
        for (count, incarnation) in case.crashes[node].iter().enumerate() {
            tracker.record_crash(&crash(*incarnation, false), &features(1), now);
            if node == 0 && case.answered_after == Some(count + 1) {
                tracker.record_survival(&features(1), now);
            }
        }
    }
    let evidence: Vec<Evidence> = trackers
        .iter()
        .flat_map(|tracker| tracker.evidence_on(&feature(1), now))
        .collect();
    for seed in 0..50 {
        let mut shuffled = evidence.clone();
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        let mut third = Tracker::default();
        for _ in 0..2 {
            for evidence in &shuffled {
                third.adopt_evidence(*evidence, now);
            }
        }
        let is_banned = matches!(third.verdict(&features(1), now), Verdict::Banned(_));
        assert_eq!(is_banned, case.is_banned, "{case:?}, order {seed}");
    }
}

// Guards against evidence that circulates between nodes without an end.
#[test]
fn evidence_does_not_outlive_its_crash_by_circulating() {
    let mut first = Tracker::default();
    let mut second = Tracker::default();
    first.record_crash(&crash(1, false), &features(1), Instant(0));
    for minute in 0..20 {
        let now = Instant(0) + Millis(MINUTE.0 * minute);
        for evidence in first.evidence_on(&feature(1), now) {
            second.adopt_evidence(evidence, now);
        }
        for evidence in second.evidence_on(&feature(1), now) {
            first.adopt_evidence(evidence, now);
        }
        first.expire(now);
        second.expire(now);
    }
    assert!(first.is_empty() && second.is_empty());
}

/// A probable suspect and the servers that could take it.
#[derive(Clone, Copy, Debug)]
struct Spared {
    crashes: u64,
    sound_servers: usize,
    waited: Millis,
    may_run: bool,
}

// Guards against a suspect that costs a service its last server while the others are down.
#[rstest]
#[case::first_crash(Spared { crashes: 1, sound_servers: 1, waited: Millis(0), may_run: true })]
#[case::last_server(Spared { crashes: 2, sound_servers: 1, waited: Millis(0), may_run: false })]
#[case::another_server(Spared { crashes: 2, sound_servers: 2, waited: Millis(0), may_run: true })]
#[case::after_the_others_had_time_to_return(Spared { crashes: 2, sound_servers: 1, waited: Millis::from_secs(10), may_run: true })]
fn probable_suspect_is_kept_from_the_last_server(#[case] case: Spared) {
    let mut tracker = Tracker::default();
    for incarnation in 0..case.crashes {
        tracker.record_crash(&crash(incarnation, false), &features(1), Instant(0));
    }
    let suspicion = tracker.suspicion(&features(1)).expect("a suspect");
    let now = Instant(0) + case.waited;
    assert_eq!(suspicion.may_run(case.sound_servers, now), case.may_run);
}
