//! The controller on sockets, disk and clock: what comes in goes to the controller, what the controller wants is carried out.

use crate::show::Counts;
use rookpulley_chain::Member;
use rookpulley_control::{Controller, Effect, Founding, Reply, Start, Wants, Word};
use rookpulley_protocol::Up;
use rookpulley_runtime::line::Outbox;
use rookpulley_settings::Node;
use rookpulley_store::{Part, Said, Store};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::{Notify, mpsc, oneshot};

/// What carries words to another controller.
#[derive(Default)]
struct Peer {
    /// It has spoken: no reason to wait with dialing it.
    wake: Rc<Notify>,
    outbox: Option<Outbox>,
}

struct Lines {
    store: Store,
    peers: BTreeMap<Ipv4Addr, Peer>,
    to_dial: Vec<Ipv4Addr>,
    proxies: BTreeMap<u64, Outbox>,
    calls: BTreeMap<u64, oneshot::Sender<Reply>>,
}

/// Why the store can't be used any more.
#[derive(Debug, PartialEq)]
pub enum StoreFailure {
    Write(String),
    /// It differs from what all others hold, and begins anew.
    GivenUp,
}

pub struct Hub {
    pub node: Node,
    me: Member,
    born: Instant,
    controller: RefCell<Controller>,
    lines: RefCell<Lines>,
    /// Asks the main loop to dial what became known.
    pub dial: Notify,
    pub counts: Counts,
    failure: RefCell<Option<StoreFailure>>,
    failed: Notify,
}

impl Hub {
    pub fn new(node: Node, mut store: Store, kept: Vec<(Vec<u8>, Vec<u8>)>, seed: u64) -> Rc<Self> {
        let me = Member {
            id: store.identity,
            incarnation: seed,
            address: SocketAddrV4::new(node.ip, node.inner_ports.0 + 1),
        };
        let start = Start {
            me,
            seeds: node.seeds.clone(),
            losses: node.tolerance.machines,
            heartbeat_ms: node.heartbeat_ms,
            drain_ms: node.bounds.drain_ms,
            zone: node.zone.clone(),
            founding: store.founding.as_deref().and_then(Founding::read),
            held: (!store.new).then_some(kept),
            incarnations: std::mem::take(&mut store.incarnations),
        };
        let lines = Lines {
            store,
            peers: BTreeMap::new(),
            to_dial: Vec::new(),
            proxies: BTreeMap::new(),
            calls: BTreeMap::new(),
        };
        let hub = Rc::new(Self {
            node,
            me,
            born: Instant::now(),
            controller: RefCell::new(Controller::new(start)),
            lines: RefCell::new(lines),
            dial: Notify::new(),
            counts: Counts::default(),
            failure: RefCell::default(),
            failed: Notify::new(),
        });
        hub.with(|_, _| ());
        hub
    }

    pub fn now_ms(&self) -> f64 {
        self.born.elapsed().as_secs_f64() * 1e3
    }

    pub fn peer_port(&self) -> u16 {
        self.me.address.port()
    }

    pub fn status(&self) -> String {
        self.look(Controller::status)
    }

    /// For `show`.
    pub fn look<T>(&self, look: impl FnOnce(&Controller) -> T) -> T {
        look(&self.controller.borrow())
    }

    /// Something comes in; what the controller wants is carried out.
    fn with<T>(&self, input: impl FnOnce(&mut Controller, f64) -> T) -> T {
        let (came, effects) = {
            let mut controller = self.controller.borrow_mut();
            (input(&mut controller, self.now_ms()), controller.effects())
        };
        effects
            .into_iter()
            .for_each(|effect| self.carry_out(effect));
        came
    }

