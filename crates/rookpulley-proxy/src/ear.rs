//! A client's connection with an ear to it: the parser gets one request at a time, and the sweep hears how it goes.

use crate::span::Span;
use bytes::{Buf, BytesMut};
use rookpulley_routes::Limits;
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep};

/// While the program ends, a connection without a request stays so long: requests on their way still find it.
const LAST_IDLE: Duration = Duration::from_millis(1_500);
/// What a client sent ahead of its turn is held up to this; more stays in the network.
const HELD: usize = 8 << 10;
/// A connection that ends amid what its client sends is heard so long: a reset would take the last answer along.
const LINGER: Duration = Duration::from_secs(1);

/// Where the bytes handed to the parser stand.
#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    /// Between two requests, or before the first.
    Rest,
    Head,
    /// Behind a head, until it is known what follows it.
    Behind,
    Body,
    /// A request is whole: nothing more is handed on until it is answered.
    Whole,
    /// The connection is being ended.
    Over,
}

/// Why a connection is to be ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Due {
    Idle,
    SlowHead,
    /// The client doesn't take what is written.
    Stuck,
}

/// What is known of one client's connection.
pub struct Watch {
    at: Cell<At>,
    /// Where the body of the request at work ends.
    span: Cell<Span>,
    /// Requests that are at work.
    busy: Cell<u32>,
    stirred: Cell<Instant>,
    stuck: Cell<Option<Instant>>,
    /// Something waits that the parser hasn't got.
    waits: Cell<bool>,
    reader: RefCell<Option<Waker>>,
    /// The first line had a fragment in it, which the parser drops unseen.
    pub fragment: Cell<bool>,
    /// What the head took, line ends and all.
    pub head_bytes: Cell<usize>,
    /// It has been asked to make room for another.
    pub leaves: Cell<bool>,
    pub close: Notify,
}

impl Watch {
    pub fn new() -> Watch {
        Watch {
            at: Cell::new(At::Rest),
            span: Cell::new(Span::Length(0)),
            busy: Cell::new(0),
            stirred: Cell::new(Instant::now()),
            stuck: Cell::new(None),
            waits: Cell::new(false),
            reader: RefCell::new(None),
            fragment: Cell::new(false),
            head_bytes: Cell::new(0),
            leaves: Cell::new(false),
            close: Notify::new(),
        }
    }

    /// Nothing of a request or of an answer is here.
    pub fn idle(&self) -> bool {
        self.busy.get() == 0
            && self.at.get() == At::Rest
            && !self.waits.get()
            && self.stuck.get().is_none()
    }

    /// Since when it is idle, or its head comes.
    pub fn stirred(&self) -> Instant {
        self.stirred.get()
    }

    /// Something of an answer hasn't been taken by the client yet.
    pub fn held_up(&self) -> bool {
        self.stuck.get().is_some()
    }

    /// More of the request at work is to come.
    pub fn unread(&self) -> bool {
        self.at.get() == At::Body
    }

    pub fn due(&self, limits: Limits, ending: bool) -> Option<Due> {
        let idle_bound = Duration::from_millis(limits.idle_ms);
        let rests = self.stirred.get().elapsed();
        let in_head = self.busy.get() == 0 && matches!(self.at.get(), At::Head | At::Behind);
        if self
            .stuck
            .get()
            .is_some_and(|since| since.elapsed() > idle_bound)
        {
            Some(Due::Stuck)
        } else if in_head && rests > Duration::from_millis(limits.header_ms) {
            Some(Due::SlowHead)
        } else if self.idle()
            && rests
                > if ending {
                    LAST_IDLE.min(idle_bound)
                } else {
                    idle_bound
                }
        {
            Some(Due::Idle)
        } else {
            None
        }
    }

    /// The parser has read a head, and knows where its body ends.
    pub fn begins(&self, body: Span) {
        self.busy.set(self.busy.get() + 1);
        self.span.set(body);
        self.at.set(if body.done() { At::Whole } else { At::Body });
        self.wake();
    }

    /// The answer has been handed on.
    pub fn ends(&self) {
        self.busy.set(self.busy.get().saturating_sub(1));
        self.stirred.set(Instant::now());
        if self.at.get() == At::Whole {
            self.at.set(At::Rest);
        }
        self.wake();
    }

    fn body_is_whole(&self) {
        self.at.set(if self.busy.get() > 0 {
            At::Whole
        } else {
            At::Rest
        });
    }

    fn head_begins(&self) {
        self.at.set(At::Head);
        self.stirred.set(Instant::now());
        self.fragment.set(false);
        self.head_bytes.set(0);
    }

    /// What waits may be handed on now: who reads is told.
    fn wake(&self) {
        if self.waits.get()
            && let Some(reader) = self.reader.borrow_mut().take()
        {
            reader.wake();
        }
    }

    fn wrote(&self, written: &Poll<std::io::Result<usize>>) {
        match written {
            Poll::Ready(_) => self.stuck.set(None),
            Poll::Pending if self.stuck.get().is_none() => self.stuck.set(Some(Instant::now())),
            Poll::Pending => {}
        }
    }
}

/// Where in a head the bytes stand.
#[derive(Clone, Copy, PartialEq)]
enum Line {
    /// Before the first byte that counts; empty lines may come before it.
    Before,
    First,
    Later,
    Start,
    StartReturn,
}

