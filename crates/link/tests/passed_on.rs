//! Tests of the heads that are read from responses on their way to another party.

use http::StatusCode;
use jackdaw_link::head::Reader;
use rstest::rstest;

/// Bytes of a response in the parts in which they arrive.
#[derive(Debug)]
struct Case {
    name: &'static str,
    parts: &'static [&'static str],
    /// Value of the header `after` in the head that is read.
    after: Option<&'static str>,
}

// Guards against refusals that are not noticed, and against bodies that are taken for refusals.
#[rstest]
#[case(Case { name: "whole", parts: &["HTTP/1.1 503 Full\r\nafter: 2\r\n\r\n"], after: Some("2") })]
#[case(Case { name: "with a body", parts: &["HTTP/1.1 503 Full\r\nafter: 2\r\ncontent-length: 1\r\n\r\nx"], after: Some("2") })]
#[case(Case { name: "byte by byte", parts: &["H", "TTP/1.1 50", "3 Full\r", "\nafter", ": 2\r\n\r", "\n"], after: Some("2") })]
#[case(Case { name: "without a reason", parts: &["HTTP/1.1 503\r\nafter: 2\r\n\r\n"], after: Some("2") })]
#[case(Case { name: "of an older version", parts: &["HTTP/1.0 503 Full\r\nafter: 2\r\n\r\n"], after: Some("2") })]
#[case(Case { name: "after an interim response", parts: &["HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 503 Full\r\nafter: 2\r\n\r\n"], after: Some("2") })]
#[case(Case { name: "after two interim responses in parts", parts: &["HTTP/1.1 100 Continue\r\n\r\nHTTP", "/1.1 103 Hints\r\n\r", "\nHTTP/1.1 503 Full\r\nafter: 2\r\n\r\n"], after: Some("2") })]
#[case(Case { name: "another status", parts: &["HTTP/1.1 200 OK\r\nafter: 2\r\n\r\n"], after: None })]
#[case(Case { name: "a status within a body", parts: &["HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 503 Full\r\nafter: 2\r\n\r\n"], after: None })]
#[case(Case { name: "no response", parts: &["after: 2\r\n\r\n"], after: None })]
#[case(Case { name: "a second response", parts: &["HTTP/1.1 503 Full\r\nafter: 2\r\n\r\n", "HTTP/1.1 503 Full\r\nafter: 9\r\n\r\n"], after: Some("2") })]
fn head_of_a_refusal_is_read(#[case] case: Case) {
    let mut reader = Reader::new(StatusCode::SERVICE_UNAVAILABLE);
    reader.expect();
    let heads: Vec<_> = case
        .parts
        .iter()
        .filter_map(|part| reader.read(part.as_bytes()))
        .collect();
    let after = heads.first().and_then(|head| head.headers.get("after"));
    let after = after.map(|value| value.to_str().expect("the value is text"));
    assert_eq!(after, case.after, "{}", case.name);
    assert!(heads.len() <= 1, "{}", case.name);
}

// Guards against bytes of an answer that nobody asked for.
#[test]
fn nothing_is_read_before_a_request() {
    let mut reader = Reader::new(StatusCode::SERVICE_UNAVAILABLE);
    let response = b"HTTP/1.1 503 Full\r\nafter: 2\r\n\r\n";
    assert!(reader.read(response).is_none());
    reader.expect();
    assert!(reader.read(response).is_some());
}

// Guards against a head without an end that takes memory without an end.
#[test]
fn large_head_is_passed_over() {
    let mut reader = Reader::new(StatusCode::SERVICE_UNAVAILABLE);
    reader.expect();
    assert!(reader.read(b"HTTP/1.1 503 Full\r\nafter: ").is_none());
    for _ in 0..20 {
        assert!(reader.read(&[b'2'; 1 << 10]).is_none());
    }
    assert!(reader.read(b"\r\n\r\n").is_none());
}
