//! The timer service: order, periods, missed periods and cancellation.

use jackdaw_core::time::Instant;
use jackdaw_core::timer::Queue;
use jackdaw_core::units::Millis;
use rstest::rstest;

/// Subscriptions and what is due at the times at which the service is asked.
struct Case {
    once: &'static [(char, u64)],
    every: &'static [(char, u64)],
    asked: &'static [(u64, &'static str)],
}

#[rstest]
#[case::in_order_of_time(Case {
    once: &[('b', 20), ('a', 10)],
    every: &[],
    asked: &[(9, ""), (25, "ab"), (30, "")],
})]
#[case::periods_repeat(Case {
    once: &[],
    every: &[('p', 10)],
    asked: &[(10, "p"), (19, ""), (20, "p")],
})]
#[case::a_missed_period_is_reported_once(Case {
    once: &[],
    every: &[('p', 10)],
    asked: &[(95, "p"), (104, ""), (105, "p")],
})]
fn due(#[case] case: Case) {
    let mut service = Queue::default();
    for (part, at) in case.once {
        service.schedule_once(*part, Instant(*at));
    }
    for (part, period) in case.every {
        service.schedule_every(*part, Instant(0), Millis(*period));
    }
    for (now, expected) in case.asked {
        let parts: String = service
            .advance(Instant(*now))
            .iter()
            .map(|due| due.subscriber)
            .collect();
        assert_eq!(parts, *expected, "at {now}");
    }
}

#[test]
fn a_cancelled_subscription_is_never_due() {
    let mut service = Queue::default();
    let key = service.schedule_every('p', Instant(0), Millis(10));
    service.cancel(key);
    assert!(service.advance(Instant(1_000)).is_empty());
    assert_eq!(service.next_at(), None);
}
