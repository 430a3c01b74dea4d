//! Sends a request to the target with the lowest cost and retries it at others if that fails.

use std::cell::OnceCell;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use futures::future::{Either, select};
use http::header::CONTENT_ENCODING;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use jackdaw_core::config::{Engine, Index, Model, Route};
use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::protocol::{Answer, Forwarding, Head};
use jackdaw_core::refusal::Reason;
use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_core::units::Millis;
use jackdaw_entry::in_flight;
use jackdaw_link::connection::{self, Connection};
use jackdaw_policy::admission::{self, Latency};
use jackdaw_policy::balance::{self, Demand, Load};
use jackdaw_policy::fleet::Target;
use jackdaw_policy::poison::{self, Crash};
use jackdaw_policy::retry::{self, Budget, Cause, ExchangeFailure, Failure, Fault, Verdict};
use slog::info;
use tokio::time;

use crate::buffered::BufferedAnswer;
use crate::exposure::Exposure;
use crate::node::Node;
use crate::refusal::Refusal;
use crate::targets::{Key, Reservation, Targets};

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
/// Percentage of the connections accepted by a server that all nodes together keep idle.
const IDLE_CONNECTIONS_PERCENT: usize = 40;
/// Time for which a target that was full gets new requests only if no other can take them; some of
/// its requests end within that time.
const FULL_AVOIDANCE_TIME: Millis = Millis(400);
/// Delay after which a caller is asked to retry if no server can be spared for a request under which
/// others ended; servers that ended are back after some seconds.
const SPARED_RETRY_AFTER: Millis = Millis(2_000);
/// Shortest wait between two looks at the time.
const MIN_WAIT: Millis = Millis(10);
/// Time to read what has arrived before a wait is given up.
const READ_TIME: Duration = Duration::from_millis(20);
/// Divisor of the time left until the deadline; a request whose first event is expected to take
/// more than the quotient is rejected.
const FIRST_EVENT_DEADLINE_DIVISOR: f64 = 2.0;

/// An admitted request.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) head: Head,
    pub(crate) route: Route,
    pub(crate) service: CompactString,
    pub(crate) team: Option<CompactString>,
    pub(crate) priority: Option<u8>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) digest: OnceCell<Digest>,
    /// Time at which the request arrived.
    pub(crate) arrived: Instant,
    /// Time by which the caller must have an answer.
    pub(crate) deadline: Instant,
    /// Deadline from which the remaining time sent to servers is computed.
    pub(crate) caller_deadline: Instant,
}

impl Call {
    /// Returns the digest by which repetitions of the request are recognized. It is computed only
    /// when it is needed first, since few requests need it.
    pub(crate) fn digest(&self) -> Digest {
        *self.digest.get_or_init(|| {
            let caller = self.team.as_deref().unwrap_or_default();
            let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
            Digest::of_request(self.method.as_str(), caller, path, &self.body)
        })
    }
}

/// Converts a connection's fault to a failed exchange.
fn connection_failure(fault: connection::Fault) -> ExchangeFailure {
    match fault {
        connection::Fault::NotSent(detail) => {
            ExchangeFailure::new(Fault::Unreachable, Step::Connecting, detail)
        }
        connection::Fault::Unanswered(detail) => {
            ExchangeFailure::new(Fault::Closed, Step::Written, detail)
        }
    }
}

/// An exchange with a server whose answer's head has been received.
pub(crate) struct Exchange {
    pub(crate) reservation: Reservation,
    pub(crate) target: Rc<Target>,
    pub(crate) connection: Connection,
    pub(crate) answer: Response<Incoming>,
    pub(crate) sent: Instant,
}

/// The target and the connection of an attempt, recorded if it fails.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) key: Key,
    pub(crate) target: Rc<Target>,
    pub(crate) is_new_connection: bool,
}

impl Exchange {
    /// Returns the attempt that opened the exchange.
    pub(crate) fn attempt(&self) -> Attempt {
        Attempt {
            key: self.reservation.key,
            target: Rc::clone(&self.target),
            is_new_connection: self.connection.is_new(),
        }
    }
}

/// Time-outs of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timeouts {
    /// Longest time without a response to this request.
    pub(crate) request: Millis,
    /// Longest time without progress of the whole group.
    pub(crate) group: Millis,
    /// Shortest time for this request, even if the group makes no progress.
    pub(crate) minimum: Millis,
}

