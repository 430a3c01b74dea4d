//! Limits that servers name: kept by all nodes together, and used where the demand is.

mod model;

use jackdaw_core::time::Instant;
use jackdaw_core::units::{Millis, Rate};
use jackdaw_policy::throttle::{
    Ask, Asker, Change, Keeper, Limits, Recipient, Role, ServerId, Statement, TeamId, Verdict,
};
use model::{Demand, Event, Method, Model, Scenario};
use rstest::rstest;

/// Length of a model run in milliseconds.
const SPAN: u64 = 24_000;
/// Share of the limits that is to be used where the demand is higher.
const MIN_UTILIZATION: f64 = 0.8;

const BASE: Scenario = Scenario {
    name: "",
    nodes: 6,
    servers: 12,
    unlimited: 0,
    limit: 5.0,
    load: 1.7,
    demand: Demand::Even,
    loss: 0.01,
    event: Event::None,
    alternates: false,
};

#[rstest]
#[case(Scenario { name: "six nodes", ..BASE })]
#[case(Scenario { name: "four nodes, one request a second", nodes: 4, servers: 16, limit: 1.0, ..BASE })]
#[case(Scenario { name: "many nodes, low limits", nodes: 72, servers: 24, limit: 2.0, ..BASE })]
#[case(Scenario { name: "design size", nodes: 370, servers: 48, limit: 2.0, ..BASE })]
#[case(Scenario { name: "demand at one node", nodes: 24, demand: Demand::OneNode, ..BASE })]
#[case(Scenario { name: "high limits", limit: 60.0, servers: 4, ..BASE })]
#[case(Scenario { name: "three times the demand", load: 3.0, ..BASE })]
#[case(Scenario { name: "a third of the datagrams is lost", loss: 0.33, load: 2.5, ..BASE })]
#[case(Scenario { name: "limits that change", alternates: true, load: 3.0, ..BASE })]
// Guards against servers that get more than they named, and against limits that nobody uses.
fn limits_are_kept_by_all_nodes_and_used_where_the_demand_is(#[case] scenario: Scenario) {
    for seed in 0..3 {
        let outcome = Model::run(scenario, Method::Keeper, seed, SPAN);
        let excess = outcome.worst_excess(&scenario);
        assert!(
            excess <= 0.0,
            "{} seed {seed}: {excess} too many",
            scenario.name
        );
        let used = outcome.utilization(&scenario, 4_000, SPAN);
        assert!(
            used >= MIN_UTILIZATION,
            "{} seed {seed}: {used:.2} of the limits are used, {} datagrams",
            scenario.name,
            outcome.datagrams
        );
    }
}

#[rstest]
#[case(Scenario { name: "restarts", event: Event::Restarts, ..BASE })]
#[case(Scenario { name: "restarts of many nodes", event: Event::Restarts, nodes: 72, servers: 24, limit: 2.0, ..BASE })]
#[case(Scenario { name: "a node is lost", event: Event::Loss, ..BASE })]
#[case(Scenario { name: "nodes join", event: Event::Joins, ..BASE })]
#[case(Scenario { name: "restarts beside lost datagrams", event: Event::Restarts, loss: 0.33, ..BASE })]
// Guards against two nodes that both grant the whole limit while the nodes change.
fn limits_are_kept_while_nodes_change(#[case] scenario: Scenario) {
    for seed in 0..4 {
        let outcome = Model::run(scenario, Method::Keeper, seed, SPAN);
        let excess = outcome.worst_excess(&scenario);
        assert!(
            excess <= 0.0,
            "{} seed {seed}: {excess} too many",
            scenario.name
        );
        let used = outcome.utilization(&scenario, 4_000, SPAN);
        assert!(
            used >= 0.5,
            "{} seed {seed}: {used:.2} are used",
            scenario.name
        );
    }
}

#[test]
fn without_limits_nodes_send_more_than_servers_take() {
    let outcome = Model::run(BASE, Method::None, 1, SPAN);
    assert!(outcome.worst_excess(&BASE) > 0.0);
}

#[test]
fn equal_split_leaves_limits_unused_where_the_demand_is_uneven() {
    let scenario = Scenario {
        nodes: 24,
        demand: Demand::OneNode,
        ..BASE
    };
    let outcome = Model::run(scenario, Method::EqualSplit, 1, SPAN);
    let used = outcome.utilization(&scenario, 4_000, SPAN);
    assert!(used < MIN_UTILIZATION, "{used:.2}");
}

#[test]
fn urgent_requests_and_small_teams_go_first() {
    let outcome = Model::run(Scenario { load: 3.0, ..BASE }, Method::Keeper, 1, SPAN);
    let count = |team: u64, priority: u8| f64::from(outcome.by_team[&(TeamId(team), priority)]);
    // Each priority has half of the requests, and team 1 a fifth of them.
    let urgent = count(0, 0) + count(1, 0);
    let other = count(0, 2) + count(1, 2);
    assert!(urgent > other, "{urgent} urgent, {other} others");
    let small = (count(1, 0) + count(1, 2)) / 0.2;
    let large = (count(0, 0) + count(0, 2)) / 0.8;
    assert!(small > large, "small team {small}, large team {large}");
}

#[test]
fn keepers_are_spread_over_the_nodes() {
    assert!(Model::keepers(12, 60).len() >= 10);
}

const fn at(ms: u64) -> Instant {
    Instant(ms)
}

fn rate(per_second: f64) -> Option<Rate> {
    Rate::new(per_second)
}

