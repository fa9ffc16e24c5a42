//! Classifies response heads: the awaited response, or a stale or interim one that is discarded.

use crate::body_length::BodyLength;
use httparse::{ParserConfig, Status};
use hyper::header::HeaderValue;
use std::collections::VecDeque;
use std::mem::MaybeUninit;

/// The maximum number of headers, as in hyper's parser.
const MAX_HEADERS: usize = 100;
/// How many previous requests per connection are checked for duplicate responses.
pub const MAX_PREVIOUS_REQUESTS: usize = 4;

/// The requests whose responses may arrive on a connection.
#[derive(Default)]
pub struct SentRequests {
    current: Option<SentRequest>,
    previous: VecDeque<SentRequest>,
}

/// A sent request. The response to a HEAD has no body, whatever length it states.
struct SentRequest {
    /// An own copy: a clone of the header value would keep the whole client head in memory.
    id: Box<[u8]>,
    is_head: bool,
}

impl SentRequests {
    /// Adds a request, which becomes the current one.
    pub fn begin(&mut self, id: &HeaderValue, is_head: bool) {
        let request = SentRequest {
            id: id.as_bytes().into(),
            is_head,
        };
        if let Some(previous) = self.current.replace(request) {
            self.previous.truncate(MAX_PREVIOUS_REQUESTS - 1);
            self.previous.push_front(previous);
        }
    }
}

/// Where the body of a response ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyEnd {
    /// Where its head or its encoding says, or there is no body.
    Stated,
    /// Where the connection ends, or the head is ambiguous.
    WithConnection,
}

/// The classification of the next response in the stream.
#[derive(Debug, PartialEq)]
pub enum Classification {
    /// The awaited response, or one that cannot be identified; the parser decides.
    PassThrough(BodyEnd),
    /// The head is incomplete.
    Incomplete,
    /// A stale or interim response, with the length of its head and its body.
    Discard(usize, BodyLength),
}

/// The relevant parts of a response head.
struct Head<'a> {
    status: u16,
    /// The length of the head.
    bytes: usize,
    id: Option<&'a [u8]>,
    length: Option<&'a [u8]>,
    encoding: Option<&'a [u8]>,
}

/// Classifies the first response in `bytes`.
pub fn classify(bytes: &[u8], requests: &SentRequests) -> Classification {
    let mut headers = [const { MaybeUninit::uninit() }; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut []);
    let parser = ParserConfig::default();
    let end = match parser.parse_response_with_uninit_headers(&mut response, bytes, &mut headers) {
        Ok(Status::Complete(end)) => end,
        Ok(Status::Partial) => return Classification::Incomplete,
        // The parser rejects it.
        Err(_) => return Classification::PassThrough(BodyEnd::Stated),
    };
    match Head::from_response(&response, end) {
        Some(head) => head.classify(requests),
        None => Classification::PassThrough(BodyEnd::WithConnection),
    }
}

impl<'a> Head<'a> {
    /// Returns `None` if a relevant header is repeated.
    fn from_response(response: &httparse::Response<'_, 'a>, bytes: usize) -> Option<Self> {
        let mut head = Self {
            status: response.code.unwrap_or_default(),
            bytes,
            id: None,
            length: None,
            encoding: None,
        };
        for header in response.headers.iter() {
            let field = match header.name.len() {
                10 if header.name.eq_ignore_ascii_case("request-id") => &mut head.id,
                14 if header.name.eq_ignore_ascii_case("content-length") => &mut head.length,
                17 if header.name.eq_ignore_ascii_case("transfer-encoding") => &mut head.encoding,
                _ => continue,
            };
            if field.replace(header.value).is_some() {
                return None;
            }
        }
        Some(head)
    }

    fn classify(&self, requests: &SentRequests) -> Classification {
        if (100..200).contains(&self.status) {
            // 101 switches protocols; other interim responses precede the final one.
            return if self.status == 101 {
                Classification::PassThrough(BodyEnd::Stated)
            } else {
                Classification::Discard(self.bytes, BodyLength::Bytes(0))
            };
        }
        let current = requests.current.as_ref();
        let passed_through = Classification::PassThrough(self.body_end(current));
        let Some(id) = self.id else {
            return passed_through;
        };
        if current.is_some_and(|request| *request.id == *id) {
            return passed_through;
        }
        let mut previous = requests.previous.iter();
        let Some(request) = previous.find(|request| *request.id == *id) else {
            return passed_through;
        };
        match self.body_length(request) {
            Some(body) => Classification::Discard(self.bytes, body),
            None => passed_through,
        }
    }

    /// Where the body of the response to this request ends.
    fn body_end(&self, request: Option<&SentRequest>) -> BodyEnd {
        let is_to_head = request.is_some_and(|request| request.is_head);
        if is_to_head || matches!(self.status, 204 | 304) {
            return BodyEnd::Stated;
        }
        let is_stated = match self.encoding {
            Some(encoding) => is_last_coding_chunked(encoding),
            None => self.length.is_some(),
        };
        if is_stated {
            BodyEnd::Stated
        } else {
            BodyEnd::WithConnection
        }
    }

    /// The length of the body, or `None` if it is ambiguous.
    fn body_length(&self, request: &SentRequest) -> Option<BodyLength> {
        if request.is_head || matches!(self.status, 204 | 304) {
            return Some(BodyLength::Bytes(0));
        }
        match (self.length, self.encoding) {
            (Some(length), None) => parse_decimal(length).map(BodyLength::Bytes),
            (None, Some(encoding)) if encoding.eq_ignore_ascii_case(b"chunked") => {
                Some(BodyLength::CHUNKED)
            }
            _ => None,
        }
    }
}

fn is_last_coding_chunked(encoding: &[u8]) -> bool {
    let last = encoding.rsplit(|byte| *byte == b',').next();
    last.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}

fn parse_decimal(digits: &[u8]) -> Option<u64> {
    let digits = std::str::from_utf8(digits)
        .ok()
        .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
    digits?.parse().ok()
}
