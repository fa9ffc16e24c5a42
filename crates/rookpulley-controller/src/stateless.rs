//! The controller of a machine without a disk on sockets and clock: it passes calls on, and keeps nothing.

use crate::calls::{Asked, tree};
use crate::ending::{self, Signals};
use miette::IntoDiagnostic;
use rookpulley_api::{Bounds, Call, Match, Reply, Tree};
use rookpulley_control::{StatelessController, StatelessEffect, StatelessStart, Word};
use rookpulley_protocol::{Down, Up};
use rookpulley_runtime::{File, line};
use rookpulley_settings::Node;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A controller with a disk says something every 400 ms, another one every second.
const QUIET: Duration = Duration::from_millis(2_500);
const DIAL: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_secs(1);
/// So often it says in the log how it stands, in ticks.
const STATUS: u64 = 10;

#[derive(Default)]
struct Lines {
    controllers: BTreeMap<Ipv4Addr, line::Outbox>,
    guests: BTreeMap<u64, line::Outbox>,
}

struct Shell {
    stateless: RefCell<StatelessController>,
    lines: RefCell<Lines>,
    born: Instant,
    next: Cell<u64>,
    port: u16,
    control: u16,
    tree: Tree<Asked>,
    /// Calls that were passed on, and those that nobody could take.
    passed: Cell<u64>,
    refused: Cell<u64>,
}

pub async fn run(
    node: &Node,
    control: SocketAddrV4,
    path: PathBuf,
    signals: &mut Signals,
) -> miette::Result<()> {
    let [counter, for_proxies, for_peers] = crate::controller::listen(node, control)?;
    tracing::info!(
        "controller: {} begins, without a disk: calls are passed on",
        node.name
    );
    if !node.seeds.iter().any(|seed| *seed.ip() != node.ip) {
        tracing::warn!(
            "controller: seedNodes names nobody else, so calls get 503 until a controller dials this one"
        );
    }
    let shell = Shell::new(node, control).into_diagnostic()?;
    let (stop, stopped) = watch::channel(false);
    let calls = shell.clone();
    let handler = Rc::new(move |call: Call| std::future::ready(calls.answer(&call)));
    let counter = tokio::task::spawn_local(rookpulley_api::serve(
        counter,
        Bounds::default(),
        stopped,
        handler,
    ));
    shell.begin(for_proxies, for_peers);
    let of = shell.clone();
    signals
        .wait(File::new(path), |seeds| {
            of.with(|stateless, now| stateless.set_seeds(now, seeds))
        })
        .await;
    tracing::info!("ending: {}", shell.status());
    ending::close(node, stop, counter).await;
    Ok(())
}

impl Shell {
    fn new(node: &Node, control: SocketAddrV4) -> Result<Rc<Shell>, rookpulley_api::TreeError> {
        let start = StatelessStart {
            address: SocketAddrV4::new(node.ip, node.inner_ports.0 + 1),
            zone: node.zone.clone(),
            seeds: node.seeds.clone(),
            first_start: node.first_start,
        };
        Ok(Rc::new(Shell {
            stateless: RefCell::new(StatelessController::new(start)),
            lines: RefCell::default(),
            born: Instant::now(),
            next: Cell::new(0),
            port: node.inner_ports.0,
            control: control.port(),
            tree: tree()?,
            passed: Cell::new(0),
            refused: Cell::new(0),
        }))
    }

    fn begin(self: &Rc<Self>, for_proxies: TcpListener, for_peers: TcpListener) {
        tokio::task::spawn_local(self.clone().take_lines(for_proxies, Shell::guest));
        tokio::task::spawn_local(self.clone().take_lines(for_peers, Shell::peer));
        let shell = self.clone();
        tokio::task::spawn_local(async move {
            let mut heartbeat = tokio::time::interval(TICK);
            heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            for round in 0u64.. {
                heartbeat.tick().await;
                shell.with(StatelessController::tick);
                if round.is_multiple_of(STATUS) {
                    tracing::info!("controller: {}", shell.status());
                }
            }
        });
    }

    fn now_ms(&self) -> f64 {
        self.born.elapsed().as_secs_f64() * 1e3
    }

    fn status(&self) -> String {
        let stands = self.stateless.borrow().status(self.now_ms());
        format!(
            "{stands}; calls passed on {}, refused {}",
            self.passed.get(),
            self.refused.get()
        )
    }

