//! What a request must look like before anything is done for it.

use crate::ear::Watch;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, TRANSFER_ENCODING};
use hyper::http::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Method, Version};
use rookpulley_addressbook::Limits;

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
pub static REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
pub static DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");

/// Refusals are statuses.
pub fn check(head: &Parts, watch: &Watch, limits: Limits) -> Result<Checked, u16> {
    if head_bytes(head) > limits.header_bytes {
        return Err(431);
    }
    let target = &head.uri;
    let plain = target.scheme().is_none() && target.authority().is_none() && target.path().starts_with('/');
    if !plain || watch.fragment.get() || head.method == Method::CONNECT || head.version > Version::HTTP_11 {
        return Err(400);
    }
    let host =
        one(&head.headers, &HOST).and_then(|host| host.to_str().ok()).and_then(name_of).ok_or(400u16)?;
    let id = one(&head.headers, &REQUEST_ID)
        .filter(|id| !id.is_empty() && id.len() <= LONGEST_ID)
        .ok_or(400u16)?;
    let deadline_ms = one(&head.headers, &DEADLINE_MS).and_then(milliseconds);
    if let Some(coding) = head.headers.get(TRANSFER_ENCODING)
        && !coding.as_bytes().eq_ignore_ascii_case(b"chunked")
    {
        return Err(400);
    }
    let length = match head.headers.get(CONTENT_LENGTH) {
        None => None,
        Some(length) => Some(length.to_str().ok().and_then(|text| text.parse::<u64>().ok()).ok_or(400u16)?),
    };
    if length.is_some_and(|length| length > limits.body_bytes) {
        return Err(413);
    }
    Ok(Checked { host, id: id.clone(), deadline_ms, length })
}

fn one<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut all = headers.get_all(name).iter();
    let first = all.next()?;
    all.next().is_none().then_some(first)
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

/// What the head took on the wire, but for optional spaces.
fn head_bytes(head: &Parts) -> usize {
    let target = head.uri.path_and_query().map_or(0, |target| target.as_str().len());
    let first = head.method.as_str().len() + target + 12;
    let header = |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len() + 4;
    first + head.headers.iter().map(header).sum::<usize>() + 2
}

/// Takes out what concerns one connection only.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in named {
        // What tells where a message goes, whose it is and how long it is isn't a connection's to take away.
        if ![&HOST, &REQUEST_ID, &DEADLINE_MS, &CONTENT_LENGTH].contains(&&name) {
            headers.remove(&name);
        }
    }
    const HOPS: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    HOPS.iter().for_each(|hop| _ = headers.remove(*hop));
}
