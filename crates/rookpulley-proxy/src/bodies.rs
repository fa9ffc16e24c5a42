//! Bodies on their way: of requests to tasks, of answers to clients.

use crate::attempt::Trial;
use crate::carry::AtWork;
use crate::wires::Wire;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use rookpulley_balancer::Fate;
use std::cell::Cell;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::Sleep;

const LATE: &str = "its time is over";

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
        self.chunks
            .iter()
            .for_each(|chunk| joined.extend_from_slice(chunk));
        joined.freeze()
    }
}

/// Reads a body until it is whole or longer than `most`.
pub async fn read(body: &mut Incoming, most: usize) -> Result<Read, hyper::Error> {
    let mut read = Read {
        whole: body.is_end_stream(),
        ..Read::default()
    };
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

/// What a client has done for a body that is passed on as it comes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Upload {
    /// There is more of it than was asked for so far.
    Comes,
    /// The client is waited for.
    Waits,
    Whole,
    /// It failed by the client's fault, which is worth this status.
    Failed(u16),
}

/// A body held whole, or one that is passed on as it comes.
pub enum Content<P> {
    Whole(Bytes),
    Stream(Box<P>),
}

/// What comes piece by piece.
pub trait Passes {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>>;

    /// The bytes still to come, where that is known.
    fn left(&self) -> Option<u64>;
}

impl<P: Passes> Body for Content<P> {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let chunk = match self.get_mut() {
            Content::Whole(bytes) if bytes.is_empty() => None,
            Content::Whole(bytes) => Some(Ok(std::mem::take(bytes))),
            Content::Stream(passing) => ready!(passing.poll(context)),
        };
        Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Content::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        let left = match self {
            Content::Whole(bytes) => Some(bytes.len() as u64),
            Content::Stream(passing) => passing.left(),
        };
        left.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}

/// The body of a request on its way to a task. Held whole, it can be sent again.
pub type Parcel = Content<Passing>;

/// A request's body that is too long to be held.
pub struct Passing {
    chunks: VecDeque<Bytes>,
    rest: Incoming,
    /// How much more the client may send.
    left: u64,
    upload: Rc<Cell<Upload>>,
}

impl Parcel {
    pub fn stream(chunks: VecDeque<Bytes>, rest: Incoming, left: u64) -> Parcel {
        Parcel::Stream(Box::new(Passing {
            chunks,
            rest,
            left,
            upload: Rc::new(Cell::new(Upload::Comes)),
        }))
    }

    /// The same once more, where it can be had.
    pub fn again(&self) -> Option<Parcel> {
        match self {
            Parcel::Whole(bytes) => Some(Parcel::Whole(bytes.clone())),
            Parcel::Stream(_) => None,
        }
    }

    /// How a client does that still sends it.
    pub fn upload(&self) -> Option<Rc<Cell<Upload>>> {
        match self {
            Parcel::Whole(_) => None,
            Parcel::Stream(passing) => Some(passing.upload.clone()),
        }
    }
}

impl Passes for Passing {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>> {
        if let Some(chunk) = self.chunks.pop_front() {
            return Poll::Ready(Some(Ok(chunk)));
        }
        let chunk = next_data(&mut self.rest, context);
        let (upload, chunk) = match chunk {
            Poll::Pending => (Upload::Waits, Poll::Pending),
            Poll::Ready(None) => (Upload::Whole, Poll::Ready(None)),
            Poll::Ready(Some(Err(why))) => (Upload::Failed(400), Poll::Ready(Some(Err(why)))),
            Poll::Ready(Some(Ok(chunk))) => match self.left.checked_sub(chunk.len() as u64) {
                Some(left) => {
                    self.left = left;
                    (Upload::Comes, Poll::Ready(Some(Ok(chunk))))
                }
                None => {
                    let why = "the client sends more than it may";
                    (Upload::Failed(413), Poll::Ready(Some(Err(why.into()))))
                }
            },
        };
        self.upload.set(upload);
        chunk
    }

    fn left(&self) -> Option<u64> {
        let here: usize = self.chunks.iter().map(Bytes::len).sum();
        self.rest.size_hint().exact().map(|rest| rest + here as u64)
    }
}

/// The body of an answer on its way to a client.
pub struct Reply {
    content: Content<Stream>,
    /// Kept until the last byte has been handed on.
    work: Option<AtWork>,
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
        Reply {
            content: Content::Whole(bytes),
            work: None,
        }
    }

    pub fn stream(stream: Stream) -> Reply {
        Reply {
            content: Content::Stream(Box::new(stream)),
            work: None,
        }
    }

    pub fn keep(&mut self, work: AtWork) {
        self.work = Some(work);
    }
}

impl Passes for Stream {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>> {
        let chunk = ready!(self.next(context));
        if let (Some(Ok(chunk)), Some(left)) = (&chunk, &mut self.left) {
            *left = left.saturating_sub(chunk.len() as u64);
        }
        Poll::Ready(chunk)
    }

    fn left(&self) -> Option<u64> {
        self.left
    }
}

impl Stream {
    fn next(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>> {
        if let Some(chunk) = self.chunks.pop_front() {
            return Poll::Ready(Some(Ok(chunk)));
        }
        let late = self.until.as_mut().poll(context).is_ready();
        match next_data(&mut self.rest, context) {
            Poll::Ready(None) => {
                if let Some((wire, kept_for)) = self.wire.take() {
                    wire.free(kept_for);
                }
                self.settle(Some(Fate::Answered(200)));
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(why))) => {
                Poll::Ready(Some(Err(self.fails(Some(Fate::Broken), why))))
            }
            // The task has done its part: the client takes too long.
            Poll::Ready(Some(Ok(_))) if late => {
                Poll::Ready(Some(Err(self.fails(None, LATE.into()))))
            }
            Poll::Ready(Some(Ok(chunk))) => Poll::Ready(Some(Ok(chunk))),
            Poll::Pending if late => {
                Poll::Ready(Some(Err(self.fails(Some(Fate::Broken), LATE.into()))))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn fails(&mut self, fate: Option<Fate>, why: Fault) -> Fault {
        self.wire = None;
        self.settle(fate);
        why
    }

    /// Without a fate it says nothing about the task.
    fn settle(&mut self, fate: Option<Fate>) {
        if let (Some(trial), Some(fate)) = (self.trial.take(), fate) {
            trial.settle(fate);
        }
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        Pin::new(&mut self.get_mut().content).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.content.size_hint()
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
