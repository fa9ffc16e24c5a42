//! Response bodies sent to clients.

use crate::body::{BodyError, ChunkStream, Content, poll_data};
use crate::request_guard::RequestGuard;
use crate::tracked_attempt::TrackedAttempt;
use crate::upstream_pool::{KeepAlive, UpstreamConnection};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use rookpulley_balancer::AttemptOutcome;
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::time::Sleep;

const DEADLINE_EXCEEDED: &str = "the request deadline was exceeded";

/// The body of a response.
pub struct ResponseBody {
    content: Content<Download>,
    /// Dropped with the body, once the last byte has been written.
    guard: Option<RequestGuard>,
}

/// A body that is streamed instead of buffered. If it fails, the client connection is closed, so
/// that the response does not look complete.
pub struct Download {
    /// Chunks that were already read.
    pub chunks: VecDeque<Bytes>,
    pub rest: Incoming,
    /// How many bytes are still to come, if known.
    pub remaining_bytes: Option<u64>,
    pub deadline: Pin<Box<Sleep>>,
    /// The upstream connection and how long it may be reused.
    pub connection: Option<(UpstreamConnection, KeepAlive)>,
    pub attempt: Option<TrackedAttempt>,
}

impl ResponseBody {
    /// A buffered body.
    pub fn complete(bytes: Bytes) -> Self {
        Self {
            content: Content::Complete(bytes),
            guard: None,
        }
    }

    /// A streamed body.
    pub fn stream(download: Download) -> Self {
        Self {
            content: Content::Stream(Box::new(download)),
            guard: None,
        }
    }

    /// Keeps the guard until the body is dropped.
    pub fn attach_guard(&mut self, guard: RequestGuard) {
        self.guard = Some(guard);
    }
}

impl ChunkStream for Download {
    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let chunk = ready!(self.poll_next(context));
        if let (Some(Ok(chunk)), Some(remaining)) = (&chunk, &mut self.remaining_bytes) {
            *remaining = remaining.saturating_sub(chunk.len() as u64);
        }
        Poll::Ready(chunk)
    }

    fn remaining_bytes(&self) -> Option<u64> {
        self.remaining_bytes
    }
}

impl Download {
    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(chunk) = self.chunks.pop_front() {
            return Poll::Ready(Some(Ok(chunk)));
        }
        let is_past_deadline = self.deadline.as_mut().poll(context).is_ready();
        match poll_data(&mut self.rest, context) {
            Poll::Ready(None) => {
                self.complete();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => {
                self.fail(Some(AttemptOutcome::Interrupted));
                Poll::Ready(Some(Err(error)))
            }
            // The instance delivered in time; the client is too slow.
            Poll::Ready(Some(Ok(_))) if is_past_deadline => {
                self.fail(None);
                Poll::Ready(Some(Err(DEADLINE_EXCEEDED.into())))
            }
            Poll::Ready(Some(Ok(chunk))) => Poll::Ready(Some(Ok(chunk))),
            Poll::Pending if is_past_deadline => {
                self.fail(Some(AttemptOutcome::Interrupted));
                Poll::Ready(Some(Err(DEADLINE_EXCEEDED.into())))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn complete(&mut self) {
        if let Some((connection, keep_alive)) = self.connection.take() {
            connection.release(keep_alive);
        }
        self.end_attempt(Some(AttemptOutcome::Answered(200)));
    }

    fn fail(&mut self, outcome: Option<AttemptOutcome>) {
        self.connection = None;
        self.end_attempt(outcome);
    }

    /// Records the outcome of the attempt. Without one, the attempt is cancelled and not counted.
    fn end_attempt(&mut self, outcome: Option<AttemptOutcome>) {
        if let (Some(attempt), Some(outcome)) = (self.attempt.take(), outcome) {
            attempt.end_with_outcome(outcome);
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.get_mut().content).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.content.size_hint()
    }
}
