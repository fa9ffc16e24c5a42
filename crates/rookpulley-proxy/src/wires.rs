//! Connections to tasks: few, used again, never after anything odd.

use crate::bodies::Parcel;
use crate::sieve::{Awaited, Sieve};
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

const CONNECT: Duration = Duration::from_millis(150);
/// The way to another zone is longer.
const CONNECT_FAR: Duration = Duration::from_millis(300);
/// An idle connection is kept so long, less where the task ends it sooner.
const IDLE: Duration = Duration::from_millis(4_000);
/// A task that doesn't say how long it keeps a connection may end it within the second. One that was used this lately
/// will hardly have been ended: a request that may run once can go there.
const FRESH: Duration = Duration::from_millis(250);
/// One that rested longer is looked at again before it is used.
const LOOKED_AT: Duration = Duration::from_millis(20);
/// A connection that was idle and isn't ready at once isn't waited for.
const READY: Duration = Duration::from_millis(20);
const BUFFER: usize = 64 << 10;
/// A task that has enough connections resets a new one as soon as it sees it. What may run once waits for so long, a
/// way there and back and some: before it has left, it can still go elsewhere.
const REST: Duration = Duration::from_millis(1);
const LONGEST_REST: Duration = Duration::from_millis(10);

/// Connections to one incarnation of a task.
#[derive(Default)]
struct Pool {
    open: Cell<usize>,
    idle: RefCell<Vec<Wire>>,
    forgotten: Cell<bool>,
}

pub struct Wires {
    zone: String,
    pools: RefCell<HashMap<IncarnationId, Rc<Pool>>>,
    open: Rc<Cell<usize>>,
    most: usize,
}

/// One connection; dropped, it is ended at once.
pub struct Wire {
    pub sender: SendRequest<Parcel>,
    /// It was idle before: the task may have ended it since.
    pub used: bool,
    awaited: Rc<Awaited>,
    pool: Rc<Pool>,
    all: Rc<Cell<usize>>,
    until: Instant,
    /// The task said how long it keeps it.
    told: bool,
    freed: Instant,
    driver: Option<AbortHandle>,
}

#[derive(Debug, PartialEq)]
pub enum NoWire {
    /// There are as many as there may be.
    Full,
    Unreachable,
}

impl Wires {
    pub fn new(zone: &str, most: usize) -> Wires {
        Wires {
            zone: zone.to_owned(),
            pools: RefCell::default(),
            open: Rc::default(),
            most,
        }
    }

    /// A connection to this task. `bound`: how many there may be; `once`: for what may run once only;
    /// `anew`: none that was used before.
    pub async fn take(
        &self,
        to: &TableEntry,
        bound: usize,
        once: bool,
        anew: bool,
    ) -> Result<Wire, NoWire> {
        let pool = self
            .pools
            .borrow_mut()
            .entry(to.incarnation.clone())
            .or_default()
            .clone();
        while let Some(mut wire) = if anew { None } else { pool.pop(once) } {
            if wire.sender.is_ready()
                || matches!(
                    tokio::time::timeout(READY, wire.sender.ready()).await,
                    Ok(Ok(()))
                )
            {
                return Ok(wire);
            }
        }
        let before = pool.open.get() + self.open.get();
        if !self.make_room(&pool, bound) {
            return Err(NoWire::Full);
        }
        let makes_room = pool.open.get() + self.open.get() < before;
        let count = Count::new(pool, self.open.clone());
        if makes_room {
            // What was just given up is ended before the task hears of another.
            tokio::task::yield_now().await;
        }
        let began = Instant::now();
        let within = if to.zone == self.zone {
            CONNECT
        } else {
            CONNECT_FAR
        };
        let connect = tokio::time::timeout(within, TcpStream::connect(to.address)).await;
        let Ok(Ok(stream)) = connect else {
            return Err(NoWire::Unreachable);
        };
        let way = began.elapsed();
        connection::configure(&stream, connection::UNACKNOWLEDGED);
        let awaited = Rc::new(Awaited::default());
        let sieve = TokioIo::new(Sieve::new(stream, awaited.clone()));
        let shaken = Builder::new().max_buf_size(BUFFER).handshake(sieve).await;
        let Ok((sender, connection)) = shaken else {
            return Err(NoWire::Unreachable);
        };
        let driver = tokio::task::spawn_local(async move {
            if let Err(why) = connection.await {
                tracing::debug!("wires: a task's connection ended: {why}");
            }
        });
        let (pool, all) = count.keep();
        let now = Instant::now();
        let driver = Some(driver.abort_handle());
        let (until, told) = (now + IDLE, false);
        let wire = Wire {
            sender,
            used: false,
            awaited,
            pool,
            all,
            until,
            told,
            freed: now,
            driver,
        };
        if once {
            tokio::time::sleep((way * 2).clamp(REST, LONGEST_REST)).await;
            if wire.sender.is_closed() {
                return Err(NoWire::Unreachable);
            }
        }
        Ok(wire)
    }

