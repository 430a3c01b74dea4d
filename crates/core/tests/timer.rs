//! The timer queue: order, periods, missed periods and cancellation.

use jackdaw_core::time::Instant;
use jackdaw_core::timer::Queue;
use jackdaw_core::units::Millis;
use rstest::rstest;

/// Subscriptions by subscriber, and the subscribers that are due at each advance of the queue.
struct Case {
    once: &'static [(char, u64)],
    every: &'static [(char, u64)],
    advances: &'static [(u64, &'static str)],
}

#[rstest]
#[case::due_in_order_of_time(Case {
    once: &[('b', 20), ('a', 10)],
    every: &[],
    advances: &[(9, ""), (25, "ab"), (30, "")],
})]
#[case::period_repeats(Case {
    once: &[],
    every: &[('p', 10)],
    advances: &[(10, "p"), (19, ""), (20, "p")],
})]
#[case::missed_periods_are_reported_once(Case {
    once: &[],
    every: &[('p', 10)],
    advances: &[(95, "p"), (104, ""), (105, "p")],
})]
fn advance_returns_due_subscribers_in_order(#[case] case: Case) {
    let mut queue = Queue::default();
    for (subscriber, at) in case.once {
        queue.schedule_once(*subscriber, Instant(*at));
    }
    for (subscriber, period) in case.every {
        queue.schedule_every(*subscriber, Instant(0), Millis(*period));
    }
    for (now, expected) in case.advances {
        let subscribers: String = queue
            .advance(Instant(*now))
            .iter()
            .map(|due| due.subscriber)
            .collect();
        assert_eq!(subscribers, *expected, "at {now} ms");
    }
}

#[test]
fn cancelled_subscription_is_never_due() {
    let mut queue = Queue::default();
    let key = queue.schedule_every('p', Instant(0), Millis(10));
    queue.cancel(key);
    assert!(queue.advance(Instant(1_000)).is_empty());
    assert_eq!(queue.next_at(), None);
}
