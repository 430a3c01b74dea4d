//! Decides for one request to which target it is sent next, and whether it is sent again.

use std::rc::Rc;

use compact_str::{CompactString, format_compact};
use jackdaw_core::config::{Engine, Index, Model};
use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::refusal::Reason;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_entry::in_flight;
use jackdaw_policy::admission::{self, Latency};
use jackdaw_policy::balance::{self, Load};
use jackdaw_policy::continuation::Position;
use jackdaw_policy::fleet::Target;
use jackdaw_policy::pause;
use jackdaw_policy::poison::{self, Admission, Crash, Suspicion};
use jackdaw_policy::reach;
use jackdaw_policy::retry::{self, Budget, Cause, ExchangeFailure, Failure, Fault, Run, Verdict};
use jackdaw_policy::throttle::TeamId;
use slog::info;

use crate::attempt::{Attempt, Piece, Plan};
use crate::buffered::BufferedAnswer;
use crate::call::Call;
use crate::event::Event;
use crate::limits::Permission;
use crate::node::Node;
use crate::poison::Trial;
use crate::refusal::Refusal;
use crate::targets::{Candidate, Key, Targets};

/// Time without any event from a replica group after which its streams are resumed at another
/// group; several times the longest forward pass.
const GROUP_STALL_TIMEOUT: Millis = Millis(700);
/// Shortest time that is allowed for a first event, also at a stalled group; the prefill of a
/// prompt takes one or two forward passes.
const MIN_FIRST_EVENT_TIMEOUT: Millis = Millis(300);
/// Multiple of the route's latency objective after which the request is sent to another server.
const OBJECTIVES_PER_ATTEMPT: u64 = 2;
/// Shortest time that is allowed for an answer.
const MIN_ANSWER_TIMEOUT: Millis = Millis(250);
/// Time after which a stream without a first event is moved to another group, even though its group
/// makes progress.
const FIRST_EVENT_TIMEOUT: Millis = Millis(2_000);
/// Time after which a stream without a next event is moved to another group, even though its group
/// makes progress.
const NEXT_EVENT_TIMEOUT: Millis = Millis(1_200);
/// Delay after which a caller is asked to retry if no group serves the model.
const NO_GROUP_RETRY_AFTER: Millis = Millis(1_000);
/// Delay after which a caller is asked to retry if the servers are overloaded.
const OVERLOADED_RETRY_AFTER: Millis = Millis(500);
/// Delay after which a caller is asked to retry if no server can be spared for a request under which
/// others ended; servers that ended are back after some seconds.
const SPARED_RETRY_AFTER: Millis = Millis(2_000);
/// Longest time after its arrival for which a request is held because others with the same suspected
/// part come first.
const MAX_HOLD: Millis = Millis(3_000);
/// Largest number of servers that are asked for one attempt.
const MAX_ASKED: u32 = 4;
/// Time after a grant within which the request is sent; a limit is kept only if requests arrive soon
/// after they are granted.
const GRANT_LIFETIME: Millis = Millis(10);
/// Divisor of the time left until the deadline; a request whose first event is expected to take
/// more than the quotient is rejected.
const FIRST_EVENT_DEADLINE_DIVISOR: f64 = 2.0;

/// Time-outs of an attempt.
#[derive(Clone, Copy, Debug)]
struct Timeouts {
    /// Longest time without a response to this request.
    request: Millis,
    /// Longest time without progress of the whole group.
    group: Millis,
    /// Shortest time for this request, even if the group makes no progress.
    minimum: Millis,
}

/// Reason why no attempt begins now.
#[derive(Clone, Debug)]
pub(crate) enum Obstacle {
    /// No attempt is allowed.
    Refused(Refusal),
    /// An attempt may be allowed soon; the refusal is for a request that does not wait.
    Held(Refusal),
    /// The target's server names a limit, and it has to be asked whether it may get the request.
    Unasked(Candidate),
}

impl From<Refusal> for Obstacle {
    fn from(refusal: Refusal) -> Self {
        Obstacle::Refused(refusal)
    }
}

/// The state of one request over all its attempts.
pub(crate) struct Dispatch {
    pub(crate) node: Rc<Node>,
    pub(crate) call: Rc<Call>,
    key: in_flight::Key,
    index: Rc<Index>,
    request: retry::Request,
    budget: Rc<Budget>,
    /// What the caller has of a stream.
    position: Position,
    /// A server's error answer, delivered if no other server succeeds.
    pub(crate) fallback: Option<BufferedAnswer>,
    reconnect_key: Option<Key>,
    /// Number of targets that were considered for the attempt in progress.
    candidate_count: usize,
    /// Number of attempts that failed or whose server fell silent.
    failures: u32,
    /// Whether a server has begun to answer the request.
    is_cleared: bool,
    /// Target to which the next attempt was granted, as its server names a limit, and the time of that.
    granted: Option<(Key, Instant)>,
    /// Number of servers that were asked for since the last attempt began.
    asked: u32,
    /// Whether a server fell silent in an attempt, which speaks against the request until one answers.
    has_met_silence: bool,
}

