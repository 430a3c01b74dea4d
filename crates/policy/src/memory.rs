//! Bytes of messages that a node holds, within what its process may hold.
//!
//! Requests are turned away when their part is used up, since they have not run. Answers wait instead:
//! what is not read stays with the server. So that those which wait do not wait for each other, one of
//! them at a time, the one that has waited longest, goes on beyond the common bound.

use std::collections::HashMap;

use jackdaw_core::time::Instant;
use jackdaw_core::units::{Bytes, Millis};

/// Memory of a process without any message, with the buffers of its connections.
const BASE: Bytes = Bytes(40 << 20);
/// Percentage of the rest that messages may take; allocators and sockets hold more than they are asked for.
const MESSAGES_PERCENT: u64 = 80;
/// Smallest bound of all messages.
const MIN_MESSAGES: Bytes = Bytes(8 << 20);
/// Percentage of it that requests or answers may take alone.
const CLASS_PERCENT: u64 = 70;
/// Divisor of it for the part that only small messages take.
const SMALL_DIVISOR: u64 = 16;
/// Largest message that counts as small.
pub const SMALL: Bytes = Bytes(64 << 10);
/// Largest answer, unless the bound of all messages is low.
const MAX_ANSWER: Bytes = Bytes(16 << 20);
/// Part of the bound of all messages that one answer may take.
const ANSWER_DIVISOR: u64 = 4;
/// Longest time for which one answer goes on beyond the bound while others wait.
pub const TURN: Millis = Millis(1_000);

/// What a message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// The body of a caller's request.
    Request,
    /// What a server has sent.
    Answer,
}

/// Identifies a message that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u64);

/// Whether a message may grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Growth {
    /// It may, and is counted.
    Granted,
    /// Not now.
    Wait,
    /// It has to be given up, since others wait for what it holds.
    Evicted,
}

/// Bounds of what messages take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// All messages but the one answer that goes on beyond it.
    pub total: Bytes,
    /// Part of the total that one class may take.
    pub class: Bytes,
    /// What small messages may take beyond these.
    pub small: Bytes,
    /// Largest answer.
    pub answer: Bytes,
}

impl Bounds {
    /// Returns the bounds of a process that may hold so much memory.
    #[must_use]
    pub fn new(process: Bytes) -> Self {
        let messages = process.0.saturating_sub(BASE.0) / 100 * MESSAGES_PERCENT;
        let messages = messages.max(MIN_MESSAGES.0);
        let answer = MAX_ANSWER.0.min(messages / ANSWER_DIVISOR);
        let small = messages / SMALL_DIVISOR;
        Bounds {
            total: Bytes(messages - answer - small),
            class: Bytes(messages / 100 * CLASS_PERCENT),
            small: Bytes(small),
            answer: Bytes(answer),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    class: Class,
    held: u64,
    waits_since: Option<Instant>,
    is_evicted: bool,
}

/// The messages that a node holds.
#[derive(Clone, Debug)]
pub struct Ledger {
    bounds: Bounds,
    holders: HashMap<Key, Holder>,
    last_key: u64,
    requests: u64,
    answers: u64,
    /// The answer that goes on beyond the bound, and since when.
    turn: Option<(Key, Instant)>,
}

impl Ledger {
    /// Creates a ledger of no message.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Ledger {
            bounds,
            holders: HashMap::new(),
            last_key: 0,
            requests: 0,
            answers: 0,
            turn: None,
        }
    }

    /// Gets the bounds.
    #[must_use]
    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// Returns the number of bytes held.
    #[must_use]
    pub fn held(&self) -> Bytes {
        Bytes(self.requests + self.answers)
    }

    /// Adds a message that holds nothing yet.
    pub fn open(&mut self, class: Class) -> Key {
        self.last_key += 1;
        let key = Key(self.last_key);
        let holder = Holder {
            class,
            held: 0,
            waits_since: None,
            is_evicted: false,
        };
        self.holders.insert(key, holder);
        key
    }

    /// Removes a message.
    pub fn close(&mut self, key: Key) {
        let Some(holder) = self.holders.remove(&key) else {
            return;
        };
        *self.used_mut(holder.class) -= holder.held;
        if self.turn.is_some_and(|(own, _)| own == key) {
            self.turn = None;
        }
    }

    /// Records that a message holds fewer bytes.
    pub fn shrink(&mut self, key: Key, bytes: Bytes) {
        let Some(holder) = self.holders.get_mut(&key) else {
            return;
        };
        let released = bytes.0.min(holder.held);
        holder.held -= released;
        let class = holder.class;
        *self.used_mut(class) -= released;
    }

    /// Lets a message hold more bytes, if there is room.
    pub fn grow(&mut self, key: Key, bytes: Bytes, now: Instant) -> Growth {
        let Some(holder) = self.holders.get(&key).copied() else {
            return Growth::Evicted;
        };
        if holder.is_evicted {
            return Growth::Evicted;
        }
        let has_turn = self.turn.is_some_and(|(own, _)| own == key);
        if has_turn || self.has_room(&holder, bytes) {
            self.grant(key, bytes);
            return Growth::Granted;
        }
        self.record_wait(key, now);
        let is_small = holder.held + bytes.0 <= SMALL.0;
        if holder.class == Class::Request || is_small || !self.give_turn(key, now) {
            return Growth::Wait;
        }
        self.grant(key, bytes);
        Growth::Granted
    }

    fn has_room(&self, holder: &Holder, bytes: Bytes) -> bool {
        let used = match holder.class {
            Class::Request => self.requests,
            Class::Answer => self.answers,
        };
        let total = self.held().0;
        let beyond = match holder.held + bytes.0 <= SMALL.0 {
            true => self.bounds.small.0,
            false => 0,
        };
        // A message that is larger than its class may be held alone.
        let is_alone = holder.class == Class::Request && used == 0 && total == 0;
        is_alone
            || (used + bytes.0 <= self.bounds.class.0 + beyond
                && total + bytes.0 <= self.bounds.total.0 + beyond)
    }

    fn grant(&mut self, key: Key, bytes: Bytes) {
        let Some(holder) = self.holders.get_mut(&key) else {
            return;
        };
        holder.held += bytes.0;
        holder.waits_since = None;
        let class = holder.class;
        *self.used_mut(class) += bytes.0;
    }

    fn record_wait(&mut self, key: Key, now: Instant) {
        if let Some(holder) = self.holders.get_mut(&key) {
            holder.waits_since.get_or_insert(now);
        }
    }

    /// Returns whether an answer that waits goes on beyond the bound; one that has done so for too long
    /// is given up.
    fn give_turn(&mut self, key: Key, now: Instant) -> bool {
        if let Some((own, since)) = self.turn {
            if now.since(since) < TURN {
                return false;
            }
            self.evict(own);
        }
        let waiting = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.class == Class::Answer && !holder.is_evicted);
        let waiting = waiting.filter_map(|(key, holder)| Some((holder.waits_since?, *key)));
        let first = waiting.min().map_or(key, |(_, first)| first);
        if first != key {
            return false;
        }
        self.turn = Some((key, now));
        true
    }

    fn evict(&mut self, key: Key) {
        self.turn = None;
        if let Some(holder) = self.holders.get_mut(&key) {
            holder.is_evicted = true;
        }
    }

    fn used_mut(&mut self, class: Class) -> &mut u64 {
        match class {
            Class::Request => &mut self.requests,
            Class::Answer => &mut self.answers,
        }
    }
}
