//! HTTP/1.1 over blocking sockets.

use std::io::{BufRead, BufReader, Error, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// First line and headers of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Gets a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(own, _)| own == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Gets the method and the target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Gets the status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    fn length(&self) -> usize {
        let length = self.header("content-length");
        length.and_then(|length| length.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message; none at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if head.line.is_empty() {
            head.line = line;
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            head.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads a request with a body that has a length.
pub fn read_request(reader: &mut impl BufRead) -> Result<Option<(Head, Vec<u8>)>> {
    let Some(head) = read_head(reader)? else {
        return Ok(None);
    };
    let mut body = vec![0; head.length()];
    reader.read_exact(&mut body)?;
    Ok(Some((head, body)))
}

/// Writes an answer with a length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)
}

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the end of the body has arrived as its framing tells.
    pub is_complete: bool,
}

/// Sends a request and reads the answer, for `patience` at most.
pub fn call(address: SocketAddr, request: &str, patience: Duration) -> Result<Answer> {
    let due = Instant::now() + patience;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(100)))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(Patient { stream, due });
    let Some(head) = read_head(&mut reader)? else {
        return Err(Error::other("the connection ended without an answer"));
    };
    let mut answer = Answer {
        status: head.status(),
        head,
        ..Answer::default()
    };
    // What has arrived counts, whatever ends it.
    answer.is_complete = read_body(&mut reader, &answer.head, &mut answer.body).is_ok();
    Ok(answer)
}

fn read_body(reader: &mut impl BufRead, head: &Head, body: &mut Vec<u8>) -> Result<()> {
    if head.header("transfer-encoding") != Some("chunked") {
        body.resize(head.length(), 0);
        return reader.read_exact(body);
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(Error::other("the connection ended within the body"));
        }
        let size = usize::from_str_radix(line.trim(), 16).map_err(Error::other)?;
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        let mut end = [0; 2];
        reader.read_exact(&mut end)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// A stream that is read until a time.
struct Patient {
    stream: TcpStream,
    due: Instant,
}

impl Read for Patient {
    fn read(&mut self, buffer: &mut [u8]) -> Result<usize> {
        loop {
            match self.stream.read(buffer) {
                Err(error) if is_timeout(&error) && Instant::now() < self.due => {}
                result => return result,
            }
        }
    }
}

fn is_timeout(error: &Error) -> bool {
    use std::io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
    matches!(error.kind(), TimedOut | WouldBlock | Interrupted)
}
