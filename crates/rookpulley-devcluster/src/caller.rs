//! Calls of the control plane: to one controller after another until one gives a clear answer.

use crate::record::{Moment, Record};
use crate::wire::{Line, Outcome};
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

/// A controller that says nothing for so long is passed over.
pub const SILENCE: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(20);
const PAUSE_MOST: Duration = Duration::from_millis(160);

/// A clear answer.
pub struct Reply {
    pub status: u16,
    pub body: Bytes,
    /// Of the call that was answered, not of those before it that weren't.
    pub sent: Moment,
    pub got: Moment,
}

impl Reply {
    pub fn good(&self) -> bool {
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

/// A field of the JSON object that an answer is.
pub fn field(answer: &[u8], name: &str) -> Option<JsonValue> {
    let value: JsonValue = std::str::from_utf8(answer).ok()?.parse().ok()?;
    value
        .get::<HashMap<String, JsonValue>>()?
        .get(name)
        .cloned()
}

/// One call to one controller on a connection of its own.
pub async fn once(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    within: Duration,
) -> Option<(u16, Bytes)> {
    let until = Instant::now() + within;
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
    match Line::dial(to).await?.ask(request, until).await {
        Outcome::Whole(answer) => Some((answer.status, answer.body)),
        Outcome::CutOff(_) | Outcome::Nothing => None,
    }
}

pub struct Caller {
    controllers: Vec<SocketAddrV4>,
    next: Cell<usize>,
    record: Rc<Record>,
}

impl Caller {
    /// `first`: where it begins. Each call goes to another controller than the one before.
    pub fn new(controllers: Vec<SocketAddrV4>, first: usize, record: Rc<Record>) -> Self {
        Self {
            controllers,
            next: Cell::new(first),
            record,
        }
    }

    fn next(&self) -> Option<SocketAddrV4> {
        let place = self.next.replace(self.next.get().wrapping_add(1));
        self.controllers
            .get(place % self.controllers.len().max(1))
            .copied()
    }

    /// Sends the same call until the answer is clear or the time is over.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        body: &str,
        until: Instant,
    ) -> Option<Reply> {
        self.call_within(method, path, body, SILENCE, until).await
    }

    pub async fn call_within(
        &self,
        method: &str,
        path: &str,
        body: &str,
        silence: Duration,
        until: Instant,
    ) -> Option<Reply> {
        let mut pause = PAUSE;
        loop {
            let controller = self.next()?;
            let sent = self.record.now();
            let answer = once(controller, method, path, body, silence).await;
            let clear = answer.filter(|(status, _)| *status < 500 && !matches!(status, 408 | 429));
            if let Some((status, body)) = clear {
                return Some(Reply {
                    status,
                    body,
                    sent,
                    got: self.record.now(),
                });
            }
            if Instant::now() + pause >= until {
                return None;
            }
            sleep(pause).await;
            pause = (pause * 2).min(PAUSE_MOST);
        }
    }
}
