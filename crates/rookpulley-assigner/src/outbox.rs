//! The output queue of one connection. Pushing and flushing never block.

use crate::close_reason::CloseReason;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Above this limit the reader counts as stalled and the connection is closed.
const MAX_QUEUED_BYTES: usize = 256 * 1024;

#[derive(Default)]
pub struct Outbox {
    queue: RefCell<VecDeque<Vec<u8>>>,
    /// Bytes of the first message already written.
    offset: Cell<usize>,
    queued_bytes: Cell<usize>,
    close_reason: Cell<Option<CloseReason>>,
    changed: Notify,
}

impl Outbox {
    pub fn push(&self, message: Vec<u8>) {
        if self.queued_bytes.get() > MAX_QUEUED_BYTES {
            return self.close(CloseReason::SlowReader);
        }
        self.queued_bytes
            .set(self.queued_bytes.get() + message.len());
        self.queue.borrow_mut().push_back(message);
        self.changed.notify_one();
    }

    /// Requests that the connection be closed; the first reason wins.
    pub fn close(&self, reason: CloseReason) {
        self.close_reason
            .set(self.close_reason.get().or(Some(reason)));
        self.changed.notify_one();
    }

    pub fn close_reason(&self) -> Option<CloseReason> {
        self.close_reason.get()
    }

    pub fn has_pending(&self) -> bool {
        self.queued_bytes.get() > 0
    }

    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Writes as much as the socket accepts without blocking.
    pub fn flush(&self, socket: &TcpStream) -> std::io::Result<()> {
        let mut queue = self.queue.borrow_mut();
        while let Some(message) = queue.front() {
            match socket.try_write(&message[self.offset.get()..]) {
                Ok(size) => {
                    self.queued_bytes.set(self.queued_bytes.get() - size);
                    self.offset.set(self.offset.get() + size);
                    if self.offset.get() == message.len() {
                        self.offset.set(0);
                        queue.pop_front();
                    }
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}
