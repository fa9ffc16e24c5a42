//! Wraps an upstream socket for hyper's parser: discards stale responses, and tracks whether any
//! byte of a request has been sent.

use crate::body_length::BodyLength;
use crate::request_body::SentBody;
use crate::request_tail::RequestTail;
use crate::response_end::{HeldEnd, SendProgress};
use crate::response_head::{self, BodyEnd, Classification, SentRequests};
use bytes::{Buf, BytesMut};
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A longer head is passed through, and rejected by hyper's parser.
const MAX_HEAD_BYTES: usize = 64 << 10;
const READ_BYTES: usize = 4 << 10;
/// The time within which a reset answers a write, in round trips and with its bounds.
const RESET_WAIT_ROUND_TRIPS: u32 = 4;
const MIN_RESET_WAIT: Duration = Duration::from_millis(5);
const MAX_RESET_WAIT: Duration = Duration::from_millis(100);

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
    progress: SendProgress,
    /// Whether a stale or interim response was discarded; the connection must not be reused.
    has_discarded_response: Cell<bool>,
}

impl PendingResponse {
    /// Starts a request. With `must_check_peer`, it is sent only if the instance has neither closed the
    /// connection nor sent anything.
    pub fn begin(&self, id: &HeaderValue, is_head: bool, body: SentBody, must_check_peer: bool) {
        self.requests.borrow_mut().begin(id, is_head);
        self.progress.begin(body);
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

    /// The pending error of the socket, which is reported only once.
    fn take_error(&self) -> Option<io::Error>;

    /// Makes the socket accept data only once all earlier data has been transmitted.
    fn limit_unsent(&self);
}

impl PeerProbe for TcpStream {
    fn has_unexpected_input(&self) -> bool {
        let socket = socket2::SockRef::from(self);
        let read = io::Read::read(&mut &*socket, &mut [0]);
        !matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    fn take_error(&self) -> Option<io::Error> {
        socket2::SockRef::from(self)
            .take_error()
            .unwrap_or_else(Some)
    }

    fn limit_unsent(&self) {
        // Best effort: other systems lack the option, and there a reset may come too late to be seen.
        #[cfg(target_os = "linux")]
        {
            _ = socket2::SockRef::from(self).set_tcp_notsent_lowat(1);
        }
    }
}

/// An upstream connection that discards stale responses.
pub struct ResponseFilter<S = TcpStream> {
    stream: S,
    pending: Rc<PendingResponse>,
    buffered: BytesMut,
    /// The remaining body of a response that is being discarded.
    discarding: Option<BodyLength>,
    /// The first failure of a write after part of a request was sent. The response may still be readable.
    write_failure: Option<io::ErrorKind>,
    /// How the body of the current response ends.
    body_end: BodyEnd,
    /// The last bytes of the request, which are held back if the body of the response ends with the connection.
    request_tail: RequestTail,
    /// Whether the socket accepts data only once all earlier data has been transmitted.
    is_unsent_limited: bool,
    /// The end of the instance's data, if it was reached but may be followed by a reset.
    held_end: Option<HeldEnd>,
    /// The time within which a reset answers a write.
    reset_wait: Duration,
}

impl<S: AsyncRead + AsyncWrite + PeerProbe + Unpin> ResponseFilter<S> {
    /// `round_trip` is the time in which the instance accepted the connection.
    pub fn new(stream: S, pending: Rc<PendingResponse>, round_trip: Duration) -> Self {
        Self {
            stream,
            pending,
            buffered: BytesMut::new(),
            discarding: None,
            write_failure: None,
            body_end: BodyEnd::Stated,
            request_tail: RequestTail::default(),
            is_unsent_limited: false,
            held_end: None,
            reset_wait: (round_trip * RESET_WAIT_ROUND_TRIPS).clamp(MIN_RESET_WAIT, MAX_RESET_WAIT),
        }
    }

    fn classify(&self, bytes: &[u8]) -> Classification {
        if self.pending.is_awaiting_head.get() {
            response_head::classify(bytes, &self.pending.requests.borrow())
        } else {
            Classification::PassThrough(self.body_end)
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
                Classification::PassThrough(end) => {
                    self.body_end = end;
                    return Ok(true);
                }
                Classification::Incomplete => return Ok(self.buffered.len() > MAX_HEAD_BYTES),
                Classification::Discard(head, body) => {
                    self.buffered.advance(head);
                    self.pending.has_discarded_response.set(true);
                    self.discarding = Some(body);
                }
            }
        }
    }

    /// Reads from the socket.
    fn read_socket(
        &mut self,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let capacity = output.remaining();
        ready!(Pin::new(&mut self.stream).poll_read(context, output))?;
        let is_at_end = capacity > 0 && output.remaining() == capacity;
        if is_at_end && self.body_end == BodyEnd::WithConnection {
            return self.poll_body_end(context);
        }
        Poll::Ready(Ok(()))
    }

    /// Polls for the end of a body that ends with the connection. Fails if the connection was reset.
    ///
    /// The socket reports a reset only once. If a write has met it, reads return the end of the
    /// stream as if the instance had ended its data.
    fn poll_body_end(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Some(failure) = self.write_failure {
            return Poll::Ready(Err(failure.into()));
        }
        if self.pending.progress.has_no_body() {
            return Poll::Ready(Ok(()));
        }
        if self.held_end.is_none() {
            self.held_end = Some(HeldEnd::new(Instant::now(), context.waker()));
        }
        // A closed socket answers this with a reset.
        if let Poll::Ready(Err(error)) = self.poll_send_tail(context, usize::MAX) {
            return Poll::Ready(Err(error));
        }
        let Some(end) = &mut self.held_end else {
            return Poll::Ready(Ok(()));
        };
        ready!(end.poll_wait(context, &self.pending.progress, self.reset_wait));
        Poll::Ready(self.stream.take_error().map_or(Ok(()), Err))
    }

    /// Reads from the connection, discarding stale responses.
    fn read(
        &mut self,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.buffered.is_empty() && self.discarding.is_none() {
            let before = output.filled().len();
            ready!(self.read_socket(context, output))?;
            if !self.pending.is_awaiting_head.get() {
                return Poll::Ready(Ok(()));
            }
            let received = output.filled().get(before..).unwrap_or_default();
            if received.is_empty() {
                self.pending.is_awaiting_head.set(false);
                return Poll::Ready(Ok(()));
            }
            if let Classification::PassThrough(end) = self.classify(received) {
                self.body_end = end;
                self.pending.is_awaiting_head.set(false);
                return Poll::Ready(Ok(()));
            }
            self.buffered.extend_from_slice(received);
            output.set_filled(before);
        }
        while self.pending.is_awaiting_head.get() && !self.filter_buffered()? {
            let mut buffer = [0; READ_BYTES];
            let mut received = ReadBuf::new(&mut buffer);
            ready!(self.read_socket(context, &mut received))?;
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

impl<S: AsyncRead + AsyncWrite + PeerProbe + Unpin> AsyncRead for ResponseFilter<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = self.read(context, output);
        self.request_tail.record_read(read.is_pending());
        read
    }
}

mod writing;

#[cfg(test)]
mod tests;
