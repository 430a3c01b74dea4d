//! Cold servers: when one is cold, and the bound on its requests that all nodes keep together.

#[path = "warmup/simulation.rs"]
mod simulation;

use compact_str::CompactString;
use jackdaw_core::backend::Server;
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Millis, Rate};
use jackdaw_policy::throttle::{Asker, ServerId};
use jackdaw_policy::warmup::{ARRIVAL_SPREAD, Allowance, Change, Part, Warmups};
use rstest::rstest;
use simulation::{Event, Scenario, Simulation};

const SERVICE: &str = "service";

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("the rate is valid")
}

fn server(start_unix_ms: u64, left: u64) -> Server {
    Server {
        id: "s".into(),
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "zone".into(),
        draining: false,
        slots: 4,
        start_unix_ms,
        domain: CompactString::default(),
        staged: Vec::new(),
        warmup_left: Millis(left),
        membership: None,
    }
}

fn warmups() -> Warmups {
    let mut warmups = Warmups::default();
    warmups.set_rates([(SERVICE.into(), rate(26.0))].into());
    warmups
}

/// A registration: time of its arrival, revision, start of the server, time left.
type Arrival = (u64, u64, u64, u64);

/// Registrations in the order of their arrival and the first time at which the server is warm.
#[derive(Debug)]
struct Sequence {
    name: &'static str,
    arrivals: &'static [Arrival],
    /// Whether other nodes are told, for each registration.
    news: &'static [bool],
    /// Start of the incarnation that is asked for.
    start: u64,
    warm_at: u64,
}

#[rstest]
#[case(Sequence { name: "a warm server", arrivals: &[(1_000, 1, 1, 0)], news: &[false], start: 1, warm_at: 0 })]
#[case(Sequence { name: "a cold server", arrivals: &[(1_000, 1, 1, 3_000)], news: &[true], start: 1, warm_at: 4_000 })]
#[case(Sequence { name: "a heartbeat of a cold server", arrivals: &[(1_000, 1, 1, 3_000), (2_200, 2, 1, 1_850)], news: &[true, false], start: 1, warm_at: 4_050 })]
#[case(Sequence { name: "a server that is warm before its time", arrivals: &[(1_000, 1, 1, 3_000), (2_200, 2, 1, 0)], news: &[true, true], start: 1, warm_at: 0 })]
#[case(Sequence { name: "a server that is cold for longer", arrivals: &[(1_000, 1, 1, 3_000), (2_200, 2, 1, 3_000)], news: &[true, true], start: 1, warm_at: 5_200 })]
#[case(Sequence { name: "cold again with no other change", arrivals: &[(1_000, 1, 1, 3_000), (5_000, 2, 1, 0), (9_000, 3, 1, 2_000)], news: &[true, true, true], start: 1, warm_at: 11_000 })]
#[case(Sequence { name: "the same entry read again", arrivals: &[(1_000, 7, 1, 3_000), (9_000, 7, 1, 3_000)], news: &[true, false], start: 1, warm_at: 4_000 })]
#[case(Sequence { name: "an older entry", arrivals: &[(1_000, 7, 1, 0), (1_100, 6, 1, 3_000)], news: &[false, false], start: 1, warm_at: 0 })]
#[case(Sequence { name: "a later incarnation", arrivals: &[(1_000, 1, 1, 3_000), (1_500, 2, 9, 3_000)], news: &[true, true], start: 9, warm_at: 4_500 })]
#[case(Sequence { name: "the incarnation before a later one", arrivals: &[(1_000, 1, 1, 3_000), (1_500, 2, 9, 3_000)], news: &[true, true], start: 1, warm_at: 0 })]
// Guards against servers that stay cold, or get full load while they are cold, because registrations
// are read late, twice or out of order.
fn server_is_cold_until_its_last_registration_says_so(#[case] sequence: Sequence) {
    let mut warmups = warmups();
    let mut last = 0;
    for ((at, revision, start, left), is_news) in sequence.arrivals.iter().zip(sequence.news) {
        let change = warmups.record(&server(*start, *left), *revision, Instant(*at));
        assert_eq!(change.is_some(), *is_news, "{}: {change:?}", sequence.name);
        last = *at;
    }
    let id = ServerId::new("s", sequence.start);
    if sequence.warm_at > last {
        let before = warmups.rate(id, Instant(sequence.warm_at - 1));
        assert_eq!(before, Some(rate(26.0)), "{}", sequence.name);
    }
    let at = Instant(sequence.warm_at.max(last));
    assert_eq!(warmups.rate(id, at), None, "{}", sequence.name);
    warmups.expire(at);
    assert_eq!(warmups.rate(id, Instant(last)), None, "{}", sequence.name);
}

