//! Splits a stream of server-sent events.

use ntex::util::{Bytes, BytesMut};

/// Text that ends a stream of completions.
const DONE: &[u8] = b"[DONE]";
/// Largest event.
const LARGEST_EVENT: usize = 1 << 20;

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// Data of an event, as it came and without the field's name.
    Data(Bytes),
    /// The marker that ends the stream.
    Done,
}

/// An event that is larger than any a model engine sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TooLarge;

/// Collects bytes into events.
#[derive(Debug, Default)]
pub(crate) struct Parser {
    buffer: BytesMut,
}

impl Parser {
    /// Takes in bytes as they came.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub(crate) fn next(&mut self) -> Result<Option<Event>, TooLarge> {
        while let Some((length, gap)) = find_end(&self.buffer) {
            let text = self.buffer.split_to(length + gap);
            if let Some(event) = event(&text.slice(..length)) {
                return Ok(Some(event));
            }
        }
        if self.buffer.len() > LARGEST_EVENT {
            return Err(TooLarge);
        }
        Ok(None)
    }

    /// Returns whether bytes of an unfinished event wait.
    pub(crate) fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the length of the first event and of the empty line after it.
fn find_end(bytes: &[u8]) -> Option<(usize, usize)> {
    let line_feeds = bytes.windows(2).position(|pair| pair == b"\n\n");
    let both = bytes.windows(4).position(|four| four == b"\r\n\r\n");
    match (line_feeds, both) {
        (Some(short), Some(long)) if long < short => Some((long, 4)),
        (Some(short), _) => Some((short, 2)),
        (None, Some(long)) => Some((long, 4)),
        (None, None) => None,
    }
}

/// Returns the event in some lines, or `None` for lines without data, such as comments.
fn event(lines: &Bytes) -> Option<Event> {
    let mut data: Option<Bytes> = None;
    for line in lines.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(value) = line.strip_prefix(b"data:") else {
            continue;
        };
        let value = value.strip_prefix(b" ").unwrap_or(value);
        data = Some(match data {
            None => Bytes::copy_from_slice(value),
            Some(before) => Bytes::from([&before[..], b"\n", value].concat()),
        });
    }
    let data = data?;
    if &data[..] == DONE {
        return Some(Event::Done);
    }
    Some(Event::Data(data))
}
