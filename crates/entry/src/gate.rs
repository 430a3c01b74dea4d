//! Lets requests pass to one model or plain service, in fair order.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use compact_str::{CompactString, format_compact};
use jackdaw_core::outcome::Step;
use jackdaw_core::refusal::Reason;
use jackdaw_core::time::{Clock, Instant};
use jackdaw_core::units::Millis;
use jackdaw_policy::fair::{Admission, Arrival, Queue, Refusal, Ticket, Wakeup};
use ntex::time;
use tokio::sync::oneshot;

use crate::exchange::span;
use crate::problem::Problem;

/// What a waiting request is told.
type Told = Result<(), Refusal>;

#[derive(Debug)]
struct State {
    queue: Queue,
    waiting: HashMap<Ticket, oneshot::Sender<Told>>,
}

impl State {
    /// Tells requests what became of them; one that is gone makes room for others.
    fn tell(&mut self, mut grants: Vec<Wakeup>, now: Instant) {
        while let Some(grant) = grants.pop() {
            let (ticket, told) = match grant {
                Wakeup::Run(ticket) => (ticket, Ok(())),
                Wakeup::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            let sender = self.waiting.remove(&ticket);
            let heard = sender.is_some_and(|sender| sender.send(told).is_ok());
            if !heard && told.is_ok() {
                grants.extend(self.queue.finish(0, None, now));
            }
        }
    }
}

/// Requests to one model or plain service on this node.
pub(crate) struct Gate {
    state: Mutex<State>,
    clock: Arc<dyn Clock>,
}

impl fmt::Debug for Gate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gate").finish_non_exhaustive()
    }
}

impl Gate {
    fn new(clock: Arc<dyn Clock>) -> Self {
        Gate {
            state: Mutex::new(State {
                queue: Queue::new(1),
                waiting: HashMap::new(),
            }),
            clock,
        }
    }

    /// Waits until a request may run, or refuses it as soon as it cannot be answered in time.
    pub(crate) async fn pass(
        self: &Arc<Self>,
        entrant: Arrival,
        limit: u32,
    ) -> Result<Permit, Problem> {
        let (cost, deadline) = (entrant.cost, entrant.deadline);
        let Some(mut queued) = self.enter(entrant, limit)? else {
            return Ok(Permit::new(self, cost));
        };
        let remaining = deadline.since(self.clock.now());
        match time::timeout(span(remaining), &mut queued.told).await {
            Ok(Ok(Ok(()))) => {
                queued.ticket = None;
                Ok(Permit::new(self, cost))
            }
            Ok(Ok(Err(refusal))) => {
                queued.ticket = None;
                Err(overloaded(refusal))
            }
            Ok(Err(_)) | Err(()) => {
                let detail = "the deadline passed while the request waited";
                Err(Problem::new(Reason::Deadline, Step::Authenticated, detail))
            }
        }
    }

    fn enter(self: &Arc<Self>, entrant: Arrival, limit: u32) -> Result<Option<Queued>, Problem> {
        let now = self.clock.now();
        let mut state = self.lock();
        let grants = state.queue.set_limit(limit, now);
        state.tell(grants, now);
        match state.queue.admit(entrant, now) {
            Admission::Run => Ok(None),
            Admission::Refuse(refusal) => Err(overloaded(refusal)),
            Admission::Wait(ticket, evicted) => {
                let (sender, told) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                state.tell(evicted.into_iter().collect(), now);
                Ok(Some(Queued {
                    gate: Arc::clone(self),
                    ticket: Some(ticket),
                    told,
                }))
            }
        }
    }

    fn leave(&self, cost: u32, took: Option<Millis>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let grants = state.queue.finish(cost, took, now);
        state.tell(grants, now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that waits; dropped, it leaves the queue.
struct Queued {
    gate: Arc<Gate>,
    ticket: Option<Ticket>,
    told: oneshot::Receiver<Told>,
}

impl Drop for Queued {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let now = self.gate.clock.now();
        let mut state = self.gate.lock();
        if state.waiting.remove(&ticket).is_some() {
            state.queue.cancel(ticket);
            return;
        }
        // It was told to run and did not hear of it any more.
        if let Ok(Ok(())) = self.told.try_recv() {
            let grants = state.queue.finish(0, None, now);
            state.tell(grants, now);
        }
    }
}

/// The right to run at a model or plain service until it is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    gate: Arc<Gate>,
    cost: u32,
    started: Instant,
    whole: bool,
}

impl Permit {
    fn new(gate: &Arc<Gate>, cost: u32) -> Self {
        Permit {
            started: gate.clock.now(),
            gate: Arc::clone(gate),
            cost,
            whole: false,
        }
    }

    /// Notes that a whole answer came, so that its time counts.
    pub(crate) fn answered(&mut self) {
        self.whole = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let took = self.gate.clock.now().since(self.started);
        self.gate.leave(self.cost, self.whole.then_some(took));
    }
}

/// The gates of all models and plain services.
#[derive(Debug, Default)]
pub(crate) struct Gates {
    gates: ArcSwap<HashMap<CompactString, Arc<Gate>>>,
}

impl Gates {
    /// Gets a gate and creates it on first use.
    pub(crate) fn of(&self, model: bool, name: &str, clock: &Arc<dyn Clock>) -> Arc<Gate> {
        let kind = if model { "model" } else { "service" };
        let key = format_compact!("{kind}/{name}");
        if let Some(gate) = self.gates.load().get(&key) {
            return Arc::clone(gate);
        }
        let created = Arc::new(Gate::new(Arc::clone(clock)));
        self.gates.rcu(|gates| {
            let mut gates = HashMap::clone(gates);
            gates
                .entry(key.clone())
                .or_insert_with(|| Arc::clone(&created));
            gates
        });
        self.gates.load().get(&key).cloned().unwrap_or(created)
    }
}

fn overloaded(refusal: Refusal) -> Problem {
    let detail = format!("an answer would take about {}", refusal.expected);
    let problem = Problem::new(Reason::Overloaded, Step::Authenticated, detail);
    problem.retry_after(refusal.retry_after)
}
