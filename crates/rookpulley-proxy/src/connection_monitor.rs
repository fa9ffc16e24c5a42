//! Tracks the state of a client connection: the progress of its request and whether it is idle or
//! slow.
//!
//! The connection reports reads and writes, the request guard reports requests, and the registry
//! asks which connections to close.

use crate::body_length::BodyLength;
use rookpulley_routes::Limits;
use std::cell::{Cell, RefCell};
use std::task::{Poll, Waker};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Idle timeout during shutdown, long enough for a request that is already in transit.
const SHUTDOWN_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Where the bytes delivered to the parser end within a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReadPhase {
    /// Between requests, or before the first one.
    Idle,
    /// In a request head.
    Head,
    /// After a request head, before its body length is known.
    AfterHead,
    /// In a request body.
    Body,
    /// The request is complete; the next one is delivered after the response.
    Complete,
    Closing,
}

/// Why a connection should be closed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseReason {
    /// No request was in progress for the idle timeout.
    Idle,
    /// The request head was not complete within the head timeout.
    SlowHead,
    /// The client accepted no response bytes for the idle timeout.
    WriteBlocked,
}

/// The state of a client connection.
pub struct ConnectionMonitor {
    phase: Cell<ReadPhase>,
    /// The remaining body of the current request.
    remaining_body: Cell<BodyLength>,
    active_requests: Cell<u32>,
    /// When the connection became idle or the current head started.
    phase_started: Cell<Instant>,
    /// When writing became blocked, or `None` if the last write completed.
    stalled: Cell<Option<Instant>>,
    /// Whether input is buffered that the parser has not received.
    has_unread: Cell<bool>,
    read_waker: RefCell<Option<Waker>>,
    /// Whether no further request is read from the socket.
    reads_no_requests: Cell<bool>,
    /// Whether the request target has a fragment, which hyper's parser drops.
    pub has_fragment: Cell<bool>,
    /// The length of the request head in bytes, including line endings.
    pub head_bytes: Cell<usize>,
    /// Whether the registry has asked this connection to close.
    pub is_evicted: Cell<bool>,
    /// Notified when the connection may have to be closed.
    pub close: Notify,
}

impl ConnectionMonitor {
    pub fn new() -> Self {
        Self {
            phase: Cell::new(ReadPhase::Idle),
            remaining_body: Cell::new(BodyLength::Bytes(0)),
            active_requests: Cell::new(0),
            phase_started: Cell::new(Instant::now()),
            stalled: Cell::new(None),
            has_unread: Cell::new(false),
            read_waker: RefCell::new(None),
            reads_no_requests: Cell::new(false),
            has_fragment: Cell::new(false),
            head_bytes: Cell::new(0),
            is_evicted: Cell::new(false),
            close: Notify::new(),
        }
    }

    /// Whether no request is in progress and no bytes are pending in either direction.
    pub fn is_idle(&self) -> bool {
        self.active_requests.get() == 0
            && self.phase.get() == ReadPhase::Idle
            && !self.has_unread.get()
            && self.stalled.get().is_none()
    }

    /// When the connection became idle or the current head started.
    pub fn phase_started(&self) -> Instant {
        self.phase_started.get()
    }

    /// Whether response bytes are waiting for the client to read.
    pub fn is_write_blocked(&self) -> bool {
        self.stalled.get().is_some()
    }

    /// Whether the current request body is incomplete.
    pub fn is_in_body(&self) -> bool {
        self.phase.get() == ReadPhase::Body
    }

    /// The reason to close the connection now, if any.
    pub fn close_reason(&self, limits: Limits, is_shutting_down: bool) -> Option<CloseReason> {
        let mut idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
        let stalled = self.stalled.get();
        if stalled.is_some_and(|since| since.elapsed() > idle_timeout) {
            return Some(CloseReason::WriteBlocked);
        }
        let phase = self.phase.get();
        let is_in_head = matches!(phase, ReadPhase::Head | ReadPhase::AfterHead);
        let elapsed = self.phase_started.get().elapsed();
        if is_in_head
            && self.active_requests.get() == 0
            && elapsed > Duration::from_millis(limits.header_timeout_ms)
        {
            return Some(CloseReason::SlowHead);
        }
        if is_shutting_down {
            idle_timeout = idle_timeout.min(SHUTDOWN_IDLE_TIMEOUT);
        }
        (self.is_idle() && elapsed > idle_timeout).then_some(CloseReason::Idle)
    }

