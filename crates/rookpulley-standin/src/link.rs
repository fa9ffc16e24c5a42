//! A fault-injecting link between dispatchers and an assigner: it drops, duplicates, delays and reorders whole lines
//! and disconnects, driven by a seed. It drops at most `MAX_CONSECUTIVE_DROPS` consecutive lines per dispatcher and
//! direction. The first line of a connection, the join message, is never subject to faults.

use crate::checker::Observation;
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

const MAX_CONSECUTIVE_DROPS: u32 = 2;

/// The probability of each fault per line. With all at 0 the link forwards everything unchanged.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub drop: f64,
    pub duplicate: f64,
    /// Delayed lines arrive up to `max_delay_ms` late, possibly after later ones.
    pub delay: f64,
    pub max_delay_ms: f64,
    pub disconnect: f64,
    /// The minimum time between two disconnects of the same dispatcher.
    pub min_disconnect_interval_ms: f64,
}

#[derive(Default)]
struct DispatcherFaults {
    consecutive_drops: [u32; 2],
    disconnected_at: Option<Instant>,
}

pub struct Link {
    pub address: SocketAddr,
    faults: Cell<Faults>,
    rng: RefCell<ChaCha8Rng>,
    by_dispatcher: RefCell<BTreeMap<u64, DispatcherFaults>>,
    observer: Rc<dyn Fn(Observation)>,
    streams: Rc<Cell<u64>>,
    pub dropped: Cell<u64>,
    pub duplicated: Cell<u64>,
    pub disconnects: Cell<u64>,
    disconnect: Notify,
}

/// What happens to one line.
enum LineOutcome {
    Disconnected,
    Dropped,
    Forwarded { copies: u32, late_ms: f64 },
}

