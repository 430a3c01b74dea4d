//! Collects what nodes' logs say about a request, group, server or configuration.

use std::fs;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::error::{Error, Result};

/// Fields that every log line has; they are not listed among the other fields.
const COMMON_FIELDS: [&str; 4] = ["ts", "node", "msg", "level"];
/// Messages that report the end of a request.
const END_MESSAGES: [&str; 3] = ["request refused", "stream broken off", "request answered"];

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Line {
    /// Timestamp as the node wrote it.
    ts: String,
    /// Name of the node.
    node: String,
    /// Log message.
    msg: String,
    /// The other fields.
    fields: Map<String, Value>,
}

/// The log lines about one subject, ordered by time, and how the request ended.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Timeline {
    /// Subject that the lines are about.
    subject: String,
    /// Log lines, oldest first.
    lines: Vec<Line>,
    /// Message, reason and detail of the last line that reports the end of a request, if any.
    cause: Option<String>,
}

/// Reads log files and collects the lines about a subject.
///
/// # Errors
///
/// Fails if a file cannot be read. Lines without a JSON object are skipped.
pub(crate) fn collect(paths: &[String], subject: &str) -> Result<Timeline> {
    let mut lines = Vec::new();
    for path in paths {
        let text =
            fs::read_to_string(path).map_err(|error| Error::Input(format!("{path}: {error}")))?;
        lines.extend(
            text.lines()
                .filter_map(parse_line)
                .filter(|line| line.is_about(subject)),
        );
    }
    lines.sort_by(|left, right| left.ts.cmp(&right.ts));
    let cause = lines.iter().rev().find_map(Line::end_cause);
    Ok(Timeline {
        subject: subject.to_owned(),
        lines,
        cause,
    })
}

/// Parses a log line. Log collectors may put a prefix before the first brace, which is skipped.
fn parse_line(text: &str) -> Option<Line> {
    let json = &text[text.find('{')?..];
    let Value::Object(mut fields) = serde_json::from_str(json).ok()? else {
        return None;
    };
    let mut take_field = |name: &str| match fields.remove(name) {
        Some(Value::String(text)) => text,
        Some(other) => other.to_string(),
        None => String::new(),
    };
    let (ts, node, msg) = (take_field("ts"), take_field("node"), take_field("msg"));
    take_field("level");
    Some(Line {
        ts,
        node,
        msg,
        fields,
    })
}

/// Formats a field value; strings stand without quotes.
fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

impl Line {
    /// Returns whether the line comes from a node of this name or a field contains it as a word.
    fn is_about(&self, subject: &str) -> bool {
        self.node == subject
            || self.fields.iter().any(|(_, value)| {
                format_value(value)
                    .split(['"', ' ', ','])
                    .any(|word| word == subject)
            })
    }

    /// Returns the message, reason and detail if this line reports the end of a request.
    fn end_cause(&self) -> Option<String> {
        if !END_MESSAGES.contains(&self.msg.as_str()) {
            return None;
        }
        let reason = self.fields.get("reason").map(format_value);
        let detail = self.fields.get("detail").map(format_value);
        match (reason, detail) {
            (Some(reason), Some(detail)) => Some(format!("{}: {reason}: {detail}", self.msg)),
            (Some(reason), None) => Some(format!("{}: {reason}", self.msg)),
            (None, _) => Some(self.msg.clone()),
        }
    }
}

impl Timeline {
    /// Returns the timeline as JSON.
    pub(crate) fn to_json(&self) -> Result<String> {
        serde_json::to_string(self).map_err(|error| Error::Input(error.to_string()))
    }

    /// Returns the timeline as text for people, two text lines per log line.
    pub(crate) fn to_text(&self) -> String {
        let mut text = String::new();
        for line in &self.lines {
            let fields: Vec<String> = line
                .fields
                .iter()
                .filter(|(name, value)| !COMMON_FIELDS.contains(&name.as_str()) && !value.is_null())
                .map(|(name, value)| format!("{name}={}", format_value(value)))
                .collect();
            text.push_str(&format!("{} {} {}\n", line.ts, line.node, line.msg));
            text.push_str(&format!("    {}\n", fields.join(" ")));
        }
        match &self.cause {
            Some(cause) => text.push_str(&format!("cause: {cause}\n")),
            None if self.lines.is_empty() => text.push_str("no line names it\n"),
            None => {}
        }
        text
    }
}