    /// Records that hyper has parsed a request head.
    pub fn request_started(&self, remaining_body: BodyLength) {
        self.active_requests.set(self.active_requests.get() + 1);
        self.remaining_body.set(remaining_body);
        self.phase.set(if remaining_body.is_complete() {
            ReadPhase::Complete
        } else {
            ReadPhase::Body
        });
        self.wake_reader();
    }

    /// Records that the response has been written.
    pub fn request_ended(&self) {
        let active = self.active_requests.get();
        self.active_requests.set(active.saturating_sub(1));
        self.phase_started.set(Instant::now());
        if self.phase.get() == ReadPhase::Complete {
            self.phase.set(ReadPhase::Idle);
        }
        self.wake_reader();
    }

    pub fn phase(&self) -> ReadPhase {
        self.phase.get()
    }

    /// Records the first byte of a request head.
    pub fn head_started(&self) {
        self.phase.set(ReadPhase::Head);
        self.phase_started.set(Instant::now());
        self.has_fragment.set(false);
        self.head_bytes.set(0);
    }

    /// Records the end of a request head.
    pub fn head_completed(&self) {
        self.phase.set(ReadPhase::AfterHead);
    }

    /// Returns how many of these bytes belong to the body of the current request.
    pub fn advance_body(&self, bytes: &[u8]) -> usize {
        let mut remaining_body = self.remaining_body.get();
        let consumed = remaining_body.advance(bytes);
        self.remaining_body.set(remaining_body);
        if remaining_body.is_complete() {
            let is_response_sent = self.active_requests.get() == 0;
            self.phase.set(if is_response_sent {
                ReadPhase::Idle
            } else {
                ReadPhase::Complete
            });
        }
        consumed
    }

    /// Records that the connection is closing.
    pub fn start_closing(&self) {
        self.phase.set(ReadPhase::Closing);
    }

    /// Has no further request read from the socket; the body of the current one still is. What was read before is still
    /// delivered to the parser, because a request that was read must be answered.
    pub fn stop_reading_requests(&self) {
        self.reads_no_requests.set(true);
    }

    /// Whether no further request is read from the socket.
    pub fn reads_no_requests(&self) -> bool {
        self.reads_no_requests.get()
    }

    /// Whether the connection may be closed with the rest of its input unread: no request is in progress, and all that was
    /// read is answered, or is part of a head.
    pub fn may_close_unread(&self) -> bool {
        self.reads_no_requests.get()
            && self.active_requests.get() == 0
            && matches!(self.phase.get(), ReadPhase::Idle | ReadPhase::Head)
            && !self.has_unread.get()
            && self.stalled.get().is_none()
    }

    /// Whether input is buffered that the parser has not received.
    pub fn has_unread(&self) -> bool {
        self.has_unread.get()
    }

    /// Sets whether input is buffered that the parser has not received.
    pub fn set_has_unread(&self, has_unread: bool) {
        self.has_unread.set(has_unread);
    }

    /// Registers the task to wake when buffered input may be delivered.
    pub fn set_read_waker(&self, waker: &Waker) {
        let mut read_waker = self.read_waker.borrow_mut();
        let is_same = read_waker
            .as_ref()
            .is_some_and(|read_waker| read_waker.will_wake(waker));
        if !is_same {
            *read_waker = Some(waker.clone());
        }
    }

    fn wake_reader(&self) {
        if self.has_unread.get()
            && let Some(read_waker) = self.read_waker.borrow_mut().take()
        {
            read_waker.wake();
        }
    }

    /// Records the result of a write.
    pub fn record_write(&self, result: &Poll<std::io::Result<usize>>) {
        match result {
            Poll::Ready(_) => self.stalled.set(None),
            Poll::Pending if self.stalled.get().is_none() => self.stalled.set(Some(Instant::now())),
            Poll::Pending => {}
        }
    }
}
