//! Sends a request to the place that suits it best, and elsewhere if that fails.

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
use jackdaw_core::config::{Index, Route};
use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::protocol::{Answer, Forwarding, Head};
use jackdaw_core::refusal::Reason;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_link::connection::{self, Connection};
use jackdaw_policy::admission::{self, Latency};
use jackdaw_policy::balance::{self, Demand, Load};
use jackdaw_policy::fleet::Target;
use jackdaw_policy::retry::{self, Budget, Cause, ExchangeFailure, Failure, Fault, Verdict};
use slog::info;
use tokio::time;

use crate::arena::{Arena, Key, Pass};
use crate::node::Node;
use crate::refusal::Refusal;
use crate::whole::Whole;

/// Time without any event from a replica group after which its streams go on elsewhere; several
/// times the longest pass.
const STANDSTILL: Millis = Millis(700);
/// Shortest time for a first event, also of a group that stands still; a prompt is read in a pass
/// or two.
const MOMENT: Millis = Millis(300);
/// Objectives that an answer may take before it is asked of another server.
const PATIENCE: u64 = 2;
/// Shortest time that a server is given for an answer.
const MIN_PATIENCE: Millis = Millis(250);
/// Time after which the first event of a stream is asked of another group though its group
/// progresses.
const FIRST_EVENT: Millis = Millis(2_000);
/// Time after which the next event of a stream is asked of another group though its group
/// progresses.
const NEXT_EVENT: Millis = Millis(1_200);
/// Time after which a caller is asked to come again if no group of the model serves.
const NO_GROUP_RETRY: Millis = Millis(1_000);
/// Time after which a caller is asked to come again if servers were full.
const FULL_RETRY: Millis = Millis(500);
/// Percent of the connections that a server accepts which all nodes together keep idle.
const KEPT_PERCENT: usize = 40;
/// Time for which a server that was full gets new requests only if no other can take them; some
/// requests end meanwhile.
const FULL: Millis = Millis(400);
/// One step of the node's clock.
const CLOCK_STEP: Duration = Duration::from_millis(1);
/// Part of the deadline that the first event may take, as a divisor; a request that would wait
/// longer is rejected.
const FIRST_EVENT_SHARE: f64 = 2.0;

/// A request that was let in.
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
    /// Time at which the request came.
    pub(crate) arrived: Instant,
    /// Time at which the caller must have an answer.
    pub(crate) deadline: Instant,
    /// Latest time for the deadline that servers are told.
    pub(crate) caller_deadline: Instant,
}

/// Describes a fault of a connection.
fn broken(fault: connection::Fault) -> ExchangeFailure {
    match fault {
        connection::Fault::NotSent(detail) => {
            ExchangeFailure::new(Fault::Unreachable, Step::Connecting, detail)
        }
        connection::Fault::Unanswered(detail) => {
            ExchangeFailure::new(Fault::Closed, Step::Written, detail)
        }
    }
}

/// An answer whose head has come.
pub(crate) struct Opened {
    pub(crate) pass: Pass,
    pub(crate) target: Rc<Target>,
    pub(crate) connection: Connection,
    pub(crate) answer: Response<Incoming>,
    pub(crate) sent: Instant,
}

/// What an attempt is made with, for its failure.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) key: Key,
    pub(crate) target: Rc<Target>,
    pub(crate) is_new: bool,
}

impl Opened {
    /// Returns what the attempt was made with.
    pub(crate) fn attempt(&self) -> Attempt {
        Attempt {
            key: self.pass.key,
            target: Rc::clone(&self.target),
            is_new: self.connection.is_new(),
        }
    }
}

/// How long an attempt may take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Patience {
    /// Longest time for this request's next sign of life.
    pub(crate) own: Millis,
    /// Longest time without a sign of life of the whole group.
    pub(crate) group: Millis,
    /// Shortest time for this request, whatever the group does.
    pub(crate) moment: Millis,
}