impl Timeouts {
    /// Only the request's deadline applies.
    const UNLIMITED: Timeouts = Timeouts {
        request: Millis(u64::MAX >> 1),
        group: Millis(u64::MAX >> 1),
        minimum: Millis(0),
    };
}

/// The state of one request over all its attempts.
pub(crate) struct Dispatch {
    pub(crate) node: Rc<Node>,
    pub(crate) call: Call,
    key: in_flight::Key,
    index: Rc<Index>,
    request: retry::Request,
    budget: Rc<Budget>,
    /// Number of the last event that the caller has received.
    pub(crate) last_delivered: Option<u64>,
    /// A server's error answer, delivered if no other server succeeds.
    pub(crate) fallback: Option<BufferedAnswer>,
    reconnect_key: Option<Key>,
    /// Number of targets that were considered for the attempt in progress.
    candidate_count: usize,
    /// Number of failed attempts.
    pub(crate) failures: u32,
    exposure: Exposure,
}

impl Dispatch {
    pub(crate) fn new(node: Rc<Node>, index: Rc<Index>, call: Call, key: in_flight::Key) -> Self {
        let budget = node.retry_budget(&call.service);
        budget.deposit();
        let repeatable = call.route.kind.is_repeatable();
        Dispatch {
            request: retry::Request::new(repeatable, call.deadline)
                .with_limit(call.route.max_attempts),
            last_delivered: call.head.last_event,
            node,
            call,
            key,
            index,
            budget,
            fallback: None,
            reconnect_key: None,
            candidate_count: 0,
            failures: 0,
            exposure: Exposure::default(),
        }
    }

    /// Changes the request's entry in the registry of requests in flight.
    pub(crate) fn track(&self, change: impl FnOnce(&mut in_flight::Request)) {
        self.node.in_flight.registry.update(self.key, change);
    }

    /// Sends the request until a server answers and returns the exchange after the answer's head.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no further attempt is allowed or no server is available.
    pub(crate) async fn open(&mut self) -> Result<Exchange, Refusal> {
        loop {
            self.check_poison()?;
            let key = self.choose_target()?;
            let target = self.node.targets.borrow().target(key);
            let mut attempt = Attempt {
                key,
                target,
                is_new_connection: true,
            };
            match self.send(&mut attempt).await {
                Ok(exchange) => return Ok(exchange),
                Err(error) => self.record_failure(&error, &attempt).await?,
            }
        }
    }

    /// Looks up whether the request ends servers.
    ///
    /// # Errors
    ///
    /// Returns a refusal if it does.
    fn check_poison(&mut self) -> Result<(), Refusal> {
        self.exposure = Exposure::default();
        if self.node.poison.is_empty() {
            return Ok(());
        }
        let digest = self.call.digest();
        match self.node.poison.verdict(&digest, self.node.now()) {
            poison::Verdict::Clear => Ok(()),
            poison::Verdict::Suspect => {
                self.exposure = Exposure::begin(self.node.poison.suspicion(&digest));
                Ok(())
            }
            poison::Verdict::Banned(remaining) => {
                let detail = "servers ended under the same request".to_owned();
                Err(self.refuse(Reason::Poison, remaining, detail))
            }
        }
    }

    /// Records an event of the server.
    pub(crate) fn record_event(&mut self) {
        if self.exposure.record_event() {
            self.record_survival();
        }
    }

    /// Records that the server survived the request.
    pub(crate) fn record_survival(&mut self) {
        let may_be_suspect = self.exposure.suspicion().is_some() || self.failures > 0;
        if may_be_suspect && self.exposure.record_survival() {
            let digest = self.call.digest();
            self.node.record_survival(&self.call.head.id, &digest);
        }
    }

    /// Records a failed attempt as a crash if its server may have ended under the request.
    fn record_crash(&self, error: &ExchangeFailure, attempt: &Attempt) {
        if self.exposure.is_settled() {
            return;
        }
        let crash = |digest| Crash {
            digest,
            server: attempt.target.server.clone(),
            incarnation: attempt.target.born,
            // Engines batch the requests of all nodes, so a request is hardly ever alone.
            alone: false,
        };
        let id = &self.call.head.id;
        match error.fault {
            Fault::Closed => self.node.record_crash(id, &crash(self.call.digest())),
            Fault::Silent | Fault::Deadline if error.step >= Step::Written => {
                let crash = crash(self.call.digest());
                self.node.record_silence(id, crash, attempt.target.address);
            }
            Fault::Silent
            | Fault::Deadline
            | Fault::Unreachable
            | Fault::Invalid
            | Fault::Refused => {}
        }
    }

