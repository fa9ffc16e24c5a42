//! The last bytes of a request whose response began before the request was sent whole, and ends with the connection.
//!
//! An instance that ends when it has read the whole request closes its connection in order, so that a part of its
//! response looks like all of it. One that ends earlier resets what arrives later. So the last bytes are held back until
//! the instance has been silent for a while. They are sent one at a time: an instance that works on its response and
//! reads on meanwhile may wait in a read, and ends only once something arrives.

use bytes::{Buf, Bytes};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// How long the instance must have been silent when it is sent each of the last bytes.
const SILENCE_BEFORE_RELEASE: [Duration; 6] = [
    Duration::from_millis(2),
    Duration::from_millis(4),
    Duration::from_millis(8),
    Duration::from_millis(12),
    Duration::from_millis(16),
    Duration::from_millis(20),
];
/// The shortest time between two of them, in which a reset may answer the first one.
const MIN_RELEASE_INTERVAL: Duration = Duration::from_millis(1);
/// The longest time for which a request is held back, even if the instance is never silent.
const MAX_HOLD: Duration = Duration::from_secs(1);

/// The last bytes of the data to be sent, while they are held back.
#[derive(Default)]
pub struct RequestTail {
    bytes: Bytes,
    /// Since when all data of the instance has been read, if that is so.
    silent_since: Option<Instant>,
    hold: Option<Hold>,
}

/// The time of bytes that are held back.
struct Hold {
    /// When the next byte may be released at the earliest.
    next_release: Instant,
    /// When bytes are no longer held back.
    expires: Instant,
    timer: Pin<Box<Sleep>>,
}

impl Hold {
    fn new(now: Instant) -> Self {
        Self {
            next_release: now,
            expires: now + MAX_HOLD,
            timer: Box::pin(tokio::time::sleep_until(now)),
        }
    }
}

impl RequestTail {
    /// The bytes that are held back.
    pub fn bytes(&self) -> Bytes {
        self.bytes.clone()
    }

    /// How many of so many bytes that follow the tail are to be held back.
    pub fn held_length(&mut self, length: usize) -> usize {
        let now = Instant::now();
        let hold = self.hold.get_or_insert_with(|| Hold::new(now));
        if now < hold.expires {
            length.min(SILENCE_BEFORE_RELEASE.len())
        } else {
            0
        }
    }

    /// Holds bytes back. All earlier ones must have been sent.
    pub fn hold(&mut self, bytes: &[u8]) {
        self.bytes = Bytes::copy_from_slice(bytes);
        self.delay_release();
    }

    /// Records that bytes from the start of the tail were sent.
    pub fn record_sent(&mut self, bytes: usize) {
        self.bytes.advance(bytes);
        self.delay_release();
    }

    fn delay_release(&mut self) {
        if let Some(hold) = &mut self.hold {
            hold.next_release = Instant::now() + MIN_RELEASE_INTERVAL;
        }
    }

    /// Records whether a read found no more data of the instance.
    pub fn record_read(&mut self, is_silent: bool) {
        if !is_silent {
            self.silent_since = None;
        } else if self.silent_since.is_none() {
            self.silent_since = Some(Instant::now());
        }
    }

    /// Waits until bytes of the tail are to be sent, and returns how many. Pending if there are none.
    pub fn poll_release(&mut self, context: &mut Context<'_>) -> Poll<usize> {
        let silence = match self.bytes.len() {
            0 => None,
            held => SILENCE_BEFORE_RELEASE.iter().rev().nth(held - 1),
        };
        let (Some(hold), Some(silence)) = (&mut self.hold, silence) else {
            return Poll::Pending;
        };
        let release = match self.silent_since {
            Some(since) => hold.next_release.max(since + *silence).min(hold.expires),
            None => hold.expires,
        };
        if hold.timer.deadline() != release {
            hold.timer.as_mut().reset(release);
        }
        ready!(hold.timer.as_mut().poll(context));
        let is_expired = release == hold.expires;
        Poll::Ready(if is_expired { self.bytes.len() } else { 1 })
    }
}

#[cfg(test)]
mod tests;
