//! What waits to be written on one connection. Putting never waits; writing takes what the socket takes.

use crate::ending::Ending;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Where more than this waits already, the reader has stopped reading.
const UNREAD_MOST: usize = 256 * 1024;

#[derive(Default)]
pub struct Outbox {
    waiting: RefCell<VecDeque<Vec<u8>>>,
    /// How much of the first has been written.
    written: Cell<usize>,
    bytes: Cell<usize>,
    ordered: Cell<Option<Ending>>,
    stirred: Notify,
}

impl Outbox {
    pub fn put(&self, message: Vec<u8>) {
        if self.bytes.get() > UNREAD_MOST {
            return self.end(Ending::Unread);
        }
        self.bytes.set(self.bytes.get() + message.len());
        self.waiting.borrow_mut().push_back(message);
        self.stirred.notify_one();
    }

    /// Orders the connection to end like this.
    pub fn end(&self, ending: Ending) {
        self.ordered.set(self.ordered.get().or(Some(ending)));
        self.stirred.notify_one();
    }

    pub fn ordered(&self) -> Option<Ending> {
        self.ordered.get()
    }

    pub fn waits(&self) -> bool {
        self.bytes.get() > 0
    }

    pub async fn stirred(&self) {
        self.stirred.notified().await;
    }

    /// Writes as much as goes without waiting.
    pub fn write(&self, socket: &TcpStream) -> std::io::Result<()> {
        let mut waiting = self.waiting.borrow_mut();
        while let Some(message) = waiting.front() {
            match socket.try_write(&message[self.written.get()..]) {
                Ok(size) => {
                    self.bytes.set(self.bytes.get() - size);
                    self.written.set(self.written.get() + size);
                    if self.written.get() == message.len() {
                        self.written.set(0);
                        waiting.pop_front();
                    }
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}
