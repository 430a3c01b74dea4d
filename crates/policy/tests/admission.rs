//! Admission under demand above capacity, of which each of many nodes sees a part.
//!
//! Load pattern: for half a minute, requests arrive faster than the replica groups can serve them.

#[path = "support/nodes.rs"]
mod nodes;

use std::collections::VecDeque;

use jackdaw_core::config::Engine;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::admission::{Latency, rejection_probability, retry_after};
use jackdaw_policy::balance::{self, Demand, Load};
use nodes::{BROADCAST_INTERVAL_MS, broadcast, engine, peer_loads};
use rstest::rstest;

/// Time in which users expect the first event, in milliseconds.
const OBJECTIVE_MS: u64 = 300;
/// Time after which a caller gives up, in milliseconds.
const DEADLINE_MS: u64 = 6_000;
/// Duration of the simulated load, in milliseconds.
const DURATION_MS: u64 = 30_000;
/// Value of a late answer to users, relative to one in time.
const LATE_VALUE: f64 = 0.25;

/// Returns the figures of engines that serve a faster model with shorter prompts.
fn short_prompt_engine() -> Engine {
    let mut engine = engine();
    engine.mean_prompt_tokens = DEMAND.prompt;
    engine.mean_output_tokens = DEMAND.output;
    engine.models[0].time_factor = 0.6;
    engine
}

const DEMAND: Demand = Demand {
    prompt: 714,
    output: 115,
};

/// Requests queued or running at one replica group.
#[derive(Default)]
struct Group {
    /// Time of arrival, index of the node, and whether the request is a retry.
    queue: VecDeque<(u64, usize, bool)>,
    /// Remaining passes and index of the node.
    running: Vec<(u32, usize)>,
    /// Time at which the pass in progress ends.
    pass_end: u64,
}

struct Scenario {
    nodes: usize,
    groups: usize,
    /// Mean time between two requests for each group, in milliseconds.
    interval: u64,
    /// Whether the excess is rejected; if not, every request is admitted.
    rejects: bool,
}

#[derive(Default)]
struct Counts {
    arrivals: u32,
    in_time: u32,
    late: u32,
    rejected: u32,
}

impl Group {
    /// Runs until a time and returns, for each request that started, the time to its first event and
    /// whether it is a retry.
    fn advance(&mut self, engine: &Engine, now: u64, in_flight: &mut [u32]) -> Vec<(u64, bool)> {
        let mut started = Vec::new();
        while self.pass_end <= now {
            let mut prefill = 0.0;
            while self.running.len() < engine.slots as usize {
                let Some((since, node, is_retry)) = self.queue.pop_front() else {
                    break;
                };
                if self.pass_end.saturating_sub(since) > DEADLINE_MS {
                    in_flight[node] -= 1;
                    continue;
                }
                prefill += balance::prefill_ms(engine, f64::from(DEMAND.prompt));
                self.running
                    .push((DEMAND.output / engine.steps_per_pass, node));
                started.push((since, is_retry));
            }
            let step = engine.step_ms + engine.step_ms_per_request * self.running.len() as f64;
            let pass =
                (step * f64::from(engine.steps_per_pass) + prefill) * engine.models[0].time_factor;
            self.pass_end = self.pass_end.max(now.saturating_sub(1)) + pass as u64 + 1;
            for (passes, node) in &mut self.running {
                *passes -= 1;
                if *passes == 0 {
                    in_flight[*node] -= 1;
                }
            }
            self.running.retain(|(passes, _)| *passes > 0);
        }
        let end = self.pass_end;
        started
            .into_iter()
            .map(|(since, is_retry)| (end.saturating_sub(since), is_retry))
            .collect()
    }
}