/// Statements in the order of their arrival, and the limit that results.
#[derive(Debug)]
struct Order {
    name: &'static str,
    /// Limit, time of sending and time of arrival.
    statements: &'static [(Option<f64>, u64, u64)],
    expected: Option<f64>,
}

#[rstest]
#[case(Order { name: "no limit", statements: &[(None, 0, 10)], expected: None })]
#[case(Order { name: "a limit", statements: &[(Some(5.0), 0, 10)], expected: Some(5.0) })]
#[case(Order { name: "lifted", statements: &[(Some(5.0), 0, 10), (None, 20, 30)], expected: None })]
#[case(Order { name: "an answer from before the limit lifts nothing", statements: &[(Some(5.0), 5, 10), (None, 0, 12)], expected: Some(5.0) })]
#[case(Order { name: "an older answer does not bring the limit back", statements: &[(Some(5.0), 0, 10), (None, 20, 30), (Some(5.0), 15, 40)], expected: None })]
#[case(Order { name: "named again", statements: &[(Some(5.0), 0, 10), (None, 20, 30), (Some(4.0), 35, 40)], expected: Some(4.0) })]
#[case(Order { name: "a lower limit counts at once", statements: &[(Some(5.0), 0, 10), (Some(2.0), 5, 12)], expected: Some(2.0) })]
#[case(Order { name: "a higher one only if it is newer", statements: &[(Some(2.0), 0, 10), (Some(5.0), 5, 12)], expected: Some(2.0) })]
fn limit_follows_the_newest_answer(#[case] order: Order) {
    let mut limits = Limits::default();
    let server = ServerId(1);
    for (limit, sent, answered) in order.statements {
        let statement = Statement {
            rate: limit.and_then(rate),
            sent_at: at(*sent),
            answered_at: at(*answered),
        };
        limits.record(server, statement, at(*answered));
    }
    assert_eq!(
        limits.rate(server),
        order.expected.and_then(rate),
        "{}",
        order.name
    );
}

#[test]
fn change_is_told_once_and_passed_on_for_a_time() {
    let mut limits = Limits::default();
    let mut random = fastrand::Rng::with_seed(1);
    let statement = Statement {
        rate: rate(5.0),
        sent_at: at(0),
        answered_at: at(10),
    };
    let change = limits.record(ServerId(1), statement, at(10));
    let expected = Change {
        before: None,
        after: rate(5.0),
    };
    assert_eq!(change, Some(expected));
    assert_eq!(limits.record(ServerId(1), statement, at(11)), None);
    assert_eq!(limits.news(8, at(20), &mut random).len(), 1);
}

const ASK: Ask = Ask {
    server: ServerId(7),
    rate: zero_rate(),
    priority: 0,
    team: TeamId(1),
};

const fn zero_rate() -> Rate {
    match Rate::new(0.0) {
        Some(rate) => rate,
        None => unreachable!(),
    }
}

// Guards against a server with a limit of zero that gets nothing and cannot tell that it is well.
#[test]
fn server_with_a_limit_of_zero_is_tried_now_and_then() {
    let mut keeper = Keeper::default();
    let granted = (0..60_000)
        .step_by(100)
        .filter(|ms| keeper.decide(&ASK, Role::Keeper, at(100_000 + ms)) == Verdict::Granted);
    let granted = granted.count();
    assert!((5..=25).contains(&granted), "{granted} in a minute");
}

#[test]
fn refusal_blocks_only_requests_that_are_not_more_urgent() {
    let mut asker = Asker::new("a");
    asker.record_denial(ServerId(1), TeamId(1), 1, Millis(500), at(0));
    let blocked = |priority| asker.blocked_for(ServerId(1), TeamId(1), priority, at(100));
    assert_eq!(blocked(0), None);
    assert_eq!(blocked(1), Some(Millis(400)));
    assert_eq!(asker.blocked_for(ServerId(1), TeamId(2), 1, at(100)), None);
}

// Guards against a server that nobody can send to since its keeper has ended.
#[test]
fn standby_takes_over_for_a_silent_keeper() {
    let names = ["a", "b", "c"];
    let server = ServerId(3);
    let mut askers: Vec<Asker> = names
        .iter()
        .map(|own| {
            let mut asker = Asker::new(own);
            let peers = names.iter().filter(|name| *name != own);
            asker.set_peers(peers.map(|name| (*name).into()).collect());
            asker
        })
        .collect();
    let keeper = askers
        .iter()
        .position(|asker| asker.keeper(server).is_none());
    let keeper = names[keeper.expect("one of them is the keeper")];
    let other = names
        .iter()
        .position(|name| *name != keeper)
        .expect("there are others");
    let asker = &mut askers[other];
    assert_eq!(
        asker.recipient(server, at(0)),
        Some(Recipient::Peer(keeper.into()))
    );
    asker.record_silence(keeper, at(0));
    assert_ne!(
        asker.recipient(server, at(0)),
        Some(Recipient::Peer(keeper.into()))
    );
    let asker = askers
        .iter_mut()
        .zip(names)
        .find(|(_, name)| *name != keeper)
        .map(|(asker, _)| asker)
        .expect("there are others");
    assert_eq!(asker.role(server, at(10_000)), Role::Standby);
    assert_eq!(asker.role(server, at(11_000)), Role::Standby);
    assert_eq!(asker.role(server, at(12_000)), Role::Keeper);
    asker.record_heard(keeper, at(12_100));
    assert_eq!(asker.role(server, at(12_200)), Role::Standby);
}
