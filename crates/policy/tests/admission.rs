//! Demand above capacity, of which many nodes each see a part.
//!
//! Load pattern: for half a minute, requests come faster than the replica groups can serve them.

#[path = "support/nodes.rs"]
mod nodes;

use std::collections::VecDeque;

use jackdaw_core::config::Engine;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::admission::{Latency, rejection_probability, retry_after};
use jackdaw_policy::balance::{self, Demand, Load};
use nodes::{ROUND, boards, engine, speak};
use rstest::rstest;

/// Milliseconds of the first event that the users ask for.
const OBJECTIVE: u64 = 300;
/// Milliseconds after which a caller gives up.
const DEADLINE: u64 = 6_000;
/// Milliseconds of the simulated load.
const SPAN: u64 = 30_000;
/// Worth of a late answer against one in time, as the users value it.
const LATE_WORTH: f64 = 0.25;

/// Returns engines of a model that serves shorter prompts faster.
fn quick_engine() -> Engine {
    let mut engine = engine();
    engine.mean_prompt_tokens = ASK.prompt;
    engine.mean_output_tokens = ASK.output;
    engine.models[0].time_factor = 0.6;
    engine
}

const ASK: Demand = Demand {
    prompt: 714,
    output: 115,
};

/// Requests on their way through one group.
#[derive(Default)]
struct Group {
    /// Time of arrival, node and whether the request came again.
    waiting: VecDeque<(u64, usize, bool)>,
    /// Passes that remain, with the node.
    running: Vec<(u32, usize)>,
    /// End of the pass in progress.
    pass_ends: u64,
}

struct Course {
    nodes: usize,
    groups: usize,
    /// Mean milliseconds between two requests for a group.
    gap: u64,
    /// Whether the excess is rejected; if not, everything is let in, the plain way.
    rejects: bool,
}

#[derive(Default)]
struct Seen {
    arrivals: u32,
    in_time: u32,
    late: u32,
    rejected: u32,
}

impl Group {
    /// Runs until a time; returns the times to the first event of the requests that began.
    fn advance(&mut self, engine: &Engine, now: u64, own: &mut [u32]) -> Vec<(u64, bool)> {
        let mut begun = Vec::new();
        while self.pass_ends <= now {
            let mut read = 0.0;
            while self.running.len() < engine.slots as usize {
                let Some((since, node, again)) = self.waiting.pop_front() else {
                    break;
                };
                if self.pass_ends.saturating_sub(since) > DEADLINE {
                    own[node] -= 1;
                    continue;
                }
                read += balance::prefill_ms(engine, f64::from(ASK.prompt));
                self.running
                    .push((ASK.output / engine.steps_per_pass, node));
                begun.push((since, again));
            }
            let step = engine.step_ms + engine.step_ms_per_request * self.running.len() as f64;
            let pass =
                (step * f64::from(engine.steps_per_pass) + read) * engine.models[0].time_factor;
            self.pass_ends = self.pass_ends.max(now.saturating_sub(1)) + pass as u64 + 1;
            for (passes, node) in &mut self.running {
                *passes -= 1;
                if *passes == 0 {
                    own[*node] -= 1;
                }
            }
            self.running.retain(|(passes, _)| *passes > 0);
        }
        let end = self.pass_ends;
        begun
            .into_iter()
            .map(|(since, again)| (end.saturating_sub(since), again))
            .collect()
    }
}

