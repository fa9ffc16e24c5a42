//! Evaluates response heads from instances.

use crate::headers::{NOT_EXECUTED, REQUEST_ID, SIGNATURE, is_chunked, single};
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use rookpulley_proxy_core::{ResponseHead, Verdict, evaluate};

/// Evaluates the response to the request with this id.
pub fn check(head: &Parts, id: &HeaderValue) -> Verdict {
    let headers = &head.headers;
    evaluate(ResponseHead {
        status: head.status.as_u16(),
        has_request_id: single(headers, &REQUEST_ID) == Some(id),
        not_executed: headers.contains_key(&NOT_EXECUTED),
        is_signed: headers.contains_key(&SIGNATURE),
        is_encoded: headers.contains_key(CONTENT_ENCODING),
        has_unambiguous_length: has_unambiguous_framing(headers),
    })
}

/// Conflicting or repeated length headers are ambiguous. Without any, the body ends when the
/// instance closes the connection; a truncated body ends with a reset.
fn has_unambiguous_framing(headers: &HeaderMap) -> bool {
    let has_content_length = headers.contains_key(CONTENT_LENGTH);
    match (has_content_length, headers.contains_key(TRANSFER_ENCODING)) {
        (true, false) => single(headers, &CONTENT_LENGTH).is_some(),
        (false, true) => is_chunked(headers),
        (false, false) => true,
        (true, true) => false,
    }
}
