//! Answers of the proxy itself.

use crate::bodies::Reply;
use bytes::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// A short answer with nothing but its status to say.
pub fn own(status: u16, retry_after_ms: Option<f64>) -> Response<Reply> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let text = status.canonical_reason().unwrap_or("");
    let mut answer = Response::new(Reply::whole(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(ms) = retry_after_ms
        && let Ok(value) = HeaderValue::try_from(format!("{:.3}", ms / 1e3))
    {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

/// The same, and the connection ends with it.
pub fn last(status: u16) -> Response<Reply> {
    let mut answer = own(status, None);
    answer
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}
