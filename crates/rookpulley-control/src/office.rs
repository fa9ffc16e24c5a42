//! Where everything of an office meets: what comes in is handed to the packages that decide, what they want is
//! put together as effects. It decides nothing about tables, views or the ledger itself.

use crate::calls::{Kind, Reply, Taken, Wants, later, taken, told};
use crate::founding::Founding;
use crate::pace::Pace;
use crate::state::Kept;
use crate::tally::Tally;
use crate::watches::Watches;
use crate::word::Word;
use rookpulley_chain::{Boot, CallKind, Chain, Disk, Effect as Order, Input, Member, Record};
use rookpulley_protocol::{Down, Up, frame};
use rookpulley_registry::{
    Beat, Desk, Drains, Editions, News, Out, Outcome as Sorted, Registry, Roll, Service, Standing,
    Word as Spread,
};
use rookpulley_routes::Book;
use rookpulley_state::Ledger;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

/// An office that nobody has reached for so long, and that no view names, is forgotten.
const FORGOTTEN_MS: f64 = 20_000.0;
/// How long a drain waits to be known elsewhere.
const CONFIRM_WITHIN_MS: f64 = 700.0;
/// What was noted before a start and hasn't been heard of since is dropped after so long.
const NOTES_KEPT_MS: f64 = 90_000.0;
const PEERS_MOST: usize = 64;
const ANNEXES_MOST: usize = 1_024;
const CALLS_MOST: usize = 4_096;

/// Rows of a store.
pub type Rows = Vec<(Vec<u8>, Vec<u8>)>;

/// What a process begins with.
pub struct Start {
    /// Of its disk and of this life of it, and where it hears the other offices.
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
    pub lives: Rows,
}

/// What is to be done.
#[derive(Debug)]
pub enum Effect {
    /// A line to the office at this address is to be kept.
    Dial(Ipv4Addr),
    /// It has spoken: no reason to wait with dialing it.
    Spoke(Ipv4Addr),
    /// To an office, on the line that was dialed.
    Word {
        to: Ipv4Addr,
        frame: Vec<u8>,
    },
    /// To a courier, on its line.
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
    Spoilt,
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

pub struct Courier {
    line: u64,
    pub zone: String,
    pub home: bool,
    /// The configuration that it holds once it has taken what was sent: the last it said, or one sent since.
    pub config: u64,
}

impl Courier {
    fn send_newer(&mut self, editions: &mut Editions, out: &mut Vec<Effect>) {
        if let Some(frame) = editions.frame_for(self.config) {
            out.push(Effect::Down { line: self.line, frame });
            self.config = editions.newest();
        }
    }
}

/// What waits for a word on a task to be on the disk: an answer to another office, or a task's own call.
enum Noted {
    Tell { to: u64, ask: u64 },
    Done { ask: u64 },
}

/// The token of a task's call, and whether that is a beat.
type Caller = (u64, bool);

/// A drain that is to be known elsewhere before it is acknowledged.
struct Confirm {
    caller: Caller,
    life: String,
    until_ms: f64,
    noted: bool,
    told: bool,
}

pub struct Office {
    me: Member,
    seeds: Vec<SocketAddrV4>,
    pub chain: Chain<Kept>,
    pub registry: Registry,
    pub desk: Desk,
    /// What was known of tasks before this start, until it is tidied.
    lives: Rows,
    peers: BTreeMap<Ipv4Addr, Peer>,
    pub couriers: BTreeMap<String, Courier>,
    roll: Roll,
    /// Lines of offices without a disk, and their addresses. They are told which offices are in touch, and nothing else.
    annexes: BTreeMap<u64, Ipv4Addr>,
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
    /// The configurations that couriers are told of, and the newest of them as it was read.
    editions: Editions,
    book: Option<Book>,
    /// When the newest was told, and whether a newer one waits for its turn.
    pace: Pace,
    pub disk: Disk,
    pub tally: Tally,
    ending: bool,
    told_touch: bool,
    out: Vec<Effect>,
}

/// A life and the last that matters of it, as it stands on the disk.
fn note_of(news: &News) -> Record {
    let life = match news {
        News::Beat { beat, .. } => beat.life.as_str(),
        News::Gone { life, .. } => life.as_str(),
        News::Heard { .. } => "",
    };
    Record::Put { key: life.into(), value: postcard::to_allocvec(news).unwrap_or_default() }
}

impl Office {
    /// At the time 0. `start.me.life` also is what chance begins with.
    pub fn new(start: Start) -> Self {
        let (me, seed) = (start.me, start.me.life);
        let kept = start.held.map(rookpulley_chain::Kept::read);
        let founder = start.founding.as_ref().is_some_and(Founding::at_once);
        let boot = Boot { me, founder, losses: start.losses as usize, seed, kept };
        let mut office = Self {
            me,
            seeds: start.seeds,
            chain: Chain::start(0, boot, Kept::default()),
            registry: Registry::new(0.0, start.heartbeat_ms as f64, start.drain_ms as f64),
            desk: Desk::new(seed),
            lives: start.lives,
            peers: BTreeMap::new(),
            couriers: BTreeMap::new(),
            roll: Roll::default(),
            annexes: BTreeMap::new(),
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
            disk: Disk::default(),
            tally: Tally::default(),
            ending: false,
            told_touch: false,
            out: Vec::new(),
        };
        office.begin_with_notes();
        office.meet_all(0.0, &office.seeds.clone());
        office.step(0.0, Input::Tick);
        office
    }

