//! A controller with a disk: where its parts meet.
//!
//! Each input comes with the time; what is to be done about it is taken by [`Controller::take_effects`] afterwards. The
//! files under `controller/` hold one kind of input each.

mod drains;
mod instances;
mod peers;
mod proxies;
mod publication;
mod stateless;

use crate::bootstrap::Bootstrap;
use crate::counters::Counters;
use crate::effect::Effect;
use crate::endpoint::Operation;
use crate::peer_message::PeerMessage;
use crate::proxy_session::ProxySession;
use crate::publish_pacer::PublishPacer;
use crate::replicated_state::ReplicatedState;
use crate::reply::Reply;
use crate::reply_kind::ReplyKind;
use crate::start::{ControllerStart, Rows};
use crate::watches::Watches;
use drains::PendingDrain;
use instances::AfterInstanceSync;
use peers::Peer;
use rookpulley_chain::{
    Chain, DiskHealth, Effect as ChainEffect, Input, Member, PersistedState, RequestKind,
    StartState,
};
use rookpulley_protocol::encode_frame;
use rookpulley_registry::{
    ConfigurationHistory, DrainTracker, InstanceUpdate, ProxyRoster, Registry, TablePublisher,
};
use rookpulley_routes::RouteTable;
use rookpulley_state::StateMachine;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

/// How many calls may wait for the chain.
const MAX_PENDING_REQUESTS: usize = 4_096;
/// What was stored of instances before this start and hasn't been heard of since is dropped after so long.
const TIDY_INSTANCES_AFTER_MS: f64 = 90_000.0;
/// What is done how often, in ticks of 50 ms.
const TABLES_TICKS: u64 = 2;
const STATUS_TICKS: u64 = 8;
const REFRESHES_TICKS: u64 = 16;
const HELLO_TICKS: u64 = 40;

/// A controller with a disk.
pub struct Controller {
    me: Member,
    seeds: Vec<SocketAddrV4>,
    /// This controller's part in the chain.
    pub chain: Chain<ReplicatedState>,
    /// The instances that it knows of.
    pub registry: Registry,
    /// The tables of the proxies that it is primary for.
    pub tables: TablePublisher,
    /// What the disk held of instances at the start, until it is tidied.
    stored_instances: Rows,
    /// Other controllers, by address.
    peers: BTreeMap<Ipv4Addr, Peer>,
    /// Connected proxies, by name.
    pub proxies: BTreeMap<String, ProxySession>,
    roster: ProxyRoster,
    /// Controllers without a disk: their addresses, by the numbers of their connections.
    stateless: BTreeMap<u64, Ipv4Addr>,
    zone: String,
    bootstrap: Option<Bootstrap>,
    /// Of the seeds that this one waits for: those that have said that they have no disk.
    without_disk: BTreeSet<Ipv4Addr>,
    /// The first seed has appointed this controller to make the first view.
    is_appointed: bool,
    /// Calls that wait for the chain.
    requests: BTreeMap<u64, ReplyKind>,
    watches: Watches,
    drains: DrainTracker,
    /// Drains that wait to be acknowledged, by the number that others were asked under.
    pending_drains: BTreeMap<u64, PendingDrain>,
    /// The last ticket of a write of instances.
    instance_ticket: u64,
    after_instance_sync: Vec<(u64, AfterInstanceSync)>,
    last_number: u64,
    history: ConfigurationHistory,
    /// The published configuration, as it was read.
    routes: Option<RouteTable>,
    pacer: PublishPacer,
    /// An update was applied by this incarnation, so the state here was agreed on.
    has_applied: bool,
    /// Watches how long writes take.
    pub disk: DiskHealth,
    /// Figures for operators.
    pub counters: Counters,
    is_ending: bool,
    /// What proxies were last told.
    told_in_touch: bool,
    effects: Vec<Effect>,
}

