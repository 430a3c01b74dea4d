//! Decides for one call whether and where it is sent again.

use std::future;
use std::rc::{Rc, Weak};
use std::sync::Arc;

use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::refusal::Reason;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::poison::BAN_DURATION;
use jackdaw_policy::retry::{
    Cause, Connection, ExchangeFailure, Failure, Fault, Request, Run, Verdict,
};
use jackdaw_policy::throttle::TeamId;

use crate::admit::Admission;
use crate::attempt::{Attempt, Piece, Sending};
use crate::call::{Call, Destination};
use crate::event::Event;
use crate::exchange;
use crate::handler::Worker;
use crate::isolation::{Isolation, Placement, Plan};
use crate::limits::Applicant;
use crate::once::Ticket;
use crate::pool::Clients;
use crate::problem::Problem;
use crate::route::Router;
use crate::sequence::Sequence;
use crate::shared::Shared;
use crate::snapshot::Target;

/// State of one call over all of its attempts.
pub(crate) struct Dispatch {
    pub(crate) shared: Arc<Shared>,
    pub(crate) call: Rc<Call>,
    clients: Rc<Clients>,
    router: Rc<Router>,
    admission: Admission,
    request: Request,
    /// Position in the stream as the caller has it.
    sequence: Sequence,
    /// Permission to dispatch a non-idempotent call.
    ticket: Option<Ticket>,
    reconnect_target: Option<Target>,
    /// Isolation of the latest attempt that has one.
    isolation: Weak<Isolation>,
    /// Whether a server ended under the call alone, so that no other may get it.
    is_banned: bool,
    /// Reason of the last wait that was explained, until another attempt or a part of the answer.
    explained_wait: Option<Cause>,
    last_problem: Option<Problem>,
}

impl Dispatch {
    pub(crate) fn new(worker: &Worker, call: Rc<Call>, admission: Admission) -> Self {
        let shared = Arc::clone(&worker.shared);
        admission.slot.quota().budget.deposit();
        let request = Request::new(call.idempotent, call.deadline);
        Dispatch {
            shared,
            call,
            clients: Rc::clone(&worker.clients),
            router: Rc::clone(&worker.router),
            admission,
            request,
            sequence: Sequence::default(),
            ticket: None,
            reconnect_target: None,
            isolation: Weak::new(),
            is_banned: false,
            explained_wait: None,
            last_problem: None,
        }
    }

    /// Attaches the ticket of a non-idempotent call, which is checked before each attempt.
    pub(crate) fn with_ticket(mut self, ticket: Ticket) -> Self {
        self.ticket = Some(ticket);
        self.request.mark_recorded();
        self
    }

    /// Removes the ticket, so that the outcome can be recorded.
    pub(crate) fn take_ticket(&mut self) -> Option<Ticket> {
        self.ticket.take()
    }

    pub(crate) fn now(&self) -> Instant {
        self.shared.clock.now()
    }

    pub(crate) fn remaining(&self) -> Millis {
        self.call.deadline.since(self.now())
    }

    /// Returns the furthest step that any failed attempt reached.
    pub(crate) fn furthest(&self) -> Step {
        self.request.furthest()
    }

    /// Returns whether the caller has a part of the answer.
    pub(crate) fn is_partially_answered(&self) -> bool {
        self.request.is_partially_answered()
    }

    /// Returns what the choice of the next target depends on.
    pub(crate) fn plan(&mut self) -> Plan {
        Plan {
            reconnect_target: self.reconnect_target.take(),
            ..self.peek()
        }
    }

    /// Begins the attempt at a chosen target.
    pub(crate) fn begin(&mut self, placement: Placement) -> Attempt {
        if let Some(isolation) = &placement.isolation {
            self.isolation = Rc::downgrade(isolation);
        }
        let sending = self.send(&placement);
        let source = self.sequence.start_answer();
        Attempt::begin(&self.shared, &self.call, placement, source, sending)
    }

