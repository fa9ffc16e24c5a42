//! Reads one complete message at a time from a connection, within the limits. Pipelined bytes stay buffered.

use crate::bounds::{BodyMemory, Bounds, MemoryShare};
use crate::chunks::ChunkDecoder;
use crate::head::{self, Head, Length};
use crate::rejection::Rejection;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The size of one read of a head or of chunk lines.
const READ_BYTES: usize = 4 << 10;
/// The maximum that one read of a body reserves; a sized body longer than this is doubled instead.
const MAX_READ_BYTES: usize = 64 << 10;
/// How long input is drained before a connection is closed: closing with unread input resets it and may lose the reply.
const LINGER: Duration = Duration::from_secs(1);

/// A complete message. Dropping it returns its share of the body memory.
#[derive(Debug)]
pub struct Message {
    pub head: Head,
    pub body: Vec<u8>,
    pub memory: MemoryShare,
}

/// Reads messages from a connection and writes replies to it.
#[derive(Debug)]
pub struct MessageReader<S> {
    stream: S,
    buffer: Vec<u8>,
    bounds: Bounds,
    memory: BodyMemory,
}

impl<S: AsyncRead + AsyncWrite + Unpin> MessageReader<S> {
    pub fn new(stream: S, bounds: Bounds, memory: BodyMemory) -> MessageReader<S> {
        MessageReader {
            stream,
            buffer: Vec::new(),
            bounds,
            memory,
        }
    }

    /// Waits for the first byte of a message; false at the end of the stream. Skips empty lines between messages.
    /// Cancel-safe.
    pub async fn wait_for_message(&mut self) -> bool {
        loop {
            let empty = self
                .buffer
                .chunks_exact(2)
                .take_while(|pair| *pair == b"\r\n")
                .count()
                * 2;
            self.buffer.drain(..empty);
            if !matches!(self.buffer.as_slice(), [] | b"\r") {
                return true;
            }
            if self.buffer.capacity() > 2 * READ_BYTES {
                self.buffer = std::mem::take(&mut self.buffer).as_slice().to_vec();
            }
            if !matches!(self.fill(READ_BYTES).await, Ok(1..)) {
                return false;
            }
        }
    }

    /// Reads one message. After an error the connection can no longer be read.
    pub async fn message(&mut self) -> Result<Message, Rejection> {
        let head = within(self.bounds.head_time, self.head())
            .await
            .ok_or(Rejection::Timeout)??;
        let mut memory = self.memory.share();
        let body = within(self.bounds.body_time, self.body(&head, &mut memory))
            .await
            .ok_or(Rejection::Timeout)??;
        Ok(Message { head, body, memory })
    }

    async fn head(&mut self) -> Result<Head, Rejection> {
        // Parses only after a new line end and when the size has doubled, so that small reads stay cheap.
        let (mut scanned, mut parse_at) = (0, 0);
        loop {
            let unscanned = self.buffer.get(scanned..).unwrap_or_default();
            if self.buffer.len() >= parse_at || unscanned.contains(&b'\n') {
                if let Some((head, length)) = head::read(&self.buffer, self.bounds.head_bytes)? {
                    self.buffer.drain(..length);
                    return Ok(head);
                }
                parse_at = (self.buffer.len() * 2).min(self.bounds.head_bytes);
            }
            scanned = self.buffer.len();
            if !matches!(self.fill(READ_BYTES).await, Ok(1..)) {
                // Bytes that were not parsed yet may contain a more specific error than the early end.
                return head::read(&self.buffer, self.bounds.head_bytes)
                    .and(Err(Rejection::Truncated));
            }
        }
    }

    async fn body(&mut self, head: &Head, memory: &mut MemoryShare) -> Result<Vec<u8>, Rejection> {
        match head.length {
            Length::Bytes(0) => Ok(Vec::new()),
            Length::Bytes(length) if length > self.bounds.body_bytes => Err(Rejection::BodyTooLong),
            Length::Bytes(length) => {
                self.send_continue(head).await?;
                self.sized(length, memory).await
            }
            Length::Chunked => {
                self.send_continue(head).await?;
                self.chunked(memory).await
            }
        }
    }

    /// Sends `100 Continue` if the client waits for it.
    async fn send_continue(&mut self, head: &Head) -> Result<(), Rejection> {
        if head.expects_continue && self.buffer.is_empty() {
            self.stream
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await
                .map_err(|_| Rejection::Truncated)?;
        }
        Ok(())
    }

    async fn sized(
        &mut self,
        length: usize,
        memory: &mut MemoryShare,
    ) -> Result<Vec<u8>, Rejection> {
        let mut body: Vec<u8> = self.buffer.drain(..length.min(self.buffer.len())).collect();
        if !memory.reserve(body.len()) {
            return Err(Rejection::OutOfMemory);
        }
        while body.len() < length {
            let left = length - body.len();
            body.reserve(left.min(MAX_READ_BYTES.max(body.len())));
            let read = (&mut self.stream)
                .take(left as u64)
                .read_buf(&mut body)
                .await;
            let count = read
                .ok()
                .filter(|count| *count > 0)
                .ok_or(Rejection::Truncated)?;
            if !memory.reserve(count) {
                return Err(Rejection::OutOfMemory);
            }
        }
        Ok(body)
    }

    async fn chunked(&mut self, memory: &mut MemoryShare) -> Result<Vec<u8>, Rejection> {
        let mut decoder = ChunkDecoder::new(self.bounds.body_bytes, self.bounds.head_bytes);
        let mut body = Vec::new();
        loop {
            let before = body.len();
            let (consumed, complete) = decoder.read(&self.buffer, &mut body)?;
            self.buffer.drain(..consumed);
            if !memory.reserve(body.len() - before) {
                return Err(Rejection::OutOfMemory);
            }
            if complete {
                return Ok(body);
            }
            if !matches!(
                self.fill(READ_BYTES.max(body.len().min(MAX_READ_BYTES)))
                    .await,
                Ok(1..)
            ) {
                return Err(Rejection::Truncated);
            }
        }
    }

    /// Reads up to about `max_bytes` more into the buffer.
    async fn fill(&mut self, max_bytes: usize) -> io::Result<usize> {
        self.buffer.reserve(max_bytes);
        self.stream.read_buf(&mut self.buffer).await
    }

    /// Whether bytes are buffered that belong to no message read so far.
    pub fn has_more(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Writes a reply; false when that fails or times out.
    pub async fn write(&mut self, bytes: &[u8]) -> bool {
        matches!(
            within(self.bounds.write_time, self.stream.write_all(bytes)).await,
            Some(Ok(()))
        )
    }

    /// Closes the connection after draining input for up to `LINGER`, so that the last reply is not lost in a reset.
    pub async fn end(mut self) {
        let (mut left, mut sink) = (
            self.bounds.body_bytes.max(MAX_READ_BYTES),
            vec![0; READ_BYTES],
        );
        within(LINGER, async {
            _ = self.stream.shutdown().await;
            while let Ok(count @ 1..) = self.stream.read(&mut sink).await
                && left > 0
            {
                left = left.saturating_sub(count);
            }
        })
        .await;
    }
}

/// Applies a time limit to a future. The timer is created only if the future is not ready at once.
pub(crate) async fn within<F: Future>(time: Duration, work: F) -> Option<F::Output> {
    tokio::select! {
        biased;
        done = work => Some(done),
        () = async { tokio::time::sleep(time).await } => None,
    }
}
