//! Logs as JSON lines.

use std::io;

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::OverflowStrategy;

/// Lines that wait to be written; about a megabyte.
const QUEUE_LINES: usize = 2_048;

/// Creates a logger that writes JSON lines to the standard error stream.
pub fn json(level: Level, node: &str) -> Logger {
    let json = slog_json::Json::default(io::stderr()).fuse();
    let queued = slog_async::Async::new(json).build().fuse();
    let filtered = LevelFilter::new(queued, level).fuse();
    Logger::root(filtered, o!("node" => node.to_owned()))
}

/// Creates a logger that writes JSON lines to the standard output stream. A line that finds the
/// queue full is dropped and counted with the next line that finds room; a request never waits for
/// the log. The count includes notices of drops that found no room themselves.
pub fn json_stdout(level: Level, node: &str) -> Logger {
    let json = slog_json::Json::default(io::stdout()).fuse();
    let queued = slog_async::Async::new(json)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    let filtered = LevelFilter::new(queued, level).fuse();
    Logger::root(filtered, o!("node" => node.to_owned()))
}

/// Creates a logger that writes nothing.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}
