//! What a request must look like before anything is done for it.

use crate::ear::Watch;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Method, Version};
use rookpulley_routes::Limits;

/// What was read from a proper head.
#[derive(Debug)]
pub struct Checked {
    pub host: String,
    pub id: HeaderValue,
    /// What the client says that it will wait, if it says so in a way that can be read.
    pub deadline_ms: Option<f64>,
    pub length: Option<u64>,
}

/// A request's id and time are short; what is longer is none.
const LONGEST_ID: usize = 256;
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
pub const SIGNATURE: HeaderName = HeaderName::from_static("response-signature");

/// Refusals are statuses.
pub fn check(head: &Parts, watch: &Watch, limits: Limits) -> Result<Checked, u16> {
    if watch.head_bytes.get() > limits.header_bytes {
        return Err(431);
    }
    // To an older client a long answer that breaks off would look whole.
    if head.version != Version::HTTP_11 {
        return Err(505);
    }
    let target = &head.uri;
    let plain =
        target.scheme().is_none() && target.authority().is_none() && target.path().starts_with('/');
    if !plain || watch.fragment.get() || head.method == Method::CONNECT {
        return Err(400);
    }
    let host = one(&head.headers, &HOST)
        .and_then(|host| host.to_str().ok())
        .and_then(name_of)
        .ok_or(400u16)?;
    let id = one(&head.headers, &REQUEST_ID)
        .filter(|id| !id.is_empty() && id.len() <= LONGEST_ID)
        .ok_or(400u16)?;
    let deadline_ms = one(&head.headers, &DEADLINE_MS).and_then(milliseconds);
    if head.headers.contains_key(TRANSFER_ENCODING) && !in_chunks(&head.headers) {
        return Err(400);
    }
    let length = match head.headers.get(CONTENT_LENGTH) {
        None => None,
        Some(length) => Some(
            length
                .to_str()
                .ok()
                .and_then(|text| text.parse::<u64>().ok())
                .ok_or(400u16)?,
        ),
    };
    if length.is_some_and(|length| length > limits.body_bytes) {
        return Err(413);
    }
    Ok(Checked {
        host,
        id: id.clone(),
        deadline_ms,
        length,
    })
}

pub fn one<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut all = headers.get_all(name).iter();
    let first = all.next()?;
    all.next().is_none().then_some(first)
}

/// It comes in chunks, and in nothing around them.
pub fn in_chunks(headers: &HeaderMap) -> bool {
    one(headers, &TRANSFER_ENCODING)
        .is_some_and(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"))
}

fn milliseconds(value: &HeaderValue) -> Option<f64> {
    let ms = value.to_str().ok()?.trim().parse::<f64>().ok()?;
    (ms.is_finite() && ms >= 0.0).then_some(ms)
}

/// The host without its port.
fn name_of(host: &str) -> Option<String> {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        Some(_) => return None,
        None => host,
    };
    (!name.is_empty()).then(|| name.to_owned())
}

/// What concerns one connection only.
static HOPS: [HeaderName; 9] = [
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
static KEPT: [HeaderName; 5] = [HOST, REQUEST_ID, DEADLINE_MS, CONTENT_LENGTH, SIGNATURE];

/// Takes out what concerns one connection only, and what its ends say that does.
pub fn strip(headers: &mut HeaderMap) {
    let named = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .filter(|name| !KEPT.contains(name));
    let hops = headers.keys().filter(|name| HOPS.contains(name)).cloned();
    let leave: Vec<HeaderName> = named.chain(hops).collect();
    leave.iter().for_each(|name| _ = headers.remove(name));
}