impl Line {
    /// Reads on: how many bytes up to the head's end, if it is here.
    fn read(&mut self, bytes: &[u8], watch: &Watch) -> Option<usize> {
        let mut read = 0;
        if *self == Line::Before {
            read = bytes
                .iter()
                .position(|byte| !matches!(byte, b'\r' | b'\n'))?;
            watch.head_begins();
            *self = Line::First;
        }
        let (from, mut end) = (read, None);
        while end.is_none()
            && let Some(rest @ [first, ..]) = bytes.get(read..)
        {
            let used = match (*self, first) {
                (Line::Start | Line::StartReturn, b'\n') => {
                    *self = Line::Before;
                    end = Some(read + 1);
                    1
                }
                (Line::Start, b'\r') => {
                    *self = Line::StartReturn;
                    1
                }
                _ => {
                    let feed = rest.iter().position(|&byte| byte == b'\n');
                    let line = rest.get(..feed.unwrap_or(rest.len())).unwrap_or_default();
                    if *self == Line::First && line.contains(&b'#') {
                        watch.fragment.set(true);
                    }
                    match feed {
                        Some(_) => *self = Line::Start,
                        None if *self != Line::First => *self = Line::Later,
                        None => {}
                    }
                    feed.map_or(rest.len(), |feed| feed + 1)
                }
            };
            read += used;
        }
        watch.head_bytes.set(watch.head_bytes.get() + read - from);
        end
    }
}

/// How far the end of a connection is.
enum End {
    Open,
    Closing { lingers: bool },
    Lingering(Pin<Box<Sleep>>),
}

pub struct Ear<S = TcpStream> {
    stream: S,
    watch: Rc<Watch>,
    line: Line,
    held: BytesMut,
    /// The client has ended its side, behind what is held.
    gone: bool,
    end: End,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Ear<S> {
    pub fn new(stream: S, watch: Rc<Watch>) -> Ear<S> {
        Ear {
            stream,
            watch,
            line: Line::Before,
            held: BytesMut::new(),
            gone: false,
            end: End::Open,
        }
    }

    /// Hands on bytes that came, up to where `most` says that they belong together; the rest is held.
    fn hand_on(
        &mut self,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
        most: impl FnOnce(&mut Self, &[u8]) -> usize,
    ) -> Poll<std::io::Result<()>> {
        let before = into.filled().len();
        if !self.held.is_empty() {
            let mut held = std::mem::take(&mut self.held);
            let here = held.len().min(into.remaining());
            let bytes = held.get(..here).unwrap_or_default();
            let used = most(self, bytes).min(here);
            into.put_slice(bytes.get(..used).unwrap_or_default());
            held.advance(used);
            self.held = held;
        } else if !self.gone {
            ready!(Pin::new(&mut self.stream).poll_read(context, into))?;
            let came = into.filled().get(before..).unwrap_or_default();
            let used = most(self, came).min(came.len());
            self.held
                .extend_from_slice(came.get(used..).unwrap_or_default());
            into.set_filled(before + used);
        }
        Poll::Ready(Ok(()))
    }

    /// Listens without handing anything on. An end is handed on if nothing stands before it.
    fn hold(&mut self, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        while !self.gone && self.held.len() < HELD {
            let mut piece = [0; 2 << 10];
            let mut came = ReadBuf::new(&mut piece);
            let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(context, &mut came) else {
                break;
            };
            read?;
            self.held.extend_from_slice(came.filled());
            self.gone = came.filled().is_empty();
            if self.gone && self.held.is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
        let mut reader = self.watch.reader.borrow_mut();
        if !reader
            .as_ref()
            .is_some_and(|reader| reader.will_wake(context.waker()))
        {
            *reader = Some(context.waker().clone());
        }
        Poll::Pending
    }

    fn read_on(
        &mut self,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        match self.watch.at.get() {
            At::Rest | At::Head => self.hand_on(context, into, |ear, bytes| {
                let end = ear.line.read(bytes, &ear.watch);
                if end.is_some() {
                    ear.watch.at.set(At::Behind);
                }
                end.unwrap_or(bytes.len())
            }),
            At::Behind | At::Whole => self.hold(context),
            At::Body => self.hand_on(context, into, |ear, bytes| {
                let mut span = ear.watch.span.get();
                let used = span.take(bytes);
                ear.watch.span.set(span);
                if span.done() {
                    ear.watch.body_is_whole();
                }
                used
            }),
            At::Over => Poll::Ready(Ok(())),
        }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncRead for Ear<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let read = self.read_on(context, into);
        self.watch.waits.set(!self.held.is_empty() || self.gone);
        read
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Ear<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.watch.wrote(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.watch.wrote(&written);
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
            match &mut self.end {
                End::Open => {
                    let lingers =
                        !self.gone && (self.watch.at.get() != At::Rest || !self.held.is_empty());
                    self.watch.at.set(At::Over);
                    self.end = End::Closing { lingers };
                }
                End::Closing { lingers } => {
                    let lingers = *lingers;
                    ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
                    if !lingers {
                        return Poll::Ready(Ok(()));
                    }
                    self.end = End::Lingering(Box::pin(sleep(LINGER)));
                }
                End::Lingering(time) => {
                    if time.as_mut().poll(context).is_ready() {
                        return Poll::Ready(Ok(()));
                    }
                    let mut piece = [0; 8 << 10];
                    let mut came = ReadBuf::new(&mut piece);
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
