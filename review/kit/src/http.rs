//! A small HTTP/1.1 client and the reading side of a server, over blocking sockets.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message that was read: the first line split in three, headers with names in lower case, and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub second: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.second.parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

fn failure(what: &str) -> std::io::Error {
    std::io::Error::new(ErrorKind::InvalidData, what.to_owned())
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(to: SocketAddr, within: Duration) -> std::io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&to, within)?))
    }

    /// Reads some bytes into the buffer. 0: the peer has ended the connection in order.
    pub fn fill(&mut self, until: Instant) -> std::io::Result<usize> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut chunk = [0; 16 << 10];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read)
    }

    /// Reads a head. None: the connection has ended between messages.
    pub fn head(&mut self, until: Instant) -> std::io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&head).into_owned();
                let mut lines = text.split("\r\n");
                let mut words = lines.next().unwrap_or("").splitn(3, ' ');
                let mut message = Message {
                    first: words.next().unwrap_or("").to_owned(),
                    second: words.next().unwrap_or("").to_owned(),
                    ..Message::default()
                };
                for line in lines {
                    if let Some((name, value)) = line.split_once(':') {
                        let name = name.trim().to_ascii_lowercase();
                        message.headers.push((name, value.trim().to_owned()));
                    }
                }
                return Ok(Some(message));
            }
            if self.fill(until)? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(failure("a head broke off"))
                };
            }
        }
    }

    /// Reads the body that belongs to `head`.
    pub fn body(
        &mut self,
        head: &Message,
        is_response: bool,
        until: Instant,
    ) -> std::io::Result<Vec<u8>> {
        let is_chunked = head
            .header("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"));
        if is_chunked {
            return self.chunks(until);
        }
        match head
            .header("content-length")
            .and_then(|value| value.parse::<usize>().ok())
        {
            Some(length) => {
                while self.buffer.len() < length {
                    if self.fill(until)? == 0 {
                        return Err(failure("a body broke off"));
                    }
                }
                Ok(self.buffer.drain(..length).collect())
            }
            None if is_response => {
                while self.fill(until)? > 0 {}
                Ok(std::mem::take(&mut self.buffer))
            }
            None => Ok(Vec::new()),
        }
    }

    fn line(&mut self, until: Instant) -> std::io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill(until)? == 0 {
                return Err(failure("a chunk broke off"));
            }
        }
    }

    fn chunks(&mut self, until: Instant) -> std::io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.line(until)?;
            let digits = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(digits, 16).map_err(|_| failure("no chunk size"))?;
            if size == 0 {
                while !self.line(until)?.is_empty() {}
                return Ok(body);
            }
            while self.buffer.len() < size + 2 {
                if self.fill(until)? == 0 {
                    return Err(failure("a chunk broke off"));
                }
            }
            body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
        }
    }

    /// Reads a whole message.
    pub fn message(
        &mut self,
        is_response: bool,
        until: Instant,
    ) -> std::io::Result<Option<Message>> {
        let Some(mut head) = self.head(until)? else {
            return Ok(None);
        };
        head.body = self.body(&head, is_response, until)?;
        Ok(Some(head))
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream
            .set_write_timeout(Some(Duration::from_secs(5)))?;
        self.stream.write_all(bytes)
    }
}

/// The bytes of a request with a body of known length.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method != "GET" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a new connection and reads its response.
pub fn call(
    to: SocketAddr,
    within: Duration,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<Message> {
    let until = Instant::now() + within;
    let mut connection = Connection::open(to, within)?;
    connection.write(&request(method, target, headers, body))?;
    connection
        .message(true, until)?
        .ok_or_else(|| failure("no response"))
}

/// Calls `controlPlane` with a JSON body.
pub fn control(
    to: SocketAddr,
    within: Duration,
    method: &str,
    path: &str,
    body: &str,
) -> std::io::Result<Message> {
    let host = to.to_string();
    let headers = [
        ("Host", host.as_str()),
        ("Content-Type", "application/json"),
        ("Connection", "close"),
    ];
    call(to, within, method, path, &headers, body.as_bytes())
}

/// A number in a flat JSON text.
pub fn number(text: &str, field: &str) -> Option<u64> {
    let at = text.find(&format!("\"{field}\""))?;
    let rest = text[at + field.len() + 2..].trim_start_matches([':', ' ']);
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
