//! In-memory key-value service within the process.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;
use compact_str::CompactString;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Change, Committed, Entry, Lease, Store, Transaction, Watch};
use jackdaw_core::time::{Clock, Instant, SystemClock};
use jackdaw_core::units::Millis;
use tokio::sync::watch;

use super::fault::{Counts, Fault, Plan};
use super::state::{PEER, State};

/// Longest time that a watch waits before it checks for expired leases again.
const MAX_WATCH_WAIT: Millis = Millis(1_000);

/// A call whose effect is deferred until the next fault is set.
type DeferredCall = Box<dyn FnOnce(&mut State, Instant) + Send>;

/// State of the service, guarded by the lock.
#[derive(Default)]
struct Inner {
    state: State,
    plan: Plan,
    counts: Counts,
    deferred: Vec<DeferredCall>,
}

struct Shared {
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
    // Grows with each change of state or fault and so wakes the waiting tasks.
    version: watch::Sender<u64>,
}

/// The key-value service in memory; clones share one service.
#[derive(Clone)]
pub struct Memory {
    shared: Arc<Shared>,
}

impl fmt::Debug for Memory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Memory").finish_non_exhaustive()
    }
}

impl Default for Memory {
    fn default() -> Self {
        Memory::new(Arc::new(SystemClock::default()))
    }
}

impl Memory {
    /// Creates an empty service whose leases expire by a clock.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Memory {
            shared: Arc::new(Shared {
                clock,
                inner: Mutex::default(),
                version: watch::Sender::new(0),
            }),
        }
    }

    /// Sets the fault for every call from now on and releases what the previous fault held.
    pub fn set(&self, fault: Fault) {
        self.update(|inner, now| {
            inner.plan.for_all_calls = fault;
            inner.plan.times_set += 1;
            inner.state.freeze(fault == Fault::Stale);
            for call in inner.deferred.drain(..) {
                call(&mut inner.state, now);
            }
        });
    }

    /// Plans a fault for the next transaction that puts a key with a prefix and that no other
    /// fault is planned for; an empty prefix matches any transaction. What the fault holds is
    /// released by the next [`Memory::set`].
    pub fn plan(&self, prefix: &str, fault: Fault) {
        self.update(|inner, _| inner.plan.planned.push_back((prefix.into(), fault)));
    }

    /// Waits until every planned fault has been applied to a transaction.
    pub async fn wait_for_plans(&self) {
        let mut version = self.shared.version.subscribe();
        while !self.lock().plan.planned.is_empty() {
            // The sender lives as long as this service, so the channel cannot close.
            let _ = version.changed().await;
        }
    }

    /// Discards the planned faults that have not been applied yet.
    pub fn drop_plans(&self) {
        self.update(|inner, _| inner.plan.planned.clear());
    }

    /// Ends a lease as if its time had run out.
    pub fn lapse(&self, lease: Lease) {
        // A lease that has ended already needs no revocation.
        self.update(|inner, _| drop(inner.state.revoke(lease)));
    }

    /// Ends every lease that has expired by the clock and notifies the watches.
    pub fn expire(&self) {
        self.update(|_, _| {});
    }

    /// Gets the number of calls so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Gets the revision of the last change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.lock().state.revision()
    }

    /// Waits until the service has received calls for which a condition holds.
    pub async fn wait_for_counts(&self, is_enough: impl Fn(Counts) -> bool) {
        let mut version = self.shared.version.subscribe();
        while !is_enough(self.counts()) {
            // The sender lives as long as this service, so the channel cannot close.
            let _ = version.changed().await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.shared
            .inner
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends expired leases, runs a closure under the lock and wakes the waiting tasks.
    fn update<T>(&self, operation: impl FnOnce(&mut Inner, Instant) -> T) -> T {
        let now = self.shared.clock.now();
        let result = {
            let mut inner = self.lock();
            inner.state.expire(now);
            operation(&mut inner, now)
        };
        self.shared.version.send_modify(|version| *version += 1);
        result
    }

    /// Waits until the next fault is set.
    async fn wait_for_release(&self) {
        let mut version = self.shared.version.subscribe();
        let initial = self.lock().plan.times_set;
        while self.lock().plan.times_set == initial {
            // The sender lives as long as this service, so the channel cannot close.
            let _ = version.changed().await;
        }
    }

    async fn read<T>(
        &self,
        operation: &'static str,
        fault: Fault,
        read: impl Fn(&State) -> T,
    ) -> Result<T> {
        match fault {
            Fault::None | Fault::Stale => {}
            Fault::Refuse => return Err(Error::unreachable(operation, PEER, "connection refused")),
            Fault::Down | Fault::LoseAnswer | Fault::Late => {
                return Err(Error::indeterminate(operation, PEER, "no answer"));
            }
            Fault::HoldCall => self.wait_for_release().await,
            Fault::HoldAnswer => {
                let value = self.update(|inner, _| read(&inner.state));
                self.wait_for_release().await;
                return Ok(value);
            }
        }
        Ok(self.update(|inner, _| read(&inner.state)))
    }

    async fn write<T: Send + 'static>(
        &self,
        operation: &'static str,
        fault: Fault,
        apply: impl FnOnce(&mut State, Instant) -> Result<T> + Send + 'static,
    ) -> Result<T> {
        let no_answer = || Error::indeterminate(operation, PEER, "no answer");
        match fault {
            Fault::None | Fault::Stale => {}
            Fault::Refuse => return Err(Error::unreachable(operation, PEER, "connection refused")),
            Fault::Down => return Err(no_answer()),
            Fault::LoseAnswer => {
                let _ = self.update(|inner, now| apply(&mut inner.state, now));
                return Err(no_answer());
            }
            Fault::Late => {
                let deferred: DeferredCall = Box::new(move |state, now| drop(apply(state, now)));
                self.update(|inner, _| inner.deferred.push(deferred));
                return Err(no_answer());
            }
            Fault::HoldCall => self.wait_for_release().await,
            Fault::HoldAnswer => {
                let answer = self.update(|inner, now| apply(&mut inner.state, now));
                self.wait_for_release().await;
                return answer;
            }
        }
        self.update(|inner, now| apply(&mut inner.state, now))
    }

    /// Counts a call and returns the fault that applies to it.
    fn count_call(&self, count: impl FnOnce(&mut Counts)) -> Fault {
        self.update(|inner, _| {
            count(&mut inner.counts);
            inner.plan.for_all_calls
        })
    }
}

