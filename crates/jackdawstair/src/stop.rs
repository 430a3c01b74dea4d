//! Signals that ask the process to stop.

use std::io;

use jackdaw_core::errors::{Error, Result};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Receives SIGTERM, SIGINT and SIGHUP, also those that come before [`Signals::wait`].
#[derive(Debug)]
pub struct Signals {
    runtime: Runtime,
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers of the signals.
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
        let hangup = signal(SignalKind::hangup()).map_err(install_error)?;
        drop(guard);
        Ok(Signals {
            runtime,
            terminate,
            interrupt,
            hangup,
        })
    }

    /// Blocks the thread until SIGTERM or SIGINT arrives; calls a function for each SIGHUP.
    pub fn wait(self, on_hangup: &mut dyn FnMut()) {
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
                    _ = hangup.recv() => on_hangup(),
                }
            }
        });
    }
}

fn install_error(error: io::Error) -> Error {
    Error::unreachable("install signals", "self", error)
}
