//! The end of a response that has no stated length, which is the end of the instance's data.
//!
//! An instance that ends amid its response may look as if it had ended its data: if it has read what has arrived of the
//! request, its system closes the connection in order, and resets it only when more of the request arrives. So the end
//! is held back while parts of the request may still be answered by a reset.

use crate::request_body::SentBody;
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// How long the end is held back if the client sends no more of an incomplete request.
const MAX_HOLD: Duration = Duration::from_secs(1);

/// What has been sent of the current request.
#[derive(Default)]
pub struct SendProgress {
    body: RefCell<SentBody>,
    /// Whether the socket has not accepted all that was written to it.
    is_blocked: Cell<bool>,
}

/// The end of an instance's data, while it is held back.
pub struct HeldEnd {
    seen: Instant,
    /// The first write that the socket accepted afterwards.
    first_write: Option<Instant>,
    timer: Pin<Box<Sleep>>,
    reader: Waker,
}

impl SendProgress {
    /// Starts a request.
    pub fn begin(&self, body: SentBody) {
        *self.body.borrow_mut() = body;
        self.is_blocked.set(false);
    }

    /// Records that the socket accepted a part of the request.
    pub fn record_write(&self) {
        self.is_blocked.set(false);
    }

    /// Records that the socket accepted nothing, since the instance hasn't read what was sent before.
    pub fn record_blocked_write(&self) {
        self.is_blocked.set(true);
    }

    /// Whether the request has no body, so that it had arrived whole before the instance responded.
    pub fn has_no_body(&self) -> bool {
        matches!(*self.body.borrow(), SentBody::Empty)
    }

    /// Whether nothing more of the request is to come.
    pub fn is_complete(&self) -> bool {
        self.body.borrow().is_complete()
    }
}

impl HeldEnd {
    pub fn new(now: Instant, reader: &Waker) -> Self {
        Self {
            seen: now,
            first_write: None,
            timer: Box::pin(tokio::time::sleep_until(now)),
            reader: reader.clone(),
        }
    }

    /// Records that the socket accepted a part of the request. If the instance has closed the connection, this part is
    /// answered by a reset.
    pub fn record_write(&mut self, now: Instant) {
        if self.first_write.is_none() {
            self.first_write = Some(now);
            self.wake_reader();
        }
    }

    /// Lets the reader look at the connection again.
    pub fn wake_reader(&self) {
        self.reader.wake_by_ref();
    }

    /// Waits until a reset would have arrived, which takes `reset_wait` from the write that it answers.
    pub fn poll_wait(
        &mut self,
        context: &mut Context<'_>,
        progress: &SendProgress,
        reset_wait: Duration,
    ) -> Poll<()> {
        let until = self.held_until(progress, reset_wait);
        if self.timer.deadline() != until {
            self.timer.as_mut().reset(until);
        }
        self.reader.clone_from(context.waker());
        self.timer.as_mut().poll(context)
    }

    fn held_until(&self, progress: &SendProgress, reset_wait: Duration) -> Instant {
        if let Some(first_write) = self.first_write {
            return first_write + reset_wait;
        }
        // Data in the system's buffers may be on its way for longer than since the last write.
        if progress.is_complete() && !progress.is_blocked.get() {
            self.seen + reset_wait
        } else {
            self.seen + MAX_HOLD
        }
    }
}

#[cfg(test)]
mod tests;