fn simulate(scenario: &Scenario, seed: u64) -> Counts {
    let engine = short_prompt_engine();
    let mut random = fastrand::Rng::with_seed(seed);
    let mut groups: Vec<Group> = (0..scenario.groups).map(|_| Group::default()).collect();
    let mut in_flight = vec![vec![0_u32; scenario.nodes]; scenario.groups];
    let mut peer_loads = peer_loads(scenario.nodes);
    let mut retry_times: Vec<u64> = Vec::new();
    let mut counts = Counts::default();
    for now in 0..DURATION_MS {
        for (group, in_flight) in groups.iter_mut().zip(&mut in_flight) {
            for (took, is_retry) in group.advance(&engine, now, in_flight) {
                // A request that was rejected before is late in any case.
                if !is_retry && took <= OBJECTIVE_MS {
                    counts.in_time += 1;
                } else {
                    counts.late += 1;
                }
            }
        }
        if now % BROADCAST_INTERVAL_MS == 0 {
            broadcast(
                |node, group| in_flight[group][node],
                scenario.groups,
                &mut peer_loads,
                now,
            );
        }
        let new_requests = (0..scenario.groups).filter(|_| random.u64(0..scenario.interval) == 0);
        let mut arrivals = vec![false; new_requests.count()];
        counts.arrivals += u32::try_from(arrivals.len()).expect("few arrive in a millisecond");
        let retries = retry_times.iter().filter(|at| **at == now).count();
        arrivals.extend(std::iter::repeat_n(true, retries));
        for is_retry in arrivals {
            let node = random.usize(0..scenario.nodes);
            let loads: Vec<Load> = in_flight
                .iter()
                .enumerate()
                .map(|(group, in_flight)| Load {
                    own: in_flight[node],
                    others: peer_loads[node]
                        .peer_load(group as u64, Instant(now))
                        .requests,
                    slowness: 1.0,
                    ..Load::default()
                })
                .collect();
            let model = &engine.models[0];
            let first_event =
                |load: &Load| balance::estimate(&engine, model, load, DEMAND).first_event;
            let mean = loads.iter().map(first_event).sum::<f64>() / loads.len() as f64;
            let probability = rejection_probability(&Latency {
                expected: mean,
                minimum: first_event(&Load::default()),
                objective: OBJECTIVE_MS as f64,
            });
            if scenario.rejects && random.f64() < probability {
                counts.rejected += 1;
                if !is_retry {
                    retry_times.push(now + retry_after(Millis(DEADLINE_MS), random.f64()).0);
                }
                continue;
            }
            let costs: Vec<f64> = loads
                .iter()
                .map(|load| balance::cost(&engine, model, load, DEMAND))
                .collect();
            let index = balance::choose(&costs, &mut || random.f64()).expect("there are groups");
            in_flight[index][node] += 1;
            groups[index].queue.push_back((now, node, is_retry));
        }
    }
    counts
}

#[derive(Debug)]
struct Overload {
    name: &'static str,
    nodes: usize,
    groups: usize,
    interval: u64,
}

#[rstest]
#[case(Overload { name: "a third above capacity", nodes: 24, groups: 6, interval: 32 })]
#[case(Overload { name: "a third above capacity, many nodes", nodes: 58, groups: 12, interval: 32 })]
#[case(Overload { name: "twice the capacity", nodes: 8, groups: 8, interval: 21 })]
fn rejecting_the_excess_serves_more_requests_in_time(#[case] case: Overload) {
    let scenario = |rejects| Scenario {
        nodes: case.nodes,
        groups: case.groups,
        interval: case.interval,
        rejects,
    };
    let (accepting, rejecting) = (simulate(&scenario(false), 1), simulate(&scenario(true), 1));
    let in_time_share =
        |counts: &Counts| f64::from(counts.in_time) / f64::from(counts.in_time + counts.late);
    let value = |counts: &Counts| {
        (f64::from(counts.in_time) + LATE_VALUE * f64::from(counts.late))
            / f64::from(counts.arrivals)
    };
    println!(
        "{}: accepting all {:.3} in time, value {:.3}; rejecting {:.3}, {:.3}, {} of {} rejected",
        case.name,
        in_time_share(&accepting),
        value(&accepting),
        in_time_share(&rejecting),
        value(&rejecting),
        rejecting.rejected,
        rejecting.arrivals
    );
    assert!(rejecting.in_time > accepting.in_time, "{}", case.name);
    assert!(value(&rejecting) > value(&accepting), "{}", case.name);
}

#[test]
fn demand_below_capacity_is_hardly_ever_rejected() {
    let scenario = Scenario {
        nodes: 24,
        groups: 6,
        interval: 60,
        rejects: true,
    };
    let counts = simulate(&scenario, 1);
    // Users accept that one request in a hundred is rejected in normal operation.
    assert!(
        counts.rejected * 100 <= counts.arrivals,
        "{} of {} were rejected",
        counts.rejected,
        counts.arrivals
    );
}

#[derive(Debug)]
struct Expectation {
    name: &'static str,
    latency: Latency,
    probability: f64,
}

#[rstest]
#[case(Expectation { name: "well below the objective", latency: Latency { expected: 110.0, minimum: 100.0, objective: 300.0 }, probability: 0.0 })]
#[case(Expectation { name: "far above the objective", latency: Latency { expected: 900.0, minimum: 100.0, objective: 300.0 }, probability: 1.0 })]
#[case(Expectation { name: "late even at an idle group", latency: Latency { expected: 900.0, minimum: 400.0, objective: 300.0 }, probability: 0.0 })]
fn rejection_probability_grows_with_the_expected_latency(#[case] case: Expectation) {
    let probability = rejection_probability(&case.latency);
    assert!(
        (probability - case.probability).abs() < 0.01,
        "{}",
        case.name
    );
}

#[test]
fn retries_are_due_between_a_sixth_and_a_third_of_the_remaining_time() {
    for random in [0.0, 0.5, 0.999] {
        let after = retry_after(Millis(6_000), random);
        assert!(after >= Millis(1_000) && after <= Millis(2_000), "{after}");
    }
}
