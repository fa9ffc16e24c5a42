//! Bodies on their way: of requests to tasks, of answers to clients.

use crate::attempt::Trial;
use crate::carry::AtWork;
use crate::state::Held;
use crate::wires::Wire;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use rookpulley_round::Fate;
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::Sleep;

pub type Fault = Box<dyn std::error::Error + Send + Sync>;

/// What was read so far of a body.
#[derive(Default)]
pub struct Read {
    pub chunks: VecDeque<Bytes>,
    pub bytes: usize,
    /// False while more is to come.
    pub whole: bool,
}

impl Read {
    /// In one piece; a body that came in one isn't copied.
    pub fn joined(mut self) -> Bytes {
        if self.chunks.len() <= 1 {
            return self.chunks.pop_front().unwrap_or_default();
        }
        let mut joined = BytesMut::with_capacity(self.bytes);
        self.chunks.iter().for_each(|chunk| joined.extend_from_slice(chunk));
        joined.freeze()
    }
}

/// Reads a body until it is whole or longer than `most`.
pub async fn read(body: &mut Incoming, most: usize) -> Result<Read, hyper::Error> {
    let mut read = Read { whole: body.is_end_stream(), ..Read::default() };
    while !read.whole && read.bytes <= most {
        match std::future::poll_fn(|context| Pin::new(&mut *body).poll_frame(context)).await {
            None => read.whole = true,
            Some(Err(why)) => return Err(why),
            Some(Ok(frame)) => {
                if let Ok(chunk) = frame.into_data() {
                    read.bytes += chunk.len();
                    read.chunks.push_back(chunk);
                }
            }
        }
    }
    Ok(read)
}

/// The body of a request on its way to a task.
pub enum Parcel {
    /// Held whole: it can be sent again.
    Whole(Bytes),
    /// Passed on as it comes. `left`: how much more the client may send.
    Stream { chunks: VecDeque<Bytes>, rest: Incoming, left: u64 },
}

impl Parcel {
    /// The same once more, where it can be had.
    pub fn again(&self) -> Option<Parcel> {
        match self {
            Parcel::Whole(bytes) => Some(Parcel::Whole(bytes.clone())),
            Parcel::Stream { .. } => None,
        }
    }
}

impl Body for Parcel {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        match self.get_mut() {
            Parcel::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Parcel::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Parcel::Stream { chunks, rest, left } => {
                if let Some(chunk) = chunks.pop_front() {
                    return Poll::Ready(Some(Ok(Frame::data(chunk))));
                }
                let chunk = match ready!(next_data(rest, context)) {
                    None => return Poll::Ready(None),
                    Some(Err(why)) => return Poll::Ready(Some(Err(why))),
                    Some(Ok(chunk)) => chunk,
                };
                match left.checked_sub(chunk.len() as u64) {
                    Some(less) => *left = less,
                    None => return Poll::Ready(Some(Err("the client sends more than it may".into()))),
                }
                Poll::Ready(Some(Ok(Frame::data(chunk))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Parcel::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Parcel::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Parcel::Stream { chunks, rest, .. } => {
                let here: usize = chunks.iter().map(Bytes::len).sum();
                rest.size_hint()
                    .exact()
                    .map_or_else(SizeHint::new, |rest| SizeHint::with_exact(rest + here as u64))
            }
        }
    }
}

/// The body of an answer on its way to a client.
pub struct Reply {
    content: Content,
    /// Kept until the last byte has been handed on.
    work: Option<AtWork>,
}

enum Content {
    Whole(Bytes, Option<Held>),
    Stream(Box<Stream>),
}

/// An answer that is too long to be held. If it breaks off, so does the client's connection: it must not look whole.
pub struct Stream {
    pub chunks: VecDeque<Bytes>,
    pub rest: Incoming,
    pub left: Option<u64>,
    pub until: Pin<Box<Sleep>>,
    pub wire: Option<(Wire, Option<Duration>)>,
    pub trial: Option<Trial>,
}

impl Reply {
    pub fn whole(bytes: Bytes) -> Reply {
        Reply { content: Content::Whole(bytes, None), work: None }
    }

    pub fn held(bytes: Bytes, held: Held) -> Reply {
        Reply { content: Content::Whole(bytes, Some(held)), work: None }
    }

    pub fn stream(stream: Stream) -> Reply {
        Reply { content: Content::Stream(Box::new(stream)), work: None }
    }

    pub fn keep(&mut self, work: AtWork) {
        self.work = Some(work);
    }
}

impl Stream {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>> {
        if let Some(chunk) = self.chunks.pop_front() {
            return Poll::Ready(Some(Ok(chunk)));
        }
        let chunk = match next_data(&mut self.rest, context) {
            Poll::Ready(chunk) => chunk,
            Poll::Pending => {
                ready!(self.until.as_mut().poll(context));
                Some(Err("its time is over".into()))
            }
        };
        match &chunk {
            Some(Ok(_)) => {}
            Some(Err(_)) => {
                self.wire = None;
                if let Some(trial) = self.trial.take() {
                    trial.settle(Fate::Broken);
                }
            }
            None => {
                if let Some((wire, kept_for)) = self.wire.take() {
                    wire.free(kept_for);
                }
                if let Some(trial) = self.trial.take() {
                    trial.settle(Fate::Answered(200));
                }
            }
        }
        Poll::Ready(chunk)
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        match &mut self.get_mut().content {
            Content::Whole(bytes, _) if bytes.is_empty() => Poll::Ready(None),
            Content::Whole(bytes, held) => {
                *held = None;
                Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes)))))
            }
            Content::Stream(stream) => {
                let chunk = ready!(stream.poll(context));
                if let (Some(Ok(chunk)), Some(left)) = (&chunk, &mut stream.left) {
                    *left = left.saturating_sub(chunk.len() as u64);
                }
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.content, Content::Whole(bytes, _) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes, _) => SizeHint::with_exact(bytes.len() as u64),
            Content::Stream(stream) => stream.left.map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}

/// The next bytes of a body; trailers are left out.
fn next_data(body: &mut Incoming, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>> {
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
