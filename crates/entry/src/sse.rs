//! Splits a stream of server-sent events.

use ntex::util::{Bytes, BytesMut};

/// Text that ends a stream of completions.
const DONE: &[u8] = b"[DONE]";
/// Largest event in bytes.
const LARGEST_EVENT: usize = 1 << 20;

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// Data of an event, with its number if the server numbers its events.
    Data(Option<u64>, Bytes),
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
            if let Some(event) = event(&text[..length]) {
                return Ok(Some(event));
            }
        }
        if self.buffer.len() > LARGEST_EVENT {
            return Err(TooLarge);
        }
        Ok(None)
    }
}

/// Returns the length of the first event and of the empty line after it.
fn find_end(bytes: &[u8]) -> Option<(usize, usize)> {
    for (index, byte) in bytes.iter().enumerate() {
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

/// Returns the event in some lines, or `None` for lines without data, such as comments.
fn event(lines: &[u8]) -> Option<Event> {
    let mut data: Option<Bytes> = None;
    let mut number = None;
    for line in lines.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field(line, b"id:") {
            number = str::from_utf8(value)
                .ok()
                .and_then(|text| text.parse().ok());
        }
        if let Some(value) = field(line, b"data:") {
            data = Some(match data {
                None => Bytes::copy_from_slice(value),
                Some(before) => Bytes::from([&before[..], b"\n", value].concat()),
            });
        }
    }
    let data = data?;
    if &data[..] == DONE {
        return Some(Event::Done);
    }
    Some(Event::Data(number, data))
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
