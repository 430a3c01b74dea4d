//! The request to stop a node, which may come while the node's event loop is held up.

use std::sync::{Arc, OnceLock};
use std::{io, thread};

use jackdaw_core::errors::{Error, Result};
use jackdaw_core::time::{Clock, Instant};
use slog::{Logger, info};
use tokio::runtime::{self, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};
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

/// Handlers of the process's signals. Signals that come before [`Signals::watch`] are kept.
#[derive(Debug)]
pub struct Signals {
    runtime: Runtime,
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers of SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    ///
    /// Returns an error if they cannot be installed.
    pub fn install() -> Result<Signals> {
        let runtime = runtime::Builder::new_current_thread()
            .enable_io()
            .build()
            .map_err(install_failed)?;
        let entered = runtime.enter();
        let terminate = signal(SignalKind::terminate()).map_err(install_failed)?;
        let interrupt = signal(SignalKind::interrupt()).map_err(install_failed)?;
        let hangup = signal(SignalKind::hangup()).map_err(install_failed)?;
        drop(entered);
        Ok(Signals {
            runtime,
            terminate,
            interrupt,
            hangup,
        })
    }

    /// Returns a request to stop that SIGTERM or SIGINT makes.
    ///
    /// A thread of its own receives the signals, so that the stop's times count from the signal
    /// even if the node's event loop is late.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn watch(self, clock: Arc<dyn Clock>, logger: Logger) -> Result<Request> {
        let request = Request::default();
        let made = request.clone();
        thread::Builder::new()
            .name("signals".to_owned())
            .spawn(move || {
                let Signals {
                    runtime,
                    mut terminate,
                    mut interrupt,
                    mut hangup,
                } = self;
                runtime.block_on(async {
                    loop {
                        tokio::select! {
                            _ = terminate.recv() => return,
                            _ = interrupt.recv() => return,
                            // The addresses are fixed at the start, and all other settings come
                            // from the store.
                            _ = hangup.recv() => {
                                info!(logger, "SIGHUP ignored: no settings to reload");
                            }
                        }
                    }
                });
                made.make(clock.now());
            })
            .map_err(install_failed)?;
        Ok(request)
    }
}

fn install_failed(error: io::Error) -> Error {
    Error::unreachable("install signals", "self", error)
}
