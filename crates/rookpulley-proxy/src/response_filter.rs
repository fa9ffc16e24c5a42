//! A connection to an instance, between the socket and hyper's parser: late responses that nobody waits for any more are
//! left out, and it is known whether anything of a request has been sent.

use crate::body_length::BodyLength;
use bytes::{Buf, BytesMut};
use httparse::{ParserConfig, Status};
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A head that is longer is handed on as it is: the parser refuses it.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// The most headers of a head: the parser refuses more, too.
const MAX_HEADERS: usize = 100;
/// Requests of a connection whose responses may still come a second time.
const MAX_EARLIER_REQUESTS: usize = 4;
const READ_BYTES: usize = 4 << 10;

/// What a connection and those who use it tell each other.
#[derive(Default)]
pub struct PendingResponse {
    /// The head of a response is awaited.
    is_head_awaited: Cell<bool>,
    /// Bytes of the request that the system has taken.
    bytes_sent: Cell<u64>,
    /// Before the first byte is sent it is to be checked whether the instance has closed the connection.
    is_checked: Cell<bool>,
    requests: RefCell<SentRequests>,
    /// A response that had come before was left out: the connection isn't to be used again.
    is_out_of_order: Cell<bool>,
}

/// Whose responses may come on a connection.
#[derive(Default)]
struct SentRequests {
    current: Option<SentRequest>,
    earlier: VecDeque<SentRequest>,
}

/// A request. The response to a HEAD has no body, whatever length it states.
struct SentRequest {
    /// A copy of id own: the client's would keep the whole head in memory.
    id: Box<[u8]>,
    is_head: bool,
}

impl PendingResponse {
    /// A request is sent. `is_checked`: only if the instance hasn't said anything unasked by then.
    pub fn begin(&self, id: &HeaderValue, is_head: bool, is_checked: bool) {
        let mut requests = self.requests.borrow_mut();
        let request = SentRequest {
            id: id.as_bytes().into(),
            is_head,
        };
        if let Some(earlier) = requests.current.replace(request) {
            requests.earlier.truncate(MAX_EARLIER_REQUESTS - 1);
            requests.earlier.push_front(earlier);
        }
        self.is_head_awaited.set(true);
        self.bytes_sent.set(0);
        self.is_checked.set(is_checked);
    }

    /// Nothing of the request has been sent: it can't have run, and won't.
    pub fn is_unsent(&self) -> bool {
        self.bytes_sent.get() == 0
    }

    /// A response that had come before was left out.
    pub fn is_out_of_order(&self) -> bool {
        self.is_out_of_order.get()
    }
}

/// What can be looked at without waiting.
pub trait Peer {
    /// Whether it has closed the connection, or said something. What it said is lost.
    fn has_stirred(&self) -> bool;
}

impl Peer for TcpStream {
    fn has_stirred(&self) -> bool {
        let socket = socket2::SockRef::from(self);
        let read = io::Read::read(&mut &*socket, &mut [0]);
        !matches!(read, Err(why) if why.kind() == io::ErrorKind::WouldBlock)
    }
}

/// What the first response among some bytes is.
#[derive(Debug, PartialEq)]
enum Classification {
    /// The awaited one, or what can't be told: the parser judges.
    HandOn,
    /// Its head isn't complete.
    Incomplete,
    /// It came before, and nobody waits for it: id head is so long, and then comes id body.
    LeaveOut(usize, BodyLength),
}

/// A connection to an instance.
pub struct ResponseFilter<S = TcpStream> {
    stream: S,
    pending: Rc<PendingResponse>,
    held: BytesMut,
    /// What is still to come of a response that is left out.
    skipped: Option<BodyLength>,
    /// Writing has failed amid a request: what the instance said before is still to be read.
    is_peer_gone: bool,
}

impl<S: AsyncRead + Unpin> ResponseFilter<S> {
    pub fn new(stream: S, pending: Rc<PendingResponse>) -> Self {
        Self {
            stream,
            pending,
            held: BytesMut::new(),
            skipped: None,
            is_peer_gone: false,
        }
    }

    fn classify(&self, bytes: &[u8]) -> Classification {
        if self.pending.is_head_awaited.get() {
            classify(bytes, &self.pending.requests.borrow())
        } else {
            Classification::HandOn
        }
    }

    /// Leaves out what nobody waits for among what is held. True: the parser can have the rest.
    fn filter_held(&mut self) -> io::Result<bool> {
        loop {
            if let Some(length) = &mut self.skipped {
                let used = length.advance(&self.held);
                self.held.advance(used);
                if *length == BodyLength::Unknown {
                    return Err(io::ErrorKind::InvalidData.into());
                }
                if !length.is_complete() {
                    return Ok(false);
                }
                self.skipped = None;
            }
            match self.classify(&self.held) {
                Classification::HandOn => return Ok(true),
                Classification::Incomplete => return Ok(self.held.len() > MAX_HEAD_BYTES),
                Classification::LeaveOut(head, body) => {
                    self.held.advance(head);
                    self.pending.is_out_of_order.set(true);
                    self.skipped = Some(body);
                }
            }
        }
    }

