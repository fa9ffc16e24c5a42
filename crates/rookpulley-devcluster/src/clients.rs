//! Open-loop load: sends requests at a fixed rate through all proxies in turn, without waiting for earlier answers.

use crate::gateway_configuration::{FIRST, Kind, ROUTES, Route, SECOND};
use crate::record::{Moment, Record, digest};
use crate::task::{DEADLINE, REQUEST_ID, SIGNATURE};
use crate::transport::{Connection, Outcome};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONNECTION, HOST, RETRY_AFTER};
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep};

const REQUEST_INTERVAL: Duration = Duration::from_millis(14);
/// Upper bound on the requests of one trial.
pub const MAX_REQUESTS: u32 = 1_000;
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
const MAX_TRIES: u32 = 4;
/// Idle connections kept open to each proxy.
const MAX_IDLE_CONNECTIONS: usize = 12;

/// The result of one try as the client saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    Answer {
        status: u16,
        id: Option<String>,
        signature: Option<String>,
        body: u64,
    },
    CutOff(u16),
    Nothing,
}

impl Seen {
    /// Whether the status promises that the request was not executed.
    pub fn refused(&self) -> bool {
        matches!(
            self,
            Self::Answer {
                status: 408 | 421 | 429 | 503,
                ..
            }
        )
    }
}

/// One try of a request; a trial with --keep writes it to tries.txt.
#[derive(Clone, Debug)]
pub struct Try {
    pub id: String,
    pub request: u32,
    pub proxy: usize,
    pub route: &'static Route,
    pub method: &'static str,
    pub target: String,
    pub body: u64,
    pub sent: Moment,
    pub ended: Moment,
    pub seen: Seen,
}

impl Try {
    pub fn served(&self) -> bool {
        matches!(
            self.seen,
            Seen::Answer {
                status: 200..=299,
                ..
            }
        )
    }
}

pub struct Clients {
    proxies: Vec<SocketAddrV4>,
    idle_connections: Vec<RefCell<Vec<Connection>>>,
    record: Rc<Record>,
    pub tries: RefCell<Vec<Try>>,
    pub sent: Cell<u32>,
    /// The configuration version whose routes are requested.
    version: Cell<u64>,
    pub stopped: Cell<bool>,
}

impl Clients {
    pub fn new(proxies: Vec<SocketAddrV4>, record: Rc<Record>) -> Rc<Self> {
        let idle_connections = proxies.iter().map(|_| RefCell::default()).collect();
        Rc::new(Self {
            proxies,
            idle_connections,
            record,
            tries: RefCell::default(),
            sent: Cell::new(0),
            version: Cell::new(FIRST),
            stopped: Cell::new(false),
        })
    }

    /// Sends requests until stopped, then waits until each has been answered or has timed out.
    pub async fn run(self: Rc<Self>) {
        let mut ticks = interval(REQUEST_INTERVAL);
        let mut requests = JoinSet::new();
        while !self.stopped.get() && self.sent.get() < MAX_REQUESTS {
            ticks.tick().await;
            let number = self.sent.get();
            self.sent.set(number + 1);
            requests.spawn_local(self.clone().request(number));
            while requests.try_join_next().is_some() {}
        }
        while requests.join_next().await.is_some() {}
    }

