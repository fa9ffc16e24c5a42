//! What matters of the head of an instance's response.

use crate::headers::{NOT_EXECUTED, REQUEST_ID, SIGNATURE, is_chunked, single};
use hyper::Method;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use rookpulley_proxy_core::{ResponseHead, Verdict, evaluate};

/// Judges the response to a request with this id and method.
pub fn check(head: &Parts, id: &HeaderValue, method: &Method) -> Verdict {
    let headers = &head.headers;
    evaluate(ResponseHead {
        status: head.status.as_u16(),
        has_request_id: single(headers, &REQUEST_ID) == Some(id),
        not_executed: headers.contains_key(&NOT_EXECUTED),
        is_signed: headers.contains_key(&SIGNATURE),
        is_encoded: headers.contains_key(CONTENT_ENCODING),
        has_length: has_length(head, method),
    })
}

/// A body that only the connection's end delimits can't be told from one that was cut off; what is stated in two ways
/// can be read in two.
fn has_length(head: &Parts, method: &Method) -> bool {
    let headers = &head.headers;
    let has_content_length = headers.contains_key(CONTENT_LENGTH);
    match (has_content_length, headers.contains_key(TRANSFER_ENCODING)) {
        (true, false) => single(headers, &CONTENT_LENGTH).is_some(),
        (false, true) => is_chunked(headers),
        (false, false) => method == Method::HEAD || matches!(head.status.as_u16(), 204 | 304),
        (true, true) => false,
    }
}
