//! Table tests and a seeded simulation of teams that share a queue.

use std::collections::BTreeMap;

use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::fair::{Admission, Arrival, Queue, RateLimiter, Ticket, Wakeup, share};
use rstest::rstest;

fn arrival(team: &str, weight: u32, deadline: u64) -> Arrival {
    Arrival {
        team: team.into(),
        weight,
        cost: 1,
        deadline: Instant(deadline),
    }
}

#[rstest]
#[case::one_node(256, 12, 1, 3_072)]
#[case::few_nodes(256, 12, 8, 484)]
#[case::many_nodes(256, 150, 370, 134)]
#[case::few_servers(1, 1, 100, 1)]
#[case::no_known_nodes(10, 1, 0, 10)]
fn share_is_the_even_part_plus_the_overcommit(
    #[case] slots: u32,
    #[case] servers: usize,
    #[case] nodes: u32,
    #[case] expected: u32,
) {
    assert_eq!(share(slots, servers, nodes), expected);
}

#[rstest]
#[case::one_node(100, 1, 10)]
#[case::eight_nodes(100, 8, 10)]
#[case::slow(1, 1, 100)]
#[case::many_nodes(1_000, 370, 20)]
fn accepted_requests_match_the_share_of_the_rate_plus_a_burst(
    #[case] per_second: u32,
    #[case] nodes: u32,
    #[case] seconds: u64,
) {
    let rate = RateLimiter::default();
    let taken = (0..seconds * 1_000)
        .filter(|now| rate.take(per_second, nodes, Instant(*now)).is_ok())
        .count() as u64;
    let even = u64::from(per_second) * seconds / u64::from(nodes);
    let burst = (2 * u64::from(per_second) / u64::from(nodes)).max(4);
    assert!(taken >= even, "{taken} of {even}");
    assert!(taken <= even + burst + 1, "{taken} of {even}");
}

#[test]
fn refused_request_is_accepted_after_the_returned_wait() {
    let rate = RateLimiter::default();
    let mut now = Instant(0);
    for _ in 0..100 {
        match rate.take(10, 4, now) {
            Ok(()) => {}
            Err(wait) => {
                assert!(wait > Millis(0));
                now = now + wait;
                assert_eq!(rate.take(10, 4, now), Ok(()));
            }
        }
    }
}

/// A rate in requests per second and the number of nodes that share it.
#[derive(Clone, Copy, Debug)]
struct Rate {
    per_second: u32,
    nodes: u32,
}

impl Rate {
    /// Returns the time between two requests that arrive evenly.
    fn interval(self) -> Millis {
        Millis((1_000 * u64::from(self.nodes)).div_ceil(u64::from(self.per_second)))
    }
}

// Guards against a team that is refused by its former rate long after its rate was raised.
#[rstest]
#[case::raised(Rate { per_second: 1, nodes: 1 }, Rate { per_second: 1_000, nodes: 1 })]
#[case::raised_among_many_nodes(Rate { per_second: 1, nodes: 370 }, Rate { per_second: 1_000, nodes: 370 })]
#[case::fewer_nodes(Rate { per_second: 1, nodes: 370 }, Rate { per_second: 1, nodes: 2 })]
#[case::lowered(Rate { per_second: 1_000, nodes: 1 }, Rate { per_second: 1, nodes: 1 })]
#[case::kept(Rate { per_second: 10, nodes: 4 }, Rate { per_second: 10, nodes: 4 })]
fn changed_rate_holds_from_the_next_request_on(#[case] before: Rate, #[case] after: Rate) {
    let limiter = RateLimiter::default();
    let mut now = Instant(0);
    while limiter.take(before.per_second, before.nodes, now).is_ok() {}
    for number in 0..10 {
        let wait = match limiter.take(after.per_second, after.nodes, now) {
            Ok(()) => continue,
            Err(wait) => wait,
        };
        assert!(wait <= after.interval(), "request {number}: {wait:?}");
        now = now + wait;
        assert_eq!(limiter.take(after.per_second, after.nodes, now), Ok(()));
    }
}

/// Returns a queue with one slot, one running request and a known service time of one second.
fn busy_queue() -> Queue {
    let mut queue = Queue::new(1);
    assert_eq!(
        queue.admit(arrival("first", 1, 60_000), Instant(0)),
        Admission::Run
    );
    queue.finish(1, Some(Millis(1_000)), Instant(0));
    assert_eq!(
        queue.admit(arrival("first", 1, 60_000), Instant(0)),
        Admission::Run
    );
    queue
}

