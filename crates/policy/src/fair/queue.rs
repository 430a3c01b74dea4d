//! Weighted fair queue of the requests for one model or plain service.

use std::collections::{BTreeMap, HashMap};

use compact_str::CompactString;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

/// Largest number of waiting requests.
const MAX_WAITING: usize = 1_024;
/// Virtual time of one unit of cost at weight 1.
const COST_SCALE: u64 = 1 << 20;
const MICROS_PER_MILLI: u64 = 1_000;
/// Divisor that gives the share of a new sample in the moving averages.
const SAMPLE_DIVISOR: u64 = 16;
/// Number of mean deviations above the mean within which nearly all answers arrive.
const DEVIATION_FACTOR: u64 = 3;
/// Number of finished requests after which the deadlines of all waiting requests are checked.
const SWEEP_INTERVAL: u32 = 16;
/// Shortest wait that a refused caller is asked for.
const MIN_RETRY_AFTER: Millis = Millis::from_secs(1);
/// Longest wait that a refused caller is asked for.
const MAX_RETRY_AFTER: Millis = Millis::from_secs(30);

/// An arriving request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Team of the caller.
    pub team: CompactString,
    /// Weight of the team.
    pub weight: u32,
    /// Upper bound of the work of the request, relative to other requests.
    pub cost: u32,
    /// Time by which the request must be answered.
    pub deadline: Instant,
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// Refusal of a request that would not be answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Expected time until the answer if the request had been admitted.
    pub expected: Millis,
    /// Time to wait before another try.
    pub retry_after: Millis,
}

/// Admission decision on an arriving request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request runs now.
    Run,
    /// The request waits. If the queue was full, holds the refusal of the request that was evicted.
    Wait(Ticket, Option<Wakeup>),
    /// The request is refused.
    Refuse(Refusal),
}

/// Notification that ends the wait of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wakeup {
    /// The request runs now.
    Run(Ticket),
    /// The request is refused.
    Refuse(Ticket, Refusal),
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    team: CompactString,
    weight: u32,
    cost: u32,
    start_tag: u64,
    deadline: Instant,
}

/// Moving averages of the service time of one unit of cost, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceTime {
    mean: u64,
    deviation: u64,
    has_sample: bool,
}

impl ServiceTime {
    fn add_sample(&mut self, took: Millis, cost: u32) {
        let sample = took.0 * MICROS_PER_MILLI / u64::from(cost.max(1));
        if !self.has_sample {
            self.mean = sample;
            self.has_sample = true;
            return;
        }
        self.deviation = moving_average(self.deviation, sample.abs_diff(self.mean));
        self.mean = moving_average(self.mean, sample);
    }

    /// Returns the mean service time of a cost.
    fn mean_for(self, cost: u64) -> Millis {
        Millis(self.mean * cost / MICROS_PER_MILLI)
    }

    /// Returns the service time of a cost that is rarely exceeded.
    fn upper_bound(self, cost: u32) -> Millis {
        let micros_per_cost = self.mean + DEVIATION_FACTOR * self.deviation;
        Millis(micros_per_cost * u64::from(cost) / MICROS_PER_MILLI)
    }
}

fn moving_average(mean: u64, sample: u64) -> u64 {
    (mean * (SAMPLE_DIVISOR - 1) + sample) / SAMPLE_DIVISOR
}

/// Position in the queue: virtual finish time, then order of arrival.
type Position = (u64, u64);

/// Running and waiting requests for one model or plain service on one node.
#[derive(Debug)]
pub struct Queue {
    limit: u32,
    running: u32,
    next_ticket: u64,
    virtual_time: u64,
    finish_tags: HashMap<CompactString, u64>,
    waiting: BTreeMap<Position, Waiting>,
    positions: HashMap<Ticket, Position>,
    service_time: ServiceTime,
    finished_since_sweep: u32,
}

