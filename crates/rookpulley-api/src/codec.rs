//! Decodes requests and encodes replies with `async-h1`, entirely in memory.
//!
//! `async-h1` only sees a generated head, without the target and headers of the client: it normalizes `/a/../b` and
//! crashes on a header that is not ASCII. That head also starts no executor and no timer thread.

use crate::call::Reply;
use async_h1::server::{Encoder, decode};
use futures_lite::AsyncReadExt;
use futures_lite::io::{AsyncRead, AsyncWrite};
use http_types::{Method, Response, StatusCode};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

/// A message in memory, as a stream that is always ready.
#[derive(Clone)]
struct MemoryStream(Arc<Parts>);

struct Parts {
    head: Vec<u8>,
    body: Vec<u8>,
    read: AtomicUsize,
}

impl AsyncRead for MemoryStream {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let Parts { head, body, read } = &*self.0;
        let at = read.load(Ordering::Relaxed);
        let part = match at.checked_sub(head.len()) {
            None => head.get(at..),
            Some(at) => body.get(at..),
        };
        let part = part.unwrap_or_default();
        let length = part.len().min(buffer.len());
        if let (Some(to), Some(from)) = (buffer.get_mut(..length), part.get(..length)) {
            to.copy_from_slice(from);
        }
        read.store(at + length, Ordering::Relaxed);
        Poll::Ready(Ok(length))
    }
}

impl AsyncWrite for MemoryStream {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Passes a message through `async-h1` and returns its method and body. None: it was not decoded completely.
pub async fn decode_request(
    method: &str,
    body: Vec<u8>,
) -> http_types::Result<Option<(Method, Vec<u8>)>> {
    let length = body.len();
    let head = format!("{method} / HTTP/1.1\r\nhost: counter\r\ncontent-length: {length}\r\n\r\n")
        .into_bytes();
    let stream = MemoryStream(Arc::new(Parts {
        head,
        body,
        read: AtomicUsize::new(0),
    }));
    let Some((mut request, _)) = decode(stream).await? else {
        return Ok(None);
    };
    // Spare capacity, since `read_to_end` would double a full buffer to detect the end.
    let mut body = Vec::with_capacity(if length == 0 { 0 } else { length + 32 });
    if length > 0 {
        request.read_to_end(&mut body).await?;
    }
    Ok((body.len() == length).then(|| (request.method(), body)))
}

/// Encodes a reply. `async-h1` always sends a length, which 204 must not have, so 204 is sent as 200.
pub async fn encode_reply(reply: Reply, method: Method, close: bool) -> io::Result<Vec<u8>> {
    let status = match reply.status {
        204 => StatusCode::Ok,
        100..=199 => StatusCode::InternalServerError,
        status => StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError),
    };
    let mut response = Response::new(status);
    let mut bytes = Vec::with_capacity(reply.body.len() + 512);
    if !reply.body.is_empty() && reply.status != 204 {
        response.set_body(reply.body);
        response.remove_header("content-type");
    }
    for (name, value) in &reply.headers {
        let reserved = ["connection", "content-length", "transfer-encoding"]
            .iter()
            .any(|reserved| name.eq_ignore_ascii_case(reserved));
        let printable = value
            .bytes()
            .all(|byte| byte == b'\t' || matches!(byte, b' '..=b'~'));
        if !reserved && printable && name.is_ascii() {
            response.append_header(*name, value.as_str());
        }
    }
    if close {
        response.insert_header("connection", "close");
    }
    Encoder::new(response, method)
        .read_to_end(&mut bytes)
        .await?;
    Ok(bytes)
}
