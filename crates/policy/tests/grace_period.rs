//! Leaders whose lease lapses while the store answers, fails, or is silent.

use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Millis};
use jackdaw_policy::grace_period::GracePeriod;
use rstest::rstest;

/// What happens to a leader, in order.
#[derive(Clone, Copy, Debug)]
enum Step {
    Renewing,
    Answered,
    Failed,
    Lost,
    Ended,
}

#[derive(Debug)]
struct Course {
    what: &'static str,
    steps: &'static [Step],
    goes_on: bool,
}

#[rstest]
#[case(Course { what: "the last renewal failed", steps: &[Step::Renewing, Step::Failed, Step::Lost], goes_on: true })]
#[case(Course { what: "the store is silent and the renewal has not failed yet", steps: &[Step::Renewing, Step::Answered, Step::Renewing, Step::Lost], goes_on: true })]
#[case(Course { what: "the last renewal was answered", steps: &[Step::Renewing, Step::Answered, Step::Lost], goes_on: false })]
#[case(Course { what: "the renewal fails after the lease has lapsed", steps: &[Step::Renewing, Step::Lost, Step::Failed], goes_on: true })]
#[case(Course { what: "the leadership was given up", steps: &[Step::Renewing, Step::Failed, Step::Lost, Step::Ended], goes_on: false })]
fn the_last_leader_goes_on_only_if_the_store_fell_silent(#[case] course: Course) {
    let mut grace_period = GracePeriod::default();
    for step in course.steps {
        match step {
            Step::Renewing => grace_period.start_renewal(),
            Step::Answered => grace_period.finish_renewal(true),
            Step::Failed => grace_period.finish_renewal(false),
            Step::Lost => {
                grace_period.record_loss(Fence(7), Instant(1_000));
            }
            Step::Ended => grace_period.end(),
        }
    }
    let fence = grace_period.fence(Instant(2_000));
    assert_eq!(fence.is_some(), course.goes_on, "{}", course.what);
}

#[test]
fn no_leader_goes_on_for_ever() {
    let mut grace_period = GracePeriod::default();
    grace_period.start_renewal();
    grace_period.record_loss(Fence(7), Instant(0));
    let late = Instant(0) + Millis(600_000);
    assert_eq!(grace_period.fence(late), None);
}