// Guards against limits on servers whose service states no rate.
#[test]
fn server_of_a_service_without_a_rate_is_not_limited() {
    let mut warmups = Warmups::default();
    let change = warmups.record(&server(1, 3_000), 1, Instant(0));
    assert_eq!(change, Some(Change::Cold(Millis(3_000))));
    assert_eq!(warmups.rate(ServerId::new("s", 1), Instant(10)), None);
}

// Guards against a map that grows with every server that was ever cold.
#[test]
fn warm_and_removed_servers_are_forgotten() {
    let mut warmups = warmups();
    warmups.record(&server(1, 3_000), 1, Instant(0));
    assert!(warmups.expire(Instant(2_999)).is_empty());
    assert_eq!(warmups.expire(Instant(3_000)), ["s"]);
    assert!(warmups.is_empty());
    warmups.record(&server(1, 3_000), 2, Instant(4_000));
    warmups.forget("s");
    assert!(warmups.is_empty());
}

/// Figures of a deployment.
#[derive(Debug)]
struct Figures {
    rate: f64,
    overshoot: f64,
    slack: f64,
    /// Whether the keeper's part is to allow 0.8 of the rate.
    is_used: bool,
    /// Whether a share is to allow any request.
    is_shared: bool,
}

#[rstest]
#[case(Figures { rate: 26.0, overshoot: 1.5, slack: 5.0, is_used: true, is_shared: true })]
#[case(Figures { rate: 1.0, overshoot: 1.5, slack: 5.0, is_used: true, is_shared: false })]
#[case(Figures { rate: 200.0, overshoot: 1.5, slack: 5.0, is_used: true, is_shared: true })]
#[case(Figures { rate: 26.0, overshoot: 1.0, slack: 0.0, is_used: true, is_shared: false })]
#[case(Figures { rate: 26.0, overshoot: 1.2, slack: 2.0, is_used: true, is_shared: true })]
#[case(Figures { rate: 0.5, overshoot: 1.0, slack: 0.0, is_used: false, is_shared: false })]
#[case(Figures { rate: 5.0, overshoot: 0.5, slack: 0.0, is_used: false, is_shared: false })]
#[case(Figures { rate: 0.0, overshoot: 1.5, slack: 5.0, is_used: false, is_shared: false })]
// Guards against parts of several nodes that make up more than the bound.
fn parts_of_all_nodes_make_up_no_more_than_the_bound(#[case] figures: Figures) {
    let bound = figures.rate * figures.overshoot + figures.slack;
    let span = 1.0 + ARRIVAL_SPREAD.0 as f64 / 1_000.0;
    let allowance = |part| Allowance::new(rate(figures.rate), bound, part);
    let most = |part| {
        let allowance: Allowance = allowance(part);
        allowance.burst + allowance.per_second * span
    };
    let total = most(Part::Main) + 2.0 * most(Part::Share);
    assert!(total <= bound + 1e-9, "{figures:?}: {total} of {bound}");
    let main = allowance(Part::Main);
    assert!(main.per_second <= figures.rate, "{figures:?}: {main:?}");
    if figures.is_used {
        let is_enough = main.per_second >= 0.8 * figures.rate && main.burst >= 1.0;
        assert!(is_enough, "{figures:?}: {main:?}");
    }
    let share = allowance(Part::Share);
    let is_granted = share.burst >= 1.0 && share.per_second > 0.0;
    assert_eq!(is_granted, figures.is_shared, "{figures:?}: {share:?}");
}

const BASE: Scenario = Scenario {
    name: "",
    load: 2.0,
    loss: 0.0,
    event: Event::None,
    is_uneven: false,
};

#[rstest]
#[case(Scenario { name: "twice the rate", ..BASE })]
#[case(Scenario { name: "slightly more than the rate", load: 1.25, ..BASE })]
#[case(Scenario { name: "eight times the rate", load: 8.0, ..BASE })]
#[case(Scenario { name: "all demand at one node", is_uneven: true, ..BASE })]
#[case(Scenario { name: "a tenth of the datagrams is lost", loss: 0.1, load: 3.0, ..BASE })]
// Guards against a cold server that gets more than it bears, or much less than it could serve.
fn cold_server_is_used_within_its_bound(#[case] scenario: Scenario) {
    for seed in 0..6 {
        let outcome = Simulation::run(scenario, seed);
        let (worst, bound) = (outcome.worst_second(), simulation::bound());
        let name = scenario.name;
        assert!(worst as f64 <= bound, "{name} seed {seed}: {worst} arrive");
        let used = outcome.used(2_000, simulation::SPAN);
        assert!(used >= 0.8, "{name} seed {seed}: {used:.2} of the rate");
    }
}

