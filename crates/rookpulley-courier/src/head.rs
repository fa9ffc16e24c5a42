//! What the head of a task's answer is worth.

use crate::check::{REQUEST_ID, SIGNATURE, in_chunks, one};
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Method, StatusCode};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Worth {
    /// It may go to the client once its body is whole.
    Good,
    /// The task says that it didn't run the request.
    NotExecuted,
    /// The same, since it is another task than the one meant.
    Stranger,
    /// A promise that the task didn't make good by saying that it didn't run the request.
    EmptyPromise,
    /// It isn't the answer to this request.
    Spoilt,
}

/// An answer is passed on only under this request's id: a late one may stand in the place of the next.
pub fn worth(head: &Parts, id: &HeaderValue, method: &Method) -> Worth {
    if one(&head.headers, &REQUEST_ID) != Some(id) || head.status.is_informational() {
        return Worth::Spoilt;
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Worth::Stranger;
    }
    if head.headers.contains_key("not-executed") {
        return if head.status.is_success() { Worth::Spoilt } else { Worth::NotExecuted };
    }
    if matches!(head.status.as_u16(), 408 | 429 | 503) {
        return Worth::EmptyPromise;
    }
    let stamped = !head.status.is_success() || head.headers.contains_key(&SIGNATURE);
    if !stamped || head.headers.contains_key(CONTENT_ENCODING) {
        return Worth::Spoilt;
    }
    // A body that only the connection's end delimits can't be told from one that was cut off; what is stated in
    // two ways can be read in two.
    let length = head.headers.contains_key(CONTENT_LENGTH);
    let sized = match (length, head.headers.contains_key(TRANSFER_ENCODING)) {
        (true, false) => one(&head.headers, &CONTENT_LENGTH).is_some(),
        (false, true) => in_chunks(&head.headers),
        (false, false) => method == Method::HEAD || matches!(head.status.as_u16(), 204 | 304),
        (true, true) => false,
    };
    if sized { Worth::Good } else { Worth::Spoilt }
}
