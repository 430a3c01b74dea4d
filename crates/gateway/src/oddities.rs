//! Entries of the store that a node cannot use, each told once.

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use compact_str::CompactString;
use jackdaw_core::errors::Error;
use slog::{Logger, warn};

/// Largest number of characters that are told of an error, which may quote its entry.
const MAX_CHARS: usize = 320;

/// The entries below a prefix that cannot be used, with hashes of what was told of them.
#[derive(Debug, Default)]
pub(crate) struct Oddities {
    told: RefCell<HashMap<CompactString, u64>>,
}

impl Oddities {
    /// Logs why an entry cannot be used, unless the same was told of it before.
    pub(crate) fn tell(&self, logger: &Logger, message: &'static str, key: &str, error: &Error) {
        let text: String = error.to_string().chars().take(MAX_CHARS).collect();
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        let hash = hasher.finish();
        if self.told.borrow_mut().insert(key.into(), hash) != Some(hash) {
            warn!(logger, "{message}"; "key" => key, "error" => text);
        }
    }

    /// Forgets an entry that can be used or is gone.
    pub(crate) fn forget(&self, key: &str) {
        self.told.borrow_mut().remove(key);
    }

    /// Forgets the entries whose keys do not fulfil a condition.
    pub(crate) fn retain(&self, is_kept: impl Fn(&str) -> bool) {
        self.told.borrow_mut().retain(|key, _| is_kept(key));
    }
}