    /// Returns whether a server did not run what is left of a stream of which the caller has a part.
    fn is_refused_midway(&self, error: &ExchangeFailure) -> bool {
        error.fault == Fault::Refused && self.last_delivered > self.call.head.last_event
    }

    /// Returns whether the server of a failed attempt has ended after it had begun to answer; if its
    /// registration does not tell, it is asked for a connection.
    async fn has_server_ended(&self, error: &ExchangeFailure, attempt: &Attempt) -> bool {
        if error.fault != Fault::Closed || !self.exposure.is_settled() {
            return false;
        }
        let is_replaced = !self.node.targets.borrow().is_listed(&attempt.target);
        is_replaced || self.node.pool.open(attempt.target.address).await.is_err()
    }

    /// Returns the target for the next attempt.
    fn choose_target(&mut self) -> Result<Key, Refusal> {
        if let Some(key) = self.reconnect_key.take() {
            return Ok(key);
        }
        let now = self.node.now();
        let candidates = self.keep_apart(self.candidates());
        self.candidate_count = candidates.len();
        if candidates.is_empty() {
            let detail = match &self.call.head.model {
                Some(model) => format!("no replica group of model {model} can take the request"),
                None => format!("no server of {} can take the request", self.call.service),
            };
            return Err(self.refuse(Reason::NoServer, NO_GROUP_RETRY_AFTER, detail));
        }
        let loads: Vec<Load> = {
            let targets = self.node.targets.borrow();
            let zone = &self.node.options.zone;
            candidates
                .iter()
                .map(|key| targets.load(*key, zone, now))
                .collect()
        };
        let sound = loads.iter().filter(|load| !load.suspect).count();
        let suspicion = self.exposure.suspicion();
        if suspicion.is_some_and(|suspicion| !suspicion.may_run(sound, now)) {
            let detail = "servers ended under the same request, and no other can be spared";
            return Err(self.refuse(Reason::Poison, SPARED_RETRY_AFTER, detail.to_owned()));
        }
        let costs = self.costs(&loads)?;
        let mut random = fastrand::f64;
        match balance::choose(&costs, &mut random) {
            Some(idx) => {
                self.check_stop(&loads[idx])?;
                Ok(candidates[idx])
            }
            None => Err(self.refuse(
                Reason::NoServer,
                NO_GROUP_RETRY_AFTER,
                "no candidate".to_owned(),
            )),
        }
    }

    fn candidates(&self) -> Vec<Key> {
        self.eligible_keys(&self.node.targets.borrow()).collect()
    }

    /// Removes the targets where a suspect is in flight from which the request is to be kept apart,
    /// unless none is left.
    fn keep_apart(&self, candidates: Vec<Key>) -> Vec<Key> {
        let targets = self.node.targets.borrow();
        let suspicion = self.exposure.suspicion();
        let own_crashes = suspicion.map_or(0, |suspicion| suspicion.crashes);
        let apart: Vec<Key> = candidates
            .iter()
            .copied()
            .filter(|key| !poison::is_kept_apart(own_crashes, targets.suspect_crashes(*key)))
            .collect();
        if apart.is_empty() { candidates } else { apart }
    }

