//! Seeded sequences of events.

use compact_str::{CompactString, format_compact};
use fastrand::Rng;

/// A second in milliseconds.
const SECOND: u64 = 1_000;
/// A minute in milliseconds.
const MINUTE: u64 = 60 * SECOND;
/// A day in milliseconds.
pub(crate) const DAY: u64 = 24 * 60 * MINUTE;

/// Something that happens to a zone.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A VM stops answering; whether it keeps its weights.
    Lose(Slot, bool),
    /// A VM answers again.
    Return(Slot),
    /// A VM is about to go.
    Leave(Slot),
    /// A VM is gone for good.
    Gone(Slot),
    /// A new VM takes the place of one that is gone.
    Arrive(Slot),
    /// A fabric domain goes dark.
    Dark(usize),
    /// A fabric domain comes back.
    Light(usize),
    /// A model gets another version.
    Version(usize),
    /// A model wants one group less.
    Fewer(usize),
    /// A model wants its former number of groups.
    Restore(usize),
}

/// The place of a VM in the zone, which its replacement takes over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Slot {
    /// Fabric domain.
    pub(crate) domain: usize,
    /// Number within the domain.
    pub(crate) number: usize,
}

impl Slot {
    /// Returns the name of the VM that holds the slot for the `life`th time.
    pub(crate) fn vm(self, life: u32) -> CompactString {
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
    /// Loads that the weight store serves at a time.
    pub(crate) loads: usize,
}

/// Events per VM and day, and their spans.
const FAILURES: f64 = 6.0 / 600.0;
const RESTARTS: f64 = 170.0 / 600.0;
const REPLACEMENTS: f64 = 100.0 / 600.0;
const PAUSES: f64 = 0.1;
const FLAPPERS: f64 = 0.01;

/// Returns the events of a zone in order of time.
pub(crate) fn schedule(shape: &Shape, days: u64, seed: u64) -> Vec<(u64, Event)> {
    let mut maker = Maker {
        rng: Rng::with_seed(seed),
        end: days * DAY,
        events: Vec::new(),
    };
    for (domain, vms) in shape.domains.iter().enumerate() {
        for number in 0..*vms {
            maker.vm(Slot { domain, number });
        }
    }
    maker.domains(shape.domains.len());
    maker.notes(shape.models.len(), days);
    maker.events.sort_by_key(|(at, _)| *at);
    maker.events
}

struct Maker {
    rng: Rng,
    end: u64,
    events: Vec<(u64, Event)>,
}

impl Maker {
    /// Draws points in time at a rate per day.
    fn times(&mut self, per_day: f64) -> Vec<u64> {
        let mut times = Vec::new();
        let mut at = 0.0;
        loop {
            let gap = -(1.0 - self.rng.f64()).ln() / per_day;
            at += gap * DAY as f64;
            if at >= self.end as f64 {
                return times;
            }
            times.push(at as u64);
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.events.push((at, event));
    }

    fn vm(&mut self, slot: Slot) {
        for at in self.times(FAILURES) {
            self.push(at, Event::Lose(slot, false));
            self.push(at + 15 * MINUTE, Event::Gone(slot));
            let arrives = at + self.rng.u64(20..60) * MINUTE;
            self.push(arrives, Event::Arrive(slot));
        }
        for at in self.times(RESTARTS) {
            self.push(at, Event::Lose(slot, false));
            let back = at + self.rng.u64(90..360) * SECOND;
            self.push(back, Event::Return(slot));
        }
        for at in self.times(REPLACEMENTS) {
            self.push(at, Event::Leave(slot));
            self.push(at + 5 * MINUTE, Event::Gone(slot));
            let arrives = at + self.rng.u64(8..20) * MINUTE;
            self.push(arrives, Event::Arrive(slot));
        }
        for at in self.times(PAUSES) {
            self.push(at, Event::Lose(slot, true));
            let back = at + self.rng.u64(5..90) * SECOND;
            self.push(back, Event::Return(slot));
        }
        for at in self.times(FLAPPERS) {
            for turn in 0..8 {
                let lost = at + turn * 5 * MINUTE;
                self.push(lost, Event::Lose(slot, false));
                let back = lost + self.rng.u64(30..120) * SECOND;
                self.push(back, Event::Return(slot));
            }
        }
    }

    /// Takes one fabric domain away for a while.
    fn domains(&mut self, count: usize) {
        let domain = self.rng.usize(0..count);
        let at = self.rng.u64(0..self.end);
        self.push(at, Event::Dark(domain));
        let back = at + self.rng.u64(30..120) * MINUTE;
        self.push(back, Event::Light(domain));
    }

    fn notes(&mut self, models: usize, days: u64) {
        for day in 0..days {
            let model = self.rng.usize(0..models);
            let at = day * DAY + self.rng.u64(0..DAY);
            self.push(at, Event::Version(model));
            let model = self.rng.usize(0..models);
            let at = day * DAY + self.rng.u64(0..DAY / 2);
            self.push(at, Event::Fewer(model));
            self.push(at + DAY / 4, Event::Restore(model));
        }
    }
}
