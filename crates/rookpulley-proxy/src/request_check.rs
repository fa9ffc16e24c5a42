//! Validates request heads.

use crate::connection_monitor::ConnectionMonitor;
use crate::headers::{DEADLINE_MS, REQUEST_ID, is_chunked, single};
use hyper::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::http::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Method, Version};
use rookpulley_routes::Limits;

/// The maximum length of a request id.
const MAX_ID_BYTES: usize = 256;

/// The values read from a valid head.
#[derive(Debug)]
pub struct CheckedHead {
    /// The host name, without the port.
    pub host: String,
    pub id: HeaderValue,
    /// How long the client waits, if it sent a valid value.
    pub client_wait_ms: Option<f64>,
    /// The value of `Content-Length`, if present.
    pub length: Option<u64>,
}

/// The status of the response that rejects an invalid request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BadRequest(pub u16);

const BAD_REQUEST: BadRequest = BadRequest(400);
const BODY_TOO_LONG: BadRequest = BadRequest(413);
const HEAD_TOO_LONG: BadRequest = BadRequest(431);
const VERSION_NOT_SUPPORTED: BadRequest = BadRequest(505);

/// Validates a request head and extracts the values needed to route it.
pub fn check(
    head: &Parts,
    monitor: &ConnectionMonitor,
    limits: Limits,
) -> Result<CheckedHead, BadRequest> {
    if monitor.head_bytes.get() > limits.max_header_bytes {
        return Err(HEAD_TOO_LONG);
    }
    // An HTTP/1.0 client could take a truncated streamed response for a complete one.
    if head.version != Version::HTTP_11 {
        return Err(VERSION_NOT_SUPPORTED);
    }
    if !is_origin_form(head, monitor) {
        return Err(BAD_REQUEST);
    }
    let headers = &head.headers;
    let host = single(headers, &HOST).and_then(|host| host.to_str().ok());
    let host = host.and_then(strip_port).ok_or(BAD_REQUEST)?;
    let id = single(headers, &REQUEST_ID);
    let id = id
        .filter(|id| !id.is_empty() && id.len() <= MAX_ID_BYTES)
        .ok_or(BAD_REQUEST)?;
    if headers.contains_key(TRANSFER_ENCODING) && !is_chunked(headers) {
        return Err(BAD_REQUEST);
    }
    let length = headers.get(CONTENT_LENGTH).map(parse_content_length);
    let length = length.transpose()?;
    if length.is_some_and(|length| length > limits.max_body_bytes) {
        return Err(BODY_TOO_LONG);
    }
    Ok(CheckedHead {
        host,
        id: id.clone(),
        client_wait_ms: single(headers, &DEADLINE_MS).and_then(parse_milliseconds),
        length,
    })
}

/// Whether the target is in origin form, without a fragment.
fn is_origin_form(head: &Parts, monitor: &ConnectionMonitor) -> bool {
    let target = &head.uri;
    target.scheme().is_none()
        && target.authority().is_none()
        && target.path().starts_with('/')
        && !monitor.has_fragment.get()
        && head.method != Method::CONNECT
}

fn parse_content_length(value: &HeaderValue) -> Result<u64, BadRequest> {
    let text = value.to_str().map_err(|_| BAD_REQUEST)?;
    text.parse().map_err(|_| BAD_REQUEST)
}

fn parse_milliseconds(value: &HeaderValue) -> Option<f64> {
    let ms = value.to_str().ok()?.trim().parse::<f64>().ok()?;
    (ms.is_finite() && ms >= 0.0).then_some(ms)
}

fn strip_port(host: &str) -> Option<String> {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        Some(_) => return None,
        None => host,
    };
    (!name.is_empty()).then(|| name.to_owned())
}