impl Patience {
    /// Waits until the deadline.
    const ENDLESS: Patience = Patience {
        own: Millis(u64::MAX >> 1),
        group: Millis(u64::MAX >> 1),
        moment: Millis(0),
    };
}

/// One request on its way.
pub(crate) struct Dispatch {
    pub(crate) node: Rc<Node>,
    pub(crate) call: Call,
    index: Rc<Index>,
    request: retry::Request,
    budget: Rc<Budget>,
    /// Last event that the caller has.
    pub(crate) delivered: Option<u64>,
    /// A failure of a server, delivered if no other server does better.
    pub(crate) fallback: Option<Whole>,
    reconnect: Option<Key>,
    /// Places that were weighed for the attempt in progress.
    weighed: usize,
    /// Failed attempts.
    pub(crate) failures: u32,
}

impl Dispatch {
    pub(crate) fn new(node: Rc<Node>, index: Rc<Index>, call: Call) -> Self {
        let budget = node.budget(&call.service);
        budget.deposit();
        let repeatable = call.route.kind.is_repeatable();
        Dispatch {
            request: retry::Request::new(repeatable, call.deadline)
                .with_limit(call.route.max_attempts),
            delivered: call.head.last_event,
            node,
            call,
            index,
            budget,
            fallback: None,
            reconnect: None,
            weighed: 0,
            failures: 0,
        }
    }

    /// Sends the request until a server answers, and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns a refusal once no other server may or can be tried.
    pub(crate) async fn open(&mut self) -> Result<Opened, Refusal> {
        loop {
            let key = self.choose()?;
            let target = self.node.arena.borrow().target(key);
            let mut attempt = Attempt {
                key,
                target,
                is_new: true,
            };
            match self.send(&mut attempt).await {
                Ok(opened) => return Ok(opened),
                Err(broken) => self.failed(&broken, &attempt)?,
            }
        }
    }

    /// Returns the place for the next attempt.
    fn choose(&mut self) -> Result<Key, Refusal> {
        if let Some(key) = self.reconnect.take() {
            return Ok(key);
        }
        let now = self.node.now();
        let candidates = self.candidates();
        self.weighed = candidates.len();
        if candidates.is_empty() {
            let detail = match &self.call.head.model {
                Some(model) => format!("no replica group of model {model} can take the request"),
                None => format!("no server of {} can take the request", self.call.service),
            };
            return Err(self.refuse(Reason::NoServer, NO_GROUP_RETRY, detail));
        }
        let loads: Vec<Load> = {
            let arena = self.node.arena.borrow();
            let zone = &self.node.options.zone;
            candidates
                .iter()
                .map(|key| arena.load(*key, zone, now))
                .collect()
        };
        let costs = self.costs(&loads)?;
        let mut random = fastrand::f64;
        match balance::choose(&costs, &mut random) {
            Some(place) => Ok(candidates[place]),
            None => Err(self.refuse(Reason::NoServer, NO_GROUP_RETRY, "no candidate".to_owned())),
        }
    }

    fn candidates(&self) -> Vec<Key> {
        self.fitting(&self.node.arena.borrow()).collect()
    }

    /// Returns the places that may be tried.
    fn fitting<'a>(&'a self, arena: &'a Arena) -> impl Iterator<Item = Key> + 'a {
        let service = self.index.service(&self.call.service);
        let has_engine = service.is_some_and(|service| service.engine.is_some());
        let keys = arena.serving(&self.call.service).iter().copied();
        keys.filter(move |key| {
            let target = arena.target(*key);
            let fits = !has_engine || target.model == self.call.head.model;
            fits && self.request.can_try(&target.server)
        })
    }

