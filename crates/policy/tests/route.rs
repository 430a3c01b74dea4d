//! Table tests of the choice of servers and the detection of stragglers.

use jackdaw_core::key::{Key as _, Server};
use jackdaw_policy::route::{
    Criterion, Latency, Load, Loads, Member, Options, Pool, Query, find_stragglers, prefix_hash,
};
use rstest::rstest;

struct LoadTable(Vec<Load>);

impl Loads for LoadTable {
    fn load(&self, server: Server) -> Load {
        self.0[server.index()]
    }
}

fn load_table(reported: &[u32]) -> LoadTable {
    let load = |reported: &u32| Load {
        reported: *reported,
        ..Load::default()
    };
    LoadTable(reported.iter().map(load).collect())
}

fn members(local: usize, remote: usize) -> Vec<Member> {
    (0..local + remote)
        .map(|index| Member {
            name: index.to_string().into(),
            local: index < local,
            ejected: false,
        })
        .collect()
}

const OPTIONS: Options = Options {
    nodes: 1,
    slots: 10,
    prefix_slack: 2,
    spill_margin: 3,
};

/// Servers with their loads, and the expected choice over a hundred requests.
struct Case {
    local: usize,
    remote: usize,
    loads: &'static [u32],
    avoid: &'static [usize],
    /// Indices of the servers that may be chosen.
    allowed: &'static [usize],
    criterion: Criterion,
}

#[rstest]
#[case::single_server(Case { local: 1, remote: 0, loads: &[9], avoid: &[], allowed: &[0], criterion: Criterion::LessLoaded })]
#[case::local_zone_first(Case { local: 2, remote: 2, loads: &[9, 9, 0, 0], avoid: &[], allowed: &[0, 1], criterion: Criterion::LessLoaded })]
#[case::spill_when_local_zone_is_full(Case { local: 2, remote: 2, loads: &[14, 14, 1, 1], avoid: &[], allowed: &[2, 3], criterion: Criterion::Spill })]
#[case::no_spill_within_the_margin(Case { local: 2, remote: 2, loads: &[14, 14, 11, 11], avoid: &[], allowed: &[0, 1], criterion: Criterion::LessLoaded })]
#[case::tried_server_is_avoided(Case { local: 2, remote: 0, loads: &[0, 9], avoid: &[0], allowed: &[1], criterion: Criterion::LessLoaded })]
#[case::spill_when_all_local_servers_were_tried(Case { local: 1, remote: 1, loads: &[0, 9], avoid: &[0], allowed: &[1], criterion: Criterion::Spill })]
fn only_allowed_servers_are_chosen(#[case] case: Case) {
    let pool = Pool::new(&members(case.local, case.remote));
    let avoid: Vec<Server> = case
        .avoid
        .iter()
        .map(|index| Server::from_index(*index))
        .collect();
    let loads = load_table(case.loads);
    let mut random = fastrand::Rng::with_seed(1);
    let query = Query {
        prefix: None,
        avoid: &avoid,
    };
    for _ in 0..100 {
        let choice = pool
            .choose(query, &loads, &OPTIONS, &mut random)
            .expect("a server");
        assert!(case.allowed.contains(&choice.server.index()), "{choice:?}");
        assert_eq!(choice.criterion, case.criterion);
    }
}

#[test]
fn no_server_is_chosen_when_all_are_avoided() {
    let pool = Pool::new(&members(1, 1));
    let avoid = [Server::from_index(0), Server::from_index(1)];
    let query = Query {
        prefix: Some(1),
        avoid: &avoid,
    };
    let mut random = fastrand::Rng::with_seed(1);
    assert_eq!(
        pool.choose(query, &load_table(&[0, 0]), &OPTIONS, &mut random),
        None
    );
    assert_eq!(pool.choose_least_loaded(query, &load_table(&[0, 0])), None);
}

