//! Model check of fencing: explores every interleaving of two leaders, one placement and three
//! engines. The first leader freezes at any step and wakes at any later one, answers are lost, and
//! orders arrive late.

mod engine;
mod fixture;
mod model;
mod node;
mod store;

use std::collections::HashSet;

use model::{Model, Setup, Step, Variant};
use node::digest;
use rstest::rstest;

/// Number of states at which an exploration fails because it is larger than intended.
const MAX_STATES: usize = 2_000_000;

/// Result of an exploration.
#[derive(Debug, Default)]
struct Exploration {
    states: usize,
    violation: Option<(String, Vec<Step>)>,
    has_written: [bool; 2],
    has_refused_stale_order: bool,
}

fn explore(setup: &Setup) -> Exploration {
    let mut exploration = Exploration::default();
    let mut visited = HashSet::new();
    let mut open = vec![(Model::new(setup), Vec::new())];
    while let Some((model, path)) = open.pop() {
        for step in model.possible_steps() {
            let mut next = model.clone();
            let mut path = path.clone();
            path.push(step);
            if let Err(violation) = next.apply(step, setup) {
                exploration.violation = Some((violation, path));
                return exploration;
            }
            if visited.insert(digest(&next)) {
                exploration.has_written[0] |= next.commits[0] > 0;
                exploration.has_written[1] |= next.commits[1] > 0;
                exploration.has_refused_stale_order |= next.has_refused_stale_order;
                open.push((next, path));
            }
        }
        exploration.states = visited.len();
        assert!(exploration.states < MAX_STATES, "more states than expected");
    }
    exploration
}

const BASE_SETUP: Setup = Setup {
    variant: Variant::Correct,
    engines_check_fence: true,
    freezes: 1,
    lost_answers: 0,
    horizon: 5,
};

#[rstest]
#[case::groups_evaluated_without_reports(Setup { variant: Variant::TrustPlacement, ..BASE_SETUP }, "whole without")]
#[case::write_without_comparing_the_leader_key(Setup { variant: Variant::UnconditionalWrite, ..BASE_SETUP }, "written while the leader is")]
#[case::no_delay_before_the_first_order(Setup { variant: Variant::NoOrderDelay, engines_check_fence: false, ..BASE_SETUP }, "stale order")]
#[case::no_check_before_sending(Setup { variant: Variant::NoCheckBeforeSending, engines_check_fence: false, horizon: 12, ..BASE_SETUP }, "stale order")]
fn explorer_finds_the_violation_of_a_faulty_variant(#[case] setup: Setup, #[case] expected: &str) {
    let exploration = explore(&setup);
    let (found, path) = exploration.violation.expect("a violation");
    println!("{} states, {found}, after {path:?}", exploration.states);
    assert!(found.contains(expected), "{found}");
}

#[rstest]
#[case::engines_check(BASE_SETUP)]
#[case::engines_check_and_an_answer_is_lost(Setup { lost_answers: 1, ..BASE_SETUP })]
#[case::engines_ignore(Setup { engines_check_fence: false, horizon: 12, ..BASE_SETUP })]
fn no_interleaving_with_a_freeze_violates_an_invariant(#[case] setup: Setup) {
    let exploration = explore(&setup);
    println!("{} states", exploration.states);
    assert_eq!(exploration.violation, None);
    assert_eq!(
        exploration.has_written,
        [true, true],
        "each node leads and writes in some interleaving"
    );
    let refused = setup.engines_check_fence;
    assert_eq!(
        exploration.has_refused_stale_order, refused,
        "a stale order is refused if and only if engines check the fence"
    );
}

/// Loses any two answers to creations, renewals and writes.
#[rstest]
#[case::engines_check(true)]
#[case::engines_ignore(false)]
fn no_lost_answer_violates_an_invariant(#[case] engines_check_fence: bool) {
    let exploration = explore(&Setup {
        engines_check_fence,
        freezes: 0,
        lost_answers: 2,
        ..BASE_SETUP
    });
    println!("{} states", exploration.states);
    assert_eq!(exploration.violation, None);
    assert!(exploration.has_written[0], "the leader writes a placement");
}