    /// Takes a part of an answer as the next one for the caller.
    ///
    /// # Errors
    ///
    /// Returns the failure that ends the attempt if the part is not usable.
    pub(crate) fn accept(
        &mut self,
        piece: Piece,
        attempt: &mut Attempt,
    ) -> Result<Piece, ExchangeFailure> {
        self.explained_wait = None;
        match piece {
            Piece::Event(number, data) => {
                let data = self.sequence.accept(&mut attempt.source, number, data)?;
                self.request.mark_partially_answered();
                Ok(Piece::Event(number, data))
            }
            Piece::End | Piece::Answer(_) => Ok(piece),
        }
    }

    /// Records a failed attempt; returns what follows, and the problem for the caller if that is the
    /// end of the call.
    pub(crate) fn record_failure(
        &mut self,
        exchange_failure: &ExchangeFailure,
        attempt: &Attempt,
    ) -> (Verdict, Problem) {
        let failure = build_failure(exchange_failure, attempt);
        if let Some(ticket) = &mut self.ticket
            && exchange_failure.step.outcome() == Outcome::NotRun
        {
            ticket.mark_not_written();
        }
        self.report_failure(&failure, attempt);
        let now = self.now();
        let budget = &self.admission.slot.quota().budget;
        let verdict = match self.is_banned {
            true => Verdict::GiveUp(Cause::Attempts),
            false => self.request.record_failure(&failure, budget, now),
        };
        let problem = self.build_problem(exchange_failure, &attempt.target);
        self.publish_decision(&problem, verdict_text(verdict));
        self.prepare_retry(verdict, exchange_failure.fault, &attempt.target);
        if self.is_banned {
            let problem = Problem {
                reason: Reason::Poison,
                retry_after: BAN_DURATION,
                ..problem
            };
            return (verdict, problem);
        }
        match verdict {
            Verdict::Elsewhere | Verdict::Wait(_) => self.last_problem = Some(problem.clone()),
            Verdict::Reconnect | Verdict::GiveUp(_) => {}
        }
        (verdict, problem)
    }

    /// Records the failure of an attempt that was counted when its server fell silent.
    pub(crate) fn record_standby_failure(
        &mut self,
        exchange_failure: &ExchangeFailure,
        attempt: &Attempt,
    ) {
        self.report_failure(&build_failure(exchange_failure, attempt), attempt);
        let problem = self.build_problem(exchange_failure, &attempt.target);
        self.publish_decision(&problem, "given up beside another attempt");
    }

    /// Takes a retry for a call that waits for one after a failed attempt.
    pub(crate) fn retry(&mut self, exchange_failure: &ExchangeFailure) -> Verdict {
        let now = self.now();
        let budget = &self.admission.slot.quota().budget;
        let verdict = self.request.retry(budget, now);
        if verdict == Verdict::Elsewhere {
            let counters = &self.shared.counters;
            counters.count_retry(exchange_failure.fault, "elsewhere");
            self.explained_wait = None;
        }
        verdict
    }

    /// Records that nothing arrives from an attempt's server, and returns whether another attempt is
    /// to be made beside it.
    pub(crate) fn record_silence(&mut self, attempt: &Attempt, is_new: bool) -> Verdict {
        let detail = format!("nothing came for {}", attempt.silence_timeout());
        let exchange_failure = ExchangeFailure::new(Fault::Silent, attempt.step(), detail);
        let failure = build_failure(&exchange_failure, attempt);
        if is_new {
            self.report_failure(&failure, attempt);
        }
        if self.is_banned {
            return Verdict::Wait(Cause::Attempts);
        }
        // A retry is not taken for an attempt that would find no target. A new silence may be the
        // connection's, and then the same target is tried.
        if self.call.idempotent && !is_new && !self.peek().has_target() {
            return Verdict::Wait(Cause::NoServer);
        }
        let now = self.now();
        let budget = &self.admission.slot.quota().budget;
        let verdict = self.request.record_silence(&failure, budget, now);
        if matches!(verdict, Verdict::Reconnect | Verdict::Elsewhere) {
            let problem = self.build_problem(&exchange_failure, &attempt.target);
            self.publish_decision(&problem, verdict_text(verdict));
            self.prepare_retry(verdict, Fault::Silent, &attempt.target);
            self.last_problem = Some(problem);
        }
        verdict
    }

    /// Records that the call goes on with the attempt at a silent server, in place of the one at
    /// `abandoned`, if that has not failed already.
    pub(crate) fn return_to_silent(&mut self, abandoned: Option<&str>) {
        match abandoned {
            Some(server) => self.request.abandon(server),
            None => self.request.resume_silent(),
        }
    }

