//! Client for the discovery service: watches the server list, resumes from the last version, and
//! fetches the full list on request.

use crate::driver::{Context, Event};
use crate::log_event;
use crate::messages::{List, ParseError};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rookpulley::interface::ListScope;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{JoinHandle, JoinSet};

/// A working watch sends data at least every 2 s.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
const BACKOFF_MIN_MS: f64 = 50.0;
const BACKOFF_MAX_MS: f64 = 1_000.0;
const MAX_LINE_BYTES: usize = 16 << 20;

/// Why a watch or a request failed.
#[derive(Debug, thiserror::Error)]
enum ListError {
    #[error("connection failed: {0}")]
    Connect(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("no data for 3 s")]
    Timeout(#[from] tokio::time::error::Elapsed),
    #[error("unexpected status {0}")]
    Status(u16),
    #[error("invalid list: {0}")]
    List(#[from] ParseError),
    #[error("list is not valid UTF-8")]
    Text(#[from] std::str::Utf8Error),
    #[error("list exceeds the size limit")]
    TooLarge,
    #[error("connection closed")]
    Disconnected,
}

/// Exponential backoff with jitter between connection attempts. Received data resets it.
pub struct Backoff {
    next_ms: f64,
    rng: ChaCha8Rng,
}

impl Backoff {
    pub fn new(seed: u64) -> Self {
        Self {
            next_ms: BACKOFF_MIN_MS,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub fn next(&mut self, received: bool) -> Duration {
        let ms = if received {
            BACKOFF_MIN_MS
        } else {
            self.next_ms
        };
        self.next_ms = (2.0 * ms).min(BACKOFF_MAX_MS);
        Duration::from_secs_f64(ms * self.rng.random_range(0.5..1.0) / 1e3)
    }
}

pub struct ListClient {
    address: Cell<SocketAddr>,
    address_changed: Notify,
    version: Cell<u64>,
    ctx: Rc<Context>,
    /// The module requests the list itself and is notified when a request fails.
    on_request: bool,
    watch: RefCell<Option<JoinHandle<()>>>,
}

impl ListClient {
    pub fn new(address: SocketAddr, version: u64, on_request: bool, ctx: Rc<Context>) -> Rc<Self> {
        let (address, version, address_changed) =
            (Cell::new(address), Cell::new(version), Notify::new());
        Rc::new(Self {
            address,
            address_changed,
            version,
            ctx,
            on_request,
            watch: RefCell::default(),
        })
    }

    /// Watches the list and reconnects with backoff after each failure.
    pub async fn follow(self: Rc<Self>, mut backoff: Backoff) {
        loop {
            let watch = async {
                let mut received = false;
                let error = self.watch(&mut received).await;
                self.ctx.counters.inc("watches broken");
                log_event!(
                    self.ctx.log,
                    "list",
                    "watch failed: {error}; keeping the current list"
                );
                tokio::time::sleep(backoff.next(received)).await;
            };
            // The next watch resumes from the last version that was forwarded.
            tokio::select! {
                () = watch => {}
                () = self.address_changed.notified() => {}
            }
        }
    }

    /// Changes the discovery address. A running watch reconnects and resumes from its version.
    pub fn set_address(self: &Rc<Self>, address: SocketAddr) {
        if self.address.replace(address) == address {
            return;
        }
        self.ctx.counters.inc("watches moved");
        if !self.on_request {
            self.address_changed.notify_one();
        } else if self.watch.borrow().is_some() {
            self.set_watch(true);
        }
    }

    /// Starts or stops the watch on request of the module.
    pub fn set_watch(self: &Rc<Self>, on: bool) {
        if !self.on_request {
            return;
        }
        let list_client = self.clone();
        let watch = async move {
            let error = list_client.watch(&mut false).await;
            list_client.report_failure(error).await;
        };
        let next = on.then(|| tokio::task::spawn_local(watch));
        if let Some(old) = self.watch.replace(next) {
            old.abort();
        }
    }

    /// Fetches the full list once on request of the module.
    pub fn fetch(self: &Rc<Self>) {
        let list_client = self.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = list_client.fetch_list().await {
                list_client.report_failure(error).await;
            }
        });
    }

    async fn report_failure(&self, error: ListError) {
        self.ctx.counters.inc("list calls failed");
        log_event!(
            self.ctx.log,
            "list",
            "list request failed: {error}; keeping the current list"
        );
        self.ctx.send(Event::ListFailed).await;
    }

    async fn get(&self, path: &str, connections: &mut JoinSet<()>) -> Result<Incoming, ListError> {
        self.ctx.counters.inc("out list calls");
        let address = self.address.get();
        let socket = TcpStream::connect(address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await?;
        connections.spawn_local(async move { _ = connection.await });
        let request = hyper::Request::get(path).header("host", address.to_string());
        // Cannot fail: the path and the header consist of valid characters only.
        let Ok(request) = request.body(Empty::<Bytes>::new()) else {
            return Err(ListError::Disconnected);
        };
        let response = sender.send_request(request).await?;
        // The connection task in `connections` outlives the sender while the body is read.
        match response.status().as_u16() {
            200 => Ok(response.into_body()),
            other => Err(ListError::Status(other)),
        }
    }

    async fn fetch_list(&self) -> Result<(), ListError> {
        let mut connections = JoinSet::new();
        let mut body =
            tokio::time::timeout(READ_TIMEOUT, self.get("/catalog/members", &mut connections))
                .await??;
        let mut text = Vec::new();
        while let Some(frame) = tokio::time::timeout(READ_TIMEOUT, body.frame()).await? {
            text.extend_from_slice(&frame?.into_data().unwrap_or_default());
            if text.len() > MAX_LINE_BYTES {
                return Err(ListError::TooLarge);
            }
        }
        self.handle_list(&text, true).await
    }

    /// Runs one watch until it fails.
    async fn watch(&self, received: &mut bool) -> ListError {
        match self.read_watch(received).await {
            Ok(()) => ListError::Disconnected,
            Err(error) => error,
        }
    }

    async fn read_watch(&self, received: &mut bool) -> Result<(), ListError> {
        let path = format!("/catalog/members?follow=1&since={}", self.version.get());
        let mut connections = JoinSet::new();
        let mut body =
            tokio::time::timeout(READ_TIMEOUT, self.get(&path, &mut connections)).await??;
        let (mut buffer, mut first): (Vec<u8>, bool) = (Vec::new(), true);
        while let Some(frame) = tokio::time::timeout(READ_TIMEOUT, body.frame()).await? {
            let previous = buffer.len();
            buffer.extend_from_slice(&frame?.into_data().unwrap_or_default());
            let (mut from, mut search) = (0, previous);
            while let Some(at) = buffer[search..].iter().position(|b| *b == b'\n') {
                let end = search + at;
                if !buffer[from..end].trim_ascii().is_empty() {
                    self.handle_list(&buffer[from..end], first && self.on_request)
                        .await?;
                    (first, *received) = (false, true);
                }
                (from, search) = (end + 1, end + 1);
            }
            buffer.drain(..from);
            if buffer.len() > MAX_LINE_BYTES {
                return Err(ListError::TooLarge);
            }
        }
        Ok(())
    }

    /// Forwards a list to the driver. Known or older lists, as from an agent that lags behind, are
    /// dropped; with `always_report` an empty change is forwarded instead.
    async fn handle_list(&self, text: &[u8], always_report: bool) -> Result<(), ListError> {
        let mut list = self.ctx.codec.decode_list(std::str::from_utf8(text)?)?;
        // No await below: an aborted watch has either both forwarded a change and stored its
        // version, or done neither.
        let Ok(permit) = self.ctx.events.reserve().await else {
            return Ok(());
        };
        let current = self.version.get();
        let new = list.version > current || (list.whole && list.version == current);
        if list.whole && !new {
            self.ctx.counters.inc("whole lists passed over");
            log_event!(
                self.ctx.log,
                "list",
                "ignoring full list of version {}: current version is {current}",
                list.version
            );
        }
        if !new {
            list = List {
                version: current,
                ..List::default()
            };
        }
        self.version.set(list.version);
        self.ctx.counters.inc(if list.whole {
            "in whole lists"
        } else {
            "in list changes"
        });
        if always_report || list.whole || !list.lines.is_empty() {
            let scope = if list.whole {
                ListScope::Full
            } else {
                ListScope::Changes
            };
            permit.send(Event::List { scope, list });
        }
        Ok(())
    }
}
