//! A connection to a task with a sieve in it: answers that nobody waits for any more are left out, and it is known
//! whether anything of a request has left.

use crate::span::{Chunks, Span};
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
const LONGEST_HEAD: usize = 64 << 10;

/// The most lines of a head: the parser refuses more, too.
const LINES: usize = 100;

/// Requests of a connection whose answers may still come a second time.
const REMEMBERED: usize = 4;

/// What a connection and those who use it tell each other.
#[derive(Default)]
pub struct Awaited {
    /// The head of an answer is awaited.
    comes: Cell<bool>,
    /// Bytes of the request that the system has taken.
    sent: Cell<u64>,
    /// Before the first byte leaves it is to be looked whether the task has ended the connection.
    look: Cell<bool>,
    asked: RefCell<Asked>,
    /// An answer that had come before was left out: the connection isn't to be used again.
    mixed: Cell<bool>,
}

/// Whose answers may come on a connection.
#[derive(Default)]
struct Asked {
    now: Option<One>,
    before: VecDeque<One>,
}

/// A request. The answer to a HEAD has no body, whatever length it states.
struct One {
    /// A copy of its own: the client's would keep the whole head in memory.
    id: Box<[u8]>,
    head: bool,
}

impl Awaited {
    /// A request goes out. `look`: only if the task hasn't said anything unasked by then.
    pub fn begin(&self, id: &HeaderValue, head: bool, look: bool) {
        let mut asked = self.asked.borrow_mut();
        if let Some(before) = asked.now.replace(One {
            id: id.as_bytes().into(),
            head,
        }) {
            asked.before.truncate(REMEMBERED - 1);
            asked.before.push_front(before);
        }
        self.comes.set(true);
        self.sent.set(0);
        self.look.set(look);
    }

    /// Nothing of the request has left: it can't have run, and won't.
    pub fn unsent(&self) -> bool {
        self.sent.get() == 0
    }

    pub fn mixed(&self) -> bool {
        self.mixed.get()
    }
}

/// What can be looked at without waiting.
pub trait Peer {
    /// It has ended the connection, or said something. What it said is lost.
    fn stirs(&self) -> bool;
}

impl Peer for TcpStream {
    fn stirs(&self) -> bool {
        let socket = socket2::SockRef::from(self);
        !matches!(io::Read::read(&mut &*socket, &mut [0]), Err(why) if why.kind() == io::ErrorKind::WouldBlock)
    }
}

/// What a first answer is.
#[derive(Debug, PartialEq)]
enum Sifted {
    /// The one that is awaited, or what can't be told: the parser judges.
    HandOn,
    /// Its head isn't whole.
    Part,
    /// It came before, and nobody waits for it: its head is so long, and then comes its body.
    LeaveOut(usize, Span),
}

pub struct Sieve<S = TcpStream> {
    stream: S,
    awaited: Rc<Awaited>,
    held: BytesMut,
    /// What is still to come of an answer that is left out.
    leaves: Option<Span>,
    /// Writing has failed amid a request: what the task said before is still to be read.
    deaf: bool,
}

impl<S: AsyncRead + Unpin> Sieve<S> {
    pub fn new(stream: S, awaited: Rc<Awaited>) -> Sieve<S> {
        Sieve {
            stream,
            awaited,
            held: BytesMut::new(),
            leaves: None,
            deaf: false,
        }
    }

    fn sift(&self, bytes: &[u8]) -> Sifted {
        if self.awaited.comes.get() {
            sift(bytes, &self.awaited.asked.borrow())
        } else {
            Sifted::HandOn
        }
    }

    /// Sifts what is held; true when the parser can have it.
    fn sift_held(&mut self) -> io::Result<bool> {
        loop {
            if let Some(span) = &mut self.leaves {
                let used = span.take(&self.held);
                self.held.advance(used);
                if *span == Span::Endless {
                    return Err(io::ErrorKind::InvalidData.into());
                }
                if !span.done() {
                    return Ok(false);
                }
                self.leaves = None;
            }
            match self.sift(&self.held) {
                Sifted::HandOn => return Ok(true),
                Sifted::Part => return Ok(self.held.len() > LONGEST_HEAD),
                Sifted::LeaveOut(head, body) => {
                    self.held.advance(head);
                    self.awaited.mixed.set(true);
                    self.leaves = Some(body);
                }
            }
        }
    }