    /// Returns the cost of each candidate, or refuses if none can answer in time.
    fn costs(&self, loads: &[Load]) -> Result<Vec<f64>, Refusal> {
        let head = &self.call.head;
        let service = self.index.service(&self.call.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let model = engine
            .zip(head.model.as_deref())
            .and_then(|(engine, name)| engine.model(name));
        let Some((engine, model)) = engine.zip(model) else {
            let suspicion = |load: &Load| if load.suspect { 1_000.0 } else { 0.0 };
            return Ok(loads
                .iter()
                .map(|load| 1.0 + f64::from(load.own) + suspicion(load))
                .collect());
        };
        let ask = self.ask();
        let first = |load: &Load| balance::estimate(engine, model, load, ask).first_event;
        let firsts: Vec<f64> = loads.iter().map(first).collect();
        let soonest = firsts.iter().copied().fold(f64::INFINITY, f64::min);
        let left = self.call.deadline.since(self.node.now());
        if self.delivered.is_none() && soonest > left.0 as f64 / FIRST_EVENT_SHARE {
            let detail = format!("the first event would take {soonest:.0} ms of {left}");
            return Err(self.refuse(Reason::Overloaded, FULL_RETRY, detail));
        }
        let sound: Vec<f64> = firsts
            .into_iter()
            .zip(loads)
            .filter(|(_, load)| !load.suspect)
            .map(|(first, _)| first)
            .collect();
        if self.failures == 0 && self.delivered.is_none() && !sound.is_empty() {
            let prospect = Latency {
                expected: sound.iter().sum::<f64>() / sound.len() as f64,
                minimum: first(&Load::default()),
                objective: self.call.route.objective.0 as f64,
            };
            self.admit(&prospect, left)?;
        }
        Ok(loads
            .iter()
            .map(|load| balance::cost(engine, model, load, ask))
            .collect())
    }

    /// Refuses the request if too many of its kind wait already.
    fn admit(&self, prospect: &Latency, left: Millis) -> Result<(), Refusal> {
        if fastrand::f64() >= admission::rejection_probability(prospect) {
            return Ok(());
        }
        let after = admission::retry_after(left, fastrand::f64());
        let detail = format!(
            "the first event would take {:.0} ms, the objective is {:.0} ms",
            prospect.expected, prospect.objective
        );
        Err(self.refuse(Reason::Overloaded, after, detail))
    }

    fn ask(&self) -> Demand {
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

    /// Returns the refusal that fits what has happened so far.
    fn refuse(&self, reason: Reason, after: Millis, detail: String) -> Refusal {
        if self.request.furthest().outcome() == Outcome::NotRun {
            Refusal::not_run(reason, detail).after(after)
        } else {
            Refusal::unknown(reason, detail)
        }
    }

    /// Returns whether the request may still be sent to another server.
    pub(crate) fn may_move(&self) -> bool {
        self.call.route.kind.is_repeatable()
            && self.request.can_send_again()
            && self.budget.remaining() > 0
            && self.fitting(&self.node.arena.borrow()).nth(1).is_some()
    }

    async fn send(&mut self, attempt: &mut Attempt) -> Result<Opened, ExchangeFailure> {
        let node = Rc::clone(&self.node);
        let is_once = !self.call.route.kind.is_repeatable();
        let address = attempt.target.address;
        // A kept connection may be closed by the server just as a request is sent, and a late extra
        // answer may lie on it; a request that runs at most once could not be sent again.
        let taken = if is_once || self.request.was_cut_off_by(&attempt.target.server) {
            node.pool.open(address).await
        } else {
            node.pool.take(address).await
        };
        let mut connection = taken.map_err(broken)?;
        let sent = node.now();
        let left = self.call.caller_deadline.since(sent);
        if left == Millis(0) || sent >= self.call.deadline {
            let detail = "the deadline passed before the request was sent";
            return Err(ExchangeFailure::new(
                Fault::Deadline,
                Step::Connecting,
                detail,
            ));
        }
        let ask = self.ask();
        let pass = Pass::enter(
            &node.arena,
            attempt.key,
            u64::from(ask.prompt),
            u64::from(ask.output),
        );
        let request = self.request_for(&attempt.target, left)?;
        let patience = self.first_patience();
        let answer = self
            .guard(attempt.key, sent, patience, connection.send(request))
            .await;
        attempt.is_new = connection.is_new();
        let answer = match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(fault)) => return Err(broken(fault)),
            Err(fault) => return Err(ExchangeFailure::new(fault, Step::Written, "no answer")),
        };
        self.check(&answer, attempt)?;
        Ok(Opened {
            pass,
            target: Rc::clone(&attempt.target),
            connection,
            answer,
            sent,
        })
    }

