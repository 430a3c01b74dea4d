//! Detects what crashes backend servers: a request, or a part of a prompt that requests share.
//!
//! The features of every request in flight at a crash become suspects, unless the server had already
//! begun to answer it: the digest of the request, and the parts of its prompt but the last, which is
//! its own. A request that a server survives clears its features of the crashes before it. A feature
//! with three crashes is banned, and a banned feature explains the crashes of all features that were
//! there with it. A crash while a request runs alone bans the request at once. Nodes exchange their
//! [`Evidence`] and count together.
//!
//! Requests with the same suspected feature are sent one after another, so that each crash tells much
//! and costs one server. Features that many requests share are cleared by the next sound answer.
//! Features that came only together are banned together; a request that has one without the other
//! is tried, which ends the ban of the sound one.

mod feature;
mod news;
mod peers;
mod tracker;

use compact_str::CompactString;
use jackdaw_core::decision::Decision;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use crate::gossip::hash;

pub use feature::{Feature, Features, MAX_PARTS};
pub use news::{News, Report};
pub use peers::Peers;
pub use tracker::{Tracker, Trial, Verdicts};

/// Time for which a banned digest is refused.
pub const BAN_DURATION: Millis = Millis::from_secs(10 * 60);
/// Time for which a crash counts as evidence.
pub const EVIDENCE_LIFETIME: Millis = Millis::from_secs(10 * 60);
/// Number of events from which a server's crash says nothing about the request: a request that
/// crashes servers does so when it begins to run, and the server has run it for several steps.
pub const SETTLED_EVENTS: u32 = 2;
/// Number of crashes after which a feature is banned even if it never ran alone.
const MAX_CRASHES: u32 = 3;
/// Number of crashes from which a suspect is kept away from the last server of a service, and all
/// other requests from its server.
const PROBABLE_CRASHES: u32 = 2;
/// Time after its last crash in which a probable suspect is kept away from the last server; servers
/// that crashed are back within it.
const SPARING_TIME: Millis = Millis::from_secs(10);
/// Largest difference between two nodes' ends of one ban that comes from the way of a message.
const BAN_TOLERANCE: Millis = Millis::from_secs(1);
/// Largest number of suspects; the suspects with the oldest crashes are dropped first.
const MAX_SUSPECTS: usize = 4_096;
/// Largest number of crashes that are kept of a suspect.
const MAX_MARKS: usize = 16;
/// Time within which crashes of several servers count once for a part: they may have a cause in
/// common, such as the loss of their domain.
const MOMENT: Millis = Millis(50);
/// Time after a suspect's last crash after which the next node may send a request with it.
const TURN: Millis = Millis(300);
/// Number of turns for each crash of a suspect; with more nodes several share a turn.
const TURNS: u32 = 4;
/// Longest time for which a request is held before it is looked at again.
const HOLD_TIME: Millis = Millis(500);
/// Time after a ban from which a crash counts as a trial's, and after which a part is tried with a
/// request that tells whether it is sound; a node's turn to try takes as long.
const TRIAL_DELAY: Millis = Millis(1_000);
/// Largest number of turns to try a part; with more nodes several share a turn.
const MAX_TRIAL_TURNS: u32 = 4;
/// Time after which a banned part that was not tried is tried with any request.
const RETRIAL_DELAY: Millis = Millis::from_secs(30);

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

/// A crash that interrupted a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Name of the replica group or backend server that crashed.
    pub server: CompactString,
    /// Number that distinguishes the incarnations of the server.
    pub incarnation: u64,
    /// Whether no other request is known to have been in flight there.
    pub alone: bool,
}

/// What a node knows of a feature and one crash, as nodes exchange it.
///
/// That the feature is cleared of the crash outweighs that it was in flight, so that nodes agree in
/// whatever order they learn of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The feature.
    pub feature: Feature,
    /// The crash.
    pub crash: CrashId,
    /// Whether an answer after the crash has cleared the feature of it.
    pub is_cleared: bool,
    /// Time since the crash.
    pub age: Millis,
}

/// A ban as nodes exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ban {
    /// The feature.
    pub feature: Feature,
    /// Time for which the feature is still refused, or would be if the ban were not lifted.
    pub remaining: Millis,
    /// Whether the ban has been lifted; it is told until it would have ended, so that nodes that
    /// have missed it do not adopt the ban again.
    pub is_lifted: bool,
}

/// A change of what is known of a feature.
#[derive(Clone, Debug)]
pub struct Change {
    /// The feature.
    pub feature: Feature,
    /// Explanation of the change.
    pub decision: Decision,
    /// Whether the feature's ban has begun or was lifted.
    pub has_new_ban: bool,
}

/// Whether a request may be sent to a server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request has no suspected feature.
    Run,
    /// The request has a suspected feature, and no other request with it is on trial at this node.
    Try,
    /// A request with the same suspected feature is on trial, or it is another node's turn. The
    /// request is looked at again after a change, or after the time.
    Wait(Millis),
    /// The request has a banned feature and is refused for the remaining time.
    Refuse(Millis),
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

/// Verdict on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No feature of the request is under suspicion.
    Clear,
    /// A feature of the request was in flight at a crash, and the request runs alone.
    Suspect,
    /// A feature of the request crashed servers, and the request is refused for the remaining time.
    Banned(Millis),
}