    async fn request(self: Rc<Self>, number: u32) {
        let routes = ROUTES
            .iter()
            .filter(|route| route.since <= self.version.get());
        let routes: Vec<&'static Route> = routes.collect();
        let Some(route) = routes.get(number as usize % routes.len().max(1)).copied() else {
            return;
        };
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        for attempt in 0..MAX_TRIES {
            let (seen, retry_after) = self.send_try(number, attempt, route, deadline).await;
            let failed = match seen {
                Seen::Answer { status, .. } => status >= 500,
                Seen::CutOff(_) | Seen::Nothing => true,
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !(seen.refused() || failed && route.kind.is_idempotent())
                || remaining < Duration::from_millis(50)
            {
                return;
            }
            // Honours Retry-After, up to a third of the remaining time.
            sleep(
                retry_after
                    .unwrap_or(Duration::from_millis(20))
                    .min(remaining / 3),
            )
            .await;
        }
    }

    async fn send_try(
        &self,
        number: u32,
        attempt: u32,
        route: &'static Route,
        deadline: Instant,
    ) -> (Seen, Option<Duration>) {
        let proxy = (number + number / 5 + attempt) as usize % self.proxies.len().max(1);
        let id = format!("{:016x}", digest((number, attempt)));
        let target = format!(
            "{}{}?part={number}&mark=%2e%2E",
            route.prefix,
            digest(number) % 1_000
        );
        let (method, body) = match route.kind {
            Kind::Mutating => (
                "POST",
                format!("{number} says {}", "so ".repeat(number as usize % 90)),
            ),
            Kind::ReadOnly | Kind::Download => ("GET", String::new()),
        };
        // Retries and every third request use a new connection.
        let new_connection = attempt > 0 || number.is_multiple_of(3);
        let remaining = deadline
            .saturating_duration_since(Instant::now())
            .as_millis();
        let mut request = Request::builder()
            .method(method)
            .uri(&target)
            .header(HOST, route.host);
        request = request
            .header(REQUEST_ID, &id)
            .header(DEADLINE, remaining.to_string());
        if new_connection {
            request = request.header(CONNECTION, "close");
        }
        let sent = self.record.now();
        let body = Bytes::from(body);
        let body_digest = digest(&body);
        let outcome = match request.body(Full::new(body)) {
            Ok(request) => {
                self.exchange(proxy, request, new_connection, deadline)
                    .await
            }
            Err(_) => Outcome::NoAnswer,
        };
        let mut retry_after = None;
        let seen = match outcome {
            Outcome::Complete(answer) => {
                retry_after = answer
                    .header(&RETRY_AFTER)
                    .and_then(|text| text.parse::<f64>().ok());
                Seen::Answer {
                    status: answer.status,
                    id: answer.header(&REQUEST_ID).map(String::from),
                    signature: answer.header(&SIGNATURE).map(String::from),
                    body: digest(&answer.body),
                }
            }
            Outcome::Truncated(status) => Seen::CutOff(status),
            Outcome::NoAnswer => Seen::Nothing,
        };
        self.tries.borrow_mut().push(Try {
            id,
            request: number,
            proxy,
            route,
            method,
            target,
            body: body_digest,
            sent,
            ended: self.record.now(),
            seen: seen.clone(),
        });
        let retry_after = retry_after
            .filter(|retry_after| (0.0..=60.0).contains(retry_after))
            .map(Duration::from_secs_f64);
        (seen, retry_after)
    }

    async fn exchange(
        &self,
        proxy: usize,
        request: Request<Full<Bytes>>,
        new_connection: bool,
        deadline: Instant,
    ) -> Outcome {
        let (Some(to), Some(idle_connections)) =
            (self.proxies.get(proxy), self.idle_connections.get(proxy))
        else {
            return Outcome::NoAnswer;
        };
        let mut connection = None;
        while let Some(candidate) = (!new_connection)
            .then(|| idle_connections.borrow_mut().pop())
            .flatten()
        {
            if candidate.is_open() {
                connection = Some(candidate);
                break;
            }
        }
        let opened = if connection.is_none() {
            Connection::connect(*to).await
        } else {
            None
        };
        let Some(mut connection) = connection.or(opened) else {
            return Outcome::NoAnswer;
        };
        let outcome = connection.send(request, deadline).await;
        if !new_connection
            && matches!(outcome, Outcome::Complete(_))
            && connection.is_open()
            && idle_connections.borrow().len() < MAX_IDLE_CONNECTIONS
        {
            idle_connections.borrow_mut().push(connection);
        }
        outcome
    }

    /// From now on also requests the routes that the second version adds.
    pub fn use_second_version(&self) {
        self.version.set(SECOND);
    }
}
