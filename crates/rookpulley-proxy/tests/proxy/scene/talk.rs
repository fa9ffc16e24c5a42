//! One side of a connection, played by hand: bytes out, whole messages in.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Read at once, at least.
const READ_BYTES: usize = 16 << 10;

pub struct Talk {
    pub stream: TcpStream,
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

pub fn status(back: &str) -> u16 {
    back.split(' ')
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

impl Talk {
    pub fn new(stream: TcpStream) -> Talk {
        stream.set_nodelay(true).unwrap();
        Talk {
            stream,
            bytes: Vec::new(),
        }
    }

    /// Writes as much as the other side takes: whether that is all.
    pub async fn say(&mut self, bytes: impl AsRef<[u8]>) -> bool {
        self.stream.write_all(bytes.as_ref()).await.is_ok()
    }

    /// The next head; none where the connection ends before it is whole.
    pub async fn head(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.bytes.windows(4).position(|four| four == b"\r\n\r\n") {
                return Some(String::from_utf8(self.bytes.drain(..end + 4).collect()).unwrap());
            }
            self.more().await.then_some(())?;
        }
    }

    /// The next message, whole; none where the connection ends before that.
    pub async fn message(&mut self) -> Option<Message> {
        let head = self.head().await?;
        let body = if header(&head, "transfer-encoding").is_some() {
            self.chunks().await?
        } else {
            let length =
                header(&head, "content-length").map_or(0, |length| length.parse().unwrap());
            self.exactly(length).await?
        };
        Some(Message { head, body })
    }

    /// Whether the other side ends the connection in order, with nothing more said.
    pub async fn ends(&mut self) -> bool {
        let ended = self.stream.read_buf(&mut self.bytes).await;
        self.bytes.is_empty() && ended.is_ok_and(|read| read == 0)
    }

    /// Waits until the other side has ended the connection, in order or not, whatever it says before that.
    pub async fn ended(&mut self) {
        while self.more().await {}
    }

    /// What has come, once there is some. Waits for ever where the connection has ended.
    pub async fn some(&mut self) -> Vec<u8> {
        if self.bytes.is_empty() && !self.more().await {
            std::future::pending::<()>().await;
        }
        std::mem::take(&mut self.bytes)
    }

    /// Resets the connection.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.stream);
        socket.set_linger(Some(std::time::Duration::ZERO)).unwrap();
    }

    async fn chunks(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                match self.bytes.windows(2).position(|two| two == b"\r\n") {
                    Some(end) => break end,
                    None => self.more().await.then_some(())?,
                }
            };
            let line = String::from_utf8(self.bytes.drain(..end + 2).collect()).unwrap();
            let length = usize::from_str_radix(line.trim(), 16).unwrap();
            body.extend(self.exactly(length).await?);
            assert_eq!(self.exactly(2).await?, b"\r\n");
            if length == 0 {
                return Some(body);
            }
        }
    }

    pub async fn exactly(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.bytes.len() < length {
            self.more().await.then_some(())?;
        }
        Some(self.bytes.drain(..length).collect())
    }

    async fn more(&mut self) -> bool {
        self.bytes.reserve(READ_BYTES);
        self.stream.read_buf(&mut self.bytes).await.unwrap_or(0) > 0
    }
}
