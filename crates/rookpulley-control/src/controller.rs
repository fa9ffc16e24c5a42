//! Where everything of a controller meets: what comes in is handed to the packages that decide, what they want is
//! put together as effects. It decides nothing about tables, views or the ledger itself.

mod peers;
mod proxies;
mod publication;
mod stateless;
mod tasks;

use crate::calls::{Kind, Reply, Wants, later, told};
use crate::founding::Founding;
use crate::pace::Pace;
use crate::replicated_state::ReplicatedState;
use crate::tally::Tally;
use crate::watches::Watches;
use crate::word::Word;
use rookpulley_chain::{
    Chain, DiskHealth, Effect as ChainEffect, Input, Member, Record, RequestKind, StartState,
};
use rookpulley_protocol::frame;
use rookpulley_registry::{Desk, Drains, Editions, News, Registry, Roll};
use rookpulley_routes::Book;
use rookpulley_state::Ledger;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

/// A controller that nobody has reached for so long, and that no view names, is forgotten.
const FORGOTTEN_MS: f64 = 20_000.0;
/// How long a drain waits to be known elsewhere.
const CONFIRM_WITHIN_MS: f64 = 700.0;
/// What was noted before a start and hasn't been heard of since is dropped after so long.
const NOTES_KEPT_MS: f64 = 90_000.0;
const PEERS_MOST: usize = 64;
const STATELESS_CONTROLLERS_MOST: usize = 1_024;
const CALLS_MOST: usize = 4_096;

/// Rows of a store.
pub type Rows = Vec<(Vec<u8>, Vec<u8>)>;

/// What a process begins with.
pub struct Start {
    /// Of its disk and of this incarnation of it, and where it hears the other controllers.
    pub me: Member,
    pub seeds: Vec<SocketAddrV4>,
    /// So many machines may be lost at once.
    pub losses: u32,
    pub heartbeat_ms: u64,
    pub drain_ms: u64,
    pub zone: String,
    /// What its disk was minted with, where that was at the first start of all.
    pub founding: Option<Founding>,
    /// What the disk holds of the chain; None: it is new.
    pub held: Option<Rows>,
    /// What it holds on tasks.
    pub incarnations: Rows,
}

/// What is to be done.
#[derive(Debug)]
pub enum Effect {
    /// A line to the controller at this address is to be kept.
    Dial(Ipv4Addr),
    /// It has spoken: no reason to wait with dialing it.
    Spoke(Ipv4Addr),
    /// To a controller, on the line that was dialed.
    Word {
        to: Ipv4Addr,
        frame: Vec<u8>,
    },
    /// To a proxy, on its line.
    Down {
        line: u64,
        frame: Vec<u8>,
    },
    /// To be written as one and synced, in the order of tickets.
    Write {
        ticket: u64,
        records: Vec<Record>,
    },
    /// The same, of what is known of tasks.
    Note {
        ticket: u64,
        records: Vec<Record>,
    },
    Reply {
        token: u64,
        reply: Reply,
    },
    /// The others keep something else: what is kept here is given up, and the next start is filled by them.
    DiscardStore,
    Log(String),
    /// Something is wrong.
    Complain(String),
}

struct Peer {
    /// A line to it is open.
    dialed: bool,
    id: Option<u64>,
    seen_ms: f64,
}

pub struct ProxySession {
    line: u64,
    pub zone: String,
    pub home: bool,
    /// The configuration that it holds once it has taken what was sent: the last it said, or one sent since.
    pub config: u64,
}

impl ProxySession {
    fn send_newer(&mut self, editions: &mut Editions, out: &mut Vec<Effect>) {
        if let Some(frame) = editions.frame_for(self.config) {
            out.push(Effect::Down {
                line: self.line,
                frame,
            });
            self.config = editions.newest();
        }
    }
}

/// What waits for a word on a task to be on the disk: an answer to another controller, or a task's own call.
enum Noted {
    Tell { to: u64, ask: u64 },
    Done { ask: u64 },
}

/// The token of a task's call, and whether that is a heartbeat.
type Caller = (u64, bool);

/// A drain that is to be known elsewhere before it is acknowledged.
struct Confirm {
    caller: Caller,
    incarnation: String,
    until_ms: f64,
    noted: bool,
    told: bool,
}

