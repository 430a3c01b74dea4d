//! No interleaving of nodes and faults runs a call twice, and broken rules are found.

use rstest::rstest;

#[path = "support/once.rs"]
mod world;

use world::{Rules, Space, explore};

const TWO_NODES: Space = Space {
    nodes: 2,
    calls: 2,
    faults: 4,
    lapses: 0,
};

const TWO_NODES_AND_A_LAPSE: Space = Space {
    nodes: 2,
    calls: 2,
    faults: 2,
    lapses: 1,
};

const THREE_NODES: Space = Space {
    nodes: 3,
    calls: 2,
    faults: 2,
    lapses: 0,
};

#[rstest]
#[case::two_nodes(TWO_NODES)]
#[case::two_nodes_and_a_lapse(TWO_NODES_AND_A_LAPSE)]
#[case::three_nodes(THREE_NODES)]
fn every_interleaving_runs_at_most_once(#[case] space: Space) {
    let tally = explore(Rules::Right, space)
        .unwrap_or_else(|broken| panic!("{}: {:#?}", broken.what, broken.path));
    println!("{space:?}: {tally:?}");
    assert!(tally.executions > 0);
    assert!(tally.replays > 0);
}

#[rstest]
#[case::guess_written(Rules::GuessWritten, TWO_NODES)]
#[case::take_over(Rules::TakeOver, TWO_NODES)]
#[case::blind_not_run(Rules::BlindNotRun, TWO_NODES)]
#[case::no_window(Rules::NoWindow, TWO_NODES_AND_A_LAPSE)]
#[case::reused_attempt(Rules::ReusedAttempt, TWO_NODES)]
fn explorer_finds_broken_rules(#[case] rules: Rules, #[case] space: Space) {
    let broken = explore(rules, space).expect_err("no violation was found");
    println!("{rules:?}: {} after {:?}", broken.what, broken.path);
}
