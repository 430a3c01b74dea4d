//! Leaders whose lease lapses while the store answers, fails, or is silent.

use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Millis};
use jackdaw_policy::caretaker::Caretaker;
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
    let mut caretaker = Caretaker::default();
    for step in course.steps {
        match step {
            Step::Renewing => caretaker.renewing(),
            Step::Answered => caretaker.renewed(true),
            Step::Failed => caretaker.renewed(false),
            Step::Lost => {
                caretaker.lost(Fence(7), Instant(1_000));
            }
            Step::Ended => caretaker.end(),
        }
    }
    let fence = caretaker.fence(Instant(2_000));
    assert_eq!(fence.is_some(), course.goes_on, "{}", course.what);
}

#[test]
fn no_leader_goes_on_for_ever() {
    let mut caretaker = Caretaker::default();
    caretaker.renewing();
    caretaker.lost(Fence(7), Instant(0));
    let late = Instant(0) + Millis(600_000);
    assert_eq!(caretaker.fence(late), None);
}
