//! The one place that speaks with `async-h1`: a message in memory goes in, the bytes of an answer come out.
//!
//! It is given a head that it can't misread and that starts no executor and no timer thread: target and headers stay
//! with the reader, since `async-h1` rewrites `/a/../b` and ends the program on a header with other than ASCII letters.

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

/// A message in memory, as a connection that is always ready.
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
        into: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let Parts { head, body, read } = &*self.0;
        let at = read.load(Ordering::Relaxed);
        let part = match at.checked_sub(head.len()) {
            None => head.get(at..),
            Some(at) => body.get(at..),
        };
        let part = part.unwrap_or_default();
        let length = part.len().min(into.len());
        if let (Some(to), Some(from)) = (into.get_mut(..length), part.get(..length)) {
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

/// Hands a message to `async-h1`: its method, and its body as it was read.
pub async fn decode_request(
    method: &str,
    body: Vec<u8>,
) -> http_types::Result<Option<(Method, Vec<u8>)>> {
    let length = body.len();
    let head = format!("{method} / HTTP/1.1\r\nhost: counter\r\ncontent-length: {length}\r\n\r\n")
        .into_bytes();
    let codec = MemoryStream(Arc::new(Parts {
        head,
        body,
        read: AtomicUsize::new(0),
    }));
    let Some((mut request, _)) = decode(codec).await? else {
        return Ok(None);
    };
    // A little more room than needed: with none to spare the reader would double it to find the end.
    let mut body = Vec::with_capacity(if length == 0 { 0 } else { length + 32 });
    if length > 0 {
        request.read_to_end(&mut body).await?;
    }
    Ok((body.len() == length).then(|| (request.method(), body)))
}

/// The bytes of an answer. `async-h1` gives every answer a length, which 204 may not have: that goes out as 200.
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
        let ours = ["connection", "content-length", "transfer-encoding"]
            .iter()
            .any(|ours| name.eq_ignore_ascii_case(ours));
        let plain = value
            .bytes()
            .all(|byte| byte == b'\t' || matches!(byte, b' '..=b'~'));
        if !ours && plain && name.is_ascii() {
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
