//! A client-side HTTP/1.1 connection that carries one exchange at a time.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, timeout, timeout_at};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_ANSWER_BYTES: usize = 4 << 20;

pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn header(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// The outcome of one exchange.
pub enum Outcome {
    Complete(Answer),
    /// The head of an answer arrived, but not its whole body.
    Truncated(u16),
    NoAnswer,
}

/// A connection whose driver task is aborted on drop.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    pub async fn connect(address: SocketAddrV4) -> Option<Connection> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .ok()?
            .ok()?;
        _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        let driver = spawn_local(async move { _ = connection.await });
        Some(Connection { sender, driver })
    }

    /// Whether the connection can carry another request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    pub async fn send(&mut self, request: Request<Full<Bytes>>, deadline: Instant) -> Outcome {
        let response_head = async {
            self.sender.ready().await.ok()?;
            self.sender.send_request(request).await.ok()
        };
        match timeout_at(deadline, response_head).await {
            Ok(Some(response)) => read_answer(response, deadline).await,
            Ok(None) | Err(_) => Outcome::NoAnswer,
        }
    }
}

async fn read_answer(response: Response<hyper::body::Incoming>, deadline: Instant) -> Outcome {
    let (head, body) = response.into_parts();
    let status = head.status.as_u16();
    match timeout_at(deadline, Limited::new(body, MAX_ANSWER_BYTES).collect()).await {
        Ok(Ok(body)) => Outcome::Complete(Answer {
            status,
            headers: head.headers,
            body: body.to_bytes(),
        }),
        Ok(Err(_)) | Err(_) => Outcome::Truncated(status),
    }
}
