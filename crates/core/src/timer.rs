//! A timer queue for the components of a node.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};

use crate::time::Instant;
use crate::units::Millis;

/// Identifies one subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u64);

/// A subscription that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Due<S> {
    /// Key of the subscription.
    pub key: Key,
    /// The component that subscribed.
    pub subscriber: S,
}

/// Entry of the queue, ordered by time and then by key: time, key, subscriber and the period in
/// milliseconds of a periodic subscription.
type Entry<S> = Reverse<(Instant, Key, S, Option<u64>)>;

/// Holds the subscriptions of all components in order of time.
#[derive(Debug)]
pub struct Queue<S> {
    entries: BinaryHeap<Entry<S>>,
    cancelled: HashSet<Key>,
    next_key: u64,
}

impl<S: Ord + Copy> Default for Queue<S> {
    fn default() -> Self {
        Queue {
            entries: BinaryHeap::new(),
            cancelled: HashSet::new(),
            next_key: 0,
        }
    }
}

impl<S: Ord + Copy> Queue<S> {
    /// Subscribes a component to one point in time.
    pub fn schedule_once(&mut self, subscriber: S, at: Instant) -> Key {
        self.push(subscriber, at, None)
    }

    /// Subscribes a component to a period, first due one period after `now`; a period of zero
    /// counts as one millisecond.
    pub fn schedule_every(&mut self, subscriber: S, now: Instant, period: Millis) -> Key {
        let period = Millis(period.0.max(1));
        self.push(subscriber, now + period, Some(period.0))
    }

    /// Cancels a subscription that is still pending.
    pub fn cancel(&mut self, key: Key) {
        self.cancelled.insert(key);
    }

    /// Gets the time of the earliest entry, which may belong to a cancelled subscription.
    #[must_use]
    pub fn next_at(&self) -> Option<Instant> {
        self.entries.peek().map(|Reverse((at, ..))| *at)
    }

    /// Removes and returns the subscriptions that are due by `now`, earliest first.
    ///
    /// A periodic subscription is returned once, however many of its periods have passed, and is
    /// next due one period after `now`.
    pub fn advance(&mut self, now: Instant) -> Vec<Due<S>> {
        let mut due = Vec::new();
        while self.next_at().is_some_and(|at| at <= now) {
            let Some(Reverse((_, key, subscriber, period))) = self.entries.pop() else {
                break;
            };
            if self.cancelled.remove(&key) {
                continue;
            }
            if let Some(period) = period {
                let at = now + Millis(period);
                self.entries
                    .push(Reverse((at, key, subscriber, Some(period))));
            }
            due.push(Due { key, subscriber });
        }
        due
    }

    fn push(&mut self, subscriber: S, at: Instant, period: Option<u64>) -> Key {
        let key = Key(self.next_key);
        self.next_key += 1;
        self.entries.push(Reverse((at, key, subscriber, period)));
        key
    }
}
