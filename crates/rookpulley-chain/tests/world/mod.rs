//! Deterministic simulation of controllers, their disks and clocks, the network, and clients that record their calls.

#![allow(dead_code)]

pub mod disk;
pub mod faults;
pub mod history;
pub mod names;

use disk::{Disk, DiskFault};
use faults::Transfers;
use history::Call;
use names::{AppliedUpdate, Names, Operation, Reply, body};
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

/// The time that a controller takes to leave the chain before it stops.
const LEAVE_MS: u64 = 500;

#[derive(Clone, Debug)]
pub enum Fault {
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
    /// Blocks messages from one group to the other. With `held`, they are delayed instead of dropped.
    Cut {
        from: Vec<usize>,
        to: Vec<usize>,
        both: bool,
        held: bool,
    },
    /// Breaks the connections between two controllers, losing some messages in flight. Both reconnect.
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
        fault: DiskFault,
    },
}

/// A deliberate protocol violation that the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Writes are acknowledged before they are synced.
    AckBeforeSync,
    /// The tail answers reads immediately, without passing them through the chain.
    LocalTailReads,
    /// A forwarded call with an unknown outcome is reported as rejected.
    UnknownReportedAsRejected,
    /// Votes are lost on restart.
    VotesNotPersisted,
    /// A wiped machine keeps its identity.
    IdentityKeptAfterWipe,
    /// A retried call is treated as a new one.
    RetriesNotDeduplicated,
    /// Catch-up data is acknowledged before it is synced, so the controller may join a view without it.
    CatchUpAckedBeforeSync,
    /// Catch-up replies include uncommitted entries.
    CatchUpSendsUncommitted,
    /// Chunks of two snapshots are mixed, with a matching checksum.
    ChunksMixed,
    /// The stored commit position covers every stored entry.
    CommitIndexAhead,
}

struct Node {
    id: u64,
    address: SocketAddrV4,
    chain: Option<Chain<Names>>,
    /// The simulation time of the last start, and the reading of the monotonic clock at that time.
    started_at: u64,
    clock: u64,
    disk: Disk,
    frozen_until: u64,
    inbox: VecDeque<Input>,
    tick_queued: bool,
    /// Set if `heal` restarts it; `true` means with an empty disk.
    restart_on_heal: Option<bool>,
    /// When it restarts after exiting by itself.
    restart_at: Option<u64>,
    lost_for_good: bool,
    /// Shared with the replica's state; a nonzero value corrupts it.
    corruption: Rc<Cell<u64>>,
    /// How many of its applied updates were compared with the global order.
    compared_up_to: usize,
    /// The view number in millions, which refounding raises.
    refound_epoch: u64,
}

