//! A client's connection, between the socket and hyper's parser: the parser gets one request at a time, and the monitor
//! is told how far it is.

use crate::connection_monitor::{ConnectionMonitor, ReadPhase};
use crate::head_scanner::HeadScanner;
use bytes::{Buf, BytesMut};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// What a client sent ahead of its turn is held up to this; more stays in the network.
const MAX_HELD_BYTES: usize = 8 << 10;
const READ_AHEAD_BYTES: usize = 2 << 10;
/// A connection that ends amid what its client sends is read for so long: a reset would take the last answer along.
const LINGER: Duration = Duration::from_secs(1);
const LINGER_READ_BYTES: usize = 8 << 10;

/// How far the closing of a connection is.
enum Shutdown {
    Open,
    Closing { lingers: bool },
    Lingering(Pin<Box<Sleep>>),
}

/// A client's connection.
pub struct ClientConnection<S = TcpStream> {
    stream: S,
    monitor: Rc<ConnectionMonitor>,
    scanner: HeadScanner,
    /// What came and isn't handed on yet.
    held: BytesMut,
    /// The client has ended its side, behind what is held.
    has_ended: bool,
    shutdown: Shutdown,
}

impl<S: AsyncRead + AsyncWrite + Unpin> ClientConnection<S> {
    pub fn new(stream: S, monitor: Rc<ConnectionMonitor>) -> Self {
        Self {
            stream,
            monitor,
            scanner: HeadScanner::BeforeHead,
            held: BytesMut::new(),
            has_ended: false,
            shutdown: Shutdown::Open,
        }
    }

    /// Hands on bytes that came, up to where `split` says that they belong together; the rest is held.
    fn hand_on(
        &mut self,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
        split: impl FnOnce(&mut Self, &[u8]) -> usize,
    ) -> Poll<std::io::Result<()>> {
        let before = into.filled().len();
        if !self.held.is_empty() {
            let mut held = std::mem::take(&mut self.held);
            let available = held.len().min(into.remaining());
            let bytes = held.get(..available).unwrap_or_default();
            let used = split(self, bytes).min(available);
            into.put_slice(bytes.get(..used).unwrap_or_default());
            held.advance(used);
            self.held = held;
        } else if !self.has_ended {
            ready!(Pin::new(&mut self.stream).poll_read(context, into))?;
            let came = into.filled().get(before..).unwrap_or_default();
            let used = split(self, came).min(came.len());
            let rest = came.get(used..).unwrap_or_default();
            self.held.extend_from_slice(rest);
            into.set_filled(before + used);
        }
        Poll::Ready(Ok(()))
    }

    /// Reads without handing anything on. An end is handed on if nothing stands before it.
    fn read_ahead(&mut self, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        while !self.has_ended && self.held.len() < MAX_HELD_BYTES {
            let mut buffer = [0; READ_AHEAD_BYTES];
            let mut came = ReadBuf::new(&mut buffer);
            let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(context, &mut came) else {
                break;
            };
            read?;
            self.held.extend_from_slice(came.filled());
            self.has_ended = came.filled().is_empty();
            if self.has_ended && self.held.is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
        self.monitor.set_reader(context.waker());
        Poll::Pending
    }

    fn read(
        &mut self,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        match self.monitor.phase() {
            ReadPhase::Idle | ReadPhase::Head => self.hand_on(context, into, Self::split_head),
            ReadPhase::AfterHead | ReadPhase::Complete => self.read_ahead(context),
            ReadPhase::Body => self.hand_on(context, into, |connection, bytes| {
                connection.monitor.read_body(bytes)
            }),
            ReadPhase::Closing => Poll::Ready(Ok(())),
        }
    }

    /// How many of these bytes belong to the head.
    fn split_head(&mut self, bytes: &[u8]) -> usize {
        let end = self.scanner.scan(bytes, &self.monitor);
        if end.is_some() {
            self.monitor.head_ended();
        }
        end.unwrap_or(bytes.len())
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncRead for ClientConnection<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let read = self.read(context, into);
        let has_unread = !self.held.is_empty() || self.has_ended;
        self.monitor.set_has_unread(has_unread);
        read
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for ClientConnection<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.monitor.wrote(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.monitor.wrote(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        loop {
            match &mut self.shutdown {
                Shutdown::Open => {
                    let is_amid_request =
                        self.monitor.phase() != ReadPhase::Idle || !self.held.is_empty();
                    let lingers = !self.has_ended && is_amid_request;
                    self.monitor.closing();
                    self.shutdown = Shutdown::Closing { lingers };
                }
                Shutdown::Closing { lingers } => {
                    let lingers = *lingers;
                    ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
                    if !lingers {
                        return Poll::Ready(Ok(()));
                    }
                    self.shutdown = Shutdown::Lingering(Box::pin(sleep(LINGER)));
                }
                Shutdown::Lingering(time) => {
                    if time.as_mut().poll(context).is_ready() {
                        return Poll::Ready(Ok(()));
                    }
                    let mut buffer = [0; LINGER_READ_BYTES];
                    let mut came = ReadBuf::new(&mut buffer);
                    let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut came));
                    if read.is_err() || came.filled().is_empty() {
                        return Poll::Ready(Ok(()));
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
