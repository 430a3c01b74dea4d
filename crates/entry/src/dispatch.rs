//! Sends a call to targets until one answers or the call is given up.

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
use crate::alone::{self, Alone};
use crate::call::{Call, Destination};
use crate::event::Event;
use crate::exchange::{self, Bound};
use crate::gauge::Guard;
use crate::handler::Worker;
use crate::link::Links;
use crate::once::Ticket;
use crate::problem::Problem;
use crate::route::{Router, Selector};
use crate::shared::Shared;
use crate::snapshot::Target;

/// An answer that has begun.
#[derive(Debug)]
pub(crate) struct Opened {
    pub(crate) answer: ClientResponse,
    pub(crate) attempt: Attempt,
}

/// A target that was chosen, and the connection to use.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) target: Target,
    connection: Connection,
    sent: Instant,
    alone: Option<Alone>,
    _guard: Guard,
}

impl Attempt {
    /// Returns whether no other request is in flight at the target, as far as is known.
    fn is_alone(&self) -> bool {
        let load = self.target.gauge.load();
        self.alone.is_some() && load.in_flight == 1 && load.reported <= load.in_flight_at_report
    }
}

/// Sends one call.
pub(crate) struct Dispatch {
    pub(crate) shared: Arc<Shared>,
    pub(crate) call: Rc<Call>,
    links: Rc<Links>,
    router: Rc<Router>,
    admission: Admission,
    request: Request,
    /// Right to dispatch a call that may not be repeated.
    ticket: Option<Ticket>,
    again: Option<Target>,
    last: Option<Problem>,
}

impl Dispatch {
    pub(crate) fn new(worker: &Worker, call: Rc<Call>, admission: Admission) -> Self {
        let shared = Arc::clone(&worker.shared);
        admission.slot.share().budget.deposit();
        let request = Request::new(call.idempotent, call.deadline);
        Dispatch {
            shared,
            call,
            links: Rc::clone(&worker.links),
            router: Rc::clone(&worker.router),
            admission,
            request,
            ticket: None,
            again: None,
            last: None,
        }
    }

    /// Lets the call run under a ticket, which is asked before each attempt.
    pub(crate) fn with_ticket(mut self, ticket: Ticket) -> Self {
        self.ticket = Some(ticket);
        self.request.mark_recorded();
        self
    }

    /// Takes the ticket back, so that the outcome can be recorded.
    pub(crate) fn take_ticket(&mut self) -> Option<Ticket> {
        self.ticket.take()
    }

    /// Opens an answer that starts at a token, with as many attempts as are allowed.
    pub(crate) async fn open(&mut self, resume_at: u64) -> Result<Opened, Problem> {
        loop {
            let attempt = self.choose().await?;
            match self.send(&attempt, resume_at).await {
                Ok(answer) => return Ok(Opened { answer, attempt }),
                Err(broken) => self.failed(&broken, &attempt)?,
            }
        }
    }

    /// Takes in a failed attempt; an error means that the call is given up.
    pub(crate) fn failed(
        &mut self,
        broken: &ExchangeFailure,
        attempt: &Attempt,
    ) -> Result<(), Problem> {
        let target = &attempt.target;
        let failure = Failure {
            server: target.name.clone(),
            step: broken.step,
            fault: broken.fault,
            connection: attempt.connection,
        };
        if matches!(broken.fault, Fault::Closed | Fault::Silent) {
            self.links.retire(target.address);
        }
        if let Some(ticket) = &mut self.ticket
            && broken.step.outcome() == Outcome::NotRun
        {
            ticket.mark_not_written();
        }
        let guilty = self.request.is_server_at_fault(&failure) && self.blame(broken.fault, attempt);
        let now = self.shared.clock.now();
        let verdict =
            self.request
                .record_failure(&failure, &self.admission.slot.share().budget, now);
        let problem = self.problem(broken, target);
        self.explain(&problem, verdict);
        if guilty {
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
            Verdict::GiveUp(Cause::MayHaveRun | Cause::Budget | Cause::Attempts) => Err(problem),
            Verdict::Reconnect => {
                self.shared.counters.count_retry(broken.fault, "reconnect");
                self.again = Some(target.clone());
                Ok(())
            }
            Verdict::Elsewhere => {
                self.shared.counters.count_retry(broken.fault, "elsewhere");
                self.last = Some(problem);
                Ok(())
            }
        }
    }

    /// Records a whole answer, and its pace if it was a stream of some tokens.
    pub(crate) fn streamed(&mut self, attempt: &Attempt, tokens: u64) {
        self.answered(attempt);
        if tokens > 1 {
            let micros = self.micros_since(attempt.sent) / tokens;
            attempt.target.gauge.record_latency(micros);
        }
    }

