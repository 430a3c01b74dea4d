//! Where requests go under load: estimates, and bursts that many nodes each see a part of.

#[path = "support/nodes.rs"]
mod nodes;

use std::collections::BinaryHeap;

use jackdaw_core::backend::{Membership, Server, State};
use jackdaw_core::time::Instant;
use jackdaw_policy::balance::{self, Demand, Load};
use jackdaw_policy::fleet::{Fleet, group_name, model_of};
use jackdaw_policy::peers::{LoadReport, PeerLoads, Share};
use nodes::{ROUND, boards, engine, speak};
use rstest::rstest;

const ASK: Demand = Demand {
    prompt: 1_076,
    output: 116,
};

#[derive(Debug)]
struct Compare {
    what: &'static str,
    better: Load,
    worse: Load,
}

#[rstest]
#[case(Compare { what: "fewer requests", better: Load { own: 2, ..Load::default() }, worse: Load { own: 9, ..Load::default() } })]
#[case(Compare { what: "what others had a while ago does not count", better: Load { own: 1, others: 9, ..Load::default() }, worse: Load { own: 3, ..Load::default() } })]
#[case(Compare { what: "fewer unread prompts", better: Load { own: 4, ..Load::default() }, worse: Load { own: 4, pending_prefill: 9_000, ..Load::default() } })]
#[case(Compare { what: "the own zone", better: Load { own: 4, ..Load::default() }, worse: Load { own: 4, remote: true, ..Load::default() } })]
#[case(Compare { what: "a group that stands still is the last choice", better: Load { own: 20, ..Load::default() }, worse: Load { suspect: true, ..Load::default() } })]
#[case(Compare { what: "a slow group", better: Load { own: 6, ..Load::default() }, worse: Load { own: 4, slowness: 3.0, ..Load::default() } })]
fn the_cheaper_group_is_the_one_that_serves_sooner(#[case] case: Compare) {
    let engine = engine();
    let cost = |load: &Load| balance::cost(&engine, &engine.models[0], load, ASK);
    assert!(cost(&case.better) < cost(&case.worse), "{}", case.what);
}

/// Nodes before the same groups, each with its own part of the arrivals.
struct Burst {
    nodes: usize,
    groups: usize,
    /// Whether nodes compare groups by what they heard of all requests, the plain way.
    by_hearsay: bool,
}

/// Returns the largest number of requests that any group had at once.
///
/// Load pattern: a burst of equal requests that is spread over many nodes, of which each sees a
/// small part and hears of the rest with a lag.
fn peak(burst: &Burst, seed: u64) -> u32 {
    let engine = engine();
    let model = &engine.models[0];
    let mut random = fastrand::Rng::with_seed(seed);
    let mut own = vec![vec![0_u32; burst.groups]; burst.nodes];
    let mut boards = boards(burst.nodes);
    // Ends of requests, the soonest first.
    let mut ends: BinaryHeap<std::cmp::Reverse<(u64, usize, usize)>> = BinaryHeap::new();
    let mut peak = 0;
    for now in 0..4_000_u64 {
        while let Some(std::cmp::Reverse((at, node, group))) = ends.peek().copied() {
            if at > now {
                break;
            }
            ends.pop();
            own[node][group] -= 1;
        }
        if now % ROUND == 0 {
            speak(
                |node, group| own[node][group],
                burst.groups,
                &mut boards,
                now,
            );
        }
        // One request in fifty milliseconds for each group keeps 20 of 26 slots in use.
        for _ in 0..burst.groups {
            if random.u32(0..50) > 0 {
                continue;
            }
            let node = random.usize(0..burst.nodes);
            let costs: Vec<f64> = (0..burst.groups)
                .map(|group| {
                    let others = boards[node].peer_load(group as u64, Instant(now));
                    let heard = if burst.by_hearsay { others.requests } else { 0 };
                    let load = Load {
                        own: own[node][group] + heard,
                        others: others.requests,
                        slowness: 1.0,
                        ..Load::default()
                    };
                    balance::cost(&engine, model, &load, ASK)
                })
                .collect();
            let mut chance = || random.f64();
            let group = balance::choose(&costs, &mut chance).expect("there are groups");
            own[node][group] += 1;
            ends.push(std::cmp::Reverse((now + 1_000, node, group)));
            let total: u32 = own.iter().map(|node| node[group]).sum();
            peak = peak.max(total);
        }
    }
    peak
}

#[rstest]
#[case(8, 8)]
#[case(24, 8)]
#[case(72, 24)]
fn own_requests_spread_a_burst_more_evenly_than_hearsay(
    #[case] nodes: usize,
    #[case] groups: usize,
) {
    let mean = |by_hearsay: bool| -> f64 {
        let burst = Burst {
            nodes,
            groups,
            by_hearsay,
        };
        let peaks: u32 = (0..2).map(|seed| peak(&burst, seed)).sum();
        f64::from(peaks) / 2.0
    };
    let (own, hearsay) = (mean(false), mean(true));
    assert!(
        own < hearsay,
        "{nodes} nodes: {own} requests at once by own requests, {hearsay} by hearsay"
    );
}

