//! HTTP client of the operators' port.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A response to a request.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

impl Response {
    /// Gets the body as JSON.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).expect("JSON body")
    }
}

/// Sends a request and reads the whole response.
pub(crate) fn send(to: SocketAddr, method: &str, path: &str, token: &str, body: &str) -> Response {
    let mut reader = send_request(to, method, path, token, body);
    let head = read_head(&mut reader);
    let mut body = String::new();
    reader.read_to_string(&mut body).expect("body");
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .expect("status");
    Response { status, head, body }
}

/// Sends a request head with a content length but no body, and returns the head of the response.
pub(crate) fn send_head(to: SocketAddr, path: &str, token: &str, length: usize) -> String {
    let mut stream = TcpStream::connect(to).expect("connects");
    write!(
        stream,
        "POST {path} HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {token}\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n\r\n"
    )
    .expect("sends");
    read_head(&mut BufReader::new(stream))
}

/// Opens a stream of server-sent events and returns its data lines.
pub(crate) fn subscribe(
    to: SocketAddr,
    path: &str,
    token: &str,
) -> impl Iterator<Item = serde_json::Value> {
    let mut reader = send_request(to, "GET", path, token, "");
    let head = read_head(&mut reader);
    assert!(head.contains("text/event-stream"), "{head}");
    reader
        .lines()
        .map_while(std::result::Result::ok)
        .filter_map(|line| line.strip_prefix("data: ").map(str::to_owned))
        .map(|data| serde_json::from_str(&data).expect("JSON event"))
}

fn send_request(
    to: SocketAddr,
    method: &str,
    path: &str,
    token: &str,
    body: &str,
) -> BufReader<TcpStream> {
    let mut stream = TcpStream::connect(to).expect("connects");
    let accept = if method == "GET" && body.is_empty() && path.contains("decisions") {
        "text/event-stream"
    } else {
        "application/json"
    };
    let authorization = if token.is_empty() {
        String::new()
    } else {
        format!("authorization: Bearer {token}\r\n")
    };
    let length = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nhost: node\r\naccept: {accept}\r\n{authorization}\
         connection: close\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n\
         {body}"
    )
    .expect("sends");
    BufReader::new(stream)
}

/// Reads the head of a response.
pub(crate) fn read_head(reader: &mut impl BufRead) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        let read = reader.read_line(&mut head).expect("head");
        assert!(read > 0, "connection closed after {head}");
    }
    head
}
