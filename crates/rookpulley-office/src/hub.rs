//! Where everything of an office meets: what comes in is handed to the packages that decide, what they want is
//! carried out. It decides nothing about tables, views or the ledger itself.

use crate::peers::Word;
use crate::show::Counts;
use crate::state::Kept;
use crate::store::{Part, Said, Store};
use rookpulley_addressbook::Book;
use rookpulley_chain::{Boot, CallKind, Chain, Disk, Effect, Input, Member, Outcome, Record};
use rookpulley_ledger::{Answer, Ask, Update};
use rookpulley_mailroom::line::Outbox;
use rookpulley_settings::Node;
use rookpulley_sorting::{
    Beat, Desk, Drains, Editions, News, Out, Outcome as Sorted, Registry, Roll, Service, Word as Spread,
};
use rookpulley_waybill::{Down, Up, frame};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc, oneshot};

/// An office that nobody has reached for so long, and that no view names, is forgotten.
const FORGOTTEN_MS: f64 = 20_000.0;
/// How long a drain waits to be known elsewhere.
const CONFIRM_WITHIN: Duration = Duration::from_millis(700);
/// What was noted before a start and hasn't been heard of since is dropped after so long.
const NOTES_KEPT_MS: f64 = 90_000.0;
struct Peer {
    /// It has spoken: no reason to wait with dialing it.
    wake: Rc<Notify>,
    outbox: Option<Outbox>,
    id: Option<u64>,
    seen_ms: f64,
}

pub struct Courier {
    line: u64,
    outbox: Outbox,
    pub zone: String,
    pub home: bool,
    /// The configuration that it holds once it has taken what was sent: the last it said, or one sent since.
    pub config: u64,
}

impl Courier {
    fn send_newer(&mut self, editions: &mut Editions) {
        if let Some(frame) = editions.frame_for(self.config) {
            self.outbox.send_framed(frame);
            self.config = editions.newest();
        }
    }
}

/// What waits for a word on a task to be on the disk: an answer to another office, or a task's own call.
enum Noted {
    Tell { to: u64, ask: u64 },
    Done(oneshot::Sender<()>),
}

/// What the chain has for a call.
#[derive(Debug)]
pub enum Told {
    Answer(Answer),
    /// It did not take effect and never will.
    Refused,
    /// Nobody knows whether it took effect.
    Unknown,
}

impl From<Outcome> for Told {
    fn from(outcome: Outcome) -> Told {
        match outcome {
            Outcome::Done(bytes) => Answer::decode(&bytes).map_or(Told::Unknown, Told::Answer),
            Outcome::Refused => Told::Refused,
            Outcome::Unknown => Told::Unknown,
        }
    }
}

/// What became of a task's word.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Taken {
    /// It holds, whatever becomes of this office.
    Known,
    /// This office and its couriers go by it; whether others do isn't known.
    HereAlone,
    /// Nothing was done.
    Not,
}

