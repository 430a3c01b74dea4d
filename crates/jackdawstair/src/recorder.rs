//! Records the results of at-most-once calls that the key-value service did not take at first.

use std::sync::Arc;

use jackdaw_core::units::Millis;
use jackdaw_entry::once::Ledger;
use slog::{Logger, info};
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Time between two tries to record what is left.
const PERIOD: Millis = Millis(1_000);

/// The task that tries again.
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
        let task = runtime.spawn(repeat(Arc::clone(ledger), logger, stopped));
        Recorder {
            runtime: runtime.clone(),
            ledger: Arc::clone(ledger),
            stop,
            task,
        }
    }

    /// Ends the task after a last try, and returns how many results are left unrecorded.
    pub(crate) fn stop(self) -> usize {
        drop(self.stop);
        self.runtime.block_on(async {
            // The task ends between two results; aborting it would lose the one under way.
            let _ = self.task.await;
            self.ledger.retry_pending().await
        })
    }
}

async fn repeat(ledger: Arc<Ledger>, logger: Logger, mut stopped: oneshot::Receiver<()>) {
    let mut period = tokio::time::interval(PERIOD.duration());
    loop {
        tokio::select! {
            _ = period.tick() => {}
            _ = &mut stopped => return,
        }
        let before = ledger.backlog_len();
        if before > 0 {
            let left = ledger.retry_pending().await;
            info!(logger, "results recorded late"; "before" => before, "left" => left);
        }
    }
}
