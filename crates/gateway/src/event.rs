//! Splits a stream into whole events without changing its bytes.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event in bytes; an engine's events hold a few tokens.
const MAX_EVENT: usize = 1 << 20;

/// One event with its separator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// Number, if the event has one.
    pub(crate) id: Option<u64>,
    /// Bytes as the server sent them.
    pub(crate) bytes: Bytes,
}

/// An event is larger than the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TooLarge;

/// Collects bytes and returns whole events.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buffer: BytesMut,
    scanned: usize,
}

impl Splitter {
    /// Adds bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether nothing of an unfinished event is left.
    pub(crate) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the next whole event.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is larger than the bound.
    pub(crate) fn next(&mut self) -> Result<Option<Event>, TooLarge> {
        let Some(end) = self.end() else {
            self.scanned = self.buffer.len().saturating_sub(3);
            if self.buffer.len() > MAX_EVENT {
                return Err(TooLarge);
            }
            return Ok(None);
        };
        self.scanned = 0;
        let bytes = self.buffer.copy_to_bytes(end);
        Ok(Some(Event {
            id: id(&bytes),
            bytes,
        }))
    }

    /// Returns the place after the next empty line.
    fn end(&self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let start = self.scanned;
        bytes[start..]
            .iter()
            .enumerate()
            .filter(|(_, byte)| **byte == b'\n')
            .map(|(place, _)| start + place)
            .find_map(|place| match bytes.get(place + 1) {
                Some(b'\n') => Some(place + 2),
                Some(b'\r') if bytes.get(place + 2) == Some(&b'\n') => Some(place + 3),
                Some(_) | None => None,
            })
    }
}

fn id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|number| std::str::from_utf8(number).ok())
        .and_then(|number| number.trim().parse().ok())
}
