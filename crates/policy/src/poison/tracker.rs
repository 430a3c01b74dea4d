//! Suspects and bans known to one node.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

use compact_str::format_compact;
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use super::{
    Admission, BAN_DURATION, BAN_TOLERANCE, Ban, Change, Crash, CrashId, EVIDENCE_LIFETIME,
    Evidence, Feature, Features, HOLD_TIME, MAX_CRASHES, MAX_MARKS, MAX_SUSPECTS, MAX_TRIAL_TURNS,
    MOMENT, PROBABLE_CRASHES, Peers, RETRIAL_DELAY, Suspicion, TRIAL_DELAY, TURN, TURNS, Verdict,
};

/// Snapshot of all verdicts for the request path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdicts {
    suspects: HashSet<Feature>,
    banned_until: HashMap<Feature, Instant>,
}

impl Verdicts {
    /// Returns the verdict on a request.
    #[must_use]
    pub fn of(&self, features: &Features<'_>, now: Instant) -> Verdict {
        if self.is_empty() {
            return Verdict::Clear;
        }
        let remaining = features
            .iter()
            .filter_map(|feature| self.banned_until.get(&feature))
            .filter(|until| now < **until)
            .map(|until| until.since(now))
            .max();
        match remaining {
            Some(remaining) => Verdict::Banned(remaining),
            None if features.iter().any(|own| self.suspects.contains(&own)) => Verdict::Suspect,
            None => Verdict::Clear,
        }
    }

    /// Returns whether there is neither a suspect nor a ban.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.banned_until.is_empty()
    }
}

/// Identifies a request with suspected features that is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trial(u64);

/// What is known of a suspect and one crash.
#[derive(Clone, Copy, Debug)]
struct Mark {
    crash: CrashId,
    at: Instant,
    is_cleared: bool,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    marks: Vec<Mark>,
    /// Whether this node itself saw one of the crashes.
    is_seen_here: bool,
}

impl Suspect {
    fn open(&self) -> impl Iterator<Item = &Mark> + Clone {
        self.marks.iter().filter(|mark| !mark.is_cleared)
    }

    fn is_open(&self) -> bool {
        self.open().next().is_some()
    }

    fn last_crash(&self) -> Option<Instant> {
        self.marks.iter().map(|mark| mark.at).max()
    }

    fn find(&mut self, crash: CrashId) -> Option<&mut Mark> {
        self.marks.iter_mut().find(|mark| mark.crash == crash)
    }

    /// Adds a mark in place of the oldest one, or of the oldest cleared one, if there are too many.
    fn add(&mut self, mark: Mark) {
        if self.marks.len() >= MAX_MARKS {
            let order = |idx: &usize| (!self.marks[*idx].is_cleared, self.marks[*idx].at);
            if let Some(oldest) = (0..self.marks.len()).min_by_key(order) {
                self.marks.remove(oldest);
            }
        }
        self.marks.push(mark);
    }

    fn is_open_at(&self, crash: CrashId) -> bool {
        self.open().any(|mark| mark.crash == crash)
    }
}

/// Returns how many crashes speak against a feature.
///
/// One part may be in flight on many servers that end together, so crashes at one moment count once
/// against it.
fn count_crashes<'a>(feature: &Feature, marks: impl Iterator<Item = &'a Mark>) -> u32 {
    let mut times: Vec<Instant> = marks.map(|mark| mark.at).collect();
    if !feature.is_request() {
        times.sort_unstable();
        let mut begin: Option<Instant> = None;
        times.retain(|at| {
            let is_new = begin.is_none_or(|begin| at.since(begin) >= MOMENT);
            if is_new {
                begin = Some(*at);
            }
            is_new
        });
    }
    u32::try_from(times.len()).unwrap_or(u32::MAX)
}

/// When nodes may try a request with a banned feature.
#[derive(Clone, Copy, Debug)]
struct Trials {
    begin: Instant,
    /// Largest number of turns; with more nodes several share a turn.
    max_turns: u32,
}

impl Trials {
    /// Returns the turns after a crash.
    fn after(last_crash: Instant) -> Self {
        Trials {
            begin: last_crash + TRIAL_DELAY,
            max_turns: MAX_TRIAL_TURNS,
        }
    }

