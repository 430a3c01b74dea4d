//! Splits a server-sent event stream into complete events without changing its bytes.

use bytes::{Buf, Bytes, BytesMut};
use jackdaw_policy::continuation::Label;

/// Largest event in bytes; an engine's events hold only a few tokens.
const MAX_EVENT: usize = 1 << 20;

/// One event including the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// Number in the `id` field.
    pub(crate) label: Label,
    /// Bytes as sent by the server.
    pub(crate) bytes: Bytes,
}

/// Error of an event that is larger than [`MAX_EVENT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TooLarge;

/// Buffers a stream's bytes and splits off complete events.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buffer: BytesMut,
    scanned_bytes: usize,
}

impl Splitter {
    /// Appends bytes of the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of bytes that are buffered.
    pub(crate) fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether no bytes of an incomplete event are buffered.
    pub(crate) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Removes and returns the next complete event, if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if an incomplete event is larger than [`MAX_EVENT`].
    pub(crate) fn next(&mut self) -> Result<Option<Event>, TooLarge> {
        let Some(end) = self.find_end() else {
            self.scanned_bytes = self.buffer.len().saturating_sub(3);
            if self.buffer.len() > MAX_EVENT {
                return Err(TooLarge);
            }
            return Ok(None);
        };
        self.scanned_bytes = 0;
        let bytes = self.buffer.copy_to_bytes(end);
        Ok(Some(Event {
            label: parse_label(&bytes),
            bytes,
        }))
    }

    /// Returns the index after the next empty line.
    fn find_end(&self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let start = self.scanned_bytes;
        bytes[start..]
            .iter()
            .enumerate()
            .filter(|(_, byte)| **byte == b'\n')
            .map(|(idx, _)| start + idx)
            .find_map(|idx| match bytes.get(idx + 1) {
                Some(b'\n') => Some(idx + 2),
                Some(b'\r') if bytes.get(idx + 2) == Some(&b'\n') => Some(idx + 3),
                Some(_) | None => None,
            })
    }
}

fn parse_label(event: &[u8]) -> Label {
    let lines = event.split(|byte| *byte == b'\n');
    let mut lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let mut ids = lines.clone().filter_map(|line| line.strip_prefix(b"id:"));
    if let Some(id) = ids.next() {
        // Two different numbers are no number.
        let is_only = ids.all(|other| other == id);
        let number = parse_number(id).filter(|_| is_only);
        return number.map_or(Label::Missing, Label::Number);
    }
    match lines.all(is_silent) {
        true => Label::Silent,
        false => Label::Missing,
    }
}

fn parse_number(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}

/// Returns whether a line is a comment or a setting of the connection.
fn is_silent(line: &[u8]) -> bool {
    line.is_empty() || line.starts_with(b":") || line.starts_with(b"retry:")
}
