//! Tables and a seeded model of teams that share a queue.

use std::collections::BTreeMap;

use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::fair::{Admission, Arrival, Queue, RateLimiter, Ticket, Wakeup, share};
use rstest::rstest;

fn entrant(team: &str, weight: u32, deadline: u64) -> Arrival {
    Arrival {
        team: team.into(),
        weight,
        cost: 1,
        deadline: Instant(deadline),
    }
}

#[rstest]
#[case::one_node(256, 12, 1, 3_072)]
#[case::today(256, 12, 8, 484)]
#[case::target(256, 150, 370, 134)]
#[case::few_servers(1, 1, 100, 1)]
#[case::unknown_nodes(10, 1, 0, 10)]
fn a_node_keeps_to_its_share_of_the_slots(
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
#[case::target(1_000, 370, 20)]
fn a_team_gets_its_node_s_share_of_its_rate(
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
fn a_refused_request_fits_after_the_pause_that_is_named() {
    let rate = RateLimiter::default();
    let mut now = Instant(0);
    for _ in 0..100 {
        match rate.take(10, 4, now) {
            Ok(()) => {}
            Err(pause) => {
                assert!(pause > Millis(0));
                now = now + pause;
                assert_eq!(rate.take(10, 4, now), Ok(()));
            }
        }
    }
}

/// Fills a queue that runs one request at a time and whose answers take a second.
fn busy() -> Queue {
    let mut queue = Queue::new(1);
    assert_eq!(
        queue.admit(entrant("first", 1, 60_000), Instant(0)),
        Admission::Run
    );
    queue.finish(1, Some(Millis(1_000)), Instant(0));
    assert_eq!(
        queue.admit(entrant("first", 1, 60_000), Instant(0)),
        Admission::Run
    );
    queue
}

fn wait(queue: &mut Queue, team: &str, weight: u32) -> Ticket {
    match queue.admit(entrant(team, weight, 600_000), Instant(0)) {
        Admission::Wait(ticket, None) => ticket,
        other => panic!("{team} should wait: {other:?}"),
    }
}

fn order(queue: &mut Queue, names: &BTreeMap<Ticket, &'static str>) -> String {
    let mut order = String::new();
    while queue.waiting() > 0 {
        for grant in queue.finish(1, Some(Millis(1_000)), Instant(0)) {
            match grant {
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
fn teams_take_turns_by_weight(#[case] teams: &[(&'static str, u32, usize)], #[case] turns: &str) {
    let mut queue = busy();
    let mut names = BTreeMap::new();
    for (team, weight, count) in teams {
        for _ in 0..*count {
            names.insert(wait(&mut queue, team, *weight), *team);
        }
    }
    assert_eq!(order(&mut queue, &names), turns.replace(' ', ""));
}

#[test]
fn a_request_that_cannot_be_answered_in_time_is_refused_at_once() {
    let mut queue = busy();
    for _ in 0..3 {
        wait(&mut queue, "a", 1);
    }
    // Three wait and one runs, so that the answer would take five seconds.
    let late = queue.admit(entrant("a", 1, 4_999), Instant(0));
    let Admission::Refuse(refusal) = late else {
        panic!("{late:?}");
    };
    assert_eq!(refusal.expected, Millis(5_000));
    assert_eq!(refusal.retry_after, Millis(1_000));
    let fits = queue.admit(entrant("a", 1, 5_000), Instant(0));
    assert!(matches!(fits, Admission::Wait(..)), "{fits:?}");
}

#[test]
fn a_short_request_is_not_judged_by_long_ones() {
    let mut queue = Queue::new(1);
    let long = Arrival {
        cost: 10,
        ..entrant("a", 1, 60_000)
    };
    assert_eq!(queue.admit(long.clone(), Instant(0)), Admission::Run);
    queue.finish(10, Some(Millis(10_000)), Instant(0));
    let in_haste = Arrival {
        deadline: Instant(9_000),
        ..long
    };
    assert!(matches!(
        queue.admit(in_haste, Instant(0)),
        Admission::Refuse(_)
    ));
    assert_eq!(
        queue.admit(entrant("a", 1, 1_500), Instant(0)),
        Admission::Run
    );
}

#[test]
fn a_request_that_became_hopeless_is_refused_before_its_deadline() {
    let mut queue = busy();
    let hopeless = match queue.admit(entrant("a", 1, 3_000), Instant(0)) {
        Admission::Wait(ticket, None) => ticket,
        other => panic!("{other:?}"),
    };
    let grants = queue.finish(1, Some(Millis(1_000)), Instant(2_500));
    assert!(matches!(grants[..], [Wakeup::Refuse(ticket, _)] if ticket == hopeless));
}

#[test]
fn a_full_queue_makes_room_for_a_small_team() {
    let mut queue = busy();
    let mut last = None;
    while let Admission::Wait(ticket, None) =
        queue.admit(entrant("large", 1, 60_000_000), Instant(0))
    {
        last = Some(ticket);
    }
    let entry = queue.admit(entrant("small", 1, 60_000_000), Instant(0));
    let Admission::Wait(small, Some(Wakeup::Refuse(evicted, _))) = entry else {
        panic!("{entry:?}");
    };
    assert_eq!(Some(evicted), last);
    let first = queue.finish(1, Some(Millis(1_000)), Instant(0));
    let second = queue.finish(1, Some(Millis(1_000)), Instant(0));
    assert!([first, second].concat().contains(&Wakeup::Run(small)));
}

#[test]
fn a_request_that_left_the_queue_is_not_run() {
    let mut queue = busy();
    let first = wait(&mut queue, "a", 1);
    let second = wait(&mut queue, "a", 1);
    queue.cancel(first);
    assert_eq!(queue.finish(1, None, Instant(0)), [Wakeup::Run(second)]);
    assert_eq!(queue.running(), 1);
}

#[test]
fn a_higher_limit_starts_those_that_wait() {
    let mut queue = busy();
    let first = wait(&mut queue, "a", 1);
    let second = wait(&mut queue, "a", 1);
    let third = wait(&mut queue, "a", 1);
    let started = queue.set_limit(3, Instant(0));
    assert_eq!(started, [Wakeup::Run(first), Wakeup::Run(second)]);
    assert!(queue.set_limit(1, Instant(0)).is_empty());
    assert!(queue.finish(1, None, Instant(0)).is_empty());
    assert!(queue.finish(1, None, Instant(0)).is_empty());
    assert_eq!(queue.finish(1, None, Instant(0)), [Wakeup::Run(third)]);
}

/// What a team got under overload.
#[derive(Debug, Default)]
struct Result {
    asked: u64,
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

/// Plays teams that ask for twice the capacity together, one of them for most of it.
#[test]
fn at_twice_the_capacity_nothing_collapses_and_the_small_team_is_unhurt() {
    const LIMIT: u32 = 20;
    const SERVICE: u64 = 1_000;
    const DEADLINE: u64 = 8_000;
    const MILLIS: u64 = 120_000;
    // Forty requests a second where twenty can be served; four of them from the small team.
    const GAP: u64 = 25;
    let mut random = fastrand::Rng::with_seed(5);
    let mut queue = Queue::new(LIMIT);
    let mut running: Vec<Running> = Vec::new();
    let mut waiting: BTreeMap<Ticket, (bool, u64)> = BTreeMap::new();
    let mut results = [Result::default(), Result::default()];
    let mut next = 0;
    for now in 0..MILLIS {
        let mut grants = Vec::new();
        let (ended, rest): (Vec<_>, Vec<_>) = running.iter().partition(|it| it.end <= now);
        running = rest;
        for ended in ended {
            assert!(ended.end <= ended.deadline, "an answer came too late");
            results[usize::from(ended.small)].answered += 1;
            let took = Millis(ended.end - ended.start);
            grants.extend(queue.finish(1, Some(took), Instant(now)));
        }
        let mut started = Vec::new();
        for grant in grants {
            match grant {
                Wakeup::Run(ticket) => started.extend(waiting.remove(&ticket)),
                Wakeup::Refuse(ticket, _) => drop(waiting.remove(&ticket)),
            }
        }
        while next <= now {
            next += random.u64(1..2 * GAP);
            let small = random.u32(..10) == 0;
            results[usize::from(small)].asked += 1;
            let team = if small { "small" } else { "large" };
            match queue.admit(entrant(team, 1, now + DEADLINE), Instant(now)) {
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
                end: now + random.u64(SERVICE / 2..SERVICE * 3 / 2),
                deadline: arrived + DEADLINE,
            });
        }
    }
    let [large, small] = results;
    let possible = u64::from(LIMIT) * MILLIS / SERVICE;
    println!(
        "answered {} and {} of {possible}",
        large.answered, small.answered
    );
    assert!(large.answered + small.answered >= possible * 95 / 100);
    assert!(small.answered >= small.asked * 98 / 100, "{small:?}");
    let mut waits = small.waits;
    waits.sort_unstable();
    let p95 = waits[waits.len() * 95 / 100];
    println!("the small team waits {p95} ms at the 95th percentile");
    assert!(p95 <= SERVICE / 4, "{p95}");
}
