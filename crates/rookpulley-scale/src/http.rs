//! Calls to controllers over one kept connection: as much of HTTP/1.1 as heartbeats and orders need.

use std::net::SocketAddrV4;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const READ_BYTES: usize = 4 << 10;

pub struct Connection {
    stream: TcpStream,
}

impl Connection {
    pub async fn open(to: SocketAddrV4) -> std::io::Result<Self> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream })
    }

    /// The answer's status.
    pub async fn put(&mut self, path: &str, body: &str) -> std::io::Result<u16> {
        let head = format!(
            "PUT {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        self.stream.write_all(head.as_bytes()).await?;
        self.stream.write_all(body.as_bytes()).await?;
        self.answer().await
    }

    async fn answer(&mut self) -> std::io::Result<u16> {
        let mut bytes = Vec::new();
        let ends = loop {
            if let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
                break at + 4;
            }
            self.read_more(&mut bytes).await?;
        };
        let head = String::from_utf8_lossy(bytes.get(..ends).unwrap_or_default()).to_lowercase();
        let status = head
            .split_whitespace()
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0);
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
        let length: usize = length.unwrap_or(0);
        while bytes.len() < ends + length {
            self.read_more(&mut bytes).await?;
        }
        Ok(status)
    }

    async fn read_more(&mut self, bytes: &mut Vec<u8>) -> std::io::Result<()> {
        let mut chunk = [0; READ_BYTES];
        match self.stream.read(&mut chunk).await? {
            0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
            read => {
                bytes.extend_from_slice(chunk.get(..read).unwrap_or_default());
                Ok(())
            }
        }
    }
}
