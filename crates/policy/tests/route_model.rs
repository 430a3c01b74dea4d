//! Compares the choice of servers with two baselines in a simulation with the same seeded arrivals.
//!
//! The simulation is deliberately small: servers have slots, a queue and a prefix cache, and nodes
//! see their own requests at once and the load from all nodes only with the next report.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use jackdaw_core::key::{Key as _, Server};
use jackdaw_policy::route::{Load, Loads, Member, Options, Pool, Query, prefix_hash};

const SERVERS: usize = 40;
const NODES: usize = 8;
const SLOTS: usize = 16;
const REQUESTS: usize = 40_000;
/// Time between load reports in microseconds.
const REPORT_PERIOD_MICROS: u64 = 1_000_000;
/// Number of prefixes that a server caches.
const CACHE_CAPACITY: usize = 24;
/// Number of distinct prefixes.
const PREFIXES: u64 = 400;
/// Time to process a prompt whose prefix is not cached.
const MISS_MICROS: u64 = 240_000;
/// Time to process a prompt whose prefix is cached.
const HIT_MICROS: u64 = 40_000;
/// Time to generate one token.
const TOKEN_MICROS: u64 = 10_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    RoundRobin,
    LeastOutstanding,
    Routed,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish(usize, usize),
    Report,
    Arrive,
}

#[derive(Clone, Copy)]
struct Job {
    node: usize,
    prefix: u64,
    tokens: u64,
    arrived: u64,
}

#[derive(Default)]
struct SimServer {
    running: usize,
    queue: VecDeque<Job>,
    cache: VecDeque<u64>,
}

impl SimServer {
    /// Caches a prefix and returns whether it was already cached.
    fn cache_prefix(&mut self, prefix: u64) -> bool {
        let hit = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(index) = hit {
            self.cache.remove(index);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHE_CAPACITY {
            self.cache.pop_front();
        }
        hit.is_some()
    }
}

struct LoadView(Vec<Load>);

impl Loads for LoadView {
    fn load(&self, server: Server) -> Load {
        self.0[server.index()]
    }
}

#[derive(Debug)]
struct Summary {
    mean_ms: u64,
    p95_ms: u64,
    p99_ms: u64,
    hits_percent: usize,
}

struct Simulation {
    policy: Policy,
    arrival_random: fastrand::Rng,
    choice_random: fastrand::Rng,
    servers: Vec<SimServer>,
    views: Vec<LoadView>,
    next_servers: Vec<usize>,
    pool: Pool,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    first_token_micros: Vec<u64>,
    hits: usize,
    mean_gap_micros: f64,
}

impl Simulation {
    fn new(policy: Policy, utilisation: f64) -> Self {
        let members: Vec<Member> = (0..SERVERS)
            .map(|index| Member {
                name: format!("group-{index}").into(),
                local: true,
                ejected: false,
            })
            .collect();
        // A request generates 60 tokens on average and, at worst, misses the cache.
        let service_micros = (60 * TOKEN_MICROS + MISS_MICROS) as f64;
        Simulation {
            policy,
            arrival_random: fastrand::Rng::with_seed(11),
            choice_random: fastrand::Rng::with_seed(12),
            servers: (0..SERVERS).map(|_| SimServer::default()).collect(),
            views: (0..NODES)
                .map(|_| LoadView(vec![Load::default(); SERVERS]))
                .collect(),
            next_servers: (0..NODES).collect(),
            pool: Pool::new(&members),
            events: BinaryHeap::new(),
            first_token_micros: Vec::new(),
            hits: 0,
            mean_gap_micros: service_micros / (SERVERS * SLOTS) as f64 / utilisation,
        }
    }

