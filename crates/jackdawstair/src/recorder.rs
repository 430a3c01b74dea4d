//! Records the results of at-most-once calls that the key-value service did not take at first.

use std::sync::Arc;

use jackdaw_core::units::Millis;
use jackdaw_entry::once::Ledger;
use slog::{Logger, info};
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

/// Time between two tries to record what is left.
const PERIOD: Millis = Millis(1_000);

/// The task that tries again.
#[derive(Debug)]
pub(crate) struct Recorder {
    runtime: Handle,
    ledger: Arc<Ledger>,
    task: JoinHandle<()>,
}

impl Recorder {
    /// Starts the task on a runtime.
    pub(crate) fn start(runtime: &Handle, ledger: &Arc<Ledger>, logger: Logger) -> Self {
        let task = runtime.spawn(repeat(Arc::clone(ledger), logger));
        Recorder {
            runtime: runtime.clone(),
            ledger: Arc::clone(ledger),
            task,
        }
    }

    /// Ends the task after a last try, and returns how many results are left unrecorded.
    pub(crate) fn stop(self) -> usize {
        self.task.abort();
        self.runtime.block_on(self.ledger.settle())
    }
}

async fn repeat(ledger: Arc<Ledger>, logger: Logger) {
    let mut period = tokio::time::interval(PERIOD.duration());
    loop {
        period.tick().await;
        let before = ledger.backlog();
        if before > 0 {
            let left = ledger.settle().await;
            info!(logger, "results recorded late"; "before" => before, "left" => left);
        }
    }
}
