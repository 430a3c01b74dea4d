//! Conversion of headers between ntex and the http crate, and removal of hop-by-hop headers.

use http::header::{
    CONNECTION, CONTENT_LENGTH, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const EXPECT: HeaderName = http::header::EXPECT;

/// Returns whether a header applies to a single connection or its message framing.
fn is_hop_by_hop(name: &HeaderName) -> bool {
    [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        CONTENT_LENGTH,
        EXPECT,
    ]
    .contains(name)
}

/// Returns the header names that the `Connection` header lists.
fn listed_in_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

/// Removes the headers that apply to a single connection only.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed = listed_in_connection(headers);
    let removed: Vec<HeaderName> = headers
        .keys()
        .filter(|name| is_hop_by_hop(name) || listed.contains(name))
        .cloned()
        .collect();
    for name in removed {
        headers.remove(name);
    }
}

/// Copies a caller's headers; values that are invalid in the http crate are left out.
pub(crate) fn convert(headers: &ntex::http::HeaderMap) -> HeaderMap {
    let mut copied = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
            copied.append(name.clone(), value);
        }
    }
    copied
}