fn enqueue(queue: &mut Queue, team: &str, weight: u32) -> Ticket {
    match queue.admit(arrival(team, weight, 600_000), Instant(0)) {
        Admission::Wait(ticket, None) => ticket,
        other => panic!("request of {team} does not wait: {other:?}"),
    }
}

fn drain_in_order(queue: &mut Queue, names: &BTreeMap<Ticket, &'static str>) -> String {
    let mut order = String::new();
    while queue.waiting() > 0 {
        for wakeup in queue.finish(1, Some(Millis(1_000)), Instant(0)) {
            match wakeup {
                Wakeup::Run(ticket) => order.push_str(names[&ticket]),
                Wakeup::Refuse(..) => order.push('-'),
            }
        }
    }
    order
}

#[rstest]
#[case::one_team(&[("a", 1, 3)], "aaa")]
#[case::even(&[("a", 1, 4), ("b", 1, 2)], "ababaa")]
#[case::weights(&[("a", 1, 3), ("b", 2, 4)], "babbab a")]
fn waiting_requests_run_in_order_of_team_weight(
    #[case] teams: &[(&'static str, u32, usize)],
    #[case] expected: &str,
) {
    let mut queue = busy_queue();
    let mut names = BTreeMap::new();
    for (team, weight, count) in teams {
        for _ in 0..*count {
            names.insert(enqueue(&mut queue, team, *weight), *team);
        }
    }
    assert_eq!(
        drain_in_order(&mut queue, &names),
        expected.replace(' ', "")
    );
}

#[test]
fn request_that_cannot_be_answered_in_time_is_refused_at_once() {
    let mut queue = busy_queue();
    for _ in 0..3 {
        enqueue(&mut queue, "a", 1);
    }
    // Three requests wait and one runs, so that an answer would take five seconds.
    let refused = queue.admit(arrival("a", 1, 4_999), Instant(0));
    let Admission::Refuse(refusal) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(refusal.expected, Millis(5_000));
    assert_eq!(refusal.retry_after, Millis(1_000));
    let admitted = queue.admit(arrival("a", 1, 5_000), Instant(0));
    assert!(matches!(admitted, Admission::Wait(..)), "{admitted:?}");
}

#[test]
fn expected_time_of_a_request_scales_with_its_cost() {
    let mut queue = Queue::new(1);
    let long = Arrival {
        cost: 10,
        ..arrival("a", 1, 60_000)
    };
    assert_eq!(queue.admit(long.clone(), Instant(0)), Admission::Run);
    queue.finish(10, Some(Millis(10_000)), Instant(0));
    let urgent = Arrival {
        deadline: Instant(9_000),
        ..long
    };
    assert!(matches!(
        queue.admit(urgent, Instant(0)),
        Admission::Refuse(_)
    ));
    assert_eq!(
        queue.admit(arrival("a", 1, 1_500), Instant(0)),
        Admission::Run
    );
}

#[test]
fn waiting_request_that_can_no_longer_be_answered_is_refused_before_its_deadline() {
    let mut queue = busy_queue();
    let late = match queue.admit(arrival("a", 1, 3_000), Instant(0)) {
        Admission::Wait(ticket, None) => ticket,
        other => panic!("{other:?}"),
    };
    let wakeups = queue.finish(1, Some(Millis(1_000)), Instant(2_500));
    assert!(matches!(wakeups[..], [Wakeup::Refuse(ticket, _)] if ticket == late));
}

#[test]
fn full_queue_evicts_the_last_request_of_the_largest_team() {
    let mut queue = busy_queue();
    let mut last = None;
    while let Admission::Wait(ticket, None) =
        queue.admit(arrival("large", 1, 60_000_000), Instant(0))
    {
        last = Some(ticket);
    }
    let admission = queue.admit(arrival("small", 1, 60_000_000), Instant(0));
    let Admission::Wait(small, Some(Wakeup::Refuse(evicted, _))) = admission else {
        panic!("{admission:?}");
    };
    assert_eq!(Some(evicted), last);
    let first = queue.finish(1, Some(Millis(1_000)), Instant(0));
    let second = queue.finish(1, Some(Millis(1_000)), Instant(0));
    assert!([first, second].concat().contains(&Wakeup::Run(small)));
}

