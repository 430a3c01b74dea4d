//! Finds requests that crash backend servers.
//!
//! Every request in flight at a crash becomes a suspect by its digest. A suspect runs alone from
//! then on: a whole answer clears it, and a crash while it runs alone convicts it. A convicted
//! digest is refused for a bounded time. Innocent requests are never refused, only run alone once.

use std::collections::{HashMap, HashSet};

use compact_str::{CompactString, ToCompactString, format_compact};
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_core::units::Millis;

/// Time for which a convicted digest is refused.
pub const BAN_DURATION: Millis = Millis::from_secs(10 * 60);
/// Time after which a suspect that did not come again is forgotten.
const SUSPICION: Millis = Millis::from_secs(10 * 60);
/// Crashes with others in flight after which a digest is convicted all the same.
const MAX_CRASHES: u32 = 3;
/// Largest number of suspects; the oldest is forgotten first.
const MAX_SUSPECTS: usize = 4_096;
/// Hexadecimal digits by which explanations name a digest.
const SHOWN_DIGITS: usize = 16;

/// A request that was cut off by a crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Digest of the request.
    pub digest: Digest,
    /// Replica group or backend server that crashed.
    pub server: CompactString,
    /// Whether no other request was in flight there, as far as is known.
    pub alone: bool,
}

/// A conviction, as nodes tell each other of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ban {
    /// Digest of the request.
    pub digest: Digest,
    /// Time for which it is still refused.
    pub remaining: Millis,
}

/// What is held against a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing.
    Clear,
    /// It was in flight at a crash and runs alone.
    Suspect,
    /// It crashed a server and is refused for the time given.
    Banned(Millis),
}

/// All verdicts at one moment, for the path of requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdicts {
    suspects: HashSet<Digest>,
    convicted: HashMap<Digest, Instant>,
}

impl Verdicts {
    /// Returns what is held against a digest.
    #[must_use]
    pub fn of(&self, digest: &Digest, now: Instant) -> Verdict {
        if let Some(until) = self.convicted.get(digest)
            && now < *until
        {
            return Verdict::Banned(until.since(now));
        }
        if self.suspects.contains(digest) {
            return Verdict::Suspect;
        }
        Verdict::Clear
    }

    /// Returns whether nothing is held against any digest.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.convicted.is_empty()
    }
}

#[derive(Clone, Debug)]
struct Suspect {
    crashes: u32,
    last: Instant,
}

/// Suspects and convictions of one node.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    suspects: HashMap<Digest, Suspect>,
    convicted: HashMap<Digest, Instant>,
}

impl Tracker {
    /// Takes in a request that was cut off by a crash.
    pub fn record_crash(&mut self, crash: &Crash, now: Instant) -> Decision {
        let suspect = self.suspects.entry(crash.digest).or_insert(Suspect {
            crashes: 0,
            last: now,
        });
        suspect.crashes += 1;
        suspect.last = now;
        let crashes = suspect.crashes;
        if crash.alone || crashes >= MAX_CRASHES {
            self.suspects.remove(&crash.digest);
            self.convicted.insert(crash.digest, now + BAN_DURATION);
            return convicted(crash, crashes);
        }
        self.bound();
        suspected(crash, crashes)
    }

    /// Takes in a whole answer; returns a decision if it cleared a suspect.
    pub fn record_answer(&mut self, digest: &Digest) -> Option<Decision> {
        let suspect = self.suspects.remove(digest)?;
        let decision = Decision::new(subject(digest), "it got a whole answer", "cleared")
            .with_input("crashes it was in flight at", suspect.crashes);
        Some(decision)
    }

    /// Takes in a conviction from another node; returns a decision if it was news.
    pub fn adopt_ban(&mut self, conviction: Ban, now: Instant) -> Option<Decision> {
        let until = now + conviction.remaining.min(BAN_DURATION);
        let known = self.convicted.get(&conviction.digest);
        if conviction.remaining == Millis(0) || known.is_some_and(|known| *known >= until) {
            return None;
        }
        self.suspects.remove(&conviction.digest);
        self.convicted.insert(conviction.digest, until);
        Some(told(&conviction))
    }

    /// Returns the conviction of a digest, to tell other nodes of.
    #[must_use]
    pub fn current_ban(&self, digest: &Digest, now: Instant) -> Option<Ban> {
        let until = self.convicted.get(digest)?;
        (now < *until).then(|| Ban {
            digest: *digest,
            remaining: until.since(now),
        })
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: Instant) {
        self.convicted.retain(|_, until| now < *until);
        self.suspects
            .retain(|_, suspect| now.since(suspect.last) < SUSPICION);
    }

    /// Returns the verdicts for the path of requests.
    #[must_use]
    pub fn verdicts(&self) -> Verdicts {
        Verdicts {
            suspects: self.suspects.keys().copied().collect(),
            convicted: self.convicted.clone(),
        }
    }

    fn bound(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(digest, suspect)| (suspect.last, **digest))
            .map(|(digest, _)| *digest);
        if let Some(oldest) = oldest {
            self.suspects.remove(&oldest);
        }
    }
}

fn subject(digest: &Digest) -> Subject {
    let mut name = digest.to_compact_string();
    name.truncate(SHOWN_DIGITS);
    Subject::Request(format_compact!("digest-{name}"))
}

fn suspected(crash: &Crash, crashes: u32) -> Decision {
    Decision::new(
        subject(&crash.digest),
        "it was in flight when a server crashed",
        "runs alone until it is cleared or convicted",
    )
    .with_subject(Subject::Group(crash.server.clone()))
    .with_input("crashes it was in flight at", crashes)
    .with_alternative("refuse it", "others were in flight as well")
    .with_alternative("run it as before", "it could crash the next server too")
}

fn told(conviction: &Ban) -> Decision {
    let cause = "another node saw a server crash on it";
    let taken = format_compact!("refused for {}", conviction.remaining);
    Decision::new(subject(&conviction.digest), cause, taken)
}

fn convicted(crash: &Crash, crashes: u32) -> Decision {
    Decision::new(
        subject(&crash.digest),
        "a server crashed on it",
        format_compact!("refused for {BAN_DURATION}"),
    )
    .with_subject(Subject::Group(crash.server.clone()))
    .with_input("ran alone", crash.alone)
    .with_input("crashes it was in flight at", crashes)
    .with_alternative("run it once more", "it would cost another server")
}