impl Dispatch {
    pub(crate) fn new(node: Rc<Node>, index: Rc<Index>, call: Call, key: in_flight::Key) -> Self {
        let budget = node.retry_budget(&call.service);
        budget.deposit();
        let repeatable = call.route.kind.is_repeatable();
        Dispatch {
            request: retry::Request::new(repeatable, call.deadline)
                .with_limit(call.route.max_attempts),
            position: Position::new(call.head.last_event),
            node,
            call: Rc::new(call),
            key,
            index,
            budget,
            fallback: None,
            reconnect_key: None,
            candidate_count: 0,
            failures: 0,
            is_cleared: false,
            granted: None,
            asked: 0,
            has_met_silence: false,
        }
    }

    /// Changes the request's entry in the registry of requests in flight.
    pub(crate) fn track(&self, change: impl FnOnce(&mut in_flight::Request)) {
        self.node.in_flight.registry.update(self.key, change);
    }

    /// Begins an attempt at the next target.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no attempt is allowed or no target is available.
    pub(crate) fn begin(&mut self) -> Result<Attempt, Obstacle> {
        self.check_reach()?;
        let suspicion = self.check_poison()?;
        let granted = self.take_granted();
        let candidate = self.choose_target(granted, suspicion)?;
        let is_granted = granted == Some(candidate.key);
        if !is_granted && self.permission(&candidate.target) != Permission::Unlimited {
            return Err(Obstacle::Unasked(candidate));
        }
        let Candidate { key, target } = candidate;
        self.asked = 0;
        let is_once = !self.call.route.kind.is_repeatable();
        let plan = Plan {
            request: self.key,
            key,
            suspicion,
            // The server may close an idle connection just as a request is sent, and an unsolicited
            // late answer may be buffered on it. A request that runs at most once could not be sent
            // again.
            needs_new_connection: is_once || self.has_tried(&target),
            last_event: self.last_delivered(),
            source: self.position.begin(),
            is_repetition: self.failures > 0,
        };
        self.track(|tracked| {
            tracked.server = target.server.clone();
            tracked.group = target.group.clone();
        });
        let trial = suspicion.map(|_| Trial::begin(&self.node, &self.call.features()));
        Ok(Attempt::begin(&self.node, &self.call, target, plan, trial))
    }

    /// Rejects a new request if servers refuse this node and no other node reaches them.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request is rejected.
    fn check_reach(&self) -> Result<(), Refusal> {
        let node = &self.node;
        let is_refused = node.reach.borrow().is_refused(node.now());
        if !is_refused || !node.relays().is_empty() || self.is_partially_answered() {
            return Ok(());
        }
        let detail = "no node reaches a server".to_owned();
        Err(self.refuse(Reason::NoServer, NO_GROUP_RETRY_AFTER, detail))
    }

    /// Records what a failed attempt, or a silent server, says of the links to servers.
    fn record_link_failure(&self, fault: Fault, attempt: &Attempt) {
        let failure = match fault {
            Fault::Unreachable => reach::Failure::Refused,
            Fault::Closed | Fault::Reset => reach::Failure::Closed,
            Fault::Silent => reach::Failure::Silent,
            Fault::Deadline
            | Fault::Invalid
            | Fault::Refused
            | Fault::Paused
            | Fault::Withdrawn => return,
        };
        let Some(link) = attempt.direct_link() else {
            // A connection that ends before its first request may be the other node's doing.
            if fault == Fault::Unreachable
                && let Some(machine) = attempt.new_relay()
            {
                self.node.record_relay_failure(machine);
            }
            return;
        };
        let server = &attempt.target.server;
        if attempt.head().is_some() {
            // What an answer's connection does later says nothing of new ones.
            let link = reach::Link::Used;
            self.node.record_direct_failure(server, link, failure);
            return;
        }
        // A server may close an idle connection just as a request is sent.
        let is_idle_close = link == reach::Link::Used && is_broken(fault);
        if !is_idle_close {
            self.node.record_direct_failure(server, link, failure);
        }
    }

    /// Asks whether a target's server, which names a limit, may get the request.
    pub(crate) async fn ask(&mut self, candidate: &Candidate) {
        self.asked += 1;
        let asked = self
            .node
            .ask_permission(&candidate.target, self.team(), self.urgency());
        let is_granted = asked.await;
        self.granted = is_granted.then(|| (candidate.key, self.node.now()));
    }

    /// Takes the target to which the next attempt was granted, if that was just now.
    fn take_granted(&mut self) -> Option<Key> {
        let (key, at) = self.granted.take()?;
        (self.node.now().since(at) <= GRANT_LIFETIME).then_some(key)
    }

    /// Returns whether a target's server may get the request by the limit that it names.
    fn permission(&self, target: &Target) -> Permission {
        let limits = &self.node.limits;
        // Few servers ever name a limit or are cold, so the team is identified only if one is.
        if limits.is_empty() {
            return Permission::Unlimited;
        }
        let now = self.node.now();
        limits.permission(target, self.team(), self.urgency(), now)
    }