impl Queue {
    /// Creates an empty queue with a limit on concurrent requests of at least one.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Queue {
            limit: limit.max(1),
            running: 0,
            next_ticket: 0,
            virtual_time: 0,
            finish_tags: HashMap::new(),
            waiting: BTreeMap::new(),
            positions: HashMap::new(),
            service_time: ServiceTime::default(),
            finished_since_sweep: 0,
        }
    }

    /// Sets the limit on concurrent requests and starts waiting requests up to a raised limit.
    pub fn set_limit(&mut self, limit: u32, now: Instant) -> Vec<Wakeup> {
        let is_raised = limit.max(1) > self.limit;
        self.limit = limit.max(1);
        let mut wakeups = Vec::new();
        if is_raised {
            self.start_waiting(now, &mut wakeups);
        }
        wakeups
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Runs, queues or refuses an arriving request.
    pub fn admit(&mut self, arrival: Arrival, now: Instant) -> Admission {
        let remaining = arrival.deadline.since(now);
        if self.running < self.limit && self.waiting.is_empty() {
            let needed = self.service_time.upper_bound(arrival.cost);
            if needed > remaining {
                return Admission::Refuse(refuse(needed, remaining));
            }
            self.running += 1;
            return Admission::Run;
        }
        let start_tag = self.start_tag(&arrival.team);
        let finish_tag = start_tag
            + u64::from(arrival.cost.max(1)) * COST_SCALE / u64::from(arrival.weight.max(1));
        let position = (finish_tag, self.next_ticket);
        let ahead = self
            .waiting
            .range(..position)
            .map(|(_, waiting)| waiting.cost);
        let expected = self.expected_time(ahead.map(u64::from).sum(), arrival.cost);
        if expected > remaining {
            return Admission::Refuse(refuse(expected, remaining));
        }
        let Some(evicted) = self.evict_if_full(&arrival, expected) else {
            return Admission::Refuse(refuse(expected, remaining));
        };
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.finish_tags.insert(arrival.team.clone(), finish_tag);
        self.positions.insert(ticket, position);
        let waiting = Waiting {
            ticket,
            team: arrival.team,
            weight: arrival.weight,
            cost: arrival.cost,
            start_tag,
            deadline: arrival.deadline,
        };
        self.waiting.insert(position, waiting);
        Admission::Wait(ticket, evicted)
    }

    /// Removes a finished request of some cost, with its service time if its answer was complete.
    ///
    /// Returns the waiting requests that are started or refused.
    pub fn finish(&mut self, cost: u32, took: Option<Millis>, now: Instant) -> Vec<Wakeup> {
        self.running = self.running.saturating_sub(1);
        if let Some(took) = took {
            self.service_time.add_sample(took, cost);
        }
        let mut wakeups = Vec::new();
        self.finished_since_sweep += 1;
        if self.finished_since_sweep >= SWEEP_INTERVAL {
            self.finished_since_sweep = 0;
            self.refuse_late(now, &mut wakeups);
        }
        self.start_waiting(now, &mut wakeups);
        wakeups
    }

    /// Removes a waiting request.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(position) = self.positions.remove(&ticket) {
            self.waiting.remove(&position);
        }
    }

    fn start_tag(&self, team: &CompactString) -> u64 {
        let finish_tag = self.finish_tags.get(team).copied().unwrap_or_default();
        finish_tag.max(self.virtual_time)
    }

    /// Returns the expected time until the answer of a request behind waiting requests of a cost.
    fn expected_time(&self, ahead: u64, cost: u32) -> Millis {
        let wait = self.service_time.mean_for(ahead + u64::from(cost)).0 / u64::from(self.limit);
        Millis(wait + self.service_time.upper_bound(cost).0)
    }

    /// Starts waiting requests up to the limit and refuses those that are too late.
    fn start_waiting(&mut self, now: Instant, wakeups: &mut Vec<Wakeup>) {
        while self.running < self.limit {
            let Some((_, waiting)) = self.waiting.pop_first() else {
                self.clear_finish_tags();
                return;
            };
            self.positions.remove(&waiting.ticket);
            self.virtual_time = self.virtual_time.max(waiting.start_tag);
            let remaining = waiting.deadline.since(now);
            let needed = self.service_time.upper_bound(waiting.cost);
            if needed > remaining {
                wakeups.push(Wakeup::Refuse(waiting.ticket, refuse(needed, remaining)));
                continue;
            }
            self.running += 1;
            wakeups.push(Wakeup::Run(waiting.ticket));
        }
    }

    /// Refuses all waiting requests that can no longer be answered in time.
    fn refuse_late(&mut self, now: Instant, wakeups: &mut Vec<Wakeup>) {
        let mut ahead = 0;
        let mut late = Vec::new();
        for (position, waiting) in &self.waiting {
            let expected = self.expected_time(ahead, waiting.cost);
            let remaining = waiting.deadline.since(now);
            if expected > remaining {
                late.push((
                    *position,
                    Wakeup::Refuse(waiting.ticket, refuse(expected, remaining)),
                ));
            } else {
                ahead += u64::from(waiting.cost);
            }
        }
        for (position, wakeup) in late {
            if let Some(waiting) = self.waiting.remove(&position) {
                self.positions.remove(&waiting.ticket);
            }
            wakeups.push(wakeup);
        }
    }

    /// Evicts, if the queue is full, the last request of the team that has most waiting for its
    /// weight.
    ///
    /// Returns `None` if that is the team of the arriving request.
    fn evict_if_full(&mut self, arrival: &Arrival, expected: Millis) -> Option<Option<Wakeup>> {
        if self.waiting.len() < MAX_WAITING {
            return Some(None);
        }
        let mut counts: HashMap<&CompactString, (u64, u64)> = HashMap::new();
        for waiting in self.waiting.values() {
            let (count, weight) = counts.entry(&waiting.team).or_default();
            *count += 1;
            *weight = u64::from(waiting.weight.max(1));
        }
        let (team, _) = counts
            .iter()
            .max_by_key(|(team, (count, weight))| (count * COST_SCALE / weight, **team))?;
        if **team == arrival.team {
            return None;
        }
        let team = (*team).clone();
        let reversed = self.waiting.iter().rev();
        let (position, ticket) = reversed
            .filter(|(_, waiting)| waiting.team == team)
            .map(|(position, waiting)| (*position, waiting.ticket))
            .next()?;
        self.waiting.remove(&position);
        self.positions.remove(&ticket);
        Some(Some(Wakeup::Refuse(ticket, refuse(expected, Millis(0)))))
    }

    /// Clears the finish tags once no request waits, so that no team is charged for earlier work.
    fn clear_finish_tags(&mut self) {
        self.finish_tags.clear();
    }
}

fn refuse(expected: Millis, remaining: Millis) -> Refusal {
    let excess = Millis(expected.0.saturating_sub(remaining.0));
    Refusal {
        expected,
        retry_after: excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
    }
}
