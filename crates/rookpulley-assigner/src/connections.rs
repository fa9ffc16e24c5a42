//! Connections at the assigner's listen address: proxy streams, collectors and unidentified clients.

use crate::close_reason::CloseReason;
use crate::driver::{Context, Event, JoinedProxy};
use crate::log_event;
use crate::messages::{MAX_LINE_BYTES, Message, ParseError, heartbeat_reply};
use crate::outbox::Outbox;
use rookpulley::interface::{Input, ProxyId, ZoneId};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout};

pub type ConnId = u64;

/// A connection that has not identified itself within this time is closed.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Line limit before a connection has identified itself.
const MAX_FIRST_LINE_BYTES: usize = 4 * 1024;
/// Connections are not evicted before this age, so that a join message in flight survives a flood
/// of new connections.
const IDENTIFY_GRACE: Duration = Duration::from_millis(200);
/// Wait after a failed `accept`, and between eviction attempts.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// Who a connection belongs to, in eviction order: silent ones first, streams never. Of a zone's
/// collectors only the newest is exempt, since older ones may be half-open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    Silent,
    Unidentified,
    Collector(ZoneId),
    Stream(ProxyId),
}

struct Conn {
    accepted_at: Instant,
    role: Cell<Role>,
    outbox: Rc<Outbox>,
}

impl Conn {
    fn joined(&self) -> bool {
        self.role.get() > Role::Unidentified
    }
}

/// The open connections and their limits.
pub struct Connections {
    open: RefCell<BTreeMap<ConnId, Rc<Conn>>>,
    limit: usize,
    /// Notified when a connection closes.
    closed: Notify,
    /// Bytes of incomplete lines over all connections, and their limit.
    buffered: Cell<usize>,
    buffered_limit: usize,
    next_id: Cell<ConnId>,
}

impl Connections {
    pub fn new(limit: usize, buffered_limit: usize) -> Self {
        let (open, buffered, next_id) = (RefCell::default(), Cell::new(0), Cell::new(0));
        Self {
            open,
            limit,
            closed: Notify::new(),
            buffered,
            buffered_limit,
            next_id,
        }
    }

    fn is_full(&self) -> bool {
        self.count() >= self.limit
    }

    /// Whether an incomplete line exceeds the line limit of its connection or, once the total is
    /// over its limit, an equal share of the total.
    fn too_long(&self, len: usize, joined: bool) -> bool {
        let share = self.buffered_limit / self.count().max(1);
        let limit = if joined {
            MAX_LINE_BYTES
        } else {
            MAX_FIRST_LINE_BYTES
        };
        len >= limit || (self.buffered.get() > self.buffered_limit && len > share)
    }

    fn remove(&self, id: ConnId, len: usize) {
        self.buffered.set(self.buffered.get() - len);
        self.open.borrow_mut().remove(&id);
        self.closed.notify_one();
    }

    fn insert(&self) -> (ConnId, Rc<Conn>) {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let conn = Rc::new(Conn {
            accepted_at: Instant::now(),
            role: Cell::new(Role::Silent),
            outbox: Rc::default(),
        });
        self.open.borrow_mut().insert(id, conn.clone());
        (id, conn)
    }

    /// Evicts the first candidate in eviction order that is past `IDENTIFY_GRACE`, unless an eviction
    /// is pending. Returns false if there is no candidate.
    fn evict_one(&self) -> bool {
        let open = self.open.borrow();
        let newer = |id: &ConnId, role| open.range(id + 1..).any(|(_, c)| c.role.get() == role);
        let candidates = open.iter().filter(|(id, c)| match c.role.get() {
            Role::Silent | Role::Unidentified => true,
            role @ Role::Collector(_) => newer(id, role),
            Role::Stream(_) => false,
        });
        let candidates: Vec<_> = candidates.collect();
        if !candidates
            .iter()
            .any(|(_, c)| c.outbox.close_reason().is_some())
        {
            let eligible = candidates
                .iter()
                .filter(|(_, c)| c.accepted_at.elapsed() >= IDENTIFY_GRACE);
            let victim = eligible.min_by_key(|(id, c)| (c.role.get(), **id));
            _ = victim.inspect(|(_, c)| c.outbox.close(CloseReason::Evicted));
        }
        !candidates.is_empty()
    }

    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }
}

