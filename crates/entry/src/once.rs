//! Carries out the decisions of [`jackdaw_policy::once`] against the key-value service.
//!
//! A call costs two writes: its intent before the dispatch and its result after it. A repeat costs
//! one. Records expire with leases that a node shares among all of its calls of one period.

mod counter;
mod encoding;
mod lease;
mod ticket;

use std::collections::VecDeque;
use std::fmt;
use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use compact_str::CompactString;
use fail::fail_point;
use jackdaw_core::decision::Decision;
use jackdaw_core::errors::Error;
use jackdaw_core::refusal::Reason;
use jackdaw_core::store::{Lease, Store};
use jackdaw_core::time::Clock;
use jackdaw_core::token::Digest;
use jackdaw_core::units::Millis;
use jackdaw_policy::once::{Action, Attempt, Call, Event, Initiator, Request, Timestamp, Write};
pub use jackdaw_policy::once::{Answer, Limits};
use opentelemetry::metrics::Meter;
use tokio::time::timeout;

use counter::Counters;
pub use ticket::Ticket;

/// Results that wait to be recorded; beyond these the oldest is dropped, and its call stays one
/// that may have run.
const BACKLOG: usize = 4_096;

/// Bounds and periods of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Bounds of each call.
    pub limits: Limits,
    /// Time for which a key is remembered at least; far above the dispatch window.
    pub retention: Millis,
    /// Time in which the records of a node share one lease.
    pub lease_period: Millis,
    /// Time in which the key-value service must answer one call; longer than the bounds of its
    /// client, which retires a silent connection only when its own time has passed.
    pub store_timeout: Millis,
    /// Longest time for which an answer to the caller waits until it is recorded.
    pub record_timeout: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            limits: Limits::default(),
            retention: Millis::from_secs(24 * 60 * 60),
            lease_period: Millis::from_secs(300),
            store_timeout: Millis(1_250),
            record_timeout: Millis(250),
        }
    }
}

/// Why a call is refused; its attempt does not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub reason: Reason,
    /// When to try again, if that can help.
    pub retry_after: Option<Millis>,
    /// What was seen and weighed; the request path adds the request and passes it on.
    pub explanation: Option<Box<Decision>>,
}

/// What a call may do.
#[derive(Debug)]
pub enum Claim {
    /// It may be dispatched.
    Run(Ticket),
    /// An earlier attempt completed with this answer.
    Stored(Answer),
    /// It is refused as not run.
    Refused(Refusal),
}

/// A call whose result is not recorded yet.
#[derive(Debug)]
struct Pending {
    call: Box<Call>,
    lease: Lease,
    // A write that has not been sent, for a call that was dropped.
    unsent: Option<Action>,
}

/// The records of one node's non-idempotent calls.
pub struct Ledger {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    node: CompactString,
    options: Options,
    // Keyed by random numbers of the operating system; two of them make up an attempt's identity.
    seeds: [RandomState; 2],
    attempts: AtomicU64,
    lease: lease::Shared,
    counters: Arc<Counters>,
    backlog: Mutex<VecDeque<Pending>>,
}

impl fmt::Debug for Ledger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Ledger")
            .field("node", &self.node)
            .finish_non_exhaustive()
    }
}

impl Ledger {
    /// Creates a ledger of a node.
    #[must_use]
    pub fn new(
        store: Arc<dyn Store>,
        clock: Arc<dyn Clock>,
        node: &str,
        options: Options,
    ) -> Arc<Self> {
        Arc::new(Ledger {
            store,
            clock,
            node: node.into(),
            options,
            seeds: [RandomState::new(), RandomState::new()],
            attempts: AtomicU64::new(0),
            lease: lease::Shared::default(),
            counters: Arc::default(),
            backlog: Mutex::default(),
        })
    }

