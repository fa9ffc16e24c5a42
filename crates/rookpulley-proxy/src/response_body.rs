//! The body of a response on its way to a client.

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

const LATE: &str = "its time is over";

/// The body of a response.
pub struct ResponseBody {
    content: Content<Download>,
    /// Kept until the last byte has been handed on.
    guard: Option<RequestGuard>,
}

/// A body that is too long to be held. If it breaks off, so does the client's connection: it must not look complete.
pub struct Download {
    /// What was read of it before.
    pub chunks: VecDeque<Bytes>,
    pub rest: Incoming,
    /// How many bytes are still to come, where that is known.
    pub bytes_left: Option<u64>,
    pub deadline: Pin<Box<Sleep>>,
    /// The connection that it comes on, and how long the instance keeps that.
    pub connection: Option<(UpstreamConnection, KeepAlive)>,
    pub attempt: Option<TrackedAttempt>,
}

impl ResponseBody {
    /// A body held in whole.
    pub fn complete(bytes: Bytes) -> Self {
        Self {
            content: Content::Complete(bytes),
            guard: None,
        }
    }

    /// A body that is passed on as it comes.
    pub fn stream(download: Download) -> Self {
        Self {
            content: Content::Stream(Box::new(download)),
            guard: None,
        }
    }

    /// The request is at work until this body is handed on.
    pub fn keep(&mut self, guard: RequestGuard) {
        self.guard = Some(guard);
    }
}

impl ChunkStream for Download {
    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let chunk = ready!(self.poll_next(context));
        if let (Some(Ok(chunk)), Some(left)) = (&chunk, &mut self.bytes_left) {
            *left = left.saturating_sub(chunk.len() as u64);
        }
        Poll::Ready(chunk)
    }

    fn bytes_left(&self) -> Option<u64> {
        self.bytes_left
    }
}

impl Download {
    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(chunk) = self.chunks.pop_front() {
            return Poll::Ready(Some(Ok(chunk)));
        }
        let is_late = self.deadline.as_mut().poll(context).is_ready();
        match poll_data(&mut self.rest, context) {
            Poll::Ready(None) => {
                self.complete();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(why))) => {
                self.fail(Some(AttemptOutcome::Interrupted));
                Poll::Ready(Some(Err(why)))
            }
            // The instance has done its part: the client takes too long.
            Poll::Ready(Some(Ok(_))) if is_late => {
                self.fail(None);
                Poll::Ready(Some(Err(LATE.into())))
            }
            Poll::Ready(Some(Ok(chunk))) => Poll::Ready(Some(Ok(chunk))),
            Poll::Pending if is_late => {
                self.fail(Some(AttemptOutcome::Interrupted));
                Poll::Ready(Some(Err(LATE.into())))
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

    /// Without an outcome it says nothing about the instance.
    fn end_attempt(&mut self, outcome: Option<AttemptOutcome>) {
        if let (Some(attempt), Some(outcome)) = (self.attempt.take(), outcome) {
            attempt.end_with(outcome);
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