pub struct Controller {
    me: Member,
    seeds: Vec<SocketAddrV4>,
    pub chain: Chain<ReplicatedState>,
    pub registry: Registry,
    pub desk: Desk,
    /// What was known of tasks before this start, until it is tidied.
    incarnations: Rows,
    peers: BTreeMap<Ipv4Addr, Peer>,
    pub proxies: BTreeMap<String, ProxySession>,
    roll: Roll,
    /// Lines of controllers without a disk, and their addresses. They are told which controllers are in touch, and nothing else.
    stateless_controllers: BTreeMap<u64, Ipv4Addr>,
    zone: String,
    founding: Option<Founding>,
    /// Of the seeds that this one waits for: those that have said that they have no disk.
    diskless: BTreeSet<Ipv4Addr>,
    /// The first seed has named this one.
    named: bool,
    calls: BTreeMap<u64, Kind>,
    watches: Watches,
    drains: Drains,
    /// Who waits for a drain to be known elsewhere, by the number that others were asked under.
    confirms: BTreeMap<u64, Confirm>,
    notes: u64,
    noting: Vec<(u64, Noted)>,
    next: u64,
    /// The configurations that proxies are told of, and the newest of them as it was read.
    editions: Editions,
    book: Option<Book>,
    /// When the newest was told, and whether a newer one waits for its turn.
    pace: Pace,
    /// Something was applied in this incarnation: it was agreed on.
    applied: bool,
    pub disk: DiskHealth,
    pub tally: Tally,
    ending: bool,
    told_touch: bool,
    out: Vec<Effect>,
}

impl Controller {
    /// At the time 0. `start.me.incarnation` also is what chance begins with.
    pub fn new(start: Start) -> Self {
        let (me, seed) = (start.me, start.me.incarnation);
        let kept = start.held.map(rookpulley_chain::PersistedState::read);
        let founder = start.founding.as_ref().is_some_and(Founding::at_once);
        let boot = StartState {
            me,
            founder,
            tolerated_losses: start.losses as usize,
            seed,
            persisted: kept,
        };
        let mut controller = Self {
            me,
            seeds: start.seeds,
            chain: Chain::start(0, boot, ReplicatedState::default()),
            registry: Registry::new(0.0, start.heartbeat_ms as f64, start.drain_ms as f64),
            desk: Desk::new(seed),
            incarnations: start.incarnations,
            peers: BTreeMap::new(),
            proxies: BTreeMap::new(),
            roll: Roll::default(),
            stateless_controllers: BTreeMap::new(),
            zone: start.zone,
            founding: start.founding,
            diskless: BTreeSet::new(),
            named: false,
            calls: BTreeMap::new(),
            watches: Watches::default(),
            drains: Drains::new(start.losses as usize),
            confirms: BTreeMap::new(),
            notes: 0,
            noting: Vec::new(),
            next: 0,
            editions: Editions::default(),
            book: None,
            pace: Pace::default(),
            applied: false,
            disk: DiskHealth::default(),
            tally: Tally::default(),
            ending: false,
            told_touch: false,
            out: Vec::new(),
        };
        controller.begin_with_notes();
        controller.meet_all(0.0, &controller.seeds.clone());
        controller.step(0.0, Input::Tick);
        controller
    }

    /// What was known of tasks before this start, as if it were heard now: what no longer sends heartbeats falls silent soon.
    fn begin_with_notes(&mut self) {
        for (_, value) in &self.incarnations {
            if let Ok(news) = postcard::from_bytes::<News>(value) {
                self.registry.take_news(0.0, &news.as_of_now());
            }
        }
    }

