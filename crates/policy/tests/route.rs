//! Tables of choices and of stragglers.

use jackdaw_core::key::{Key as _, Server};
use jackdaw_policy::route::{
    Criterion, Latency, Load, Loads, Member, Options, Pool, Query, find_stragglers, prefix_hash,
};
use rstest::rstest;

struct Table(Vec<Load>);

impl Loads for Table {
    fn load(&self, server: Server) -> Load {
        self.0[server.index()]
    }
}

fn table(reported: &[u32]) -> Table {
    let load = |reported: &u32| Load {
        reported: *reported,
        ..Load::default()
    };
    Table(reported.iter().map(load).collect())
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

/// Servers with their loads, and how often each is taken of a hundred requests.
struct Case {
    local: usize,
    remote: usize,
    loads: &'static [u32],
    avoid: &'static [usize],
    /// Servers that may be taken.
    taken: &'static [usize],
    way: Criterion,
}

#[rstest]
#[case::only_one(Case { local: 1, remote: 0, loads: &[9], avoid: &[], taken: &[0], way: Criterion::LessLoaded })]
#[case::own_zone_first(Case { local: 2, remote: 2, loads: &[9, 9, 0, 0], avoid: &[], taken: &[0, 1], way: Criterion::LessLoaded })]
#[case::spill_when_short(Case { local: 2, remote: 2, loads: &[14, 14, 1, 1], avoid: &[], taken: &[2, 3], way: Criterion::Spill })]
#[case::no_spill_for_little(Case { local: 2, remote: 2, loads: &[14, 14, 11, 11], avoid: &[], taken: &[0, 1], way: Criterion::LessLoaded })]
#[case::tried_are_avoided(Case { local: 2, remote: 0, loads: &[0, 9], avoid: &[0], taken: &[1], way: Criterion::LessLoaded })]
#[case::spill_when_all_tried(Case { local: 1, remote: 1, loads: &[0, 9], avoid: &[0], taken: &[1], way: Criterion::Spill })]
fn the_right_servers_are_taken(#[case] case: Case) {
    let pool = Pool::new(&members(case.local, case.remote));
    let avoid: Vec<Server> = case
        .avoid
        .iter()
        .map(|it| Server::from_index(*it))
        .collect();
    let loads = table(case.loads);
    let mut random = fastrand::Rng::with_seed(1);
    let ask = Query {
        prefix: None,
        avoid: &avoid,
    };
    for _ in 0..100 {
        let choice = pool
            .choose(ask, &loads, &OPTIONS, &mut random)
            .expect("a server");
        assert!(case.taken.contains(&choice.server.index()), "{choice:?}");
        assert_eq!(choice.criterion, case.way);
    }
}

#[test]
fn no_server_is_left_when_all_were_tried() {
    let pool = Pool::new(&members(1, 1));
    let avoid = [Server::from_index(0), Server::from_index(1)];
    let ask = Query {
        prefix: Some(1),
        avoid: &avoid,
    };
    let mut random = fastrand::Rng::with_seed(1);
    assert_eq!(
        pool.choose(ask, &table(&[0, 0]), &OPTIONS, &mut random),
        None
    );
    assert_eq!(pool.choose_least_loaded(ask, &table(&[0, 0])), None);
}

#[test]
fn a_prefix_stays_with_its_server_until_the_queue_is_too_long() {
    let pool = Pool::new(&members(8, 0));
    let ask = Query {
        prefix: Some(prefix_hash(b"tile matches")),
        avoid: &[],
    };
    let mut random = fastrand::Rng::with_seed(1);
    let idle = table(&[0; 8]);
    let home = pool
        .choose(ask, &idle, &OPTIONS, &mut random)
        .expect("a server");
    assert_eq!(home.criterion, Criterion::Prefix);
    for _ in 0..100 {
        let again = pool.choose(ask, &idle, &OPTIONS, &mut random);
        assert_eq!(again.expect("a server").server, home.server);
    }
    // An own queue that is too long, a full server, and one that fills: two requests sent since
    // the report mean two from each of five nodes.
    let queue = Load {
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
    for load in [queue, full, filling] {
        let mut busy = table(&[0; 8]);
        busy.0[home.server.index()] = load;
        let other = pool.choose(ask, &busy, &options, &mut random);
        assert_eq!(
            other.expect("a server").criterion,
            Criterion::LessLoaded,
            "{load:?}"
        );
    }
}

#[test]
fn few_prefixes_move_when_a_server_goes() {
    let home = |pool: &Pool, prefix: u64, loads: &Table| {
        let ask = Query {
            prefix: Some(prefix_hash(&prefix.to_be_bytes())),
            avoid: &[],
        };
        let mut random = fastrand::Rng::with_seed(prefix);
        pool.choose(ask, loads, &OPTIONS, &mut random)
            .expect("a server")
            .server
    };
    let loads = table(&[0; 20]);
    let mut all = members(20, 0);
    let before = Pool::new(&all);
    all[7].ejected = true;
    let after = Pool::new(&all);
    let moved = (0..1_000)
        .filter(|prefix| home(&before, *prefix, &loads) != home(&after, *prefix, &loads))
        .count();
    let lost = (0..1_000)
        .filter(|prefix| home(&before, *prefix, &loads).index() == 7)
        .count();
    assert_eq!(moved, lost);
}

#[test]
fn a_reserved_server_gets_other_requests_only_when_it_is_the_last() {
    let mut loads = table(&[0, 0]);
    loads.0[0].reserved = true;
    let mut random = fastrand::Rng::with_seed(1);
    let pool = Pool::new(&members(2, 0));
    for prefix in 0..50 {
        let ask = Query {
            prefix: Some(prefix_hash(&[prefix])),
            avoid: &[],
        };
        let choice = pool
            .choose(ask, &loads, &OPTIONS, &mut random)
            .expect("a server");
        assert_eq!(choice.server.index(), 1);
    }
    let last = Pool::new(&members(1, 0));
    let choice = last.choose(Query::default(), &loads, &OPTIONS, &mut random);
    assert_eq!(choice.expect("a server").server.index(), 0);
}

#[rstest]
#[case::report_alone(5, 0, 0, 5)]
#[case::sent_since(5, 2, 6, 9)]
#[case::finished_since(5, 4, 1, 2)]
#[case::never_below_own(0, 3, 3, 3)]
fn a_lagging_report_is_brought_up_to_date(
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

fn pace(micros: u64) -> Latency {
    Latency {
        mean_micros: micros,
        samples: 100,
        ejected: false,
    }
}

#[rstest]
#[case::even(vec![pace(10); 10], &[])]
#[case::one_slow([vec![pace(10); 9], vec![pace(31)]].concat(), &[9])]
#[case::not_slow_enough([vec![pace(10); 9], vec![pace(30)]].concat(), &[])]
#[case::bounded_share([vec![pace(10); 8], vec![pace(90), pace(80), pace(70)]].concat(), &[8, 9])]
#[case::two_servers_tell_nothing(vec![pace(10), pace(90)], &[])]
#[case::few_samples([vec![pace(10); 9], vec![Latency { samples: 2, ..pace(90) }]].concat(), &[])]
#[case::share_is_spent([vec![pace(10); 3], vec![Latency { ejected: true, ..pace(90) }, pace(80)]].concat(), &[])]
fn stragglers_are_found(#[case] paces: Vec<Latency>, #[case] ejected: &[usize]) {
    let found: Vec<usize> = find_stragglers(&paces).iter().map(|it| it.index).collect();
    assert_eq!(found, ejected);
}
