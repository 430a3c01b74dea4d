//! Sends a call to targets, with retries, until one answers or the call is given up.

use std::rc::Rc;
use std::sync::Arc;

use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::outcome::{Outcome, Step};
use jackdaw_core::refusal::Reason;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::poison::BAN_DURATION;
use jackdaw_policy::retry::{Cause, Connection, ExchangeFailure, Failure, Fault, Request, Verdict};
use ntex::client::{Client, ClientResponse};

use crate::admit::Admission;
use crate::call::{Call, Destination};
use crate::event::Event;
use crate::exchange::{self, Bound};
use crate::gauge::Guard;
use crate::handler::Worker;
use crate::isolation::{self, Isolation};
use crate::once::Ticket;
use crate::pool::Clients;
use crate::problem::Problem;
use crate::route::{Router, Selector};
use crate::shared::Shared;
use crate::snapshot::Target;

/// An answer whose head has arrived, with the attempt that produced it.
#[derive(Debug)]
pub(crate) struct OpenAnswer {
    pub(crate) answer: ClientResponse,
    pub(crate) attempt: Attempt,
}

/// A chosen target and the kind of connection to use.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) target: Target,
    connection: Connection,
    sent_at: Instant,
    isolation: Option<Isolation>,
    _guard: Guard,
}

impl Attempt {
    /// Returns whether no other request is known to be in flight at the target.
    fn is_alone(&self) -> bool {
        let load = self.target.gauge.load();
        self.isolation.is_some() && load.in_flight == 1 && load.reported <= load.in_flight_at_report
    }
}

/// State of one call over all of its attempts.
pub(crate) struct Dispatch {
    pub(crate) shared: Arc<Shared>,
    pub(crate) call: Rc<Call>,
    clients: Rc<Clients>,
    router: Rc<Router>,
    admission: Admission,
    request: Request,
    /// Permission to dispatch a non-idempotent call.
    ticket: Option<Ticket>,
    reconnect_target: Option<Target>,
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
            ticket: None,
            reconnect_target: None,
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

    /// Sends the call until an answer that starts at token `resume_at` begins.
    ///
    /// # Errors
    ///
    /// Returns the problem of the last attempt once no further attempt is allowed.
    pub(crate) async fn open(&mut self, resume_at: u64) -> Result<OpenAnswer, Problem> {
        loop {
            let attempt = self.prepare_attempt().await?;
            match self.send(&attempt, resume_at).await {
                Ok(answer) => return Ok(OpenAnswer { answer, attempt }),
                Err(failure) => self.handle_failure(&failure, &attempt)?,
            }
        }
    }

    /// Records a failed attempt and decides whether another one follows.
    ///
    /// # Errors
    ///
    /// Returns the problem for the caller if the call is given up.
    pub(crate) fn handle_failure(
        &mut self,
        exchange_failure: &ExchangeFailure,
        attempt: &Attempt,
    ) -> Result<(), Problem> {
        let target = &attempt.target;
        let failure = Failure {
            server: target.name.clone(),
            step: exchange_failure.step,
            fault: exchange_failure.fault,
            connection: attempt.connection,
            is_uncounted: false,
        };
        if matches!(exchange_failure.fault, Fault::Closed | Fault::Silent) {
            self.clients.discard_idle(target.address);
        }
        if let Some(ticket) = &mut self.ticket
            && exchange_failure.step.outcome() == Outcome::NotRun
        {
            ticket.mark_not_written();
        }
        let is_poison = self.request.is_server_at_fault(&failure)
            && self.report_target_failure(exchange_failure.fault, attempt);
        let now = self.shared.clock.now();
        let verdict =
            self.request
                .record_failure(&failure, &self.admission.slot.quota().budget, now);
        let problem = self.build_problem(exchange_failure, target);
        self.publish_decision(&problem, verdict);
        if is_poison {
            return Err(Problem {
                reason: Reason::Poison,
                retry_after: BAN_DURATION,
                ..problem
            });
        }
        match verdict {
            Verdict::GiveUp(Cause::Deadline) => Err(Problem {
                reason: Reason::Deadline,
                ..problem
            }),
            Verdict::Wait(_)
            | Verdict::GiveUp(
                Cause::MayHaveRun | Cause::Budget | Cause::Attempts | Cause::NoServer,
            ) => Err(problem),
            Verdict::Reconnect => {
                self.shared
                    .counters
                    .count_retry(exchange_failure.fault, "reconnect");
                self.reconnect_target = Some(target.clone());
                Ok(())
            }
            Verdict::Elsewhere => {
                self.shared
                    .counters
                    .count_retry(exchange_failure.fault, "elsewhere");
                self.last_problem = Some(problem);
                Ok(())
            }
        }
    }

