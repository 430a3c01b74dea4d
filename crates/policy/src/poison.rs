//! Detects requests that crash backend servers.
//!
//! The digest of every request in flight at a crash becomes a suspect, unless the server had already
//! begun to answer it. A complete answer clears a suspect of the crashes before it. A crash while a
//! suspect runs alone bans it, and so does the third crash on any node: nodes exchange their
//! [`Evidence`] and count together. A banned digest is refused for a bounded time.
//!
//! Requests that were only in flight beside the crashing one are not refused. Suspects are kept apart
//! from each other, so that two of them rarely share a second crash.

use std::collections::{HashMap, HashSet};

use compact_str::{CompactString, format_compact};
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_core::units::Millis;

use crate::gossip::hash;

/// Time for which a banned digest is refused.
pub const BAN_DURATION: Millis = Millis::from_secs(10 * 60);
/// Time for which a crash counts as evidence.
pub const EVIDENCE_LIFETIME: Millis = Millis::from_secs(10 * 60);
/// Number of events from which a server's crash says nothing about the request: a request that
/// crashes servers does so when it begins to run, and the server has run it for several steps.
pub const SETTLED_EVENTS: u32 = 2;
/// Number of crashes after which a digest is banned even if it never ran alone.
const MAX_CRASHES: u32 = 3;
/// Number of crashes from which a suspect is kept away from the last server of a service, and all
/// other requests from its server.
const PROBABLE_CRASHES: u32 = 2;
/// Time after its last crash in which a probable suspect is kept away from the last server; servers
/// that crashed are back within it.
const SPARING_TIME: Millis = Millis::from_secs(10);
/// Largest difference between two nodes' ends of one ban that comes from the way of a message.
const BAN_TOLERANCE: Millis = Millis::from_secs(1);
/// Largest number of suspects; the suspect with the oldest crash is dropped first.
const MAX_SUSPECTS: usize = 4_096;

/// Identifies the end of one incarnation of a server, the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Creates the identity of the end of an incarnation.
    #[must_use]
    pub fn new(server: &str, incarnation: u64) -> Self {
        CrashId(hash::mix(hash::hash_strings(&[server]) ^ incarnation))
    }
}

/// A request that was interrupted by a crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Digest of the request.
    pub digest: Digest,
    /// Name of the replica group or backend server that crashed.
    pub server: CompactString,
    /// Number that distinguishes the incarnations of the server.
    pub incarnation: u64,
    /// Whether no other request is known to have been in flight there.
    pub alone: bool,
}

/// What a node knows of a request and one crash, as nodes exchange it.
///
/// That the request is cleared of the crash outweighs that it was in flight, so that nodes agree in
/// whatever order they learn of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Digest of the request.
    pub digest: Digest,
    /// The crash.
    pub crash: CrashId,
    /// Whether a complete answer after the crash has cleared the request of it.
    pub is_cleared: bool,
    /// Time since the crash.
    pub age: Millis,
}

/// A ban as nodes exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ban {
    /// Digest of the request.
    pub digest: Digest,
    /// Time for which the digest is still refused.
    pub remaining: Millis,
}

/// How strongly a suspect is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Number of crashes of which the request is not cleared.
    pub crashes: u32,
    /// Time of the last of them.
    pub last_crash: Instant,
}

impl Suspicion {
    /// Returns whether the suspect may be sent to one of a number of sound servers.
    ///
    /// A probable suspect is not sent to the last one, so that others are served until the crashed
    /// servers are back.
    #[must_use]
    pub fn may_run(&self, sound_servers: usize, now: Instant) -> bool {
        self.crashes < PROBABLE_CRASHES
            || sound_servers > 1
            || now.since(self.last_crash) >= SPARING_TIME
    }
}

