//! Detects requests that crash backend servers.
//!
//! The digest of every request in flight at a crash becomes a suspect. A suspect runs alone from
//! then on: a complete answer clears it, and a crash while it runs alone bans it. A banned digest
//! is refused for a bounded time. Other requests in flight are not refused; they run alone once.

use std::collections::{HashMap, HashSet};

use compact_str::{CompactString, format_compact};
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_core::units::Millis;

/// Time for which a banned digest is refused.
pub const BAN_DURATION: Millis = Millis::from_secs(10 * 60);
/// Time after its last crash at which a suspect is dropped.
const SUSPECT_LIFETIME: Millis = Millis::from_secs(10 * 60);
/// Number of crashes after which a digest is banned even if it never ran alone.
const MAX_CRASHES: u32 = 3;
/// Largest number of suspects; the suspect with the oldest crash is dropped first.
const MAX_SUSPECTS: usize = 4_096;

/// A request that was interrupted by a crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Digest of the request.
    pub digest: Digest,
    /// Name of the replica group or backend server that crashed.
    pub server: CompactString,
    /// Whether no other request is known to have been in flight there.
    pub alone: bool,
}

/// A ban as nodes exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ban {
    /// Digest of the request.
    pub digest: Digest,
    /// Time for which the digest is still refused.
    pub remaining: Millis,
}

/// Verdict on a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The digest is not under suspicion.
    Clear,
    /// The digest was in flight at a crash and runs alone.
    Suspect,
    /// The digest crashed a server and is refused for the remaining time.
    Banned(Millis),
}

/// Snapshot of all verdicts for the request path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdicts {
    suspects: HashSet<Digest>,
    banned_until: HashMap<Digest, Instant>,
}

impl Verdicts {
    /// Returns the verdict on a digest.
    #[must_use]
    pub fn of(&self, digest: &Digest, now: Instant) -> Verdict {
        if let Some(until) = self.banned_until.get(digest)
            && now < *until
        {
            return Verdict::Banned(until.since(now));
        }
        if self.suspects.contains(digest) {
            return Verdict::Suspect;
        }
        Verdict::Clear
    }

    /// Returns whether there is neither a suspect nor a ban.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.banned_until.is_empty()
    }
}

#[derive(Clone, Debug)]
struct Suspect {
    crashes: u32,
    last_crash: Instant,
}

/// Suspects and bans known to one node.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    suspects: HashMap<Digest, Suspect>,
    banned_until: HashMap<Digest, Instant>,
}

impl Tracker {
    /// Records a request that was interrupted by a crash and returns the decision on it.
    pub fn record_crash(&mut self, crash: &Crash, now: Instant) -> Decision {
        let suspect = self.suspects.entry(crash.digest).or_insert(Suspect {
            crashes: 0,
            last_crash: now,
        });
        suspect.crashes += 1;
        suspect.last_crash = now;
        let crashes = suspect.crashes;
        if crash.alone || crashes >= MAX_CRASHES {
            self.suspects.remove(&crash.digest);
            self.banned_until.insert(crash.digest, now + BAN_DURATION);
            return explain_ban(crash, crashes);
        }
        self.limit_suspects();
        explain_suspicion(crash, crashes)
    }

    /// Records a complete answer and returns a decision if it cleared a suspect.
    pub fn record_answer(&mut self, digest: &Digest) -> Option<Decision> {
        let suspect = self.suspects.remove(digest)?;
        let decision = Decision::new(request_subject(digest), "it got a whole answer", "cleared")
            .with_input("crashes it was in flight at", suspect.crashes);
        Some(decision)
    }

    /// Adopts a ban from another node and returns a decision if it is new or lasts longer.
    pub fn adopt_ban(&mut self, ban: Ban, now: Instant) -> Option<Decision> {
        let until = now + ban.remaining.min(BAN_DURATION);
        let known_until = self.banned_until.get(&ban.digest);
        if ban.remaining == Millis(0)
            || known_until.is_some_and(|known_until| *known_until >= until)
        {
            return None;
        }
        self.suspects.remove(&ban.digest);
        self.banned_until.insert(ban.digest, until);
        Some(explain_adopted_ban(&ban))
    }

    /// Returns the ban of a digest that is in force, for publication to other nodes.
    #[must_use]
    pub fn current_ban(&self, digest: &Digest, now: Instant) -> Option<Ban> {
        let until = self.banned_until.get(digest)?;
        (now < *until).then(|| Ban {
            digest: *digest,
            remaining: until.since(now),
        })
    }

    /// Drops expired bans and old suspects.
    pub fn expire(&mut self, now: Instant) {
        self.banned_until.retain(|_, until| now < *until);
        self.suspects
            .retain(|_, suspect| now.since(suspect.last_crash) < SUSPECT_LIFETIME);
    }

    /// Returns a snapshot of the verdicts for the request path.
    #[must_use]
    pub fn verdicts(&self) -> Verdicts {
        Verdicts {
            suspects: self.suspects.keys().copied().collect(),
            banned_until: self.banned_until.clone(),
        }
    }

    fn limit_suspects(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(digest, suspect)| (suspect.last_crash, **digest))
            .map(|(digest, _)| *digest);
        if let Some(oldest) = oldest {
            self.suspects.remove(&oldest);
        }
    }
}

fn request_subject(digest: &Digest) -> Subject {
    Subject::Request(format_compact!("digest-{}", digest.prefix()))
}

fn explain_suspicion(crash: &Crash, crashes: u32) -> Decision {
    Decision::new(
        request_subject(&crash.digest),
        "it was in flight when a server crashed",
        "runs alone until it is cleared or convicted",
    )
    .with_subject(Subject::Group(crash.server.clone()))
    .with_input("crashes it was in flight at", crashes)
    .with_alternative("refuse it", "others were in flight as well")
    .with_alternative("run it as before", "it could crash the next server too")
}

fn explain_adopted_ban(ban: &Ban) -> Decision {
    let cause = "another node saw a server crash on it";
    let taken = format_compact!("refused for {}", ban.remaining);
    Decision::new(request_subject(&ban.digest), cause, taken)
}

fn explain_ban(crash: &Crash, crashes: u32) -> Decision {
    Decision::new(
        request_subject(&crash.digest),
        "a server crashed on it",
        format_compact!("refused for {BAN_DURATION}"),
    )
    .with_subject(Subject::Group(crash.server.clone()))
    .with_input("ran alone", crash.alone)
    .with_input("crashes it was in flight at", crashes)
    .with_alternative("run it once more", "it would cost another server")
}
