//! A node's proxy to the key-value service, which can refuse calls or answer as an empty service.

use async_trait::async_trait;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Change, Committed, Entry, Lease, Store, Transaction, Watch};
use jackdaw_core::units::Millis;
use jackdaw_standin::store::Memory;
use tokio::sync::watch;

/// Treatment of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Connected,
    Disconnected,
    Empty,
    Silent,
}

/// A key-value service that passes calls on to an in-memory one, depending on its state.
pub(crate) struct StoreProxy {
    memory: Memory,
    state: watch::Sender<State>,
    refusals: watch::Sender<u32>,
}

impl StoreProxy {
    pub(crate) fn new(memory: Memory) -> Self {
        StoreProxy {
            memory,
            state: watch::Sender::new(State::Connected),
            refusals: watch::Sender::new(0),
        }
    }

    /// Passes all calls on.
    pub(crate) fn reconnect(&self) {
        self.state.send_replace(State::Connected);
    }

    /// Refuses all calls.
    pub(crate) fn disconnect(&self) {
        self.state.send_replace(State::Disconnected);
    }

    /// Passes calls on, while open watches deliver nothing more and do not end.
    pub(crate) fn silence_watches(&self) {
        self.state.send_replace(State::Silent);
    }

    /// Answers reads as an empty service would, and passes writes on.
    pub(crate) fn answer_as_empty(&self) {
        self.state.send_replace(State::Empty);
    }

    /// Returns whether all calls are refused.
    pub(crate) fn is_disconnected(&self) -> bool {
        *self.state.borrow() == State::Disconnected
    }

    /// Waits until a call was refused.
    pub(crate) async fn wait_for_refusal(&self) {
        let mut refusals = self.refusals.subscribe();
        let _ = refusals.wait_for(|count| *count > 0).await;
    }

    /// Returns whether reads are answered as by an empty service, or an error if calls are refused.
    fn check_state(&self, step: &'static str) -> Result<bool> {
        match *self.state.borrow() {
            State::Disconnected => {
                self.refusals.send_modify(|count| *count += 1);
                Err(Error::unreachable(step, "store", "the proxy refuses calls"))
            }
            state => Ok(state == State::Empty),
        }
    }
}

#[async_trait]
impl Store for StoreProxy {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        if self.check_state("get")? {
            return Ok(None);
        }
        self.memory.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        if self.check_state("list")? {
            return Ok(Vec::new());
        }
        self.memory.list(prefix).await
    }

    async fn commit(&self, transaction: Transaction) -> Result<Committed> {
        self.check_state("commit")?;
        self.memory.commit(transaction).await
    }

    async fn grant(&self, ttl: Millis) -> Result<Lease> {
        self.check_state("grant")?;
        self.memory.grant(ttl).await
    }

    async fn renew(&self, lease: Lease) -> Result<Millis> {
        self.check_state("renew")?;
        self.memory.renew(lease).await
    }

    async fn revoke(&self, lease: Lease) -> Result<()> {
        self.check_state("revoke")?;
        self.memory.revoke(lease).await
    }

    async fn watch(&self, prefix: &str, from: u64) -> Result<Box<dyn Watch>> {
        self.check_state("watch")?;
        Ok(Box::new(ProxyWatch {
            inner: self.memory.watch(prefix, from).await?,
            state: self.state.subscribe(),
        }))
    }
}

/// A watch that ends when the proxy begins to refuse calls.
struct ProxyWatch {
    inner: Box<dyn Watch>,
    state: watch::Receiver<State>,
}

#[async_trait]
impl Watch for ProxyWatch {
    async fn next(&mut self) -> Option<Vec<Change>> {
        loop {
            let state = *self.state.borrow_and_update();
            if state == State::Disconnected {
                return None;
            }
            // A change of state takes precedence over changes that the watch has ready.
            tokio::select! {
                biased;
                _ = self.state.changed() => {}
                changes = self.inner.next(), if state != State::Silent => return changes,
            }
        }
    }
}
