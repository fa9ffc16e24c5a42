//! What a request must look like before anything is done for it.

use crate::connection_monitor::ConnectionMonitor;
use crate::headers::{DEADLINE_MS, REQUEST_ID, is_chunked, single};
use hyper::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::http::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Method, Version};
use rookpulley_routes::Limits;

/// A request's id is short; what is longer is none.
const MAX_ID_BYTES: usize = 256;

/// What was read from a proper head.
#[derive(Debug)]
pub struct CheckedHead {
    /// Without a port.
    pub host: String,
    /// The request's id.
    pub id: HeaderValue,
    /// How long the client says that it will wait, if it says so in a way that can be read.
    pub client_wait_ms: Option<f64>,
    /// The length of the body, where it is stated.
    pub length: Option<u64>,
}

/// Why a request is refused: the status that says so.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BadRequest(pub u16);

const BAD_REQUEST: BadRequest = BadRequest(400);
const BODY_TOO_LONG: BadRequest = BadRequest(413);
const HEAD_TOO_LONG: BadRequest = BadRequest(431);
const VERSION_NOT_SUPPORTED: BadRequest = BadRequest(505);

/// Checks a head.
pub fn check(
    head: &Parts,
    monitor: &ConnectionMonitor,
    limits: Limits,
) -> Result<CheckedHead, BadRequest> {
    if monitor.head_bytes.get() > limits.max_header_bytes {
        return Err(HEAD_TOO_LONG);
    }
    // To an older client a long answer that breaks off would look complete.
    if head.version != Version::HTTP_11 {
        return Err(VERSION_NOT_SUPPORTED);
    }
    if !has_plain_target(head, monitor) {
        return Err(BAD_REQUEST);
    }
    let headers = &head.headers;
    let host = single(headers, &HOST).and_then(|host| host.to_str().ok());
    let host = host.and_then(without_port).ok_or(BAD_REQUEST)?;
    let id = single(headers, &REQUEST_ID);
    let id = id
        .filter(|id| !id.is_empty() && id.len() <= MAX_ID_BYTES)
        .ok_or(BAD_REQUEST)?;
    if headers.contains_key(TRANSFER_ENCODING) && !is_chunked(headers) {
        return Err(BAD_REQUEST);
    }
    let length = headers.get(CONTENT_LENGTH).map(whole_number);
    let length = length.transpose()?;
    if length.is_some_and(|length| length > limits.max_body_bytes) {
        return Err(BODY_TOO_LONG);
    }
    Ok(CheckedHead {
        host,
        id: id.clone(),
        client_wait_ms: single(headers, &DEADLINE_MS).and_then(milliseconds),
        length,
    })
}

/// Whether the target is a path of this host alone.
fn has_plain_target(head: &Parts, monitor: &ConnectionMonitor) -> bool {
    let target = &head.uri;
    target.scheme().is_none()
        && target.authority().is_none()
        && target.path().starts_with('/')
        && !monitor.has_fragment.get()
        && head.method != Method::CONNECT
}

fn whole_number(value: &HeaderValue) -> Result<u64, BadRequest> {
    let text = value.to_str().map_err(|_| BAD_REQUEST)?;
    text.parse().map_err(|_| BAD_REQUEST)
}

fn milliseconds(value: &HeaderValue) -> Option<f64> {
    let ms = value.to_str().ok()?.trim().parse::<f64>().ok()?;
    (ms.is_finite() && ms >= 0.0).then_some(ms)
}

fn without_port(host: &str) -> Option<String> {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        Some(_) => return None,
        None => host,
    };
    (!name.is_empty()).then(|| name.to_owned())
}
