//! The simulated network: controllers with disks and clocks, lines between them, callers that keep what they saw.

#![allow(dead_code)]

pub mod disk;
pub mod faults;
pub mod history;
pub mod names;

use disk::{Disk, DiskTrouble};
use faults::Handed;
use history::Call;
use names::{Ask, Given, Names, Reply, body};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rookpulley_chain::{
    CatchUpData, Chain, Effect, ForwardedRequest, Input, Member, Message, Outcome, PersistedState,
    Record, RequestKind, StartState, State, StoredUpdate,
};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

#[derive(Clone, Debug)]
pub enum Trouble {
    Kill {
        at: usize,
        power: bool,
    },
    KillAll {
        power: bool,
    },
    Wipe {
        at: usize,
    },
    Freeze {
        at: usize,
    },
    /// What these say to those doesn't come. `held`: it comes late instead of never.
    Cut {
        from: Vec<usize>,
        to: Vec<usize>,
        both: bool,
        held: bool,
    },
    /// The lines between two end, with what was on its way; both dial again.
    Reset {
        a: usize,
        b: usize,
    },
    Replace {
        at: usize,
        orderly: bool,
    },
    Disk {
        at: usize,
        trouble: DiskTrouble,
    },
}

/// A fault put into the code's world on purpose: each must be found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A sync is left out: what is said to be on the disk isn't yet.
    SyncLeftOut,
    /// The tail answers reads at once, without their passing the chain.
    TailAlone,
    /// A call that was handed on and not answered is told to be refused.
    RefusedAfterAll,
    /// Votes are not kept over a restart.
    VotesForgotten,
    /// A wiped machine goes on under its old identity.
    IdentityKept,
    /// A call that is tried again counts as a new one.
    TriesNotKnown,
    /// A filled controller goes on, into views too, before what it was filled with is on its disk.
    FilledTooSoon,
    /// Whoever fills another hands out what it holds beyond what is agreed on.
    FilledBeyond,
    /// A piece of another state is joined to those that came before, and the sum doesn't tell.
    PiecesMixed,
    /// The disk says of all that is held that it is agreed on.
    AgreedAhead,
}

struct Place {
    id: u64,
    address: SocketAddrV4,
    chain: Option<Chain<Names>>,
    /// When it began, and what its steady clock said then.
    born: u64,
    clock: u64,
    disk: Disk,
    asleep_until: u64,
    inbox: VecDeque<Input>,
    ticked: bool,
    /// It is started again when trouble heals; `true`: with an empty disk.
    back: Option<bool>,
    /// It ended by itself and is started again then.
    again_at: Option<u64>,
    lost_for_good: bool,
    /// What changes the copy here.
    rot: Rc<Cell<u64>>,
    /// Of what it has applied, this much was compared.
    compared: usize,
    /// How far the view of that stands above those of the first founding, in millions.
    founding: u64,
}

pub struct World {
    pub rng: ChaCha8Rng,
    pub now: u64,
    losses: usize,
    mutation: Option<Mutation>,
    /// Processes are held up for 50 to 250 ms now and then, as on a shared core.
    pub held_up: bool,
    bulk: usize,
    /// So many pieces of whole states were handed out.
    pub pieces: u64,
    handed: Handed,
    /// A message takes up to so long.
    pub far_ms: u64,
    /// This controller loses power when it begins its nth write from here: it alone, or all with it.
    pub power_at_write: Option<(usize, u64, bool)>,
    /// Milliseconds between two calls.
    pub pace_ms: u64,
    places: Vec<Place>,
    /// On its way, by when it arrives: from, to, what.
    wire: BTreeMap<(u64, u64), (usize, usize, Message)>,
    sent: u64,
    last_arrival: BTreeMap<(usize, usize), u64>,
    /// Lines that ended: until when they are down.
    down: BTreeMap<(usize, usize), u64>,
    cuts: BTreeSet<(usize, usize)>,
    cut_at: u64,
    held: Vec<(usize, usize, Message)>,
    hold: bool,
    /// Those under way, by token: which controller, which of the calls.
    open: BTreeMap<u64, (usize, usize)>,
    calls: Vec<Call>,
    asked_ms: Vec<u64>,
    /// Each view by its number, as any controller has learned it.
    views: BTreeMap<u64, rookpulley_chain::View>,
    /// The one order of all that went through, as any controller has shown it.
    pub truth: Vec<Given>,
    /// How far the ledger's time stood before ours at most, by when calls were made: it never runs faster.
    ahead: i64,
    placed: BTreeSet<u64>,
    newest_ms: u64,
    events: u64,
    seen: BTreeMap<u8, u64>,
    /// When updates were answered, and how long they took.
    /// How little any stamp was ahead of the asking.
    least_ahead: i64,
    pub took: VecDeque<(u64, u64)>,
    pub steps: u64,
    rotten: bool,
    /// So many copies were found to be spoilt.
    pub spoilt: u64,
    pub unknown: u64,
    /// Answers that were lost with those who gave them.
    pub forgotten: u64,
    pub log: Vec<String>,
}

