//! Record of one call in the key-value service.

use std::fmt;

use compact_str::{CompactString, format_compact};
use jackdaw_core::token::Digest;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Prefix of the keys under which records are stored.
pub const PREFIX: &str = "/jackdaw/once/";

/// Returns the key under which a call's record is stored.
///
/// The idempotency key is included as a digest, which has a fixed length and contains no slash, so
/// that two teams never share a record.
#[must_use]
pub fn record_key(team: &str, key: &str) -> CompactString {
    format_compact!("{PREFIX}{team}/{}", Digest::of(key.as_bytes()))
}

/// Random identity of one attempt.
///
/// Randomness keeps a restarted node from mistaking a record of its previous run for its own.
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

/// Answer of a backend server, stored for repeats of the call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header; empty if there was none.
    pub content_type: CompactString,
    /// Response body.
    #[serde(with = "body")]
    pub body: Vec<u8>,
}

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Result {
    /// The complete answer arrived.
    Completed(Answer),
    /// No byte was written to a backend server.
    NotRun,
    /// Bytes were written and no complete answer arrived.
    Unknown,
}

/// Recorded progress of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum State {
    /// The attempt may be dispatched at any time, or has been.
    Intended,
    /// The attempt ran and its complete answer arrived.
    Completed {
        /// Answer, absent if it exceeded [`Limits::max_max_answer_bytes`](super::Limits).
        answer: Option<Answer>,
    },
    /// The attempt was dispatched and no complete answer arrived.
    Unknown,
    /// The attempt ended before it was dispatched; another attempt may run.
    NotRun,
}

impl State {
    /// Returns the state that records a result; an answer above a size in bytes is omitted.
    #[must_use]
    pub fn from_result(result: Result, max_answer_bytes: usize) -> Self {
        match result {
            Result::Completed(answer) => State::Completed {
                answer: (answer.body.len() <= max_answer_bytes).then_some(answer),
            },
            Result::NotRun => State::NotRun,
            Result::Unknown => State::Unknown,
        }
    }

    /// Returns the label used in decisions.
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

/// Stored state of one call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Team of the caller.
    pub team: CompactString,
    /// Idempotency key of the caller.
    pub key: CompactString,
    /// Digest of the request that the idempotency key belongs to.
    pub digest: Digest,
    /// Node that made the last attempt.
    pub node: CompactString,
    /// Identity of the last attempt.
    pub attempt: Attempt,
    /// Wall-clock time of the last attempt's start, in milliseconds since the Unix epoch.
    ///
    /// It only decides between the refusals "in progress" and "may have run".
    pub opened_unix_ms: u64,
    /// Progress of the last attempt.
    #[serde(flatten)]
    pub state: State,
}

/// Encodes a body as hexadecimal digits, which take a quarter of the space of a JSON number list.
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
