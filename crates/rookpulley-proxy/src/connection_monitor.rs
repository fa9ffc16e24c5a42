//! What is known of one client's connection: how far its request is, whether it is idle, slow or stuck.
//!
//! The connection itself tells it what is read and written, the request what is at work; the registry asks it which
//! connections are to be closed.

use crate::body_length::BodyLength;
use rookpulley_routes::Limits;
use std::cell::{Cell, RefCell};
use std::task::{Poll, Waker};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// While the program ends, a connection without a request stays so long: requests on their way still find it.
const IDLE_WHILE_ENDING: Duration = Duration::from_millis(1_500);

/// Where the bytes handed to the parser stand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReadPhase {
    /// Between two requests, or before the first.
    Idle,
    /// In a head.
    Head,
    /// Behind a head, until it is known what follows it.
    AfterHead,
    /// In a body.
    Body,
    /// A request is complete: nothing more is handed on until it is answered.
    Complete,
    /// The connection is being closed.
    Closing,
}

/// Why a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseReason {
    /// It has no request.
    Idle,
    /// Its head takes too long.
    SlowHead,
    /// The client doesn't take what is written.
    WriteStuck,
}

/// What is known of one client's connection.
pub struct ConnectionMonitor {
    phase: Cell<ReadPhase>,
    /// What is to come of the body of the request at work.
    body: Cell<BodyLength>,
    requests_at_work: Cell<u32>,
    /// Since when it is idle, or its head comes.
    changed: Cell<Instant>,
    /// Since when the client has taken nothing of what is written.
    stuck: Cell<Option<Instant>>,
    /// Something waits that the parser hasn't got.
    has_unread: Cell<bool>,
    reader: RefCell<Option<Waker>>,
    /// The first line had a fragment in it, which the parser drops unseen.
    pub has_fragment: Cell<bool>,
    /// What the head took, line ends and all.
    pub head_bytes: Cell<usize>,
    /// It has been asked to make room for another.
    pub is_evicted: Cell<bool>,
    /// Notified when there may be a reason to close it.
    pub close: Notify,
}

impl ConnectionMonitor {
    pub fn new() -> Self {
        Self {
            phase: Cell::new(ReadPhase::Idle),
            body: Cell::new(BodyLength::Bytes(0)),
            requests_at_work: Cell::new(0),
            changed: Cell::new(Instant::now()),
            stuck: Cell::new(None),
            has_unread: Cell::new(false),
            reader: RefCell::new(None),
            has_fragment: Cell::new(false),
            head_bytes: Cell::new(0),
            is_evicted: Cell::new(false),
            close: Notify::new(),
        }
    }

    /// Nothing of a request or of an answer is here.
    pub fn is_idle(&self) -> bool {
        self.requests_at_work.get() == 0
            && self.phase.get() == ReadPhase::Idle
            && !self.has_unread.get()
            && self.stuck.get().is_none()
    }

    /// Since when it is idle, or its head comes.
    pub fn changed(&self) -> Instant {
        self.changed.get()
    }

    /// Something of an answer hasn't been taken by the client yet.
    pub fn is_write_stuck(&self) -> bool {
        self.stuck.get().is_some()
    }

    /// More of the request at work is to come.
    pub fn is_in_body(&self) -> bool {
        self.phase.get() == ReadPhase::Body
    }

    /// Why it is to be closed now, if at all.
    pub fn close_reason(&self, limits: Limits, is_ending: bool) -> Option<CloseReason> {
        let mut idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
        let stuck = self.stuck.get();
        if stuck.is_some_and(|since| since.elapsed() > idle_timeout) {
            return Some(CloseReason::WriteStuck);
        }
        let phase = self.phase.get();
        let is_in_head = matches!(phase, ReadPhase::Head | ReadPhase::AfterHead);
        let elapsed = self.changed.get().elapsed();
        if is_in_head
            && self.requests_at_work.get() == 0
            && elapsed > Duration::from_millis(limits.header_timeout_ms)
        {
            return Some(CloseReason::SlowHead);
        }
        if is_ending {
            idle_timeout = idle_timeout.min(IDLE_WHILE_ENDING);
        }
        (self.is_idle() && elapsed > idle_timeout).then_some(CloseReason::Idle)
    }

    /// The parser has read a head, and knows where its body ends.
    pub fn request_began(&self, body: BodyLength) {
        self.requests_at_work.set(self.requests_at_work.get() + 1);
        self.body.set(body);
        self.phase.set(if body.is_complete() {
            ReadPhase::Complete
        } else {
            ReadPhase::Body
        });
        self.wake_reader();
    }

    /// The answer has been handed on.
    pub fn request_ended(&self) {
        let at_work = self.requests_at_work.get();
        self.requests_at_work.set(at_work.saturating_sub(1));
        self.changed.set(Instant::now());
        if self.phase.get() == ReadPhase::Complete {
            self.phase.set(ReadPhase::Idle);
        }
        self.wake_reader();
    }

    /// Bytes were read on.
    pub fn phase(&self) -> ReadPhase {
        self.phase.get()
    }

    /// The first byte of a head has come.
    pub fn head_began(&self) {
        self.phase.set(ReadPhase::Head);
        self.changed.set(Instant::now());
        self.has_fragment.set(false);
        self.head_bytes.set(0);
    }

    /// A head is complete.
    pub fn head_ended(&self) {
        self.phase.set(ReadPhase::AfterHead);
    }

    /// How many of these bytes belong to the body of the request at work.
    pub fn read_body(&self, bytes: &[u8]) -> usize {
        let mut body = self.body.get();
        let used = body.advance(bytes);
        self.body.set(body);
        if body.is_complete() {
            let is_answered = self.requests_at_work.get() == 0;
            self.phase.set(if is_answered {
                ReadPhase::Idle
            } else {
                ReadPhase::Complete
            });
        }
        used
    }

    /// The connection is being closed.
    pub fn closing(&self) {
        self.phase.set(ReadPhase::Closing);
    }

    /// Whether something waits that the parser hasn't got.
    pub fn set_has_unread(&self, has_unread: bool) {
        self.has_unread.set(has_unread);
    }

    /// This one is to be woken when what waits may be handed on.
    pub fn set_reader(&self, waker: &Waker) {
        let mut reader = self.reader.borrow_mut();
        let is_same = reader
            .as_ref()
            .is_some_and(|reader| reader.will_wake(waker));
        if !is_same {
            *reader = Some(waker.clone());
        }
    }

    fn wake_reader(&self) {
        if self.has_unread.get()
            && let Some(reader) = self.reader.borrow_mut().take()
        {
            reader.wake();
        }
    }

    /// A write was tried.
    pub fn wrote(&self, written: &Poll<std::io::Result<usize>>) {
        match written {
            Poll::Ready(_) => self.stuck.set(None),
            Poll::Pending if self.stuck.get().is_none() => self.stuck.set(Some(Instant::now())),
            Poll::Pending => {}
        }
    }
}