impl Drop for World {
    fn drop(&mut self) {
        if std::thread::panicking() && std::env::var_os("CHAIN_LOG").is_some() {
            let wanted = std::env::var("CHAIN_LOG")
                .ok()
                .and_then(|n| n.parse().ok())
                .unwrap_or(80);
            self.log
                .iter()
                .skip(self.log.len().saturating_sub(wanted))
                .for_each(|line| eprintln!("{line}"));
        }
    }
}

impl World {
    pub fn new(seed: u64, controllers: usize, losses: usize) -> Self {
        Self::with(seed, controllers, losses, None)
    }

    pub fn with(seed: u64, controllers: usize, losses: usize, mutation: Option<Mutation>) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            losses,
            mutation,
            held_up: false,
            bulk: 0,
            pieces: 0,
            handed: Handed::default(),
            far_ms: 6,
            power_at_write: None,
            pace_ms: 9,
            places: Vec::new(),
            wire: BTreeMap::new(),
            sent: 0,
            last_arrival: BTreeMap::new(),
            down: BTreeMap::new(),
            cuts: BTreeSet::new(),
            cut_at: 0,
            held: Vec::new(),
            hold: false,
            open: BTreeMap::new(),
            calls: Vec::new(),
            asked_ms: Vec::new(),
            views: BTreeMap::new(),
            truth: Vec::new(),
            ahead: i64::MAX,
            placed: BTreeSet::new(),
            newest_ms: 0,
            events: 0,
            seen: BTreeMap::new(),
            least_ahead: i64::MAX,
            took: VecDeque::new(),
            steps: 0,
            rotten: false,
            spoilt: 0,
            unknown: 0,
            forgotten: 0,
            log: Vec::new(),
        };
        world.begin(controllers);
        world
    }

    /// With a state that is so many words long from the beginning.
    pub fn bulky(seed: u64, controllers: usize, bulk: usize) -> Self {
        Self::bulky_with(seed, controllers, bulk, None)
    }

    pub fn bulky_with(
        seed: u64,
        controllers: usize,
        bulk: usize,
        mutation: Option<Mutation>,
    ) -> Self {
        let mut world = Self::with(seed, 0, 1, mutation);
        world.bulk = bulk;
        world.begin(controllers);
        world
    }

    fn begin(&mut self, controllers: usize) {
        for at in 0..controllers {
            self.add();
            self.start(at, at == 0);
        }
    }

    fn add(&mut self) {
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, self.places.len() as u8 + 1), 7);
        let mut disk = Disk::new();
        disk.lies = self.mutation == Some(Mutation::SyncLeftOut);
        disk.lies_of_parts = self.mutation == Some(Mutation::FilledTooSoon);
        self.places.push(Place {
            id: 0,
            address,
            chain: None,
            born: 0,
            clock: 0,
            disk,
            asleep_until: 0,
            inbox: VecDeque::new(),
            ticked: false,
            back: None,
            again_at: None,
            lost_for_good: false,
            rot: Rc::default(),
            compared: 0,
            founding: 0,
        });
    }

    fn start(&mut self, at: usize, founder: bool) {
        let (incarnation, seed) = (self.rng.random(), self.rng.random());
        let clock = self.rng.random_range(0..1_000_000_000u64);
        let place = &mut self.places[at];
        let fresh = !place.disk.rows.contains_key(&b"0id"[..]);
        if fresh {
            let id: u64 = self.rng.random();
            place
                .disk
                .rows
                .insert(b"0id".to_vec(), id.to_le_bytes().to_vec());
            if founder {
                place.disk.rows.insert(b"0founder".to_vec(), Vec::new());
            }
        }
        let founder = place.disk.rows.contains_key(&b"0founder"[..]);
        place.id = u64::from_le_bytes(place.disk.rows[&b"0id"[..]].clone().try_into().unwrap());
        if self.mutation == Some(Mutation::VotesForgotten) {
            place.disk.rows.remove(&b"p"[..]);
        }
        let kept = (!fresh).then(|| PersistedState::read(place.disk.rows.clone()));
        assert!(
            kept.as_ref().is_none_or(PersistedState::is_sound),
            "controller {at} finds its disk spoilt"
        );
        let me = Member {
            id: place.id,
            incarnation,
            address: place.address,
        };
        let boot = StartState {
            me,
            founder,
            tolerated_losses: self.losses,
            seed,
            persisted: kept,
        };
        place.disk.open();
        let names = Names::long(self.bulk);
        place.rot = names.rot.clone();
        (place.chain, place.born, place.clock) =
            (Some(Chain::start(clock, boot, names)), self.now, clock);
        (
            place.asleep_until,
            place.ticked,
            place.compared,
            place.again_at,
        ) = (0, false, 0, None);
        place.inbox.clear();
        // Everybody hears of it, and it of them, over lines that are new.
        for other in (0..self.places.len()).filter(|o| *o != at) {
            if self.places[other].chain.is_some() {
                self.meet(at, other);
            }
        }
        self.say(format!(
            "controller {at} starts, id {:x}, life {incarnation:x}",
            self.places[at].id
        ));
    }

    fn meet(&mut self, a: usize, b: usize) {
        for (who, of) in [(a, b), (b, a)] {
            if !self.cuts.contains(&(of, who)) && self.places[of].chain.is_some() {
                let member = self.member(of);
                self.give(who, Input::PeerDiscovered { member });
            }
        }
    }

    fn member(&self, at: usize) -> Member {
        let place = &self.places[at];
        let incarnation = place.chain.as_ref().map_or(0, |c| c.me().incarnation);
        Member {
            id: place.id,
            incarnation,
            address: place.address,
        }
    }

    pub fn say(&mut self, line: String) {
        self.log.push(format!("{:>6} {line}", self.now));
    }

    fn give(&mut self, at: usize, input: Input) {
        if self.places[at].chain.is_none() {
            return;
        }
        if self.places[at].asleep_until > self.now {
            // A timer that has fired says so once.
            if !matches!(input, Input::Tick)
                || !std::mem::replace(&mut self.places[at].ticked, true)
            {
                self.places[at].inbox.push_back(input);
            }
            return;
        }
        self.steps += 1;
        let now = self.now - self.places[at].born + self.places[at].clock;
        let Some(chain) = self.places[at].chain.as_mut() else {
            return;
        };
        let before = chain.view().map_or(0, |v| v.number);
        let effects = chain.handle(now, input);
        if let Some(view) = chain.view().filter(|v| v.number != before) {
            let known = self
                .views
                .entry(view.number)
                .or_insert_with(|| view.clone());
            assert_eq!(known, view, "two views have one number");
        }
        let (mut ends, mut spoilt) = (false, false);
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    if let Some(to) = self
                        .places
                        .iter()
                        .position(|p| p.id == to && p.chain.is_some())
                    {
                        self.send(at, to, message);
                    }
                }
                Effect::Write {
                    ticket,
                    mut records,
                } => {
                    ends |= self.places[at].disk.refuses();
                    if self.mutation == Some(Mutation::AgreedAhead) {
                        faults::agree_ahead(&mut records);
                    }
                    self.places[at].disk.write(self.now, ticket, records);
                    if self.places[at].disk.lies {
                        self.give(at, Input::Synced { ticket });
                    }
                    if let Some((place, left, _)) = &mut self.power_at_write
                        && *place == at
                    {
                        *left = left.saturating_sub(1);
                    }
                }
                Effect::Reply { token, outcome } => self.answered(token, outcome),
                Effect::Log(line) => self.say(format!("controller {at}: {line}")),
                Effect::StateChanged => self.compare(at),
                Effect::DiscardStore => spoilt = true,
            }
        }
        if let Some((_, 0, all)) = self.power_at_write {
            self.power_at_write = None;
            self.strike(if all {
                Trouble::KillAll { power: true }
            } else {
                Trouble::Kill { at, power: true }
            });
        }
        if spoilt {
            self.spoilt += 1;
            self.stop(at, false);
            self.places[at].disk.rows.clear();
            self.places[at].again_at = Some(self.now + 400);
        }
        if ends {
            self.say(format!("controller {at} ends: its disk refuses"));
            self.stop(at, false);
            self.places[at].again_at = Some(self.now + 400);
        }
    }

    fn send(&mut self, from: usize, to: usize, mut message: Message) {
        if self.mutation == Some(Mutation::TriesNotKnown)
            && let Message::Forward(ForwardedRequest { request, .. })
            | Message::Response { request, .. } = &mut message
            && request.attempt > 1
        {
            // Under another name to the chain, under its own to who asked.
            request.incarnation ^= 1 << 63;
        }
        match self.mutation {
            Some(Mutation::FilledBeyond) => {
                self.handed.holds(self.places[from].id, &message);
                self.handed.beyond(self.places[from].id, &mut message);
            }
            Some(Mutation::PiecesMixed) => self.handed.mix((from, to), &mut message),
            _ => {}
        }
        self.pieces += u64::from(matches!(
            message,
            Message::CatchUpReply {
                data: CatchUpData::SnapshotChunk { .. },
                ..
            }
        ));
        if self.down.contains_key(&(from, to)) {
            return;
        }
        if self.cuts.contains(&(from, to)) {
            if self.hold {
                self.held.push((from, to, message));
            }
            return;
        }
        self.post(from, to, message);
    }

    fn post(&mut self, from: usize, to: usize, message: Message) {
        let late =
            u64::from(self.rng.random_range(0..4u32) == 0) * self.rng.random_range(1..=self.far_ms);
        let last = self.last_arrival.entry((from, to)).or_insert(0);
        *last = (self.now + 1 + late).max(*last);
        let at = *last;
        self.sent += 1;
        self.wire.insert((at, self.sent), (from, to, message));
    }

    /// What a controller shows must be part of the one order: nothing that is shown is ever taken back, given a second
    /// time, or put behind what was asked long after it.
    fn compare(&mut self, at: usize) {
        let place = &mut self.places[at];
        let Some(chain) = &place.chain else { return };
        let founding = chain.view().map_or(0, |view| view.number / 1_000_000);
        if std::mem::replace(&mut place.founding, founding) != founding {
            // It has given way to a controller that founded anew, and may have shown what that one never held.
            place.compared = 0;
        }
        let given = &chain.state().given;
        let from = place.compared;
        assert!(
            given.len() >= from,
            "controller {at} goes back from {from} to {}",
            given.len()
        );
        for (place, one) in given.iter().enumerate().skip(from) {
            match self.truth.get(place) {
                Some(known) => {
                    assert_eq!(known, one, "controller {at} shows another update {place}")
                }
                None => {
                    self.truth.push(*one);
                    let call = &self.calls[one.value as usize];
                    let asked = self.asked_ms[one.value as usize];
                    assert!(self.placed.insert(one.value), "{call:?} goes through twice");
                    assert!(!call.refused, "{call:?} was refused");
                    assert!(
                        asked + 1_080 >= self.newest_ms,
                        "{call:?} of {asked} goes through behind a call of {}",
                        self.newest_ms
                    );
                    let stamp = one.stamp as i64;
                    assert!(
                        stamp - self.now as i64 <= self.ahead,
                        "the ledger's time runs fast"
                    );
                    self.ahead = self.ahead.min(stamp - asked as i64);
                    self.newest_ms = self.newest_ms.max(asked);
                }
            }
        }
        self.places[at].compared = given.len();
    }

    fn answered(&mut self, token: u64, outcome: Outcome) {
        let Some((_, index)) = self.open.remove(&token) else {
            return;
        };
        self.events += 1;
        let call = &mut self.calls[index];
        match outcome {
            Outcome::Completed(bytes) => {
                let reply = Reply::read(&bytes);
                call.answered = Some((self.events, reply));
                self.seen.insert(call.name, reply.revision);
                if call.ask != Ask::Read {
                    // Between two updates the ledger's time passes no faster than time does: else a hold ends early.
                    let (asked, stamp) = (self.asked_ms[index] as i64, reply.stamp as i64);
                    let ahead = stamp - self.now as i64;
                    assert!(
                        ahead <= self.least_ahead,
                        "the ledger's time runs {} ms fast",
                        ahead - self.least_ahead
                    );
                    self.least_ahead = self.least_ahead.min(stamp - asked);
                    self.took
                        .push_back((self.now, self.now - self.asked_ms[index]));
                    let shown = self.placed.contains(&(index as u64));
                    assert!(
                        shown || !reply.went,
                        "{call:?} is answered and nowhere shown"
                    );
                }
            }
            Outcome::Rejected => call.refused = true,
            Outcome::Unknown => {
                self.unknown += 1;
                call.refused = self.mutation == Some(Mutation::RefusedAfterAll);
            }
        }
        if self.calls[index].refused && self.calls[index].ask != Ask::Read {
            assert!(
                !self.placed.contains(&(index as u64)),
                "{:?} went through",
                self.calls[index]
            );
        }
    }

    fn call(&mut self) {
        let running: Vec<usize> = (0..self.places.len())
            .filter(|a| self.places[*a].chain.is_some())
            .collect();
        if !running.is_empty() {
            let controller = running[self.rng.random_range(0..running.len())];
            self.call_at(controller);
        }
    }

    pub fn call_at(&mut self, controller: usize) {
        let name = self.rng.random_range(0..4u8);
        let index = self.calls.len();
        let value = index as u64;
        let ask = match self.rng.random_range(0..6u32) {
            0 | 1 => Ask::Read,
            2 => Ask::Swap {
                expected: self.seen.get(&name).copied().unwrap_or(0),
                value,
            },
            _ => Ask::Put { value },
        };
        self.events += 1;
        self.calls.push(Call {
            name,
            ask,
            asked: self.events,
            answered: None,
            refused: false,
        });
        self.asked_ms.push(self.now);
        let token = value + 1;
        self.open.insert(token, (controller, index));
        let kind = if ask == Ask::Read {
            RequestKind::Read
        } else {
            RequestKind::Update
        };
        if kind == RequestKind::Read && self.mutation == Some(Mutation::TailAlone) {
            return self.ask_the_tail(controller, token, name);
        }
        self.give(
            controller,
            Input::ClientRequest {
                token,
                kind,
                body: body(name, ask),
            },
        );
    }

    fn ask_the_tail(&mut self, controller: usize, token: u64, name: u8) {
        let tail = self.places[controller]
            .chain
            .as_ref()
            .and_then(|c| Some(c.view()?.tail()?.id));
        let Some(tail) = self.places.iter().position(|p| Some(p.id) == tail) else {
            return;
        };
        let there = &self.places[tail];
        let heard = there.asleep_until <= self.now && !self.cuts.contains(&(controller, tail));
        if let Some(chain) = there
            .chain
            .as_ref()
            .filter(|_| heard && !self.cuts.contains(&(tail, controller)))
        {
            let answer = chain.state().read(&body(name, Ask::Read));
            self.answered(token, Outcome::Completed(answer));
        }
    }

    pub fn play(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += 1;
            while let Some((&(at, n), _)) = self.wire.first_key_value()
                && at <= self.now
            {
                if let Some((from, to, message)) = self.wire.remove(&(at, n)) {
                    let from = self.places[from].id;
                    if self.mutation == Some(Mutation::FilledBeyond) {
                        self.handed.holds(self.places[to].id, &message);
                    }
                    self.judge_disk(to);
                    self.give(to, Input::Received { from, message });
                }
            }
            let again: Vec<_> = self
                .down
                .extract_if(.., |_, until| *until <= self.now)
                .collect();
            for ((a, b), _) in again {
                if self.places[a].chain.is_some() && !self.cuts.contains(&(a, b)) {
                    let member = self.member(a);
                    self.give(b, Input::PeerDiscovered { member });
                }
            }
            for at in 0..self.places.len() {
                self.tend(at);
            }
            if self.now.is_multiple_of(self.pace_ms) {
                self.call();
            }
            if self.held_up && self.rng.random_range(0..400u32) == 0 {
                let at = self.rng.random_range(0..self.places.len());
                let until = self.now + self.rng.random_range(50..250u64);
                if self.places[at].asleep_until <= self.now {
                    self.places[at].asleep_until = until;
                }
            }
        }
    }

    fn tend(&mut self, at: usize) {
        if self.places[at]
            .again_at
            .is_some_and(|when| when <= self.now)
        {
            if self.places[at].disk.trouble == Some(DiskTrouble::Refuses) {
                self.places[at].again_at = Some(self.now + 400);
            } else {
                self.start(at, false);
            }
        }
        if self.places[at].asleep_until == self.now {
            self.wake(at);
        }
        while let Some(ticket) = self.places[at].disk.synced(self.now) {
            if !self.places[at].disk.lies {
                self.give(at, Input::Synced { ticket });
            }
        }
        if self.places[at].chain.is_some() && (self.now + 13 * at as u64).is_multiple_of(50) {
            self.give(at, Input::Tick);
            self.judge_disk(at);
        }
    }

    fn judge_disk(&mut self, at: usize) {
        if self.places[at].asleep_until <= self.now
            && self.places[at].chain.is_some()
            && let Some(slow) = self.places[at].disk.judge(self.now)
        {
            self.say(format!(
                "controller {at}: its disk is {}",
                if slow { "slow" } else { "quick" }
            ));
            self.give(at, Input::DiskHealth { slow });
        }
    }

    fn wake(&mut self, at: usize) {
        (self.places[at].asleep_until, self.places[at].ticked) = (0, false);
        let mut waiting = std::mem::take(&mut self.places[at].inbox);
        // Whether its timer or its sockets are looked at first is nobody's promise.
        if self.rng.random_range(0..2u32) == 0
            && let Some(tick) = waiting.iter().position(|i| matches!(i, Input::Tick))
            && let Some(tick) = waiting.remove(tick)
        {
            waiting.push_front(tick);
        }
        waiting.into_iter().for_each(|input| self.give(at, input));
    }

    fn stop(&mut self, at: usize, power: bool) {
        let lost: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, c)| c.0 == at)
            .map(|(t, _)| *t)
            .collect();
        lost.iter().for_each(|t| _ = self.open.remove(t));
        let place = &mut self.places[at];
        if place.chain.take().is_none() {
            return;
        }
        if power {
            place.disk.loses_power(&mut self.rng)
        } else {
            place.disk.dies(&mut self.rng)
        }
        if self.mutation != Some(Mutation::SyncLeftOut) {
            place.disk.open();
        }
        place.inbox.clear();
        let id = place.id;
        self.wire
            .retain(|_, (from, to, _)| *to != at && !(power && *from == at));
        self.held.retain(|(from, to, _)| *to != at && *from != at);
        if !power {
            for other in (0..self.places.len()).filter(|o| *o != at) {
                self.give(other, Input::Disconnected { id });
            }
        }
    }

    /// The lines between two end: some of what was on its way is lost, the end of it.
    fn reset(&mut self, a: usize, b: usize) {
        for (from, to) in [(a, b), (b, a)] {
            let on_its_way: Vec<_> = self
                .wire
                .iter()
                .filter(|(_, w)| (w.0, w.1) == (from, to))
                .map(|(key, _)| *key)
                .collect();
            let kept = self.rng.random_range(0..=on_its_way.len());
            on_its_way[kept..]
                .iter()
                .for_each(|key| _ = self.wire.remove(key));
            let until = self.now + self.rng.random_range(20..200u64);
            self.down.insert((from, to), until);
            let id = self.places[from].id;
            self.give(to, Input::Disconnected { id });
        }
    }

    pub fn strike(&mut self, trouble: Trouble) {
        self.say(format!("{trouble:?}"));
        match trouble {
            Trouble::Kill { at, power } => {
                self.stop(at, power);
                self.places[at].back.get_or_insert(false);
            }
            Trouble::KillAll { power } => {
                for at in 0..self.places.len() {
                    if self.places[at].chain.is_some() {
                        self.stop(at, power);
                        self.places[at].back.get_or_insert(false);
                    }
                }
            }
            Trouble::Wipe { at } => {
                self.stop(at, true);
                self.places[at].back = Some(true);
            }
            Trouble::Freeze { at } => self.places[at].asleep_until = u64::MAX,
            Trouble::Cut {
                from,
                to,
                both,
                held,
            } => {
                (self.hold, self.cut_at) = (held, self.now);
                for a in &from {
                    for b in to.iter().filter(|b| *b != a) {
                        self.cuts.insert((*a, *b));
                        if both {
                            self.cuts.insert((*b, *a));
                        }
                    }
                }
            }
            Trouble::Reset { a, b } => self.reset(a, b),
            Trouble::Replace { at, orderly } => {
                if orderly {
                    self.add();
                    self.start(self.places.len() - 1, false);
                    self.play(1_500);
                }
                self.stop(at, !orderly);
                self.places[at].lost_for_good = true;
                if !orderly {
                    self.add();
                    self.start(self.places.len() - 1, false);
                }
            }
            Trouble::Disk { at, trouble } => self.places[at].disk.trouble = Some(trouble),
        }
    }

    /// The copy of a controller is no longer what it should be.
    pub fn rots(&mut self, at: usize) {
        self.say(format!("the copy of controller {at} rots"));
        self.places[at].rot.set(1);
        self.rotten = true;
    }

    /// Stops, and nobody starts it again.
    pub fn lose(&mut self, at: usize, power: bool) {
        self.say(format!("controller {at} is lost"));
        self.stop(at, power);
        (self.places[at].lost_for_good, self.places[at].back) = (true, None);
    }

    /// What was lost for good is there again, with what its disk held.
    pub fn found_again(&mut self, at: usize) {
        self.places[at].lost_for_good = false;
        self.start(at, false);
    }

    /// Another machine with an empty disk.
    pub fn newcomer(&mut self) -> usize {
        self.add();
        let at = self.places.len() - 1;
        self.start(at, false);
        at
    }

    /// An operator stops this controller, lets its store found anew and starts it.
    pub fn refound(&mut self, at: usize, power: bool) {
        self.stop(at, power);
        let id: u64 = self.rng.random();
        let rows = &mut self.places[at].disk.rows;
        let kept = PersistedState::read(rows.clone());
        let was = u64::from_le_bytes(rows[&b"0id"[..]].clone().try_into().unwrap());
        let (view, records) = kept.refounded(was, id).expect("its disk has a state");
        rows.clear();
        rows.insert(b"0id".to_vec(), id.to_le_bytes().to_vec());
        for record in records {
            match record {
                Record::Put { key, value } => _ = rows.insert(key, value),
                Record::Delete { .. } => panic!("there is nothing to delete"),
            }
        }
        assert_eq!(
            PersistedState::read(rows.clone()).status().log,
            kept.status().log
        );
        self.say(format!("controller {at} founds view {} anew", view.number));
        self.forget_what_lacks(&kept);
        self.start(at, false);
    }

    /// What this disk doesn't hold is gone, and so is what callers were told of it.
    fn forget_what_lacks(&mut self, kept: &PersistedState) {
        let shown = kept.status();
        let mut held = Names::default();
        assert!(held.restore(shown.snapshot.unwrap().bytes));
        for StoredUpdate { at_ms, body, .. } in shown.log {
            // One that was tried again stands there twice.
            if !held
                .given
                .iter()
                .any(|given| names::value(body) == given.value)
            {
                held.apply(at_ms, body);
            }
        }
        let both = held
            .given
            .iter()
            .zip(&self.truth)
            .take_while(|(held, shown)| held == shown)
            .count();
        self.truth.truncate(both);
        let mut last = BTreeMap::<u8, u64>::new();
        self.truth
            .iter()
            .for_each(|given| *last.entry(given.name).or_default() += 1);
        self.placed = self.truth.iter().map(|given| given.value).collect();
        self.newest_ms = self
            .truth
            .iter()
            .map(|given| self.asked_ms[given.value as usize])
            .max()
            .unwrap_or(0);
        // Only what is left tells how the ledger's time went.
        let ahead = |given: &Given| given.stamp as i64 - self.asked_ms[given.value as usize] as i64;
        self.ahead = self.truth.iter().map(ahead).min().unwrap_or(i64::MAX);
        self.least_ahead = self.ahead;
        for (value, call) in self.calls.iter_mut().enumerate() {
            let last = last.get(&call.name).copied().unwrap_or(0);
            if call
                .answered
                .is_some_and(|(_, reply)| reply.revision > last)
            {
                // A try of it that the others passed over may be held here, and then it takes effect at last.
                let here = held.given.iter().any(|given| given.value == value as u64);
                (call.answered, call.refused) = (None, !here);
                self.forgotten += 1;
            }
            self.seen
                .entry(call.name)
                .and_modify(|seen| *seen = last.min(*seen));
        }
    }

    /// What this controller shows, in order.
    pub fn given(&self, at: usize) -> &[Given] {
        self.places[at]
            .chain
            .as_ref()
            .map_or(&[], |chain| &chain.state().given)
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.places.len())
            .filter(|a| self.places[*a].chain.is_some())
            .collect()
    }

    /// Those that haven't been lost for good.
    pub fn places(&self) -> Vec<usize> {
        (0..self.places.len())
            .filter(|a| !self.places[*a].lost_for_good)
            .collect()
    }

    /// `disks`: a disk may be lost by it.
    pub fn draw_trouble(&mut self, disks: bool) -> Trouble {
        let places = self.places();
        let at = places[self.rng.random_range(0..places.len())];
        let (coin, held) = (
            self.rng.random_range(0..2u32) == 0,
            self.rng.random_range(0..2u32) == 0,
        );
        let others: Vec<usize> = places.iter().copied().filter(|o| *o != at).collect();
        match self.rng.random_range(0..if disks { 11u32 } else { 9 }) {
            0 => Trouble::Kill { at, power: coin },
            1 => Trouble::KillAll { power: coin },
            2 => Trouble::Freeze { at },
            3 => Trouble::Cut {
                from: others,
                to: vec![at],
                both: coin,
                held,
            },
            4 => Trouble::Cut {
                from: vec![at],
                to: others,
                both: coin,
                held,
            },
            5 => {
                let half = self.rng.random_range(1..places.len());
                let (from, to) = places.split_at(half);
                Trouble::Cut {
                    from: from.to_vec(),
                    to: to.to_vec(),
                    both: coin,
                    held,
                }
            }
            6 => Trouble::Reset {
                a: at,
                b: others[self.rng.random_range(0..others.len())],
            },
            7 | 8 => {
                let all = [
                    DiskTrouble::Slow,
                    DiskTrouble::Hangs,
                    DiskTrouble::Refuses,
                    DiskTrouble::Full,
                ];
                Trouble::Disk {
                    at,
                    trouble: all[self.rng.random_range(0..all.len())],
                }
            }
            9 => Trouble::Wipe { at },
            _ => Trouble::Replace { at, orderly: coin },
        }
    }

    /// All troubles end: the stopped start again, the frozen wake, the cut off hear again.
    pub fn heal(&mut self) {
        self.say("all heals".into());
        let cuts = std::mem::take(&mut self.cuts);
        let late = self.now > self.cut_at + 2_500;
        for (from, to, message) in std::mem::take(&mut self.held) {
            // What a cut held up for longer is lost with its line.
            if !late && self.places[to].chain.is_some() {
                self.post(from, to, message);
            }
        }
        for (a, b) in cuts {
            if late || !self.hold {
                self.reset(a, b)
            } else {
                self.meet(a, b)
            }
        }
        for at in 0..self.places.len() {
            self.places[at].disk.trouble = None;
            if self.places[at].asleep_until > self.now {
                self.wake(at);
            }
            if let Some(wiped) = self.places[at].back.take() {
                if wiped {
                    let id = self.places[at].disk.rows.remove(&b"0id"[..]);
                    self.places[at].disk.rows.clear();
                    if self.mutation == Some(Mutation::IdentityKept)
                        && let Some(id) = id
                    {
                        self.places[at].disk.rows.insert(b"0id".to_vec(), id);
                    }
                }
                self.start(at, false);
            }
        }
    }

    /// One of those that stopped starts again, with the disk that it had.
    pub fn restart(&mut self, at: usize) {
        if self.places[at].back.take().is_some() {
            self.start(at, false);
        }
    }

    pub fn check(&self) {
        if let Err(why) = history::check(&self.calls) {
            panic!("{why}");
        }
    }

    pub fn must_answer(&mut self) {
        let before = self.took.len();
        self.play(1_000);
        let answered = self.took.len() - before;
        if answered <= 25 {
            for at in self.running() {
                let place = &self.places[at];
                let now = self.now - place.born + place.clock;
                let line = place.chain.as_ref().map(|c| format!("{:?}", c.status(now)));
                self.say(format!("controller {at}: {line:?}"));
            }
        }
        assert!(
            answered > 25,
            "only {answered} updates of a second are answered"
        );
        let differ = self
            .log
            .iter()
            .any(|line| line.contains("state digests differ"));
        assert!(
            self.rotten || !differ,
            "state digests differ without an injected fault"
        );
        self.check();
    }

    fn newest(&self) -> rookpulley_chain::View {
        let running = self.places.iter().filter(|p| p.asleep_until < u64::MAX);
        let views = running
            .filter_map(|p| p.chain.as_ref())
            .filter_map(|c| c.view());
        views.max_by_key(|v| v.number).unwrap().clone()
    }

    fn at(&self, id: u64) -> usize {
        self.places.iter().position(|p| p.id == id).unwrap()
    }

    pub fn head(&self) -> usize {
        self.at(self.newest().members.first().unwrap().id)
    }

    pub fn tail(&self) -> usize {
        self.at(self.newest().members.last().unwrap().id)
    }

    pub fn others(&self, at: usize) -> Vec<usize> {
        self.places().into_iter().filter(|o| *o != at).collect()
    }

    pub fn identity(&self, at: usize) -> u64 {
        self.places[at].id
    }

    pub fn view_number(&self) -> u64 {
        self.newest().number
    }

    pub fn members(&self) -> usize {
        self.newest().members.len()
    }

    pub fn shown(&self, at: usize) -> Option<rookpulley_chain::ChainStatus> {
        let place = &self.places[at];
        place
            .chain
            .as_ref()
            .map(|c| c.status(self.now - place.born + place.clock))
    }

    pub fn calls_tried(&self) -> usize {
        self.calls.len()
    }

    /// The longest pause between two answers to updates since then.
    pub fn longest_pause(&self, since: u64) -> u64 {
        let times: Vec<u64> = self
            .took
            .iter()
            .map(|(at, _)| *at)
            .filter(|at| *at >= since)
            .collect();
        let starts = std::iter::once(since).chain(times.iter().copied());
        starts
            .zip(times.iter().copied().chain([self.now]))
            .map(|(a, b)| b - a)
            .max()
            .unwrap_or(0)
    }

    pub fn slowest_answer(&self, since: u64) -> u64 {
        self.took
            .iter()
            .filter(|(at, _)| *at >= since)
            .map(|(_, took)| *took)
            .max()
            .unwrap_or(0)
    }
}
