//! Checks that the events of a stream belong to one answer and arrive in order.

use std::borrow::Cow;

use compact_str::CompactString;
use jackdaw_policy::retry::ExchangeFailure;
use ntex::util::Bytes;
use serde::Deserialize;

/// The field of an event that identifies its answer.
#[derive(Debug, Deserialize)]
struct Chunk<'a> {
    #[serde(borrow, default)]
    id: Option<Cow<'a, str>>,
}

/// Position in a stream as the caller has it; it may come from several replicas one after the other.
#[derive(Debug, Default)]
pub(crate) struct Sequence {
    delivered: u64,
    /// Whether the caller has numbered events.
    is_numbered: bool,
    /// Answer id that the caller sees.
    caller_id: Option<CompactString>,
}

/// A replica's part of a stream.
#[derive(Debug)]
pub(crate) struct Source {
    /// Offset of the first token.
    start: u64,
    /// Answer id of the replica.
    id: Option<CompactString>,
}

impl Source {
    /// Gets the offset of the first token.
    pub(crate) fn start(&self) -> u64 {
        self.start
    }
}

impl Sequence {
    /// Returns the number of tokens accepted so far, which is the next token's offset.
    pub(crate) fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns the part of a replica that continues the stream.
    pub(crate) fn start_answer(&self) -> Source {
        Source {
            start: self.delivered,
            id: None,
        }
    }

    /// Checks the next event and returns it under the answer id that the caller sees.
    ///
    /// # Errors
    ///
    /// Returns a failure if the event is out of order, belongs to another answer, or lacks the number or
    /// the answer id that the events before it have.
    pub(crate) fn accept(
        &mut self,
        source: &mut Source,
        number: Option<u64>,
        data: Bytes,
    ) -> Result<Bytes, ExchangeFailure> {
        if number.is_some_and(|number| number != self.delivered) {
            let detail = format!("token {} was expected, {number:?} came", self.delivered);
            return Err(ExchangeFailure::invalid(detail));
        }
        if self.is_numbered && number.is_none() {
            return Err(ExchangeFailure::invalid(
                "an event of a numbered stream has no number",
            ));
        }
        let data = match parse_id(&data) {
            None if self.caller_id.is_some() => {
                return Err(ExchangeFailure::invalid("an event names no answer"));
            }
            None => data,
            Some(id) => self.check_id(source, &id, data)?,
        };
        self.delivered += 1;
        self.is_numbered |= number.is_some();
        Ok(data)
    }

    fn check_id(
        &mut self,
        source: &mut Source,
        id: &CompactString,
        data: Bytes,
    ) -> Result<Bytes, ExchangeFailure> {
        match &source.id {
            Some(source_id) if source_id == id => {}
            Some(_) => {
                return Err(ExchangeFailure::invalid(
                    "an event belongs to another answer",
                ));
            }
            None => source.id = Some(id.clone()),
        }
        let caller_id = self.caller_id.get_or_insert_with(|| id.clone());
        if caller_id == id {
            return Ok(data);
        }
        Ok(replace_id(&data, caller_id))
    }
}

fn parse_id(data: &[u8]) -> Option<CompactString> {
    let chunk: Chunk<'_> = serde_json::from_slice(data).ok()?;
    chunk.id.map(CompactString::from)
}

/// Returns an event with its answer id replaced.
fn replace_id(data: &Bytes, caller_id: &str) -> Bytes {
    let Ok(serde_json::Value::Object(mut event)) = serde_json::from_slice(data) else {
        return data.clone();
    };
    event.insert("id".to_owned(), caller_id.into());
    serde_json::to_vec(&event).map_or_else(|_| data.clone(), Bytes::from)
}