    fn team(&self) -> TeamId {
        TeamId::new(self.call.team.as_deref().unwrap_or_default())
    }

    /// Returns the priority among the requests to servers with limits; streams under way go first.
    fn urgency(&self) -> u8 {
        if self.is_partially_answered() {
            return 0;
        }
        self.call.priority.unwrap_or_default()
    }

    /// Removes the targets whose servers have reached their limits.
    ///
    /// # Errors
    ///
    /// Returns a refusal if none is left.
    fn keep_unexhausted(&self, mut candidates: Vec<Candidate>) -> Result<Vec<Candidate>, Refusal> {
        let mut shortest: Option<Millis> = None;
        candidates.retain(|candidate| match self.permission(&candidate.target) {
            Permission::Unlimited => true,
            Permission::Needed => self.asked < MAX_ASKED,
            Permission::Refused(left) => {
                shortest = Some(shortest.map_or(left, |shortest| shortest.min(left)));
                false
            }
        });
        if !candidates.is_empty() {
            return Ok(candidates);
        }
        // Callers that were refused together do not return together.
        let left = shortest.unwrap_or(OVERLOADED_RETRY_AFTER).0;
        let retry_after = Millis(left + fastrand::u64(..=left));
        let detail = "all servers that can take the request have reached their limits";
        Err(self.refuse(Reason::ServerLimit, retry_after, detail.to_owned()))
    }

    /// Looks up whether the request ends servers, and returns the suspicion if there is one. A request
    /// that a server has begun to answer does not.
    ///
    /// # Errors
    ///
    /// Returns an obstacle if it does, or if others with the same suspected features come first.
    fn check_poison(&self) -> Result<Option<Suspicion>, Obstacle> {
        let poison = &self.node.poison;
        if poison.is_empty() || self.is_cleared {
            return Ok(None);
        }
        let features = self.call.features();
        match poison.admit(&features, self.node.now()) {
            Admission::Run => Ok(None),
            Admission::Try => Ok(poison.suspicion(&features)),
            Admission::Wait(pause) => {
                let detail = "requests with the same suspected part come first".to_owned();
                let refusal = self.refuse(Reason::Poison, pause, detail);
                let held_until = self.call.arrived + MAX_HOLD;
                if self.node.now() >= held_until {
                    return Err(Obstacle::Refused(refusal));
                }
                Err(Obstacle::Held(refusal))
            }
            Admission::Refuse(remaining) => {
                let detail = "servers ended under the same request, or a part of it".to_owned();
                Err(self.refuse(Reason::Poison, remaining, detail).into())
            }
        }
    }

    /// Records an event of an attempt's server.
    fn record_event(&mut self, attempt: &mut Attempt) {
        if attempt.exposure.record_event() {
            self.record_survival(attempt);
        }
    }

    /// Records that an attempt's server survived the request.
    fn record_survival(&mut self, attempt: &mut Attempt) {
        self.is_cleared = true;
        attempt.end_trial();
        // A request that is no suspect itself may clear the parts that it shares with others.
        let may_clear = !self.node.poison.is_empty() || self.failures > 0 || self.has_met_silence;
        if may_clear && attempt.exposure.record_survival() {
            self.node
                .record_survival(&self.call.head.id, &self.call.features());
        }
    }

    /// Returns a part of an answer if it brings the caller something new.
    ///
    /// `is_last` states that no other attempt is in progress.
    ///
    /// # Errors
    ///
    /// Returns the failure that ends the attempt if the part is not usable.
    pub(crate) fn examine(
        &mut self,
        piece: Piece,
        attempt: &mut Attempt,
        is_last: bool,
    ) -> Result<Option<Piece>, ExchangeFailure> {
        match piece {
            Piece::Event(event) => {
                self.record_event(attempt);
                let is_new = self.accept_event(&event, attempt)?;
                Ok(is_new.then_some(Piece::Event(event)))
            }
            Piece::End => {
                self.record_survival(attempt);
                let checked = self.position.check_end(&attempt.source, attempt.framing());
                checked.map_err(ExchangeFailure::invalid)?;
                Ok(Some(Piece::End))
            }
            Piece::Answer(buffered) => {
                self.record_survival(attempt);
                let status = buffered.status;
                if self.is_partially_answered() {
                    let detail = format!("status {status} in place of a stream");
                    return Err(ExchangeFailure::invalid(detail));
                }
                let can_improve = !is_last || self.can_fail_over(attempt);
                if buffered.is_retryable() && can_improve {
                    self.fallback = Some(buffered);
                    let detail = format!("the server answered with status {status}");
                    return Err(ExchangeFailure::invalid(detail));
                }
                Ok(Some(Piece::Answer(buffered)))
            }
        }
    }

    /// Returns whether an event is to be passed on to the caller, and records it as delivered.
    ///
    /// # Errors
    ///
    /// Returns a failure if the event does not follow what the caller has.
    fn accept_event(
        &mut self,
        event: &Event,
        attempt: &mut Attempt,
    ) -> Result<bool, ExchangeFailure> {
        let accepted = self.position.accept(&mut attempt.source, event.label);
        let is_new = accepted.map_err(ExchangeFailure::invalid)?;
        if is_new {
            self.request.mark_partially_answered();
        }
        if !self.position.can_be_continued() {
            self.request.mark_final();
        }
        Ok(is_new)
    }

