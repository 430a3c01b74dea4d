//! One node's way to the key-value service, which can be closed or answer with old values.

use async_trait::async_trait;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Change, Committed, Entry, Lease, Store, Transaction, Watch};
use jackdaw_core::units::Millis;
use jackdaw_standin::store::Memory;
use tokio::sync::watch;

/// How calls are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Closed,
    Empty,
    Silent,
}

/// Passes calls on to the service while it is open.
pub(crate) struct Gate {
    memory: Memory,
    state: watch::Sender<State>,
    refusals: watch::Sender<u32>,
}

impl Gate {
    pub(crate) fn new(memory: Memory) -> Self {
        Gate {
            memory,
            state: watch::Sender::new(State::Open),
            refusals: watch::Sender::new(0),
        }
    }

    /// Lets all calls pass.
    pub(crate) fn open(&self) {
        self.state.send_replace(State::Open);
    }

    /// Refuses all calls.
    pub(crate) fn close(&self) {
        self.state.send_replace(State::Closed);
    }

    /// Lets calls pass, while open watches tell nothing more and do not end.
    pub(crate) fn silence_watches(&self) {
        self.state.send_replace(State::Silent);
    }

    /// Answers reads as an empty service would, and lets writes pass.
    pub(crate) fn pretend_empty(&self) {
        self.state.send_replace(State::Empty);
    }

    /// Returns whether all calls are refused.
    pub(crate) fn is_closed(&self) -> bool {
        *self.state.borrow() == State::Closed
    }

    /// Waits until a call was refused.
    pub(crate) async fn wait_for_refusal(&self) {
        let mut refusals = self.refusals.subscribe();
        let _ = refusals.wait_for(|count| *count > 0).await;
    }

    fn pass(&self, step: &'static str) -> Result<bool> {
        match *self.state.borrow() {
            State::Closed => {
                self.refusals.send_modify(|count| *count += 1);
                Err(Error::unreachable(step, "store", "the gate is closed"))
            }
            state => Ok(state == State::Empty),
        }
    }
}

#[async_trait]
impl Store for Gate {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        if self.pass("get")? {
            return Ok(None);
        }
        self.memory.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        if self.pass("list")? {
            return Ok(Vec::new());
        }
        self.memory.list(prefix).await
    }

    async fn commit(&self, transaction: Transaction) -> Result<Committed> {
        self.pass("commit")?;
        self.memory.commit(transaction).await
    }

    async fn grant(&self, ttl: Millis) -> Result<Lease> {
        self.pass("grant")?;
        self.memory.grant(ttl).await
    }

    async fn renew(&self, lease: Lease) -> Result<Millis> {
        self.pass("renew")?;
        self.memory.renew(lease).await
    }

    async fn revoke(&self, lease: Lease) -> Result<()> {
        self.pass("revoke")?;
        self.memory.revoke(lease).await
    }

    async fn watch(&self, prefix: &str, from: u64) -> Result<Box<dyn Watch>> {
        self.pass("watch")?;
        Ok(Box::new(Follower {
            inner: self.memory.watch(prefix, from).await?,
            state: self.state.subscribe(),
        }))
    }
}

/// A watch that ends when the gate closes.
struct Follower {
    inner: Box<dyn Watch>,
    state: watch::Receiver<State>,
}

#[async_trait]
impl Watch for Follower {
    async fn next(&mut self) -> Option<Vec<Change>> {
        loop {
            let state = *self.state.borrow_and_update();
            if state == State::Closed {
                return None;
            }
            // A change of the gate counts before whatever the watch has ready.
            tokio::select! {
                biased;
                _ = self.state.changed() => {}
                changes = self.inner.next(), if state != State::Silent => return changes,
            }
        }
    }
}