#[test]
fn a_request_that_cannot_be_served_in_time_is_told_from_all_requests() {
    let engine = engine();
    let alone = Load {
        own: 1,
        ..Load::default()
    };
    let crowded = Load {
        others: 60,
        others_pending_prefill: 80_000,
        ..alone
    };
    let first = |load: &Load| balance::estimate(&engine, &engine.models[0], load, ASK).first_event;
    assert!(first(&crowded) > first(&alone) + 1_000.0);
}

#[test]
fn a_late_word_and_an_old_one_do_not_count() {
    let mut board = PeerLoads::default();
    board.set_peer_count(1);
    let word = |sequence: u64, requests: u32| LoadReport {
        node: "peer".into(),
        incarnation: 7,
        sequence,
        places: vec![(
            1,
            Share {
                requests,
                ..Share::default()
            },
        )],
        ..LoadReport::default()
    };
    board.record(word(2, 5), Instant(0));
    board.record(word(1, 9), Instant(10));
    assert_eq!(board.peer_load(1, Instant(20)).requests, 5);
    assert_eq!(board.peer_load(1, Instant(5_000)).requests, 0);
}

#[test]
fn what_was_heard_stands_for_the_nodes_that_were_not() {
    let mut board = PeerLoads::default();
    board.set_peer_count(4);
    for node in ["a", "b"] {
        let word = LoadReport {
            node: node.into(),
            incarnation: 1,
            sequence: 1,
            places: vec![(
                1,
                Share {
                    requests: 3,
                    ..Share::default()
                },
            )],
            ..LoadReport::default()
        };
        board.record(word, Instant(0));
    }
    assert_eq!(board.peer_load(1, Instant(10)).requests, 12);
}

fn server(id: &str, state: State, rank: usize) -> Server {
    Server {
        id: id.into(),
        service: "m".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        draining: false,
        slots: 26,
        start_unix_ms: 1,
        domain: "d".into(),
        staged: Vec::new(),
        membership: Some(Membership {
            group: group_name("large", 3, 4),
            epoch: 5,
            rank,
            state,
        }),
    }
}

#[derive(Debug)]
struct Serving {
    what: &'static str,
    head: State,
    member: Option<State>,
    leaves: bool,
    serves: bool,
}

#[rstest]
#[case(Serving { what: "a whole open group", head: State::Open, member: Some(State::Ready), leaves: false, serves: true })]
#[case(Serving { what: "a group that is not open", head: State::Ready, member: Some(State::Ready), leaves: false, serves: false })]
#[case(Serving { what: "a missing member", head: State::Open, member: None, leaves: false, serves: false })]
#[case(Serving { what: "a member that still loads", head: State::Open, member: Some(State::Joining), leaves: false, serves: false })]
#[case(Serving { what: "a member about to leave", head: State::Open, member: Some(State::Ready), leaves: true, serves: false })]
#[case(Serving { what: "a broken group", head: State::Broken, member: Some(State::Ready), leaves: false, serves: false })]
fn only_whole_open_groups_serve(#[case] case: Serving) {
    let mut fleet = Fleet::default();
    fleet.register(server("s0", case.head, 0), Instant(0));
    if let Some(state) = case.member {
        let mut member = server("s1", state, 1);
        member.draining = case.leaves;
        fleet.register(member, Instant(0));
    }
    let targets = fleet.targets("m", Some(&engine()));
    assert_eq!(!targets.is_empty(), case.serves, "{}", case.what);
}

#[test]
fn a_registration_from_before_an_answered_order_is_passed_over() {
    let mut fleet = Fleet::default();
    let old = server("s0", State::Ready, 0);
    fleet.register(old.clone(), Instant(0));
    fleet.apply_membership("s0", None, Instant(100));
    fleet.register(old.clone(), Instant(300));
    assert_eq!(
        fleet.server("s0").and_then(|one| one.membership.clone()),
        None
    );
    fleet.register(old.clone(), Instant(5_000));
    let membership = fleet.server("s0").and_then(|one| one.membership.clone());
    assert_eq!(membership, old.membership);
}

#[test]
fn a_report_that_is_older_than_an_answered_order_is_passed_over() {
    let mut fleet = Fleet::default();
    let old = server("s0", State::Ready, 0);
    fleet.register(old.clone(), Instant(0));
    fleet.apply_membership("s0", None, Instant(100));
    assert!(!fleet.apply_report("s0", old.membership.clone(), Instant(300)));
    assert!(fleet.apply_report("s0", old.membership, Instant(5_000)));
}

#[test]
fn groups_name_their_models() {
    assert_eq!(model_of(&group_name("a.b", 12, 3)), Some("a.b"));
    assert_eq!(model_of("other"), None);
}
