//! Loggers that write JSON lines.

use std::io;

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::OverflowStrategy;

/// Capacity of the queue of unwritten lines; they take about a megabyte.
const MAX_QUEUED_LINES: usize = 2_048;

/// Creates a logger that writes JSON lines to the standard error stream.
pub fn json(level: Level, node: &str) -> Logger {
    let json = slog_json::Json::default(io::stderr()).fuse();
    let queued = slog_async::Async::new(json).build().fuse();
    let filtered = LevelFilter::new(queued, level).fuse();
    Logger::root(filtered, o!("node" => node.to_owned()))
}

/// Creates a logger that writes JSON lines to the standard output stream.
///
/// Lines are dropped while the queue is full, so that a request never waits for the log. A notice
/// with the number of dropped lines is written together with the next line that fits into the
/// queue. The number includes notices that were dropped themselves.
pub fn json_stdout(level: Level, node: &str) -> Logger {
    let json = slog_json::Json::default(io::stdout()).fuse();
    let queued = slog_async::Async::new(json)
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    let filtered = LevelFilter::new(queued, level).fuse();
    Logger::root(filtered, o!("node" => node.to_owned()))
}

/// Creates a logger that discards every line.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}
