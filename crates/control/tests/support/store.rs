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
}

/// Passes calls on to the service while it is open.
pub(crate) struct Gate {
    memory: Memory,
    state: watch::Sender<State>,
}

impl Gate {
    pub(crate) fn new(memory: Memory) -> Self {
        Gate {
            memory,
            state: watch::Sender::new(State::Open),
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

    /// Answers reads as an empty service would, and lets writes pass.
    pub(crate) fn pretend_empty(&self) {
        self.state.send_replace(State::Empty);
    }

    fn pass(&self, step: &'static str) -> Result<bool> {
        match *self.state.borrow() {
            State::Closed => Err(Error::unreachable(step, "store", "the gate is closed")),
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
        tokio::select! {
            changes = self.inner.next() => changes,
            _ = self.state.wait_for(|state| *state == State::Closed) => None,
        }
    }
}
