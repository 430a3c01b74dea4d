//! Parses a stream of server-sent events.

use ntex::util::{Bytes, BytesMut};

/// Data of the event that ends a stream of completions.
const DONE_MARKER: &[u8] = b"[DONE]";
/// Type of the events of a completion, which is the one of events that state none.
const DATA_TYPE: &[u8] = b"message";
/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Size of the longest separator of events, a line end and an empty line.
const MAX_SEPARATOR_BYTES: usize = 3;

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// Data of an event, with its id if the server numbers its events.
    Data(Option<u64>, Bytes),
    /// An event of a type of its own, which is no part of a completion.
    Other,
    /// The marker that ends the stream.
    Done,
}

/// Error for an event larger than any that a model engine sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TooLarge;

/// Incremental parser of server-sent events.
#[derive(Debug, Default)]
pub(crate) struct Parser {
    buffer: BytesMut,
    /// Leading bytes of the buffer in which no event ends.
    searched: usize,
}

impl Parser {
    /// Appends received bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the unfinished event exceeds the maximum size.
    pub(crate) fn next(&mut self) -> Result<Option<Event>, TooLarge> {
        while let Some((length, separator_len)) = find_event_end(&self.buffer, self.searched) {
            self.searched = 0;
            let text = self.buffer.split_to(length + separator_len);
            if let Some(event) = parse_event(&text[..length]) {
                return Ok(Some(event));
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(TooLarge);
        }
        self.searched = self.buffer.len().saturating_sub(MAX_SEPARATOR_BYTES - 1);
        Ok(None)
    }
}

/// Returns the length of the first event and of the separator after it, which is looked for from an
/// offset on.
fn find_event_end(bytes: &[u8], start: usize) -> Option<(usize, usize)> {
    for (index, byte) in bytes.iter().enumerate().skip(start) {
        if *byte != b'\n' {
            continue;
        }
        match &bytes[index + 1..] {
            [b'\n', ..] => return Some((index, 2)),
            [b'\r', b'\n', ..] => return Some((index, 3)),
            _ => {}
        }
    }
    None
}

/// Parses the lines of one event; returns `None` if they have no data, such as comments.
fn parse_event(lines: &[u8]) -> Option<Event> {
    let mut data: Option<Bytes> = None;
    let mut number = None;
    let mut is_other = false;
    for line in lines.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field_value(line, b"id:") {
            number = str::from_utf8(value)
                .ok()
                .and_then(|text| text.parse().ok());
        }
        if let Some(value) = field_value(line, b"event:") {
            is_other = !value.is_empty() && value != DATA_TYPE;
        }
        if let Some(value) = field_value(line, b"data:") {
            data = Some(match data {
                None => Bytes::copy_from_slice(value),
                Some(previous) => Bytes::from([&previous[..], b"\n", value].concat()),
            });
        }
    }
    let data = data?;
    if is_other {
        return Some(Event::Other);
    }
    if &data[..] == DONE_MARKER {
        return Some(Event::Done);
    }
    Some(Event::Data(number, data))
}

fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
