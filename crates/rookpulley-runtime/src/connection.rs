//! A connection between two of our programs: bounded in what waits, ended when the other side falls silent.

use rookpulley_protocol::{FrameDecoder, encode_frame};
use serde::{Serialize, de::DeserializeOwned};
use std::fmt;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// Data that the other side hasn't acknowledged for so long ends the connection, however silent the network is.
pub const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);
/// Attempts of one `connect`. With more of them a machine that begins to listen is reached sooner, and each one costs a
/// process a few system calls.
const CONNECT_ATTEMPTS: u32 = 4;
/// How many messages may wait for one peer. A peer that reads more slowly is disconnected and starts anew.
const MAX_WAITING: usize = 1_024;
/// Messages that wait are written together, up to so many bytes.
const MAX_WRITE_BYTES: usize = 64 << 10;
const READ_BYTES: usize = 16 << 10;

/// Sets what every socket of ours has: no delay, and an end when the other side acknowledges nothing.
pub fn configure(stream: &impl AsFd, unacknowledged: Duration) {
    let socket = socket2::SockRef::from(stream);
    // Without these a connection still works, only worse.
    _ = socket.set_tcp_nodelay(true);
    _ = socket.set_tcp_user_timeout(Some(unacknowledged));
}

/// Listens at an address that a process before us may just have left.
pub fn listen(at: SocketAddr, backlog: u32) -> std::io::Result<tokio::net::TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(backlog)
}

/// Opens a connection within a time.
pub async fn connect(to: SocketAddr, within: Duration) -> std::io::Result<TcpStream> {
    let stream = first_to_succeed(within, || TcpStream::connect(to)).await?;
    configure(&stream, UNACKNOWLEDGED);
    Ok(stream)
}

/// Begins attempts one after the other, evenly spread over a time, until one succeeds. All that are left are dropped.
///
/// A single attempt is not enough after a loss of power: its first packet is lost where the other machine isn't running
/// yet, and the system sends it again only after a second. One that is refused meets a process that is just starting.
async fn first_to_succeed<T, F>(
    within: Duration,
    mut attempt: impl FnMut() -> F,
) -> std::io::Result<T>
where
    T: Send + 'static,
    F: Future<Output = std::io::Result<T>> + Send + 'static,
{
    let mut attempts = JoinSet::new();
    let mut begun = 0;
    let mut failure = std::io::Error::from(std::io::ErrorKind::TimedOut);
    let mut begin = tokio::time::interval(within / CONNECT_ATTEMPTS);
    let deadline = tokio::time::sleep(within);
    tokio::pin!(deadline);
    while begun < CONNECT_ATTEMPTS || !attempts.is_empty() {
        tokio::select! {
            _ = begin.tick(), if begun < CONNECT_ATTEMPTS => {
                attempts.spawn(attempt());
                begun += 1;
            }
            Some(ended) = attempts.join_next() => match ended {
                Ok(Ok(connected)) => return Ok(connected),
                Ok(Err(why)) => failure = why,
                Err(why) => failure = why.into(),
            },
            () = &mut deadline => break,
        }
    }
    Err(failure)
}

/// The writing end of a connection. Sending never waits: where too much waits already the connection ends.
#[derive(Clone)]
pub struct Outbox {
    queue: mpsc::Sender<Vec<u8>>,
}

impl Outbox {
    /// False: the connection has ended, or must. Its owner drops the outbox then.
    pub fn send<T: Serialize>(&self, message: &T) -> bool {
        self.send_framed(encode_frame(message))
    }

    /// The same for bytes framed once for many connections.
    pub fn send_framed(&self, bytes: Vec<u8>) -> bool {
        self.queue.try_send(bytes).is_ok()
    }
}

/// Why a connection has ended. Its text goes on in a sentence of the log: "the connection to X ...".
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// Writing failed.
    WriteFailed,
    /// Its outbox was dropped.
    Dropped,
    /// Nothing came for too long.
    Silent,
    /// The other side has closed it.
    Closed,
    /// What came is no message.
    Malformed,
}

impl fmt::Display for ConnectionEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Self::WriteFailed => "can't be written",
            Self::Dropped => "is no longer wanted",
            Self::Silent => "fell silent",
            Self::Closed => "was ended by the other side",
            Self::Malformed => "brought what is no message",
        })
    }
}

/// Runs a connection until either side ends it: what comes is handed to `take`, what the outbox is given is written.
///
/// The caller gets the outbox first, through `open`. Silence of `silence_timeout` ends it. None: the other side need not
/// say anything, and what we write to it shows whether it is there.
pub async fn run<T: DeserializeOwned>(
    stream: TcpStream,
    silence_timeout: Option<Duration>,
    open: impl FnOnce(Outbox),
    take: impl FnMut(T),
) -> ConnectionEnd {
    let (queue, waiting) = mpsc::channel::<Vec<u8>>(MAX_WAITING);
    open(Outbox { queue });
    let (reader, writer) = stream.into_split();
    tokio::select! {
        end = write(writer, waiting) => end,
        end = read(reader, silence_timeout, take) => end,
    }
}

async fn write(mut writer: OwnedWriteHalf, mut waiting: mpsc::Receiver<Vec<u8>>) -> ConnectionEnd {
    while let Some(mut bytes) = waiting.recv().await {
        while bytes.len() < MAX_WRITE_BYTES
            && let Ok(more) = waiting.try_recv()
        {
            bytes.extend_from_slice(&more);
        }
        if writer.write_all(&bytes).await.is_err() {
            return ConnectionEnd::WriteFailed;
        }
    }
    ConnectionEnd::Dropped
}

async fn read<T: DeserializeOwned>(
    mut reader: OwnedReadHalf,
    silence_timeout: Option<Duration>,
    mut take: impl FnMut(T),
) -> ConnectionEnd {
    let mut frames = FrameDecoder::default();
    let mut chunk = vec![0; READ_BYTES];
    loop {
        let reading = reader.read(&mut chunk);
        let read = match silence_timeout {
            Some(timeout) => match tokio::time::timeout(timeout, reading).await {
                Ok(read) => read,
                Err(_) => return ConnectionEnd::Silent,
            },
            None => reading.await,
        };
        let length = match read {
            Err(_) | Ok(0) => return ConnectionEnd::Closed,
            Ok(length) => length,
        };
        frames.push(&chunk[..length]);
        loop {
            match frames.decode_next::<T>() {
                Ok(Some(message)) => take(message),
                Ok(None) => break,
                Err(_) => return ConnectionEnd::Malformed,
            }
        }
    }
}

#[cfg(test)]
mod tests;