    /// Returns whether it is this node's turn.
    ///
    /// Each node begins a trial in the first half of its turn only, so that its outcome is known in
    /// the next one.
    fn is_turn(&self, feature: &Feature, peers: &Peers, now: Instant) -> bool {
        let elapsed = now.since(self.begin).0;
        let turns = peers.count().min(self.max_turns);
        let turn = elapsed / TRIAL_DELAY.0 % u64::from(turns);
        now >= self.begin
            && elapsed % TRIAL_DELAY.0 < TRIAL_DELAY.0 / 2
            && turn == u64::from(peers.rank(feature) % turns)
    }
}

/// A ban and its end.
#[derive(Clone, Copy, Debug)]
struct Sentence {
    until: Instant,
    is_lifted: bool,
    /// Whether a server crashed while the request ran alone there.
    is_certain: bool,
}

impl Sentence {
    fn new(until: Instant) -> Self {
        Sentence {
            until,
            is_lifted: false,
            is_certain: false,
        }
    }

    fn is_in_force(&self, now: Instant) -> bool {
        !self.is_lifted && now < self.until
    }

    fn since(&self) -> Instant {
        self.until - BAN_DURATION
    }
}

/// Features whose bans changed.
#[derive(Debug, Default)]
struct Review {
    banned: Vec<Feature>,
    lifted: Vec<Feature>,
}

/// Suspects and bans known to one node.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    suspects: HashMap<Feature, Suspect>,
    sentences: HashMap<Feature, Sentence>,
    /// Crashes at which a banned feature was in flight.
    explained: HashSet<CrashId>,
    /// Suspected features of the requests on trial.
    trials: Vec<(Trial, Feature)>,
    next_trial: u64,
    /// Number of suspects that are not cleared.
    open_suspects: usize,
}

