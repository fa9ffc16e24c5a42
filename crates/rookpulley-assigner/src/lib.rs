//! The assigner: one program on sockets round the decision module. See README for how its parts fit.

pub mod config;
pub mod counters;
pub mod driver;
pub mod ending;
pub mod log;
pub mod messages;
pub mod operators;
pub mod orders;
pub mod outbox;
pub mod peers;
pub mod reload;
pub mod roster;
pub mod servers;
pub mod streams;

use config::Told;
use driver::{Driver, Event, Front, Switched};
use ending::Ending;
use messages::List;
use operators::Asking;
use peers::Peers;
use reload::Held;
use rookpulley::interface::Start;
use rookpulley_operators::{FileError, OperatorSettings};
use roster::{Pauses, Roster};
use servers::Servers;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use streams::Conns;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;

/// Descriptors that are no connections: standard ones, the runtime's, listeners, the watch and calls.
const OTHER_SOCKETS: usize = 32;
const EVENTS: usize = 1024;
/// Of each kind of log line so many in ten seconds.
const LOG_LINES: u32 = 50;
const MB: f64 = 1024.0 * 1024.0;

#[derive(Debug, thiserror::Error)]
pub enum CannotRun {
    #[error("{0}")]
    Config(#[from] config::Unusable),
    #[error("the operators' file {0}")]
    Operators(#[from] FileError),
    #[error("{what} {place} can't be used: {why}")]
    Address {
        what: &'static str,
        place: SocketAddr,
        why: std::io::Error,
    },
    #[error("the system gives no {0}: {1}")]
    System(&'static str, std::io::Error),
}

/// The signals that the assigner answers. Once taken, none of them ends the program by itself.
pub struct Signals {
    stop: Signal,
    print: Signal,
    reload: Signal,
}

impl Signals {
    /// Called within a runtime.
    pub fn take() -> Result<Self, CannotRun> {
        let take = |kind| signal(kind).map_err(|e| CannotRun::System("signals", e));
        let (stop, print) = (
            take(SignalKind::terminate())?,
            take(SignalKind::user_defined1())?,
        );
        Ok(Self {
            stop,
            print,
            reload: take(SignalKind::hangup())?,
        })
    }
}

/// An assigner that holds its addresses and has not begun.
pub struct Assigner {
    pub front: Rc<Front>,
    listener: TcpListener,
    notes: Option<Rc<Peers>>,
    signals: Signals,
    held: Held,
    events: mpsc::Receiver<Event>,
    discovery: SocketAddr,
    known: List,
    tick_ms: f64,
    start: Start,
    asking: Option<Asking>,
    switched: Switched,
}

fn at(what: &'static str, place: SocketAddr) -> impl FnOnce(std::io::Error) -> CannotRun {
    move |why| CannotRun::Address { what, place, why }
}

impl Assigner {
    pub async fn bind(
        told: Told,
        path: PathBuf,
        signals: Signals,
        operators: &OperatorSettings,
    ) -> Result<Self, CannotRun> {
        let Told {
            fixed,
            name,
            listen,
            discovery,
            limits,
            peers,
            known,
            mut words,
            tick_ms,
            start,
        } = told;
        // Both are off, and hold nothing, unless the operators' own file names them.
        let asking = Asking::bind(operators.address.as_ref()).await?;
        let book = operators
            .versions
            .map(|keep| operators::book(&name, keep, &start.channel));
        words.versions = book.is_some();
        let servers = operators
            .servers
            .clone()
            .map(|file| Servers::new(file, &start, &words));
        let listener = TcpListener::bind(listen)
            .await
            .map_err(at("the address to listen at", listen))?;
        let mut notes = None;
        if let Some(places) = peers {
            let place = places.listen;
            let socket = UdpSocket::bind(place)
                .await
                .map_err(at("the address for notes", place))?;
            notes = Some(Rc::new(Peers {
                socket,
                places,
                own: start.topology.index,
            }));
        }
        let (sender, events) = mpsc::channel(EVENTS);
        let most = limits.sockets.saturating_sub(OTHER_SOCKETS).max(1);
        let front = Rc::new(Front {
            log: log::Log::new(name, LOG_LINES),
            counters: counters::Counters::default(),
            words,
            conns: Conns::new(most, (limits.memory_mb * MB / 4.0) as usize),
            events: sender,
        });
        let held = Held { path, fixed };
        Ok(Self {
            front,
            listener,
            notes,
            signals,
            held,
            events,
            discovery,
            known,
            tick_ms,
            start,
            asking,
            switched: Switched { book, servers },
        })
    }

    /// Where operators reach it.
    pub fn operators_place(&self) -> Option<SocketAddr> {
        self.asking.as_ref().and_then(Asking::place)
    }

    /// Where it listens, and where it takes notes.
    pub fn places(&self) -> (Option<SocketAddr>, Option<SocketAddr>) {
        let notes = self.notes.as_ref().and_then(|n| n.socket.local_addr().ok());
        (self.listener.local_addr().ok(), notes)
    }

    /// Serves until SIGTERM. Called within a `LocalSet`.
    pub async fn serve(self) {
        let place = self.places().0;
        let Self {
            front,
            listener,
            notes,
            signals,
            mut events,
            known,
            start,
            asking,
            switched,
            ..
        } = self;
        let Signals {
            mut stop,
            mut print,
            reload,
        } = signals;
        let ask = start.list.on_request;
        let roster = Roster::new(self.discovery, known.version, ask, front.clone());
        if !ask {
            tokio::task::spawn_local(roster.clone().follow(Pauses::new(start.seed)));
        }
        tokio::task::spawn_local(self.held.follow(reload, roster.clone(), front.clone()));
        if let Some(peers) = &notes {
            tokio::task::spawn_local(peers.clone().listen(front.clone()));
        }
        if let Some(servers) = &switched.servers {
            servers.begin(&front);
        }
        if let Some(asking) = asking {
            asking.begin(&front);
        }
        if let Some(place) = place {
            say!(
                front.log,
                "start",
                "listening at {place}, {} servers known",
                known.lines.len()
            );
        }
        let mut driver = Driver::start(
            front.clone(),
            start,
            known,
            self.tick_ms,
            notes,
            roster,
            switched,
        );
        let mut listener = Some(listener);
        loop {
            // Nobody is answered before the list is known.
            if let Some(listener) = listener.take_if(|_| driver.knows_servers()) {
                tokio::task::spawn_local(streams::accept(listener, front.clone()));
            }
            tokio::select! {
                () = driver.turn(&mut events) => {}
                _ = print.recv() => front.print(),
                _ = stop.recv() => break,
            }
        }
        say!(front.log, "stop", "told to end");
        front
            .counters
            .add(Ending::Stopping.count(), front.conns.count() as u64);
        front.print();
    }
}
