//! A client of the control plane that tries the controllers in turn until one answers conclusively.

use crate::record::{Moment, Record};
use crate::transport::{Connection, Outcome};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST};
use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tinyjson::JsonValue;
use tokio::time::{Instant, sleep};

/// How long one controller may take to answer before the next one is tried.
pub const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(160);

/// A conclusive answer: neither a server error nor a request to retry.
pub struct Reply {
    pub status: u16,
    pub body: Bytes,
    /// When the answered attempt was sent; earlier attempts don't count.
    pub sent: Moment,
    pub received: Moment,
}

impl Reply {
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        field(&self.body, name)?
            .get::<f64>()
            .map(|number| *number as u64)
    }

    pub fn text(&self, name: &str) -> Option<String> {
        field(&self.body, name)?.get::<String>().cloned()
    }

    pub fn list(&self, name: &str) -> Option<Vec<JsonValue>> {
        field(&self.body, name)?.get::<Vec<JsonValue>>().cloned()
    }
}

/// Reads one field of an answer that is a JSON object.
pub fn field(answer: &[u8], name: &str) -> Option<JsonValue> {
    let value: JsonValue = std::str::from_utf8(answer).ok()?.parse().ok()?;
    value
        .get::<HashMap<String, JsonValue>>()?
        .get(name)
        .cloned()
}

/// Sends one call to one controller on a new connection.
pub async fn send_once(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, Bytes)> {
    let deadline = Instant::now() + timeout;
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, to.to_string());
    if !body.is_empty() {
        request = request.header(CONTENT_TYPE, "application/json");
    }
    let request = request
        .header(CONNECTION, "close")
        .body(Full::new(Bytes::from(body.to_owned())))
        .ok()?;
    match Connection::connect(to).await?.send(request, deadline).await {
        Outcome::Complete(answer) => Some((answer.status, answer.body)),
        Outcome::Truncated(_) | Outcome::NoAnswer => None,
    }
}

/// Calls the controllers in turn, with exponential backoff.
pub struct ControlClient {
    controllers: Vec<SocketAddrV4>,
    next: Cell<usize>,
    record: Rc<Record>,
}

impl ControlClient {
    /// `first` is the index of the controller to start with. Every attempt goes to the next controller.
    pub fn new(controllers: Vec<SocketAddrV4>, first: usize, record: Rc<Record>) -> Self {
        Self {
            controllers,
            next: Cell::new(first),
            record,
        }
    }

    fn next(&self) -> Option<SocketAddrV4> {
        let index = self.next.replace(self.next.get().wrapping_add(1));
        self.controllers
            .get(index % self.controllers.len().max(1))
            .copied()
    }

    /// Repeats a call until an answer is conclusive or the deadline passes.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        body: &str,
        deadline: Instant,
    ) -> Option<Reply> {
        self.call_with_timeout(method, path, body, REPLY_TIMEOUT, deadline)
            .await
    }

    pub async fn call_with_timeout(
        &self,
        method: &str,
        path: &str,
        body: &str,
        timeout: Duration,
        deadline: Instant,
    ) -> Option<Reply> {
        let mut delay = RETRY_DELAY;
        loop {
            let controller = self.next()?;
            let sent = self.record.now();
            let answer = send_once(controller, method, path, body, timeout).await;
            let conclusive =
                answer.filter(|(status, _)| *status < 500 && !matches!(status, 408 | 429));
            if let Some((status, body)) = conclusive {
                return Some(Reply {
                    status,
                    body,
                    sent,
                    received: self.record.now(),
                });
            }
            if Instant::now() + delay >= deadline {
                return None;
            }
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }
}