    /// Ends connections that are idle where there are as many as there may be.
    fn make_room(&self, pool: &Pool, bound: usize) -> bool {
        while pool.open.get() >= bound {
            if pool.idle.borrow_mut().pop().is_none() {
                return false;
            }
        }
        self.open.get() < self.most || pool.idle.borrow_mut().pop().is_some() || self.free_one()
    }

    /// No request goes to this incarnation any more.
    pub fn forget(&self, incarnation: &IncarnationId) {
        let pool = self.pools.borrow_mut().remove(incarnation);
        if let Some(pool) = pool {
            pool.forgotten.set(true);
            let idle = std::mem::take(&mut *pool.idle.borrow_mut());
            drop(idle);
        }
    }

    /// Ends what has been idle too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut old = Vec::new();
        self.pools.borrow_mut().retain(|_, pool| {
            let mut idle = pool.idle.borrow_mut();
            old.extend(idle.extract_if(.., |wire| wire.until <= now || wire.sender.is_closed()));
            pool.open.get() > 0
        });
    }

    /// Ends an idle connection to any task.
    fn free_one(&self) -> bool {
        let pools = self.pools.borrow();
        let spare = pools.values().find_map(|pool| pool.idle.borrow_mut().pop());
        spare.is_some()
    }
}

impl Pool {
    /// The one used last.
    fn pop(&self, once: bool) -> Option<Wire> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        while let Some(wire) = idle.pop() {
            if once && !wire.told && now - wire.freed > FRESH {
                idle.push(wire);
                return None;
            }
            if wire.until > now && !wire.sender.is_closed() {
                return Some(wire);
            }
        }
        None
    }
}

impl Wire {
    /// A request goes out on it.
    pub fn begin(&self, id: &HeaderValue, head: bool, once: bool) {
        let look = once || self.freed.elapsed() > LOOKED_AT;
        self.awaited.begin(id, head, look);
    }

    /// Nothing of the request that went out has left.
    pub fn unsent(&self) -> bool {
        self.awaited.unsent()
    }

    /// The whole answer has come: the connection may serve again.
    pub fn free(mut self, kept_for: Option<Duration>) {
        let now = Instant::now();
        (self.used, self.freed) = (true, now);
        self.until = now + kept_for.map_or(IDLE, |time| time.min(IDLE));
        self.told = kept_for.is_some();
        let pool = self.pool.clone();
        let spoilt = pool.forgotten.get() || self.awaited.mixed() || self.sender.is_closed();
        if !spoilt && self.until > now {
            pool.idle.borrow_mut().push(self);
        }
    }
}

/// How long the task keeps the connection after this answer; none: it doesn't say. A second less than it says.
pub fn kept_for(headers: &HeaderMap) -> Option<Duration> {
    let closes = |value: &HeaderValue| {
        value
            .to_str()
            .is_ok_and(|value| value.to_ascii_lowercase().contains("close"))
    };
    if headers.get_all(CONNECTION).iter().any(closes) {
        return Some(Duration::ZERO);
    }
    let says = headers.get("keep-alive")?.to_str().ok()?;
    let parameter = |part: &str| part.trim().strip_prefix("timeout=")?.parse::<u64>().ok();
    let seconds = says.split(',').find_map(parameter)?;
    Some(Duration::from_millis(
        (seconds.min(3_600) * 1_000).saturating_sub(1_000).max(300),
    ))
}

/// Counts a connection from its first moment, also one that doesn't come up.
struct Count(Option<(Rc<Pool>, Rc<Cell<usize>>)>);

impl Count {
    fn new(pool: Rc<Pool>, all: Rc<Cell<usize>>) -> Count {
        pool.open.set(pool.open.get() + 1);
        all.set(all.get() + 1);
        Count(Some((pool, all)))
    }

    fn keep(mut self) -> (Rc<Pool>, Rc<Cell<usize>>) {
        self.0.take().unwrap_or_default()
    }
}

fn less(pool: &Pool, all: &Cell<usize>) {
    pool.open.set(pool.open.get().saturating_sub(1));
    all.set(all.get().saturating_sub(1));
}

impl Drop for Count {
    fn drop(&mut self) {
        if let Some((pool, all)) = &self.0 {
            less(pool, all);
        }
    }
}

impl Drop for Wire {
    fn drop(&mut self) {
        if let Some(driver) = self.driver.take() {
            driver.abort();
        }
        less(&self.pool, &self.all);
    }
}

#[cfg(test)]
mod tests;