    /// What came of all inputs since the last time.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.out)
    }

    /// A number that was never given here: for a line, or a call.
    pub fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    pub fn status(&self) -> String {
        let homes = self.proxies.values().filter(|c| c.home).count();
        format!(
            "{}; proxies {} (home of {homes})",
            self.chain.summary(),
            self.proxies.len()
        )
    }

    pub fn in_touch(&self, now: f64) -> bool {
        self.chain.in_touch(now as u64)
    }

    fn log(&mut self, line: String) {
        self.out.push(Effect::Log(line));
    }

    fn step(&mut self, now: f64, input: Input) {
        let orders = self.chain.handle(now as u64, input);
        let mut moved = false;
        for order in orders {
            match order {
                ChainEffect::Send { to, message } => self.send_to(to, &Word::Chain(message)),
                ChainEffect::Write { ticket, records } => {
                    self.disk.write_began(now, ticket);
                    self.out.push(Effect::Write { ticket, records });
                }
                ChainEffect::Reply { token, outcome } => {
                    if let Some(kind) = self.calls.remove(&token) {
                        self.out.push(Effect::Reply {
                            token,
                            reply: told(kind, outcome),
                        });
                    }
                }
                ChainEffect::Log(line) => self.log(line),
                ChainEffect::StateChanged => moved = true,
                ChainEffect::DiscardStore => self.out.push(Effect::DiscardStore),
            }
        }
        self.tally.view(self.chain.view().map_or(0, |v| v.number));
        if moved {
            self.applied = true;
            self.look_at_watches(now, true);
            self.tell_configuration(now);
        }
    }

    /// All up to these tickets is on the disk, as far as there were any; syncing took so long.
    pub fn stored(
        &mut self,
        now: f64,
        chain: Option<u64>,
        incarnations: Option<u64>,
        took_ms: f64,
    ) {
        self.tally.sync(took_ms);
        self.disk.synced(chain, took_ms);
        if let Some(ticket) = chain {
            self.step(now, Input::Synced { ticket });
        }
        if let Some(ticket) = incarnations {
            self.noted(now, ticket);
        }
    }

    fn watch_disk(&mut self, now: f64) {
        if self.ending {
            return;
        }
        let look = self.disk.check(now);
        let probe = look.probe.map(|ticket| Effect::Write {
            ticket,
            records: Vec::new(),
        });
        self.out.extend(probe);
        if let Some(slow) = look.changed {
            self.log(format!(
                "store: the disk is {}",
                if slow { "slow" } else { "quick again" }
            ));
            self.step(now, Input::DiskHealth { slow });
        }
    }

    /// Takes a call; what it is told comes under its token, which `number` gave.
    pub fn call(&mut self, now: f64, token: u64, wants: Wants) {
        let kind = Kind::of(&wants);
        match wants {
            Wants::Heartbeat(heartbeat) => self.heartbeat(now, token, heartbeat),
            Wants::Leave(incarnation) => self.leave(now, token, &incarnation),
            Wants::Update(update) => {
                self.call_chain(now, token, (kind, RequestKind::Update), update.encode())
            }
            Wants::Ask(ask) => self.call_chain(now, token, (kind, RequestKind::Read), ask.encode()),
            Wants::Watch {
                group,
                after,
                wait_ms,
            } => {
                self.watches.add(now, token, group, after, wait_ms);
                self.look_at_watches(now, false);
            }
        }
    }

    /// Nobody waits for this one any more.
    pub fn call_left(&mut self, token: u64) {
        self.watches.forget(token);
    }

    fn call_chain(&mut self, now: f64, token: u64, (of, kind): (Kind, RequestKind), body: Vec<u8>) {
        if self.calls.len() >= CALLS_MOST {
            return self.out.push(Effect::Reply {
                token,
                reply: later(),
            });
        }
        self.calls.insert(token, of);
        self.step(now, Input::ClientRequest { token, kind, body });
    }

    fn look_at_watches(&mut self, now: f64, moved: bool) {
        let serving = self.serving(now) && !self.ending;
        let done = self
            .watches
            .due(now, moved, serving, &self.chain.state().ledger);
        self.out.extend(
            done.into_iter()
                .map(|(token, reply)| Effect::Reply { token, reply }),
        );
    }

    fn ledger(&self) -> &Ledger {
        &self.chain.state().ledger
    }

    /// From now on others are to go on without this controller.
    pub fn end(&mut self) {
        self.ending = true;
    }

    /// Asks the others to go on without this controller; true once they do.
    pub fn left_the_chain(&mut self, now: f64) -> bool {
        self.step(now, Input::DiskHealth { slow: true });
        self.chain
            .view()
            .is_none_or(|v| v.members.iter().all(|m| m.id != self.me.id))
    }

    /// Every 50 ms.
    pub fn tick(&mut self, now: f64, round: u64) {
        self.step(now, Input::Tick);
        self.watch_disk(now);
        self.unconfirmed(now);
        self.look_at_watches(now, false);
        self.tell_configuration(now);
        let addresses: Vec<Ipv4Addr> = self.chain.view().map_or(Vec::new(), |view| {
            view.members.iter().map(|m| *m.address.ip()).collect()
        });
        let in_touch = self.in_touch(now);
        self.registry.touch(now, in_touch);
        addresses.into_iter().for_each(|ip| self.meet(now, ip));
        if round.is_multiple_of(2) {
            let silent = self.registry.tick(now);
            if !silent.is_empty() {
                self.log(format!("registry: {} fell silent", silent.join(" ")));
            }
            self.tables(now);
        }
        if round.is_multiple_of(16) {
            let news = self.registry.fresh_news(now);
            if let Some(news) = news {
                self.send_all(&Word::News {
                    ask: 0,
                    news: vec![news],
                });
            }
        }
        if round.is_multiple_of(8) {
            self.roll.forget_old(now);
            self.desk.set_proxies(self.roll.count());
        }
        if round.is_multiple_of(8) || std::mem::replace(&mut self.told_touch, in_touch) != in_touch
        {
            let pulse = self.pulse(now);
            self.tell_proxies(&pulse);
            let frame = frame(&pulse);
            let tell = |line: &u64| Effect::Down {
                line: *line,
                frame: frame.clone(),
            };
            self.out.extend(self.stateless_controllers.keys().map(tell));
        }
        if round.is_multiple_of(40) {
            let hello = self.hello();
            self.send_all(&hello);
        }
        if now > NOTES_KEPT_MS {
            self.tidy_notes();
        }
    }
}
