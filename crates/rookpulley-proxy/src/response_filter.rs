//! Wraps an upstream socket for hyper's parser: discards stale responses, and tracks whether any
//! byte of a request has been sent.

use crate::body_length::BodyLength;
use crate::response_head::{self, Classification, SentRequests};
use bytes::{Buf, BytesMut};
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A longer head is passed through, and rejected by hyper's parser.
const MAX_HEAD_BYTES: usize = 64 << 10;
const READ_BYTES: usize = 4 << 10;

/// State shared by a connection and its users.
#[derive(Default)]
pub struct PendingResponse {
    /// Whether the head of a response is awaited.
    is_awaiting_head: Cell<bool>,
    /// Bytes of the current request that were written to the socket.
    bytes_sent: Cell<u64>,
    /// Whether to check for unexpected input from the instance before the first byte is sent.
    must_check_peer: Cell<bool>,
    requests: RefCell<SentRequests>,
    /// Whether a stale or interim response was discarded; the connection must not be reused.
    has_discarded_response: Cell<bool>,
}

impl PendingResponse {
    /// Starts a request. With `must_check_peer`, it is sent only if the instance has neither closed the
    /// connection nor sent anything.
    pub fn begin(&self, id: &HeaderValue, is_head: bool, must_check_peer: bool) {
        self.requests.borrow_mut().begin(id, is_head);
        self.is_awaiting_head.set(true);
        self.bytes_sent.set(0);
        self.must_check_peer.set(must_check_peer);
    }

    /// Whether no byte of the request has been sent, so that it cannot have been executed.
    pub fn is_unsent(&self) -> bool {
        self.bytes_sent.get() == 0
    }

    /// Whether a stale or interim response was discarded.
    pub fn has_discarded_response(&self) -> bool {
        self.has_discarded_response.get()
    }
}

/// A peer that can be checked without blocking.
pub trait PeerProbe {
    /// Whether the peer has closed the connection or sent data. Consumes a byte of such data.
    fn has_unexpected_input(&self) -> bool;
}

impl PeerProbe for TcpStream {
    fn has_unexpected_input(&self) -> bool {
        let socket = socket2::SockRef::from(self);
        let read = io::Read::read(&mut &*socket, &mut [0]);
        !matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// An upstream connection that discards stale responses.
pub struct ResponseFilter<S = TcpStream> {
    stream: S,
    pending: Rc<PendingResponse>,
    buffered: BytesMut,
    /// The remaining body of a response that is being discarded.
    discarding: Option<BodyLength>,
    /// Whether a write failed after part of a request was sent. The response may still be readable.
    has_write_failed: bool,
}

impl<S: AsyncRead + Unpin> ResponseFilter<S> {
    pub fn new(stream: S, pending: Rc<PendingResponse>) -> Self {
        Self {
            stream,
            pending,
            buffered: BytesMut::new(),
            discarding: None,
            has_write_failed: false,
        }
    }

    fn classify(&self, bytes: &[u8]) -> Classification {
        if self.pending.is_awaiting_head.get() {
            response_head::classify(bytes, &self.pending.requests.borrow())
        } else {
            Classification::PassThrough
        }
    }

    /// Discards stale responses from the buffer. Returns true if the rest can be passed to the
    /// parser.
    fn filter_buffered(&mut self) -> io::Result<bool> {
        loop {
            if let Some(length) = &mut self.discarding {
                let consumed = length.advance(&self.buffered);
                self.buffered.advance(consumed);
                if *length == BodyLength::Invalid {
                    return Err(io::ErrorKind::InvalidData.into());
                }
                if !length.is_complete() {
                    return Ok(false);
                }
                self.discarding = None;
            }
            match self.classify(&self.buffered) {
                Classification::PassThrough => return Ok(true),
                Classification::Incomplete => return Ok(self.buffered.len() > MAX_HEAD_BYTES),
                Classification::Discard(head, body) => {
                    self.buffered.advance(head);
                    self.pending.has_discarded_response.set(true);
                    self.discarding = Some(body);
                }
            }
        }
    }

    /// Reads from the connection, discarding stale responses.
    fn read(
        &mut self,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.buffered.is_empty() && self.discarding.is_none() {
            let before = output.filled().len();
            ready!(Pin::new(&mut self.stream).poll_read(context, output))?;
            if !self.pending.is_awaiting_head.get() {
                return Poll::Ready(Ok(()));
            }
            let received = output.filled().get(before..).unwrap_or_default();
            if received.is_empty() || self.classify(received) == Classification::PassThrough {
                self.pending.is_awaiting_head.set(false);
                return Poll::Ready(Ok(()));
            }
            self.buffered.extend_from_slice(received);
            output.set_filled(before);
        }
        while self.pending.is_awaiting_head.get() && !self.filter_buffered()? {
            let mut buffer = [0; READ_BYTES];
            let mut received = ReadBuf::new(&mut buffer);
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut received))?;
            if received.filled().is_empty() {
                break;
            }
            self.buffered.extend_from_slice(received.filled());
        }
        self.pending.is_awaiting_head.set(false);
        let available = self.buffered.len().min(output.remaining());
        let bytes = self.buffered.get(..available);
        output.put_slice(bytes.unwrap_or_default());
        self.buffered.advance(available);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + AsyncWrite + PeerProbe + Unpin> ResponseFilter<S> {
    /// Aborts the request before its first byte is sent, if the instance has closed the connection
    /// or sent data.
    fn check_peer(&mut self) -> io::Result<()> {
        if self.pending.must_check_peer.take() && self.stream.has_unexpected_input() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// Records a write. A failure after a partial write is not reported, because the instance may
    /// have responded before it closed the connection.
    fn handle_write(
        &mut self,
        written: Poll<io::Result<usize>>,
        length: impl FnOnce() -> usize,
    ) -> Poll<io::Result<usize>> {
        match written {
            Poll::Ready(Ok(bytes)) => {
                let sent = &self.pending.bytes_sent;
                sent.set(sent.get() + bytes as u64);
                Poll::Ready(Ok(bytes))
            }
            Poll::Ready(Err(_)) if !self.pending.is_unsent() => {
                self.has_write_failed = true;
                Poll::Ready(Ok(length()))
            }
            other => other,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ResponseFilter<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.read(context, output)
    }
}

impl<S: AsyncRead + AsyncWrite + PeerProbe + Unpin> AsyncWrite for ResponseFilter<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.has_write_failed {
            return Poll::Ready(Ok(bytes.len()));
        }
        self.check_peer()?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.handle_write(written, || bytes.len())
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let length = || slices.iter().map(|slice| slice.len()).sum();
        if self.has_write_failed {
            return Poll::Ready(Ok(length()));
        }
        self.check_peer()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.handle_write(written, length)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests;
