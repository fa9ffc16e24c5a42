//! What bodies of requests and of responses have in common.

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Why a body broke off.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// What was read so far of a body.
#[derive(Default)]
pub struct ReadBody {
    pub chunks: VecDeque<Bytes>,
    pub bytes: usize,
    /// False while more is to come.
    pub is_complete: bool,
}

impl ReadBody {
    /// In one piece. A body that came in one isn't copied.
    pub fn joined(mut self) -> Bytes {
        if self.chunks.len() <= 1 {
            return self.chunks.pop_front().unwrap_or_default();
        }
        let mut joined = BytesMut::with_capacity(self.bytes);
        for chunk in &self.chunks {
            joined.extend_from_slice(chunk);
        }
        joined.freeze()
    }
}

/// Reads a body until it is complete or longer than so many bytes.
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

/// The next bytes of a body. Trailers are left out.
pub fn poll_data(
    body: &mut Incoming,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Bytes, BodyError>>> {
    loop {
        match ready!(Pin::new(&mut *body).poll_frame(context)) {
            None => return Poll::Ready(None),
            Some(Err(why)) => return Poll::Ready(Some(Err(why.into()))),
            Some(Ok(frame)) => {
                if let Ok(chunk) = frame.into_data() {
                    return Poll::Ready(Some(Ok(chunk)));
                }
            }
        }
    }
}

/// What comes chunk by chunk.
pub trait ChunkStream {
    /// The next chunk.
    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>>;

    /// How many bytes are still to come, where that is known.
    fn bytes_left(&self) -> Option<u64>;
}

/// A body held in whole, or one that is passed on as it comes.
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
        let left = match self {
            Self::Complete(bytes) => Some(bytes.len() as u64),
            Self::Stream(stream) => stream.bytes_left(),
        };
        left.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}
