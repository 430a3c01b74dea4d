//! Loggers that write JSON lines.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use slog::{Drain, Level, LevelFilter, Logger, Never, OwnedKVList, Record, b, o, record};
use slog_async::{AsyncCore, AsyncError};

/// Capacity of the queue of unwritten lines; they take about a megabyte.
const MAX_QUEUED_LINES: usize = 2_048;
/// Pause before the last notice of dropped lines is tried again.
const NOTICE_RETRY_PAUSE: Duration = Duration::from_millis(1);

/// Passes lines to a thread that writes them, and counts those that its queue cannot take.
struct Queue {
    core: AsyncCore,
    /// Number of dropped lines that no notice has reported.
    unreported: AtomicUsize,
    /// Fields of the notices.
    values: OwnedKVList,
}

impl Queue {
    /// Reports the lines that were dropped since the last notice.
    ///
    /// # Errors
    ///
    /// Returns an error if the queue is full or its thread has ended.
    fn report(&self) -> Result<(), AsyncError> {
        let count = self.unreported.swap(0, Ordering::Relaxed);
        if count == 0 {
            return Ok(());
        }
        let text = format_args!("the queue of the log was full: dropped messages");
        let notice = self.core.log(
            &record!(Level::Error, "", &text, b!("count" => count)),
            &self.values,
        );
        if notice.is_err() {
            self.unreported.fetch_add(count, Ordering::Relaxed);
        }
        notice
    }
}

impl Drain for Queue {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let queued = self.report().and_then(|()| self.core.log(record, values));
        if queued.is_err() {
            self.unreported.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

impl Drop for Queue {
    fn drop(&mut self) {
        // Dropping the core waits for its queue in any case.
        while let Err(AsyncError::Full) = self.report() {
            thread::sleep(NOTICE_RETRY_PAUSE);
        }
    }
}

/// Creates a logger that writes JSON lines to the standard error stream; see [`json_stdout`].
pub fn json(level: Level, node: &str) -> Logger {
    queued_json(io::stderr(), level, node)
}

/// Creates a logger that writes JSON lines to the standard output stream.
///
/// Lines are dropped while the queue is full, so that a request never waits for the log. A notice
/// with the number of dropped lines is written before the next line that fits into the queue, or when
/// the logger is dropped. Dropping the logger waits until all lines are written.
pub fn json_stdout(level: Level, node: &str) -> Logger {
    queued_json(io::stdout(), level, node)
}

fn queued_json(stream: impl io::Write + Send + 'static, level: Level, node: &str) -> Logger {
    let json = slog_json::Json::default(stream).fuse();
    let queue = Queue {
        core: AsyncCore::custom(json).chan_size(MAX_QUEUED_LINES).build(),
        unreported: AtomicUsize::new(0),
        values: o!("node" => node.to_owned()).into(),
    };
    let filtered = LevelFilter::new(queue, level).fuse();
    Logger::root(filtered, o!("node" => node.to_owned()))
}

/// Creates a logger that discards every line.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}
