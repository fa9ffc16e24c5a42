//! A stand-in task: slots with a short queue, answers that can be told from those of every other task.

use crate::record::{Arrival, Given, Moment, Record, digest};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, server::conn::http1};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};

pub const HEALTH: &str = "/health";
pub const MAX_CONNECTIONS: usize = 96;
/// Requests that may wait for a slot.
const QUEUE: usize = 8;
/// For so long after its start a task takes twice as long over each request.
const COLD: Duration = Duration::from_millis(1_500);
const IDLE_S: u64 = 8;
const BODY_MOST: usize = 1 << 20;
const LARGE: usize = 96 << 10;
const PATIENCE: Duration = Duration::from_secs(30);

pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
pub const SIGNATURE: HeaderName = HeaderName::from_static("response-signature");
pub const DEADLINE: HeaderName = HeaderName::from_static("deadline-ms");
const TARGET: HeaderName = HeaderName::from_static("target-instance");
const INSTANCE: HeaderName = HeaderName::from_static("instance-id");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    Available,
    Draining,
    Gone,
}

pub struct Task {
    pub incarnation: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddrV4,
    pub slots: usize,
    pub stage: watch::Sender<Stage>,
    pub record: Rc<Record>,
    born: Moment,
    seats: Semaphore,
    waiting: Cell<usize>,
}

/// Leaves the queue also when its connection is closed meanwhile.
struct InQueue<'a>(&'a Cell<usize>);

impl Drop for InQueue<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl Task {
    pub fn new(
        incarnation: String,
        service: &'static str,
        zone: &'static str,
        address: SocketAddrV4,
        slots: usize,
        record: Rc<Record>,
    ) -> Rc<Self> {
        Rc::new(Self {
            incarnation,
            service,
            zone,
            address,
            slots,
            stage: watch::Sender::new(Stage::Available),
            born: record.now(),
            record,
            seats: Semaphore::new(slots),
            waiting: Cell::new(0),
        })
    }

    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    pub fn cold(&self) -> Duration {
        (self.born + COLD).saturating_sub(self.record.now())
    }

