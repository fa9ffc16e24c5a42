//! A connection between two processes, with a bounded send queue and a timeout for a silent peer.

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

/// The TCP user timeout: a connection is closed when sent data stays unacknowledged for this long.
pub const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Connection attempts per `connect`. More of them reach a peer sooner that has just begun to listen, at the cost of a
/// few system calls each.
const CONNECT_ATTEMPTS: u32 = 4;
/// The capacity of the send queue. A peer too slow to keep it from filling is disconnected and has to reconnect.
const MAX_WAITING: usize = 1_024;
/// Queued messages are written in batches of about this size.
const MAX_WRITE_BYTES: usize = 64 << 10;
const READ_BYTES: usize = 16 << 10;

/// Sets `TCP_NODELAY` and the TCP user timeout.
pub fn configure(stream: &impl AsFd, user_timeout: Duration) {
    let socket = socket2::SockRef::from(stream);
    // Failures are ignored: the connection works without these options.
    _ = socket.set_tcp_nodelay(true);
    _ = socket.set_tcp_user_timeout(Some(user_timeout));
}

/// Listens with `SO_REUSEADDR`, so that a restarted process can bind the address of its predecessor.
pub fn listen(at: SocketAddr, backlog: u32) -> std::io::Result<tokio::net::TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(backlog)
}

/// Opens a connection, with several attempts, within a time limit.
pub async fn connect(to: SocketAddr, within: Duration) -> std::io::Result<TcpStream> {
    let stream = first_to_succeed(within, || TcpStream::connect(to)).await?;
    configure(&stream, USER_TIMEOUT);
    Ok(stream)
}

/// Starts attempts at even intervals within a time limit until one succeeds, and drops the others.
///
/// A single attempt is not enough while machines restart: the first SYN to a machine that is still down is lost and
/// retransmitted only after a second, and a process that is still starting refuses the connection.
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

/// The sending half of a connection. Sending never blocks: a full queue means that the connection has to be closed.
#[derive(Clone)]
pub struct Outbox {
    queue: mpsc::Sender<Vec<u8>>,
}

impl Outbox {
    /// Queues a message. False: the connection has ended or the queue is full, and the owner has to drop the outbox.
    pub fn send<T: Serialize>(&self, message: &T) -> bool {
        self.send_framed(encode_frame(message))
    }

    /// Like `send`, for bytes that were framed once for many connections.
    pub fn send_framed(&self, bytes: Vec<u8>) -> bool {
        self.queue.try_send(bytes).is_ok()
    }
}

/// Why a connection ended. The text completes a log line that begins with "the connection to X".
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// A write failed.
    WriteFailed,
    /// The outbox was dropped.
    Dropped,
    /// Nothing was received within the timeout.
    Silent,
    /// The peer closed it, or a read failed.
    Closed,
    /// An invalid message was received.
    Malformed,
}

impl fmt::Display for ConnectionEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Self::WriteFailed => "failed on write",
            Self::Dropped => "was closed by this side",
            Self::Silent => "timed out",
            Self::Closed => "was closed by the peer",
            Self::Malformed => "received an invalid message",
        })
    }
}

/// Runs a connection until either side closes it: received messages go to `take`, those queued in the outbox are sent.
///
/// `open` receives the outbox before anything is read. The connection ends when nothing is received for
/// `silence_timeout`. None: the peer may stay silent, and failing writes reveal its loss.
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