/// Returns whether a request is kept away from a server where a suspect is in flight, if others can
/// take it.
///
/// `own_crashes` are those of the request, and `suspect_crashes` those of the suspect. Suspects are
/// kept apart so that a further crash tells them apart.
#[must_use]
pub fn is_kept_apart(own_crashes: u32, suspect_crashes: u32) -> bool {
    suspect_crashes >= PROBABLE_CRASHES || (suspect_crashes > 0 && own_crashes > 0)
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

/// What is known of a suspect and one crash.
#[derive(Clone, Copy, Debug)]
struct Mark {
    at: Instant,
    is_cleared: bool,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    marks: HashMap<CrashId, Mark>,
    /// Whether this node itself saw one of the crashes.
    is_seen_here: bool,
}

impl Suspect {
    /// Returns the suspicion, or `None` if the request is cleared of all crashes.
    fn suspicion(&self) -> Option<Suspicion> {
        let open = self.marks.values().filter(|mark| !mark.is_cleared);
        let last_crash = open.clone().map(|mark| mark.at).max()?;
        Some(Suspicion {
            crashes: u32::try_from(open.count()).unwrap_or(u32::MAX),
            last_crash,
        })
    }

    fn last_crash(&self) -> Option<Instant> {
        self.marks.values().map(|mark| mark.at).max()
    }
}

/// Suspects and bans known to one node.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    suspects: HashMap<Digest, Suspect>,
    banned_until: HashMap<Digest, Instant>,
    /// Number of suspects that are not cleared.
    open_suspects: usize,
}