    /// Records a failed attempt as a crash if its server has ended under the request.
    ///
    /// A closed connection alone says nothing of its server: the link may have been lost.
    async fn record_crash(&self, fault: Fault, step: Step, attempt: &Attempt) {
        if attempt.exposure.is_settled() {
            return;
        }
        let crash = || describe_crash(attempt);
        let id = &self.call.head.id;
        match fault {
            Fault::Closed | Fault::Reset => {
                if self.node.has_server_ended(&attempt.target).await {
                    let features = self.call.features();
                    self.node.record_crash(id, &crash(), &features);
                }
            }
            Fault::Silent | Fault::Deadline if step >= Step::Written => {
                self.remember_silence(attempt);
            }
            Fault::Silent
            | Fault::Deadline
            | Fault::Unreachable
            | Fault::Invalid
            | Fault::Refused
            | Fault::Paused
            | Fault::Withdrawn => {}
        }
    }

    /// Remembers that a server fell silent under the request, which is a crash if it has ended.
    fn remember_silence(&self, attempt: &Attempt) {
        if attempt.exposure.is_settled() || attempt.step() < Step::Written {
            return;
        }
        let features = self.call.features();
        let address = attempt.target.address;
        let id = &self.call.head.id;
        let crash = describe_crash(attempt);
        self.node.record_silence(id, crash, &features, address);
    }

    /// Returns what is known of the work of a failed attempt's server on the request.
    async fn assess_run(&self, error: &ExchangeFailure, attempt: &Attempt) -> Run {
        let has_part = self.last_delivered() > self.call.head.last_event;
        if error.fault == Fault::Refused && has_part {
            return Run::Declined;
        }
        let is_broken_off = is_broken(error.fault) && attempt.exposure.is_settled();
        if is_broken_off && self.node.is_end_shown(&attempt.target).await {
            return Run::Ended;
        }
        Run::Possible
    }

    /// Returns the target for the next attempt; `granted` is the one to which it was granted, if it was.
    ///
    /// Targets that were named before a wait are checked again, since the fleet and the configuration may
    /// have changed meanwhile.
    fn choose_target(
        &mut self,
        granted: Option<Key>,
        suspicion: Option<Suspicion>,
    ) -> Result<Candidate, Refusal> {
        let named = granted.or_else(|| self.reconnect_key.take());
        if let Some(candidate) = named.and_then(|key| self.usable_target(key)) {
            return Ok(candidate);
        }
        let now = self.node.now();
        let candidates = self.keep_apart(self.candidates(), suspicion);
        self.candidate_count = candidates.len();
        if candidates.is_empty() {
            let refusal = self.refusal_in_evacuation();
            if let Some(refusal) = refusal.or_else(|| self.refusal_in_pause()) {
                return Err(refusal);
            }
            let detail = match &self.call.head.model {
                Some(model) => format!("no replica group of model {model} can take the request"),
                None => format!("no server of {} can take the request", self.call.service),
            };
            return Err(self.refuse(Reason::NoServer, NO_GROUP_RETRY_AFTER, detail));
        }
        let candidates = self.keep_unexhausted(candidates)?;
        let (mut candidates, loads): (Vec<Candidate>, Vec<Load>) = {
            let targets = self.node.targets.borrow();
            let zone = &self.node.options.zone;
            let candidates = candidates.into_iter();
            let with_loads = candidates.filter_map(|candidate| {
                let load = targets.load(candidate.key, zone, now)?;
                Some((candidate, load))
            });
            with_loads.unzip()
        };
        let sound = loads.iter().filter(|load| !load.suspect).count();
        if suspicion.is_some_and(|suspicion| !suspicion.may_run(sound, now)) {
            let detail = "servers ended under the same request, and no other can be spared";
            return Err(self.refuse(Reason::Poison, SPARED_RETRY_AFTER, detail.to_owned()));
        }
        let costs = self.costs(&loads)?;
        let mut random = fastrand::f64;
        let Some(idx) = balance::choose(&costs, &mut random) else {
            let detail = "no candidate".to_owned();
            return Err(self.refuse(Reason::NoServer, NO_GROUP_RETRY_AFTER, detail));
        };
        self.check_stop(&loads[idx])?;
        Ok(candidates.swap_remove(idx))
    }

    /// Returns the target with a key, if it still serves the request's service and model and its server
    /// wants requests.
    fn usable_target(&self, key: Key) -> Option<Candidate> {
        let targets = self.node.targets.borrow();
        let mut serving = self.serving(&targets);
        let found = serving.find(|candidate| candidate.key == key)?;
        self.wants_requests(&found.target).then(|| found.clone())
    }