    fn carry_out(&self, effect: Effect) {
        let mut lines = self.lines.borrow_mut();
        match effect {
            Effect::Dial(ip) => {
                lines.peers.entry(ip).or_default();
                lines.to_dial.push(ip);
                self.dial.notify_one();
            }
            Effect::Spoke(ip) => {
                if let Some(peer) = lines.peers.get(&ip) {
                    peer.wake.notify_waiters();
                }
            }
            // Where too much waits the line ends: on the next one all is told anew, and nothing is missed.
            Effect::Word { to, frame } => {
                if let Some(peer) = lines.peers.get_mut(&to) {
                    _ = peer.outbox.take_if(|outbox| !outbox.send_framed(frame));
                }
            }
            Effect::Down { line, frame } => {
                if lines
                    .proxies
                    .get(&line)
                    .is_some_and(|outbox| !outbox.send_framed(frame))
                {
                    lines.proxies.remove(&line);
                }
            }
            Effect::Write { ticket, records } => {
                _ = lines.store.write(Part::Chain, ticket, records)
            }
            Effect::Note { ticket, records } => {
                _ = lines.store.write(Part::Incarnations, ticket, records)
            }
            Effect::Reply { token, reply } => {
                let waiting = lines.calls.remove(&token);
                _ = waiting.map(|waiting| waiting.send(reply));
            }
            Effect::DiscardStore => self.begin_anew(),
            Effect::Log(line) => tracing::info!("{line}"),
            Effect::Complain(line) => tracing::error!("{line}"),
        }
    }

    // ---- controllers ----------------------------------------------------------------------------

    pub fn meet_seeds(&self, seeds: &[SocketAddrV4]) {
        self.with(|controller, now| controller.meet_all(now, seeds));
    }

    /// Controllers that became known and have no line yet.
    pub fn to_dial(&self) -> Vec<Ipv4Addr> {
        std::mem::take(&mut self.lines.borrow_mut().to_dial)
    }

    pub fn dialed(&self, ip: Ipv4Addr, outbox: Outbox) {
        self.lines.borrow_mut().peers.entry(ip).or_default().outbox = Some(outbox);
        self.with(|controller, now| controller.dialed(now, ip));
    }

    pub fn hung_up(&self, ip: Ipv4Addr) {
        if let Some(peer) = self.lines.borrow_mut().peers.get_mut(&ip) {
            peer.outbox = None;
        }
        self.with(|controller, _| controller.hung_up(ip));
    }

    /// Tells when the controller at this address has spoken.
    pub fn wake(&self, ip: Ipv4Addr) -> Rc<Notify> {
        self.lines
            .borrow()
            .peers
            .get(&ip)
            .map_or_else(Rc::default, |peer| peer.wake.clone())
    }

    pub fn still_known(&self, ip: Ipv4Addr) -> bool {
        self.look(|controller| controller.still_known(self.now_ms(), ip))
    }

    pub fn forget(&self, ip: Ipv4Addr) {
        self.lines.borrow_mut().peers.remove(&ip);
        self.with(|controller, _| controller.forget(ip));
    }

    /// A word from another controller; `who` is who said hello on this line.
    pub fn word(&self, who: &mut Option<u64>, word: Word) {
        self.with(|controller, now| controller.word(now, who, word));
    }

    /// The line on which a controller spoke is over.
    pub fn line_ended(&self, id: u64) {
        self.with(|controller, now| controller.line_ended(now, id));
    }

    // ---- the disk, and calls ----------------------------------------------------------------

    /// The others keep something else: what is kept here is given up, and the next incarnation is filled by them.
    fn begin_anew(&self) {
        let given_up = self.node.data.as_deref().map_or(Ok(()), Store::give_up);
        tracing::error!("store: differs from all others; given up {given_up:?}");
        self.fail(match given_up {
            Ok(()) => StoreFailure::GivenUp,
            Err(why) => StoreFailure::Write(why.to_string()),
        });
    }

    fn fail(&self, failure: StoreFailure) {
        self.failure.borrow_mut().get_or_insert(failure);
        self.failed.notify_one();
    }

    /// Returns once the store can't be used any more. Nothing is acknowledged on its behalf after that.
    pub async fn store_failure(&self) -> StoreFailure {
        loop {
            if let Some(failure) = self.failure.borrow_mut().take() {
                return failure;
            }
            self.failed.notified().await;
        }
    }

