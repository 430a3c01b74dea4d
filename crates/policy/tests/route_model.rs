//! Compares the choice of servers with two baselines on the same seeded arrivals.
//!
//! The model is small on purpose: servers with slots, a queue and a cache of prefixes, and nodes
//! that see their own requests at once and everybody's load late.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use jackdaw_core::key::{Key as _, Server};
use jackdaw_policy::route::{Load, Loads, Member, Options, Pool, Query, prefix_hash};

const SERVERS: usize = 40;
const NODES: usize = 8;
const SLOTS: usize = 16;
const REQUESTS: usize = 40_000;
/// Time between load reports in microseconds.
const REPORT_PERIOD: u64 = 1_000_000;
/// Prefixes that a server caches.
const CACHED: usize = 24;
/// Prefixes in use.
const PREFIXES: u64 = 400;
const MISS: u64 = 240_000;
const HIT: u64 = 40_000;
const TOKEN: u64 = 10_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    RoundRobin,
    LeastOutstanding,
    Weighed,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
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
struct Machine {
    running: usize,
    queue: VecDeque<Job>,
    cache: VecDeque<u64>,
}

impl Machine {
    /// Returns whether the prefix was cached, and caches it.
    fn touch(&mut self, prefix: u64) -> bool {
        let hit = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(index) = hit {
            self.cache.remove(index);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHED {
            self.cache.pop_front();
        }
        hit.is_some()
    }
}

struct View(Vec<Load>);

impl Loads for View {
    fn load(&self, server: Server) -> Load {
        self.0[server.index()]
    }
}

#[derive(Debug)]
struct Figures {
    mean_ms: u64,
    p95_ms: u64,
    p99_ms: u64,
    hits_percent: usize,
}

struct Model {
    policy: Policy,
    random: fastrand::Rng,
    choices: fastrand::Rng,
    machines: Vec<Machine>,
    views: Vec<View>,
    turns: Vec<usize>,
    pool: Pool,
    happenings: BinaryHeap<Reverse<(u64, Happening)>>,
    waits: Vec<u64>,
    hits: usize,
    gap: f64,
}

impl Model {
    fn new(policy: Policy, utilisation: f64) -> Self {
        let members: Vec<Member> = (0..SERVERS)
            .map(|index| Member {
                name: format!("group-{index}").into(),
                local: true,
                ejected: false,
            })
            .collect();
        // A request takes 60 tokens and, at worst, a miss.
        let service = (60 * TOKEN + MISS) as f64;
        Model {
            policy,
            random: fastrand::Rng::with_seed(11),
            choices: fastrand::Rng::with_seed(12),
            machines: (0..SERVERS).map(|_| Machine::default()).collect(),
            views: (0..NODES)
                .map(|_| View(vec![Load::default(); SERVERS]))
                .collect(),
            turns: (0..NODES).collect(),
            pool: Pool::new(&members),
            happenings: BinaryHeap::new(),
            waits: Vec::new(),
            hits: 0,
            gap: service / (SERVERS * SLOTS) as f64 / utilisation,
        }
    }

    fn run(mut self) -> Figures {
        let mut left = REQUESTS;
        self.plan(0, Happening::Arrive);
        self.plan(REPORT_PERIOD, Happening::Report);
        while let Some(Reverse((now, happening))) = self.happenings.pop() {
            match happening {
                Happening::Arrive if left > 0 => {
                    left -= 1;
                    self.arrive(now);
                    let gap = -self.gap * (1.0 - self.random.f64()).ln();
                    self.plan(now + gap as u64, Happening::Arrive);
                }
                Happening::Arrive => {}
                Happening::Report if left > 0 => self.report(now),
                Happening::Report => {}
                Happening::Finish(server, node) => self.finish(now, server, node),
            }
        }
        self.waits.sort_unstable();
        let at = |percent: usize| self.waits[(self.waits.len() - 1) * percent / 100] / 1_000;
        Figures {
            mean_ms: self.waits.iter().sum::<u64>() / self.waits.len() as u64 / 1_000,
            p95_ms: at(95),
            p99_ms: at(99),
            hits_percent: self.hits * 100 / REQUESTS,
        }
    }