    fn request_for(
        &self,
        target: &Target,
        left: Millis,
    ) -> Result<Request<Bytes>, ExchangeFailure> {
        let mut headers = self.call.headers.clone();
        let passage = Forwarding {
            server: &target.server,
            left,
            team: self.call.team.as_deref(),
            priority: self.call.priority,
            last_event: self.delivered,
        };
        self.node
            .parts
            .dialect
            .write_headers(&mut headers, &passage);
        let mut request = Request::builder()
            .method(self.call.method.clone())
            .uri(self.call.uri.clone())
            .body(self.call.body.clone())
            .map_err(|error| ExchangeFailure::new(Fault::Unreachable, Step::Routed, error))?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    /// Returns how long the first sign of an answer may take.
    fn first_patience(&self) -> Patience {
        if !self.may_move() {
            return Patience::ENDLESS;
        }
        if self.call.route.kind.is_stream() {
            return Patience {
                own: FIRST_EVENT,
                group: STANDSTILL,
                moment: MOMENT,
            };
        }
        let span = Millis(self.call.route.objective.0 * PATIENCE).max(MIN_PATIENCE);
        Patience {
            own: span,
            group: span,
            moment: span,
        }
    }

    /// Returns how long the next event of a stream may take.
    pub(crate) fn next_patience(&self) -> Patience {
        if !self.may_move() {
            return Patience::ENDLESS;
        }
        Patience {
            own: NEXT_EVENT,
            group: STANDSTILL,
            moment: STANDSTILL,
        }
    }

    /// Waits for a sign of life from a server while its group progresses.
    pub(crate) async fn guard<T>(
        &self,
        key: Key,
        since: Instant,
        patience: Patience,
        future: impl Future<Output = T>,
    ) -> Result<T, Fault> {
        let mut future = pin!(future);
        loop {
            let now = self.node.now();
            let progress = self.node.arena.borrow().progress(key);
            let own_due = since + patience.own;
            let due = match progress {
                // A request that was sent to a group that stands still gets a moment all the same.
                Some(progress) => {
                    let still = (progress + patience.group).max(since + patience.moment);
                    still.min(own_due)
                }
                None => own_due,
            };
            if now >= self.call.deadline {
                return Err(Fault::Deadline);
            }
            if now >= due {
                return Err(Fault::Silent);
            }
            // The clock counts whole milliseconds.
            let span = due.min(self.call.deadline).since(now).duration() + CLOCK_STEP;
            match select(future.as_mut(), pin!(time::sleep(span))).await {
                Either::Left((value, _)) => return Ok(value),
                Either::Right(_) => {}
            }
        }
    }

    /// Checks the head of an answer.
    fn check(&self, answer: &Response<Incoming>, attempt: &Attempt) -> Result<(), ExchangeFailure> {
        let status = answer.status();
        let said = self
            .node
            .parts
            .dialect
            .decode_answer(status, answer.headers());
        if said.not_run {
            if said.id.as_ref().is_some_and(|id| *id != self.call.head.id) {
                let detail = "the answer belongs to another request";
                return Err(ExchangeFailure::new(Fault::Invalid, Step::Written, detail));
            }
            let detail = refusal_detail(status, &said);
            let now = self.node.now();
            let mut arena = self.node.arena.borrow_mut();
            if status == StatusCode::MISDIRECTED_REQUEST || said.faulty_server.is_some() {
                arena.distrust(attempt.key, now);
            } else {
                arena.avoid(attempt.key, now + FULL);
            }
            drop(arena);
            return Err(ExchangeFailure::new(Fault::Refused, Step::Routed, detail));
        }
        let invalid = |detail: &str| Err(ExchangeFailure::invalid(detail));
        if said.id.as_ref() != Some(&self.call.head.id) {
            return invalid("the answer belongs to another request");
        }
        if status.is_success() && !said.signed {
            return invalid("the answer is not signed");
        }
        if answer.headers().contains_key(CONTENT_ENCODING) {
            return invalid("the answer is encoded");
        }
        let promises = [
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        if promises.contains(&status) || status.is_redirection() || status.is_informational() {
            return invalid("the status does not say whether the request has run");
        }
        Ok(())
    }

    /// Logs the good end of a request that had failed attempts; a plain success has no line.
    pub(crate) fn answered(&self, status: u16) {
        if self.failures == 0 {
            return;
        }
        info!(self.node.logger(), "request answered";
            "request" => %self.call.head.id,
            "route" => %self.call.route.name,
            "status" => status,
            "failed_attempts" => self.failures,
            "delivered" => self.delivered);
    }

    /// Keeps a connection that has carried a whole answer. All nodes together leave a server more
    /// than half of the connections that it accepts; it resets those beyond.
    pub(crate) fn keep(&self, connection: Connection, headers: &HeaderMap) {
        let service = self.index.service(&self.call.service);
        let accepted = service.map_or(0, |service| service.max_connections as usize);
        let nodes = self.node.board().borrow().node_count();
        let most = accepted * KEPT_PERCENT / 100 / nodes;
        self.node.pool.put(connection, headers, most);
    }

    /// Takes in a failed attempt; returns if another one is to be made.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if the request is given up.
    pub(crate) fn failed(
        &mut self,
        broken: &ExchangeFailure,
        attempt: &Attempt,
    ) -> Result<(), Refusal> {
        let now = self.node.now();
        self.failures += 1;
        let failure = Failure {
            server: attempt.target.server.clone(),
            step: broken.step,
            fault: broken.fault,
            connection: if attempt.is_new {
                retry::Connection::New
            } else {
                retry::Connection::Used
            },
        };
        if matches!(broken.fault, Fault::Silent | Fault::Unreachable) {
            self.node.pool.forget(attempt.target.address);
            self.node.arena.borrow_mut().distrust(attempt.key, now);
        }
        let verdict = self.request.record_failure(&failure, &self.budget, now);
        info!(self.node.logger(), "attempt failed";
            "request" => %self.call.head.id,
            "route" => %self.call.route.name,
            "server" => %attempt.target.server,
            "group" => %attempt.target.group,
            "fault" => broken.fault.label(),
            "step" => %broken.step,
            "detail" => &broken.detail,
            "new_connection" => attempt.is_new,
            "configuration" => self.index.configuration().version,
            "registrations_age_ms" => now.since(self.node.heard_at.get()).0,
            "candidates" => self.weighed,
            "delivered" => self.delivered,
            "verdict" => ?verdict);
        match verdict {
            Verdict::Reconnect => {
                // A connection that is lost and a server that stands still look alike; if another
                // server can take the request, it need not be found out.
                if self.candidates().is_empty() && self.node.arena.borrow().is_serving(attempt.key)
                {
                    self.reconnect = Some(attempt.key);
                }
                self.node.counters.count_retry(broken.fault, "reconnect");
                Ok(())
            }
            Verdict::Elsewhere => {
                self.node.counters.count_retry(broken.fault, "elsewhere");
                Ok(())
            }
            Verdict::GiveUp(cause) => {
                let reason = match cause {
                    Cause::Deadline => Reason::Deadline,
                    Cause::MayHaveRun | Cause::Budget | Cause::Attempts => broken.fault.reason(),
                };
                let detail = format!("{}: {}", cause.label(), broken.detail);
                Err(self.refuse(reason, FULL_RETRY, detail))
            }
        }
    }
}

fn refusal_detail(status: StatusCode, said: &Answer) -> String {
    match &said.faulty_server {
        Some(culprit) => {
            format!("the server did not run it: status {status}, {culprit} is at fault")
        }
        None => format!("the server did not run it: status {status}"),
    }
}
