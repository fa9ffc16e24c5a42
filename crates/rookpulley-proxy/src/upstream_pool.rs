//! Connections to instances: few, used again, never after anything odd.
//!
//! A request that isn't idempotent goes only on a connection that the instance is known to keep: a new one, which has
//! rested for long enough that the instance would have reset it, or one that was used a moment ago.

use crate::request_body::RequestBody;
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
/// The way to another zone is longer.
const OTHER_ZONE_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// An idle connection is kept for so long, less where the instance ends it sooner.
const IDLE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// An instance that doesn't say how long it keeps a connection may end it within the second. One that was used this
/// lately will hardly have been ended: a request that isn't idempotent can go there.
const FRESH: Duration = Duration::from_millis(250);
/// One that was idle for longer is checked again before it is used.
const CHECKED_AFTER: Duration = Duration::from_millis(20);
/// A connection that was idle and isn't ready at once isn't waited for.
const READY_TIMEOUT: Duration = Duration::from_millis(20);
const MAX_PARSER_BYTES: usize = 64 << 10;
/// An instance that has enough connections resets a new one as soon as it sees it. What isn't idempotent waits for so
/// long, a way there and back and some: before it is sent, it can still go elsewhere.
const MIN_REST: Duration = Duration::from_millis(1);
const MAX_REST: Duration = Duration::from_millis(10);
/// A connection is kept a second less than the instance says, and no longer than an hour.
const KEEP_ALIVE_MARGIN_MS: u64 = 1_000;
const MIN_KEEP_ALIVE_MS: u64 = 300;
const MAX_KEEP_ALIVE_S: u64 = 3_600;

/// How long an instance keeps a connection after a response. None: it doesn't say.
pub type KeepAlive = Option<Duration>;

/// What connection is wanted.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// How many there may be to the instance.
    pub max_connections: usize,
    /// The request may run twice at no harm.
    pub is_idempotent: bool,
    /// None that was used before.
    pub needs_new: bool,
}

/// Why there is no connection.
#[derive(Debug, PartialEq)]
pub enum ConnectError {
    /// There are as many as there may be.
    Limit,
    Unreachable,
}

/// Connections to one incarnation.
#[derive(Default)]
struct Pool {
    open: Cell<usize>,
    idle: RefCell<Vec<UpstreamConnection>>,
    is_closed: Cell<bool>,
}

/// All connections to instances.
pub struct UpstreamPools {
    zone: String,
    pools: RefCell<HashMap<IncarnationId, Rc<Pool>>>,
    open: Rc<Cell<usize>>,
    max_connections: usize,
}

/// One connection. Dropped, it is closed at once.
pub struct UpstreamConnection {
    pub sender: SendRequest<RequestBody>,
    /// It was idle before: the instance may have closed it since.
    pub was_idle: bool,
    pending: Rc<PendingResponse>,
    _open: OpenConnection,
    pool: Rc<Pool>,
    /// When it is to be closed.
    expires: Instant,
    /// The instance has said how long it keeps it.
    has_keep_alive: bool,
    /// When it was used last.
    released: Instant,
    driver: AbortHandle,
}

impl UpstreamPools {
    /// `zone` is that of this proxy.
    pub fn new(zone: &str, max_connections: usize) -> Self {
        Self {
            zone: zone.to_owned(),
            pools: RefCell::default(),
            open: Rc::default(),
            max_connections,
        }
    }

    /// A connection to this instance: an idle one, or a new one.
    pub async fn connect(
        &self,
        to: &TableEntry,
        demand: Demand,
    ) -> Result<UpstreamConnection, ConnectError> {
        let pool = {
            let mut pools = self.pools.borrow_mut();
            pools.entry(to.incarnation.clone()).or_default().clone()
        };
        if !demand.needs_new
            && let Some(idle) = pool.take_ready(demand.is_idempotent).await
        {
            return Ok(idle);
        }
        let before = pool.open.get() + self.open.get();
        if !self.make_room(&pool, demand.max_connections) {
            return Err(ConnectError::Limit);
        }
        let has_made_room = pool.open.get() + self.open.get() < before;
        let open = OpenConnection::new(&pool, &self.open);
        if has_made_room {
            // What was just given up is closed before the instance hears of another.
            tokio::task::yield_now().await;
        }
        self.connect_new(to, pool, open, demand.is_idempotent).await
    }