#[test]
fn prefix_stays_with_its_server_until_the_queue_is_too_long() {
    let pool = Pool::new(&members(8, 0));
    let query = Query {
        prefix: Some(prefix_hash(b"tile matches")),
        avoid: &[],
    };
    let mut random = fastrand::Rng::with_seed(1);
    let idle = load_table(&[0; 8]);
    let cached = pool
        .choose(query, &idle, &OPTIONS, &mut random)
        .expect("a server");
    assert_eq!(cached.criterion, Criterion::Prefix);
    for _ in 0..100 {
        let repeated = pool.choose(query, &idle, &OPTIONS, &mut random);
        assert_eq!(repeated.expect("a server").server, cached.server);
    }
    // The queue of this node is too long, the server is full, or the server is filling up: two
    // requests sent since the report imply two from each of five nodes.
    let long_queue = Load {
        in_flight: 3,
        in_flight_at_report: 3,
        reported: 3,
        ..Load::default()
    };
    let full = Load {
        reported: OPTIONS.slots,
        ..Load::default()
    };
    let filling = Load {
        in_flight: 2,
        ..Load::default()
    };
    let options = Options {
        nodes: 5,
        ..OPTIONS
    };
    for load in [long_queue, full, filling] {
        let mut busy = load_table(&[0; 8]);
        busy.0[cached.server.index()] = load;
        let other = pool.choose(query, &busy, &options, &mut random);
        assert_eq!(
            other.expect("a server").criterion,
            Criterion::LessLoaded,
            "{load:?}"
        );
    }
}

#[test]
fn only_prefixes_of_an_ejected_server_move() {
    let target = |pool: &Pool, prefix: u64, loads: &LoadTable| {
        let query = Query {
            prefix: Some(prefix_hash(&prefix.to_be_bytes())),
            avoid: &[],
        };
        let mut random = fastrand::Rng::with_seed(prefix);
        pool.choose(query, loads, &OPTIONS, &mut random)
            .expect("a server")
            .server
    };
    let loads = load_table(&[0; 20]);
    let mut servers = members(20, 0);
    let before = Pool::new(&servers);
    servers[7].ejected = true;
    let after = Pool::new(&servers);
    let moved = (0..1_000)
        .filter(|prefix| target(&before, *prefix, &loads) != target(&after, *prefix, &loads))
        .count();
    let of_ejected = (0..1_000)
        .filter(|prefix| target(&before, *prefix, &loads).index() == 7)
        .count();
    assert_eq!(moved, of_ejected);
}

#[test]
fn reserved_server_is_chosen_only_if_no_other_is_left() {
    let mut loads = load_table(&[0, 0]);
    loads.0[0].reserved = true;
    let mut random = fastrand::Rng::with_seed(1);
    let pool = Pool::new(&members(2, 0));
    for prefix in 0..50 {
        let query = Query {
            prefix: Some(prefix_hash(&[prefix])),
            avoid: &[],
        };
        let choice = pool
            .choose(query, &loads, &OPTIONS, &mut random)
            .expect("a server");
        assert_eq!(choice.server.index(), 1);
    }
    let single = Pool::new(&members(1, 0));
    let choice = single.choose(Query::default(), &loads, &OPTIONS, &mut random);
    assert_eq!(choice.expect("a server").server.index(), 0);
}

#[rstest]
#[case::no_own_requests(5, 0, 0, 5)]
#[case::sent_since(5, 2, 6, 9)]
#[case::finished_since(5, 4, 1, 2)]
#[case::at_least_the_own_requests(0, 3, 3, 3)]
fn estimate_adjusts_the_report_by_own_requests_since(
    #[case] reported: u32,
    #[case] in_flight_at_report: u32,
    #[case] in_flight: u32,
    #[case] estimate: u32,
) {
    let load = Load {
        reported,
        in_flight_at_report,
        in_flight,
        reserved: false,
    };
    assert_eq!(load.estimate(), estimate);
}

fn latency(micros: u64) -> Latency {
    Latency {
        mean_micros: micros,
        samples: 100,
        ejected: false,
    }
}

#[rstest]
#[case::equal_latencies(vec![latency(10); 10], &[])]
#[case::one_straggler([vec![latency(10); 9], vec![latency(31)]].concat(), &[9])]
#[case::not_slow_enough([vec![latency(10); 9], vec![latency(30)]].concat(), &[])]
#[case::bounded_share([vec![latency(10); 8], vec![latency(90), latency(80), latency(70)]].concat(), &[8, 9])]
#[case::too_few_servers(vec![latency(10), latency(90)], &[])]
#[case::too_few_samples([vec![latency(10); 9], vec![Latency { samples: 2, ..latency(90) }]].concat(), &[])]
#[case::share_already_ejected([vec![latency(10); 3], vec![Latency { ejected: true, ..latency(90) }, latency(80)]].concat(), &[])]
fn only_stragglers_are_ejected(#[case] latencies: Vec<Latency>, #[case] expected: &[usize]) {
    let found: Vec<usize> = find_stragglers(&latencies)
        .iter()
        .map(|straggler| straggler.index)
        .collect();
    assert_eq!(found, expected);
}
