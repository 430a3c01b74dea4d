//! Tests of the memory that messages take.

use jackdaw_core::time::Instant;
use jackdaw_core::units::{Bytes, Millis};
use jackdaw_policy::memory::{Bounds, Class, Growth, Key, Ledger, SMALL, TURN};
use rstest::rstest;

const MB: u64 = 1 << 20;
/// Step by which messages grow in these tests.
const STEP: Bytes = Bytes(256 << 10);

fn at(millis: u64) -> Instant {
    Instant::default() + Millis(millis)
}

/// Grows a message as far as it may and returns what it holds then.
fn fill(ledger: &mut Ledger, key: Key, limit: u64, now: Instant) -> u64 {
    let mut held = 0;
    while held < limit && ledger.grow(key, STEP, now) == Growth::Granted {
        held += STEP.0;
    }
    held
}

// Guards against bounds that leave a process too little for itself, or a sound answer none.
#[rstest]
#[case(32)]
#[case(64)]
#[case(160)]
#[case(260)]
#[case(1_024)]
fn bounds_leave_room_for_the_process(#[case] process_mb: u64) {
    let bounds = Bounds::new(Bytes(process_mb * MB));
    let all = bounds.total.0 + bounds.small.0 + bounds.answer.0;
    assert!(all <= process_mb * MB * 9 / 10, "{bounds:?}");
    assert!(bounds.class <= Bytes(all), "{bounds:?}");
    assert!(bounds.answer.0 >= 2 * MB, "{bounds:?}");
}

// Guards against a sum of messages beyond the bounds, whatever their number and order.
#[rstest]
#[case::answers(&[Class::Answer])]
#[case::requests(&[Class::Request])]
#[case::both(&[Class::Request, Class::Answer])]
fn sum_of_messages_is_bounded(#[case] classes: &[Class]) {
    let bounds = Bounds::new(Bytes(160 * MB));
    let all = bounds.total.0 + bounds.small.0 + bounds.answer.0;
    let mut random = fastrand::Rng::with_seed(1);
    let mut ledger = Ledger::new(bounds);
    let mut held: Vec<(Key, Class, u64)> = Vec::new();
    for time in 0..20_000 {
        if held.len() < 200 {
            let class = classes[random.usize(..classes.len())];
            held.push((ledger.open(class), class, 0));
        }
        let idx = random.usize(..held.len());
        let (key, class, size) = held[idx];
        let bytes = random.u64(..2 * STEP.0);
        match ledger.grow(key, Bytes(bytes), at(time)) {
            Growth::Granted => held[idx].2 += bytes,
            Growth::Evicted => {
                ledger.close(key);
                held.swap_remove(idx);
            }
            Growth::Wait => {}
        }
        let is_over = class == Class::Answer && size > bounds.answer.0;
        if is_over || random.u32(..100) == 0 {
            ledger.close(key);
            held.retain(|(own, _, _)| *own != key);
        }
        assert!(ledger.held().0 <= all + 2 * STEP.0, "{:?}", ledger.held());
    }
    held.iter().for_each(|(key, _, _)| ledger.close(*key));
    assert_eq!(ledger.held(), Bytes(0));
}

// Guards against answers that wait for each other for ever.
#[test]
fn answer_that_has_waited_longest_goes_on() {
    let bounds = Bounds::new(Bytes(160 * MB));
    let mut ledger = Ledger::new(bounds);
    let keys: Vec<Key> = (0..100).map(|_| ledger.open(Class::Answer)).collect();
    let mut waiting = Vec::new();
    'full: loop {
        for key in &keys {
            if ledger.grow(*key, STEP, at(0)) == Growth::Wait {
                waiting.push(*key);
            }
        }
        if waiting.len() >= keys.len() - 1 {
            break 'full;
        }
        waiting.clear();
    }
    let first = keys.iter().find(|key| !waiting.contains(key));
    let first = *first.expect("one goes on");
    assert_eq!(
        fill(&mut ledger, first, bounds.answer.0, at(1)),
        bounds.answer.0
    );
    assert_eq!(ledger.grow(waiting[0], STEP, at(2)), Growth::Wait);
    ledger.close(first);
    assert_eq!(ledger.grow(waiting[0], STEP, at(3)), Growth::Granted);
}

// Guards against an answer that goes on slowly while all others wait.
#[test]
fn slow_answer_is_given_up_while_others_wait() {
    let bounds = Bounds::new(Bytes(160 * MB));
    let mut ledger = Ledger::new(bounds);
    let stuck = ledger.open(Class::Answer);
    while ledger.held().0 + STEP.0 <= bounds.class.0 {
        assert_eq!(ledger.grow(stuck, STEP, at(0)), Growth::Granted);
    }
    let slow = ledger.open(Class::Answer);
    assert_eq!(ledger.grow(slow, STEP, at(0)), Growth::Granted);
    let other = ledger.open(Class::Answer);
    assert_eq!(ledger.grow(other, STEP, at(0)), Growth::Wait);
    assert_eq!(ledger.grow(slow, STEP, at(TURN.0 - 1)), Growth::Granted);
    assert_eq!(ledger.grow(other, STEP, at(TURN.0)), Growth::Granted);
    assert_eq!(ledger.grow(slow, STEP, at(TURN.0)), Growth::Evicted);
}

// Guards against small messages that fail because large ones have taken all memory.
#[rstest]
#[case(Class::Request)]
#[case(Class::Answer)]
fn small_messages_fit_beside_large_ones(#[case] class: Class) {
    let mut ledger = Ledger::new(Bounds::new(Bytes(160 * MB)));
    for large in [Class::Request, Class::Answer] {
        for _ in 0..200 {
            let key = ledger.open(large);
            fill(&mut ledger, key, 4 * MB, at(0));
        }
    }
    for _ in 0..50 {
        let key = ledger.open(class);
        assert_eq!(ledger.grow(key, SMALL, at(0)), Growth::Granted);
    }
}

// Guards against a request of the size allowed that is never taken, as it is larger than its part.
#[test]
fn large_request_is_taken_alone() {
    let bounds = Bounds::new(Bytes(32 * MB));
    let mut ledger = Ledger::new(bounds);
    let key = ledger.open(Class::Request);
    assert_eq!(
        ledger.grow(key, Bytes(2 * bounds.class.0), at(0)),
        Growth::Granted
    );
    let other = ledger.open(Class::Request);
    assert_eq!(ledger.grow(other, STEP, at(0)), Growth::Wait);
}

// Guards against a request that waits in place of being turned away because answers take turns.
#[test]
fn request_gets_no_turn() {
    let bounds = Bounds::new(Bytes(160 * MB));
    let mut ledger = Ledger::new(bounds);
    let key = ledger.open(Class::Request);
    let mut held = 0;
    while ledger.grow(key, STEP, at(0)) == Growth::Granted {
        held += STEP.0;
        assert!(held <= bounds.class.0);
    }
    assert_eq!(ledger.grow(key, STEP, at(10 * TURN.0)), Growth::Wait);
    ledger.shrink(key, STEP);
    assert_eq!(ledger.grow(key, STEP, at(10 * TURN.0)), Growth::Granted);
}