pub struct World {
    pub rng: ChaCha8Rng,
    pub now: u64,
    losses: usize,
    mutation: Option<Mutation>,
    /// Whether processes occasionally stall for 50 to 250 ms, as on a shared core.
    pub process_stalls: bool,
    padding: usize,
    /// Snapshot chunks sent.
    pub chunks_sent: u64,
    transfers: Transfers,
    /// The maximum extra delay of a message.
    pub max_delay_ms: u64,
    /// The controller that loses power, at which of its next writes, and whether all others lose power too.
    pub power_at_write: Option<(usize, u64, bool)>,
    pub call_interval_ms: u64,
    nodes: Vec<Node>,
    /// Messages in flight with source and destination, by arrival time and send order.
    in_flight: BTreeMap<(u64, u64), (usize, usize, Message)>,
    sent: u64,
    last_arrival: BTreeMap<(usize, usize), u64>,
    /// Broken connections and when they are re-established.
    disconnected: BTreeMap<(usize, usize), u64>,
    cuts: BTreeSet<(usize, usize)>,
    cut_at: u64,
    held: Vec<(usize, usize, Message)>,
    delays_cut_messages: bool,
    /// Calls in progress by token, with the controller and the index of the call.
    pending_calls: BTreeMap<u64, (usize, usize)>,
    calls: Vec<Call>,
    call_times_ms: Vec<u64>,
    /// Every view that a controller has learned, by number.
    views: BTreeMap<u64, rookpulley_chain::View>,
    /// The total order of successful updates, as applied by any controller.
    pub global_order: Vec<AppliedUpdate>,
    /// The smallest lead of an update's stamp over the time of its call. No later stamp may lead the simulation time by
    /// more.
    ahead: i64,
    applied_values: BTreeSet<u64>,
    latest_call_ms: u64,
    events: u64,
    seen: BTreeMap<u8, u64>,
    /// As `ahead`, for answered updates.
    least_ahead: i64,
    /// When each update was answered, and its latency.
    pub took: VecDeque<(u64, u64)>,
    pub steps: u64,
    corruption_injected: bool,
    /// Stores discarded because their replica had diverged.
    pub discarded_stores: u64,
    pub unknown: u64,
    /// Answers invalidated by refounding without the updates.
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
        Self::with_mutation(seed, controllers, losses, None)
    }

    pub fn with_mutation(
        seed: u64,
        controllers: usize,
        losses: usize,
        mutation: Option<Mutation>,
    ) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            losses,
            mutation,
            process_stalls: false,
            padding: 0,
            chunks_sent: 0,
            transfers: Transfers::default(),
            max_delay_ms: 6,
            power_at_write: None,
            call_interval_ms: 9,
            nodes: Vec::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            last_arrival: BTreeMap::new(),
            disconnected: BTreeMap::new(),
            cuts: BTreeSet::new(),
            cut_at: 0,
            held: Vec::new(),
            delays_cut_messages: false,
            pending_calls: BTreeMap::new(),
            calls: Vec::new(),
            call_times_ms: Vec::new(),
            views: BTreeMap::new(),
            global_order: Vec::new(),
            ahead: i64::MAX,
            applied_values: BTreeSet::new(),
            latest_call_ms: 0,
            events: 0,
            seen: BTreeMap::new(),
            least_ahead: i64::MAX,
            took: VecDeque::new(),
            steps: 0,
            corruption_injected: false,
            discarded_stores: 0,
            unknown: 0,
            forgotten: 0,
            log: Vec::new(),
        };
        world.start_controllers(controllers);
        world
    }

    /// Starts with a state padded by this many 64-bit words.
    pub fn with_padding(seed: u64, controllers: usize, padding: usize) -> Self {
        Self::with_padding_and_mutation(seed, controllers, padding, None)
    }

    pub fn with_padding_and_mutation(
        seed: u64,
        controllers: usize,
        padding: usize,
        mutation: Option<Mutation>,
    ) -> Self {
        let mut world = Self::with_mutation(seed, 0, 1, mutation);
        world.padding = padding;
        world.start_controllers(controllers);
        world
    }

    fn start_controllers(&mut self, controllers: usize) {
        for at in 0..controllers {
            self.add_node();
            self.start(at, at == 0);
        }
    }

    fn add_node(&mut self) {
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, self.nodes.len() as u8 + 1), 7);
        let mut disk = Disk::new();
        disk.acks_early = self.mutation == Some(Mutation::AckBeforeSync);
        disk.acks_catch_up_early = self.mutation == Some(Mutation::CatchUpAckedBeforeSync);
        self.nodes.push(Node {
            id: 0,
            address,
            chain: None,
            started_at: 0,
            clock: 0,
            disk,
            frozen_until: 0,
            inbox: VecDeque::new(),
            tick_queued: false,
            restart_on_heal: None,
            restart_at: None,
            lost_for_good: false,
            corruption: Rc::default(),
            compared_up_to: 0,
            refound_epoch: 0,
        });
    }

    fn start(&mut self, at: usize, founder: bool) {
        let (incarnation, seed) = (self.rng.random(), self.rng.random());
        let clock = self.rng.random_range(0..1_000_000_000u64);
        let node = &mut self.nodes[at];
        let fresh = !node.disk.rows.contains_key(&b"0id"[..]);
        if fresh {
            let id: u64 = self.rng.random();
            node.disk
                .rows
                .insert(b"0id".to_vec(), id.to_le_bytes().to_vec());
            if founder {
                node.disk.rows.insert(b"0founder".to_vec(), Vec::new());
            }
        }
        let founder = node.disk.rows.contains_key(&b"0founder"[..]);
        node.id = u64::from_le_bytes(node.disk.rows[&b"0id"[..]].clone().try_into().unwrap());
        if self.mutation == Some(Mutation::VotesNotPersisted) {
            node.disk.rows.remove(&b"p"[..]);
        }
        let kept = (!fresh).then(|| PersistedState::read(node.disk.rows.clone()));
        assert!(
            kept.as_ref().is_none_or(PersistedState::is_sound),
            "controller {at} finds an inconsistent store"
        );
        let me = Member {
            id: node.id,
            incarnation,
            address: node.address,
        };
        let boot = StartState {
            me,
            founder,
            tolerated_losses: self.losses,
            seed,
            persisted: kept,
        };
        node.disk.open();
        let names = Names::with_padding(self.padding);
        node.corruption = names.corruption.clone();
        (node.chain, node.started_at, node.clock) =
            (Some(Chain::start(clock, boot, names)), self.now, clock);
        (
            node.frozen_until,
            node.tick_queued,
            node.compared_up_to,
            node.restart_at,
        ) = (0, false, 0, None);
        node.inbox.clear();
        // Connect it with every running controller.
        for other in (0..self.nodes.len()).filter(|o| *o != at) {
            if self.nodes[other].chain.is_some() {
                self.connect(at, other);
            }
        }
        self.log_line(format!(
            "controller {at} starts, id {:x}, incarnation {incarnation:x}",
            self.nodes[at].id
        ));
    }

    fn connect(&mut self, a: usize, b: usize) {
        for (who, of) in [(a, b), (b, a)] {
            if !self.cuts.contains(&(of, who)) && self.nodes[of].chain.is_some() {
                let member = self.member(of);
                self.deliver(who, Input::PeerDiscovered { member });
            }
        }
    }

    fn member(&self, at: usize) -> Member {
        let node = &self.nodes[at];
        let incarnation = node.chain.as_ref().map_or(0, |c| c.me().incarnation);
        Member {
            id: node.id,
            incarnation,
            address: node.address,
        }
    }

    pub fn log_line(&mut self, line: String) {
        self.log.push(format!("{:>6} {line}", self.now));
    }

    fn deliver(&mut self, at: usize, input: Input) {
        if self.nodes[at].chain.is_none() {
            return;
        }
        if self.nodes[at].frozen_until > self.now {
            // A frozen process has at most one tick queued.
            if !matches!(input, Input::Tick)
                || !std::mem::replace(&mut self.nodes[at].tick_queued, true)
            {
                self.nodes[at].inbox.push_back(input);
            }
            return;
        }
        self.steps += 1;
        let now = self.now - self.nodes[at].started_at + self.nodes[at].clock;
        let Some(chain) = self.nodes[at].chain.as_mut() else {
            return;
        };
        let before = chain.view().map_or(0, |v| v.number);
        let effects = chain.handle(now, input);
        if let Some(view) = chain.view().filter(|v| v.number != before) {
            let known = self
                .views
                .entry(view.number)
                .or_insert_with(|| view.clone());
            assert_eq!(known, view, "two views have the same number");
        }
        let (mut exits, mut discard) = (false, false);
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    if let Some(to) = self
                        .nodes
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
                    exits |= self.nodes[at].disk.rejects_writes();
                    if self.mutation == Some(Mutation::CommitIndexAhead) {
                        faults::mark_all_committed(&mut records);
                    }
                    self.nodes[at].disk.write(self.now, ticket, records);
                    if self.nodes[at].disk.acks_early {
                        self.deliver(at, Input::Synced { ticket });
                    }
                    if let Some((node, left, _)) = &mut self.power_at_write
                        && *node == at
                    {
                        *left = left.saturating_sub(1);
                    }
                }
                Effect::Reply { token, outcome } => self.answered(token, outcome),
                Effect::Log(line) => self.log_line(format!("controller {at}: {line}")),
                Effect::StateChanged => self.compare(at),
                Effect::DiscardStore => discard = true,
            }
        }
        if let Some((_, 0, all)) = self.power_at_write {
            self.power_at_write = None;
            self.inject(if all {
                Fault::KillAll { power: true }
            } else {
                Fault::Kill { at, power: true }
            });
        }
        if discard {
            self.discarded_stores += 1;
            self.stop(at, false);
            self.nodes[at].disk.rows.clear();
            self.nodes[at].restart_at = Some(self.now + 400);
        }
        if exits {
            self.log_line(format!("controller {at} exits: its disk rejects writes"));
            self.stop(at, false);
            self.nodes[at].restart_at = Some(self.now + 400);
        }
    }

    fn send(&mut self, from: usize, to: usize, mut message: Message) {
        if self.mutation == Some(Mutation::RetriesNotDeduplicated)
            && let Message::Forward(ForwardedRequest { request, .. })
            | Message::Response { request, .. } = &mut message
            && request.attempt > 1
        {
            // The chain sees another incarnation; the response is mapped back for the caller.
            request.incarnation ^= 1 << 63;
        }
        match self.mutation {
            Some(Mutation::CatchUpSendsUncommitted) => {
                self.transfers.record(self.nodes[from].id, &message);
                self.transfers
                    .append_uncommitted(self.nodes[from].id, &mut message);
            }
            Some(Mutation::ChunksMixed) => self.transfers.mix_chunks((from, to), &mut message),
            _ => {}
        }
        self.chunks_sent += u64::from(matches!(
            message,
            Message::CatchUpReply {
                data: CatchUpData::SnapshotChunk { .. },
                ..
            }
        ));
        if self.disconnected.contains_key(&(from, to)) {
            return;
        }
        if self.cuts.contains(&(from, to)) {
            if self.delays_cut_messages {
                self.held.push((from, to, message));
            }
            return;
        }
        self.post(from, to, message);
    }

    fn post(&mut self, from: usize, to: usize, message: Message) {
        let late = u64::from(self.rng.random_range(0..4u32) == 0)
            * self.rng.random_range(1..=self.max_delay_ms);
        let last = self.last_arrival.entry((from, to)).or_insert(0);
        *last = (self.now + 1 + late).max(*last);
        let at = *last;
        self.sent += 1;
        self.in_flight.insert((at, self.sent), (from, to, message));
    }

    /// Checks that the updates applied by a controller extend the global order: none is undone, applied twice, or
    /// ordered after an update that was requested much later.
    fn compare(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let Some(chain) = &node.chain else { return };
        let refound_epoch = chain.view().map_or(0, |view| view.number / 1_000_000);
        if std::mem::replace(&mut node.refound_epoch, refound_epoch) != refound_epoch {
            // It joined a refounded chain, which may lack updates that it had applied.
            node.compared_up_to = 0;
        }
        let applied = &chain.state().applied;
        let from = node.compared_up_to;
        assert!(
            applied.len() >= from,
            "controller {at} went back from {from} to {} applied updates",
            applied.len()
        );
        for (index, update) in applied.iter().enumerate().skip(from) {
            match self.global_order.get(index) {
                Some(known) => {
                    assert_eq!(
                        known, update,
                        "controller {at} applied another update at index {index}"
                    )
                }
                None => {
                    self.global_order.push(*update);
                    let call = &self.calls[update.value as usize];
                    let called_at = self.call_times_ms[update.value as usize];
                    assert!(
                        self.applied_values.insert(update.value),
                        "{call:?} is applied twice"
                    );
                    assert!(!call.refused, "{call:?} was rejected but applied");
                    assert!(
                        called_at + 1_080 >= self.latest_call_ms,
                        "{call:?} of {called_at} ms is ordered after a call of {} ms",
                        self.latest_call_ms
                    );
                    let stamp = update.stamp as i64;
                    assert!(
                        stamp - self.now as i64 <= self.ahead,
                        "the replicated time runs fast"
                    );
                    self.ahead = self.ahead.min(stamp - called_at as i64);
                    self.latest_call_ms = self.latest_call_ms.max(called_at);
                }
            }
        }
        self.nodes[at].compared_up_to = applied.len();
    }

    fn answered(&mut self, token: u64, outcome: Outcome) {
        let Some((_, index)) = self.pending_calls.remove(&token) else {
            return;
        };
        self.events += 1;
        let call = &mut self.calls[index];
        match outcome {
            Outcome::Completed(bytes) => {
                let reply = Reply::read(&bytes);
                call.answered = Some((self.events, reply));
                self.seen.insert(call.name, reply.revision);
                if call.operation != Operation::Read {
                    // A replicated clock that runs fast would expire locks early.
                    let (called_at, stamp) = (self.call_times_ms[index] as i64, reply.stamp as i64);
                    let ahead = stamp - self.now as i64;
                    assert!(
                        ahead <= self.least_ahead,
                        "the replicated time runs {} ms fast",
                        ahead - self.least_ahead
                    );
                    self.least_ahead = self.least_ahead.min(stamp - called_at);
                    self.took
                        .push_back((self.now, self.now - self.call_times_ms[index]));
                    let shown = self.applied_values.contains(&(index as u64));
                    assert!(
                        shown || !reply.succeeded,
                        "{call:?} is answered but not applied"
                    );
                }
            }
            Outcome::Rejected => call.refused = true,
            Outcome::Unknown => {
                self.unknown += 1;
                call.refused = self.mutation == Some(Mutation::UnknownReportedAsRejected);
            }
        }
        if self.calls[index].refused && self.calls[index].operation != Operation::Read {
            assert!(
                !self.applied_values.contains(&(index as u64)),
                "{:?} was rejected but applied",
                self.calls[index]
            );
        }
    }

    fn call(&mut self) {
        let running: Vec<usize> = (0..self.nodes.len())
            .filter(|a| self.nodes[*a].chain.is_some())
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
        let operation = match self.rng.random_range(0..6u32) {
            0 | 1 => Operation::Read,
            2 => Operation::Swap {
                expected: self.seen.get(&name).copied().unwrap_or(0),
                value,
            },
            _ => Operation::Put { value },
        };
        self.events += 1;
        self.calls.push(Call {
            name,
            operation,
            called_at: self.events,
            answered: None,
            refused: false,
        });
        self.call_times_ms.push(self.now);
        let token = value + 1;
        self.pending_calls.insert(token, (controller, index));
        let kind = if operation == Operation::Read {
            RequestKind::Read
        } else {
            RequestKind::Update
        };
        if kind == RequestKind::Read && self.mutation == Some(Mutation::LocalTailReads) {
            return self.read_at_tail(controller, token, name);
        }
        self.deliver(
            controller,
            Input::ClientRequest {
                token,
                kind,
                body: body(name, operation),
            },
        );
    }

    fn read_at_tail(&mut self, controller: usize, token: u64, name: u8) {
        let tail = self.nodes[controller]
            .chain
            .as_ref()
            .and_then(|c| Some(c.view()?.tail()?.id));
        let Some(tail) = self.nodes.iter().position(|p| Some(p.id) == tail) else {
            return;
        };
        let there = &self.nodes[tail];
        let heard = there.frozen_until <= self.now && !self.cuts.contains(&(controller, tail));
        if let Some(chain) = there
            .chain
            .as_ref()
            .filter(|_| heard && !self.cuts.contains(&(tail, controller)))
        {
            let answer = chain.state().read(&body(name, Operation::Read));
            self.answered(token, Outcome::Completed(answer));
        }
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += 1;
            while let Some((&(at, n), _)) = self.in_flight.first_key_value()
                && at <= self.now
            {
                if let Some((from, to, message)) = self.in_flight.remove(&(at, n)) {
                    let from = self.nodes[from].id;
                    if self.mutation == Some(Mutation::CatchUpSendsUncommitted) {
                        self.transfers.record(self.nodes[to].id, &message);
                    }
                    self.check_disk(to);
                    self.deliver(to, Input::Received { from, message });
                }
            }
            let again: Vec<_> = self
                .disconnected
                .extract_if(.., |_, until| *until <= self.now)
                .collect();
            for ((a, b), _) in again {
                if self.nodes[a].chain.is_some() && !self.cuts.contains(&(a, b)) {
                    let member = self.member(a);
                    self.deliver(b, Input::PeerDiscovered { member });
                }
            }
            for at in 0..self.nodes.len() {
                self.poll_node(at);
            }
            if self.now.is_multiple_of(self.call_interval_ms) {
                self.call();
            }
            if self.process_stalls && self.rng.random_range(0..400u32) == 0 {
                let at = self.rng.random_range(0..self.nodes.len());
                let until = self.now + self.rng.random_range(50..250u64);
                if self.nodes[at].frozen_until <= self.now {
                    self.nodes[at].frozen_until = until;
                }
            }
        }
    }

    fn poll_node(&mut self, at: usize) {
        if self.nodes[at]
            .restart_at
            .is_some_and(|when| when <= self.now)
        {
            if self.nodes[at].disk.fault == Some(DiskFault::RejectsWrites) {
                self.nodes[at].restart_at = Some(self.now + 400);
            } else {
                self.start(at, false);
            }
        }
        if self.nodes[at].frozen_until == self.now {
            self.wake(at);
        }
        while let Some(ticket) = self.nodes[at].disk.synced(self.now) {
            if !self.nodes[at].disk.acks_early {
                self.deliver(at, Input::Synced { ticket });
            }
        }
        if self.nodes[at].chain.is_some() && (self.now + 13 * at as u64).is_multiple_of(50) {
            self.deliver(at, Input::Tick);
            self.check_disk(at);
        }
    }

    fn check_disk(&mut self, at: usize) {
        if self.nodes[at].frozen_until <= self.now
            && self.nodes[at].chain.is_some()
            && let Some(slow) = self.nodes[at].disk.check_latency(self.now)
        {
            self.log_line(format!(
                "controller {at}: its disk is {}",
                if slow { "slow" } else { "quick" }
            ));
            self.deliver(at, Input::DiskHealth { slow });
        }
    }

    fn wake(&mut self, at: usize) {
        (self.nodes[at].frozen_until, self.nodes[at].tick_queued) = (0, false);
        let mut waiting = std::mem::take(&mut self.nodes[at].inbox);
        // The order of timers and sockets after a stall is unspecified.
        if self.rng.random_range(0..2u32) == 0
            && let Some(tick) = waiting.iter().position(|i| matches!(i, Input::Tick))
            && let Some(tick) = waiting.remove(tick)
        {
            waiting.push_front(tick);
        }
        waiting
            .into_iter()
            .for_each(|input| self.deliver(at, input));
    }

    fn stop(&mut self, at: usize, power: bool) {
        let lost: Vec<u64> = self
            .pending_calls
            .iter()
            .filter(|(_, c)| c.0 == at)
            .map(|(t, _)| *t)
            .collect();
        lost.iter().for_each(|t| _ = self.pending_calls.remove(t));
        let node = &mut self.nodes[at];
        if node.chain.take().is_none() {
            return;
        }
        if power {
            node.disk.lose_power(&mut self.rng)
        } else {
            node.disk.crash(&mut self.rng)
        }
        if self.mutation != Some(Mutation::AckBeforeSync) {
            node.disk.open();
        }
        node.inbox.clear();
        let id = node.id;
        self.in_flight
            .retain(|_, (from, to, _)| *to != at && !(power && *from == at));
        self.held.retain(|(from, to, _)| *to != at && *from != at);
        if !power {
            for other in (0..self.nodes.len()).filter(|o| *o != at) {
                self.deliver(other, Input::Disconnected { id });
            }
        }
    }

    /// Breaks the connections between two controllers and drops the last messages in flight.
    fn reset(&mut self, a: usize, b: usize) {
        for (from, to) in [(a, b), (b, a)] {
            let on_its_way: Vec<_> = self
                .in_flight
                .iter()
                .filter(|(_, w)| (w.0, w.1) == (from, to))
                .map(|(key, _)| *key)
                .collect();
            let kept = self.rng.random_range(0..=on_its_way.len());
            on_its_way[kept..]
                .iter()
                .for_each(|key| _ = self.in_flight.remove(key));
            let until = self.now + self.rng.random_range(20..200u64);
            self.disconnected.insert((from, to), until);
            let id = self.nodes[from].id;
            self.deliver(to, Input::Disconnected { id });
        }
    }

    pub fn inject(&mut self, fault: Fault) {
        self.log_line(format!("{fault:?}"));
        match fault {
            Fault::Kill { at, power } => {
                self.stop(at, power);
                self.nodes[at].restart_on_heal.get_or_insert(false);
            }
            Fault::KillAll { power } => {
                for at in 0..self.nodes.len() {
                    if self.nodes[at].chain.is_some() {
                        self.stop(at, power);
                        self.nodes[at].restart_on_heal.get_or_insert(false);
                    }
                }
            }
            Fault::Wipe { at } => {
                self.stop(at, true);
                self.nodes[at].restart_on_heal = Some(true);
            }
            Fault::Freeze { at } => self.nodes[at].frozen_until = u64::MAX,
            Fault::Cut {
                from,
                to,
                both,
                held,
            } => {
                (self.delays_cut_messages, self.cut_at) = (held, self.now);
                for a in &from {
                    for b in to.iter().filter(|b| *b != a) {
                        self.cuts.insert((*a, *b));
                        if both {
                            self.cuts.insert((*b, *a));
                        }
                    }
                }
            }
            Fault::Reset { a, b } => self.reset(a, b),
            Fault::Replace { at, orderly } => {
                if orderly {
                    self.add_node();
                    self.start(self.nodes.len() - 1, false);
                    self.run(1_500);
                }
                self.stop(at, !orderly);
                self.nodes[at].lost_for_good = true;
                if !orderly {
                    self.add_node();
                    self.start(self.nodes.len() - 1, false);
                }
            }
            Fault::Disk { at, fault } => self.nodes[at].disk.fault = Some(fault),
        }
    }

    /// Silently corrupts the state of a controller.
    pub fn corrupt_state(&mut self, at: usize) {
        self.log_line(format!("the state of controller {at} is corrupted"));
        self.nodes[at].corruption.set(1);
        self.corruption_injected = true;
    }

    /// Stops a controller that `heal` does not restart.
    pub fn lose(&mut self, at: usize, power: bool) {
        self.log_line(format!("controller {at} is lost for good"));
        self.stop(at, power);
        (self.nodes[at].lost_for_good, self.nodes[at].restart_on_heal) = (true, None);
    }

    /// Stops a controller as on SIGTERM: it leaves the chain first. `heal` does not restart it.
    pub fn remove(&mut self, at: usize) {
        self.log_line(format!("controller {at} is removed"));
        self.deliver(at, Input::DiskHealth { slow: true });
        self.run(LEAVE_MS);
        self.lose(at, false);
    }

    /// Restarts a lost controller with its disk intact.
    pub fn restart_lost(&mut self, at: usize) {
        self.nodes[at].lost_for_good = false;
        self.start(at, false);
    }

    /// Adds a controller with an empty disk and returns its index.
    pub fn add_empty_node(&mut self) -> usize {
        self.add_node();
        let at = self.nodes.len() - 1;
        self.start(at, false);
        at
    }

    /// Stops a controller, refounds the chain from its store and starts it.
    pub fn refound(&mut self, at: usize, power: bool) {
        self.stop(at, power);
        let id: u64 = self.rng.random();
        let rows = &mut self.nodes[at].disk.rows;
        let kept = PersistedState::read(rows.clone());
        let was = u64::from_le_bytes(rows[&b"0id"[..]].clone().try_into().unwrap());
        let (view, records) = kept.refounded(was, id).expect("the store holds a state");
        rows.clear();
        rows.insert(b"0id".to_vec(), id.to_le_bytes().to_vec());
        for record in records {
            match record {
                Record::Put { key, value } => _ = rows.insert(key, value),
                Record::Delete { .. } => panic!("refounding deletes no rows"),
            }
        }
        assert_eq!(
            PersistedState::read(rows.clone()).status().log,
            kept.status().log
        );
        self.log_line(format!(
            "controller {at} refounds the chain with view {}",
            view.number
        ));
        self.forget_updates_missing_from(&kept);
        self.start(at, false);
    }

    /// Removes updates that this store lacks from the global order, and the answers that depended on them.
    fn forget_updates_missing_from(&mut self, kept: &PersistedState) {
        let shown = kept.status();
        let mut held = Names::default();
        assert!(held.restore(shown.snapshot.unwrap().bytes));
        for StoredUpdate { at_ms, body, .. } in shown.log {
            // A retried update may be in the log twice.
            if !held
                .applied
                .iter()
                .any(|update| names::value(body) == update.value)
            {
                held.apply(at_ms, body);
            }
        }
        let both = held
            .applied
            .iter()
            .zip(&self.global_order)
            .take_while(|(held, shown)| held == shown)
            .count();
        self.global_order.truncate(both);
        let mut last = BTreeMap::<u8, u64>::new();
        self.global_order
            .iter()
            .for_each(|update| *last.entry(update.name).or_default() += 1);
        self.applied_values = self
            .global_order
            .iter()
            .map(|update| update.value)
            .collect();
        self.latest_call_ms = self
            .global_order
            .iter()
            .map(|update| self.call_times_ms[update.value as usize])
            .max()
            .unwrap_or(0);
        // Recompute the clock bounds from the remaining updates.
        let ahead = |update: &AppliedUpdate| {
            update.stamp as i64 - self.call_times_ms[update.value as usize] as i64
        };
        self.ahead = self
            .global_order
            .iter()
            .map(ahead)
            .min()
            .unwrap_or(i64::MAX);
        self.least_ahead = self.ahead;
        for (value, call) in self.calls.iter_mut().enumerate() {
            let last = last.get(&call.name).copied().unwrap_or(0);
            if call
                .answered
                .is_some_and(|(_, reply)| reply.revision > last)
            {
                // The store may hold another attempt of this call, which then takes effect.
                let here = held
                    .applied
                    .iter()
                    .any(|update| update.value == value as u64);
                (call.answered, call.refused) = (None, !here);
                self.forgotten += 1;
            }
            self.seen
                .entry(call.name)
                .and_modify(|seen| *seen = last.min(*seen));
        }
    }

    /// The updates applied by a controller, in order.
    pub fn applied(&self, at: usize) -> &[AppliedUpdate] {
        self.nodes[at]
            .chain
            .as_ref()
            .map_or(&[], |chain| &chain.state().applied)
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|a| self.nodes[*a].chain.is_some())
            .collect()
    }

    /// The controllers that are not lost for good.
    pub fn nodes(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|a| !self.nodes[*a].lost_for_good)
            .collect()
    }

    /// Draws a random fault. With `disks`, it may wipe a disk or replace a machine.
    pub fn random_fault(&mut self, disks: bool) -> Fault {
        let nodes = self.nodes();
        let at = nodes[self.rng.random_range(0..nodes.len())];
        let (coin, held) = (
            self.rng.random_range(0..2u32) == 0,
            self.rng.random_range(0..2u32) == 0,
        );
        let others: Vec<usize> = nodes.iter().copied().filter(|o| *o != at).collect();
        match self.rng.random_range(0..if disks { 11u32 } else { 9 }) {
            0 => Fault::Kill { at, power: coin },
            1 => Fault::KillAll { power: coin },
            2 => Fault::Freeze { at },
            3 => Fault::Cut {
                from: others,
                to: vec![at],
                both: coin,
                held,
            },
            4 => Fault::Cut {
                from: vec![at],
                to: others,
                both: coin,
                held,
            },
            5 => {
                let half = self.rng.random_range(1..nodes.len());
                let (from, to) = nodes.split_at(half);
                Fault::Cut {
                    from: from.to_vec(),
                    to: to.to_vec(),
                    both: coin,
                    held,
                }
            }
            6 => Fault::Reset {
                a: at,
                b: others[self.rng.random_range(0..others.len())],
            },
            7 | 8 => {
                let all = [
                    DiskFault::Slow,
                    DiskFault::Hangs,
                    DiskFault::RejectsWrites,
                    DiskFault::Full,
                ];
                Fault::Disk {
                    at,
                    fault: all[self.rng.random_range(0..all.len())],
                }
            }
            9 => Fault::Wipe { at },
            _ => Fault::Replace { at, orderly: coin },
        }
    }

    /// Ends all faults: restarts stopped controllers, wakes frozen ones and reconnects the network.
    pub fn heal(&mut self) {
        self.log_line("all faults end".into());
        let cuts = std::mem::take(&mut self.cuts);
        let late = self.now > self.cut_at + 2_500;
        for (from, to, message) in std::mem::take(&mut self.held) {
            // After a long cut, delayed messages are lost with the connection.
            if !late && self.nodes[to].chain.is_some() {
                self.post(from, to, message);
            }
        }
        for (a, b) in cuts {
            if late || !self.delays_cut_messages {
                self.reset(a, b)
            } else {
                self.connect(a, b)
            }
        }
        for at in 0..self.nodes.len() {
            self.nodes[at].disk.fault = None;
            if self.nodes[at].frozen_until > self.now {
                self.wake(at);
            }
            if let Some(wiped) = self.nodes[at].restart_on_heal.take() {
                if wiped {
                    let id = self.nodes[at].disk.rows.remove(&b"0id"[..]);
                    self.nodes[at].disk.rows.clear();
                    if self.mutation == Some(Mutation::IdentityKeptAfterWipe)
                        && let Some(id) = id
                    {
                        self.nodes[at].disk.rows.insert(b"0id".to_vec(), id);
                    }
                }
                self.start(at, false);
            }
        }
    }

    /// Restarts a stopped controller with its disk intact.
    pub fn restart(&mut self, at: usize) {
        if self.nodes[at].restart_on_heal.take().is_some() {
            self.start(at, false);
        }
    }

    /// Wakes a frozen controller.
    pub fn unfreeze(&mut self, at: usize) {
        self.log_line(format!("controller {at} wakes"));
        if self.nodes[at].frozen_until > self.now {
            self.wake(at);
        }
    }

    /// Ends all cuts around a controller. Messages that were sent meanwhile are lost with their connections.
    pub fn reconnect(&mut self, at: usize) {
        self.log_line(format!("controller {at} is reconnected"));
        let ended: Vec<_> = self
            .cuts
            .extract_if(.., |(a, b)| *a == at || *b == at)
            .collect();
        for (a, b) in ended {
            self.reset(a, b);
        }
    }

    /// Ends the fault of a disk.
    pub fn repair_disk(&mut self, at: usize) {
        self.log_line(format!("the disk of controller {at} is repaired"));
        self.nodes[at].disk.fault = None;
    }

    /// Restarts a lost controller at its address with an empty disk.
    pub fn return_with_empty_disk(&mut self, at: usize) {
        self.log_line(format!("controller {at} returns with an empty disk"));
        self.nodes[at].lost_for_good = false;
        self.nodes[at].disk.rows.clear();
        self.start(at, false);
    }

    pub fn check(&self) {
        if let Err(why) = history::check(&self.calls) {
            panic!("{why}");
        }
    }

    pub fn assert_updates_complete(&mut self) {
        let before = self.took.len();
        self.run(1_000);
        let answered = self.took.len() - before;
        if answered <= 25 {
            for at in self.running() {
                let node = &self.nodes[at];
                let now = self.now - node.started_at + node.clock;
                let line = node.chain.as_ref().map(|c| format!("{:?}", c.status(now)));
                self.log_line(format!("controller {at}: {line:?}"));
            }
        }
        assert!(
            answered > 25,
            "only {answered} updates were answered in one second"
        );
        let differ = self
            .log
            .iter()
            .any(|line| line.contains("state digests differ"));
        assert!(
            self.corruption_injected || !differ,
            "state digests differ without an injected fault"
        );
        self.check();
    }

    fn latest_view(&self) -> rookpulley_chain::View {
        let running = self.nodes.iter().filter(|p| p.frozen_until < u64::MAX);
        let views = running
            .filter_map(|p| p.chain.as_ref())
            .filter_map(|c| c.view());
        views.max_by_key(|v| v.number).unwrap().clone()
    }

    fn at(&self, id: u64) -> usize {
        self.nodes.iter().position(|p| p.id == id).unwrap()
    }

    pub fn head(&self) -> usize {
        self.at(self.latest_view().members.first().unwrap().id)
    }

    pub fn tail(&self) -> usize {
        self.at(self.latest_view().members.last().unwrap().id)
    }

    pub fn others(&self, at: usize) -> Vec<usize> {
        self.nodes().into_iter().filter(|o| *o != at).collect()
    }

    pub fn identity(&self, at: usize) -> u64 {
        self.nodes[at].id
    }

    pub fn view_number(&self) -> u64 {
        self.latest_view().number
    }

    pub fn members(&self) -> usize {
        self.latest_view().members.len()
    }

    pub fn status(&self, at: usize) -> Option<rookpulley_chain::ChainStatus> {
        let node = &self.nodes[at];
        node.chain
            .as_ref()
            .map(|c| c.status(self.now - node.started_at + node.clock))
    }

    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// The longest interval without an answered update since that time, in milliseconds.
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
