//! Reads typed values from a parsed document and collects every problem.

use std::fmt;
use std::net::SocketAddr;

use compact_str::{CompactString, format_compact};
use jackdaw_core::token::Digest;
use jackdaw_core::units::Millis;

use super::tree::{Item, Value};

/// Accepted units of durations with their lengths in milliseconds.
const TIME_UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("min", 60_000), ("h", 3_600_000)];

/// A problem in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line in the file, counted from 1.
    pub line: u64,
    /// Path of the key, such as `platform.store`.
    pub path: CompactString,
    /// Explanation of the problem.
    pub reason: CompactString,
}

impl Problem {
    /// Creates a problem at a line, counted from 1, and the path of a key.
    pub(super) fn new(line: u64, path: &str, reason: impl Into<CompactString>) -> Self {
        Problem {
            line,
            path: path.into(),
            reason: reason.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: ", self.line)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.reason)
    }
}

/// Problems that were found so far.
#[derive(Debug, Default)]
pub(super) struct Problems(pub(super) Vec<Problem>);

/// A section of the settings that tracks which of its keys are known.
#[derive(Debug)]
pub(super) struct Section<'a> {
    line: u64,
    path: CompactString,
    entries: &'a [(CompactString, Item)],
    known: Vec<&'static str>,
}

impl<'a> Section<'a> {
    /// Opens an item as a section. Adds a problem and returns `None` if it is not a section.
    pub(super) fn open(item: &'a Item, path: &str, problems: &mut Problems) -> Option<Self> {
        let Value::Map(entries) = &item.value else {
            let reason = format_compact!("expected a section, found {}", item.value.kind());
            problems.0.push(Problem::new(item.line, path, reason));
            return None;
        };
        Some(Section {
            line: item.line,
            path: path.into(),
            entries,
            known: Vec::new(),
        })
    }

    /// Gets the path of a key of this section from the root.
    pub(super) fn path(&self, key: &str) -> CompactString {
        if self.path.is_empty() {
            return key.into();
        }
        format_compact!("{}.{key}", self.path)
    }

    /// Gets an item that may be missing, and marks its key as known.
    pub(super) fn optional(&mut self, key: &'static str) -> Option<&'a Item> {
        self.known.push(key);
        self.entries
            .iter()
            .find(|(name, _)| name == key)
            .map(|(_, item)| item)
            .filter(|item| item.value != Value::Null)
    }

    /// Gets an item, and adds a problem if it is missing.
    pub(super) fn required(
        &mut self,
        key: &'static str,
        problems: &mut Problems,
    ) -> Option<&'a Item> {
        let item = self.optional(key);
        if item.is_none() {
            let path = self.path(key);
            problems
                .0
                .push(Problem::new(self.line, &path, "is missing"));
        }
        item
    }

    /// Reads a value, and adds a problem if it is missing or invalid.
    pub(super) fn read<T>(
        &mut self,
        key: &'static str,
        parse: fn(&Value) -> Result<T, CompactString>,
        problems: &mut Problems,
    ) -> Option<T> {
        let item = self.required(key, problems)?;
        let path = self.path(key);
        parse_item(item, &path, parse, problems)
    }

    /// Reads a value that has a default, and adds a problem if it is invalid.
    pub(super) fn read_or<T>(
        &mut self,
        key: &'static str,
        parse: fn(&Value) -> Result<T, CompactString>,
        default: T,
        problems: &mut Problems,
    ) -> T {
        let Some(item) = self.optional(key) else {
            return default;
        };
        let path = self.path(key);
        parse_item(item, &path, parse, problems).unwrap_or(default)
    }

    /// Reads a list that may be missing, and adds a problem for every invalid item.
    pub(super) fn list<T>(
        &mut self,
        key: &'static str,
        parse: fn(&Value) -> Result<T, CompactString>,
        problems: &mut Problems,
    ) -> Vec<T> {
        let path = self.path(key);
        let mut values = Vec::new();
        for (index, item) in self.items(key, problems).iter().enumerate() {
            let path = format_compact!("{path}[{index}]");
            values.extend(parse_item(item, &path, parse, problems));
        }
        values
    }

