//! Connection pools per instance.
//!
//! A non-idempotent request uses only a connection that the instance is unlikely to have closed: a
//! new one that stayed open for a settling delay, a recently used one, or one whose keep-alive time
//! is known.

use crate::request_body::{RequestBody, SentBody};
use crate::response_filter::{PendingResponse, ResponseFilter};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{CONNECTION, HeaderMap, HeaderValue};
use hyper_util::rt::TokioIo;
use rookpulley_protocol::{IncarnationId, TableEntry};
use rookpulley_runtime::connection;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
const OTHER_ZONE_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The idle timeout of a connection, unless the instance states a shorter one.
const IDLE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// An instance that states no keep-alive time may close a connection within a second. One used
/// within this time can still carry a non-idempotent request.
const RECENT_USE: Duration = Duration::from_millis(250);
/// A connection that was idle for longer is checked for unexpected input before use.
const CHECK_AFTER_IDLE: Duration = Duration::from_millis(20);
/// How long to wait for an idle connection to become ready.
const READY_TIMEOUT: Duration = Duration::from_millis(20);
const MAX_PARSER_BYTES: usize = 64 << 10;
/// An instance at its connection limit resets a new connection immediately. A non-idempotent
/// request is delayed by two round trips, within these bounds, to detect this while another
/// instance can still be chosen.
const MIN_SETTLE_DELAY: Duration = Duration::from_millis(1);
const MAX_SETTLE_DELAY: Duration = Duration::from_millis(10);
/// Safety margin and bounds for the keep-alive time stated by an instance.
const KEEP_ALIVE_MARGIN_MS: u64 = 1_000;
const MIN_KEEP_ALIVE_MS: u64 = 300;
const MAX_KEEP_ALIVE_S: u64 = 3_600;

/// How long an instance keeps a connection open after a response, or `None` if it does not say.
pub type KeepAlive = Option<Duration>;

/// Requirements for a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectOptions {
    /// The limit on connections to the instance.
    pub max_connections: usize,
    /// Whether the request is safe to execute more than once.
    pub is_idempotent: bool,
    /// Whether to skip idle connections.
    pub needs_new: bool,
}

/// Why no connection is available.
#[derive(Debug, PartialEq)]
pub enum ConnectError {
    /// The connection limit is reached.
    Limit,
    Unreachable,
}

/// The connections to one incarnation.
#[derive(Default)]
struct Pool {
    open: Cell<usize>,
    idle: RefCell<Vec<UpstreamConnection>>,
    is_closed: Cell<bool>,
}

/// The connections to all instances.
pub struct UpstreamPools {
    zone: String,
    pools: RefCell<HashMap<IncarnationId, Rc<Pool>>>,
    open: Rc<Cell<usize>>,
    max_connections: usize,
}

/// A connection to an instance. Closed when dropped.
pub struct UpstreamConnection {
    pub sender: SendRequest<RequestBody>,
    /// Whether the connection was reused; the instance may have closed it meanwhile.
    pub was_idle: bool,
    pending: Rc<PendingResponse>,
    _count: ConnectionCount,
    pool: Rc<Pool>,
    /// When the connection has been idle for too long.
    expires: Instant,
    /// Whether the instance has stated a keep-alive time.
    has_keep_alive: bool,
    /// When the connection was last used.
    released: Instant,
    driver: AbortHandle,
}

impl UpstreamPools {
    /// `zone` is the zone of this proxy.
    pub fn new(zone: &str, max_connections: usize) -> Self {
        Self {
            zone: zone.to_owned(),
            pools: RefCell::default(),
            open: Rc::default(),
            max_connections,
        }
    }