#[rstest]
#[case(Scenario { name: "the keeper ends", event: Event::KeeperEnds, ..BASE })]
#[case(Scenario { name: "the keeper ends under high load", event: Event::KeeperEnds, load: 8.0, ..BASE })]
#[case(Scenario { name: "a node joins that becomes the keeper", event: Event::KeeperJoins, load: 8.0, ..BASE })]
#[case(Scenario { name: "the nodes are divided", event: Event::Partition, load: 8.0, ..BASE })]
#[case(Scenario { name: "the keeper alone is cut off from nodes and store", event: Event::Isolation, load: 8.0, ..BASE })]
#[case(Scenario { name: "the keeper's side is cut off from the store", event: Event::SideCutOff, load: 8.0, ..BASE })]
// Guards against two nodes that both grant the whole bound while they do not know of each other.
fn bound_is_kept_while_the_keeper_changes(#[case] scenario: Scenario) {
    for seed in 0..6 {
        let outcome = Simulation::run(scenario, seed);
        let (worst, bound) = (outcome.worst_second(), simulation::bound());
        let name = scenario.name;
        assert!(worst as f64 <= bound, "{name} seed {seed}: {worst} arrive");
        let before = outcome.used(2_000, simulation::EVENT_AT);
        assert!(before >= 0.8, "{name} seed {seed}: {before:.2} before");
        if scenario.event == Event::KeeperEnds {
            let shared = outcome.used(simulation::EVENT_AT + 2_000, simulation::EVENT_AT + 12_000);
            assert!(
                shared > 0.0,
                "{name} seed {seed}: the standby grants nothing"
            );
        }
        if scenario.event == Event::Partition {
            continue;
        }
        let after = outcome.used(simulation::SETTLED_AT, simulation::SPAN);
        assert!(after >= 0.8, "{name} seed {seed}: {after:.2} afterwards");
    }
}

// Guards against requests that go to a cold server regardless of their urgency.
#[test]
fn most_urgent_requests_go_first() {
    let outcome = Simulation::run(BASE, 1);
    let [urgent, other] = outcome.by_urgency;
    assert!(urgent > 2 * other, "{urgent} urgent, {other} others");
}

/// What a node knows of the others, and the part that it may grant.
#[derive(Debug)]
struct Standing {
    name: &'static str,
    /// Time of the registration and the time until which it holds.
    registered: Option<(u64, u64)>,
    /// Whether the only other node, which comes first, leaves at 30 s.
    has_former: bool,
    at: u64,
    expected: Option<Part>,
}

#[rstest]
#[case(Standing { name: "not registered", registered: None, has_former: false, at: 40_000, expected: None })]
#[case(Standing { name: "registered just now", registered: Some((30_000, 90_000)), has_former: false, at: 40_000, expected: Some(Part::Share) })]
#[case(Standing { name: "registered for long", registered: Some((10_000, 90_000)), has_former: false, at: 40_000, expected: Some(Part::Main) })]
#[case(Standing { name: "not registered any more", registered: Some((10_000, 35_000)), has_former: false, at: 40_000, expected: None })]
#[case(Standing { name: "after the former keeper", registered: Some((10_000, 90_000)), has_former: true, at: 40_000, expected: Some(Part::Share) })]
#[case(Standing { name: "long after the former keeper", registered: Some((10_000, 90_000)), has_former: true, at: 50_001, expected: Some(Part::Main) })]
// Guards against a node that takes itself for the only keeper while others may not.
fn only_a_node_that_all_know_grants_the_main_part(#[case] standing: Standing) {
    let mut asker = Asker::new("a");
    if let Some((at, until)) = standing.registered {
        asker.record_registration(Instant(until), Instant(at));
    }
    // The first server that the other node comes first for.
    asker.replace_peers(vec!["b".into()], Instant(0));
    let servers = (0..100).map(ServerId);
    let mut kept = servers.filter(|server| asker.keeper(*server).is_some());
    let server = kept.next().expect("one of them is kept by the other node");
    if standing.has_former {
        asker.replace_peers(Vec::new(), Instant(30_000));
    } else {
        asker = Asker::new("a");
        if let Some((at, until)) = standing.registered {
            asker.record_registration(Instant(until), Instant(at));
        }
    }
    let part = asker.part(server, Instant(standing.at));
    assert_eq!(part, standing.expected, "{}", standing.name);
}
