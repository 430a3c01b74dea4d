//! Weighted fair queueing of requests for one model or plain service.

use std::collections::{BTreeMap, HashMap};

use compact_str::CompactString;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

/// Largest number of requests that wait.
const MAX_WAITING: usize = 1_024;
/// Virtual time of one unit of cost at weight 1.
const SCALE: u64 = 1 << 20;
const MICROS_PER_MILLI: u64 = 1_000;
/// Share of a new sample in the mean time of an answer: one in this many.
const MEMORY: u64 = 16;
/// Mean deviations by which an answer may take longer than the mean.
const DEVIATIONS: u64 = 3;
/// Answers after which all that wait are looked at again.
const SWEEP: u32 = 16;
/// Shortest pause proposed to a caller.
const MIN_RETRY_AFTER: Millis = Millis::from_secs(1);
/// Longest pause proposed to a caller.
const MAX_RETRY_AFTER: Millis = Millis::from_secs(30);

/// A request that wants to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Team.
    pub team: CompactString,
    /// Weight of the team.
    pub weight: u32,
    /// Largest work that the request may make, relative to other requests.
    pub cost: u32,
    /// Moment until which it must be answered.
    pub deadline: Instant,
}

/// Names a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Probable time until its answer, had it stayed.
    pub expected: Millis,
    /// When to try again.
    pub retry_after: Millis,
}

/// What happens to a request that comes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs now.
    Run,
    /// It waits; another request may have to leave the full queue for it.
    Wait(Ticket, Option<Wakeup>),
    /// It is refused.
    Refuse(Refusal),
}

/// What happens to a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wakeup {
    /// It runs now.
    Run(Ticket),
    /// It is refused.
    Refuse(Ticket, Refusal),
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    team: CompactString,
    weight: u32,
    cost: u32,
    start: u64,
    deadline: Instant,
}

/// How long answers take for each unit of cost, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Times {
    mean: u64,
    deviation: u64,
    known: bool,
}

impl Times {
    fn learn(&mut self, took: Millis, cost: u32) {
        let sample = took.0 * MICROS_PER_MILLI / u64::from(cost.max(1));
        if !self.known {
            self.mean = sample;
            self.known = true;
            return;
        }
        self.deviation = blend(self.deviation, sample.abs_diff(self.mean));
        self.mean = blend(self.mean, sample);
    }

    /// Returns the probable time for some cost.
    fn probable(self, cost: u64) -> Millis {
        Millis(self.mean * cost / MICROS_PER_MILLI)
    }

    /// Returns the time that an answer of some cost hardly ever exceeds.
    fn needed(self, cost: u32) -> Millis {
        let unit = self.mean + DEVIATIONS * self.deviation;
        Millis(unit * u64::from(cost) / MICROS_PER_MILLI)
    }
}

fn blend(mean: u64, sample: u64) -> u64 {
    (mean * (MEMORY - 1) + sample) / MEMORY
}

/// Place in the queue: virtual finish time, then order of arrival.
type Place = (u64, u64);