    /// Returns an idle connection to the instance, or opens a new one.
    pub async fn connect(
        &self,
        to: &TableEntry,
        options: ConnectOptions,
    ) -> Result<UpstreamConnection, ConnectError> {
        let pool = {
            let mut pools = self.pools.borrow_mut();
            pools.entry(to.incarnation.clone()).or_default().clone()
        };
        if !options.needs_new
            && let Some(idle) = pool.take_ready(options.is_idempotent).await
        {
            return Ok(idle);
        }
        let open_before = pool.open.get() + self.open.get();
        if !self.ensure_capacity(&pool, options.max_connections) {
            return Err(ConnectError::Limit);
        }
        let has_closed_idle = pool.open.get() + self.open.get() < open_before;
        let count = ConnectionCount::new(&pool, &self.open);
        if has_closed_idle {
            // Let the aborted connection task close its socket before another is opened.
            tokio::task::yield_now().await;
        }
        self.connect_new(to, pool, count, options.is_idempotent)
            .await
    }

    async fn connect_new(
        &self,
        to: &TableEntry,
        pool: Rc<Pool>,
        count: ConnectionCount,
        is_idempotent: bool,
    ) -> Result<UpstreamConnection, ConnectError> {
        let started = Instant::now();
        let timeout = if to.zone == self.zone {
            CONNECT_TIMEOUT
        } else {
            OTHER_ZONE_CONNECT_TIMEOUT
        };
        let stream = tokio::time::timeout(timeout, TcpStream::connect(to.address)).await;
        let Ok(Ok(stream)) = stream else {
            return Err(ConnectError::Unreachable);
        };
        let round_trip = started.elapsed();
        let connection = UpstreamConnection::new(stream, pool, count, round_trip).await?;
        if !is_idempotent {
            tokio::time::sleep((round_trip * 2).clamp(MIN_SETTLE_DELAY, MAX_SETTLE_DELAY)).await;
            if connection.sender.is_closed() {
                return Err(ConnectError::Unreachable);
            }
        }
        Ok(connection)
    }

    /// Closes idle connections until both limits allow a new one. Returns false if that is
    /// impossible.
    fn ensure_capacity(&self, pool: &Pool, max_connections: usize) -> bool {
        while pool.open.get() >= max_connections {
            if pool.idle.borrow_mut().pop().is_none() {
                return false;
            }
        }
        self.open.get() < self.max_connections
            || pool.idle.borrow_mut().pop().is_some()
            || self.close_any_idle()
    }

    /// Closes the pool of an incarnation that gets no more requests.
    pub fn close(&self, incarnation: &IncarnationId) {
        let pool = self.pools.borrow_mut().remove(incarnation);
        if let Some(pool) = pool {
            pool.is_closed.set(true);
            let idle = std::mem::take(&mut *pool.idle.borrow_mut());
            drop(idle);
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        // Dropped only after the pools are no longer borrowed.
        let mut expired = Vec::new();
        self.pools.borrow_mut().retain(|_, pool| {
            let mut idle = pool.idle.borrow_mut();
            expired.extend(idle.extract_if(.., |connection| !connection.is_usable(now)));
            pool.open.get() > 0
        });
    }

    /// Closes one idle connection to any instance.
    fn close_any_idle(&self) -> bool {
        let pools = self.pools.borrow();
        let idle = pools.values().find_map(|pool| pool.idle.borrow_mut().pop());
        idle.is_some()
    }
}

impl Pool {
    /// Takes an idle connection that is ready to send a request.
    async fn take_ready(&self, is_idempotent: bool) -> Option<UpstreamConnection> {
        loop {
            let mut connection = self.take_idle(is_idempotent)?;
            if connection.sender.is_ready() {
                return Some(connection);
            }
            let ready = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if let Ok(Ok(())) = ready {
                return Some(connection);
            }
        }
    }

    /// Takes the most recently used idle connection.
    fn take_idle(&self, is_idempotent: bool) -> Option<UpstreamConnection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            let is_likely_open =
                connection.has_keep_alive || now - connection.released <= RECENT_USE;
            if !is_idempotent && !is_likely_open {
                idle.push(connection);
                return None;
            }
            if connection.is_usable(now) {
                return Some(connection);
            }
        }
        None
    }
}

