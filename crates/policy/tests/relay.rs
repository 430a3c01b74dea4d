//! A leader that tells the states of its zone's servers while the store turns it away.
//!
//! Baseline: it sends all states to all nodes in each round, which fills the link of a small VM, so
//! that requests leave it seconds late.

use std::collections::BTreeSet;

use fastrand::Rng;
use jackdaw_core::units::Millis;
use jackdaw_policy::relay::{self, MAX_STATES, ROUND, Turns};
use rstest::rstest;

/// Size of a state in bytes.
const STATE_BYTES: usize = 96;
/// Bytes a second on the link of the smallest VM.
const LINK: usize = 2_500_000;
/// Time for which a change is urgent.
const URGENT_TIME: Millis = Millis(800);

#[derive(Clone, Copy, Debug)]
struct Zone {
    name: &'static str,
    nodes: usize,
    servers: usize,
    loss: f64,
}

/// Bytes that a leader sends in a second if a round holds a number of states for a number of nodes.
fn bytes_per_second(states: usize, nodes: usize) -> usize {
    states * STATE_BYTES * nodes * 1_000 / ROUND.0 as usize
}

#[rstest]
#[case(Zone { name: "195 nodes", nodes: 195, servers: 185, loss: 0.0 })]
#[case(Zone { name: "195 nodes, one in twenty datagrams lost", nodes: 195, servers: 185, loss: 0.05 })]
#[case(Zone { name: "370 nodes", nodes: 370, servers: 150, loss: 0.05 })]
#[case(Zone { name: "six nodes", nodes: 6, servers: 16, loss: 0.0 })]
fn changes_reach_all_nodes_while_the_link_stays_free(#[case] zone: Zone) {
    let peers = zone.nodes - 1;
    let fanout = relay::fanout(peers);
    let sent = bytes_per_second(MAX_STATES.min(zone.servers), fanout);
    assert!(sent * 10 <= LINK, "{}: {sent}", zone.name);
    if zone.nodes >= 195 {
        let baseline = bytes_per_second(zone.servers, peers);
        assert!(baseline > LINK, "{}: {baseline}", zone.name);
    }
    let mut missed = 0;
    let seeds = 50;
    for seed in 0..seeds {
        let mut random = Rng::with_seed(seed);
        let mut reached = BTreeSet::new();
        for _ in 0..URGENT_TIME.0.div_ceil(ROUND.0) {
            let direct = random.choose_multiple(0..peers, fanout);
            for node in direct {
                if random.f64() < zone.loss {
                    continue;
                }
                reached.insert(node);
                for other in random.choose_multiple(0..peers, fanout) {
                    if random.f64() >= zone.loss {
                        reached.insert(other);
                    }
                }
            }
        }
        missed += peers - reached.len();
    }
    // The states that are missed follow in turn.
    let all = peers * seeds as usize;
    assert!(missed * 1_000 <= all, "{}: {missed} of {all}", zone.name);
}

#[derive(Debug)]
struct Case {
    name: &'static str,
    urgent: usize,
    others: usize,
    rounds: usize,
}

#[rstest]
#[case(Case { name: "nothing urgent", urgent: 0, others: 185, rounds: 10 })]
#[case(Case { name: "some urgent", urgent: 7, others: 170, rounds: 14 })]
#[case(Case { name: "all urgent", urgent: 60, others: 0, rounds: 3 })]
#[case(Case { name: "few servers", urgent: 1, others: 3, rounds: 1 })]
fn each_state_has_its_turn(#[case] case: Case) {
    let mut turns = Turns::default();
    let urgent: Vec<usize> = (0..case.urgent).collect();
    let others: Vec<usize> = (1_000..1_000 + case.others).collect();
    let mut told = BTreeSet::new();
    for round in 0..case.rounds {
        let selected = turns.select(urgent.clone(), others.clone(), MAX_STATES);
        assert!(selected.len() <= MAX_STATES, "{}", case.name);
        if urgent.len() <= MAX_STATES {
            let has_all = urgent.iter().all(|state| selected.contains(state));
            assert!(has_all, "{}: round {round}", case.name);
        }
        told.extend(selected);
    }
    assert_eq!(told.len(), case.urgent + case.others, "{}", case.name);
}