    /// Returns the targets that serve the request's model and may still be tried.
    fn eligible_keys<'a>(&'a self, targets: &'a Targets) -> impl Iterator<Item = Key> + 'a {
        let service = self.index.service(&self.call.service);
        let has_engine = service.is_some_and(|service| service.engine.is_some());
        let keys = targets.serving(&self.call.service).iter().copied();
        keys.filter(move |key| {
            let target = targets.target(*key);
            let is_eligible = !has_engine || target.model == self.call.head.model;
            is_eligible && self.request.can_try(&target.server)
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
        let demand = self.demand();
        let first_event = |load: &Load| balance::estimate(engine, model, load, demand).first_event;
        let first_events: Vec<f64> = loads.iter().map(first_event).collect();
        let soonest = first_events.iter().copied().fold(f64::INFINITY, f64::min);
        let left = self.call.deadline.since(self.node.now());
        if self.last_delivered.is_none() && soonest > left.0 as f64 / FIRST_EVENT_DEADLINE_DIVISOR {
            let detail = format!("the first event would take {soonest:.0} ms of {left}");
            return Err(self.refuse(Reason::Overloaded, OVERLOADED_RETRY_AFTER, detail));
        }
        let healthy: Vec<f64> = first_events
            .into_iter()
            .zip(loads)
            .filter(|(_, load)| !load.suspect)
            .map(|(first_event, _)| first_event)
            .collect();
        if self.failures == 0 && self.last_delivered.is_none() && !healthy.is_empty() {
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

    /// Rejects a new request that a stopping node cannot finish before it ends.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request is rejected.
    fn check_stop(&self, load: &Load) -> Result<(), Refusal> {
        let Some(shutdown) = self.node.shutdown().filter(|_| self.failures == 0) else {
            return Ok(());
        };
        let estimate_ms = self.engine().map(|(engine, model)| {
            let estimate = balance::estimate(engine, model, load, self.demand());
            estimate.last_event(engine, self.call.head.max_output)
        });
        if shutdown.can_finish(self.node.now(), self.call.deadline, estimate_ms) {
            return Ok(());
        }
        let detail = "the node is stopping and ends before the answer would".to_owned();
        Err(self.refuse(Reason::NotReady, Millis(0), detail))
    }

    /// Returns the time at which the request is given up: its deadline, or the end of a stopping
    /// node if that is earlier.
    pub(crate) fn due(&self) -> Instant {
        let deadline = self.call.deadline;
        let shutdown = self.node.shutdown();
        shutdown.map_or(deadline, |shutdown| deadline.min(shutdown.answers_until()))
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

    fn demand(&self) -> Demand {
        let head = &self.call.head;
        let output = match head.expected_output {
            Some(expected) => expected.min(head.max_output),
            None => head.max_output,
        };
        Demand {
            prompt: head.prompt_tokens,
            output,
        }
    }

    /// Creates a refusal that states whether the request may have run in an earlier attempt.
    fn refuse(&self, reason: Reason, retry_after: Millis, detail: String) -> Refusal {
        if self.request.furthest().outcome() == Outcome::NotRun {
            Refusal::not_run(reason, detail).with_retry_after(retry_after)
        } else {
            Refusal::unknown(reason, detail)
        }
    }

    /// Returns whether the request may be sent to another server, and one is available.
    pub(crate) fn can_fail_over(&self) -> bool {
        self.call.route.kind.is_repeatable()
            && self.request.can_send_again()
            && self.budget.remaining() > 0
            && self
                .eligible_keys(&self.node.targets.borrow())
                .nth(1)
                .is_some()
    }

    async fn send(&mut self, attempt: &mut Attempt) -> Result<Exchange, ExchangeFailure> {
        let node = Rc::clone(&self.node);
        let is_once = !self.call.route.kind.is_repeatable();
        let address = attempt.target.address;
        // The server may close an idle connection just as a request is sent, and an unsolicited
        // late answer may be buffered on it. A request that runs at most once could not be sent
        // again.
        let connection_result = if is_once || self.request.was_cut_off_by(&attempt.target.server) {
            node.pool.open(address).await
        } else {
            node.pool.take(address).await
        };
        let mut connection = connection_result.map_err(connection_failure)?;
        let sent = node.now();
        let left = self.call.caller_deadline.since(sent);
        if left == Millis(0) || sent >= self.due() {
            let detail = "the deadline passed before the request was sent";
            return Err(ExchangeFailure::new(
                Fault::Deadline,
                Step::Connecting,
                detail,
            ));
        }
        let demand = self.demand();
        let reservation = Reservation::acquire(
            &node.targets,
            attempt.key,
            u64::from(demand.prompt),
            u64::from(demand.output),
            self.exposure.suspicion().map(|suspicion| suspicion.crashes),
        );
        let request = self.build_request(&attempt.target, left)?;
        self.track(|tracked| {
            tracked.server = attempt.target.server.clone();
            tracked.group = attempt.target.group.clone();
        });
        let timeouts = self.first_timeouts();
        let answer = self
            .wait_with_timeouts(attempt.key, sent, timeouts, connection.send(request))
            .await;
        attempt.is_new_connection = connection.is_new();
        let answer = match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(fault)) => return Err(connection_failure(fault)),
            Err(fault) => return Err(ExchangeFailure::new(fault, Step::Written, "no answer")),
        };
        self.check_head(&answer, attempt)?;
        Ok(Exchange {
            reservation,
            target: Rc::clone(&attempt.target),
            connection,
            answer,
            sent,
        })
    }

    fn build_request(
        &self,
        target: &Target,
        left: Millis,
    ) -> Result<Request<Bytes>, ExchangeFailure> {
        let mut headers = self.call.headers.clone();
        let forwarding = Forwarding {
            server: &target.server,
            left,
            team: self.call.team.as_deref(),
            priority: self.call.priority,
            last_event: self.last_delivered,
        };
        self.node
            .parts
            .protocol
            .write_headers(&mut headers, &forwarding);
        let mut request = Request::builder()
            .method(self.call.method.clone())
            .uri(self.call.uri.clone())
            .body(self.call.body.clone())
            .map_err(|error| ExchangeFailure::new(Fault::Unreachable, Step::Routed, error))?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    /// Returns the time-outs for an answer's head or a stream's first event.
    fn first_timeouts(&self) -> Timeouts {
        if !self.can_fail_over() {
            return Timeouts::UNLIMITED;
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

    /// Returns the time-outs for the rest of an answer or a stream's next event.
    pub(crate) fn next_timeouts(&self) -> Timeouts {
        if !self.can_fail_over() {
            return Timeouts::UNLIMITED;
        }
        Timeouts {
            request: NEXT_EVENT_TIMEOUT,
            group: GROUP_STALL_TIMEOUT,
            minimum: GROUP_STALL_TIMEOUT,
        }
    }

    /// Waits for a future until a time-out of the attempt or the request's deadline passes.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Silent`] on a time-out and [`Fault::Deadline`] at the deadline.
    pub(crate) async fn wait_with_timeouts<T>(
        &self,
        key: Key,
        since: Instant,
        timeouts: Timeouts,
        future: impl Future<Output = T>,
    ) -> Result<T, Fault> {
        let mut future = pin!(future);
        loop {
            let now = self.node.now();
            // A stop that is requested meanwhile ends the request no earlier than this.
            let stopped = now + self.node.stop_limits().answer.max(MIN_WAIT);
            let silent = self.silent_at(key, since, timeouts);
            let span = self.node.until(silent.min(self.due()).min(stopped));
            match select(future.as_mut(), pin!(time::sleep(span))).await {
                Either::Left((value, _)) => return Ok(value),
                Either::Right(_) => {}
            }
            let now = self.node.now();
            let fault = if now >= self.due() {
                Fault::Deadline
            } else if now >= self.silent_at(key, since, timeouts) {
                Fault::Silent
            } else {
                continue;
            };
            // A node that is late reads what has arrived meanwhile.
            return time::timeout(READ_TIME, future).await.map_err(|_| fault);
        }
    }

    /// Returns the time at which a time-out of the attempt passes.
    fn silent_at(&self, key: Key, since: Instant, timeouts: Timeouts) -> Instant {
        let request_due = since + timeouts.request;
        match self.node.targets.borrow().last_progress(key) {
            // A request that was sent to a stalled group gets the minimum time all the same.
            Some(last_progress) => {
                let group_due = (last_progress + timeouts.group).max(since + timeouts.minimum);
                group_due.min(request_due)
            }
            None => request_due,
        }
    }

    /// Validates the head of an answer.
    ///
    /// # Errors
    ///
    /// Returns the failure if the server did not run the request or the answer is invalid.
    fn check_head(
        &self,
        answer: &Response<Incoming>,
        attempt: &Attempt,
    ) -> Result<(), ExchangeFailure> {
        let status = answer.status();
        let decoded = self
            .node
            .parts
            .protocol
            .decode_answer(status, answer.headers());
        if decoded.not_run {
            if decoded
                .id
                .as_ref()
                .is_some_and(|id| *id != self.call.head.id)
            {
                let detail = "the answer belongs to another request";
                return Err(ExchangeFailure::new(Fault::Invalid, Step::Written, detail));
            }
            let detail = refusal_detail(status, &decoded);
            let now = self.node.now();
            let mut targets = self.node.targets.borrow_mut();
            if status == StatusCode::MISDIRECTED_REQUEST || decoded.faulty_server.is_some() {
                targets.avoid(attempt.key, now);
            } else {
                targets.avoid_until(attempt.key, now + FULL_AVOIDANCE_TIME);
            }
            drop(targets);
            return Err(ExchangeFailure::new(Fault::Refused, Step::Routed, detail));
        }
        let invalid = |detail: &str| Err(ExchangeFailure::invalid(detail));
        if decoded.id.as_ref() != Some(&self.call.head.id) {
            return invalid("the answer belongs to another request");
        }
        if status.is_success() && !decoded.signed {
            return invalid("the answer is not signed");
        }
        if answer.headers().contains_key(CONTENT_ENCODING) {
            return invalid("the answer is encoded");
        }
        let ambiguous_statuses = [
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        if ambiguous_statuses.contains(&status)
            || status.is_redirection()
            || status.is_informational()
        {
            return invalid("the status does not say whether the request has run");
        }
        Ok(())
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
            "delivered" => self.last_delivered);
    }

    /// Returns a connection to the pool after a complete answer.
    ///
    /// A server resets connections beyond the number that it accepts, so the idle connections of
    /// all nodes together stay below half of that number.
    pub(crate) fn keep_connection(&self, connection: Connection, headers: &HeaderMap) {
        let service = self.index.service(&self.call.service);
        let accepted = service.map_or(0, |service| service.max_connections as usize);
        let nodes = self.node.peer_loads().borrow().node_count();
        let max_idle = accepted * IDLE_CONNECTIONS_PERCENT / 100 / nodes;
        self.node.pool.put(connection, headers, max_idle);
    }

    /// Records a failed attempt and returns if another one is to be made.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if the request is given up.
    pub(crate) async fn record_failure(
        &mut self,
        error: &ExchangeFailure,
        attempt: &Attempt,
    ) -> Result<(), Refusal> {
        let is_uncounted =
            self.is_refused_midway(error) || self.has_server_ended(error, attempt).await;
        let now = self.node.now();
        self.failures += 1;
        let failure = Failure {
            server: attempt.target.server.clone(),
            step: error.step,
            fault: error.fault,
            connection: if attempt.is_new_connection {
                retry::Connection::New
            } else {
                retry::Connection::Used
            },
            is_uncounted,
        };
        if matches!(error.fault, Fault::Silent | Fault::Unreachable) {
            self.node.pool.close_idle(attempt.target.address);
            self.node.targets.borrow_mut().avoid(attempt.key, now);
        }
        let verdict = self.request.record_failure(&failure, &self.budget, now);
        // Tells whether a server was lost under a request that callers repeat.
        let digest = (error.fault == Fault::Closed).then(|| self.call.digest().prefix());
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
            "registrations_age_ms" => now.since(self.node.registrations_read_at.get()).0,
            "candidates" => self.candidate_count,
            "delivered" => self.last_delivered,
            "age_ms" => now.since(self.call.arrived).0,
            "left_ms" => self.due().since(now).0,
            "retries_left" => self.budget.remaining(),
            "verdict" => ?verdict);
        self.record_crash(error, attempt);
        match verdict {
            Verdict::Reconnect => {
                // A lost connection cannot be told from a stalled server, so the same server is
                // tried again only if no other can take the request.
                if self.candidates().is_empty()
                    && self.node.targets.borrow().is_serving(attempt.key)
                {
                    self.reconnect_key = Some(attempt.key);
                }
                self.node.counters.count_retry(error.fault, "reconnect");
                Ok(())
            }
            Verdict::Elsewhere => {
                self.node.counters.count_retry(error.fault, "elsewhere");
                Ok(())
            }
            Verdict::GiveUp(_) if error.fault == Fault::Deadline && now < self.call.deadline => {
                let detail = format!("the node is stopping: {}", error.detail);
                Err(self.refuse(Reason::NotReady, Millis(0), detail))
            }
            Verdict::GiveUp(cause) => {
                let reason = match cause {
                    Cause::Deadline => Reason::Deadline,
                    Cause::MayHaveRun | Cause::Budget | Cause::Attempts => error.fault.reason(),
                };
                let detail = format!("{}: {}", cause.label(), error.detail);
                Err(self.refuse(reason, OVERLOADED_RETRY_AFTER, detail))
            }
        }
    }
}

fn refusal_detail(status: StatusCode, decoded: &Answer) -> String {
    match &decoded.faulty_server {
        Some(culprit) => {
            format!("the server did not run it: status {status}, {culprit} is at fault")
        }
        None => format!("the server did not run it: status {status}"),
    }
}