pub struct Inner {
    pub chain: Chain<Kept>,
    pub registry: Registry,
    pub desk: Desk,
    store: Store,
    peers: BTreeMap<Ipv4Addr, Peer>,
    to_dial: Vec<Ipv4Addr>,
    pub couriers: BTreeMap<String, Courier>,
    roll: Roll,
    calls: BTreeMap<u64, oneshot::Sender<Outcome>>,
    drains: Drains,
    /// Who waits for a drain to be known elsewhere, by the number that others were asked under.
    confirms: BTreeMap<u64, oneshot::Sender<()>>,
    notes: u64,
    noting: Vec<(u64, Noted)>,
    next: u64,
    /// The configurations that couriers are told of.
    editions: Editions,
    pub disk: Disk,
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

pub struct Hub {
    pub node: Node,
    me: Member,
    born: Instant,
    inner: RefCell<Inner>,
    pub applied: Notify,
    /// Asks the main loop to dial what became known.
    pub dial: Notify,
    pub ending: Cell<bool>,
    pub counts: Counts,
    told_touch: Cell<bool>,
}

impl Hub {
    pub fn new(node: Node, store: Store, kept: Vec<(Vec<u8>, Vec<u8>)>, seed: u64) -> Rc<Self> {
        let me = Member {
            id: store.identity,
            life: seed,
            address: SocketAddrV4::new(node.ip, node.inner_ports.0 + 1),
        };
        let kept = (!store.new).then(|| rookpulley_chain::Kept::read(kept));
        let boot = Boot { me, founder: store.founder, losses: node.tolerance.machines as usize, seed, kept };
        let inner = Inner {
            chain: Chain::start(0, boot, Kept::default()),
            registry: Registry::new(0.0, node.heartbeat_ms as f64, node.bounds.drain_ms as f64),
            desk: Desk::new(seed),
            store,
            peers: BTreeMap::new(),
            to_dial: Vec::new(),
            couriers: BTreeMap::new(),
            roll: Roll::default(),
            calls: BTreeMap::new(),
            drains: Drains::new(node.tolerance.machines as usize),
            confirms: BTreeMap::new(),
            notes: 0,
            noting: Vec::new(),
            next: 0,
            editions: Editions::default(),
            disk: Disk::default(),
        };
        let hub = Rc::new(Self {
            node,
            me,
            born: Instant::now(),
            inner: RefCell::new(inner),
            applied: Notify::new(),
            dial: Notify::new(),
            ending: Cell::new(false),
            counts: Counts::default(),
            told_touch: Cell::new(false),
        });
        hub.begin_with_notes();
        hub.meet_seeds(&hub.node.seeds);
        hub.step(Input::Tick);
        hub
    }

    /// What was known of tasks before this start, as if it were heard now: what no longer beats falls silent soon.
    fn begin_with_notes(&self) {
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        for (_, value) in &inner.store.lives {
            if let Ok(news) = postcard::from_bytes::<News>(value) {
                inner.registry.take_news(0.0, &news.as_of_now());
            }
        }
    }

    pub fn now_ms(&self) -> f64 {
        self.born.elapsed().as_secs_f64() * 1e3
    }

    pub fn peer_port(&self) -> u16 {
        self.me.address.port()
    }

    pub fn status(&self) -> String {
        let inner = self.inner.borrow();
        let homes = inner.couriers.values().filter(|c| c.home).count();
        format!("{}; couriers {} (home of {homes})", inner.chain.status(), inner.couriers.len())
    }

    /// For `show`.
    pub fn look<T>(&self, look: impl FnOnce(&Inner) -> T) -> T {
        look(&self.inner.borrow())
    }

    pub fn in_touch(&self) -> bool {
        self.inner.borrow().chain.in_touch(self.now_ms() as u64)
    }

    // ---- offices ----------------------------------------------------------------------------

    pub fn meet_seeds(&self, seeds: &[SocketAddrV4]) {
        seeds.iter().for_each(|seed| self.meet(*seed.ip()));
    }

    fn meet(&self, ip: Ipv4Addr) {
        let now = self.now_ms();
        let mut inner = self.inner.borrow_mut();
        if ip == self.node.ip || inner.peers.contains_key(&ip) || inner.peers.len() >= 64 {
            return;
        }
        inner.peers.insert(ip, Peer { wake: Rc::default(), outbox: None, id: None, seen_ms: now });
        inner.to_dial.push(ip);
        self.dial.notify_one();
    }

    /// Offices that became known and have no line yet.
    pub fn to_dial(&self) -> Vec<Ipv4Addr> {
        std::mem::take(&mut self.inner.borrow_mut().to_dial)
    }

    fn hello(&self) -> Word {
        let inner = self.inner.borrow();
        let reached = inner.peers.iter().filter(|(_, p)| p.outbox.is_some());
        let port = self.peer_port();
        let offices = reached.map(|(ip, _)| SocketAddrV4::new(*ip, port)).chain([self.me.address]).collect();
        Word::Hello { from: self.me, offices }
    }

