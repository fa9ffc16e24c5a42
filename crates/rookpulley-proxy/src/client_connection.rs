//! Wraps a client socket for hyper's parser: delivers one request at a time and reports progress to
//! the connection monitor.

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

/// Limit on pipelined bytes buffered while a request is in progress; the rest stays in the socket.
const MAX_BUFFERED_BYTES: usize = 8 << 10;
const READ_AHEAD_BYTES: usize = 2 << 10;
/// A connection closed while the client is still sending is drained for this long, because a reset
/// would discard the last response.
const LINGER: Duration = Duration::from_secs(1);
const LINGER_READ_BYTES: usize = 8 << 10;

/// The progress of closing the connection.
enum Shutdown {
    Open,
    Closing { lingers: bool },
    Lingering(Pin<Box<Sleep>>),
}

/// A client connection that delivers one request at a time to the parser.
pub struct ClientConnection<S = TcpStream> {
    stream: S,
    monitor: Rc<ConnectionMonitor>,
    scanner: HeadScanner,
    /// Bytes received but not yet delivered to the parser.
    buffered: BytesMut,
    /// The client has closed its write side, after the buffered bytes.
    is_eof: bool,
    shutdown: Shutdown,
}

impl<S: AsyncRead + AsyncWrite + Unpin> ClientConnection<S> {
    pub fn new(stream: S, monitor: Rc<ConnectionMonitor>) -> Self {
        Self {
            stream,
            monitor,
            scanner: HeadScanner::BeforeHead,
            buffered: BytesMut::new(),
            is_eof: false,
            shutdown: Shutdown::Open,
        }
    }

    /// Delivers received bytes to the parser, as many as `split` accepts, and buffers the rest.
    fn deliver(
        &mut self,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
        split: impl FnOnce(&mut Self, &[u8]) -> usize,
    ) -> Poll<std::io::Result<()>> {
        let start = output.filled().len();
        if !self.buffered.is_empty() {
            let mut buffered = std::mem::take(&mut self.buffered);
            let available = buffered.len().min(output.remaining());
            let bytes = buffered.get(..available).unwrap_or_default();
            let consumed = split(self, bytes).min(available);
            output.put_slice(bytes.get(..consumed).unwrap_or_default());
            buffered.advance(consumed);
            self.buffered = buffered;
        } else if !self.is_eof {
            ready!(Pin::new(&mut self.stream).poll_read(context, output))?;
            let received = output.filled().get(start..).unwrap_or_default();
            let consumed = split(self, received).min(received.len());
            let rest = received.get(consumed..).unwrap_or_default();
            self.buffered.extend_from_slice(rest);
            output.set_filled(start + consumed);
        }
        Poll::Ready(Ok(()))
    }

    /// Buffers input without delivering it. Reports end of file once the buffer is empty.
    fn read_ahead(&mut self, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        while !self.is_eof && self.buffered.len() < MAX_BUFFERED_BYTES {
            let mut buffer = [0; READ_AHEAD_BYTES];
            let mut received = ReadBuf::new(&mut buffer);
            let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(context, &mut received)
            else {
                break;
            };
            read?;
            self.buffered.extend_from_slice(received.filled());
            self.is_eof = received.filled().is_empty();
            if self.is_eof && self.buffered.is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
        self.monitor.set_read_waker(context.waker());
        Poll::Pending
    }

    /// Waits without reading. The end of the stream would make hyper give up a response that is not written yet, so the
    /// listener closes the connection instead.
    fn wait(&self, context: &Context<'_>) -> Poll<std::io::Result<()>> {
        self.monitor.set_read_waker(context.waker());
        Poll::Pending
    }

    fn read(
        &mut self,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let reads_no_requests = self.monitor.reads_no_requests();
        match self.monitor.phase() {
            // What is read now could not be answered. What was read before is delivered.
            ReadPhase::Idle | ReadPhase::Head
                if reads_no_requests && self.buffered.is_empty() && !self.is_eof =>
            {
                self.wait(context)
            }
            ReadPhase::AfterHead | ReadPhase::Complete if reads_no_requests => self.wait(context),
            ReadPhase::Idle | ReadPhase::Head => self.deliver(context, output, Self::split_head),
            ReadPhase::AfterHead | ReadPhase::Complete => self.read_ahead(context),
            ReadPhase::Body => self.deliver(context, output, |connection, bytes| {
                connection.monitor.advance_body(bytes)
            }),
            ReadPhase::Closing => Poll::Ready(Ok(())),
        }
    }

    /// Returns how many of these bytes belong to the request head.
    fn split_head(&mut self, bytes: &[u8]) -> usize {
        let end = self.scanner.scan(bytes, &self.monitor);
        if end.is_some() {
            self.monitor.head_completed();
        }
        end.unwrap_or(bytes.len())
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncRead for ClientConnection<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let read = self.read(context, output);
        let has_unread = !self.buffered.is_empty() || self.is_eof;
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
        self.monitor.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.monitor.record_write(&written);
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
                    let is_mid_request =
                        self.monitor.phase() != ReadPhase::Idle || !self.buffered.is_empty();
                    let lingers = !self.is_eof && is_mid_request;
                    self.monitor.start_closing();
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
                Shutdown::Lingering(timeout) => {
                    if timeout.as_mut().poll(context).is_ready() {
                        return Poll::Ready(Ok(()));
                    }
                    let mut buffer = [0; LINGER_READ_BYTES];
                    let mut received = ReadBuf::new(&mut buffer);
                    let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut received));
                    if read.is_err() || received.filled().is_empty() {
                        return Poll::Ready(Ok(()));
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