    fn plan(&mut self, at: u64, happening: Happening) {
        self.happenings.push(Reverse((at, happening)));
    }

    fn arrive(&mut self, now: u64) {
        // The product of two draws makes some prefixes far more frequent than others.
        let prefix = (self.random.f64() * self.random.f64() * PREFIXES as f64) as u64;
        let job = Job {
            node: self.random.usize(..NODES),
            prefix,
            tokens: self.random.u64(10..110),
            arrived: now,
        };
        let server = self.choose(job);
        self.views[job.node].0[server].in_flight += 1;
        self.machines[server].queue.push_back(job);
        self.start(now, server);
    }

    fn choose(&mut self, job: Job) -> usize {
        let view = &self.views[job.node];
        match self.policy {
            Policy::RoundRobin => {
                self.turns[job.node] += 1;
                self.turns[job.node] % SERVERS
            }
            Policy::LeastOutstanding => {
                let start = self.choices.usize(..SERVERS);
                (0..SERVERS)
                    .map(|step| (start + step) % SERVERS)
                    .min_by_key(|server| view.0[*server].in_flight)
                    .expect("a server")
            }
            Policy::Weighed => {
                let options = Options {
                    slots: SLOTS as u32,
                    nodes: NODES as u32,
                    prefix_slack: 4,
                    ..Options::default()
                };
                let ask = Query {
                    prefix: Some(prefix_hash(&job.prefix.to_be_bytes())),
                    avoid: &[],
                };
                let choice = self.pool.choose(ask, view, &options, &mut self.choices);
                choice.expect("a server").server.index()
            }
        }
    }

    fn start(&mut self, now: u64, server: usize) {
        let machine = &mut self.machines[server];
        while machine.running < SLOTS {
            let Some(job) = machine.queue.pop_front() else {
                return;
            };
            machine.running += 1;
            let hit = machine.touch(job.prefix);
            let prefill = if hit { HIT } else { MISS };
            self.hits += usize::from(hit);
            self.waits.push(now - job.arrived + prefill);
            let end = now + prefill + job.tokens * TOKEN;
            self.happenings
                .push(Reverse((end, Happening::Finish(server, job.node))));
        }
    }

    fn finish(&mut self, now: u64, server: usize, node: usize) {
        self.machines[server].running -= 1;
        self.views[node].0[server].in_flight -= 1;
        self.start(now, server);
    }

    fn report(&mut self, now: u64) {
        for (server, machine) in self.machines.iter().enumerate() {
            let reported = u32::try_from(machine.running + machine.queue.len()).expect("small");
            for view in &mut self.views {
                let load = &mut view.0[server];
                load.reported = reported;
                load.in_flight_at_report = load.in_flight;
            }
        }
        self.plan(now + REPORT_PERIOD, Happening::Report);
    }
}

#[test]
fn the_first_token_comes_sooner_than_with_the_baselines() {
    for utilisation in [0.7, 0.9] {
        let figures = |policy| Model::new(policy, utilisation).run();
        let round_robin = figures(Policy::RoundRobin);
        let outstanding = figures(Policy::LeastOutstanding);
        let weighed = figures(Policy::Weighed);
        println!("{utilisation}: round robin {round_robin:?}");
        println!("{utilisation}: least outstanding {outstanding:?}");
        println!("{utilisation}: weighed {weighed:?}");
        assert!(weighed.p99_ms <= round_robin.p99_ms);
        for baseline in [&round_robin, &outstanding] {
            assert!(weighed.mean_ms < baseline.mean_ms);
            assert!(weighed.p95_ms <= baseline.p95_ms);
            assert!(weighed.hits_percent > baseline.hits_percent);
        }
    }
}
