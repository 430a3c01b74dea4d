//! A logger that records its lines.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Condvar, Mutex};

use slog::{Drain, KV as _, Key, Level, Logger, OwnedKVList, Record, Serializer, o};

use super::support::TIMEOUT;

/// One recorded line; fields without a value are left out.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    pub(crate) level: Level,
    pub(crate) message: String,
    pub(crate) fields: HashMap<String, String>,
}

impl Line {
    /// Returns a field's value, or an empty text if the line lacks it.
    pub(crate) fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Returns a field's value as a number, if it is one.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.field(name).parse().ok()
    }
}

impl Serializer for Line {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        self.fields.insert(key.to_string(), value.to_string());
        Ok(())
    }

    fn emit_none(&mut self, _: Key) -> slog::Result {
        Ok(())
    }
}

/// Lines of a logger.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lines {
    state: Arc<(Mutex<Vec<Line>>, Condvar)>,
}

impl Lines {
    /// Returns a logger that records its lines here.
    pub(crate) fn logger(&self) -> Logger {
        Logger::root(self.clone().ignore_res(), o!())
    }

    /// Waits until a line is recorded for which a condition holds, and returns it.
    ///
    /// # Panics
    ///
    /// Panics if there is none within [`TIMEOUT`].
    pub(crate) fn wait_for(&self, holds: impl Fn(&Line) -> bool) -> Line {
        let (lines, changed) = &*self.state;
        let lines = lines.lock().expect("no test panicked");
        let (lines, _) = changed
            .wait_timeout_while(lines, TIMEOUT, |lines| !lines.iter().any(&holds))
            .expect("no test panicked");
        let found = lines.iter().find(|line| holds(line));
        found.cloned().expect("the line is logged")
    }

    /// Returns the recorded lines with a message.
    pub(crate) fn with_message(&self, message: &str) -> Vec<Line> {
        let lines = self.state.0.lock().expect("no test panicked");
        let lines = lines.iter();
        lines
            .filter(|line| line.message == message)
            .cloned()
            .collect()
    }
}

impl Drain for Lines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut line = Line {
            level: record.level(),
            message: record.msg().to_string(),
            fields: HashMap::new(),
        };
        let serialized = values
            .serialize(record, &mut line)
            .and_then(|()| record.kv().serialize(record, &mut line));
        serialized.expect("every field can be recorded");
        let (lines, changed) = &*self.state;
        lines.lock().expect("no test panicked").push(line);
        changed.notify_all();
        Ok(())
    }
}