    pub fn dialed(&self, ip: Ipv4Addr, outbox: Outbox) {
        outbox.send(&self.hello());
        let now = self.now_ms();
        let news = self.inner.borrow().registry.all_news(now);
        outbox.send(&Word::News { ask: 0, news });
        if let Some(peer) = self.inner.borrow_mut().peers.get_mut(&ip) {
            (peer.outbox, peer.seen_ms) = (Some(outbox), now);
        }
        tracing::info!("peers: reached {ip}");
    }

    pub fn hung_up(&self, ip: Ipv4Addr) {
        if let Some(peer) = self.inner.borrow_mut().peers.get_mut(&ip) {
            peer.outbox = None;
        }
    }

    /// Tells when the office at this address has spoken.
    pub fn wake(&self, ip: Ipv4Addr) -> Rc<Notify> {
        self.inner.borrow().peers.get(&ip).map_or_else(Rc::default, |peer| peer.wake.clone())
    }

    pub fn still_known(&self, ip: Ipv4Addr) -> bool {
        let inner = self.inner.borrow();
        let named = inner.chain.view().is_some_and(|v| v.members.iter().any(|m| *m.address.ip() == ip));
        let seed = self.node.seeds.iter().any(|s| *s.ip() == ip);
        let lately = inner.peers.get(&ip).is_some_and(|p| self.now_ms() - p.seen_ms < FORGOTTEN_MS);
        named || seed || lately
    }

    pub fn forget(&self, ip: Ipv4Addr) {
        self.inner.borrow_mut().peers.remove(&ip);
    }

    /// A word from another office; `who` is who said hello on this line.
    pub fn word(&self, who: &mut Option<u64>, word: Word) {
        match word {
            Word::Hello { from, offices } => {
                *who = Some(from.id);
                let ip = *from.address.ip();
                self.meet(ip);
                offices.iter().for_each(|o| self.meet(*o.ip()));
                {
                    let mut inner = self.inner.borrow_mut();
                    let now = self.now_ms();
                    inner.peers.values_mut().filter(|p| p.id == Some(from.id)).for_each(|p| p.id = None);
                    if let Some(peer) = inner.peers.get_mut(&ip) {
                        (peer.id, peer.seen_ms) = (Some(from.id), now);
                        peer.wake.notify_waiters();
                    }
                }
                self.step(Input::Met { member: from });
            }
            Word::Chain(message) => {
                if let Some(from) = *who {
                    self.watch_disk();
                    self.step(Input::Heard { from, message });
                }
            }
            Word::News { ask, news } => {
                self.counts.news_heard(news.len());
                let now = self.now_ms();
                for item in &news {
                    let sorted = self.inner.borrow_mut().registry.take_news(now, item);
                    self.sorted(sorted);
                }
                if ask > 0
                    && let Some(from) = *who
                {
                    self.note(Vec::new(), Some(Noted::Tell { to: from, ask }));
                }
            }
            Word::Took { ask } => {
                let mut inner = self.inner.borrow_mut();
                if who.is_some_and(|from| inner.drains.took(ask, from))
                    && let Some(done) = inner.confirms.remove(&ask)
                {
                    _ = done.send(());
                }
            }
        }
    }

    /// The line on which an office spoke is over.
    pub fn line_ended(&self, id: u64) {
        self.step(Input::HungUp { id });
    }

    fn send_to(&self, id: u64, word: &Word) {
        let inner = self.inner.borrow();
        let line = inner.peers.values().find(|p| p.id == Some(id)).and_then(|p| p.outbox.as_ref());
        if let Some(outbox) = line {
            outbox.send(word);
        }
    }

    fn send_all(&self, word: &Word) {
        if matches!(word, Word::News { .. }) {
            self.counts.news_told();
        }
        let bytes = frame(word);
        let inner = self.inner.borrow();
        inner.peers.values().filter_map(|p| p.outbox.as_ref()).for_each(|o| _ = o.send_framed(bytes.clone()));
    }

    // ---- the chain --------------------------------------------------------------------------

