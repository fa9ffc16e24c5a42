//! A client's connection with an ear to it: what the sweep and the checks need to know of what came.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Where the bytes of a connection stand.
#[derive(Clone, Copy, PartialEq)]
enum At {
    /// Between two messages, or before the first.
    Rest,
    /// In the first line of a request.
    FirstLine,
    /// Behind it: the rest of the head, the body, whatever comes before the answer.
    Beyond,
}

/// What is known of one client's connection.
pub struct Watch {
    at: Cell<At>,
    /// Requests of it that are at work: one at most, but for the moment in which one follows another.
    pub busy: Cell<u32>,
    pub stirred: Cell<Instant>,
    /// The client doesn't read what is to be written.
    held_up: Cell<bool>,
    /// The first line had a fragment in it, which the parser would drop unseen.
    pub fragment: Cell<bool>,
    pub close: Notify,
}

impl Watch {
    pub fn new() -> Watch {
        Watch {
            at: Cell::new(At::Rest),
            busy: Cell::new(0),
            stirred: Cell::new(Instant::now()),
            held_up: Cell::new(false),
            fragment: Cell::new(false),
            close: Notify::new(),
        }
    }

    /// Nothing of a request or of an answer is here.
    pub fn idle(&self) -> bool {
        self.busy.get() == 0 && self.at.get() == At::Rest && !self.held_up.get()
    }

    /// A head has begun and isn't whole yet.
    pub fn in_head(&self) -> bool {
        self.busy.get() == 0 && self.at.get() != At::Rest
    }

    pub fn begins(&self) {
        self.busy.set(self.busy.get() + 1);
        self.at.set(At::Beyond);
    }

    pub fn ends(&self) {
        self.busy.set(self.busy.get().saturating_sub(1));
        self.stirred.set(Instant::now());
        self.at.set(At::Rest);
    }

    fn heard(&self, bytes: &[u8]) {
        if self.at.get() == At::Rest {
            self.at.set(At::FirstLine);
            self.stirred.set(Instant::now());
        }
        if self.at.get() == At::FirstLine {
            // Empty lines may come before the first one.
            let start = bytes.iter().position(|&byte| !byte.is_ascii_whitespace()).unwrap_or(bytes.len());
            let rest = bytes.get(start..).unwrap_or_default();
            let end = rest.iter().position(|&byte| byte == b'\n');
            let line = rest.get(..end.unwrap_or(rest.len())).unwrap_or_default();
            if line.contains(&b'#') {
                self.fragment.set(true);
            }
            if end.is_some() {
                self.at.set(At::Beyond);
            }
        }
    }
}

pub struct Ear {
    pub stream: TcpStream,
    pub watch: Rc<Watch>,
}

impl AsyncRead for Ear {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = into.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, into);
        if let Some(bytes) = into.filled().get(before..)
            && !bytes.is_empty()
        {
            self.watch.heard(bytes);
        }
        read
    }
}

impl AsyncWrite for Ear {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.watch.held_up.set(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.watch.held_up.set(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