impl Controller {
    /// Starts at the time 0. The incarnation also is the seed of all pseudo-random numbers.
    pub fn new(start: ControllerStart) -> Self {
        let me = start.me;
        let seed = me.incarnation;
        let tolerated_losses = start.tolerated_losses as usize;
        let bootstrap = start.bootstrap.as_ref();
        let chain = StartState {
            me,
            founder: bootstrap.is_some_and(Bootstrap::is_first_seed),
            tolerated_losses,
            seed,
            persisted: start.chain_rows.map(PersistedState::read),
        };
        let heartbeat_ms = start.heartbeat_ms as f64;
        let drain_ms = start.drain_ms as f64;
        let mut controller = Self {
            me,
            seeds: start.seeds,
            chain: Chain::start(0, chain, ReplicatedState::default()),
            registry: Registry::new(0.0, heartbeat_ms, drain_ms),
            tables: TablePublisher::new(seed),
            stored_instances: start.instance_rows,
            peers: BTreeMap::new(),
            proxies: BTreeMap::new(),
            roster: ProxyRoster::default(),
            stateless: BTreeMap::new(),
            zone: start.zone,
            bootstrap: start.bootstrap,
            without_disk: BTreeSet::new(),
            is_appointed: false,
            requests: BTreeMap::new(),
            watches: Watches::default(),
            drains: DrainTracker::new(tolerated_losses),
            pending_drains: BTreeMap::new(),
            instance_ticket: 0,
            after_instance_sync: Vec::new(),
            last_number: 0,
            history: ConfigurationHistory::default(),
            routes: None,
            pacer: PublishPacer::default(),
            has_applied: false,
            disk: DiskHealth::default(),
            counters: Counters::default(),
            is_ending: false,
            told_in_touch: false,
            effects: Vec::new(),
        };
        controller.restore_instances();
        let seeds = controller.seeds.clone();
        controller.discover_peers(0.0, &seeds);
        controller.step_chain(0.0, Input::Tick);
        controller
    }

    /// What was known of instances before this start, as if it were heard now: what no longer sends heartbeats falls
    /// silent soon.
    fn restore_instances(&mut self) {
        for (_, row) in &self.stored_instances {
            if let Ok(update) = postcard::from_bytes::<InstanceUpdate>(row) {
                self.registry.apply_update(0.0, &update.with_zero_age());
            }
        }
    }

    /// What is to be done about all inputs since the last time.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// A number that was never given before: for a connection, or a call.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// A line for the log.
    pub fn summary(&self) -> String {
        let primary_of = self.proxies.values().filter(|proxy| proxy.is_primary);
        format!(
            "{}; proxies {} (primary of {})",
            self.chain.summary(),
            self.proxies.len(),
            primary_of.count()
        )
    }

    /// Whether it is in two-way contact with a majority of an active view.
    pub fn in_touch(&self, now: f64) -> bool {
        self.chain.in_touch(now as u64)
    }

    /// Whether it is in touch and a member of the view: what is applied here is as new as it can be.
    pub fn is_serving(&self, now: f64) -> bool {
        self.chain.serving(now as u64)
    }

    fn log(&mut self, line: impl Into<String>) {
        self.effects.push(Effect::Log(line.into()));
    }

    fn reply(&mut self, token: u64, reply: Reply) {
        self.effects.push(Effect::Reply { token, reply });
    }

    fn state(&self) -> &StateMachine {
        &self.chain.state().machine
    }

    /// Hands an input to the chain, and carries out what it wants.
    fn step_chain(&mut self, now: f64, input: Input) {
        let mut has_changed = false;
        for effect in self.chain.handle(now as u64, input) {
            match effect {
                ChainEffect::Send { to, message } => {
                    self.send_to_peer(to, &PeerMessage::Chain(message));
                }
                ChainEffect::Write { ticket, records } => {
                    self.disk.write_began(now, ticket);
                    self.effects.push(Effect::WriteChain { ticket, records });
                }
                ChainEffect::Reply { token, outcome } => {
                    if let Some(kind) = self.requests.remove(&token) {
                        self.reply(token, kind.reply(outcome));
                    }
                }
                ChainEffect::Log(line) => self.log(line),
                ChainEffect::StateChanged => has_changed = true,
                ChainEffect::DiscardStore => self.effects.push(Effect::DiscardStore),
            }
        }
        let view = self.chain.view().map_or(0, |view| view.number);
        self.counters.view(view);
        if has_changed {
            self.has_applied = true;
            self.answer_watches(now, true);
            self.publish_configuration(now);
        }
    }

    /// All writes up to these tickets are on the disk, as far as there were any of each kind. The sync took so long.
    pub fn handle_synced(
        &mut self,
        now: f64,
        chain: Option<u64>,
        instances: Option<u64>,
        took_ms: f64,
    ) {
        self.counters.sync(took_ms);
        self.disk.synced(chain, took_ms);
        if let Some(ticket) = chain {
            self.step_chain(now, Input::Synced { ticket });
        }
        if let Some(ticket) = instances {
            self.handle_instances_synced(now, ticket);
        }
    }

    fn check_disk(&mut self, now: f64) {
        if self.is_ending {
            return;
        }
        let check = self.disk.check(now);
        if let Some(ticket) = check.probe {
            let records = Vec::new();
            self.effects.push(Effect::WriteChain { ticket, records });
        }
        if let Some(slow) = check.changed {
            let health = if slow { "slow" } else { "quick again" };
            self.log(format!("store: the disk is {health}"));
            self.step_chain(now, Input::DiskHealth { slow });
        }
    }