impl Tracker {
    /// Returns whether there is neither an open suspect nor a ban.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open_suspects == 0 && self.sentences.values().all(|sentence| sentence.is_lifted)
    }

    /// Returns the verdict on a request.
    #[must_use]
    pub fn verdict(&self, features: &Features<'_>, now: Instant) -> Verdict {
        if self.is_empty() {
            return Verdict::Clear;
        }
        match self.remaining_ban(features, now) {
            Some(remaining) => Verdict::Banned(remaining),
            None if self.suspicion(features).is_some() => Verdict::Suspect,
            None => Verdict::Clear,
        }
    }

    /// Returns the strongest suspicion of a request's features, if one is a suspect.
    #[must_use]
    pub fn suspicion(&self, features: &Features<'_>) -> Option<Suspicion> {
        if self.open_suspects == 0 {
            return None;
        }
        let suspicions = features
            .iter()
            .filter_map(|feature| self.suspicion_of(&feature));
        suspicions.max_by_key(|suspicion| (suspicion.crashes, suspicion.last_crash))
    }

    /// Returns the suspicion of a feature, if it is a suspect.
    ///
    /// Crashes at which a banned feature was in flight count only for a feature that has as many as a
    /// banned one; it may have crashed servers as well.
    #[must_use]
    pub fn suspicion_of(&self, feature: &Feature) -> Option<Suspicion> {
        let suspect = self.suspects.get(feature)?;
        let is_probable = suspect.open().count() >= MAX_CRASHES as usize;
        let open = suspect
            .open()
            .filter(|mark| is_probable || !self.explained.contains(&mark.crash));
        let last_crash = open.clone().map(|mark| mark.at).max()?;
        Some(Suspicion {
            crashes: count_crashes(feature, open),
            last_crash,
        })
    }

    /// Returns whether a request may be sent to a server now.
    #[must_use]
    pub fn admit(&self, features: &Features<'_>, peers: &Peers, now: Instant) -> Admission {
        if self.is_empty() {
            return Admission::Run;
        }
        if let Some(remaining) = self.remaining_ban(features, now)
            && !self.may_be_tried(features, peers, now)
        {
            return match self.hold_time(features, now) {
                Some(pause) => Admission::Wait(pause),
                None => Admission::Refuse(remaining),
            };
        }
        let mut is_suspect = false;
        let mut wait = Millis(0);
        for feature in features.iter() {
            let Some(suspicion) = self.suspicion_of(&feature) else {
                continue;
            };
            is_suspect = true;
            // A feature whose crashes another one explains, and which came with it, may crash servers
            // as well.
            let is_probable = suspicion.crashes >= MAX_CRASHES && !feature.is_request();
            let trials = Trials::after(suspicion.last_crash);
            let is_others_turn = is_probable
                && !self.is_banned(&feature, now)
                && !trials.is_turn(&feature, peers, now);
            if self.is_on_trial(&feature) || is_others_turn {
                wait = HOLD_TIME;
            } else if !feature.is_request() {
                let turns = peers.rank(&feature) % (TURNS * suspicion.crashes);
                let turn = suspicion.last_crash + Millis(TURN.0 * u64::from(turns));
                wait = wait.max(turn.since(now).min(HOLD_TIME));
            }
        }
        match (is_suspect, wait) {
            (false, _) => Admission::Run,
            (true, Millis(0)) => Admission::Try,
            (true, wait) => Admission::Wait(wait),
        }
    }

    /// Records that a request with suspected features is sent to a server.
    pub fn begin_trial(&mut self, features: &Features<'_>) -> Trial {
        let trial = Trial(self.next_trial);
        self.next_trial += 1;
        for feature in features.iter() {
            if self.suspicion_of(&feature).is_some() {
                self.trials.push((trial, feature));
            }
        }
        trial
    }

    /// Records that a request on trial has begun to be answered or is no longer in flight.
    pub fn end_trial(&mut self, trial: Trial) {
        self.trials.retain(|(known, _)| *known != trial);
    }

    /// Returns whether this node itself saw a server crash on a feature that is a suspect.
    #[must_use]
    pub fn is_seen_here(&self, feature: &Feature) -> bool {
        self.suspects
            .get(feature)
            .is_some_and(|suspect| suspect.is_seen_here)
    }

    /// Records a request that was interrupted by a crash and returns what changed.
    ///
    /// Nothing changes if the crash is known, as for several copies of a request in flight, or the
    /// request is banned.
    pub fn record_crash(
        &mut self,
        crash: &Crash,
        features: &Features<'_>,
        now: Instant,
    ) -> Vec<Change> {
        let id = CrashId::new(&crash.server, crash.incarnation);
        let mut marked: Vec<Feature> = Vec::new();
        for feature in features.iter() {
            let is_alone = crash.alone && feature.is_request();
            if feature.is_request() && self.is_banned(&feature, now) {
                continue;
            }
            let suspect = self.suspects.entry(feature).or_default();
            let was_open = suspect.is_open();
            suspect.is_seen_here = true;
            match suspect.find(id) {
                Some(mark) if is_alone => mark.is_cleared = false,
                Some(_) => continue,
                None => suspect.add(Mark {
                    crash: id,
                    at: now,
                    is_cleared: false,
                }),
            }
            self.open_suspects += usize::from(!was_open);
            marked.push(feature);
            if is_alone {
                let sentence = Sentence {
                    is_certain: true,
                    ..Sentence::new(now + BAN_DURATION)
                };
                self.sentences.insert(feature, sentence);
            }
        }
        if marked.is_empty() {
            return Vec::new();
        }
        let review = self.review(now);
        self.limit_suspects();
        let mut changes: Vec<Change> = Vec::new();
        for feature in marked {
            let suspect = self.suspects.get(&feature);
            let crashes = suspect.map_or(0, |suspect| count_crashes(&feature, suspect.open()));
            let is_alone = crash.alone && feature.is_request();
            let decision = if self.is_banned(&feature, now) {
                explain_ban(&feature, crash, crashes)
            } else {
                explain_suspicion(&feature, crash, crashes)
            };
            changes.push(Change {
                feature,
                decision,
                has_new_ban: is_alone || review.banned.contains(&feature),
            });
        }
        self.explain_review(&review, &mut changes);
        changes
    }

    /// Records that a server has begun to answer a request and returns what changed.
    pub fn record_survival(&mut self, features: &Features<'_>, now: Instant) -> Vec<Change> {
        if self.is_empty() {
            return Vec::new();
        }
        let mut changes: Vec<Change> = Vec::new();
        for feature in features.iter() {
            let mut crashes = 0;
            if let Some(suspect) = self.suspects.get_mut(&feature)
                && suspect.is_open()
            {
                crashes = count_crashes(&feature, suspect.open());
                for mark in &mut suspect.marks {
                    mark.is_cleared = true;
                }
                self.open_suspects -= 1;
            }
            let is_lifted = self.lift(&feature, now);
            if crashes > 0 || is_lifted {
                let cause = "a server began to answer it";
                let decision = Decision::new(subject(&feature), cause, "cleared")
                    .with_input("crashes it was in flight at", crashes);
                changes.push(Change {
                    feature,
                    decision,
                    has_new_ban: is_lifted,
                });
            }
        }
        if !changes.is_empty() {
            let review = self.review(now);
            self.explain_review(&review, &mut changes);
        }
        changes
    }

    /// Adopts evidence of another node and returns what changed.
    pub fn adopt_evidence(&mut self, evidence: Evidence, now: Instant) -> Vec<Change> {
        let feature = evidence.feature;
        let is_banned_request = feature.is_request() && self.is_banned(&feature, now);
        if evidence.age >= EVIDENCE_LIFETIME || is_banned_request {
            return Vec::new();
        }
        let suspect = self.suspects.entry(feature).or_default();
        let was_open = suspect.is_open();
        match suspect.find(evidence.crash) {
            Some(mark) if mark.is_cleared || !evidence.is_cleared => return Vec::new(),
            Some(mark) => mark.is_cleared = true,
            None => suspect.add(Mark {
                crash: evidence.crash,
                at: now - evidence.age,
                is_cleared: evidence.is_cleared,
            }),
        }
        let is_open = suspect.is_open();
        let crashes = suspect.open().count();
        self.open_suspects += usize::from(is_open);
        self.open_suspects -= usize::from(was_open);
        let mut changes = Vec::new();
        match (was_open, is_open) {
            (false, true) => changes.push(Change {
                feature,
                decision: explain_joint_suspicion(&feature),
                has_new_ban: false,
            }),
            (true, false) => {
                let has_new_ban = self.lift(&feature, now);
                changes.push(Change {
                    feature,
                    decision: explain_joint_clearance(&feature),
                    has_new_ban,
                });
            }
            (true, true) if !feature.is_request() => changes.push(Change {
                feature,
                decision: explain_joint_crash(&feature),
                has_new_ban: false,
            }),
            (true, true) | (false, false) => {}
        }
        let is_reviewed = crashes >= MAX_CRASHES as usize
            || evidence.is_cleared
            || self.sentences.contains_key(&feature);
        if is_reviewed {
            let review = self.review(now);
            self.explain_review(&review, &mut changes);
        }
        self.limit_suspects();
        changes
    }

    /// Returns the evidence on a feature, for publication to other nodes.
    #[must_use]
    pub fn evidence_on(&self, feature: &Feature, now: Instant) -> Vec<Evidence> {
        let marks = self.suspects.get(feature).map(|suspect| &suspect.marks);
        let evidence = marks.into_iter().flatten().map(|mark| Evidence {
            feature: *feature,
            crash: mark.crash,
            is_cleared: mark.is_cleared,
            age: now.since(mark.at),
        });
        evidence.collect()
    }

    /// Returns the suspects that are not cleared, without those that are banned.
    pub fn open_suspects(&self) -> impl Iterator<Item = Feature> {
        self.suspects
            .iter()
            .filter(|(feature, suspect)| {
                let sentence = self.sentences.get(*feature);
                suspect.is_open() && sentence.is_none_or(|sentence| sentence.is_lifted)
            })
            .map(|(feature, _)| *feature)
    }

    /// Adopts a ban from another node, or that it was lifted, and returns a decision if that is new.
    pub fn adopt_ban(&mut self, ban: Ban, now: Instant) -> Option<Decision> {
        if ban.remaining == Millis(0) {
            return None;
        }
        let until = now + ban.remaining.min(BAN_DURATION);
        match self.sentences.get(&ban.feature) {
            Some(known) if known.until + BAN_TOLERANCE >= until => {
                let is_same = known.until <= until + BAN_TOLERANCE;
                let is_lifted = ban.is_lifted && is_same && self.lift(&ban.feature, now);
                if !is_lifted {
                    return None;
                }
            }
            Some(_) | None => {
                let sentence = Sentence {
                    is_lifted: ban.is_lifted,
                    ..Sentence::new(until)
                };
                self.sentences.insert(ban.feature, sentence);
            }
        }
        self.review(now);
        Some(explain_adopted_ban(&ban))
    }

    /// Returns the ban of a feature that is in force.
    #[must_use]
    pub fn current_ban(&self, feature: &Feature, now: Instant) -> Option<Ban> {
        self.ban(feature, now).filter(|ban| !ban.is_lifted)
    }

    /// Returns the ban of a feature that has not ended, also one that was lifted.
    #[must_use]
    pub fn ban(&self, feature: &Feature, now: Instant) -> Option<Ban> {
        let sentence = self.sentences.get(feature)?;
        (now < sentence.until).then(|| Ban {
            feature: *feature,
            remaining: sentence.until.since(now),
            is_lifted: sentence.is_lifted,
        })
    }

    /// Returns all bans that have not ended, also those that were lifted, for publication.
    pub fn bans(&self, now: Instant) -> impl Iterator<Item = Ban> {
        let features = self.sentences.keys();
        features.filter_map(move |feature| self.ban(feature, now))
    }

    /// Drops expired bans and evidence.
    pub fn expire(&mut self, now: Instant) {
        let known = self.sentences.len();
        self.sentences.retain(|_, sentence| now < sentence.until);
        self.suspects.retain(|_, suspect| {
            suspect
                .marks
                .retain(|mark| now.since(mark.at) < EVIDENCE_LIFETIME);
            !suspect.marks.is_empty()
        });
        self.count_open_suspects();
        if self.sentences.len() != known {
            self.review(now);
        }
    }

    /// Returns a snapshot of the verdicts for the request path.
    #[must_use]
    pub fn verdicts(&self) -> Verdicts {
        let in_force = self
            .sentences
            .iter()
            .filter(|(_, sentence)| !sentence.is_lifted);
        Verdicts {
            suspects: self
                .open_suspects()
                .filter(|feature| self.suspicion_of(feature).is_some())
                .collect(),
            banned_until: in_force
                .map(|(feature, sentence)| (*feature, sentence.until))
                .collect(),
        }
    }

    fn is_banned(&self, feature: &Feature, now: Instant) -> bool {
        let sentence = self.sentences.get(feature);
        sentence.is_some_and(|sentence| sentence.is_in_force(now))
    }

    /// Returns the longest remaining time of the bans of a request's features.
    fn remaining_ban(&self, features: &Features<'_>, now: Instant) -> Option<Millis> {
        let sentences = features
            .iter()
            .filter_map(|feature| self.sentences.get(&feature));
        sentences
            .filter(|sentence| sentence.is_in_force(now))
            .map(|sentence| sentence.until.since(now))
            .max()
    }

    /// Returns whether this node may try a request with banned features now.
    fn may_be_tried(&self, features: &Features<'_>, peers: &Peers, now: Instant) -> bool {
        features
            .iter()
            .filter(|feature| self.is_banned(feature, now))
            .all(|feature| {
                let trials = self.trials_of(&feature, features);
                !self.is_on_trial(&feature)
                    && trials.is_some_and(|trials| trials.is_turn(&feature, peers, now))
            })
    }

    fn is_on_trial(&self, feature: &Feature) -> bool {
        self.trials.iter().any(|(_, tried)| tried == feature)
    }

    /// Returns whether a request is refused for features that crashed servers beyond doubt, so that
    /// it is taken back from a server that has not begun to answer it.
    #[must_use]
    pub fn is_convicted(&self, features: &Features<'_>, now: Instant) -> bool {
        !self.is_empty()
            && features.iter().any(|feature| {
                self.is_banned(&feature, now) && !self.is_ambiguous(&feature, features, now)
            })
    }

    /// Returns whether another banned feature, which the request lacks, was in flight at each crash
    /// of a banned part.
    fn is_ambiguous(&self, feature: &Feature, features: &Features<'_>, now: Instant) -> bool {
        let Some(suspect) = self.suspects.get(feature) else {
            return false;
        };
        let others: Vec<&Suspect> = self
            .sentences
            .iter()
            .filter(|(other, sentence)| sentence.is_in_force(now) && !features.contains(other))
            .filter_map(|(other, _)| self.suspects.get(other))
            .collect();
        let is_explained = |mark: &Mark| others.iter().any(|other| other.is_open_at(mark.crash));
        !feature.is_request() && suspect.is_open() && suspect.open().all(is_explained)
    }

    /// Returns for how long a request with banned features is held, in case that other requests are
    /// answered and clear them, or `None` if it is refused.
    fn hold_time(&self, features: &Features<'_>, now: Instant) -> Option<Millis> {
        if self.is_convicted(features, now) {
            return None;
        }
        let banned = features.iter().filter_map(|feature| {
            let sentence = self.sentences.get(&feature)?;
            sentence.is_in_force(now).then(|| sentence.since())
        });
        let end = banned.min()? + TRIAL_DELAY;
        (now < end).then(|| end.since(now))
    }

    /// Returns when nodes may try a request with a banned feature, or `None` for never.
    ///
    /// A part may be sound if each of its crashes has another explanation, if other parts that came
    /// with it crashed some of the servers, or if the servers crashed by chance. It is tried with a
    /// request that has no other suspect, so that the outcome leaves no doubt.
    fn trials_of(&self, feature: &Feature, features: &Features<'_>) -> Option<Trials> {
        let sentence = self.sentences.get(feature)?;
        let suspect = self.suspects.get(feature)?;
        let open = suspect.open().count();
        if feature.is_request() || sentence.is_certain || open < MAX_CRASHES as usize {
            return None;
        }
        let is_trial = |mark: &&Mark| mark.at >= sentence.since() + TRIAL_DELAY;
        let failed_trials = suspect.open().filter(is_trial).count();
        let last_crash = suspect.last_crash()?.max(sentence.since());
        if failed_trials > 0 {
            return None;
        }
        if self.is_only_suspect(feature, features) {
            return Some(Trials::after(last_crash));
        }
        Some(Trials {
            begin: last_crash + RETRIAL_DELAY,
            max_turns: u32::MAX,
        })
    }

    /// Returns whether no other part of a request is a probable suspect.
    fn is_only_suspect(&self, feature: &Feature, features: &Features<'_>) -> bool {
        features
            .iter()
            .filter(|other| !other.is_request() && other != feature)
            .all(|other| {
                let suspect = self.suspects.get(&other);
                let crashes = suspect.map_or(0, |suspect| count_crashes(&other, suspect.open()));
                crashes < PROBABLE_CRASHES
            })
    }

    /// Lifts a ban that is in force and not certain, and returns whether there was one.
    fn lift(&mut self, feature: &Feature, now: Instant) -> bool {
        let sentence = self.sentences.get_mut(feature);
        let sentence =
            sentence.filter(|sentence| sentence.is_in_force(now) && !sentence.is_certain);
        let Some(sentence) = sentence else {
            return false;
        };
        sentence.is_lifted = true;
        true
    }

    /// Decides anew which features are banned: those with most crashes first, and others if one of
    /// their crashes has no explanation by a feature with more crashes.
    fn review(&mut self, now: Instant) -> Review {
        let mut ranking: Vec<(usize, Feature)> = self
            .suspects
            .iter()
            .map(|(feature, suspect)| (suspect.open().count(), *feature))
            .filter(|(open, feature)| {
                *open >= MAX_CRASHES as usize || (*open > 0 && self.is_banned(feature, now))
            })
            .collect();
        let strength = |(open, feature): &(usize, Feature)| (*open, feature.is_request());
        ranking.sort_unstable_by_key(|entry| (Reverse(strength(entry)), entry.1));
        self.explained.clear();
        let mut review = Review::default();
        for equals in ranking.chunk_by(|one, other| strength(one) == strength(other)) {
            let mut found: Vec<CrashId> = Vec::new();
            for (_, feature) in equals {
                let suspect = &self.suspects[feature];
                let unexplained = suspect
                    .open()
                    .filter(|mark| !self.explained.contains(&mark.crash));
                let is_explained = unexplained.clone().next().is_none();
                let crashes = count_crashes(feature, suspect.open());
                let sentence = self.sentences.get(feature);
                let is_banned = sentence.is_some_and(|sentence| sentence.is_in_force(now));
                let is_judged = !feature.is_request()
                    && suspect.marks.len() >= MAX_CRASHES as usize
                    && sentence.is_none_or(|sentence| !sentence.is_certain);
                let is_doubtful = is_explained || crashes < MAX_CRASHES;
                if is_banned && is_judged && is_doubtful {
                    review.lifted.push(*feature);
                    continue;
                }
                let is_convicted = crashes >= MAX_CRASHES && !is_explained;
                if is_banned || is_convicted {
                    found.extend(suspect.open().map(|mark| mark.crash));
                }
                if !is_banned && is_convicted {
                    review.banned.push(*feature);
                }
            }
            self.explained.extend(found);
        }
        for feature in &review.lifted {
            self.lift(feature, now);
        }
        for feature in &review.banned {
            let sentence = Sentence::new(now + BAN_DURATION);
            self.sentences.insert(*feature, sentence);
        }
        review
    }

    fn explain_review(&self, review: &Review, changes: &mut Vec<Change>) {
        for feature in &review.banned {
            let is_explained = |change: &Change| change.feature == *feature && change.has_new_ban;
            if changes.iter().any(is_explained) {
                continue;
            }
            changes.retain(|change| change.feature != *feature);
            let crashes = self.suspects[feature].open().count();
            let decision = explain_joint_ban(feature, u32::try_from(crashes).unwrap_or(u32::MAX));
            changes.push(Change {
                feature: *feature,
                decision,
                has_new_ban: true,
            });
        }
        for feature in &review.lifted {
            changes.push(Change {
                feature: *feature,
                decision: explain_lift(feature),
                has_new_ban: true,
            });
        }
    }

    fn count_open_suspects(&mut self) {
        self.open_suspects = self
            .suspects
            .values()
            .filter(|suspect| suspect.is_open())
            .count();
    }

    fn limit_suspects(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let mut by_age: Vec<(Option<Instant>, Feature)> = self
            .suspects
            .iter()
            .map(|(feature, suspect)| (suspect.last_crash(), *feature))
            .collect();
        by_age.sort_unstable();
        // Some more are dropped, so that a flood of suspects is not sorted for each of them.
        let dropped = by_age.len() - MAX_SUSPECTS + MAX_SUSPECTS / 16;
        for (_, feature) in &by_age[..dropped] {
            self.suspects.remove(feature);
        }
        self.count_open_suspects();
    }
}

