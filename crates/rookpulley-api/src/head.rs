//! Parses request heads and rejects ambiguous ones, as a defense against request smuggling.

use crate::rejection::Rejection;
use std::str::FromStr;

/// The maximum number of header lines of a message.
pub const MAX_HEADERS: usize = 100;

/// The framing of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    Bytes(usize),
    Chunked,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    pub method: String,
    pub path: String,
    pub query: String,
    /// Names are in lower case, in the order sent.
    pub headers: Vec<(String, String)>,
    pub length: Length,
    /// The connection may carry another message after this one.
    pub keep_alive: bool,
    /// The client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// Parses a head of up to `max_bytes` at the start of `bytes` and returns it with its length. None: it is incomplete.
/// The result does not depend on how the bytes were split into reads.
pub fn read(bytes: &[u8], max_bytes: usize) -> Result<Option<(Head, usize)>, Rejection> {
    let window = bytes.get(..max_bytes).unwrap_or(bytes);
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut lines);
    match request.parse(window) {
        Ok(httparse::Status::Complete(length)) => Ok(Some((validate(&request)?, length))),
        Ok(httparse::Status::Partial) if window.len() == max_bytes => Err(Rejection::HeadTooLong),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(Rejection::HeadTooLong),
        Err(httparse::Error::Version) => check_version(window, max_bytes),
        Err(_) => Err(Rejection::InvalidHead),
    }
}

/// Distinguishes another version of HTTP from an invalid head, which takes the complete request line.
fn check_version(window: &[u8], max_bytes: usize) -> Result<Option<(Head, usize)>, Rejection> {
    let Some(end) = window.iter().position(|byte| *byte == b'\n') else {
        return if window.len() == max_bytes {
            Err(Rejection::HeadTooLong)
        } else {
            Ok(None)
        };
    };
    let line = window.get(..end).unwrap_or_default().trim_ascii_end();
    match line.rsplit(|byte| *byte == b' ').next() {
        Some([b'H', b'T', b'T', b'P', b'/', b'0'..=b'9', b'.', b'0'..=b'9']) => {
            Err(Rejection::Version)
        }
        _ => Err(Rejection::InvalidHead),
    }
}

fn validate(request: &httparse::Request<'_, '_>) -> Result<Head, Rejection> {
    let (method, http11) = (
        request.method.unwrap_or_default(),
        request.version == Some(1),
    );
    // Methods are case-sensitive, so `get` is invalid, although async-h1 accepts it as GET.
    let known = http_types::Method::from_str(method).is_ok_and(|known| known.as_ref() == method);
    if !known || method == "CONNECT" {
        return Err(Rejection::UnknownMethod);
    }
    let (path, query) = target(method, request.path.unwrap_or_default())?;
    let (mut hosts, mut lengths, mut codings) = (Vec::new(), Vec::new(), Vec::new());
    let (mut keep_alive, mut expects_continue) = (http11, false);
    let mut headers = Vec::with_capacity(request.headers.len());
    for line in request.headers.iter() {
        let name = line.name.to_ascii_lowercase();
        match name.as_str() {
            "host" => hosts.push(line.value),
            "content-length" => lengths.push(line.value),
            "transfer-encoding" => codings.push(line.value),
            "connection" => {
                keep_alive &=
                    !comma_separated(line.value).any(|item| item.eq_ignore_ascii_case(b"close"))
            }
            "expect" if http11 && line.value.eq_ignore_ascii_case(b"100-continue") => {
                expects_continue = true
            }
            "expect" if http11 => return Err(Rejection::Expectation),
            _ => {}
        }
        headers.push((name, String::from_utf8_lossy(line.value).into_owned()));
    }
    if hosts.len() > 1 || (http11 && hosts.is_empty()) || !hosts.iter().all(|host| is_host(host)) {
        return Err(Rejection::InvalidHost);
    }
    let length = length(&lengths, &codings, http11)?;
    Ok(Head {
        method: method.to_owned(),
        path,
        query,
        headers,
        length,
        keep_alive,
        expects_continue,
    })
}

fn comma_separated(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    value.split(|byte| *byte == b',').map(<[u8]>::trim_ascii)
}

fn is_host(value: &[u8]) -> bool {
    value
        .iter()
        .all(|byte| byte.is_ascii_graphic() && !b"/\\?#@,<>\"".contains(byte))
}

/// The path and query, not decoded. The scheme and authority of an absolute target are ignored.
fn target(method: &str, target: &str) -> Result<(String, String), Rejection> {
    if target.contains('#') {
        return Err(Rejection::InvalidTarget);
    }
    let scheme = target
        .get(..7)
        .filter(|scheme| scheme.eq_ignore_ascii_case("http://"));
    let target = match (
        target.as_bytes().first(),
        scheme.and_then(|_| target.get(7..)),
    ) {
        (Some(b'/'), _) => target,
        (_, Some(rest)) => rest
            .find(['/', '?'])
            .and_then(|at| rest.get(at..))
            .unwrap_or_default(),
        _ if target == "*" && method == "OPTIONS" => target,
        _ => return Err(Rejection::InvalidTarget),
    };
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Ok((
        if path.is_empty() { "/" } else { path }.to_owned(),
        query.to_owned(),
    ))
}

fn length(lengths: &[&[u8]], codings: &[&[u8]], http11: bool) -> Result<Length, Rejection> {
    match (lengths, codings) {
        ([], []) => Ok(Length::Bytes(0)),
        ([first, more @ ..], []) => {
            let is_decimal = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
            if !is_decimal || more.iter().any(|other| other != first) {
                return Err(Rejection::InvalidLength);
            }
            let digits = std::str::from_utf8(first).unwrap_or_default();
            digits
                .parse()
                .map(Length::Bytes)
                .map_err(|_| Rejection::BodyTooLong)
        }
        ([], [coding]) if http11 && coding.eq_ignore_ascii_case(b"chunked") => Ok(Length::Chunked),
        ([], codings) if http11 => {
            let only_chunked = codings
                .iter()
                .flat_map(|coding| comma_separated(coding))
                .all(|item| item.eq_ignore_ascii_case(b"chunked"));
            Err(if only_chunked {
                Rejection::InvalidLength
            } else {
                Rejection::UnknownCoding
            })
        }
        _ => Err(Rejection::InvalidLength),
    }
}