    /// Publishes and counts a wait, unless that was done for the same reason.
    pub(crate) fn explain_wait(&mut self, cause: Cause, attempt: Option<&Attempt>) {
        if self.explained_wait.replace(cause) == Some(cause) {
            return;
        }
        self.shared.counters.count_wait(cause);
        let (step, detail) = match attempt {
            Some(attempt) => (attempt.step(), "the server is silent and may go on"),
            None => (
                self.request.furthest(),
                "the caller has a part of the stream",
            ),
        };
        let mut problem = Problem::new(Reason::Broken, step, detail);
        if let Some(attempt) = attempt {
            problem = problem.with_peer(&attempt.target.name);
        }
        self.publish_decision(&problem, &format!("waited on: {}", cause.label()));
    }

    /// Records a complete stream, and its mean time per token if it had more than one token.
    pub(crate) fn record_stream(&mut self, attempt: &Attempt) {
        self.record_answer(attempt);
        let tokens = self.sequence.delivered() - attempt.source.start();
        if tokens > 1 {
            let micros = self.micros_since(attempt.sent_at) / tokens;
            attempt.target.gauge.record_latency(micros);
        }
    }

    /// Records a complete answer.
    pub(crate) fn record_answer(&mut self, attempt: &Attempt) {
        self.admission.permit.mark_completed();
        // The time of a completion depends on its length, so only services are compared by it.
        if let Destination::Service(_) = self.call.destination {
            let micros = self.micros_since(attempt.sent_at);
            attempt.target.gauge.record_latency(micros);
        }
        if self.admission.suspect {
            self.shared.send(Event::Answered {
                target: attempt.target.name.clone(),
                digest: self.call.digest,
            });
        }
    }

    /// Removes the problem of the last attempt that failed or whose server fell silent.
    pub(crate) fn take_last_problem(&mut self) -> Option<Problem> {
        self.last_problem.take()
    }

    /// Returns the problem for a call without a target: the last failure if there was one.
    pub(crate) fn take_no_server_problem(&mut self) -> Problem {
        self.last_problem.take().unwrap_or_else(|| {
            if let Some(left) = self.peek().exhausted_for() {
                let detail = "all servers that can take it have reached the limits they name";
                let problem = Problem::new(Reason::ServerLimit, Step::Admitted, detail);
                // Callers that were refused together do not return together.
                return problem.with_retry_after(Millis(left.0 + fastrand::u64(..=left.0)));
            }
            let detail = "no whole replica group or live backend server is known";
            Problem::new(Reason::NoServer, Step::Admitted, detail)
        })
    }

    /// Returns what the choice of a target that was not tried yet depends on.
    fn peek(&self) -> Plan {
        Plan {
            shared: Arc::clone(&self.shared),
            router: Rc::clone(&self.router),
            call: Rc::clone(&self.call),
            tried: self.request.tried().to_vec(),
            reconnect_target: None,
            applicant: Applicant {
                team: TeamId::new(&self.call.team.name),
                // Streams under way go first.
                priority: match self.request.is_partially_answered() {
                    true => 0,
                    false => u8::try_from(self.call.team.priority).unwrap_or(u8::MAX),
                },
            },
            suspect: self.admission.suspect,
            isolation: self.isolation.clone(),
        }
    }

    /// Returns the future of the answer from a chosen target.
    fn send(&mut self, placement: &Placement) -> Sending {
        if let Some(ticket) = &mut self.ticket
            && !ticket.may_dispatch()
        {
            let detail = "the call waited too long after it was recorded";
            let failure = ExchangeFailure::new(Fault::Deadline, Step::Recorded, detail);
            return Box::pin(future::ready(Err(failure)));
        }
        let clients = Rc::clone(&self.clients);
        let shared = Arc::clone(&self.shared);
        let call = Rc::clone(&self.call);
        let target = placement.target.clone();
        let connection = placement.connection;
        let resume_at = self.sequence.delivered();
        Box::pin(async move {
            let client = match connection {
                Connection::New => clients.create().await,
                Connection::Used => clients.get_pooled(target.address).await,
            };
            let client = client.ok_or_else(|| {
                ExchangeFailure::new(Fault::Unreachable, Step::Routed, "no client")
            })?;
            // The choice of the target may be older than waits for a grant or for other calls to end.
            if !shared
                .snapshot
                .load()
                .has_target(&call.destination, &target)
            {
                let detail = "the server was withdrawn before the call was sent";
                let failure = ExchangeFailure::new(Fault::Withdrawn, Step::Routed, detail);
                return Err(failure);
            }
            exchange::send(&shared, &client, &call, &target, connection, resume_at).await
        })
    }

