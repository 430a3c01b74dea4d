//! The timer service that parts of a node subscribe to.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};

use crate::time::Instant;
use crate::units::Millis;

/// Names one subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u64);

/// A subscription that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Due<P> {
    /// The subscription.
    pub key: Key,
    /// The part that subscribed.
    pub subscriber: P,
}

/// Entry of the queue, ordered by time and then by subscription.
type Entry<P> = Reverse<(Instant, Key, P, Option<u64>)>;

/// Keeps the subscriptions of all parts in order of time.
#[derive(Debug)]
pub struct Queue<P> {
    queue: BinaryHeap<Entry<P>>,
    cancelled: HashSet<Key>,
    next: u64,
}

impl<P: Ord + Copy> Default for Queue<P> {
    fn default() -> Self {
        Queue {
            queue: BinaryHeap::new(),
            cancelled: HashSet::new(),
            next: 0,
        }
    }
}

impl<P: Ord + Copy> Queue<P> {
    /// Subscribes a part to one point in time.
    pub fn schedule_once(&mut self, subscriber: P, at: Instant) -> Key {
        self.push(subscriber, at, None)
    }

    /// Subscribes a part to a period, first due one period after `now`.
    pub fn schedule_every(&mut self, subscriber: P, now: Instant, period: Millis) -> Key {
        let period = Millis(period.0.max(1));
        self.push(subscriber, now + period, Some(period.0))
    }

    /// Ends a subscription.
    pub fn cancel(&mut self, key: Key) {
        self.cancelled.insert(key);
    }

    /// Gets the next point in time at which something is due.
    #[must_use]
    pub fn next_at(&self) -> Option<Instant> {
        self.queue.peek().map(|Reverse((at, ..))| *at)
    }

    /// Returns what is due by `now`, earliest first; a missed period is reported once.
    pub fn advance(&mut self, now: Instant) -> Vec<Due<P>> {
        let mut due = Vec::new();
        while self.next_at().is_some_and(|at| at <= now) {
            let Some(Reverse((_, key, subscriber, period))) = self.queue.pop() else {
                break;
            };
            if self.cancelled.remove(&key) {
                continue;
            }
            if let Some(period) = period {
                let at = now + Millis(period);
                self.queue
                    .push(Reverse((at, key, subscriber, Some(period))));
            }
            due.push(Due { key, subscriber });
        }
        due
    }

    fn push(&mut self, subscriber: P, at: Instant, period: Option<u64>) -> Key {
        let key = Key(self.next);
        self.next += 1;
        self.queue.push(Reverse((at, key, subscriber, period)));
        key
    }
}
