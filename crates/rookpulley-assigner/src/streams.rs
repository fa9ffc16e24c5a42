//! Connections at the assigner's address: streams of proxies, collectors, and strangers.

use crate::driver::{Event, Front, Joined};
use crate::ending::Ending;
use crate::messages::{Bad, LINE_MOST, Message, beat_answer};
use crate::outbox::Outbox;
use crate::say;
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

/// A connection has joined by this time after it was taken, or it is closed.
const JOIN_WITHIN: Duration = Duration::from_millis(1_500);
/// A line that comes before the joining holds so many bytes at most.
const FIRST_LINE_MOST: usize = 4 * 1024;
/// Whoever has been taken has this long to say who it is before it makes room for others: a joining
/// that is on its way is not cut off by a flood.
const SPEAK_WITHIN: Duration = Duration::from_millis(200);
/// Where the system gives no more connections it is asked again after this.
const ASK_AGAIN: Duration = Duration::from_millis(10);

/// In the order in which connections make room: those that never spoke first, streams never.
/// Of the collectors of one zone all but the newest may be half-open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    Silent,
    Stranger,
    Collector(ZoneId),
    Stream(ProxyId),
}

struct Conn {
    taken: Instant,
    role: Cell<Role>,
    outbox: Rc<Outbox>,
}

impl Conn {
    fn joined(&self) -> bool {
        self.role.get() > Role::Stranger
    }
}

/// The open connections, and how many there may be.
pub struct Conns {
    open: RefCell<BTreeMap<ConnId, Rc<Conn>>>,
    most: usize,
    /// A connection has ended.
    ended: Notify,
    /// Bytes of lines that have not ended yet, and how many they may add up to.
    held: Cell<usize>,
    held_most: usize,
    next: Cell<ConnId>,
}

impl Conns {
    pub fn new(most: usize, held_most: usize) -> Self {
        let (open, held, next) = (RefCell::default(), Cell::new(0), Cell::new(0));
        Self {
            open,
            most,
            ended: Notify::new(),
            held,
            held_most,
            next,
        }
    }

    fn full(&self) -> bool {
        self.count() >= self.most
    }

    /// Whether a line so long, not ended yet, is more than its connection may hold: a joined one a
    /// whole message, but no more than its share where all together hold too much.
    fn too_long(&self, held: usize, joined: bool) -> bool {
        let share = self.held_most / self.count().max(1);
        let most = if joined { LINE_MOST } else { FIRST_LINE_MOST };
        held >= most || (self.held.get() > self.held_most && held > share)
    }

    fn leave(&self, id: ConnId, held: usize) {
        self.held.set(self.held.get() - held);
        self.open.borrow_mut().remove(&id);
        self.ended.notify_one();
    }

    fn enter(&self) -> (ConnId, Rc<Conn>) {
        let id = self.next.replace(self.next.get() + 1);
        let conn = Rc::new(Conn {
            taken: Instant::now(),
            role: Cell::new(Role::Silent),
            outbox: Rc::default(),
        });
        self.open.borrow_mut().insert(id, conn.clone());
        (id, conn)
    }

    /// Ends the connection that can best be done without, one at a time, once it has had its time to
    /// speak; false where none can be done without.
    fn crowd_out(&self) -> bool {
        let open = self.open.borrow();
        let newer = |id: &ConnId, role| open.range(id + 1..).any(|(_, c)| c.role.get() == role);
        let spare = open.iter().filter(|(id, c)| match c.role.get() {
            Role::Silent | Role::Stranger => true,
            role @ Role::Collector(_) => newer(id, role),
            Role::Stream(_) => false,
        });
        let spare: Vec<_> = spare.collect();
        if !spare.iter().any(|(_, c)| c.outbox.ordered().is_some()) {
            let old = spare
                .iter()
                .filter(|(_, c)| c.taken.elapsed() >= SPEAK_WITHIN);
            let first = old.min_by_key(|(id, c)| (c.role.get(), **id));
            _ = first.inspect(|(_, c)| c.outbox.end(Ending::Crowded));
        }
        !spare.is_empty()
    }

    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }
}

/// Takes connections for as long as the assigner runs.
pub async fn accept(listener: TcpListener, front: Rc<Front>) {
    loop {
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(e) => {
                front.counters.one("connections not taken");
                say!(front.log, "listen", "a connection was not taken: {e}");
                front.conns.crowd_out();
                tokio::time::sleep(ASK_AGAIN).await;
                continue;
            }
        };
        // The one that makes room ends by its own task.
        let mut room = true;
        while room && front.conns.full() {
            room = front.conns.crowd_out();
            _ = timeout(ASK_AGAIN, front.conns.ended.notified()).await;
        }
        if !room {
            front.counters.one("connections turned away");
            say!(
                front.log,
                "listen",
                "turned away: all {} connections have joined",
                front.conns.count()
            );
            continue;
        }
        let (id, conn) = front.conns.enter();
        tokio::task::spawn_local(serve(socket, id, conn, front.clone()));
    }
}

