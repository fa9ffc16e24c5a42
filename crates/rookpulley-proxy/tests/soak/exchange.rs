//! Sends requests on a connection and tells how the connection ended.

use crate::task::header;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep};

/// Small, so that the proxy has to wait until a client reads.
const RECEIVE_BUFFER: u32 = 32 << 10;
/// How long a reset may follow the end of the stream, if the proxy drains a connection before it closes it.
const RESET_WAIT: Duration = Duration::from_millis(1_300);
const RESET_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A complete answer.
pub struct Answer {
    pub status: u16,
    /// Whether an instance made it.
    pub is_signed: bool,
    pub closes: bool,
    pub body_bytes: usize,
    pub at: Instant,
}

/// How a connection ended instead of a complete answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ended {
    /// Bytes of ours had not been read.
    Reset,
    /// All bytes that were sent had been read.
    AllRead,
}

/// The end of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    pub how: Ended,
    pub at: Instant,
}

/// A client connection.
pub struct Exchange {
    stream: TcpStream,
    received: Vec<u8>,
    /// A write was answered by a reset, which a later read doesn't report.
    is_reset: bool,
}

impl Exchange {
    pub async fn connect(address: std::net::SocketAddrV4) -> Option<Self> {
        let socket = TcpSocket::new_v4().ok()?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER).ok()?;
        let stream = socket.connect(address.into()).await.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self {
            stream,
            received: Vec::new(),
            is_reset: false,
        })
    }

    /// Returns false if the proxy closed the connection before it accepted all bytes.
    pub async fn send(&mut self, bytes: &[u8]) -> bool {
        self.is_reset = self.stream.write_all(bytes).await.is_err();
        !self.is_reset
    }

    /// Reads a complete answer.
    pub async fn read_answer(&mut self) -> Result<Answer, Ending> {
        let head_end = loop {
            if let Some(end) = self
                .received
                .windows(4)
                .position(|four| four == b"\r\n\r\n")
            {
                break end + 4;
            }
            self.fill().await?;
        };
        let head = String::from_utf8_lossy(&self.received[..head_end]).into_owned();
        self.received.drain(..head_end);
        let body_bytes = if header(&head, "transfer-encoding").is_some() {
            self.read_chunks().await?
        } else {
            let length = header(&head, "content-length");
            self.read_bytes(length.map_or(0, |length| length.parse().unwrap()))
                .await?
        };
        let connection = header(&head, "connection").unwrap_or_default();
        Ok(Answer {
            status: head.split(' ').nth(1).unwrap().parse().unwrap(),
            is_signed: header(&head, "response-signature").is_some(),
            closes: connection.eq_ignore_ascii_case("close"),
            body_bytes,
            at: Instant::now(),
        })
    }

    /// Reads and discards so many bytes. Returns their number.
    async fn read_bytes(&mut self, length: usize) -> Result<usize, Ending> {
        while self.received.len() < length {
            self.fill().await?;
        }
        self.received.drain(..length);
        Ok(length)
    }

    /// Reads a body in chunks. Returns its length.
    async fn read_chunks(&mut self) -> Result<usize, Ending> {
        let mut total = 0;
        loop {
            let line_end = loop {
                match self.received.windows(2).position(|two| two == b"\r\n") {
                    Some(end) => break end,
                    None => self.fill().await?,
                }
            };
            let line = String::from_utf8_lossy(&self.received[..line_end]).into_owned();
            self.read_bytes(line_end + 2).await?;
            let length = usize::from_str_radix(&line, 16).unwrap();
            self.read_bytes(length + 2).await?;
            if length == 0 {
                return Ok(total);
            }
            total += length;
        }
    }

    async fn fill(&mut self) -> Result<(), Ending> {
        let read = self.stream.read_buf(&mut self.received).await;
        let at = Instant::now();
        match read {
            Ok(1..) => Ok(()),
            Ok(0) => Err(Ending {
                how: self.how_ended().await,
                at,
            }),
            Err(error) => {
                assert!(matches!(
                    error.kind(),
                    ErrorKind::ConnectionReset | ErrorKind::BrokenPipe
                ));
                let how = Ended::Reset;
                Err(Ending { how, at })
            }
        }
    }

    /// Waits for a reset after the end of the stream: it comes when the socket is closed with bytes that were not read.
    async fn how_ended(&self) -> Ended {
        let until = Instant::now() + RESET_WAIT;
        while Instant::now() < until {
            if self.is_reset || matches!(self.stream.take_error(), Ok(Some(_)) | Err(_)) {
                return Ended::Reset;
            }
            sleep(RESET_CHECK_INTERVAL).await;
        }
        Ended::AllRead
    }
}
