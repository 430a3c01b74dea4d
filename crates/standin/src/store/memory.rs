//! The key-value service within the process.

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

/// Longest time that a watch waits before it looks for lapsed leases again.
const EXPIRY_CHECK: Millis = Millis(1_000);

/// A call whose effect comes later.
type Late = Box<dyn FnOnce(&mut State, Instant) + Send>;

/// Everything behind the lock.
#[derive(Default)]
struct Inner {
    state: State,
    plan: Plan,
    counts: Counts,
    late: Vec<Late>,
}

struct Shared {
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
    // Carries a number that grows with each change of state or fault, to wake those who wait.
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
    /// Creates an empty service whose leases lapse by a clock.
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

    /// Sets the fault for every call from now on, and lets go whatever the last fault held.
    pub fn set(&self, fault: Fault) {
        self.change(|inner, now| {
            inner.plan.standing = fault;
            inner.plan.releases += 1;
            inner.state.freeze(fault == Fault::Stale);
            for call in inner.late.drain(..) {
                call(&mut inner.state, now);
            }
        });
    }

    /// Plans a fault for the next transaction that puts a key with a prefix and that no other
    /// fault is planned for; an empty prefix stands for any transaction. What it holds is let go
    /// by the next [`Memory::set`].
    pub fn plan(&self, prefix: &str, fault: Fault) {
        self.change(|inner, _| inner.plan.next.push_back((prefix.into(), fault)));
    }

    /// Waits until every planned fault has met its transaction.
    pub async fn wait_for_plans(&self) {
        let mut version = self.shared.version.subscribe();
        while !self.lock().plan.next.is_empty() {
            // The sender lives as long as this service, so the channel cannot close.
            let _ = version.changed().await;
        }
    }

    /// Drops the planned faults that no transaction has met yet.
    pub fn drop_plans(&self) {
        self.change(|inner, _| inner.plan.next.clear());
    }

    /// Ends a lease as if its time had run out.
    pub fn lapse(&self, lease: Lease) {
        // A lease that is gone already needs no ending.
        self.change(|inner, _| drop(inner.state.revoke(lease)));
    }

    /// Ends every lease whose time has run out by the clock, and tells the watches.
    pub fn expire(&self) {
        self.change(|_, _| {});
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

    /// Runs a step under the lock, after lapsed leases have ended, and wakes those who wait.
    fn change<T>(&self, step: impl FnOnce(&mut Inner, Instant) -> T) -> T {
        let now = self.shared.clock.now();
        let result = {
            let mut inner = self.lock();
            inner.state.expire(now);
            step(&mut inner, now)
        };
        self.shared.version.send_modify(|version| *version += 1);
        result
    }

    /// Waits until the next fault is set.
    async fn released(&self) {
        let mut version = self.shared.version.subscribe();
        let before = self.lock().plan.releases;
        while self.lock().plan.releases == before {
            // The sender lives as long as this service, so the channel cannot close.
            let _ = version.changed().await;
        }
    }

    async fn read<T>(
        &self,
        step: &'static str,
        fault: Fault,
        read: impl Fn(&State) -> T,
    ) -> Result<T> {
        match fault {
            Fault::None | Fault::Stale => {}
            Fault::Refuse => return Err(Error::unreachable(step, PEER, "connection refused")),
            Fault::Down | Fault::LoseAnswer | Fault::Late => {
                return Err(Error::indeterminate(step, PEER, "no answer"));
            }
            Fault::HoldCall => self.released().await,
            Fault::HoldAnswer => {
                let found = self.change(|inner, _| read(&inner.state));
                self.released().await;
                return Ok(found);
            }
        }
        Ok(self.change(|inner, _| read(&inner.state)))
    }

    async fn write<T: Send + 'static>(
        &self,
        step: &'static str,
        fault: Fault,
        apply: impl FnOnce(&mut State, Instant) -> Result<T> + Send + 'static,
    ) -> Result<T> {
        let lost = || Error::indeterminate(step, PEER, "no answer");
        match fault {
            Fault::None | Fault::Stale => {}
            Fault::Refuse => return Err(Error::unreachable(step, PEER, "connection refused")),
            Fault::Down => return Err(lost()),
            Fault::LoseAnswer => {
                let _ = self.change(|inner, now| apply(&mut inner.state, now));
                return Err(lost());
            }
            Fault::Late => {
                let late: Late = Box::new(move |state, now| drop(apply(state, now)));
                self.change(|inner, _| inner.late.push(late));
                return Err(lost());
            }
            Fault::HoldCall => self.released().await,
            Fault::HoldAnswer => {
                let answer = self.change(|inner, now| apply(&mut inner.state, now));
                self.released().await;
                return answer;
            }
        }
        self.change(|inner, now| apply(&mut inner.state, now))
    }

