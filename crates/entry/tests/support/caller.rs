//! HTTP caller that sends requests and reads the raw answers.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use serde_json::Value;

use super::backend::EVENT_TIMEOUT;

/// Token of the test team.
pub const TOKEN: &str = "secret";

/// A request to send.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub path: &'static str,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
}

impl Request {
    /// Creates a request for a completion that is not streamed.
    pub fn completion() -> Self {
        Request {
            method: "POST",
            path: "/v1/completions",
            headers: vec![("authorization", format!("Bearer {TOKEN}"))],
            body: r#"{"model":"tiles","prompt":"match"}"#.to_owned(),
        }
    }

    /// Creates a request for a streamed completion.
    pub fn streamed() -> Self {
        Request {
            body: r#"{"model":"tiles","prompt":"match","stream":true}"#.to_owned(),
            ..Request::completion()
        }
    }

    /// Creates a call of a service.
    pub fn service(method: &'static str, path: &'static str) -> Self {
        Request {
            method,
            path,
            body: String::from("{}"),
            ..Request::completion()
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Sends the request on a new connection and reads the answer.
    pub fn send(&self, address: SocketAddr) -> Reply {
        let stream = self.open(address);
        Reply::read(&stream)
    }

    /// Sends the request on a new connection and leaves the answer unread.
    pub fn open(&self, address: SocketAddr) -> TcpStream {
        let mut stream = TcpStream::connect(address).expect("connect");
        stream
            .set_read_timeout(Some(EVENT_TIMEOUT))
            .expect("timeout");
        stream.write_all(self.encode().as_bytes()).expect("write");
        stream
    }

    /// Returns the request as it is written to a connection.
    pub fn encode(&self) -> String {
        let mut text = format!("{} {} HTTP/1.1\r\nhost: node\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("content-length: {}\r\n\r\n", self.body.len()));
        text.push_str(&self.body);
        text
    }
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Whether the body ended as its framing requires.
    pub complete: bool,
}

impl Reply {
    pub fn read(stream: &TcpStream) -> Self {
        let mut reader = BufReader::new(stream);
        let (status, headers) = read_head(&mut reader);
        let mut reply = Reply {
            status,
            headers,
            body: String::new(),
            complete: true,
        };
        if let Some(length) = reply.header("content-length") {
            let mut body = vec![0; length.parse().expect("length")];
            reply.complete = reader.read_exact(&mut body).is_ok();
            reply.body = String::from_utf8_lossy(&body).into_owned();
            return reply;
        }
        reply.complete = false;
        while let Some(chunk) = read_chunk(&mut reader) {
            if chunk.is_empty() {
                reply.complete = true;
                break;
            }
            reply.body.push_str(&chunk);
        }
        reply
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(field, _)| field == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn outcome(&self) -> &str {
        self.header("jackdawstair-outcome").unwrap_or("none")
    }

    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns a field of the problem document.
    pub fn problem_field(&self, field: &str) -> String {
        let value = &self.json()[field];
        value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned)
    }

    /// Returns the tokens of the stream.
    pub fn tokens(&self) -> Vec<u64> {
        self.body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .filter_map(|data| serde_json::from_str::<Value>(data).ok())
            .filter_map(|event| event["token"].as_u64())
            .collect()
    }

    /// Returns whether the stream is complete and ends with its end marker.
    pub fn is_complete_stream(&self) -> bool {
        self.complete && self.body.ends_with("data: [DONE]\n\n")
    }

    /// Returns the data of the stream's error event.
    pub fn stream_error(&self) -> Option<Value> {
        let (_, data) = self.body.split_once("event: error\ndata: ")?;
        serde_json::from_str(data.trim()).ok()
    }
}

/// Reads the head of an answer.
pub fn read_head(reader: &mut impl BufRead) -> (u16, Vec<(String, String)>) {
    let mut line = String::new();
    reader.read_line(&mut line).expect("status line");
    let status = line
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).expect("header") == 0 || line == "\r\n" {
            return (status, headers);
        }
        if let Some((name, value)) = line.trim_end().split_once(':') {
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk; the last is empty.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let length = usize::from_str_radix(line.trim(), 16).ok()?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(length);
    String::from_utf8(chunk).ok()
}
