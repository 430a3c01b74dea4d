//! Choice of groups under load: estimates, and bursts of which each of many nodes sees a part.
//! Also covers which groups serve and which registrations are outdated.

#[path = "support/nodes.rs"]
mod nodes;

use std::collections::BinaryHeap;

use jackdaw_core::backend::{Membership, Server, State};
use jackdaw_core::time::Instant;
use jackdaw_policy::balance::{self, Demand, Load};
use jackdaw_policy::fleet::{Fleet, group_name, model_of};
use jackdaw_policy::peers::{LoadReport, PeerLoads, Share};
use nodes::{BROADCAST_INTERVAL_MS, broadcast, engine, peer_loads};
use rstest::rstest;

const DEMAND: Demand = Demand {
    prompt: 1_076,
    output: 116,
};

#[derive(Debug)]
struct Comparison {
    name: &'static str,
    better: Load,
    worse: Load,
}

#[rstest]
#[case(Comparison { name: "fewer requests", better: Load { own: 2, ..Load::default() }, worse: Load { own: 9, ..Load::default() } })]
#[case(Comparison { name: "outdated counts of other nodes do not matter", better: Load { own: 1, others: 9, ..Load::default() }, worse: Load { own: 3, ..Load::default() } })]
#[case(Comparison { name: "less pending prefill", better: Load { own: 4, ..Load::default() }, worse: Load { own: 4, pending_prefill: 9_000, ..Load::default() } })]
#[case(Comparison { name: "a group of the same zone", better: Load { own: 4, ..Load::default() }, worse: Load { own: 4, remote: true, ..Load::default() } })]
#[case(Comparison { name: "a suspect group is the last choice", better: Load { own: 20, ..Load::default() }, worse: Load { suspect: true, ..Load::default() } })]
#[case(Comparison { name: "a slow group", better: Load { own: 6, ..Load::default() }, worse: Load { own: 4, slowness: 3.0, ..Load::default() } })]
fn group_that_serves_sooner_costs_less(#[case] case: Comparison) {
    let engine = engine();
    let cost = |load: &Load| balance::cost(&engine, &engine.models[0], load, DEMAND);
    assert!(cost(&case.better) < cost(&case.worse), "{}", case.name);
}

/// Nodes that send requests to the same groups, each with its own part of the arrivals.
struct Burst {
    nodes: usize,
    groups: usize,
    /// Whether nodes compare groups by the known requests of all nodes instead of their own ones.
    by_total: bool,
}

