//! Reads the head of a message and refuses whatever two readers could take for two different things.

use crate::refusal::Refusal;
use std::str::FromStr;

/// The most header lines of one message.
pub const MAX_HEADERS: usize = 100;

/// How the body is told from what follows it.
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
    /// Names in small letters, in the order sent.
    pub headers: Vec<(String, String)>,
    pub length: Length,
    /// The connection may carry another message after this one.
    pub keep_alive: bool,
    /// The caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// Reads a head at the start of `bytes`: it and its length, or nothing as long as it isn't whole. `max_bytes` bounds it.
/// The outcome does not depend on how the bytes were cut on their way.
pub fn read(bytes: &[u8], max_bytes: usize) -> Result<Option<(Head, usize)>, Refusal> {
    let window = bytes.get(..max_bytes).unwrap_or(bytes);
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut lines);
    match request.parse(window) {
        Ok(httparse::Status::Complete(length)) => Ok(Some((checked(&request)?, length))),
        Ok(httparse::Status::Partial) if window.len() == max_bytes => Err(Refusal::LongHead),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(Refusal::LongHead),
        Err(httparse::Error::Version) => version(window, max_bytes),
        Err(_) => Err(Refusal::Head),
    }
}

/// Another version of HTTP is told from something else only once the line is whole.
fn version(window: &[u8], max_bytes: usize) -> Result<Option<(Head, usize)>, Refusal> {
    let Some(end) = window.iter().position(|byte| *byte == b'\n') else {
        return if window.len() == max_bytes {
            Err(Refusal::LongHead)
        } else {
            Ok(None)
        };
    };
    let line = window.get(..end).unwrap_or_default().trim_ascii_end();
    match line.rsplit(|byte| *byte == b' ').next() {
        Some([b'H', b'T', b'T', b'P', b'/', b'0'..=b'9', b'.', b'0'..=b'9']) => {
            Err(Refusal::Version)
        }
        _ => Err(Refusal::Head),
    }
}

fn checked(request: &httparse::Request<'_, '_>) -> Result<Head, Refusal> {
    let (method, newer) = (
        request.method.unwrap_or_default(),
        request.version == Some(1),
    );
    // Methods are told apart by their letters, so `get` is none, though async-h1 would take it for GET.
    let known = http_types::Method::from_str(method).is_ok_and(|known| known.as_ref() == method);
    if !known || method == "CONNECT" {
        return Err(Refusal::Method);
    }
    let (path, query) = target(method, request.path.unwrap_or_default())?;
    let (mut hosts, mut lengths, mut codings) = (Vec::new(), Vec::new(), Vec::new());
    let (mut keep_alive, mut expects_continue) = (newer, false);
    let mut headers = Vec::with_capacity(request.headers.len());
    for line in request.headers.iter() {
        let name = line.name.to_ascii_lowercase();
        match name.as_str() {
            "host" => hosts.push(line.value),
            "content-length" => lengths.push(line.value),
            "transfer-encoding" => codings.push(line.value),
            "connection" => {
                keep_alive &= !words(line.value).any(|word| word.eq_ignore_ascii_case(b"close"))
            }
            "expect" if newer && line.value.eq_ignore_ascii_case(b"100-continue") => {
                expects_continue = true
            }
            "expect" if newer => return Err(Refusal::Expectation),
            _ => {}
        }
        headers.push((name, String::from_utf8_lossy(line.value).into_owned()));
    }
    if hosts.len() > 1 || (newer && hosts.is_empty()) || !hosts.iter().all(|host| is_host(host)) {
        return Err(Refusal::Host);
    }
    let length = length(&lengths, &codings, newer)?;
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

fn words(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    value.split(|byte| *byte == b',').map(<[u8]>::trim_ascii)
}

fn is_host(value: &[u8]) -> bool {
    value
        .iter()
        .all(|byte| byte.is_ascii_graphic() && !b"/\\?#@,<>\"".contains(byte))
}

/// The raw path and query. A target with a scheme and a name in front means what it means without them.
fn target(method: &str, target: &str) -> Result<(String, String), Refusal> {
    if target.contains('#') {
        return Err(Refusal::Target);
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
        _ => return Err(Refusal::Target),
    };
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Ok((
        if path.is_empty() { "/" } else { path }.to_owned(),
        query.to_owned(),
    ))
}

fn length(lengths: &[&[u8]], codings: &[&[u8]], newer: bool) -> Result<Length, Refusal> {
    match (lengths, codings) {
        ([], []) => Ok(Length::Bytes(0)),
        ([first, more @ ..], []) => {
            let plain = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
            if !plain || more.iter().any(|other| other != first) {
                return Err(Refusal::Length);
            }
            let digits = std::str::from_utf8(first).unwrap_or_default();
            digits
                .parse()
                .map(Length::Bytes)
                .map_err(|_| Refusal::LongBody)
        }
        ([], [coding]) if newer && coding.eq_ignore_ascii_case(b"chunked") => Ok(Length::Chunked),
        ([], codings) if newer => {
            let known = codings
                .iter()
                .flat_map(|coding| words(coding))
                .all(|word| word.eq_ignore_ascii_case(b"chunked"));
            Err(if known {
                Refusal::Length
            } else {
                Refusal::Coding
            })
        }
        _ => Err(Refusal::Length),
    }
}