fn subject(feature: &Feature) -> Subject {
    Subject::Request(feature.name())
}

fn explain_suspicion(feature: &Feature, crash: &Crash, crashes: u32) -> Decision {
    Decision::new(
        subject(feature),
        "it was in flight when a server crashed",
        "runs alone until it is cleared or convicted",
    )
    .with_subject(Subject::Group(crash.server.clone()))
    .with_input("crashes it was in flight at", crashes)
    .with_alternative("refuse it", "others were in flight as well")
    .with_alternative("run it as before", "it could crash the next server too")
}

fn explain_joint_suspicion(feature: &Feature) -> Decision {
    let cause = "it was in flight when a server crashed, as another node saw";
    Decision::new(
        subject(feature),
        cause,
        "kept apart from other suspects until it is cleared or banned",
    )
}

fn explain_joint_crash(feature: &Feature) -> Decision {
    let cause = "it was in flight when another server crashed, as another node saw";
    Decision::new(
        subject(feature),
        cause,
        "kept apart until it is cleared or banned",
    )
}

fn explain_joint_clearance(feature: &Feature) -> Decision {
    let cause = "a server began to answer it at another node";
    Decision::new(subject(feature), cause, "cleared")
}

fn explain_joint_ban(feature: &Feature, crashes: u32) -> Decision {
    Decision::new(
        subject(feature),
        "servers crashed on it at several nodes",
        format_compact!("refused for {BAN_DURATION}"),
    )
    .with_input("crashes it was in flight at", crashes)
    .with_alternative("run it once more", "it would cost another server")
}

fn explain_lift(feature: &Feature) -> Decision {
    Decision::new(
        subject(feature),
        "it is cleared of crashes, or another banned feature was in flight at all of them",
        "its ban is lifted",
    )
    .with_alternative("refuse it further", "its requests may be sound")
}

fn explain_adopted_ban(ban: &Ban) -> Decision {
    if ban.is_lifted {
        let cause = "another node found it sound";
        return Decision::new(subject(&ban.feature), cause, "its ban is lifted");
    }
    let cause = "another node saw a server crash on it";
    let taken = format_compact!("refused for {}", ban.remaining);
    Decision::new(subject(&ban.feature), cause, taken)
}

fn explain_ban(feature: &Feature, crash: &Crash, crashes: u32) -> Decision {
    Decision::new(
        subject(feature),
        "a server crashed on it",
        format_compact!("refused for {BAN_DURATION}"),
    )
    .with_subject(Subject::Group(crash.server.clone()))
    .with_input("ran alone", crash.alone)
    .with_input("crashes it was in flight at", crashes)
    .with_alternative("run it once more", "it would cost another server")
}
