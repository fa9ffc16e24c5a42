//! A link between dispatchers and an assigner: whole lines pass, are lost, come twice, come late or overtake
//! one another, and connections are cut, by a seed. Never are more than `IN_A_ROW` lines of one direction and
//! dispatcher lost in a row, and the joining itself is never lost: it stands for the dialling.

use crate::checker::Seen;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

const IN_A_ROW: u32 = 2;

/// Parts of the lines that meet each fault; all 0: a link that does nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub lose: f64,
    pub double: f64,
    /// These come up to `late_ms` after their time, and may be overtaken.
    pub delay: f64,
    pub late_ms: f64,
    pub cut: f64,
    /// A dispatcher that was cut off is left alone for this long.
    pub cut_pause_ms: f64,
}

#[derive(Default)]
struct Row {
    lost: [u32; 2],
    cut_at: Option<Instant>,
}

pub struct Link {
    pub place: SocketAddr,
    faults: Cell<Faults>,
    rng: RefCell<ChaCha8Rng>,
    rows: RefCell<BTreeMap<u64, Row>>,
    seen: Rc<dyn Fn(Seen)>,
    streams: Rc<Cell<u64>>,
    pub lost: Cell<u64>,
    pub doubled: Cell<u64>,
    pub cuts: Cell<u64>,
    cutting: Notify,
}

/// What becomes of one line.
enum Fate {
    Cut,
    Lost,
    Passes { copies: u32, late_ms: f64 },
}

impl Link {
    /// Opens a link to an assigner. `seen` is told of what comes out of it; `streams` numbers the connections.
    pub async fn open(
        to: SocketAddr,
        seed: u64,
        faults: Faults,
        streams: Rc<Cell<u64>>,
        seen: Rc<dyn Fn(Seen)>,
    ) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (rng, rows) = (ChaCha8Rng::seed_from_u64(seed), BTreeMap::new());
        let link = Rc::new(Self {
            place: listener.local_addr()?,
            faults: Cell::new(faults),
            rng: RefCell::new(rng),
            rows: RefCell::new(rows),
            seen,
            streams,
            lost: Cell::new(0),
            doubled: Cell::new(0),
            cuts: Cell::new(0),
            cutting: Notify::new(),
        });
        let here = link.clone();
        spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                spawn_local(here.clone().carry(near, to));
            }
        });
        Ok(link)
    }

    /// From now on these faults; what is on its way stays so.
    pub fn set(&self, faults: Faults) {
        self.faults.set(faults);
    }

    /// Cuts all connections that are open now.
    pub fn cut_all(&self) {
        self.cutting.notify_waiters();
    }

    fn fate(&self, dispatcher: u64, way: usize, first: bool) -> Fate {
        let (faults, mut rng, mut rows) = (
            self.faults.get(),
            self.rng.borrow_mut(),
            self.rows.borrow_mut(),
        );
        let row = rows.entry(dispatcher).or_default();
        let mut chance = |part: f64| part > 0.0 && rng.random_range(0.0..1.0) < part;
        let rested = row
            .cut_at
            .is_none_or(|at| at.elapsed().as_secs_f64() * 1e3 > faults.cut_pause_ms);
        if rested && !first && chance(faults.cut) {
            row.cut_at = Some(Instant::now());
            self.cuts.set(self.cuts.get() + 1);
            return Fate::Cut;
        }
        if !first && row.lost[way] < IN_A_ROW && chance(faults.lose) {
            row.lost[way] += 1;
            self.lost.set(self.lost.get() + 1);
            return Fate::Lost;
        }
        row.lost[way] = 0;
        let copies = if !first && chance(faults.double) {
            2
        } else {
            1
        };
        self.doubled.set(self.doubled.get() + u64::from(copies - 1));
        let late = !first && chance(faults.delay);
        let late_ms = if late {
            rng.random_range(0.0..faults.late_ms.max(0.1))
        } else {
            0.0
        };
        Fate::Passes { copies, late_ms }
    }

    /// One connection, from both sides, until either ends or it is cut.
    async fn carry(self: Rc<Self>, near: TcpStream, to: SocketAddr) {
        let Ok(far) = TcpStream::connect(to).await else {
            return;
        };
        _ = (near.set_nodelay(true), far.set_nodelay(true));
        let stream = self.streams.replace(self.streams.get() + 1);
        let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
        let (who, cut) = (Rc::new(Cell::new(u64::MAX)), Rc::new(Notify::new()));
        tokio::select! {
            () = self.clone().one_way(0, stream, near_in, far_out, who.clone(), cut.clone()) => {}
            () = self.clone().one_way(1, stream, far_in, near_out, who.clone(), cut.clone()) => {}
            () = cut.notified() => {}
            () = self.cutting.notified() => {}
        }
        (self.seen)(Seen::Ended {
            stream,
            dispatcher: who.get(),
        });
    }

    /// Lines of one direction: 0 towards the assigner, 1 from it.
    async fn one_way(
        self: Rc<Self>,
        way: usize,
        stream: u64,
        from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        who: Rc<Cell<u64>>,
        cut: Rc<Notify>,
    ) {
        let (sender, mut lines) = mpsc::unbounded_channel::<(Instant, u64, String)>();
        let seen = self.seen.clone();
        let whose = who.clone();
        // What is due is written in the order of its time: that is how a late line is overtaken.
        let writing = async move {
            let mut waiting: BTreeMap<(Instant, u64), String> = BTreeMap::new();
            let mut open = true;
            while open || !waiting.is_empty() {
                let due = waiting.keys().next().map(|(due, _)| *due);
                tokio::select! {
                    line = lines.recv(), if open => match line {
                        Some((due, place, line)) => _ = waiting.insert((due, place), line),
                        None => open = false,
                    },
                    () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                        let Some((_, line)) = waiting.pop_first() else { continue };
                        let message: Value = serde_json::from_str(&line).unwrap_or_default();
                        let dispatcher = whose.get();
                        seen(match way {
                            0 => Seen::Up { stream, dispatcher, message },
                            _ => Seen::Down { stream, dispatcher, message },
                        });
                        if to.write_all(line.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                }
            }
        };
        let reading = async move {
            let mut from = BufReader::new(from);
            let (mut line, mut place) = (String::new(), 0);
            while from.read_line(&mut line).await.is_ok_and(|size| size > 0) {
                let first = who.get() == u64::MAX && way == 0;
                if first {
                    let message: Value = serde_json::from_str(&line).unwrap_or_default();
                    who.set(message["proxy"].as_u64().unwrap_or(u64::MAX - 1));
                }
                match self.fate(who.get(), way, first) {
                    Fate::Cut => return cut.notify_one(),
                    Fate::Lost => {}
                    Fate::Passes { copies, late_ms } => {
                        let due = Instant::now() + Duration::from_secs_f64(late_ms / 1e3);
                        for _ in 0..copies {
                            place += 1;
                            _ = sender.send((due, place, line.clone()));
                        }
                    }
                }
                line.clear();
            }
        };
        tokio::join!(reading, writing);
    }
}