    /// Something comes in; what is wanted is carried out.
    fn with<T>(self: &Rc<Self>, input: impl FnOnce(&mut StatelessController, f64) -> T) -> T {
        let (came, effects) = {
            let mut stateless = self.stateless.borrow_mut();
            (input(&mut stateless, self.now_ms()), stateless.effects())
        };
        for effect in effects {
            let mut lines = self.lines.borrow_mut();
            match effect {
                StatelessEffect::Dial(ip) => drop(tokio::task::spawn_local(self.clone().keep(ip))),
                // Where too much waits the line ends, and all is told anew on the next one.
                StatelessEffect::Up { to, up } => {
                    if lines
                        .controllers
                        .get(&to)
                        .is_some_and(|outbox| !outbox.send(&up))
                    {
                        lines.controllers.remove(&to);
                    }
                }
                StatelessEffect::Down { line, frame } => {
                    if lines
                        .guests
                        .get(&line)
                        .is_some_and(|outbox| !outbox.send_framed(frame))
                    {
                        lines.guests.remove(&line);
                    }
                }
                StatelessEffect::Log(line) => tracing::info!("{line}"),
            }
        }
        came
    }

    /// Dials one controller again and again for as long as somebody names it.
    async fn keep(self: Rc<Self>, ip: Ipv4Addr) {
        let mut pause = PAUSE;
        loop {
            if let Ok(stream) = line::dial(SocketAddr::from((ip, self.port)), DIAL).await {
                let begun = Instant::now();
                let open = |outbox| {
                    self.lines.borrow_mut().controllers.insert(ip, outbox);
                    self.with(|stateless, now| stateless.opened(now, ip));
                };
                let take = |down: Down| self.with(|stateless, now| stateless.told(now, ip, down));
                let why = line::run(stream, Some(QUIET), open, take).await;
                self.lines.borrow_mut().controllers.remove(&ip);
                self.with(|stateless, _| stateless.lost(ip));
                tracing::info!("peers: the line to {ip} {why}");
                if begun.elapsed() > TICK {
                    pause = PAUSE;
                }
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
            if self.with(|stateless, now| stateless.forgotten(now, ip)) {
                return;
            }
        }
    }

    async fn take_lines<F>(
        self: Rc<Self>,
        listener: TcpListener,
        attend: fn(Rc<Self>, TcpStream) -> F,
    ) where
        F: Future<Output = ()> + 'static,
    {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            line::tend(&stream, line::UNHEARD);
            tokio::task::spawn_local(attend(self.clone(), stream));
        }
    }

    /// A proxy, or another controller without a disk.
    async fn guest(self: Rc<Self>, stream: TcpStream) {
        let number = self.next.get() + 1;
        self.next.set(number);
        let open = |outbox| _ = self.lines.borrow_mut().guests.insert(number, outbox);
        let take = |up: Up| {
            if matches!(up, Up::Hello { .. } | Up::StatelessHello { .. }) {
                self.with(|stateless, _| stateless.guest_in(number, &up));
            }
        };
        line::run(stream, None, open, take).await;
        self.lines.borrow_mut().guests.remove(&number);
        self.with(|stateless, _| stateless.guest_out(number));
    }

    /// A controller that has this address as a seed. It is dialed in turn, and stops to dial here.
    async fn peer(self: Rc<Self>, stream: TcpStream) {
        let mut own = None;
        let take = |word: Word| {
            if let Word::Hello { from, .. } = word {
                self.with(|stateless, now| stateless.hello(now, from));
            }
        };
        line::run(stream, Some(QUIET), |outbox| own = Some(outbox), take).await;
    }

    fn answer(&self, call: &Call) -> Reply {
        match self.tree.lookup(&call.method, &call.path) {
            Match::Nothing => return Reply::error(404, "there is no such call"),
            Match::WrongMethod => {
                return Reply::error(405, "there is no such call with this method");
            }
            // What is shown is of one controller alone: whoever asks is to know of which.
            Match::Found(Asked::Show(_), _) => {
                return Reply::error(
                    404,
                    "this office has no disk and nothing to show; ask one that has",
                );
            }
            Match::Found(Asked::Call(_), _) => {}
        }
        let Some(to) = self.stateless.borrow().pass_on(self.now_ms(), &call.path) else {
            self.refused.set(self.refused.get() + 1);
            let sentence =
                "not now: this office has no disk and reaches none that has; nothing was done";
            return Reply::error(503, sentence).with("Retry-After", "0.2");
        };
        self.passed.set(self.passed.get() + 1);
        let query = if call.query.is_empty() {
            String::new()
        } else {
            format!("?{}", call.query)
        };
        let location = format!("http://{to}:{}{}{query}", self.control, call.path);
        Reply::empty(307).with("Location", location)
    }
}

#[cfg(test)]
mod tests;