/// Returns the largest number of requests that any group had at once.
///
/// Load pattern: a burst of equal requests that is spread over many nodes, each of which sees a small
/// part and learns of the rest with a lag.
fn peak(burst: &Burst, seed: u64) -> u32 {
    let engine = engine();
    let model = &engine.models[0];
    let mut random = fastrand::Rng::with_seed(seed);
    let mut own = vec![vec![0_u32; burst.groups]; burst.nodes];
    let mut peer_loads = peer_loads(burst.nodes);
    // Ends of requests, the earliest first.
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
        if now % BROADCAST_INTERVAL_MS == 0 {
            broadcast(
                |node, group| own[node][group],
                burst.groups,
                &mut peer_loads,
                now,
            );
        }
        // One request per group every 50 ms keeps 20 of 26 slots in use.
        for _ in 0..burst.groups {
            if random.u32(0..50) > 0 {
                continue;
            }
            let node = random.usize(0..burst.nodes);
            let costs: Vec<f64> = (0..burst.groups)
                .map(|group| {
                    let others = peer_loads[node].peer_load(group as u64, Instant(now));
                    let counted_others = if burst.by_total { others.requests } else { 0 };
                    let load = Load {
                        own: own[node][group] + counted_others,
                        others: others.requests,
                        slowness: 1.0,
                        ..Load::default()
                    };
                    balance::cost(&engine, model, &load, DEMAND)
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
fn comparing_own_requests_spreads_a_burst_more_evenly_than_comparing_all(
    #[case] nodes: usize,
    #[case] groups: usize,
) {
    let mean = |by_total: bool| -> f64 {
        let burst = Burst {
            nodes,
            groups,
            by_total,
        };
        let peaks: u32 = (0..2).map(|seed| peak(&burst, seed)).sum();
        f64::from(peaks) / 2.0
    };
    let (own, total) = (mean(false), mean(true));
    assert!(
        own < total,
        "{nodes} nodes: peak of {own} requests by own requests, {total} by all requests"
    );
}

#[test]
fn estimate_includes_requests_of_other_nodes() {
    let engine = engine();
    let light = Load {
        own: 1,
        ..Load::default()
    };
    let heavy = Load {
        others: 60,
        others_pending_prefill: 80_000,
        ..light
    };
    let first =
        |load: &Load| balance::estimate(&engine, &engine.models[0], load, DEMAND).first_event;
    assert!(first(&heavy) > first(&light) + 1_000.0);
}

#[test]
fn reordered_and_expired_reports_are_ignored() {
    let mut loads = PeerLoads::default();
    loads.set_peer_count(1);
    let report = |sequence: u64, requests: u32| LoadReport {
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
    loads.record(report(2, 5), Instant(0));
    loads.record(report(1, 9), Instant(10));
    assert_eq!(loads.peer_load(1, Instant(20)).requests, 5);
    assert_eq!(loads.peer_load(1, Instant(5_000)).requests, 0);
}

#[test]
fn silent_peers_are_assumed_to_have_the_mean_load_of_the_others() {
    let mut loads = PeerLoads::default();
    loads.set_peer_count(4);
    for node in ["a", "b"] {
        let report = LoadReport {
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
        loads.record(report, Instant(0));
    }
    assert_eq!(loads.peer_load(1, Instant(10)).requests, 12);
}

fn server(id: &str, state: State, rank: u32) -> Server {
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
        warmup_left: jackdaw_core::units::Millis(0),
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
    name: &'static str,
    head: State,
    member: Option<State>,
    draining: bool,
    serves: bool,
}

#[rstest]
#[case(Serving { name: "a complete open group", head: State::Open, member: Some(State::Ready), draining: false, serves: true })]
#[case(Serving { name: "a group that is not open", head: State::Ready, member: Some(State::Ready), draining: false, serves: false })]
#[case(Serving { name: "a group that lacks a member", head: State::Open, member: None, draining: false, serves: false })]
#[case(Serving { name: "a group with a joining member", head: State::Open, member: Some(State::Joining), draining: false, serves: false })]
#[case(Serving { name: "a group with a draining member", head: State::Open, member: Some(State::Ready), draining: true, serves: false })]
#[case(Serving { name: "a broken group", head: State::Broken, member: Some(State::Ready), draining: false, serves: false })]
fn only_complete_open_groups_are_targets(#[case] case: Serving) {
    let mut fleet = Fleet::default();
    fleet.register(server("s0", case.head, 0), Instant(0));
    if let Some(state) = case.member {
        let mut member = server("s1", state, 1);
        member.draining = case.draining;
        fleet.register(member, Instant(0));
    }
    let targets = fleet.targets("m", Some(&engine()));
    assert_eq!(!targets.is_empty(), case.serves, "{}", case.name);
}

#[test]
fn registration_older_than_an_answered_order_is_ignored() {
    let mut fleet = Fleet::default();
    let old = server("s0", State::Ready, 0);
    fleet.register(old.clone(), Instant(0));
    fleet.apply_membership("s0", None, Instant(100));
    fleet.register(old.clone(), Instant(300));
    assert_eq!(
        fleet
            .server("s0")
            .and_then(|server| server.membership.clone()),
        None
    );
    fleet.register(old.clone(), Instant(5_000));
    let membership = fleet
        .server("s0")
        .and_then(|server| server.membership.clone());
    assert_eq!(membership, old.membership);
}

#[test]
fn report_older_than_an_answered_order_is_ignored() {
    let mut fleet = Fleet::default();
    let old = server("s0", State::Ready, 0);
    fleet.register(old.clone(), Instant(0));
    fleet.apply_membership("s0", None, Instant(100));
    assert!(!fleet.apply_report("s0", old.membership.clone(), Instant(300)));
    assert!(fleet.apply_report("s0", old.membership, Instant(5_000)));
}

#[test]
fn model_of_returns_the_model_in_a_group_name() {
    assert_eq!(model_of(&group_name("a.b", 12, 3)), Some("a.b"));
    assert_eq!(model_of("other"), None);
}

// Guards against requests that state as many tokens as a number holds, at several nodes at once: the
// node that summed them up ended, or took the sum for a small one.
#[test]
fn sum_of_the_largest_loads_is_the_largest_load() {
    let mut loads = PeerLoads::default();
    loads.set_peer_count(2);
    for node in ["a", "b"] {
        let share = Share {
            requests: u32::MAX,
            unread: u32::MAX,
            suspect: false,
        };
        let report = LoadReport {
            node: node.into(),
            places: vec![(1, share)],
            ..LoadReport::default()
        };
        loads.record(report, Instant(0));
    }
    let sum = loads.peer_load(1, Instant(10));
    assert_eq!((sum.requests, sum.unread), (u32::MAX, u32::MAX));
    let load = Load {
        own: 1,
        others: sum.requests,
        pending_prefill: u64::MAX,
        others_pending_prefill: u64::from(sum.unread),
        ..Load::default()
    };
    let engine = engine();
    let estimate = balance::estimate(&engine, &engine.models[0], &load, DEMAND);
    let small = Load {
        own: 1,
        ..Load::default()
    };
    let least = balance::estimate(&engine, &engine.models[0], &small, DEMAND);
    assert!(estimate.first_event > least.first_event, "{estimate:?}");
}
