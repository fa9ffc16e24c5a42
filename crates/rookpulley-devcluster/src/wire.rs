//! One HTTP/1.1 connection as a caller has it, and one exchange on it.

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

/// A new connection gets so long to come up.
const COMES_UP: Duration = Duration::from_secs(1);
const ANSWER_MOST: usize = 4 << 20;

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

/// What became of a request that was handed to a connection.
pub enum Outcome {
    Whole(Answer),
    /// The answer began and did not come to its end.
    CutOff(u16),
    Nothing,
}

pub struct Line {
    sender: SendRequest<Full<Bytes>>,
    work: JoinHandle<()>,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.work.abort();
    }
}

impl Line {
    pub async fn dial(to: SocketAddrV4) -> Option<Line> {
        let stream = timeout(COMES_UP, TcpStream::connect(to)).await.ok()?.ok()?;
        _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        let work = spawn_local(async move { _ = connection.await });
        Some(Line { sender, work })
    }

    /// Whether another request may go this way.
    pub fn open(&self) -> bool {
        !self.sender.is_closed()
    }

    pub async fn ask(&mut self, request: Request<Full<Bytes>>, until: Instant) -> Outcome {
        let begun = async {
            self.sender.ready().await.ok()?;
            self.sender.send_request(request).await.ok()
        };
        match timeout_at(until, begun).await {
            Ok(Some(response)) => read(response, until).await,
            Ok(None) | Err(_) => Outcome::Nothing,
        }
    }
}

async fn read(response: Response<hyper::body::Incoming>, until: Instant) -> Outcome {
    let (head, body) = response.into_parts();
    let status = head.status.as_u16();
    match timeout_at(until, Limited::new(body, ANSWER_MOST).collect()).await {
        Ok(Ok(body)) => Outcome::Whole(Answer {
            status,
            headers: head.headers,
            body: body.to_bytes(),
        }),
        Ok(Err(_)) | Err(_) => Outcome::CutOff(status),
    }
}
