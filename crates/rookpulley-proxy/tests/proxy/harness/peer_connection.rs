//! A raw connection that sends bytes and receives complete messages.

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The minimum buffer space per read.
const READ_BYTES: usize = 16 << 10;

/// A connection, or one half of it.
pub struct PeerConnection<S = TcpStream> {
    pub stream: S,
    bytes: Vec<u8>,
}

#[derive(Clone, Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    pub fn status(&self) -> u16 {
        status(&self.head)
    }
}

pub fn status(response: &str) -> u16 {
    response
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0)
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

impl PeerConnection {
    pub fn new(stream: TcpStream) -> PeerConnection {
        stream.set_nodelay(true).unwrap();
        PeerConnection::from_reader(stream)
    }

    /// Sends bytes. Returns false if the peer closed the connection before accepting all of them.
    pub async fn send(&mut self, bytes: impl AsRef<[u8]>) -> bool {
        self.stream.write_all(bytes.as_ref()).await.is_ok()
    }

    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.stream);
        socket.set_linger(Some(std::time::Duration::ZERO)).unwrap();
    }
}

impl<S: AsyncRead + Unpin> PeerConnection<S> {
    /// The reading half of a connection.
    pub fn from_reader(stream: S) -> PeerConnection<S> {
        PeerConnection {
            stream,
            bytes: Vec::new(),
        }
    }

    /// Reads the next head, or returns `None` if the connection ends before.
    pub async fn read_head(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.bytes.windows(4).position(|four| four == b"\r\n\r\n") {
                return Some(String::from_utf8(self.bytes.drain(..end + 4).collect()).unwrap());
            }
            self.fill_buffer().await.then_some(())?;
        }
    }

    /// Reads the next message, or returns `None` if the connection ends before.
    pub async fn read_message(&mut self) -> Option<Message> {
        let head = self.read_head().await?;
        let body = if header(&head, "transfer-encoding").is_some() {
            self.read_chunked_body().await?
        } else {
            let length =
                header(&head, "content-length").map_or(0, |length| length.parse().unwrap());
            self.read_exactly(length).await?
        };
        Some(Message { head, body })
    }

    /// Whether the peer closes the connection cleanly without sending anything else.
    pub async fn closes_cleanly(&mut self) -> bool {
        let ended = self.stream.read_buf(&mut self.bytes).await;
        self.bytes.is_empty() && ended.is_ok_and(|read| read == 0)
    }

    /// Waits until the connection is closed or reset, discarding input.
    pub async fn wait_closed(&mut self) {
        while self.fill_buffer().await {}
    }

    /// Returns the received bytes once there are any. Never returns on a closed connection.
    pub async fn read_available(&mut self) -> Vec<u8> {
        if self.bytes.is_empty() && !self.fill_buffer().await {
            std::future::pending::<()>().await;
        }
        std::mem::take(&mut self.bytes)
    }

    async fn read_chunked_body(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                match self.bytes.windows(2).position(|two| two == b"\r\n") {
                    Some(end) => break end,
                    None => self.fill_buffer().await.then_some(())?,
                }
            };
            let line = String::from_utf8(self.bytes.drain(..end + 2).collect()).unwrap();
            let length = usize::from_str_radix(line.trim(), 16).unwrap();
            body.extend(self.read_exactly(length).await?);
            assert_eq!(self.read_exactly(2).await?, b"\r\n");
            if length == 0 {
                return Some(body);
            }
        }
    }

    pub async fn read_exactly(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.bytes.len() < length {
            self.fill_buffer().await.then_some(())?;
        }
        Some(self.bytes.drain(..length).collect())
    }

    async fn fill_buffer(&mut self) -> bool {
        self.bytes.reserve(READ_BYTES);
        self.stream.read_buf(&mut self.bytes).await.unwrap_or(0) > 0
    }
}
