//! The writing half of an upstream connection: sends requests, and holds the last bytes of some back.

use super::{PeerProbe, ResponseFilter};
use crate::response_head::BodyEnd;
use bytes::Buf;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::Instant;

impl<S: AsyncRead + AsyncWrite + PeerProbe + Unpin> ResponseFilter<S> {
    /// Aborts the request before its first byte is sent, if the instance has closed the connection
    /// or sent data.
    fn check_peer(&mut self) -> io::Result<()> {
        if self.pending.must_check_peer.take() && self.stream.has_unexpected_input() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// Records what the socket did with a write.
    fn record_write(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Ready(Ok(bytes)) => self.record_sent(*bytes),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.pending.progress.record_blocked_write(),
        }
        written
    }

    fn record_sent(&mut self, bytes: usize) {
        let sent = &self.pending.bytes_sent;
        sent.set(sent.get() + bytes as u64);
        self.pending.progress.record_write();
        if let Some(end) = &mut self.held_end {
            end.record_write(Instant::now());
        }
    }

    /// Writes by `send`. The instance may have responded before it closed the connection, so a failure after a partial
    /// write is not reported: the `length` counts as written, and reads consider the failure where it matters.
    fn poll_write_by(
        &mut self,
        length: impl FnOnce() -> usize,
        send: impl FnOnce(&mut Self) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if self.write_failure.is_some() {
            return Poll::Ready(Ok(length()));
        }
        self.check_peer()?;
        self.limit_unsent();
        match send(self) {
            Poll::Ready(Err(error)) if !self.pending.is_unsent() => {
                self.record_write_failure(&error);
                Poll::Ready(Ok(length()))
            }
            other => other,
        }
    }

    /// Keeps the rest of a request out of the system's buffers while a response that ends with the connection is under
    /// way: what waits there counts as sent, though a reset may answer it much later.
    fn limit_unsent(&mut self) {
        if self.body_end == BodyEnd::WithConnection && !self.is_unsent_limited {
            self.is_unsent_limited = true;
            self.stream.limit_unsent();
        }
    }

    fn record_write_failure(&mut self, error: &io::Error) {
        self.write_failure = Some(error.kind());
        if let Some(end) = &self.held_end {
            end.wake_reader();
        }
    }

    /// Sends bytes, or holds the last ones back.
    fn poll_send(&mut self, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        ready!(self.poll_send_tail(context, usize::MAX))?;
        let held = if self.holds_tail() {
            self.request_tail.held_length(bytes.len())
        } else {
            0
        };
        let (first, last) = bytes.split_at(bytes.len() - held);
        if !first.is_empty() || last.is_empty() {
            let sent = ready!(self.poll_send_at_once(context, first))?;
            if sent < first.len() {
                return Poll::Ready(Ok(sent));
            }
        }
        if !last.is_empty() {
            self.request_tail.hold(last);
        }
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_send_vectored(
        &mut self,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.holds_tail() {
            let first = slices.iter().find(|slice| !slice.is_empty());
            return self.poll_send(context, first.map_or(&[], |slice| slice));
        }
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(written)
    }

    /// Whether the last of the bytes that follow are to be held back: they end the request, and the response is under way.
    fn holds_tail(&self) -> bool {
        self.body_end == BodyEnd::WithConnection
            && self.held_end.is_none()
            && self.pending.progress.is_complete()
    }

    /// Sends bytes that were held back, at most so many.
    pub(super) fn poll_send_tail(
        &mut self,
        context: &mut Context<'_>,
        max: usize,
    ) -> Poll<io::Result<()>> {
        let mut unsent = self.request_tail.bytes();
        unsent.truncate(max);
        while !unsent.is_empty() {
            let sent = ready!(self.poll_send_at_once(context, &unsent))?;
            self.request_tail.record_sent(sent);
            unsent.advance(sent);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_send_at_once(
        &mut self,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(written)
    }

    /// Sends the bytes that are no longer held back.
    fn release_tail(&mut self, context: &mut Context<'_>) {
        while self.write_failure.is_none()
            && let Poll::Ready(bytes) = self.request_tail.poll_release(context)
        {
            match self.poll_send_tail(context, bytes) {
                Poll::Ready(Ok(())) => {}
                Poll::Ready(Err(error)) => self.record_write_failure(&error),
                Poll::Pending => break,
            }
        }
    }
}

impl<S: AsyncRead + AsyncWrite + PeerProbe + Unpin> AsyncWrite for ResponseFilter<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_by(|| bytes.len(), |filter| filter.poll_send(context, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let length = || slices.iter().map(|slice| slice.len()).sum();
        self.poll_write_by(length, |filter| filter.poll_send_vectored(context, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.release_tail(context);
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
