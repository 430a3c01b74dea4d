//! Task that records results of at-most-once calls which the key-value service did not accept at
//! first.

use std::sync::Arc;

use jackdaw_core::units::Millis;
use jackdaw_entry::once::Ledger;
use slog::{Logger, info};
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Time between two attempts to record the pending results.
const RETRY_INTERVAL: Millis = Millis(1_000);

/// Handle of the task that records pending results.
#[derive(Debug)]
pub(crate) struct Recorder {
    runtime: Handle,
    ledger: Arc<Ledger>,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl Recorder {
    /// Starts the task on a runtime.
    pub(crate) fn start(runtime: &Handle, ledger: &Arc<Ledger>, logger: Logger) -> Self {
        let (stop, stopped) = oneshot::channel();
        let task = runtime.spawn(retry_until_stopped(Arc::clone(ledger), logger, stopped));
        Recorder {
            runtime: runtime.clone(),
            ledger: Arc::clone(ledger),
            stop,
            task,
        }
    }

    /// Ends the task, makes a last attempt and returns the number of results that are still
    /// unrecorded.
    pub(crate) fn stop(self) -> usize {
        drop(self.stop);
        self.runtime.block_on(async {
            // The task ends between two rounds; aborting it would lose the result being written.
            let _ = self.task.await;
            self.ledger.retry_pending().await
        })
    }
}

async fn retry_until_stopped(
    ledger: Arc<Ledger>,
    logger: Logger,
    mut stopped: oneshot::Receiver<()>,
) {
    let mut interval = tokio::time::interval(RETRY_INTERVAL.duration());
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            _ = &mut stopped => return,
        }
        let before = ledger.backlog_len();
        if before > 0 {
            let remaining = ledger.retry_pending().await;
            info!(logger, "results recorded late"; "before" => before, "left" => remaining);
        }
    }
}
