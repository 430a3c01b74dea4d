//! Leaders whose lease expires while the store answers, fails, or does not answer.

use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Millis};
use jackdaw_policy::grace_period::{self, GracePeriod};
use rstest::rstest;

/// Event in the life of a leader.
#[derive(Clone, Copy, Debug)]
enum Step {
    Renewing,
    Answered,
    Failed,
    Lost,
    Ended,
}

#[derive(Debug)]
struct Scenario {
    name: &'static str,
    steps: &'static [Step],
    keeps_leading: bool,
}

#[rstest]
#[case(Scenario { name: "the last renewal failed", steps: &[Step::Renewing, Step::Failed, Step::Lost], keeps_leading: true })]
#[case(Scenario { name: "the store does not answer and the renewal has not failed yet", steps: &[Step::Renewing, Step::Answered, Step::Renewing, Step::Lost], keeps_leading: true })]
#[case(Scenario { name: "the last renewal was answered", steps: &[Step::Renewing, Step::Answered, Step::Lost], keeps_leading: false })]
#[case(Scenario { name: "the renewal fails after the lease has expired", steps: &[Step::Renewing, Step::Lost, Step::Failed], keeps_leading: true })]
#[case(Scenario { name: "the leadership was resigned", steps: &[Step::Renewing, Step::Failed, Step::Lost, Step::Ended], keeps_leading: false })]
fn leader_keeps_leading_only_if_its_last_renewal_is_unanswered(#[case] scenario: Scenario) {
    let mut grace_period = GracePeriod::default();
    for step in scenario.steps {
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
    assert_eq!(fence.is_some(), scenario.keeps_leading, "{}", scenario.name);
}

#[test]
fn grace_period_ends_after_its_longest_time() {
    let mut grace_period = GracePeriod::default();
    grace_period.start_renewal();
    grace_period.record_loss(Fence(7), Instant(0));
    let late = Instant(0) + Millis(600_000);
    assert_eq!(grace_period.fence(late), None);
}

#[derive(Debug)]
struct Reports {
    name: &'static str,
    asked: usize,
    answered: usize,
    is_conclusive: bool,
}

// A leader whose own link was full took all servers of its zone for lost and told all nodes so.
#[rstest]
#[case(Reports { name: "the leader's own link is lost", asked: 185, answered: 0, is_conclusive: false })]
#[case(Reports { name: "its link is nearly full", asked: 185, answered: 20, is_conclusive: false })]
#[case(Reports { name: "a domain is lost", asked: 185, answered: 148, is_conclusive: true })]
#[case(Reports { name: "one of two domains is lost", asked: 16, answered: 8, is_conclusive: true })]
#[case(Reports { name: "the only server is lost", asked: 1, answered: 0, is_conclusive: false })]
#[case(Reports { name: "there are no servers", asked: 0, answered: 0, is_conclusive: false })]
fn reports_of_which_hardly_any_arrive_say_nothing_of_the_servers(#[case] reports: Reports) {
    let is_conclusive = grace_period::is_conclusive(reports.asked, reports.answered);
    assert_eq!(is_conclusive, reports.is_conclusive, "{}", reports.name);
}