impl Link {
    /// Opens a link to an assigner. `observer` is called for each delivered line and each closed connection; `streams`
    /// numbers the connections.
    pub async fn open(
        to: SocketAddr,
        seed: u64,
        faults: Faults,
        streams: Rc<Cell<u64>>,
        observer: Rc<dyn Fn(Observation)>,
    ) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (rng, by_dispatcher) = (ChaCha8Rng::seed_from_u64(seed), BTreeMap::new());
        let link = Rc::new(Self {
            address: listener.local_addr()?,
            faults: Cell::new(faults),
            rng: RefCell::new(rng),
            by_dispatcher: RefCell::new(by_dispatcher),
            observer,
            streams,
            dropped: Cell::new(0),
            duplicated: Cell::new(0),
            disconnects: Cell::new(0),
            disconnect: Notify::new(),
        });
        let accepting = link.clone();
        spawn_local(async move {
            while let Ok((client, _)) = listener.accept().await {
                spawn_local(accepting.clone().relay(client, to));
            }
        });
        Ok(link)
    }

    /// Changes the faults for lines read from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.set(faults);
    }

    /// Closes all open connections.
    pub fn disconnect_all(&self) {
        self.disconnect.notify_waiters();
    }

    fn decide(&self, dispatcher: u64, direction: usize, is_first: bool) -> LineOutcome {
        let (faults, mut rng, mut by_dispatcher) = (
            self.faults.get(),
            self.rng.borrow_mut(),
            self.by_dispatcher.borrow_mut(),
        );
        let state = by_dispatcher.entry(dispatcher).or_default();
        let mut roll =
            |probability: f64| probability > 0.0 && rng.random_range(0.0..1.0) < probability;
        let may_disconnect = state
            .disconnected_at
            .is_none_or(|at| at.elapsed().as_secs_f64() * 1e3 > faults.min_disconnect_interval_ms);
        if may_disconnect && !is_first && roll(faults.disconnect) {
            state.disconnected_at = Some(Instant::now());
            self.disconnects.set(self.disconnects.get() + 1);
            return LineOutcome::Disconnected;
        }
        if !is_first
            && state.consecutive_drops[direction] < MAX_CONSECUTIVE_DROPS
            && roll(faults.drop)
        {
            state.consecutive_drops[direction] += 1;
            self.dropped.set(self.dropped.get() + 1);
            return LineOutcome::Dropped;
        }
        state.consecutive_drops[direction] = 0;
        let copies = if !is_first && roll(faults.duplicate) {
            2
        } else {
            1
        };
        self.duplicated
            .set(self.duplicated.get() + u64::from(copies - 1));
        let delayed = !is_first && roll(faults.delay);
        let late_ms = if delayed {
            rng.random_range(0.0..faults.max_delay_ms.max(0.1))
        } else {
            0.0
        };
        LineOutcome::Forwarded { copies, late_ms }
    }

    /// Relays one connection in both directions until a side closes or a disconnect is injected.
    async fn relay(self: Rc<Self>, client: TcpStream, to: SocketAddr) {
        let Ok(server) = TcpStream::connect(to).await else {
            return;
        };
        _ = (client.set_nodelay(true), server.set_nodelay(true));
        let stream = self.streams.replace(self.streams.get() + 1);
        let ((client_in, client_out), (server_in, server_out)) =
            (client.into_split(), server.into_split());
        let (dispatcher_cell, disconnect) = (Rc::new(Cell::new(u64::MAX)), Rc::new(Notify::new()));
        tokio::select! {
            () = self.clone().relay_lines(0, stream, client_in, server_out, dispatcher_cell.clone(), disconnect.clone()) => {}
            () = self.clone().relay_lines(1, stream, server_in, client_out, dispatcher_cell.clone(), disconnect.clone()) => {}
            () = disconnect.notified() => {}
            () = self.disconnect.notified() => {}
        }
        (self.observer)(Observation::Closed {
            stream,
            dispatcher: dispatcher_cell.get(),
        });
    }

    /// Relays the lines of one direction: 0 to the assigner, 1 from it.
    async fn relay_lines(
        self: Rc<Self>,
        direction: usize,
        stream: u64,
        from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        dispatcher_cell: Rc<Cell<u64>>,
        disconnect: Rc<Notify>,
    ) {
        let (sender, mut lines) = mpsc::unbounded_channel::<(Instant, u64, String)>();
        let observer = self.observer.clone();
        let dispatcher_id = dispatcher_cell.clone();
        // Writes lines in the order of their due times, so that later lines overtake delayed ones.
        let writer = async move {
            let mut queue: BTreeMap<(Instant, u64), String> = BTreeMap::new();
            let mut open = true;
            while open || !queue.is_empty() {
                let due = queue.keys().next().map(|(due, _)| *due);
                tokio::select! {
                    line = lines.recv(), if open => match line {
                        Some((due, sequence, line)) => _ = queue.insert((due, sequence), line),
                        None => open = false,
                    },
                    () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                        let Some((_, line)) = queue.pop_first() else { continue };
                        let message: Value = serde_json::from_str(&line).unwrap_or_default();
                        let dispatcher = dispatcher_id.get();
                        observer(match direction {
                            0 => Observation::ToAssigner { stream, dispatcher, message },
                            _ => Observation::ToDispatcher { stream, dispatcher, message },
                        });
                        if to.write_all(line.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                }
            }
        };
        let reader = async move {
            let mut from = BufReader::new(from);
            let (mut line, mut sequence) = (String::new(), 0);
            while from.read_line(&mut line).await.is_ok_and(|size| size > 0) {
                let is_first = dispatcher_cell.get() == u64::MAX && direction == 0;
                if is_first {
                    let message: Value = serde_json::from_str(&line).unwrap_or_default();
                    dispatcher_cell.set(message["proxy"].as_u64().unwrap_or(u64::MAX - 1));
                }
                match self.decide(dispatcher_cell.get(), direction, is_first) {
                    LineOutcome::Disconnected => return disconnect.notify_one(),
                    LineOutcome::Dropped => {}
                    LineOutcome::Forwarded { copies, late_ms } => {
                        let due = Instant::now() + Duration::from_secs_f64(late_ms / 1e3);
                        for _ in 0..copies {
                            sequence += 1;
                            _ = sender.send((due, sequence, line.clone()));
                        }
                    }
                }
                line.clear();
            }
        };
        tokio::join!(reader, writer);
    }
}