impl UpstreamConnection {
    async fn new(
        stream: TcpStream,
        pool: Rc<Pool>,
        count: ConnectionCount,
        round_trip: Duration,
    ) -> Result<Self, ConnectError> {
        connection::configure(&stream, connection::USER_TIMEOUT);
        let pending = Rc::new(PendingResponse::default());
        let filter = ResponseFilter::new(stream, pending.clone(), round_trip);
        let filter = TokioIo::new(filter);
        let handshake = Builder::new()
            .max_buf_size(MAX_PARSER_BYTES)
            .handshake(filter);
        let Ok((sender, connection)) = handshake.await else {
            return Err(ConnectError::Unreachable);
        };
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(
                    "upstream: connection to an instance closed with an error: {error}"
                );
            }
        });
        let now = Instant::now();
        Ok(Self {
            sender,
            was_idle: false,
            pending,
            _count: count,
            pool,
            expires: now + IDLE_TIMEOUT,
            has_keep_alive: false,
            released: now,
            driver: driver.abort_handle(),
        })
    }

    fn is_usable(&self, now: Instant) -> bool {
        self.expires > now && !self.sender.is_closed()
    }

    /// Records the start of a request on this connection.
    pub fn begin(&self, id: &HeaderValue, is_head: bool, body: SentBody, is_idempotent: bool) {
        let must_check_peer = !is_idempotent || self.released.elapsed() > CHECK_AFTER_IDLE;
        self.pending.begin(id, is_head, body, must_check_peer);
    }

    /// Whether no byte of the request has been sent.
    pub fn is_unsent(&self) -> bool {
        self.pending.is_unsent()
    }

    /// Returns the connection to the pool after a complete response.
    pub fn release(mut self, keep_alive: KeepAlive) {
        let now = Instant::now();
        self.was_idle = true;
        self.released = now;
        self.expires = now + keep_alive.map_or(IDLE_TIMEOUT, |time| time.min(IDLE_TIMEOUT));
        self.has_keep_alive = keep_alive.is_some();
        let pool = self.pool.clone();
        let is_unusable = pool.is_closed.get() || self.pending.has_discarded_response();
        if !is_unusable && self.is_usable(now) {
            pool.idle.borrow_mut().push(self);
        }
    }
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// The keep-alive time stated by the response, reduced by a safety margin.
pub fn keep_alive(headers: &HeaderMap) -> KeepAlive {
    let closes = |value: &HeaderValue| {
        let value = value.to_str();
        value.is_ok_and(|value| value.to_ascii_lowercase().contains("close"))
    };
    if headers.get_all(CONNECTION).iter().any(closes) {
        return Some(Duration::ZERO);
    }
    let parameters = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = |parameter: &str| {
        let seconds = parameter.trim().strip_prefix("timeout=")?;
        seconds.parse::<u64>().ok()
    };
    let seconds = parameters.split(',').find_map(timeout)?;
    let ms = seconds.min(MAX_KEEP_ALIVE_S) * 1_000;
    let ms = ms.saturating_sub(KEEP_ALIVE_MARGIN_MS);
    Some(Duration::from_millis(ms.max(MIN_KEEP_ALIVE_MS)))
}

/// Counts a connection against the limits, from the start of the connect until it is dropped.
struct ConnectionCount {
    pool: Rc<Pool>,
    total: Rc<Cell<usize>>,
}

impl ConnectionCount {
    fn new(pool: &Rc<Pool>, total: &Rc<Cell<usize>>) -> Self {
        pool.open.set(pool.open.get() + 1);
        total.set(total.get() + 1);
        Self {
            pool: pool.clone(),
            total: total.clone(),
        }
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        let open = &self.pool.open;
        open.set(open.get().saturating_sub(1));
        self.total.set(self.total.get().saturating_sub(1));
    }
}

#[cfg(test)]
mod tests;