impl Tracker {
    /// Returns whether there is neither an open suspect nor a ban.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open_suspects == 0 && self.banned_until.is_empty()
    }

    /// Returns the verdict on a digest.
    #[must_use]
    pub fn verdict(&self, digest: &Digest, now: Instant) -> Verdict {
        if let Some(ban) = self.current_ban(digest, now) {
            return Verdict::Banned(ban.remaining);
        }
        match self.suspicion(digest) {
            Some(_) => Verdict::Suspect,
            None => Verdict::Clear,
        }
    }

    /// Returns the suspicion of a digest, if it is a suspect.
    #[must_use]
    pub fn suspicion(&self, digest: &Digest) -> Option<Suspicion> {
        self.suspects.get(digest).and_then(Suspect::suspicion)
    }

    /// Returns whether this node itself saw a server crash on a digest that is a suspect.
    #[must_use]
    pub fn is_seen_here(&self, digest: &Digest) -> bool {
        self.suspects
            .get(digest)
            .is_some_and(|suspect| suspect.is_seen_here)
    }

    /// Records a request that was interrupted by a crash and returns the decision on it.
    ///
    /// Returns `None` if the crash is known, as for several copies of a request in flight, or the
    /// digest is banned.
    pub fn record_crash(&mut self, crash: &Crash, now: Instant) -> Option<Decision> {
        if self.current_ban(&crash.digest, now).is_some() {
            return None;
        }
        let suspect = self.suspects.entry(crash.digest).or_default();
        let was_open = suspect.suspicion().is_some();
        suspect.is_seen_here = true;
        let id = CrashId::new(&crash.server, crash.incarnation);
        if suspect.marks.contains_key(&id) && !crash.alone {
            return None;
        }
        let mark = Mark {
            at: now,
            is_cleared: false,
        };
        suspect.marks.insert(id, mark);
        let crashes = suspect.suspicion().map_or(0, |suspicion| suspicion.crashes);
        self.open_suspects += usize::from(!was_open);
        if crash.alone || crashes >= MAX_CRASHES {
            self.banned_until.insert(crash.digest, now + BAN_DURATION);
            return Some(explain_ban(crash, crashes));
        }
        self.limit_suspects();
        Some(explain_suspicion(crash, crashes))
    }

    /// Records a complete answer and returns a decision if it cleared a suspect.
    pub fn record_answer(&mut self, digest: &Digest) -> Option<Decision> {
        let suspect = self.suspects.get_mut(digest)?;
        let suspicion = suspect.suspicion()?;
        for mark in suspect.marks.values_mut() {
            mark.is_cleared = true;
        }
        self.open_suspects -= 1;
        let decision = Decision::new(request_subject(digest), "it got a whole answer", "cleared")
            .with_input("crashes it was in flight at", suspicion.crashes);
        Some(decision)
    }

    /// Adopts evidence of another node and returns a decision if it changes the verdict.
    pub fn adopt_evidence(&mut self, evidence: Evidence, now: Instant) -> Option<Decision> {
        let digest = evidence.digest;
        if evidence.age >= EVIDENCE_LIFETIME || self.current_ban(&digest, now).is_some() {
            return None;
        }
        let suspect = self.suspects.entry(digest).or_default();
        let before = suspect.suspicion();
        suspect
            .marks
            .entry(evidence.crash)
            .and_modify(|mark| mark.is_cleared |= evidence.is_cleared)
            .or_insert(Mark {
                at: now - evidence.age,
                is_cleared: evidence.is_cleared,
            });
        let after = suspect.suspicion();
        self.open_suspects += usize::from(after.is_some());
        self.open_suspects -= usize::from(before.is_some());
        self.limit_suspects();
        match (before, after) {
            (_, Some(after)) if after.crashes >= MAX_CRASHES => {
                self.banned_until.insert(digest, now + BAN_DURATION);
                Some(explain_joint_ban(&digest, after.crashes))
            }
            (None, Some(_)) => Some(explain_joint_suspicion(&digest)),
            (Some(_), None) => Some(explain_joint_clearance(&digest)),
            (Some(_), Some(_)) | (None, None) => None,
        }
    }

    /// Returns the evidence on a digest, for publication to other nodes.
    #[must_use]
    pub fn evidence_on(&self, digest: &Digest, now: Instant) -> Vec<Evidence> {
        let marks = self.suspects.get(digest).map(|suspect| &suspect.marks);
        let evidence = marks.into_iter().flatten().map(|(crash, mark)| Evidence {
            digest: *digest,
            crash: *crash,
            is_cleared: mark.is_cleared,
            age: now.since(mark.at),
        });
        evidence.collect()
    }

    /// Returns the digests of the suspects that are not cleared, without those that are banned.
    pub fn open_suspects(&self) -> impl Iterator<Item = &Digest> {
        self.suspects
            .iter()
            .filter(|(digest, suspect)| {
                suspect.suspicion().is_some() && !self.banned_until.contains_key(*digest)
            })
            .map(|(digest, _)| digest)
    }

    /// Adopts a ban from another node and returns a decision if it is new or lasts longer.
    pub fn adopt_ban(&mut self, ban: Ban, now: Instant) -> Option<Decision> {
        let until = now + ban.remaining.min(BAN_DURATION);
        let known_until = self.banned_until.get(&ban.digest);
        if ban.remaining == Millis(0)
            || known_until.is_some_and(|known_until| *known_until + BAN_TOLERANCE >= until)
        {
            return None;
        }
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

    /// Returns all bans that are in force.
    pub fn bans(&self, now: Instant) -> impl Iterator<Item = Ban> {
        self.banned_until
            .keys()
            .filter_map(move |digest| self.current_ban(digest, now))
    }

    /// Drops expired bans and evidence.
    pub fn expire(&mut self, now: Instant) {
        self.banned_until.retain(|_, until| now < *until);
        self.suspects.retain(|_, suspect| {
            suspect
                .marks
                .retain(|_, mark| now.since(mark.at) < EVIDENCE_LIFETIME);
            !suspect.marks.is_empty()
        });
        self.count_open_suspects();
    }

    /// Returns a snapshot of the verdicts for the request path.
    #[must_use]
    pub fn verdicts(&self) -> Verdicts {
        Verdicts {
            suspects: self.open_suspects().copied().collect(),
            banned_until: self.banned_until.clone(),
        }
    }

    fn count_open_suspects(&mut self) {
        self.open_suspects = self
            .suspects
            .values()
            .filter(|suspect| suspect.suspicion().is_some())
            .count();
    }

    fn limit_suspects(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(digest, suspect)| (suspect.last_crash(), **digest))
            .map(|(digest, _)| *digest);
        if let Some(oldest) = oldest {
            self.suspects.remove(&oldest);
        }
        self.count_open_suspects();
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

fn explain_joint_suspicion(digest: &Digest) -> Decision {
    let cause = "it was in flight when a server crashed, as another node saw";
    Decision::new(
        request_subject(digest),
        cause,
        "kept apart from other suspects until it is cleared or banned",
    )
}

fn explain_joint_clearance(digest: &Digest) -> Decision {
    let cause = "it got a whole answer at another node";
    Decision::new(request_subject(digest), cause, "cleared")
}

fn explain_joint_ban(digest: &Digest, crashes: u32) -> Decision {
    Decision::new(
        request_subject(digest),
        "servers crashed on it at several nodes",
        format_compact!("refused for {BAN_DURATION}"),
    )
    .with_input("crashes it was in flight at", crashes)
    .with_alternative("run it once more", "it would cost another server")
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