    /// Returns the targets that may get the request now, those first that have not got it yet.
    fn candidates(&self) -> Vec<Candidate> {
        let targets = self.node.targets.borrow();
        let eligible = self.eligible(&targets, None).cloned();
        let (untried, tried): (Vec<_>, Vec<_>) =
            eligible.partition(|candidate| !self.has_tried(&candidate.target));
        if untried.is_empty() { tried } else { untried }
    }

    fn has_tried(&self, target: &Target) -> bool {
        // Most requests are sent once, so names are made only for the others.
        !self.request.tried().is_empty() && !self.request.can_try(&incarnation_name(target))
    }

    /// Removes the targets where a suspect is in flight from which the request is to be kept apart,
    /// unless none is left.
    fn keep_apart(
        &self,
        candidates: Vec<Candidate>,
        suspicion: Option<Suspicion>,
    ) -> Vec<Candidate> {
        let targets = self.node.targets.borrow();
        let own_crashes = suspicion.map_or(0, |suspicion| suspicion.crashes);
        let is_apart = |candidate: &&Candidate| {
            !poison::is_kept_apart(own_crashes, targets.suspect_crashes(candidate.key))
        };
        let apart: Vec<Candidate> = candidates.iter().filter(is_apart).cloned().collect();
        if apart.is_empty() { candidates } else { apart }
    }

    /// Returns whether a target's server is in an evacuated zone.
    fn is_evacuated(&self, target: &Target) -> bool {
        self.node.evacuations.is_evacuated(&target.zone)
    }

    /// Returns whether a target's server is outside evacuated zones and has asked for no pause.
    fn wants_requests(&self, target: &Target) -> bool {
        !self.is_evacuated(target) && self.node.pause_left(target).is_none()
    }

    /// Returns the refusal of a request if all servers that could serve it are in evacuated zones.
    fn refusal_in_evacuation(&self) -> Option<Refusal> {
        let targets = self.node.targets.borrow();
        let mut serving = self.serving(&targets).peekable();
        serving.peek()?;
        if !serving.all(|candidate| self.is_evacuated(&candidate.target)) {
            return None;
        }
        let retry_after = self.node.evacuations.count_refusal();
        let detail = "all servers that can take the request are in evacuated zones".to_owned();
        Some(self.refuse(Reason::NoServer, retry_after, detail))
    }

    /// Returns the refusal of a request if all servers that could serve it want no requests now.
    fn refusal_in_pause(&self) -> Option<Refusal> {
        let targets = self.node.targets.borrow();
        let serving = self.serving(&targets).map(|candidate| &candidate.target);
        let pauses: Option<Vec<Millis>> = serving
            .filter(|target| !self.is_evacuated(target))
            .map(|target| self.node.pause_left(target))
            .collect();
        let shortest = pauses?.into_iter().min()?;
        let retry_after = pause::retry_after(shortest, fastrand::f64());
        let detail = "all servers that can take the request have asked for a pause".to_owned();
        Some(self.refuse(Reason::ServerPause, retry_after, detail))
    }

    /// Returns the targets that serve the request's model.
    fn serving<'a>(&'a self, targets: &'a Targets) -> impl Iterator<Item = &'a Candidate> {
        let service = self.index.service(&self.call.service);
        let has_engine = service.is_some_and(|service| service.engine.is_some());
        let serving = targets.serving(&self.call.service).iter();
        serving
            .filter(move |candidate| !has_engine || candidate.target.model == self.call.head.model)
    }