    /// What was known of tasks before this start, as if it were heard now: what no longer beats falls silent soon.
    fn begin_with_notes(&mut self) {
        for (_, value) in &self.lives {
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
        let homes = self.couriers.values().filter(|c| c.home).count();
        format!("{}; couriers {} (home of {homes})", self.chain.status(), self.couriers.len())
    }

    pub fn in_touch(&self, now: f64) -> bool {
        self.chain.in_touch(now as u64)
    }

    fn log(&mut self, line: String) {
        self.out.push(Effect::Log(line));
    }

    // ---- offices ----------------------------------------------------------------------------

    pub fn meet_all(&mut self, now: f64, offices: &[SocketAddrV4]) {
        offices.iter().for_each(|office| self.meet(now, *office.ip()));
    }

    fn meet(&mut self, now: f64, ip: Ipv4Addr) {
        let (own, known) = (ip == *self.me.address.ip(), self.peers.contains_key(&ip) || self.is_annex(ip));
        if own || known || self.peers.len() >= PEERS_MOST {
            return;
        }
        self.peers.insert(ip, Peer { dialed: false, id: None, seen_ms: now });
        self.out.push(Effect::Dial(ip));
    }

    fn reached(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.peers.iter().filter(|(ip, p)| p.dialed && !self.is_annex(**ip)).map(|(ip, _)| *ip)
    }

    fn is_annex(&self, ip: Ipv4Addr) -> bool {
        self.annexes.values().any(|annex| *annex == ip)
    }

    fn hello(&self) -> Word {
        let port = self.me.address.port();
        let offices = self.reached().map(|ip| SocketAddrV4::new(ip, port)).chain([self.me.address]).collect();
        Word::Hello { from: self.me, offices }
    }

    pub fn dialed(&mut self, now: f64, ip: Ipv4Addr) {
        let news = self.registry.all_news(now);
        for word in [self.hello(), Word::News { ask: 0, news }] {
            self.out.push(Effect::Word { to: ip, frame: frame(&word) });
        }
        if let Some(peer) = self.peers.get_mut(&ip) {
            (peer.dialed, peer.seen_ms) = (true, now);
        }
        self.log(format!("peers: reached {ip}"));
    }

    pub fn hung_up(&mut self, ip: Ipv4Addr) {
        if let Some(peer) = self.peers.get_mut(&ip) {
            peer.dialed = false;
        }
    }

    pub fn still_known(&self, now: f64, ip: Ipv4Addr) -> bool {
        let named = self.chain.view().is_some_and(|v| v.members.iter().any(|m| *m.address.ip() == ip));
        let seed = self.seeds.iter().any(|s| *s.ip() == ip);
        let lately = self.peers.get(&ip).is_some_and(|p| now - p.seen_ms < FORGOTTEN_MS);
        (named || seed || lately) && !self.is_annex(ip)
    }

    pub fn forget(&mut self, ip: Ipv4Addr) {
        self.peers.remove(&ip);
    }

    /// A word from another office; `who` is who said hello on this line.
    pub fn word(&mut self, now: f64, who: &mut Option<u64>, word: Word) {
        match word {
            Word::Hello { from, offices } => {
                *who = Some(from.id);
                let ip = *from.address.ip();
                // It has got a disk since.
                self.annexes.retain(|_, annex| *annex != ip);
                self.meet(now, ip);
                offices.iter().for_each(|o| self.meet(now, *o.ip()));
                self.peers.values_mut().filter(|p| p.id == Some(from.id)).for_each(|p| p.id = None);
                if let Some(peer) = self.peers.get_mut(&ip) {
                    (peer.id, peer.seen_ms) = (Some(from.id), now);
                    self.out.push(Effect::Spoke(ip));
                }
                self.step(now, Input::Met { member: from });
            }
            Word::Chain(message) => {
                if let Some(from) = *who {
                    self.watch_disk(now);
                    self.step(now, Input::Heard { from, message });
                }
            }
            Word::News { ask, news } => {
                self.tally.news_heard += news.len() as u64;
                for item in &news {
                    let sorted = self.registry.take_news(now, item);
                    self.sorted(now, sorted);
                }
                if ask > 0
                    && let Some(from) = *who
                {
                    self.note(Vec::new(), Some(Noted::Tell { to: from, ask }));
                }
            }
            Word::Took { ask } => {
                if who.is_some_and(|from| self.drains.took(ask, from))
                    && let Some(confirm) = self.confirms.get_mut(&ask)
                {
                    confirm.told = true;
                    self.confirmed(now, ask);
                }
            }
        }
    }

    /// The line on which an office spoke is over.
    pub fn line_ended(&mut self, now: f64, id: u64) {
        self.step(now, Input::HungUp { id });
    }

    fn send_to(&mut self, id: u64, word: &Word) {
        let line = self.peers.iter().find(|(_, p)| p.id == Some(id) && p.dialed);
        if let Some((&to, _)) = line {
            self.out.push(Effect::Word { to, frame: frame(word) });
        }
    }

    fn send_all(&mut self, word: &Word) {
        if matches!(word, Word::News { .. }) {
            self.tally.news_told += 1;
        }
        let bytes = frame(word);
        let to: Vec<Ipv4Addr> = self.reached().collect();
        self.out.extend(to.into_iter().map(|to| Effect::Word { to, frame: bytes.clone() }));
    }

    // ---- the chain --------------------------------------------------------------------------

    fn step(&mut self, now: f64, input: Input) {
        let orders = self.chain.handle(now as u64, input);
        let mut moved = false;
        for order in orders {
            match order {
                Order::Send { to, message } => self.send_to(to, &Word::Chain(message)),
                Order::Write { ticket, records } => {
                    self.disk.begins(now, ticket);
                    self.out.push(Effect::Write { ticket, records });
                }
                Order::Answer { token, outcome } => {
                    if let Some(kind) = self.calls.remove(&token) {
                        self.out.push(Effect::Reply { token, reply: told(kind, outcome) });
                    }
                }
                Order::Log(line) => self.log(line),
                Order::Applied => moved = true,
                Order::Spoilt => self.out.push(Effect::Spoilt),
            }
        }
        self.tally.view(self.chain.view().map_or(0, |v| v.number));
        if moved {
            self.look_at_watches(now, true);
            self.tell_configuration(now);
        }
    }

    /// All up to these tickets is on the disk, as far as there were any; syncing took so long.
    pub fn stored(&mut self, now: f64, chain: Option<u64>, lives: Option<u64>, took_ms: f64) {
        self.tally.sync(took_ms);
        self.disk.synced(chain, took_ms);
        if let Some(ticket) = chain {
            self.step(now, Input::Synced { ticket });
        }
        if let Some(ticket) = lives {
            self.noted(now, ticket);
        }
    }

    fn watch_disk(&mut self, now: f64) {
        if self.ending {
            return;
        }
        let look = self.disk.look(now);
        let probe = look.probe.map(|ticket| Effect::Write { ticket, records: Vec::new() });
        self.out.extend(probe);
        if let Some(slow) = look.turned {
            self.log(format!("store: the disk is {}", if slow { "slow" } else { "quick again" }));
            self.step(now, Input::Disk { slow });
        }
    }

    /// Takes a call; what it is told comes under its token, which `number` gave.
    pub fn call(&mut self, now: f64, token: u64, wants: Wants) {
        let kind = Kind::of(&wants);
        match wants {
            Wants::Beat(beat) => self.beat(now, token, beat),
            Wants::Leave(life) => self.leave(now, token, &life),
            Wants::Update(update) => self.call_chain(now, token, (kind, CallKind::Update), update.encode()),
            Wants::Ask(ask) => self.call_chain(now, token, (kind, CallKind::Read), ask.encode()),
            Wants::Watch { group, after, wait_ms } => {
                self.watches.add(now, token, group, after, wait_ms);
                self.look_at_watches(now, false);
            }
        }
    }

    /// Nobody waits for this one any more.
    pub fn call_left(&mut self, token: u64) {
        self.watches.forget(token);
    }

    fn call_chain(&mut self, now: f64, token: u64, (of, kind): (Kind, CallKind), body: Vec<u8>) {
        if self.calls.len() >= CALLS_MOST {
            return self.out.push(Effect::Reply { token, reply: later() });
        }
        self.calls.insert(token, of);
        self.step(now, Input::Call { token, kind, body });
    }

    fn look_at_watches(&mut self, now: f64, moved: bool) {
        let serving = self.serving(now) && !self.ending;
        let done = self.watches.due(now, moved, serving, &self.chain.state().ledger);
        self.out.extend(done.into_iter().map(|(token, reply)| Effect::Reply { token, reply }));
    }

    fn ledger(&self) -> &Ledger {
        &self.chain.state().ledger
    }

    // ---- the configuration, told to couriers --------------------------------------------------

    /// The configuration that couriers are told of, with its bytes.
    pub fn configuration(&self) -> Option<(&[u8], &Book)> {
        self.editions.newest_body().zip(self.book.as_ref())
    }

    /// What holds here is remembered at once, and told when its turn has come.
    fn tell_configuration(&mut self, now: f64) {
        let version = self.ledger().version();
        if version <= self.editions.newest() {
            return;
        }
        let Some((_, body)) = self.chain.state().ledger.configuration() else { return };
        self.editions.take(version, body);
        if !self.pace.is_due(now) {
            return;
        }
        let body = body.to_vec();
        self.pace.told(now, body.len());
        self.set_services(&body);
        self.editions.tell();
        let pulse = frame(&self.pulse(now));
        for courier in self.couriers.values_mut() {
            if courier.home {
                courier.send_newer(&mut self.editions, &mut self.out);
            } else {
                self.out.push(Effect::Down { line: courier.line, frame: pulse.clone() });
            }
        }
        self.log(format!("ledger: configuration {version} holds"));
        self.tables(now);
    }

    fn set_services(&mut self, body: &[u8]) {
        let book = match Book::read_after(body, self.configuration()) {
            Ok(book) => book,
            Err(why) => {
                let line = format!("ledger: the configuration held can't be read: {why}");
                return self.out.push(Effect::Complain(line));
            }
        };
        let services = book.services.iter().enumerate().map(|(at, service)| Service {
            name: service.name.clone(),
            max_connections: service.max_connections,
            aim_ms: book.least_aim_ms(at).unwrap_or(0.0),
        });
        self.desk.set_services(&services.collect::<Vec<_>>());
        self.book = Some(book);
    }

    fn pulse(&self, now: f64) -> Down {
        let in_touch = self.in_touch(now) && !self.ending;
        let port = self.me.address.port();
        let offices = self.reached().chain([*self.me.address.ip()]);
        Down::Pulse {
            in_touch,
            // What can't be had here is not told of.
            config: if self.serving(now) { self.editions.newest() } else { 0 },
            couriers: self.roll.count(),
            offices: offices.map(|ip| SocketAddrV4::new(ip, port)).collect(),
        }
    }

    // ---- couriers ---------------------------------------------------------------------------

    /// A courier says hello on a line, which `number` gave.
    pub fn courier_in(
        &mut self,
        now: f64,
        line: u64,
        (node, zone): (&str, &str),
        home: bool,
        (config, tables): (u64, bool),
        gone: &[String],
    ) {
        self.roll.came(node);
        self.couriers.insert(node.into(), Courier { line, zone: zone.into(), home, config });
        self.desk.courier_out(now, node);
        if home {
            self.desk.courier_in(now, node, zone, 1.0, tables);
        }
        let news = self.registry.take_gone(now, gone);
        if !news.is_empty() {
            let told = news.iter().map(|life| News::Gone { life: life.clone(), age_ms: 0.0 }).collect();
            self.send_all(&Word::News { ask: 0, news: told });
            self.tell_gone(now, news);
        }
        for down in [self.pulse(now), Down::Gone { lives: self.registry.gone_lives() }] {
            self.out.push(Effect::Down { line, frame: frame(&down) });
        }
        if home {
            self.send_configuration(now, node);
            self.tables(now);
        }
        self.log(format!("couriers: {node} of {zone} is here{}", if home { ", at home" } else { "" }));
    }

    pub fn serving(&self, now: f64) -> bool {
        self.chain.serving(now as u64)
    }

    fn send_configuration(&mut self, now: f64, node: &str) {
        // One that isn't part of the chain may hold an old one: a courier that has none would begin with it.
        if !self.serving(now) {
            return;
        }
        if let Some(courier) = self.couriers.get_mut(node) {
            courier.send_newer(&mut self.editions, &mut self.out);
        }
    }

    pub fn courier_said(&mut self, now: f64, node: &str, line: u64, up: Up) {
        let serving = self.serving(now);
        let Some(courier) = self.couriers.get_mut(node).filter(|c| c.line == line) else { return };
        match up {
            Up::Home { home, config, tables } => {
                (courier.home, courier.config) = (home, config);
                self.desk.courier_out(now, node);
                if home {
                    self.desk.courier_in(now, node, &courier.zone, 1.0, tables);
                    if serving {
                        courier.send_newer(&mut self.editions, &mut self.out);
                    }
                }
            }
            Up::WantConfig { have } if serving => {
                courier.config = have;
                courier.send_newer(&mut self.editions, &mut self.out);
            }
            Up::Report(report) => self.desk.report(node, &report),
            Up::Took { mark } => self.desk.took(node, mark),
            Up::Hello { .. } | Up::WantConfig { .. } | Up::Annex { .. } | Up::Found { .. } => {}
        }
    }

    pub fn courier_out(&mut self, now: f64, node: &str, line: u64) {
        if self.couriers.get(node).is_some_and(|c| c.line == line) {
            self.couriers.remove(node);
            self.desk.courier_out(now, node);
            self.roll.went(now, node);
        }
    }

    fn tell_couriers(&mut self, down: &Down) {
        let bytes = frame(down);
        let each = |courier: &Courier| Effect::Down { line: courier.line, frame: bytes.clone() };
        self.out.extend(self.couriers.values().map(each));
    }

    // ---- offices without a disk -----------------------------------------------------------------

    /// An office without a disk says hello on a line, which `number` gave.
    pub fn annex_in(&mut self, now: f64, line: u64, address: SocketAddrV4, offices: &[SocketAddrV4]) {
        let ip = *address.ip();
        if self.annexes.len() >= ANNEXES_MOST || ip == *self.me.address.ip() {
            return;
        }
        self.annexes.insert(line, ip);
        self.meet_all(now, offices);
        let view = self.chain.view().is_some();
        let founds = self.founding.as_ref().filter(|_| !view).map(|_| self.me.id);
        for down in [Down::Place { zone: self.zone.clone(), founds, view }, self.pulse(now)] {
            self.out.push(Effect::Down { line, frame: frame(&down) });
        }
        self.log(format!("annexes: {ip} has no disk; it passes calls on"));
        if self.founding.as_ref().is_some_and(|founding| founding.waits_for(ip)) {
            self.diskless.insert(ip);
            self.found_if_due(now);
        }
    }

    pub fn annex_said(&mut self, now: f64, line: u64, up: &Up) {
        let Some(by) = self.annexes.get(&line) else { return };
        let names = self.founding.as_ref().is_some_and(|founding| founding.names(*by));
        match up {
            Up::Annex { offices, .. } => self.meet_all(now, offices),
            Up::Found { id } if *id == self.me.id && names => {
                self.named = true;
                self.found_if_due(now);
            }
            _ => {}
        }
    }

    pub fn annex_out(&mut self, now: f64, line: u64) {
        let ip = self.annexes.remove(&line);
        if let Some(ip) = ip.filter(|ip| self.seeds.iter().any(|seed| seed.ip() == ip)) {
            self.meet(now, ip);
        }
    }

    fn found_if_due(&mut self, now: f64) {
        let due = self.founding.as_ref().is_some_and(|founding| founding.due(&self.diskless, self.named));
        if due && self.chain.view().is_none() {
            self.step(now, Input::Found);
        }
    }

    fn tell_gone(&mut self, now: f64, lives: Vec<String>) {
        if lives.is_empty() {
            return;
        }
        self.log(format!("registry: {} drain or have left", lives.join(" ")));
        self.tally.drains += lives.len() as u64;
        self.tell_couriers(&Down::Gone { lives });
        self.tables(now);
    }

    fn tables(&mut self, now: f64) {
        self.desk.sync(now, &self.registry);
        for out in self.desk.tick(now) {
            match out {
                Out::Table { courier, service, name, mark, lines } => {
                    if let Some(to) = self.couriers.get(&courier) {
                        let frame = frame(&Down::Table { service, name, mark, lines });
                        self.out.push(Effect::Down { line: to.line, frame });
                    }
                }
                Out::Log { service, text } => self.log(format!("desk: {service}: {text}")),
            }
        }
    }

    // ---- tasks ------------------------------------------------------------------------------

    /// Takes a beat.
    fn beat(&mut self, now: f64, token: u64, beat: Beat) {
        if !self.registry.takes_beats(now) {
            return self.taken((token, true), Taken::Not);
        }
        let draining = beat.draining;
        self.tally.beat(draining);
        let life = beat.life.clone();
        let sorted = self.registry.beat(now, beat);
        self.sorted(now, sorted);
        // A drain is acknowledged only once it is known elsewhere, also when it is told again.
        if draining {
            self.drain_known(now, (token, true), life);
        } else {
            self.taken((token, true), Taken::Known);
        }
    }

    fn leave(&mut self, now: f64, token: u64, life: &str) {
        let sorted = self.registry.leave(now, life);
        self.sorted(now, sorted);
        self.drain_known(now, (token, false), life.into());
    }

    fn taken(&mut self, (token, beat): Caller, word: Taken) {
        self.out.push(Effect::Reply { token, reply: taken(word, beat) });
    }

    /// A life that drains or ends: once that is known elsewhere it need not be asked about again.
    fn drain_known(&mut self, now: f64, caller: Caller, life: String) {
        if self.drains.is_known(&life) {
            return self.taken(caller, Taken::Known);
        }
        self.known_elsewhere(now, caller, life);
    }

    /// Carries out what came of a beat or of news.
    fn sorted(&mut self, now: f64, sorted: Sorted) {
        if let Spread::Now(news) = sorted.word {
            self.note(vec![note_of(&news)], None);
            self.send_all(&Word::News { ask: 0, news: vec![news] });
        }
        self.tell_gone(now, sorted.newly_draining.into_iter().collect());
    }

    /// Writes what is known of tasks. After a crash it is where the registry begins: beats alone would take a while,
    /// and a drain that was acknowledged must hold.
    fn note(&mut self, records: Vec<Record>, then: Option<Noted>) {
        self.notes += 1;
        let ticket = self.notes;
        self.noting.extend(then.map(|then| (ticket, then)));
        self.out.push(Effect::Note { ticket, records });
    }

    fn noted(&mut self, now: f64, ticket: u64) {
        let due: Vec<_> = self.noting.extract_if(.., |(t, _)| *t <= ticket).collect();
        for (_, then) in due {
            match then {
                Noted::Tell { to, ask } => self.send_to(to, &Word::Took { ask }),
                Noted::Done { ask } => {
                    self.confirms.get_mut(&ask).into_iter().for_each(|confirm| confirm.noted = true);
                    self.confirmed(now, ask);
                }
            }
        }
    }

    /// Once beats have had time to come, what is noted of lives that are unknown now is dropped.
    fn tidy_notes(&mut self) {
        let lives = std::mem::take(&mut self.lives);
        let gone = |key: &Vec<u8>| {
            let life = std::str::from_utf8(key).unwrap_or_default();
            self.registry.standing(life) == Standing::Unknown
        };
        let drops = lives.into_iter().filter(|(key, _)| gone(key)).map(|(key, _)| Record::Delete { key });
        let drops: Vec<Record> = drops.collect();
        if !drops.is_empty() {
            self.note(drops, None);
        }
    }

    /// Waits until as many others know as may be lost: then the word reaches every courier in touch whatever
    /// becomes of this machine, and it may be acknowledged.
    fn known_elsewhere(&mut self, now: f64, caller: Caller, life: String) {
        let others = self.chain.view().map_or(0, |v| v.members.len().saturating_sub(1));
        if !self.in_touch(now) {
            return self.taken(caller, Taken::HereAlone);
        }
        let ask = self.number();
        let told = !self.drains.ask(ask, others);
        let until_ms = now + CONFIRM_WITHIN_MS;
        self.confirms.insert(ask, Confirm { caller, life: life.clone(), until_ms, noted: false, told });
        self.send_all(&Word::News { ask, news: vec![News::Gone { life, age_ms: 0.0 }] });
        self.note(Vec::new(), Some(Noted::Done { ask }));
    }

    /// Answers a drain that is on the disk here and known to enough others.
    fn confirmed(&mut self, now: f64, ask: u64) {
        if !self.confirms.get(&ask).is_some_and(|confirm| confirm.noted && confirm.told) {
            return;
        }
        let Some(confirm) = self.confirms.remove(&ask) else { return };
        self.drains.over(ask);
        let known = self.in_touch(now);
        if known {
            self.drains.known(now, confirm.life);
        }
        self.taken(confirm.caller, if known { Taken::Known } else { Taken::HereAlone });
    }

    /// Those that took too long to be known elsewhere.
    fn unconfirmed(&mut self, now: f64) {
        let late: Vec<(u64, Confirm)> = self.confirms.extract_if(.., |_, c| c.until_ms <= now).collect();
        for (ask, confirm) in late {
            self.drains.over(ask);
            self.taken(confirm.caller, Taken::HereAlone);
        }
    }

    // ---- time -------------------------------------------------------------------------------

    /// From now on others are to go on without this office.
    pub fn end(&mut self) {
        self.ending = true;
    }

    /// Asks the others to go on without this office; true once they do.
    pub fn left_the_chain(&mut self, now: f64) -> bool {
        self.step(now, Input::Disk { slow: true });
        self.chain.view().is_none_or(|v| v.members.iter().all(|m| m.id != self.me.id))
    }

    /// Every 50 ms.
    pub fn tick(&mut self, now: f64, round: u64) {
        self.step(now, Input::Tick);
        self.watch_disk(now);
        self.unconfirmed(now);
        self.look_at_watches(now, false);
        self.tell_configuration(now);
        let addresses: Vec<Ipv4Addr> = self
            .chain
            .view()
            .map_or(Vec::new(), |view| view.members.iter().map(|m| *m.address.ip()).collect());
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
                self.send_all(&Word::News { ask: 0, news: vec![news] });
            }
        }
        if round.is_multiple_of(8) {
            self.roll.forget_old(now);
            self.desk.set_couriers(self.roll.count());
        }
        if round.is_multiple_of(8) || std::mem::replace(&mut self.told_touch, in_touch) != in_touch {
            let pulse = self.pulse(now);
            self.tell_couriers(&pulse);
            let frame = frame(&pulse);
            let tell = |line: &u64| Effect::Down { line: *line, frame: frame.clone() };
            self.out.extend(self.annexes.keys().map(tell));
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
