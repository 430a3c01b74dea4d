//! Cases of what a stopping node still takes.

use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::shutdown::{Limits, Shutdown};
use rstest::rstest;

/// Time of the signal.
const SIGNALLED: Instant = Instant(1_000_000);
/// Time after the signal until which the supervisor excuses work that it then kills.
const EXCUSED: Millis = Millis(3_000);

struct Case {
    grace: Millis,
    /// Time of arrival after the signal.
    arrived: Millis,
    /// Expected time of the answer after the signal.
    answered: Millis,
    is_taken: bool,
}

// Guards against work that a stopping node cannot finish before it ends.
#[rstest]
#[case::ends_in_time(Case { grace: Millis(8_000), arrived: Millis(100), answered: Millis(5_000), is_taken: true })]
#[case::last_moment(Case { grace: Millis(8_000), arrived: Millis(2_999), answered: Millis(5_000), is_taken: true })]
#[case::too_late(Case { grace: Millis(8_000), arrived: Millis(3_000), answered: Millis(3_100), is_taken: false })]
#[case::as_long_as_the_grace_period(Case { grace: Millis(8_000), arrived: Millis(100), answered: Millis(8_100), is_taken: false })]
#[case::ends_with_the_process(Case { grace: Millis(8_000), arrived: Millis(100), answered: Millis(7_600), is_taken: false })]
#[case::short_grace_period(Case { grace: Millis(1_000), arrived: Millis(449), answered: Millis(900), is_taken: true })]
#[case::half_of_a_short_grace_period(Case { grace: Millis(1_000), arrived: Millis(450), answered: Millis(900), is_taken: false })]
#[case::no_grace_period(Case { grace: Millis(0), arrived: Millis(0), answered: Millis(0), is_taken: false })]
fn a_stopping_node_takes_only_what_it_can_finish(#[case] case: Case) {
    let shutdown = Shutdown::new(SIGNALLED, Limits::new(case.grace));
    let taken = shutdown.can_take(SIGNALLED + case.arrived, SIGNALLED + case.answered);
    assert_eq!(taken, case.is_taken);
}

// Guards against a process that is killed before it has answered.
#[rstest]
#[case::usual(Millis(8_000))]
#[case::short(Millis(1_000))]
#[case::none(Millis(0))]
#[case::long(Millis(600_000))]
fn requests_are_given_up_before_the_process_ends_and_that_before_it_is_killed(
    #[case] grace: Millis,
) {
    let shutdown = Shutdown::new(SIGNALLED, Limits::new(grace));
    assert!(shutdown.accepts_until() <= shutdown.answers_until());
    assert!(shutdown.answers_until() <= shutdown.exits_at());
    assert!(shutdown.exits_at() <= SIGNALLED + grace);
    assert!(shutdown.accepts_until() <= SIGNALLED + EXCUSED);
}

struct EstimateCase {
    /// Deadline after the signal.
    deadline: Millis,
    estimate_ms: Option<f64>,
    is_taken: bool,
}

// Guards against refusals of all streams with long deadlines, and against streams that cannot end.
#[rstest]
#[case::short(EstimateCase { deadline: Millis(9_000), estimate_ms: Some(2_000.0), is_taken: true })]
#[case::long(EstimateCase { deadline: Millis(9_000), estimate_ms: Some(5_000.0), is_taken: false })]
#[case::short_deadline(EstimateCase { deadline: Millis(6_000), estimate_ms: Some(5_000.0), is_taken: true })]
#[case::unknown(EstimateCase { deadline: Millis(9_000), estimate_ms: None, is_taken: false })]
#[case::unknown_short_deadline(EstimateCase { deadline: Millis(6_000), estimate_ms: None, is_taken: true })]
#[case::infinite(EstimateCase { deadline: Millis(9_000), estimate_ms: Some(f64::INFINITY), is_taken: false })]
fn a_stopping_node_takes_a_request_by_its_estimate_or_its_deadline(#[case] case: EstimateCase) {
    let shutdown = Shutdown::new(SIGNALLED, Limits::new(Millis(8_000)));
    let deadline = SIGNALLED + case.deadline;
    let taken = shutdown.can_finish(SIGNALLED + Millis(1_000), deadline, case.estimate_ms);
    assert_eq!(taken, case.is_taken);
}

struct RetryCase {
    /// Time after the signal.
    now: Millis,
    /// Deadline after the signal.
    deadline: Millis,
    estimate_ms: Option<f64>,
    is_sent: bool,
}

// Guards against requests that were taken in time and are sent to another server when their answers
// cannot be waited for.
#[rstest]
#[case::deadline(RetryCase { now: Millis(5_000), deadline: Millis(7_300), estimate_ms: None, is_sent: true })]
#[case::late_deadline(RetryCase { now: Millis(1_000), deadline: Millis(7_301), estimate_ms: None, is_sent: false })]
#[case::short(RetryCase { now: Millis(5_000), deadline: Millis(9_000), estimate_ms: Some(1_500.0), is_sent: true })]
#[case::long(RetryCase { now: Millis(5_000), deadline: Millis(9_000), estimate_ms: Some(2_000.0), is_sent: false })]
fn a_request_that_was_taken_is_sent_again_only_if_it_can_end(#[case] case: RetryCase) {
    let shutdown = Shutdown::new(SIGNALLED, Limits::new(Millis(8_000)));
    let deadline = SIGNALLED + case.deadline;
    let sent = shutdown.can_answer(SIGNALLED + case.now, deadline, case.estimate_ms);
    assert_eq!(sent, case.is_sent);
}
