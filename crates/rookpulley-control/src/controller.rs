//! A controller with a disk.
//!
//! Each input carries the current time; [`Controller::take_effects`] returns the resulting effects. Each file under
//! `controller/` handles one kind of input.

mod drains;
mod duties;
mod instances;
mod peers;
mod proxies;
mod publication;
mod stateless;
mod usage;
mod verification;

use crate::bootstrap::Bootstrap;
use crate::counters::Counters;
use crate::effect::Effect;
use crate::endpoint::Operation;
use crate::peer_message::PeerMessage;
use crate::pending_request::{InternalPurpose, PendingRequest};
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
    Chain, DiskHealth, Effect as ChainEffect, Input, Member, Outcome, PersistedState, RequestKind,
    StartState,
};
use rookpulley_duties::UsageReporter;
use rookpulley_protocol::encode_frame;
use rookpulley_registry::{
    ConfigurationHistory, DrainTracker, InstanceUpdate, ProxyRoster, Registry, TablePublisher,
};
use rookpulley_routes::RouteTable;
use rookpulley_state::StateMachine;
use rookpulley_usage::MedianClock;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use usage::UsageCollector;
use verification::VerificationQueue;

/// Maximum number of requests waiting for the chain.
const MAX_PENDING_REQUESTS: usize = 4_096;
/// Time after the start at which stored instances that are still unknown to the registry are deleted.
const PRUNE_INSTANCES_AFTER_MS: f64 = 90_000.0;
// Intervals of periodic work, in ticks of 50 ms.
const TABLE_SYNC_TICKS: u64 = 2;
const STATUS_TICKS: u64 = 8;
const DUTY_TICKS: u64 = 2;
const REFRESH_TICKS: u64 = 16;
const HELLO_TICKS: u64 = 40;

/// A controller with a disk.
pub struct Controller {
    me: Member,
    seeds: Vec<SocketAddrV4>,
    /// This controller's replica of the chain.
    pub chain: Chain<ReplicatedState>,
    /// Known instances.
    pub registry: Registry,
    /// Tables of the proxies that have this controller as their primary.
    pub tables: TablePublisher,
    /// Instance rows read from disk at the start, until they are pruned.
    stored_instances: Rows,
    /// Other controllers, by address.
    peers: BTreeMap<Ipv4Addr, Peer>,
    /// Connected proxies, by name.
    pub proxies: BTreeMap<String, ProxySession>,
    roster: ProxyRoster,
    /// Addresses of connected stateless controllers, by connection number.
    stateless: BTreeMap<u64, Ipv4Addr>,
    zone: String,
    bootstrap: Option<Bootstrap>,
    /// Earlier seeds that are known to have no disk.
    seeds_without_disk: BTreeSet<Ipv4Addr>,
    /// Whether the first seed has appointed this controller to create the first view.
    is_appointed: bool,
    /// Requests waiting for the chain, by token.
    pending_requests: BTreeMap<u64, PendingRequest>,
    /// Questions of proxies for the newest configuration version.
    verifications: VerificationQueue,
    /// Usage counts of proxies.
    usage: UsageCollector,
    watches: Watches,
    drains: DrainTracker,
    /// Unacknowledged drains, by the number of the confirmation query.
    pending_drains: BTreeMap<u64, PendingDrain>,
    /// Ticket of the last write of instance records.
    instance_ticket: u64,
    after_instance_sync: Vec<(u64, AfterInstanceSync)>,
    last_number: u64,
    history: ConfigurationHistory,
    /// The published configuration, parsed.
    routes: Option<RouteTable>,
    pacer: PublishPacer,
    /// Whether this incarnation has applied an update, so that its state is known to be committed.
    has_applied_update: bool,
    /// Tracks write latency.
    pub disk: DiskHealth,
    /// Metrics.
    pub counters: Counters,
    /// Reports usage to the platform, if the deployment has that duty.
    usage_reporter: Option<UsageReporter>,
    is_shutting_down: bool,
    /// The contact state in the last announced status.
    announced_in_touch: bool,
    /// Whether this controller was serving at the last check of its contact.
    announced_serving: bool,
    /// The time of day, from this controller's clock and those of its proxies.
    clock: MedianClock<String>,
    effects: Vec<Effect>,
}