    /// Returns the targets that serve the request's model, want requests and may get this one while an attempt
    /// at `current`, if there is one, is in progress.
    fn eligible<'a>(
        &'a self,
        targets: &'a Targets,
        current: Option<&'a str>,
    ) -> impl Iterator<Item = &'a Candidate> {
        let is_first = current.is_none() && self.request.tried().is_empty();
        self.serving(targets).filter(move |candidate| {
            let target = &candidate.target;
            let is_allowed = is_first || self.request.allows(&incarnation_name(target), current);
            is_allowed && self.wants_requests(target)
        })
    }

    /// Returns the cost of each candidate.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no candidate is expected to answer in time or admission control rejects
    /// the request.
    fn costs(&self, loads: &[Load]) -> Result<Vec<f64>, Refusal> {
        let Some((engine, model)) = self.engine() else {
            let suspect_penalty = |load: &Load| if load.suspect { 1_000.0 } else { 0.0 };
            return Ok(loads
                .iter()
                .map(|load| 1.0 + f64::from(load.own) + suspect_penalty(load))
                .collect());
        };
        let demand = self.call.demand();
        let first_event = |load: &Load| balance::estimate(engine, model, load, demand).first_event;
        let first_events: Vec<f64> = loads.iter().map(first_event).collect();
        let soonest = first_events.iter().copied().fold(f64::INFINITY, f64::min);
        let left = self.call.deadline.since(self.node.now());
        if self.last_delivered().is_none() && soonest > left.0 as f64 / FIRST_EVENT_DEADLINE_DIVISOR
        {
            let detail = format!("the first event would take {soonest:.0} ms of {left}");
            return Err(self.refuse(Reason::Overloaded, OVERLOADED_RETRY_AFTER, detail));
        }
        let healthy: Vec<f64> = first_events
            .into_iter()
            .zip(loads)
            .filter(|(_, load)| !load.suspect)
            .map(|(first_event, _)| first_event)
            .collect();
        if self.failures == 0 && self.last_delivered().is_none() && !healthy.is_empty() {
            let latency = Latency {
                expected: healthy.iter().sum::<f64>() / healthy.len() as f64,
                minimum: first_event(&Load::default()),
                objective: self.call.route.objective.0 as f64,
            };
            self.check_admission(&latency, left)?;
        }
        Ok(loads
            .iter()
            .map(|load| balance::cost(engine, model, load, demand))
            .collect())
    }

    /// Returns the engine of the request's service and the model, if the service has an engine.
    fn engine(&self) -> Option<(&Engine, &Model)> {
        let service = self.index.service(&self.call.service)?;
        let engine = service.engine.as_ref()?;
        let model = engine.model(self.call.head.model.as_deref()?)?;
        Some((engine, model))
    }

    /// Rejects a request that has not run and that a stopping node cannot finish before it ends.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request is rejected.
    fn check_stop(&self, load: &Load) -> Result<(), Refusal> {
        let Some(shutdown) = self.node.shutdown() else {
            return Ok(());
        };
        let has_run = self.furthest().outcome() != Outcome::NotRun;
        if has_run || self.is_partially_answered() {
            return Ok(());
        }
        let estimate_ms = self.engine().map(|(engine, model)| {
            let estimate = balance::estimate(engine, model, load, self.call.demand());
            estimate.last_event(engine, self.call.head.max_output)
        });
        let (now, deadline) = (self.node.now(), self.call.deadline);
        let can_send = match self.failures {
            0 => shutdown.can_finish(now, deadline, estimate_ms),
            _ => shutdown.can_answer(now, deadline, estimate_ms),
        };
        if can_send {
            return Ok(());
        }
        let detail = "the node is stopping and ends before the answer would".to_owned();
        Err(self.refuse(Reason::NotReady, Millis(0), detail))
    }

    /// Returns the time at which the request is given up.
    pub(crate) fn due(&self) -> Instant {
        self.call.due(&self.node)
    }

    /// Returns whether the request is to be given up.
    pub(crate) fn is_due(&self) -> bool {
        self.node.now() >= self.due()
    }

    /// Returns whether the caller has a part of the answer.
    pub(crate) fn is_partially_answered(&self) -> bool {
        self.request.is_partially_answered()
    }

    /// Returns the number of the last event that the caller has received.
    pub(crate) fn last_delivered(&self) -> Option<u64> {
        self.position.last()
    }

    /// Returns the furthest step that any attempt reached.
    pub(crate) fn furthest(&self) -> Step {
        self.request.furthest()
    }

    /// Rejects the request with a probability that grows with the expected latency.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request is rejected.
    fn check_admission(&self, latency: &Latency, left: Millis) -> Result<(), Refusal> {
        if fastrand::f64() >= admission::rejection_probability(latency) {
            return Ok(());
        }
        let retry_after = admission::retry_after(left, fastrand::f64());
        let detail = format!(
            "the first event would take {:.0} ms, the objective is {:.0} ms",
            latency.expected, latency.objective
        );
        Err(self.refuse(Reason::Overloaded, retry_after, detail))
    }

    /// Creates a refusal that states whether the request may have run in an earlier attempt.
    fn refuse(&self, reason: Reason, retry_after: Millis, detail: String) -> Refusal {
        if self.request.furthest().outcome() == Outcome::NotRun {
            Refusal::not_run(reason, detail).with_retry_after(retry_after)
        } else {
            Refusal::unknown(reason, detail)
        }
    }

    /// Returns whether the request may be sent to another server than that of an attempt in progress, and one
    /// is available.
    pub(crate) fn can_fail_over(&self, attempt: &Attempt) -> bool {
        self.call.route.kind.is_repeatable()
            && self.request.can_send_again(attempt.incarnation())
            && self.budget.remaining() > 0
            && self.has_target_beside(attempt)
    }

    /// Returns whether another server may get the request beside that of an attempt in progress.
    fn has_target_beside(&self, attempt: &Attempt) -> bool {
        self.has_other_target(attempt.key(), Some(attempt.incarnation()))
    }

    /// Returns whether another server than the one with a key may get the request, while an attempt at `current`,
    /// if there is one, is in progress.
    fn has_other_target(&self, key: Key, current: Option<&str>) -> bool {
        let targets = self.node.targets.borrow();
        let is_exhausted = |target: &Target| {
            let permission = self.permission(target);
            matches!(permission, Permission::Refused(_))
        };
        self.eligible(&targets, current)
            .any(|eligible| eligible.key != key && !is_exhausted(&eligible.target))
    }

    /// Returns the time-outs of an attempt in progress.
    fn timeouts(&self, attempt: &Attempt) -> Timeouts {
        if attempt.head().is_some() {
            return Timeouts {
                request: NEXT_EVENT_TIMEOUT,
                group: GROUP_STALL_TIMEOUT,
                minimum: GROUP_STALL_TIMEOUT,
            };
        }
        if self.call.route.kind.is_stream() {
            return Timeouts {
                request: FIRST_EVENT_TIMEOUT,
                group: GROUP_STALL_TIMEOUT,
                minimum: MIN_FIRST_EVENT_TIMEOUT,
            };
        }
        let span =
            Millis(self.call.route.objective.0 * OBJECTIVES_PER_ATTEMPT).max(MIN_ANSWER_TIMEOUT);
        Timeouts {
            request: span,
            group: span,
            minimum: span,
        }
    }

    /// Returns the time from which an attempt's server counts as silent, or none if the request may
    /// not be sent again.
    pub(crate) fn silent_at(&self, attempt: &Attempt) -> Option<Instant> {
        let is_repeatable =
            self.call.route.kind.is_repeatable() && self.position.can_be_continued();
        let is_final = !is_repeatable || !self.request.can_send_again(attempt.incarnation());
        if is_final || attempt.step() < Step::Written {
            return None;
        }
        let timeouts = self.timeouts(attempt);
        let since = attempt.last_activity();
        let request_due = since + timeouts.request;
        let now = self.node.now();
        let last_progress = self.node.targets.borrow().last_progress(attempt.key(), now);
        Some(match last_progress {
            // A request that was sent to a stalled group gets the minimum time all the same.
            Some(last_progress) => {
                let group_due = (last_progress + timeouts.group).max(since + timeouts.minimum);
                group_due.min(request_due)
            }
            None => request_due,
        })
    }

    /// Logs the completion of a request that had failed attempts; other successes are not logged.
    pub(crate) fn log_answered(&self, status: u16) {
        if self.failures == 0 {
            return;
        }
        info!(self.node.logger(), "request answered";
            "request" => %self.call.head.id,
            "route" => %self.call.route.name,
            "status" => status,
            "failed_attempts" => self.failures,
            "delivered" => self.last_delivered());
    }

    /// Records a failed attempt and returns what follows.
    pub(crate) async fn record_failure(
        &mut self,
        error: &ExchangeFailure,
        attempt: &Attempt,
    ) -> Verdict {
        self.record_link_failure(error.fault, attempt);
        let run = self.assess_run(error, attempt).await;
        let now = self.node.now();
        self.failures += 1;
        let failure = Failure {
            run,
            ..describe_failure(attempt, error.fault, error.step)
        };
        if error.fault == Fault::Unreachable && !self.node.reach.borrow().is_cut() {
            self.avoid(attempt);
        }
        // A retry is not taken for an attempt that cannot be made.
        let is_last = is_rejection(error.fault)
            && !self.is_partially_answered()
            && !self.has_other_target(attempt.key(), None);
        let verdict = match is_last {
            true => self.request.record_last_failure(&failure, now),
            false => self.request.record_failure(&failure, &self.budget, now),
        };
        self.log_failure(error, attempt, Some(verdict)).await;
        self.prepare_retry(verdict, error.fault, attempt);
        verdict
    }

    /// Records that nothing arrives from an attempt's server and returns what follows. Only the first
    /// time in an attempt, and another attempt, are logged.
    pub(crate) fn record_silence(&mut self, attempt: &Attempt, is_new: bool) -> Verdict {
        let now = self.node.now();
        let error = ExchangeFailure::new(Fault::Silent, attempt.step(), "nothing arrives");
        if is_new {
            self.has_met_silence = true;
            self.record_link_failure(Fault::Silent, attempt);
            self.avoid(attempt);
            self.remember_silence(attempt);
        }
        // A retry is not taken for an attempt that would be refused.
        let can_begin = !attempt.is_on_trial()
            && self.check_poison().is_ok()
            && self.has_target_beside(attempt);
        let verdict = if can_begin {
            let failure = describe_failure(attempt, Fault::Silent, attempt.step());
            self.request.record_silence(&failure, &self.budget, now)
        } else {
            Verdict::Wait(Cause::NoServer)
        };
        if matches!(verdict, Verdict::Reconnect | Verdict::Elsewhere) {
            self.failures += 1;
        }
        if is_new || !matches!(verdict, Verdict::Wait(_)) {
            self.log_attempt(&error, attempt, Some(verdict));
        }
        self.prepare_retry(verdict, Fault::Silent, attempt);
        verdict
    }

    /// Takes a retry for a request that waits for one.
    pub(crate) fn retry(&mut self) -> Verdict {
        let now = self.node.now();
        if now >= self.due() {
            return Verdict::GiveUp(Cause::Deadline);
        }
        self.request.retry(&self.budget, now)
    }

    /// Returns the pause before the next attempt, of which up to half is left out at random, so that requests
    /// that failed together are not repeated together.
    pub(crate) fn pause(&self) -> Millis {
        let pause = self.request.pause().0;
        Millis(pause - fastrand::u64(..=pause / 2))
    }

    /// Records that the request goes on with the attempt at a silent server.
    pub(crate) fn return_to_silent(&mut self, abandoned: Option<&str>) {
        match abandoned {
            Some(server) => self.request.abandon(server),
            None => self.request.resume_silent(),
        }
    }

    /// Keeps new requests away from an attempt's target.
    fn avoid(&self, attempt: &Attempt) {
        let now = self.node.now();
        self.node.pool.close_idle(attempt.target.address);
        self.node.targets.borrow_mut().avoid(attempt.key(), now);
    }

    fn prepare_retry(&mut self, verdict: Verdict, fault: Fault, attempt: &Attempt) {
        match verdict {
            Verdict::Reconnect => {
                // A lost connection cannot be told from a stalled server, so the same server is
                // tried again only if no other can take the request.
                if self.candidates().is_empty()
                    && self.node.targets.borrow().is_serving(attempt.key())
                {
                    self.reconnect_key = Some(attempt.key());
                }
                self.node.counters.count_retry(fault, "reconnect");
            }
            Verdict::Elsewhere => self.node.counters.count_retry(fault, "elsewhere"),
            Verdict::Wait(_) | Verdict::GiveUp(_) => {}
        }
    }

    /// Returns the refusal of a request that is given up.
    pub(crate) fn give_up(&self, cause: Cause, error: &ExchangeFailure) -> Refusal {
        if error.fault == Fault::Deadline && self.node.now() < self.call.deadline {
            let detail = format!("the node is stopping: {}", error.detail);
            return self.refuse(Reason::NotReady, Millis(0), detail);
        }
        if is_rejection(error.fault) {
            let refusal = self.refusal_in_evacuation();
            if let Some(refusal) = refusal.or_else(|| self.refusal_in_pause()) {
                return refusal;
            }
        }
        let reason = match cause {
            Cause::Deadline => Reason::Deadline,
            Cause::MayHaveRun | Cause::Budget | Cause::Attempts | Cause::NoServer => {
                error.fault.reason()
            }
        };
        let detail = format!("{}: {}", cause.label(), error.detail);
        self.refuse(reason, OVERLOADED_RETRY_AFTER, detail)
    }

    /// Logs a failed attempt and records what its failure says of the server; an attempt beside
    /// another one has no verdict.
    pub(crate) async fn log_failure(
        &self,
        error: &ExchangeFailure,
        attempt: &Attempt,
        verdict: Option<Verdict>,
    ) {
        self.log_attempt(error, attempt, verdict);
        self.record_crash(error.fault, error.step, attempt).await;
    }

    fn log_attempt(&self, error: &ExchangeFailure, attempt: &Attempt, verdict: Option<Verdict>) {
        let now = self.node.now();
        // Tells whether a server was lost under a request that callers repeat.
        let digest = is_broken(error.fault).then(|| self.call.digest().prefix());
        info!(self.node.logger(), "attempt failed";
            "request" => %self.call.head.id,
            "digest" => digest.as_deref(),
            "route" => %self.call.route.name,
            "server" => %attempt.target.server,
            "group" => %attempt.target.group,
            "fault" => error.fault.label(),
            "step" => %error.step,
            "detail" => &error.detail,
            "new_connection" => attempt.is_new_connection,
            "configuration" => self.index.configuration().version,
            "registrations_age_ms" => self.node.registrations.age(now).0,
            "candidates" => self.candidate_count,
            "delivered" => self.last_delivered(),
            "age_ms" => now.since(self.call.arrived).0,
            "left_ms" => self.due().since(now).0,
            "retries_left" => self.budget.remaining(),
            "verdict" => verdict.map(|verdict| format!("{verdict:?}")));
    }

    /// Logs that a silent server goes on.
    pub(crate) fn log_return(&self, attempt: &Attempt) {
        info!(self.node.logger(), "silent server goes on";
            "request" => %self.call.head.id,
            "route" => %self.call.route.name,
            "server" => %attempt.target.server,
            "group" => %attempt.target.group,
            "step" => %attempt.step(),
            "delivered" => self.last_delivered());
    }
}

/// Returns the name of a target's server that tells its incarnations apart: one that has started again
/// is another server.
pub(crate) fn incarnation_name(target: &Target) -> CompactString {
    format_compact!("{}@{}", target.server, target.born)
}

/// Returns whether a fault says that a server did not get the request, or refused it, by what is known of
/// the server.
fn is_rejection(fault: Fault) -> bool {
    matches!(fault, Fault::Refused | Fault::Paused | Fault::Withdrawn)
}

/// Returns whether a connection has ended before its answer.
fn is_broken(fault: Fault) -> bool {
    matches!(fault, Fault::Closed | Fault::Reset)
}

fn describe_crash(attempt: &Attempt) -> Crash {
    Crash {
        server: attempt.target.server.clone(),
        incarnation: attempt.target.born,
        // Engines batch the requests of all nodes, so a request is hardly ever alone.
        alone: false,
    }
}

fn describe_failure(attempt: &Attempt, fault: Fault, step: Step) -> Failure {
    Failure {
        server: attempt.incarnation().clone(),
        step,
        fault,
        connection: attempt.connection(),
        run: Run::Possible,
    }
}