    async fn take(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let until = Instant::now() + patience(&head.headers);
        if head.method == Method::GET && head.uri.path() == HEALTH {
            return self.health(until).await;
        }
        let Some(id) = head.headers.get(REQUEST_ID).cloned() else {
            return turned_away(400, "no Request-Id");
        };
        let Ok(body) = Limited::new(body, BODY_MOST).collect().await else {
            return named(turned_away(400, "the body did not come to its end"), id);
        };
        let arrival = Arrival {
            id: String::from_utf8_lossy(id.as_bytes()).into_owned(),
            incarnation: self.incarnation.clone(),
            service: self.service,
            method: head.method.to_string(),
            target: head.uri.to_string(),
            body: digest(body.to_bytes()),
            at: self.record.now(),
            given: None,
            foreign: head
                .headers
                .get(TARGET)
                .is_some_and(|meant| meant.as_bytes() != self.incarnation.as_bytes()),
        };
        let answer = if arrival.foreign {
            self.record.arrivals.borrow_mut().push(arrival);
            self.signed_off(turned_away(421, "another task is meant"))
        } else if let Some(_seat) = self.seat(until).await {
            self.run(arrival, until).await
        } else {
            self.record.arrivals.borrow_mut().push(arrival);
            let mut answer = turned_away(503, "full");
            answer
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from_static("0.05"));
            answer
        };
        self.closing(named(answer, id))
    }

    async fn health(&self, until: Instant) -> Response<Full<Bytes>> {
        let seat = self.seat(until).await;
        let well = seat.is_some() && self.stage() == Stage::Available;
        self.signed_off(answer(if well { 200 } else { 503 }, Bytes::new()))
    }

    /// A slot, or none where too many wait or the time is over.
    async fn seat(&self, until: Instant) -> Option<tokio::sync::SemaphorePermit<'_>> {
        if let Ok(seat) = self.seats.try_acquire() {
            return Some(seat);
        }
        if self.waiting.get() >= QUEUE {
            return None;
        }
        self.waiting.set(self.waiting.get() + 1);
        let _waits = InQueue(&self.waiting);
        timeout_at(until, self.seats.acquire()).await.ok()?.ok()
    }

    async fn run(&self, mut arrival: Arrival, until: Instant) -> Response<Full<Bytes>> {
        let large = arrival.target.starts_with("/fetch/");
        let line = format!(
            "{} by {} for {} {}\n",
            arrival.id, self.incarnation, arrival.method, arrival.target
        );
        let body = if large {
            line.repeat(LARGE / line.len().max(1))
        } else {
            line
        };
        let body = Bytes::from(body);
        let usual = Duration::from_millis(4 + digest(&arrival.id) % 20);
        let work = if self.cold().is_zero() {
            usual
        } else {
            usual * 2
        };
        let done = Instant::now() + work;
        let status = if done <= until { 200 } else { 504 };
        let signature = format!("{}.{:016x}", self.incarnation, digest((&arrival.id, &body)));
        let given = Given {
            status,
            signature: signature.clone(),
            body: digest(&body),
        };
        arrival.given = Some(given);
        self.record.arrivals.borrow_mut().push(arrival);
        tokio::time::sleep_until(done.min(until)).await;
        if status != 200 {
            return answer(status, Bytes::from_static(b"the deadline is over\n"));
        }
        let mut answer = answer(status, body);
        if let Ok(signature) = HeaderValue::try_from(signature) {
            answer.headers_mut().insert(SIGNATURE, signature);
        }
        answer
    }

    fn signed_off(&self, mut answer: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
        if let Ok(incarnation) = HeaderValue::try_from(self.incarnation.as_str()) {
            answer.headers_mut().insert(INSTANCE, incarnation);
        }
        answer
    }

    /// A task that leaves closes its connections, and now and then any task does.
    fn closing(&self, mut answer: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
        let now_and_then = digest(answer.headers().get(REQUEST_ID)).is_multiple_of(40);
        let (name, value) = if now_and_then || self.stage() != Stage::Available {
            (CONNECTION, HeaderValue::from_static("close"))
        } else {
            (
                KEEP_ALIVE,
                HeaderValue::try_from(format!("timeout={IDLE_S}"))
                    .unwrap_or(HeaderValue::from_static("")),
            )
        };
        answer.headers_mut().insert(name, value);
        answer
    }
}

fn patience(headers: &HeaderMap) -> Duration {
    let told = headers
        .get(DEADLINE)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    told.map_or(PATIENCE, Duration::from_millis).min(PATIENCE)
}

fn answer(status: u16, body: Bytes) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    answer
}

fn turned_away(status: u16, why: &'static str) -> Response<Full<Bytes>> {
    let mut answer = answer(status, Bytes::from_static(why.as_bytes()));
    answer
        .headers_mut()
        .insert(NOT_EXECUTED, HeaderValue::from_static("1"));
    answer
}

fn named(mut answer: Response<Full<Bytes>>, id: HeaderValue) -> Response<Full<Bytes>> {
    answer.headers_mut().insert(REQUEST_ID, id);
    answer
}

/// Serves until the task is gone. Its connections end with it.
pub async fn serve(task: Rc<Task>, listener: TcpListener) {
    let mut stage = task.stage.subscribe();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = stage.wait_for(|stage| *stage == Stage::Gone) => return,
            Some(_) = connections.join_next() => {}
            taken = listener.accept() => match taken {
                Ok((stream, _)) if connections.len() >= MAX_CONNECTIONS => reset(&stream),
                Ok((stream, _)) => _ = connections.spawn_local(connection(task.clone(), stream)),
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        }
    }
}

/// With nothing to linger for, closing resets.
fn reset(stream: &TcpStream) {
    _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn connection(task: Rc<Task>, stream: TcpStream) {
    _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let task = task.clone();
        async move { Ok::<_, std::convert::Infallible>(task.take(request).await) }
    });
    let idle = Duration::from_secs(IDLE_S);
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(idle);
    // A connection that breaks takes its request with it: that is what tasks do.
    _ = server.serve_connection(TokioIo::new(stream), service).await;
}
