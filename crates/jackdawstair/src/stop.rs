//! Signals that ask the process to stop.

use std::io;

use jackdaw_core::errors::{Error, Result};
use slog::{Logger, warn};
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
    /// Installs the handlers of both signals.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime cannot be created or a handler cannot be installed.
    pub fn install() -> Result<Signals> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(install_error)?;
        let guard = runtime.enter();
        let terminate = signal(SignalKind::terminate()).map_err(install_error)?;
        let interrupt = signal(SignalKind::interrupt()).map_err(install_error)?;
        drop(guard);
        Ok(Signals {
            runtime,
            terminate,
            interrupt,
        })
    }

    /// Logs and ignores SIGHUP, which ends the process otherwise.
    ///
    /// # Errors
    ///
    /// Returns an error if the handler cannot be installed.
    pub fn ignore_hangups(&self, logger: Logger) -> Result<()> {
        let _guard = self.runtime.enter();
        let mut hangup = signal(SignalKind::hangup()).map_err(install_error)?;
        self.runtime.spawn(async move {
            while hangup.recv().await.is_some() {
                warn!(logger, "SIGHUP ignored"; "detail" => "settings are read at the start");
            }
        });
        Ok(())
    }

    /// Blocks the thread until either signal arrives.
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

fn install_error(error: io::Error) -> Error {
    Error::unreachable("install signals", "self", error)
}
