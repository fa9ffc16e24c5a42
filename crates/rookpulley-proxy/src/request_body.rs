//! The body of a request on its way to an instance.

use crate::body::{BodyError, ChunkStream, Content, poll_data};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::task::{Context, Poll};

/// How far a client is with a body that is passed on as it comes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UploadState {
    /// There is more of it than was asked for so far.
    Available,
    /// The client is waited for.
    WaitsForClient,
    /// It is complete.
    Complete,
    /// It failed by the client's fault, which is worth this status.
    Failed(u16),
}

/// The body of a request. Held in whole, it can be sent again.
pub type RequestBody = Content<Upload>;

/// A body that is too long to be held.
pub struct Upload {
    /// What was read of it before.
    chunks: VecDeque<Bytes>,
    rest: Incoming,
    /// How much more the client may send.
    max_bytes: u64,
    state: Rc<Cell<UploadState>>,
}

impl RequestBody {
    /// A body of which these chunks were read.
    pub fn stream(chunks: VecDeque<Bytes>, rest: Incoming, max_bytes: u64) -> Self {
        Self::Stream(Box::new(Upload {
            chunks,
            rest,
            max_bytes,
            state: Rc::new(Cell::new(UploadState::Available)),
        }))
    }

    /// The same body once more, where it can be had.
    pub fn copy(&self) -> Option<Self> {
        match self {
            Self::Complete(bytes) => Some(Self::Complete(bytes.clone())),
            Self::Stream(_) => None,
        }
    }

    /// How far a client is that still sends it.
    pub fn upload_state(&self) -> Option<Rc<Cell<UploadState>>> {
        match self {
            Self::Complete(_) => None,
            Self::Stream(upload) => Some(upload.state.clone()),
        }
    }
}

impl ChunkStream for Upload {
    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(chunk) = self.chunks.pop_front() {
            return Poll::Ready(Some(Ok(chunk)));
        }
        let polled = poll_data(&mut self.rest, context);
        let state = match &polled {
            Poll::Pending => UploadState::WaitsForClient,
            Poll::Ready(None) => UploadState::Complete,
            Poll::Ready(Some(Err(_))) => UploadState::Failed(400),
            Poll::Ready(Some(Ok(chunk))) => {
                let Some(left) = self.max_bytes.checked_sub(chunk.len() as u64) else {
                    self.state.set(UploadState::Failed(413));
                    let why = "the client sends more than it may";
                    return Poll::Ready(Some(Err(why.into())));
                };
                self.max_bytes = left;
                UploadState::Available
            }
        };
        self.state.set(state);
        polled
    }

    fn bytes_left(&self) -> Option<u64> {
        let read: usize = self.chunks.iter().map(Bytes::len).sum();
        let rest = self.rest.size_hint().exact();
        rest.map(|rest| rest + read as u64)
    }
}