    /// Gets the items of a list that may be missing, and adds a problem if it is not a list.
    pub(super) fn items(&mut self, key: &'static str, problems: &mut Problems) -> &'a [Item] {
        let Some(item) = self.optional(key) else {
            return &[];
        };
        if let Value::List(items) = &item.value {
            return items;
        }
        let reason = format_compact!("expected a list, found {}", item.value.kind());
        let path = self.path(key);
        problems.0.push(Problem::new(item.line, &path, reason));
        &[]
    }

    /// Adds a problem for every key that is not known.
    pub(super) fn reject_unknown_keys(self, problems: &mut Problems) {
        for (name, item) in self.entries {
            if self.known.contains(&name.as_str()) {
                continue;
            }
            let reason = format_compact!("unknown key; known here: {}", self.known.join(", "));
            let path = self.path(name);
            problems.0.push(Problem::new(item.line, &path, reason));
        }
    }
}

/// Parses the value of an item, and adds a problem if it is invalid.
fn parse_item<T>(
    item: &Item,
    path: &str,
    parse: fn(&Value) -> Result<T, CompactString>,
    problems: &mut Problems,
) -> Option<T> {
    match parse(&item.value) {
        Ok(value) => Some(value),
        Err(reason) => {
            problems.0.push(Problem::new(item.line, path, reason));
            None
        }
    }
}

/// Parses a text that is not empty; a whole number counts as text.
pub(super) fn parse_text(value: &Value) -> Result<CompactString, CompactString> {
    match value {
        Value::Text(text) if !text.is_empty() => Ok(text.clone()),
        Value::Number(number) => Ok(format_compact!("{number}")),
        Value::Null | Value::Bool(_) | Value::Text(_) | Value::List(_) | Value::Map(_) => {
            Err(format_compact!("expected text, found {}", value.kind()))
        }
    }
}

/// Parses `true` or `false`.
pub(super) fn parse_bool(value: &Value) -> Result<bool, CompactString> {
    match value {
        Value::Bool(flag) => Ok(*flag),
        Value::Null | Value::Number(_) | Value::Text(_) | Value::List(_) | Value::Map(_) => Err(
            format_compact!("expected true or false, found {}", value.kind()),
        ),
    }
}

/// Parses a whole number that is not negative.
pub(super) fn parse_number(value: &Value) -> Result<u64, CompactString> {
    match value {
        Value::Number(number) => Ok(*number),
        Value::Null | Value::Bool(_) | Value::Text(_) | Value::List(_) | Value::Map(_) => Err(
            format_compact!("expected a whole number, found {}", value.kind()),
        ),
    }
}

/// Parses an IP address with a port.
pub(super) fn parse_address(value: &Value) -> Result<SocketAddr, CompactString> {
    let text = parse_text(value)?;
    text.parse()
        .map_err(|_| format_compact!("expected an IP number with a port, found \"{text}\""))
}

/// Parses a duration with its unit.
pub(super) fn parse_millis(value: &Value) -> Result<Millis, CompactString> {
    let unit_error = |found: &str| {
        format_compact!(
            "expected a span of time with one of the units ms, s, min, h, found \"{found}\""
        )
    };
    let text = parse_text(value)?;
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let unit = &text[digits.len()..];
    let Some((_, factor)) = TIME_UNITS.iter().find(|(name, _)| *name == unit) else {
        return Err(unit_error(&text));
    };
    let count: u64 = digits.trim().parse().map_err(|_| unit_error(&text))?;
    Ok(Millis(count.saturating_mul(*factor)))
}

/// Parses a SHA-256 digest of 64 hexadecimal digits.
pub(super) fn parse_digest(value: &Value) -> Result<Digest, CompactString> {
    let text = parse_text(value)?;
    text.parse::<Digest>()
        .map_err(|_| "expected a SHA-256 digest of 64 hexadecimal digits".into())
}