    /// Counts a call and returns the fault that it meets.
    fn receive(&self, count: impl FnOnce(&mut Counts)) -> Fault {
        self.change(|inner, _| {
            count(&mut inner.counts);
            inner.plan.standing
        })
    }
}

#[async_trait]
impl Store for Memory {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        let fault = self.receive(|counts| counts.reads += 1);
        self.read("get", fault, |state| state.get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        let fault = self.receive(|counts| counts.reads += 1);
        self.read("list", fault, |state| state.list(prefix)).await
    }

    async fn commit(&self, transaction: Transaction) -> Result<Committed> {
        let standing = self.receive(|counts| counts.writes += 1);
        let planned = self.change(|inner, _| inner.plan.take(&transaction));
        let fault = planned.unwrap_or(standing);
        self.write("commit", fault, |state, _| state.commit(transaction))
            .await
    }

    async fn grant(&self, ttl: Millis) -> Result<Lease> {
        let fault = self.receive(|counts| counts.leases += 1);
        self.write("grant", fault, move |state, now| Ok(state.grant(ttl, now)))
            .await
    }

    async fn renew(&self, lease: Lease) -> Result<Millis> {
        let fault = self.receive(|counts| counts.leases += 1);
        self.write(
            "renew",
            fault,
            move |state, now| Ok(state.renew(lease, now)),
        )
        .await
    }

    async fn revoke(&self, lease: Lease) -> Result<()> {
        let fault = self.receive(|counts| counts.leases += 1);
        self.write("revoke", fault, move |state, _| state.revoke(lease))
            .await
    }

    async fn watch(&self, prefix: &str, from: u64) -> Result<Box<dyn Watch>> {
        let fault = self.receive(|counts| counts.watches += 1);
        let place = self.read("watch", fault, |state| state.place(from)).await?;
        Ok(Box::new(Follower {
            service: self.clone(),
            version: self.shared.version.subscribe(),
            prefix: prefix.into(),
            place,
        }))
    }
}

/// A watch on the service.
struct Follower {
    service: Memory,
    version: watch::Receiver<u64>,
    prefix: CompactString,
    place: usize,
}

impl Follower {
    /// Gets the changes since the last call, or `None` while the service is cut off.
    fn poll(&mut self) -> Option<Vec<Change>> {
        let now = self.service.shared.clock.now();
        let mut inner = self.service.lock();
        inner.state.expire(now);
        match inner.plan.standing {
            Fault::Refuse | Fault::Down => return None,
            Fault::HoldCall | Fault::HoldAnswer | Fault::Stale => return Some(Vec::new()),
            Fault::None | Fault::LoseAnswer | Fault::Late => {}
        }
        let found = inner.state.since(self.place, &self.prefix);
        self.place = inner.state.changes();
        Some(found.into_iter().map(|(_, change)| change).collect())
    }

    /// Gets the time until the next lease lapses.
    fn until_expiry(&self) -> Millis {
        let now = self.service.shared.clock.now();
        let next = self.service.lock().state.next_expiry();
        next.map_or(EXPIRY_CHECK, |at| at.since(now).min(EXPIRY_CHECK))
    }
}

#[async_trait]
impl Watch for Follower {
    async fn next(&mut self) -> Option<Vec<Change>> {
        loop {
            self.version.mark_unchanged();
            let changes = self.poll()?;
            if !changes.is_empty() {
                return Some(changes);
            }
            let wait = self.until_expiry().max(Millis(1)).duration();
            tokio::select! {
                _ = self.version.changed() => {}
                () = tokio::time::sleep(wait) => {}
            }
        }
    }
}
