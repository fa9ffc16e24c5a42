//! Clients: requests at a steady pace whatever becomes of those before, through all proxies in turn.

use crate::operator::{FIRST, Kind, ROUTES, Route, SECOND};
use crate::record::{Moment, Record, digest};
use crate::task::{DEADLINE, REQUEST_ID, SIGNATURE};
use crate::wire::{Line, Outcome};
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

const PACE: Duration = Duration::from_millis(14);
/// A trial that goes on longer sends no more than this.
pub const REQUESTS_MOST: u32 = 1_000;
const PATIENCE: Duration = Duration::from_millis(2_500);
const TRIES: u32 = 4;
/// Connections kept at each proxy.
const KEPT: usize = 12;

/// What a client saw of one try.
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
    /// A word that nothing was run, whatever the request was.
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
    kept: Vec<RefCell<Vec<Line>>>,
    record: Rc<Record>,
    pub tries: RefCell<Vec<Try>>,
    pub sent: Cell<u32>,
    /// The version whose routes are asked for.
    version: Cell<u64>,
    pub over: Cell<bool>,
}

impl Clients {
    pub fn new(proxies: Vec<SocketAddrV4>, record: Rc<Record>) -> Rc<Self> {
        let kept = proxies.iter().map(|_| RefCell::default()).collect();
        Rc::new(Self {
            proxies,
            kept,
            record,
            tries: RefCell::default(),
            sent: Cell::new(0),
            version: Cell::new(FIRST),
            over: Cell::new(false),
        })
    }

    /// Sends until it is over, and returns when every answer has come or is given up.
    pub async fn run(self: Rc<Self>) {
        let mut pace = interval(PACE);
        let mut requests = JoinSet::new();
        while !self.over.get() && self.sent.get() < REQUESTS_MOST {
            pace.tick().await;
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
        let until = Instant::now() + PATIENCE;
        for again in 0..TRIES {
            let (seen, wait) = self.one_try(number, again, route, until).await;
            let failed = match seen {
                Seen::Answer { status, .. } => status >= 500,
                Seen::CutOff(_) | Seen::Nothing => true,
            };
            let left = until.saturating_duration_since(Instant::now());
            if !(seen.refused() || failed && route.kind.is_idempotent())
                || left < Duration::from_millis(50)
            {
                return;
            }
            // As long as the answer asks for, up to a third of what is left.
            sleep(wait.unwrap_or(Duration::from_millis(20)).min(left / 3)).await;
        }
    }

    async fn one_try(
        &self,
        number: u32,
        again: u32,
        route: &'static Route,
        until: Instant,
    ) -> (Seen, Option<Duration>) {
        let proxy = (number + number / 5 + again) as usize % self.proxies.len().max(1);
        let id = format!("{:016x}", digest((number, again)));
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
        // A try after the first has a connection of its own.
        let fresh = again > 0 || number.is_multiple_of(3);
        let left = until.saturating_duration_since(Instant::now()).as_millis();
        let mut request = Request::builder()
            .method(method)
            .uri(&target)
            .header(HOST, route.host);
        request = request
            .header(REQUEST_ID, &id)
            .header(DEADLINE, left.to_string());
        if fresh {
            request = request.header(CONNECTION, "close");
        }
        let sent = self.record.now();
        let body = Bytes::from(body);
        let digested = digest(&body);
        let outcome = match request.body(Full::new(body)) {
            Ok(request) => self.exchange(proxy, request, fresh, until).await,
            Err(_) => Outcome::Nothing,
        };
        let mut wait = None;
        let seen = match outcome {
            Outcome::Whole(answer) => {
                wait = answer
                    .header(&RETRY_AFTER)
                    .and_then(|text| text.parse::<f64>().ok());
                Seen::Answer {
                    status: answer.status,
                    id: answer.header(&REQUEST_ID).map(String::from),
                    signature: answer.header(&SIGNATURE).map(String::from),
                    body: digest(&answer.body),
                }
            }
            Outcome::CutOff(status) => Seen::CutOff(status),
            Outcome::Nothing => Seen::Nothing,
        };
        self.tries.borrow_mut().push(Try {
            id,
            request: number,
            proxy,
            route,
            method,
            target,
            body: digested,
            sent,
            ended: self.record.now(),
            seen: seen.clone(),
        });
        let wait = wait
            .filter(|wait| (0.0..=60.0).contains(wait))
            .map(Duration::from_secs_f64);
        (seen, wait)
    }

    async fn exchange(
        &self,
        proxy: usize,
        request: Request<Full<Bytes>>,
        fresh: bool,
        until: Instant,
    ) -> Outcome {
        let (Some(to), Some(kept)) = (self.proxies.get(proxy), self.kept.get(proxy)) else {
            return Outcome::Nothing;
        };
        let mut line = None;
        while let Some(one) = (!fresh).then(|| kept.borrow_mut().pop()).flatten() {
            if one.open() {
                line = Some(one);
                break;
            }
        }
        let dialed = if line.is_none() {
            Line::dial(*to).await
        } else {
            None
        };
        let Some(mut line) = line.or(dialed) else {
            return Outcome::Nothing;
        };
        let outcome = line.ask(request, until).await;
        if !fresh
            && matches!(outcome, Outcome::Whole(_))
            && line.open()
            && kept.borrow().len() < KEPT
        {
            kept.borrow_mut().push(line);
        }
        outcome
    }

    /// Requests for the routes of the second version from now on.
    pub fn use_second(&self) {
        self.version.set(SECOND);
    }
}
