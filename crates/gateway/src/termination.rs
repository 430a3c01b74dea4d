//! The request to stop a node, which may come while the node's event loop is held up.

use std::sync::{Arc, OnceLock};
use std::{io, thread};

use jackdaw_core::errors::{Error, Result};
use jackdaw_core::time::{Clock, Instant};
use tokio::runtime;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;

#[derive(Debug, Default)]
struct State {
    made_at: OnceLock<Instant>,
    made: Notify,
}

/// A request to stop, made by any thread. The first one counts.
#[derive(Clone, Debug, Default)]
pub struct Request {
    state: Arc<State>,
}

impl Request {
    /// Makes the request; later ones have no effect.
    pub fn make(&self, now: Instant) {
        if self.state.made_at.set(now).is_ok() {
            self.state.made.notify_waiters();
        }
    }

    /// Returns the time at which the request was made.
    #[must_use]
    pub fn made_at(&self) -> Option<Instant> {
        self.state.made_at.get().copied()
    }

    /// Waits for the request and returns the time at which it was made.
    pub async fn wait(&self) -> Instant {
        loop {
            let mut made = std::pin::pin!(self.state.made.notified());
            made.as_mut().enable();
            if let Some(at) = self.made_at() {
                return at;
            }
            made.await;
        }
    }
}

/// Returns a request that SIGTERM or SIGINT makes.
///
/// A thread of its own receives the signals, so that the stop's times count from the signal even
/// if the node's event loop is late.
///
/// # Errors
///
/// Returns an error if the signal handlers cannot be installed or the thread cannot be started.
pub fn on_signal(clock: Arc<dyn Clock>) -> Result<Request> {
    let failed = |error: io::Error| Error::unreachable("install signals", "self", error);
    let runtime = runtime::Builder::new_current_thread()
        .enable_io()
        .build()
        .map_err(failed)?;
    let (mut terminate, mut interrupt) = {
        let _entered = runtime.enter();
        let terminate = signal(SignalKind::terminate()).map_err(failed)?;
        (terminate, signal(SignalKind::interrupt()).map_err(failed)?)
    };
    let request = Request::default();
    let made = request.clone();
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
            });
            made.make(clock.now());
        })
        .map_err(failed)?;
    Ok(request)
}