/// Requests that run and wait for one model or plain service on one node.
#[derive(Debug)]
pub struct Queue {
    limit: u32,
    running: u32,
    next: u64,
    virtual_time: u64,
    finish: HashMap<CompactString, u64>,
    waiting: BTreeMap<Place, Waiting>,
    places: HashMap<Ticket, Place>,
    times: Times,
    since_sweep: u32,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Queue {
            limit: limit.max(1),
            running: 0,
            next: 0,
            virtual_time: 0,
            finish: HashMap::new(),
            waiting: BTreeMap::new(),
            places: HashMap::new(),
            times: Times::default(),
            since_sweep: 0,
        }
    }

    /// Changes how many requests run at once, and starts those for which there is room now.
    pub fn set_limit(&mut self, limit: u32, now: Instant) -> Vec<Wakeup> {
        let is_raised = limit.max(1) > self.limit;
        self.limit = limit.max(1);
        let mut grants = Vec::new();
        if is_raised {
            self.fill(now, &mut grants);
        }
        grants
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of requests that run.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Takes in a request.
    pub fn admit(&mut self, entrant: Arrival, now: Instant) -> Admission {
        let remaining = entrant.deadline.since(now);
        if self.running < self.limit && self.waiting.is_empty() {
            let needed = self.times.needed(entrant.cost);
            if needed > remaining {
                return Admission::Refuse(refusal(needed, remaining));
            }
            self.running += 1;
            return Admission::Run;
        }
        let start = self.start_of(&entrant.team);
        let tag = start + u64::from(entrant.cost.max(1)) * SCALE / u64::from(entrant.weight.max(1));
        let place = (tag, self.next);
        let ahead = self.waiting.range(..place).map(|(_, other)| other.cost);
        let expected = self.expected(ahead.map(u64::from).sum(), entrant.cost);
        if expected > remaining {
            return Admission::Refuse(refusal(expected, remaining));
        }
        let Some(evicted) = self.make_room(&entrant, expected) else {
            return Admission::Refuse(refusal(expected, remaining));
        };
        let ticket = Ticket(self.next);
        self.next += 1;
        self.finish.insert(entrant.team.clone(), tag);
        self.places.insert(ticket, place);
        let waiting = Waiting {
            ticket,
            team: entrant.team,
            weight: entrant.weight,
            cost: entrant.cost,
            start,
            deadline: entrant.deadline,
        };
        self.waiting.insert(place, waiting);
        Admission::Wait(ticket, evicted)
    }

    /// Takes in that a request of some cost ended, with its time if it was answered whole.
    pub fn finish(&mut self, cost: u32, took: Option<Millis>, now: Instant) -> Vec<Wakeup> {
        self.running = self.running.saturating_sub(1);
        if let Some(took) = took {
            self.times.learn(took, cost);
        }
        let mut grants = Vec::new();
        self.since_sweep += 1;
        if self.since_sweep >= SWEEP {
            self.since_sweep = 0;
            self.sweep(now, &mut grants);
        }
        self.fill(now, &mut grants);
        grants
    }

    /// Takes out a request that no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(place) = self.places.remove(&ticket) {
            self.waiting.remove(&place);
        }
    }

    fn start_of(&self, team: &CompactString) -> u64 {
        let finish = self.finish.get(team).copied().unwrap_or_default();
        finish.max(self.virtual_time)
    }

    /// Returns the probable time until an answer, behind waiting requests of some cost.
    fn expected(&self, ahead: u64, cost: u32) -> Millis {
        let wait = self.times.probable(ahead + u64::from(cost)).0 / u64::from(self.limit);
        Millis(wait + self.times.needed(cost).0)
    }

    /// Starts requests while there is room.
    fn fill(&mut self, now: Instant, grants: &mut Vec<Wakeup>) {
        while self.running < self.limit {
            let Some((_, waiting)) = self.waiting.pop_first() else {
                self.forget_idle();
                return;
            };
            self.places.remove(&waiting.ticket);
            self.virtual_time = self.virtual_time.max(waiting.start);
            let remaining = waiting.deadline.since(now);
            let needed = self.times.needed(waiting.cost);
            if needed > remaining {
                grants.push(Wakeup::Refuse(waiting.ticket, refusal(needed, remaining)));
                continue;
            }
            self.running += 1;
            grants.push(Wakeup::Run(waiting.ticket));
        }
    }

    /// Refuses all that can no longer be answered in time.
    fn sweep(&mut self, now: Instant, grants: &mut Vec<Wakeup>) {
        let mut ahead = 0;
        let mut late = Vec::new();
        for (place, waiting) in &self.waiting {
            let expected = self.expected(ahead, waiting.cost);
            let remaining = waiting.deadline.since(now);
            if expected > remaining {
                late.push((
                    *place,
                    Wakeup::Refuse(waiting.ticket, refusal(expected, remaining)),
                ));
            } else {
                ahead += u64::from(waiting.cost);
            }
        }
        for (place, grant) in late {
            if let Some(waiting) = self.waiting.remove(&place) {
                self.places.remove(&waiting.ticket);
            }
            grants.push(grant);
        }
    }

    /// Makes room in a full queue at the expense of the team that waits most for its weight.
    ///
    /// Returns `None` if that is the entrant's own team.
    fn make_room(&mut self, entrant: &Arrival, expected: Millis) -> Option<Option<Wakeup>> {
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
            .max_by_key(|(team, (count, weight))| (count * SCALE / weight, **team))?;
        if **team == entrant.team {
            return None;
        }
        let team = (*team).clone();
        let last = self.waiting.iter().rev();
        let (place, ticket) = last
            .filter(|(_, waiting)| waiting.team == team)
            .map(|(place, waiting)| (*place, waiting.ticket))
            .next()?;
        self.waiting.remove(&place);
        self.places.remove(&ticket);
        Some(Some(Wakeup::Refuse(ticket, refusal(expected, Millis(0)))))
    }

    /// Forgets teams that have nothing waiting, so that none keeps an old debt.
    fn forget_idle(&mut self) {
        self.finish.clear();
    }
}

fn refusal(expected: Millis, remaining: Millis) -> Refusal {
    let missing = Millis(expected.0.saturating_sub(remaining.0));
    Refusal {
        expected,
        retry_after: missing.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
    }
}
