//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

/// A message head: the first line, and the header fields with names in lower case.
#[derive(Clone, Debug)]
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> Option<u16> {
        self.line.split(' ').nth(1)?.parse().ok()
    }

    /// The path of a request, without the query.
    pub fn path(&self) -> &str {
        let target = self.line.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn length(&self) -> Option<usize> {
        self.field("content-length")?.trim().parse().ok()
    }

    pub fn is_chunked(&self) -> bool {
        self.field("transfer-encoding")
            .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads a head. None: the connection was closed before its first byte.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut fields = Vec::new();
    loop {
        let mut field = String::new();
        if from.read_line(&mut field)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let field = field.trim_end();
        if field.is_empty() {
            break;
        }
        let (name, value) = field
            .split_once(':')
            .ok_or_else(|| invalid("a field without a colon"))?;
        fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let line = line.trim_end().to_owned();
    Ok(Some(Head { line, fields }))
}

/// Reads a body that comes with a length or in chunks. An error: it ended early. `unframed`: without either, the body ends
/// with the connection, as that of an answer; else there is none, as in a request.
pub fn read_body(from: &mut impl BufRead, head: &Head, unframed: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        loop {
            let mut size = String::new();
            if from.read_line(&mut size)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| invalid("a chunk"))?;
            let start = body.len();
            body.resize(start + size, 0);
            from.read_exact(&mut body[start..])?;
            let mut end = String::new();
            if from.read_line(&mut end)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if size == 0 {
                return Ok(body);
            }
        }
    }
    match head.length() {
        Some(length) => {
            body.resize(length, 0);
            from.read_exact(&mut body)?;
        }
        None if unframed => _ = from.read_to_end(&mut body)?,
        None => {}
    }
    Ok(body)
}

/// A whole answer.
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
}

/// Sends one request on a new connection and reads the whole answer.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    within: Duration,
) -> io::Result<Answer> {
    let stream = TcpStream::connect_timeout(&to.into(), within)?;
    stream.set_read_timeout(Some(within))?;
    stream.set_write_timeout(Some(within))?;
    stream.set_nodelay(true)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !fields
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        text += &format!("Host: {to}\r\n");
    }
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!(
        "Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes)?;
    let mut reader = BufReader::new(&stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = head.status().ok_or_else(|| invalid("no status"))?;
    let body = read_body(&mut reader, &head, true)?;
    Ok(Answer { status, head, body })
}

/// Reads and drops what comes until the connection ends.
pub fn drain(mut from: impl Read) {
    let mut buffer = [0; 16 << 10];
    while matches!(from.read(&mut buffer), Ok(1..)) {}
}
