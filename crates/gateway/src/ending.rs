//! Counts how the answers of servers end.

use http::{HeaderMap, header::TRANSFER_ENCODING};
use hyper::body::Body;
use jackdaw_policy::ending::{Framing, Link};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

/// Counter of the answers that have ended without an error.
#[derive(Debug)]
pub(crate) struct Endings {
    ends: Counter<u64>,
}

impl Endings {
    pub(crate) fn new(meter: &Meter) -> Self {
        let ends = meter
            .u64_counter("jackdawstair_answer_ends")
            .with_description(
                "Answers of servers that ended without an error, by what marks the end and link.",
            )
            .build();
        for framing in Framing::ALL {
            for link in Link::ALL {
                ends.add(0, &labels(framing, link));
            }
        }
        Endings { ends }
    }

    /// Counts an answer that has ended without an error.
    pub(crate) fn count(&self, framing: Framing, link: Link) {
        self.ends.add(1, &labels(framing, link));
    }
}

fn labels(framing: Framing, link: Link) -> [KeyValue; 2] {
    [
        KeyValue::new("framing", framing.label()),
        KeyValue::new("link", link.label()),
    ]
}

/// Returns what marks the end of an answer's body.
pub(crate) fn framing(headers: &HeaderMap, body: &impl Body) -> Framing {
    // A chunked body has no exact length; neither has one that ends with its connection.
    if body.size_hint().exact().is_some() {
        return Framing::Length;
    }
    let encodings = headers.get_all(TRANSFER_ENCODING).iter();
    let last = encodings
        .filter_map(|value| value.to_str().ok())
        .next_back();
    let last = last.and_then(|text| text.rsplit(',').next());
    match last.is_some_and(|name| name.trim().eq_ignore_ascii_case("chunked")) {
        true => Framing::Chunks,
        false => Framing::Connection,
    }
}
