//! Request bodies sent to instances.

use crate::body::{BodyError, ChunkStream, Content, poll_data};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The progress of a streamed upload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UploadState {
    /// The last poll returned data, or there was none yet.
    Available,
    /// Waiting for the client to send more.
    AwaitingClient,
    /// The whole body has been read.
    Complete,
    /// The client failed to send the body correctly; respond with this status.
    Failed(u16),
}

/// How the body of a request is sent.
#[derive(Default)]
pub enum SentBody {
    /// There is none.
    #[default]
    Empty,
    /// All of it was passed on with the head.
    Buffered,
    /// It is passed on as the client sends it.
    Streamed(Rc<Cell<UploadState>>),
}

impl SentBody {
    /// Whether nothing more of it is to come.
    pub fn is_complete(&self) -> bool {
        match self {
            Self::Empty | Self::Buffered => true,
            Self::Streamed(upload) => upload.get() == UploadState::Complete,
        }
    }
}

/// The body of a request. A buffered body can be sent again.
pub type RequestBody = Content<Upload>;

/// A body that is streamed instead of buffered.
pub struct Upload {
    /// Chunks that were already read.
    chunks: VecDeque<Bytes>,
    rest: Incoming,
    /// How many more bytes the client may send.
    max_bytes: u64,
    state: Rc<Cell<UploadState>>,
}

impl RequestBody {
    /// A streamed body, starting with chunks that were already read.
    pub fn stream(chunks: VecDeque<Bytes>, rest: Incoming, max_bytes: u64) -> Self {
        Self::Stream(Box::new(Upload {
            chunks,
            rest,
            max_bytes,
            state: Rc::new(Cell::new(UploadState::Available)),
        }))
    }

    /// A copy of a buffered body, or `None` if the body is streamed.
    pub fn try_clone(&self) -> Option<Self> {
        match self {
            Self::Complete(bytes) => Some(Self::Complete(bytes.clone())),
            Self::Stream(_) => None,
        }
    }

    /// How this body is sent.
    pub fn sent_body(&self) -> SentBody {
        match self {
            Self::Complete(bytes) if bytes.is_empty() => SentBody::Empty,
            Self::Complete(_) => SentBody::Buffered,
            Self::Stream(upload) => SentBody::Streamed(upload.state.clone()),
        }
    }

    /// The progress of a streamed body, or `None` if it is buffered.
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
            Poll::Pending => UploadState::AwaitingClient,
            Poll::Ready(None) => UploadState::Complete,
            Poll::Ready(Some(Err(_))) => UploadState::Failed(400),
            Poll::Ready(Some(Ok(chunk))) => {
                let Some(remaining) = self.max_bytes.checked_sub(chunk.len() as u64) else {
                    self.state.set(UploadState::Failed(413));
                    let error = "the request body exceeds the size limit";
                    return Poll::Ready(Some(Err(error.into())));
                };
                self.max_bytes = remaining;
                // A body with a length is not polled again after its last byte.
                if self.rest.is_end_stream() {
                    UploadState::Complete
                } else {
                    UploadState::Available
                }
            }
        };
        self.state.set(state);
        polled
    }

    fn remaining_bytes(&self) -> Option<u64> {
        let read: usize = self.chunks.iter().map(Bytes::len).sum();
        let rest = self.rest.size_hint().exact();
        rest.map(|rest| rest + read as u64)
    }
}