/// Accepts connections until shutdown.
pub async fn accept(listener: TcpListener, ctx: Rc<Context>) {
    loop {
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(e) => {
                ctx.counters.inc("connections not taken");
                log_event!(ctx.log, "listen", "accept failed: {e}");
                ctx.conns.evict_one();
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        // The task of the evicted connection removes it.
        let mut has_room = true;
        while has_room && ctx.conns.is_full() {
            has_room = ctx.conns.evict_one();
            _ = timeout(ACCEPT_RETRY, ctx.conns.closed.notified()).await;
        }
        if !has_room {
            ctx.counters.inc("connections turned away");
            log_event!(
                ctx.log,
                "listen",
                "connection rejected: all {} connections are in use",
                ctx.conns.count()
            );
            continue;
        }
        let (id, conn) = ctx.conns.insert();
        tokio::task::spawn_local(handle(socket, id, conn, ctx.clone()));
    }
}

async fn handle(socket: TcpStream, id: ConnId, conn: Rc<Conn>, ctx: Rc<Context>) {
    ctx.counters.inc("connections taken");
    ctx.counters
        .record_max("most connections at once", ctx.conns.count() as u64);
    let mut buffer = Vec::new();
    let reason = run(&socket, id, &conn, &mut buffer, &ctx).await;
    drop(socket);
    ctx.conns.remove(id, buffer.len());
    ctx.counters.inc(reason.counter());
    let role = conn.role.get();
    if role > Role::Unidentified
        || !matches!(
            reason,
            CloseReason::Closed | CloseReason::Evicted | CloseReason::JoinTimeout
        )
    {
        log_event!(ctx.log, "connection", "{role:?} {}", reason.counter());
    }
    if let Role::Stream(proxy) = role {
        ctx.send(Event::Disconnected {
            conn: id,
            proxy,
            reason,
        })
        .await;
    }
}

/// Reads and writes a connection until it closes, and returns the reason.
async fn run(
    socket: &TcpStream,
    id: ConnId,
    conn: &Conn,
    buffer: &mut Vec<u8>,
    ctx: &Context,
) -> CloseReason {
    let outbox = &conn.outbox;
    let join_deadline = conn.accepted_at + JOIN_TIMEOUT;
    loop {
        // Wait for input, for space in the send buffer, or for a close request.
        let interest = if outbox.has_pending() {
            Interest::READABLE | Interest::WRITABLE
        } else {
            Interest::READABLE
        };
        tokio::select! {
            biased;
            () = outbox.changed() => {}
            () = sleep_until(join_deadline), if !conn.joined() => return CloseReason::JoinTimeout,
            ready = socket.ready(interest) => if ready.is_err() { return CloseReason::Reset },
        }
        if let Some(reason) = outbox.close_reason() {
            return reason;
        }
        if outbox.flush(socket).is_err() {
            return CloseReason::Reset;
        }
        // Read what is available; the budget lets other tasks run in between.
        tokio::task::consume_budget().await;
        let previous = buffer.len();
        match read_available(socket, buffer) {
            Ok(0) => return CloseReason::Closed,
            Ok(size) => ctx.counters.add("in bytes", size as u64),
            Err(e) if e.kind() == ErrorKind::WouldBlock => continue,
            Err(_) => return CloseReason::Reset,
        }
        ctx.conns
            .buffered
            .set(ctx.conns.buffered.get() + buffer.len() - previous);
        // Process the complete lines.
        let (mut from, mut search) = (0, previous);
        while let Some(offset) = buffer[search..].iter().position(|b| *b == b'\n') {
            let end = search + offset;
            let line = &buffer[from..end];
            (from, search) = (end + 1, end + 1);
            if line.len()
                >= if conn.joined() {
                    MAX_LINE_BYTES
                } else {
                    MAX_FIRST_LINE_BYTES
                }
            {
                return CloseReason::LineTooLong;
            }
            if line.trim_ascii().is_empty() {
                continue;
            }
            let message = match ctx.codec.decode(line) {
                Ok(message) => message,
                Err(error) => {
                    ctx.counters.inc(&error.counter());
                    log_event!(ctx.log, "bad input", "from {:?}: {error}", conn.role.get());
                    match error {
                        ParseError::Malformed(_) => return CloseReason::Malformed,
                        ParseError::Field { .. } if !conn.joined() => return CloseReason::Protocol,
                        ParseError::Field { .. } => continue,
                    }
                }
            };
            ctx.counters.inc(&format!("in {}", message.name()));
            match (conn.role.get(), message) {
                (role, Message::Heartbeat) => {
                    conn.role.set(role.max(Role::Unidentified));
                    outbox.push(heartbeat_reply());
                    ctx.counters.inc("out beat answers");
                }
                (Role::Silent | Role::Unidentified, Message::Collector { zone }) => {
                    conn.role.set(Role::Collector(zone));
                }
                (
                    Role::Silent | Role::Unidentified,
                    Message::Join {
                        proxy,
                        zone,
                        usual_per_s,
                        fresh,
                        holds,
                    },
                ) => {
                    conn.role.set(Role::Stream(proxy));
                    let outbox = outbox.clone();
                    let joined = JoinedProxy {
                        conn: id,
                        outbox,
                        proxy,
                        zone,
                        usual_per_s,
                        fresh,
                        holds,
                    };
                    ctx.send(Event::Joined(joined)).await;
                }
                (
                    Role::Stream(own),
                    Message::ProxyInput {
                        proxy,
                        input,
                        holds,
                    },
                ) if own == proxy => {
                    ctx.send(Event::ProxyInput {
                        conn: id,
                        proxy,
                        input,
                        holds,
                    })
                    .await;
                }
                (
                    Role::Stream(own),
                    Message::Refused {
                        proxy,
                        kinds,
                        holds,
                    },
                ) if own == proxy => {
                    ctx.send(Event::Refused {
                        conn: id,
                        proxy,
                        kinds,
                        holds,
                    })
                    .await;
                }
                (Role::Collector(_), Message::Report(input))
                | (
                    Role::Collector(_),
                    Message::ProxyInput {
                        input: input @ Input::ProxyUsage { .. },
                        ..
                    },
                ) => {
                    ctx.send(Event::Report(input)).await;
                }
                (Role::Silent | Role::Unidentified, _) => return CloseReason::Protocol,
                (role, message) => {
                    ctx.counters.inc("bad input: out of turn");
                    log_event!(
                        ctx.log,
                        "bad input",
                        "from {role:?}: unexpected {}",
                        message.name()
                    );
                }
            }
        }
        buffer.drain(..from);
        ctx.conns.buffered.set(ctx.conns.buffered.get() - from);
        if ctx.conns.too_long(buffer.len(), conn.joined()) {
            return CloseReason::LineTooLong;
        }
        if buffer.is_empty() {
            *buffer = Vec::new();
        }
    }
}

fn read_available(socket: &TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<usize> {
    let mut bytes = [0; 16 * 1024];
    let size = socket.try_read(&mut bytes)?;
    buffer.extend_from_slice(&bytes[..size]);
    Ok(size)
}
