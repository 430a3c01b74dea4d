//! Conversion of headers between ntex and the http crate, removal of hop-by-hop headers, and the size
//! of heads.

use http::header::{
    CONNECTION, CONTENT_LENGTH, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue};
use jackdaw_core::units::Bytes;
use ntex::http::Request;

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

/// Returns the length of a request's head with one space behind each colon.
pub(crate) fn head_len(request: &Request) -> Bytes {
    const LINE: usize = "  HTTP/1.1\r\n".len();
    const HEADER: usize = ": \r\n".len();
    const END: usize = "\r\n".len();
    let uri = request.uri();
    let scheme = uri
        .scheme_str()
        .map_or(0, |scheme| scheme.len() + "://".len());
    let authority = uri
        .authority()
        .map_or(0, |authority| authority.as_str().len());
    let path = uri.path_and_query().map_or(0, |path| path.as_str().len());
    let headers = request.headers().iter();
    let headers: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER)
        .sum();
    let method = request.method().as_str().len();
    Bytes((method + scheme + authority + path + LINE + headers + END) as u64)
}

/// Returns the length of a body that its head states.
pub(crate) fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
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