    /// Records a whole answer.
    pub(crate) fn answered(&mut self, attempt: &Attempt) {
        self.admission.permit.answered();
        // A completion's time depends on its length, so that only services are compared by it.
        if let Destination::Service(_) = self.call.destination {
            let micros = self.micros_since(attempt.sent);
            attempt.target.gauge.record_latency(micros);
        }
        if self.admission.suspect {
            self.shared.send(Event::Answered {
                target: attempt.target.name.clone(),
                digest: self.call.digest,
            });
        }
    }

    /// Returns the bound on waiting for the next part of an answer.
    pub(crate) fn idle_bound(&self) -> Bound {
        Bound::new(self.shared.options.idle_timeout, self.remaining())
    }

    fn first_byte_bound(&self) -> Bound {
        let options = &self.shared.options;
        let span = match &self.call.destination {
            // An engine answers a whole completion only after its last token.
            Destination::Model(_) if !self.call.streamed => options.whole_answer_timeout,
            Destination::Model(_) | Destination::Service(_) => options.first_byte_timeout,
        };
        Bound::new(span, self.remaining())
    }

    fn remaining(&self) -> Millis {
        self.call.deadline.since(self.shared.clock.now())
    }

    fn micros_since(&self, sent: Instant) -> u64 {
        self.shared.clock.now().since(sent).0 * 1_000
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
        let client = self.client(attempt).await?;
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

    async fn client(&self, attempt: &Attempt) -> Result<Client, ExchangeFailure> {
        let client = match attempt.connection {
            Connection::New => self.links.fresh().await,
            Connection::Used => self.links.pooled(attempt.target.address).await,
        };
        client.ok_or_else(|| ExchangeFailure::new(Fault::Unreachable, Step::Routed, "no client"))
    }

    /// Tells the control thread of a target's fault; returns whether the call alone caused it.
    fn blame(&mut self, fault: Fault, attempt: &Attempt) -> bool {
        let target = &attempt.target;
        let crashed = match fault {
            Fault::Closed => true,
            Fault::Unreachable => self.request.was_cut_off_by(&target.name),
            Fault::Silent | Fault::Invalid | Fault::Refused | Fault::Deadline => false,
        };
        // What crashed one target may crash the next, so that it runs alone from now on.
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

    /// Tells operators why an attempt was followed by another or by none.
    fn explain(&self, problem: &Problem, verdict: Verdict) {
        let taken = match verdict {
            Verdict::Reconnect => "tried again on a new connection",
            Verdict::Elsewhere => "tried elsewhere",
            Verdict::GiveUp(cause) => cause.label(),
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
                self.admission.slot.share().budget.remaining(),
            );
        self.shared.send(Event::Explained(decision));
    }

    fn problem(&self, broken: &ExchangeFailure, target: &Target) -> Problem {
        let step = self.request.furthest();
        Problem::new(broken.fault.reason(), step, &broken.detail).at(&target.name)
    }

    async fn choose(&mut self) -> Result<Attempt, Problem> {
        let turn = match self.admission.suspect {
            true => alone::turn(&self.shared, self.remaining()).await,
            false => None,
        };
        // A call that may not be repeated cannot survive the loss of a used connection.
        let again = self.again.take().filter(|target| self.is_listed(target));
        let (target, connection) = match again {
            Some(target) => (target, Connection::New),
            None => {
                let target = self.route().ok_or_else(|| self.no_server())?;
                (target, exchange::connection(!self.call.idempotent))
            }
        };
        let alone = match turn {
            Some(turn) => alone::reserve(turn, &target, self.remaining()).await,
            None => None,
        };
        Ok(Attempt {
            connection,
            sent: self.shared.clock.now(),
            alone,
            _guard: Guard::new(&target.gauge),
            target,
        })
    }

    /// Returns whether a target may still get new work.
    fn is_listed(&self, target: &Target) -> bool {
        let snapshot = self.shared.snapshot.load();
        self.selector()
            .targets(&snapshot)
            .iter()
            .any(|listed| Arc::ptr_eq(&listed.gauge, &target.gauge))
    }

    fn selector(&self) -> Selector<'_> {
        Selector {
            name: self.call.destination.name(),
            is_model: matches!(self.call.destination, Destination::Model(_)),
            prefix: self.call.prefix,
            isolated: self.admission.suspect,
        }
    }

    fn route(&self) -> Option<Target> {
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

    /// Returns the problem when no target is left; an earlier failure tells more.
    fn no_server(&mut self) -> Problem {
        self.last.take().unwrap_or_else(|| {
            let detail = "no whole replica group or live backend server is known";
            Problem::new(Reason::NoServer, Step::Admitted, detail)
        })
    }
}
