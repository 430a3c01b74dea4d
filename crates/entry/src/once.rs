//! Executes the decisions of [`jackdaw_policy::once`] against the key-value service.
//!
//! A call costs two writes: its intent before the dispatch and its result afterwards. A repeated
//! call costs one. Records expire with leases, each of which a node shares among all calls of one
//! period.

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

/// Largest number of results waiting to be recorded. Beyond it the oldest is dropped, and its call
/// remains one that may have run.
const MAX_BACKLOG_LEN: usize = 4_096;

/// Bounds and periods of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Bounds of each call.
    pub limits: Limits,
    /// Minimum time for which a key is remembered; far longer than the dispatch window.
    pub retention: Millis,
    /// Time for which the records of a node share one lease.
    pub lease_period: Millis,
    /// Timeout of one call to the key-value service; longer than the timeouts of its client, which
    /// discards a silent connection only after its own timeout.
    pub store_timeout: Millis,
    /// Longest time for which an answer to the caller is held back until it is recorded.
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
    /// Reason that the caller is given.
    pub reason: Reason,
    /// Delay before another try, if a retry can help.
    pub retry_after: Option<Millis>,
    /// Explanation for operators; the request path adds the request and publishes it.
    pub explanation: Option<Box<Decision>>,
}

/// Result of claiming a key for a call.
#[derive(Debug)]
pub enum Claim {
    /// The call may be dispatched.
    Run(Ticket),
    /// An earlier attempt completed with this answer.
    Stored(Answer),
    /// The call is refused, and this attempt does not run.
    Refused(Refusal),
}

/// A call whose result is not recorded yet.
#[derive(Debug)]
struct Pending {
    call: Box<Call>,
    lease: Lease,
    // Write that is still to be sent, for a call that was dropped.
    unsent: Option<Action>,
}

/// The records of one node's non-idempotent calls.
pub struct Ledger {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    node: CompactString,
    options: Options,
    // Keyed by random numbers of the operating system; each hashes to one half of an attempt's id.
    seeds: [RandomState; 2],
    attempts: AtomicU64,
    lease_cache: lease::Cache,
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
    /// Creates the ledger of a node.
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
            lease_cache: lease::Cache::default(),
            counters: Arc::default(),
            backlog: Mutex::default(),
        })
    }

    /// Records the intent of a call, unless an earlier attempt with the same key prevents it.
    ///
    /// The digest covers method, target and body, so that a key cannot be reused for another
    /// request. The wait is bounded by a few calls to the key-value service, each with a timeout.
    pub async fn claim(self: &Arc<Self>, team: &str, key: &str, digest: Digest) -> Claim {
        let started = self.timestamp();
        let store = self.store.as_ref();
        let Ok(lease) = self
            .lease_cache
            .get_or_grant(store, &self.options, started)
            .await
        else {
            return Claim::Refused(self.platform_down());
        };
        let request = Request {
            team: team.into(),
            key: key.into(),
            digest,
        };
        let initiator = Initiator {
            node: self.node.clone(),
            attempt: self.next_attempt(),
            started,
        };
        let (mut call, first) = Call::open(request, initiator, self.options.limits);
        let action = self.run_writes(&mut call, lease, first).await;
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
                self.enqueue_pending(Box::new(call), lease, None);
                Claim::Refused(Refusal {
                    reason,
                    retry_after,
                    explanation,
                })
            }
            Action::Write(_) | Action::Closed { .. } => Claim::Refused(self.platform_down()),
        }
    }

    /// Retries recording the results in the backlog, and returns how many remain.
    ///
    /// Stops at the first failure. The node calls this every few seconds and before it exits.
    pub async fn retry_pending(&self) -> usize {
        let mut remaining = self.backlog_len();
        while remaining > 0 {
            let first = self.lock().pop_front();
            let Some(mut pending) = first else {
                break;
            };
            remaining -= 1;
            let action = pending.unsent.take().or_else(|| pending.call.retry_write());
            if let Some(action) = action {
                self.run_writes(&mut pending.call, pending.lease, action)
                    .await;
            }
            if !pending.call.is_finished() {
                self.enqueue_pending(pending.call, pending.lease, None);
                break;
            }
        }
        self.backlog_len()
    }

    /// Registers the counters of record writes in a meter.
    pub fn register_metrics(&self, meter: &Meter) {
        self.counters.register(meter);
    }

    /// Returns the number of results waiting to be recorded.
    #[must_use]
    pub fn backlog_len(&self) -> usize {
        self.lock().len()
    }

    /// Executes writes until the call's next action is not a write, and returns that action.
    async fn run_writes(&self, call: &mut Call, lease: Lease, first: Action) -> Action {
        let mut action = first;
        while let Action::Write(write) = action {
            let event = self.write(lease, &write).await;
            action = call.step(event, self.timestamp());
        }
        action
    }

    async fn write(&self, lease: Lease, write: &Write) -> Event {
        let Ok(transaction) = encoding::encode_write(write, lease) else {
            return Event::Unsent;
        };
        let store_timeout = self.options.store_timeout.duration();
        let answer = timeout(store_timeout, self.store.commit(transaction)).await;
        if let Ok(Err(Error::Refused { .. })) = answer {
            self.lease_cache.invalidate(lease).await;
        }
        let event = answer.map_or(Event::Lost, encoding::decode_answer);
        self.counters.count(&event);
        event
    }

    /// Adds an unfinished call to the backlog.
    fn enqueue_pending(&self, call: Box<Call>, lease: Lease, unsent: Option<Action>) {
        if call.is_finished() {
            return;
        }
        let mut backlog = self.lock();
        if backlog.len() == MAX_BACKLOG_LEN {
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
        for (chunk, seed) in bytes.chunks_exact_mut(8).zip(&self.seeds) {
            chunk.copy_from_slice(&seed.hash_one(number).to_be_bytes());
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

    fn timestamp(&self) -> Timestamp {
        Timestamp {
            monotonic: self.clock.now(),
            unix_ms: self.clock.unix_millis(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Pending>> {
        self.backlog.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