    /// The other members of the newest view that is known.
    pub fn other_members(&self) -> Vec<SocketAddrV4> {
        self.look(|controller| {
            let members = controller
                .chain
                .view()
                .map_or(&[][..], |view| &view.members);
            members
                .iter()
                .filter(|member| member.id != self.me.id)
                .map(|member| member.address)
                .collect()
        })
    }

    /// Takes what the store says, for as long as it says anything.
    pub fn hear_store(self: &Rc<Self>, mut heard: mpsc::UnboundedReceiver<Said>) {
        let hub = self.clone();
        tokio::task::spawn_local(async move {
            while let Some(said) = heard.recv().await {
                hub.stored(said);
            }
        });
    }

    fn stored(&self, said: Said) {
        match said {
            Said::Synced {
                chain,
                incarnations,
                took,
            } => {
                let took_ms = took.as_secs_f64() * 1e3;
                self.with(|controller, now| controller.stored(now, chain, incarnations, took_ms));
            }
            Said::Failed(why) => self.fail(StoreFailure::Write(format!("a write failed ({why})"))),
        }
    }

    /// Has a call answered; none where the controller has dropped it.
    pub async fn call(&self, wants: Wants) -> Option<Reply> {
        let (done, answer) = oneshot::channel();
        let token = self.with(|controller, _| controller.number());
        self.lines.borrow_mut().calls.insert(token, done);
        let _left = Left { hub: self, token };
        self.with(|controller, now| controller.call(now, token, wants));
        answer.await.ok()
    }

    // ---- proxies ---------------------------------------------------------------------------

    /// Who has come by its first word: a proxy, or a controller without a disk. Gives its name and its line's number.
    pub fn proxy_in(&self, hello: Up, outbox: Outbox) -> Option<(String, u64)> {
        let line = self.with(|controller, _| controller.number());
        let came = |name: String| {
            self.lines.borrow_mut().proxies.insert(line, outbox.clone());
            Some((name, line))
        };
        match hello {
            Up::Hello {
                node,
                zone,
                home,
                config,
                tables,
                gone,
            } => {
                let came = came(node.clone());
                self.with(|controller, now| {
                    controller.proxy_in(now, line, (&node, &zone), home, (config, tables), &gone);
                });
                came
            }
            Up::StatelessHello {
                address,
                controllers,
            } => {
                let came = came(format!("the controller without a disk at {}", address.ip()));
                self.with(|controller, now| {
                    controller.stateless_in(now, line, address, &controllers)
                });
                came
            }
            _ => None,
        }
    }

    pub fn proxy_said(&self, node: &str, line: u64, up: Up) {
        self.with(|controller, now| match up {
            Up::StatelessHello { .. } | Up::Found { .. } => {
                controller.stateless_said(now, line, &up)
            }
            up => controller.proxy_said(now, node, line, up),
        });
    }

    pub fn proxy_out(&self, node: &str, line: u64) {
        self.lines.borrow_mut().proxies.remove(&line);
        self.with(|controller, now| {
            controller.proxy_out(now, node, line);
            controller.stateless_out(now, line);
        });
    }

    // ---- time -------------------------------------------------------------------------------

    /// From now on others are to go on without this controller.
    pub fn end(&self) {
        self.with(|controller, _| controller.end());
    }

    /// Asks the others to go on without this controller; true once they do.
    pub fn left_the_chain(&self) -> bool {
        self.with(Controller::left_the_chain)
    }

    /// Every 50 ms.
    pub fn tick(&self, round: u64) {
        self.with(|controller, now| controller.tick(now, round));
    }
}

/// Nobody waits for a call's answer any more, once dropped.
struct Left<'a> {
    hub: &'a Hub,
    token: u64,
}

impl Drop for Left<'_> {
    fn drop(&mut self) {
        self.hub.lines.borrow_mut().calls.remove(&self.token);
        self.hub.controller.borrow_mut().call_left(self.token);
    }
}

#[cfg(test)]
mod tests;