#[test]
fn cancelled_request_does_not_run() {
    let mut queue = busy_queue();
    let first = enqueue(&mut queue, "a", 1);
    let second = enqueue(&mut queue, "a", 1);
    queue.cancel(first);
    assert_eq!(queue.finish(1, None, Instant(0)), [Wakeup::Run(second)]);
    assert_eq!(queue.running(), 1);
}

#[test]
fn raised_limit_starts_waiting_requests() {
    let mut queue = busy_queue();
    let first = enqueue(&mut queue, "a", 1);
    let second = enqueue(&mut queue, "a", 1);
    let third = enqueue(&mut queue, "a", 1);
    let started = queue.set_limit(3, Instant(0));
    assert_eq!(started, [Wakeup::Run(first), Wakeup::Run(second)]);
    assert!(queue.set_limit(1, Instant(0)).is_empty());
    assert!(queue.finish(1, None, Instant(0)).is_empty());
    assert!(queue.finish(1, None, Instant(0)).is_empty());
    assert_eq!(queue.finish(1, None, Instant(0)), [Wakeup::Run(third)]);
}

/// Results of one team under overload.
#[derive(Debug, Default)]
struct TeamResult {
    requested: u64,
    answered: u64,
    waits: Vec<u64>,
}

#[derive(Clone, Copy)]
struct Running {
    small: bool,
    start: u64,
    end: u64,
    deadline: u64,
}

/// Simulates two teams that together request twice the capacity, the large team most of it.
#[test]
fn at_twice_the_capacity_throughput_holds_and_the_small_team_is_served() {
    const LIMIT: u32 = 20;
    const SERVICE_MS: u64 = 1_000;
    const DEADLINE_MS: u64 = 8_000;
    const DURATION_MS: u64 = 120_000;
    // 40 requests per second arrive where 20 can be served; four come from the small team.
    const MEAN_GAP_MS: u64 = 25;
    let mut random = fastrand::Rng::with_seed(5);
    let mut queue = Queue::new(LIMIT);
    let mut running: Vec<Running> = Vec::new();
    let mut waiting: BTreeMap<Ticket, (bool, u64)> = BTreeMap::new();
    let mut results = [TeamResult::default(), TeamResult::default()];
    let mut next_arrival = 0;
    for now in 0..DURATION_MS {
        let mut wakeups = Vec::new();
        let (ended, rest): (Vec<_>, Vec<_>) =
            running.iter().partition(|request| request.end <= now);
        running = rest;
        for ended in ended {
            assert!(
                ended.end <= ended.deadline,
                "an answer arrived after its deadline"
            );
            results[usize::from(ended.small)].answered += 1;
            let took = Millis(ended.end - ended.start);
            wakeups.extend(queue.finish(1, Some(took), Instant(now)));
        }
        let mut started = Vec::new();
        for wakeup in wakeups {
            match wakeup {
                Wakeup::Run(ticket) => started.extend(waiting.remove(&ticket)),
                Wakeup::Refuse(ticket, _) => drop(waiting.remove(&ticket)),
            }
        }
        while next_arrival <= now {
            next_arrival += random.u64(1..2 * MEAN_GAP_MS);
            let small = random.u32(..10) == 0;
            results[usize::from(small)].requested += 1;
            let team = if small { "small" } else { "large" };
            match queue.admit(arrival(team, 1, now + DEADLINE_MS), Instant(now)) {
                Admission::Run => started.push((small, now)),
                Admission::Wait(ticket, _) => drop(waiting.insert(ticket, (small, now))),
                Admission::Refuse(_) => {}
            }
        }
        for (small, arrived) in started {
            results[usize::from(small)].waits.push(now - arrived);
            running.push(Running {
                small,
                start: now,
                end: now + random.u64(SERVICE_MS / 2..SERVICE_MS * 3 / 2),
                deadline: arrived + DEADLINE_MS,
            });
        }
    }
    let [large, small] = results;
    let capacity = u64::from(LIMIT) * DURATION_MS / SERVICE_MS;
    println!(
        "answered {} (large) and {} (small) of {capacity}",
        large.answered, small.answered
    );
    assert!(large.answered + small.answered >= capacity * 95 / 100);
    assert!(small.answered >= small.requested * 98 / 100, "{small:?}");
    let mut waits = small.waits;
    waits.sort_unstable();
    let p95 = waits[waits.len() * 95 / 100];
    println!("wait of the small team at the 95th percentile: {p95} ms");
    assert!(p95 <= SERVICE_MS / 4, "{p95}");
}
