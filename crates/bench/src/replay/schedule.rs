//! Generates seeded sequences of events.

use compact_str::{CompactString, format_compact};
use fastrand::Rng;

/// A second in milliseconds.
const SECOND_MS: u64 = 1_000;
/// A minute in milliseconds.
const MINUTE_MS: u64 = 60 * SECOND_MS;
/// A day in milliseconds.
pub(crate) const DAY_MS: u64 = 24 * 60 * MINUTE_MS;

/// Event in a zone.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A VM stops answering; the flag says whether it keeps its weights.
    Fail(Slot, bool),
    /// A VM answers again.
    Recover(Slot),
    /// A VM announces that it will be removed.
    AnnounceRemoval(Slot),
    /// A VM is removed for good.
    Remove(Slot),
    /// A new VM takes the slot of one that was removed.
    Replace(Slot),
    /// All VMs of a fabric domain stop answering.
    DomainFails(usize),
    /// A fabric domain recovers.
    DomainRecovers(usize),
    /// A model gets a new version.
    NewVersion(usize),
    /// A model needs one group less.
    ReduceReplicas(usize),
    /// A model needs its former number of groups.
    RestoreReplicas(usize),
}

/// Position of a VM in the zone, which its replacement inherits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Slot {
    /// Fabric domain.
    pub(crate) domain: usize,
    /// Number within the domain.
    pub(crate) number: usize,
}

impl Slot {
    /// Returns the name of the `life`th VM that occupies the slot.
    pub(crate) fn vm_name(self, life: u32) -> CompactString {
        format_compact!("d{}-{:02}.{life}", self.domain, self.number)
    }
}

/// Shape of a zone.
#[derive(Clone, Debug)]
pub(crate) struct Shape {
    /// VMs in each fabric domain.
    pub(crate) domains: Vec<usize>,
    /// Models with VMs per replica, replicas and priority.
    pub(crate) models: Vec<(&'static str, u32, u32, u32)>,
    /// Number of loads that the weight store serves in parallel.
    pub(crate) parallel_loads: usize,
}

/// Permanent failures per VM and day.
const FAILURES_PER_DAY: f64 = 6.0 / 600.0;
/// Restarts per VM and day.
const RESTARTS_PER_DAY: f64 = 170.0 / 600.0;
/// Announced replacements per VM and day.
const REPLACEMENTS_PER_DAY: f64 = 100.0 / 600.0;
/// Pauses per VM and day, after which a VM still holds its weights.
const PAUSES_PER_DAY: f64 = 0.1;
/// Series of repeated restarts per VM and day.
const FLAPS_PER_DAY: f64 = 0.01;

/// Returns the events of a zone in order of time, in milliseconds since the start.
pub(crate) fn schedule(shape: &Shape, days: u64, seed: u64) -> Vec<(u64, Event)> {
    let mut generator = Generator {
        rng: Rng::with_seed(seed),
        end: days * DAY_MS,
        events: Vec::new(),
    };
    for (domain, vms) in shape.domains.iter().enumerate() {
        for number in 0..*vms {
            generator.add_vm_events(Slot { domain, number });
        }
    }
    generator.add_domain_outage(shape.domains.len());
    generator.add_note_events(shape.models.len(), days);
    generator.events.sort_by_key(|(at, _)| *at);
    generator.events
}

/// Collects the events of one zone.
struct Generator {
    rng: Rng,
    end: u64,
    events: Vec<(u64, Event)>,
}

impl Generator {
    /// Draws the times of a Poisson process with a rate per day.
    fn draw_times(&mut self, per_day: f64) -> Vec<u64> {
        let mut times = Vec::new();
        let mut at = 0.0;
        loop {
            let gap = -(1.0 - self.rng.f64()).ln() / per_day;
            at += gap * DAY_MS as f64;
            if at >= self.end as f64 {
                return times;
            }
            times.push(at as u64);
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.events.push((at, event));
    }

    fn add_vm_events(&mut self, slot: Slot) {
        for at in self.draw_times(FAILURES_PER_DAY) {
            self.push(at, Event::Fail(slot, false));
            self.push(at + 15 * MINUTE_MS, Event::Remove(slot));
            let replaced_at = at + self.rng.u64(20..60) * MINUTE_MS;
            self.push(replaced_at, Event::Replace(slot));
        }
        for at in self.draw_times(RESTARTS_PER_DAY) {
            self.push(at, Event::Fail(slot, false));
            let recovered_at = at + self.rng.u64(90..360) * SECOND_MS;
            self.push(recovered_at, Event::Recover(slot));
        }
        for at in self.draw_times(REPLACEMENTS_PER_DAY) {
            self.push(at, Event::AnnounceRemoval(slot));
            self.push(at + 5 * MINUTE_MS, Event::Remove(slot));
            let replaced_at = at + self.rng.u64(8..20) * MINUTE_MS;
            self.push(replaced_at, Event::Replace(slot));
        }
        for at in self.draw_times(PAUSES_PER_DAY) {
            self.push(at, Event::Fail(slot, true));
            let recovered_at = at + self.rng.u64(5..90) * SECOND_MS;
            self.push(recovered_at, Event::Recover(slot));
        }
        for at in self.draw_times(FLAPS_PER_DAY) {
            for turn in 0..8 {
                let failed_at = at + turn * 5 * MINUTE_MS;
                self.push(failed_at, Event::Fail(slot, false));
                let recovered_at = failed_at + self.rng.u64(30..120) * SECOND_MS;
                self.push(recovered_at, Event::Recover(slot));
            }
        }
    }

    /// Adds one outage of a random fabric domain.
    fn add_domain_outage(&mut self, count: usize) {
        let domain = self.rng.usize(0..count);
        let at = self.rng.u64(0..self.end);
        self.push(at, Event::DomainFails(domain));
        let recovered_at = at + self.rng.u64(30..120) * MINUTE_MS;
        self.push(recovered_at, Event::DomainRecovers(domain));
    }

    fn add_note_events(&mut self, models: usize, days: u64) {
        for day in 0..days {
            let model = self.rng.usize(0..models);
            let at = day * DAY_MS + self.rng.u64(0..DAY_MS);
            self.push(at, Event::NewVersion(model));
            let model = self.rng.usize(0..models);
            let at = day * DAY_MS + self.rng.u64(0..DAY_MS / 2);
            self.push(at, Event::ReduceReplicas(model));
            self.push(at + DAY_MS / 4, Event::RestoreReplicas(model));
        }
    }
}
