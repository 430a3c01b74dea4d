//! Carries out the decisions of [`jackdaw_policy::once`] against the key-value service.
//!
//! A call costs two writes: its intent before the dispatch and its result after it. A repeat costs
//! one. Records expire with leases that a node shares among all of its calls of one period.

use std::collections::VecDeque;
use std::fmt;
use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use compact_str::CompactString;
use fail::fail_point;
use jackdaw_core::errors::Error;
use jackdaw_core::refusal::Reason;
use jackdaw_core::store::{Committed, Compare, Entry, Lease, Store, Transaction};
use jackdaw_core::time::Clock;
use jackdaw_core::token::Digest;
use jackdaw_core::units::Millis;
use jackdaw_policy::once::{
    Action, Attempt, Call, Condition, Event, Moment, Origin, Record, Request, Result, Seen, Write,
    path,
};
pub use jackdaw_policy::once::{Answer, Limits};
use tokio::time::timeout;

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
    /// Time in which the key-value service must answer one call.
    pub answer: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            limits: Limits::default(),
            retention: Millis::from_secs(24 * 60 * 60),
            lease_period: Millis::from_secs(300),
            answer: Millis::from_secs(1),
        }
    }
}

/// Why a call is refused; its attempt does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub reason: Reason,
    /// When to try again, if that can help.
    pub retry_after: Option<Millis>,
}

/// What a call may do.
#[derive(Debug)]
pub enum Begin {
    /// It may be dispatched.
    Run(Ticket),
    /// An earlier attempt completed with this answer.
    Stored(Answer),
    /// It is refused as not run.
    Refused(Refusal),
}

