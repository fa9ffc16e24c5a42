//! What matters of the head of a task's answer.

use crate::check::{REQUEST_ID, SIGNATURE, in_chunks, one};
use hyper::Method;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use rookpulley_proxy_core::{Head, Worth};

pub fn worth(head: &Parts, id: &HeaderValue, method: &Method) -> Worth {
    // A body that only the connection's end delimits can't be told from one that was cut off; what is stated in
    // two ways can be read in two.
    let length = head.headers.contains_key(CONTENT_LENGTH);
    let sized = match (length, head.headers.contains_key(TRANSFER_ENCODING)) {
        (true, false) => one(&head.headers, &CONTENT_LENGTH).is_some(),
        (false, true) => in_chunks(&head.headers),
        (false, false) => method == Method::HEAD || matches!(head.status.as_u16(), 204 | 304),
        (true, true) => false,
    };
    rookpulley_proxy_core::worth(Head {
        status: head.status.as_u16(),
        own: one(&head.headers, &REQUEST_ID) == Some(id),
        not_executed: head.headers.contains_key("not-executed"),
        stamped: head.headers.contains_key(&SIGNATURE),
        encoded: head.headers.contains_key(CONTENT_ENCODING),
        sized,
    })
}