    /// Records the intent of a call, unless an earlier attempt stands in its way.
    ///
    /// The digest covers method, target and body, so that a key is not used for another request.
    /// Never waits longer than a few bounded calls of the key-value service.
    pub async fn claim(self: &Arc<Self>, team: &str, key: &str, digest: Digest) -> Claim {
        let started = self.moment();
        let store = self.store.as_ref();
        let Ok(lease) = self.lease.get(store, &self.options, started).await else {
            return Claim::Refused(self.platform_down());
        };
        let request = Request {
            team: team.into(),
            key: key.into(),
            digest,
        };
        let origin = Initiator {
            node: self.node.clone(),
            attempt: self.next_attempt(),
            started,
        };
        let (mut call, first) = Call::open(request, origin, self.options.limits);
        let action = self.drive(&mut call, lease, first).await;
        let explanation = call.explain(&action).map(Box::new);
        match action {
            Action::Run => {
                fail_point!("once-recorded");
                Claim::Run(Ticket::new(self, call, lease))
            }
            Action::Replay(answer) => Claim::Stored(answer),
            Action::Refuse {
                reason,
                retry_after,
            } => {
                self.keep(Box::new(call), lease, None);
                Claim::Refused(Refusal {
                    reason,
                    retry_after,
                    explanation,
                })
            }
            Action::Write(_) | Action::Closed { .. } => Claim::Refused(self.platform_down()),
        }
    }

    /// Tries again to record results that the service did not take, and returns how many are left.
    ///
    /// Stops at the first that fails; the node calls it every few seconds and before it exits.
    pub async fn retry_pending(&self) -> usize {
        let mut left = self.backlog_len();
        while left > 0 {
            let next = self.lock().pop_front();
            let Some(mut pending) = next else {
                break;
            };
            left -= 1;
            let action = pending.unsent.take().or_else(|| pending.call.retry_write());
            if let Some(action) = action {
                self.drive(&mut pending.call, pending.lease, action).await;
            }
            if !pending.call.is_finished() {
                self.keep(pending.call, pending.lease, None);
                break;
            }
        }
        self.backlog_len()
    }

    /// Shows in a meter how the writes of records ended.
    pub fn register_metrics(&self, meter: &Meter) {
        self.counters.register(meter);
    }

    /// Gets the number of results that wait to be recorded.
    #[must_use]
    pub fn backlog_len(&self) -> usize {
        self.lock().len()
    }

    /// Carries out writes until the call decides something else.
    async fn drive(&self, call: &mut Call, lease: Lease, first: Action) -> Action {
        let mut action = first;
        while let Action::Write(write) = action {
            let event = self.write(lease, &write).await;
            action = call.step(event, self.moment());
        }
        action
    }

    async fn write(&self, lease: Lease, write: &Write) -> Event {
        let Ok(transaction) = encoding::transaction(write, lease) else {
            return Event::Unsent;
        };
        let bound = self.options.store_timeout.duration();
        let answer = timeout(bound, self.store.commit(transaction)).await;
        if let Ok(Err(Error::Refused { .. })) = answer {
            self.lease.forget(lease).await;
        }
        let event = answer.map_or(Event::Lost, encoding::event);
        self.counters.count(&event);
        event
    }

    /// Keeps a call until its result is recorded.
    fn keep(&self, call: Box<Call>, lease: Lease, unsent: Option<Action>) {
        if call.is_finished() {
            return;
        }
        let mut backlog = self.lock();
        if backlog.len() == BACKLOG {
            backlog.pop_front();
        }
        backlog.push_back(Pending {
            call,
            lease,
            unsent,
        });
    }

    fn next_attempt(&self) -> Attempt {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        let mut bytes = [0; 16];
        for (half, seed) in bytes.chunks_exact_mut(8).zip(&self.seeds) {
            half.copy_from_slice(&seed.hash_one(number).to_be_bytes());
        }
        Attempt(bytes)
    }

    fn platform_down(&self) -> Refusal {
        Refusal {
            reason: Reason::PlatformDown,
            retry_after: Some(self.options.limits.retry_after),
            explanation: None,
        }
    }

    fn moment(&self) -> Timestamp {
        Timestamp {
            monotonic: self.clock.now(),
            unix_ms: self.clock.unix_millis(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Pending>> {
        self.backlog.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
