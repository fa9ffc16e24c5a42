//! What matters of the head of an instance's response.

use crate::headers::{NOT_EXECUTED, REQUEST_ID, SIGNATURE, is_chunked, single};
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use rookpulley_proxy_core::{ResponseHead, Verdict, evaluate};

/// Judges the response to a request with this id.
pub fn check(head: &Parts, id: &HeaderValue) -> Verdict {
    let headers = &head.headers;
    evaluate(ResponseHead {
        status: head.status.as_u16(),
        has_request_id: single(headers, &REQUEST_ID) == Some(id),
        not_executed: headers.contains_key(&NOT_EXECUTED),
        is_signed: headers.contains_key(&SIGNATURE),
        is_encoded: headers.contains_key(CONTENT_ENCODING),
        has_unambiguous_length: has_clear_end(headers),
    })
}

/// What is stated in two ways can be read in two. Where nothing is stated the body ends with its connection, which an
/// instance closes behind it and resets where it breaks off (NEWS-22, MIXED).
fn has_clear_end(headers: &HeaderMap) -> bool {
    let has_content_length = headers.contains_key(CONTENT_LENGTH);
    match (has_content_length, headers.contains_key(TRANSFER_ENCODING)) {
        (true, false) => single(headers, &CONTENT_LENGTH).is_some(),
        (false, true) => is_chunked(headers),
        (false, false) => true,
        (true, true) => false,
    }
}
