//! Takes one message at a time off a connection, complete and within bounds; what follows it stays for the next.

use crate::bounds::{BodyMemory, Bounds, MemoryShare};
use crate::chunks::ChunkDecoder;
use crate::head::{self, Head, Length};
use crate::refusal::Refusal;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// What one read asks for while lines are read; most messages fit.
const READ_BYTES: usize = 4 << 10;
/// What one read of a body asks for at most, beyond doubling what is there.
const MAX_READ_BYTES: usize = 64 << 10;
/// How long a connection that ends is listened to, so that its last answer isn't lost with a reset.
const LINGER: Duration = Duration::from_secs(1);

/// A message that is whole. Its share of the memory for bodies goes back when it is dropped.
#[derive(Debug)]
pub struct Message {
    pub head: Head,
    pub body: Vec<u8>,
    pub memory: MemoryShare,
}

/// The reading and writing end of one connection.
#[derive(Debug)]
pub struct MessageReader<S> {
    stream: S,
    held: Vec<u8>,
    bounds: Bounds,
    memory: BodyMemory,
}

impl<S: AsyncRead + AsyncWrite + Unpin> MessageReader<S> {
    pub fn new(stream: S, bounds: Bounds, memory: BodyMemory) -> MessageReader<S> {
        MessageReader {
            stream,
            held: Vec::new(),
            bounds,
            memory,
        }
    }

    /// Waits until a message begins; false when none will. Empty lines between messages are dropped.
    /// Nothing is lost when this is given up.
    pub async fn wait_for_message(&mut self) -> bool {
        loop {
            let empty = self
                .held
                .chunks_exact(2)
                .take_while(|pair| *pair == b"\r\n")
                .count()
                * 2;
            self.held.drain(..empty);
            if !matches!(self.held.as_slice(), [] | b"\r") {
                return true;
            }
            if self.held.capacity() > 2 * READ_BYTES {
                self.held = std::mem::take(&mut self.held).as_slice().to_vec();
            }
            if !matches!(self.fill(READ_BYTES).await, Ok(1..)) {
                return false;
            }
        }
    }

    /// Reads one message. After a refusal nothing more can be read here.
    pub async fn message(&mut self) -> Result<Message, Refusal> {
        let head = within(self.bounds.head_time, self.head())
            .await
            .ok_or(Refusal::Slow)??;
        let mut memory = self.memory.share();
        let body = within(self.bounds.body_time, self.body(&head, &mut memory))
            .await
            .ok_or(Refusal::Slow)??;
        Ok(Message { head, body, memory })
    }

    async fn head(&mut self) -> Result<Head, Refusal> {
        // A head that comes in small pieces is parsed where it ends and after each doubling, so that those cost little.
        let (mut seen, mut parse_at) = (0, 0);
        loop {
            let fresh = self.held.get(seen..).unwrap_or_default();
            if self.held.len() >= parse_at || fresh.contains(&b'\n') {
                if let Some((head, length)) = head::read(&self.held, self.bounds.head_bytes)? {
                    self.held.drain(..length);
                    return Ok(head);
                }
                parse_at = (self.held.len() * 2).min(self.bounds.head_bytes);
            }
            seen = self.held.len();
            if !matches!(self.fill(READ_BYTES).await, Ok(1..)) {
                // What has not been parsed yet may tell more than that it is cut.
                return head::read(&self.held, self.bounds.head_bytes).and(Err(Refusal::Cut));
            }
        }
    }

    async fn body(&mut self, head: &Head, memory: &mut MemoryShare) -> Result<Vec<u8>, Refusal> {
        match head.length {
            Length::Bytes(0) => Ok(Vec::new()),
            Length::Bytes(length) if length > self.bounds.body_bytes => Err(Refusal::LongBody),
            Length::Bytes(length) => {
                self.send_continue(head).await?;
                self.plain(length, memory).await
            }
            Length::Chunked => {
                self.send_continue(head).await?;
                self.chunked(memory).await
            }
        }
    }

    /// Asks for a body that its caller holds back.
    async fn send_continue(&mut self, head: &Head) -> Result<(), Refusal> {
        if head.expects_continue && self.held.is_empty() {
            self.stream
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await
                .map_err(|_| Refusal::Cut)?;
        }
        Ok(())
    }

    async fn plain(&mut self, length: usize, memory: &mut MemoryShare) -> Result<Vec<u8>, Refusal> {
        let mut body: Vec<u8> = self.held.drain(..length.min(self.held.len())).collect();
        if !memory.take(body.len()) {
            return Err(Refusal::NoRoom);
        }
        while body.len() < length {
            let left = length - body.len();
            body.reserve(left.min(MAX_READ_BYTES.max(body.len())));
            let got = (&mut self.stream)
                .take(left as u64)
                .read_buf(&mut body)
                .await;
            let got = got.ok().filter(|got| *got > 0).ok_or(Refusal::Cut)?;
            if !memory.take(got) {
                return Err(Refusal::NoRoom);
            }
        }
        Ok(body)
    }

    async fn chunked(&mut self, memory: &mut MemoryShare) -> Result<Vec<u8>, Refusal> {
        let mut chunks = ChunkDecoder::new(self.bounds.body_bytes, self.bounds.head_bytes);
        let mut body = Vec::new();
        loop {
            let before = body.len();
            let (used, whole) = chunks.read(&self.held, &mut body)?;
            self.held.drain(..used);
            if !memory.take(body.len() - before) {
                return Err(Refusal::NoRoom);
            }
            if whole {
                return Ok(body);
            }
            if !matches!(
                self.fill(READ_BYTES.max(body.len().min(MAX_READ_BYTES)))
                    .await,
                Ok(1..)
            ) {
                return Err(Refusal::Cut);
            }
        }
    }

    async fn fill(&mut self, max_bytes: usize) -> io::Result<usize> {
        self.held.reserve(max_bytes);
        self.stream.read_buf(&mut self.held).await
    }

    /// More has come than the messages taken.
    pub fn has_more(&self) -> bool {
        !self.held.is_empty()
    }

    /// Writes an answer; false when the caller doesn't take it.
    pub async fn write(&mut self, bytes: &[u8]) -> bool {
        matches!(
            within(self.bounds.write_time, self.stream.write_all(bytes)).await,
            Some(Ok(()))
        )
    }

    /// Ends the connection so that the last answer arrives: what still comes is read and dropped for a moment.
    pub async fn end(mut self) {
        let (mut left, mut sink) = (
            self.bounds.body_bytes.max(MAX_READ_BYTES),
            vec![0; READ_BYTES],
        );
        within(LINGER, async {
            _ = self.stream.shutdown().await;
            while let Ok(got @ 1..) = self.stream.read(&mut sink).await
                && left > 0
            {
                left = left.saturating_sub(got);
            }
        })
        .await;
    }
}

/// Runs work within a time. The clock is read only if the work has to wait.
pub(crate) async fn within<F: Future>(time: Duration, work: F) -> Option<F::Output> {
    tokio::select! {
        biased;
        done = work => Some(done),
        () = async { tokio::time::sleep(time).await } => None,
    }
}
