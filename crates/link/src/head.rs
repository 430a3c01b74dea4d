//! Reads the heads of responses from bytes that are passed on between two other parties.

use bytes::{Buf, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

/// Largest head that is read in bytes.
const MAX_BYTES: usize = 16 << 10;
/// Largest number of headers that are read.
const MAX_HEADERS: usize = 100;
/// Length of the shortest text that holds a version, a space and a status.
const STATUS_LINE: usize = "HTTP/1.1 000".len();

/// Status and headers of a response.
#[derive(Clone, Debug)]
pub struct Head {
    /// Status.
    pub status: StatusCode,
    /// Headers, but for those that no header map can hold.
    pub headers: HeaderMap,
}

/// Reads the head of the response that follows a request, if the response has one status.
///
/// A head that cannot be read, or that is too large, is passed over: the bytes are none of the reader's.
#[derive(Debug)]
pub struct Reader {
    status: StatusCode,
    /// Bytes of a head in progress; none outside a head.
    buffer: Option<BytesMut>,
}

impl Reader {
    /// Creates a reader of the heads with a status.
    #[must_use]
    pub fn new(status: StatusCode) -> Self {
        Reader {
            status,
            buffer: None,
        }
    }

    /// Takes note that a request is sent, after which a response begins.
    pub fn expect(&mut self) {
        self.buffer.get_or_insert_default();
    }

    /// Reads bytes of a response, and returns its head once that is whole.
    pub fn read(&mut self, bytes: &[u8]) -> Option<Head> {
        let mut buffer = self.buffer.take()?;
        buffer.extend_from_slice(bytes);
        loop {
            if !self.may_have_status(&buffer) {
                return None;
            }
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut response = httparse::Response::new(&mut headers);
            let len = match response.parse(&buffer) {
                Ok(httparse::Status::Complete(len)) => len,
                Ok(httparse::Status::Partial) => {
                    let is_small = buffer.len() <= MAX_BYTES;
                    self.buffer = is_small.then_some(buffer);
                    return None;
                }
                Err(_) => return None,
            };
            let head = decode(&response)?;
            if !head.status.is_informational() {
                return Some(head);
            }
            // The final head follows one of an interim response.
            buffer.advance(len);
        }
    }

    /// Returns whether the bytes may begin a head with the status, or one of an interim response.
    fn may_have_status(&self, bytes: &[u8]) -> bool {
        let Some(line) = bytes.get(..STATUS_LINE) else {
            return true;
        };
        line.ends_with(self.status.as_str().as_bytes()) || line[STATUS_LINE - 3] == b'1'
    }
}

fn decode(response: &httparse::Response<'_, '_>) -> Option<Head> {
    let status = StatusCode::from_u16(response.code?).ok()?;
    let headers = response.headers.iter().filter_map(|header| {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        Some((name, value))
    });
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.append(name, value);
    }
    Some(Head {
        status,
        headers: map,
    })
}