#[async_trait]
impl Store for Memory {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        let fault = self.count_call(|counts| counts.reads += 1);
        self.read("get", fault, |state| state.get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        let fault = self.count_call(|counts| counts.reads += 1);
        self.read("list", fault, |state| state.list(prefix)).await
    }

    async fn commit(&self, transaction: Transaction) -> Result<Committed> {
        let default = self.count_call(|counts| counts.writes += 1);
        let planned = self.update(|inner, _| inner.plan.take_planned(&transaction));
        let fault = planned.unwrap_or(default);
        self.write("commit", fault, |state, _| state.commit(transaction))
            .await
    }

    async fn grant(&self, ttl: Millis) -> Result<Lease> {
        let fault = self.count_call(|counts| counts.leases += 1);
        self.write("grant", fault, move |state, now| Ok(state.grant(ttl, now)))
            .await
    }

    async fn renew(&self, lease: Lease) -> Result<Millis> {
        let fault = self.count_call(|counts| counts.leases += 1);
        self.write(
            "renew",
            fault,
            move |state, now| Ok(state.renew(lease, now)),
        )
        .await
    }

    async fn revoke(&self, lease: Lease) -> Result<()> {
        let fault = self.count_call(|counts| counts.leases += 1);
        self.write("revoke", fault, move |state, _| state.revoke(lease))
            .await
    }

    async fn watch(&self, prefix: &str, from: u64) -> Result<Box<dyn Watch>> {
        let fault = self.count_call(|counts| counts.watches += 1);
        let position = self
            .read("watch", fault, |state| state.position_from(from))
            .await?;
        Ok(Box::new(Subscription {
            service: self.clone(),
            version: self.shared.version.subscribe(),
            prefix: prefix.into(),
            position,
        }))
    }
}

/// A watch on the service.
struct Subscription {
    service: Memory,
    version: watch::Receiver<u64>,
    prefix: CompactString,
    position: usize,
}

impl Subscription {
    /// Gets the changes since the last call, or `None` while the service is unreachable.
    fn poll(&mut self) -> Option<Vec<Change>> {
        let now = self.service.shared.clock.now();
        let mut inner = self.service.lock();
        inner.state.expire(now);
        match inner.plan.for_all_calls {
            Fault::Refuse | Fault::Down => return None,
            Fault::HoldCall | Fault::HoldAnswer | Fault::Stale => return Some(Vec::new()),
            Fault::None | Fault::LoseAnswer | Fault::Late => {}
        }
        let changes = inner.state.changes_since(self.position, &self.prefix);
        self.position = inner.state.change_count();
        Some(changes.into_iter().map(|(_, change)| change).collect())
    }

    /// Gets the time until the next lease expires, at most [`MAX_WATCH_WAIT`].
    fn time_until_expiry(&self) -> Millis {
        let now = self.service.shared.clock.now();
        let next = self.service.lock().state.next_expiry();
        next.map_or(MAX_WATCH_WAIT, |at| at.since(now).min(MAX_WATCH_WAIT))
    }
}

#[async_trait]
impl Watch for Subscription {
    async fn next(&mut self) -> Option<Vec<Change>> {
        loop {
            self.version.mark_unchanged();
            let changes = self.poll()?;
            if !changes.is_empty() {
                return Some(changes);
            }
            let wait = self.time_until_expiry().max(Millis(1)).duration();
            tokio::select! {
                _ = self.version.changed() => {}
                () = tokio::time::sleep(wait) => {}
            }
        }
    }
}
