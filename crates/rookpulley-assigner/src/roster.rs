//! The server list: the watch, resumed where it broke, and the whole list on request.

use crate::driver::{Event, Front};
use crate::messages::{Bad, List};
use crate::say;
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

/// On a watch that works something comes every 2 s.
const SILENT: Duration = Duration::from_secs(3);
const PAUSE_MS: f64 = 50.0;
const PAUSE_MOST_MS: f64 = 1_000.0;
const LINE_MOST: usize = 16 << 20;

/// Why a watch or a call ended.
#[derive(Debug, thiserror::Error)]
enum Broken {
    #[error("no connection: {0}")]
    Dial(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("silent for 3 s")]
    Silent(#[from] tokio::time::error::Elapsed),
    #[error("answered with status {0}")]
    Status(u16),
    #[error("a list {0}")]
    List(#[from] Bad),
    #[error("a list that is no UTF-8 text")]
    Text(#[from] std::str::Utf8Error),
    #[error("a line over the limit")]
    Long,
    #[error("it ended")]
    Ended,
}

/// The pauses before dialling anew: growing while nothing is heard, and not in step with others.
pub struct Pauses {
    next_ms: f64,
    rng: ChaCha8Rng,
}

impl Pauses {
    pub fn new(seed: u64) -> Self {
        Self {
            next_ms: PAUSE_MS,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub fn next(&mut self, heard: bool) -> Duration {
        let ms = if heard { PAUSE_MS } else { self.next_ms };
        self.next_ms = (2.0 * ms).min(PAUSE_MOST_MS);
        Duration::from_secs_f64(ms * self.rng.random_range(0.5..1.0) / 1e3)
    }
}

pub struct Roster {
    place: Cell<SocketAddr>,
    moved: Notify,
    version: Cell<u64>,
    front: Rc<Front>,
    /// The module asks for the list itself, and is told of each call's outcome.
    asked: bool,
    watch: RefCell<Option<JoinHandle<()>>>,
}

impl Roster {
    pub fn new(place: SocketAddr, version: u64, asked: bool, front: Rc<Front>) -> Rc<Self> {
        let (place, version, moved) = (Cell::new(place), Cell::new(version), Notify::new());
        Rc::new(Self {
            place,
            moved,
            version,
            front,
            asked,
            watch: RefCell::default(),
        })
    }

    /// Follows the list for as long as the assigner runs, dialling anew after growing pauses.
    pub async fn follow(self: Rc<Self>, mut pauses: Pauses) {
        loop {
            let watch = async {
                let mut heard = false;
                let broken = self.watch(&mut heard).await;
                self.front.counters.one("watches broken");
                say!(
                    self.front.log,
                    "list",
                    "the watch broke: {broken}; the list stays as it is"
                );
                tokio::time::sleep(pauses.next(heard)).await;
            };
            // What a watch that is given up had not handed on yet comes first on the next.
            tokio::select! {
                () = watch => {}
                () = self.moved.notified() => {}
            }
        }
    }

    /// From now on discovery is there; a watch goes on from the version that is held.
    pub fn move_to(self: &Rc<Self>, place: SocketAddr) {
        if self.place.replace(place) == place {
            return;
        }
        self.front.counters.one("watches moved");
        if !self.asked {
            self.moved.notify_one();
        } else if self.watch.borrow().is_some() {
            self.set_watch(true);
        }
    }

    /// The module asks for the watch, or wants it no longer.
    pub fn set_watch(self: &Rc<Self>, on: bool) {
        if !self.asked {
            return;
        }
        let roster = self.clone();
        let watch = async move {
            let broken = roster.watch(&mut false).await;
            roster.failed(broken).await;
        };
        let next = on.then(|| tokio::task::spawn_local(watch));
        if let Some(before) = self.watch.replace(next) {
            before.abort();
        }
    }

    /// The module asks for the whole list once.
    pub fn fetch(self: &Rc<Self>) {
        let roster = self.clone();
        tokio::task::spawn_local(async move {
            if let Err(broken) = roster.call().await {
                roster.failed(broken).await;
            }
        });
    }

    async fn failed(&self, broken: Broken) {
        self.front.counters.one("list calls failed");
        say!(
            self.front.log,
            "list",
            "a call failed: {broken}; the list stays as it is"
        );
        self.front.tell(Event::ListFailed).await;
    }

    async fn get(&self, path: &str, dialled: &mut JoinSet<()>) -> Result<Incoming, Broken> {
        self.front.counters.one("out list calls");
        let place = self.place.get();
        let socket = TcpStream::connect(place).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await?;
        dialled.spawn_local(async move { _ = connection.await });
        let req = hyper::Request::get(path).header("host", place.to_string());
        // Built of fixed text, an address and numbers: there is nothing in it to refuse.
        let Ok(req) = req.body(Empty::<Bytes>::new()) else {
            return Err(Broken::Ended);
        };
        let answer = sender.send_request(req).await?;
        // The sender goes; the connection stays for as long as the answer is read.
        match answer.status().as_u16() {
            200 => Ok(answer.into_body()),
            other => Err(Broken::Status(other)),
        }
    }

    async fn call(&self) -> Result<(), Broken> {
        let mut dialled = JoinSet::new();
        let mut body =
            tokio::time::timeout(SILENT, self.get("/catalog/members", &mut dialled)).await??;
        let mut text = Vec::new();
        while let Some(piece) = tokio::time::timeout(SILENT, body.frame()).await? {
            text.extend_from_slice(&piece?.into_data().unwrap_or_default());
            if text.len() > LINE_MOST {
                return Err(Broken::Long);
            }
        }
        self.take(&text, true).await
    }

    /// One watch, from its dialling to its break.
    async fn watch(&self, heard: &mut bool) -> Broken {
        match self.watched(heard).await {
            Ok(()) => Broken::Ended,
            Err(broken) => broken,
        }
    }

    async fn watched(&self, heard: &mut bool) -> Result<(), Broken> {
        let path = format!("/catalog/members?follow=1&since={}", self.version.get());
        let mut dialled = JoinSet::new();
        let mut body = tokio::time::timeout(SILENT, self.get(&path, &mut dialled)).await??;
        let (mut held, mut first): (Vec<u8>, bool) = (Vec::new(), true);
        while let Some(piece) = tokio::time::timeout(SILENT, body.frame()).await? {
            let was = held.len();
            held.extend_from_slice(&piece?.into_data().unwrap_or_default());
            let (mut from, mut search) = (0, was);
            while let Some(at) = held[search..].iter().position(|b| *b == b'\n') {
                let end = search + at;
                if !held[from..end].trim_ascii().is_empty() {
                    self.take(&held[from..end], first && self.asked).await?;
                    (first, *heard) = (false, true);
                }
                (from, search) = (end + 1, end + 1);
            }
            held.drain(..from);
            if held.len() > LINE_MOST {
                return Err(Broken::Long);
            }
        }
        Ok(())
    }

    /// Hands on what is new. What is known already, or older (another agent may lag behind), is passed
    /// over unless a call is to be answered.
    async fn take(&self, text: &[u8], answer: bool) -> Result<(), Broken> {
        let mut list = self.front.words.decode_list(std::str::from_utf8(text)?)?;
        // From here on nothing waits: a watch that is given up has handed a change on and holds its
        // version, or neither.
        let Ok(place) = self.front.events.reserve().await else {
            return Ok(());
        };
        let held = self.version.get();
        let new = list.version > held || (list.whole && list.version == held);
        if list.whole && !new {
            self.front.counters.one("whole lists passed over");
            say!(
                self.front.log,
                "list",
                "a whole list of version {} is older than {held}",
                list.version
            );
        }
        if !new {
            list = List {
                version: held,
                ..List::default()
            };
        }
        self.version.set(list.version);
        self.front.counters.one(if list.whole {
            "in whole lists"
        } else {
            "in list changes"
        });
        if answer || list.whole || !list.lines.is_empty() {
            let scope = if list.whole {
                ListScope::Full
            } else {
                ListScope::Changes
            };
            place.send(Event::List { scope, list });
        }
        Ok(())
    }
}