    fn read_on(
        &mut self,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.held.is_empty() && self.leaves.is_none() {
            let before = into.filled().len();
            ready!(Pin::new(&mut self.stream).poll_read(context, into))?;
            if !self.awaited.comes.get() {
                return Poll::Ready(Ok(()));
            }
            let came = into.filled().get(before..).unwrap_or_default();
            if came.is_empty() || self.sift(came) == Sifted::HandOn {
                self.awaited.comes.set(false);
                return Poll::Ready(Ok(()));
            }
            self.held.extend_from_slice(came);
            into.set_filled(before);
        }
        while self.awaited.comes.get() && !self.sift_held()? {
            let mut piece = [0; 4 << 10];
            let mut came = ReadBuf::new(&mut piece);
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut came))?;
            if came.filled().is_empty() {
                break;
            }
            self.held.extend_from_slice(came.filled());
        }
        self.awaited.comes.set(false);
        let here = self.held.len().min(into.remaining());
        into.put_slice(self.held.get(..here).unwrap_or_default());
        self.held.advance(here);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + AsyncWrite + Peer + Unpin> Sieve<S> {
    /// A try whose first byte hasn't left can still be kept from leaving.
    fn look(&mut self) -> io::Result<()> {
        if self.awaited.look.take() && self.stream.stirs() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// Once a part has left, a failure to write is no end: the task may have answered before it stopped listening.
    fn wrote(
        &mut self,
        written: Poll<io::Result<usize>>,
        length: impl FnOnce() -> usize,
    ) -> Poll<io::Result<usize>> {
        match written {
            Poll::Ready(Ok(bytes)) => {
                self.awaited
                    .sent
                    .set(self.awaited.sent.get() + bytes as u64);
                Poll::Ready(Ok(bytes))
            }
            Poll::Ready(Err(_)) if !self.awaited.unsent() => {
                self.deaf = true;
                Poll::Ready(Ok(length()))
            }
            other => other,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Sieve<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.read_on(context, into)
    }
}

impl<S: AsyncRead + AsyncWrite + Peer + Unpin> AsyncWrite for Sieve<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.deaf {
            return Poll::Ready(Ok(bytes.len()));
        }
        self.look()?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.wrote(written, || bytes.len())
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let length = || slices.iter().map(|slice| slice.len()).sum();
        if self.deaf {
            return Poll::Ready(Ok(length()));
        }
        self.look()?;
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

/// What the bytes of an answer are to the one who waits for his.
fn sift(bytes: &[u8], asked: &Asked) -> Sifted {
    let mut lines = [const { MaybeUninit::uninit() }; LINES];
    let mut head = httparse::Response::new(&mut []);
    let read =
        ParserConfig::default().parse_response_with_uninit_headers(&mut head, bytes, &mut lines);
    let end = match read {
        Ok(Status::Complete(end)) => end,
        Ok(Status::Partial) => return Sifted::Part,
        Err(_) => return Sifted::HandOn,
    };
    let status = head.code.unwrap_or_default();
    let (mut its, mut length, mut coding) = (None, None, None);
    for line in head.headers.iter() {
        let known = match line.name.len() {
            10 if line.name.eq_ignore_ascii_case("request-id") => &mut its,
            14 if line.name.eq_ignore_ascii_case("content-length") => &mut length,
            17 if line.name.eq_ignore_ascii_case("transfer-encoding") => &mut coding,
            _ => continue,
        };
        if known.replace(line.value).is_some() {
            return Sifted::HandOn;
        }
    }
    if (100..200).contains(&status) {
        // It announces the answer that is still to come, or ends all answers.
        return if status == 101 {
            Sifted::HandOn
        } else {
            Sifted::LeaveOut(end, Span::Length(0))
        };
    }
    let again = |its: &[u8]| asked.before.iter().find(|one| *one.id == *its);
    let awaited = its.is_some() && its == asked.now.as_ref().map(|one| &*one.id);
    let Some(one) = its.filter(|_| !awaited).and_then(again) else {
        return Sifted::HandOn;
    };
    let body = match (length, coding) {
        _ if one.head || matches!(status, 204 | 304) => Some(Span::Length(0)),
        (Some(length), None) => whole(length).map(Span::Length),
        (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => {
            Some(Span::Chunks(Chunks::Start))
        }
        _ => None,
    };
    body.map_or(Sifted::HandOn, |body| Sifted::LeaveOut(end, body))
}

fn whole(digits: &[u8]) -> Option<u64> {
    let digits = std::str::from_utf8(digits)
        .ok()
        .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
    digits?.parse().ok()
}

#[cfg(test)]
mod tests;