fn play(course: &Course, seed: u64) -> Seen {
    let engine = quick_engine();
    let mut random = fastrand::Rng::with_seed(seed);
    let mut groups: Vec<Group> = (0..course.groups).map(|_| Group::default()).collect();
    let mut own = vec![vec![0_u32; course.nodes]; course.groups];
    let mut boards = boards(course.nodes);
    let mut returning: Vec<u64> = Vec::new();
    let mut seen = Seen::default();
    for now in 0..SPAN {
        for (group, own) in groups.iter_mut().zip(&mut own) {
            for (took, again) in group.advance(&engine, now, own) {
                // One that was rejected before is late in any case.
                if !again && took <= OBJECTIVE {
                    seen.in_time += 1;
                } else {
                    seen.late += 1;
                }
            }
        }
        if now % ROUND == 0 {
            speak(
                |node, group| own[group][node],
                course.groups,
                &mut boards,
                now,
            );
        }
        let fresh = (0..course.groups).filter(|_| random.u64(0..course.gap) == 0);
        let mut arrivals = vec![false; fresh.count()];
        seen.arrivals += u32::try_from(arrivals.len()).expect("few arrive in a millisecond");
        let back = returning.iter().filter(|at| **at == now).count();
        arrivals.extend(std::iter::repeat_n(true, back));
        for again in arrivals {
            let node = random.usize(0..course.nodes);
            let loads: Vec<Load> = own
                .iter()
                .enumerate()
                .map(|(group, own)| Load {
                    own: own[node],
                    others: boards[node].peer_load(group as u64, Instant(now)).requests,
                    slowness: 1.0,
                    ..Load::default()
                })
                .collect();
            let model = &engine.models[0];
            let first = |load: &Load| balance::estimate(&engine, model, load, ASK).first_event;
            let mean = loads.iter().map(first).sum::<f64>() / loads.len() as f64;
            let chance = rejection_probability(&Latency {
                expected: mean,
                minimum: first(&Load::default()),
                objective: OBJECTIVE as f64,
            });
            if course.rejects && random.f64() < chance {
                seen.rejected += 1;
                if !again {
                    returning.push(now + retry_after(Millis(DEADLINE), random.f64()).0);
                }
                continue;
            }
            let costs: Vec<f64> = loads
                .iter()
                .map(|load| balance::cost(&engine, model, load, ASK))
                .collect();
            let place = balance::choose(&costs, &mut || random.f64()).expect("there are groups");
            own[place][node] += 1;
            groups[place].waiting.push_back((now, node, again));
        }
    }
    seen
}

#[derive(Debug)]
struct Overload {
    what: &'static str,
    nodes: usize,
    groups: usize,
    gap: u64,
}

#[rstest]
#[case(Overload { what: "a third above capacity", nodes: 24, groups: 6, gap: 32 })]
#[case(Overload { what: "a third above capacity, many nodes", nodes: 58, groups: 12, gap: 32 })]
#[case(Overload { what: "twice the capacity", nodes: 8, groups: 8, gap: 21 })]
fn more_requests_are_served_in_time_if_the_excess_is_rejected(#[case] case: Overload) {
    let course = |rejects| Course {
        nodes: case.nodes,
        groups: case.groups,
        gap: case.gap,
        rejects,
    };
    let (plain, rejecting) = (play(&course(false), 1), play(&course(true), 1));
    let part = |seen: &Seen| f64::from(seen.in_time) / f64::from(seen.in_time + seen.late);
    let worth = |seen: &Seen| {
        (f64::from(seen.in_time) + LATE_WORTH * f64::from(seen.late)) / f64::from(seen.arrivals)
    };
    println!(
        "{}: plain {:.3} in time, worth {:.3}; rejecting {:.3}, {:.3}, {} of {} rejected",
        case.what,
        part(&plain),
        worth(&plain),
        part(&rejecting),
        worth(&rejecting),
        rejecting.rejected,
        rejecting.arrivals
    );
    assert!(rejecting.in_time > plain.in_time, "{}", case.what);
    assert!(worth(&rejecting) > worth(&plain), "{}", case.what);
}

#[test]
fn nothing_is_rejected_below_capacity() {
    let course = Course {
        nodes: 24,
        groups: 6,
        gap: 60,
        rejects: true,
    };
    let seen = play(&course, 1);
    // The users allow that one in a hundred is lost while all is well.
    assert!(
        seen.rejected * 100 <= seen.arrivals,
        "{} of {} were rejected",
        seen.rejected,
        seen.arrivals
    );
}

#[derive(Debug)]
struct Chance {
    what: &'static str,
    prospect: Latency,
    chance: f64,
}

#[rstest]
#[case(Chance { what: "well in time", prospect: Latency { expected: 110.0, minimum: 100.0, objective: 300.0 }, chance: 0.0 })]
#[case(Chance { what: "late for sure", prospect: Latency { expected: 900.0, minimum: 100.0, objective: 300.0 }, chance: 1.0 })]
#[case(Chance { what: "late at an idle group too", prospect: Latency { expected: 900.0, minimum: 400.0, objective: 300.0 }, chance: 0.0 })]
fn the_chance_of_a_rejection_grows_with_the_wait(#[case] case: Chance) {
    let chance = rejection_probability(&case.prospect);
    assert!((chance - case.chance).abs() < 0.01, "{}", case.what);
}

#[test]
fn callers_come_back_within_the_time_that_they_wait() {
    for random in [0.0, 0.5, 0.999] {
        let after = retry_after(Millis(6_000), random);
        assert!(after >= Millis(1_000) && after <= Millis(2_000), "{after}");
    }
}