    fn run(mut self) -> Summary {
        let mut remaining = REQUESTS;
        self.schedule(0, Event::Arrive);
        self.schedule(REPORT_PERIOD_MICROS, Event::Report);
        while let Some(Reverse((now, event))) = self.events.pop() {
            match event {
                Event::Arrive if remaining > 0 => {
                    remaining -= 1;
                    self.arrive(now);
                    let gap = -self.mean_gap_micros * (1.0 - self.arrival_random.f64()).ln();
                    self.schedule(now + gap as u64, Event::Arrive);
                }
                Event::Arrive => {}
                Event::Report if remaining > 0 => self.report(now),
                Event::Report => {}
                Event::Finish(server, node) => self.finish(now, server, node),
            }
        }
        self.first_token_micros.sort_unstable();
        let percentile_ms = |percent: usize| {
            self.first_token_micros[(self.first_token_micros.len() - 1) * percent / 100] / 1_000
        };
        Summary {
            mean_ms: self.first_token_micros.iter().sum::<u64>()
                / self.first_token_micros.len() as u64
                / 1_000,
            p95_ms: percentile_ms(95),
            p99_ms: percentile_ms(99),
            hits_percent: self.hits * 100 / REQUESTS,
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn arrive(&mut self, now: u64) {
        // The product of two uniform draws makes some prefixes far more frequent than others.
        let prefix =
            (self.arrival_random.f64() * self.arrival_random.f64() * PREFIXES as f64) as u64;
        let job = Job {
            node: self.arrival_random.usize(..NODES),
            prefix,
            tokens: self.arrival_random.u64(10..110),
            arrived: now,
        };
        let server = self.choose(job);
        self.views[job.node].0[server].in_flight += 1;
        self.servers[server].queue.push_back(job);
        self.start(now, server);
    }

    fn choose(&mut self, job: Job) -> usize {
        let view = &self.views[job.node];
        match self.policy {
            Policy::RoundRobin => {
                self.next_servers[job.node] += 1;
                self.next_servers[job.node] % SERVERS
            }
            Policy::LeastOutstanding => {
                let start = self.choice_random.usize(..SERVERS);
                (0..SERVERS)
                    .map(|step| (start + step) % SERVERS)
                    .min_by_key(|server| view.0[*server].in_flight)
                    .expect("a server")
            }
            Policy::Routed => {
                let options = Options {
                    slots: SLOTS as u32,
                    nodes: NODES as u32,
                    prefix_slack: 4,
                    ..Options::default()
                };
                let query = Query {
                    prefix: Some(prefix_hash(&job.prefix.to_be_bytes())),
                    avoid: &[],
                };
                let choice = self
                    .pool
                    .choose(query, view, &options, &mut self.choice_random);
                choice.expect("a server").server.index()
            }
        }
    }

    fn start(&mut self, now: u64, server: usize) {
        let server_state = &mut self.servers[server];
        while server_state.running < SLOTS {
            let Some(job) = server_state.queue.pop_front() else {
                return;
            };
            server_state.running += 1;
            let hit = server_state.cache_prefix(job.prefix);
            let prefill = if hit { HIT_MICROS } else { MISS_MICROS };
            self.hits += usize::from(hit);
            self.first_token_micros.push(now - job.arrived + prefill);
            let end = now + prefill + job.tokens * TOKEN_MICROS;
            self.events
                .push(Reverse((end, Event::Finish(server, job.node))));
        }
    }

    fn finish(&mut self, now: u64, server: usize, node: usize) {
        self.servers[server].running -= 1;
        self.views[node].0[server].in_flight -= 1;
        self.start(now, server);
    }

    fn report(&mut self, now: u64) {
        for (server, server_state) in self.servers.iter().enumerate() {
            let reported =
                u32::try_from(server_state.running + server_state.queue.len()).expect("small");
            for view in &mut self.views {
                let load = &mut view.0[server];
                load.reported = reported;
                load.in_flight_at_report = load.in_flight;
            }
        }
        self.schedule(now + REPORT_PERIOD_MICROS, Event::Report);
    }
}

#[test]
fn time_to_first_token_is_shorter_than_with_the_baselines() {
    for utilisation in [0.7, 0.9] {
        let simulate = |policy| Simulation::new(policy, utilisation).run();
        let round_robin = simulate(Policy::RoundRobin);
        let outstanding = simulate(Policy::LeastOutstanding);
        let routed = simulate(Policy::Routed);
        println!("{utilisation}: round robin {round_robin:?}");
        println!("{utilisation}: least outstanding {outstanding:?}");
        println!("{utilisation}: routed {routed:?}");
        assert!(routed.p99_ms <= round_robin.p99_ms);
        for baseline in [&round_robin, &outstanding] {
            assert!(routed.mean_ms < baseline.mean_ms);
            assert!(routed.p95_ms <= baseline.p95_ms);
            assert!(routed.hits_percent > baseline.hits_percent);
        }
    }
}