    async fn connect_new(
        &self,
        to: &TableEntry,
        pool: Rc<Pool>,
        open: OpenConnection,
        is_idempotent: bool,
    ) -> Result<UpstreamConnection, ConnectError> {
        let began = Instant::now();
        let timeout = if to.zone == self.zone {
            CONNECT_TIMEOUT
        } else {
            OTHER_ZONE_CONNECT_TIMEOUT
        };
        let stream = tokio::time::timeout(timeout, TcpStream::connect(to.address)).await;
        let Ok(Ok(stream)) = stream else {
            return Err(ConnectError::Unreachable);
        };
        let round_trip = began.elapsed();
        let connection = UpstreamConnection::new(stream, pool, open).await?;
        if !is_idempotent {
            tokio::time::sleep((round_trip * 2).clamp(MIN_REST, MAX_REST)).await;
            if connection.sender.is_closed() {
                return Err(ConnectError::Unreachable);
            }
        }
        Ok(connection)
    }

    /// Closes connections that are idle where there are as many as there may be.
    fn make_room(&self, pool: &Pool, max_connections: usize) -> bool {
        while pool.open.get() >= max_connections {
            if pool.idle.borrow_mut().pop().is_none() {
                return false;
            }
        }
        self.open.get() < self.max_connections
            || pool.idle.borrow_mut().pop().is_some()
            || self.close_any_idle()
    }

    /// No request goes to this incarnation any more.
    pub fn close(&self, incarnation: &IncarnationId) {
        let pool = self.pools.borrow_mut().remove(incarnation);
        if let Some(pool) = pool {
            pool.is_closed.set(true);
            let idle = std::mem::take(&mut *pool.idle.borrow_mut());
            drop(idle);
        }
    }

    /// Closes what has been idle too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        // They are closed once nothing is borrowed any more.
        let mut expired = Vec::new();
        self.pools.borrow_mut().retain(|_, pool| {
            let mut idle = pool.idle.borrow_mut();
            expired.extend(idle.extract_if(.., |connection| !connection.is_usable(now)));
            pool.open.get() > 0
        });
    }

    /// Closes an idle connection to any instance.
    fn close_any_idle(&self) -> bool {
        let pools = self.pools.borrow();
        let idle = pools.values().find_map(|pool| pool.idle.borrow_mut().pop());
        idle.is_some()
    }
}

impl Pool {
    /// An idle connection that a request can be sent on at once.
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

    /// The idle connection that was used last.
    fn take_idle(&self, is_idempotent: bool) -> Option<UpstreamConnection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            let is_known_to_be_kept =
                connection.has_keep_alive || now - connection.released <= FRESH;
            if !is_idempotent && !is_known_to_be_kept {
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
        open: OpenConnection,
    ) -> Result<Self, ConnectError> {
        connection::configure(&stream, connection::USER_TIMEOUT);
        let pending = Rc::new(PendingResponse::default());
        let filter = TokioIo::new(ResponseFilter::new(stream, pending.clone()));
        let handshake = Builder::new()
            .max_buf_size(MAX_PARSER_BYTES)
            .handshake(filter);
        let Ok((sender, connection)) = handshake.await else {
            return Err(ConnectError::Unreachable);
        };
        let driver = tokio::task::spawn_local(async move {
            if let Err(why) = connection.await {
                tracing::debug!("upstream: the connection to an instance ended: {why}");
            }
        });
        let now = Instant::now();
        Ok(Self {
            sender,
            was_idle: false,
            pending,
            _open: open,
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

    /// A request is sent on it.
    pub fn begin(&self, id: &HeaderValue, is_head: bool, is_idempotent: bool) {
        let is_checked = !is_idempotent || self.released.elapsed() > CHECKED_AFTER;
        self.pending.begin(id, is_head, is_checked);
    }

    /// Nothing of the request has been sent.
    pub fn is_unsent(&self) -> bool {
        self.pending.is_unsent()
    }

    /// The complete response has come: the connection may serve again.
    pub fn release(mut self, keep_alive: KeepAlive) {
        let now = Instant::now();
        self.was_idle = true;
        self.released = now;
        self.expires = now + keep_alive.map_or(IDLE_TIMEOUT, |time| time.min(IDLE_TIMEOUT));
        self.has_keep_alive = keep_alive.is_some();
        let pool = self.pool.clone();
        let is_odd = pool.is_closed.get() || self.pending.is_out_of_order();
        if !is_odd && self.is_usable(now) {
            pool.idle.borrow_mut().push(self);
        }
    }
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// How long the instance keeps the connection after this response, a second less than it says.
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

/// Counts a connection from its first moment, also one that doesn't come up.
struct OpenConnection {
    pool: Rc<Pool>,
    all: Rc<Cell<usize>>,
}

impl OpenConnection {
    fn new(pool: &Rc<Pool>, all: &Rc<Cell<usize>>) -> Self {
        pool.open.set(pool.open.get() + 1);
        all.set(all.get() + 1);
        Self {
            pool: pool.clone(),
            all: all.clone(),
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let open = &self.pool.open;
        open.set(open.get().saturating_sub(1));
        self.all.set(self.all.get().saturating_sub(1));
    }
}

#[cfg(test)]
mod tests;