impl Controller {
    /// Starts at time 0. The incarnation seeds the pseudo-random generators.
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
            seeds_without_disk: BTreeSet::new(),
            is_appointed: false,
            pending_requests: BTreeMap::new(),
            verifications: VerificationQueue::default(),
            usage: UsageCollector::new(start.usage_window),
            watches: Watches::default(),
            drains: DrainTracker::new(tolerated_losses),
            pending_drains: BTreeMap::new(),
            instance_ticket: 0,
            after_instance_sync: Vec::new(),
            last_number: 0,
            history: ConfigurationHistory::default(),
            routes: None,
            pacer: PublishPacer::default(),
            has_applied_update: false,
            disk: DiskHealth::default(),
            counters: Counters::default(),
            usage_reporter: start.usage_duty.map(UsageReporter::new),
            is_shutting_down: false,
            announced_in_touch: false,
            announced_serving: false,
            clock: MedianClock::new(start.origin_unix_ms),
            effects: Vec::new(),
        };
        controller.restore_instances();
        let seeds = controller.seeds.clone();
        controller.discover_peers(0.0, &seeds);
        controller.step_chain(0.0, Input::Tick);
        controller
    }

    /// Loads the stored instances as if they had just been heard from. Those that no longer send heartbeats time out.
    fn restore_instances(&mut self) {
        for (_, row) in &self.stored_instances {
            if let Ok(update) = postcard::from_bytes::<InstanceUpdate>(row) {
                self.registry.apply_update(0.0, &update.with_zero_age());
            }
        }
    }

    /// Returns the effects of all inputs since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns a unique number for a connection or a request.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Summarizes the state in one line for the log.
    pub fn summary(&self) -> String {
        let primary_of = self.proxies.values().filter(|proxy| proxy.is_primary);
        format!(
            "{}; proxies {} (primary of {})",
            self.chain.summary(),
            self.proxies.len(),
            primary_of.count()
        )
    }

    /// Whether this controller has two-way contact with a majority of an active view.
    pub fn in_touch(&self, now: f64) -> bool {
        self.chain.in_touch(now as u64)
    }

    /// Whether this controller is in touch and a member of the view, so that its applied state is up to date.
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

    /// Passes an input to the chain and processes the resulting effects.
    fn step_chain(&mut self, now: f64, input: Input) {
        let mut has_changed = false;
        let mut internal_outcomes = Vec::new();
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
                    match self.pending_requests.remove(&token) {
                        Some(PendingRequest::Caller(kind)) => {
                            self.reply(token, kind.reply(outcome));
                        }
                        Some(PendingRequest::Internal(purpose)) => {
                            internal_outcomes.push((purpose, outcome));
                        }
                        None => {}
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
            self.has_applied_update = true;
            self.answer_watches(now, true);
            self.publish_configuration(now);
        }
        // After the other effects, because these may send new requests to the chain.
        for (purpose, outcome) in internal_outcomes {
            self.handle_internal_outcome(now, purpose, outcome);
        }
    }

    /// Handles the outcome of a request that this controller itself has sent to the chain.
    fn handle_internal_outcome(&mut self, now: f64, purpose: InternalPurpose, outcome: Outcome) {
        match purpose {
            InternalPurpose::Verification => self.handle_verification_read(now, outcome),
            InternalPurpose::DutyLease => self.handle_lease_outcome(outcome),
            InternalPurpose::DutyUpdate => {}
            InternalPurpose::Usage => self.handle_usage_outcome(now, outcome),
        }
    }

    /// Handles a completed sync: all chain and instance writes up to the given tickets are durable.
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
        if self.is_shutting_down {
            return;
        }
        let check = self.disk.check(now);
        if let Some(ticket) = check.probe {
            let records = Vec::new();
            self.effects.push(Effect::WriteChain { ticket, records });
        }
        if let Some(slow) = check.changed {
            let health = if slow { "slow" } else { "no longer slow" };
            self.log(format!("store: the disk is {health}"));
            self.step_chain(now, Input::DiskHealth { slow });
        }
    }

    /// Handles a request. The reply carries its token, which must come from `next_number`.
    pub fn handle_request(&mut self, now: f64, token: u64, operation: Operation) {
        let pending = PendingRequest::Caller(ReplyKind::of(&operation));
        match operation {
            Operation::Heartbeat(heartbeat) => self.handle_heartbeat(now, token, heartbeat),
            Operation::Leave(incarnation) => self.handle_leave(now, token, &incarnation),
            Operation::Update(update) => {
                self.submit_to_chain(now, token, pending, RequestKind::Update, update.encode());
            }
            Operation::Read(query) => {
                self.submit_to_chain(now, token, pending, RequestKind::Read, query.encode());
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

    /// Cancels a request whose caller has gone away.
    pub fn cancel_request(&mut self, token: u64) {
        self.watches.remove(token);
    }

    fn submit_to_chain(
        &mut self,
        now: f64,
        token: u64,
        pending: PendingRequest,
        kind: RequestKind,
        body: Vec<u8>,
    ) {
        if self.pending_requests.len() >= MAX_PENDING_REQUESTS {
            return match pending {
                PendingRequest::Caller(_) => self.reply(token, Reply::not_in_touch()),
                PendingRequest::Internal(purpose) => {
                    self.handle_internal_outcome(now, purpose, Outcome::Rejected);
                }
            };
        }
        self.pending_requests.insert(token, pending);
        self.step_chain(now, Input::ClientRequest { token, kind, body });
    }

    fn answer_watches(&mut self, now: f64, has_changed: bool) {
        let is_serving = self.is_serving(now) && !self.is_shutting_down;
        let state = &self.chain.state().machine;
        let due = self.watches.take_due(now, has_changed, is_serving, state);
        for (token, reply) in due {
            self.reply(token, reply);
        }
    }

    /// Starts shutting down: proxies and watchers are told that this controller is out of touch.
    pub fn begin_shutdown(&mut self, now: f64) {
        self.is_shutting_down = true;
        if let Some(reporter) = &mut self.usage_reporter {
            reporter.begin_shutdown();
        }
        // Releases the lease while this controller is still in the chain.
        self.tick_duties(now);
    }

    /// Requests removal from the chain. Returns whether the current view excludes this controller.
    pub fn leave_chain(&mut self, now: f64) -> bool {
        self.step_chain(now, Input::DiskHealth { slow: true });
        let members = self.chain.view().map_or(&[][..], |view| &view.members);
        members.iter().all(|member| member.id != self.me.id)
    }

    /// Performs periodic work. Must be called every 50 ms; `tick` counts the calls.
    pub fn tick(&mut self, now: f64, tick: u64) {
        self.step_chain(now, Input::Tick);
        self.check_disk(now);
        self.expire_drains(now);
        self.answer_watches(now, false);
        self.publish_configuration(now);
        self.replicate_usage(now);
        self.read_version_if_due(now);
        let in_touch = self.in_touch(now);
        self.registry.set_has_majority(now, in_touch);
        self.discover_acceptors(now);
        if tick.is_multiple_of(TABLE_SYNC_TICKS) {
            self.tick_registry(now);
        }
        if tick.is_multiple_of(DUTY_TICKS) {
            self.tick_duties(now);
        }
        if tick.is_multiple_of(REFRESH_TICKS) {
            self.send_refreshes(now);
        }
        if tick.is_multiple_of(STATUS_TICKS) {
            self.roster.expire(now);
            self.tables.set_proxy_count(self.roster.count());
        }
        // The condition short-circuits, so a change during a regular announcement is announced again on the next tick.
        if tick.is_multiple_of(STATUS_TICKS) || self.has_contact_changed(now, in_touch) {
            self.announce_status(now);
        }
        if tick.is_multiple_of(HELLO_TICKS) {
            let hello = self.hello();
            self.send_to_all_peers(&hello);
        }
        if now > PRUNE_INSTANCES_AFTER_MS {
            self.prune_stored_instances();
        }
    }

    /// Whether proxies must be told at once: contact has changed, or this controller has left the chain and publishes no
    /// configurations.
    fn has_contact_changed(&mut self, now: f64, in_touch: bool) -> bool {
        let is_serving = self.is_serving(now);
        let was_in_touch = std::mem::replace(&mut self.announced_in_touch, in_touch);
        let was_serving = std::mem::replace(&mut self.announced_serving, is_serving);
        was_in_touch != in_touch || (was_serving && !is_serving)
    }

    fn tick_registry(&mut self, now: f64) {
        let silent = self.registry.tick(now);
        if !silent.is_empty() {
            self.log(format!("registry: {} timed out", silent.join(" ")));
        }
        self.publish_tables(now);
    }

    fn send_refreshes(&mut self, now: f64) {
        if let Some(update) = self.registry.take_refreshes(now) {
            self.send_updates(vec![update]);
        }
    }

    /// Sends this controller's status to all proxies and stateless controllers.
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
