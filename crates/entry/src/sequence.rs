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

/// Position in a stream, which may come from several replicas one after the other.
#[derive(Debug, Default)]
pub(crate) struct Sequence {
    delivered: u64,
    /// Offset of the current replica's first token.
    answer_start: u64,
    /// Answer id that the caller sees.
    caller_id: Option<CompactString>,
    /// Answer id of the current replica.
    current_id: Option<CompactString>,
}

impl Sequence {
    /// Returns the number of tokens accepted so far, which is the next token's offset.
    pub(crate) fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns the number of tokens accepted from the current replica.
    pub(crate) fn current_len(&self) -> u64 {
        self.delivered - self.answer_start
    }

    /// Continues the stream with an answer from another replica.
    pub(crate) fn start_answer(&mut self) {
        self.answer_start = self.delivered;
        self.current_id = None;
    }

    /// Checks the next event and returns it under the answer id that the caller sees.
    ///
    /// # Errors
    ///
    /// Returns a failure if the event is out of order or belongs to another answer.
    pub(crate) fn accept(
        &mut self,
        number: Option<u64>,
        data: Bytes,
    ) -> Result<Bytes, ExchangeFailure> {
        if number.is_some_and(|number| number != self.delivered) {
            let detail = format!("token {} was expected, {number:?} came", self.delivered);
            return Err(ExchangeFailure::invalid(detail));
        }
        let data = match parse_id(&data) {
            None => data,
            Some(id) => self.check_id(&id, data)?,
        };
        self.delivered += 1;
        Ok(data)
    }

    fn check_id(&mut self, id: &CompactString, data: Bytes) -> Result<Bytes, ExchangeFailure> {
        match &self.current_id {
            Some(current_id) if current_id == id => {}
            Some(_) => {
                return Err(ExchangeFailure::invalid(
                    "an event belongs to another answer",
                ));
            }
            None => self.current_id = Some(id.clone()),
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
