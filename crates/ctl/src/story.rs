//! Tells the story of a request, group, server or configuration from nodes' log lines alone.

use std::fs;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::error::{Error, Result};

/// Fields that every line has; they stand in columns of their own.
const COMMON: [&str; 4] = ["ts", "node", "msg", "level"];
/// Messages that end a request's story, with the fields that name the cause.
const ENDS: [&str; 3] = ["request refused", "stream broken off", "request answered"];

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Line {
    /// Time, as the node wrote it.
    ts: String,
    /// Node.
    node: String,
    /// What happened.
    msg: String,
    /// The other fields.
    fields: Map<String, Value>,
}

/// The lines about one subject, in the order of time, and the cause that the last of them names.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Story {
    /// Subject.
    subject: String,
    /// Lines.
    lines: Vec<Line>,
    /// Cause of the end, if a line names one.
    cause: Option<String>,
}

/// Reads the logs of several nodes and collects what they say of a subject.
pub(crate) fn read(paths: &[String], subject: &str) -> Result<Story> {
    let mut lines = Vec::new();
    for path in paths {
        let text =
            fs::read_to_string(path).map_err(|error| Error::Input(format!("{path}: {error}")))?;
        lines.extend(
            text.lines()
                .filter_map(parse)
                .filter(|line| line.is_about(subject)),
        );
    }
    lines.sort_by(|left, right| left.ts.cmp(&right.ts));
    let cause = lines.iter().rev().find_map(Line::cause);
    Ok(Story {
        subject: subject.to_owned(),
        lines,
        cause,
    })
}

/// Parses a line; what stands before the first brace was added by whoever collected it.
fn parse(text: &str) -> Option<Line> {
    let json = &text[text.find('{')?..];
    let Value::Object(mut fields) = serde_json::from_str(json).ok()? else {
        return None;
    };
    let mut take = |name: &str| match fields.remove(name) {
        Some(Value::String(text)) => text,
        Some(other) => other.to_string(),
        None => String::new(),
    };
    let (ts, node, msg) = (take("ts"), take("node"), take("msg"));
    take("level");
    Some(Line {
        ts,
        node,
        msg,
        fields,
    })
}

fn shown(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

impl Line {
    /// Returns whether a field names the subject.
    fn is_about(&self, subject: &str) -> bool {
        self.node == subject
            || self.fields.iter().any(|(_, value)| {
                shown(value)
                    .split(['"', ' ', ','])
                    .any(|word| word == subject)
            })
    }

    fn cause(&self) -> Option<String> {
        if !ENDS.contains(&self.msg.as_str()) {
            return None;
        }
        let reason = self.fields.get("reason").map(shown);
        let detail = self.fields.get("detail").map(shown);
        match (reason, detail) {
            (Some(reason), Some(detail)) => Some(format!("{}: {reason}: {detail}", self.msg)),
            (Some(reason), None) => Some(format!("{}: {reason}", self.msg)),
            (None, _) => Some(self.msg.clone()),
        }
    }
}

impl Story {
    /// Returns the story as JSON.
    pub(crate) fn json(&self) -> Result<String> {
        serde_json::to_string(self).map_err(|error| Error::Input(error.to_string()))
    }

    /// Returns the story for people, one line an event.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        for line in &self.lines {
            let fields: Vec<String> = line
                .fields
                .iter()
                .filter(|(name, value)| !COMMON.contains(&name.as_str()) && !value.is_null())
                .map(|(name, value)| format!("{name}={}", shown(value)))
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