    fn step(&self, input: Input) {
        let now = self.now_ms();
        let effects = self.inner.borrow_mut().chain.handle(now as u64, input);
        let mut moved = false;
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send_to(to, &Word::Chain(message)),
                Effect::Write { ticket, records } => {
                    let mut inner = self.inner.borrow_mut();
                    inner.disk.begins(self.now_ms(), ticket);
                    inner.store.write(Part::Chain, ticket, records);
                }
                Effect::Answer { token, outcome } => {
                    let waiting = self.inner.borrow_mut().calls.remove(&token);
                    _ = waiting.map(|w| w.send(outcome));
                }
                Effect::Log(line) => tracing::info!("{line}"),
                Effect::Applied => moved = true,
                Effect::Spoilt => self.begin_anew(),
            }
        }
        self.counts.view(self.inner.borrow().chain.view().map_or(0, |v| v.number));
        if moved {
            self.applied.notify_waiters();
            self.tell_configuration();
        }
    }

    /// The others keep something else: what is kept here is given up, and the next start is filled by them.
    fn begin_anew(&self) {
        let given_up = self.node.data.as_deref().map(Store::give_up);
        tracing::error!("store: differs from all others; given up {given_up:?}, this process ends");
        std::process::exit(1);
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
            Said::Synced { chain, lives, took } => {
                self.counts.sync(took);
                self.inner.borrow_mut().disk.synced(chain, took.as_secs_f64() * 1e3);
                if let Some(ticket) = chain {
                    self.step(Input::Synced { ticket });
                }
                if let Some(ticket) = lives {
                    self.noted(ticket);
                }
            }
            Said::Failed(why) => {
                tracing::error!(
                    "store: a write failed ({why}); this process ends, to begin with what the disk holds"
                );
                std::process::exit(1);
            }
        }
    }

    fn watch_disk(&self) {
        if self.ending.get() {
            return;
        }
        let look = {
            let mut inner = self.inner.borrow_mut();
            let look = inner.disk.look(self.now_ms());
            look.probe.into_iter().for_each(|ticket| _ = inner.store.write(Part::Chain, ticket, Vec::new()));
            look
        };
        if let Some(slow) = look.turned {
            tracing::info!("store: the disk is {}", if slow { "slow" } else { "quick again" });
            self.step(Input::Disk { slow });
        }
    }

    async fn call(&self, kind: CallKind, body: Vec<u8>) -> Outcome {
        let (done, answer) = oneshot::channel();
        let token = {
            let mut inner = self.inner.borrow_mut();
            if inner.calls.len() >= 4_096 {
                return Outcome::Refused;
            }
            inner.next += 1;
            let token = inner.next;
            inner.calls.insert(token, done);
            token
        };
        self.step(Input::Call { token, kind, body });
        answer.await.unwrap_or(Outcome::Unknown)
    }

    pub async fn update(&self, update: &Update) -> Told {
        self.call(CallKind::Update, update.encode()).await.into()
    }

    pub async fn ask(&self, ask: &Ask) -> Told {
        self.call(CallKind::Read, ask.encode()).await.into()
    }

    pub fn with_ledger<T>(&self, look: impl FnOnce(&rookpulley_ledger::Ledger) -> T) -> T {
        look(&self.inner.borrow().chain.state().ledger)
    }

    // ---- the configuration, told to couriers --------------------------------------------------

    fn tell_configuration(&self) {
        let version = self.with_ledger(|l| l.version());
        if version <= self.inner.borrow().editions.newest() {
            return;
        }
        let Some(body) = self.with_ledger(|l| l.configuration().map(|(_, body)| body.to_vec())) else {
            return;
        };
        match Book::read(&body) {
            Ok(book) => {
                let services = book.services.iter().enumerate().map(|(at, s)| Service {
                    name: s.name.clone(),
                    max_connections: s.max_connections,
                    aim_ms: book.least_aim_ms(at).unwrap_or(0.0),
                });
                let services: Vec<Service> = services.collect();
                self.inner.borrow_mut().desk.set_services(&services);
            }
            Err(why) => tracing::error!("ledger: the configuration held can't be read: {why}"),
        }
        self.inner.borrow_mut().editions.take(version, body);
        let pulse = frame(&self.pulse());
        let mut inner = self.inner.borrow_mut();
        let Inner { couriers, editions, .. } = &mut *inner;
        for courier in couriers.values_mut() {
            if courier.home {
                courier.send_newer(editions);
            } else {
                courier.outbox.send_framed(pulse.clone());
            }
        }
        drop(inner);
        tracing::info!("ledger: configuration {version} holds");
        self.tables();
    }

    fn pulse(&self) -> Down {
        let inner = self.inner.borrow();
        let now = self.now_ms();
        let in_touch = inner.chain.in_touch(now as u64) && !self.ending.get();
        // What can't be had here is not told of.
        let serving = inner.chain.serving(now as u64);
        let port = self.peer_port();
        let reached = inner.peers.iter().filter(|(_, p)| p.outbox.is_some()).map(|(ip, _)| *ip);
        let offices = reached.chain([self.node.ip]).map(|ip| SocketAddrV4::new(ip, port)).collect();
        Down::Pulse {
            in_touch,
            config: if serving { inner.editions.newest() } else { 0 },
            couriers: inner.roll.count(),
            offices,
        }
    }

    // ---- couriers ---------------------------------------------------------------------------

    pub fn courier_in(
        &self,
        node: &str,
        zone: &str,
        home: bool,
        (config, tables): (u64, bool),
        gone: &[String],
        outbox: Outbox,
    ) -> (String, u64) {
        let now = self.now_ms();
        let line = {
            let mut inner = self.inner.borrow_mut();
            inner.next += 1;
            inner.roll.came(node);
            let line = inner.next;
            inner.couriers.insert(
                node.into(),
                Courier { line, outbox: outbox.clone(), zone: zone.into(), home, config },
            );
            inner.desk.courier_out(now, node);
            if home {
                inner.desk.courier_in(now, node, zone, 1.0, tables);
            }
            line
        };
        let news = self.inner.borrow_mut().registry.take_gone(now, gone);
        if !news.is_empty() {
            let told = news.iter().map(|life| News::Gone { life: life.clone(), age_ms: 0.0 }).collect();
            self.send_all(&Word::News { ask: 0, news: told });
            self.tell_gone(news);
        }
        outbox.send(&self.pulse());
        outbox.send(&Down::Gone { lives: self.inner.borrow().registry.gone_lives() });
        if home {
            self.send_configuration(node);
            self.tables();
        }
        tracing::info!("couriers: {node} of {zone} is here{}", if home { ", at home" } else { "" });
        (node.into(), line)
    }

    pub fn serving(&self) -> bool {
        self.inner.borrow().chain.serving(self.now_ms() as u64)
    }

    fn send_configuration(&self, node: &str) {
        // One that isn't part of the chain may hold an old one: a courier that has none would begin with it.
        if !self.serving() {
            return;
        }
        let mut inner = self.inner.borrow_mut();
        let Inner { couriers, editions, .. } = &mut *inner;
        couriers.get_mut(node).into_iter().for_each(|courier| courier.send_newer(editions));
    }

    pub fn courier_said(&self, node: &str, line: u64, up: Up) {
        let now = self.now_ms();
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        let Some(courier) = inner.couriers.get_mut(node).filter(|c| c.line == line) else { return };
        match up {
            Up::Home { home, config, tables } => {
                (courier.home, courier.config) = (home, config);
                inner.desk.courier_out(now, node);
                if home {
                    inner.desk.courier_in(now, node, &courier.zone, 1.0, tables);
                    if inner.chain.serving(now as u64) {
                        courier.send_newer(&mut inner.editions);
                    }
                }
            }
            Up::WantConfig { have } if inner.chain.serving(now as u64) => {
                courier.config = have;
                courier.send_newer(&mut inner.editions);
            }
            Up::Report(report) => inner.desk.report(node, &report),
            Up::Took { mark } => inner.desk.took(node, mark),
            Up::Hello { .. } | Up::WantConfig { .. } => {}
        }
    }

    pub fn courier_out(&self, node: &str, line: u64) {
        let now = self.now_ms();
        let mut inner = self.inner.borrow_mut();
        if inner.couriers.get(node).is_some_and(|c| c.line == line) {
            inner.couriers.remove(node);
            inner.desk.courier_out(now, node);
            inner.roll.went(now, node);
        }
    }

    fn tell_gone(&self, lives: Vec<String>) {
        if lives.is_empty() {
            return;
        }
        tracing::info!("registry: {} drain or have left", lives.join(" "));
        self.counts.drains(lives.len());
        let bytes = frame(&Down::Gone { lives });
        let inner = self.inner.borrow();
        inner.couriers.values().for_each(|c| _ = c.outbox.send_framed(bytes.clone()));
        drop(inner);
        self.tables();
    }

    fn tables(&self) {
        let now = self.now_ms();
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        inner.desk.sync(now, &inner.registry);
        for out in inner.desk.tick(now) {
            match out {
                Out::Table { courier, service, name, mark, lines } => {
                    if let Some(to) = inner.couriers.get(&courier) {
                        to.outbox.send(&Down::Table { service, name, mark, lines });
                    }
                }
                Out::Log { service, text } => tracing::info!("desk: {service}: {text}"),
            }
        }
    }

    // ---- tasks ------------------------------------------------------------------------------

    /// Takes a beat.
    pub async fn beat(&self, beat: Beat) -> Taken {
        let now = self.now_ms();
        if !self.inner.borrow().registry.takes_beats(now) {
            return Taken::Not;
        }
        let draining = beat.draining;
        self.counts.beat(draining);
        let life = beat.life.clone();
        let sorted = self.inner.borrow_mut().registry.beat(now, beat);
        self.sorted(sorted);
        // A drain is acknowledged only once it is known elsewhere, also when it is told again.
        if draining { self.drain_known(life).await } else { Taken::Known }
    }

    pub async fn leave(&self, life: &str) -> Taken {
        let now = self.now_ms();
        let sorted = self.inner.borrow_mut().registry.leave(now, life);
        self.sorted(sorted);
        self.drain_known(life.into()).await
    }

    /// A life that drains or ends: once that is known elsewhere it need not be asked about again.
    async fn drain_known(&self, life: String) -> Taken {
        if self.inner.borrow().drains.is_known(&life) {
            return Taken::Known;
        }
        if !self.known_elsewhere(life.clone()).await {
            return Taken::HereAlone;
        }
        let now = self.now_ms();
        self.inner.borrow_mut().drains.known(now, life);
        Taken::Known
    }

    /// Carries out what came of a beat or of news.
    fn sorted(&self, sorted: Sorted) {
        if let Spread::Now(news) = sorted.word {
            self.note(vec![note_of(&news)], None);
            self.send_all(&Word::News { ask: 0, news: vec![news] });
        }
        self.tell_gone(sorted.newly_draining.into_iter().collect());
    }

    /// Writes what is known of tasks. After a crash it is where the registry begins: beats alone would take a while,
    /// and a drain that was acknowledged must hold.
    fn note(&self, records: Vec<Record>, then: Option<Noted>) {
        let mut inner = self.inner.borrow_mut();
        inner.notes += 1;
        let ticket = inner.notes;
        inner.noting.extend(then.map(|then| (ticket, then)));
        inner.store.write(Part::Lives, ticket, records);
    }

    fn noted(&self, ticket: u64) {
        let due: Vec<_> = self.inner.borrow_mut().noting.extract_if(.., |(t, _)| *t <= ticket).collect();
        for (_, then) in due {
            match then {
                Noted::Tell { to, ask } => self.send_to(to, &Word::Took { ask }),
                Noted::Done(done) => _ = done.send(()),
            }
        }
    }

    /// Once beats have had time to come, what is noted of lives that are unknown now is dropped.
    fn tidy_notes(&self) {
        let lives = std::mem::take(&mut self.inner.borrow_mut().store.lives);
        let gone = |key: &Vec<u8>| {
            let life = std::str::from_utf8(key).unwrap_or_default();
            self.inner.borrow().registry.standing(life) == rookpulley_sorting::Standing::Unknown
        };
        let drops = lives.into_iter().filter(|(key, _)| gone(key)).map(|(key, _)| Record::Delete { key });
        let drops: Vec<Record> = drops.collect();
        if !drops.is_empty() {
            self.note(drops, None);
        }
    }

    /// Waits until as many others know as may be lost: then the word reaches every courier in touch whatever
    /// becomes of this machine, and it may be acknowledged.
    async fn known_elsewhere(&self, life: String) -> bool {
        let (ask, done) = {
            let mut inner = self.inner.borrow_mut();
            let others = inner.chain.view().map_or(0, |v| v.members.len().saturating_sub(1));
            if !inner.chain.in_touch(self.now_ms() as u64) {
                return false;
            }
            inner.next += 1;
            let ask = inner.next;
            let done = inner.drains.ask(ask, others).then(|| {
                let (sender, done) = oneshot::channel();
                inner.confirms.insert(ask, sender);
                done
            });
            (ask, done)
        };
        self.send_all(&Word::News { ask, news: vec![News::Gone { life, age_ms: 0.0 }] });
        let (sender, here) = oneshot::channel();
        self.note(Vec::new(), Some(Noted::Done(sender)));
        let both = async {
            here.await.is_ok()
                && match done {
                    Some(done) => done.await.is_ok(),
                    None => true,
                }
        };
        let known = tokio::time::timeout(CONFIRM_WITHIN, both).await.is_ok_and(|known| known);
        let mut inner = self.inner.borrow_mut();
        inner.drains.over(ask);
        inner.confirms.remove(&ask);
        drop(inner);
        known && self.in_touch()
    }

    // ---- time -------------------------------------------------------------------------------

    /// Asks the others to go on without this office; true once they do.
    pub fn left_the_chain(&self) -> bool {
        self.step(Input::Disk { slow: true });
        let inner = self.inner.borrow();
        inner.chain.view().is_none_or(|v| v.members.iter().all(|m| m.id != self.me.id))
    }

    /// Every 50 ms.
    pub fn tick(&self, round: u64) {
        self.step(Input::Tick);
        self.watch_disk();
        let now = self.now_ms();
        {
            let mut inner = self.inner.borrow_mut();
            let addresses: Vec<Ipv4Addr> = inner
                .chain
                .view()
                .map_or(Vec::new(), |view| view.members.iter().map(|m| *m.address.ip()).collect());
            let in_touch = inner.chain.in_touch(now as u64);
            inner.registry.touch(now, in_touch);
            drop(inner);
            addresses.into_iter().for_each(|ip| self.meet(ip));
        }
        if round.is_multiple_of(2) {
            let silent = self.inner.borrow_mut().registry.tick(now);
            if !silent.is_empty() {
                tracing::info!("registry: {} fell silent", silent.join(" "));
            }
            self.tables();
        }
        if round.is_multiple_of(16) {
            let news = self.inner.borrow_mut().registry.fresh_news(now);
            if let Some(news) = news {
                self.send_all(&Word::News { ask: 0, news: vec![news] });
            }
        }
        if round.is_multiple_of(8) {
            let mut inner = self.inner.borrow_mut();
            inner.roll.forget_old(now);
            let couriers = inner.roll.count();
            inner.desk.set_couriers(couriers);
        }
        let in_touch = self.in_touch();
        if round.is_multiple_of(8) || self.told_touch.replace(in_touch) != in_touch {
            let pulse = frame(&self.pulse());
            let inner = self.inner.borrow();
            inner.couriers.values().for_each(|c| _ = c.outbox.send_framed(pulse.clone()));
        }
        if round.is_multiple_of(40) {
            self.send_all(&self.hello());
        }
        if now > NOTES_KEPT_MS {
            self.tidy_notes();
        }
    }
}
