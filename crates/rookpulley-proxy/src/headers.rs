//! The headers that the proxy reads, and those that it takes away.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// The id that a client gives a request, and an instance its answer.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// How many milliseconds the sender waits.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// An instance signs an answer of success.
pub const SIGNATURE: HeaderName = HeaderName::from_static("response-signature");
/// The incarnation that a request is meant for.
pub const TARGET_INSTANCE: HeaderName = HeaderName::from_static("target-instance");
/// An instance says by it that it didn't run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");

/// What concerns one connection only.
static HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
/// What tells where a message goes, whose it is and what it is worth isn't a connection's to take away.
static END_TO_END: [HeaderName; 5] = [HOST, REQUEST_ID, DEADLINE_MS, CONTENT_LENGTH, SIGNATURE];

/// The value of a header that is there once.
pub fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?;
    values.next().is_none().then_some(first)
}

/// Whether the body is chunked, and nothing around that.
pub fn is_chunked(headers: &HeaderMap) -> bool {
    let coding = single(headers, &TRANSFER_ENCODING);
    coding.is_some_and(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"))
}

/// Takes out what concerns one connection only, and what its ends say that does.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .filter(|name| !END_TO_END.contains(name));
    let known = headers.keys().filter(|name| HOP_BY_HOP.contains(name));
    let removed: Vec<HeaderName> = named.chain(known.cloned()).collect();
    for name in &removed {
        headers.remove(name);
    }
}
