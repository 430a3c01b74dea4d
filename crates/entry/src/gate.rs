//! Limits the concurrent requests to each model or plain service and queues the rest fairly.

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

use crate::exchange::to_timer_millis;
use crate::problem::Problem;

/// Result that a queued request receives: permission to run, or a refusal.
type QueueResult = Result<(), Refusal>;

#[derive(Debug)]
struct State {
    queue: Queue,
    waiting: HashMap<Ticket, oneshot::Sender<QueueResult>>,
}

impl State {
    /// Sends results to queued requests.
    ///
    /// The place of a request that no longer waits goes to another one.
    fn notify(&mut self, mut wakeups: Vec<Wakeup>, now: Instant) {
        while let Some(wakeup) = wakeups.pop() {
            let (ticket, result) = match wakeup {
                Wakeup::Run(ticket) => (ticket, Ok(())),
                Wakeup::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            let sender = self.waiting.remove(&ticket);
            let delivered = sender.is_some_and(|sender| sender.send(result).is_ok());
            if !delivered && result.is_ok() {
                wakeups.extend(self.queue.finish(0, None, now));
            }
        }
    }
}

/// Concurrency limit and queue of one model or plain service on this node.
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

    /// Waits until a request may run.
    ///
    /// # Errors
    ///
    /// Returns a problem as soon as the request cannot be answered in time.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        arrival: Arrival,
        limit: u32,
    ) -> Result<Permit, Problem> {
        let (cost, deadline) = (arrival.cost, arrival.deadline);
        let Some(mut queued) = self.enqueue(arrival, limit)? else {
            return Ok(Permit::new(self, cost));
        };
        let remaining = deadline.since(self.clock.now());
        match time::timeout(to_timer_millis(remaining), &mut queued.receiver).await {
            Ok(Ok(Ok(()))) => {
                queued.ticket = None;
                Ok(Permit::new(self, cost))
            }
            Ok(Ok(Err(refusal))) => {
                queued.ticket = None;
                Err(build_overload_problem(refusal))
            }
            Ok(Err(_)) | Err(()) => {
                let detail = "the deadline passed while the request waited";
                Err(Problem::new(Reason::Deadline, Step::Authenticated, detail))
            }
        }
    }

    fn enqueue(self: &Arc<Self>, arrival: Arrival, limit: u32) -> Result<Option<Queued>, Problem> {
        let now = self.clock.now();
        let mut state = self.lock();
        let wakeups = state.queue.set_limit(limit, now);
        state.notify(wakeups, now);
        match state.queue.admit(arrival, now) {
            Admission::Run => Ok(None),
            Admission::Refuse(refusal) => Err(build_overload_problem(refusal)),
            Admission::Wait(ticket, evicted) => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                state.notify(evicted.into_iter().collect(), now);
                Ok(Some(Queued {
                    gate: Arc::clone(self),
                    ticket: Some(ticket),
                    receiver,
                }))
            }
        }
    }

    fn release(&self, cost: u32, duration: Option<Millis>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let wakeups = state.queue.finish(cost, duration, now);
        state.notify(wakeups, now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A queued request, which leaves the queue when it is dropped.
struct Queued {
    gate: Arc<Gate>,
    ticket: Option<Ticket>,
    receiver: oneshot::Receiver<QueueResult>,
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
        // Permission to run was sent but not received, so its place goes to another request.
        if let Ok(Ok(())) = self.receiver.try_recv() {
            let wakeups = state.queue.finish(0, None, now);
            state.notify(wakeups, now);
        }
    }
}

/// Permission to run at a model or plain service until it is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    gate: Arc<Gate>,
    cost: u32,
    started: Instant,
    completed: bool,
}

impl Permit {
    fn new(gate: &Arc<Gate>, cost: u32) -> Self {
        Permit {
            started: gate.clock.now(),
            gate: Arc::clone(gate),
            cost,
            completed: false,
        }
    }

    /// Marks the answer as complete, so that its duration counts in the queue's estimates.
    pub(crate) fn mark_completed(&mut self) {
        self.completed = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let duration = self.gate.clock.now().since(self.started);
        self.gate
            .release(self.cost, self.completed.then_some(duration));
    }
}

/// The gates of all models and plain services.
#[derive(Debug, Default)]
pub(crate) struct Gates {
    gates: ArcSwap<HashMap<CompactString, Arc<Gate>>>,
}

impl Gates {
    /// Gets the gate of a model or plain service, creating it on first use.
    pub(crate) fn get_or_create(
        &self,
        is_model: bool,
        name: &str,
        clock: &Arc<dyn Clock>,
    ) -> Arc<Gate> {
        let kind = if is_model { "model" } else { "service" };
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

fn build_overload_problem(refusal: Refusal) -> Problem {
    let detail = format!("an answer would take about {}", refusal.expected);
    let problem = Problem::new(Reason::Overloaded, Step::Authenticated, detail);
    problem.with_retry_after(refusal.retry_after)
}
