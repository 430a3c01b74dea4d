//! Requests of which a part of the prompt crashes each server that begins to answer them.

mod model;
mod node;

use jackdaw_core::units::Millis;
use model::{Model, Outcome, Scenario};
use node::Node;
use rstest::rstest;

/// Number of seeds with which each scenario runs.
const SEEDS: u64 = 2;

fn play(scenario: Scenario, seed: u64) -> Outcome {
    Model::play(scenario, seed, &|idx, _| Node::new(idx))
}

/// Prints what a scenario comes to over its seeds.
fn print_outcomes(name: &str, outcomes: &[Outcome]) {
    let mean = |value: &dyn Fn(&Outcome) -> usize| {
        outcomes.iter().map(value).sum::<usize>() as f64 / outcomes.len() as f64
    };
    let most = |value: &dyn Fn(&Outcome) -> usize| outcomes.iter().map(value).max().unwrap_or(0);
    let least_share = outcomes
        .iter()
        .map(Outcome::sound_share)
        .fold(1.0, f64::min);
    println!(
        "{name}: ended {:.1} (most {}), late {:.1} (most {}), share {least_share:.3} at least, \
         sound failed {:.2} in 100, interrupted {:.0}, wrong ban {} ms, hold {} ms, {} bytes/s",
        mean(&|outcome| outcome.ended),
        most(&|outcome| outcome.ended),
        mean(&|outcome| outcome.late),
        most(&|outcome| outcome.late),
        100.0 * mean(&|outcome| outcome.all_sound_failed) / mean(&|outcome| outcome.all_sound),
        mean(&|outcome| outcome.interrupted),
        most(&|outcome| outcome.longest_wrong_ban.0 as usize),
        most(&|outcome| outcome.longest_hold.0 as usize),
        most(&|outcome| outcome.bytes),
    );
}

#[rstest]
#[case::four_nodes("four nodes", Scenario::default())]
#[case::eight_nodes("eight nodes", Scenario { nodes: 8, servers: 171, ..Scenario::default() })]
#[case::many_nodes("72 nodes", Scenario { nodes: 72, servers: 171, ..Scenario::default() })]
#[case::high_rate("30 crashing requests a second", Scenario { crashing_rate: 30.0, ..Scenario::default() })]
#[case::rare_parts("rare middle parts", Scenario { middle_parts: 400, ..Scenario::default() })]
#[case::few_sound("few sound requests", Scenario { sound_rate: 5.0, ..Scenario::default() })]
#[case::two_parts("two crashing parts", Scenario { crashing_parts: 2, ..Scenario::default() })]
#[case::companion("a part that comes alone later", Scenario { companion_alone_from: Some(Millis(10_000)), ..Scenario::default() })]
#[case::chance("ends by chance", Scenario { chance_crashes: Some(Millis(2_000)), ..Scenario::default() })]
#[case::domains("lost domains", Scenario { servers: 171, domain: 19, domain_losses: Some(Millis(5_000)), ..Scenario::default() })]
#[case::restart("restart of all nodes", Scenario { restart_at: Some(Millis(15_000)), ..Scenario::default() })]
fn outcomes_of_a_scenario_are_printed(#[case] name: &str, #[case] scenario: Scenario) {
    let outcomes: Vec<Outcome> = (0..SEEDS).map(|seed| play(scenario, seed)).collect();
    print_outcomes(name, &outcomes);
    assert!(outcomes.iter().all(|outcome| outcome.all_sound > 0));
}
