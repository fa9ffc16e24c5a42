//! Responses of the proxy itself.

use crate::response_body::ResponseBody;
use bytes::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use rookpulley_proxy_core::LocalResponse;

/// A short response with nothing but its status to say.
pub fn response(local: LocalResponse) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(local.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let text = status.canonical_reason().unwrap_or("");
    let body = ResponseBody::complete(Bytes::from_static(text.as_bytes()));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(ms) = local.retry_after_ms
        && let Ok(value) = HeaderValue::try_from(format!("{:.3}", ms / 1e3))
    {
        headers.insert(RETRY_AFTER, value);
    }
    response
}

/// The same, with a status alone.
pub fn of_status(status: u16) -> Response<ResponseBody> {
    response(LocalResponse {
        status,
        retry_after_ms: None,
    })
}

/// The same, and the connection ends with it.
pub fn of_status_and_close(status: u16) -> Response<ResponseBody> {
    let mut response = of_status(status);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}
