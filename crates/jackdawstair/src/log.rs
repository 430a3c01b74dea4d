//! Logs as JSON lines.

use std::io;

use slog::{Drain, Level, LevelFilter, Logger, o};

/// Creates a logger that writes JSON lines to the standard error stream.
pub fn json(level: Level, node: &str) -> Logger {
    let json = slog_json::Json::default(io::stderr()).fuse();
    let queued = slog_async::Async::new(json).build().fuse();
    let filtered = LevelFilter::new(queued, level).fuse();
    Logger::root(filtered, o!("node" => node.to_owned()))
}

/// Creates a logger that writes nothing.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}