async fn serve(socket: TcpStream, id: ConnId, conn: Rc<Conn>, front: Rc<Front>) {
    front.counters.one("connections taken");
    front
        .counters
        .most("most connections at once", front.conns.count() as u64);
    let mut held = Vec::new();
    let ending = live(&socket, id, &conn, &mut held, &front).await;
    drop(socket);
    front.conns.leave(id, held.len());
    front.counters.one(ending.count());
    let role = conn.role.get();
    if role > Role::Stranger
        || !matches!(ending, Ending::Closed | Ending::Crowded | Ending::NotJoined)
    {
        say!(front.log, "connection", "{role:?} {}", ending.count());
    }
    if let Role::Stream(proxy) = role {
        front
            .tell(Event::Ended {
                conn: id,
                proxy,
                ending,
            })
            .await;
    }
}

/// The life of a connection, from its first byte to its end.
async fn live(
    socket: &TcpStream,
    id: ConnId,
    conn: &Conn,
    held: &mut Vec<u8>,
    front: &Front,
) -> Ending {
    let outbox = &conn.outbox;
    let late = conn.taken + JOIN_WITHIN;
    loop {
        // Wait for bytes, for room to write, or for an order to end.
        let interest = if outbox.waits() {
            Interest::READABLE | Interest::WRITABLE
        } else {
            Interest::READABLE
        };
        tokio::select! {
            biased;
            () = outbox.stirred() => {}
            () = sleep_until(late), if !conn.joined() => return Ending::NotJoined,
            ready = socket.ready(interest) => if ready.is_err() { return Ending::Reset },
        }
        if let Some(ending) = outbox.ordered() {
            return ending;
        }
        if outbox.write(socket).is_err() {
            return Ending::Reset;
        }
        // Read what is there, in pieces of any size; others get their turn in between.
        tokio::task::consume_budget().await;
        let was = held.len();
        match read_some(socket, held) {
            Ok(0) => return Ending::Closed,
            Ok(size) => front.counters.add("in bytes", size as u64),
            Err(e) if e.kind() == ErrorKind::WouldBlock => continue,
            Err(_) => return Ending::Reset,
        }
        front
            .conns
            .held
            .set(front.conns.held.get() + held.len() - was);
        // Take the lines that have come whole, one after the other.
        let (mut from, mut search) = (0, was);
        while let Some(at) = held[search..].iter().position(|b| *b == b'\n') {
            let end = search + at;
            let line = &held[from..end];
            (from, search) = (end + 1, end + 1);
            if line.len()
                >= if conn.joined() {
                    LINE_MOST
                } else {
                    FIRST_LINE_MOST
                }
            {
                return Ending::TooLong;
            }
            if line.trim_ascii().is_empty() {
                continue;
            }
            let message = match front.words.decode(line) {
                Ok(message) => message,
                Err(bad) => {
                    front.counters.one(&bad.count());
                    say!(front.log, "bad input", "from {:?}: {bad}", conn.role.get());
                    match bad {
                        Bad::Unreadable(_) => return Ending::Unreadable,
                        Bad::Spoilt { .. } if !conn.joined() => return Ending::OutOfTurn,
                        Bad::Spoilt { .. } => continue,
                    }
                }
            };
            front.counters.one(&format!("in {}", message.name()));
            match (conn.role.get(), message) {
                (role, Message::Beat) => {
                    conn.role.set(role.max(Role::Stranger));
                    outbox.put(beat_answer());
                    front.counters.one("out beat answers");
                }
                (Role::Silent | Role::Stranger, Message::Collector { zone }) => {
                    conn.role.set(Role::Collector(zone));
                }
                (
                    Role::Silent | Role::Stranger,
                    Message::Joining {
                        proxy,
                        zone,
                        usual_per_s,
                        fresh,
                        holds,
                    },
                ) => {
                    conn.role.set(Role::Stream(proxy));
                    let outbox = outbox.clone();
                    let joined = Joined {
                        conn: id,
                        outbox,
                        proxy,
                        zone,
                        usual_per_s,
                        fresh,
                        holds,
                    };
                    front.tell(Event::Joined(joined)).await;
                }
                (
                    Role::Stream(own),
                    Message::OfProxy {
                        proxy,
                        input,
                        holds,
                    },
                ) if own == proxy => {
                    front
                        .tell(Event::OnStream {
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
                    front
                        .tell(Event::Refused {
                            conn: id,
                            proxy,
                            kinds,
                            holds,
                        })
                        .await;
                }
                (Role::Collector(_), Message::Heard(input))
                | (
                    Role::Collector(_),
                    Message::OfProxy {
                        input: input @ Input::ProxyUsage { .. },
                        ..
                    },
                ) => {
                    front.tell(Event::Report(input)).await;
                }
                (Role::Silent | Role::Stranger, _) => return Ending::OutOfTurn,
                (role, message) => {
                    front.counters.one("bad input: out of turn");
                    say!(
                        front.log,
                        "bad input",
                        "from {role:?}: {} out of turn",
                        message.name()
                    );
                }
            }
        }
        held.drain(..from);
        front.conns.held.set(front.conns.held.get() - from);
        if front.conns.too_long(held.len(), conn.joined()) {
            return Ending::TooLong;
        }
        if held.is_empty() {
            *held = Vec::new();
        }
    }
}

fn read_some(socket: &TcpStream, held: &mut Vec<u8>) -> std::io::Result<usize> {
    let mut bytes = [0; 16 * 1024];
    let size = socket.try_read(&mut bytes)?;
    held.extend_from_slice(&bytes[..size]);
    Ok(size)
}
