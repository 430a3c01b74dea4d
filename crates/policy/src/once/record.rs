//! What the key-value service keeps of one call.

use std::fmt;

use compact_str::{CompactString, format_compact};
use jackdaw_core::token::Digest;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Prefix of the keys of all records.
pub const PREFIX: &str = "/jackdaw/once/";

/// Gets the key of a call's record.
///
/// The idempotency key goes in as its digest: it has a bounded length and no slash, so that two
/// teams never share a record.
#[must_use]
pub fn record_key(team: &str, key: &str) -> CompactString {
    format_compact!("{PREFIX}{team}/{}", Digest::of(key.as_bytes()))
}

/// Identity of one attempt: random, so that a restarted node never takes the record of its
/// predecessor for its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub [u8; 16]);

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl Serialize for Attempt {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Attempt {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        let text = CompactString::deserialize(deserializer)?;
        let mut bytes = [0; 16];
        hex::decode_to_slice(text.as_str(), &mut bytes)
            .map_err(|_| de::Error::custom("expected an attempt of 32 hexadecimal digits"))?;
        Ok(Attempt(bytes))
    }
}

/// The answer of a backend server, kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header; empty if there was none.
    pub content_type: CompactString,
    /// Body.
    #[serde(with = "body")]
    pub body: Vec<u8>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Result {
    /// The whole answer came.
    Completed(Answer),
    /// Nothing was written to a backend server.
    NotRun,
    /// Something was written and no whole answer came.
    Unknown,
}

/// How far an attempt got, as far as its record says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum State {
    /// The attempt may be dispatched at any moment, or was.
    Intended,
    /// The attempt ran and its whole answer came.
    Completed {
        /// The answer, unless it was larger than the bound.
        answer: Option<Answer>,
    },
    /// The attempt was dispatched and no whole answer came.
    Unknown,
    /// The attempt was given up before it was dispatched; another may run.
    NotRun,
}

impl State {
    /// Gets the state that a result leads to; an answer above a bound in bytes is left out.
    #[must_use]
    pub fn from_result(result: Result, answer_bytes: usize) -> Self {
        match result {
            Result::Completed(answer) => State::Completed {
                answer: (answer.body.len() <= answer_bytes).then_some(answer),
            },
            Result::NotRun => State::NotRun,
            Result::Unknown => State::Unknown,
        }
    }

    /// Gets the name used in decisions.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            State::Intended => "intended",
            State::Completed { .. } => "completed",
            State::Unknown => "unknown",
            State::NotRun => "not-run",
        }
    }
}

/// The record of one call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Team of the caller.
    pub team: CompactString,
    /// Idempotency key of the caller.
    pub key: CompactString,
    /// Digest of the request.
    pub digest: Digest,
    /// Node of the last attempt.
    pub node: CompactString,
    /// The last attempt.
    pub attempt: Attempt,
    /// Wall-clock time of the last attempt's start, in milliseconds since the Unix epoch; it only
    /// chooses between the refusals "in progress" and "may have run".
    pub opened_unix_ms: u64,
    /// How far the last attempt got.
    #[serde(flatten)]
    pub state: State,
}

/// Keeps a body as hexadecimal digits, a quarter of the size of a list of numbers.
mod body {
    use super::{Deserialize, Deserializer, Serializer, de};

    pub(super) fn serialize<S: Serializer>(
        body: &[u8],
        serializer: S,
    ) -> std::result::Result<S::Ok, S::Error> {
        serializer.serialize_str(&hex::encode(body))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> std::result::Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        hex::decode(text).map_err(|_| de::Error::custom("expected hexadecimal digits"))
    }
}
