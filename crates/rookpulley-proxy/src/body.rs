//! Types shared by request and response bodies.

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// The error of a body that ended early.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The part of a body that has been read so far.
#[derive(Default)]
pub struct ReadBody {
    pub chunks: VecDeque<Bytes>,
    pub bytes: usize,
    /// Whether the end of the body was reached.
    pub is_complete: bool,
}

impl ReadBody {
    /// Concatenates the chunks. A body of one chunk is not copied.
    pub fn into_bytes(mut self) -> Bytes {
        if self.chunks.len() <= 1 {
            return self.chunks.pop_front().unwrap_or_default();
        }
        let mut buffer = BytesMut::with_capacity(self.bytes);
        for chunk in &self.chunks {
            buffer.extend_from_slice(chunk);
        }
        buffer.freeze()
    }
}

/// Reads a body until it ends or more than `max_bytes` have been read.
pub async fn read_up_to(body: &mut Incoming, max_bytes: usize) -> Result<ReadBody, hyper::Error> {
    let mut read = ReadBody {
        is_complete: body.is_end_stream(),
        ..ReadBody::default()
    };
    while !read.is_complete && read.bytes <= max_bytes {
        let frame = std::future::poll_fn(|context| Pin::new(&mut *body).poll_frame(context));
        let Some(frame) = frame.await else {
            read.is_complete = true;
            break;
        };
        if let Ok(chunk) = frame?.into_data() {
            read.bytes += chunk.len();
            read.chunks.push_back(chunk);
        }
    }
    Ok(read)
}

/// Polls for the next data frame. Trailers are discarded.
pub fn poll_data(
    body: &mut Incoming,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Bytes, BodyError>>> {
    loop {
        match ready!(Pin::new(&mut *body).poll_frame(context)) {
            None => return Poll::Ready(None),
            Some(Err(error)) => return Poll::Ready(Some(Err(error.into()))),
            Some(Ok(frame)) => {
                if let Ok(chunk) = frame.into_data() {
                    return Poll::Ready(Some(Ok(chunk)));
                }
            }
        }
    }
}

/// A source of body chunks.
pub trait ChunkStream {
    /// Polls for the next chunk.
    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>>;

    /// The number of bytes still to be read, if known.
    fn remaining_bytes(&self) -> Option<u64>;
}

/// A body that is either fully buffered or streamed.
pub enum Content<S> {
    Complete(Bytes),
    Stream(Box<S>),
}

impl<S: ChunkStream> Body for Content<S> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let chunk = match self.get_mut() {
            Self::Complete(bytes) if bytes.is_empty() => None,
            Self::Complete(bytes) => Some(Ok(std::mem::take(bytes))),
            Self::Stream(stream) => ready!(stream.poll_chunk(context)),
        };
        Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        let remaining = match self {
            Self::Complete(bytes) => Some(bytes.len() as u64),
            Self::Stream(stream) => stream.remaining_bytes(),
        };
        remaining.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}