    /// Counts a retry and notes where it goes.
    fn prepare_retry(&mut self, verdict: Verdict, fault: Fault, target: &Target) {
        match verdict {
            Verdict::Reconnect => {
                self.shared.counters.count_retry(fault, "reconnect");
                self.reconnect_target = Some(target.clone());
                self.explained_wait = None;
            }
            Verdict::Elsewhere => {
                self.shared.counters.count_retry(fault, "elsewhere");
                self.explained_wait = None;
            }
            Verdict::Wait(_) | Verdict::GiveUp(_) => {}
        }
    }

    /// Discards connections that may be lost and reports the failure of a server.
    fn report_failure(&mut self, failure: &Failure, attempt: &Attempt) {
        if matches!(
            failure.fault,
            Fault::Closed | Fault::Reset | Fault::Silent | Fault::Invalid
        ) {
            self.clients.discard_idle(attempt.target.address);
        }
        if self.request.is_server_at_fault(failure) {
            self.report_target_failure(failure.fault, attempt);
        }
    }

    /// Reports a target's failure to the control thread.
    fn report_target_failure(&mut self, fault: Fault, attempt: &Attempt) {
        let target = &attempt.target;
        let crashed = match fault {
            Fault::Closed | Fault::Reset => true,
            Fault::Unreachable => self.request.was_cut_off_by(&target.name),
            Fault::Silent
            | Fault::Invalid
            | Fault::Refused
            | Fault::Paused
            | Fault::Withdrawn
            | Fault::Deadline => false,
        };
        // A call that crashed one target may crash the next, so it runs alone from now on.
        self.admission.suspect |= crashed;
        let alone = crashed && attempt.is_alone();
        self.is_banned |= alone;
        let event = if crashed {
            Event::ConnectionLost {
                target: target.name.clone(),
                generation: target.generation,
                digest: self.call.digest,
                alone,
            }
        } else {
            Event::ConnectFailed {
                target: target.name.clone(),
                generation: target.generation,
            }
        };
        self.shared.send(event);
    }

    /// Publishes why a failed attempt was retried, the call was given up or goes on waiting.
    fn publish_decision(&self, problem: &Problem, taken: &str) {
        let subject = Subject::Request(self.call.id.clone());
        let decision = Decision::new(subject, &problem.detail, taken)
            .with_subject(Subject::Group(problem.peer.clone()))
            .with_subject(Subject::Team(self.call.team.name.clone()))
            .with_input("reason", problem.reason)
            .with_input("furthest step", problem.step)
            .with_input("idempotent", self.call.idempotent)
            .with_input("time left", self.remaining())
            .with_input(
                "retries left",
                self.admission.slot.quota().budget.remaining(),
            );
        self.shared.send(Event::Explained(decision));
    }

    fn build_problem(&self, exchange_failure: &ExchangeFailure, target: &Target) -> Problem {
        let step = self.request.furthest();
        Problem::new(
            exchange_failure.fault.reason(),
            step,
            &exchange_failure.detail,
        )
        .with_peer(&target.name)
    }

    fn micros_since(&self, sent_at: Instant) -> u64 {
        self.now().since(sent_at).0 * 1_000
    }
}

fn build_failure(exchange_failure: &ExchangeFailure, attempt: &Attempt) -> Failure {
    Failure {
        server: attempt.target.name.clone(),
        step: exchange_failure.step,
        fault: exchange_failure.fault,
        connection: attempt.connection,
        run: Run::Possible,
    }
}

fn verdict_text(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Reconnect => "tried again on a new connection",
        Verdict::Elsewhere => "tried elsewhere",
        Verdict::Wait(cause) | Verdict::GiveUp(cause) => cause.label(),
    }
}