    /// Records a complete stream, and its mean time per token if it had more than one token.
    pub(crate) fn record_stream(&mut self, attempt: &Attempt, tokens: u64) {
        self.record_answer(attempt);
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

    /// Returns the timeout for the next part of an answer.
    pub(crate) fn idle_bound(&self) -> Bound {
        Bound::new(self.shared.options.idle_timeout, self.remaining())
    }

    fn first_byte_bound(&self) -> Bound {
        let options = &self.shared.options;
        let timeout = match &self.call.destination {
            // An engine answers a whole completion only after its last token.
            Destination::Model(_) if !self.call.streamed => options.buffered_answer_timeout,
            Destination::Model(_) | Destination::Service(_) => options.first_byte_timeout,
        };
        Bound::new(timeout, self.remaining())
    }

    fn remaining(&self) -> Millis {
        self.call.deadline.since(self.shared.clock.now())
    }

    fn micros_since(&self, sent_at: Instant) -> u64 {
        self.shared.clock.now().since(sent_at).0 * 1_000
    }

    async fn send(
        &mut self,
        attempt: &Attempt,
        resume_at: u64,
    ) -> Result<ClientResponse, ExchangeFailure> {
        if self.remaining() == Millis(0) {
            let detail = "the deadline passed before the request was sent";
            return Err(ExchangeFailure::new(
                Fault::Deadline,
                self.request.furthest(),
                detail,
            ));
        }
        let bound = self.first_byte_bound();
        let client = self.get_client(attempt).await?;
        if let Some(ticket) = &mut self.ticket
            && !ticket.may_dispatch()
        {
            let detail = "the call waited too long after it was recorded";
            return Err(ExchangeFailure::new(
                Fault::Deadline,
                Step::Recorded,
                detail,
            ));
        }
        exchange::send(&client, &self.call, &attempt.target, resume_at, bound).await
    }

    async fn get_client(&self, attempt: &Attempt) -> Result<Client, ExchangeFailure> {
        let client = match attempt.connection {
            Connection::New => self.clients.create().await,
            Connection::Used => self.clients.get_pooled(attempt.target.address).await,
        };
        client.ok_or_else(|| ExchangeFailure::new(Fault::Unreachable, Step::Routed, "no client"))
    }

    /// Reports a target's failure to the control thread.
    ///
    /// Returns whether the target crashed while this call alone was in flight there.
    fn report_target_failure(&mut self, fault: Fault, attempt: &Attempt) -> bool {
        let target = &attempt.target;
        let crashed = match fault {
            Fault::Closed => true,
            Fault::Unreachable => self.request.was_cut_off_by(&target.name),
            Fault::Silent | Fault::Invalid | Fault::Refused | Fault::Deadline => false,
        };
        // A call that crashed one target may crash the next, so it runs alone from now on.
        self.admission.suspect |= crashed;
        let alone = crashed && attempt.is_alone();
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
        alone
    }

    /// Publishes why a failed attempt was retried or the call was given up.
    fn publish_decision(&self, problem: &Problem, verdict: Verdict) {
        let taken = match verdict {
            Verdict::Reconnect => "tried again on a new connection",
            Verdict::Elsewhere => "tried elsewhere",
            Verdict::Wait(cause) | Verdict::GiveUp(cause) => cause.label(),
        };
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

    async fn prepare_attempt(&mut self) -> Result<Attempt, Problem> {
        let slot = match self.admission.suspect {
            true => isolation::acquire_slot(&self.shared, self.remaining()).await,
            false => None,
        };
        // A non-idempotent call cannot be retried after the loss of a reused connection, so it
        // always gets a new one.
        let reconnect_target = self
            .reconnect_target
            .take()
            .filter(|target| self.is_listed(target));
        let (target, connection) = match reconnect_target {
            Some(target) => (target, Connection::New),
            None => {
                let target = self
                    .choose_target()
                    .ok_or_else(|| self.take_no_server_problem())?;
                (target, exchange::connection_kind(!self.call.idempotent))
            }
        };
        let isolation = match slot {
            Some(slot) => isolation::reserve_target(slot, &target, self.remaining()).await,
            None => None,
        };
        Ok(Attempt {
            connection,
            sent_at: self.shared.clock.now(),
            isolation,
            _guard: Guard::new(&target.gauge),
            target,
        })
    }

    /// Returns whether a target is still in the snapshot.
    fn is_listed(&self, target: &Target) -> bool {
        let snapshot = self.shared.snapshot.load();
        self.selector()
            .targets(&snapshot)
            .iter()
            .any(|candidate| Arc::ptr_eq(&candidate.gauge, &target.gauge))
    }

    fn selector(&self) -> Selector<'_> {
        Selector {
            name: self.call.destination.name(),
            is_model: matches!(self.call.destination, Destination::Model(_)),
            prefix_hash: self.call.prefix_hash,
            isolated: self.admission.suspect,
        }
    }

    fn choose_target(&self) -> Option<Target> {
        let snapshot = self.shared.snapshot.load_full();
        let now = self.shared.clock.now();
        let choice = self
            .router
            .choose(&snapshot, self.selector(), self.request.tried(), now);
        for decision in self.router.take_decisions() {
            self.shared.send(Event::Explained(decision));
        }
        Some(choice?.target)
    }

    /// Returns the problem for a call without a target: the last failure if there was one.
    fn take_no_server_problem(&mut self) -> Problem {
        self.last_problem.take().unwrap_or_else(|| {
            let detail = "no whole replica group or live backend server is known";
            Problem::new(Reason::NoServer, Step::Admitted, detail)
        })
    }
}