    /// Takes a call. Its answer comes under its token, which `next_number` gave.
    pub fn handle_call(&mut self, now: f64, token: u64, operation: Operation) {
        let kind = ReplyKind::of(&operation);
        match operation {
            Operation::Heartbeat(heartbeat) => self.handle_heartbeat(now, token, heartbeat),
            Operation::Leave(incarnation) => self.handle_leave(now, token, &incarnation),
            Operation::Update(update) => {
                self.ask_chain(now, token, kind, RequestKind::Update, update.encode());
            }
            Operation::Read(query) => {
                self.ask_chain(now, token, kind, RequestKind::Read, query.encode());
            }
            Operation::Watch {
                group,
                after,
                wait_ms,
            } => {
                self.watches.add(now, token, group, after, wait_ms);
                self.answer_watches(now, false);
            }
        }
    }

    /// Nobody waits for the answer to this call any more.
    pub fn cancel_call(&mut self, token: u64) {
        self.watches.remove(token);
    }

    fn ask_chain(
        &mut self,
        now: f64,
        token: u64,
        reply: ReplyKind,
        kind: RequestKind,
        body: Vec<u8>,
    ) {
        if self.requests.len() >= MAX_PENDING_REQUESTS {
            return self.reply(token, Reply::not_in_touch());
        }
        self.requests.insert(token, reply);
        self.step_chain(now, Input::ClientRequest { token, kind, body });
    }

    fn answer_watches(&mut self, now: f64, has_changed: bool) {
        let is_serving = self.is_serving(now) && !self.is_ending;
        let state = &self.chain.state().machine;
        let due = self.watches.take_due(now, has_changed, is_serving, state);
        for (token, reply) in due {
            self.reply(token, reply);
        }
    }

    /// From now on others are to go on without this controller.
    pub fn begin_shutdown(&mut self) {
        self.is_ending = true;
    }

    /// Asks the others to go on without this controller. True: they do.
    pub fn leave_chain(&mut self, now: f64) -> bool {
        self.step_chain(now, Input::DiskHealth { slow: true });
        let members = self.chain.view().map_or(&[][..], |view| &view.members);
        members.iter().all(|member| member.id != self.me.id)
    }

    /// Lets time pass: to be called every 50 ms. `tick` counts the calls.
    pub fn tick(&mut self, now: f64, tick: u64) {
        self.step_chain(now, Input::Tick);
        self.check_disk(now);
        self.expire_drains(now);
        self.answer_watches(now, false);
        self.publish_configuration(now);
        let members = self.chain.view().map_or(&[][..], |view| &view.members);
        let members: Vec<Ipv4Addr> = members.iter().map(|m| *m.address.ip()).collect();
        let in_touch = self.in_touch(now);
        self.registry.set_has_majority(now, in_touch);
        for ip in members {
            self.discover_peer(now, ip);
        }
        if tick.is_multiple_of(TABLES_TICKS) {
            self.tick_registry(now);
        }
        if tick.is_multiple_of(REFRESHES_TICKS) {
            self.send_refreshes(now);
        }
        if tick.is_multiple_of(STATUS_TICKS) {
            self.roster.expire(now);
            self.tables.set_proxy_count(self.roster.count());
        }
        // A change that comes with a regular announcement is announced once more with the next tick.
        let is_regular = tick.is_multiple_of(STATUS_TICKS);
        if is_regular || std::mem::replace(&mut self.told_in_touch, in_touch) != in_touch {
            self.announce_status(now);
        }
        if tick.is_multiple_of(HELLO_TICKS) {
            let hello = self.hello();
            self.send_to_all_peers(&hello);
        }
        if now > TIDY_INSTANCES_AFTER_MS {
            self.tidy_stored_instances();
        }
    }

    fn tick_registry(&mut self, now: f64) {
        let silent = self.registry.tick(now);
        if !silent.is_empty() {
            self.log(format!("registry: {} fell silent", silent.join(" ")));
        }
        self.publish_tables(now);
    }

    fn send_refreshes(&mut self, now: f64) {
        if let Some(update) = self.registry.take_refreshes(now) {
            self.send_updates(vec![update]);
        }
    }

    /// Tells all proxies and all controllers without a disk how this controller stands.
    fn announce_status(&mut self, now: f64) {
        let status = self.status_message(now);
        self.send_to_all_proxies(&status);
        let frame = encode_frame(&status);
        let connections: Vec<u64> = self.stateless.keys().copied().collect();
        for connection in connections {
            let frame = frame.clone();
            self.effects.push(Effect::SendToProxy { connection, frame });
        }
    }
}