/// A lease that the records of one period share.
#[derive(Clone, Copy, Debug)]
struct Grant {
    lease: Lease,
    // Read before the service was asked, so that the lease lives at least its time from then on.
    asked: Moment,
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
    grant: tokio::sync::Mutex<Option<Grant>>,
    failed_grants: AtomicU64,
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
            grant: tokio::sync::Mutex::new(None),
            failed_grants: AtomicU64::new(0),
            backlog: Mutex::default(),
        })
    }

    /// Records the intent of a call, unless an earlier attempt stands in its way.
    ///
    /// The digest covers method, target and body, so that a key is not used for another request.
    /// Never waits longer than a few bounded calls of the key-value service.
    pub async fn begin(self: &Arc<Self>, team: &str, key: &str, digest: Digest) -> Begin {
        let started = self.moment();
        let Ok(lease) = self.shared_lease(started).await else {
            return Begin::Refused(self.platform_down());
        };
        let request = Request {
            team: team.into(),
            key: key.into(),
            digest,
        };
        let origin = Origin {
            node: self.node.clone(),
            attempt: self.next_attempt(),
            started,
        };
        let (mut call, first) = Call::open(request, origin, self.options.limits);
        match self.drive(&mut call, lease, first).await {
            Action::Run => {
                fail_point!("once-recorded");
                Begin::Run(Ticket {
                    ledger: Arc::clone(self),
                    call: Some(Box::new(call)),
                    lease,
                    dispatched: false,
                })
            }
            Action::Replay(answer) => Begin::Stored(answer),
            Action::Refuse {
                reason,
                retry_after,
            } => {
                self.keep(Box::new(call), lease, None);
                Begin::Refused(Refusal {
                    reason,
                    retry_after,
                })
            }
            Action::Write(_) | Action::Closed { .. } => Begin::Refused(self.platform_down()),
        }
    }

    /// Tries again to record results that the service did not take, and returns how many are left.
    ///
    /// Stops at the first that fails; the node calls it every few seconds and before it exits.
    pub async fn settle(&self) -> usize {
        let mut left = self.backlog();
        while left > 0 {
            let next = self.lock().pop_front();
            let Some(mut pending) = next else {
                break;
            };
            left -= 1;
            let action = pending.unsent.take().or_else(|| pending.call.settle());
            if let Some(action) = action {
                self.drive(&mut pending.call, pending.lease, action).await;
            }
            if !pending.call.is_settled() {
                self.keep(pending.call, pending.lease, None);
                break;
            }
        }
        self.backlog()
    }

    /// Gets the number of results that wait to be recorded.
    #[must_use]
    pub fn backlog(&self) -> usize {
        self.lock().len()
    }

    /// Carries out writes until the call decides something else.
    async fn drive(&self, call: &mut Call, lease: Lease, first: Action) -> Action {
        let mut action = first;
        while let Action::Write(write) = action {
            let event = self.write(lease, write).await;
            action = call.step(event, self.moment());
        }
        action
    }

    async fn write(&self, lease: Lease, write: Write) -> Event {
        let key = path(&write.record.team, &write.record.key);
        let Ok(value) = serde_json::to_vec(&write.record) else {
            return Event::Unsent;
        };
        let transaction = Transaction {
            when: vec![compare(&key, write.when)],
            then: vec![jackdaw_core::store::Write::Put {
                key: key.clone(),
                value,
                lease: Some(lease),
            }],
            otherwise: vec![key],
        };
        let answer = timeout(
            self.options.answer.duration(),
            self.store.commit(transaction),
        );
        match answer.await {
            Ok(Ok(Committed::Yes(revision))) => Event::Written(revision),
            Ok(Ok(Committed::No(found))) => read(found),
            Ok(Err(Error::Unreachable { .. })) => Event::Unsent,
            Ok(Err(Error::Refused { .. })) => {
                self.forget(lease).await;
                Event::Rejected
            }
            Ok(Err(Error::Indeterminate { .. } | Error::Malformed { .. })) | Err(_) => Event::Lost,
        }
    }

    /// Gets the lease of this period, granting a new one if the last is too old.
    async fn shared_lease(&self, at: Moment) -> std::result::Result<Lease, Error> {
        let failed_before = self.failed_grants.load(Ordering::SeqCst);
        let mut kept = self.grant.lock().await;
        if let Some(grant) = *kept
            && at.since(grant.asked) < self.options.lease_period
        {
            return Ok(grant.lease);
        }
        // Whoever waited while another call failed does not wait for the same failure again.
        if self.failed_grants.load(Ordering::SeqCst) != failed_before {
            let reason = "the lease was not granted";
            return Err(Error::unreachable("grant", "key-value service", reason));
        }
        let asked = self.moment();
        let ttl = Millis(self.options.retention.0 + self.options.lease_period.0);
        let answer = timeout(self.options.answer.duration(), self.store.grant(ttl)).await;
        let granted = answer.unwrap_or_else(|_| {
            let reason = "no answer in time";
            Err(Error::indeterminate("grant", "key-value service", reason))
        });
        match granted {
            Ok(lease) => *kept = Some(Grant { lease, asked }),
            Err(_) => {
                self.failed_grants.fetch_add(1, Ordering::SeqCst);
            }
        }
        granted
    }

    /// Stops sharing a lease that the service does not know.
    async fn forget(&self, lease: Lease) {
        let mut kept = self.grant.lock().await;
        if kept.is_some_and(|grant| grant.lease == lease) {
            *kept = None;
        }
    }

    /// Keeps a call until its result is recorded.
    fn keep(&self, call: Box<Call>, lease: Lease, unsent: Option<Action>) {
        if call.is_settled() {
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
        }
    }

    fn moment(&self) -> Moment {
        Moment {
            now: self.clock.now(),
            unix_ms: self.clock.unix_millis(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Pending>> {
        self.backlog.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The right to dispatch one call; ends by one of its last three methods.
///
/// A ticket that is dropped counts as not run before [`Ticket::may_dispatch`] has allowed a
/// dispatch, and as unknown after it.
#[derive(Debug)]
pub struct Ticket {
    ledger: Arc<Ledger>,
    call: Option<Box<Call>>,
    lease: Lease,
    dispatched: bool,
}

impl Ticket {
    /// Returns whether the first byte may be written to a backend server now.
    ///
    /// It is asked directly before that write, for each backend server that is tried anew.
    pub fn may_dispatch(&mut self) -> bool {
        let at = self.ledger.moment();
        let allowed = self.call.as_ref().is_some_and(|call| call.may_dispatch(at));
        self.dispatched |= allowed;
        allowed
    }

    /// Notes that a dispatch which was allowed wrote nothing, so that another may be tried.
    pub fn nothing_written(&mut self) {
        self.dispatched = false;
    }

    /// Records the whole answer; returns whether the service took it.
    pub async fn completed(self, answer: Answer) -> bool {
        self.close(Result::Completed(answer)).await
    }

    /// Records that nothing was written to a backend server, so that a repeat may run.
    pub async fn not_run(self) -> bool {
        self.close(Result::NotRun).await
    }

    /// Records that something was written and no whole answer came.
    pub async fn unknown(self) -> bool {
        self.close(Result::Unknown).await
    }

    async fn close(mut self, result: Result) -> bool {
        let Some(mut call) = self.call.take() else {
            return false;
        };
        fail_point!("once-ended");
        let first = call.close(result);
        // A caller that goes away while the result is written must not lose it.
        let mut guard = Closing {
            ledger: Arc::clone(&self.ledger),
            call: Some(call),
            lease: self.lease,
            unsent: Some(first.clone()),
        };
        let Some(call) = guard.call.as_mut() else {
            return false;
        };
        let last = self.ledger.drive(call, self.lease, first).await;
        guard.unsent = None;
        fail_point!("once-closed");
        last == Action::Closed { recorded: true }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let Some(mut call) = self.call.take() else {
            return;
        };
        let result = if self.dispatched {
            Result::Unknown
        } else {
            Result::NotRun
        };
        let unsent = call.close(result);
        self.ledger.keep(call, self.lease, Some(unsent));
    }
}

/// A result on its way; whatever is unsettled at its end goes to the backlog.
struct Closing {
    ledger: Arc<Ledger>,
    call: Option<Box<Call>>,
    lease: Lease,
    unsent: Option<Action>,
}

impl Drop for Closing {
    fn drop(&mut self) {
        if let Some(call) = self.call.take() {
            self.ledger.keep(call, self.lease, self.unsent.take());
        }
    }
}

fn compare(key: &CompactString, when: Condition) -> Compare {
    match when {
        Condition::Absent => Compare::Absent(key.clone()),
        Condition::Unchanged(revision) => Compare::ModRevision(key.clone(), revision),
    }
}

/// Reads the record that stands in the way of a write.
fn read(found: Vec<Entry>) -> Event {
    let Some(entry) = found.into_iter().next() else {
        return Event::Found(None);
    };
    match serde_json::from_slice::<Record>(&entry.value) {
        Ok(record) => Event::Found(Some(Seen {
            record,
            revision: entry.mod_revision,
        })),
        // A record of another format may stand for a call that ran, so this one does not run.
        Err(_) => Event::Rejected,
    }
}
