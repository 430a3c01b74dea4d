//! Waits for the signals that ask a process to stop.

use jackdaw_core::errors::{Error, Result};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Receives SIGTERM and SIGINT.
#[derive(Debug)]
pub struct Signals {
    runtime: Runtime,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Begins to receive the signals.
    ///
    /// # Errors
    ///
    /// Returns an error if the handlers cannot be installed.
    pub fn install() -> Result<Signals> {
        let refuse = |error: std::io::Error| Error::unreachable("install signals", "self", error);
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(refuse)?;
        let guard = runtime.enter();
        let terminate = signal(SignalKind::terminate()).map_err(refuse)?;
        let interrupt = signal(SignalKind::interrupt()).map_err(refuse)?;
        drop(guard);
        Ok(Signals {
            runtime,
            terminate,
            interrupt,
        })
    }

    /// Waits for either signal.
    pub fn wait(self) {
        let Signals {
            runtime,
            mut terminate,
            mut interrupt,
        } = self;
        runtime.block_on(async {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        });
    }
}
