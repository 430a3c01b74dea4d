//! Headers between the two HTTP libraries, without those that concern one connection only.

use http::header::{
    CONNECTION, CONTENT_LENGTH, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const EXPECT: HeaderName = http::header::EXPECT;

/// Returns whether a header concerns one connection, or the framing on it.
fn is_hop(name: &HeaderName) -> bool {
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

/// Returns the names that a connection header lists.
fn listed(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

/// Removes the headers that concern one connection only.
pub(crate) fn strip(headers: &mut HeaderMap) {
    let listed = listed(headers);
    let hops: Vec<HeaderName> = headers
        .keys()
        .filter(|name| is_hop(name) || listed.contains(name))
        .cloned()
        .collect();
    for name in hops {
        headers.remove(name);
    }
}

/// Copies a caller's headers.
pub(crate) fn received(headers: &ntex::http::HeaderMap) -> HeaderMap {
    let mut copied = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
            copied.append(name.clone(), value);
        }
    }
    copied
}