    /// Hands on what came, without what nobody waits for.
    fn read(&mut self, context: &mut Context<'_>, into: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.held.is_empty() && self.skipped.is_none() {
            let before = into.filled().len();
            ready!(Pin::new(&mut self.stream).poll_read(context, into))?;
            if !self.pending.is_head_awaited.get() {
                return Poll::Ready(Ok(()));
            }
            let came = into.filled().get(before..).unwrap_or_default();
            if came.is_empty() || self.classify(came) == Classification::HandOn {
                self.pending.is_head_awaited.set(false);
                return Poll::Ready(Ok(()));
            }
            self.held.extend_from_slice(came);
            into.set_filled(before);
        }
        while self.pending.is_head_awaited.get() && !self.filter_held()? {
            let mut buffer = [0; READ_BYTES];
            let mut came = ReadBuf::new(&mut buffer);
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut came))?;
            if came.filled().is_empty() {
                break;
            }
            self.held.extend_from_slice(came.filled());
        }
        self.pending.is_head_awaited.set(false);
        let available = self.held.len().min(into.remaining());
        let bytes = self.held.get(..available);
        into.put_slice(bytes.unwrap_or_default());
        self.held.advance(available);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + AsyncWrite + Peer + Unpin> ResponseFilter<S> {
    /// A request whose first byte hasn't been sent can still be kept.
    fn check_peer(&mut self) -> io::Result<()> {
        if self.pending.is_checked.take() && self.stream.has_stirred() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// Once a part was sent, a failure to write is no end: the instance may have answered before it stopped listening.
    fn wrote(
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
                self.is_peer_gone = true;
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
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.read(context, into)
    }
}

impl<S: AsyncRead + AsyncWrite + Peer + Unpin> AsyncWrite for ResponseFilter<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_peer_gone {
            return Poll::Ready(Ok(bytes.len()));
        }
        self.check_peer()?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.wrote(written, || bytes.len())
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let length = || slices.iter().map(|slice| slice.len()).sum();
        if self.is_peer_gone {
            return Poll::Ready(Ok(length()));
        }
        self.check_peer()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.wrote(written, length)
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

/// What matters of the head of a response.
struct Head<'a> {
    status: u16,
    /// How many bytes it takes.
    bytes: usize,
    id: Option<&'a [u8]>,
    length: Option<&'a [u8]>,
    coding: Option<&'a [u8]>,
}

/// What the first response among these bytes is.
fn classify(bytes: &[u8], requests: &SentRequests) -> Classification {
    let mut headers = [const { MaybeUninit::uninit() }; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut []);
    let parser = ParserConfig::default();
    let end = match parser.parse_response_with_uninit_headers(&mut response, bytes, &mut headers) {
        Ok(Status::Complete(end)) => end,
        Ok(Status::Partial) => return Classification::Incomplete,
        Err(_) => return Classification::HandOn,
    };
    match Head::of(&response, end) {
        Some(head) => head.classify(requests),
        None => Classification::HandOn,
    }
}

impl<'a> Head<'a> {
    /// None: one of its headers is there twice.
    fn of(response: &httparse::Response<'_, 'a>, bytes: usize) -> Option<Self> {
        let mut head = Self {
            status: response.code.unwrap_or_default(),
            bytes,
            id: None,
            length: None,
            coding: None,
        };
        for header in response.headers.iter() {
            let known = match header.name.len() {
                10 if header.name.eq_ignore_ascii_case("request-id") => &mut head.id,
                14 if header.name.eq_ignore_ascii_case("content-length") => &mut head.length,
                17 if header.name.eq_ignore_ascii_case("transfer-encoding") => &mut head.coding,
                _ => continue,
            };
            if known.replace(header.value).is_some() {
                return None;
            }
        }
        Some(head)
    }

    fn classify(&self, requests: &SentRequests) -> Classification {
        if (100..200).contains(&self.status) {
            // It announces the response that is still to come, or ends all responses.
            return if self.status == 101 {
                Classification::HandOn
            } else {
                Classification::LeaveOut(self.bytes, BodyLength::Bytes(0))
            };
        }
        let Some(id) = self.id else {
            return Classification::HandOn;
        };
        let current = requests.current.as_ref();
        if current.is_some_and(|request| *request.id == *id) {
            return Classification::HandOn;
        }
        let mut earlier = requests.earlier.iter();
        let Some(request) = earlier.find(|request| *request.id == *id) else {
            return Classification::HandOn;
        };
        match self.body_length(request) {
            Some(body) => Classification::LeaveOut(self.bytes, body),
            None => Classification::HandOn,
        }
    }

    /// None: it can't be told where the body ends.
    fn body_length(&self, request: &SentRequest) -> Option<BodyLength> {
        if request.is_head || matches!(self.status, 204 | 304) {
            return Some(BodyLength::Bytes(0));
        }
        match (self.length, self.coding) {
            (Some(length), None) => whole_number(length).map(BodyLength::Bytes),
            (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => {
                Some(BodyLength::CHUNKED)
            }
            _ => None,
        }
    }
}

fn whole_number(digits: &[u8]) -> Option<u64> {
    let digits = std::str::from_utf8(digits)
        .ok()
        .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
    digits?.parse().ok()
}

#[cfg(test)]
mod tests;
