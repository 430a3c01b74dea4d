//! Collects what nodes' logs say about a request, group, server or configuration.

use std::fs;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::error::{Error, Result};

/// Fields that every log line has; they are not listed among the other fields.
const COMMON_FIELDS: [&str; 4] = ["ts", "node", "msg", "level"];
/// Message that reports a request whose answer was not handed over whole.
const ABANDONED_MESSAGE: &str = "answer abandoned";
/// Message that names a request while a node stops; a line that reports its end follows.
const OUTLASTING_MESSAGE: &str = "request may outlast the grace period";
/// Messages that report the end of a request.
const END_MESSAGES: [&str; 6] = [
    "request refused",
    "stream broken off",
    "request answered",
    ABANDONED_MESSAGE,
    "answer not sent whole",
    "request in flight at the end of the grace period",
];
/// Message that reports the start of a node's process.
const STARTED_MESSAGE: &str = "node started";
/// Messages that report the stop of a node's process before its end.
const STOPPING_MESSAGES: [&str; 3] = [
    "node stopping",
    "new requests are refused",
    "grace period ended with requests in flight",
];
/// Message that reports the end of a node's process.
const STOPPED_MESSAGE: &str = "node stopped";

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
    let is_node = lines.iter().any(|line| line.node == subject);
    let cause = if is_node {
        kill_cause(&lines, subject)
    } else {
        end_cause(&lines)
    };
    Ok(Timeline {
        subject: subject.to_owned(),
        lines,
        cause,
    })
}

/// Returns how a request ended according to the last line that tells it.
fn end_cause(lines: &[Line]) -> Option<String> {
    let mut ends = lines.iter().rev().filter(|line| line.is_end());
    let Some(last) = ends.next() else {
        let is_outlasting = |line: &&Line| line.msg == OUTLASTING_MESSAGE;
        let line = lines.iter().rev().find(is_outlasting)?;
        return Some(format!(
            "no end is logged after `{OUTLASTING_MESSAGE}`: {} was killed, or its log is cut",
            line.node
        ));
    };
    // A node closes a connection for a reason that another line gives.
    let reason = if last.is_closed_by_node() {
        ends.next()
    } else {
        None
    };
    Some(reason.unwrap_or(last).end_cause())
}

/// Returns that a node was killed if its log breaks off within a stop, or if it starts anew there.
fn kill_cause(lines: &[Line], node: &str) -> Option<String> {
    let mut last_line = None;
    let mut phase = None;
    let mut cause = None;
    for line in lines.iter().filter(|line| line.node == node) {
        let message = line.msg.as_str();
        if message == STARTED_MESSAGE {
            cause = describe_kill(phase.take(), last_line).or(cause);
        } else if message == STOPPED_MESSAGE {
            phase = None;
        } else if STOPPING_MESSAGES.contains(&message) {
            phase = Some(line);
        }
        last_line = Some(line);
    }
    describe_kill(phase, last_line).or(cause)
}

/// Describes a stop by its last phase and the last line of the process.
fn describe_kill(phase: Option<&Line>, last_line: Option<&Line>) -> Option<String> {
    let (phase, last_line) = phase.zip(last_line)?;
    Some(format!(
        "the process logs nothing from {} on, after `{}` and without `{STOPPED_MESSAGE}`: it was killed, or its log is cut",
        last_line.ts, phase.msg
    ))
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

    /// Returns whether the line reports the end of a request.
    fn is_end(&self) -> bool {
        END_MESSAGES.contains(&self.msg.as_str())
    }

    /// Returns whether the line reports an answer that was dropped since the node closed the
    /// connection.
    fn is_closed_by_node(&self) -> bool {
        self.msg == ABANDONED_MESSAGE && self.text("cause").as_deref() == Some("closed-by-node")
    }

    /// Returns a field as text, if the line has it.
    fn text(&self, name: &str) -> Option<String> {
        let value = self.fields.get(name)?;
        (!value.is_null()).then(|| format_value(value))
    }

    /// Returns the message, cause or reason, and detail of a line that reports the end of a request.
    fn end_cause(&self) -> String {
        let mut parts = vec![self.msg.clone()];
        parts.extend(self.text("cause").or_else(|| self.text("reason")));
        parts.extend(self.text("detail"));
        if let Some(stage) = self.text("stage") {
            let events = self.text("events").unwrap_or_default();
            parts.push(format!("{stage}, {events} events delivered"));
        }
        if let Some(bytes) = self.text("unsent_bytes").filter(|bytes| bytes != "0") {
            parts.push(format!("{bytes} bytes unsent"));
        }
        if let Some(time) = self.text("stopping_ms") {
            parts.push(format!("the node had been stopping for {time} ms"));
        }
        parts.join(": ")
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
