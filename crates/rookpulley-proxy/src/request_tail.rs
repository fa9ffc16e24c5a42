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

/// How long the instance must be silent before it is sent each of the last bytes.
const RELEASE_PAUSES: [Duration; 3] = [
    Duration::from_millis(1),
    Duration::from_millis(2),
    Duration::from_millis(6),
];
/// The longest time for which a request is held back, even if the instance is never silent.
const MAX_HOLD: Duration = Duration::from_secs(1);

/// The last bytes of the data to be sent, while they are held back.
#[derive(Default)]
pub struct RequestTail {
    bytes: Bytes,
    /// Whether all data of the instance has been read, so that it is known to be silent.
    is_instance_silent: bool,
    hold: Option<Hold>,
}

/// The time of bytes that are held back.
struct Hold {
    /// When a byte was last held back or released, or when the instance was last heard of.
    last_activity: Instant,
    /// When bytes are no longer held back.
    expires: Instant,
    timer: Pin<Box<Sleep>>,
}

impl Hold {
    fn new(now: Instant) -> Self {
        Self {
            last_activity: now,
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
            length.min(RELEASE_PAUSES.len())
        } else {
            0
        }
    }

    /// Holds bytes back. All earlier ones must have been sent.
    pub fn hold(&mut self, bytes: &[u8]) {
        self.bytes = Bytes::copy_from_slice(bytes);
        self.record_activity();
    }

    /// Records that bytes from the start of the tail were sent.
    pub fn record_sent(&mut self, bytes: usize) {
        self.bytes.advance(bytes);
        self.record_activity();
    }

    /// Records whether a read found no more data of the instance.
    pub fn record_read(&mut self, is_silent: bool) {
        if is_silent != self.is_instance_silent {
            self.is_instance_silent = is_silent;
            self.record_activity();
        }
    }

    fn record_activity(&mut self) {
        if let Some(hold) = &mut self.hold {
            hold.last_activity = Instant::now();
        }
    }

    /// Waits until bytes of the tail are to be sent, and returns how many. Pending if there are none.
    pub fn poll_release(&mut self, context: &mut Context<'_>) -> Poll<usize> {
        let pause = match self.bytes.len() {
            0 => None,
            held => RELEASE_PAUSES.iter().rev().nth(held - 1),
        };
        let (Some(hold), Some(pause)) = (&mut self.hold, pause) else {
            return Poll::Pending;
        };
        let release = if self.is_instance_silent {
            hold.expires.min(hold.last_activity + *pause)
        } else {
            hold.expires
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
