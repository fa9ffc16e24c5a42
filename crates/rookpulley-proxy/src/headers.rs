//! Headers that the proxy reads, sets or removes.

use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue,
    PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::header::InvalidHeaderValue;

/// The request id set by the client; instances repeat it in the response.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// How long the sender waits for the response, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// The signature of an instance on a successful response.
pub const SIGNATURE: HeaderName = HeaderName::from_static("response-signature");
/// The incarnation that the request is addressed to.
pub const TARGET_INSTANCE: HeaderName = HeaderName::from_static("target-instance");
/// The tenant that the request comes from; set by the proxy only.
pub const TENANT_NAME: HeaderName = HeaderName::from_static("tenant-name");
/// Set by an instance that has not executed the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");

/// Headers that apply to a single connection only.
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
/// Headers that are kept even if `Connection` lists them.
static END_TO_END: [HeaderName; 5] = [HOST, REQUEST_ID, DEADLINE_MS, CONTENT_LENGTH, SIGNATURE];

/// The value of a header that occurs exactly once.
pub fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?;
    values.next().is_none().then_some(first)
}

/// Whether `chunked` is the only transfer coding.
pub fn is_chunked(headers: &HeaderMap) -> bool {
    let coding = single(headers, &TRANSFER_ENCODING);
    coding.is_some_and(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"))
}

/// Removes hop-by-hop headers, including those listed in `Connection`.
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

/// Replaces what the client says of its identity by what the proxy knows. Must run after `strip_hop_by_hop`, so that a
/// client cannot have the tenant's name removed by listing it in `Connection`. Fails if the name is no header value.
pub fn set_identity(
    headers: &mut HeaderMap,
    tenant: Option<&str>,
    withholds_authorization: bool,
) -> Result<(), InvalidHeaderValue> {
    headers.remove(&TENANT_NAME);
    if withholds_authorization {
        headers.remove(AUTHORIZATION);
    }
    if let Some(tenant) = tenant {
        headers.insert(&TENANT_NAME, HeaderValue::from_str(tenant)?);
    }
    Ok(())
}
