//! Checks that the events of a stream belong together and come in order.

use std::borrow::Cow;

use compact_str::CompactString;
use jackdaw_policy::retry::ExchangeFailure;
use ntex::util::Bytes;
use serde::Deserialize;

/// The part of an event that ties it to its answer.
#[derive(Debug, Deserialize)]
struct Chunk<'a> {
    #[serde(borrow, default)]
    id: Option<Cow<'a, str>>,
}

/// The tokens of one stream, which may come from several replicas one after the other.
#[derive(Debug, Default)]
pub(crate) struct Sequence {
    delivered: u64,
    /// Offset at which the replica that streams now began.
    begun: u64,
    /// Identity that the caller sees.
    shown: Option<CompactString>,
    /// Identity in the answer of the replica that streams now.
    current: Option<CompactString>,
}

impl Sequence {
    /// Returns the number of tokens that came in order, which is the next token's offset.
    pub(crate) fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns the number of tokens that came from the replica that streams now.
    pub(crate) fn taken(&self) -> u64 {
        self.delivered - self.begun
    }

    /// Begins an answer from another replica.
    pub(crate) fn resume(&mut self) {
        self.begun = self.delivered;
        self.current = None;
    }

    /// Takes the next event and returns it as the caller should see it.
    pub(crate) fn take(
        &mut self,
        number: Option<u64>,
        data: Bytes,
    ) -> Result<Bytes, ExchangeFailure> {
        if number.is_some_and(|number| number != self.delivered) {
            let detail = format!("token {} was expected, {number:?} came", self.delivered);
            return Err(ExchangeFailure::invalid(detail));
        }
        let data = match identity(&data) {
            None => data,
            Some(id) => self.tie(&id, data)?,
        };
        self.delivered += 1;
        Ok(data)
    }

    fn tie(&mut self, id: &CompactString, data: Bytes) -> Result<Bytes, ExchangeFailure> {
        match &self.current {
            Some(current) if current == id => {}
            Some(_) => {
                return Err(ExchangeFailure::invalid(
                    "an event belongs to another answer",
                ));
            }
            None => self.current = Some(id.clone()),
        }
        let shown = self.shown.get_or_insert_with(|| id.clone());
        if shown == id {
            return Ok(data);
        }
        Ok(renamed(&data, shown))
    }
}

fn identity(data: &[u8]) -> Option<CompactString> {
    let chunk: Chunk<'_> = serde_json::from_slice(data).ok()?;
    chunk.id.map(CompactString::from)
}

/// Returns an event under the identity that the caller saw first.
fn renamed(data: &Bytes, shown: &str) -> Bytes {
    let Ok(serde_json::Value::Object(mut event)) = serde_json::from_slice(data) else {
        return data.clone();
    };
    event.insert("id".to_owned(), shown.into());
    serde_json::to_vec(&event).map_or_else(|_| data.clone(), Bytes::from)
}
