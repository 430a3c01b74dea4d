//! Tests that no interleaving of nodes and faults runs a call twice, and that the search finds a
//! violation for each broken rule.

use rstest::rstest;

#[path = "support/once.rs"]
mod explorer;

use explorer::{Bounds, Rules, explore};

const TWO_NODES: Bounds = Bounds {
    nodes: 2,
    calls: 2,
    faults: 4,
    expiries: 0,
};

const TWO_NODES_AND_AN_EXPIRY: Bounds = Bounds {
    nodes: 2,
    calls: 2,
    faults: 2,
    expiries: 1,
};

const THREE_NODES: Bounds = Bounds {
    nodes: 3,
    calls: 2,
    faults: 2,
    expiries: 0,
};

#[rstest]
#[case::two_nodes(TWO_NODES)]
#[case::two_nodes_and_an_expiry(TWO_NODES_AND_AN_EXPIRY)]
#[case::three_nodes(THREE_NODES)]
fn every_interleaving_runs_at_most_once(#[case] bounds: Bounds) {
    let coverage = explore(Rules::Correct, bounds)
        .unwrap_or_else(|violation| panic!("{}: {:#?}", violation.property, violation.path));
    println!("{bounds:?}: {coverage:?}");
    assert!(coverage.executions > 0);
    assert!(coverage.replays > 0);
}

#[rstest]
#[case::guess_written(Rules::GuessWritten, TWO_NODES)]
#[case::take_over(Rules::TakeOver, TWO_NODES)]
#[case::unconditional_not_run(Rules::UnconditionalNotRun, TWO_NODES)]
#[case::no_window(Rules::NoWindow, TWO_NODES_AND_AN_EXPIRY)]
#[case::reused_attempt(Rules::ReusedAttempt, TWO_NODES)]
fn every_broken_rule_leads_to_a_violation(#[case] rules: Rules, #[case] bounds: Bounds) {
    let violation = explore(rules, bounds).expect_err("no violation was found");
    println!(
        "{rules:?}: {} after {:?}",
        violation.property, violation.path
    );
}
