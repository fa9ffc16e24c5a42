//! A connection between two of our programs: bounded in what waits, ended when the other side falls silent.

use rookpulley_protocol::{Frames, frame};
use serde::{Serialize, de::DeserializeOwned};
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;

/// What a peer has not confirmed for so long ends the connection, however silent the network is.
pub const UNHEARD: Duration = Duration::from_millis(2_500);
/// Messages that may wait for one peer. A peer that reads so slowly is cut off and starts anew.
const WAITING: usize = 1_024;

/// Sets what every socket of ours has: no delay, and an end when the other side says nothing.
pub fn tend(stream: &impl AsFd, unheard: Duration) {
    let socket = socket2::SockRef::from(stream);
    _ = socket.set_tcp_nodelay(true);
    _ = socket.set_tcp_user_timeout(Some(unheard));
}

/// Listens at an address that a process before us may just have left.
pub fn listen(at: SocketAddr, backlog: u32) -> std::io::Result<tokio::net::TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(backlog)
}

/// Opens a connection within a time.
pub async fn dial(to: SocketAddr, within: Duration) -> std::io::Result<TcpStream> {
    let late = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream = tokio::time::timeout(within, TcpStream::connect(to))
        .await
        .map_err(late)??;
    tend(&stream, UNHEARD);
    Ok(stream)
}

/// The writing end of a line. Sending never waits: where too much waits already the line ends.
#[derive(Clone)]
pub struct Outbox {
    queue: mpsc::Sender<Vec<u8>>,
}

impl Outbox {
    /// False once the line has ended, or must: then its owner drops it.
    pub fn send<T: Serialize>(&self, value: &T) -> bool {
        self.queue.try_send(frame(value)).is_ok()
    }

    /// The same for bytes framed once for many lines.
    pub fn send_framed(&self, bytes: Vec<u8>) -> bool {
        self.queue.try_send(bytes).is_ok()
    }
}

/// Runs a line until either side ends it: what comes is handed to `take`, what the outbox is given is written.
/// The caller gets the outbox first, through `open`. Silence of `quiet` ends it; None where the other side need not say
/// anything, and what we write to it shows whether it is there.
pub async fn run<T: DeserializeOwned>(
    stream: TcpStream,
    quiet: Option<Duration>,
    open: impl FnOnce(Outbox),
    mut take: impl FnMut(T),
) -> &'static str {
    let (queue, mut waiting) = mpsc::channel::<Vec<u8>>(WAITING);
    open(Outbox { queue });
    let (mut reader, mut writer) = stream.into_split();
    let write = async move {
        while let Some(mut bytes) = waiting.recv().await {
            while bytes.len() < 64 << 10
                && let Ok(more) = waiting.try_recv()
            {
                bytes.extend_from_slice(&more);
            }
            if writer.write_all(&bytes).await.is_err() {
                return "can't be written";
            }
        }
        "is no longer wanted"
    };
    let read = async move {
        let (mut frames, mut chunk) = (Frames::default(), vec![0; 16 << 10]);
        loop {
            let reading = reader.read(&mut chunk);
            let read = match quiet {
                Some(quiet) => match tokio::time::timeout(quiet, reading).await {
                    Ok(read) => read,
                    Err(_) => return "fell silent",
                },
                None => reading.await,
            };
            let got = match read {
                Err(_) | Ok(0) => return "was ended by the other side",
                Ok(got) => got,
            };
            frames.push(&chunk[..got]);
            loop {
                match frames.take::<T>() {
                    Ok(Some(value)) => take(value),
                    Ok(None) => break,
                    Err(_) => return "brought what is no message",
                }
            }
        }
    };
    tokio::select! { why = write => why, why = read => why }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Two ends of a line; who stays silent is ended after its time, and only where it has one.
    async fn ended_after(quiet: Option<Duration>, within: Duration) -> bool {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let there = TcpStream::connect(listener.local_addr().unwrap())
            .await
            .unwrap();
        let (here, _) = listener.accept().await.unwrap();
        let mut kept = None;
        let ended = tokio::time::timeout(
            within,
            run::<u8>(here, quiet, |outbox| kept = Some(outbox), |_| ()),
        )
        .await;
        drop(there);
        ended.is_ok()
    }

    #[tokio::test(start_paused = true)]
    async fn who_need_not_speak_is_not_hung_up_on() {
        let hour = Duration::from_secs(3_600);
        assert!(!ended_after(None, hour).await);
        assert!(ended_after(Some(Duration::from_secs(2)), hour).await);
    }
}
