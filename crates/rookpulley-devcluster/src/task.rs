//! A stand-in task: a fixed number of slots with a short queue, and answers signed by the task.

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
const QUEUE_LENGTH: usize = 8;
/// How long after its start a task takes twice as long for each request.
const COLD_PERIOD: Duration = Duration::from_millis(1_500);
const IDLE_TIMEOUT_S: u64 = 8;
const MAX_BODY_BYTES: usize = 1 << 20;
const LARGE_BODY_BYTES: usize = 96 << 10;
/// The time limit of a request without a deadline, and the upper bound for one with a deadline.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(30);

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

/// A stand-in for a task of a service behind the gateway.
pub struct Task {
    pub incarnation: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddrV4,
    pub slots: usize,
    pub stage: watch::Sender<Stage>,
    pub record: Rc<Record>,
    started: Moment,
    free_slots: Semaphore,
    queued: Cell<usize>,
}

/// Leaves the queue on drop, also when the connection closes while the request waits.
struct QueueEntry<'a>(&'a Cell<usize>);

impl Drop for QueueEntry<'_> {
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
            started: record.now(),
            record,
            free_slots: Semaphore::new(slots),
            queued: Cell::new(0),
        })
    }

    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    pub fn cold_remaining(&self) -> Duration {
        (self.started + COLD_PERIOD).saturating_sub(self.record.now())
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let deadline = Instant::now() + request_timeout(&head.headers);
        if head.method == Method::GET && head.uri.path() == HEALTH {
            return self.health(deadline).await;
        }
        let Some(id) = head.headers.get(REQUEST_ID).cloned() else {
            return rejection(400, "no Request-Id");
        };
        let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
            return with_request_id(rejection(400, "the body did not come to its end"), id);
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
                .is_some_and(|instance| instance.as_bytes() != self.incarnation.as_bytes()),
        };
        let answer = if arrival.foreign {
            self.record.arrivals.borrow_mut().push(arrival);
            self.with_instance_id(rejection(421, "another task is meant"))
        } else if let Some(_slot) = self.acquire_slot(deadline).await {
            self.run(arrival, deadline).await
        } else {
            self.record.arrivals.borrow_mut().push(arrival);
            let mut answer = rejection(503, "full");
            answer
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from_static("0.05"));
            answer
        };
        self.with_connection_header(with_request_id(answer, id))
    }

    async fn health(&self, deadline: Instant) -> Response<Full<Bytes>> {
        let slot = self.acquire_slot(deadline).await;
        let healthy = slot.is_some() && self.stage() == Stage::Available;
        self.with_instance_id(answer(if healthy { 200 } else { 503 }, Bytes::new()))
    }

    /// Waits for a slot; returns None if the queue is full or the deadline passes.
    async fn acquire_slot(&self, deadline: Instant) -> Option<tokio::sync::SemaphorePermit<'_>> {
        if let Ok(slot) = self.free_slots.try_acquire() {
            return Some(slot);
        }
        if self.queued.get() >= QUEUE_LENGTH {
            return None;
        }
        self.queued.set(self.queued.get() + 1);
        let _entry = QueueEntry(&self.queued);
        timeout_at(deadline, self.free_slots.acquire())
            .await
            .ok()?
            .ok()
    }

    async fn run(&self, mut arrival: Arrival, deadline: Instant) -> Response<Full<Bytes>> {
        let large = arrival.target.starts_with("/fetch/");
        let line = format!(
            "{} by {} for {} {}\n",
            arrival.id, self.incarnation, arrival.method, arrival.target
        );
        let body = if large {
            line.repeat(LARGE_BODY_BYTES / line.len().max(1))
        } else {
            line
        };
        let body = Bytes::from(body);
        let base_time = Duration::from_millis(4 + digest(&arrival.id) % 20);
        let work_time = if self.cold_remaining().is_zero() {
            base_time
        } else {
            base_time * 2
        };
        let done_at = Instant::now() + work_time;
        let status = if done_at <= deadline { 200 } else { 504 };
        let signature = format!("{}.{:016x}", self.incarnation, digest((&arrival.id, &body)));
        let given = Given {
            status,
            signature: signature.clone(),
            body: digest(&body),
        };
        arrival.given = Some(given);
        self.record.arrivals.borrow_mut().push(arrival);
        tokio::time::sleep_until(done_at.min(deadline)).await;
        if status != 200 {
            return answer(status, Bytes::from_static(b"the deadline is over\n"));
        }
        let mut answer = answer(status, body);
        if let Ok(signature) = HeaderValue::try_from(signature) {
            answer.headers_mut().insert(SIGNATURE, signature);
        }
        answer
    }

    fn with_instance_id(&self, mut answer: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
        if let Ok(incarnation) = HeaderValue::try_from(self.incarnation.as_str()) {
            answer.headers_mut().insert(INSTANCE, incarnation);
        }
        answer
    }

    /// Closes the connection if the task is draining, and otherwise after one answer in 40.
    fn with_connection_header(&self, mut answer: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
        let sampled = digest(answer.headers().get(REQUEST_ID)).is_multiple_of(40);
        let (name, value) = if sampled || self.stage() != Stage::Available {
            (CONNECTION, HeaderValue::from_static("close"))
        } else {
            (
                KEEP_ALIVE,
                HeaderValue::try_from(format!("timeout={IDLE_TIMEOUT_S}"))
                    .unwrap_or(HeaderValue::from_static("")),
            )
        };
        answer.headers_mut().insert(name, value);
        answer
    }
}

fn request_timeout(headers: &HeaderMap) -> Duration {
    let requested = headers
        .get(DEADLINE)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    requested
        .map_or(MAX_REQUEST_TIME, Duration::from_millis)
        .min(MAX_REQUEST_TIME)
}

fn answer(status: u16, body: Bytes) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    answer
}

fn rejection(status: u16, why: &'static str) -> Response<Full<Bytes>> {
    let mut answer = answer(status, Bytes::from_static(why.as_bytes()));
    answer
        .headers_mut()
        .insert(NOT_EXECUTED, HeaderValue::from_static("1"));
    answer
}

fn with_request_id(mut answer: Response<Full<Bytes>>, id: HeaderValue) -> Response<Full<Bytes>> {
    answer.headers_mut().insert(REQUEST_ID, id);
    answer
}

/// Serves until the task is gone and closes its connections then.
pub async fn serve(task: Rc<Task>, listener: TcpListener) {
    let mut stage = task.stage.subscribe();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = stage.wait_for(|stage| *stage == Stage::Gone) => return,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if connections.len() >= MAX_CONNECTIONS => close_with_reset(&stream),
                Ok((stream, _)) => _ = connections.spawn_local(serve_connection(task.clone(), stream)),
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        }
    }
}

/// Sets a zero linger time, so that closing the stream resets the connection.
fn close_with_reset(stream: &TcpStream) {
    _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn serve_connection(task: Rc<Task>, stream: TcpStream) {
    _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let task = task.clone();
        async move { Ok::<_, std::convert::Infallible>(task.handle(request).await) }
    });
    let idle = Duration::from_secs(IDLE_TIMEOUT_S);
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(idle);
    // A request is cancelled when its connection breaks, as in a real task.
    _ = server.serve_connection(TokioIo::new(stream), service).await;
}
