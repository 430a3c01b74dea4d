//! Tests of the pauses that servers ask for.

use std::net::{IpAddr, Ipv4Addr};

use jackdaw_core::protocol::Pause;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::pause::{MARGIN, MAX_PAUSE, Table, Way, retry_after};
use jackdaw_policy::throttle::ServerId;
use rstest::rstest;

const SERVER: ServerId = ServerId(1);
const RELAY: Way = Way::Through(IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1)));

fn at(millis: u64) -> Instant {
    Instant::default() + Millis(millis)
}

/// Refusals with the times at which they arrive, and what is left of the pause at 1 s.
struct Case {
    name: &'static str,
    refusals: &'static [(u64, Way, Pause)],
    left: Option<u64>,
}

// Guards against pauses that are forgotten early, or kept by what they do not concern.
#[rstest]
#[case(Case { name: "none", refusals: &[], left: None })]
#[case(Case { name: "one", refusals: &[(0, Way::Direct, Pause::For(Millis(3_000)))], left: Some(2_000) })]
#[case(Case { name: "one that has ended", refusals: &[(0, Way::Direct, Pause::For(Millis(900)))], left: None })]
#[case(Case { name: "a shorter one later", refusals: &[(0, Way::Direct, Pause::For(Millis(3_000))), (500, Way::Direct, Pause::For(Millis(600)))], left: Some(2_000) })]
#[case(Case { name: "a longer one later", refusals: &[(0, Way::Direct, Pause::For(Millis(3_000))), (500, Way::Direct, Pause::For(Millis(4_000)))], left: Some(3_500) })]
#[case(Case { name: "a refusal without one later", refusals: &[(0, Way::Direct, Pause::For(Millis(3_000))), (500, Way::Direct, Pause::None)], left: Some(2_000) })]
#[case(Case { name: "one that cannot be read", refusals: &[(0, Way::Direct, Pause::Unreadable)], left: None })]
#[case(Case { name: "one of no length", refusals: &[(0, Way::Direct, Pause::For(Millis(0)))], left: None })]
#[case(Case { name: "one that is too long", refusals: &[(1_000, Way::Direct, Pause::For(Millis(u64::MAX)))], left: Some(MAX_PAUSE.0) })]
#[case(Case { name: "one by another way", refusals: &[(0, RELAY, Pause::For(Millis(3_000)))], left: None })]
fn pause_is_kept_until_its_end(#[case] case: Case) {
    let mut table = Table::default();
    for (time, way, pause) in case.refusals {
        table.record(SERVER, *way, *pause, at(*time));
    }
    let left = table.left(SERVER, Way::Direct, at(1_000));
    let expected = case.left.map(|left| Millis(left + MARGIN.0));
    assert_eq!(left, expected, "{}", case.name);
    assert_eq!(table.left(ServerId(2), Way::Direct, at(1_000)), None);
}

// Guards against a pause that ends a fraction of a millisecond before the server's own end of it.
#[test]
fn pause_outlasts_the_rounding_of_clocks() {
    let mut table = Table::default();
    table.record(SERVER, Way::Direct, Pause::For(Millis(1_000)), at(0));
    assert!(table.left(SERVER, Way::Direct, at(1_001)).is_some());
}

// Guards against a table that grows with every server that ever asked for a pause.
#[test]
fn pauses_that_have_ended_are_forgotten() {
    let mut table = Table::default();
    for number in 0..1_000 {
        let pause = Pause::For(Millis(1));
        table.record(ServerId(number), Way::Direct, pause, at(number * 100));
    }
    table.record(SERVER, Way::Direct, Pause::For(Millis(0)), at(200_000));
    assert!(table.is_empty());
}

// Guards against callers that are asked to return within a pause, or all at once.
#[rstest]
#[case(0.0, 3_000)]
#[case(0.5, 3_750)]
#[case(0.999, 4_499)]
fn callers_return_after_a_pause(#[case] random: f64, #[case] expected: u64) {
    assert_eq!(retry_after(Millis(3_000), random), Millis(expected));
}
